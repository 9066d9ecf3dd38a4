package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Schedule does a scheduling pass: it places the waiting tasks, reserves workers for
// large steps without a place, and sends requests for advice.
func (s *Scheduler) Schedule(now time.Time) {
	s.schedulingNeeded = false
	sortedJobs := s.jobsInSchedulingOrder(now)
	reserved := newReservations()
	s.reservations = reserved
	clear(s.dispatcher.pendingSteps)
	s.poolOfService("")
	for _, p := range s.pools {
		p.refreshReadyWorkers(now, s.holdWait()+maxHoldAnswerDelay)
		p.largeStepWaiting = false
	}
	for _, j := range sortedJobs {
		q := s.queueOf(j)
		if q == nil || j.state.Ended() {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.scheduleStep(st, q, reserved, now)
			}
		}
	}
	s.markOutrankedSteps(sortedJobs, now)
	s.dispatchAdviceRequests(sortedJobs, now)
}

// urgentPriority is the priority of urgent queues. Their jobs are scheduled as soon
// as they are submitted, without waiting for the next scheduling pass, unless it is
// already too late for them to complete in time.
const urgentPriority = 0

// scheduleUrgentJob places the tasks of an urgent job, or requests advice for it,
// between two scheduling passes. It uses the reservations of the last pass. It does
// nothing for other jobs, for a job that can no longer complete in time, or for one beyond
// the rate of its team, which must not come before the jobs of others.
//
// Under a backlog, passes take long and are rare. Without this function, an urgent
// job would wait for one pass to request advice and for the next one to use the
// answer.
func (s *Scheduler) scheduleUrgentJob(j *job, now time.Time) {
	q := s.queueOf(j)
	if q == nil || q.Priority != urgentPriority || j.beyondRate || j.state.Ended() || s.reservations == nil {
		return
	}
	if p := s.timelinessOf(j, q, s.jobAllowance(j, q), now); p == timelinessOverdue || p == timelinessTooLate {
		return
	}
	needsAdvice := false
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			s.scheduleStep(st, q, s.reservations, now)
			_, pending := s.dispatcher.pendingSteps[st]
			needsAdvice = needsAdvice || pending
		}
	}
	if needsAdvice {
		s.dispatchAdviceRequests([]*job{j}, now)
	}
}

// scheduleStep places the tasks of one step. If tickets or free capacity are missing,
// it adds the step to those that need tickets, and reserves workers if the step is
// large.
func (s *Scheduler) scheduleStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) {
	st.advice.reservedWorkers = nil
	if st.tasksLeft == 0 || !s.canRun(st, q) {
		return
	}
	if !st.open {
		if q.Advice != nil && len(st.advice.answered) == 0 && s.fitsQuotaOnceOpen(st) && s.isStepExpectedToOpenWithin(st, adviceLeadTime+q.Advice.RequestDuration(maxWorkersPerRequest), now) {
			s.dispatcher.addPendingStep(st, q)
		}
		return
	}
	if st.job.waitingTasks == 0 {
		return
	}
	if s.isHeldByQuota(st) {
		s.dispatcher.removePendingStep(st)
		return
	}
	if s.placeStep(st, q, reserved, now) || !st.hasPlaceableTask(now) {
		return
	}
	if s.isHeldByQuota(st) {
		s.dispatcher.removePendingStep(st)
		return
	}
	s.dispatcher.addPendingStep(st, q)
	if s.isLargeStep(st, q) {
		s.poolOfService(q.Service).largeStepWaiting = true
		s.interference.largeStepWaitedAt[q.Service] = now
	}
	s.reserveWorkers(st, q, reserved, now)
}

// isLargeStep reports whether workers are reserved for a step while its tasks wait.
// That is so for a gang, and for a step whose tasks each need a large part of a
// worker.
func (s *Scheduler) isLargeStep(st *step, q *queue.Queue) bool {
	return st.spec.Gang || st.spec.ReservedCapacity().DominantFraction(s.poolOfService(q.Service).maxCapacity) >= minLargeTaskFraction
}

// placeStep places the tasks of an open step. It returns true if every task that may
// be placed now has a worker.
func (s *Scheduler) placeStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	switch {
	case !st.spec.ReservedCapacity().Fits(s.poolOfService(q.Service).maxFreeCapacity):
		return false
	case st.spec.Gang:
		return s.placeGang(st, q, reserved, now)
	}
	return s.placeTasks(st, q, reserved, now)
}

// hasPlaceableTask reports whether the step has a waiting task that may be placed
// now.
func (st *step) hasPlaceableTask(now time.Time) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.phase == phaseWaiting && !now.Before(t.placeNotBefore) })
}

// isStepExpectedToOpenWithin reports whether all steps that a step depends on are
// expected to complete within a duration.
func (s *Scheduler) isStepExpectedToOpenWithin(st *step, within time.Duration, now time.Time) bool {
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

// placeTasks places the waiting tasks of a step one by one. It returns true if every
// task that may be placed now has a worker.
func (s *Scheduler) placeTasks(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	all := true
	for _, t := range st.tasks {
		if t.phase != phaseWaiting || now.Before(t.placeNotBefore) {
			continue
		}
		if !s.fitsQuota(st, 1) {
			all = false
			break
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

// placeGang places either all tasks of a gang or none. It returns false if there are
// not enough places for all of them, or if together they exceed the cap of their team.
func (s *Scheduler) placeGang(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	for _, t := range st.tasks {
		if t.phase != phaseWaiting || now.Before(t.placeNotBefore) {
			return true // Some members of an earlier run have not ended yet.
		}
	}
	if !s.fitsQuota(st, len(st.tasks)) {
		return false
	}
	run := int64(0)
	for _, t := range st.tasks {
		run = max(run, t.runNumber+1)
	}
	var placed []*task
	membersByRack := map[string]int{}
	for _, t := range st.tasks {
		w := s.chooseWorker(st, q, t, reserved, membersByRack, now)
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
		membersByRack[w.rack()]++
		placed = append(placed, t)
	}
	checkpoint := gangCheckpoint(st.tasks)
	for _, t := range placed {
		w := t.worker
		w.removeTask(t)
		t.runNumber, t.checkpoint = run-1, checkpoint
		s.placeTask(t, w, now)
	}
	return true
}

// gangCheckpoint returns the checkpoint from which all members of a gang resume, or
// "" if there is none.
func gangCheckpoint(tasks []*task) string {
	for _, t := range tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// placeTask assigns a waiting task to a worker. Once this placement is stored, the
// start is ordered.
func (s *Scheduler) placeTask(t *task, w *worker, now time.Time) {
	j := t.step.job
	t.runNumber++
	t.phase, t.worker, t.startToken, t.runConfirmed, t.inCommit = phasePlaced, w, 0, false, false
	t.startSettled, t.runReported, t.startDelayed, t.paceUnconfirmed = false, false, false, false
	t.startedAt, t.step.lastPlacedAt, t.unsettledLogged = now, now, false
	w.addTask(t)
	if t.movedByInterference {
		s.interference.movedPlacements++
	}
	j.waitingTasks--
	j.tasksOnWorkers++
	j.anyTaskPlaced = true
	if j.state == work.Queued {
		j.state = work.Running
	}
	s.markJobDirty(j)
}

// Workers returns the workers that the scheduler has not removed, sorted by ID and
// start time. A life identifies one worker process.
func (s *Scheduler) Workers() []backend.Life { return slices.Clone(s.sortedLives()) }

// sortedLives is like Workers, but its result is shared and must not be changed. A
// worker that is added or removed later does not change it either.
func (s *Scheduler) sortedLives() []backend.Life {
	if s.lives == nil {
		s.lives = slices.SortedFunc(maps.Keys(s.workers), compareLives)
	}
	return s.lives
}
