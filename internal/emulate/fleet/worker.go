// Package fleet emulates workers for tests of the scheduler. A worker checks
// fencing tokens, ends its runs when its lease lapses by its own clock, and
// reports ended runs until they are acknowledged. The package starts no
// goroutines: callers pass the current time, so that tests can simulate it.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// TaskProfile describes how a task behaves on an emulated worker.
type TaskProfile struct {
	// Size is the amount of resources that the task uses.
	Size resource.Vector
	// RunTime is how long the task runs; it is ignored for lasting tasks.
	RunTime time.Duration
	// Lasting tasks run until they are stopped or the lease lapses.
	Lasting bool
	// Speculative tasks may run on several workers at once.
	Speculative bool
	// Fails makes the run end with the outcome Failed after RunTime.
	Fails bool
	// GangSize is the number of tasks in the gang of this task, or 0 if the task
	// is in no gang.
	GangSize int
	// Advised tasks start only with a valid ticket, if the worker checks tickets.
	Advised bool
	// Checkpoint is what every run reports as its checkpoint.
	Checkpoint string
}

// Observer is notified of what happens on emulated workers. The methods are
// called synchronously with the time that the caller passed to the worker.
type Observer interface {
	// Started reports that a new run began.
	Started(w *Worker, s backend.Start, at time.Time)
	// Ended reports that a run ended.
	Ended(w *Worker, e backend.EndedRun, at time.Time)
	// Acknowledged reports that the scheduler has confirmed an end, so that the
	// worker stops reporting it.
	Acknowledged(w *Worker, e backend.EndedRun, at time.Time)
}

// taskRun is one execution of a task that has not ended.
type taskRun struct {
	task      work.TaskID
	number    int64
	profile   TaskProfile
	startedAt time.Time
	// stopOrderedAt is when the run was ordered to stop. It is zero if it was not.
	stopOrderedAt time.Time
	// gang is the run of the gang of which this is a member, or nil.
	gang *gangRun
}

// runID identifies a run. A worker refuses no run beside another run of the same task.
type runID struct {
	task   work.TaskID
	number int64
}

// endsAt returns when the run ends by itself. works is false while it waits for other members
// of its gang.
func (r *taskRun) endsAt() (at time.Time, works bool) {
	if r.gang == nil {
		return r.startedAt.Add(r.profile.RunTime), true
	}
	return r.gang.completeAt.Add(r.profile.RunTime), !r.gang.completeAt.IsZero()
}

// hasFinished reports whether the run has reached its run time by now, before its lease
// lapsed and before its gang broke up.
func (w *Worker) hasFinished(r *taskRun, now time.Time) bool {
	at, works := r.endsAt()
	if r.gang != nil && r.gang.done {
		at = r.gang.doneAt
	}
	switch {
	case !works || r.profile.Lasting || now.Before(at) || w.Clock(at) > w.leaseDeadline:
		return false
	case r.gang != nil && !r.gang.brokenAt.IsZero() && r.gang.brokenAt.Before(at):
		return false
	}
	return true
}

// Worker is one emulated worker process. To emulate a restart, create a new
// Worker with another Registration.Life. It is not safe for concurrent use.
type Worker struct {
	Registration backend.Registration
	// ClockRate is the speed of the worker's clock relative to the time that
	// callers pass.
	ClockRate float64
	// MaxLease limits how far beyond the arrival of an order it can extend the lease.
	MaxLease time.Duration
	// Tickets are the tickets that an adviser has issued. If it is nil, the worker checks
	// none.
	Tickets *Tickets
	// MaxEndsPerReport is the largest number of ends that a report lists. 0 means no limit.
	MaxEndsPerReport int
	// Gangs is shared by the workers that run the members of gangs. If it is nil, members
	// run like other tasks.
	Gangs     *Gangs
	startedAt time.Time
	// highestToken is the highest fencing token received; lower ones are refused.
	highestToken int64
	// leaseDeadline is when the lease lapses by the worker's clock.
	leaseDeadline time.Duration
	running       map[runID]*taskRun
	// highestRunNumbers maps each task to the highest run number that has ended or was
	// ordered to stop. Starts with this or a lower number are refused.
	highestRunNumbers map[work.TaskID]int64
	// unacknowledgedEnds lists the ends that the worker still reports.
	unacknowledgedEnds  []backend.EndedRun
	lastEndReportNumber int64
	taskProfile         func(work.TaskID) TaskProfile
	observer            Observer
}

// stopDelay is the time from a stop order until the run ends.
const stopDelay = 400 * time.Millisecond

// defaultMaxLease is the initial value of Worker.MaxLease.
const defaultMaxLease = 6 * time.Second

// New returns a worker that starts at now. rate is the value of
// Worker.ClockRate, and profileOf returns how a task behaves. The observer must
// not be nil.
func New(r backend.Registration, rate float64, now time.Time, profileOf func(work.TaskID) TaskProfile, o Observer) *Worker {
	return &Worker{Registration: r, ClockRate: rate, MaxLease: defaultMaxLease, startedAt: now, running: map[runID]*taskRun{}, highestRunNumbers: map[work.TaskID]int64{}, taskProfile: profileOf, observer: o}
}

// Clock returns the time since the worker's start by its own clock, plus 1 ms,
// because a clock of 0 means unknown in the worker protocol.
func (w *Worker) Clock(now time.Time) time.Duration {
	return time.Millisecond + time.Duration(float64(now.Sub(w.startedAt))*w.ClockRate)
}

// Used returns the resources that the running tasks use in total.
func (w *Worker) Used() resource.Vector {
	var used resource.Vector
	for _, r := range w.running {
		used = used.Add(r.profile.Size)
	}
	return used
}

// Running returns the running tasks in no particular order.
func (w *Worker) Running() []work.TaskID {
	tasks := make([]work.TaskID, 0, len(w.running))
	for id := range w.running {
		tasks = append(tasks, id.task)
	}
	return tasks
}

// Runs returns the running tasks with the numbers of their runs, sorted by task.
func (w *Worker) Runs() []backend.Run {
	var runs []backend.Run
	for _, r := range w.sortedRuns() {
		runs = append(runs, backend.Run{Task: r.task, Run: r.number, Checkpoint: r.profile.Checkpoint})
	}
	return runs
}

// Exit must be called when the process ends. Its runs end without a report, which breaks
// their gangs.
func (w *Worker) Exit(now time.Time) {
	w.Advance(now)
	for id, r := range w.running {
		r.gang.memberEnded(id.task.Index, backend.LeaseExpired, now)
	}
	clear(w.running)
}

// Advance ends the runs that are over at now. A run that was ordered to stop at
// least stopDelay ago ends as Stopped. Any other run ends as Done or Failed if
// it reached its run time before the lease lapsed, or else as LeaseExpired once
// the lease has lapsed. A member of a gang works only from the moment at which all members
// of the run are present; see Gangs.
func (w *Worker) Advance(now time.Time) {
	leaseLapsed := w.Clock(now) > w.leaseDeadline
	for _, r := range w.sortedRuns() {
		finished := w.hasFinished(r, now)
		switch {
		case !r.stopOrderedAt.IsZero() && now.Sub(r.stopOrderedAt) >= stopDelay:
			w.recordRunEnd(r, backend.Stopped, now)
		case finished && r.profile.Fails:
			w.recordRunEnd(r, backend.Failed, now)
		case finished:
			w.recordRunEnd(r, backend.Done, now)
		case leaseLapsed:
			w.recordRunEnd(r, backend.LeaseExpired, now)
		case r.gang.isBrokenUp(now):
			w.recordRunEnd(r, backend.GangBroken, now)
		case r.gang.isWaiting() && now.Sub(r.startedAt) >= w.Gangs.Wait:
			w.recordRunEnd(r, backend.GangIncomplete, now)
		}
	}
}

// sortedRuns returns the runs in the order of their task IDs, so that tests are
// reproducible.
func (w *Worker) sortedRuns() []*taskRun {
	if len(w.running) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(w.running), func(a, b *taskRun) int {
		return cmp.Or(cmp.Compare(a.task.String(), b.task.String()), cmp.Compare(a.number, b.number))
	})
}

// recordRunEnd removes a run and notifies the observer. Until the end of the run is
// acknowledged, Hold reports it.
func (w *Worker) recordRunEnd(r *taskRun, outcome backend.Outcome, now time.Time) {
	delete(w.running, runID{r.task, r.number})
	w.highestRunNumbers[r.task] = max(w.highestRunNumbers[r.task], r.number)
	r.gang.memberEnded(r.task.Index, outcome, now)
	w.lastEndReportNumber++
	e := backend.EndedRun{Number: w.lastEndReportNumber, Task: r.task, Run: r.number, Outcome: outcome}
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, e)
	w.observer.Ended(w, e, now)
}

// extendLease extends the lease to the deadline of an order, but not beyond
// MaxLease from now. It never shortens the lease.
func (w *Worker) extendLease(deadline time.Duration, now time.Time) {
	w.leaseDeadline = max(w.leaseDeadline, min(deadline, w.Clock(now)+w.MaxLease))
}

// Start handles an order to start a run. It returns the reason for a refusal. On
// success, and when the same run is already running, it returns an empty Kind.
func (w *Worker) Start(s backend.Start, now time.Time) backend.Kind {
	w.Advance(now)
	if s.Token < w.highestToken {
		return backend.KindFenced
	}
	w.highestToken = s.Token
	if w.running[runID{s.Task, s.Run}] != nil {
		w.extendLease(s.Deadline, now)
		return ""
	}
	profile := w.taskProfile(s.Task)
	if w.Tickets != nil && profile.Advised && !w.Tickets.isValid(&s, w.Registration.Life, now) {
		return backend.KindInvalidTicket
	}
	if w.Clock(now) > s.Deadline {
		return backend.KindDeadlinePassed
	}
	w.extendLease(s.Deadline, now)
	if s.Run <= w.highestRunNumbers[s.Task] {
		return backend.KindStaleRun
	}
	r := &taskRun{task: s.Task, number: s.Run, profile: profile, startedAt: now}
	if w.Gangs != nil && profile.GangSize > 0 {
		r.gang = w.Gangs.join(r, now)
	}
	w.running[runID{s.Task, s.Run}] = r
	w.observer.Started(w, s, now)
	return ""
}

// Stop handles an order to stop a run. Afterwards, neither this run nor an
// earlier run of the task can be started. Stop returns KindFenced for an old
// token and an empty Kind otherwise.
func (w *Worker) Stop(s backend.Stop, now time.Time) backend.Kind {
	w.Advance(now)
	if s.Token < w.highestToken {
		return backend.KindFenced
	}
	w.highestToken = s.Token
	w.highestRunNumbers[s.Task] = max(w.highestRunNumbers[s.Task], s.Run)
	for id, r := range w.running {
		if id.task == s.Task && id.number <= s.Run && r.stopOrderedAt.IsZero() {
			r.stopOrderedAt = now
		}
	}
	return ""
}

// Hold extends the lease if the order contains a deadline, drops acknowledged ends,
// and reports the running tasks and the remaining ends. It returns KindFenced for
// an old token and an empty Kind otherwise.
func (w *Worker) Hold(h backend.Hold, now time.Time) (backend.Report, backend.Kind) {
	w.Advance(now)
	if h.Token < w.highestToken {
		return backend.Report{}, backend.KindFenced
	}
	w.highestToken = h.Token
	if h.Deadline > 0 {
		w.extendLease(h.Deadline, now)
	}
	pending := w.unacknowledgedEnds[:0]
	for _, e := range w.unacknowledgedEnds {
		if e.Number > h.Acknowledged {
			pending = append(pending, e)
		} else {
			w.observer.Acknowledged(w, e, now)
		}
	}
	w.unacknowledgedEnds = pending
	report := backend.Report{Life: w.Registration.Life, Clock: w.Clock(now), Ended: slices.Clone(w.unacknowledgedEnds)}
	report.Running = w.Runs()
	if most := w.MaxEndsPerReport; most > 0 && len(report.Ended) >= most {
		report.Ended, report.Truncated = report.Ended[:most], true
	}
	return report, ""
}
