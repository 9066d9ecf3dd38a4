package scheduler_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// takeStops returns the stop orders that the scheduler has given since the last call.
func (r *restartTest) takeStops() []scheduler.Order[backend.Stop] {
	return r.scheduler.TakeEffects().Stops
}

// newStopTest returns a test with a worker that runs the only task, whose job is cancelled,
// and the stop order.
func newStopTest(is *is.I) (*restartTest, *backend.Stop) {
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, "", time.Second, r.now)
	r.scheduler.Cancel("job", r.now)
	stops := r.takeStops()
	is.Equal(len(stops), 1)
	return r, &stops[0].Order
}

func TestStopIsRepeatedUnlessItWasExecuted(t *testing.T) {
	scenarios := []struct {
		testName string
		kind     backend.Kind
		repeated bool
	}{
		{"executed", "", false},
		{"not answered", backend.KindUnknown, true},
		{"not sent", backend.KindUnreachable, true},
		{"refused by an unhealthy worker", backend.KindUnhealthy, true},
		{"the run has ended", backend.KindStaleRun, false},
		{"the process has ended", backend.KindLifeMismatch, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			r, o := newStopTest(is)
			r.now = r.now.Add(100 * time.Millisecond)
			r.scheduler.StopAnswered(r.worker.Life, o, sc.kind, r.now)
			stops := r.takeStops()
			is.Equal(len(stops) == 1, sc.repeated)
			if !sc.repeated {
				r.now = r.now.Add(time.Second)
				r.scheduler.Tick(r.now)
				is.Equal(len(r.takeStops()), 0)
				return
			}
			is.Equal(stops[0].Order, *o)

			// A stop that is refused again and again is repeated at intervals.
			repeated := 0
			for range 30 {
				for range stops {
					r.scheduler.StopAnswered(r.worker.Life, o, sc.kind, r.now)
				}
				r.now = r.now.Add(100 * time.Millisecond)
				r.scheduler.Tick(r.now)
				r.hold(backend.Report{Running: []backend.Run{{Task: o.Task, Run: o.Run}}})
				stops = r.takeStops()
				repeated += len(stops)
			}
			is.True(repeated >= 4 && repeated <= 10)
			r.hold(backend.Report{Ended: []backend.EndedRun{{Number: 1, Task: o.Task, Run: o.Run, Outcome: backend.Stopped}}})
			r.now = r.now.Add(time.Second)
			r.scheduler.Tick(r.now)
			is.Equal(len(r.takeStops()), 0)
		})
	}
}

// The hold in flight waits at the worker. The stop must not wait for its answer.
func TestFencedStopIsRepeatedWithHigherToken(t *testing.T) {
	is := is.New(t)
	r, o := newStopTest(is)
	_, _, _ = r.scheduler.NextHold(r.worker.Life, r.now)
	r.scheduler.StopAnswered(r.worker.Life, o, backend.KindFenced, r.now)
	e := r.scheduler.TakeEffects()
	is.Equal(e.HoldAtOnce, []backend.Life{r.worker.Life})
	is.Equal(len(e.Stops), 0)
	r.scheduler.HoldFailed(r.worker.Life, backend.KindFenced, r.now)
	r.hold(backend.Report{Running: []backend.Run{{Task: o.Task, Run: o.Run}}})
	stops := r.takeStops()
	is.Equal(len(stops), 1)
	is.True(stops[0].Order.Token > o.Token)

	// The token was raised while the stop was under way.
	r.scheduler.StopAnswered(r.worker.Life, o, backend.KindFenced, r.now.Add(time.Second))
	stops = r.takeStops()
	is.Equal(len(stops), 1)
	is.True(stops[0].Order.Token > o.Token)
}

// An earlier run completes after the task was placed again. The later run is no task of
// its worker any more.
func TestLostStopOfOrphanedRunIsRepeated(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, backend.KindUnreachable, 0, r.now)
	r.now = r.now.Add(1100 * time.Millisecond)
	r.hold(backend.Report{})
	later := r.commit(is)
	r.scheduler.StartAnswered(r.worker.Life, &later, "", time.Second, r.now)
	r.hold(backend.Report{
		Running: []backend.Run{{Task: later.Task, Run: later.Run}},
		Ended:   []backend.EndedRun{{Number: 1, Task: r.start.Task, Run: r.start.Run, Outcome: backend.Done}},
	})
	stops := r.takeStops()
	is.True(len(stops) > 0)
	is.Equal(stops[0].Order.Run, later.Run)
	r.scheduler.StopAnswered(r.worker.Life, &stops[0].Order, backend.KindUnknown, r.now)
	is.Equal(len(r.takeStops()), 1)
	r.scheduler.StopAnswered(r.worker.Life, &stops[0].Order, backend.KindUnknown, r.now)
	is.Equal(len(r.takeStops()), 0)
	r.now = r.now.Add(700 * time.Millisecond)
	r.scheduler.Tick(r.now)
	is.Equal(len(r.takeStops()), 1)
}

// The process that a stop order names is replaced in the same update.
func TestStopReachesTheProcessThatMayHaveTheRun(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.Cancel("job", r.now)
	r.restartWorker()
	r.takeStops()
	r.hold(backend.Report{Running: []backend.Run{{Task: r.start.Task, Run: r.start.Run}}})
	stops := r.takeStops()
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Worker, r.worker.Life)
}

// An earlier leader ordered the starts. No report has listed the runs yet.
func TestRestoredTaskIsStoppedAtOnce(t *testing.T) {
	const (
		cancelledBefore = iota
		cancelledAfter
	)
	scenarios := []struct {
		testName string
		when     int
		// listed is true if the worker is listed when the leader takes over.
		listed bool
	}{
		{"the job had ended and the worker is listed", cancelledBefore, true},
		{"the job had ended and the worker is listed later", cancelledBefore, false},
		{"the job is cancelled and the worker is listed", cancelledAfter, true},
		{"the job is cancelled and the worker is listed later", cancelledAfter, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 2, now, now, logr.Discard())
			s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", Stretch: 2, Objective: time.Second}}})
			worker := backend.Registration{Life: backend.Life{ID: "worker-0", Born: 1}, Service: "desk", Capacity: workerCapacity}
			if sc.listed {
				s.SetWorkers([]backend.Registration{worker}, now)
			}
			p := &work.Progress{State: work.Running, Started: true, Steps: []work.StepProgress{{Tasks: []work.TaskProgress{{Run: 3, Worker: "worker-0", Born: 1}}}}}
			if sc.when == cancelledBefore {
				p.State = work.Cancelled
			}
			s.Restore(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Lasting: true}}}, p, now)
			if sc.when == cancelledAfter {
				s.Cancel("job", now)
			}
			stops := s.TakeEffects().Stops
			if !sc.listed && len(stops) == 0 { // There may be no session yet.
				s.SetWorkers([]backend.Registration{worker}, now.Add(time.Second))
				s.Tick(now.Add(time.Second))
				stops = s.TakeEffects().Stops
			}
			is.Equal(len(stops), 1)
			is.Equal(stops[0].Worker, worker.Life)
			is.Equal(stops[0].Order.Run, int64(3))
			is.True(stops[0].Order.Token >= 2<<20)
		})
	}
}

// However many runs a worker has, it is sent few stops while it answers nothing.
func TestUnreachableWorkerIsSentFewStops(t *testing.T) {
	const tasks, answerTimeout = 50, 500 * time.Millisecond
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", Stretch: 2, Objective: time.Second}}})
	life := addHeldWorkers(s, 1, now, "desk")[0].Life
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: tasks, Size: resource.Vector{Milliprocessors: 100, MemoryMebibytes: 10}}}}, now)
	s.Schedule(now)
	s.Committed(s.NextCommit(now), now)
	is.Equal(len(s.TakeEffects().Starts), tasks)
	s.Cancel("job", now)
	sent, unanswered := 0, map[int][]scheduler.Order[backend.Stop]{}
	const step = 100 * time.Millisecond
	for i := range int(5 * time.Second / step) {
		for _, o := range unanswered[i] {
			s.StopAnswered(life, &o.Order, backend.KindUnknown, now)
		}
		s.Tick(now)
		stops := s.TakeEffects().Stops
		sent += len(stops)
		unanswered[i+int(answerTimeout/step)] = stops
		now = now.Add(step)
	}
	is.True(sent >= tasks+5)
	is.True(sent <= tasks+9)

	// The first answer leads to all other stops.
	_, hold, _ := s.NextHold(life, now)
	s.HoldAnswered(life, hold, &backend.Report{Life: life, Clock: 6 * time.Second, Truncated: true}, now)
	is.True(len(s.TakeEffects().Stops) >= tasks-1)
}

// Workers are unreachable when the job is cancelled. Once calls reach them again, the runs
// must end within the time of a failed hold, a hold and a stop.
func TestCancelledRunsEndOnceWorkersAreReachable(t *testing.T) {
	const longestUntilEnd = 1300 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		sm := newSimulation(rapid.Uint64().Draw(rt, "seed"), faultProbabilities{})
		sm.addWorkers(3, workerCapacity)
		sm.electLeader()
		sm.submit(&work.Job{ID: "lasting", Queue: "urgent", Steps: []work.Step{{Count: 9, Size: taskSize, Lasting: true}}}, fleet.TaskProfile{})
		sm.runFor(2 * time.Second)
		if sm.startCount != 9 {
			rt.Fatalf("%d tasks run", sm.startCount)
		}
		sm.runFor(sm.randomDuration(0, 2*time.Second))
		for life := range sm.workers {
			sm.unreachableWorkers[life] = true
		}
		if sm.occursWithProbability(0.3) {
			sm.restartLeader(0)
		}
		sm.cancel("lasting")
		sm.runFor(sm.randomDuration(50*time.Millisecond, 4*time.Second))
		clear(sm.unreachableWorkers)
		sm.runFor(longestUntilEnd)
		for _, v := range sm.workers {
			v.Advance(sm.now)
			for _, id := range v.Running() {
				rt.Errorf("task %s runs on %s %s after the worker was reachable", id, v.Registration.Life.ID, longestUntilEnd)
			}
		}
	})
}
