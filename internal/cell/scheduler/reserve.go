package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// reservations holds the workers that are reserved for large steps. Without a
// reservation, a large task could wait forever while smaller ones take any room
// that becomes free.
type reservations struct {
	byWorker  map[*worker]reservation
	stepCount int
}

// reservation reserves a worker for a job.
type reservation struct {
	job *job
	// freeAt is when the worker is expected to have room for the job.
	freeAt time.Time
}

const (
	// workersPerReservation limits the number of steps with reservations in a plan
	// to one per so many workers of the service; minReservations steps are always
	// allowed.
	workersPerReservation = 3
	minReservations       = 8
	// largeFraction is the fraction of the largest worker from which on a task is
	// large.
	largeFraction = 0.45
)

func newReservations() *reservations { return &reservations{byWorker: map[*worker]reservation{}} }

// blocks reports whether a worker is reserved for another job and a task of job j
// would run there past the time when it should be free. Shorter tasks may backfill
// the room until then.
func (r *reservations) blocks(w *worker, j *job, expectedEnd time.Time) bool {
	res, ok := r.byWorker[w]
	return ok && res.job != j && expectedEnd.After(res.freeAt)
}

// reservedForOther reports whether a worker is reserved for another job than j.
func (r *reservations) reservedForOther(w *worker, j *job) bool {
	res, ok := r.byWorker[w]
	return ok && res.job != j
}

// reserveWorkers reserves the workers that are expected to have room for the tasks
// of a step first. Workers that can never run them are not reserved.
func (s *Scheduler) reserveWorkers(st *step, q *queue.Queue, r *reservations, now time.Time) {
	if !s.isLarge(st, q) || r.stepCount >= max(minReservations, len(s.poolOf(q.Service).workers)/workersPerReservation) {
		return
	}
	var slots []slot
	places := 0
	for _, w := range s.permittedWorkers(st, q) {
		if r.reservedForOther(w, st.job) || !belowTaskLimit(w, st) {
			continue
		}
		places += countPlaces(st.spec.ReservedCapacity(), w.registration.Capacity)
		slots = s.appendSlots(w, st, slots, now)
	}
	if st.spec.Gang && places < st.spec.Count {
		return // The gang does not fit, however long it waits.
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), compareLives(a.worker.registration.Life, b.worker.registration.Life))
	})
	for _, sl := range slots[:min(st.waitingTasks(), len(slots))] {
		if _, alreadyReserved := r.byWorker[sl.worker]; !alreadyReserved {
			st.advice.reserved = append(st.advice.reserved, sl.worker)
		}
		r.byWorker[sl.worker] = reservation{job: st.job, freeAt: now.Add(sl.wait)}
		if st.spec.Gang || len(st.advice.reserved) == 1 {
			st.advice.reservedFreeIn = sl.wait
		}
	}
	r.stepCount++
}

// permittedWorkers returns the workers on which tasks of a step may run: those with
// a ticket, which may have expired, or all capable ones if the queue needs no
// advice.
func (s *Scheduler) permittedWorkers(st *step, q *queue.Queue) []*worker {
	if q.Advice == nil {
		return s.capableWorkers(st, q.Service)
	}
	list := make([]*worker, 0, len(st.advice.tickets))
	for w := range st.advice.tickets {
		if w.accepts(q) {
			list = append(list, w)
		}
	}
	return list
}

// slot is room for one task on a worker.
type slot struct {
	worker *worker
	// wait is the expected time until the room is free.
	wait time.Duration
}

// appendSlots appends the slots for tasks of a step on a worker that are free now
// or become free when tasks there end.
//
// A worker can have several slots for a wide gang. The gang then gets the slots
// that become free first, and reserves no more workers than it needs.
func (s *Scheduler) appendSlots(w *worker, st *step, slots []slot, now time.Time) []slot {
	free, room := w.free(), st.spec.ReservedCapacity()
	limit := min(taskLimitLeft(w, st), st.waitingTasks())
	n := min(countPlaces(room, free), limit)
	for range n {
		slots = append(slots, slot{w, 0})
	}
	if n == limit {
		return slots
	}
	type taskEnd struct {
		room      resource.Vector
		remaining time.Duration
	}
	taskEnds := make([]taskEnd, 0, len(w.tasks))
	for _, t := range w.tasks {
		if remaining := s.runTimes.remainingRunTime(t, now); remaining < lastingHorizon {
			taskEnds = append(taskEnds, taskEnd{t.step.spec.ReservedCapacity(), remaining})
		}
	}
	slices.SortFunc(taskEnds, func(a, b taskEnd) int { return cmp.Compare(a.remaining, b.remaining) })
	for _, e := range taskEnds {
		free = free.Add(e.room)
		for ; n < min(countPlaces(room, free), limit); n++ {
			slots = append(slots, slot{w, e.remaining})
		}
	}
	return slots
}
