// Package history tells by when the records of a partition were stored.
//
// The store gives records no times, and the wall clocks of VMs differ. So VMs tell each other
// how long ago the partition had reached an offset. Such an age stays true however late it
// arrives: it is a lower bound on the time that has passed.
package history

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxAge is the age above which only the youngest point is kept.
	maxAge = 3 * time.Minute
	// A point between two others is dropped if these are no farther apart than minSpacing, or
	// than a share of its age. That limits the number of points, and the accuracy of StoredBy.
	minSpacing = time.Second
	ageShare   = 8
)

// Point says that all records before the offset End were stored at least Age ago.
type Point struct {
	End int64
	Age time.Duration
}

// reached is a Point with a time instead of its age: all records before the offset end were stored
// by the time at.
type reached struct {
	end int64
	at  time.Time
}

// History holds by when a partition had reached some of its offsets. Its methods may be called
// concurrently. The zero value knows nothing.
type History struct {
	mutex sync.Mutex
	// points is sorted by offset and by time.
	points []reached
}

// Add notes that all records before the offset end were stored by the time at.
func (h *History) Add(end int64, at time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.add(end, at)
	h.thin()
}

// Merge adds what another VM knows, as of the given time.
func (h *History) Merge(points []Point, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, p := range points {
		if p.Age >= 0 {
			h.add(p.End, now.Add(-p.Age))
		}
	}
	h.thin()
}

func compareEnds(p reached, end int64) int { return cmp.Compare(p.end, end) }

func (h *History) add(end int64, at time.Time) {
	i, known := slices.BinarySearchFunc(h.points, end, compareEnds)
	switch {
	case i < len(h.points) && !h.points[i].at.After(at):
		return // A later offset was reached no later.
	case known:
		h.points[i].at = at
	default:
		h.points = slices.Insert(h.points, i, reached{end, at})
	}
	earlier := i
	for earlier > 0 && !h.points[earlier-1].at.Before(at) {
		earlier--
	}
	h.points = slices.Delete(h.points, earlier, i)
}

// thin drops points between two others that lie close together, and those that are too old. The
// offsets of a dropped point count as reached at the next one.
func (h *History) thin() {
	newest := len(h.points) - 1
	kept := h.points[:0]
	for i, p := range h.points {
		age := h.points[newest].at.Sub(p.at)
		if n := len(kept); i < newest && n > 0 && h.points[i+1].at.Sub(kept[n-1].at) <= max(minSpacing, age/ageShare) {
			continue
		}
		if age > maxAge {
			kept = kept[:0]
		}
		kept = append(kept, p)
	}
	h.points = kept
}

// StoredBy returns the earliest time by which the record at an offset is known to have been
// stored. It is now if that is not known of an earlier time.
func (h *History) StoredBy(offset int64, now time.Time) time.Time {
	if h == nil || offset < 0 {
		return now
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	i, _ := slices.BinarySearchFunc(h.points, offset+1, compareEnds)
	if i == len(h.points) || h.points[i].at.After(now) {
		return now
	}
	return h.points[i].at
}

// Latest returns the point with the highest offset that is known, as of the given time.
func (h *History) Latest(now time.Time) []Point {
	points := h.Points(now)
	return points[max(len(points)-1, 0):]
}

// Points returns what is known, as of the given time, for other VMs.
func (h *History) Points(now time.Time) []Point {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	points := make([]Point, 0, len(h.points))
	for _, p := range h.points {
		points = append(points, Point{End: p.end, Age: max(now.Sub(p.at), 0)})
	}
	return points
}
