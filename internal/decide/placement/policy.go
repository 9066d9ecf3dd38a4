// Package placement holds the policies that choose among workers with room.
package placement

import (
	"math/rand/v2"

	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Policy chooses a worker for a size, or nil when none has room. A policy
// never chooses a worker on which the size does not fit.
type Policy interface {
	Choose(l *ledger.Ledger, size resource.Vector, spread string) *ledger.Worker
	// ChooseGained is Choose among the workers that gained room since a value
	// of Ledger.Gains; complete is false when a full search is needed.
	ChooseGained(l *ledger.Ledger, since uint64, size resource.Vector, spread string) (w *ledger.Worker, complete bool)
}

// spreadPenalty outweighs every difference in packing.
const spreadPenalty = 4.0

// Balanced prefers the worker on which the largest fraction of any resource that
// is left over is smallest, so that tight workers are filled and no resource is
// stranded. Attempts of one spread group go to different racks where there is
// room.
type Balanced struct{}

// Choose implements Policy.
func (Balanced) Choose(l *ledger.Ledger, size resource.Vector, spread string) *ledger.Worker {
	return ledger.Find(l, size, balancedScorer{l, size, spread})
}

// ChooseGained implements Policy.
func (Balanced) ChooseGained(l *ledger.Ledger, since uint64, size resource.Vector, spread string) (*ledger.Worker, bool) {
	return ledger.FindGained(l, since, size, balancedScorer{l, size, spread})
}

type balancedScorer struct {
	ledger *ledger.Ledger
	size   resource.Vector
	spread string
}

// Score implements ledger.Scorer.
func (b balancedScorer) Score(w *ledger.Worker) float64 {
	return largestLeft(w.Free().Sub(b.size), w.Capacity) + spreadPenalty*float64(b.ledger.SpreadCount(b.spread, w.Rack))
}

// largestLeft returns the largest fraction of processors, memory, slots and
// accelerators that is left.
func largestLeft(left, capacity resource.Vector) float64 {
	largest := 0.0
	add := func(left, capacity int64) {
		if capacity > 0 {
			largest = max(largest, float64(left)/float64(capacity))
		}
	}
	add(left.Milliprocessors, capacity.Milliprocessors)
	add(left.MemoryMebibytes, capacity.MemoryMebibytes)
	add(left.Slots, capacity.Slots)
	add(left.Accelerators, capacity.Accelerators)
	return largest
}

// FirstFit chooses the first worker in name order that has room. It is a
// baseline.
type FirstFit struct {
	// Order lists the worker names.
	Order []string
}

// Choose implements Policy.
func (f FirstFit) Choose(l *ledger.Ledger, size resource.Vector, _ string) *ledger.Worker {
	for _, name := range f.Order {
		if w := l.Worker(name); w != nil && w.Accepting && size.Fits(w.Free()) {
			return w
		}
	}
	return nil
}

// ChooseGained implements Policy.
func (FirstFit) ChooseGained(*ledger.Ledger, uint64, resource.Vector, string) (*ledger.Worker, bool) {
	return nil, false
}

// BestFit chooses the worker with the least room of the dominant resource left
// among all workers. It is a baseline.
type BestFit struct {
	// Order lists the worker names.
	Order []string
}

// Choose implements Policy.
func (b BestFit) Choose(l *ledger.Ledger, size resource.Vector, _ string) *ledger.Worker {
	var best *ledger.Worker
	bestLeft := 0.0
	for _, name := range b.Order {
		w := l.Worker(name)
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if left := w.Free().Sub(size).DominantFraction(w.Capacity); best == nil || left < bestLeft {
			best, bestLeft = w, left
		}
	}
	return best
}

// ChooseGained implements Policy.
func (BestFit) ChooseGained(*ledger.Ledger, uint64, resource.Vector, string) (*ledger.Worker, bool) {
	return nil, false
}

// RandomTwo draws two workers at random and chooses the emptier one with room.
// It is a baseline.
type RandomTwo struct {
	Order  []string
	Random *rand.Rand
}

// Choose implements Policy.
func (r RandomTwo) Choose(l *ledger.Ledger, size resource.Vector, _ string) *ledger.Worker {
	var best *ledger.Worker
	for range 2 {
		w := l.Worker(r.Order[r.Random.IntN(len(r.Order))])
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if best == nil || w.Used.DominantFraction(w.Capacity) < best.Used.DominantFraction(best.Capacity) {
			best = w
		}
	}
	return best
}

// ChooseGained implements Policy.
func (RandomTwo) ChooseGained(*ledger.Ledger, uint64, resource.Vector, string) (*ledger.Worker, bool) {
	return nil, false
}
