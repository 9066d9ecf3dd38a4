package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// reservations holds the workers that a scheduling pass has reserved for large steps.
// Without reservations, a large task could wait forever, while smaller tasks take all
// capacity that becomes free.
type reservations struct {
	byWorker map[*worker]reservation
	// stepCountByService counts, for each service, the steps that have reserved workers.
	stepCountByService map[string]int
	// quotaClaims holds what the steps that have reserved workers need of the quota of
	// their teams.
	quotaClaims quotaClaims
}

// reservation is the reservation of one worker for a job.
type reservation struct {
	job  *job
	step *step
	// freeAt is when the worker is expected to have enough free capacity for the tasks
	// of the job.
	freeAt time.Time
	// spareCapacity is the capacity that is expected to be free at freeAt beyond what the
	// tasks of the job need. usedCapacity is what was in use when the worker was reserved.
	spareCapacity, usedCapacity resource.Vector
}

const (
	// A step may reserve workers while fewer steps of its service have done so in this
	// scheduling pass than the larger of two limits: the number of workers of the
	// service divided by workersPerReservingStep, and minReservingSteps.
	workersPerReservingStep = 3
	minReservingSteps       = 8
	// A task is large if it needs at least the fraction minLargeTaskFraction of the
	// capacity of the largest worker.
	minLargeTaskFraction = 0.45
)

func newReservations() *reservations {
	return &reservations{byWorker: map[*worker]reservation{}, stepCountByService: map[string]int{}, quotaClaims: quotaClaims{}}
}

// delaysReservedTask reports whether a task of a step would delay a task of another job for
// which a worker is reserved. It does so if it would not end before the reserved capacity is
// expected to be free, and if less capacity is spare then. Other tasks may backfill the worker.
func (r *reservations) delaysReservedTask(w *worker, st *step, expectedEnd time.Time) bool {
	res, ok := r.byWorker[w]
	if !ok || res.job == st.job || !expectedEnd.After(res.freeAt) {
		return false
	}
	usedSince := w.usedCapacity.Sub(res.usedCapacity).Max(resource.Vector{})
	return !usedSince.Add(st.spec.ReservedCapacity()).Fits(res.spareCapacity)
}

// blocksTask reports whether a reservation for another job keeps a task of a step from a
// worker. It keeps no lasting task from it: that would wait until the reserved task has run, and
// again for the next one.
func (r *reservations) blocksTask(w *worker, st *step, expectedEnd time.Time) bool {
	return !st.spec.Lasting && r.delaysReservedTask(w, st, expectedEnd)
}

// isReservedForOtherJob reports whether a worker is reserved for a job other than j.
func (r *reservations) isReservedForOtherJob(w *worker, j *job) bool {
	res, ok := r.byWorker[w]
	return ok && res.job != j
}

// reserveWorkers reserves workers for the waiting tasks of a large step. It chooses
// the workers that are expected to have enough free capacity soonest, and none that
// can never run the tasks. Workers that get no tasks at the moment come last. One that has been
// silent for longer than a lease may stay listed without ever answering, and is left out.
func (s *Scheduler) reserveWorkers(st *step, q *queue.Queue, r *reservations, now time.Time) {
	if !s.isLargeStep(st, q) || r.stepCountByService[q.Service] >= max(minReservingSteps, len(s.poolOfService(q.Service).workers)/workersPerReservingStep) {
		return
	}
	var places []expectedPlace
	for _, w := range s.permittedWorkers(st, q) {
		if r.isReservedForOtherJob(w, st.job) || now.Sub(w.lastAnswerAt) > s.timing.Lease || !belowTaskLimit(w, st) {
			continue
		}
		places = s.appendExpectedPlaces(w, st, places, now)
	}
	if st.spec.Gang && len(places) < st.spec.Count {
		return // No expected end makes room for the gang: the reservation would keep others away for good.
	}
	// Places on one worker keep their order: the last one tells what is spare beside all of them.
	slices.SortStableFunc(places, func(a, b expectedPlace) int {
		return cmp.Or(compareBools(!a.worker.ready, !b.worker.ready), cmp.Compare(a.timeUntilFree, b.timeUntilFree), compareLives(a.worker.registration.Life, b.worker.registration.Life))
	})
	tasks := r.quotaClaims.claim(s, st)
	if tasks == 0 {
		return
	}
	if len(places) == 0 {
		return
	}
	places = places[:min(tasks, len(places))]
	timeUntilFree := places[0].timeUntilFree
	for _, p := range places {
		earlier, alreadyReserved := r.byWorker[p.worker]
		if !alreadyReserved {
			st.advice.reservedWorkers = append(st.advice.reservedWorkers, p.worker)
		}
		spare := p.spareCapacity
		if alreadyReserved && earlier.step != st {
			spare = resource.Vector{} // Another step of the job needs capacity too.
		}
		r.byWorker[p.worker] = reservation{job: st.job, step: st, freeAt: now.Add(p.timeUntilFree), spareCapacity: spare, usedCapacity: p.worker.usedCapacity}
		if st.spec.Gang {
			timeUntilFree = max(timeUntilFree, p.timeUntilFree)
		}
	}
	st.advice.timeUntilReservedFree = timeUntilFree
	r.stepCountByService[q.Service]++
}

// permittedWorkers returns the workers that may run the tasks of a step. If the queue
// needs advice, these are the workers with a ticket, which may have expired;
// otherwise all capable workers.
func (s *Scheduler) permittedWorkers(st *step, q *queue.Queue) []*worker {
	if q.Advice == nil {
		return s.capableWorkers(st, q.Service)
	}
	list := make([]*worker, 0, len(st.advice.tickets))
	for w := range st.advice.tickets {
		if w.acceptsTasksOf(q) {
			list = append(list, w)
		}
	}
	return list
}

// expectedPlace is capacity for one task on a worker that is free or expected to
// become free.
type expectedPlace struct {
	worker *worker
	// timeUntilFree is the expected time until the capacity is free; 0 means that it
	// is free now.
	timeUntilFree time.Duration
	// spareCapacity is what is free then beyond this place and those before it on the worker.
	spareCapacity resource.Vector
}

// appendExpectedPlaces appends the places for tasks of a step on a worker: those that
// are free now, and those that become free when tasks on the worker end.
//
// One worker can have several places for a wide gang. The gang then gets the places
// that become free first, and reserves no more workers than it needs.
func (s *Scheduler) appendExpectedPlaces(w *worker, st *step, places []expectedPlace, now time.Time) []expectedPlace {
	free, taskCapacity := w.freeCapacity(), st.spec.ReservedCapacity()
	limit := min(remainingTaskLimit(w, st), st.countWaitingTasks())
	n := min(countPlaces(taskCapacity, free), limit)
	spare := free
	for range n {
		spare = spare.Sub(taskCapacity)
		places = append(places, expectedPlace{w, 0, spare})
	}
	if n == limit {
		return places
	}
	type taskEnd struct {
		capacity  resource.Vector
		remaining time.Duration
	}
	taskEnds := make([]taskEnd, 0, len(w.tasks))
	for _, t := range w.tasks {
		if !t.step.spec.Lasting {
			taskEnds = append(taskEnds, taskEnd{t.step.spec.ReservedCapacity(), s.runTimes.remainingRunTime(t, now)})
		}
	}
	slices.SortFunc(taskEnds, func(a, b taskEnd) int { return cmp.Compare(a.remaining, b.remaining) })
	for _, e := range taskEnds {
		spare = spare.Add(e.capacity)
		for ; n < limit && taskCapacity.Fits(spare); n++ {
			spare = spare.Sub(taskCapacity)
			places = append(places, expectedPlace{w, e.remaining, spare})
		}
	}
	return places
}
