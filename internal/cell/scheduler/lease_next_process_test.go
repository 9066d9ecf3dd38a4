package scheduler_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// unknownProcessTest holds a scheduler whose only queue needs tickets, and the process of
// worker-0 that the scheduler does not know yet: it has restarted under its ID, and the
// adviser has issued the ticket for its present process.
type unknownProcessTest struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	// first is the process that the scheduler knows, and other another worker.
	first, other backend.Registration
	next         *fleet.Worker
	start        backend.Start
	// lateHold is a hold before the start. It was not answered, but the next one was.
	lateHold backend.Hold
	// underWay is the hold that extends the lease and is not answered when the start is ordered.
	underWay backend.Hold
}

// ignoreRuns is a fleet.Observer.
type ignoreRuns struct{}

func (ignoreRuns) Started(*fleet.Worker, backend.Start, time.Time)         {}
func (ignoreRuns) Ended(*fleet.Worker, backend.EndedRun, time.Time)        {}
func (ignoreRuns) Acknowledged(*fleet.Worker, backend.EndedRun, time.Time) {}

// newUnknownProcessTest orders the start of the only task on worker-0, the only worker. The
// commit with the placement takes the given time.
func newUnknownProcessTest(is *is.I, profile fleet.TaskProfile, commitTime time.Duration) *unknownProcessTest {
	now := time.Unix(1_700_000_000, 0)
	r := &unknownProcessTest{now: now, scheduler: scheduler.New(scheduler.Timing{
		Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, MaxOrderDelay: maxLateness, EndedJobRetention: time.Hour,
	}, 1, now, now, logr.Discard())}
	s := r.scheduler
	s.AppendConfirmed(now)
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{
		Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second,
		Advice: &queue.AdviceCost{Fixed: 50 * time.Millisecond, PerWorker: time.Millisecond, Validity: 5 * time.Second},
	}}})
	s.SetAdviceVMs([]string{"vm-1"})
	r.first = addHeldWorkers(s, 1, now, "desk")[0]
	r.answerHold(r.first, &backend.Report{Clock: time.Minute, Ended: []backend.EndedRun{{Number: 7, Task: work.TaskID{StepID: work.StepID{Job: "earlier"}}, Run: 1, Outcome: backend.Stopped}}})
	s.Committed(s.NextCommit(now), now)
	r.lateHold, _, _ = s.NextHold(r.first.Life, now)
	s.HoldFailed(r.first.Life, backend.KindUnknown, now)
	r.answerHold(r.first, &backend.Report{Clock: time.Minute, Ended: []backend.EndedRun{{Number: 7, Task: work.TaskID{StepID: work.StepID{Job: "earlier"}}, Run: 1, Outcome: backend.Stopped}}})
	r.underWay, _, _ = s.NextHold(r.first.Life, now) // Its answer is lost.
	// The worker restarts after it has answered, and before the adviser is asked.
	registration := r.first
	registration.Life.Born += 1000
	r.next = fleet.New(registration, 1, now, func(work.TaskID) fleet.TaskProfile { return profile }, ignoreRuns{})
	r.advance(10 * time.Millisecond)
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: r.now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, r.now)
	s.Schedule(r.now)
	r.answerAdvice(is)
	s.Schedule(r.now)
	c := s.NextCommit(r.now)
	is.True(c != nil)
	r.advance(commitTime)
	s.Committed(c, r.now)
	starts := s.TakeEffects().Starts
	is.Equal(len(starts), 1)
	r.start = starts[0].Order
	is.Equal(r.start.Ticket, "ticket")
	return r
}

func (r *unknownProcessTest) answerHold(w backend.Registration, report *backend.Report) {
	_, sent, _ := r.scheduler.NextHold(w.Life, r.now)
	report.Life = w.Life
	r.scheduler.HoldAnswered(w.Life, sent, report, r.now)
}

func (r *unknownProcessTest) advance(d time.Duration) { r.now = r.now.Add(d) }

// answerAdvice answers all requests for advice with tickets for the processes that run now.
func (r *unknownProcessTest) answerAdvice(is *is.I) {
	requests := r.scheduler.TakeEffects().AdviceRequests
	is.True(len(requests) > 0)
	for _, a := range requests {
		answer := backend.Advice{Tickets: map[string]string{}, Validity: 5 * time.Second}
		answer.Tickets[r.first.Life.ID] = "ticket"
		r.scheduler.AdviceAnswered(a.Number, answer, false, r.now)
	}
}

// awaitRepeatedStart lists another worker, keeps it held and leaves worker-0 silent, until the
// task is started again on the other worker.
func (r *unknownProcessTest) awaitRepeatedStart(is *is.I) {
	s := r.scheduler
	r.other = r.first
	r.other.Life = backend.Life{ID: "worker-1", Born: 1}
	s.SetWorkers([]backend.Registration{r.other}, r.now) // The entry of worker-0 has lapsed.
	for range 400 {
		r.advance(50 * time.Millisecond)
		s.AppendConfirmed(r.now)
		if _, _, ok := s.NextHold(r.first.Life, r.now); ok {
			s.HoldFailed(r.first.Life, backend.KindUnknown, r.now)
		}
		if _, sent, ok := s.NextHold(r.other.Life, r.now); ok {
			s.HoldAnswered(r.other.Life, sent, &backend.Report{Life: r.other.Life, Clock: time.Minute + r.now.Sub(time.Unix(1_700_000_000, 0))}, r.now)
		}
		s.Tick(r.now)
		s.Schedule(r.now)
		effects := s.TakeEffects()
		for _, a := range effects.AdviceRequests {
			s.AdviceAnswered(a.Number, backend.Advice{Tickets: map[string]string{r.other.Life.ID: "ticket"}, Validity: 5 * time.Second}, false, r.now)
		}
		if c := s.NextCommit(r.now); c != nil {
			s.Committed(c, r.now)
		}
		for _, o := range append(effects.Starts, s.TakeEffects().Starts...) {
			is.Equal(o.Worker, r.other.Life)
			return
		}
	}
	is.Fail() // The task is not started again.
}

// A process executes a start that was meant for the earlier process under its ID: the ticket
// was issued after the restart. The deadline lies far ahead on its new clock, so the lease
// counts from the execution, whereas the scheduler counts it from the begin of the commit.
func TestLeaseOfAStartThatTheNextProcessExecutes(t *testing.T) {
	scenarios := []struct {
		testName         string
		commitTime, late time.Duration
	}{
		{"the store takes long for the commit", 1900 * time.Millisecond, 0},
		{"the order is executed late", 10 * time.Millisecond, 3 * time.Second},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			is := is.New(t)
			r := newUnknownProcessTest(is, fleet.TaskProfile{Size: taskSize, RunTime: time.Minute}, c.commitTime)
			r.scheduler.StartAnswered(r.first.Life, &r.start, backend.KindUnknown, 0, r.now)
			is.Equal(r.next.Start(r.start, r.now.Add(c.late)), backend.Kind(""))
			r.awaitRepeatedStart(is)
			r.next.Advance(r.now)
			is.Equal(len(r.next.Running()), 0) // The first run goes on while the second starts.
		})
	}
}

// A hold with an acknowledgement is executed late, by the next process under the ID. This one
// has executed a start by then, whose ticket was issued after the restart, and numbers its
// ends anew. It forgets that the run has ended as done.
func TestNextProcessKeepsAnEndThatNoReportHasShown(t *testing.T) {
	is := is.New(t)
	r := newUnknownProcessTest(is, fleet.TaskProfile{Size: taskSize, RunTime: 200 * time.Millisecond}, 10*time.Millisecond)
	is.True(r.lateHold.Acknowledged > 0)
	is.Equal(r.next.Start(r.start, r.now), backend.Kind(""))
	r.scheduler.StartAnswered(r.first.Life, &r.start, "", r.next.Clock(r.now), r.now)
	r.advance(300 * time.Millisecond)
	_, _ = r.next.Hold(r.lateHold, r.now)
	// The scheduler learns of the next process by its answer.
	for _, life := range []backend.Life{r.first.Life, r.next.Registration.Life} {
		hold, sent, ok := r.scheduler.NextHold(life, r.now)
		is.True(ok)
		report, kind := r.next.Hold(hold, r.now)
		is.Equal(kind, backend.Kind(""))
		r.scheduler.HoldAnswered(life, sent, &report, r.now)
	}
	c := r.scheduler.NextCommit(r.now)
	is.True(c != nil)
	r.scheduler.Committed(c, r.now)
	state, _ := r.scheduler.Status("job")
	is.Equal(state, work.Completed)
}

// The hold that was under way when a start was ordered is executed late by the next process,
// after the start. It extended the lease of the run beyond the time after which the scheduler
// starts the task again.
func TestLateHoldExtendsNoLeaseOfTheNextProcess(t *testing.T) {
	is := is.New(t)
	r := newUnknownProcessTest(is, fleet.TaskProfile{Size: taskSize, RunTime: time.Minute}, 10*time.Millisecond)
	is.True(r.underWay.Deadline > 0)
	r.scheduler.StartAnswered(r.first.Life, &r.start, backend.KindUnknown, 0, r.now)
	is.Equal(r.next.Start(r.start, r.now), backend.Kind(""))
	_, _ = r.next.Hold(r.underWay, r.now.Add(5900*time.Millisecond))
	r.awaitRepeatedStart(is)
	r.next.Advance(r.now)
	is.Equal(len(r.next.Running()), 0)
}

// A hold that was sent after a start without a ticket is executed late by the next process, after
// that process has executed the start late. It extends the lease of the run beyond the time after
// which the scheduler starts the task again.
func TestHoldAfterALateStartExtendsNoLeaseOfTheNextProcess(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1_700_000_000, 0)
	r := &unknownProcessTest{now: begin, scheduler: scheduler.New(scheduler.Timing{
		Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, MaxOrderDelay: maxLateness, EndedJobRetention: time.Hour,
	}, 1, begin, begin, logr.Discard())}
	s := r.scheduler
	s.AppendConfirmed(begin)
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	r.first = addHeldWorkers(s, 1, begin, "desk")[0]
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: begin, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, begin)
	s.Schedule(begin)
	s.Committed(s.NextCommit(begin), begin)
	starts := s.TakeEffects().Starts
	is.Equal(len(starts), 1)
	r.start = starts[0].Order
	r.advance(250 * time.Millisecond)
	s.StartAnswered(r.first.Life, &r.start, backend.KindUnknown, 0, r.now)
	for range 10 { // The worker answers holds; the start is still under way.
		r.advance(time.Second)
		s.AppendConfirmed(r.now)
		r.answerHold(r.first, &backend.Report{Clock: time.Second + r.now.Sub(begin)})
		s.Tick(r.now)
		if c := s.NextCommit(r.now); c != nil {
			s.Committed(c, r.now)
		}
	}
	last, _, _ := s.NextHold(r.first.Life, r.now) // It isn't answered: the worker restarts.
	is.True(last.Deadline > 0)
	r.advance(500 * time.Millisecond)
	s.HoldFailed(r.first.Life, backend.KindUnknown, r.now)
	registration := r.first
	registration.Life.Born += 1000
	r.next = fleet.New(registration, 1, r.now, func(work.TaskID) fleet.TaskProfile { return fleet.TaskProfile{Size: taskSize, RunTime: time.Minute} }, ignoreRuns{})
	is.Equal(r.next.Start(r.start, begin.Add(11500*time.Millisecond)), backend.Kind(""))
	_, kind := r.next.Hold(last, begin.Add(17*time.Second))
	is.Equal(kind, backend.Kind(""))
	r.awaitRepeatedStart(is)
	r.next.Advance(r.now)
	is.Equal(len(r.next.Running()), 0)
}
