package entryvm_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// running returns the number of runs of a job.
func (f *virtualFleet) running(job string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := 0
	for id, w := range f.runningOn {
		w.Advance(time.Now())
		if id.Job == job && f.runningOn[id] == w {
			n++
		}
	}
	return n
}

// The keepers confirm calls, but reach no worker, and the leader does. It must keep the runs
// going, and stop those of a cancelled job.
func TestRunsAreHeldAndStoppedPastKeepers(t *testing.T) {
	const tasks = 60
	synctest.Test(t, func(t *testing.T) {
		c := newVirtualCell(t, 1)
		time.Sleep(2 * time.Second)
		for _, id := range []string{"kept", "cancelled"} {
			j := &work.Job{ID: id, Queue: "mail", Steps: []work.Step{{Count: tasks, Size: resource.Vector{Milliprocessors: 500, MemoryMebibytes: 100}, Estimate: time.Minute}}}
			c.fleet.addProfiles(j, func() time.Duration { return time.Hour })
			c.submit(j)
		}
		time.Sleep(3 * time.Second)
		c.is.Equal(c.fleet.running("kept"), tasks)
		c.is.Equal(c.fleet.running("cancelled"), tasks)

		leader := c.leader()
		c.fleet.mutex.Lock()
		c.fleet.onlyCaller = c.processes[leader].address
		c.fleet.mutex.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		c.is.NoErr(c.node(leader).Cancel(ctx, "cancelled"))
		cancel()
		time.Sleep(1500 * time.Millisecond)
		c.is.Equal(c.fleet.running("cancelled"), 0)
		for range 20 {
			time.Sleep(time.Second)
			c.is.Equal(c.fleet.running("kept"), tasks)
		}
		c.is.Equal(c.leader(), leader)
		for i := range virtualVMs {
			c.killVM(i)
		}
		time.Sleep(2 * maxLateness)
	})
}
