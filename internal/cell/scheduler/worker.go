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
	// questions counts the open questions that name the worker.
	questions int
	// fullness is the part of its capacity in use when workers were last sorted by it.
	fullness float64
	// leaves is the earliest time at which a draining worker ends.
	leaves time.Time
	// failures counts failed runs since the last that completed.
	failures   int
	avoidUntil time.Time
	// slowUntil is until when the worker counts as slow.
	slowUntil time.Time
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
	if _, over := s.replaced[r.Life]; over {
		return
	}
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

// replace notes that another worker has the address of a worker, which is over then.
func (s *Scheduler) replace(w *worker, now time.Time) {
	s.replaced[w.registration.Life] = now
	s.lose(w, "address is in use by another worker", now)
}

// closeIdle leaves a worker that is not registered and runs nothing.
func (s *Scheduler) closeIdle(w *worker, now time.Time) {
	if !w.listed && len(w.tasks) == 0 && len(w.left) == 0 {
		s.lose(w, "unregistered", now)
	}
}
