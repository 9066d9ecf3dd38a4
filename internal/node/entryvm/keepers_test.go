package entryvm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// largeFleetSize is a number of workers that is large enough for the leader to use
// keepers.
const largeFleetSize = 110

// addLargeFleet adds largeFleetSize workers, spread over two failure domains.
func (f *fixture) addLargeFleet() {
	for i := range largeFleetSize {
		f.is.NoErr(f.fleet.Add(f.store, backend.Registration{
			Life: backend.Life{ID: fmt.Sprintf("kept-%d", i), Born: 1}, Service: "desk", Zone: fmt.Sprintf("domain-%d", i%2),
			Capacity: resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1000},
		}))
	}
}

// VMs crash while tasks run on workers that the leader calls through keepers. The loss
// of the leader or of a keeper must neither lose a task nor start it twice.
func TestTasksRunOnceWhileKeepersChange(t *testing.T) {
	scenarios := []struct {
		testName string
		// closed returns the indexes of the VMs that the test closes, given the index
		// of the leader.
		closed func(leader int) []int
	}{
		{"no VM is killed", func(int) []int { return nil }},
		{"the leader is killed", func(leader int) []int { return []int{leader} }},
		{"two keepers are killed", func(leader int) []int { return []int{(leader + 1) % 4, (leader + 2) % 4} }},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 4, 1500*time.Millisecond)
			f.is = is
			f.addLargeFleet()
			leader := f.leaderIndex()
			survivor := (leader + 3) % 4
			const jobCount = 40
			ids := make([]string, jobCount)
			for i := range ids {
				ids[i] = fmt.Sprintf("job-%d", i)
				is.NoErr(f.submit(f.nodes[survivor], ids[i]))
			}
			f.awaitStates(f.nodes[survivor], ids, work.Running)
			for _, i := range sc.closed(leader) {
				f.nodes[i].Close()
			}
			for _, id := range ids {
				f.awaitState(f.nodes[survivor], id, work.Completed)
				for k := range 2 {
					task := firstTask(id)
					task.Index = k
					is.Equal(f.fleet.StartCount(task), 1)
				}
			}
		})
	}
}
