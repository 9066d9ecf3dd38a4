package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// A gang completed on workers that were cut off until their lease had ended. When they were
// reached again, they forgot the ends, but these had no effect.
func TestLateEndOfAGangCounts(t *testing.T) {
	scenarios := []struct {
		testName string
		gang     bool
	}{
		{"a gang", true},
		{"tasks outside of gangs", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(2, workerCapacity)
			sm.electLeader()
			whole := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 1000}
			sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 2, Size: whole, Gang: s.gang}}}, fleet.TaskProfile{RunTime: 3 * time.Second})
			sm.runFor(time.Second)
			is.Equal(sm.startCount, 2)
			for life := range sm.workers {
				sm.unreachableWorkers[life] = true
			}
			sm.runFor(8 * time.Second) // Both runs end with success, and then the lease ends.
			clear(sm.unreachableWorkers)
			sm.runFor(2 * time.Second)
			is.Equal(sm.violations, nil)
			state, _ := sm.leaders[0].scheduler.Status("job")
			is.Equal(state, work.Completed)
		})
	}
}
