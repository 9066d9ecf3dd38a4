package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// shape is what decides whether the workers of a service can run a step.
type shape struct {
	label string
	size  resource.Vector
	// count is the number of tasks that must fit at the same time: all of a gang, or one.
	// placed is the number of tasks that are on workers already.
	count, placed int
	// mostPerWorker is the largest number of tasks on one worker; 0 means no limit.
	mostPerWorker int
}

// canRun reports whether the registered workers could run a waiting task of a step, or all
// tasks of a gang, if they ran nothing but the tasks of this step. If the queue needs
// advice, that is false once the adviser was asked about all workers and approves none. It is
// also false if they exceed the cap of their team by themselves.
//
// A step that can't run takes no part in scheduling passes until workers that can run it
// come. Otherwise it would claim capacity, ask the adviser and count for limits, and many
// such steps would keep others from running.
func (s *Scheduler) canRun(st *step, q *queue.Queue) bool {
	p := s.poolOfService(q.Service)
	v := shape{label: st.spec.Label, size: st.spec.ReservedCapacity(), count: 1, mostPerWorker: st.spec.MostPerWorker}
	if st.spec.Gang {
		v.count = st.spec.Count
	} else if v.mostPerWorker > 0 {
		v.placed = st.countTasksOnWorkersOf(q)
	}
	return s.couldFitQuota(st) && p.hasPlacesFor(v) && (q.Advice == nil || !s.isRejected(st, q, p))
}

// hasPlacesFor reports whether the workers of the pool could run the tasks of a shape if
// they were empty.
func (p *pool) hasPlacesFor(v shape) bool {
	if !v.size.Fits(p.maxCapacity) || p.infeasible[v] {
		return false
	}
	places, needed := 0, v.count+v.placed
	for _, w := range p.classOf(v.label).workers {
		n := countPlaces(v.size, w.registration.Capacity)
		if v.mostPerWorker > 0 {
			n = min(n, v.mostPerWorker)
		}
		if places += n; places >= needed {
			return true
		}
	}
	if p.infeasible == nil {
		p.infeasible = map[shape]bool{}
	}
	p.infeasible[v] = true
	return false
}

// isRejected reports whether the adviser was asked about all workers that could run a step
// and approves none that is left.
func (s *Scheduler) isRejected(st *step, q *queue.Queue, p *pool) bool {
	if len(st.advice.answered) == 0 || len(st.advice.workersAwaitingAnswer) > 0 {
		return false
	}
	for w := range st.advice.tickets {
		if w.acceptsTasksOf(q) {
			return false
		}
	}
	for w := range st.advice.withdrawn {
		if w.acceptsTasksOf(q) {
			return false
		}
	}
	return !st.hasUnansweredWorker(p)
}

// hasUnansweredWorker reports whether the pool has a worker that could run a step and about
// which the adviser has not answered.
func (st *step) hasUnansweredWorker(p *pool) bool {
	a := &st.advice
	if a.answeredFor == p {
		return false
	}
	for _, w := range p.classOf(st.spec.Label).workers {
		if isCapable(w, st) && !a.answered[w] {
			return true
		}
	}
	a.answeredFor = p
	return false
}

// runnableStep returns the first open step of a job with waiting tasks that can run, or nil
// if there is none. heldByQuota is true if there is none because of the cap of the team.
func (s *Scheduler) runnableStep(j *job, q *queue.Queue) (runnable *step, heldByQuota bool) {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if !st.open || st.tasksLeft == 0 || st.countWaitingTasks() == 0 || !s.canRun(st, q) {
				continue
			}
			if s.isHeldByQuota(st) {
				heldByQuota = true
				continue
			}
			return st, false
		}
	}
	return nil, heldByQuota
}

// classOfStep returns the class of workers that may run a step. Without a step, it is that of
// all workers of the queue.
func classOfStep(st *step, q *queue.Queue) classKey {
	if st == nil {
		return classKey{service: q.Service}
	}
	return classKey{q.Service, st.spec.Label, st.spec.Size.Accelerators > 0}
}

// classKey identifies the workers for which jobs compete: those of a service that have a
// label, and whether accelerators are needed.
type classKey struct {
	service, label string
	accelerators   bool
}

// workerClass holds the workers of a pool that have a label, as the last scheduling pass
// found them.
type workerClass struct {
	workers []*worker
	// readyWorkers is the number of workers that could be given tasks.
	readyWorkers int
	// maxFreeCapacity is an upper bound of the free capacity of any ready worker, for each
	// resource separately.
	maxFreeCapacity resource.Vector
	// unclaimedCapacity is the free capacity of all ready workers that the steps handled so
	// far in the pass do not need.
	unclaimedCapacity resource.Vector
}

// classOf returns the workers of the pool that have a label. If it is empty, these are all
// workers.
func (p *pool) classOf(label string) *workerClass {
	if c := p.classes[label]; c != nil {
		return c
	}
	c := &workerClass{}
	for _, w := range p.workers {
		if !w.registration.HasLabel(label) {
			continue
		}
		c.workers = append(c.workers, w)
		if w.ready {
			c.readyWorkers++
			c.maxFreeCapacity = c.maxFreeCapacity.Max(w.freeCapacity())
			c.unclaimedCapacity = c.unclaimedCapacity.Add(w.freeCapacity())
		}
	}
	if p.classes == nil {
		p.classes = map[string]*workerClass{}
	}
	p.classes[label] = c
	return c
}

// claimableTasks returns for how many of its waiting tasks a step may claim capacity. Once the
// adviser was asked about all workers, these are only the tasks that fit on approved ones: the
// step would keep others from capacity that it never takes.
func (s *Scheduler) claimableTasks(st *step, q *queue.Queue, tasks int, now time.Time) int {
	p := s.poolOfService(q.Service)
	switch {
	case !st.hasUnansweredWorker(p):
		return s.countApprovedPlaces(st, q, tasks, now)
	case st.spec.MostPerWorker > 0:
		return min(tasks, st.spec.MostPerWorker*p.classOf(st.spec.Label).readyWorkers-st.countTasksOnWorkersOf(q))
	}
	return tasks
}

// countApprovedPlaces returns how many more tasks of a step the workers that the adviser has
// approved could run now, at most the given number, whether their tickets have expired or not.
func (s *Scheduler) countApprovedPlaces(st *step, q *queue.Queue, most int, now time.Time) int {
	n, expectedEnd := 0, now.Add(s.runTimes.expectedOccupancy(st))
	for w := range st.advice.tickets {
		if n >= most {
			return most
		}
		if !w.ready || !w.acceptsTasksOf(q) {
			continue
		}
		if places := usablePlaces(w, st); places > 0 && !s.reservations.blocksTask(w, st, expectedEnd) {
			n += places
		}
	}
	return min(n, most)
}

// claimCapacity subtracts the capacity that the tasks of a step need from the unclaimed
// capacity of the workers that may run them. countTasks returns their number, and is called only
// if there is capacity left. It reports whether there was none left for a single task.
func (p *pool) claimCapacity(st *step, countTasks func() int) (outranked bool) {
	own, all, size := p.classOf(st.spec.Label), p.classOf(""), st.spec.ReservedCapacity()
	if !size.Fits(own.unclaimedCapacity) {
		return true
	}
	for tasks := countTasks(); tasks > 0 && size.Fits(own.unclaimedCapacity); tasks-- {
		own.unclaimedCapacity = own.unclaimedCapacity.Sub(size)
		if own != all { // Steps without a label may have claimed more of it already.
			all.unclaimedCapacity = all.unclaimedCapacity.Sub(size).Max(resource.Vector{})
		}
	}
	return false
}

// countTasksOnWorkersOf returns the number of tasks of a step that use capacity of a worker
// that may get further ones of the queue.
func (st *step) countTasksOnWorkersOf(q *queue.Queue) int {
	n := 0
	for _, t := range st.tasks {
		if t.onWorker() && t.worker.acceptsTasksOf(q) {
			n++
		}
	}
	return n
}
