package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
)

// timeliness classifies jobs by the time that they have left. Jobs are planned in
// the order of the constants.
type timeliness int

const (
	// dueNow means that the job completes in time only if it starts now.
	dueNow timeliness = iota
	// overdue means that the job can no longer complete in time, but its result is
	// still useful.
	overdue
	// hasSlack means that the job completes in time even if it waits for a good part
	// of its time.
	hasSlack
	// tooLate means that the result will be too late to be useful.
	tooLate
)

// minSlackShare is the share of a job's allowed time that must be left over for the
// job to have slack. At 0.5 the job still completes in time if its run time is
// twice the estimate.
const minSlackShare = 0.5

// maxPlannedJobs is the number of jobs in a plan from which on jobs that are too
// late are left out.
const maxPlannedJobs = 500

// rankedJob is an active job with its sort keys.
type rankedJob struct {
	job        *job
	timeliness timeliness
	priority   int
	due        time.Time
}

// planOrder returns the active jobs that have tasks to place or need advice soon,
// sorted by timeliness, then by priority, then by due time.
//
// Timeliness comes first because of overload: sorted by due time alone, each job
// waits until it is late, so that all jobs are late. After an outage it also lets
// urgent jobs that became late run before long jobs that lose nothing by waiting.
func (s *Scheduler) planOrder(now time.Time) []*job {
	ranks := make([]rankedJob, 0, len(s.active))
	for _, j := range s.active {
		if j.waitingTasks == 0 && !s.mayOpenLaterStep(j) {
			continue
		}
		q := s.table.Queue(j.spec.Queue)
		if q == nil {
			continue
		}
		allowance := s.allowance(j, q)
		ranks = append(ranks, rankedJob{
			job: j, priority: q.Priority, due: j.submittedAt.Add(allowance),
			timeliness: s.timelinessOf(j, q, allowance, now),
		})
	}
	slices.SortFunc(ranks, func(a, b rankedJob) int {
		return cmp.Or(cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	order := make([]*job, 0, len(ranks))
	for i := range ranks {
		if ranks[i].timeliness == tooLate && len(order) >= maxPlannedJobs {
			break // No caller waits for these jobs any more, and the ones in the plan come first.
		}
		order = append(order, ranks[i].job)
	}
	return order
}

// allowance returns the time within which a job should complete after its
// submission.
func (s *Scheduler) allowance(j *job, q *queue.Queue) time.Duration {
	longest := time.Duration(0)
	if len(j.declaredPaths) > 0 {
		longest = slices.Max(j.declaredPaths)
	}
	return q.Allowance(longest)
}

// recordDelay is the approximate time from a placement to its start order.
const recordDelay = 30 * time.Millisecond

// timelinessOf compares the remaining work of a job with the time until it is due.
// A job without running tasks also waits for its advice and for its record to be
// stored. Repeated jobs and jobs with lasting steps are always due now.
//
// That wait matters in bursts of urgent jobs: without it, each job would be placed
// in time but complete just too late.
func (s *Scheduler) timelinessOf(j *job, q *queue.Queue, allowance time.Duration, now time.Time) timeliness {
	if j.spec.Repeat != nil || j.hasLastingStep() {
		return dueNow
	}
	remaining := s.remainingPath(j)
	if j.tasksOnWorkers == 0 {
		remaining += recordDelay
		if q.Advice != nil && !j.hasTickets() {
			remaining += q.Advice.RequestDuration(maxWorkersPerRequest)
		}
	}
	slack := j.submittedAt.Add(allowance).Sub(now.Add(remaining))
	switch {
	case slack > time.Duration(minSlackShare*float64(allowance)):
		return hasSlack
	case slack >= 0:
		return dueNow
	case slack >= -(queue.LateFactor-1)*allowance:
		return overdue
	}
	return tooLate
}

// remainingPath returns the expected run time of the longest dependency path of
// steps that have not completed.
func (s *Scheduler) remainingPath(j *job) time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		paths := make([]time.Duration, len(o.steps))
		for i, st := range o.steps {
			for _, a := range st.spec.After {
				paths[i] = max(paths[i], paths[a])
			}
			if st.tasksLeft > 0 {
				paths[i] += s.runTimes.expectedRunTime(st)
			}
			longest = max(longest, paths[i])
		}
	}
	return longest
}

// hasTickets reports whether an open step has tickets, which may have expired.
func (j *job) hasTickets() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.open && st.tasksLeft > 0 && len(st.advice.tickets) > 0 {
				return true
			}
		}
	}
	return false
}

func (j *job) hasLastingStep() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s work.Step) bool { return s.Lasting })
}

// mayOpenLaterStep reports whether the tasks on workers may open a later step, which
// then needs advice.
func (s *Scheduler) mayOpenLaterStep(j *job) bool {
	return len(j.spec.Steps) > 1 && j.tasksOnWorkers > 0
}
