package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// refusalPause is how long a worker that has refused an order gets no new work.
	refusalPause = time.Second
	// invalidPause is how long a task waits after its worker rejected the order as
	// invalid.
	invalidPause = time.Second
	// failuresToAvoid is the number of consecutive failed runs after which a worker
	// gets no new work for avoidPause.
	failuresToAvoid = 3
	avoidPause      = 3 * time.Second
)

// StartAnswered handles the answer to a start order. An empty kind means that the
// run has started; clock is the worker's clock, or 0 if it is not known.
func (s *Scheduler) StartAnswered(life backend.Life, o *backend.Start, kind backend.Kind, clock time.Duration, now time.Time) {
	w := s.workers[life]
	if w == nil {
		return
	}
	w.setClock(clock, now)
	t := s.findTask(o.Task)
	if t == nil || t.worker != w || t.run != o.Run || t.startToken != o.Token {
		return // A report has already settled the run, or it has ended.
	}
	if kind == "" {
		s.sequence++
		if t.phase == phaseOrdered {
			s.confirmRun(t, now)
		}
		t.runConfirmed, t.confirmedSequence = true, s.sequence
		return
	}
	if t.phase != phaseOrdered && t.phase != phaseStopping {
		return
	}
	s.log.Info("start_refused", "task", t.id.String(), "run", t.run, "worker", life.ID, "kind", string(kind))
	switch kind {
	case backend.KindUnknown:
		if w.token == t.startToken {
			s.raiseToken(w)
		}
		return
	case backend.KindOtherLife:
		s.replaceWorker(w, now)
		return
	case backend.KindFenced:
		if w.token == t.startToken {
			s.raiseToken(w)
		}
		return // The answer to a hold with a higher token shows whether the run exists.
	case backend.KindTicket:
		t.step.advice.expireTicket(w)
	case backend.KindNoRoom, backend.KindUnhealthy:
		w.avoidUntil = now.Add(refusalPause)
	case backend.KindInvalid:
		t.notBefore = now.Add(invalidPause)
	default:
	}
	s.requeue(t)
	s.stopGang(t, now)
}

// applyEnd handles the reported end of a run.
func (s *Scheduler) applyEnd(w *worker, e *backend.End, now time.Time) {
	s.log.Info("run_ended", "task", e.Task.String(), "run", e.Run, "worker", w.registration.Life.ID, "number", e.Number, "outcome", string(e.Outcome))
	t := s.findTask(e.Task)
	if t == nil {
		return
	}
	if e.Run != t.run || t.worker != w {
		s.applyOrphanEnd(t, e, now)
		return
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	s.recordOutcome(w, t, e, now)
	if t.step.job.state.Ended() {
		s.releaseRoom(t)
		t.phase = phaseDone
		s.markDirty(t.step.job)
		return
	}
	switch e.Outcome {
	case backend.Done:
		s.applyDone(t, now)
	case backend.Failed:
		s.applyFailure(t, w, e.Run, now)
	default:
		s.requeue(t)
		s.stopGang(t, now)
	}
}

// applyOrphanEnd handles the end of a run that no longer belongs to its task. A
// failure counts against the task's attempts. A completed run completes the task,
// even if the task was placed again; the later run is then stopped, and takes room
// until it has ended.
func (s *Scheduler) applyOrphanEnd(t *task, e *backend.End, now time.Time) {
	if t.phase == phaseDone || t.step.spec.Lasting || t.step.job.state.Ended() {
		return
	}
	if e.Outcome == backend.Failed {
		s.countFailure(t, e.Run, now)
		return
	}
	if e.Outcome != backend.Done || t.step.spec.Gang {
		return
	}
	s.log.Info("late_run_accepted", "task", t.id.String(), "run", e.Run, "later_run", t.run)
	if w := t.worker; w != nil && t.phase != phasePlaced {
		w.addOrphan(t, s.sequence)
		if !t.runConfirmed {
			s.raiseToken(w)
		}
		s.orderStop(w, t.id, t.run)
	}
	s.completeTask(t, now)
}

// applyDone handles a completed run. A lasting task has no end, so it is requeued; the
// first completed member of a gang completes all of them.
func (s *Scheduler) applyDone(t *task, now time.Time) {
	if t.step.spec.Lasting {
		s.requeue(t)
		return
	}
	if !t.step.spec.Gang {
		s.completeTask(t, now)
		return
	}
	for _, member := range t.step.tasks {
		s.completeTask(member, now)
	}
}

// applyFailure requeues a task whose run has failed, unless the job fails with it.
func (s *Scheduler) applyFailure(t *task, w *worker, run int64, now time.Time) {
	t.avoidedWorker = w.registration.Life.ID
	s.requeue(t)
	if !s.countFailure(t, run, now) {
		s.stopGang(t, now)
	}
}

// countFailure records a failed run. It reports whether the job has failed because
// of it.
func (s *Scheduler) countFailure(t *task, run int64, now time.Time) bool {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		if !slices.Contains(m.failedRuns, run) {
			m.failedRuns = append(m.failedRuns, run)
		}
	}
	s.markDirty(t.step.job)
	limit := 0
	if q := s.table.Queue(t.step.job.spec.Queue); q != nil {
		limit = q.MaxAttempts
	}
	if limit == 0 || len(t.failedRuns) < limit || t.step.spec.Lasting {
		return false
	}
	s.log.Info("job_failed", "job", t.id.Job, "task", t.id.String(), "failures", len(t.failedRuns), "limit", limit)
	s.endJob(t.step.job, work.Failed, now)
	return true
}

// recordOutcome updates the failure count of a worker and the run times of an
// image.
func (s *Scheduler) recordOutcome(w *worker, t *task, e *backend.End, now time.Time) {
	switch e.Outcome {
	case backend.Done:
		w.consecutiveFailures = 0
		s.runTimes.recordRun(t, now)
	case backend.Failed:
		w.consecutiveFailures++
		if w.consecutiveFailures >= failuresToAvoid {
			w.avoidUntil = now.Add(avoidPause)
			s.log.Info("worker_avoided", "worker", w.registration.Life.ID, "failures", w.consecutiveFailures)
		}
	default:
	}
}

// stopGang stops the other members of a gang when one of its tasks does not run any
// more.
func (s *Scheduler) stopGang(t *task, now time.Time) {
	if !t.step.spec.Gang {
		return
	}
	for _, member := range t.step.tasks {
		switch member.phase {
		case phasePlaced:
			s.requeue(member)
		case phaseOrdered, phaseRunning:
			s.stopTask(member, now)
		case phaseWaiting, phaseStopping, phaseDone:
		}
	}
}
