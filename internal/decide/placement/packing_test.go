package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/decide/placement"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/state/resource"
)

var (
	cpuWorkerCapacity         = resource.Vector{Milliprocessors: 64000, MemoryMebibytes: 262144, Slots: 8, Connections: 64}
	acceleratorWorkerCapacity = resource.Vector{Milliprocessors: 128000, MemoryMebibytes: 262144, Accelerators: 8, Slots: 8, Connections: 64}
)

// taskMix is a set of task sizes that are drawn with equal probability.
type taskMix struct {
	name  string
	sizes []resource.Vector
}

var taskMixes = []taskMix{
	{"balanced", []resource.Vector{
		{Milliprocessors: 8000, MemoryMebibytes: 32768, Slots: 1, Connections: 1},
		{Milliprocessors: 4000, MemoryMebibytes: 65536, Slots: 1, Connections: 1},
		{Milliprocessors: 16000, MemoryMebibytes: 16384, Slots: 1, Connections: 1},
	}},
	{"with_accelerators", []resource.Vector{
		{Milliprocessors: 8000, MemoryMebibytes: 32768, Slots: 1, Connections: 1},
		{Milliprocessors: 16000, MemoryMebibytes: 16384, Slots: 1, Connections: 1},
		{Milliprocessors: 4000, MemoryMebibytes: 65536, Slots: 1, Connections: 1},
		{Milliprocessors: 12000, MemoryMebibytes: 24576, Accelerators: 1, Slots: 1, Connections: 1},
	}},
	{"large_and_small", []resource.Vector{
		{Milliprocessors: 32000, MemoryMebibytes: 65536, Slots: 1, Connections: 1},
		{Milliprocessors: 2000, MemoryMebibytes: 4096, Slots: 1, Connections: 1},
		{Milliprocessors: 8000, MemoryMebibytes: 98304, Slots: 1, Connections: 1},
		{Milliprocessors: 4000, MemoryMebibytes: 8192, Slots: 1, Connections: 1},
	}},
}

// newFleet returns a ledger with 35 workers without accelerators and 13 with
// accelerators, and their names.
func newFleet() (*ledger.Ledger, []string) {
	l := ledger.New()
	var names []string
	for i := range 48 {
		name, capacity := fmt.Sprintf("snag-%02d", i), cpuWorkerCapacity
		if i >= 35 {
			name, capacity = fmt.Sprintf("photo-%02d", i), acceleratorWorkerCapacity
		}
		_ = l.AddWorker(name, fmt.Sprintf("rack-%d", i/5), capacity)
		names = append(names, name)
	}
	return l, names
}

// maxTasksIfDivisible returns the number of tasks of a mix that would fit if tasks
// could be split over workers. The scarcest resource limits it.
func maxTasksIfDivisible(total resource.Vector, m taskMix) float64 {
	var sum resource.Vector
	for _, s := range m.sizes {
		sum = sum.Add(s)
	}
	return float64(len(m.sizes)) / sum.DominantFraction(total)
}

// meanRunningWhenFull places tasks strictly in order of arrival: when a task
// does not fit, randomly chosen running tasks end until it does. It returns the
// mean number of running tasks over the second half of the steps.
func meanRunningWhenFull(p placement.Policy, l *ledger.Ledger, m taskMix, seed uint64, steps int) float64 {
	random := rand.New(rand.NewPCG(seed, seed))
	var running []string
	sum := 0
	for i := range steps {
		size := m.sizes[random.IntN(len(m.sizes))]
		for {
			if w := p.Choose(l, size, ""); w != nil {
				id := fmt.Sprint(i)
				_ = l.Reserve(w.Name, ledger.Reservation{Attempt: id, Size: size})
				running = append(running, id)
				break
			}
			if len(running) == 0 {
				continue
			}
			j := random.IntN(len(running))
			l.Release(running[j])
			running = slices.Delete(running, j, j+1)
		}
		if i >= steps/2 {
			sum += len(running)
		}
	}
	return float64(sum) / float64(steps-steps/2)
}

// BenchmarkPacking reports the mean number of tasks that each policy keeps
// running, as a fraction of maxTasksIfDivisible.
func BenchmarkPacking(b *testing.B) {
	for _, m := range taskMixes {
		for _, name := range []string{"balanced", "first_fit", "best_fit", "random_two"} {
			b.Run(m.name+"/"+name, func(b *testing.B) {
				sum, n := 0.0, 0
				for b.Loop() {
					l, names := newFleet()
					policies := map[string]placement.Policy{
						"balanced": placement.Balanced{}, "first_fit": placement.FirstFit{WorkerNames: names},
						"best_fit":   placement.BestFit{WorkerNames: names},
						"random_two": placement.LessUsedOfTwoRandom{WorkerNames: names, Random: rand.New(rand.NewPCG(uint64(n), 7))},
					}
					sum += meanRunningWhenFull(policies[name], l, m, uint64(n+1), 4000) / maxTasksIfDivisible(l.TotalCapacity(), m)
					n++
				}
				b.ReportMetric(sum/float64(n), "of-bound")
			})
		}
	}
}

func TestMain(m *testing.M) {
	invariant.SetPanicOnViolation(true)
	m.Run()
}

func TestPoliciesNeverExceedCapacity(t *testing.T) {
	for _, m := range taskMixes {
		_, names := newFleet()
		for _, p := range []placement.Policy{placement.Balanced{}, placement.BestFit{WorkerNames: names}, placement.FirstFit{WorkerNames: names}} {
			l, _ := newFleet()
			meanRunningWhenFull(p, l, m, 1, 1000)
			l.EachWorker(func(w *ledger.Worker) {
				if !w.Used.Fits(w.Capacity) {
					t.Errorf("%s: worker %s uses %v of %v", m.name, w.Name, w.Used, w.Capacity)
				}
			})
		}
	}
}

func TestSpreadPrefersOtherRacks(t *testing.T) {
	l, _ := newFleet()
	size := resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1024, Slots: 1}
	racks := map[string]int{}
	for i := range 5 {
		w := placement.Balanced{}.Choose(l, size, "service")
		_ = l.Reserve(w.Name, ledger.Reservation{Attempt: fmt.Sprint(i), Size: size, SpreadGroup: "service"})
		racks[w.Rack]++
	}
	if len(racks) < 4 {
		t.Fatalf("5 tasks run on only %d racks", len(racks))
	}
}
