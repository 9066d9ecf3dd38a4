package scheduler_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// restartWorkers restarts each worker with probability 0.3 every second, n times.
func (sm *simulation) restartWorkers(n int) {
	sm.listDelay = 1500 * time.Millisecond
	for i := range n {
		sm.schedule(time.Duration(i+1)*time.Second, func() {
			for _, life := range sm.sortedLives() {
				if sm.occursWithProbability(0.3) {
					sm.restartWorker(life)
				}
			}
		})
	}
}

// restartLeaders kills the leader n times. Another leader follows at once.
func (sm *simulation) restartLeaders(n int) {
	for i := range n {
		sm.schedule(time.Duration(i+1)*1300*time.Millisecond, func() { sm.restartLeader(sm.randomDuration(0, 300*time.Millisecond)) })
	}
}

// replaceKeepers replaces the keeper of a random zone n times.
func (sm *simulation) replaceKeepers(n int) {
	zones := []string{"zone-0", "zone-1", "zone-2"}
	for i := range n {
		sm.schedule(time.Duration(i+1)*700*time.Millisecond, func() { sm.keeperGenerations[zones[sm.randomSource.IntN(len(zones))]]++ })
	}
}

func TestOrderReachesAnotherProcessOfTheWorker(t *testing.T) {
	runSimulations(t, []simulationScenario{
		{"workers restart under the same ID", faultProbabilities{lostAnswerProbability: 0.05}, func(sm *simulation) { sm.restartWorkers(3) }},
		{"calls are executed late", faultProbabilities{lostAnswerProbability: 0.05, lateCallProbability: 0.03}, func(sm *simulation) { sm.restartWorkers(3) }},
		{"the leader restarts", faultProbabilities{lostAnswerProbability: 0.05}, func(sm *simulation) {
			sm.restartWorkers(3)
			sm.restartLeaders(2)
		}},
		{"keepers are replaced", faultProbabilities{}, func(sm *simulation) {
			sm.restartWorkers(3)
			sm.replaceKeepers(6)
		}},
		{"all at once", faultProbabilities{lostAnswerProbability: 0.05, lateCallProbability: 0.03}, func(sm *simulation) {
			sm.restartWorkers(6)
			sm.restartLeaders(4)
			sm.replaceKeepers(8)
		}},
	})
}

// The workers keep their processes, so a restart of one cannot be the cause.
func TestChangeOfLeaderAndKeepers(t *testing.T) {
	runSimulations(t, []simulationScenario{
		{"calls are executed late", faultProbabilities{lostAnswerProbability: 0.05, lateCallProbability: 0.03}, func(sm *simulation) {
			sm.restartLeaders(4)
			sm.replaceKeepers(8)
		}},
		{"the leader freezes", faultProbabilities{lostAnswerProbability: 0.05, lateCallProbability: 0.03}, func(sm *simulation) {
			sm.restartLeaders(3)
			sm.schedule(time.Second, func() {
				old := sm.leaders[len(sm.leaders)-1]
				old.frozen = true
				sm.schedule(500*time.Millisecond, func() { sm.electLeader() })
				sm.schedule(sm.randomDuration(time.Second, 5*time.Second), func() { old.frozen = false })
			})
		}},
	})
}

// restartTest holds a scheduler with one worker, which has a start order of the only task.
type restartTest struct {
	scheduler *scheduler.Scheduler
	now       time.Time
	worker    backend.Registration
	start     backend.Start
}

func newRestartTest(is *is.I) *restartTest {
	now := time.Unix(1_700_000_000, 0)
	r := &restartTest{now: now, scheduler: scheduler.New(scheduler.Timing{
		Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, MaxOrderDelay: maxLateness, EndedJobRetention: time.Hour,
	}, 1, now, now, logr.Discard())}
	r.scheduler.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	r.worker = addHeldWorkers(r.scheduler, 1, now, "desk")[0]
	r.scheduler.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
	r.start = r.commit(is)
	return r
}

// commit does a scheduling pass, stores the result and returns the only start order.
func (r *restartTest) commit(is *is.I) backend.Start {
	r.scheduler.Schedule(r.now)
	if c := r.scheduler.NextCommit(r.now); c != nil {
		r.scheduler.Committed(c, r.now)
	}
	starts := r.scheduler.TakeEffects().Starts
	is.Equal(len(starts), 1)
	return starts[0].Order
}

// hold sends a hold and answers it with a report of the worker's present process.
func (r *restartTest) hold(report backend.Report) backend.Hold {
	hold, sent, _ := r.scheduler.NextHold(r.worker.Life, r.now)
	report.Life, report.Clock = r.worker.Life, time.Second
	r.scheduler.HoldAnswered(r.worker.Life, sent, &report, r.now)
	return hold
}

func (r *restartTest) restartWorker() {
	r.worker.Life.Born += 1000
	r.scheduler.SetWorkers([]backend.Registration{r.worker}, r.now)
}

// The worker has answered nothing with the raised token before it restarts, so an order
// with this token may be under way.
func TestNextProcessRefusesOrdersToTheEarlierOne(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, backend.KindUnknown, 0, r.now)
	raised, _, _ := r.scheduler.NextHold(r.worker.Life, r.now)
	is.True(raised.Token > r.start.Token)
	r.restartWorker()
	is.True(r.hold(backend.Report{}).Token > raised.Token)

	// The same applies after the worker was removed from the list.
	last := r.hold(backend.Report{}).Token
	r.now = r.now.Add(time.Minute)
	r.scheduler.Tick(r.now)
	r.scheduler.SetWorkers(nil, r.now)
	is.Equal(len(r.scheduler.Workers()), 0)
	r.restartWorker()
	is.True(r.hold(backend.Report{}).Token > last)
}

func TestTaskStaysOnTheProcessThatStartedIt(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.restartWorker()
	r.hold(backend.Report{Running: []backend.Run{{Task: r.start.Task, Run: r.start.Run}}})
	r.hold(backend.Report{Ended: []backend.EndedRun{{Number: 1, Task: r.start.Task, Run: r.start.Run, Outcome: backend.Done}}})
	c := r.scheduler.NextCommit(r.now)
	state, _ := r.scheduler.Status("job")
	is.Equal(state, work.Running) // The end is not stored yet.
	r.scheduler.Committed(c, r.now)
	state, _ = r.scheduler.Status("job")
	is.Equal(state, work.Completed)
}

// An answered start can't be executed again, so the task need not wait.
func TestRunThatEndedWithItsProcessIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, "", time.Second, r.now)
	r.restartWorker()
	r.hold(backend.Report{})
	is.Equal(r.commit(is).Run, r.start.Run+1)
}

func TestUnansweredStartIsNotRepeatedWhileItMayBeExecuted(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, backend.KindUnknown, 0, r.now)
	for _, elapsed := range []time.Duration{100 * time.Millisecond, 5 * time.Second, 5 * time.Second} {
		r.now = r.now.Add(elapsed)
		r.hold(backend.Report{})
		r.scheduler.Tick(r.now)
		r.scheduler.Schedule(r.now)
		if c := r.scheduler.NextCommit(r.now); c != nil { // It may only say that the lease is extended.
			r.scheduler.Committed(c, r.now)
			is.Equal(len(r.scheduler.TakeEffects().Starts), 0)
		}
	}
	r.now = r.now.Add(2 * time.Second)
	r.hold(backend.Report{})
	is.Equal(r.commit(is).Run, r.start.Run+1)
}

// The process that forgets the ends up to a number may be another one than the process
// that listed them.
func TestHoldDoesNotRepeatAnAcknowledgement(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.hold(backend.Report{Ended: []backend.EndedRun{{Number: 7, Task: r.start.Task, Run: r.start.Run, Outcome: backend.Done}}})
	r.scheduler.Committed(r.scheduler.NextCommit(r.now), r.now)
	is.Equal(r.hold(backend.Report{}).Acknowledged, int64(7))
	is.Equal(r.hold(backend.Report{}).Acknowledged, int64(0))
}

// A worker that has restarted does not answer the hold in flight.
func TestHoldAfterAnUnansweredOneAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	ended := backend.Report{Ended: []backend.EndedRun{{Number: 7, Task: r.start.Task, Run: r.start.Run, Outcome: backend.Done}}}
	r.hold(ended)
	r.scheduler.Committed(r.scheduler.NextCommit(r.now), r.now)
	unanswered, _, _ := r.scheduler.NextHold(r.worker.Life, r.now)
	is.Equal(unanswered.Acknowledged, int64(7))
	r.scheduler.HoldFailed(r.worker.Life, backend.KindUnknown, r.now)
	is.Equal(r.hold(ended).Acknowledged, int64(0))
	is.Equal(r.hold(backend.Report{}).Acknowledged, int64(7))
}

func TestHoldAfterAnUnansweredOneDoesNotWait(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	is.True(r.hold(backend.Report{}).Wait > 0)
	_, _, _ = r.scheduler.NextHold(r.worker.Life, r.now)
	r.scheduler.HoldFailed(r.worker.Life, backend.KindUnknown, r.now)
	is.Equal(r.hold(backend.Report{}).Wait, time.Duration(0))
	is.True(r.hold(backend.Report{}).Wait > 0)
}

func TestStartThatWasNotSentIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, backend.KindUnreachable, 0, r.now)
	r.now = r.now.Add(1100 * time.Millisecond) // The worker gets no new tasks for a second.
	r.hold(backend.Report{})
	is.Equal(r.commit(is).Run, r.start.Run+1)
}

// An order that was answered can't be executed later, also if it was refused.
func TestFencedStartIsRepeatedOnceAReportLacksIt(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, backend.KindFenced, 0, r.now)
	r.hold(backend.Report{})
	is.Equal(r.commit(is).Run, r.start.Run+1)
}

// The next process may have executed the order as late as MaxOrderDelay, and then holds a
// lease.
func TestUnansweredStartAtASilentWorkerIsRepeatedAfterItsLease(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	r.scheduler.StartAnswered(r.worker.Life, &r.start, backend.KindUnknown, 0, r.now)
	idle := r.worker
	idle.Life.ID = "idle"
	advance := func(d time.Duration) {
		r.now = r.now.Add(d)
		r.scheduler.SetWorkers([]backend.Registration{r.worker, idle}, r.now)
		_, sent, _ := r.scheduler.NextHold(idle.Life, r.now)
		r.scheduler.HoldAnswered(idle.Life, sent, &backend.Report{Life: idle.Life, Clock: time.Second}, r.now)
		r.scheduler.Tick(r.now)
		r.scheduler.Schedule(r.now)
	}
	advance(13 * time.Second)
	is.Equal(r.scheduler.NextCommit(r.now), nil)
	advance(6 * time.Second)
	is.Equal(r.commit(is).Run, r.start.Run+1)
}

// The list and the stored placements name different processes. None of them is left without
// a session, or without the task that it may run.
func TestEachProcessUnderOneIDIsReplaced(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	job := &work.Job{ID: "other", Queue: "urgent", Accepted: r.now, Steps: []work.Step{{Count: 2, Size: taskSize}}}
	progress := &work.Progress{State: work.Running, Started: true, Steps: []work.StepProgress{{Tasks: []work.TaskProgress{
		{Index: 0, Run: 1, Worker: "restored", Born: 1}, {Index: 1, Run: 1, Worker: "restored", Born: 2},
	}}}}
	r.scheduler.Restore(job, progress, r.now)
	restored := r.worker
	restored.Life = backend.Life{ID: "restored", Born: 3}
	r.scheduler.SetWorkers([]backend.Registration{r.worker, restored}, r.now)
	r.scheduler.TakeEffects()
	is.Equal(r.scheduler.Workers(), []backend.Life{restored.Life, r.worker.Life})
}
