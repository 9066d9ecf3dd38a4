package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// stopRetryInterval is the interval between stop orders for a run that the worker
	// still reports. It is longer than a worker takes to end a run.
	stopRetryInterval = 1500 * time.Millisecond
	// lostStopRetryInterval is the shortest interval between repetitions of the lost stops
	// of one worker, and silentStopRetryInterval the same while it answers no holds either.
	// Its next answer causes all of them to be repeated.
	lostStopRetryInterval   = 600 * time.Millisecond
	silentStopRetryInterval = 2 * time.Second
)

// lostStops holds the runs on a worker whose stop the worker may not have executed.
type lostStops struct {
	// runs lists the runs in the order in which their stops are repeated. A run whose stop
	// is under way is not listed.
	runs []runID
	// nextAt is the earliest time for the next stop while the worker does not answer.
	// nextAllAt is the earliest time at which all stops are repeated after an answer.
	nextAt, nextAllAt time.Time
}

func (l *lostStops) add(r runID) {
	if !slices.Contains(l.runs, r) {
		l.runs = append(l.runs, r)
	}
}

func (l *lostStops) remove(r runID) {
	l.runs = slices.DeleteFunc(l.runs, func(o runID) bool { return o == r })
}

// stopTask orders the worker of a task to stop it.
func (s *Scheduler) stopTask(t *task, now time.Time) {
	t.phase, t.stopSentAt, t.stoppingSince = phaseStopping, now, now
	s.orderStop(t.worker, t.id, t.runNumber)
}

// orderStop adds an order to the effects that tells a worker to stop one run of a
// task. Without a session, the order would be dropped, so it is left for later.
func (s *Scheduler) orderStop(w *worker, id work.TaskID, run int64) {
	if !w.sessionOpen {
		w.lostStops.add(runID{id, run})
		return
	}
	w.lostStops.remove(runID{id, run})
	s.log.Info("stop_ordered", "task", id.String(), "run", run, "worker", w.registration.Life.ID, "born", w.registration.Life.Born, "token", w.token)
	s.effects.Stops = append(s.effects.Stops, Order[backend.Stop]{
		Worker: w.registration.Life, Order: backend.Stop{Task: id, Run: run, Token: w.token},
	})
}

// StopAnswered handles the answer to a stop order. An empty kind means that the worker
// has executed it; otherwise it is the kind of the error. An order that may not have been
// executed is repeated until the run has ended.
func (s *Scheduler) StopAnswered(life backend.Life, o *backend.Stop, kind backend.Kind, now time.Time) {
	w := s.workers[life]
	if w == nil {
		return
	}
	run := runID{o.Task, o.Run}
	switch kind {
	case "":
		w.lostStops.remove(run)
		w.lostStops.nextAllAt = time.Time{} // The worker executes stops.
		s.repeatLostStops(w, now)
		return
	case backend.KindStaleRun, backend.KindInvalid, backend.KindLifeMismatch:
		return // The same order would be answered in the same way. Reports show whether the run goes on.
	default:
	}
	if !w.awaitsStopOf(run) {
		return
	}
	w.lostStops.add(run)
	if kind == backend.KindFenced && o.Token == w.token {
		if !now.Before(w.lostStops.nextAt) {
			w.lostStops.nextAt = now.Add(lostStopRetryInterval)
			s.effects.HoldAtOnce = append(s.effects.HoldAtOnce, life) // Its answer leads to a higher token.
		}
		return
	}
	s.repeatNextLostStop(w, now)
}

// awaitsStopOf reports whether a run that was to be stopped may still exist on the worker.
func (w *worker) awaitsStopOf(r runID) bool {
	if t := w.tasks[r.task]; t != nil && t.runNumber == r.runNumber {
		return t.phase == phaseStopping
	}
	_, orphaned := w.orphanedRuns[r]
	return orphaned
}

// repeatNextLostStop repeats one lost stop of a worker that may not be reachable.
func (s *Scheduler) repeatNextLostStop(w *worker, now time.Time) {
	l := &w.lostStops
	if len(l.runs) == 0 || !w.sessionOpen || now.Before(l.nextAt) {
		return
	}
	l.runs = slices.DeleteFunc(l.runs, func(r runID) bool { return !w.awaitsStopOf(r) })
	if len(l.runs) > 0 {
		l.nextAt = now.Add(lostStopRetryInterval)
		if w.unansweredHolds >= silentAfterHolds {
			l.nextAt = now.Add(silentStopRetryInterval)
		}
		s.repeatStop(w, l.runs[0], now)
	}
}

// repeatLostStops repeats all lost stops of a worker that has just answered a call.
func (s *Scheduler) repeatLostStops(w *worker, now time.Time) {
	l := &w.lostStops
	if len(l.runs) == 0 || !w.sessionOpen || now.Before(l.nextAllAt) {
		return
	}
	l.nextAllAt = now.Add(lostStopRetryInterval)
	for _, r := range slices.Clone(l.runs) {
		if w.awaitsStopOf(r) {
			s.repeatStop(w, r, now)
		}
	}
	l.runs = nil
}

func (s *Scheduler) repeatStop(w *worker, r runID, now time.Time) {
	if t := w.tasks[r.task]; t != nil && t.runNumber == r.runNumber {
		t.stopSentAt = now
	}
	s.orderStop(w, r.task, r.runNumber)
}

// stopRestoredTasks stops the tasks of a job that had ended before this leader took over.
func (s *Scheduler) stopRestoredTasks(j *job, now time.Time) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.endTask(t, now)
			}
		}
	}
}
