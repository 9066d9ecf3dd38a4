package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
)

// prospect tells what a job can still be worth to its caller.
type prospect int

const (
	// pressed jobs can complete when their caller wants them to, if they go now.
	pressed prospect = iota
	// late jobs are past that, and still of some worth.
	late
	// patient jobs can wait for a good part of their time and still be on time.
	patient
	// hopeless jobs are past the time in which a result has worth.
	hopeless
)

// patientSlack is the share of a job's time that must be left over, if it went now,
// for the job to be patient. Half leaves room for estimates that are twice too low.
const patientSlack = 0.5

// mostPlanned is the number of jobs in a plan from which on hopeless ones are left out.
const mostPlanned = 500

// rank orders waiting jobs.
type rank struct {
	job      *job
	prospect prospect
	priority int
	due      time.Time
}

// waitingOrder returns the active jobs with something to place or to ask, in the
// order in which they go: first what has to go now to be on time, then what is late,
// then what can wait, then the rest; of these by priority, then by when the caller
// wants them completed.
//
// It answers a load above the capacity: in the order of due times alone, each job
// waits until it is late, and all of them are. After an outage it lets the urgent jobs
// that became late go before long ones that lose nothing by waiting.
func (s *Scheduler) waitingOrder(now time.Time) []*job {
	ranks := make([]rank, 0, len(s.active))
	for _, j := range s.active {
		if j.waiting == 0 && !s.opensSoon(j) {
			continue
		}
		q := s.table.Queue(j.spec.Queue)
		if q == nil {
			continue
		}
		allowance := s.allowance(j, q)
		ranks = append(ranks, rank{
			job: j, priority: q.Priority, due: j.arrived.Add(allowance),
			prospect: s.prospectOf(j, q, allowance, now),
		})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.prospect, b.prospect), cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	order := make([]*job, 0, len(ranks))
	for i := range ranks {
		if ranks[i].prospect == hopeless && len(order) >= mostPlanned {
			break // Nobody waits for them; the first ones make room for the others.
		}
		order = append(order, ranks[i].job)
	}
	return order
}

// allowance returns in which time a job should complete.
func (s *Scheduler) allowance(j *job, q *queue.Queue) time.Duration {
	chain := time.Duration(0)
	if len(j.chain) > 0 {
		chain = slices.Max(j.chain)
	}
	return q.Allowance(chain)
}

// recordTime is about the time from a placement to its order.
const recordTime = 30 * time.Millisecond

// prospectOf compares the work that is left of a job with the time it has. A job of
// which nothing runs has its advice and its record to wait for besides.
//
// It answers bursts of urgent jobs: of those that are placed by when they are due, each
// would be placed just too late.
func (s *Scheduler) prospectOf(j *job, q *queue.Queue, allowance time.Duration, now time.Time) prospect {
	if j.spec.Repeat != nil || j.lasting() {
		return pressed
	}
	left := s.chainLeft(j)
	if j.running == 0 {
		left += recordTime
		if q.Advice != nil && !j.advised() {
			left += q.Advice.Of(mostAsked)
		}
	}
	slack := j.arrived.Add(allowance).Sub(now.Add(left))
	switch {
	case slack > time.Duration(patientSlack*float64(allowance)):
		return patient
	case slack >= 0:
		return pressed
	case slack >= -(queue.LateFactor-1)*allowance:
		return late
	}
	return hopeless
}

// chainLeft returns the expected time of the longest chain of steps that are not
// completed.
func (s *Scheduler) chainLeft(j *job) time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		chain := make([]time.Duration, len(o.steps))
		for i, st := range o.steps {
			for _, a := range st.spec.After {
				chain[i] = max(chain[i], chain[a])
			}
			if st.left > 0 {
				chain[i] += s.runTimes.expect(st)
			}
			longest = max(longest, chain[i])
		}
	}
	return longest
}

// advised reports whether an open step has tickets.
func (j *job) advised() bool {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.open && st.left > 0 && len(st.advice.tickets) > 0 {
				return true
			}
		}
	}
	return false
}

func (j *job) lasting() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s work.Step) bool { return s.Lasting })
}

// opensSoon reports whether advice for a later step should be sought.
func (s *Scheduler) opensSoon(j *job) bool { return len(j.spec.Steps) > 1 && j.running > 0 }
