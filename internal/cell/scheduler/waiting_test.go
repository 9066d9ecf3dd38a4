package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// linesOf collects the log lines of one event.
type linesOf struct {
	event string
	lines []string
}

func (l *linesOf) write(_, args string) {
	if strings.Contains(args, `"msg"="`+l.event+`"`) {
		l.lines = append(l.lines, args)
	}
}

// take returns the lines since the last call.
func (l *linesOf) take() []string {
	lines := l.lines
	l.lines = nil
	return lines
}

func newLoggedScheduler(l *linesOf, now time.Time) *scheduler.Scheduler {
	log := funcr.New(l.write, funcr.Options{})
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, log)
	s.SetTable(adviceTestTable)
	addHeldWorkers(s, 6, now, "bench", "desk")
	return s
}

// Sums by queue and reason did not tell which of the accepted jobs never ran.
func TestWaitingStepIsNamedWithItsReason(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	lines := &linesOf{event: "step_waiting"}
	s := newLoggedScheduler(lines, now)
	s.Submit(&work.Job{ID: "job", Queue: "short", Accepted: now, Steps: []work.Step{{Count: 2, Size: taskSize, Estimate: time.Second}}}, now)
	pass := func() {
		now = now.Add(2 * time.Second)
		addHeldWorkers(s, 6, now, "bench", "desk")
		s.Schedule(now)
		s.Tick(now)
	}
	pass()
	pass()
	is.Equal(len(lines.take()), 0) // It has not waited for long.
	pass()
	named := lines.take()
	is.Equal(len(named), 1)
	is.True(strings.Contains(named[0], `"job"="job"`) && strings.Contains(named[0], `"reason"="not_asked"`))
	pass()
	is.Equal(len(lines.take()), 0) // The reason has not changed.

	s.SetAdviceVMs([]string{"vm-0"})
	s.Schedule(now)
	for _, a := range s.TakeEffects().AdviceRequests {
		s.AdviceAnswered(a.Number, backend.Advice{Validity: 2 * time.Second}, false, now)
	}
	pass()
	named = lines.take()
	is.Equal(len(named), 1)
	is.True(strings.Contains(named[0], `"reason"="no_worker"`))
}

// A backlog must not fill the log.
func TestLinesAboutWaitingStepsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	lines := &linesOf{event: "step_waiting"}
	s := newLoggedScheduler(lines, now)
	for i := range 10_000 {
		s.Submit(&work.Job{ID: fmt.Sprintf("job-%05d", i), Queue: "short", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
	}
	named := map[string]bool{}
	for range 6 {
		now = now.Add(2 * time.Second)
		s.Tick(now)
		list := lines.take()
		is.True(len(list) <= 20)
		for _, l := range list {
			named[l] = true
		}
	}
	is.Equal(len(named), 4*20) // Each interval names others.
}

// A start that nobody answers keeps its task from running, but the step does not count as
// waiting.
func TestUnsettledStartIsNamed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	lines := &linesOf{event: "task_unsettled"}
	s := newLoggedScheduler(lines, now)
	s.SetAdviceVMs([]string{"vm-0"})
	s.Submit(&work.Job{ID: "job", Queue: "short", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
	s.Schedule(now)
	is.Equal(approveAllRequests(s, now), 3)
	s.Schedule(now)
	s.Committed(s.NextCommit(now), now)
	is.Equal(len(s.TakeEffects().Starts), 1)
	for range 3 {
		now = now.Add(2 * time.Second)
		s.Tick(now)
	}
	named := lines.take()
	is.Equal(len(named), 1)
	is.True(strings.Contains(named[0], `"phase"="start_ordered"`))
}

// A change of the list of workers made all of them look unready until the next scheduling pass.
func TestReasonOfAWaitIsKnownAfterTheListChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	lines := &linesOf{event: "step_waiting"}
	s := newLoggedScheduler(lines, now)
	s.Submit(&work.Job{ID: "job", Queue: "short", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
	for range 3 {
		now = now.Add(2 * time.Second)
		list := addHeldWorkers(s, 6, now, "bench", "desk")
		s.Schedule(now)
		s.SetWorkers(list[:5], now)
		s.Tick(now)
	}
	named := lines.take()
	is.Equal(len(named), 1)
	is.True(strings.Contains(named[0], `"reason"="not_asked"`) && strings.Contains(named[0], `"ready"=2`))
}
