package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// shareOfWorker returns the size of a task that uses some tenths of a worker.
func shareOfWorker(tenths int64) resource.Vector {
	return resource.Vector{Milliprocessors: tenths * tenthOfWorker.Milliprocessors, MemoryMebibytes: tenths * tenthOfWorker.MemoryMebibytes}
}

// newLastingSimulation returns a simulation with five workers.
func newLastingSimulation() *simulation {
	sm := newSimulation(1, faultProbabilities{})
	sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
	sm.addWorkers(5, workerCapacity)
	sm.electLeader()
	sm.runFor(time.Second)
	return sm
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
