package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

func TestLedgerNoticesBrokenPromises(t *testing.T) {
	const id = "job"
	now := time.Unix(1_700_000_000, 0)
	first, second := taskID(id, 0, 0), taskID(id, 1, 0)
	start := func(l *ledger, w *fleet.Worker, task work.TaskID) {
		w.Start(backend.Start{Task: task, Run: int64(l.starts + 1), Deadline: 5 * time.Second}, now)
	}
	finish := func(l *ledger, w *fleet.Worker, task work.TaskID) {
		l.Ended(w, backend.EndedRun{Task: task, Outcome: backend.Done}, now)
	}
	scenarios := []struct {
		testName string
		act      func(l *ledger, a, b *fleet.Worker)
		expected string
	}{
		{"a whole life", func(l *ledger, a, b *fleet.Worker) {
			l.accepted(id, now)
			start(l, a, first)
			finish(l, a, first)
			start(l, b, second)
			finish(l, b, second)
			l.shown("vm", id, work.Completed, now)
			l.pendingShown("vm", 0, now.Add(time.Minute))
		}, ""},
		{"completed too early", func(l *ledger, a, _ *fleet.Worker) {
			start(l, a, first)
			finish(l, a, first)
			l.shown("vm", id, work.Completed, now)
		}, "states are true"},
		{"no state", func(l *ledger, _, _ *fleet.Worker) { l.shown("vm", id, "", now) }, "states are true"},
		{"cancelled by nobody", func(l *ledger, _, _ *fleet.Worker) { l.shown("vm", id, work.Cancelled, now) }, "states are true"},
		{"two runs", func(l *ledger, a, b *fleet.Worker) { start(l, a, first); start(l, b, first) }, "no task runs twice"},
		{"a run after the end", func(l *ledger, a, b *fleet.Worker) {
			start(l, a, first)
			finish(l, a, first)
			l.Acknowledged(a, backend.EndedRun{Task: first, Outcome: backend.Done}, now)
			start(l, b, first)
		}, "no task runs twice"},
		{"a step too early", func(l *ledger, a, _ *fleet.Worker) { start(l, a, second) }, "steps run in order"},
		{"a refused job runs", func(l *ledger, a, _ *fleet.Worker) { l.rejected(id); start(l, a, first) }, "refused jobs never run"},
		{"a job is refused after its start", func(l *ledger, a, _ *fleet.Worker) { start(l, a, first); l.rejected(id) }, "refused jobs never run"},
		{"a job that nobody submitted", func(l *ledger, a, _ *fleet.Worker) { start(l, a, taskID("other", 0, 0)) }, "only submitted jobs run"},
		{"too many tasks", func(l *ledger, a, _ *fleet.Worker) {
			a.Registration.Capacity.Milliprocessors = 10
			start(l, a, first)
		}, "no worker is overloaded"},
		{"an accepted job is unknown", func(l *ledger, _, _ *fleet.Worker) {
			l.accepted(id, now)
			l.unknown("vm", id, now.Add(visibilityLimit+time.Millisecond))
		}, "accepted jobs are known"},
		{"a waiting job is not counted", func(l *ledger, _, _ *fleet.Worker) {
			l.accepted(id, now)
			l.pendingShown("vm", 0, now.Add(visibilityLimit+maxPendingAge+time.Millisecond))
		}, "pending jobs are counted"},
		{"a new job need not be counted", func(l *ledger, _, _ *fleet.Worker) {
			l.accepted(id, now)
			l.pendingShown("vm", 0, now.Add(visibilityLimit+maxPendingAge))
		}, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			l := newLedger()
			size := resource.Vector{Milliprocessors: 100}
			l.submitting(&work.Job{ID: id, Steps: []work.Step{{Count: 1, Size: size}, {Count: 1, Size: size, After: []int{0}}}})
			newWorker := func(name string) *fleet.Worker {
				r := backend.Registration{Life: backend.Life{ID: name}, Capacity: resource.Vector{Milliprocessors: 1000}}
				return fleet.New(r, 1, now, func(work.TaskID) fleet.TaskProfile { return fleet.TaskProfile{Size: size, RunTime: time.Second} }, l)
			}
			s.act(l, newWorker("a"), newWorker("b"))
			if s.expected == "" {
				is.Equal(len(l.violations), 0)
				return
			}
			is.Equal(len(l.violations), 1)
			is.True(strings.HasPrefix(l.violations[0], s.expected))
		})
	}
}
