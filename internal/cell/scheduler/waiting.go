package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
)

// waitReason says what the waiting tasks of a step lack.
type waitReason string

const (
	// waitForWorker means that the registered workers could not run the step even if they
	// were empty, or that the adviser approves none of them.
	waitForWorker waitReason = "no_worker"
	// waitForCapacity means that too few workers have enough free capacity, whether
	// the step may use them or not.
	waitForCapacity waitReason = "no_capacity"
	// waitForFirstAdvice means that the adviser has not been asked about all workers,
	// and that those which it has approved have too little free capacity.
	waitForFirstAdvice waitReason = "not_asked"
	// waitForApprovedCapacity means that the adviser was asked about all workers, and
	// that those which it has approved have too little free capacity.
	waitForApprovedCapacity waitReason = "approved_full"
	// waitForTickets means that approved workers have enough free capacity, but that
	// too few tickets are valid.
	waitForTickets waitReason = "ticket_expired"
	// waitForReservation means that workers with enough free capacity and valid tickets
	// are reserved for other steps.
	waitForReservation waitReason = "reserved"
	// waitForQuota means that the tasks exceed the cap of their team, or that the team's
	// caps are not known yet.
	waitForQuota waitReason = "quota"
	// waitForScheduling means that nothing is missing: the next scheduling pass places
	// the tasks.
	waitForScheduling waitReason = "none"
)

// waitReasonOf returns what the waiting tasks of an open step lack. A gang needs places
// for all its tasks at once, another step one place.
func (s *Scheduler) waitReasonOf(st *step, q *queue.Queue, now time.Time) waitReason {
	needed := 1
	if st.spec.Gang {
		needed = st.spec.Count
	}
	if s.isHeldByQuota(st) || !s.couldFitQuota(st) {
		return waitForQuota
	}
	if !s.canRun(st, q) {
		return waitForWorker
	}
	free, approved, valid, unreserved := 0, 0, 0, 0
	expectedEnd := now.Add(s.runTimes.expectedOccupancy(st))
	for _, w := range s.poolOfService(q.Service).readyWorkers {
		if !w.acceptsTasksOf(q) || !isCapable(w, st) {
			continue
		}
		places := usablePlaces(w, st)
		free += places
		if _, known := st.advice.tickets[w]; q.Advice != nil && !known {
			continue
		}
		approved += places
		if q.Advice != nil && !st.advice.hasValidTicket(w, now) {
			continue
		}
		valid += places
		if s.reservations == nil || !s.reservations.blocksTask(w, st.job, expectedEnd) {
			unreserved += places
		}
	}
	switch {
	case free < needed:
		return waitForCapacity
	case approved < needed && len(st.advice.answered) < len(s.poolOfService(q.Service).workers):
		return waitForFirstAdvice
	case approved < needed:
		return waitForApprovedCapacity
	case valid < needed:
		return waitForTickets
	case unreserved < needed:
		return waitForReservation
	}
	return waitForScheduling
}

// waitingTasksSummary counts the waiting tasks of a queue.
type waitingTasksSummary struct {
	byReason map[waitReason]int
	// outranked counts the tasks of steps whose further requests for advice are held
	// back because earlier steps claim the free capacity. leftOut counts those of jobs
	// that the last scheduling pass left out.
	outranked, leftOut int
}

// logWaitReasons logs, for each queue with waiting tasks, how many of them wait for
// which reason.
func (s *Scheduler) logWaitReasons(now time.Time) {
	summaries := map[string]*waitingTasksSummary{}
	for _, j := range s.activeJobs {
		q := s.queueOf(j)
		if q == nil || j.waitingTasks == 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if !st.open || !st.hasPlaceableTask(now) {
					continue
				}
				if summaries[q.Name] == nil {
					summaries[q.Name] = &waitingTasksSummary{byReason: map[waitReason]int{}}
				}
				v, tasks := summaries[q.Name], st.countWaitingTasks()
				v.byReason[s.waitReasonOf(st, q, now)] += tasks
				if st.advice.outranked {
					v.outranked += tasks
				}
				if j.leftOut {
					v.leftOut += tasks
				}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(summaries)) {
		v := summaries[name]
		fields := []any{"queue", name}
		for _, r := range []waitReason{waitForWorker, waitForCapacity, waitForFirstAdvice, waitForApprovedCapacity, waitForTickets, waitForReservation, waitForQuota, waitForScheduling} {
			fields = append(fields, string(r), v.byReason[r])
		}
		s.log.Info("waiting_tasks", append(fields, "outranked", v.outranked, "left_out", v.leftOut)...)
	}
}
