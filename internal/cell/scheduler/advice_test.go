package scheduler_test

import (
	"fmt"
	"strings"
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

// adviceTestTable has two queues: requests for advice are slow for the queue "long"
// and fast for the queue "short".
var adviceTestTable = &queue.Table{Version: 1, Queues: []queue.Queue{
	{Name: "long", Service: "bench", Priority: 1, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 600 * time.Millisecond, Validity: 2 * time.Second}},
	{Name: "short", Service: "desk", Priority: 2, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 20 * time.Millisecond, Validity: 2 * time.Second}},
}}

// newAdvisedScheduler returns a scheduler with three workers for each of two
// services. Each worker has answered a hold.
func newAdvisedScheduler(now time.Time, vms int) *scheduler.Scheduler {
	return newAdvisedSchedulerSince(now, now, vms)
}

// newAdvisedSchedulerSince is newAdvisedScheduler for a leader that has led since the
// time start.
func newAdvisedSchedulerSince(start, now time.Time, vms int) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, start, start, logr.Discard())
	s.SetTable(adviceTestTable)
	names := make([]string, vms)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%d", i)
	}
	s.SetAdviceVMs(names)
	addHeldWorkers(s, 6, now, "bench", "desk")
	return s
}

// After an outage all jobs request advice at once, the ones with slow requests first.
// The slow requests must not keep all VMs busy.
func TestLongQuestionsLeaveVMsForShortOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := newAdvisedScheduler(now, 8)
	for i := range 10 {
		for _, queueName := range []string{"long", "short"} {
			s.Submit(&work.Job{ID: fmt.Sprintf("%s-%d", queueName, i), Queue: queueName, Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 10 * time.Second}}}, now)
		}
	}
	s.Schedule(now)
	requests := map[string]int{}
	for _, a := range s.TakeEffects().AdviceRequests {
		requests[a.Step.Job[:4]]++
	}
	is.Equal(requests, map[string]int{"long": 4, "shor": 4})
}

// approveAllRequests answers all unanswered requests for advice with tickets for all
// workers named in them. It returns the number of these workers.
func approveAllRequests(s *scheduler.Scheduler, at time.Time) (workers int) {
	for _, a := range s.TakeEffects().AdviceRequests {
		answer := backend.Advice{Tickets: map[string]string{}, Validity: 2 * time.Second}
		for _, id := range a.Workers {
			answer.Tickets[id] = "ticket"
		}
		workers += len(a.Workers)
		s.AdviceAnswered(a.Number, answer, false, at)
	}
	return workers
}

// The store accepts a placement only after its ticket has expired. The worker would
// refuse the start, or not answer it while its failure domain is cut off: the task must
// be placed again instead.
func TestStartIsNotOrderedWithAnExpiredTicket(t *testing.T) {
	scenarios := []struct {
		testName      string
		storedAfter   time.Duration
		orderedStarts int
	}{
		{"the ticket is valid", 1900 * time.Millisecond, 1},
		{"the ticket has expired", 2100 * time.Millisecond, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedScheduler(now, 1)
			s.Submit(&work.Job{ID: "job", Queue: "short", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
			s.Schedule(now)
			is.Equal(approveAllRequests(s, now), 3)
			s.Schedule(now)
			commit := s.NextCommit(now)
			is.True(commit != nil)
			stored := now.Add(sc.storedAfter)
			s.Committed(commit, stored)
			is.Equal(len(s.TakeEffects().Starts), sc.orderedStarts)

			addHeldWorkers(s, 6, stored, "bench", "desk")
			s.Schedule(stored)
			askedAgain := approveAllRequests(s, stored) > 0
			is.Equal(askedAgain, sc.orderedStarts == 0)
		})
	}
}

// A gang needs all three workers of its service, and a request takes a large part of
// the time for which a ticket is valid. All three tickets must be renewed together,
// or they would never all be valid at once.
func TestTicketsOfAGangAreValidAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := newAdvisedScheduler(now, 1)
	s.Submit(&work.Job{ID: "gang", Queue: "long", Accepted: now, Steps: []work.Step{{Count: 3, Gang: true, Size: workerCapacity, Estimate: time.Second}}}, now)
	s.Schedule(now)
	now = now.Add(600 * time.Millisecond)
	is.Equal(approveAllRequests(s, now), 3)
	// The gang cannot start, because the workers have been silent for too long.
	now = now.Add(1500 * time.Millisecond)
	s.Schedule(now)
	is.Equal(approveAllRequests(s, now.Add(600*time.Millisecond)), 3) // The tickets are still valid but would expire before the answer.
}

// A gang needs all its places at once, and the fixed part of each request takes most of
// its duration. Its requests together must name enough workers for the places that it
// lacks, in as few requests as the adviser permits: with small ones, the gangs of a
// burst keep all VMs busy and start seconds later.
func TestRequestsOfAWideGangNameEnoughWorkers(t *testing.T) {
	scenarios := []struct {
		testName string
		gang     bool
		tasks    int
		requests int
		// minWorkers is the smallest number of workers that the requests name together.
		// The adviser is assumed to approve 40 % of them at first, and a worker has one
		// place.
		minWorkers int
	}{
		{"a narrow gang", true, 8, 1, 30},
		{"a gang needs all its places at once", true, 30, 1, 75},
		{"more workers than one request may name", true, 60, 2, 150},
		{"tasks of other steps start one by one", false, 30, 1, 30},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newLargeSimulation()
			l := sm.electLeader()
			sm.runFor(time.Second)
			j := &work.Job{ID: "wide", Queue: "scan", Steps: []work.Step{{Count: sc.tasks, Gang: sc.gang, Size: resource.Vector{Milliprocessors: 62000, Accelerators: 8}, Estimate: 4 * time.Second}}}
			sm.submit(j, fleet.TaskProfile{RunTime: 4 * time.Second})
			sm.runFor(300 * time.Millisecond)
			is.Equal(l.adviceRequestCount, sc.requests)
			is.True(l.adviceWorkerCount >= sc.minWorkers)
		})
	}
}

// Long requests keep the largest permitted share of the VMs busy. Then urgent jobs of
// the same service are submitted, some of them too late to complete in time.
func TestShortQuestionsOfABurst(t *testing.T) {
	table := &queue.Table{Version: 2, Queues: []queue.Queue{
		{Name: "long", Service: "desk", Priority: 2, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 200 * time.Millisecond, Validity: 2 * time.Second}},
		{Name: "short", Service: "desk", Priority: 1, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 20 * time.Millisecond, Validity: 2 * time.Second}},
	}}
	scenarios := []struct {
		testName string
		vms      int
		// ages are the times since the urgent jobs were accepted. A job can still
		// complete in time up to an age of about two seconds.
		ages     []time.Duration
		expected []string
	}{
		{"short requests are not limited by the share of the service", 10, []time.Duration{0, 0, 0, 0}, []string{"short-0", "short-1", "short-2"}},
		{"a job that can still be on time goes first", 8, []time.Duration{1990 * time.Millisecond, 700 * time.Millisecond}, []string{"short-1"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedScheduler(now, sc.vms)
			s.SetTable(table)
			for i := range 10 {
				s.Submit(&work.Job{ID: fmt.Sprintf("long-%d", i), Queue: "long", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 10 * time.Second}}}, now)
			}
			s.Schedule(now)
			s.TakeEffects()
			for i, age := range sc.ages {
				s.Submit(&work.Job{ID: fmt.Sprintf("short-%d", i), Queue: "short", Accepted: now.Add(-age), Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
			}
			if sc.vms == 8 {
				s.SetAdviceVMs([]string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) // Only one VM is still idle.
			}
			s.Schedule(now)
			var requested []string
			for _, a := range s.TakeEffects().AdviceRequests {
				requested = append(requested, a.Step.Job)
			}
			is.Equal(requested, sc.expected)
		})
	}
}

// An urgent job that is submitted between two scheduling passes must be scheduled at
// once. Other jobs wait for the next pass.
func TestUrgentJobsDoNotWaitForAPlan(t *testing.T) {
	scenarios := []struct {
		testName string
		priority int
		expected int
	}{
		{"an urgent job requests advice and is placed at once", 0, 1},
		{"another job waits for the next plan", 1, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedScheduler(now, 1)
			s.SetTable(&queue.Table{Version: 2, Queues: []queue.Queue{
				{Name: "sort", Service: "desk", Priority: sc.priority, Stretch: 2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 20 * time.Millisecond, Validity: 2 * time.Second}},
			}})
			s.Schedule(now)
			s.Submit(&work.Job{ID: "job", Queue: "sort", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}, now)
			is.Equal(approveAllRequests(s, now.Add(20*time.Millisecond)) > 0, sc.expected > 0)
			records := 0
			if c := s.NextCommit(now.Add(20 * time.Millisecond)); c != nil {
				records = len(c.Records)
			}
			is.Equal(records, sc.expected)
		})
	}
}

// After a burst of large jobs, only slow requests wait. They may use every VM that the
// other requests leave idle, since the gangs would otherwise wait for advice while
// capacity is free. Requests of medium length go first as far as the limits allow, and
// VMs stay free for short requests if these have come lately.
func TestIdleVMsAreLentToSlowRequests(t *testing.T) {
	const vms = 20
	cost := func(fixed time.Duration) *queue.AdviceCost {
		return &queue.AdviceCost{Fixed: fixed, Validity: 2 * time.Second}
	}
	table := &queue.Table{Version: 2, Queues: []queue.Queue{
		{Name: "slow", Service: "desk", Priority: 1, Stretch: 4, Objective: time.Second, Advice: cost(600 * time.Millisecond)},
		{Name: "medium", Service: "desk", Priority: 2, Stretch: 4, Objective: time.Second, Advice: cost(200 * time.Millisecond)},
		{Name: "short", Service: "desk", Priority: 0, Stretch: 4, Objective: time.Second, Advice: cost(50 * time.Millisecond)},
	}}
	scenarios := []struct {
		testName string
		// leadsFor is how long the leader has led before the burst.
		leadsFor time.Duration
		// shortBefore is the number of short requests just before the burst. Each
		// keeps a VM busy for 50 ms.
		shortBefore int
		// medium is the number of jobs with medium requests in the burst.
		medium                       int
		expectedSlow, expectedMedium int
	}{
		{"only slow requests wait", 10 * time.Second, 0, 0, 19, 0},
		{"medium requests wait as well", 10 * time.Second, 0, 40, 15, 4},
		{"short requests came lately", 10 * time.Second, 220, 0, 13, 0},
		{"a new leader has observed no short requests yet", time.Second, 0, 0, 14, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedSchedulerSince(now.Add(-sc.leadsFor), now, vms)
			s.SetTable(table)
			var ids []string
			submit := func(queueName string, count int) {
				for range count {
					id := fmt.Sprintf("%s-%d", queueName, len(ids))
					ids = append(ids, id)
					s.Submit(&work.Job{ID: id, Queue: queueName, Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 10 * time.Second}}}, now)
				}
			}
			for range sc.shortBefore {
				submit("short", 1)
				s.Schedule(now)
				is.Equal(approveAllRequests(s, now), 3)
				s.Cancel(ids[len(ids)-1], now) // Its place is free again for the burst.
			}
			submit("slow", 40)
			submit("medium", sc.medium)
			s.Schedule(now)
			requests := map[string]int{}
			for _, a := range s.TakeEffects().AdviceRequests {
				requests[strings.Split(a.Step.Job, "-")[0]]++
			}
			is.Equal(requests["slow"], sc.expectedSlow)
			is.Equal(requests["medium"], sc.expectedMedium)
		})
	}
}

// In a nearly full pool, a wide urgent step collected its places in many small requests,
// one after the other, and was late by the time that they took.
func TestWideStepInANearlyFullPoolCollectedItsPlacesInSmallRequests(t *testing.T) {
	short := queue.AdviceCost{Fixed: 28 * time.Millisecond, PerWorker: 400 * time.Microsecond, Validity: 2 * time.Second}
	scenarios := []struct {
		testName string
		tasks    int
		// places is the number of tasks of the step that each worker has capacity for. The
		// adviser is assumed to approve 40 % of the workers.
		places  int64
		cost    queue.AdviceCost
		workers int
	}{
		{"few tasks", 8, 1, short, 30},
		{"one place on each worker", 29, 1, short, 73},
		{"more places on each worker", 29, 4, short, 30},
		{"more tasks than the adviser permits workers", 60, 1, short, 100},
		{"naming more workers takes longer than another request", 60, 1, queue.AdviceCost{Fixed: 28 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 2 * time.Second}, 44},
		{"slow requests", 60, 1, queue.AdviceCost{Fixed: 180 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 2 * time.Second}, 30},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedScheduler(now, 1)
			s.SetTable(&queue.Table{Version: 2, Queues: []queue.Queue{{Name: "sort", Service: "desk", Stretch: 2, Objective: time.Second, Advice: &sc.cost}}})
			addHeldWorkers(s, 200, now, "desk")
			size := resource.Vector{Milliprocessors: workerCapacity.Milliprocessors / sc.places}
			s.Submit(&work.Job{ID: "wide", Queue: "sort", Accepted: now, Steps: []work.Step{{Count: sc.tasks, Size: size, Estimate: time.Second}}}, now)
			s.Schedule(now)
			requests := s.TakeEffects().AdviceRequests
			is.Equal(len(requests), 1)
			is.Equal(len(requests[0].Workers), sc.workers)
		})
	}
}

// In a full pool, every waiting step asked the adviser again after each answer that
// brought no place, although the steps ahead of it were about to take every place. The
// leader was busy with these requests and placed the tasks late.
func TestWaitingStepsAskedAgainAboutPlacesThatEarlierStepsTake(t *testing.T) {
	const jobs = 5
	scenarios := []struct {
		testName string
		priority int
		// tasks is the number of tasks of each job. The pool has 800 places.
		tasks int
		// betweenPasses and inPass are the numbers of repeated requests.
		betweenPasses, inPass int
	}{
		{"the first job takes every place", 1, 800, 0, 1},
		{"there are places for the first three jobs", 1, 320, 0, 3},
		{"there are places for all jobs", 1, 80, 0, jobs},
		{"urgent jobs of which the first takes every place", 0, 800, 1, 0},
		{"urgent jobs with places for all", 0, 80, jobs, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedScheduler(now, 20)
			s.SetTable(&queue.Table{Version: 2, Queues: []queue.Queue{
				{Name: "sort", Service: "desk", Priority: sc.priority, Stretch: 2, Objective: 10 * time.Second, Advice: &queue.AdviceCost{Fixed: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}},
			}})
			addHeldWorkers(s, 200, now, "desk")
			size := resource.Vector{Milliprocessors: workerCapacity.Milliprocessors / 4}
			for i := range jobs {
				s.Submit(&work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "sort", Accepted: now, Steps: []work.Step{{Count: sc.tasks, Size: size, Estimate: time.Second}}}, now)
			}
			s.Schedule(now)
			requests := s.TakeEffects().AdviceRequests
			is.Equal(len(requests), jobs) // Each step may ask once.
			now = now.Add(70 * time.Millisecond)
			for _, a := range requests {
				s.AdviceAnswered(a.Number, backend.Advice{Validity: 2 * time.Second}, false, now)
			}
			is.Equal(len(s.TakeEffects().AdviceRequests), sc.betweenPasses)
			s.Schedule(now)
			is.Equal(len(s.TakeEffects().AdviceRequests), sc.inPass)
		})
	}
}

// On a busy leader, tickets expired on the way from the answer of the adviser to the
// start: workers refused the starts, and their capacity was held for nothing.
func TestTicketsExpiredOnTheWayThroughABusyLeader(t *testing.T) {
	scenarios := []struct {
		testName string
		// startDelay is the time from the placement of each earlier task to the worker's
		// answer, and answerDelay the time from the adviser's answer to its handling.
		startDelay, answerDelay time.Duration
		// age is the time from the handling of the answer to the scheduling pass.
		age    time.Duration
		placed bool
	}{
		{"an idle leader", 30 * time.Millisecond, 0, 1800 * time.Millisecond, true},
		{"the answer waited", 30 * time.Millisecond, time.Second, 1300 * time.Millisecond, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			s := newAdvisedScheduler(now, 1)
			// run handles a job of one task: its advice is handled and used at the given
			// delays. It returns the start order, if there is one.
			run := func(id string, answerDelay, age, startDelay time.Duration) *scheduler.Order[backend.Start] {
				s.Submit(&work.Job{ID: id, Queue: "short", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 10 * time.Second}}}, now)
				s.Schedule(now)
				now = now.Add(20*time.Millisecond + answerDelay)
				approveAllRequests(s, now)
				now = now.Add(age)
				addHeldWorkers(s, 6, now, "bench", "desk") // The workers have reported just now.
				s.Schedule(now)
				now = now.Add(startDelay)
				c := s.NextCommit(now)
				if c == nil || len(c.Records) == 0 {
					return nil
				}
				s.Committed(c, now)
				starts := s.TakeEffects().Starts
				if len(starts) == 0 {
					return nil
				}
				s.StartAnswered(starts[0].Worker, &starts[0].Order, "", time.Second, now)
				return &starts[0]
			}
			for i := range 15 {
				is.True(run(fmt.Sprintf("earlier-%d", i), 0, 0, sc.startDelay) != nil)
				s.Cancel(fmt.Sprintf("earlier-%d", i), now)
				s.Committed(s.NextCommit(now), now)
				s.TakeEffects()
			}
			is.Equal(run("job", sc.answerDelay, sc.age, 0) != nil, sc.placed)
		})
	}
}
