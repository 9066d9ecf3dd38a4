package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// HoldRequest returns the next hold for a worker, and the value to pass to
// HoldAnswered with the report. ok is false when the worker has been removed.
func (s *Scheduler) HoldRequest(life backend.Life, now time.Time) (hold backend.Hold, sent HoldSent, ok bool) {
	w := s.workers[life]
	if w == nil {
		return hold, sent, false
	}
	s.sequence++
	hold = backend.Hold{Token: w.token, Acknowledged: w.lastStoredEnd}
	if w.unansweredHolds == 0 {
		// Only the first unanswered hold extends the lease, so that the lease of a
		// silent worker ends.
		hold.Deadline = max(w.leaseDeadline(now, s.leadershipEnd(), s.timing), 0)
	}
	w.unansweredHolds++
	if !w.tokenUnconfirmed() && w.lastHandledEnd == w.lastStoredEnd {
		hold.Wait = s.holdWait()
	}
	if hold.Deadline > 0 {
		w.extendLease(now, s.timing)
	}
	return hold, HoldSent{sequence: s.sequence, token: w.token, sentAt: now}, true
}

// EndsStored reports whether the effect of every end that a worker has listed is
// stored.
func (s *Scheduler) EndsStored(life backend.Life) bool {
	w := s.workers[life]
	return w == nil || w.lastHandledEnd == w.lastStoredEnd
}

// HoldSent identifies a hold that was sent. It shows which confirmations of runs
// are newer than the report.
type HoldSent struct {
	sequence int64
	token    int64
	sentAt   time.Time
}

// HoldFailed handles a hold that was not answered or that the worker refused; kind is
// the kind of the error.
func (s *Scheduler) HoldFailed(life backend.Life, kind backend.Kind, now time.Time) {
	w := s.workers[life]
	if w == nil {
		return
	}
	switch kind {
	case backend.KindOtherLife:
		s.replaceWorker(w, now)
	case backend.KindFenced:
		s.log.Info("hold_fenced", "worker", life.ID, "token", w.token)
		w.token += fencedTokenStep
	default:
	}
}

// fencedTokenStep is added to the token after a worker has refused it as too low. It
// skips the tokens that this leader may have used for the worker in an earlier
// session.
const fencedTokenStep = 64

// HoldAnswered handles the report of a worker.
func (s *Scheduler) HoldAnswered(life backend.Life, sent HoldSent, r *backend.Report, now time.Time) {
	w := s.workers[life]
	if w == nil {
		return
	}
	if r.Life.Born != 0 && r.Life.Born != life.Born {
		s.removeWorker(w, "another life of the worker answered", now)
		return
	}
	w.lastAnswer, w.unansweredHolds = now, 0
	w.setClock(r.Clock, now)
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Number > w.lastHandledEnd {
			w.lastHandledEnd = e.Number
			s.applyEnd(w, e, now)
		}
	}
	// A report can list two runs of one task.
	listed := make(map[runID]bool, len(r.Running))
	for i := range r.Running {
		listed[runID{r.Running[i].Task, r.Running[i].Run}] = true
		s.applyReportedRun(w, &r.Running[i], now)
	}
	s.requeueMissing(w, listed, sent, r.Truncated, now)
	if !r.Truncated {
		w.removeEndedOrphans(listed, sent)
	}
	if w.confirmedToken < sent.token {
		w.confirmedToken = sent.token
		s.planNeeded = true
	}
	s.detectSlowWorker(w, now)
	s.adjustFillerPaces(w)
	s.removeIfIdle(w, now)
}

func (w *worker) setClock(clock time.Duration, now time.Time) {
	if clock > 0 {
		w.clock, w.clockReadAt = clock, now
	}
}

// applyReportedRun handles a run that a report lists as running.
func (s *Scheduler) applyReportedRun(w *worker, r *backend.Run, now time.Time) {
	t := s.findTask(r.Task)
	if t == nil || t.worker != w || t.run != r.Run {
		var st *step
		if t != nil {
			st = t.step
		}
		s.addUnknownRun(w, r, st, now)
		if t != nil && t.worker == w && t.run > r.Run {
			return // An older run of a task that the worker itself replaces by the newer one.
		}
		s.orderStop(w, r.Task, r.Run)
		return
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.percentDone, t.reportedFigure = r.Percent, r.Figure
	switch t.phase {
	case phaseOrdered:
		s.confirmRun(t, now)
	case phaseStopping:
		t.runConfirmed = true
		if now.Sub(t.stopSentAt) > stopRetryInterval {
			t.stopSentAt = now
			s.orderStop(w, t.id, t.run)
		}
	case phaseWaiting, phasePlaced, phaseRunning, phaseDone:
	}
	if t.step.job.state.Ended() && t.phase == phaseRunning {
		s.stopTask(t, now)
	}
}

// confirmRun records that the worker has started a run.
func (s *Scheduler) confirmRun(t *task, now time.Time) {
	t.phase, t.runConfirmed, t.confirmedSequence = phaseRunning, true, s.sequence
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if t.step.job.state.Ended() {
		s.stopTask(t, now)
	}
}

// requeueMissing requeues the tasks whose runs a report lacks, unless the run may
// have started after the report.
func (s *Scheduler) requeueMissing(w *worker, listed map[runID]bool, sent HoldSent, truncated bool, now time.Time) {
	for _, t := range w.sortedTasks() {
		if listed[runID{t.id, t.run}] {
			continue
		}
		switch {
		case t.phase == phasePlaced:
			continue
		case !t.runConfirmed && t.startToken >= sent.token:
			continue // The order may not have reached the worker yet.
		case t.runConfirmed && t.confirmedSequence >= sent.sequence:
			continue // The report may be older than the run.
		}
		if truncated {
			continue // The end of the run may be listed in a later report.
		}
		s.log.Info("run_absent", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "token", t.startToken, "hold_token", sent.token)
		s.requeue(t)
		s.stopGang(t, now)
	}
}

// raiseToken raises the fencing token of a worker. Once the worker has answered a
// hold with the new token, it refuses every order sent before.
func (s *Scheduler) raiseToken(w *worker) {
	w.token++
	s.effects.Wake = append(s.effects.Wake, w.registration.Life)
}
