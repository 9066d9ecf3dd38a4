package daemon

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/state/job"
	"github.com/almondpost/almondpost/internal/state/membership"
)

// permitted reports whether this process may start work of its jobs. It may
// while the log confirms that no other process took them over. While the log is
// away nobody can take over; then it may go on as long as it was not frozen
// and is not alone, since it might then be the one that is cut off.
func (j *Jobs) permitted() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if time.Since(j.confirmed) < jobLease {
		return true
	}
	wasFrozen := time.Since(j.ticked) > maxTickGap || j.confirmed.Before(j.frozenUntil)
	return !wasFrozen && !j.node.isIsolated()
}

// isIsolated reports whether the view has other members of the own failure
// domain, but none that is alive.
func (n *Node) isIsolated() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, alive := 0, 0
	for _, m := range n.view.Members() {
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

// orphans returns the holders that this process should take over from.
func (j *Jobs) orphans() []job.Holder {
	if time.Since(j.confirmed) > jobLease {
		return nil
	}
	var out []job.Holder
	for h := range j.table.Holders() {
		if h != j.self && !j.takingOver[h] && j.node.isGone(h) && j.node.isSuccessor(h) {
			j.takingOver[h] = true
			out = append(out, h)
		}
	}
	return out
}

// isGone reports whether a process has been silent for long enough, or was
// replaced. A process that was never heard counts from this one's start.
func (n *Node) isGone(h job.Holder) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m, ok := n.view.Member(h.Name)
	if h.Name == n.Settings.Name {
		return true
	}
	if !ok {
		return time.Since(time.UnixMilli(int64(n.incarnation))) > time.Duration(n.Settings.RemoveAfter)
	}
	return m.State == membership.Removed || m.Incarnation > h.Incarnation
}

func (n *Node) isSuccessor(h job.Holder) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return membership.Rendezvous(h.Name, n.view.Owners()) == n.Settings.Name
}

// takeOver claims the jobs of a holder that is gone; log order decides between
// two that try.
func (j *Jobs) takeOver(h job.Holder) {
	defer func() {
		j.mutex.Lock()
		delete(j.takingOver, h)
		j.mutex.Unlock()
	}()
	ctx, cancel := context.WithTimeout(j.node.run, appendWait)
	defer cancel()
	record := job.Record{Action: job.TakenOver, By: j.self, From: &h}
	offset, err := j.node.recorder.Append(ctx, j.stream(), record.Encode())
	j.node.Log.Info("jobs_taken_over", "from", h.Name, "offset", offset, "ok", err == nil)
	if err == nil {
		j.awaitOffset(ctx, offset)
	}
}

// handOver gives the jobs of this process to a successor before a planned stop
// and reports whether none are left.
func (j *Jobs) handOver(ctx context.Context) bool {
	j.mutex.Lock()
	left := len(j.table.HeldBy(j.self))
	j.mutex.Unlock()
	if left == 0 {
		return true
	}
	successor, ok := j.node.successor(j.self)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	record := job.Record{Action: job.TakenOver, By: successor, From: &j.self}
	offset, err := j.node.recorder.Append(ctx, j.stream(), record.Encode())
	return err == nil && j.awaitOffset(ctx, offset)
}

// successor returns the member of the failure domain that takes over from a
// holder.
func (n *Node) successor(h job.Holder) (job.Holder, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m, ok := n.view.Member(membership.Rendezvous(h.Name, n.view.Owners()))
	return job.Holder{Name: m.Name, Incarnation: m.Incarnation}, ok
}
