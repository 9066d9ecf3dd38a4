package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/operate/report"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/state/configuration"
	"github.com/almondpost/almondpost/internal/state/usage"
)

const (
	usageStream = "usage"
	// usageInterval is how often the sums are written to the log.
	usageInterval  = 5 * time.Minute
	usageReadLimit = 500
)

// usageLoop writes the sums of the own workers to the log.
func (n *Node) usageLoop() {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for {
		select {
		case <-n.run.Done():
			return
		case <-tick.C:
			n.recordUsage(n.run)
		}
	}
}

// recordUsage writes the sums since the last time. When the log gives no answer
// they are kept and written with the next ones.
func (n *Node) recordUsage(ctx context.Context) {
	n.pendingMutex.Lock()
	defer n.pendingMutex.Unlock()
	n.pendingUsage = append(n.pendingUsage, n.owner.CutUsage())
	for len(n.pendingUsage) > 0 {
		data, err := json.Marshal(n.pendingUsage[0])
		if err != nil {
			n.Log.Error(err, "usage_dropped")
		} else if _, err := n.recorder.Append(ctx, usageStream, data); err != nil {
			return
		}
		n.pendingUsage = n.pendingUsage[1:]
	}
}

// currentUsage returns what is not in the log yet.
func (n *Node) currentUsage() []usage.Period {
	n.pendingMutex.Lock()
	defer n.pendingMutex.Unlock()
	return append(slices.Clone(n.pendingUsage), n.owner.CurrentUsage())
}

// Report gathers the sums of every entry VM and of the log. What gives no
// answer is named.
func (n *Node) Report(ctx context.Context) report.Report {
	periods := n.currentUsage()
	var missing []string
	for _, name := range n.otherEntries() {
		callContext, cancel := context.WithTimeout(ctx, entry.CallTimeout)
		reply, err := callPeer[entry.UsageReply](callContext, n, name, "Usage", entry.Nothing{})
		cancel()
		if err != nil {
			missing = append(missing, name)
			continue
		}
		periods = append(periods, reply.Periods...)
	}
	logged, err := n.loggedUsage(ctx)
	periods = append(periods, logged...)
	return report.New(periods, n.store.Current().Index, missing, err == nil)
}

func (n *Node) otherEntries() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var out []string
	for _, v := range n.listed.VMs {
		if v.Role == vmlist.Entry && v.Name != n.Settings.Name && !v.Leaving {
			out = append(out, v.Name)
		}
	}
	return out
}

func (n *Node) loggedUsage(ctx context.Context) ([]usage.Period, error) {
	var out []usage.Period
	for after := uint64(0); ; {
		reply, err := n.log.Read(ctx, usageStream, after, usageReadLimit, 0)
		if err != nil {
			return out, err
		}
		for _, r := range reply.Records {
			after = r.Offset
			var p usage.Period
			if json.Unmarshal(r.Data, &p) == nil {
				out = append(out, p)
			}
		}
		if len(reply.Records) == 0 {
			return out, nil
		}
	}
}

// snapshotInterval is how often the current lists and the unfinished jobs are
// repeated in the log. It has to be well below the retention of the log.
const snapshotInterval = time.Hour

// snapshotLoop repeats the lists and the own jobs before the log drops them. The pause is drawn
// at random, so that mostly one entry VM does it and the others see it.
func (n *Node) snapshotLoop() {
	for {
		pause := snapshotInterval/2 + rand.N(snapshotInterval/2)
		select {
		case <-n.run.Done():
			return
		case <-time.After(pause):
		}
		if data, due := n.store.SnapshotDue(n.Settings.Name); due {
			n.appendSnapshot(configuration.Stream, data)
		}
		for _, r := range n.jobs.repetitions() {
			n.appendSnapshot(n.jobs.stream(), r.Encode())
		}
	}
}

func (n *Node) appendSnapshot(stream string, data []byte) {
	if _, err := n.recorder.Append(n.run, stream, data); err != nil {
		n.Log.Error(err, "snapshot_failed", "stream", stream)
	}
}
