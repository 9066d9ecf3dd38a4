package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// submitStep submits a job of one step whose tasks run as long as they are estimated to.
func (sm *simulation) submitStep(id, queueName string, st work.Step) work.TaskID {
	sm.submit(&work.Job{ID: id, Queue: queueName, Steps: []work.Step{st}}, fleet.TaskProfile{RunTime: st.Estimate})
	return work.TaskID{StepID: work.StepID{Job: id}}
}

// A gang reserved no workers while all tasks there were expected to run for over a minute, and
// each place that became free went to the next such task.
func TestGangReservesWorkersWithLongTasks(t *testing.T) {
	is := is.New(t)
	const run = 90 * time.Second
	sm := newLastingSimulation()
	n := 0
	keepSubmitting := func(d time.Duration) {
		for end := sm.now.Add(d); sm.now.Before(end); n++ {
			sm.submitStep(fmt.Sprintf("long-%d", n), "batch", work.Step{Count: 1, Size: shareOfWorker(4), Estimate: run})
			sm.runFor(run / 11)
		}
	}
	keepSubmitting(run + run/5)
	gang := sm.submitStep("gang", "urgent", work.Step{Count: 5, Gang: true, Size: workerCapacity, Estimate: time.Minute})
	keepSubmitting(run + run/5)
	is.True(sm.workerOf(gang) != nil)
}

// A gang lost all its reservations while one of the workers was silent for a moment.
func TestGangKeepsReservationsWhileAWorkerIsSilent(t *testing.T) {
	is := is.New(t)
	sm := newLastingSimulation()
	running := sm.submitStep("running-1", "urgent", work.Step{Count: 1, Size: shareOfWorker(6), Estimate: 12 * time.Second})
	sm.runFor(time.Second)
	gang := sm.submitStep("gang", "urgent", work.Step{Count: 5, Gang: true, Size: workerCapacity, Estimate: time.Minute})
	sm.runFor(time.Second)
	for i := range 8 {
		sm.submitStep(fmt.Sprintf("small-%d", i), "batch", work.Step{Count: 1, Size: shareOfWorker(4), Estimate: 50 * time.Second})
	}
	sm.runFor(2 * time.Second)
	silent := sm.listed["worker-2"]
	if sm.workerOf(running) == silent {
		silent = sm.listed["worker-3"]
	}
	sm.unreachableWorkers[silent.Registration.Life] = true
	sm.runFor(2500 * time.Millisecond)
	clear(sm.unreachableWorkers)
	is.True(sm.waitForRun(gang) < 10*time.Second)
}

// What counted as spare on a worker with several reserved places was what is left beside one.
func TestReservedPlacesOfAWorkerAreKept(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
	sm.addWorkers(10, workerCapacity)
	sm.electLeader()
	sm.runFor(time.Second)
	sm.submitStep("running-1", "urgent", work.Step{Count: 1, Size: shareOfWorker(8), Estimate: 10 * time.Second})
	sm.runFor(time.Second)
	gang := sm.submitStep("gang", "urgent", work.Step{Count: 30, Gang: true, Size: shareOfWorker(3), Estimate: time.Minute})
	sm.runFor(time.Second)
	for i := range 9 {
		sm.submitStep(fmt.Sprintf("small-%d", i), "batch", work.Step{Count: 1, Size: shareOfWorker(4), Estimate: 50 * time.Second})
	}
	is.True(sm.waitForRun(gang) < 10*time.Second)
}

// A large task renewed its tickets only for workers that it had reserved, although it may run
// before the task for which another job has reserved the worker.
func TestLargeTaskRenewsTicketsWithoutReservation(t *testing.T) {
	is := is.New(t)
	sm := newLastingSimulation()
	sm.submitStep("running-1", "urgent", work.Step{Count: 5, Size: shareOfWorker(6), Estimate: 6 * time.Second})
	sm.submitStep("running-2", "urgent", work.Step{Count: 5, Size: shareOfWorker(4), Estimate: 40 * time.Second})
	sm.runFor(time.Second)
	sm.submitStep("reserved", "urgent", work.Step{Count: 5, Size: workerCapacity, Estimate: time.Minute})
	large := sm.submitStep("single-1", "advised", work.Step{Count: 1, Size: shareOfWorker(5), Estimate: time.Second})
	sm.runFor(5 * time.Second)
	is.True(sm.waitForRun(large) < 3*time.Second)
}
