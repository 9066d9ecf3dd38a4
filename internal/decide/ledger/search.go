package ledger

import "github.com/almondpost/almondpost/internal/state/resource"

// maxCandidates bounds how many fitting workers one search scores.
const maxCandidates = 24

// Scorer rates a worker that has enough free capacity. The lowest score is
// best.
type Scorer interface{ Score(w *Worker) float64 }

// bucketOf returns the bucket of a worker by its smallest free fraction, so
// that a search can begin with the fullest workers.
func bucketOf(w *Worker) int {
	return int(smallestFreeFraction(w.Free(), w.Capacity) * (bucketCount - 1))
}

// smallestFreeFraction returns the smallest free fraction of processors, memory
// and slots, from 0 to 1. It ignores resources of which the capacity is 0.
func smallestFreeFraction(free, capacity resource.Vector) float64 {
	smallest := 1.0
	if capacity.Milliprocessors > 0 {
		smallest = min(smallest, float64(free.Milliprocessors)/float64(capacity.Milliprocessors))
	}
	if capacity.MemoryMebibytes > 0 {
		smallest = min(smallest, float64(free.MemoryMebibytes)/float64(capacity.MemoryMebibytes))
	}
	if capacity.Slots > 0 {
		smallest = min(smallest, float64(free.Slots)/float64(capacity.Slots))
	}
	return max(0, smallest)
}

// indexEntry is a worker in the index. It holds a copy of the free capacity
// next to the worker, so that a search reads memory sequentially.
type indexEntry struct {
	// free is noCapacity while the worker is not accepting tasks.
	free   resource.Vector
	worker *Worker
}

// noCapacity is a free capacity that no size fits.
var noCapacity = resource.Vector{Milliprocessors: -1, MemoryMebibytes: -1, Accelerators: -1, Slots: -1, Connections: -1}

func indexEntryOf(w *Worker) indexEntry {
	if !w.Accepting {
		return indexEntry{noCapacity, w}
	}
	return indexEntry{w.Free(), w}
}

func (l *Ledger) insertIntoIndex(w *Worker) {
	list := &l.index[w.group][w.bucket]
	w.position = len(*list)
	*list = append(*list, indexEntryOf(w))
}

func (l *Ledger) removeFromIndex(w *Worker) {
	list := &l.index[w.group][w.bucket]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[w.position] = moved
	moved.worker.position = w.position
	*list = (*list)[:last]
}

// updateIndex updates the index entry of a worker after its free capacity or
// Accepting has changed.
func (l *Ledger) updateIndex(w *Worker) {
	b := bucketOf(w)
	if b == w.bucket {
		l.index[w.group][b][w.position] = indexEntryOf(w)
		return
	}
	l.removeFromIndex(w)
	w.bucket = b
	l.insertIntoIndex(w)
}

// Find returns the worker with the lowest score among the first maxCandidates
// with enough free capacity for a size, searching the fullest workers first. It
// returns nil when the size fits no worker. Workers with accelerators are used
// for a size without accelerators only if no other worker has enough free
// capacity.
func Find[S Scorer](l *Ledger, size resource.Vector, scorer S) *Worker {
	if l.isKnownMiss(size) {
		return nil
	}
	var w *Worker
	if size.Accelerators == 0 {
		w = findInGroup(l, generalGroup, size, scorer)
	}
	if w == nil {
		w = findInGroup(l, acceleratorGroup, size, scorer)
	}
	if w == nil {
		l.missRing[l.missCount%missRingSize] = miss{size, l.freedCount}
		l.missCount++
	}
	return w
}

// miss records that a size fitted no worker when FreedCount returned the value
// since.
type miss struct {
	size  resource.Vector
	since uint64
}

// missRingSize is the number of recent misses that are remembered.
const missRingSize = 8

// isKnownMiss reports whether a size cannot fit because a size at most as large
// fitted no worker before, and not enough capacity has been freed since. When
// all workers are full, this avoids a search for each waiting plan.
func (l *Ledger) isKnownMiss(size resource.Vector) bool {
	for i := range min(missRingSize, l.missCount) {
		m := &l.missRing[i]
		if m.size.Fits(size) && !l.FitsFreed(m.since, size) {
			return true
		}
	}
	return false
}

// findInGroup is Find for the workers of one accelerator group.
func findInGroup[S Scorer](l *Ledger, group int, size resource.Vector, scorer S) *Worker {
	var best *Worker
	bestScore := 0.0
	candidates := 0
	for b := range bucketCount {
		entries := l.index[group][b]
		for i := range entries {
			if !size.Fits(entries[i].free) {
				continue
			}
			w := entries[i].worker
			if s := scorer.Score(w); best == nil || s < bestScore {
				best, bestScore = w, s
			}
			if candidates++; candidates >= maxCandidates {
				return best
			}
		}
	}
	return best
}

// FindFreed is Find restricted to workers whose free capacity has increased
// since FreedCount returned the value since. It returns complete = false, and
// Find is needed, when not all of these increases are remembered.
func FindFreed[S Scorer](l *Ledger, since uint64, size resource.Vector, scorer S) (best *Worker, complete bool) {
	if l.freedCount-since > freedRingSize {
		return nil, false
	}
	bestScore := 0.0
	for i := since; i < l.freedCount; i++ {
		w := l.freedRing[i%freedRingSize]
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if s := scorer.Score(w); best == nil || s < bestScore {
			best, bestScore = w, s
		}
	}
	return best, true
}

// FitsFreed reports whether a size fits a worker whose free capacity has
// increased since FreedCount returned the value since. It returns true when not
// all of these increases are remembered.
func (l *Ledger) FitsFreed(since uint64, size resource.Vector) bool {
	if l.freedCount-since > freedRingSize {
		return true
	}
	for i := since; i < l.freedCount; i++ {
		if w := l.freedRing[i%freedRingSize]; w != nil && w.Accepting && size.Fits(w.Free()) {
			return true
		}
	}
	return false
}
