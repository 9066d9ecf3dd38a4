package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// leftRun names a run that was given up.
type leftRun struct {
	task work.TaskID
	run  int64
}

// leftRoom is what a run that was given up takes.
type leftRoom struct {
	room resource.Vector
	// sequence is that of the last hold sent before the run was given up.
	sequence int64
}

// leave notes that a task is done with while its run may go on here.
func (w *worker) leave(t *task, sequence int64) {
	room := t.step.spec.Room()
	w.left[leftRun{t.id, t.run}] = leftRoom{room, sequence}
	w.used = w.used.Add(room)
}

// keepRoom notes that a run which belongs to no task here goes on until it is
// stopped or its lease ends, which another leader may have granted just now. st is
// its step, nil where that is not known: nothing else fits beside it then.
func (s *Scheduler) keepRoom(w *worker, r *backend.Run, st *step, now time.Time) {
	w.extend(now, s.timing)
	key := leftRun{r.Task, r.Run}
	if _, known := w.left[key]; known {
		return
	}
	room := w.registration.Capacity
	if st != nil {
		room = st.spec.Room()
	}
	w.left[key] = leftRoom{room, s.sequence}
	w.used = w.used.Add(room)
}

// leftRunOf reports whether a run of a task that was given up may go on here.
func (w *worker) leftRunOf(id work.TaskID) bool {
	for v := range w.left {
		if v.task == id {
			return true
		}
	}
	return false
}

// settleLeft frees the room of runs that have ended.
func (w *worker) settleLeft(listed map[leftRun]bool, sent HoldSent) {
	for v, r := range w.left {
		if !listed[v] && sent.sequence > r.sequence {
			delete(w.left, v)
			w.used = w.used.Sub(r.room)
		}
	}
}

// lapseLeft frees the room of all runs that were given up.
func (w *worker) lapseLeft() {
	for v, r := range w.left {
		delete(w.left, v)
		w.used = w.used.Sub(r.room)
	}
}

// deadline returns the end of a lease that is granted now, by the worker's
// clock; 0 when its clock is not known.
func (w *worker) deadline(now, rightEnd time.Time, timing Timing) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	lease := min(timing.Lease, rightEnd.Sub(now))
	return w.clock + now.Sub(w.clockAt) + lease
}

// extend notes that a lease was granted at a time.
func (w *worker) extend(at time.Time, timing Timing) {
	if end := at.Add(time.Duration(float64(timing.Lease)*clockRate) + leaseMargin); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// lapse frees all tasks of a worker whose runs have ended without a report.
func (s *Scheduler) lapse(w *worker, now time.Time) {
	w.lapseLeft()
	for _, t := range w.sortedTasks() {
		s.log.Info("run_lapsed", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID)
		s.toWaiting(t)
		s.breakGang(t, now)
	}
}

// stopRetry is when a stop is ordered again that has had no effect: longer than a
// worker takes to end a run.
const stopRetry = 1500 * time.Millisecond

// copyDelay is the silence beyond the time of a hold after which the speculative
// tasks of a worker are placed elsewhere too.
const copyDelay = 800 * time.Millisecond

// holdWaitPerWorker makes holds rarer in large fleets, where they take most of the
// leader's processor time; mostHoldWait keeps leases from running out.
const (
	holdWaitPerWorker = 10 * time.Millisecond
	mostHoldWait      = 2 * time.Second
)

// holdWait returns how long a worker may wait before it answers a hold.
func (s *Scheduler) holdWait() time.Duration {
	return max(s.timing.HoldWait, min(time.Duration(len(s.workers))*holdWaitPerWorker, mostHoldWait))
}

// copySpeculative places the speculative tasks of a silent worker elsewhere; the
// copy that ends first counts.
func (s *Scheduler) copySpeculative(w *worker, now time.Time) {
	if now.Sub(w.answered) < s.holdWait()+copyDelay {
		return
	}
	for _, t := range w.sortedTasks() {
		if t.step.spec.Speculative && t.phase == phaseRunning {
			s.log.Info("run_copied", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "silent_ms", now.Sub(w.answered).Milliseconds())
			w.leave(t, s.sequence)
			s.toWaiting(t)
		}
	}
}

// departure is how long before a worker leaves its tasks are told to save their
// progress: the time that a stop takes, twice.
const departure = 900 * time.Millisecond

// leaveDraining stops the tasks that can go on elsewhere from a checkpoint, when
// their worker is about to leave.
func (s *Scheduler) leaveDraining(w *worker, now time.Time) {
	if !w.registration.Draining || w.leaves.IsZero() || now.Before(w.leaves.Add(-departure)) {
		return
	}
	for _, t := range w.sortedTasks() {
		if t.step.spec.Checkpoints && t.phase == phaseRunning {
			s.stop(t, now)
		}
	}
}

// expireLeases frees the tasks of workers that were not reached for a lease.
func (s *Scheduler) expireLeases(now time.Time) {
	for _, life := range s.Workers() {
		w := s.workers[life]
		s.copySpeculative(w, now)
		s.leaveDraining(w, now)
		if now.Before(w.leaseEnd) {
			continue
		}
		if len(w.tasks) > 0 || len(w.left) > 0 {
			s.lapse(w, now)
		}
		if w.heldToken != 0 && now.Sub(w.answered) > s.timing.Lease {
			// Runs from before may be listed when it answers again.
			w.heldToken = 0
		}
		s.closeIdle(w, now)
	}
}
