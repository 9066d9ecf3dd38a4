package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// BenchmarkPlan plans with all workers full and many jobs waiting.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 350, 950} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			w := newWorld(1, faults{})
			w.addWorkers(workers, workerSize)
			l := w.elect()
			for i := range workers * 2 {
				j := &work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "advised", Steps: []work.Step{{Count: 6, Size: taskSize, Estimate: time.Second}}}
				w.submit(j, fleet.Demand{RunTime: time.Hour})
			}
			w.run(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				l.state.Plan(w.now)
			}
		})
	}
}
