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

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

func spec(tasks int) *job.Spec {
	s := &job.Spec{}
	for range tasks {
		s.Tasks = append(s.Tasks, request.Spec{Plan: "p"})
	}
	return s
}

func holder(n int) job.Holder {
	return job.Holder{Name: fmt.Sprintf("e%d", n%3), Incarnation: uint64(n)}
}

// TestTablesAgree applies a random row of records, some of them twice and some
// by former holders, to tables that read at different paces. All agree, each
// task has one outcome, and only holders of the moment write it.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var log []logservice.Record
		add := func(r job.Record) {
			log = append(log, logservice.Record{Offset: uint64(len(log) + 1), Data: r.Encode()})
		}
		a, b := job.New(), job.New()
		held := map[string]job.Holder{}
		ended := map[string]string{}
		for i := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			id := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(rt, "job"))
			by := holder(rapid.IntRange(0, 5).Draw(rt, "by"))
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				add(job.Record{Action: job.Accepted, By: by, Job: id, Spec: spec(3)})
				if _, known := held[id]; !known {
					held[id] = by
				}
			case 1, 2:
				task := rapid.IntRange(0, 2).Draw(rt, "task")
				o := &request.Outcome{ID: fmt.Sprint(i), State: request.Done}
				add(job.Record{Action: job.TaskEnded, By: by, Job: id, Task: task, Outcome: o})
				name := job.TaskID(id, task)
				if _, done := ended[name]; !done && held[id] == by {
					ended[name] = o.ID
				}
			case 3:
				from := holder(rapid.IntRange(0, 5).Draw(rt, "from"))
				add(job.Record{Action: job.TakenOver, By: by, From: &from})
				for k, h := range held {
					if h == from && !isDone(k, ended) {
						held[k] = by
					}
				}
			}
			if rapid.Bool().Draw(rt, "twice") {
				log = append(log, logservice.Record{Offset: uint64(len(log) + 1), Data: log[len(log)-1].Data})
			}
			if rapid.Bool().Draw(rt, "read") {
				apply(rt, a, log)
			}
		}
		apply(rt, a, log)
		apply(rt, b, log)
		for id, h := range held {
			x, y := a.Job(id), b.Job(id)
			if x.Holder != y.Holder || x.Generation != y.Generation || x.Left != y.Left {
				rt.Fatalf("tables differ on %s: %+v and %+v", id, x, y)
			}
			if x.Holder != h {
				rt.Fatalf("job %s is held by %v, the model says %v", id, x.Holder, h)
			}
			for i, o := range x.Outcomes {
				if want := ended[job.TaskID(id, i)]; o == nil && want != "" || o != nil && o.ID != want {
					rt.Fatalf("task %d of %s has outcome %v, the model says %q", i, id, o, want)
				}
			}
		}
	})
}

func isDone(id string, ended map[string]string) bool {
	for i := range 3 {
		if ended[job.TaskID(id, i)] == "" {
			return false
		}
	}
	return true
}

func apply(rt *rapid.T, t *job.Table, log []logservice.Record) {
	for _, r := range log[t.Read():] {
		if err := t.Apply(r); err != nil {
			rt.Fatal(err)
		}
	}
}

func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	table := job.New()
	is.True(table.Apply(logservice.Record{Offset: 1, Data: []byte("{")}) != nil)
	is.NoErr(table.Apply(logservice.Record{Offset: 2, Data: job.Record{Action: job.Accepted, Job: "j", Spec: spec(1)}.Encode()}))
	is.Equal(table.Len(), 1)
}

func TestRepeatedJobOutlivesTheRetention(t *testing.T) {
	is := is.New(t)
	a, b := holder(1), holder(2)
	whole := job.New()
	put := func(t *job.Table, offset uint64, r job.Record) {
		is.NoErr(t.Apply(logservice.Record{Offset: offset, Data: r.Encode()}))
	}
	put(whole, 1, job.Record{Action: job.Accepted, By: a, Job: "j", Spec: spec(2)})
	put(whole, 2, job.Record{Action: job.TaskEnded, By: a, Job: "j", Task: 1, Outcome: &request.Outcome{State: request.Done}})
	repeated := whole.Repetitions(a)
	is.Equal(len(repeated), 1)

	late := job.New()
	put(late, 3, repeated[0])
	is.Equal(late.Job("j").Holder, a)
	is.Equal(late.Job("j").Left, 1)

	// A takeover that the writer had not seen makes its view useless.
	misled := job.New()
	put(misled, 3, job.Record{Action: job.TakenOver, By: b, From: &a})
	put(misled, 4, repeated[0])
	is.Equal(misled.Job("j"), nil)

	put(whole, 3, repeated[0])
	is.Equal(whole.Job("j").Left, 1)
}

func TestStartedTasksAreRemembered(t *testing.T) {
	is := is.New(t)
	a, b := holder(1), holder(2)
	table := job.New()
	for i, r := range []job.Record{
		{Action: job.Accepted, By: a, Job: "j", Spec: spec(3)},
		{Action: job.TaskStarted, By: a, Job: "j", Task: 1, At: begin},
		{Action: job.TakenOver, By: b, From: &a},
		{Action: job.TaskStarted, By: a, Job: "j", Task: 2, At: begin},
		{Action: job.TaskStarted, By: b, Job: "j", Task: 9, At: begin},
		{Action: job.TaskStarted, By: b, Job: "j", Task: 1, At: begin.Add(time.Hour)},
	} {
		is.NoErr(table.Apply(logservice.Record{Offset: uint64(i + 1), Data: r.Encode()}))
	}
	is.Equal(table.Job("j").Started, []time.Time{{}, begin, {}})
	is.Equal(table.Repetitions(b)[0].Started, []time.Time{{}, begin, {}})
}
