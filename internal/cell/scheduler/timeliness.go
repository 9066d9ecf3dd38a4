package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
)

// timeliness says whether a job can still complete in time. A scheduling pass handles
// the jobs in the order of these constants.
type timeliness int

const (
	// timelinessDueNow means that the job can still complete in time if it starts
	// now.
	timelinessDueNow timeliness = iota
	// timelinessOverdue means that the job can no longer complete in time, but its
	// result is still useful.
	timelinessOverdue
	// timelinessAmple means that the job completes in time even if it first waits for
	// a large part of its allowance.
	timelinessAmple
	// timelinessTooLate means that the result will be too late to be useful.
	timelinessTooLate
)

// minAmpleSlackShare is the share of its allowance that a job must be able to wait to
// be classified as timelinessAmple. At 0.5, such a job still completes in time if it
// takes twice as long as estimated.
const minAmpleSlackShare = 0.5

// tooLateJobsCutoff is a number of jobs. Once a scheduling pass contains that many that
// compete for the same workers, it takes no further ones of these whose results would come
// too late to be useful.
const tooLateJobsCutoff = 500

// maxLateJobsWithRoom is the number of jobs beyond tooLateJobsCutoff that a scheduling pass takes
// all the same if a worker has room for a task of them. The jobs before them may not be able to
// use it, and may wait without end.
const maxLateJobsWithRoom = 100

// rankedJob is a job that takes part in a scheduling pass, with the keys by which it
// is sorted.
type rankedJob struct {
	job        *job
	timeliness timeliness
	priority   int
	due        time.Time
	service    string
	class      classKey
	// runnable is the first step with waiting tasks that can run, or nil. heldByQuota is
	// true if there is none because of the cap of the team.
	runnable    *step
	heldByQuota bool
}

// jobsInSchedulingOrder returns the active jobs that have tasks to place on workers that can
// run them, or may need advice soon, sorted by timeliness, then by priority, then by due time.
// With teams, jobs beyond the rate of their team come after the others of the same timeliness
// and priority, and arrangeByShare decides before the due time does.
//
// Timeliness comes first because of overload. If jobs were sorted by due time alone,
// each job would wait until it is late, so that all jobs would be late. After an
// outage, urgent jobs that have become late also run before long jobs that lose
// nothing by waiting.
func (s *Scheduler) jobsInSchedulingOrder(now time.Time) []*job {
	ranks := make([]rankedJob, 0, len(s.activeJobs))
	for _, j := range s.activeJobs {
		if j.waitingTasks == 0 && !s.mayOpenLaterStep(j) {
			continue
		}
		q := s.queueOf(j)
		if q == nil {
			continue
		}
		runnable, held := s.runnableStep(j, q)
		if runnable == nil && !s.mayOpenLaterStep(j) {
			continue
		}
		allowance := s.jobAllowance(j, q)
		ranks = append(ranks, rankedJob{
			job: j, priority: q.Priority, service: q.Service, due: j.submittedAt.Add(allowance), class: classOfStep(runnable, q), runnable: runnable, heldByQuota: held,
			timeliness: s.timelinessOf(j, q, allowance, now),
		})
	}
	slices.SortFunc(ranks, func(a, b rankedJob) int {
		return cmp.Or(cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(a.priority, b.priority), compareBools(a.job.beyondRate, b.job.beyondRate), a.due.Compare(b.due), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	s.arrangeByShare(ranks)
	order := make([]*job, 0, len(ranks))
	jobsByClass, lateJobsWithRoom, claims := map[classKey]int{}, map[classKey]int{}, quotaClaims{}
	for i := range ranks {
		r := &ranks[i]
		// No caller waits for these jobs any more, and the other jobs come first.
		r.job.leftOut = r.timeliness == timelinessTooLate && jobsByClass[r.class] >= tooLateJobsCutoff
		if r.job.leftOut && lateJobsWithRoom[r.class] < maxLateJobsWithRoom && s.hasRoomForTaskOf(r) {
			r.job.leftOut = false
			lateJobsWithRoom[r.class]++
		}
		if !r.job.leftOut {
			// A job that only the cap of its team keeps from running competes with no other.
			if !r.heldByQuota && (r.runnable == nil || claims.claim(s, r.runnable) > 0) {
				jobsByClass[r.class]++
			}
			order = append(order, r.job)
		}
	}
	return order
}

// hasRoomForTaskOf reports whether a worker may have enough free capacity for a task of a job:
// the largest free amounts of each resource, which may be on different workers, suffice.
func (s *Scheduler) hasRoomForTaskOf(r *rankedJob) bool {
	return r.runnable != nil && !r.heldByQuota &&
		r.runnable.spec.ReservedCapacity().Fits(s.poolOfService(r.service).classOf(r.runnable.spec.Label).maxFreeCapacity)
}

// jobAllowance returns the time after its submission within which a job should
// complete.
func (s *Scheduler) jobAllowance(j *job, q *queue.Queue) time.Duration {
	longest := time.Duration(0)
	if len(j.criticalPaths) > 0 {
		longest = slices.Max(j.criticalPaths)
	}
	return q.Allowance(longest)
}

// placementStoreDelay is the approximate time from placing a task to ordering its
// start. In this time the placement is stored.
const placementStoreDelay = 30 * time.Millisecond

// timelinessOf classifies a job by its expected remaining run time and the time until
// it is due. For a job without tasks on workers, it adds the time for requesting
// advice and for storing a placement. Repeated jobs and jobs with lasting steps
// always get timelinessDueNow.
//
// The added time matters when many urgent jobs come at once: without it, each job
// would be placed in time but complete just too late.
func (s *Scheduler) timelinessOf(j *job, q *queue.Queue, allowance time.Duration, now time.Time) timeliness {
	if j.spec.Repeat != nil || j.hasLastingStep() {
		return timelinessDueNow
	}
	remaining := s.remainingCriticalPath(j)
	if j.tasksOnWorkers == 0 {
		remaining += placementStoreDelay
		if q.Advice != nil && !j.hasTickets() {
			remaining += q.Advice.RequestDuration(maxWorkersPerRequest)
		}
	}
	slack := j.submittedAt.Add(allowance).Sub(now.Add(remaining))
	switch {
	case slack > time.Duration(minAmpleSlackShare*float64(allowance)):
		return timelinessAmple
	case slack >= 0:
		return timelinessDueNow
	case slack >= -(queue.AllowancesUntilUseless-1)*allowance:
		return timelinessOverdue
	}
	return timelinessTooLate
}

// remainingCriticalPath returns the expected run time of the longest chain of
// dependent steps that have not completed.
func (s *Scheduler) remainingCriticalPath(j *job) time.Duration {
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

// hasTickets reports whether any open step of a job that has not completed has
// tickets, which may have expired.
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

// mayOpenLaterStep reports whether a later step of a job may open soon, because tasks
// of the job are on workers. It may then need advice.
func (s *Scheduler) mayOpenLaterStep(j *job) bool {
	return len(j.spec.Steps) > 1 && j.tasksOnWorkers > 0
}
