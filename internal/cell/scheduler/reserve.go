package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
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
	type candidate struct {
		worker *worker
		wait   time.Duration
	}
	var candidates []candidate
	places := 0
	for _, w := range s.candidates(st, q.Service) {
		if v, reserved := r.byWorker[w]; (reserved && v.job != st.job) || !keepsApart(w, st) {
			continue
		}
		if _, good := st.advice.tickets[w]; q.Advice != nil && !good {
			continue
		}
		places += placesFor(st.spec.Room(), w.registration.Capacity)
		if wait := s.roomIn(w, st, now); wait < lastingHorizon {
			candidates = append(candidates, candidate{w, wait})
		}
	}
	if st.spec.Gang && places < st.spec.Count {
		return // The gang does not fit, however long it waits.
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), compareLives(a.worker.registration.Life, b.worker.registration.Life))
	})
	for _, c := range candidates[:min(st.waitingTasks(), len(candidates))] {
		r.byWorker[c.worker] = reservation{job: st.job, from: now.Add(c.wait)}
		st.advice.kept = append(st.advice.kept, c.worker)
		if st.spec.Gang || len(st.advice.kept) == 1 {
			st.advice.keptIn = c.wait
		}
	}
	r.steps++
}

// roomIn returns the expected time until a worker has room for a task.
func (s *Scheduler) roomIn(w *worker, st *step, now time.Time) time.Duration {
	free, room := w.free(), st.spec.Room()
	if room.Fits(free) {
		return 0
	}
	type ending struct {
		task *task
		in   time.Duration
	}
	endings := make([]ending, 0, len(w.tasks))
	for _, t := range w.tasks {
		endings = append(endings, ending{t, s.runTimes.remaining(t, now)})
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	for _, e := range endings {
		free = free.Add(e.task.step.spec.Room())
		if room.Fits(free) {
			return e.in
		}
	}
	return lastingHorizon
}
