package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/decide/placement"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// BenchmarkDecision measures decisions on nearly full workers. In each iteration,
// one attempt ends, one task is enqueued and Next is called once. The metrics
// decision-ns and p99-ns cover the call of Next only. The largest case is the
// documented capacity: 950 workers, 16,000 running tasks and 350 plans.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 250, 950} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkDecision(b, workers) })
	}
}

func benchmarkDecision(b *testing.B, workers int) {
	const planCount = 350
	targetRunning := workers * 16000 / 950
	random := rand.New(rand.NewPCG(1, 2))
	var entitlements []plan.Entitlement
	for i := range planCount {
		e := newEntitlement(fmt.Sprintf("p%d", i), 1.0/planCount)
		e.QueueLimit = 1_000_000
		entitlements = append(entitlements, e)
	}
	a := allocator.New(placement.Balanced{}, allocator.Limits{Waiting: 1 << 30})
	a.SetPlans(newPlanIndex(b, entitlements...))
	workerCapacity := resource.Vector{Milliprocessors: 64000, MemoryMebibytes: 262144, Slots: 24, Connections: 64}
	for i := range workers {
		if err := a.AddWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/5), workerCapacity, nil); err != nil {
			b.Fatal(err)
		}
	}
	lastAttempt := 0
	randomTask := func() *allocator.Task {
		lastAttempt++
		k := newTask(fmt.Sprint(lastAttempt), fmt.Sprintf("p%d", random.IntN(planCount)), plan.Classes[random.IntN(3)])
		k.Size = resource.Vector{Milliprocessors: 500 + random.Int64N(5000), MemoryMebibytes: 500 + random.Int64N(20000), Slots: 1, Connections: 1}
		return k
	}
	var running []string
	for len(running) < targetRunning {
		enqueue(b, a, startTime, randomTask())
		if d, ok := a.Next(startTime); ok {
			running = append(running, d.Task.Attempt)
		} else {
			break
		}
	}
	for range 1000 {
		enqueue(b, a, startTime, randomTask())
	}
	var times []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		i := random.IntN(len(running))
		a.Release(running[i])
		enqueue(b, a, startTime, randomTask())
		started := time.Now()
		d, ok := a.Next(startTime)
		times = append(times, time.Since(started))
		if ok {
			running[i] = d.Task.Attempt
		} else {
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
	}
	total := time.Duration(0)
	for _, t := range times {
		total += t
	}
	b.ReportMetric(float64(total.Nanoseconds())/float64(len(times)), "decision-ns")
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds()), "p99-ns")
}
