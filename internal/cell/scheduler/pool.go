package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// pool holds the workers of one service that are registered and not draining, sorted
// by ID.
type pool struct {
	workers []*worker
	// readyWorkers holds the workers that could be given tasks when the last
	// scheduling pass began.
	readyWorkers []*worker
	// maxCapacity and minCapacity are the largest and the smallest total capacity of
	// a worker. Each resource is compared separately.
	maxCapacity, minCapacity resource.Vector
	// maxFreeCapacity is an upper bound of the free capacity of any ready worker, for
	// each resource separately. It is computed when a scheduling pass begins. It
	// stays an upper bound during the pass, which only places tasks and frees
	// nothing.
	maxFreeCapacity resource.Vector
	// classes caches the results of classOf until the next scheduling pass.
	classes map[string]*workerClass
	// infeasible holds the shapes for which hasPlacesFor is false.
	infeasible map[shape]bool
	// leastUsed and mostUsed cache the results of workersLeastUsedFirst and
	// workersMostUsedFirst until the next scheduling pass.
	leastUsed, mostUsed []*worker
	// largeStepWaiting is true if the last scheduling pass found a large step whose
	// tasks could not all be placed.
	largeStepWaiting bool
}

// poolOfService returns the pool of a service, which is empty if the service has no
// workers.
func (s *Scheduler) poolOfService(service string) *pool {
	if s.pools == nil {
		s.buildPools()
	}
	if p := s.pools[service]; p != nil {
		return p
	}
	return &pool{}
}

// buildPools groups the workers into pools, one for each service. Those that were ready in the
// last scheduling pass remain ready.
func (s *Scheduler) buildPools() {
	s.pools = map[string]*pool{}
	for _, life := range s.sortedLives() {
		w := s.workers[life]
		if !w.registered || w.removed || w.registration.Draining {
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
		if w.ready {
			p.addReadyWorker(w)
		}
	}
}

// refreshReadyWorkers determines, when a scheduling pass begins, which workers are
// ready and how much free capacity they have. A worker that has been silent for
// longer than maxSilence is not ready.
func (p *pool) refreshReadyWorkers(now time.Time, maxSilence time.Duration) {
	p.maxFreeCapacity, p.readyWorkers, p.leastUsed = resource.Vector{}, p.readyWorkers[:0], nil
	p.mostUsed, p.classes = nil, nil
	for _, w := range p.workers {
		w.ready = !w.tokenUnconfirmed() && !now.Before(w.avoidUntil) && now.Sub(w.lastAnswerAt) <= maxSilence && !w.clockReadAt.IsZero()
		if w.ready {
			p.addReadyWorker(w)
		}
	}
}

func (p *pool) addReadyWorker(w *worker) {
	p.readyWorkers = append(p.readyWorkers, w)
	p.maxFreeCapacity = p.maxFreeCapacity.Max(w.freeCapacity())
}

// acceptsTasksOf reports whether a worker may get new tasks of a queue, as far as its
// registration and service are concerned.
func (w *worker) acceptsTasksOf(q *queue.Queue) bool {
	return w.registered && !w.removed && !w.registration.Draining && w.registration.Service == q.Service
}

// workersLeastUsedFirst returns the workers of the pool, those with the smallest used
// fraction first. The fractions are those at the first call after a scheduling pass
// began.
func (p *pool) workersLeastUsedFirst() []*worker {
	if p.leastUsed != nil {
		return p.leastUsed
	}
	for _, w := range p.workers {
		w.usedFraction = w.usedCapacity.DominantFraction(w.registration.Capacity)
	}
	p.leastUsed = slices.Clone(p.workers)
	slices.SortStableFunc(p.leastUsed, func(a, b *worker) int { return cmp.Compare(a.usedFraction, b.usedFraction) })
	return p.leastUsed
}

// workersMostUsedFirst returns the workers in the reverse order of
// workersLeastUsedFirst.
func (p *pool) workersMostUsedFirst() []*worker {
	if p.mostUsed == nil {
		p.mostUsed = slices.Clone(p.workersLeastUsedFirst())
		slices.Reverse(p.mostUsed)
	}
	return p.mostUsed
}

// capableWorkers returns the workers of a service that could run a task of a step if
// they were empty.
func (s *Scheduler) capableWorkers(st *step, service string) []*worker {
	p := s.poolOfService(service)
	if st.spec.Label == "" && st.spec.ReservedCapacity().Fits(p.minCapacity) {
		return p.workers
	}
	return slices.DeleteFunc(slices.Clone(p.workers), func(w *worker) bool { return !isCapable(w, st) })
}
