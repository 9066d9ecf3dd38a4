// Package placement holds the policies that choose a worker for a task.
package placement

import (
	"math/rand/v2"

	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Policy chooses the worker on which a task of a given size runs. Choose
// returns nil when it finds no worker with enough free capacity. The parameter
// spreadGroup names a group of attempts that should run on different racks; it
// may be empty.
type Policy interface {
	Choose(l *ledger.Ledger, size resource.Vector, spreadGroup string) *ledger.Worker
	// ChooseAmongFreedWorkers chooses like Choose, but only among workers whose free
	// capacity has increased since Ledger.FreedCount returned the value since.
	// If the policy cannot do this, it returns complete = false, and the caller
	// must use Choose.
	ChooseAmongFreedWorkers(l *ledger.Ledger, since uint64, size resource.Vector, spreadGroup string) (w *ledger.Worker, complete bool)
}

// sameRackPenalty is added to the score of a worker for each attempt of the
// spread group on its rack. It outweighs the rest of the score, which is at
// most 1.
const sameRackPenalty = 4.0

// Balanced chooses the worker whose largest free fraction, over processors,
// memory, slots and accelerators, is smallest once the task is placed. This fills
// up workers that are nearly full and avoids free capacity that no task can use
// because another resource has run out. Attempts of one spread group are placed on
// different racks if possible.
type Balanced struct{}

// Choose implements Policy.
func (Balanced) Choose(l *ledger.Ledger, size resource.Vector, spreadGroup string) *ledger.Worker {
	return ledger.Find(l, size, balancedScorer{l, size, spreadGroup})
}

// ChooseAmongFreedWorkers implements Policy.
func (Balanced) ChooseAmongFreedWorkers(l *ledger.Ledger, since uint64, size resource.Vector, spreadGroup string) (*ledger.Worker, bool) {
	return ledger.FindAmongFreedWorkers(l, since, size, balancedScorer{l, size, spreadGroup})
}

type balancedScorer struct {
	ledger      *ledger.Ledger
	size        resource.Vector
	spreadGroup string
}

// Score implements ledger.Scorer.
func (b balancedScorer) Score(w *ledger.Worker) float64 {
	return largestFreeFraction(w.Free().Sub(b.size), w.Capacity) + sameRackPenalty*float64(b.ledger.SpreadCount(b.spreadGroup, w.Rack))
}

// largestFreeFraction returns the largest free fraction of processors, memory,
// slots and accelerators. It ignores resources with a capacity of 0.
func largestFreeFraction(free, capacity resource.Vector) float64 {
	largest := 0.0
	consider := func(free, capacity int64) {
		if capacity > 0 {
			largest = max(largest, float64(free)/float64(capacity))
		}
	}
	consider(free.Milliprocessors, capacity.Milliprocessors)
	consider(free.MemoryMebibytes, capacity.MemoryMebibytes)
	consider(free.Slots, capacity.Slots)
	consider(free.Accelerators, capacity.Accelerators)
	return largest
}

// FirstFit chooses the first worker in WorkerNames with enough free capacity.
// It is a baseline for benchmarks.
type FirstFit struct {
	// WorkerNames lists the worker names in the order in which they are tried.
	WorkerNames []string
}

// Choose implements Policy.
func (f FirstFit) Choose(l *ledger.Ledger, size resource.Vector, _ string) *ledger.Worker {
	for _, name := range f.WorkerNames {
		if w := l.Worker(name); w != nil && w.Accepting && size.Fits(w.Free()) {
			return w
		}
	}
	return nil
}

// ChooseAmongFreedWorkers implements Policy.
func (FirstFit) ChooseAmongFreedWorkers(*ledger.Ledger, uint64, resource.Vector, string) (*ledger.Worker, bool) {
	return nil, false
}

// BestFit chooses, of all workers, the one whose largest free fraction, over
// all resources, is smallest once the task is placed. It is a baseline for
// benchmarks.
type BestFit struct {
	// WorkerNames lists the worker names. If several workers are equally good,
	// the first in the list is chosen.
	WorkerNames []string
}

// Choose implements Policy.
func (b BestFit) Choose(l *ledger.Ledger, size resource.Vector, _ string) *ledger.Worker {
	var best *ledger.Worker
	bestRemaining := 0.0
	for _, name := range b.WorkerNames {
		w := l.Worker(name)
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if remaining := w.Free().Sub(size).DominantFraction(w.Capacity); best == nil || remaining < bestRemaining {
			best, bestRemaining = w, remaining
		}
	}
	return best
}

// ChooseAmongFreedWorkers implements Policy.
func (BestFit) ChooseAmongFreedWorkers(*ledger.Ledger, uint64, resource.Vector, string) (*ledger.Worker, bool) {
	return nil, false
}

// LessUsedOfTwoRandom draws two workers at random and chooses the less used of those with
// enough free capacity. It is a baseline for benchmarks.
type LessUsedOfTwoRandom struct {
	// WorkerNames lists the names of the workers that may be drawn.
	WorkerNames []string
	Random      *rand.Rand
}

// Choose implements Policy.
func (r LessUsedOfTwoRandom) Choose(l *ledger.Ledger, size resource.Vector, _ string) *ledger.Worker {
	var best *ledger.Worker
	for range 2 {
		w := l.Worker(r.WorkerNames[r.Random.IntN(len(r.WorkerNames))])
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if best == nil || w.Used.DominantFraction(w.Capacity) < best.Used.DominantFraction(best.Capacity) {
			best = w
		}
	}
	return best
}

// ChooseAmongFreedWorkers implements Policy.
func (LessUsedOfTwoRandom) ChooseAmongFreedWorkers(*ledger.Ledger, uint64, resource.Vector, string) (*ledger.Worker, bool) {
	return nil, false
}
