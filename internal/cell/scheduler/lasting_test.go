package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// shareOfWorker returns the size of a task that uses some tenths of a worker.
func shareOfWorker(tenths int64) resource.Vector {
	return resource.Vector{Milliprocessors: tenths * tenthOfWorker.Milliprocessors, MemoryMebibytes: tenths * tenthOfWorker.MemoryMebibytes}
}

// newLastingSimulation returns a simulation with five workers. By isApproved, lastingTask may
// use workers 1 and 3 if it is in the advised queue.
func newLastingSimulation() *simulation {
	sm := newSimulation(1, faultProbabilities{})
	sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
	sm.addWorkers(5, workerCapacity)
	sm.electLeader()
	sm.runFor(time.Second)
	return sm
}

var lastingTask = work.TaskID{StepID: work.StepID{Job: "lasting-1"}}

func (sm *simulation) submitLastingTask(queueName string) {
	sm.submit(&work.Job{ID: lastingTask.Job, Queue: queueName, Steps: []work.Step{{Count: 1, Size: tenthOfWorker, Lasting: true, Estimate: time.Second}}}, fleet.TaskProfile{})
}

// waitForRun runs the simulation until a task runs, and returns how long that takes, at most
// 30 seconds.
func (sm *simulation) waitForRun(id work.TaskID) time.Duration {
	since := sm.now
	for sm.workerOf(id) == nil && sm.now.Sub(since) < 30*time.Second {
		sm.runFor(50 * time.Millisecond)
	}
	return sm.now.Sub(since)
}

// A worker with room for both a reserved task and another one was kept free of the other.
func TestTasksUseCapacityThatReservedTasksDoNotNeed(t *testing.T) {
	is := is.New(t)
	sm := newLastingSimulation()
	long := func(id, queueName string, count int, tenths int64) {
		sm.submit(&work.Job{ID: id, Queue: queueName, Steps: []work.Step{{Count: count, Size: shareOfWorker(tenths), Estimate: 20 * time.Second}}}, fleet.TaskProfile{RunTime: 20 * time.Second})
	}
	running := func(id string, count int) (n int) {
		for i := range count {
			if sm.workerOf(work.TaskID{StepID: work.StepID{Job: id}, Index: i}) != nil {
				n++
			}
		}
		return n
	}
	long("running", "urgent", 5, 6)
	sm.runFor(2 * time.Second)
	long("reserved", "urgent", 5, 7) // Three tenths of each worker are spare, four are free.
	sm.runFor(time.Second)
	long("small", "batch", 10, 2)
	sm.runFor(2 * time.Second)
	is.Equal(running("small", 10), 5)
	sm.runFor(17 * time.Second)
	is.Equal(running("reserved", 5), 5)
}

// A lasting task ends after every reservation begins. So it did not start on any reserved
// worker, however much of it was free.
func TestReservationsDoNotKeepLastingTasksWaiting(t *testing.T) {
	scenarios := []struct {
		testName string
		// occupy submits the jobs that keep the workers reserved.
		occupy func(sm *simulation)
	}{
		{"tasks of half a worker follow one another", func(sm *simulation) {
			for i := range 40 {
				sm.schedule(time.Duration(i)*time.Second, func() {
					sm.submit(&work.Job{ID: fmt.Sprintf("half-%02d", i), Queue: "urgent", Steps: []work.Step{{Count: 5, Size: shareOfWorker(6), Estimate: 2 * time.Second}}}, fleet.TaskProfile{RunTime: 2 * time.Second})
				})
			}
		}},
		{"a gang waits for a worker that lasting tasks use", func(sm *simulation) {
			sm.submit(&work.Job{ID: "user", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: shareOfWorker(2), Lasting: true}}}, fleet.TaskProfile{})
			sm.runFor(time.Second)
			sm.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 5, Gang: true, Size: workerCapacity, Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Minute})
		}},
		{"a gang waits for entire workers", func(sm *simulation) {
			sm.submit(&work.Job{ID: "short", Queue: "urgent", Steps: []work.Step{{Count: 10, Size: shareOfWorker(4), Estimate: 20 * time.Second}}}, fleet.TaskProfile{RunTime: 20 * time.Second})
			sm.runFor(time.Second)
			sm.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 5, Gang: true, Size: workerCapacity, Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Minute})
		}},
	}
	for _, sc := range scenarios {
		for _, queueName := range []string{"batch", "advised"} {
			t.Run(sc.testName+", "+queueName, func(t *testing.T) {
				is := is.New(t)
				sm := newLastingSimulation()
				sc.occupy(sm)
				sm.runFor(2500 * time.Millisecond)
				sm.submitLastingTask(queueName)
				waited := sm.waitForRun(lastingTask)
				is.True(waited < 3*time.Second)
				is.Equal(len(sm.violations), 0)
			})
		}
	}
}

// A gang that does not fit beside the lasting tasks reserved workers for as long as it waited.
func TestGangThatCannotFitBesideLastingTasksReservesNoWorkers(t *testing.T) {
	is := is.New(t)
	sm := newLastingSimulation()
	sm.submitLastingTask("batch")
	sm.runFor(time.Second)
	sm.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 5, Gang: true, Size: workerCapacity, Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Minute})
	sm.submit(&work.Job{ID: "long", Queue: "batch", Steps: []work.Step{{Count: 5, Size: shareOfWorker(9), Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Minute})
	sm.runFor(time.Second)
	for i := range 5 {
		is.True(sm.workerOf(work.TaskID{StepID: work.StepID{Job: "long"}, Index: i}) != nil)
	}
}

// The tickets of a step were not renewed while its workers were reserved, although its tasks
// did not have to wait for the reserved ones.
func TestStepRenewsTicketsForReservedWorkersThatItMayUse(t *testing.T) {
	scenarios := []struct {
		testName string
		step     work.Step
	}{
		{"a task that ends before the reserved ones start", work.Step{Size: tenthOfWorker, Estimate: time.Second}},
		{"a small lasting task", work.Step{Size: tenthOfWorker, Lasting: true}},
		{"a large lasting task", work.Step{Size: shareOfWorker(5), Lasting: true}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newLastingSimulation()
			submit := func(id, queueName string, step work.Step) {
				sm.submit(&work.Job{ID: id, Queue: queueName, Steps: []work.Step{step}}, fleet.TaskProfile{RunTime: step.Estimate})
			}
			submit("running-1", "urgent", work.Step{Count: 5, Size: shareOfWorker(6), Estimate: 6 * time.Second})
			submit("running-2", "urgent", work.Step{Count: 5, Size: shareOfWorker(4), Estimate: 40 * time.Second})
			sm.runFor(time.Second)
			submit("reserved", "urgent", work.Step{Count: 5, Size: workerCapacity, Estimate: time.Minute})
			sc.step.Count = 1
			submit("single-1", "advised", sc.step)
			sm.runFor(5 * time.Second)
			is.True(sm.waitForRun(work.TaskID{StepID: work.StepID{Job: "single-1"}}) < 3*time.Second)
		})
	}
}

// drain makes the worker of a task drain, and returns the worker.
func (sm *simulation) drainWorkerOf(id work.TaskID, remaining time.Duration) *fleet.Worker {
	v := sm.workerOf(id)
	v.Registration.Draining, v.Registration.Remaining = true, remaining
	return v
}

// waitForMove runs the simulation until a task runs on another worker than v, and returns how
// long that takes, at most 30 seconds.
func (sm *simulation) waitForMove(id work.TaskID, v *fleet.Worker) time.Duration {
	since := sm.now
	for w := sm.workerOf(id); (w == nil || w == v) && sm.now.Sub(since) < 30*time.Second; w = sm.workerOf(id) {
		sm.runFor(50 * time.Millisecond)
	}
	return sm.now.Sub(since)
}

// A lasting task was only stopped at the moment at which its worker was listed as draining. If
// its start was not confirmed by then, or another leader led, it ran until the worker exited and
// then waited until its lease had ended.
func TestLastingTasksLeaveDrainingWorkers(t *testing.T) {
	scenarios := []struct {
		testName string
		// begin submits the task, and returns its draining worker.
		begin func(sm *simulation) *fleet.Worker
		limit time.Duration
	}{
		{"the start is confirmed later", func(sm *simulation) *fleet.Worker {
			for i := range 5 {
				sm.callFaults.workerAnswersLostUntil[fmt.Sprintf("worker-%d", i)] = sm.now.Add(600 * time.Millisecond)
			}
			sm.submitLastingTask("advised")
			sm.waitForRun(lastingTask)
			return sm.drainWorkerOf(lastingTask, 20*time.Second)
		}, 4 * time.Second},
		{"another leader takes over", func(sm *simulation) *fleet.Worker {
			sm.submitLastingTask("advised")
			sm.runFor(3 * time.Second)
			sm.restartLeader(time.Second)
			return sm.drainWorkerOf(lastingTask, 20*time.Second)
		}, 4 * time.Second},
		{"stops are lost", func(sm *simulation) *fleet.Worker {
			sm.submitLastingTask("advised")
			sm.runFor(3 * time.Second)
			v := sm.drainWorkerOf(lastingTask, 20*time.Second)
			sm.callFaults.pausedUntil[v.Registration.Life.ID] = sm.now.Add(time.Second)
			return v
		}, 4 * time.Second},
		{"the answers of the worker are lost", func(sm *simulation) *fleet.Worker {
			sm.submitLastingTask("advised")
			sm.runFor(3 * time.Second)
			v := sm.drainWorkerOf(lastingTask, 20*time.Second)
			sm.callFaults.workerAnswersLostUntil[v.Registration.Life.ID] = sm.now.Add(2 * time.Second)
			return v
		}, 4 * time.Second},
		{"the worker exits early", func(sm *simulation) *fleet.Worker {
			sm.submitLastingTask("advised")
			sm.runFor(3 * time.Second)
			v := sm.drainWorkerOf(lastingTask, 20*time.Second)
			sm.schedule(200*time.Millisecond, func() {
				sm.exit(v)
				delete(sm.listed, v.Registration.Life.ID)
			})
			return v
		}, 8 * time.Second},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newLastingSimulation()
			v := sc.begin(sm)
			took := sm.waitForMove(lastingTask, v)
			is.True(took < sc.limit)
			is.Equal(len(sm.violations), 0)
		})
	}
}

// A leader that took over while a worker drained did not note when the worker may exit. Tasks
// that do not end in time were not stopped, and waited until the lease of the worker had ended.
func TestTasksLeaveAWorkerThatDrainedBeforeTheTakeOver(t *testing.T) {
	is := is.New(t)
	sm := newLastingSimulation()
	task := work.TaskID{StepID: work.StepID{Job: "job"}}
	sm.submit(&work.Job{ID: task.Job, Queue: "batch", Steps: []work.Step{{Count: 1, Size: taskSize, Checkpoints: true}}}, fleet.TaskProfile{RunTime: time.Hour})
	sm.runFor(time.Second)
	v := sm.drainWorkerOf(task, 5*time.Second)
	sm.runFor(time.Second)
	sm.restartLeader(time.Second)
	is.True(sm.waitForMove(task, v) < 7*time.Second)
}

// The placement of a task was stored after its worker had begun to drain. The task was started
// there all the same.
func TestNoStartIsOrderedOnAWorkerThatDrains(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	list := addHeldWorkers(s, 2, now, "desk")
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Lasting: true}}}, now)
	var starts []scheduler.Order[backend.Start]
	for range 2 {
		s.Schedule(now)
		c := s.NextCommit(now)
		is.True(c != nil)
		list[0].Draining = true
		s.SetWorkers(list, now)
		s.Committed(c, now)
		starts = append(starts, s.TakeEffects().Starts...)
	}
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, list[1].Life)
}

// newSlowAdviceSimulation returns a simulation with 30 workers, of which the advised queue may
// use half. The adviser is slow.
func newSlowAdviceSimulation() *simulation {
	sm := newSimulation(1, faultProbabilities{})
	sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
	sm.table.Queues[2].Advice = &queue.AdviceCost{Fixed: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 2 * time.Second}
	sm.addWorkers(30, workerCapacity)
	sm.electLeader()
	sm.runFor(time.Second)
	return sm
}

// Guards against waits beyond the lease of a lost worker, and after a take-over beyond the time
// for which the earlier leader may have extended it.
func TestLastingTasksLeaveLostWorkers(t *testing.T) {
	const request = 800 * time.Millisecond
	scenarios := []struct {
		testName string
		fault    func(sm *simulation, v *fleet.Worker)
		// limit is the longest time until the task is to start elsewhere.
		limit func(timing scheduler.Timing) time.Duration
	}{
		{"the worker crashes and stays listed", func(sm *simulation, v *fleet.Worker) { sm.exit(v) },
			func(timing scheduler.Timing) time.Duration { return timing.Lease }},
		{"the worker restarts and is listed late", func(sm *simulation, v *fleet.Worker) {
			sm.listDelay, sm.fixedDelays = 20*time.Second, false
			sm.restartWorker(v.Registration.Life)
		}, func(scheduler.Timing) time.Duration { return 0 }},
		{"another worker is lost while the lease ends", func(sm *simulation, v *fleet.Worker) {
			sm.unreachableWorkers[v.Registration.Life] = true
			sm.schedule(6*time.Second, func() {
				for _, life := range sm.sortedLives() {
					if other := sm.workers[life]; other != v && isApproved(lastingTask.StepID, life.ID) {
						sm.unreachableWorkers[life] = true
						return
					}
				}
			})
		}, func(timing scheduler.Timing) time.Duration { return timing.Lease }},
		{"the leader is lost while the lease ends", func(sm *simulation, v *fleet.Worker) {
			sm.unreachableWorkers[v.Registration.Life] = true
			sm.schedule(5*time.Second, func() { sm.restartLeader(time.Second) })
		}, func(timing scheduler.Timing) time.Duration { return 6*time.Second + timing.LeadershipLease }},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSlowAdviceSimulation()
			sm.submitLastingTask("advised")
			sm.runFor(10 * time.Second)
			v := sm.workerOf(lastingTask)
			sc.fault(sm, v)
			is.True(sm.waitForMove(lastingTask, v) < sc.limit(sm.timing)+request+time.Second)
			is.Equal(len(sm.violations), 0)
		})
	}
}

// Runs of a job that fail on every worker were taken for faults of the workers. All of these got
// no tasks for so long that the tickets of others expired.
func TestFailingJobDoesNotKeepOthersFromAllWorkers(t *testing.T) {
	is := is.New(t)
	sm := newSlowAdviceSimulation()
	failing := work.StepID{Job: "failing-1"}
	sm.submit(&work.Job{ID: failing.Job, Queue: "batch", Steps: []work.Step{{Count: 200, Size: tenthOfWorker, Lasting: true}}}, fleet.TaskProfile{})
	for i := range 200 { // The emulated workers end no lasting run.
		sm.taskProfiles[work.TaskID{StepID: failing, Index: i}] = fleet.TaskProfile{Size: tenthOfWorker, Fails: true, RunTime: failedRunTime}
	}
	sm.runFor(5 * time.Second)
	sm.submitLastingTask("advised")
	is.True(sm.waitForRun(lastingTask) < 4*time.Second)
}

// The record of a lasting task that failed again and again listed each of these runs.
func TestRecordOfAFailingLastingTaskDoesNotGrow(t *testing.T) {
	is := is.New(t)
	sm := newLastingSimulation()
	sm.submitLastingTask("batch")
	sm.taskProfiles[lastingTask] = fleet.TaskProfile{Size: tenthOfWorker, Fails: true, RunTime: failedRunTime}
	sm.runFor(20 * time.Second)
	progress := sm.storedProgress[lastingTask.Job].Steps[0].Tasks[0]
	is.True(progress.Run > 10)
	is.Equal(len(progress.Failed), 1)
}

// Lasting jobs that had no place counted as competitors of all others: jobs that were too late
// were left out of the scheduling passes, although there was room for them.
func TestLastingJobsWithoutAPlaceDoNotKeepLateJobsOut(t *testing.T) {
	is := is.New(t)
	sm := newLastingSimulation()
	sm.submit(&work.Job{ID: "filler", Queue: "urgent", Steps: []work.Step{{Count: 5, Size: shareOfWorker(4), MostPerWorker: 1, Estimate: 10 * time.Second}}}, fleet.TaskProfile{RunTime: 10 * time.Second})
	sm.runFor(time.Second)
	for i := range 510 {
		sm.submit(&work.Job{ID: fmt.Sprintf("lasting-%03d", i), Queue: "batch", Steps: []work.Step{{Count: 1, Size: shareOfWorker(6), Lasting: true}}}, fleet.TaskProfile{})
	}
	sm.runFor(time.Second)
	sm.submit(&work.Job{ID: "late", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: tenthOfWorker, Estimate: 100 * time.Millisecond}}}, fleet.TaskProfile{RunTime: time.Second})
	sm.runFor(8 * time.Second)
	is.True(sm.waitForRun(work.TaskID{StepID: work.StepID{Job: "late"}}) < 3*time.Second)
}

// Requests of urgent jobs, which are short, kept all VMs busy. The slow request of a lasting job
// was never sent.
func TestUrgentRequestsLeaveVMsForLastingJobs(t *testing.T) {
	is := is.New(t)
	sm := newSlowAdviceSimulation()
	sm.table.Queues = append(sm.table.Queues, queue.Queue{Name: "urgent-advised", Service: "desk", Stretch: 1.5, Objective: 250 * time.Millisecond, Advice: &queue.AdviceCost{Fixed: 50 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}})
	for i := range 2000 {
		sm.schedule(time.Duration(i)*20*time.Millisecond, func() {
			sm.submit(&work.Job{ID: fmt.Sprintf("urgent-%04d", i), Queue: "urgent-advised", Steps: []work.Step{{Count: 1, Size: tenthOfWorker, Estimate: 100 * time.Millisecond}}}, fleet.TaskProfile{RunTime: 100 * time.Millisecond})
		})
	}
	sm.runFor(3 * time.Second)
	sm.submitLastingTask("advised")
	is.True(sm.waitForRun(lastingTask) < 3*time.Second)
}
