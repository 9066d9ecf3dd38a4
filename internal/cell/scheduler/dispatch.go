package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// dispatchAdviceRequests has idle VMs send requests for the steps that need tickets.
// The steps of jobs at the front of sortedJobs come first.
func (s *Scheduler) dispatchAdviceRequests(sortedJobs []*job, now time.Time) {
	if len(s.dispatcher.pendingSteps) == 0 {
		return
	}
	idle, ok := s.dispatcher.idleVM(now)
	if !ok {
		return
	}
	limits := s.newRequestLimits(now)
	candidates := s.requestCandidates(sortedJobs)
	if len(s.dispatcher.vms) > 1 && limits.requestsInFlight == 0 {
		if idle, ok = s.dispatchDelayedRequest(candidates, limits, idle, now); !ok {
			return
		}
	}
	idle, ok = s.dispatchWithinLimits(candidates, limits, idle, now)
	if !ok {
		return
	}
	// The VMs that are still idle are lent to the requests that the limits hold back.
	limits.maxRequestsPerService, limits.maxSlowRequests = limits.maxRequests, limits.maxRequests
	s.dispatchWithinLimits(candidates, limits, idle, now)
}

// maxRequestDelay is how long steps without short requests wait for a VM before one of them is
// sent its request first.
const maxRequestDelay = time.Second

// dispatchDelayedRequest has the VM named idle send the first request that is not short, of the
// step that has waited longest since its last one, and for at least maxRequestDelay. Nothing
// else limits how many VMs are busy with short requests: those of urgent jobs can keep all of
// them busy. It returns the next idle VM; ok is false if there is none.
func (s *Scheduler) dispatchDelayedRequest(candidates []*requestCandidate, limits *requestLimits, idle string, now time.Time) (nextIdle string, ok bool) {
	var delayed []*requestCandidate
	for _, c := range candidates {
		if !hasShortRequests(c.queue) && c.step.open && now.Sub(c.step.openedAt) >= maxRequestDelay && now.Sub(c.step.advice.requestedAt) >= maxRequestDelay {
			delayed = append(delayed, c)
		}
	}
	slices.SortStableFunc(delayed, func(a, b *requestCandidate) int {
		return a.step.advice.requestedAt.Compare(b.step.advice.requestedAt)
	})
	perService, slow, all := limits.maxRequestsPerService, limits.maxSlowRequests, limits.maxRequests
	limits.maxRequestsPerService, limits.maxSlowRequests, limits.maxRequests = 1, 1, 1
	nextIdle, ok = s.dispatchWithinLimits(delayed, limits, idle, now)
	limits.maxRequestsPerService, limits.maxSlowRequests, limits.maxRequests = perService, slow, all
	return nextIdle, ok
}

// requestCandidate is a step that needs tickets.
type requestCandidate struct {
	step  *step
	queue *queue.Queue
	// done is true once a request was sent for the step. noRequestNeeded is true once
	// workersForRequest has returned no workers for it: further requests for other
	// steps do not change that.
	done, noRequestNeeded bool
}

// requestCandidates returns the steps of jobs that need tickets, in the order of the
// jobs.
func (s *Scheduler) requestCandidates(sortedJobs []*job) []*requestCandidate {
	list := make([]requestCandidate, 0, len(s.dispatcher.pendingSteps))
	candidates := make([]*requestCandidate, 0, len(s.dispatcher.pendingSteps))
	for _, j := range sortedJobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if q := s.dispatcher.pendingSteps[st]; q != nil {
					list = append(list, requestCandidate{step: st, queue: q})
					candidates = append(candidates, &list[len(list)-1])
				}
			}
		}
	}
	return candidates
}

// dispatchWithinLimits has idle VMs send requests, first the VM named idle, until no VM
// is idle or the limits allow no further request. It returns the next idle VM; ok is
// false if there is none.
func (s *Scheduler) dispatchWithinLimits(candidates []*requestCandidate, limits *requestLimits, idle string, now time.Time) (nextIdle string, ok bool) {
	stepsWithoutCapacity := map[*workerClass]int{}
	for _, c := range candidates {
		st, q := c.step, c.queue
		if c.done || !limits.allowsRequest(q) || (st.open && !s.isAdviceWorthRequesting(st, q, stepsWithoutCapacity)) || c.noRequestNeeded {
			continue
		}
		workers := s.workersForRequest(st, q, now)
		if len(workers) == 0 {
			c.noRequestNeeded = true
			continue
		}
		c.done = true
		s.sendAdviceRequest(st, requestSpec{workers, q.Advice}, idle, now)
		if hasShortRequests(q) {
			s.dispatcher.shortRequestUsage.add(q.Advice.RequestDuration(len(workers)), now)
		}
		limits.countRequestInFlight(q)
		if idle, ok = s.dispatcher.idleVM(now); !ok {
			return "", false
		}
	}
	return idle, true
}

// requestLimits limits the number of VMs that are busy with requests for one service,
// with slow requests, and with all requests that are not short. The other VMs stay free
// for other services and for faster requests.
//
// After an outage all jobs request advice at once. Without the limits, the slow
// requests of a few large jobs keep every VM busy, while hundreds of urgent jobs wait
// for answers that take a thirtieth of the time.
type requestLimits struct {
	// requestsInFlightByService, slowRequestsInFlight and requestsInFlight count the
	// unanswered requests. Short requests are neither counted nor limited.
	requestsInFlightByService                           map[string]int
	slowRequestsInFlight, requestsInFlight              int
	maxRequestsPerService, maxSlowRequests, maxRequests int
}

// newRequestLimits returns the limits for the current number of VMs, with all
// unanswered requests counted. The VMs that short requests need are kept for them.
func (s *Scheduler) newRequestLimits(now time.Time) *requestLimits {
	vms := len(s.dispatcher.vms)
	kept := s.vmsKeptForShortRequests(now)
	l := &requestLimits{
		requestsInFlightByService: map[string]int{}, maxRequestsPerService: max(int(maxVMSharePerService*float64(vms)), 1),
		maxSlowRequests: max(int(maxVMShareForSlowRequests*float64(vms)), 1), maxRequests: max(vms-kept, 1),
	}
	for _, o := range s.dispatcher.inFlightRequests {
		if q := s.queueOf(o.step.job); q != nil {
			l.countRequestInFlight(q)
		}
	}
	return l
}

// vmsKeptForShortRequests returns the number of VMs that only short requests may use.
// It is a multiple of the number that they have lately kept busy, or a fixed share
// until a new leader has observed that for usageMeterPeriod.
func (s *Scheduler) vmsKeptForShortRequests(now time.Time) int {
	vms := len(s.dispatcher.vms)
	if now.Sub(s.clockBase) < usageMeterPeriod {
		return vms - int(maxVMSharePerService*float64(vms))
	}
	needed := math.Ceil(shortRequestHeadroom * s.dispatcher.shortRequestUsage.rate(now))
	return min(max(int(needed), 1), vms/2)
}

func hasSlowRequests(q *queue.Queue) bool {
	return q.Advice != nil && q.Advice.Fixed >= minSlowRequestTime
}

func hasShortRequests(q *queue.Queue) bool {
	return q.Advice == nil || q.Advice.Fixed <= maxShortRequestTime
}

// allowsRequest reports whether another request for a step of a queue may be sent.
func (l *requestLimits) allowsRequest(q *queue.Queue) bool {
	if hasShortRequests(q) {
		return true
	}
	return l.requestsInFlight < l.maxRequests && l.requestsInFlightByService[q.Service] < l.maxRequestsPerService && (!hasSlowRequests(q) || l.slowRequestsInFlight < l.maxSlowRequests)
}

// countRequestInFlight counts one unanswered request for a step of a queue.
func (l *requestLimits) countRequestInFlight(q *queue.Queue) {
	if hasShortRequests(q) {
		return
	}
	l.requestsInFlight++
	l.requestsInFlightByService[q.Service]++
	if hasSlowRequests(q) {
		l.slowRequestsInFlight++
	}
}

// markOutrankedSteps notes for each open step that needs tickets whether the steps
// before it in the scheduling order need all free capacity of the workers that may run it.
// It leaves out large steps, which need entire workers and reserve them. A step whose tasks
// exceed the cap of their team together with those of the steps before it needs no tickets.
func (s *Scheduler) markOutrankedSteps(sortedJobs []*job, now time.Time) {
	if len(s.dispatcher.pendingSteps) == 0 {
		return
	}
	claims := quotaClaims{}
	for _, j := range sortedJobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				q := s.dispatcher.pendingSteps[st]
				if q == nil || !st.open {
					continue
				}
				tasks := claims.claim(s, st)
				if tasks == 0 && st.countWaitingTasks() > 0 {
					st.advice.outranked = false
					s.dispatcher.removePendingStep(st)
					continue
				}
				if s.isLargeStep(st, q) {
					continue
				}
				st.advice.outranked = s.poolOfService(q.Service).claimCapacity(st, func() int { return s.claimableTasks(st, q, tasks, now) })
			}
		}
	}
}

// isAdviceWorthRequesting reports whether an open step could use tickets before they
// expire. It could if a worker has enough free capacity for a task now or soon. If the
// steps before it need all free capacity, it may request advice only once. If no worker
// has enough, it may do so only if it is among the first steps that wait for capacity of
// the same workers. stepsWithoutCapacity counts these steps. While none of these workers
// answers, it requests nothing.
//
// Under a backlog, tickets for steps further back would expire unused, while the
// steps at the front wait for a VM to send their requests.
func (s *Scheduler) isAdviceWorthRequesting(st *step, q *queue.Queue, stepsWithoutCapacity map[*workerClass]int) bool {
	if st.areReservedWorkersSoonFree(q) {
		return true
	}
	class := s.poolOfService(q.Service).classOf(st.spec.Label)
	if st.spec.ReservedCapacity().Fits(class.maxFreeCapacity) {
		return !st.advice.outranked || len(st.advice.answered) == 0
	}
	if class.readyWorkers == 0 {
		return false
	}
	stepsWithoutCapacity[class]++
	return len(st.advice.answered) == 0 && stepsWithoutCapacity[class] <= maxStepsWithoutCapacity
}

// workersForRequest returns the workers about which a step should request advice now.
// The result is empty if the step has enough tickets.
func (s *Scheduler) workersForRequest(st *step, q *queue.Queue, now time.Time) []*worker {
	if !st.spec.Gang && len(st.advice.workersAwaitingAnswer) > 0 {
		return nil // Only a gang has several requests in flight.
	}
	var stale []*worker
	places, expectedEnd := 0, now.Add(s.runTimes.expectedOccupancy(st))
	for w, t := range st.advice.tickets {
		if !w.ready || !w.acceptsTasksOf(q) || s.reservations.blocksTask(w, st, expectedEnd) {
			continue
		}
		if st.spec.Gang || places == 0 {
			places += usablePlaces(w, st)
		}
		if !t.isValid(now) {
			stale = append(stale, w)
		}
	}
	if len(st.advice.workersAwaitingAnswer) == 0 {
		switch {
		case s.isLargeStep(st, q) && len(st.advice.reservedWorkers) > 0:
			asksOthers := !st.advice.areReservedWorkersReady() && st.hasUnansweredWorker(s.poolOfService(q.Service)) || !st.spec.Gang && places == 0 && s.hasUnansweredPlace(st, q)
			if st.areReservedWorkersSoonFree(q) && !asksOthers {
				return st.advice.reservedWorkersWithoutValidTicket(now.Add(q.Advice.RequestDuration(len(st.advice.reservedWorkers))))
			}
		case len(stale) > 0 && places >= st.placesNeededToStart():
			return workersMostLikelyFree(stale, st)
		}
	}
	missing := s.countMissingPlaces(st, places)
	if missing <= 0 {
		return nil
	}
	if list := s.workersWithoutRequest(st, q, missing); len(list) > 0 || len(st.advice.workersAwaitingAnswer) > 0 {
		return list
	}
	var withdrawn []*worker
	for w := range st.advice.withdrawn {
		if w.ready && w.acceptsTasksOf(q) && !s.reservations.blocksTask(w, st, expectedEnd) {
			withdrawn = append(withdrawn, w)
		}
	}
	return workersMostLikelyFree(withdrawn, st)
}

// hasUnansweredPlace reports whether a worker about which the step has not asked has a place now.
// Runs on the reserved workers that overrun their estimates are expected to end soon for as long
// as they go on.
func (s *Scheduler) hasUnansweredPlace(st *step, q *queue.Queue) bool {
	return slices.ContainsFunc(s.poolOfService(q.Service).readyWorkers, func(w *worker) bool {
		return !st.advice.answered[w] && isCapable(w, st) && usablePlaces(w, st) > 0 && !s.reservations.isReservedForOtherJob(w, st.job)
	})
}

// placesNeededToStart returns how many places a step needs so that a task of it can start.
func (st *step) placesNeededToStart() int {
	if st.spec.Gang {
		return st.spec.Count
	}
	return 1
}

// countMissingPlaces returns how many places a step lacks beyond those that its tickets
// and unanswered requests are expected to bring. It asks about further workers while
// this is above 0. A place is free capacity for one task; the parameter places is the
// number of places on the workers with tickets. A step that isn't a gang lacks none
// while it has a place or an unanswered request.
//
// A wide gang has several requests in flight at the same time. If they were sent one
// after the other, the tickets from the first would have expired by the time the last
// was answered.
func (s *Scheduler) countMissingPlaces(st *step, places int) float64 {
	if !st.spec.Gang {
		if places == 0 && len(st.advice.workersAwaitingAnswer) == 0 {
			return float64(s.startableTasks(st))
		}
		return 0
	}
	expected := float64(places)
	for w := range st.advice.workersAwaitingAnswer {
		expected += s.expectedPlacesAfterAnswer(st, w)
	}
	return float64(st.spec.Count) - expected
}

// expectedPlacesAfterAnswer returns the number of places on a worker, weighted by how
// likely the adviser approves the worker.
func (s *Scheduler) expectedPlacesAfterAnswer(st *step, w *worker) float64 {
	return s.dispatcher.approvalRate(st.job.spec.Queue) * float64(usablePlaces(w, st))
}

// areReservedWorkersSoonFree reports whether the workers reserved for a step are
// expected to have enough free capacity by the time a request about them is answered.
//
// It determines when large tasks that wait in a full pool request tickets. Tickets
// requested before workers are reserved would expire before the tasks can start. If
// tickets were requested only once the capacity is free, it would stay unused until
// the answer.
func (st *step) areReservedWorkersSoonFree(q *queue.Queue) bool {
	return len(st.advice.reservedWorkers) > 0 && st.advice.timeUntilReservedFree <= q.Advice.RequestDuration(len(st.advice.reservedWorkers))
}

// areReservedWorkersReady reports whether all reserved workers could be given tasks.
func (a *advice) areReservedWorkersReady() bool {
	return !slices.ContainsFunc(a.reservedWorkers, func(w *worker) bool { return !w.ready })
}

// reservedWorkersWithoutValidTicket returns the reserved workers without a ticket
// that is valid at a given time. The caller passes the time at which a request about
// them would be answered.
//
// Requests for a gang can take nearly as long as a ticket is valid. If only the
// tickets that have expired by now were renewed, others would expire meanwhile, and
// the tickets of the gang would never all be valid at once.
func (a *advice) reservedWorkersWithoutValidTicket(at time.Time) []*worker {
	var stale []*worker
	for _, w := range a.reservedWorkers[:min(len(a.reservedWorkers), maxWorkersPerLargeRequest)] {
		if !a.hasValidTicket(w, at) {
			stale = append(stale, w)
		}
	}
	return stale
}

// usablePlaces returns how many more tasks of a step a worker could run now, by its free
// capacity and by the limit in MostPerWorker.
func usablePlaces(w *worker, st *step) int {
	n := countPlaces(st.spec.ReservedCapacity(), w.freeCapacity())
	if n == 0 {
		return 0
	}
	return min(n, remainingTaskLimit(w, st))
}

// countPlaces returns how many tasks fit into the free capacity if each task reserves
// taskCapacity.
func countPlaces(taskCapacity, freeCapacity resource.Vector) int {
	places := int64(work.MaxTasks)
	sizes, left := taskCapacity.Amounts(), freeCapacity.Amounts()
	for i := range sizes {
		if sizes[i] <= 0 {
			continue
		}
		if left[i] < sizes[i] {
			return 0
		}
		places = min(places, left[i]/sizes[i])
	}
	return int(places)
}

// hasRoomFor reports whether at least n tasks fit into the free capacity, as countPlaces
// counts them, without a division. n must be between 1 and work.MaxTasks.
func hasRoomFor(n int, taskCapacity, freeCapacity resource.Vector) bool {
	sizes, left := taskCapacity.Amounts(), freeCapacity.Amounts()
	for i := range sizes {
		if sizes[i] > 0 && left[i] < int64(n)*sizes[i] {
			return false
		}
	}
	return true
}

// workersMostLikelyFree selects the workers of list to ask about again, at most
// maxWorkersPerRequest. Workers in the rack that holds the input data come first,
// then those with the smallest used fraction.
func workersMostLikelyFree(list []*worker, st *step) []*worker {
	for _, w := range list {
		w.usedFraction = w.usedCapacity.DominantFraction(w.registration.Capacity)
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(dataRackRank(a, st), dataRackRank(b, st)), cmp.Compare(a.usedFraction, b.usedFraction), compareLives(a.registration.Life, b.registration.Life))
	})
	return list[:min(len(list), maxWorkersPerRequest)]
}

// dataRackRank returns 0 for workers in the rack that holds the input data of a step,
// and 1 for others.
func dataRackRank(w *worker, st *step) int {
	if st.spec.Rack != "" && w.rack() == st.spec.Rack {
		return 0
	}
	return 1
}

// expectedApprovalsPerRequest is the number of workers that the adviser is expected
// to approve in a request about maxWorkersPerRequest workers.
const expectedApprovalsPerRequest = 12

// workersWithoutRequest returns workers about which a step has not requested advice
// yet: at most maxWorkersPerRequest, or as many as are expected to bring the missing
// places, at most maxWorkersForMissingPlaces. The order is: workers in the rack
// that holds the input data, then workers with enough free capacity that no unanswered
// request of any step names, then other workers with enough free capacity, then the
// rest. Within each group, the least used workers come first. While a large step
// waits, the most used come first for steps with small tasks.
//
// When many jobs come at once, requests of all of them about the same few workers
// would bring tickets for capacity that the first job takes. Small tasks on the least
// used workers would leave no entire worker free for large tasks.
func (s *Scheduler) workersWithoutRequest(st *step, q *queue.Queue, missingPlaces float64) []*worker {
	p := s.poolOfService(q.Service)
	if len(st.advice.answered) >= len(p.workers) {
		maps.DeleteFunc(st.advice.answered, func(w *worker, _ bool) bool { return w.removed })
	}
	if !st.hasUnansweredWorker(p) {
		return nil
	}
	candidates := p.workersLeastUsedFirst()
	minPlaces := 1
	if p.largeStepWaiting && !s.isLargeStep(st, q) {
		candidates = p.workersMostUsedFirst()
		minPlaces = 1 + s.startableTasks(st)/expectedApprovalsPerRequest
	}
	most := maxWorkersForMissingPlaces(st, q)
	var list []*worker
	for _, group := range s.groupForRequest(st, candidates, minPlaces, most) {
		for _, w := range group {
			if len(list) >= most || (len(list) >= maxWorkersPerRequest && missingPlaces <= 0) {
				return list
			}
			list = append(list, w)
			if most > maxWorkersPerRequest {
				missingPlaces -= s.expectedPlacesAfterAnswer(st, w)
			}
		}
	}
	return list
}

// The groups of workers in a request, in the order in which they are asked about.
const (
	groupDataRack = iota
	groupUnnamed
	groupWithPlaces
	groupOthers
	groupCount
)

// groupForRequest groups the workers about which a step can request advice, in the
// order of candidates. It returns at least the first most workers of all groups
// together. Workers outside of the rack with the input data have places if minPlaces
// tasks fit and no other job has reserved them.
func (s *Scheduler) groupForRequest(st *step, candidates []*worker, minPlaces, most int) [groupCount][]*worker {
	var groups [groupCount][]*worker
	firstGroup := groupUnnamed
	if st.spec.Rack != "" {
		firstGroup = groupDataRack
	}
	taskCapacity := st.spec.ReservedCapacity()
	for _, w := range candidates {
		if st.advice.answered[w] || st.advice.workersAwaitingAnswer[w] || !isCapable(w, st) {
			continue
		}
		group := groupOthers
		switch {
		case st.spec.Rack != "" && w.rack() == st.spec.Rack:
			group = groupDataRack
		case hasRoomFor(minPlaces, taskCapacity, w.freeCapacity()) && !s.reservations.isReservedForOtherJob(w, st.job):
			group = groupWithPlaces
			if w.requestsInFlight == 0 {
				group = groupUnnamed
			}
		}
		if len(groups[group]) < most {
			groups[group] = append(groups[group], w)
		}
		if len(groups[firstGroup]) == most {
			break
		}
	}
	return groups
}

// maxWorkersForMissingPlaces returns the largest number of workers that a request of a
// step may name while they are expected to bring fewer places than the step lacks.
//
// In a nearly full pool, a wide step needs many workers. If it asked about a few at a
// time, it would wait for one answer after the other. So a short request names as many
// more workers as delay its answer by at most the fixed duration of another request.
func maxWorkersForMissingPlaces(st *step, q *queue.Queue) int {
	switch {
	case st.spec.Gang || (hasShortRequests(q) && q.Advice.PerWorker <= 0):
		return maxWorkersPerLargeRequest
	case hasShortRequests(q):
		return min(maxWorkersPerRequest+int(q.Advice.Fixed/q.Advice.PerWorker), maxWorkersPerLargeRequest)
	}
	return maxWorkersPerRequest
}

// countWaitingTasks returns the number of tasks of a step that wait for a worker.
func (st *step) countWaitingTasks() int {
	n := 0
	for _, t := range st.tasks {
		if t.phase == phaseWaiting {
			n++
		}
	}
	return n
}
