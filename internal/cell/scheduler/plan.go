package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Plan places the waiting tasks, reserves workers for large steps that find no
// room, and sends requests for advice.
func (s *Scheduler) Plan(now time.Time) {
	s.planNeeded = false
	order := s.planOrder(now)
	reserved := newReservations()
	s.reservations = reserved
	clear(s.dispatcher.pending)
	s.poolOf("")
	for _, p := range s.pools {
		p.refresh(now, s.holdWait()+maxAnswerDelay)
		p.largeStepWaiting = false
	}
	for _, j := range order {
		q := s.table.Queue(j.spec.Queue)
		if q == nil || j.state.Ended() {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.planStep(st, q, reserved, now)
			}
		}
	}
	s.dispatchRequests(order, now)
}

// urgentPriority is the priority of the queues whose jobs are placed without
// waiting for the next plan.
const urgentPriority = 0

// planUrgentJob places the tasks of an urgent job, or requests advice for it,
// between two plans. It uses the reservations of the last plan.
//
// Under a backlog, plans take long and are rare. An urgent job would otherwise wait
// for one plan to request advice and for another one to use the answer.
func (s *Scheduler) planUrgentJob(j *job, now time.Time) {
	q := s.table.Queue(j.spec.Queue)
	if q == nil || q.Priority != urgentPriority || j.state.Ended() || s.reservations == nil {
		return
	}
	if p := s.timelinessOf(j, q, s.allowance(j, q), now); p == overdue || p == tooLate {
		return
	}
	needsAdvice := false
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			s.planStep(st, q, s.reservations, now)
			_, pending := s.dispatcher.pending[st]
			needsAdvice = needsAdvice || pending
		}
	}
	if needsAdvice {
		s.dispatchRequests([]*job{j}, now)
	}
}

// planStep places the tasks of one step. If it lacks tickets or room, it is queued
// for a request for advice, and workers are reserved for a large step.
func (s *Scheduler) planStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) {
	st.advice.reserved = nil
	if st.tasksLeft == 0 {
		return
	}
	if !st.open {
		if q.Advice != nil && s.opensWithin(st, requestLead+q.Advice.RequestDuration(maxWorkersPerRequest), now) {
			s.dispatcher.enqueue(st, q)
		}
		return
	}
	if st.job.waitingTasks == 0 {
		return
	}
	if s.placeStep(st, q, reserved, now) || !st.hasPlaceableTask(now) {
		return
	}
	s.dispatcher.enqueue(st, q)
	s.poolOf(q.Service).largeStepWaiting = s.poolOf(q.Service).largeStepWaiting || s.isLarge(st, q)
	s.reserveWorkers(st, q, reserved, now)
}

// isLarge reports whether workers are reserved for the tasks of a step while they
// wait. A gang counts as large whatever the size of its tasks.
func (s *Scheduler) isLarge(st *step, q *queue.Queue) bool {
	return st.spec.Gang || st.spec.ReservedCapacity().DominantFraction(s.poolOf(q.Service).maxCapacity) >= largeFraction
}

// placeStep places the tasks of an open step. It reports whether all tasks that may
// be placed now have a worker.
func (s *Scheduler) placeStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	switch {
	case !st.spec.ReservedCapacity().Fits(s.poolOf(q.Service).maxFree):
		return false
	case st.spec.Gang:
		return s.placeGang(st, q, reserved, now)
	}
	return s.placeTasks(st, q, reserved, now)
}

// hasPlaceableTask reports whether a waiting task of the step may be placed now.
func (st *step) hasPlaceableTask(now time.Time) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.phase == phaseWaiting && !now.Before(t.notBefore) })
}

// opensWithin reports whether all dependencies of a step are expected to complete
// within a time.
func (s *Scheduler) opensWithin(st *step, within time.Duration, now time.Time) bool {
	for _, a := range st.spec.After {
		earlier := st.occurrence.steps[a]
		if !earlier.open {
			return false
		}
		for _, t := range earlier.tasks {
			if t.phase == phaseDone {
				continue
			}
			if t.phase != phaseRunning || s.runTimes.remainingRunTime(t, now) > within {
				return false
			}
		}
	}
	return true
}

// placeTasks places the waiting tasks of a step one by one. It reports whether all
// tasks that may be placed now have a worker.
func (s *Scheduler) placeTasks(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	all := true
	for _, t := range st.tasks {
		if t.phase != phaseWaiting || now.Before(t.notBefore) {
			continue
		}
		w := s.chooseWorker(st, q, t, reserved, nil, now)
		if w == nil {
			all = false
			break
		}
		s.placeTask(t, w, now)
	}
	return all
}

// placeGang places either all tasks of a gang or none. It reports false if there is
// no room for all of them.
func (s *Scheduler) placeGang(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	for _, t := range st.tasks {
		if t.phase != phaseWaiting || now.Before(t.notBefore) {
			return true // Members of an earlier run have not ended yet.
		}
	}
	run := int64(0)
	for _, t := range st.tasks {
		run = max(run, t.run+1)
	}
	var placed []*task
	racks := map[string]int{}
	for _, t := range st.tasks {
		w := s.chooseWorker(st, q, t, reserved, racks, now)
		if w == nil {
			for _, p := range placed {
				w := p.worker
				w.removeTask(p)
				p.worker = nil
			}
			return false
		}
		t.worker = w
		w.addTask(t)
		racks[w.rack()]++
		placed = append(placed, t)
	}
	checkpoint := gangCheckpoint(st.tasks)
	for _, t := range placed {
		w := t.worker
		w.removeTask(t)
		t.run, t.checkpoint = run-1, checkpoint
		s.placeTask(t, w, now)
	}
	return true
}

// gangCheckpoint returns a checkpoint from which every member of a gang can resume,
// or "" if there is none.
func gangCheckpoint(tasks []*task) string {
	for _, t := range tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// placeTask assigns a task to a worker. The start is ordered once the placement is
// stored.
func (s *Scheduler) placeTask(t *task, w *worker, now time.Time) {
	j := t.step.job
	t.run++
	t.phase, t.worker, t.startToken, t.runConfirmed, t.inCommit = phasePlaced, w, 0, false, false
	t.startedAt = now
	w.addTask(t)
	j.waitingTasks--
	j.tasksOnWorkers++
	j.anyTaskPlaced = true
	if j.state == work.Queued {
		j.state = work.Running
	}
	s.markDirty(j)
}

// Workers returns the lives of all workers that the scheduler has not removed, in
// order.
func (s *Scheduler) Workers() []backend.Life {
	return slices.SortedFunc(maps.Keys(s.workers), compareLives)
}
