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

// largeFleet is more workers than a leader calls by itself.
const largeFleet = 110

// addFleet adds workers of two domains, so that there are keepers.
func (f *fixture) addFleet() {
	for i := range largeFleet {
		f.is.NoErr(f.fleet.Add(f.store, backend.Registration{
			Life: backend.Life{ID: fmt.Sprintf("kept-%d", i), Born: 1}, Service: "desk", Zone: fmt.Sprintf("domain-%d", i%2),
			Capacity: resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1000},
		}))
	}
}

// A VM leaves while tasks run on workers that are held through it: the leader, which
// kept none, or the others, which kept all.
func TestTasksRunOnceWhileKeepersChange(t *testing.T) {
	scenarios := []struct {
		testName string
		leaves   func(leader int) []int
	}{
		{"nobody leaves", func(int) []int { return nil }},
		{"the leader is killed", func(leader int) []int { return []int{leader} }},
		{"two keepers are killed", func(leader int) []int { return []int{(leader + 1) % 4, (leader + 2) % 4} }},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 4, 1500*time.Millisecond)
			f.is = is
			f.addFleet()
			leader := f.leader()
			last := (leader + 3) % 4
			const jobs = 40
			for i := range jobs {
				is.NoErr(f.submit(f.nodes[last], fmt.Sprintf("job-%d", i)))
			}
			for i := range jobs {
				f.await(f.nodes[last], fmt.Sprintf("job-%d", i), work.Running)
			}
			for _, i := range sc.leaves(leader) {
				f.nodes[i].Close()
			}
			for i := range jobs {
				f.await(f.nodes[last], fmt.Sprintf("job-%d", i), work.Completed)
				for k := range 2 {
					task := firstTask(fmt.Sprintf("job-%d", i))
					task.Index = k
					is.Equal(f.fleet.Starts(task), 1)
				}
			}
		})
	}
}
