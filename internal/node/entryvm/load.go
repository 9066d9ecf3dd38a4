package entryvm

import "time"

// updateTimes sums how long calls of updateScheduler took. The leader's mutex guards it.
type updateTimes struct {
	updates               int
	waited, longestWait   time.Duration
	updating, longestTime time.Duration
}

// add records a call that waited for the mutex and then took some time to update the
// scheduler.
func (u *updateTimes) add(waited, took time.Duration) {
	u.updates++
	u.waited, u.longestWait = u.waited+waited, max(u.longestWait, waited)
	u.updating, u.longestTime = u.updating+took, max(u.longestTime, took)
}

// loadDetails returns what process_load says beyond the figures of the process: how many
// calls to workers are unanswered, and on the leader how long updates of the scheduler
// waited for each other and took, and how many runs and workers are not held.
func (n *Node) loadDetails() []any {
	details := []any{"forwarded_calls", n.forwarder.PendingCalls()}
	l := n.activeLeader()
	if l == nil {
		return details
	}
	l.mutex.Lock()
	u := l.updateTimes
	l.updateTimes = updateTimes{}
	runsWithoutSession, unheldWorkers := l.scheduler.RunsWithoutSession(), l.scheduler.UnheldWorkers()
	l.mutex.Unlock()
	return append(details, "calls", n.dispatcher.PendingCalls(), "updates", u.updates,
		"waited_ms", u.waited.Milliseconds(), "longest_wait_ms", u.longestWait.Milliseconds(),
		"updating_ms", u.updating.Milliseconds(), "longest_update_ms", u.longestTime.Milliseconds(),
		"runs_without_session", runsWithoutSession, "unheld_workers", unheldWorkers)
}
