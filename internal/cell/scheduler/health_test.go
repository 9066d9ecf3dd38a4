package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// The tasks on a worker become slow, but the worker still reports on time. New tasks
// must be placed on another worker.
func TestSlowWorkersAreAvoided(t *testing.T) {
	scenarios := []struct {
		testName string
		percent  int
		avoided  bool
	}{
		{"at the usual speed", 80, false},
		{"three times slower", 26, true},
		{"no progress at all", 0, true},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			start := now
			s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
			s.SetTable(newSimulation(1, faultProbabilities{}).table)
			var list []backend.Registration
			for i := range 2 {
				list = append(list, backend.Registration{Life: backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: 1}, Service: "desk", Capacity: workerCapacity})
			}
			s.SetWorkers(list, now)
			running := map[backend.Life][]backend.Run{}
			hold := func() {
				for _, r := range list {
					_, sent, _ := s.NextHold(r.Life, now)
					s.HoldAnswered(r.Life, sent, &backend.Report{Life: r.Life, Clock: time.Second + now.Sub(start), Running: running[r.Life]}, now)
				}
			}
			place := func(id string, count int) []scheduler.Order[backend.Start] {
				s.Submit(&work.Job{ID: id, Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: count, Size: taskSize, Estimate: time.Second}}}, now)
				s.Schedule(now)
				s.Committed(s.NextCommit(now), now)
				return s.TakeEffects().Starts
			}
			hold()
			first := place("first", 2)
			is.Equal(first[0].Worker, first[1].Worker) // The second task is placed beside the first, since the fuller worker is preferred.
			for _, o := range first {
				s.StartAnswered(o.Worker, &o.Order, "", 0, now)
				running[o.Worker] = append(running[o.Worker], backend.Run{Task: o.Order.Task, Run: 1, Percent: sc.percent})
			}
			now = now.Add(800 * time.Millisecond)
			hold()
			second := place("second", 1)
			is.Equal(len(second), 1)
			is.Equal(second[0].Worker != first[0].Worker, sc.avoided)
		})
	}
}
