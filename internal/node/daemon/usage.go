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
	// usageInterval is the length of a usage period. Each period is appended to
	// the log when it ends.
	usageInterval          = 5 * time.Minute
	maxUsageRecordsPerRead = 500
)

// usageLoop writes the usage of this node's workers to the log once per
// usageInterval.
func (n *Node) usageLoop() {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.context.Done():
			return
		case <-ticker.C:
			n.recordUsage(n.context)
		}
	}
}

// recordUsage ends the current usage period and appends it to the log. Periods
// whose append fails are kept and appended with the next one.
func (n *Node) recordUsage(ctx context.Context) {
	n.usageMutex.Lock()
	defer n.usageMutex.Unlock()
	n.pendingUsage = append(n.pendingUsage, n.owner.EndUsagePeriod())
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

// currentUsage returns the usage periods that are not in the log yet, including
// the current one.
func (n *Node) currentUsage() []usage.Period {
	n.usageMutex.Lock()
	defer n.usageMutex.Unlock()
	return append(slices.Clone(n.pendingUsage), n.owner.CurrentUsage())
}

// Report implements caller.Service. It merges the usage periods of every entry
// VM and of the log. The report names the entry VMs that did not answer and
// tells whether the log could be read.
func (n *Node) Report(ctx context.Context) report.Report {
	periods := n.currentUsage()
	var missing []string
	for _, name := range n.otherEntryVMs() {
		callContext, cancel := context.WithTimeout(ctx, entry.CallTimeout)
		reply, err := callPeer[entry.UsageReply](callContext, n, name, "Usage", entry.Empty{})
		cancel()
		if err != nil {
			missing = append(missing, name)
			continue
		}
		periods = append(periods, reply.Periods...)
	}
	logged, err := n.readLoggedUsage(ctx)
	periods = append(periods, logged...)
	return report.New(periods, n.configuration.Current().Index, missing, err == nil)
}

// otherEntryVMs returns the names of the listed entry VMs that are not leaving,
// without this one.
func (n *Node) otherEntryVMs() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var names []string
	for _, v := range n.vmList.VMs {
		if v.Role == vmlist.RoleEntry && v.Name != n.Settings.Name && !v.Leaving {
			names = append(names, v.Name)
		}
	}
	return names
}

// readLoggedUsage returns all usage periods in the log. After an error it returns
// those that were read before.
func (n *Node) readLoggedUsage(ctx context.Context) ([]usage.Period, error) {
	var periods []usage.Period
	for offset := uint64(0); ; {
		reply, err := n.logService.Read(ctx, usageStream, offset, maxUsageRecordsPerRead, 0)
		if err != nil {
			return periods, err
		}
		for _, r := range reply.Records {
			offset = r.Offset
			var p usage.Period
			if json.Unmarshal(r.Data, &p) == nil {
				periods = append(periods, p)
			}
		}
		if len(reply.Records) == 0 {
			return periods, nil
		}
	}
}

// snapshotInterval is the longest pause between snapshots of the current
// configuration and of the unfinished jobs in the log. It has to be well below
// the retention of the log.
const snapshotInterval = time.Hour

// snapshotLoop appends snapshots of the configuration and of the jobs of this
// process to the log, before the log drops the original records. The pause is
// random, so that usually one entry VM appends the configuration and the others
// then skip it.
func (n *Node) snapshotLoop() {
	for {
		pause := snapshotInterval/2 + rand.N(snapshotInterval/2)
		select {
		case <-n.context.Done():
			return
		case <-time.After(pause):
		}
		if data, due := n.configuration.SnapshotDue(n.Settings.Name); due {
			n.appendSnapshot(configuration.Stream, data)
		}
		for _, r := range n.jobs.jobSnapshots() {
			n.appendSnapshot(n.jobs.streamName(), r.Encode())
		}
	}
}

func (n *Node) appendSnapshot(stream string, data []byte) {
	if _, err := n.recorder.Append(n.context, stream, data); err != nil {
		n.Log.Error(err, "snapshot_failed", "stream", stream)
	}
}
