package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// runID identifies a run.
type runID struct {
	task work.TaskID
	run  int64
}

// orphan is a run that may still exist on a worker but no longer belongs to a task
// there.
type orphan struct {
	room resource.Vector
	// sequence is the value of Scheduler.sequence when the run became an orphan.
	// Only a report whose hold was sent later can show that the run has ended.
	sequence int64
}

// addOrphan adds the run of a task that is about to leave the worker while its run
// may go on there.
func (w *worker) addOrphan(t *task, sequence int64) {
	room := t.step.spec.ReservedCapacity()
	w.orphans[runID{t.id, t.run}] = orphan{room, sequence}
	w.used = w.used.Add(room)
}

// addUnknownRun adds a reported run that belongs to no task on the worker. It
// exists until it is stopped or its lease ends, and another leader may have
// extended the lease just now. st is the step of the run, or nil if it is not
// known; the run then takes the whole capacity.
func (s *Scheduler) addUnknownRun(w *worker, r *backend.Run, st *step, now time.Time) {
	w.extendLease(now, s.timing)
	key := runID{r.Task, r.Run}
	if _, known := w.orphans[key]; known {
		return
	}
	room := w.registration.Capacity
	if st != nil {
		room = st.spec.ReservedCapacity()
	}
	w.orphans[key] = orphan{room, s.sequence}
	w.used = w.used.Add(room)
}

// hasOrphanOf reports whether an earlier run of a task may still exist on the
// worker.
func (w *worker) hasOrphanOf(id work.TaskID) bool {
	for v := range w.orphans {
		if v.task == id {
			return true
		}
	}
	return false
}

// removeEndedOrphans removes the orphans that a report lacks, and frees their room.
func (w *worker) removeEndedOrphans(listed map[runID]bool, sent HoldSent) {
	for v, r := range w.orphans {
		if !listed[v] && sent.sequence > r.sequence {
			delete(w.orphans, v)
			w.used = w.used.Sub(r.room)
		}
	}
}

// removeOrphans removes all orphans and frees their room.
func (w *worker) removeOrphans() {
	for v, r := range w.orphans {
		delete(w.orphans, v)
		w.used = w.used.Sub(r.room)
	}
}

// leaseDeadline returns the end of a lease granted now, by the worker's clock, or 0
// if that clock is not known. The lease does not exceed leadershipEnd.
func (w *worker) leaseDeadline(now, leadershipEnd time.Time, timing Timing) time.Duration {
	if w.clockReadAt.IsZero() {
		return 0
	}
	lease := min(timing.Lease, leadershipEnd.Sub(now))
	return w.clock + now.Sub(w.clockReadAt) + lease
}

// extendLease records that a lease was granted at a time.
func (w *worker) extendLease(at time.Time, timing Timing) {
	if end := at.Add(time.Duration(float64(timing.Lease)*maxClockDrift) + leaseMargin); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// lapseRuns requeues all tasks on a worker whose runs have ended without a report,
// because its lease has ended or its life is over.
func (s *Scheduler) lapseRuns(w *worker, now time.Time) {
	w.removeOrphans()
	for _, t := range w.sortedTasks() {
		s.log.Info("run_lapsed", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID)
		s.requeue(t)
		s.stopGang(t, now)
	}
}

// stopRetryInterval is the interval between stop orders for a run that is still
// reported. It is longer than a worker takes to end a run.
const stopRetryInterval = 1500 * time.Millisecond

// speculationDelay is how much longer than holdWait a worker may be silent before its
// speculative tasks get a second copy elsewhere.
const speculationDelay = 800 * time.Millisecond

// holdWaitPerWorker makes holds less frequent in large fleets, where they take most
// of the leader's processor time. maxHoldWait keeps the interval well below the
// lease.
const (
	holdWaitPerWorker = 10 * time.Millisecond
	maxHoldWait       = 2 * time.Second
)

// holdWait returns how long a worker may delay its answer to a hold.
func (s *Scheduler) holdWait() time.Duration {
	return max(s.timing.HoldWait, min(time.Duration(len(s.workers))*holdWaitPerWorker, maxHoldWait))
}

// requeueSpeculative requeues the speculative tasks of a silent worker, so that a
// second copy starts elsewhere. The copy that completes first counts.
func (s *Scheduler) requeueSpeculative(w *worker, now time.Time) {
	if now.Sub(w.lastAnswer) < s.holdWait()+speculationDelay {
		return
	}
	for _, t := range w.sortedTasks() {
		if t.step.spec.Speculative && t.phase == phaseRunning {
			s.log.Info("run_copied", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "silent_ms", now.Sub(w.lastAnswer).Milliseconds())
			w.addOrphan(t, s.sequence)
			s.requeue(t)
		}
	}
}

// checkpointLead is how long before a draining worker exits its checkpointing tasks
// are stopped: twice the time that a stop takes.
const checkpointLead = 900 * time.Millisecond

// stopCheckpointingIfDraining stops the tasks on a draining worker that can resume
// elsewhere from a checkpoint, shortly before the worker exits.
func (s *Scheduler) stopCheckpointingIfDraining(w *worker, now time.Time) {
	if !w.registration.Draining || w.drainEnd.IsZero() || now.Before(w.drainEnd.Add(-checkpointLead)) {
		return
	}
	for _, t := range w.sortedTasks() {
		if t.step.spec.Checkpoints && t.phase == phaseRunning {
			s.stopTask(t, now)
		}
	}
}

// expireLeases requeues the tasks of the workers whose lease has ended, and does
// the other checks of workers that depend on time.
func (s *Scheduler) expireLeases(now time.Time) {
	for _, life := range s.Workers() {
		w := s.workers[life]
		s.requeueSpeculative(w, now)
		s.stopCheckpointingIfDraining(w, now)
		if now.Before(w.leaseEnd) {
			continue
		}
		if len(w.tasks) > 0 || len(w.orphans) > 0 {
			s.lapseRuns(w, now)
		}
		if w.confirmedToken != 0 && now.Sub(w.lastAnswer) > s.timing.Lease {
			// When the worker answers again, it may list runs that were requeued.
			w.confirmedToken = 0
		}
		s.removeIfIdle(w, now)
	}
}
