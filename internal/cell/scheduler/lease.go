package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// runID identifies a run: one attempt at a task.
type runID struct {
	task      work.TaskID
	runNumber int64
}

// orphanedRun describes a run that may still exist on a worker, although it is not
// the current run of any task there.
type orphanedRun struct {
	usage usage
	// eventSequence is the value of Scheduler.eventSequence when the run became an
	// orphaned run. Only a report whose hold was sent after that can show that the
	// run has ended.
	eventSequence int64
	// lateUntil is the time until which the start order of the run may still be executed
	// by a later process under the ID of the worker, or zero if it can't. It is only set
	// for runs that are charged to a team.
	lateUntil time.Time
	// ticketed and ticketReceivedAt are as in task.
	ticketed         bool
	ticketReceivedAt time.Time
}

// addOrphanedRun must be called before a task is taken off a worker on which its run
// may continue. The run keeps its capacity on the worker as an orphaned run.
func (s *Scheduler) addOrphanedRun(w *worker, t *task) {
	r := orphanedRun{usage: usageOf(t), eventSequence: s.eventSequence}
	if r.usage.team != "" && !t.startSettled {
		r.lateUntil, r.ticketed, r.ticketReceivedAt = t.executableUntil, t.ticketed, t.ticketReceivedAt
	}
	s.putOrphanedRun(w, runID{t.id, t.runNumber}, r)
}

// putOrphanedRun adds an orphaned run, which then uses capacity of its worker. A run that is
// charged to a team is stored with its job: the next leader must charge it too.
func (s *Scheduler) putOrphanedRun(w *worker, id runID, r orphanedRun) {
	if _, known := w.orphanedRuns[id]; known {
		return
	}
	w.orphanedRuns[id] = r
	w.addUsage(r.usage)
	if j := s.jobs[id.task.Job]; j != nil && r.usage.team != "" {
		if j.orphanedRuns == nil {
			j.orphanedRuns = map[runOnWorker]bool{}
		}
		j.orphanedRuns[runOnWorker{id, w}] = true
		s.recordWorker(w)
		s.markJobDirty(j)
	}
}

// removeOrphanedRun removes an orphaned run and frees its capacity.
func (s *Scheduler) removeOrphanedRun(w *worker, id runID) {
	r, known := w.orphanedRuns[id]
	if !known {
		return
	}
	delete(w.orphanedRuns, id)
	w.removeUsage(r.usage)
	if j := s.jobs[id.task.Job]; j != nil && j.orphanedRuns[runOnWorker{id, w}] {
		delete(j.orphanedRuns, runOnWorker{id, w})
		s.markJobDirty(j)
	}
}

// addUnknownRun adds an orphaned run for a reported run that belongs to no task on
// the worker. The run may continue until it is stopped or its lease ends. Another
// leader may have extended the lease just now, so leaseEnd is moved accordingly; no
// lease is granted here. st is the step of the run. If it is nil, the capacity that
// the run uses is unknown, and the whole capacity of the worker is assumed, so that
// no other task is placed beside the run.
func (s *Scheduler) addUnknownRun(w *worker, r *backend.Run, st *step, now time.Time) {
	w.extendLease(now, s.timing)
	key := runID{r.Task, r.Run}
	if _, known := w.orphanedRuns[key]; known {
		return
	}
	u := s.usageOfReported(r.Task)
	if st == nil {
		u.capacity = w.registration.Capacity
	}
	s.putOrphanedRun(w, key, orphanedRun{usage: u, eventSequence: s.eventSequence})
	s.recordWorker(w)
}

// hasOrphanedRunOf reports whether an orphaned run on the worker is a run of a given
// task.
func (w *worker) hasOrphanedRunOf(id work.TaskID) bool {
	for v := range w.orphanedRuns {
		if v.task == id {
			return true
		}
	}
	return false
}

// removeEndedOrphanedRuns removes the orphaned runs that are missing in a report and
// frees their capacity. It keeps those whose start order may be executed later.
func (s *Scheduler) removeEndedOrphanedRuns(w *worker, listed map[runID]bool, sent SentHold) {
	for v, r := range w.orphanedRuns {
		switch {
		case listed[v]:
			if !r.lateUntil.IsZero() {
				r.lateUntil = time.Time{} // Its order was executed.
				w.orphanedRuns[v] = r
			}
		case sent.eventSequence > r.eventSequence && !sent.sentAt.Before(r.lateUntil):
			s.removeOrphanedRun(w, v)
		}
	}
}

// removeOrphanedRuns removes the orphaned runs that have ended because the lease has ended,
// and frees their capacity. It keeps those whose start order may still be executed at the
// given time.
func (s *Scheduler) removeOrphanedRuns(w *worker, at time.Time) {
	for v, r := range w.orphanedRuns {
		if !at.Before(r.lateUntil) {
			s.removeOrphanedRun(w, v)
		}
	}
}

// moveLateOrphanedRuns moves the orphaned runs whose start order may still be executed to
// the next process of their worker, and returns their number.
func (s *Scheduler) moveLateOrphanedRuns(old, next *worker, now time.Time) int {
	moved := 0
	for v, r := range old.orphanedRuns {
		if now.Before(r.lateUntil) {
			s.removeOrphanedRun(old, v)
			s.putOrphanedRun(next, v, r)
			moved++
		}
	}
	return moved
}

// leaseDeadline returns the time on the worker's clock at which a lease granted now
// ends, or 0 if the reading of that clock is not known. The lease ends at
// leadershipEnd at the latest.
func (w *worker) leaseDeadline(now, leadershipEnd time.Time, timing Timing) time.Duration {
	if w.clockReadAt.IsZero() {
		return 0
	}
	lease := min(timing.Lease, leadershipEnd.Sub(now))
	return w.clockReading + now.Sub(w.clockReadAt) + lease
}

// mustHaveClock reports whether a reading of a clock can only come from this process. A
// later process under the same ID began its clock anew after the last reading.
func (w *worker) mustHaveClock(reading time.Duration, now time.Time) bool {
	return !w.clockReadAt.IsZero() && reading >= w.clockReading && w.clockReading > now.Sub(w.clockReadAt)
}

// extendLease updates leaseEnd after a lease was granted at a given time.
func (w *worker) extendLease(at time.Time, timing Timing) {
	if end := at.Add(leaseDuration(timing)); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// extendFormerLease updates leaseEnd for a lease that an earlier leader may have extended
// until its leadership ended, LeadershipLease after its last append, unless the lease is closed.
func (s *Scheduler) extendFormerLease(w *worker, now time.Time) {
	end := w.formerLeaseEnd
	if end.IsZero() {
		end = s.formerLeadershipEnd(now)
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// formerLeadershipEnd returns the time by which the leadership of all earlier leaders has ended,
// LeadershipLease after the last append of one.
func (s *Scheduler) formerLeadershipEnd(now time.Time) time.Time {
	lastAppend := s.lastFormerAppend
	if lastAppend.IsZero() || lastAppend.After(now) {
		lastAppend = now
	}
	return lastAppend.Add(longestDuration(s.timing.LeadershipLease))
}

// longestDuration returns after how long a duration has certainly passed on the clock of another
// machine.
func longestDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d)*maxClockDrift) + leaseMargin
}

// leaseDuration returns how long after a lease was granted it has certainly ended.
func leaseDuration(timing Timing) time.Duration { return longestDuration(timing.Lease) }

// hasExecutableStart reports whether any process of the worker may execute a start order at a
// given time that it is not known to have executed or refused.
func (w *worker) hasExecutableStart(at time.Time) bool {
	for _, t := range w.tasks {
		if t.phase != phasePlaced && !t.startSettled && at.Before(t.executableUntil) {
			return true
		}
	}
	for _, r := range w.orphanedRuns {
		if at.Before(r.lateUntil) {
			return true
		}
	}
	return false
}

// noteUnansweredHold notes that the hold under way, if it extends the lease, may be executed late.
func (w *worker) noteUnansweredHold(timing Timing) {
	if w.holdTakesEffect {
		w.noteLateHold(w.held.extensionSentAt.Add(timing.MaxOrderDelay), w.heldToken)
	}
}

// noteLateHold notes that a hold which extends the lease may be executed until a given time.
func (w *worker) noteLateHold(until time.Time, token int64) {
	if until.After(w.lateHoldUntil) {
		w.lateHoldUntil = until
	}
	w.lateHoldToken = max(w.lateHoldToken, token)
}

// lateExtension says whether holds extend the lease of a worker although a start there was not
// answered.
type lateExtension int

const (
	noLateExtension lateExtension = iota
	// lateExtensionNoted means that the next commit stores that they may, and
	// lateExtensionStored that it is stored, so that they do.
	lateExtensionNoted
	lateExtensionStored
)

// prepareExtension reports whether a hold may extend the lease of a worker. If a start without a
// ticket was not answered there, the next leader must know: a later process may execute the
// start late, and then the hold. A hold beside a start that is under way is executed no later than
// the next leader takes the start to be, unless it is sent after maxStartDelay.
//
// No hold extends the lease beside a start whose ticket may be for the next process. The answer to
// the hold shows that it is not, so the hold after it extends the lease.
func (s *Scheduler) prepareExtension(w *worker, now time.Time) bool {
	ready := true
	for _, t := range w.tasks {
		if t.runReported || t.phase == phasePlaced || t.lateExtension == lateExtensionStored {
			continue
		}
		if t.ticketed {
			ready = ready && !w.mayBeForNextProcess(t.ticketReceivedAt)
			continue
		}
		if underWay := !t.startUnanswered && now.Sub(t.commitStartedAt) <= maxStartDelay; underWay {
			continue
		}
		ready = false
		if t.lateExtension == noLateExtension {
			t.lateExtension = lateExtensionNoted
			s.markJobDirty(t.step.job)
		}
	}
	for _, r := range w.orphanedRuns {
		if r.ticketed && !r.lateUntil.IsZero() && w.mayBeForNextProcess(r.ticketReceivedAt) {
			return false
		}
	}
	return ready
}

// mayExtendLate reports whether a later process of the worker may execute a hold at a given time
// while it has a run that this one doesn't have: it executed the start late, and the deadline
// of the hold, a time on the clock of this process, lies far ahead on its own.
//
// The hold was sent after the start, as it would be fenced otherwise. Beside a start with a ticket it
// was only sent after an answer of this process that followed the ticket, see prepareExtension, so
// the later process refuses the ticket.
func (w *worker) mayExtendLate(at time.Time) bool {
	if !at.Before(w.lateHoldUntil) {
		return false
	}
	for _, t := range w.tasks {
		if t.phase != phasePlaced && !t.runReported && !t.ticketed && t.startToken <= w.lateHoldToken {
			return true
		}
	}
	for _, r := range w.orphanedRuns {
		if !r.lateUntil.IsZero() && !r.ticketed {
			return true
		}
	}
	return false
}

// requeueLapsedRuns requeues the tasks on a worker whose runs are known to have ended
// without a report, because the lease has ended or the worker process is gone.
func (s *Scheduler) requeueLapsedRuns(w *worker, hasLapsed func(t *task) bool, now time.Time) {
	bounds := w.lapseFields(now)
	for _, t := range w.tasksSortedByID() {
		if !hasLapsed(t) {
			continue
		}
		fields := []any{
			"task", t.id.String(), "run", t.runNumber, "worker", w.registration.Life.ID, "born", w.registration.Life.Born, "token", t.startToken,
			"restored", t.earlier != nil && t.earlier.restored, "listed", t.runReported, "led_ms", now.Sub(s.clockBase).Milliseconds(),
		}
		s.log.Info("run_lapsed", slices.Concat(fields, bounds, w.extensionFields(now))...)
		s.requeueTask(t, "lapsed")
		s.logIfRunsEnded(t, w, "lapsed", now)
		s.stopOtherGangMembers(t, now)
	}
}

// lapseFields returns the fields of a log line that say what the end of the runs on the worker
// was waited for: how long ago the lease ended, and for how long no start of any task has been
// executable, with the task of the last one.
func (w *worker) lapseFields(now time.Time) []any {
	lastStart, until := "none", time.Time{}
	for _, t := range w.tasks {
		if t.phase != phasePlaced && !t.startSettled && t.executableUntil.After(until) {
			lastStart, until = t.id.String(), t.executableUntil
		}
	}
	return []any{
		"lease_ended_ms", millisecondsSince(w.leaseEnd, now), "last_start", lastStart, "last_start_ended_ms", millisecondsSince(until, now),
		"late_hold_ended_ms", millisecondsSince(w.lateHoldUntil, now),
	}
}

// speculationDelay is added to holdWait. If a worker is silent for longer than the
// sum, its speculative tasks are started a second time on other workers.
const speculationDelay = 800 * time.Millisecond

// holdWaitPerWorker is the wait time of a hold for each worker in the fleet. It makes
// holds less frequent in large fleets, where they take most of the leader's processor
// time. maxHoldWait limits this wait, so that leases do not run out between holds.
const (
	holdWaitPerWorker = 10 * time.Millisecond
	maxHoldWait       = 2 * time.Second
)

// holdWait returns how long a worker may wait before it answers a hold.
func (s *Scheduler) holdWait() time.Duration {
	return max(s.timing.HoldWait, min(time.Duration(len(s.workers))*holdWaitPerWorker, maxHoldWait))
}

// requeueSpeculativeTasks requeues the speculative tasks of a silent worker, so that
// each starts a second time on another worker. The first run that completes counts.
func (s *Scheduler) requeueSpeculativeTasks(w *worker, now time.Time) {
	if now.Sub(w.lastAnswerAt) < s.holdWait()+speculationDelay {
		return
	}
	for _, t := range w.tasksSortedByID() {
		if t.step.spec.Speculative && t.phase == phaseRunning {
			s.log.Info("run_copied", "task", t.id.String(), "run", t.runNumber, "worker", w.registration.Life.ID, "silent_ms", now.Sub(w.lastAnswerAt).Milliseconds())
			s.addOrphanedRun(w, t)
			s.requeueTask(t, "copied")
		}
	}
}

const (
	// drainStopLeadTime is how long before a draining worker may exit the scheduler stops
	// tasks on it. It is twice drainStopTime, the time that a stop takes.
	drainStopLeadTime = 900 * time.Millisecond
	drainStopTime     = drainStopLeadTime / 2
	// drainNoticeDelay is how long after a worker has announced that it drains the leader may
	// learn of it. The registrations are read every 350 ms.
	drainNoticeDelay = 400 * time.Millisecond
)

// stopTasksOfDrainingWorker stops the tasks on a worker that save checkpoints, and those that
// are not expected to end in time, shortly before the worker may exit. They start on another
// worker at once. Once the worker has exited, they would wait until its lease has ended. When
// there is no time left for a stop, tasks without checkpoints run on: the worker may stay longer.
// If the end of the drain is uncertain, the same tasks are stopped at once.
func (s *Scheduler) stopTasksOfDrainingWorker(w *worker, now time.Time) {
	if !w.registration.Draining || w.drainEnd.IsZero() || (!w.drainEndUncertain && now.Before(w.drainEnd.Add(-drainStopLeadTime))) {
		return
	}
	left := w.drainEnd.Sub(now)
	for _, t := range w.tasksSortedByID() {
		tooLong := left >= drainStopTime && s.runTimes.remainingRunTime(t, now) > left
		if t.phase == phaseRunning && (t.step.spec.Checkpoints || tooLong) {
			s.stopTask(t, now)
		}
	}
}

// expireLeases requeues the tasks of workers whose lease has ended. It also does the
// other checks of workers that depend only on time.
func (s *Scheduler) expireLeases(now time.Time) {
	for _, life := range s.sortedLives() {
		w := s.workers[life]
		s.requeueSpeculativeTasks(w, now)
		s.stopLastingTasksIfDraining(w, now)
		s.stopTasksOfDrainingWorker(w, now)
		s.repeatNextLostStop(w, now)
		if now.Before(w.leaseEnd) {
			continue
		}
		if len(w.tasks) > 0 || len(w.orphanedRuns) > 0 {
			// A start or a hold that the next process executes at the latest time extends the lease
			// of all runs there. The runs that this process has reported are not among them, and the
			// deadline of a start is a time on this process' clock that has passed.
			lastExecutedAt := now.Add(-leaseDuration(s.timing))
			executedLate := w.hasExecutableStart(lastExecutedAt) || w.mayExtendLate(lastExecutedAt)
			if !executedLate {
				s.removeOrphanedRuns(w, lastExecutedAt)
			}
			s.requeueLapsedRuns(w, func(t *task) bool { return t.phase != phasePlaced && (t.runReported || !executedLate) }, now)
		}
		if w.confirmedToken != 0 && now.Sub(w.lastAnswerAt) > s.timing.Lease {
			// When the worker answers again, its report may still list earlier runs.
			// It gets no new tasks until then.
			w.confirmedToken = 0
		}
		s.removeWorkerIfIdle(w, now)
	}
}
