package job_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/state/job"
)

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

// newSpec returns a job spec with taskCount tasks.
func newSpec(taskCount int) *job.Spec {
	s := &job.Spec{}
	for range taskCount {
		s.Tasks = append(s.Tasks, request.Spec{Plan: "p"})
	}
	return s
}

// newHolder returns the holder with incarnation n. Some holders have the same name
// and differ only in their incarnation, like successive processes of one entry VM.
func newHolder(n int) job.Holder {
	return job.Holder{Name: fmt.Sprintf("e%d", n%3), Incarnation: uint64(n)}
}

// TestTablesAgree appends random records to a log, some of them twice and some by
// former holders. One table applies them step by step, another all at once. The
// test fails if the tables differ, if a task gets a second outcome, or if a record
// of a process that does not hold the job takes effect.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var log []logservice.Record
		appendRecord := func(r job.Record) {
			log = append(log, logservice.Record{Offset: uint64(len(log) + 1), Data: r.Encode()})
		}
		incremental, atOnce := job.New(), job.New()
		holders := map[string]job.Holder{}
		outcomeIDs := map[string]string{}
		for i := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			id := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(rt, "job"))
			by := newHolder(rapid.IntRange(0, 5).Draw(rt, "by"))
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				appendRecord(job.Record{Action: job.Accepted, By: by, Job: id, Spec: newSpec(3)})
				if _, known := holders[id]; !known {
					holders[id] = by
				}
			case 1, 2:
				task := rapid.IntRange(0, 2).Draw(rt, "task")
				o := &request.Outcome{ID: fmt.Sprint(i), State: request.Done}
				appendRecord(job.Record{Action: job.TaskEnded, By: by, Job: id, TaskIndex: task, Outcome: o})
				taskID := job.TaskID(id, task)
				if _, done := outcomeIDs[taskID]; !done && holders[id] == by {
					outcomeIDs[taskID] = o.ID
				}
			case 3:
				from := newHolder(rapid.IntRange(0, 5).Draw(rt, "from"))
				appendRecord(job.Record{Action: job.TakenOver, By: by, FormerHolder: &from})
				for k, h := range holders {
					if h == from && !hasEnded(k, outcomeIDs) {
						holders[k] = by
					}
				}
			}
			if rapid.Bool().Draw(rt, "twice") {
				log = append(log, logservice.Record{Offset: uint64(len(log) + 1), Data: log[len(log)-1].Data})
			}
			if rapid.Bool().Draw(rt, "read") {
				applyUnreadRecords(rt, incremental, log)
			}
		}
		applyUnreadRecords(rt, incremental, log)
		applyUnreadRecords(rt, atOnce, log)
		for id, h := range holders {
			first, second := incremental.Job(id), atOnce.Job(id)
			if first.Holder != second.Holder || first.Generation != second.Generation || first.PendingTasks != second.PendingTasks {
				rt.Fatalf("tables differ on %s: %+v and %+v", id, first, second)
			}
			if first.Holder != h {
				rt.Fatalf("job %s is held by %v, the model expects %v", id, first.Holder, h)
			}
			for i, o := range first.Outcomes {
				if want := outcomeIDs[job.TaskID(id, i)]; o == nil && want != "" || o != nil && o.ID != want {
					rt.Fatalf("task %d of %s has outcome %v, the model expects %q", i, id, o, want)
				}
			}
		}
	})
}

// hasEnded reports whether all tasks of a job have an outcome in the model.
func hasEnded(jobID string, outcomeIDs map[string]string) bool {
	for i := range 3 {
		if outcomeIDs[job.TaskID(jobID, i)] == "" {
			return false
		}
	}
	return true
}

// applyUnreadRecords applies the records of the log that the table has not read yet.
func applyUnreadRecords(rt *rapid.T, t *job.Table, log []logservice.Record) {
	for _, r := range log[t.AppliedOffset():] {
		if err := t.Apply(r); err != nil {
			rt.Fatal(err)
		}
	}
}

func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	table := job.New()
	is.True(table.Apply(logservice.Record{Offset: 1, Data: []byte("{")}) != nil)
	is.NoErr(table.Apply(logservice.Record{Offset: 2, Data: job.Record{Action: job.Accepted, Job: "j", Spec: newSpec(1)}.Encode()}))
	is.Equal(table.Len(), 1)
}

// TestRepeatedJobOutlivesTheRetention guards against losing an unfinished job when
// the log drops its first record: a reader that starts later gets the job from a
// snapshot.
func TestRepeatedJobOutlivesTheRetention(t *testing.T) {
	is := is.New(t)
	a, b := newHolder(1), newHolder(2)
	complete := job.New()
	apply := func(t *job.Table, offset uint64, r job.Record) {
		is.NoErr(t.Apply(logservice.Record{Offset: offset, Data: r.Encode()}))
	}
	apply(complete, 1, job.Record{Action: job.Accepted, By: a, Job: "j", Spec: newSpec(2)})
	apply(complete, 2, job.Record{Action: job.TaskEnded, By: a, Job: "j", TaskIndex: 1, Outcome: &request.Outcome{State: request.Done}})
	snapshots := complete.Snapshots(a)
	is.Equal(len(snapshots), 1)

	fromSnapshot := job.New()
	apply(fromSnapshot, 3, snapshots[0])
	is.Equal(fromSnapshot.Job("j").Holder, a)
	is.Equal(fromSnapshot.Job("j").PendingTasks, 1)

	// The writer of the snapshot had not read the takeover, so the snapshot names
	// the former holder and is ignored.
	withTakeover := job.New()
	apply(withTakeover, 3, job.Record{Action: job.TakenOver, By: b, FormerHolder: &a})
	apply(withTakeover, 4, snapshots[0])
	is.Equal(withTakeover.Job("j"), nil)

	apply(complete, 3, snapshots[0])
	is.Equal(complete.Job("j").PendingTasks, 1)
}

// TestStartedTasksAreRemembered guards against running a non-repeatable task twice
// after a takeover: the first start time survives takeovers and snapshots, and
// starts written by former holders or for unknown tasks are ignored.
func TestStartedTasksAreRemembered(t *testing.T) {
	is := is.New(t)
	a, b := newHolder(1), newHolder(2)
	table := job.New()
	for i, r := range []job.Record{
		{Action: job.Accepted, By: a, Job: "j", Spec: newSpec(3)},
		{Action: job.TaskStarted, By: a, Job: "j", TaskIndex: 1, StartedAt: baseTime},
		{Action: job.TakenOver, By: b, FormerHolder: &a},
		{Action: job.TaskStarted, By: a, Job: "j", TaskIndex: 2, StartedAt: baseTime},
		{Action: job.TaskStarted, By: b, Job: "j", TaskIndex: 9, StartedAt: baseTime},
		{Action: job.TaskStarted, By: b, Job: "j", TaskIndex: 1, StartedAt: baseTime.Add(time.Hour)},
	} {
		is.NoErr(table.Apply(logservice.Record{Offset: uint64(i + 1), Data: r.Encode()}))
	}
	is.Equal(table.Job("j").StartTimes, []time.Time{{}, baseTime, {}})
	is.Equal(table.Snapshots(b)[0].StartTimes, []time.Time{{}, baseTime, {}})
}
