package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// All due occurrences of a job that repeats each minute of a year were opened at once. Each
// leader exceeded its memory, and so did the next one.
func TestOverdueOccurrencesAreOpenedInParts(t *testing.T) {
	const (
		occurrences = 365 * 24 * 60
		// heldTasks is the largest number of tasks that are held of one repeated job.
		heldTasks = 1024
	)
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{lostAnswerProbability: 0.02})
	sm.addWorkers(4, workerCapacity)
	sm.electLeader()
	sm.runFor(time.Second)
	j := &work.Job{ID: "job", Queue: "batch", Steps: []work.Step{{Count: 1, Size: taskSize}, {Count: 1, Size: taskSize, After: []int{0}}}}
	j.Repeat = &work.Repeat{Count: occurrences, Start: sm.now.Add(-occurrences * time.Minute), Interval: time.Minute}
	for step := range j.Steps {
		for k := range 20 * heldTasks {
			sm.taskProfiles[work.TaskID{StepID: work.StepID{Job: "job", Occurrence: k, Step: step}}] = fleet.TaskProfile{Size: taskSize, RunTime: 10 * time.Millisecond}
		}
	}
	sm.submit(j, fleet.TaskProfile{Size: taskSize, RunTime: 10 * time.Millisecond})
	for range 6 {
		sm.runFor(5 * time.Second)
		sm.restartLeader(100 * time.Millisecond)
		sm.runFor(time.Second)
		is.True(len(sm.storedProgress["job"].Steps) <= heldTasks)
	}
	is.Equal(sm.violations, nil)
	is.True(sm.storedProgress["job"].DoneOccurrences > 0)
	is.True(sm.startCount > heldTasks)
}
