package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// dispatchRequests sends the pending requests for advice to idle VMs, in the order
// of the jobs.
func (s *Scheduler) dispatchRequests(order []*job, now time.Time) {
	if len(s.dispatcher.pending) == 0 {
		return
	}
	idle, ok := s.dispatcher.idleVM(now)
	stepsAhead := map[string]int{}
	limits := s.newRequestLimits()
	for _, j := range order {
		if !ok {
			return
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				q := s.dispatcher.pending[st]
				if q == nil || !ok || !limits.allow(q) || (st.open && !s.worthRequesting(st, q, stepsAhead)) {
					continue
				}
				if workers := s.workersForRequest(st, q, now); len(workers) > 0 {
					s.sendRequest(st, requestSpec{workers, q.Advice}, idle, now)
					idle, ok = s.dispatcher.idleVM(now)
					limits.add(q)
				}
			}
		}
	}
}

// requestLimits limits how many VMs are busy with requests for one service, and
// with slow requests, so that some stay free for other services and shorter
// requests.
//
// After an outage all jobs request advice at once. Without the limits, the slow
// requests of a few large jobs keep every VM busy while hundreds of urgent jobs
// wait for an answer that takes a thirtieth of the time.
type requestLimits struct {
	// byService and slow count the requests in flight. Short requests are neither
	// counted nor limited.
	byService             map[string]int
	slow                  int
	maxByService, maxSlow int
}

// newRequestLimits returns the limits with the requests in flight already counted.
func (s *Scheduler) newRequestLimits() *requestLimits {
	vms := float64(len(s.dispatcher.vms))
	l := &requestLimits{byService: map[string]int{}, maxByService: max(int(maxServiceShare*vms), 1), maxSlow: max(int(maxSlowShare*vms), 1)}
	for _, o := range s.dispatcher.inFlight {
		if q := s.table.Queue(o.step.job.spec.Queue); q != nil {
			l.add(q)
		}
	}
	return l
}

func isSlowRequest(q *queue.Queue) bool { return q.Advice != nil && q.Advice.Fixed >= slowRequestTime }

func isShortRequest(q *queue.Queue) bool {
	return q.Advice == nil || q.Advice.Fixed <= shortRequestTime
}

// allow reports whether another request for a queue may be sent.
func (l *requestLimits) allow(q *queue.Queue) bool {
	return isShortRequest(q) || (l.byService[q.Service] < l.maxByService && (!isSlowRequest(q) || l.slow < l.maxSlow))
}

// add counts a request for a queue that is in flight.
func (l *requestLimits) add(q *queue.Queue) {
	if isShortRequest(q) {
		return
	}
	l.byService[q.Service]++
	if isSlowRequest(q) {
		l.slow++
	}
}

// worthRequesting reports whether a step could use tickets before they expire:
// there is room, or the step is among the first of its service that wait for room.
// stepsAhead counts the steps that wait for room, by service.
//
// Under a backlog, tickets for steps further back would expire unused, while the
// steps at the front wait for a VM.
func (s *Scheduler) worthRequesting(st *step, q *queue.Queue, stepsAhead map[string]int) bool {
	if st.spec.ReservedCapacity().Fits(s.poolOf(q.Service).maxFree) || st.reservedSoonFree(q) {
		return true
	}
	stepsAhead[q.Service]++
	return len(st.advice.answered) == 0 && stepsAhead[q.Service] <= maxStepsAhead
}

// workersForRequest returns the workers to request advice about, or none if the
// tickets of the step suffice.
func (s *Scheduler) workersForRequest(st *step, q *queue.Queue, now time.Time) []*worker {
	var stale []*worker
	places := 0
	for w := range st.advice.tickets {
		if !w.accepts(q) || s.reservations.reservedForOther(w, st.job) {
			continue
		}
		places += min(countPlaces(st.spec.ReservedCapacity(), w.free()), taskLimitLeft(w, st))
		if !st.advice.hasValidTicket(w, now) {
			stale = append(stale, w)
		}
	}
	if len(st.advice.awaited) == 0 {
		switch {
		case s.isLarge(st, q) && len(st.advice.reserved) > 0:
			if st.reservedSoonFree(q) {
				return st.advice.reservedWithoutTicket(now.Add(q.Advice.RequestDuration(len(st.advice.reserved))))
			}
		case places > 0 && len(stale) > 0 && !s.isLarge(st, q):
			return mostLikelyFree(stale, st)
		}
	}
	if s.needsMorePlaces(st, places) {
		return s.unrequestedWorkers(st, q)
	}
	return nil
}

// needsMorePlaces reports whether the tickets of a step and its requests in flight
// are expected to give too few places. places is the number of places on the
// workers with tickets.
//
// The requests of a wide gang are in flight at the same time: if they were sent one
// after the other, the tickets of the first would have expired by the time the last
// was answered.
func (s *Scheduler) needsMorePlaces(st *step, places int) bool {
	if !st.spec.Gang {
		return places == 0 && len(st.advice.awaited) == 0
	}
	expected := float64(places)
	for w := range st.advice.awaited {
		expected += s.dispatcher.approvedShare(st.job.spec.Queue) * float64(min(countPlaces(st.spec.ReservedCapacity(), w.free()), taskLimitLeft(w, st)))
	}
	return expected < float64(st.spec.Count)
}

// reservedSoonFree reports whether the workers that are reserved for a step are
// expected to have room by the time a request about them is answered.
//
// This times the requests of large tasks that wait in a full pool. Tickets
// requested before there is a reservation expire before it is the task's turn, and
// with tickets requested only once there is room, the room is unused until the
// answer.
func (st *step) reservedSoonFree(q *queue.Queue) bool {
	return len(st.advice.reserved) > 0 && st.advice.reservedFreeIn <= q.Advice.RequestDuration(len(st.advice.reserved))
}

// reservedWithoutTicket returns the reserved workers whose tickets are not valid at
// a time, namely when a request about them would be answered.
//
// Requests for a gang can take nearly as long as a ticket is valid. Refreshing only
// the tickets that have expired by now would let others expire meanwhile, so that
// the tickets of a gang would never all be valid at once.
func (a *advice) reservedWithoutTicket(at time.Time) []*worker {
	var stale []*worker
	for _, w := range a.reserved[:min(len(a.reserved), maxWorkersPerRequest)] {
		if !a.hasValidTicket(w, at) {
			stale = append(stale, w)
		}
	}
	return stale
}

// countPlaces returns how many tasks of size room fit into the free capacity.
func countPlaces(room, free resource.Vector) int {
	places := int64(work.MaxTasks)
	sizes, left := room.Amounts(), free.Amounts()
	for i := range sizes {
		if sizes[i] > 0 {
			places = min(places, max(left[i], 0)/sizes[i])
		}
	}
	return int(places)
}

// mostLikelyFree returns the workers to ask about again, at most as many as fit
// into one request: first those in the rack of the step's data, then the least
// used.
func mostLikelyFree(list []*worker, st *step) []*worker {
	for _, w := range list {
		w.usedFraction = w.used.DominantFraction(w.registration.Capacity)
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(rackRank(a, st), rackRank(b, st)), cmp.Compare(a.usedFraction, b.usedFraction), compareLives(a.registration.Life, b.registration.Life))
	})
	return list[:min(len(list), maxWorkersPerRequest)]
}

// rackRank returns 0 for workers in the rack that holds the data of a step, and 1
// for others.
func rackRank(w *worker, st *step) int {
	if st.spec.Rack != "" && w.rack() == st.spec.Rack {
		return 0
	}
	return 1
}

// approvedPerRequest is the expected number of approved workers in a full request.
const approvedPerRequest = 12

// unrequestedWorkers returns workers for which a step has neither an answer nor a
// request in flight, at most as many as fit into one request: first those in the
// rack of the step's data, then those with room that no request of any step names,
// then those with room, then the rest. Within each group the least used come first.
// For small tasks, the most used come first while a large step waits.
//
// When many jobs come at once, requests of all of them about the same few workers
// would bring tickets for room that the first of the jobs takes. Small tasks on the
// least used workers would leave no whole worker for the large tasks.
func (s *Scheduler) unrequestedWorkers(st *step, q *queue.Queue) []*worker {
	p := s.poolOf(q.Service)
	if len(st.advice.answered) >= len(p.workers) {
		maps.DeleteFunc(st.advice.answered, func(w *worker, _ bool) bool { return w.lost })
	}
	if len(st.advice.answered) >= len(p.workers) {
		return nil
	}
	order := p.leastUsedFirst()
	minPlaces := 1
	if p.largeStepWaiting && !s.isLarge(st, q) {
		order = p.mostUsedFirst()
		minPlaces = 1 + st.waitingTasks()/approvedPerRequest
	}
	hasPlaces := func(w *worker) bool {
		return countPlaces(st.spec.ReservedCapacity(), w.free()) >= minPlaces && !s.reservations.reservedForOther(w, st.job)
	}
	var list []*worker
	addMatching := func(matches func(w *worker) bool) {
		for i := 0; i < len(order) && len(list) < maxWorkersPerRequest; i++ {
			if w := order[i]; matches(w) && !st.advice.answered[w] && !st.advice.awaited[w] && canRun(w, st) && !slices.Contains(list, w) {
				list = append(list, w)
			}
		}
	}
	if st.spec.Rack != "" {
		addMatching(func(w *worker) bool { return w.rack() == st.spec.Rack })
	}
	addMatching(func(w *worker) bool { return w.requestsInFlight == 0 && hasPlaces(w) })
	addMatching(hasPlaces)
	addMatching(func(*worker) bool { return true })
	return list
}

// waitingTasks returns the number of tasks of a step that wait for a worker.
func (st *step) waitingTasks() int {
	n := 0
	for _, t := range st.tasks {
		if t.phase == phaseWaiting {
			n++
		}
	}
	return n
}
