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
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// addHeldWorkers adds n workers and assigns them to the services in turn. Each worker
// has answered a hold.
func addHeldWorkers(s *scheduler.Scheduler, n int, now time.Time, services ...string) []backend.Registration {
	var list []backend.Registration
	for i := range n {
		list = append(list, backend.Registration{Life: backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: 1}, Service: services[i%len(services)], Capacity: workerCapacity})
	}
	s.SetWorkers(list, now)
	for _, r := range list {
		_, sent, _ := s.NextHold(r.Life, now)
		s.HoldAnswered(r.Life, sent, &backend.Report{Life: r.Life, Clock: time.Second}, now)
	}
	return list
}

// A worker restarts while the placement of a task on it is being stored. The task is
// placed again, and must not start before this second placement is stored.
func TestStartWaitsForItsOwnRecord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	list := addHeldWorkers(s, 2, now, "desk")
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
	s.Schedule(now)
	first := s.NextCommit(now)
	is.True(first != nil)
	s.TakeEffects()

	progress, err := work.Decode[work.Progress](first.Records[0].Value)
	is.NoErr(err)
	for i := range list {
		if list[i].Life.ID == progress.Steps[0].Tasks[0].Worker {
			list[i].Life.Born++
		}
	}
	s.SetWorkers(list, now)
	s.Schedule(now)
	s.Committed(first, now)
	is.Equal(len(s.TakeEffects().Starts), 0) // The second placement is not stored yet.

	second := s.NextCommit(now)
	is.True(second != nil)
	s.Committed(second, now)
	starts := s.TakeEffects().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Order.Run, int64(2))
}

// A job is cancelled while its progress cannot be stored. If its submission were deleted
// before, the next leader would not know the job, and would run it if it is sent again.
func TestSubmissionOfACancelledJobOutlivesItsCancellationRecord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}, now)
	s.Cancel("job", now)
	now = now.Add(5 * time.Second)
	s.Tick(now)
	is.Equal(len(s.TakeEffects().SubmissionsToDelete), 0) // The record of the final state is not stored yet.
	state, _ := s.Status("job")
	is.Equal(state, work.Queued)
	s.Committed(s.NextCommit(now), now)
	state, _ = s.Status("job")
	is.Equal(state, work.Cancelled)
	s.Tick(now.Add(5 * time.Second))
	is.Equal(s.TakeEffects().SubmissionsToDelete, []string{"job"})
}

// A failure domain is cut off just after tasks were placed on its workers. Their jobs
// have not begun, so they still count as pending.
func TestPlacedJobIsPendingUntilItsRunIsReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	addHeldWorkers(s, 1, now, "desk")
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
	is.Equal(s.Pending("urgent"), 1)
	s.Schedule(now)
	s.Committed(s.NextCommit(now), now)
	starts := s.TakeEffects().Starts
	is.Equal(len(starts), 1)
	s.StartAnswered(starts[0].Worker, &starts[0].Order, backend.KindUnknown, 0, now)
	is.Equal(s.Pending("urgent"), 1) // The order may not have reached the worker.
	_, sent, _ := s.NextHold(starts[0].Worker, now)
	report := backend.Report{Life: starts[0].Worker, Clock: time.Second, Running: []backend.Run{{Task: starts[0].Order.Task, Run: starts[0].Order.Run}}}
	s.HoldAnswered(starts[0].Worker, sent, &report, now)
	is.Equal(s.Pending("urgent"), 0)
}

// A member of a gang cannot start, so that the others are stopped. The answer to the
// start of one of these shows that the job has begun.
func TestJobWhoseRunIsStoppedAtOnceIsNotPending(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	addHeldWorkers(s, 2, now, "desk")
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 2, Size: taskSize, Estimate: time.Second, Gang: true}}}, now)
	s.Schedule(now)
	s.Committed(s.NextCommit(now), now)
	starts := s.TakeEffects().Starts
	is.Equal(len(starts), 2)
	s.StartAnswered(starts[0].Worker, &starts[0].Order, backend.KindNoRoom, 0, now)
	is.Equal(s.Pending("urgent"), 1)
	s.StartAnswered(starts[1].Worker, &starts[1].Order, "", time.Second, now)
	is.Equal(s.Pending("urgent"), 0)
}

// The progress of a job changes while the placement of one of its tasks is being stored.
// The next commit must not take the placement again: its lease would be counted from the
// later commit by the worker, but from the earlier one by the leader, which could start
// the task elsewhere while it still runs.
func TestPlacementBeingStoredIsInOneCommitOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 20 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	addHeldWorkers(s, 1, now, "desk")
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 2, Size: workerCapacity, Estimate: time.Second}}}, now)
	s.Schedule(now)
	first := s.NextCommit(now)
	addHeldWorkers(s, 2, now, "desk")
	later := now.Add(300 * time.Millisecond)
	s.Schedule(later) // There is now room for the second task.
	second := s.NextCommit(later)
	is.Equal(len(second.Records), 1)
	s.Committed(first, later)
	starts := s.TakeEffects().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Order.Deadline, time.Second+6*time.Second) // The worker's clock read one second at the first commit.
	s.Committed(second, later)
	starts = s.TakeEffects().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Order.Deadline, time.Second+300*time.Millisecond+6*time.Second)
}

// The store refuses to delete the submission of an ended job until its state need not be
// known any more. The final state must stay, or the next leader would run the job again.
func TestFinalStateOutlivesItsSubmission(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const retention = 20 * time.Second
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: retention}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}, now)
	s.Cancel("job", now)
	s.Committed(s.NextCommit(now), now)
	now = now.Add(5 * time.Second)
	s.Tick(now)
	deleted := s.TakeEffects().SubmissionsToDelete
	is.Equal(deleted, []string{"job"})
	now = now.Add(retention)
	s.SetJobsReadUntil(now)
	s.Tick(now)
	is.True(s.NextCommit(now) == nil) // The final state is not deleted.
	s.SubmissionsDeleted(deleted)
	now = now.Add(3 * time.Second)
	s.SetJobsReadUntil(now)
	s.Tick(now)
	c := s.NextCommit(now)
	is.True(c != nil)
	is.Equal(len(c.Records), 1)
	is.Equal(len(c.Records[0].Value), 0)
}

// The submission of an ended job is in a partition that refuses its deletion, and the job is
// submitted again in another partition, which accepts it. The final state must stay until both
// submissions are deleted, or the next leader would run the job again.
func TestFinalStateOutlivesEachCopyOfItsSubmission(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	const retention = 20 * time.Second
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: retention}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	job := &work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}
	s.Submit(job, now)
	s.Cancel("job", now)
	s.Committed(s.NextCommit(now), now)
	tick := func(elapsed time.Duration) (deletions []string) {
		now = now.Add(elapsed)
		s.SetJobsReadUntil(now)
		s.Tick(now)
		return s.TakeEffects().SubmissionsToDelete
	}
	first := tick(5 * time.Second)
	is.Equal(first, []string{"job"})
	s.Submit(job, now)
	s.SubmissionsDeleted(tick(5 * time.Second))
	tick(2 * retention)
	is.True(s.NextCommit(now) == nil) // The first deletion is still under way.
	s.SubmissionsDeleted(first)
	s.SubmissionsDeleted(tick(5 * time.Second))
	tick(5 * time.Second)
	c := s.NextCommit(now)
	is.True(c != nil)
	is.Equal(len(c.Records[0].Value), 0)
}

// The record of an ended job expires, and the job is submitted again before the next
// commit. The commit must not delete the record that names its new run.
func TestExpiryDoesNotDeleteThePlacementOfAJobSubmittedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: 10 * time.Second}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	job := &work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}
	s.Submit(job, now)
	s.Cancel("job", now)
	s.Committed(s.NextCommit(now), now)
	now = now.Add(5 * time.Second)
	s.Tick(now)
	s.SubmissionsDeleted([]string{"job"})
	now = now.Add(20 * time.Second)
	addHeldWorkers(s, 1, now, "desk")
	s.SetJobsReadUntil(now)
	s.Tick(now) // The record expires.
	s.Submit(job, now)
	s.Schedule(now)
	c := s.NextCommit(now)
	s.Committed(c, now)
	is.Equal(len(s.TakeEffects().Starts), 1)
	is.True(len(c.Records[len(c.Records)-1].Value) > 0) // The last record is that of the new run.
}

// A commit whose only record is refused stores nothing, so it does not prove that this VM still
// leads. The job must fail without a start.
func TestRefusedCommitDoesNotExtendLeadership(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, start, start, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	w := addHeldWorkers(s, 1, start.Add(6*time.Second), "desk")[0]
	s.AppendConfirmed(start)
	now := start.Add(7 * time.Second)
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}, now)
	s.Schedule(now)
	c := s.NextCommit(now)
	is.Equal(len(c.Records), 1)
	c.Refused = []string{"job"}
	s.Committed(c, now)
	is.Equal(len(s.TakeEffects().Starts), 0)
	hold, _, _ := s.NextHold(w.Life, now)
	is.Equal(hold.Deadline, 3*time.Second) // The clock reads 2 s, and the leadership ends in one.
	s.Committed(s.NextCommit(now), now)
	state, _ := s.Status("job")
	is.Equal(state, work.Failed)
}
