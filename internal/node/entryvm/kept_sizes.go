package entryvm

import (
	"context"
	"runtime"
	"time"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/operate/measure"
)

// keptEntries is the name of the gauges with the number of entries of each structure that
// outlives a call. Their label is the name of the structure.
const keptEntries = "kept_entries"

// keptSizesInterval is the pause between two updates of these gauges. Each goes through all
// jobs of the leader.
const keptSizesInterval = 5 * time.Second

var goroutinesKey = measure.Key{Name: "goroutines"}

// setKeptSizes sets a gauge for each structure.
func (n *Node) setKeptSizes(sizes map[string]int) {
	for name, entries := range sizes {
		n.measures.Set(measure.Key{Name: keptEntries, Label: name}, int64(entries))
	}
}

// measureKeptSizes sets the gauges of what every entry VM keeps, until ctx is done.
func (n *Node) measureKeptSizes(ctx context.Context) {
	for {
		n.setKeptSizes(n.keptSizes())
		n.measures.Set(goroutinesKey, int64(runtime.NumGoroutine()))
		if !sleep(ctx, keptSizesInterval) {
			return
		}
	}
}

// keptSizes returns the number of entries of each structure that every entry VM keeps, by name.
func (n *Node) keptSizes() map[string]int {
	sizes := map[string]int{
		"members": n.members.size(), "pending_writes": n.writer.size(), "invalid_records": n.invalidRecords.size(),
		"keeper_leaders": n.forwarder.Leaders(), "keeper_calls": n.dispatcher.PendingCalls(), "forwarded_calls": int(n.forwarder.PendingCalls()),
	}
	sizes["peer_connections"], sizes["unanswering_peers"] = n.peerClient.Sizes()
	sizes["keepers"], sizes["failed_keepers"] = n.dispatcher.Sizes()
	sizes["counters"], sizes["gauges"], sizes["histograms"] = n.measures.Sizes()
	return sizes
}

func (m *memberList) size() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.byName)
}

func (w *jobWriter) size() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.pendingWrites)
}

func (i *invalidRecordLog) size() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.hashes)
}

// keptSizes returns the number of entries of each structure that only the leader keeps, by
// name. The caller must hold the mutex.
func (l *leader) keptSizes(s *scheduler.Scheduler) map[string]int {
	sizes := s.Sizes()
	sizes["job_partitions"], sizes["state_waiters"] = len(l.jobPartitions), len(l.stateWaiters)
	sizes["sessions"], sizes["registrations"] = len(l.sessions), len(l.registrations)
	sizes["heartbeat_answers"], sizes["store_reachability"] = len(l.lastHeartbeatAnswer), len(l.vmReachesStore)
	sizes["outdated_vms"], sizes["configuration_sends"] = len(l.outdatedVMs.outdatedSince), len(l.outdatedVMs.sendingTo)
	return sizes
}

// setKeptSizes sets the gauges of what only the leader keeps, if that is due. The caller must
// hold the mutex.
func (l *leader) setKeptSizes(s *scheduler.Scheduler, at time.Time) {
	if at.Sub(l.keptSizesSetAt) < keptSizesInterval {
		return
	}
	l.keptSizesSetAt = at
	l.node.setKeptSizes(l.keptSizes(s))
}

// removeKeptSizes removes these gauges when this VM no longer leads. The caller must hold the
// mutex.
func (l *leader) removeKeptSizes() {
	for name := range l.keptSizes(l.scheduler) {
		l.node.measures.Unset(measure.Key{Name: keptEntries, Label: name})
	}
}
