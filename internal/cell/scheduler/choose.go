package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// usable reports whether a worker could run tasks of a step at all.
func usable(w *worker, st *step) bool {
	return w.registration.HasLabel(st.spec.Label) && st.spec.Room().Fits(w.registration.Capacity)
}

// answerDelay is the silence beyond the time of a hold after which a worker gets
// no new work.
const answerDelay = 400 * time.Millisecond

// choose returns the best worker for a task, or nil. racks counts the members of
// its gang that have a place.
func (s *Scheduler) choose(st *step, q *queue.Queue, t *task, reserved *reservations, racks map[string]int, now time.Time) *worker {
	c := choice{scheduler: s, task: t, reserved: reserved, racks: racks, room: st.spec.Room(), now: now, until: now.Add(s.runTimes.expectLasting(st))}
	if q.Advice == nil {
		for _, w := range s.poolOf(q.Service).ready {
			c.consider(w)
		}
		return c.best
	}
	// The good workers of a step are few in a large pool.
	for w := range st.advice.tickets {
		if w.ready && w.takes(q) && st.advice.valid(w, now) {
			c.consider(w)
		}
	}
	return c.best
}

// choice finds the best of several workers for a task.
type choice struct {
	scheduler *Scheduler
	task      *task
	reserved  *reservations
	racks     map[string]int
	room      resource.Vector
	// until is when the task should end if it starts now.
	now, until time.Time
	best       *worker
	score      float64
}

// consider takes a worker if it is better than the best so far.
func (c *choice) consider(w *worker) {
	st := c.task.step
	if !c.room.Fits(w.free()) || !w.registration.HasLabel(st.spec.Label) || c.reserved.blocks(w, st.job, c.until) || !keepsApart(w, st) || w.leftRunOf(c.task.id) {
		return
	}
	score := c.scheduler.score(w, st, c.task, c.racks)
	if c.now.Before(w.slowUntil) {
		score -= weightSlow
	}
	if c.best == nil || score > c.score || (score == c.score && compareLives(w.registration.Life, c.best.registration.Life) < 0) {
		c.best, c.score = w, score
	}
}

// keepsApart reports whether a worker may take one more task of a step.
func keepsApart(w *worker, st *step) bool { return placesApart(w, st) > 0 }

// placesApart returns how many more tasks of a step a worker may take besides what
// its room allows.
func placesApart(w *worker, st *step) int {
	if st.spec.MostPerWorker == 0 {
		return work.MaxTasks
	}
	n := 0
	for _, t := range w.tasks {
		if t.step == st {
			n++
		}
	}
	for v := range w.left {
		if v.task.StepID == st.id {
			n++
		}
	}
	return max(st.spec.MostPerWorker-n, 0)
}

// The weights of what speaks for a worker, against a tight fit that counts up
// to 1.
const (
	// weightRack is for the rack that holds the data, or the rest of the gang.
	weightRack = 4.0
	// weightFailed is against the worker on which the task failed last.
	weightFailed = 3.0
	// weightSlow is against workers that are slow at the moment.
	weightSlow = 6.0
	// weightMixed is against putting filling tasks beside serving ones.
	weightMixed = 2.0
)

// score values a worker for a task; the fullest worker that fits is best, so
// that whole workers stay free for large tasks.
func (s *Scheduler) score(w *worker, st *step, t *task, racks map[string]int) float64 {
	score := w.used.Add(st.spec.Room()).DominantFraction(w.registration.Capacity)
	if st.spec.Rack != "" && w.rack() == st.spec.Rack {
		score += weightRack
	}
	if st.spec.SameRack && racks[w.rack()] > 0 {
		score += weightRack
	}
	if t.avoid == w.registration.Life.ID {
		score -= weightFailed
	}
	if mixes(w, st) {
		score -= weightMixed
	}
	return score
}

// mixes reports whether a task of the step would share the worker with tasks
// that it disturbs, or that disturb it.
func mixes(w *worker, st *step) bool {
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
