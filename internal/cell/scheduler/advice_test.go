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
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// adviceTable has a queue whose questions are short and one whose are long.
var adviceTable = &queue.Table{Version: 1, Queues: []queue.Queue{
	{Name: "long", Service: "bench", Priority: 1, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 600 * time.Millisecond, Validity: 2 * time.Second}},
	{Name: "short", Service: "desk", Priority: 2, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 20 * time.Millisecond, Validity: 2 * time.Second}},
}}

// askingScheduler returns a scheduler with workers of both services, on which every
// worker has answered a hold.
func askingScheduler(now time.Time, advisers int) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, Right: 8 * time.Second, HoldWait: time.Second, Retention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(adviceTable)
	names := make([]string, advisers)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%d", i)
	}
	s.SetAdvisers(names)
	heldWorkers(s, 6, now, "bench", "desk")
	return s
}

// After an outage all jobs ask at once, the long questions first.
func TestLongQuestionsLeaveVMsForShortOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := askingScheduler(now, 8)
	for i := range 10 {
		for _, queueName := range []string{"long", "short"} {
			s.Submit(&work.Job{ID: fmt.Sprintf("%s-%d", queueName, i), Queue: queueName, Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 10 * time.Second}}}, now)
		}
	}
	s.Plan(now)
	asks := map[string]int{}
	for _, a := range s.Take().Asks {
		asks[a.Step.Job[:4]]++
	}
	is.Equal(asks, map[string]int{"long": 4, "shor": 4})
}

// answerAsks answers the open questions with tickets for all workers.
func answerAsks(s *scheduler.Scheduler, at time.Time) (asked int) {
	for _, a := range s.Take().Asks {
		answer := backend.Advice{Tickets: map[string]string{}, Validity: 2 * time.Second}
		for _, id := range a.Workers {
			answer.Tickets[id] = "ticket"
		}
		asked += len(a.Workers)
		s.AdviceAnswered(a.Number, answer, false, at)
	}
	return asked
}

// The three workers of a service are full until now; a gang of three waits for them,
// and questions take most of the time for which a ticket is valid.
func TestTicketsOfAGangAreValidAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := askingScheduler(now, 1)
	s.Submit(&work.Job{ID: "gang", Queue: "long", Accepted: now, Steps: []work.Step{{Count: 3, Gang: true, Size: workerSize, Estimate: time.Second}}}, now)
	s.Plan(now)
	now = now.Add(600 * time.Millisecond)
	is.Equal(answerAsks(s, now), 3)
	// The workers are silent for a while, so the gang can not start.
	now = now.Add(1500 * time.Millisecond)
	s.Plan(now)
	is.Equal(answerAsks(s, now.Add(600*time.Millisecond)), 3) // They would expire before the answer.
}

// A gang needs more good workers than one question brings.
func TestQuestionsForAWideGangGoSideBySide(t *testing.T) {
	scenarios := []struct {
		testName string
		gang     bool
		expected int
	}{
		{"a gang needs all its places at once", true, 3},
		{"other tasks start one by one", false, 1},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			w := largeWorld()
			l := w.elect()
			w.run(time.Second)
			j := &work.Job{ID: "wide", Queue: "scan", Steps: []work.Step{{Count: 30, Gang: sc.gang, Size: resource.Vector{Milliprocessors: 62000, Accelerators: 8}, Estimate: 4 * time.Second}}}
			w.submit(j, fleet.Demand{RunTime: 4 * time.Second})
			w.run(300 * time.Millisecond)
			is.Equal(l.asks, sc.expected)
		})
	}
}

// Long questions have used up their share of the VMs; urgent jobs of the same service
// come, some of them too late to be on time.
func TestShortQuestionsOfABurst(t *testing.T) {
	table := &queue.Table{Version: 2, Queues: []queue.Queue{
		{Name: "long", Service: "desk", Priority: 2, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 200 * time.Millisecond, Validity: 2 * time.Second}},
		{Name: "short", Service: "desk", Priority: 1, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 20 * time.Millisecond, Validity: 2 * time.Second}},
	}}
	scenarios := []struct {
		testName string
		vms      int
		// ages are those of the urgent jobs, which are on time up to two seconds.
		ages     []time.Duration
		expected []string
	}{
		{"they use the VMs that are left", 10, []time.Duration{0, 0, 0, 0}, []string{"short-0", "short-1", "short-2"}},
		{"a job that can still be on time goes first", 8, []time.Duration{1990 * time.Millisecond, 700 * time.Millisecond}, []string{"short-1"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := askingScheduler(now, sc.vms)
			s.SetTable(table)
			for i := range 10 {
				s.Submit(&work.Job{ID: fmt.Sprintf("long-%d", i), Queue: "long", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 10 * time.Second}}}, now)
			}
			s.Plan(now)
			s.Take()
			for i, age := range sc.ages {
				s.Submit(&work.Job{ID: fmt.Sprintf("short-%d", i), Queue: "short", Accepted: now.Add(-age), Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
			}
			if sc.vms == 8 {
				s.SetAdvisers([]string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) // One of them is idle.
			}
			s.Plan(now)
			var asked []string
			for _, a := range s.Take().Asks {
				asked = append(asked, a.Step.Job)
			}
			is.Equal(asked, sc.expected)
		})
	}
}

// An urgent job comes between two plans; another one does not hurry.
func TestUrgentJobsDoNotWaitForAPlan(t *testing.T) {
	scenarios := []struct {
		testName string
		priority int
		expected int
	}{
		{"an urgent job asks and starts at once", 0, 1},
		{"another waits for the next plan", 1, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := askingScheduler(now, 1)
			s.SetTable(&queue.Table{Version: 2, Queues: []queue.Queue{
				{Name: "sort", Service: "desk", Priority: sc.priority, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 20 * time.Millisecond, Validity: 2 * time.Second}},
			}})
			s.Plan(now)
			s.Submit(&work.Job{ID: "job", Queue: "sort", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
			is.Equal(answerAsks(s, now.Add(20*time.Millisecond)) > 0, sc.expected > 0)
			records := 0
			if c := s.NextCommit(now.Add(20 * time.Millisecond)); c != nil {
				records = len(c.Records)
			}
			is.Equal(records, sc.expected)
		})
	}
}
