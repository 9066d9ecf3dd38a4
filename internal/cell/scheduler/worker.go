package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/quota"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// worker is one process of a worker. After the worker has restarted, its new process
// is represented by another value of this type.
type worker struct {
	registration backend.Registration
	// registered is true while the worker is in the list of registered workers.
	registered bool
	// removed is true once the scheduler has removed the worker. No run can exist on
	// it any more.
	removed bool
	// ready is true if the worker could be given tasks when the last scheduling pass
	// began.
	ready bool
	// recorded is true once a commit was told to store a record of the worker. It is then
	// true until the worker is removed.
	recorded bool
	// sessionOpen is true after the caller was told to open a session with the
	// worker, until it is told to close the session.
	sessionOpen bool
	// token is the fencing token that is sent with new orders. confirmedToken is the
	// highest token of a hold that the worker has answered, or 0. The worker gets no new
	// tasks until it is at least requiredToken, which is at most token.
	token, confirmedToken, requiredToken int64
	// usedCapacity is the capacity that runs use. Only addUsage and removeUsage change it,
	// which also charge and release ledger.
	usedCapacity resource.Vector
	ledger       *quota.Ledger
	// usedByTeam is the part of usedCapacity that the runs of each team use.
	usedByTeam map[string]resource.Vector
	tasks      map[work.TaskID]*task
	// images counts the tasks by their images; those without one are left out.
	images []imageCount
	// orphanedRuns contains the runs that may still exist on the worker but do not
	// belong to a task there. They use capacity until they are missing in a report or
	// the lease ends.
	orphanedRuns map[runID]orphanedRun
	// The worker numbers the ends of its runs. lastHandledEndNumber is the number of
	// the last end that was handled. lastStoredEndNumber is the number of the last
	// end whose effect is stored, so that it can be acknowledged.
	lastHandledEndNumber, lastStoredEndNumber int64
	// forgottenEndNumber is the number of the last end that the worker has answered to
	// have forgotten, because it was acknowledged.
	forgottenEndNumber int64
	// endsTruncated is true if the last report may lack ends of runs. It is only logged.
	endsTruncated bool
	// acknowledgedEndNumber is the number of the last end that a hold of this leader has
	// acknowledged, whether or not it was answered. It is only logged.
	acknowledgedEndNumber int64
	// acknowledging is true while a hold with a guarded acknowledgement is unanswered; see
	// hasUnreportedStart. delayedStarts holds the starts that wait for the answer.
	acknowledging bool
	// holdTakesEffect is true if the hold under way extends the lease or acknowledges ends,
	// and heldToken is its fencing token. The next process under the ID may execute it late.
	// Starts that this process may execute before carry a higher token; see startToken.
	holdTakesEffect bool
	heldToken       int64
	// reportedAsOf is when the last hold that the worker has answered was sent.
	reportedAsOf  time.Time
	delayedStarts []Order[backend.Start]
	lostStops     lostStops
	// clockReading is the reading of the worker's clock at clockReadAt.
	clockReading time.Duration
	clockReadAt  time.Time
	// leaseEnd is the time at which all runs on the worker have certainly ended if no
	// further hold renews their lease. formerLeaseEnd is the same for leases that earlier leaders
	// have extended, as of a record that closes the lease, or zero without one.
	leaseEnd       time.Time
	formerLeaseEnd time.Time
	lastAnswerAt   time.Time
	held           holdTimes
	// unansweredHolds counts the holds sent since the worker last answered one.
	unansweredHolds int
	// lateHoldUntil is the time until which a later process under the ID of the worker may
	// execute a hold that extends the lease and that was not answered, and lateHoldToken the
	// fencing token of the last such hold.
	lateHoldUntil time.Time
	lateHoldToken int64
	// requestsInFlight counts the unanswered requests for advice that name the
	// worker.
	requestsInFlight int
	// usedFraction is the fraction of the worker's capacity that was in use when the
	// workers were last sorted by it.
	usedFraction float64
	// drainEnd is the time before which a draining worker does not exit. If drainEndUncertain
	// is true, the worker was draining when this leader first listed it, and may exit earlier by
	// the unknown age of its entry.
	drainEnd          time.Time
	drainEndUncertain bool
	// consecutiveFailures counts the failed runs on the worker since the last
	// completed one. The worker gets no new tasks before avoidUntil.
	consecutiveFailures int
	avoidUntil          time.Time
	// slowUntil is the time until which the worker counts as slow.
	slowUntil time.Time
}

// tokenUnconfirmed reports whether the worker has not yet answered a hold with the required
// fencing token. It may then refuse an order, or have runs that the scheduler does not know
// of.
func (w *worker) tokenUnconfirmed() bool { return w.confirmedToken < w.requiredToken }

// requireToken raises the fencing token, which the worker must then confirm.
func (w *worker) requireToken(token int64) { w.token, w.requiredToken = token, token }

// startToken returns the fencing token for a start with a ticket, which may be empty. It is
// above the token of the hold under way if the next process of the worker may execute the
// start: that process numbers its ends anew and has another clock, and must refuse the hold
// after the start.
func (w *worker) startToken(t ticket) int64 {
	nextProcessMayStart := t.text == "" || w.mayBeForNextProcess(t.receivedAt)
	if w.holdTakesEffect && w.heldToken == w.token && nextProcessMayStart {
		w.token++
	}
	return w.token
}

// mayBeForNextProcess reports whether a ticket that arrived at a given time may have been issued
// for the next process of the worker. One that was issued before the last answered hold was sent
// holds for no process after the one that has answered.
func (w *worker) mayBeForNextProcess(ticketReceivedAt time.Time) bool {
	return ticketReceivedAt.After(w.reportedAsOf)
}

// rack returns the rack of the worker. Its name is the second label of the worker.
func (w *worker) rack() string { return labelAt(w.registration.Labels, 1) }

// labelAt returns the label with index i, or "" if there is none.
func labelAt(labels []string, i int) string {
	if i < len(labels) {
		return labels[i]
	}
	return ""
}

func (w *worker) freeCapacity() resource.Vector { return w.registration.Capacity.Sub(w.usedCapacity) }

func (w *worker) addTask(t *task) {
	w.tasks[t.id] = t
	w.addUsage(usageOf(t))
	w.countImage(t.step.spec.Image, 1)
}

func (w *worker) removeTask(t *task) {
	if w.tasks[t.id] != t {
		return
	}
	delete(w.tasks, t.id)
	w.removeUsage(usageOf(t))
	w.countImage(t.step.spec.Image, -1)
}

// tasksSortedByID returns the tasks on the worker, sorted by their IDs.
func (w *worker) tasksSortedByID() []*task {
	tasks := slices.Collect(maps.Values(w.tasks))
	sortTasksByID(tasks)
	return tasks
}

func sortTasksByID(tasks []*task) {
	slices.SortFunc(tasks, func(a, b *task) int { return a.id.Compare(b.id) })
}

// SetWorkers replaces the list of registered workers. A worker that is no longer in
// the list is removed once it has no runs.
func (s *Scheduler) SetWorkers(list []backend.Registration, now time.Time) {
	listed := make(map[backend.Life]bool, len(list))
	for i := range list {
		listed[list[i].Life] = true
		s.updateRegistration(list[i], now)
	}
	s.logOpenedWorkers()
	for _, life := range s.sortedLives() {
		if w := s.workers[life]; w.registered && !listed[life] {
			w.registered = false
			s.pools = nil
			s.log.Info("worker_unlisted", "worker", life.ID, "tasks", len(w.tasks))
			s.removeWorkerIfIdle(w, now)
		}
	}
	s.schedulingNeeded = true
}

// updateRegistration adds a registered worker or updates its registration. A worker
// that has restarted replaces its earlier process. Registrations of earlier
// processes, and of those whose address belongs to another worker, are ignored.
func (s *Scheduler) updateRegistration(r backend.Registration, now time.Time) {
	if _, over := s.replacedLives[r.Life]; over {
		return
	}
	if latest := s.latestWorkerByID[r.Life.ID]; latest != nil && latest.registration.Life.Born > r.Life.Born {
		return
	}
	w := s.workers[r.Life]
	if w == nil {
		w = s.addWorker(r, now)
		s.replaceEarlierProcesses(w, now)
	}
	if old := s.latestWorkerByID[r.Life.ID]; old != nil && old != w {
		s.replaceProcess(old, w, "restarted", now)
	}
	s.latestWorkerByID[r.Life.ID] = w
	if r.Draining && (w.drainEnd.IsZero() || !w.registration.Draining) {
		w.drainEndUncertain = !w.registered
		w.drainEnd = now.Add(max(r.Remaining-drainNoticeDelay, 0))
		s.log.Info("worker_draining", "worker", r.Life.ID, "remaining_ms", r.Remaining.Milliseconds(), "tasks", len(w.tasks))
	}
	if !w.registered || !hasSamePlaces(w.registration, r) {
		s.pools = nil
	}
	w.registration, w.registered = r, true
	if w.runs() > 0 {
		s.recordWorker(w) // Its address may have been unknown before.
	}
	if !w.sessionOpen && !w.removed {
		s.openSession(w)
	}
	s.stopLastingTasksIfDraining(w, now)
}

// hasSamePlaces reports whether two registrations of a worker don't differ in what decides
// which tasks it may get.
func hasSamePlaces(a, b backend.Registration) bool {
	return a.Service == b.Service && a.Draining == b.Draining && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// openSession tells the caller to open a session with a worker.
func (s *Scheduler) openSession(w *worker) {
	w.sessionOpen = true
	s.effects.SessionsToOpen = append(s.effects.SessionsToOpen, w.registration)
	s.openedWorkers = append(s.openedWorkers, w)
}

// formerToken is the last fencing token of a removed worker.
type formerToken struct {
	token     int64
	removedAt time.Time
}

// firstToken returns the fencing token for the first hold to a new process under the ID of
// a worker. It is higher than each token that was sent to earlier processes under this
// ID: an order that names only the ID may reach any of them.
func (s *Scheduler) firstToken(id string) int64 {
	token := s.epoch << tokenCounterBits
	if former, ok := s.formerTokens[id]; ok {
		token = max(token, former.token+1)
	}
	if w := s.latestWorkerByID[id]; w != nil {
		token = max(token, w.token+1)
	}
	return token
}

func (s *Scheduler) addWorker(r backend.Registration, now time.Time) *worker {
	w := &worker{registration: r, ledger: s.quota, tasks: map[work.TaskID]*task{}, orphanedRuns: map[runID]orphanedRun{}, lastAnswerAt: now}
	w.requireToken(s.firstToken(r.Life.ID))
	s.workers[r.Life] = w
	s.pools, s.lives = nil, nil
	if s.latestWorkerByID[r.Life.ID] == nil {
		s.latestWorkerByID[r.Life.ID] = w
	}
	return w
}

// stopLastingTasksIfDraining stops the lasting tasks on a worker if it is draining,
// so that they move to another worker. Other tasks may end before the worker exits. A start that
// was under way when the worker began to drain may be confirmed after that.
func (s *Scheduler) stopLastingTasksIfDraining(w *worker, now time.Time) {
	if !w.registration.Draining {
		return
	}
	for _, t := range w.tasksSortedByID() {
		if t.step.spec.Lasting && t.phase == phaseRunning {
			s.stopTask(t, now)
		}
	}
}

// removeWorker removes a worker on which no run exists any more, and requeues its
// tasks.
func (s *Scheduler) removeWorker(w *worker, reason string, now time.Time) {
	if w.removed {
		return
	}
	w.removed, w.registered = true, false
	s.pools = nil
	s.log.Info("worker_lost", "worker", w.registration.Life.ID, "born", w.registration.Life.Born, "reason", reason, "tasks", len(w.tasks))
	for id := range w.orphanedRuns {
		s.removeOrphanedRun(w, id)
	}
	s.requeueLapsedRuns(w, func(*task) bool { return true }, now)
	if w.sessionOpen {
		w.sessionOpen = false
		s.effects.SessionsToClose = append(s.effects.SessionsToClose, w.registration.Life)
	}
	if w.recorded {
		s.workerRecordsToDelete = append(s.workerRecordsToDelete, w.registration.Life)
	}
	delete(s.workers, w.registration.Life)
	s.reopenLeaseOfEndedProcess(w.registration.Life)
	s.formerTokens[w.registration.Life.ID] = formerToken{max(w.token, s.formerTokens[w.registration.Life.ID].token), now}
	s.lives = nil
	if s.latestWorkerByID[w.registration.Life.ID] == w {
		delete(s.latestWorkerByID, w.registration.Life.ID)
	}
}

// replaceProcess removes a worker process after a later one under the same ID is known.
// The runs that the earlier process has reported ended with it. Any other start order may
// have reached the later process instead, so these tasks move there: its first report
// shows whether they run.
func (s *Scheduler) replaceProcess(old, next *worker, reason string, now time.Time) {
	moved := 0
	for _, t := range old.tasksSortedByID() {
		if t.runReported || t.phase == phasePlaced || t.startDelayed {
			continue
		}
		old.removeTask(t)
		t.worker, t.runConfirmed = next, false
		next.addTask(t)
		if t.phase == phaseStopping {
			next.lostStops.add(runID{t.id, t.runNumber}) // The order named the earlier process.
		}
		if t.phase == phaseRunning {
			t.phase = phaseStartOrdered
		}
		moved++
	}
	moved += s.moveLateOrphanedRuns(old, next, now)
	old.noteUnansweredHold(s.timing)
	next.noteLateHold(old.lateHoldUntil, old.lateHoldToken)
	if next.token <= old.token {
		next.requireToken(old.token + 1)
	}
	if moved > 0 {
		next.extendLease(now, s.timing)
		s.recordWorker(next)
		s.log.Info("starts_moved", "worker", next.registration.Life.ID, "born", next.registration.Life.Born, "earlier_born", old.registration.Life.Born, "tasks", moved)
	}
	s.removeWorker(old, reason, now)
}

// replaceEarlierProcesses replaces all earlier processes under the ID of a worker. There are
// several if the stored placements of jobs name several.
func (s *Scheduler) replaceEarlierProcesses(next *worker, now time.Time) {
	var earlier []*worker
	for life, w := range s.workers {
		if life.ID == next.registration.Life.ID && life.Born < next.registration.Life.Born {
			earlier = append(earlier, w)
		}
	}
	slices.SortFunc(earlier, func(a, b *worker) int { return compareLives(a.registration.Life, b.registration.Life) })
	for _, w := range earlier {
		s.replaceProcess(w, next, "restarted", now)
	}
}

// otherProcessAnswered handles a report of another process than the one that the hold was
// meant for. It tells that a worker has restarted before the list of workers does.
func (s *Scheduler) otherProcessAnswered(w *worker, life backend.Life, now time.Time) {
	if life.Born < w.registration.Life.Born {
		s.log.Info("earlier_process_answered", "worker", life.ID, "born", w.registration.Life.Born, "answered_born", life.Born)
		s.HoldFailed(w.registration.Life, backend.KindUnknown, now)
		return
	}
	next := s.workers[life]
	if next == nil {
		r := w.registration
		r.Life = life
		next = s.addWorker(r, now)
	}
	if !next.sessionOpen {
		next.registration.Address, next.registration.Zone = w.registration.Address, w.registration.Zone
		s.openSession(next)
		s.logOpenedWorkers()
	}
	if next.runs() > 0 {
		s.recordWorker(next)
	}
	s.replaceProcess(w, next, "another life of the worker answered", now)
	s.latestWorkerByID[life.ID] = next
}

// replaceWorker removes a worker whose address now belongs to another worker.
func (s *Scheduler) replaceWorker(w *worker, now time.Time) {
	s.replacedLives[w.registration.Life] = now
	s.removeWorker(w, "address is in use by another worker", now)
}

// removeWorkerIfIdle removes a worker if it is not registered any more and has
// neither tasks nor orphaned runs.
func (s *Scheduler) removeWorkerIfIdle(w *worker, now time.Time) {
	if !w.registered && len(w.tasks) == 0 && len(w.orphanedRuns) == 0 {
		s.removeWorker(w, "unregistered", now)
	}
}
