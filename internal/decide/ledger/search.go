package ledger

import "github.com/almondpost/almondpost/internal/state/resource"

// maxScoredWorkers is the maximum number of fitting workers that one search
// scores.
const maxScoredWorkers = 24

// Scorer rates a worker that has enough free capacity. The worker with the
// lowest score is chosen.
type Scorer interface{ Score(w *Worker) float64 }

// indexBucketOf returns the index bucket of a worker, which depends on its
// smallestFreeFraction. Lower buckets contain fuller workers, so that a search can
// begin with the fullest ones.
func indexBucketOf(w *Worker) int {
	return int(smallestFreeFraction(w.Free(), w.Capacity) * (indexBucketCount - 1))
}

// smallestFreeFraction returns the smallest free fraction of processors, memory
// and slots, from 0 to 1. It ignores resources with a capacity of 0.
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

// indexEntry is a worker in the index. It holds a copy of the worker's free
// capacity, so that a search reads memory sequentially.
type indexEntry struct {
	// free is noCapacity while the worker is not accepting tasks.
	free   resource.Vector
	worker *Worker
}

// noCapacity is a free capacity that no size fits.
var noCapacity = resource.Vector{Milliprocessors: -1, MemoryMebibytes: -1, Accelerators: -1, Slots: -1, Connections: -1}

func newIndexEntry(w *Worker) indexEntry {
	if !w.Accepting {
		return indexEntry{noCapacity, w}
	}
	return indexEntry{w.Free(), w}
}

func (l *Ledger) insertIntoIndex(w *Worker) {
	list := &l.index[w.indexGroup][w.indexBucket]
	w.indexPosition = len(*list)
	*list = append(*list, newIndexEntry(w))
}

func (l *Ledger) removeFromIndex(w *Worker) {
	list := &l.index[w.indexGroup][w.indexBucket]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[w.indexPosition] = moved
	moved.worker.indexPosition = w.indexPosition
	*list = (*list)[:last]
}

// updateIndex updates the index entry of a worker after its free capacity or
// Accepting has changed.
func (l *Ledger) updateIndex(w *Worker) {
	b := indexBucketOf(w)
	if b == w.indexBucket {
		l.index[w.indexGroup][b][w.indexPosition] = newIndexEntry(w)
		return
	}
	l.removeFromIndex(w)
	w.indexBucket = b
	l.insertIntoIndex(w)
}

// Find returns a worker with enough free capacity for a size, or nil when there
// is none. It searches the fullest workers first and returns the one with the
// lowest score among the first maxScoredWorkers that fit. Workers with
// accelerators are used for a size without accelerators only if no other worker
// has enough free capacity.
func Find[S Scorer](l *Ledger, size resource.Vector, scorer S) *Worker {
	if l.isKnownNotToFit(size) {
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
		l.failedSearchRing[l.failedSearchCount%failedSearchRingSize] = failedSearch{size, l.freedCount}
		l.failedSearchCount++
	}
	return w
}

// failedSearch records a size that fitted no worker, and the value of
// FreedCount at that time.
type failedSearch struct {
	size       resource.Vector
	freedCount uint64
}

// failedSearchRingSize is the number of recent failed searches that the ledger
// remembers.
const failedSearchRingSize = 8

// isKnownNotToFit reports whether a size is known to fit no worker: a search
// failed for a size that is at most as large, and no capacity has been freed
// since into which this size fits. When all workers are full, this avoids a
// search for each waiting plan.
func (l *Ledger) isKnownNotToFit(size resource.Vector) bool {
	for i := range min(failedSearchRingSize, l.failedSearchCount) {
		m := &l.failedSearchRing[i]
		if m.size.Fits(size) && !l.FitsAnyFreedWorker(m.freedCount, size) {
			return true
		}
	}
	return false
}

// findInGroup searches like Find, but only the workers in one group of the
// index.
func findInGroup[S Scorer](l *Ledger, group int, size resource.Vector, scorer S) *Worker {
	var best *Worker
	bestScore := 0.0
	candidates := 0
	for b := range indexBucketCount {
		entries := l.index[group][b]
		for i := range entries {
			if !size.Fits(entries[i].free) {
				continue
			}
			w := entries[i].worker
			if s := scorer.Score(w); best == nil || s < bestScore {
				best, bestScore = w, s
			}
			if candidates++; candidates >= maxScoredWorkers {
				return best
			}
		}
	}
	return best
}

// FindAmongFreedWorkers searches like Find, but only workers whose free capacity has
// increased since FreedCount returned the value since. If the ledger does not
// remember all of these increases, it returns complete = false, and the caller
// must use Find.
func FindAmongFreedWorkers[S Scorer](l *Ledger, since uint64, size resource.Vector, scorer S) (best *Worker, complete bool) {
	if l.freedCount-since > freedWorkerRingSize {
		return nil, false
	}
	bestScore := 0.0
	for i := since; i < l.freedCount; i++ {
		w := l.freedWorkerRing[i%freedWorkerRingSize]
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if s := scorer.Score(w); best == nil || s < bestScore {
			best, bestScore = w, s
		}
	}
	return best, true
}

// FitsAnyFreedWorker reports whether a size fits a worker whose free capacity has
// increased since FreedCount returned the value since. It returns true if the
// ledger does not remember all of these increases.
func (l *Ledger) FitsAnyFreedWorker(since uint64, size resource.Vector) bool {
	if l.freedCount-since > freedWorkerRingSize {
		return true
	}
	for i := since; i < l.freedCount; i++ {
		if w := l.freedWorkerRing[i%freedWorkerRingSize]; w != nil && w.Accepting && size.Fits(w.Free()) {
			return true
		}
	}
	return false
}
