package scheduler_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// A filling task runs beside a serving one. The task has the pace that the leader believes
// in, also if an order was lost, or if an earlier leader had paused it.
func TestPaceIsOrderedUntilItIsConfirmed(t *testing.T) {
	scenarios := []struct {
		testName string
		// latencies holds the latency of the serving task in each report. The order that
		// follows report number lost is lost, if it is not 0.
		latencies []int64
		lost      int
		// expected lists the paces ordered after each report, or -1 for none.
		expected []int
	}{
		{"a restored task gets full speed", []int64{10, 10}, 0, []int{100, -1}},
		{"a restored task keeps its pace while the latency is neither high nor low", []int64{70, 70, 10, 10}, 0, []int{-1, -1, 100, -1}},
		{"a restored task is slowed down", []int64{95, 70}, 0, []int{50, -1}},
		{"a lost order is repeated", []int64{10, 10, 10}, 1, []int{100, 100, -1}},
		{"a lost order to pause is repeated", []int64{95, 95, 95, 95, 95, 95}, 4, []int{50, 25, 12, 0, 0, -1}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 2, now, now, logr.Discard())
			s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", Stretch: 2, Objective: time.Second}}})
			worker := backend.Registration{Life: backend.Life{ID: "worker-0", Born: 1}, Service: "desk", Capacity: workerCapacity}
			s.SetWorkers([]backend.Registration{worker}, now)
			restored := []work.TaskProgress{{Run: 1, Worker: "worker-0", Born: 1}}
			job := &work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{
				{Count: 1, Size: taskSize, Lasting: true, Target: 100 * time.Millisecond}, {Count: 1, Size: taskSize, Fills: true},
			}}
			s.Restore(job, &work.Progress{State: work.Running, Started: true, Steps: []work.StepProgress{{Step: 0, Tasks: restored}, {Step: 1, Tasks: restored}}}, now)
			s.TakeEffects()
			unanswered := int64(0)
			for i, latency := range sc.latencies {
				_, sent, _ := s.NextHold(worker.Life, now)
				s.HoldAnswered(worker.Life, sent, &backend.Report{Life: worker.Life, Clock: time.Second, Running: []backend.Run{
					{Task: work.TaskID{StepID: work.StepID{Job: "job"}}, Run: 1, Figure: latency}, {Task: work.TaskID{StepID: work.StepID{Job: "job", Step: 1}}, Run: 1},
				}}, now)
				ordered := -1
				for _, o := range s.TakeEffects().Paces {
					ordered = o.Order.Percent
					is.True(o.Order.Token > unanswered) // Executed late, the lost order replaced the later pace.
					if i+1 == sc.lost {
						unanswered = o.Order.Token
						s.PaceNotConfirmed(worker.Life, &o.Order, backend.KindUnknown)
					}
				}
				is.Equal(ordered, sc.expected[i])
			}
		})
	}
}
