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
	// registered is true while the worker is in the list of registered workers.
	registered bool
	// lost is true once none of its runs can exist any more.
	lost bool
	// ready is true if the worker could accept a start when the last plan began.
	ready bool
	// sessionOpen is true while the caller is asked to send holds to the worker.
	sessionOpen bool
	// token is the fencing token of new orders; confirmedToken is the highest token
	// of a hold that the worker has answered, or 0.
	token, confirmedToken int64
	used                  resource.Vector
	tasks                 map[work.TaskID]*task
	// orphans holds the runs that may still exist on the worker but no longer belong
	// to a task there. They take room until a report lacks them or the lease ends.
	orphans map[runID]orphan
	// lastHandledEnd is the number of the last end that was handled; lastStoredEnd
	// is the last whose effect is stored, which can be acknowledged.
	lastHandledEnd, lastStoredEnd int64
	// clock is the reading of the worker's clock at clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
	// leaseEnd is when the runs on the worker have ended for certain if no further
	// hold renews their lease.
	leaseEnd   time.Time
	lastAnswer time.Time
	// unansweredHolds counts the holds sent since lastAnswer.
	unansweredHolds int
	// requestsInFlight counts the requests for advice in flight that name the
	// worker.
	requestsInFlight int
	// usedFraction is the fraction of the worker's capacity that was in use when the
	// workers were last sorted by it.
	usedFraction float64
	// drainEnd is the earliest time at which a draining worker exits.
	drainEnd time.Time
	// consecutiveFailures counts the failed runs since the last completed one. No
	// new work is placed on the worker before avoidUntil.
	consecutiveFailures int
	avoidUntil          time.Time
	// slowUntil is when the worker stops counting as slow.
	slowUntil time.Time
}

// tokenUnconfirmed reports whether the worker has not answered a hold with its
// current token yet. It may then refuse an order, or have runs that the scheduler
// does not know of.
func (w *worker) tokenUnconfirmed() bool { return w.confirmedToken != w.token }

// rack returns the second label of the worker, which is its rack.
func (w *worker) rack() string { return labelAt(w.registration.Labels, 1) }

// labelAt returns the label with an index, or "" if there is none.
func labelAt(labels []string, i int) string {
	if i < len(labels) {
		return labels[i]
	}
	return ""
}

func (w *worker) free() resource.Vector { return w.registration.Capacity.Sub(w.used) }

func (w *worker) addTask(t *task) {
	w.tasks[t.id] = t
	w.used = w.used.Add(t.step.spec.ReservedCapacity())
}

func (w *worker) removeTask(t *task) {
	if w.tasks[t.id] != t {
		return
	}
	delete(w.tasks, t.id)
	w.used = w.used.Sub(t.step.spec.ReservedCapacity())
}

// sortedTasks returns the tasks on the worker in order of their IDs.
func (w *worker) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int { return a.id.Compare(b.id) })
}

// SetWorkers replaces the list of registered workers.
func (s *Scheduler) SetWorkers(list []backend.Registration, now time.Time) {
	listed := make(map[backend.Life]bool, len(list))
	for i := range list {
		listed[list[i].Life] = true
		s.updateRegistration(list[i], now)
	}
	for _, life := range s.Workers() {
		if w := s.workers[life]; w.registered && !listed[life] {
			w.registered = false
			s.pools = nil
			s.log.Info("worker_unlisted", "worker", life.ID, "tasks", len(w.tasks))
			s.removeIfIdle(w, now)
		}
	}
	s.planNeeded = true
}

// updateRegistration adds or updates a registered worker. A newer life of a worker
// replaces the older one; registrations of replaced or older lives are ignored.
func (s *Scheduler) updateRegistration(r backend.Registration, now time.Time) {
	if _, over := s.replaced[r.Life]; over {
		return
	}
	if latest := s.latestByID[r.Life.ID]; latest != nil && latest.registration.Life.Born > r.Life.Born {
		return
	}
	w := s.workers[r.Life]
	if w == nil {
		w = s.addWorker(r, now)
	}
	if old := s.latestByID[r.Life.ID]; old != nil && old != w {
		s.removeWorker(old, "restarted", now)
	}
	s.latestByID[r.Life.ID] = w
	if r.Draining && !w.registration.Draining {
		w.drainEnd = now.Add(r.Remaining)
		s.log.Info("worker_draining", "worker", r.Life.ID, "remaining_ms", r.Remaining.Milliseconds(), "tasks", len(w.tasks))
	}
	w.registration, w.registered = r, true
	s.pools = nil
	if !w.sessionOpen && !w.lost {
		w.sessionOpen = true
		s.effects.Opened = append(s.effects.Opened, r)
		s.log.Info("worker_opened", "worker", r.Life.ID, "service", r.Service, "zone", r.Zone, "capacity", r.Capacity.String())
	}
	s.stopLastingIfDraining(w, now)
}

func (s *Scheduler) addWorker(r backend.Registration, now time.Time) *worker {
	w := &worker{registration: r, token: s.epoch << tokenCounterBits, tasks: map[work.TaskID]*task{}, orphans: map[runID]orphan{}, lastAnswer: now}
	s.workers[r.Life] = w
	s.pools = nil
	if s.latestByID[r.Life.ID] == nil {
		s.latestByID[r.Life.ID] = w
	}
	return w
}

// stopLastingIfDraining stops the lasting tasks on a draining worker, so that they
// move to another one. Other tasks may end in the time that is left.
func (s *Scheduler) stopLastingIfDraining(w *worker, now time.Time) {
	if !w.registration.Draining {
		return
	}
	for _, t := range w.sortedTasks() {
		if t.step.spec.Lasting && t.phase == phaseRunning {
			s.stopTask(t, now)
		}
	}
}

// removeWorker removes a worker on which no run can exist any more, and requeues
// its tasks.
func (s *Scheduler) removeWorker(w *worker, reason string, now time.Time) {
	if w.lost {
		return
	}
	w.lost, w.registered = true, false
	s.pools = nil
	s.log.Info("worker_lost", "worker", w.registration.Life.ID, "reason", reason, "tasks", len(w.tasks))
	s.lapseRuns(w, now)
	if w.sessionOpen {
		w.sessionOpen = false
		s.effects.Closed = append(s.effects.Closed, w.registration.Life)
	}
	delete(s.workers, w.registration.Life)
	if s.latestByID[w.registration.Life.ID] == w {
		delete(s.latestByID, w.registration.Life.ID)
	}
}

// replaceWorker removes a worker whose address now belongs to another worker.
func (s *Scheduler) replaceWorker(w *worker, now time.Time) {
	s.replaced[w.registration.Life] = now
	s.removeWorker(w, "address is in use by another worker", now)
}

// removeIfIdle removes a worker that is not registered and has no runs.
func (s *Scheduler) removeIfIdle(w *worker, now time.Time) {
	if !w.registered && len(w.tasks) == 0 && len(w.orphans) == 0 {
		s.removeWorker(w, "unregistered", now)
	}
}
