// Package admission holds bounded waiting queues per plan and class.
package admission

import (
	"time"

	"github.com/almondpost/almondpost/internal/operate/invariant"
)

// Item is one waiting element of a Queue.
type Item[T any] struct {
	Value T
	// Deadline is when waiting becomes hopeless; zero means never.
	Deadline time.Time
	// Since is when the item began to wait.
	Since   time.Time
	removed bool
}

// Queue is a first-in first-out queue with constant-time removal.
type Queue[T any] struct {
	items []*Item[T]
	head  int
	// live is the number of items that are not removed.
	live int
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.live }

// Push appends an item.
func (q *Queue[T]) Push(i *Item[T]) {
	q.items = append(q.items, i)
	q.live++
}

// Head returns the first item, or nil.
func (q *Queue[T]) Head() *Item[T] {
	q.skip()
	if q.head >= len(q.items) {
		return nil
	}
	return q.items[q.head]
}

// Tail returns the last item, or nil.
func (q *Queue[T]) Tail() *Item[T] {
	for i := len(q.items) - 1; i >= q.head; i-- {
		if !q.items[i].removed {
			return q.items[i]
		}
		q.items = q.items[:i]
	}
	return nil
}

// Remove takes an item out in constant time, wherever it stands.
func (q *Queue[T]) Remove(i *Item[T]) {
	if i.removed {
		return
	}
	i.removed = true
	q.live--
	invariant.Check(q.live >= 0, "negative_queue", "length %d", q.live)
	q.skip()
}

const compactAt = 1024

func (q *Queue[T]) skip() {
	for q.head < len(q.items) && q.items[q.head].removed {
		q.items[q.head] = nil
		q.head++
	}
	if q.head > compactAt && q.head*2 > len(q.items) {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
}

// Expired calls f for every item whose deadline is not after now and removes
// it.
func (q *Queue[T]) Expired(now time.Time, f func(i *Item[T])) {
	for _, i := range q.items[q.head:] {
		if i.removed || i.Deadline.IsZero() || i.Deadline.After(now) {
			continue
		}
		i.removed = true
		q.live--
		f(i)
	}
	q.skip()
}
