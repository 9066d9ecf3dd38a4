package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// pool holds the workers of one service that may get new work, in a fixed order.
type pool struct {
	workers []*worker
	// ready holds those that can take a start, as of the beginning of a plan.
	ready []*worker
	// largest and smallest are the extreme capacities of each resource.
	largest, smallest resource.Vector
	// free is at least the room that any worker has, of each resource. It is
	// computed at the start of a plan; room only shrinks while one is made.
	free resource.Vector
	// byRoom is what roomiest returns, and byFullness what fullest does; nil until
	// they are called in a plan.
	byRoom, byFullness []*worker
	// hasLarge tells that workers are kept for large tasks, as of the last plan.
	hasLarge bool
}

// poolOf returns the workers of a service.
func (s *Scheduler) poolOf(service string) *pool {
	if s.pools == nil {
		s.buildPools()
	}
	if p := s.pools[service]; p != nil {
		return p
	}
	return &pool{}
}

// buildPools sorts the workers by service.
func (s *Scheduler) buildPools() {
	s.pools = map[string]*pool{}
	for _, life := range s.Workers() {
		w := s.workers[life]
		if !w.listed || w.gone || w.registration.Draining {
			continue
		}
		p := s.pools[w.registration.Service]
		if p == nil {
			p = &pool{smallest: w.registration.Capacity}
			s.pools[w.registration.Service] = p
		}
		p.workers = append(p.workers, w)
		p.largest = p.largest.Max(w.registration.Capacity)
		p.smallest = p.smallest.Min(w.registration.Capacity)
	}
}

// measure notes which workers are ready and what room they have at the start of a
// plan. quiet is the silence after which a worker gets no new work.
func (p *pool) measure(now time.Time, quiet time.Duration) {
	p.free, p.ready, p.byRoom = resource.Vector{}, p.ready[:0], nil
	p.byFullness = nil
	for _, w := range p.workers {
		w.ready = !w.fencing() && !now.Before(w.avoidUntil) && now.Sub(w.answered) <= quiet && !w.clockAt.IsZero()
		if w.ready {
			p.ready = append(p.ready, w)
			p.free = p.free.Max(w.free())
		}
	}
}

// takes reports whether a worker may get tasks of a queue.
func (w *worker) takes(q *queue.Queue) bool {
	return w.listed && !w.gone && !w.registration.Draining && w.registration.Service == q.Service
}

// roomiest returns the workers with the largest part of their capacity free first, as
// of the first call in a plan.
func (p *pool) roomiest() []*worker {
	if p.byRoom != nil {
		return p.byRoom
	}
	for _, w := range p.workers {
		w.fullness = w.used.DominantFraction(w.registration.Capacity)
	}
	p.byRoom = slices.Clone(p.workers)
	slices.SortStableFunc(p.byRoom, func(a, b *worker) int { return cmp.Compare(a.fullness, b.fullness) })
	return p.byRoom
}

// fullest is roomiest in the reverse order.
func (p *pool) fullest() []*worker {
	if p.byFullness == nil {
		p.byFullness = slices.Clone(p.roomiest())
		slices.Reverse(p.byFullness)
	}
	return p.byFullness
}

// candidates returns the workers of a service that could run tasks of a step.
func (s *Scheduler) candidates(st *step, service string) []*worker {
	p := s.poolOf(service)
	if st.spec.Label == "" && st.spec.Room().Fits(p.smallest) {
		return p.workers
	}
	return slices.DeleteFunc(slices.Clone(p.workers), func(w *worker) bool { return !usable(w, st) })
}
