package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// The answers to starts are lost, and the runs end before a report lists them. A report that
// lists only the first ends never showed the others, and these ends were not acknowledged while
// the starts counted as not reported: the tasks stayed on the worker for good.
func TestEndsThatNoReportListsBlockTheirWorker(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.prepareProcess = func(v *fleet.Worker) { v.MaxEndsPerReport = 4 }
	sm.addWorkers(1, workerCapacity)
	l := sm.electLeader()
	sm.runFor(time.Second)
	sm.callFaults.workerAnswersLostUntil["worker-0"] = sm.now.Add(time.Second)
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 8, Size: tenthOfWorker, Estimate: 100 * time.Millisecond}}}, fleet.TaskProfile{RunTime: 100 * time.Millisecond})
	sm.runFor(time.Second + sm.timing.MaxOrderDelay)
	sm.runFor(5 * time.Second)
	state, _ := l.scheduler.Status("job")
	is.Equal(state, work.Completed)
	is.Equal(len(sm.violations), 0)
}
