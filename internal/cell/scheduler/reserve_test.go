package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
)

// Many large tasks wait for one service. They must not use up the reservations of
// another service, where small tasks would then keep a large task waiting.
func TestReservationsOfOneServiceLeaveThoseOfOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{
		{Name: "large_bench", Service: "bench", Priority: 0, Stretch: 2, Objective: time.Second},
		{Name: "large_desk", Service: "desk", Priority: 1, Stretch: 2, Objective: time.Second},
		{Name: "small_desk", Service: "desk", Priority: 2, Stretch: 2, Objective: time.Second},
	}})
	addHeldWorkers(s, 2, now, "bench", "desk")
	submit := func(id, queueName string, step work.Step) {
		step.Count = 1
		s.Submit(&work.Job{ID: id, Queue: queueName, Accepted: now, Steps: []work.Step{step}}, now)
	}
	large := work.Step{Size: workerCapacity, Estimate: time.Second}
	submit("running", "small_desk", work.Step{Size: taskSize, Estimate: time.Second})
	s.Schedule(now)
	for i := range 12 {
		submit(fmt.Sprintf("bench-%d", i), "large_bench", large)
	}
	submit("desk", "large_desk", large)
	submit("small", "small_desk", work.Step{Size: taskSize, Estimate: 10 * time.Second})
	s.Schedule(now)
	for _, r := range s.NextCommit(now).Records {
		is.True(r.Key != "small") // The worker is reserved for the large task.
	}
}
