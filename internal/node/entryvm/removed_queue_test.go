package entryvm_test

import (
	"context"
	"testing"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// An operator removed a queue while accepted jobs of it were under way. Their first steps
// ended, and the next ones never started.
func TestAcceptedJobsOfARemovedQueueComplete(t *testing.T) {
	scenarios := []struct {
		testName string
		// leaderLost is true if another VM leads after the queue was removed.
		leaderLost bool
	}{
		{"the leader goes on", false},
		{"another leader takes over", true},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, 700*time.Millisecond)
			leader := f.leaderIndex()
			time.Sleep(300 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			step := work.Step{Count: 2, Size: resource.Vector{Milliprocessors: 500}}
			second := step
			second.After = []int{0}
			f.is.NoErr(f.nodes[leader].Submit(ctx, &work.Job{ID: "job", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{step, second}}))
			f.awaitState(f.nodes[leader], "job", work.Running)
			f.publishConfiguration(2, "other")
			for _, n := range f.nodes {
				for n.Table().Version != 2 && ctx.Err() == nil {
					time.Sleep(5 * time.Millisecond)
				}
			}
			if sc.leaderLost {
				f.nodes[leader].Close()
			}
			f.awaitState(f.nodes[(leader+1)%3], "job", work.Completed)
			f.is.Equal(f.fleet.StartCount(firstTask("job")), 1)
		})
	}
}
