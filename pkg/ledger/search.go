package ledger

import "github.com/almondpost/almondpost/pkg/resource"

// maxCandidates bounds how many fitting workers one search scores.
const maxCandidates = 24

// Score rates a worker that fits; lower is better.
type Score func(w *Worker) float64

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

func (l *Ledger) insert(w *Worker) {
	list := &l.index[w.group][w.bucket]
	w.position = len(*list)
	*list = append(*list, w)
}

func (l *Ledger) removeFromIndex(w *Worker) {
	list := &l.index[w.group][w.bucket]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[w.position] = moved
	moved.position = w.position
	*list = (*list)[:last]
}

func (l *Ledger) move(w *Worker) {
	b := bucketOf(w)
	if b == w.bucket {
		return
	}
	l.removeFromIndex(w)
	w.bucket = b
	l.insert(w)
}

// Find returns the best-scored of the tightest workers that can hold a size,
// or nil when none can. Workers with accelerators are the last resort for
// work that needs none.
func (l *Ledger) Find(size resource.Vector, score Score) *Worker {
	if size.Accelerators > 0 {
		return l.findIn(acceleratorGroup, size, score)
	}
	if w := l.findIn(plainGroup, size, score); w != nil {
		return w
	}
	return l.findIn(acceleratorGroup, size, score)
}

func (l *Ledger) findIn(group int, size resource.Vector, score Score) *Worker {
	var best *Worker
	bestScore := 0.0
	candidates := 0
	for b := range buckets {
		for _, w := range l.index[group][b] {
			if !w.Accepting || !size.Fits(w.Free()) {
				continue
			}
			if s := score(w); best == nil || s < bestScore {
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
func (l *Ledger) FindGained(since uint64, size resource.Vector, score Score) (best *Worker, complete bool) {
	if l.gainedCount-since > gainedLength {
		return nil, false
	}
	bestScore := 0.0
	for i := since; i < l.gainedCount; i++ {
		w := l.gained[i%gainedLength]
		if w == nil || !w.Accepting || !size.Fits(w.Free()) {
			continue
		}
		if s := score(w); best == nil || s < bestScore {
			best, bestScore = w, s
		}
	}
	return best, true
}
