package daemon

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/state/job"
	"github.com/almondpost/almondpost/internal/state/membership"
)

// mayStartWork reports whether this process may start tasks of its jobs. It may
// do so for jobLease after a read of the log, which confirms that no other
// process took the jobs over. During an outage of the log no process can take
// jobs over, so this process may also continue after that time, with two
// exceptions. If it was frozen, another process may have taken over in the
// meantime. If it is isolated, the outage may affect this process alone.
func (j *Jobs) mayStartWork() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if time.Since(j.leaseConfirmedAt) < jobLease {
		return true
	}
	wasFrozen := time.Since(j.lastTickAt) > maxTickGap || j.leaseConfirmedAt.Before(j.lastFreezeNoticedAt)
	return !wasFrozen && !j.node.isIsolated()
}

// isIsolated reports whether other members of the failure domain are known but
// none of them is alive.
func (n *Node) isIsolated() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, alive := 0, 0
	for _, m := range n.memberView.Members() {
		if m.Domain != n.Settings.Domain {
			continue
		}
		known++
		if m.State == membership.Alive {
			alive++
		}
	}
	return known > 0 && alive == 0
}

// holdersToTakeOver returns the holders that are gone and whose jobs this
// process has to take over, and adds them to holdersBeingTakenOver. It returns
// none if the log was not read within the last jobLease. The caller holds the
// mutex.
func (j *Jobs) holdersToTakeOver() []job.Holder {
	if time.Since(j.leaseConfirmedAt) > jobLease {
		return nil
	}
	var departed []job.Holder
	for h := range j.table.Holders() {
		if h != j.self && !j.holdersBeingTakenOver[h] && j.node.hasHolderLeft(h) && j.node.isSuccessor(h) {
			j.holdersBeingTakenOver[h] = true
			departed = append(departed, h)
		}
	}
	return departed
}

// hasHolderLeft reports whether the process of a holder was removed from the membership
// or replaced by a newer one. An earlier process of this entry VM is always
// gone. A process from which no heartbeat was ever received counts as gone once
// this node has run for RemoveAfter.
func (n *Node) hasHolderLeft(h job.Holder) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m, ok := n.memberView.Member(h.Name)
	if h.Name == n.Settings.Name {
		return true
	}
	if !ok {
		return time.Since(time.UnixMilli(int64(n.incarnation))) > time.Duration(n.Settings.RemoveAfter)
	}
	return m.State == membership.Removed || m.Incarnation > h.Incarnation
}

// isSuccessor reports whether rendezvous hashing selects this node to take over
// from a holder.
func (n *Node) isSuccessor(h job.Holder) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return membership.Rendezvous(h.Name, n.memberView.Owners()) == n.Settings.Name
}

// takeOverJobs writes to the log that this process takes over the jobs of a holder
// that is gone. If several processes do so, the first record in the log decides
// which of them gets the jobs.
func (j *Jobs) takeOverJobs(h job.Holder) {
	defer func() {
		j.mutex.Lock()
		delete(j.holdersBeingTakenOver, h)
		j.mutex.Unlock()
	}()
	ctx, cancel := context.WithTimeout(j.node.context, appendTimeout)
	defer cancel()
	record := job.Record{Action: job.TakenOver, By: j.self, FormerHolder: &h}
	offset, err := j.node.recorder.Append(ctx, j.streamName(), record.Encode())
	j.node.Log.Info("jobs_taken_over", "from", h.Name, "offset", offset, "ok", err == nil)
	if err == nil {
		j.awaitOffset(ctx, offset)
	}
}

// handOverJobs moves the jobs of this process to its successor before a planned
// stop. It reports whether this process holds no jobs any more.
func (j *Jobs) handOverJobs(ctx context.Context) bool {
	j.mutex.Lock()
	held := len(j.table.HeldBy(j.self))
	j.mutex.Unlock()
	if held == 0 {
		return true
	}
	successor, ok := j.node.successor(j.self)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record := job.Record{Action: job.TakenOver, By: successor, FormerHolder: &j.self}
	offset, err := j.node.recorder.Append(ctx, j.streamName(), record.Encode())
	return err == nil && j.awaitOffset(ctx, offset)
}

// successor returns the process that takes over from a holder, or false if no
// other entry VM of the failure domain can.
func (n *Node) successor(h job.Holder) (job.Holder, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m, ok := n.memberView.Member(membership.Rendezvous(h.Name, n.memberView.Owners()))
	return job.Holder{Name: m.Name, Incarnation: m.Incarnation}, ok
}
