package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// HoldRequest returns the next hold for a worker, and a ticket for its answer.
// ok is false when the worker is to be left.
func (s *Scheduler) HoldRequest(life backend.Life, now time.Time) (hold backend.Hold, sent HoldSent, ok bool) {
	w := s.workers[life]
	if w == nil {
		return hold, sent, false
	}
	s.sequence++
	hold = backend.Hold{Token: w.token, Acknowledged: w.stored}
	if w.unanswered == 0 {
		// Only one hold without an answer may extend the lease, so that it ends.
		hold.Deadline = max(w.deadline(now, s.rightEnd(), s.timing), 0)
	}
	w.unanswered++
	if !w.fencing() && w.applied == w.stored {
		hold.Wait = s.holdWait()
	}
	if hold.Deadline > 0 {
		w.extend(now, s.timing)
	}
	return hold, HoldSent{sequence: s.sequence, token: w.token, at: now}, true
}

// EndsStored reports whether every end that a worker has listed is stored.
func (s *Scheduler) EndsStored(life backend.Life) bool {
	w := s.workers[life]
	return w == nil || w.applied == w.stored
}

// HoldSent remembers when a hold was sent, against the answers of starts.
type HoldSent struct {
	sequence int64
	token    int64
	at       time.Time
}

// HoldFailed handles a hold without an answer, or one that was refused.
func (s *Scheduler) HoldFailed(life backend.Life, kind backend.Kind, now time.Time) {
	w := s.workers[life]
	if w == nil {
		return
	}
	switch kind {
	case backend.KindOtherLife:
		s.replace(w, now)
	case backend.KindFenced:
		s.log.Info("hold_fenced", "worker", life.ID, "token", w.token)
		w.token += fencedStep
	default:
	}
}

// fencedStep raises the token past those of orders that this leader gave the
// worker before it was left and opened again.
const fencedStep = 64

// HoldAnswered handles a worker's report.
func (s *Scheduler) HoldAnswered(life backend.Life, sent HoldSent, r *backend.Report, now time.Time) {
	w := s.workers[life]
	if w == nil {
		return
	}
	if r.Life.Born != 0 && r.Life.Born != life.Born {
		s.lose(w, "another life answered", now)
		return
	}
	w.answered, w.unanswered = now, 0
	w.setClock(r.Clock, now)
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Number > w.applied {
			w.applied = e.Number
			s.applyEnd(w, e, now)
		}
	}
	// Two runs of one task may be listed.
	listed := make(map[leftRun]bool, len(r.Running))
	for i := range r.Running {
		listed[leftRun{r.Running[i].Task, r.Running[i].Run}] = true
		s.applyRun(w, &r.Running[i], now)
	}
	s.settleMissing(w, listed, sent, r.Truncated, now)
	if !r.Truncated {
		w.settleLeft(listed, sent)
	}
	if w.heldToken < sent.token {
		w.heldToken = sent.token
		s.planNeeded = true
	}
	s.judgeSpeed(w, now)
	s.paceFillers(w)
	s.closeIdle(w, now)
}

func (w *worker) setClock(clock time.Duration, now time.Time) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// applyRun handles one row of the list of runs.
func (s *Scheduler) applyRun(w *worker, r *backend.Run, now time.Time) {
	t := s.task(r.Task)
	if t == nil || t.worker != w || t.run != r.Run {
		var st *step
		if t != nil {
			st = t.step
		}
		s.keepRoom(w, r, st, now)
		if t != nil && t.worker == w && t.run > r.Run {
			return // An older run of the same task that is being replaced there.
		}
		s.sendStop(w, r.Task, r.Run)
		return
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	t.percent, t.figure = r.Percent, r.Figure
	switch t.phase {
	case phaseOrdered:
		s.confirmRun(t, now)
	case phaseStopping:
		t.settled = true
		if now.Sub(t.stopSent) > stopRetry {
			t.stopSent = now
			s.sendStop(w, t.id, t.run)
		}
	case phaseWaiting, phaseRecorded, phaseRunning, phaseDone:
	}
	if t.step.job.state.Ended() && t.phase == phaseRunning {
		s.stop(t, now)
	}
}

// confirmRun notes that a run was seen to have started.
func (s *Scheduler) confirmRun(t *task, now time.Time) {
	t.phase, t.settled, t.sequence = phaseRunning, true, s.sequence
	if t.begun.IsZero() {
		t.begun = now
	}
	if t.step.job.state.Ended() {
		s.stop(t, now)
	}
}

// settleMissing frees the tasks that a report proves not to run.
func (s *Scheduler) settleMissing(w *worker, listed map[leftRun]bool, sent HoldSent, truncated bool, now time.Time) {
	for _, t := range w.sortedTasks() {
		if listed[leftRun{t.id, t.run}] {
			continue
		}
		switch {
		case t.phase == phaseRecorded:
			continue
		case !t.settled && t.token >= sent.token:
			continue // The order may be on its way.
		case t.settled && t.sequence >= sent.sequence:
			continue // The report may be older than the run.
		}
		if truncated {
			continue // Its end may be listed later.
		}
		s.log.Info("run_absent", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "token", t.token, "hold_token", sent.token)
		s.toWaiting(t)
		s.breakGang(t, now)
	}
}

// supersede raises the token of a worker: when a hold with it is answered, no
// order sent before can still be carried out.
func (s *Scheduler) supersede(w *worker) {
	w.token++
	s.effects.Wake = append(s.effects.Wake, w.registration.Life)
}
