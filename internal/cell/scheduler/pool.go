package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// pool holds the workers of one service that are registered and not draining, in
// order of their lives.
type pool struct {
	workers []*worker
	// readyWorkers holds the workers that could accept a start when the plan began.
	readyWorkers []*worker
	// maxCapacity and minCapacity are the largest and the smallest capacity of a
	// worker, for each resource separately.
	maxCapacity, minCapacity resource.Vector
	// maxFree is an upper bound of the free room on any ready worker, for each
	// resource separately. It is computed when a plan begins, and stays a bound
	// because a plan only takes room.
	maxFree resource.Vector
	// leastUsed and mostUsed cache the results of leastUsedFirst and mostUsedFirst
	// during a plan.
	leastUsed, mostUsed []*worker
	// largeStepWaiting is true if the last plan found a large step that waits for
	// room.
	largeStepWaiting bool
}

// poolOf returns the pool of a service. It is empty if the service has no workers.
func (s *Scheduler) poolOf(service string) *pool {
	if s.pools == nil {
		s.buildPools()
	}
	if p := s.pools[service]; p != nil {
		return p
	}
	return &pool{}
}

// buildPools groups the workers by service.
func (s *Scheduler) buildPools() {
	s.pools = map[string]*pool{}
	for _, life := range s.Workers() {
		w := s.workers[life]
		if !w.registered || w.lost || w.registration.Draining {
			continue
		}
		p := s.pools[w.registration.Service]
		if p == nil {
			p = &pool{minCapacity: w.registration.Capacity}
			s.pools[w.registration.Service] = p
		}
		p.workers = append(p.workers, w)
		p.maxCapacity = p.maxCapacity.Max(w.registration.Capacity)
		p.minCapacity = p.minCapacity.Min(w.registration.Capacity)
	}
}

// refresh updates, when a plan begins, which workers are ready and how much room
// they have. A worker that has been silent for longer than maxSilence is not ready.
func (p *pool) refresh(now time.Time, maxSilence time.Duration) {
	p.maxFree, p.readyWorkers, p.leastUsed = resource.Vector{}, p.readyWorkers[:0], nil
	p.mostUsed = nil
	for _, w := range p.workers {
		w.ready = !w.tokenUnconfirmed() && !now.Before(w.avoidUntil) && now.Sub(w.lastAnswer) <= maxSilence && !w.clockReadAt.IsZero()
		if w.ready {
			p.readyWorkers = append(p.readyWorkers, w)
			p.maxFree = p.maxFree.Max(w.free())
		}
	}
}

// accepts reports whether a worker may get new tasks of a queue.
func (w *worker) accepts(q *queue.Queue) bool {
	return w.registered && !w.lost && !w.registration.Draining && w.registration.Service == q.Service
}

// leastUsedFirst returns the workers in ascending order of their used fraction, as
// of the first call in a plan.
func (p *pool) leastUsedFirst() []*worker {
	if p.leastUsed != nil {
		return p.leastUsed
	}
	for _, w := range p.workers {
		w.usedFraction = w.used.DominantFraction(w.registration.Capacity)
	}
	p.leastUsed = slices.Clone(p.workers)
	slices.SortStableFunc(p.leastUsed, func(a, b *worker) int { return cmp.Compare(a.usedFraction, b.usedFraction) })
	return p.leastUsed
}

// mostUsedFirst returns the workers in the reverse order of leastUsedFirst.
func (p *pool) mostUsedFirst() []*worker {
	if p.mostUsed == nil {
		p.mostUsed = slices.Clone(p.leastUsedFirst())
		slices.Reverse(p.mostUsed)
	}
	return p.mostUsed
}

// capableWorkers returns the workers of a service that can run tasks of a step when
// they are empty.
func (s *Scheduler) capableWorkers(st *step, service string) []*worker {
	p := s.poolOf(service)
	if st.spec.Label == "" && st.spec.ReservedCapacity().Fits(p.minCapacity) {
		return p.workers
	}
	return slices.DeleteFunc(slices.Clone(p.workers), func(w *worker) bool { return !canRun(w, st) })
}
