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
	owner map[*worker]*job
	steps int
}

const (
	// mostReservations bounds the steps for which workers are kept at a time.
	mostReservations = 4
	// largeFraction is the share of a worker from which on a task is large.
	largeFraction = 0.45
)

func newReservations() *reservations { return &reservations{owner: map[*worker]*job{}} }

func (r *reservations) blocks(w *worker, j *job) bool {
	owner := r.owner[w]
	return owner != nil && owner != j
}

// reserve keeps the workers that will have room for the tasks of a step first.
// Workers that can never take them stay free for others.
func (s *Scheduler) reserve(st *step, q *queue.Queue, r *reservations, now time.Time) {
	if r.steps >= mostReservations {
		return
	}
	type candidate struct {
		worker *worker
		wait   time.Duration
	}
	if !st.spec.Gang && st.spec.Room().DominantFraction(s.poolOf(q.Service).largest) < largeFraction {
		return
	}
	var candidates []candidate
	places := 0
	for _, w := range s.candidates(st, q.Service) {
		if r.blocks(w, st.job) || !keepsApart(w, st) {
			continue
		}
		if _, good := st.advice.tickets[w.registration.Life]; q.Advice != nil && !good {
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
	need := 0
	for _, t := range st.tasks {
		if t.phase == phaseWaiting {
			need++
		}
	}
	for _, c := range candidates[:min(need, len(candidates))] {
		r.owner[c.worker] = st.job
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
