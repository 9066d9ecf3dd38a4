package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// worker is one life of a worker.
type worker struct {
	registration backend.Registration
	// listed tells that the worker is registered now.
	listed bool
	// gone tells that nothing can run there any more.
	gone bool
	// ready tells that the worker could take a start when the last plan began.
	ready bool
	// open tells that the caller was asked to hold the worker.
	open bool
	// token is the fencing token of orders from now on; heldToken is the
	// highest under which a hold was answered.
	token, heldToken int64
	used             resource.Vector
	tasks            map[work.TaskID]*task
	// left holds the runs that may still be there although their task was placed
	// elsewhere; they take room until a report or the end of the lease.
	left map[leftRun]leftRoom
	// applied is the number of the last end handled; stored is the last whose
	// handling is stored, so that it can be acknowledged.
	applied, stored int64
	// clock is the worker's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when everything there has surely lapsed unless it is held.
	leaseEnd time.Time
	// answered is when the worker last answered a hold.
	answered time.Time
	// unanswered counts the holds since then.
	unanswered int
	// leaves is the earliest time at which a draining worker ends.
	leaves time.Time
	// failures counts failed runs since the last that completed.
	failures   int
	avoidUntil time.Time
}

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

// fencing reports whether orders sent now could be refused, or whether runs may
// exist that are not accounted for.
func (w *worker) fencing() bool { return w.heldToken != w.token }

func (w *worker) rack() string { return label(w.registration.Labels, 1) }

func label(labels []string, i int) string {
	if i < len(labels) {
		return labels[i]
	}
	return ""
}

func (w *worker) free() resource.Vector { return w.registration.Capacity.Sub(w.used) }

func (w *worker) add(t *task) {
	w.tasks[t.id] = t
	w.used = w.used.Add(t.step.spec.Room())
}

func (w *worker) remove(t *task) {
	if w.tasks[t.id] != t {
		return
	}
	delete(w.tasks, t.id)
	w.used = w.used.Sub(t.step.spec.Room())
}

// sortedTasks lists the tasks on the worker in a fixed order.
func (w *worker) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int { return a.id.Compare(b.id) })
}

// leave notes that a task is done with while its run may go on here.
func (w *worker) leave(t *task, sequence int64) {
	room := t.step.spec.Room()
	w.left[leftRun{t.id, t.run}] = leftRoom{room, sequence}
	w.used = w.used.Add(room)
}

// settleLeft frees the room of runs that have ended.
func (w *worker) settleLeft(running map[work.TaskID]*backend.Run, sent HoldSent) {
	for v, r := range w.left {
		if row := running[v.task]; (row == nil || row.Run != v.run) && sent.sequence > r.sequence {
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

// SetWorkers replaces the list of registered workers.
func (s *Scheduler) SetWorkers(list []backend.Registration, now time.Time) {
	listed := make(map[backend.Life]bool, len(list))
	for i := range list {
		listed[list[i].Life] = true
		s.register(list[i], now)
	}
	for _, life := range s.Workers() {
		if w := s.workers[life]; w.listed && !listed[life] {
			w.listed = false
			s.pools = nil
			s.log.Info("worker_unlisted", "worker", life.ID, "tasks", len(w.tasks))
			s.closeIdle(w, now)
		}
	}
	s.planNeeded = true
}

func (s *Scheduler) register(r backend.Registration, now time.Time) {
	if latest := s.byID[r.Life.ID]; latest != nil && latest.registration.Life.Born > r.Life.Born {
		return
	}
	w := s.workers[r.Life]
	if w == nil {
		w = s.newWorker(r, now)
	}
	if old := s.byID[r.Life.ID]; old != nil && old != w {
		s.lose(old, "restarted", now)
	}
	s.byID[r.Life.ID] = w
	if r.Draining && !w.registration.Draining {
		w.leaves = now.Add(r.Remaining)
		s.log.Info("worker_draining", "worker", r.Life.ID, "remaining_ms", r.Remaining.Milliseconds(), "tasks", len(w.tasks))
	}
	w.registration, w.listed = r, true
	s.pools = nil
	if !w.open && !w.gone {
		w.open = true
		s.effects.Opened = append(s.effects.Opened, r)
		s.log.Info("worker_opened", "worker", r.Life.ID, "service", r.Service, "zone", r.Zone, "capacity", r.Capacity.String())
	}
	s.evacuate(w, now)
}

func (s *Scheduler) newWorker(r backend.Registration, now time.Time) *worker {
	w := &worker{registration: r, token: s.epoch << epochBits, tasks: map[work.TaskID]*task{}, left: map[leftRun]leftRoom{}, answered: now}
	s.workers[r.Life] = w
	s.pools = nil
	if s.byID[r.Life.ID] == nil {
		s.byID[r.Life.ID] = w
	}
	return w
}

// evacuate moves lasting tasks off a worker that is leaving; others may end
// there in time.
func (s *Scheduler) evacuate(w *worker, now time.Time) {
	if !w.registration.Draining {
		return
	}
	for _, t := range w.sortedTasks() {
		if t.step.spec.Lasting && t.phase == phaseRunning {
			s.stop(t, now)
		}
	}
}

// lose notes that nothing runs on a worker any more.
func (s *Scheduler) lose(w *worker, why string, now time.Time) {
	if w.gone {
		return
	}
	w.gone, w.listed = true, false
	s.pools = nil
	s.log.Info("worker_lost", "worker", w.registration.Life.ID, "reason", why, "tasks", len(w.tasks))
	s.lapse(w, now)
	if w.open {
		w.open = false
		s.effects.Closed = append(s.effects.Closed, w.registration.Life)
	}
	delete(s.workers, w.registration.Life)
	if s.byID[w.registration.Life.ID] == w {
		delete(s.byID, w.registration.Life.ID)
	}
}

// lapse frees all tasks of a worker whose runs have ended without a report.
func (s *Scheduler) lapse(w *worker, now time.Time) {
	w.lapseLeft()
	for _, t := range w.sortedTasks() {
		s.Counters.Lapsed++
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

// closeIdle leaves a worker that is not registered and runs nothing.
func (s *Scheduler) closeIdle(w *worker, now time.Time) {
	if !w.listed && len(w.tasks) == 0 && len(w.left) == 0 {
		s.lose(w, "unregistered", now)
	}
}

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
		s.lose(w, "address is in use by another worker", now)
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
	running := make(map[work.TaskID]*backend.Run, len(r.Running))
	for i := range r.Running {
		running[r.Running[i].Task] = &r.Running[i]
		s.applyRun(w, &r.Running[i], now)
	}
	s.settleMissing(w, running, sent, r.Truncated, now)
	if !r.Truncated {
		w.settleLeft(running, sent)
	}
	if w.heldToken < sent.token {
		w.heldToken = sent.token
		s.planNeeded = true
	}
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
		if t != nil && t.worker == w && t.run > r.Run {
			return // An older run of the same task that is being replaced there.
		}
		s.sendStop(w, r.Task, r.Run)
		return
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	if r.Percent > t.percent {
		t.progressed = now
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
func (s *Scheduler) settleMissing(w *worker, running map[work.TaskID]*backend.Run, sent HoldSent, truncated bool, now time.Time) {
	for _, t := range w.sortedTasks() {
		if r := running[t.id]; r != nil && r.Run == t.run {
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
		s.Counters.Vanished++
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
