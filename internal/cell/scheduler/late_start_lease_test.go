package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// startSecondTask orders the start of the task of job-2 on worker-0.
func (r *unknownProcessTest) startSecondTask(is *is.I, queueName string) backend.Start {
	s := r.scheduler
	r.advance(10 * time.Millisecond)
	s.Submit(&work.Job{ID: "job-2", Queue: queueName, Accepted: r.now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, r.now)
	s.Schedule(r.now)
	if queueName == "urgent" {
		r.answerAdvice(is)
	}
	s.Schedule(r.now)
	c := s.NextCommit(r.now)
	is.True(c != nil)
	s.Committed(c, r.now)
	starts := s.TakeEffects().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Order.Token, r.start.Token)
	return starts[0].Order
}

// awaitSecondRun lists two other workers, keeps them held and leaves worker-0 silent, until
// the given task is started on one of them.
func (r *unknownProcessTest) awaitSecondRun(is *is.I, id work.TaskID) {
	s := r.scheduler
	others := []backend.Registration{r.first, r.first}
	others[0].Life, others[1].Life = backend.Life{ID: "worker-1", Born: 1}, backend.Life{ID: "worker-2", Born: 1}
	s.SetWorkers(others, r.now) // The entry of worker-0 has lapsed.
	clock := time.Minute
	for range 600 {
		r.advance(50 * time.Millisecond)
		clock += 50 * time.Millisecond
		s.AppendConfirmed(r.now)
		if _, _, ok := s.NextHold(r.first.Life, r.now); ok {
			s.HoldFailed(r.first.Life, backend.KindUnknown, r.now)
		}
		for i := range others {
			_, sent, _ := s.NextHold(others[i].Life, r.now)
			s.HoldAnswered(others[i].Life, sent, &backend.Report{Life: others[i].Life, Clock: clock}, r.now)
		}
		s.Tick(r.now)
		s.Schedule(r.now)
		effects := s.TakeEffects()
		for _, a := range effects.AdviceRequests {
			tickets := map[string]string{"worker-1": "ticket", "worker-2": "ticket"}
			s.AdviceAnswered(a.Number, backend.Advice{Tickets: tickets, Validity: 5 * time.Second}, false, r.now)
		}
		if c := s.NextCommit(r.now); c != nil {
			s.Committed(c, r.now)
		}
		for _, o := range append(effects.Starts, s.TakeEffects().Starts...) {
			if o.Order.Task == id {
				return
			}
		}
	}
	is.Fail() // The task is not started again.
}

// The deadline of a start applies to everything that runs on the worker. A process that the
// scheduler does not know executes a start at once, and another one with the same fencing token
// late. Its clock began anew, so the late one extends the lease of the first run too, which
// the scheduler takes for ended before.
func TestLateStartExtendsTheLeaseOfOtherRuns(t *testing.T) {
	scenarios := []struct {
		testName, queue string
		late            time.Duration
		cancelled       bool
	}{
		{"the late start carries a ticket", "urgent", 4500 * time.Millisecond, false},
		{"the late start needs no ticket", "plain", 5500 * time.Millisecond, false},
		{"the job of the late start was cancelled", "urgent", 4500 * time.Millisecond, true},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			is := is.New(t)
			r := newUnknownProcessTest(is, fleet.TaskProfile{Size: taskSize, RunTime: time.Minute}, 10*time.Millisecond)
			if c.queue == "plain" {
				queues := append(r.scheduler.Table().Queues[:1:1], queue.Queue{Name: "plain", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second})
				r.scheduler.SetTable(&queue.Table{Version: 2, Queues: queues})
			}
			is.Equal(r.next.Start(r.start, r.now), backend.Kind(""))
			r.scheduler.StartAnswered(r.first.Life, &r.start, "", r.next.Clock(r.now), r.now)
			late := r.startSecondTask(is, c.queue)
			r.scheduler.StartAnswered(r.first.Life, &late, backend.KindUnknown, 0, r.now)
			if c.cancelled {
				r.scheduler.Cancel("job-2", r.now)
			}
			is.Equal(r.next.Start(late, r.now.Add(c.late)), backend.Kind(""))
			r.awaitSecondRun(is, r.start.Task)
			r.next.Advance(r.now)
			for _, id := range r.next.Running() {
				is.True(id != r.start.Task) // The first run goes on while the second starts.
			}
		})
	}
}
