package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// A leader that took over while a worker was draining stopped nothing there: tasks that did not
// end before the worker exited waited until its lease had ended.
func TestTasksLeaveAWorkerThatDrainsDuringATakeOver(t *testing.T) {
	scenarios := []struct {
		testName string
		step     work.Step
		running  int
	}{
		{"the task needs much longer", work.Step{Estimate: time.Minute}, 0},
		{"the task saves checkpoints", work.Step{Estimate: 2 * time.Second, Checkpoints: true}, 0},
		{"the task is lasting", work.Step{Lasting: true}, 0},
		{"the task ends in time", work.Step{Estimate: time.Second}, 1},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(1, workerCapacity)
			sm.electLeader()
			c.step.Count, c.step.Size = 1, taskSize
			sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{c.step}}, fleet.TaskProfile{RunTime: time.Hour, Lasting: c.step.Lasting})
			sm.runFor(500 * time.Millisecond)
			v := sm.workers[sm.sortedLives()[0]]
			is.Equal(len(v.Running()), 1)
			sm.leaders[0].deposed = true
			v.Registration.Draining, v.Registration.Remaining = true, 3*time.Second
			sm.runFor(500 * time.Millisecond)
			sm.electLeader()
			sm.runFor(1900 * time.Millisecond)
			is.Equal(len(v.Running()), c.running)
		})
	}
}
