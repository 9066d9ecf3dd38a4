package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Plan places waiting tasks.
func (s *Scheduler) Plan(now time.Time) {
	s.planNeeded = false
	order := s.waitingOrder(now)
	reserved := newReservations()
	s.reserved = reserved
	clear(s.advisers.waiting)
	s.poolOf("")
	for _, p := range s.pools {
		p.measure(now, s.holdWait()+answerDelay)
		p.hasLarge = false
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
	s.dealQuestions(order, now)
}

// urgentPriority is the priority of the queues whose jobs are placed as they come.
const urgentPriority = 0

// hasten places and asks for an urgent job between two plans, with the reservations of
// the last one.
//
// It answers a backlog, when plans are long and rare: an urgent job would wait for one
// to ask for advice and for another to use it.
func (s *Scheduler) hasten(j *job, now time.Time) {
	q := s.table.Queue(j.spec.Queue)
	if q == nil || q.Priority != urgentPriority || j.state.Ended() || s.reserved == nil {
		return
	}
	if p := s.prospectOf(j, q, s.allowance(j, q), now); p == late || p == hopeless {
		return
	}
	asks := false
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			s.planStep(st, q, s.reserved, now)
			_, wants := s.advisers.waiting[st]
			asks = asks || wants
		}
	}
	if asks {
		s.dealQuestions([]*job{j}, now)
	}
}

func (s *Scheduler) planStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) {
	st.advice.kept = nil
	if st.left == 0 {
		return
	}
	if !st.open {
		if q.Advice != nil && s.opensWithin(st, askAhead+q.Advice.Of(mostAsked), now) {
			s.advisers.want(st, q)
		}
		return
	}
	if st.job.waiting == 0 {
		return
	}
	if s.placeStep(st, q, reserved, now) || !st.anyWaiting(now) {
		return
	}
	s.advisers.want(st, q)
	s.poolOf(q.Service).hasLarge = s.poolOf(q.Service).hasLarge || s.isLarge(st, q)
	s.reserve(st, q, reserved, now)
}

// isLarge reports whether workers are kept for the tasks of a step while they wait.
func (s *Scheduler) isLarge(st *step, q *queue.Queue) bool {
	return st.spec.Gang || st.spec.Room().DominantFraction(s.poolOf(q.Service).largest) >= largeFraction
}

// placeStep places the tasks of an open step; it reports whether none is left
// waiting.
func (s *Scheduler) placeStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	switch {
	case !st.spec.Room().Fits(s.poolOf(q.Service).free):
		return false
	case st.spec.Gang:
		return s.placeGang(st, q, reserved, now)
	}
	return s.placeTasks(st, q, reserved, now)
}

func (st *step) anyWaiting(now time.Time) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.phase == phaseWaiting && !now.Before(t.notBefore) })
}

// opensWithin reports whether all earlier steps should end within a time.
func (s *Scheduler) opensWithin(st *step, within time.Duration, now time.Time) bool {
	for _, a := range st.spec.After {
		before := st.turn.steps[a]
		if !before.open {
			return false
		}
		for _, t := range before.tasks {
			if t.phase == phaseDone {
				continue
			}
			if t.phase != phaseRunning || s.runTimes.remaining(t, now) > within {
				return false
			}
		}
	}
	return true
}

// placeTasks places the waiting tasks of a step; it reports whether none is
// left waiting.
func (s *Scheduler) placeTasks(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	all := true
	for _, t := range st.tasks {
		if t.phase != phaseWaiting || now.Before(t.notBefore) {
			continue
		}
		w := s.choose(st, q, t, reserved, nil, now)
		if w == nil {
			all = false
			break
		}
		s.place(t, w, now)
	}
	return all
}

// placeGang places all tasks of a gang or none.
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
		w := s.choose(st, q, t, reserved, racks, now)
		if w == nil {
			for _, p := range placed {
				w := p.worker
				w.remove(p)
				p.worker = nil
			}
			return false
		}
		t.worker = w
		w.add(t)
		racks[w.rack()]++
		placed = append(placed, t)
	}
	checkpoint := latestCheckpoint(st.tasks)
	for _, t := range placed {
		w := t.worker
		w.remove(t)
		t.run, t.checkpoint = run-1, checkpoint
		s.place(t, w, now)
	}
	return true
}

// latestCheckpoint returns a checkpoint that every member can resume from.
func latestCheckpoint(tasks []*task) string {
	for _, t := range tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// place gives a task room on a worker. Its start is ordered once that is stored.
func (s *Scheduler) place(t *task, w *worker, now time.Time) {
	j := t.step.job
	t.run++
	t.phase, t.worker, t.token, t.settled, t.inCommit = phaseRecorded, w, 0, false, false
	t.begun = now
	w.add(t)
	j.waiting--
	j.running++
	j.begun = true
	if j.state == work.Queued {
		j.state = work.Running
	}
	s.touch(j)
}

// Workers lists the lives of the workers that are held, in a fixed order.
func (s *Scheduler) Workers() []backend.Life {
	return slices.SortedFunc(maps.Keys(s.workers), compareLives)
}
