package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/decide/placement"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

var (
	startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	capacity  = resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 8192, Slots: 8, Connections: 64}
	unitSize  = resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1024, Slots: 1, Connections: 1}
)

func newEntitlement(name string, promised float64) plan.Entitlement {
	return plan.Entitlement{Plan: name, PromisedShare: promised, LimitShare: 1, QueueLimit: 1000, Classes: plan.Classes[:]}
}

// newPlanIndex returns an index of the entitlements in which each plan belongs
// to a customer of its own.
func newPlanIndex(t testing.TB, entitlements ...plan.Entitlement) *plan.Index {
	t.Helper()
	var l plan.Lists
	for _, e := range entitlements {
		l.Customers.Customers = append(l.Customers.Customers, plan.Customer{Name: "c-" + e.Plan, Plans: []string{e.Plan}})
		l.Entitlements.Plans = append(l.Entitlements.Plans, e)
	}
	x, err := plan.NewIndex(l)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// newAllocator returns an allocator with this number of empty workers, four per
// rack.
func newAllocator(t testing.TB, workers int, entitlements ...plan.Entitlement) *allocator.Allocator {
	t.Helper()
	a := allocator.New(placement.Balanced{}, allocator.Limits{Waiting: 10_000})
	a.SetPlans(newPlanIndex(t, entitlements...))
	for i := range workers {
		if err := a.AddWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/4), capacity, nil); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

func newTask(id, plan string, class plan.Class) *allocator.Task {
	return &allocator.Task{Attempt: id, Plan: plan, Class: class, Size: unitSize, Repeatable: true, RunTime: time.Second}
}

func enqueue(t testing.TB, a *allocator.Allocator, now time.Time, tasks ...*allocator.Task) {
	t.Helper()
	for _, k := range tasks {
		if _, err := a.Enqueue(now, k); err != nil {
			t.Fatal(err)
		}
	}
}

// startAllPlaceableTasks calls Next until no waiting task can start, and returns the
// assignments.
func startAllPlaceableTasks(a *allocator.Allocator, now time.Time) []allocator.Assignment {
	var out []allocator.Assignment
	for {
		d, ok := a.Next(now)
		if !ok {
			return out
		}
		out = append(out, d)
	}
}

func TestEnqueueRefusesWithAReason(t *testing.T) {
	limited := newEntitlement("limited", 0.5)
	limited.MaxTask = resource.Vector{Milliprocessors: 500, MemoryMebibytes: 512, Slots: 1, Connections: 1}
	limited.Classes = []plan.Class{plan.Normal}
	limited.QueueLimit = 1
	scenarios := []struct {
		testName string
		change   func(k *allocator.Task)
		expected allocator.Kind
	}{
		{"unknown plan", func(k *allocator.Task) { k.Plan = "nobody" }, allocator.KindUnknownPlan},
		{"class not allowed", func(k *allocator.Task) { k.Class = plan.Urgent }, allocator.KindClassNotAllowed},
		{"unknown class", func(k *allocator.Task) { k.Class = "soon" }, allocator.KindClassNotAllowed},
		{"larger than every worker", func(k *allocator.Task) { k.Size.Milliprocessors = 9000 }, allocator.KindTooLarge},
		{"accelerator that no worker has", func(k *allocator.Task) { k.Size.Accelerators = 1 }, allocator.KindTooLarge},
		{"above the plan's limit", func(k *allocator.Task) { k.Size = unitSize }, allocator.KindPlanLimit},
		{"deadline before the task can complete", func(k *allocator.Task) { k.Deadline = startTime.Add(time.Millisecond) }, allocator.KindDeadlineUnreachable},
		{"duplicate attempt", func(k *allocator.Task) { k.Attempt = "first" }, allocator.KindDuplicate},
		{"full queue", func(*allocator.Task) {}, allocator.KindQueueFull},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			a := newAllocator(t, 1, limited)
			first := newTask("first", "limited", plan.Normal)
			first.Size = limited.MaxTask
			enqueue(t, a, startTime, first)
			k := newTask("second", "limited", plan.Normal)
			k.Size = limited.MaxTask
			s.change(k)
			_, err := a.Enqueue(startTime, k)
			is.Equal(fault.KindOf[allocator.Kind](err), s.expected)
			is.Equal(a.WaitingCount(), 1)
		})
	}
}

func TestPromiseIsTakenBackFromABorrower(t *testing.T) {
	is := is.New(t)
	a := newAllocator(t, 2, newEntitlement("lender", 0.5), newEntitlement("borrower", 0.25))
	for i := range 40 {
		enqueue(t, a, startTime, newTask(fmt.Sprintf("b%d", i), "borrower", plan.Overnight))
	}
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 16)
	for i := range 12 {
		enqueue(t, a, startTime, newTask(fmt.Sprintf("l%d", i), "lender", plan.Normal))
	}
	for range 20 {
		startAllPlaceableTasks(a, startTime)
		for _, p := range a.Reclaim() {
			is.Equal(p.ForPlan, "lender")
			a.Release(p.Attempt)
		}
	}
	is.True(a.Shares().Account("lender").WeightedShare() >= 1)
	is.True(a.Shares().Account("borrower").WeightedShare() >= 1)
}

func TestUrgentFloodLeavesThePromisesOfOthers(t *testing.T) {
	is := is.New(t)
	a := newAllocator(t, 4, newEntitlement("calm", 0.25), newEntitlement("flood", 0.25))
	for i := range 500 {
		enqueue(t, a, startTime, newTask(fmt.Sprintf("f%d", i), "flood", plan.Urgent))
	}
	startAllPlaceableTasks(a, startTime)
	for i := range 8 {
		enqueue(t, a, startTime, newTask(fmt.Sprintf("c%d", i), "calm", plan.Overnight))
	}
	for range 20 {
		startAllPlaceableTasks(a, startTime)
		for _, p := range a.Reclaim() {
			a.Release(p.Attempt)
		}
	}
	is.Equal(a.Shares().Account("calm").Used.Slots, int64(8))
}

func TestUrgentTaskPreemptsOvernightTaskOfTheSamePlan(t *testing.T) {
	is := is.New(t)
	a := newAllocator(t, 1, newEntitlement("only", 1))
	for i := range 20 {
		enqueue(t, a, startTime, newTask(fmt.Sprintf("o%d", i), "only", plan.Overnight))
	}
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 8)
	enqueue(t, a, startTime, newTask("u", "only", plan.Urgent))
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 0)
	victims := a.Reclaim()
	is.Equal(len(victims), 1)
	is.Equal(len(a.Reclaim()), 0)
	a.Release(victims[0].Attempt)
	started := startAllPlaceableTasks(a, startTime)
	is.Equal(len(started), 1)
	is.Equal(started[0].Task.Attempt, "u")
}

func TestSheddingDropsTheLeastUrgentTask(t *testing.T) {
	is := is.New(t)
	a := allocator.New(placement.Balanced{}, allocator.Limits{Waiting: 2})
	a.SetPlans(newPlanIndex(t, newEntitlement("p", 1)))
	is.NoErr(a.AddWorker("w", "r", capacity, nil))
	enqueue(t, a, startTime, newTask("n", "p", plan.Normal), newTask("o", "p", plan.Overnight))
	shed, err := a.Enqueue(startTime, newTask("u", "p", plan.Urgent))
	is.NoErr(err)
	is.Equal(shed.Task.Attempt, "o")
	_, err = a.Enqueue(startTime, newTask("o2", "p", plan.Overnight))
	is.Equal(fault.KindOf[allocator.Kind](err), allocator.KindQueueFull)
}

func TestLeavingWorkerGetsNoWork(t *testing.T) {
	is := is.New(t)
	a := newAllocator(t, 1, newEntitlement("p", 1))
	a.SetAccepting("w0", false)
	enqueue(t, a, startTime, newTask("a", "p", plan.Urgent))
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 0)
	a.SetAccepting("w0", true)
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 1)
}

// TestRandomHistory runs random operations and compares the allocator with a
// simple model of the waiting and the running attempts. Invariants that the
// allocator checks itself panic when they are violated.
func TestRandomHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := newAllocator(t, 4, newEntitlement("a", 0.5), newEntitlement("b", 0.3), newEntitlement("c", 0.1))
		running := map[string]string{}
		waiting := map[string]bool{}
		names := []string{"a", "b", "c"}
		now := startTime
		lastAttempt := 0
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0, 1, 2:
				lastAttempt++
				k := newTask(fmt.Sprint(lastAttempt), rapid.SampledFrom(names).Draw(rt, "plan"), rapid.SampledFrom(plan.Classes[:]).Draw(rt, "class"))
				k.Size = resource.Vector{
					Milliprocessors: rapid.Int64Range(1, 9000).Draw(rt, "cpu"), MemoryMebibytes: rapid.Int64Range(1, 8192).Draw(rt, "memory"),
					Slots: rapid.Int64Range(0, 2).Draw(rt, "slots"),
				}
				k.Repeatable = rapid.Bool().Draw(rt, "repeatable")
				if rapid.Bool().Draw(rt, "has_deadline") {
					k.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "deadline")) * time.Millisecond)
				}
				if _, err := a.Enqueue(now, k); err == nil {
					waiting[k.Attempt] = true
				}
			case 3:
				for _, d := range startAllPlaceableTasks(a, now) {
					if !waiting[d.Task.Attempt] || running[d.Task.Attempt] != "" {
						rt.Fatalf("attempt %s started twice or was not waiting", d.Task.Attempt)
					}
					delete(waiting, d.Task.Attempt)
					running[d.Task.Attempt] = d.Worker
				}
			case 4:
				if id, ok := smallestKey(running); ok {
					if !a.Release(id) {
						rt.Fatalf("attempt %s is running but has no reservation", id)
					}
					delete(running, id)
				}
			case 5:
				for _, p := range a.Reclaim() {
					if running[p.Attempt] != p.Worker {
						rt.Fatalf("preemption of attempt %s on worker %s, but it runs on %q", p.Attempt, p.Worker, running[p.Attempt])
					}
				}
			case 6:
				for _, r := range a.Expire(now) {
					if !waiting[r.Task.Attempt] {
						rt.Fatalf("attempt %s expired but was not waiting", r.Task.Attempt)
					}
					delete(waiting, r.Task.Attempt)
				}
			case 7:
				name := fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(rt, "worker"))
				for _, id := range a.RemoveWorker(name) {
					if running[id] != name {
						rt.Fatalf("removed worker %s had attempt %s, which ran on %q", name, id, running[id])
					}
					delete(running, id)
				}
				if err := a.AddWorker(name, "r", capacity, nil); err != nil {
					rt.Fatal(err)
				}
			}
			if a.WaitingCount() != len(waiting) {
				rt.Fatalf("%d tasks are waiting, expected %d", a.WaitingCount(), len(waiting))
			}
		}
	})
}

// smallestKey returns the smallest key of a map. Unlike the first key of an
// iteration, it is the same in each run with the same seed.
func smallestKey(m map[string]string) (string, bool) {
	if len(m) == 0 {
		return "", false
	}
	smallest := ""
	for k := range m {
		if smallest == "" || k < smallest {
			smallest = k
		}
	}
	return smallest, true
}

func TestWaitingTasksAreDroppedWithTheLastWorkerTheyFit(t *testing.T) {
	is := is.New(t)
	a := newAllocator(t, 1, newEntitlement("p", 1))
	accelerated := capacity
	accelerated.Accelerators = 1
	is.NoErr(a.AddWorker("gpu", "r", accelerated, nil))
	for i := range 3 {
		k := newTask(fmt.Sprint(i), "p", plan.Normal)
		k.Size.Accelerators = 1
		enqueue(t, a, startTime, k)
	}
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 1)
	is.Equal(len(a.RemoveWorker("gpu")), 1)
	is.Equal(len(a.DropUnplaceable()), 2)
	is.Equal(a.WaitingCount(), 0)
}

func TestPlanAtItsLimitResumesWhenItsOwnTaskEnds(t *testing.T) {
	is := is.New(t)
	limited := newEntitlement("limited", 0.25)
	limited.LimitShare = 0.25
	a := newAllocator(t, 2, limited, newEntitlement("other", 0.5))
	small := newTask("small", "limited", plan.Normal)
	small.Size = resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 1, Slots: 1}
	filler := newTask("filler", "other", plan.Normal)
	filler.Size = resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 8190, Slots: 7}
	enqueue(t, a, startTime, small)
	first := startAllPlaceableTasks(a, startTime)
	enqueue(t, a, startTime, filler)
	is.Equal(startAllPlaceableTasks(a, startTime)[0].Worker, first[0].Worker)
	large := newTask("large", "limited", plan.Normal)
	large.Size = resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 100, Slots: 1}
	enqueue(t, a, startTime, large)
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 0)
	a.Release("small")
	is.Equal(len(startAllPlaceableTasks(a, startTime)), 1)
}
