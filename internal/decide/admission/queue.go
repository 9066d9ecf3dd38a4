// Package admission provides the first-in first-out queues in which tasks wait
// for a worker. The allocator keeps one queue per plan and class and bounds its
// length.
package admission

import (
	"time"

	"github.com/almondpost/almondpost/internal/operate/invariant"
)

// Item is one entry of a Queue.
type Item[T any] struct {
	Value T
	// Deadline is when RemoveExpired removes the item; zero means never.
	Deadline time.Time
	// EnqueuedAt is when the item began to wait. The caller sets it.
	EnqueuedAt time.Time
	// removed is set once the item has been removed. It may remain in
	// Queue.items after that.
	removed bool
}

// Queue is a first-in first-out queue. Removal takes constant time because
// Remove only marks an item; other methods skip marked items.
type Queue[T any] struct {
	items []*Item[T]
	// head is the index of the first item; the entries before it are nil.
	head int
	// length is the number of items that are not removed.
	length int
}

// Len returns the number of items that are not removed.
func (q *Queue[T]) Len() int { return q.length }

// Push adds an item at the end.
func (q *Queue[T]) Push(i *Item[T]) {
	q.items = append(q.items, i)
	q.length++
}

// Head returns the first item, or nil when the queue is empty.
func (q *Queue[T]) Head() *Item[T] {
	q.dropRemovedHead()
	if q.head >= len(q.items) {
		return nil
	}
	return q.items[q.head]
}

// Tail returns the last item, or nil when the queue is empty.
func (q *Queue[T]) Tail() *Item[T] {
	for i := len(q.items) - 1; i >= q.head; i-- {
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
	q.dropRemovedHead()
}

// minCompactHead is the number of unused entries before head that must be
// exceeded for items to be compacted. It prevents frequent copying of short
// queues.
const minCompactHead = 1024

// dropRemovedHead moves head past removed items and frees the entries before
// it.
func (q *Queue[T]) dropRemovedHead() {
	for q.head < len(q.items) && q.items[q.head].removed {
		q.items[q.head] = nil
		q.head++
	}
	if q.head > minCompactHead && q.head*2 > len(q.items) {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
}

// RemoveExpired removes every item whose deadline is not after now, and calls f
// for each of them.
func (q *Queue[T]) RemoveExpired(now time.Time, f func(i *Item[T])) {
	for _, i := range q.items[q.head:] {
		if i.removed || i.Deadline.IsZero() || i.Deadline.After(now) {
			continue
		}
		i.removed = true
		q.length--
		f(i)
	}
	q.dropRemovedHead()
}
