// Package admission provides the first-in first-out queues in which tasks wait
// for a worker. The allocator keeps one queue per plan and class and bounds its
// length.
package admission

import (
	"time"

	"github.com/almondpost/almondpost/internal/operate/invariant"
)

// Item holds a value that waits in a Queue.
type Item[T any] struct {
	Value T
	// Deadline is the time from which waiting is pointless, so that RemoveExpired
	// removes the item; zero means never.
	Deadline time.Time
	// EnqueuedAt is when the item began to wait. The caller sets it.
	EnqueuedAt time.Time
	// removed is true once the item has been removed from the queue, even if
	// Queue.items still contains it.
	removed bool
}

// Queue is a first-in first-out queue. Removal takes constant time because
// Remove only marks an item as removed; the other methods skip marked items.
type Queue[T any] struct {
	items []*Item[T]
	// headIndex is the index of the first entry in items that is in use; the
	// entries before it are nil.
	headIndex int
	// length is the number of items in the queue. It does not count removed
	// items that the slice still contains.
	length int
}

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item at the end of the queue.
func (q *Queue[T]) Push(i *Item[T]) {
	q.items = append(q.items, i)
	q.length++
}

// Head returns the first item, or nil when the queue is empty.
func (q *Queue[T]) Head() *Item[T] {
	q.advanceHead()
	if q.headIndex >= len(q.items) {
		return nil
	}
	return q.items[q.headIndex]
}

// Tail returns the last item, or nil when the queue is empty.
func (q *Queue[T]) Tail() *Item[T] {
	for i := len(q.items) - 1; i >= q.headIndex; i-- {
		if !q.items[i].removed {
			return q.items[i]
		}
		q.items = q.items[:i]
	}
	return nil
}

// Remove removes an item from any position in amortised constant time. Removing
// an item twice has no effect.
func (q *Queue[T]) Remove(i *Item[T]) {
	if i.removed {
		return
	}
	i.removed = true
	q.length--
	invariant.Check(q.length >= 0, "negative_queue", "length %d", q.length)
	q.advanceHead()
}

// compactThreshold is the number of unused entries at the start of Queue.items
// above which the slice may be compacted. It prevents frequent copying of short
// queues.
const compactThreshold = 1024

// advanceHead moves headIndex past removed items and clears their entries. It
// compacts items when more than compactThreshold and more than half of its
// entries are unused.
func (q *Queue[T]) advanceHead() {
	for q.headIndex < len(q.items) && q.items[q.headIndex].removed {
		q.items[q.headIndex] = nil
		q.headIndex++
	}
	if q.headIndex > compactThreshold && q.headIndex*2 > len(q.items) {
		q.items = append(q.items[:0], q.items[q.headIndex:]...)
		q.headIndex = 0
	}
	if q.headIndex == len(q.items) {
		q.items, q.headIndex = q.items[:0], 0
	}
}

// RemoveExpired removes every item whose deadline is not after now, and calls f
// for each of them.
func (q *Queue[T]) RemoveExpired(now time.Time, f func(i *Item[T])) {
	for _, i := range q.items[q.headIndex:] {
		if i.removed || i.Deadline.IsZero() || i.Deadline.After(now) {
			continue
		}
		i.removed = true
		q.length--
		f(i)
	}
	q.advanceHead()
}
