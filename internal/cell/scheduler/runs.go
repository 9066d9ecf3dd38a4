package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// pauseAfterRefusal is how long a worker gets no new tasks after it has refused a
	// start for lack of capacity or because it is unhealthy, or can't be reached.
	pauseAfterRefusal = time.Second
	// pauseAfterInvalidOrder is how long a task is not placed again after a worker
	// has refused its start order as invalid.
	pauseAfterInvalidOrder = time.Second
	// After failuresBeforeAvoidingWorker consecutive failed runs, a worker gets no
	// new tasks for workerAvoidancePeriod.
	failuresBeforeAvoidingWorker = 3
	workerAvoidancePeriod        = 3 * time.Second
	// The runs of a task that has failed on maxFailedWorkersPerTask workers no longer count as
	// failures of workers. A job that fails everywhere would keep all workers from getting tasks.
	maxFailedWorkersPerTask = 3
)

// StartsUnderWay returns the number of tasks whose placement is not stored yet, or whose start this
// leader has ordered and the worker has not answered.
func (s *Scheduler) StartsUnderWay() int {
	n := 0
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.phase == phasePlaced || t.phase == phaseStartOrdered && t.startToken != 0 && !t.startSettled {
				n++
			}
		}
	}
	return n
}

// StartAnswered handles the answer to a start order. An empty kind means that the
// worker has started the run; otherwise it is the kind of the error. clock is the
// reading of the worker's clock, or 0 if it is not known.
func (s *Scheduler) StartAnswered(life backend.Life, o *backend.Start, kind backend.Kind, clock time.Duration, now time.Time) {
	w := s.workers[life]
	byThisProcess := w != nil && w.mustHaveClock(clock, now)
	if byThisProcess {
		w.setClockReading(clock, now)
	}
	if w == nil {
		w = s.latestWorkerByID[life.ID] // The order may have been executed by this process.
	}
	if w == nil {
		return
	}
	t := s.findTask(o.Task)
	if t != nil && kind == "" {
		t.step.job.anyRunReported = true
	}
	if t == nil || t.worker != w || t.runNumber != o.Run || t.startToken != o.Token {
		return // The run has ended, or a report has shown that it does not exist.
	}
	if kind == "" {
		s.eventSequence++
		if t.phase == phaseStartOrdered {
			s.confirmRun(t, now)
		}
		t.runConfirmed, t.confirmedAtSequence, t.startSettled = true, s.eventSequence, true
		if byThisProcess {
			s.noteReported(t)
		}
		w.extendLease(now, s.timing) // For the case that a later process has started the run just now.
		return
	}
	if t.phase != phaseStartOrdered && t.phase != phaseStopping {
		return
	}
	s.log.Info("start_refused", "task", t.id.String(), "run", t.runNumber, "worker", life.ID, "born", life.Born, "token", o.Token, "kind", string(kind))
	switch kind {
	case backend.KindUnknown:
		t.startUnanswered = true
		if t.startToken >= w.requiredToken {
			s.raiseToken(w)
		}
		return
	case backend.KindLifeMismatch:
		if w.registration.Life == life {
			s.replaceWorker(w, now)
			return
		}
	case backend.KindFenced:
		t.startSettled = true
		if t.startToken >= w.requiredToken {
			s.raiseToken(w)
		}
		return // The next report, for a hold with a higher token, shows whether the run exists.
	case backend.KindInvalidTicket:
		t.step.advice.expireTicket(w)
	case backend.KindNoRoom, backend.KindUnhealthy, backend.KindUnreachable:
		w.avoidUntil = now.Add(pauseAfterRefusal)
	case backend.KindInvalid:
		t.placeNotBefore = now.Add(pauseAfterInvalidOrder)
	default:
	}
	s.requeueTask(t, "refused")
	s.logIfRunsEnded(t, w, "refused", now)
	s.stopOtherGangMembers(t, now)
}

// applyRunEnd handles the end of a run that a worker has reported.
func (s *Scheduler) applyRunEnd(w *worker, e *backend.EndedRun, now time.Time) {
	s.logRunEnd(w, e, now)
	t := s.findTask(e.Task)
	if t == nil {
		return
	}
	t.step.job.anyRunReported = true
	if e.Run != t.runNumber || t.worker != w {
		s.applyOrphanRunEnd(t, e, now)
		return
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	s.recordRunOutcome(w, t, e, now)
	if t.step.job.state.Ended() {
		s.releaseTaskCapacity(t)
		t.phase = phaseDone
		s.markJobDirty(t.step.job)
		s.logIfRunsEnded(t, w, "ended", now)
		return
	}
	switch e.Outcome {
	case backend.Done:
		s.applyCompletedRun(t, now)
	case backend.Failed:
		s.applyFailedRun(t, e.Run, now)
	default:
		s.requeueTask(t, endedWith(e.Outcome))
		s.stopOtherGangMembers(t, now)
	}
}

// applyOrphanRunEnd handles the end of an earlier run of a task, or of a run on a
// worker that the task has left. A failed run counts as one of the attempts of the
// task. A completed run completes the task, or all tasks of its gang, even if they were
// placed again. The later runs are then stopped, and use capacity until they have ended.
func (s *Scheduler) applyOrphanRunEnd(t *task, e *backend.EndedRun, now time.Time) {
	if t.phase == phaseDone || t.step.spec.Lasting || t.step.job.state.Ended() {
		return
	}
	switch e.Outcome {
	case backend.Failed:
		s.countFailedRun(t, e.Run, now)
	case backend.Done:
		s.log.Info("late_run_accepted", "task", t.id.String(), "run", e.Run, "later_run", t.runNumber)
		members := []*task{t}
		if t.step.spec.Gang {
			members = t.step.tasks
		}
		for _, m := range members {
			s.stopLaterRun(m)
			s.completeTask(m, now)
		}
	default:
	}
}

// stopLaterRun stops the present run of a task that an earlier run has completed.
func (s *Scheduler) stopLaterRun(t *task) {
	w := t.worker
	if w == nil || t.phase == phasePlaced {
		return
	}
	s.addOrphanedRun(w, t)
	if !t.runConfirmed {
		s.raiseToken(w)
	}
	s.orderStop(w, t.id, t.runNumber)
}

// applyCompletedRun handles a run that has completed. A lasting task must not end, so
// it is requeued. The first member of a gang to complete completes all the others.
func (s *Scheduler) applyCompletedRun(t *task, now time.Time) {
	if t.step.spec.Lasting {
		s.requeueTask(t, endedWith(backend.Done))
		s.stopOtherGangMembers(t, now)
		return
	}
	if !t.step.spec.Gang {
		s.completeTask(t, now)
		return
	}
	for _, member := range t.step.tasks {
		if member != t {
			s.keepCharged(member)
		}
		s.completeTask(member, now)
	}
}

// applyFailedRun handles a run that has failed: the task is requeued, unless the
// whole job fails.
func (s *Scheduler) applyFailedRun(t *task, run int64, now time.Time) {
	s.requeueTask(t, endedWith(backend.Failed))
	if !s.countFailedRun(t, run, now) {
		s.stopOtherGangMembers(t, now)
	}
}

// countFailedRun records a failed run of a task. It returns true if this failure
// makes the whole job fail.
func (s *Scheduler) countFailedRun(t *task, run int64, now time.Time) bool {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if m.step.spec.Lasting && len(m.failedRuns) > 0 {
			continue // They are not limited, and the list would grow without end.
		}
		if !slices.Contains(m.failedRuns, run) {
			m.failedRuns = append(m.failedRuns, run)
		}
	}
	s.markJobDirty(t.step.job)
	limit := 0
	if q := s.queueOf(t.step.job); q != nil {
		limit = q.MaxAttempts
	}
	if limit == 0 || len(t.failedRuns) < limit || t.step.spec.Lasting {
		return false
	}
	s.log.Info("job_failed", "job", t.id.Job, "task", t.id.String(), "failures", len(t.failedRuns), "limit", limit)
	s.endJob(t.step.job, work.Failed, now)
	return true
}

// recordRunOutcome updates the failure count of a worker, and the average run time of
// the image if the run has completed.
func (s *Scheduler) recordRunOutcome(w *worker, t *task, e *backend.EndedRun, now time.Time) {
	switch e.Outcome {
	case backend.Done:
		w.consecutiveFailures = 0
		s.runTimes.recordRunTime(t, now)
	case backend.Failed:
		if t.noteFailedWorker(w.registration.Life.ID); len(t.failedWorkers) >= maxFailedWorkersPerTask {
			return
		}
		w.consecutiveFailures++
		if w.consecutiveFailures >= failuresBeforeAvoidingWorker {
			w.avoidUntil = now.Add(workerAvoidancePeriod)
			s.log.Info("worker_avoided", "worker", w.registration.Life.ID, "failures", w.consecutiveFailures)
		}
	default:
	}
}

// noteFailedWorker notes that a run of the task has failed on a worker.
func (t *task) noteFailedWorker(id string) {
	t.failedWorkers = slices.DeleteFunc(t.failedWorkers, func(known string) bool { return known == id })
	t.failedWorkers = append(t.failedWorkers, id)
	if n := len(t.failedWorkers) - maxFailedWorkersPerTask; n > 0 {
		t.failedWorkers = t.failedWorkers[n:]
	}
}

// stopOtherGangMembers must be called when a member of a gang has ended or could not
// start. It stops the members that may run, and requeues those that are only placed.
// It does nothing for tasks outside of gangs.
func (s *Scheduler) stopOtherGangMembers(t *task, now time.Time) {
	if !t.step.spec.Gang {
		return
	}
	for _, member := range t.step.tasks {
		switch member.phase {
		case phasePlaced:
			s.requeueTask(member, "withdrawn")
		case phaseStartOrdered, phaseRunning:
			s.stopTask(member, now)
		case phaseWaiting, phaseStopping, phaseDone:
		}
	}
}
