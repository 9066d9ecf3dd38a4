package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// A leader took over while the entry of a worker had lapsed. It had no session with the
// worker, so the runs of a cancelled job went on until their lease expired.
func TestCancelledJobStopsOnUnlistedWorkerAfterTakeOver(t *testing.T) {
	scenarios := []struct {
		testName string
		// cancelFirst cancels the job before the leader is replaced.
		cancelFirst bool
	}{
		{"cancelled before the take-over", true},
		{"cancelled after the take-over", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(2, workerCapacity)
			sm.electLeader()
			sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 4, Size: taskSize, Lasting: true}}}, fleet.TaskProfile{})
			sm.runFor(time.Second)
			is.Equal(sm.startCount, 4)
			clear(sm.listed)
			if s.cancelFirst {
				sm.leaders[0].deposed = true
				sm.cancel("job")
			}
			sm.electLeader()
			sm.runFor(time.Second)
			if !s.cancelFirst {
				sm.cancel("job")
				sm.runFor(time.Second)
			}
			for _, v := range sm.workers {
				v.Advance(sm.now)
				is.Equal(len(v.Running()), 0)
			}
		})
	}
}
