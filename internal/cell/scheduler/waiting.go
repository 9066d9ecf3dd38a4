package scheduler

import (
	"cmp"
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
		if s.reservations == nil || !s.reservations.blocksTask(w, st, expectedEnd) {
			unreserved += places
		}
	}
	switch {
	case free < needed:
		return waitForCapacity
	case approved < needed && st.hasUnansweredWorker(s.poolOfService(q.Service)):
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
// which reason, and names the steps that have waited for long.
func (s *Scheduler) logWaitReasons(now time.Time) {
	summaries := map[string]*waitingTasksSummary{}
	var long []longWait
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
				v, tasks, reason := summaries[q.Name], st.countWaitingTasks(), s.waitReasonOf(st, q, now)
				v.byReason[reason] += tasks
				if st.advice.outranked {
					v.outranked += tasks
				}
				if j.leftOut {
					v.leftOut += tasks
				}
				if st.waitsLong(now) && st.wait.loggedReason != reason {
					long = append(long, longWait{st, q, reason})
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
	s.logLongWaits(long, now)
}

const (
	// minLongWait is how long a step must wait without any of its tasks being placed until a
	// line names it.
	minLongWait = 3 * time.Second
	// maxLongWaitLines limits the lines about steps and tasks that wait for long in each
	// loadLogInterval, for each of the two separately.
	maxLongWaitLines = 20
)

// stepWait describes for how long a step has waited. It is only logged.
type stepWait struct {
	// since is when the step was first found waiting, or when one of its tasks was last placed
	// since then. seenAt is when it was last found waiting.
	since, seenAt time.Time
	// loggedReason is the reason in the last line about the step, or "" without one.
	loggedReason waitReason
}

// waitsLong notes that a step waits, and reports whether it has waited long enough for a line.
func (st *step) waitsLong(now time.Time) bool {
	switch {
	case now.Sub(st.wait.seenAt) > 2*loadLogInterval:
		st.wait = stepWait{since: now}
	case st.lastPlacedAt.After(st.wait.since):
		st.wait = stepWait{since: st.lastPlacedAt}
	}
	st.wait.seenAt = now
	return now.Sub(st.wait.since) >= minLongWait
}

// longWait is a step that has waited for long, for a reason that no line has named yet.
type longWait struct {
	step   *step
	queue  *queue.Queue
	reason waitReason
}

// logLongWaits names the steps that have waited for long with what they wait for. Those without
// an earlier line come first, then those that have waited longest.
func (s *Scheduler) logLongWaits(list []longWait, now time.Time) {
	slices.SortFunc(list, func(a, b longWait) int {
		return cmp.Or(compareBools(a.step.wait.loggedReason != "", b.step.wait.loggedReason != ""),
			a.step.wait.since.Compare(b.step.wait.since), a.step.id.Compare(b.step.id))
	})
	for _, v := range list[:min(len(list), maxLongWaitLines)] {
		v.step.wait.loggedReason = v.reason
		s.logLongWait(v, now)
	}
	if n := len(list) - maxLongWaitLines; n > 0 {
		s.log.Info("steps_waiting_unnamed", "steps", n)
	}
}

func (s *Scheduler) logLongWait(v longWait, now time.Time) {
	st, a := v.step, &v.step.advice
	p := s.poolOfService(v.queue.Service)
	approved, approvedPlaces, readyPlaces, valid, unasked := 0, 0, 0, 0, 0
	for _, w := range p.workers {
		if !isCapable(w, st) {
			continue
		}
		if !a.answered[w] {
			unasked++
		}
		if _, ok := a.tickets[w]; !ok && v.queue.Advice != nil {
			continue
		}
		approved++
		places := usablePlaces(w, st)
		approvedPlaces += places
		if w.ready {
			readyPlaces += places
		}
		if a.hasValidTicket(w, now) {
			valid++
		}
	}
	s.log.Info("step_waiting", "job", st.id.Job, "occurrence", st.id.Occurrence, "step", st.id.Step, "queue", v.queue.Name, "reason", string(v.reason),
		"waited_ms", now.Sub(st.wait.since).Milliseconds(), "tasks", st.countWaitingTasks(), "tasks_left", st.tasksLeft, "lasting", st.spec.Lasting,
		"workers", len(p.workers), "ready", len(p.readyWorkers), "unasked", unasked, "awaited", len(a.workersAwaitingAnswer),
		"approved", approved, "approved_places", approvedPlaces, "ready_places", readyPlaces, "valid_tickets", valid,
		"outranked", a.outranked, "left_out", st.job.leftOut)
}

// logUnsettledTasks names the tasks that use capacity of a worker although no report or answer
// has shown for long that they run. While a start, stop or placement is outstanding, its task
// is in no other line.
func (s *Scheduler) logUnsettledTasks(now time.Time) {
	var list []*task
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if since := t.unsettledSince(); !since.IsZero() && now.Sub(since) >= minLongWait && !t.unsettledLogged {
				list = append(list, t)
			}
		}
	}
	sortTasksByID(list)
	for _, t := range list[:min(len(list), maxLongWaitLines)] {
		t.unsettledLogged = true
		w := t.worker
		s.log.Info("task_unsettled", "task", t.id.String(), "run", t.runNumber, "phase", t.phase.String(), "waited_ms", now.Sub(t.unsettledSince()).Milliseconds(),
			"worker", w.registration.Life.ID, "born", w.registration.Life.Born, "token", t.startToken, "listed", w.registered, "session", w.sessionOpen,
			"confirmed_token", w.confirmedToken, "required_token", w.requiredToken, "silent_ms", now.Sub(w.lastAnswerAt).Milliseconds(),
			"ends_truncated", w.endsTruncated, "lease_left_ms", w.leaseEnd.Sub(now).Milliseconds())
	}
	if n := len(list) - maxLongWaitLines; n > 0 {
		s.log.Info("tasks_unsettled_unnamed", "tasks", n)
	}
}

// unsettledSince returns since when a task waits for the store or for its worker, or the zero
// time if it doesn't.
func (t *task) unsettledSince() time.Time {
	switch t.phase {
	case phasePlaced:
		return t.startedAt
	case phaseStartOrdered:
		return t.orderedAt
	case phaseStopping:
		return t.stoppingSince
	case phaseRunning:
		if t.worker.endsTruncated {
			return t.startedAt
		}
	case phaseWaiting, phaseDone:
	}
	return time.Time{}
}
