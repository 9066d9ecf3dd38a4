package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// course is a sequence of events at two workers, on which the tests let time pass.
type course struct {
	ledger *ledger
	now    time.Time
	a, b   *fleet.Worker
}

const (
	testLease = 5 * time.Second
	// testJob is a job of two steps of one task, and slowJob one whose task lasts.
	testJob     = "job"
	slowJob     = "slow"
	testRunTime = time.Second
)

// newCourse returns a ledger with both jobs and a course that starts when the ledger begins.
func newCourse() (*ledger, *course) {
	l, now, size := newLedger(), time.Unix(1_700_000_000, 0), resource.Vector{Milliprocessors: 100}
	l.begun = now
	l.submitting(&work.Job{ID: testJob, Steps: []work.Step{{Count: 1, Size: size}, {Count: 1, Size: size, After: []int{0}}}})
	l.submitting(&work.Job{ID: slowJob, Steps: []work.Step{{Count: 1, Size: size}}})
	newWorker := func(name string) *fleet.Worker {
		r := backend.Registration{Life: backend.Life{ID: name}, Capacity: resource.Vector{Milliprocessors: 1000}}
		return fleet.New(r, 1, now, func(id work.TaskID) fleet.TaskProfile {
			return fleet.TaskProfile{Size: size, RunTime: testRunTime, Lasting: id.Job == slowJob}
		}, l)
	}
	return l, &course{l, now, newWorker("a"), newWorker("b")}
}

// start makes a worker start the next run of a task.
func (c *course) start(w *fleet.Worker, task work.TaskID) {
	w.Start(backend.Start{Task: task, Run: int64(len(c.ledger.starts) + 1), Deadline: w.Clock(c.now) + testLease}, c.now)
	c.ledger.leaseExtended(w.Registration.Life, c.now, c.now.Add(testLease))
}

// pass lets time pass and makes both workers notice it.
func (c *course) pass(d time.Duration) {
	c.now = c.now.Add(d)
	c.a.Advance(c.now)
	c.b.Advance(c.now)
}

// hold makes a leader extend the lease of a worker.
func (c *course) hold(w *fleet.Worker) {
	w.Hold(backend.Hold{Deadline: w.Clock(c.now) + testLease}, c.now)
	c.ledger.leaseExtended(w.Registration.Life, c.now, c.now.Add(testLease))
}

// passHeld lets time pass while a leader holds the runs of a worker and the ledger looks at
// them.
func (c *course) passHeld(w *fleet.Worker, d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.hold(w)
		c.pass(min(time.Second, end.Sub(c.now)))
		c.ledger.checkRuns(c.now)
	}
}

// acknowledge makes a leader acknowledge all ends at a worker.
func (c *course) acknowledge(w *fleet.Worker) { w.Hold(backend.Hold{Acknowledged: 100}, c.now) }

// ledgerScenario is a course of events and the promise that it breaks, or none.
type ledgerScenario struct {
	testName string
	act      func(l *ledger, c *course)
	expected string
}

func TestLedgerNoticesBrokenPromises(t *testing.T) {
	const id = testJob
	const runTime = testRunTime
	first, second, slow := taskID(id, 0, 0), taskID(id, 1, 0), taskID(slowJob, 0, 0)
	scenarios := []ledgerScenario{
		{"a whole life", func(l *ledger, c *course) {
			l.accepted(id, c.now)
			c.start(c.a, first)
			c.pass(runTime)
			c.start(c.b, second)
			c.pass(runTime)
			l.shown("vm", id, work.Completed, c.now)
			l.pendingShown("vm", 0, c.now.Add(time.Minute))
		}, ""},
		{"completed too early", func(l *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			l.shown("vm", id, work.Completed, c.now)
		}, "states are true"},
		{"no state", func(l *ledger, c *course) { l.shown("vm", id, "", c.now) }, "states are true"},
		{"cancelled by nobody", func(l *ledger, c *course) { l.shown("vm", id, work.Cancelled, c.now) }, "states are true"},
		{"two runs", func(_ *ledger, c *course) { c.start(c.a, first); c.start(c.b, first) }, "no task runs twice"},
		{"a run after the end", func(_ *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			c.acknowledge(c.a)
			c.start(c.b, first)
		}, "no task runs twice"},
		{"a run after an end that is acknowledged later", func(_ *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			c.start(c.b, first)
			c.acknowledge(c.a)
		}, "no task runs twice"},
		{"a run that is ordered after its job was shown as completed", func(l *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			c.start(c.b, second)
			c.pass(runTime)
			l.shown("vm", id, work.Completed, c.now)
			c.pass(2 * lateStartLimit)
			l.startArrived(c.b.Registration.Life, backend.Start{Task: first, Run: 3}, arrival{at: c.now})
			c.start(c.b, first)
		}, "no task runs twice"},
		{"a run that was ordered before its job was shown as completed", func(l *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			c.start(c.b, second)
			c.pass(runTime)
			l.shown("vm", id, work.Completed, c.now)
			l.startArrived(c.b.Registration.Life, backend.Start{Task: first, Run: 3}, arrival{at: c.now})
			c.pass(2 * lateStartLimit)
			c.start(c.b, first)
		}, ""},
		{"a run after an end that nobody acknowledges", func(_ *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			c.start(c.b, first)
		}, ""},
		{"a run after an end that is acknowledged after the lease lapsed", func(_ *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			c.pass(testLease)
			c.start(c.b, first)
			c.acknowledge(c.a)
		}, ""},
		{"a run after an end whose acknowledgement came after the lease lapsed and was renewed", func(_ *ledger, c *course) {
			c.start(c.a, first)
			c.pass(runTime)
			c.pass(testLease)
			c.start(c.a, second)
			c.acknowledge(c.a)
			c.start(c.b, first)
		}, ""},
		{"a run on another worker after the lease lapsed", func(_ *ledger, c *course) {
			c.start(c.a, slow)
			c.pass(testLease + time.Second)
			c.start(c.b, slow)
		}, ""},
		{"a run on another worker after a stop", func(_ *ledger, c *course) {
			c.start(c.a, slow)
			c.a.Stop(backend.Stop{Task: slow, Run: 1}, c.now)
			c.pass(time.Second)
			c.start(c.b, slow)
		}, ""},
		{"a run on another worker while one stops", func(_ *ledger, c *course) {
			c.start(c.a, slow)
			c.a.Stop(backend.Stop{Task: slow, Run: 1}, c.now)
			c.start(c.b, slow)
		}, "no task runs twice"},
		{"a run on another worker after the first worker has ended", func(l *ledger, c *course) {
			c.start(c.a, first)
			l.workerEnded(c.a.Registration.Life)
			c.start(c.b, first)
		}, ""},
		{"two runs on one worker", func(_ *ledger, c *course) { c.start(c.a, first); c.start(c.a, first) }, "no task runs twice"},
		{"a step too early", func(_ *ledger, c *course) { c.start(c.a, second) }, "steps run in order"},
		{"a refused job runs", func(l *ledger, c *course) { l.rejected(id); c.start(c.a, first) }, "refused jobs never run"},
		{"a job is refused after its start", func(l *ledger, c *course) { c.start(c.a, first); l.rejected(id) }, "refused jobs never run"},
		{"a job that nobody submitted", func(_ *ledger, c *course) { c.start(c.a, taskID("other", 0, 0)) }, "only submitted jobs run"},
		{"too many tasks", func(_ *ledger, c *course) {
			c.a.Registration.Capacity.Milliprocessors = 10
			c.start(c.a, first)
		}, "no worker is overloaded"},
		{"an accepted job is unknown", func(l *ledger, c *course) {
			l.accepted(id, c.now)
			l.unknown("vm", id, c.now.Add(visibilityLimit+time.Millisecond))
		}, "accepted jobs are known"},
		{"a waiting job is not counted", func(l *ledger, c *course) {
			l.accepted(id, c.now)
			l.pendingShown("vm", 0, c.now.Add(visibilityLimit+maxPendingAge+time.Millisecond))
		}, "pending jobs are counted"},
		{"a new job need not be counted", func(l *ledger, c *course) {
			l.accepted(id, c.now)
			l.pendingShown("vm", 0, c.now.Add(visibilityLimit+maxPendingAge))
		}, ""},
	}
	for _, s := range append(scenarios, cancellationScenarios(id, first, slow)...) {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			l, c := newCourse()
			s.act(l, c)
			if s.expected == "" {
				is.Equal(len(l.violations), 0)
				return
			}
			is.Equal(len(l.violations), 1)
			is.True(strings.HasPrefix(l.violations[0].text, s.expected))
		})
	}
}

func TestLedgerTellsWhoLearnedOfTheEarlierEnd(t *testing.T) {
	first, second := taskID(testJob, 0, 0), taskID(testJob, 1, 0)
	complete := func(c *course, acknowledged bool) {
		c.start(c.a, first)
		c.pass(testRunTime)
		if acknowledged {
			c.acknowledge(c.a)
		}
		c.start(c.b, second)
		c.pass(testRunTime)
	}
	startLate := func(l *ledger, c *course) {
		c.pass(2 * lateStartLimit)
		l.startArrived(c.b.Registration.Life, backend.Start{Task: first, Run: 3}, arrival{at: c.now})
		c.start(c.b, first)
	}
	scenarios := []struct {
		testName string
		act      func(l *ledger, c *course)
		expected told
		text     string
	}{
		{"shown to a caller", func(l *ledger, c *course) {
			complete(c, false)
			l.shown("vm", testJob, work.Completed, c.now)
			startLate(l, c)
		}, toldCaller, "; the earlier end was shown after 2.00 s"},
		{"acknowledged to the worker", func(_ *ledger, c *course) {
			complete(c, true)
			c.start(c.b, first)
		}, toldWorker, "; the earlier end was acknowledged after 1.00 s"},
		{"acknowledged to the worker after the second start", func(_ *ledger, c *course) {
			c.start(c.a, first)
			c.pass(testRunTime)
			c.start(c.b, first)
			c.pass(testRunTime)
			c.acknowledge(c.a)
		}, toldWorker, "; the earlier end was acknowledged after 2.00 s"},
		{"both", func(l *ledger, c *course) {
			complete(c, true)
			l.shown("vm", testJob, work.Completed, c.now)
			startLate(l, c)
		}, toldBoth, "; the earlier end was told to both: shown after 2.00 s, acknowledged after 1.00 s"},
		{"a run that has not ended", func(_ *ledger, c *course) {
			c.start(c.a, first)
			c.start(c.b, first)
		}, toldNobody, "; no earlier end was shown or acknowledged"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			l, c := newCourse()
			s.act(l, c)
			is.True(len(l.violations) > 0)
			for _, v := range l.violations {
				is.True(strings.HasPrefix(v.text, "no task runs twice"))
				is.Equal(v.told, s.expected)
				is.True(strings.HasSuffix(v.text, s.text)) // the text names who was told and when
			}
		})
	}
}
