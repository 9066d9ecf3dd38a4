package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// A leader that has taken over knows the runs on a worker from the stored progress, but can
// open a session only with a worker that it has an address of.
func TestRunsWithoutSession(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	first := sm.electLeader()
	job := &work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 4, Size: taskSize, Lasting: true}}}
	sm.submit(job, fleet.TaskProfile{})
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 4)
	is.Equal(first.scheduler.RunsWithoutSession(), 0)

	next := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 10 * time.Second}, 2, sm.now, sm.now, sm.log)
	next.SetTable(sm.table)
	next.Restore(job, sm.storedProgress["job"], sm.now)
	is.Equal(next.RunsWithoutSession(), 4) // No worker is listed.
	next.SetWorkers(sm.registrations(), sm.now)
	is.Equal(next.RunsWithoutSession(), 0)
}
