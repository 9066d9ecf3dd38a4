package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/interference"
	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// isCapable reports whether a worker could run a task of a step if it were empty: it
// has the label that the step demands, and enough total capacity.
func isCapable(w *worker, st *step) bool {
	return w.registration.HasLabel(st.spec.Label) && st.spec.ReservedCapacity().Fits(w.registration.Capacity)
}

// maxHoldAnswerDelay is added to holdWait. A worker that has been silent for longer
// than the sum gets no new tasks.
const maxHoldAnswerDelay = 400 * time.Millisecond

// chooseWorker returns the best worker for a task, or nil if no suitable worker has
// enough free capacity. gangMembersByRack counts the already placed members of the
// gang to which the task belongs.
func (s *Scheduler) chooseWorker(st *step, q *queue.Queue, t *task, reserved *reservations, gangMembersByRack map[string]int, now time.Time) *worker {
	c := workerSelection{scheduler: s, task: t, reserved: reserved, gangMembersByRack: gangMembersByRack, taskCapacity: st.spec.ReservedCapacity(), now: now, expectedEnd: now.Add(s.runTimes.expectedOccupancy(st))}
	c.partners = s.interferencePartners(st, q, now)
	if q.Advice == nil {
		for _, w := range s.poolOfService(q.Service).readyWorkers {
			c.considerWorker(w)
		}
		return c.chosenWorker()
	}
	// Of a large pool, only a few workers have tickets. Searching just these is
	// faster.
	earliestExpiry := now.Add(minTicketValidity)
	for w, ticket := range st.advice.tickets {
		if w.ready && ticket.expiresAt.After(earliestExpiry) && w.acceptsTasksOf(q) {
			c.considerWorker(w)
		}
	}
	return c.chosenWorker()
}

// workerSelection searches for the best worker for a task.
type workerSelection struct {
	scheduler         *Scheduler
	task              *task
	reserved          *reservations
	gangMembersByRack map[string]int
	taskCapacity      resource.Vector
	// expectedEnd is when the task is expected to end if it starts at now.
	now, expectedEnd time.Time
	bestWorker       *worker
	bestScore        float64
	// partners lists the images that are in a known pair with the image of the task. If
	// there are any, bestWithout and bestScoreWithout are the best worker and its score
	// without the penalties for known pairs.
	partners         []interference.Partner
	bestWithout      *worker
	bestScoreWithout float64
}

// chosenWorker returns the best worker, and notes in the task whether the penalties for known
// pairs decided on it.
func (c *workerSelection) chosenWorker() *worker {
	c.task.movedByInterference = len(c.partners) > 0 && c.bestWorker != c.bestWithout
	return c.bestWorker
}

// considerWorker makes a worker the best one found so far if it may run the task and
// has a higher score.
func (c *workerSelection) considerWorker(w *worker) {
	st := c.task.step
	if !c.taskCapacity.Fits(w.freeCapacity()) || !w.registration.HasLabel(st.spec.Label) || !belowTaskLimit(w, st) || w.hasOrphanedRunOf(c.task.id) {
		return
	}
	delaysReserved := c.reserved.delaysReservedTask(w, st, c.expectedEnd)
	if delaysReserved && !st.spec.Lasting {
		return
	}
	score := c.scheduler.scoreWorker(w, st, c.task, c.gangMembersByRack)
	if c.now.Before(w.slowUntil) {
		score -= slowWorkerPenalty
	}
	if delaysReserved {
		score -= reservedWorkerPenalty
	}
	if len(c.partners) > 0 {
		if isBetterWorker(w, score, c.bestWithout, c.bestScoreWithout) {
			c.bestWithout, c.bestScoreWithout = w, score
		}
		score -= learnedPenalty(w, st, c.partners)
	}
	if isBetterWorker(w, score, c.bestWorker, c.bestScore) {
		c.bestWorker, c.bestScore = w, score
	}
}

// isBetterWorker reports whether a worker is better than the best one found so far, which may
// be nil.
func isBetterWorker(w *worker, score float64, best *worker, bestScore float64) bool {
	return best == nil || score > bestScore || (score == bestScore && compareLives(w.registration.Life, best.registration.Life) < 0)
}

// belowTaskLimit reports whether a worker may get one more task of a step under the
// limit in MostPerWorker.
func belowTaskLimit(w *worker, st *step) bool { return remainingTaskLimit(w, st) > 0 }

// remainingTaskLimit returns how many more tasks of a step a worker may get under the
// limit in MostPerWorker.
func remainingTaskLimit(w *worker, st *step) int {
	if st.spec.MostPerWorker == 0 {
		return work.MaxTasks
	}
	n := 0
	for _, t := range w.tasks {
		if t.step == st {
			n++
		}
	}
	for v := range w.orphanedRuns {
		if v.task.StepID == st.id {
			n++
		}
	}
	return max(st.spec.MostPerWorker-n, 0)
}

// The bonuses and penalties in the score of a worker. Without them, the score is the
// fraction of the worker's capacity that would be in use with the task, from 0 to 1.
const (
	// rackBonus is for a worker in the rack that holds the input data and, if the
	// step has SameRack set, for one in a rack with other members of the gang.
	rackBonus = 4.0
	// failedTaskPenalty is for each of the last workers on which the task has failed.
	failedTaskPenalty = 3.0
	// slowWorkerPenalty is for a worker that counts as slow at the moment.
	slowWorkerPenalty = 6.0
	// reservedWorkerPenalty is for a worker that is reserved for a task that would be delayed.
	// It outweighs all others: a lasting task is placed on such a worker only if there is no
	// other.
	reservedWorkerPenalty = 20.0
	// interferencePenalty is for placing a filling task on a worker with serving
	// tasks, or a serving task on a worker with filling tasks.
	interferencePenalty = 2.0
	// learnedPenaltyPerExcess times the learned slowdown above 1 is the penalty for a worker
	// with a task of a known pair. At a slowdown of 1.5 it equals the difference between an
	// empty worker and a full one.
	learnedPenaltyPerExcess = 2.0
	// maxInterferencePenalty is the limit on the sum of both penalties for interference. It
	// is below rackBonus and failedTaskPenalty, so that neither the place of the input data
	// nor a failure is outweighed.
	maxInterferencePenalty = 2.9
)

// scoreWorker rates a worker for a task; the highest score is the best. Without
// bonuses and penalties, the fullest worker that still has enough free capacity gets
// the highest score, so that entire workers stay free for large tasks.
func (s *Scheduler) scoreWorker(w *worker, st *step, t *task, gangMembersByRack map[string]int) float64 {
	score := w.usedCapacity.Add(st.spec.ReservedCapacity()).DominantFraction(w.registration.Capacity)
	if st.spec.Rack != "" && w.rack() == st.spec.Rack {
		score += rackBonus
	}
	if st.spec.SameRack && gangMembersByRack[w.rack()] > 0 {
		score += rackBonus
	}
	if slices.Contains(t.failedWorkers, w.registration.Life.ID) {
		score -= failedTaskPenalty
	}
	if wouldInterfere(w, st) {
		score -= interferencePenalty
	}
	return score
}

// wouldInterfere reports whether tasks of a step would disturb tasks on a worker: the
// step has filling tasks and the worker serving ones, or the reverse. A filling task
// uses the processor time that other tasks leave idle; a serving task has a latency
// target.
func wouldInterfere(w *worker, st *step) bool {
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
