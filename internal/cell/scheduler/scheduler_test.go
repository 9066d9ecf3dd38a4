package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

var (
	workerCapacity = resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 8000}
	taskSize       = resource.Vector{Milliprocessors: 2500, MemoryMebibytes: 1000}
)

// addJobs submits n random jobs at random times within the next five seconds.
func (sm *simulation) addJobs(n int) {
	for i := range n {
		j := &work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "urgent", Steps: []work.Step{
			{Count: 1 + sm.randomSource.IntN(4), Size: taskSize, Estimate: 700 * time.Millisecond},
		}}
		if sm.occursWithProbability(0.5) {
			j.Steps = append(j.Steps, work.Step{Count: 2, Size: taskSize, Estimate: 500 * time.Millisecond, After: []int{0}})
		}
		if sm.occursWithProbability(0.3) {
			j.Queue = "advised"
		}
		if sm.occursWithProbability(0.2) {
			j.Steps[0].MostPerWorker = 1
		}
		j.Steps[0].Speculative = sm.occursWithProbability(0.4)
		profile := fleet.TaskProfile{RunTime: sm.randomDuration(100*time.Millisecond, 3*time.Second)}
		sm.schedule(sm.randomDuration(0, 5*time.Second), func() { sm.submit(j, profile) })
	}
}

// simulationScenario is a simulation of 20 s with faults, and of a further 40 s without.
type simulationScenario struct {
	testName string
	faults   faultProbabilities
	prepare  func(sm *simulation)
}

func TestScheduler(t *testing.T) {
	runSimulations(t, []simulationScenario{
		{"no faults", faultProbabilities{}, func(*simulation) {}},
		{"answers are lost and orders are executed late", faultProbabilities{lostAnswerProbability: 0.1, lateCallProbability: 0.05}, func(*simulation) {}},
		{"the leader freezes and its successor takes over", faultProbabilities{lateCallProbability: 0.03}, func(sm *simulation) {
			for i := range 3 {
				sm.schedule(time.Duration(i+1)*2*time.Second, func() {
					old := sm.leaders[len(sm.leaders)-1]
					old.frozen = true
					sm.schedule(sm.randomDuration(100*time.Millisecond, 5*time.Second), func() { old.frozen = false })
					sm.schedule(sm.randomDuration(0, 2*time.Second), func() { sm.electLeader() })
				})
			}
		}},
		{"workers are unreachable but keep running", faultProbabilities{}, func(sm *simulation) {
			sm.schedule(2*time.Second, func() {
				for _, life := range sm.sortedLives() {
					if sm.occursWithProbability(0.5) {
						sm.unreachableWorkers[life] = true
					}
				}
				sm.schedule(sm.randomDuration(time.Second, 9*time.Second), func() { clear(sm.unreachableWorkers) })
			})
		}},
		{"a zone is unreachable and a new leader takes over", faultProbabilities{lostAnswerProbability: 0.02, lateCallProbability: 0.02}, func(sm *simulation) {
			sm.schedule(2*time.Second, func() {
				for _, life := range sm.sortedLives() {
					sm.unreachableWorkers[life] = sm.workers[life].Registration.Zone == "zone-1"
				}
				sm.schedule(500*time.Millisecond, func() { sm.electLeader() })
				sm.schedule(sm.randomDuration(time.Second, 8*time.Second), func() { clear(sm.unreachableWorkers) })
			})
		}},
	})
}

// runSimulations runs each scenario with many seeds. All jobs must complete and no check
// of the simulation may fail.
func runSimulations(t *testing.T, scenarios []simulationScenario) {
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				sm := newSimulation(seed, s.faults)
				sm.addWorkers(6, workerCapacity)
				sm.electLeader()
				sm.addJobs(12)
				s.prepare(sm)
				sm.runFor(20 * time.Second)
				sm.faultProbabilities = faultProbabilities{}
				clear(sm.unreachableWorkers)
				sm.runFor(40 * time.Second)
				for _, p := range sm.violations {
					rt.Errorf("%s", p)
				}
				last := sm.leaders[len(sm.leaders)-1]
				for _, j := range sm.jobs {
					if state, _ := last.scheduler.Status(j.ID); state != work.Completed {
						rt.Errorf("job %s did not complete: it is %s", j.ID, state)
					}
				}
			})
		})
	}
}

func TestCancelStopsWhatRuns(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 4, Size: taskSize}}}, fleet.TaskProfile{RunTime: time.Minute})
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 4)
	sm.cancel("job")
	sm.runFor(time.Second)
	for _, v := range sm.workers {
		is.Equal(len(v.Running()), 0)
	}
	state, _ := sm.leaders[0].scheduler.Status("job")
	is.Equal(state, work.Cancelled)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(3, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.TaskProfile{RunTime: 10 * time.Millisecond, Fails: true})
	sm.runFor(20 * time.Second)
	is.Equal(sm.startCount, 4)
	state, _ := sm.leaders[0].scheduler.Status("job")
	is.Equal(state, work.Failed)
}

// A run fails on an unreachable worker, which reports the failure only after the task
// was placed on another worker. The failure must count as one of the attempts of the
// task.
func TestFailureReportedLateCounts(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(3, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.TaskProfile{RunTime: 600 * time.Millisecond, Fails: true})
	sm.runFor(500 * time.Millisecond)
	for _, life := range sm.sortedLives() {
		sm.unreachableWorkers[life] = len(sm.workers[life].Running()) > 0
	}
	sm.runFor(6600 * time.Millisecond) // The leader does not know of the failure and has started a second run.
	is.Equal(sm.startCount, 2)
	clear(sm.unreachableWorkers)
	sm.runFor(20 * time.Second)
	is.Equal(sm.startCount, 4)
	state, _ := sm.leaders[0].scheduler.Status("job")
	is.Equal(state, work.Failed)
}

// A lasting task must start again after its worker has restarted.
func TestLastingTaskReturns(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 2, Size: taskSize, Lasting: true}}}, fleet.TaskProfile{})
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 2)
	for _, life := range sm.sortedLives() {
		sm.restartWorker(life)
	}
	sm.runFor(2 * time.Second)
	is.Equal(sm.startCount, 4)
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(1, workerCapacity)
	sm.electLeader()
	for life, v := range sm.workers {
		is.Equal(life, v.Registration.Life)
		v.Registration.Draining = true
	}
	sm.runFor(time.Second)
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.TaskProfile{RunTime: time.Second})
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 0)
}

func TestUnknownJob(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	l := sm.electLeader()
	_, known := l.scheduler.Status("nobody")
	is.True(!known)
	l.scheduler.Cancel("nobody", sm.now)
	l.scheduler.HoldFailed(backend.Life{ID: "nobody"}, backend.KindUnknown, sm.now)
}

func TestCopiedTaskKeepsItsRoom(t *testing.T) { testCopiedTaskKeepsItsRoom(t, 5*time.Second, false) }

// The first runs of speculative tasks still run on an unreachable worker. The next
// leader does not know of them.
func TestCopiedTaskKeepsItsRoomForTheNextLeader(t *testing.T) {
	testCopiedTaskKeepsItsRoom(t, 8*time.Second, true)
}

// testCopiedTaskKeepsItsRoom makes a worker unreachable until its speculative tasks
// were started again on other workers. When the worker answers again, it must not get
// more tasks than it has capacity for. The same must hold if a new leader has taken
// over meanwhile.
func testCopiedTaskKeepsItsRoom(t *testing.T, runTime time.Duration, nextLeader bool) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(3, workerCapacity)
	leader := sm.electLeader()
	sm.submit(&work.Job{ID: "first", Queue: "urgent", Steps: []work.Step{{Count: 6, Size: taskSize, Speculative: true}}}, fleet.TaskProfile{RunTime: runTime})
	sm.runFor(500 * time.Millisecond)
	is.Equal(sm.startCount, 6)
	lives := sm.sortedLives()
	sm.unreachableWorkers[lives[0]] = true
	sm.runFor(2500 * time.Millisecond)
	is.Equal(sm.startCount, 9) // The three tasks on the unreachable worker were started again.
	if nextLeader {
		leader = sm.electLeader()
	}
	sm.submit(&work.Job{ID: "second", Queue: "urgent", Steps: []work.Step{{Count: 3, Size: taskSize}}}, fleet.TaskProfile{RunTime: 5 * time.Second})
	sm.runFor(500 * time.Millisecond)
	clear(sm.unreachableWorkers)
	sm.runFor(30 * time.Second)
	is.Equal(sm.violations, nil)
	for _, id := range []string{"first", "second"} {
		state, _ := leader.scheduler.Status(id)
		is.Equal(state, work.Completed)
	}
}

// A step whose tasks can never all start must not reserve workers; otherwise all
// other tasks would wait forever.
func TestImpossibleTasksKeepNothing(t *testing.T) {
	whole := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 8000}
	scenarios := []struct {
		testName string
		step     work.Step
	}{
		{"a gang larger than the fleet", work.Step{Count: 3, Size: whole, Gang: true, Estimate: 10 * time.Second}},
		{"more tasks than workers may take", work.Step{Count: 4, Size: resource.Vector{Milliprocessors: 5000}, MostPerWorker: 1, Lasting: true}},
		{"a task larger than any worker", work.Step{Count: 1, Size: resource.Vector{Milliprocessors: 9000}}},
		{"a label that no worker has", work.Step{Count: 1, Size: whole, Label: "nowhere"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(2, workerCapacity)
			sm.electLeader()
			sm.submit(&work.Job{ID: "first", Queue: "urgent", Steps: []work.Step{s.step}}, fleet.TaskProfile{RunTime: time.Hour})
			sm.runFor(500 * time.Millisecond)
			sm.submit(&work.Job{ID: "second", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 30 * time.Second}}}, fleet.TaskProfile{RunTime: 100 * time.Millisecond})
			sm.runFor(2 * time.Second)
			state, _ := sm.leaders[0].scheduler.Status("second")
			is.Equal(state, work.Completed)
		})
	}
}

func TestTasksOfADeadWorkerRunElsewhere(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 6, Size: taskSize}}}, fleet.TaskProfile{RunTime: time.Second})
	sm.runFor(500 * time.Millisecond)
	sm.unreachableWorkers[sm.sortedLives()[0]] = true // The worker stays registered but never answers again.
	sm.runFor(10 * time.Second)
	state, _ := sm.leaders[0].scheduler.Status("job")
	is.Equal(state, work.Completed)
	is.Equal(sm.startCount, 9)
}

func TestCheckpointedTaskLeavesADrainingWorker(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(1, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize, Checkpoints: true}}}, fleet.TaskProfile{RunTime: time.Hour})
	sm.runFor(500 * time.Millisecond)
	v := sm.workers[sm.sortedLives()[0]]
	v.Registration.Draining, v.Registration.Remaining = true, 3*time.Second
	sm.runFor(1500 * time.Millisecond)
	is.Equal(len(v.Running()), 1) // The task still runs, because the worker does not exit soon.
	sm.runFor(1500 * time.Millisecond)
	is.Equal(len(v.Running()), 0)
}

// A task that does not end before its draining worker exits waited until the lease of the worker
// had ended.
func TestTasksThatDoNotEndInTimeLeaveADrainingWorker(t *testing.T) {
	scenarios := []struct {
		testName          string
		estimate, runTime time.Duration
		after             time.Duration
		running           int
	}{
		{"the task needs much longer", time.Minute, time.Minute, 2400 * time.Millisecond, 0},
		{"the task ends in time", 3 * time.Second, 3 * time.Second, 2400 * time.Millisecond, 1},
		{"the task takes longer than estimated and the worker stays", 2 * time.Second, 5 * time.Second, 3500 * time.Millisecond, 1},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(1, workerCapacity)
			sm.electLeader()
			sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: c.estimate}}}, fleet.TaskProfile{RunTime: c.runTime})
			sm.runFor(500 * time.Millisecond)
			v := sm.workers[sm.sortedLives()[0]]
			v.Registration.Draining, v.Registration.Remaining = true, 3*time.Second
			sm.runFor(c.after)
			is.Equal(len(v.Running()), c.running)
		})
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	sm.electLeader()
	j := &work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}
	j.Repeat = &work.Repeat{Count: 3, Start: sm.now.Add(2 * time.Second), Interval: time.Second}
	sm.submit(j, fleet.TaskProfile{})
	for k := range 3 {
		sm.taskProfiles[work.TaskID{StepID: work.StepID{Job: "job", Occurrence: k}}] = fleet.TaskProfile{Size: taskSize, RunTime: 100 * time.Millisecond}
	}
	sm.runFor(1990 * time.Millisecond)
	is.Equal(sm.startCount, 0)
	for expected := 1; expected <= 3; expected++ {
		sm.runFor(time.Second)
		is.Equal(sm.startCount, expected)
	}
	sm.runFor(time.Second)
	is.Equal(sm.violations, nil)
	state, _ := sm.leaders[0].scheduler.Status("job")
	is.Equal(state, work.Completed)
}

func TestGangStartsAndFailsAsOne(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(3, workerCapacity)
	sm.electLeader()
	whole := resource.Vector{Milliprocessors: 8000}
	sm.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 3, Size: whole, Gang: true}}}, fleet.TaskProfile{RunTime: 10 * time.Second})
	first := work.TaskID{StepID: work.StepID{Job: "gang"}}
	failing := sm.taskProfiles[first]
	failing.RunTime, failing.Fails = 100*time.Millisecond, true
	sm.taskProfiles[first] = failing
	sm.runFor(500 * time.Millisecond)
	is.Equal(sm.startCount, 3)
	sm.runFor(20 * time.Second)
	is.Equal(sm.startCount, 12) // Each of the three members was started four times.
	state, _ := sm.leaders[0].scheduler.Status("gang")
	is.Equal(state, work.Failed)
	is.Equal(sm.violations, nil)
}

// A gang must start only when there are places for all its members.
func TestGangWaitsForAllItsPlaces(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "small", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.TaskProfile{RunTime: 2 * time.Second})
	sm.runFor(500 * time.Millisecond)
	sm.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 2, Size: resource.Vector{Milliprocessors: 8000}, Gang: true, Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Second})
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 1) // Neither member is placed while there is no place for the other one.
	sm.runFor(3 * time.Second)
	is.Equal(sm.startCount, 3)
}

// The first run of a speculative task ends while the second run is being placed,
// stored or ordered. The task must not start a third time, not even under a new
// leader.
func TestLateEndOfACopyCounts(t *testing.T) {
	for _, after := range []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond, 140 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(2, workerCapacity)
			sm.electLeader()
			sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{
				{Count: 1, Size: taskSize, Speculative: true}, {Count: 1, Size: taskSize, After: []int{0}},
			}}, fleet.TaskProfile{RunTime: 1500 * time.Millisecond})
			sm.runFor(500 * time.Millisecond)
			first := sm.sortedLives()[0]
			if len(sm.workers[first].Running()) == 0 {
				first = sm.sortedLives()[1]
			}
			sm.unreachableWorkers[first] = true
			sm.runFor(1790*time.Millisecond + after) // The task is started a second time at about this moment.
			clear(sm.unreachableWorkers)
			sm.runFor(300 * time.Millisecond)
			sm.electLeader()
			sm.runFor(15 * time.Second)
			state, _ := sm.leaders[1].scheduler.Status("job")
			is.Equal(state, work.Completed)
			is.True(sm.startCount <= 3) // Two starts of the task of the first step, one of the task of the second.
			is.Equal(sm.violations, nil)
		})
	}
}

// The first request for advice brings tickets for fewer workers than the step needs,
// so the scheduler must ask about more workers.
func TestFurtherWorkersAreAskedAbout(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(60, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "advised", Steps: []work.Step{{Count: 20, Size: taskSize, MostPerWorker: 1, Lasting: true}}}, fleet.TaskProfile{})
	sm.runFor(5 * time.Second)
	is.Equal(sm.startCount, 20) // The adviser approves about 15 of the first 30 workers.
}

// A commit without records needs no append, so it does not prove that this VM is
// still the leader. It must not let the leader extend leases for longer.
func TestCommitWithoutRecordsDoesNotExtendLeadership(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	timing := scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 10 * time.Second, HoldWait: time.Second}
	s := scheduler.New(timing, 1, start, start, logr.Discard())
	life := backend.Life{ID: "worker", Born: 1}
	s.SetWorkers([]backend.Registration{{Life: life, Service: "desk", Capacity: workerCapacity}}, start)
	_, sent, ok := s.NextHold(life, start.Add(6*time.Second))
	is.True(ok)
	s.HoldAnswered(life, sent, &backend.Report{Life: life, Clock: 7 * time.Second, Ended: []backend.EndedRun{
		{Number: 1, Task: work.TaskID{StepID: work.StepID{Job: "nobody"}}, Run: 1, Outcome: backend.Done},
	}}, start.Add(6*time.Second))
	c := s.NextCommit(start.Add(7 * time.Second))
	is.Equal(len(c.Records), 0)
	s.Committed(c, start.Add(7*time.Second))
	hold, _, _ := s.NextHold(life, start.Add(9*time.Second))
	is.Equal(hold.Deadline, 11*time.Second) // The leadership ends in one second; the worker's clock now reads 10 s.
	is.Equal(hold.Acknowledged, int64(1))
}

// A worker is reserved for a large task until enough of its capacity is free. Short
// tasks may backfill the worker until then; long tasks must not delay the large one.
func TestShortTasksFillTheRoomBeforeAReservation(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(1, workerCapacity)
	sm.electLeader()
	half := resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 1000}
	whole := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 1000}
	submitTask := func(id, queueName string, size resource.Vector, estimate, runTime time.Duration) {
		sm.submit(&work.Job{ID: id, Queue: queueName, Steps: []work.Step{{Count: 1, Size: size, Estimate: estimate, Image: id}}}, fleet.TaskProfile{RunTime: runTime})
	}
	submitTask("running", "urgent", half, 5*time.Second, 5*time.Second)
	sm.runFor(500 * time.Millisecond)
	submitTask("large", "urgent", whole, 10*time.Second, time.Second)
	sm.runFor(200 * time.Millisecond)
	submitTask("short", "batch", half, 2*time.Second, 2*time.Second)
	sm.runFor(2500 * time.Millisecond)
	submitTask("long", "batch", half, 20*time.Second, 20*time.Second)
	state := func(id string) work.State { s, _ := sm.leaders[0].scheduler.Status(id); return s }
	is.Equal(state("short"), work.Completed)
	is.Equal(state("large"), work.Queued)
	sm.runFor(3500 * time.Millisecond)
	is.Equal(state("large"), work.Completed) // The long task has not delayed the large one.
	is.Equal(sm.violations, nil)
}

// The address of a worker was taken by another worker, but the first worker stays
// registered for a while. No session must be opened for it again.
func TestReplacedWorkerIsNotOpenedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	gone := backend.Registration{Life: backend.Life{ID: "gone", Born: 1}, Service: "desk", Capacity: workerCapacity}
	s.SetWorkers([]backend.Registration{gone}, now)
	is.Equal(len(s.TakeEffects().SessionsToOpen), 1)
	_, _, _ = s.NextHold(gone.Life, now)
	s.HoldFailed(gone.Life, backend.KindLifeMismatch, now)
	s.SetWorkers([]backend.Registration{gone}, now)
	is.Equal(len(s.TakeEffects().SessionsToOpen), 0)
	gone.Life.Born = 2
	s.SetWorkers([]backend.Registration{gone}, now)
	is.Equal(len(s.TakeEffects().SessionsToOpen), 1) // The worker has restarted at an address of its own.
}

// A speculative task was requeued, but its first run still exists on the only worker.
// The worker must not get a second run of the task beside the first.
func TestCopyIsNotPlacedBesideTheFirstRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(newSimulation(1, faultProbabilities{}).table)
	r := backend.Registration{Life: backend.Life{ID: "worker", Born: 1}, Service: "desk", Capacity: workerCapacity}
	s.SetWorkers([]backend.Registration{r}, now)
	hold := func(runs ...backend.Run) {
		_, sent, _ := s.NextHold(r.Life, now)
		s.HoldAnswered(r.Life, sent, &backend.Report{Life: r.Life, Clock: time.Second + now.Sub(time.Unix(1_700_000_000, 0)), Running: runs}, now)
	}
	plan := func() []scheduler.Order[backend.Start] {
		s.Schedule(now)
		if c := s.NextCommit(now); c != nil {
			s.Committed(c, now)
		}
		return s.TakeEffects().Starts
	}
	hold()
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Speculative: true}}}, now)
	starts := plan()
	is.Equal(len(starts), 1)
	first := backend.Run{Task: starts[0].Order.Task, Run: 1, Percent: 10}
	s.StartAnswered(r.Life, &starts[0].Order, "", 0, now)
	hold(first)
	now = now.Add(3 * time.Second)
	s.Tick(now) // The worker was silent for too long, so its speculative task is requeued.
	hold(first)
	is.Equal(len(plan()), 0)
	now = now.Add(time.Second)
	hold()
	is.Equal(len(plan()), 1) // The report no longer lists the first run.
}

// A job that has ended is submitted again after its submission was deleted. The new
// submission must be deleted as well.
func TestSubmissionOfAnEndedJobIsDroppedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(newSimulation(1, faultProbabilities{}).table)
	j := &work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}
	dropped := func() []string {
		now = now.Add(4 * time.Second)
		s.Tick(now)
		return s.TakeEffects().SubmissionsToDelete
	}
	s.Submit(j, now)
	is.Equal(dropped(), nil)
	s.Cancel(j.ID, now)
	is.Equal(dropped(), nil) // The final state is not stored yet.
	s.Committed(s.NextCommit(now), now)
	is.Equal(dropped(), []string{j.ID})
	is.Equal(dropped(), nil)
	s.Submit(j, now)
	is.Equal(dropped(), []string{j.ID})
	is.Equal(dropped(), nil)
}
