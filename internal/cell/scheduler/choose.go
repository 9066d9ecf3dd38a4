package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// canRun reports whether a worker has the label and the total capacity that tasks
// of a step need.
func canRun(w *worker, st *step) bool {
	return w.registration.HasLabel(st.spec.Label) && st.spec.ReservedCapacity().Fits(w.registration.Capacity)
}

// maxAnswerDelay is how much longer than holdWait a worker may be silent and still
// get new work.
const maxAnswerDelay = 400 * time.Millisecond

// chooseWorker returns the best worker for a task, or nil if none has room.
// gangRacks counts, by rack, the members of the task's gang that are already
// placed.
func (s *Scheduler) chooseWorker(st *step, q *queue.Queue, t *task, reserved *reservations, gangRacks map[string]int, now time.Time) *worker {
	c := workerSelection{scheduler: s, task: t, reserved: reserved, gangRacks: gangRacks, room: st.spec.ReservedCapacity(), now: now, expectedEnd: now.Add(s.runTimes.expectedOccupancy(st))}
	if q.Advice == nil {
		for _, w := range s.poolOf(q.Service).readyWorkers {
			c.consider(w)
		}
		return c.best
	}
	// In a large pool, the workers with tickets are few, so only these are searched.
	for w := range st.advice.tickets {
		if w.ready && w.accepts(q) && st.advice.hasValidTicket(w, now) {
			c.consider(w)
		}
	}
	return c.best
}

// workerSelection finds the best of several workers for a task.
type workerSelection struct {
	scheduler *Scheduler
	task      *task
	reserved  *reservations
	gangRacks map[string]int
	room      resource.Vector
	// expectedEnd is when the task is expected to end if it starts now.
	now, expectedEnd time.Time
	best             *worker
	bestScore        float64
}

// consider selects a worker if it may take the task and is better than the best one
// so far.
func (c *workerSelection) consider(w *worker) {
	st := c.task.step
	if !c.room.Fits(w.free()) || !w.registration.HasLabel(st.spec.Label) || c.reserved.blocks(w, st.job, c.expectedEnd) || !belowTaskLimit(w, st) || w.hasOrphanOf(c.task.id) {
		return
	}
	score := c.scheduler.score(w, st, c.task, c.gangRacks)
	if c.now.Before(w.slowUntil) {
		score -= penaltySlow
	}
	if c.best == nil || score > c.bestScore || (score == c.bestScore && compareLives(w.registration.Life, c.best.registration.Life) < 0) {
		c.best, c.bestScore = w, score
	}
}

// belowTaskLimit reports whether MostPerWorker allows one more task of a step on a
// worker.
func belowTaskLimit(w *worker, st *step) bool { return taskLimitLeft(w, st) > 0 }

// taskLimitLeft returns how many more tasks of a step MostPerWorker allows on a
// worker.
func taskLimitLeft(w *worker, st *step) int {
	if st.spec.MostPerWorker == 0 {
		return work.MaxTasks
	}
	n := 0
	for _, t := range w.tasks {
		if t.step == st {
			n++
		}
	}
	for v := range w.orphans {
		if v.task.StepID == st.id {
			n++
		}
	}
	return max(st.spec.MostPerWorker-n, 0)
}

// The bonuses and penalties in the score of a worker. The score without them is the
// fraction of the worker's capacity that would be in use, from 0 to 1.
const (
	// bonusRack is for the rack that holds the data, or other members of the gang.
	bonusRack = 4.0
	// penaltyFailed is for the worker on which the task failed last.
	penaltyFailed = 3.0
	// penaltySlow is for workers that are slow at the moment.
	penaltySlow = 6.0
	// penaltyInterference is for placing filling tasks beside serving tasks, or the
	// reverse.
	penaltyInterference = 2.0
)

// score rates a worker for a task. The fullest worker with room is the best, so
// that whole workers stay free for large tasks.
func (s *Scheduler) score(w *worker, st *step, t *task, gangRacks map[string]int) float64 {
	score := w.used.Add(st.spec.ReservedCapacity()).DominantFraction(w.registration.Capacity)
	if st.spec.Rack != "" && w.rack() == st.spec.Rack {
		score += bonusRack
	}
	if st.spec.SameRack && gangRacks[w.rack()] > 0 {
		score += bonusRack
	}
	if t.avoidedWorker == w.registration.Life.ID {
		score -= penaltyFailed
	}
	if interferes(w, st) {
		score -= penaltyInterference
	}
	return score
}

// interferes reports whether a worker has filling tasks while the step has serving
// ones, or the reverse. A filling task uses processor time that other tasks leave
// over; a serving task has a latency target.
func interferes(w *worker, st *step) bool {
	if !st.spec.Fills && st.spec.Target == 0 {
		return false
	}
	for _, t := range w.tasks {
		if (st.spec.Fills && t.step.spec.Target > 0) || (st.spec.Target > 0 && t.step.spec.Fills) {
			return true
		}
	}
	return false
}
