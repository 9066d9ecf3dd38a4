package ledger

import "github.com/almondpost/almondpost/internal/state/resource"

// maxCandidates bounds how many fitting workers one search scores.
const maxCandidates = 24

// Scorer rates workers that fit; lower is better.
type Scorer interface{ Score(w *Worker) float64 }

// bucketOf places a worker by the scarcest of its free processors, memory and
// slots, so that a search can begin at the tightest workers that may fit.
func bucketOf(w *Worker) int {
	return int(scarcest(w.Free(), w.Capacity) * (buckets - 1))
}

func scarcest(free, capacity resource.Vector) float64 {
	f := 1.0
	if capacity.Milliprocessors > 0 {
		f = min(f, float64(free.Milliprocessors)/float64(capacity.Milliprocessors))
	}
	if capacity.MemoryMebibytes > 0 {
		f = min(f, float64(free.MemoryMebibytes)/float64(capacity.MemoryMebibytes))
	}
	if capacity.Slots > 0 {
		f = min(f, float64(free.Slots)/float64(capacity.Slots))
	}
	return max(0, f)
}

// slot is a place in the index. The free room stands beside the worker so that
// a search reads memory in order.
type slot struct {
	// free is what the worker can take; it fits nothing while the worker
	// accepts no work.
	free   resource.Vector
	worker *Worker
}

var nothing = resource.Vector{Milliprocessors: -1, MemoryMebibytes: -1, Accelerators: -1, Slots: -1, Connections: -1}

func slotOf(w *Worker) slot {
	if !w.Accepting {
		return slot{nothing, w}
	}
	return slot{w.Free(), w}
}

func (l *Ledger) insert(w *Worker) {
	list := &l.index[w.group][w.bucket]
	w.position = len(*list)
	*list = append(*list, slotOf(w))
}

func (l *Ledger) removeFromIndex(w *Worker) {
	list := &l.index[w.group][w.bucket]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[w.position] = moved
	moved.worker.position = w.position
	*list = (*list)[:last]
}

func (l *Ledger) move(w *Worker) {
	b := bucketOf(w)
	if b == w.bucket {
		l.index[w.group][b][w.position] = slotOf(w)
		return
	}
	l.removeFromIndex(w)
	w.bucket = b
	l.insert(w)
}

// Find returns the best-scored of the tightest workers that can hold a size,
// or nil when none can. Workers with accelerators are the last resort for
// work that needs none.
func Find[S Scorer](l *Ledger, size resource.Vector, scorer S) *Worker {
	if l.knownMiss(size) {
		return nil
	}
	var w *Worker
	if size.Accelerators == 0 {
		w = findIn(l, plainGroup, size, scorer)
	}
	if w == nil {
		w = findIn(l, acceleratorGroup, size, scorer)
	}
	if w == nil {
		l.misses[l.missCount%missLength] = miss{size, l.gainedCount}
		l.missCount++
	}
	return w
}

// miss remembers that a size fitted no worker when the gain counter had a
// value.
type miss struct {
	size  resource.Vector
	since uint64
}

// missLength is how many misses are remembered.
const missLength = 8

// knownMiss reports whether a size can not fit, since one that is at most as
// large did not, and no worker has gained enough room since. It saves the
// search of a full fleet for each plan that waits.
func (l *Ledger) knownMiss(size resource.Vector) bool {
	for i := range min(missLength, l.missCount) {
		m := &l.misses[i]
		if m.size.Fits(size) && !l.GainedFits(m.since, size) {
			return true
		}
	}
	return false
}

func findIn[S Scorer](l *Ledger, group int, size resource.Vector, scorer S) *Worker {
	var best *Worker
	bestScore := 0.0
	candidates := 0
	for b := range buckets {
		list := l.index[group][b]
		for i := range list {
			if !size.Fits(list[i].free) {
				continue
			}
			w := list[i].worker
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

// FindGained looks only at workers that gained room after a value of Gains. It
// reports complete = false when so many did that a full search is needed.
func FindGained[S Scorer](l *Ledger, since uint64, size resource.Vector, scorer S) (best *Worker, complete bool) {
	if l.gainedCount-since > gainedLength {
		return nil, false
	}
	bestScore := 0.0
	for i := since; i < l.gainedCount; i++ {
		w := l.gained[i%gainedLength]
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if s := scorer.Score(w); best == nil || s < bestScore {
			best, bestScore = w, s
		}
	}
	return best, true
}

// GainedFits reports whether a size may fit a worker that gained room after a
// value of Gains. It errs on the side of true.
func (l *Ledger) GainedFits(since uint64, size resource.Vector) bool {
	if l.gainedCount-since > gainedLength {
		return true
	}
	for i := since; i < l.gainedCount; i++ {
		if w := l.gained[i%gainedLength]; w != nil && w.Accepting && size.Fits(w.Free()) {
			return true
		}
	}
	return false
}
