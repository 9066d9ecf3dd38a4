package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// takenOver returns a scheduler of epoch 5 that has restored a job of two tasks. One is done;
// the other is on the worker.
func takenOver() (*restartTest, *logRecorder) {
	r, log := &restartTest{now: time.Unix(1_700_000_000, 0)}, &logRecorder{}
	r.scheduler = scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 5, r.now, r.now,
		funcr.New(func(_, args string) { log.lines = append(log.lines, args) }, funcr.Options{}))
	r.scheduler.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	r.worker = backend.Registration{Life: backend.Life{ID: "first", Born: 1000}, Service: "desk", Capacity: workerCapacity}
	r.scheduler.SetWorkers([]backend.Registration{r.worker}, r.now)
	job := &work.Job{ID: "job", Queue: "urgent", Accepted: r.now, Steps: []work.Step{{Count: 2, Size: taskSize, Estimate: time.Second}}}
	progress := &work.Progress{State: work.Running, Started: true, Offset: 70, Steps: []work.StepProgress{{Tasks: []work.TaskProgress{
		{Index: 0, Run: 1, Done: true}, {Index: 1, Run: 1, Worker: "first", Born: 1000},
	}}}}
	r.scheduler.Restore(job, progress, r.now)
	r.start.Task, r.start.Run = work.TaskID{StepID: work.StepID{Job: "job"}, Index: 1}, 1
	return r, log
}

func TestLogTellsWhyARestoredTaskRanAgain(t *testing.T) {
	ended := func(r *restartTest, number int64, o backend.Outcome) backend.Report {
		return backend.Report{Ended: []backend.EndedRun{{Number: number, Task: r.start.Task, Run: 1, Outcome: o}}}
	}
	running := func(r *restartTest) backend.Report {
		return backend.Report{Running: []backend.Run{{Task: r.start.Task, Run: 1}}}
	}
	scenarios := []struct {
		testName string
		happens  func(is *is.I, r *restartTest)
		expected []string
	}{
		{"the worker is lost", func(_ *is.I, r *restartTest) {
			r.now = r.now.Add(9 * time.Second)
		}, []string{"how=lapsed", "heard_ms=-1", "first_report=not_heard", "acknowledged=0"}},
		{"the worker no longer lists the run", func(_ *is.I, r *restartTest) {
			r.now = r.now.Add(time.Second)
			r.hold(backend.Report{})
		}, []string{"how=absent", "heard_ms=8000", "first_report=nothing", "acknowledged=0"}},
		{"the first report lists a failure", func(is *is.I, r *restartTest) {
			r.hold(ended(r, 7, backend.Failed))
			c := r.scheduler.NextCommit(r.now)
			c.EndOffset = 81
			r.scheduler.Committed(c, r.now)
			is.Equal(r.hold(backend.Report{}).Acknowledged, int64(7))
		}, []string{"how=ended:failed", "heard_ms=9000", "first_report=ended:failed", "acknowledged=7"}},
		{"the run ends later", func(_ *is.I, r *restartTest) {
			r.hold(running(r))
			r.hold(ended(r, 3, backend.Stopped))
		}, []string{"how=ended:stopped", "first_report=running", "acknowledged=0"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			r, log := takenOver()
			is.True(hasFields(log.of("job_restored")[0], "job=job", "done=1", "on_workers=1", "offset=70"))
			s.happens(is, r)
			r.now = time.Unix(1_700_000_009, 0)
			r.scheduler.Tick(r.now)
			other := backend.Registration{Life: backend.Life{ID: "other", Born: 2000}, Service: "desk", Capacity: workerCapacity}
			r.scheduler.SetWorkers([]backend.Registration{other}, r.now)
			r.worker = other
			r.hold(backend.Report{})
			is.Equal(r.commit(is).Run, int64(2))
			lines := log.of("run_repeated")
			is.Equal(len(lines), 1)
			is.True(hasFields(lines[0], "task=job.0.0.1", "run=2", "earlier_run=1", "earlier_worker=first", "earlier_born=1000",
				"restored=true", "restored_offset=70", "restored_done=1", "restored_worker=first", "restored_born=1000"))
			is.True(hasFields(lines[0], s.expected...))
		})
	}
}

// A run that was stored as placed, but never ordered, is not the run that is named.
func TestLogNamesTheLastOrderedRun(t *testing.T) {
	is := is.New(t)
	r, log := takenOver()
	r.hold(backend.Report{})
	r.scheduler.Schedule(r.now)
	c := r.scheduler.NextCommit(r.now)
	r.now = r.now.Add(4 * time.Second)
	r.scheduler.Committed(c, r.now)
	is.Equal(len(log.of("start_withdrawn")), 1)
	r.hold(backend.Report{})
	is.Equal(r.commit(is).Run, int64(3))
	is.Equal(len(log.of("run_repeated")), 1)
	is.True(hasFields(log.of("run_repeated")[0], "run=3", "how=absent", "earlier_run=1", "earlier_worker=first"))
}

func TestJobWithoutProgressIsLoggedAsRestored(t *testing.T) {
	is := is.New(t)
	r, log := takenOver()
	r.scheduler.Restore(&work.Job{ID: "new", Queue: "urgent", Accepted: r.now, Steps: []work.Step{{Count: 1, Size: taskSize}}}, nil, r.now)
	is.True(hasFields(log.of("job_restored")[1], "job=new", "tasks=0", "offset=-1"))
}

func TestLogTellsWhichEndsAreStored(t *testing.T) {
	is := is.New(t)
	r, log := takenOver()
	r.hold(backend.Report{Running: []backend.Run{{Task: r.start.Task, Run: 1}}})
	is.Equal(len(log.of("ends_stored")), 0)
	r.hold(backend.Report{Ended: []backend.EndedRun{{Number: 7, Task: r.start.Task, Run: 1, Outcome: backend.Done}}})
	c := r.scheduler.NextCommit(r.now)
	c.EndOffset = 81
	is.Equal(len(log.of("ends_stored")), 0)
	r.scheduler.Committed(c, r.now)
	is.Equal(len(log.of("ends_stored")), 1)
	is.True(hasFields(log.of("ends_stored")[0], "epoch=5", "offset=81", fmt.Sprintf("records=%d", len(c.Records)), "final_states=1", "workers=1", "unnamed=0", "ends=first:7"))

	// The end of a run that this leader does not know needs no record.
	r.hold(backend.Report{Ended: []backend.EndedRun{{Number: 8, Task: work.TaskID{StepID: work.StepID{Job: "gone"}}, Run: 1, Outcome: backend.Done}}})
	r.scheduler.Committed(r.scheduler.NextCommit(r.now), r.now)
	is.Equal(len(log.of("ends_stored")), 2)
	is.True(hasFields(log.of("ends_stored")[1], "offset=-1", "records=0", "final_states=0", "ends=first:8"))
}

func TestLineOfStoredEndsIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s, list, log := largeFleetScheduler(now)
	s.SetWorkers(list, now)
	for i := range list {
		_, sent, _ := s.NextHold(list[i].Life, now)
		s.HoldAnswered(list[i].Life, sent, &backend.Report{Life: list[i].Life, Clock: time.Second, Ended: []backend.EndedRun{
			{Number: 1_000_000, Task: work.TaskID{StepID: work.StepID{Job: "gone"}, Index: i}, Run: 1, Outcome: backend.Done},
		}}, now)
	}
	s.Committed(s.NextCommit(now), now)
	lines := log.of("ends_stored")
	is.Equal(len(lines), 1)
	is.True(hasFields(lines[0], "workers=1100", "unnamed=1000"))
	is.True(len(lines[0]) < 4096)
}

// Each start of a task that had a run before is followed by the line about that run.
func TestEachRepeatedStartIsExplained(t *testing.T) {
	is := is.New(t)
	repeated := 0
	for seed := range uint64(5) {
		sm := newSimulation(seed, faultProbabilities{lostAnswerProbability: 0.05, lateCallProbability: 0.03})
		log := sm.recordLog()
		sm.addWorkers(12, workerCapacity)
		sm.electLeader()
		sm.addJobs(20)
		sm.restartWorkers(4)
		sm.restartLeaders(3)
		sm.runFor(time.Minute)
		for i, l := range log.lines {
			if hasFields(l, "msg=start_ordered") && !hasFields(l, "run=1") {
				is.True(hasFields(log.lines[i+1], "msg=run_repeated"))
				repeated++
			}
		}
		is.Equal(len(sm.violations), 0)
	}
	is.True(repeated > 20)
}
