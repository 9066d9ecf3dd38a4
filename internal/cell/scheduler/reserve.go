package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// reservations keep workers for large tasks that would otherwise wait for ever
// while smaller ones take each piece of room.
type reservations struct {
	byWorker map[*worker]reservation
	steps    int
}

// reservation keeps a worker for a job from a time on.
type reservation struct {
	job *job
	// from is when the worker should have room for the job.
	from time.Time
}

const (
	// workersPerReservation bounds the steps for which workers are kept at a time, by
	// the size of the service; leastReservations are allowed anyway.
	workersPerReservation = 3
	leastReservations     = 8
	// largeFraction is the share of a worker from which on a task is large.
	largeFraction = 0.45
)

func newReservations() *reservations { return &reservations{byWorker: map[*worker]reservation{}} }

// blocks reports whether a worker is kept from a job whose task would run until a
// time. Tasks that end before the reservation begins fill the room until then.
func (r *reservations) blocks(w *worker, j *job, until time.Time) bool {
	v, ok := r.byWorker[w]
	return ok && v.job != j && until.After(v.from)
}

// keeps reports whether a worker is kept for another job.
func (r *reservations) keeps(w *worker, j *job) bool {
	v, ok := r.byWorker[w]
	return ok && v.job != j
}

// reserve keeps the workers that will have room for the tasks of a step first.
// Workers that can never take them stay free for others.
func (s *Scheduler) reserve(st *step, q *queue.Queue, r *reservations, now time.Time) {
	if !s.isLarge(st, q) || r.steps >= max(leastReservations, len(s.poolOf(q.Service).workers)/workersPerReservation) {
		return
	}
	var slots []slot
	places := 0
	for _, w := range s.allowed(st, q) {
		if r.keeps(w, st.job) || !keepsApart(w, st) {
			continue
		}
		places += placesFor(st.spec.Room(), w.registration.Capacity)
		slots = s.slotsOn(w, st, slots, now)
	}
	if st.spec.Gang && places < st.spec.Count {
		return // The gang does not fit, however long it waits.
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), compareLives(a.worker.registration.Life, b.worker.registration.Life))
	})
	for _, v := range slots[:min(st.waitingTasks(), len(slots))] {
		if _, kept := r.byWorker[v.worker]; !kept {
			st.advice.kept = append(st.advice.kept, v.worker)
		}
		r.byWorker[v.worker] = reservation{job: st.job, from: now.Add(v.wait)}
		if st.spec.Gang || len(st.advice.kept) == 1 {
			st.advice.keptIn = v.wait
		}
	}
	r.steps++
}

// allowed returns the workers on which tasks of a step may run, as far as is known.
func (s *Scheduler) allowed(st *step, q *queue.Queue) []*worker {
	if q.Advice == nil {
		return s.candidates(st, q.Service)
	}
	list := make([]*worker, 0, len(st.advice.tickets))
	for w := range st.advice.tickets {
		if w.takes(q) {
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

// slotsOn adds the slots for tasks of a step on a worker, as far as its tasks end.
//
// It answers wide gangs in a busy service: a gang takes the first slots that come free
// together, several on one worker, and no more workers are kept than it needs.
func (s *Scheduler) slotsOn(w *worker, st *step, slots []slot, now time.Time) []slot {
	free, room := w.free(), st.spec.Room()
	most := min(placesApart(w, st), st.waitingTasks())
	n := min(placesFor(room, free), most)
	for range n {
		slots = append(slots, slot{w, 0})
	}
	if n == most {
		return slots
	}
	type ending struct {
		room resource.Vector
		in   time.Duration
	}
	endings := make([]ending, 0, len(w.tasks))
	for _, t := range w.tasks {
		if in := s.runTimes.remaining(t, now); in < lastingHorizon {
			endings = append(endings, ending{t.step.spec.Room(), in})
		}
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	for _, e := range endings {
		free = free.Add(e.room)
		for ; n < min(placesFor(room, free), most); n++ {
			slots = append(slots, slot{w, e.in})
		}
	}
	return slots
}
