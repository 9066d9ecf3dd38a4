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

// BenchmarkDecision measures one decision with one release and one admission
// around it, on a fleet that is nearly full. The largest size is that of the
// capacity page: 950 workers, 16,000 running tasks, 350 plans.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{50, 250, 950} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkDecision(b, workers) })
	}
}

func benchmarkDecision(b *testing.B, workers int) {
	const plans = 350
	running := workers * 16000 / 950
	random := rand.New(rand.NewPCG(1, 2))
	var entitlements []plan.Entitlement
	for i := range plans {
		e := entitlement(fmt.Sprintf("p%d", i), 1.0/plans)
		e.QueueLimit = 1_000_000
		entitlements = append(entitlements, e)
	}
	a := allocator.New(placement.Balanced{}, allocator.Limits{Waiting: 1 << 30})
	a.SetPlans(index(b, entitlements...))
	large := resource.Vector{Milliprocessors: 64000, MemoryMebibytes: 262144, Slots: 24, Connections: 64}
	for i := range workers {
		if err := a.AddWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/5), large, nil); err != nil {
			b.Fatal(err)
		}
	}
	serial := 0
	next := func() *allocator.Task {
		serial++
		k := task(fmt.Sprint(serial), fmt.Sprintf("p%d", random.IntN(plans)), plan.Classes[random.IntN(3)])
		k.Size = resource.Vector{Milliprocessors: 500 + random.Int64N(5000), MemoryMebibytes: 500 + random.Int64N(20000), Slots: 1, Connections: 1}
		return k
	}
	var held []string
	for len(held) < running {
		enqueue(b, a, begin, next())
		if d, ok := a.Next(begin); ok {
			held = append(held, d.Task.Attempt)
		} else {
			break
		}
	}
	for range 1000 {
		enqueue(b, a, begin, next())
	}
	var times []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		i := random.IntN(len(held))
		a.Release(held[i])
		enqueue(b, a, begin, next())
		began := time.Now()
		d, ok := a.Next(begin)
		times = append(times, time.Since(began))
		if ok {
			held[i] = d.Task.Attempt
		} else {
			held[i] = held[len(held)-1]
			held = held[:len(held)-1]
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
