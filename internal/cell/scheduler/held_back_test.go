package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// tenthOfWorker is the size of a task of which ten fit on a worker.
var tenthOfWorker = resource.Vector{Milliprocessors: workerCapacity.Milliprocessors / 10, MemoryMebibytes: workerCapacity.MemoryMebibytes / 10}

// halfOfWorker is the size of a task of which two fit on a worker.
var halfOfWorker = resource.Vector{Milliprocessors: workerCapacity.Milliprocessors / 2, MemoryMebibytes: workerCapacity.MemoryMebibytes / 2}

// workerOf returns a worker on which a task runs, or nil.
func (sm *simulation) workerOf(id work.TaskID) *fleet.Worker {
	for _, life := range sm.sortedLives() {
		if v := sm.workers[life]; slices.Contains(v.Running(), id) {
			return v
		}
	}
	return nil
}

// Lasting tasks that waited for the workers that may run them claimed the capacity of all
// others. Steps behind them were not allowed to renew their tickets, and never started.
func TestClaimsOfStepsWithoutUsableCapacityHoldBackNoOthers(t *testing.T) {
	scenarios := []struct {
		testName string
		lasting  bool
		// fullFor is how long other tasks fill the approved workers, from the submission on.
		fullFor time.Duration
		// lost is true if the worker of the task is lost later.
		lost bool
	}{
		{"a lasting task whose worker is lost", true, 0, true},
		{"a step whose tickets expire while its workers are full", false, 4 * time.Second, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
			sm.addWorkers(5, workerCapacity)
			sm.electLeader()
			sm.runFor(time.Second)
			for i := range 10 { // By isApproved, two tasks of each fill workers 1 and 3, and three wait.
				sm.submit(&work.Job{ID: fmt.Sprintf("spread-%02d", i), Queue: "advised", Steps: []work.Step{
					{Count: 5, Size: tenthOfWorker, MostPerWorker: 1, Lasting: true, Estimate: time.Second},
				}}, fleet.TaskProfile{})
			}
			sm.runFor(5 * time.Second)
			if sc.fullFor > 0 {
				sm.submit(&work.Job{ID: "filler-1", Queue: "advised", Steps: []work.Step{{Count: 30, Size: tenthOfWorker, Estimate: time.Second}}}, fleet.TaskProfile{RunTime: sc.fullFor})
			}
			task := work.TaskID{StepID: work.StepID{Job: "single-1"}}
			sm.submit(&work.Job{ID: task.Job, Queue: "advised", Steps: []work.Step{{Count: 1, Size: tenthOfWorker, Lasting: sc.lasting, Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Minute})
			sm.runFor(time.Second)
			is.Equal(sm.workerOf(task) == nil, sc.fullFor > 0)
			sm.runFor(3 * time.Second)
			possibleSince := sm.now
			if sc.lost {
				w := sm.workerOf(task)
				sm.exit(w)
				delete(sm.listed, w.Registration.Life.ID)
				possibleSince = sm.now.Add(sm.timing.Lease)
			}
			for sm.workerOf(task) == nil && sm.now.Sub(possibleSince) < 20*time.Second {
				sm.runFor(100 * time.Millisecond)
			}
			is.True(sm.now.Sub(possibleSince) < 3*time.Second)
		})
	}
}

// A step counted the free capacity of an approved worker that got no tasks, because it was
// silent, and asked the adviser about no other worker meanwhile.
func TestStepAsksBesideAnApprovedWorkerThatIsSilent(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %t", gang), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedScheduler(now, 1)
			addHeldWorkers(s, 40, now, "desk")
			s.Submit(&work.Job{ID: "job", Queue: "short", Accepted: now, Steps: []work.Step{{Count: 1, Gang: gang, Size: taskSize, Estimate: time.Second}}}, now)
			s.Schedule(now)
			requests := s.TakeEffects().AdviceRequests
			is.Equal(len(requests), 1)
			is.Equal(len(requests[0].Workers), 30)
			silent := requests[0].Workers[0]
			s.AdviceAnswered(requests[0].Number, backend.Advice{Tickets: map[string]string{silent: "ticket"}, Validity: 10 * time.Second}, false, now)
			for range 4 { // The worker becomes silent before the task is placed.
				now = now.Add(time.Second)
				for _, life := range s.Workers() {
					if _, sent, _ := s.NextHold(life, now); life.ID != silent {
						s.HoldAnswered(life, sent, &backend.Report{Life: life, Clock: now.Sub(time.Unix(1_700_000_000, 0)) + time.Second}, now)
					}
				}
				s.Tick(now)
			}
			s.Schedule(now)
			requests = s.TakeEffects().AdviceRequests
			is.Equal(len(requests), 1)
			is.Equal(len(requests[0].Workers), 10)
		})
	}
}

// Workers that leave counted among those about which the adviser had answered, but not among
// those that are listed: a step did not ask about workers that joined meanwhile.
func TestStepAsksAboutWorkersThatJoinWhileOthersDrain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := newAdvisedScheduler(now, 1)
	list := addHeldWorkers(s, 10, now, "desk")
	s.Submit(&work.Job{ID: "job", Queue: "short", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
	s.Schedule(now)
	requests := s.TakeEffects().AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(len(requests[0].Workers), 10)
	s.AdviceAnswered(requests[0].Number, backend.Advice{Validity: 2 * time.Second}, false, now)

	for i := range 4 {
		list[i].Draining = true
		list = append(list, backend.Registration{Life: backend.Life{ID: fmt.Sprintf("joined-%d", i), Born: 2}, Service: "desk", Capacity: workerCapacity})
	}
	s.SetWorkers(list, now)
	for _, life := range s.Workers() {
		_, sent, _ := s.NextHold(life, now)
		s.HoldAnswered(life, sent, &backend.Report{Life: life, Clock: time.Second}, now)
	}
	s.Schedule(now)
	requests = s.TakeEffects().AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(len(requests[0].Workers), 4)
}

// A gang that lacked places which no end of a run brings kept the others reserved for good, and
// other tasks from them.
func TestGangReservesNoWorkersWhileItsPlacesAreNotExpected(t *testing.T) {
	scenarios := []struct {
		testName, queue string
		lasting         int
		gang            work.Step
	}{
		{"more members than approved workers", "advised", 0, work.Step{Count: 4, Gang: true, MostPerWorker: 1, Size: tenthOfWorker, Estimate: time.Second}},
		{"lasting tasks on all but one worker", "batch", 4, work.Step{Count: 2, Gang: true, Size: halfOfWorker.Add(tenthOfWorker), Estimate: time.Second}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
			sm.addWorkers(5, workerCapacity)
			sm.electLeader()
			if sc.lasting > 0 {
				sm.submit(&work.Job{ID: "lasting", Queue: "batch", Steps: []work.Step{{Count: sc.lasting, Size: halfOfWorker, MostPerWorker: 1, Lasting: true}}}, fleet.TaskProfile{})
			}
			sm.runFor(time.Second)
			sm.submit(&work.Job{ID: "gang-1", Queue: sc.queue, Steps: []work.Step{sc.gang}}, fleet.TaskProfile{RunTime: time.Second})
			sm.runFor(5 * time.Second)
			task := work.TaskID{StepID: work.StepID{Job: "single-1"}}
			sm.submit(&work.Job{ID: task.Job, Queue: sc.queue, Steps: []work.Step{{Count: 1, Size: halfOfWorker.Add(tenthOfWorker), Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Minute})
			sm.runFor(3 * time.Second)
			is.True(sm.workerOf(task) != nil)
		})
	}
}

// A gang counted on an empty worker that had stopped answering, but was still listed, and kept
// the others reserved.
func TestGangReservesNoWorkersWhileItCountsOnSilentOnes(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
	sm.addWorkers(3, workerCapacity)
	sm.electLeader()
	sm.runFor(time.Second)
	sm.unreachableWorkers[sm.currentProcess("worker-0").Registration.Life] = true
	sm.runFor(2 * time.Second)
	sm.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 3, Gang: true, MostPerWorker: 1, Size: tenthOfWorker, Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Second})
	sm.runFor(3 * time.Second)
	task := work.TaskID{StepID: work.StepID{Job: "single"}}
	sm.submit(&work.Job{ID: task.Job, Queue: "batch", Steps: []work.Step{{Count: 1, Size: tenthOfWorker, Estimate: time.Minute}}}, fleet.TaskProfile{RunTime: time.Minute})
	sm.runFor(3 * time.Second)
	is.True(sm.workerOf(task) != nil)
}
