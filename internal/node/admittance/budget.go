// Package admittance bounds what callers can make a VM hold: open connections, and the
// bytes of request bodies that are still being received.
package admittance

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors that this package returns.
const (
	// KindExhausted means that a budget has no room and nothing that could give way.
	KindExhausted Kind = "exhausted"
	// KindEvicted means that a body has given way to another one.
	KindEvicted Kind = "evicted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Budget limits the bytes of all bodies that are being received. When it is used up, the
// bodies that have waited longest without progress give way. It is safe for concurrent use.
type Budget struct {
	limit int
	mutex sync.Mutex
	// used is the sum of the bytes of all charges, and leaving the part of it that belongs to
	// evicted ones.
	used, leaving int
	charges       map[*Charge]struct{}
	// released is closed when bytes are released or a charge is evicted. It is nil while
	// nobody waits for that.
	released chan struct{}
}

// Charge is the part of a budget that one body uses. Its fields are protected by the mutex of
// the budget.
type Charge struct {
	budget *Budget
	bytes  int
	// progress is when the body last grew.
	progress time.Time
	evicted  bool
	// evict makes the receiver of the body give up, so that it calls Close.
	evict func()
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int) *Budget {
	return &Budget{limit: limit, charges: map[*Charge]struct{}{}}
}

// Limit returns the number of bytes that the budget allows.
func (b *Budget) Limit() int { return b.limit }

// Used returns the number of bytes in use.
func (b *Budget) Used() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// Open returns a charge of 0 bytes. evict is called at most once, if the charge must give way
// to another; it must not block. Close must be called after the body is no longer needed.
func (b *Budget) Open(now time.Time, evict func()) *Charge {
	c := &Charge{budget: b, progress: now, evict: evict}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.charges[c] = struct{}{}
	return c
}

// Grow adds n bytes to the charge. If they do not fit, it evicts other charges and waits until
// they have been closed or ctx is done. The error has KindExhausted if there are not enough
// other charges or ctx is done, and KindEvicted if this charge has given way itself.
func (c *Charge) Grow(ctx context.Context, n int, now time.Time) error {
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for {
		switch {
		case c.evicted:
			return fault.New[Kind]("grow", KindEvicted, nil)
		case b.used+n <= b.limit:
			b.used += n
			c.bytes += n
			c.progress = now
			return nil
		case !b.evictFor(c, n):
			return fault.Newf("grow", KindExhausted, "%d of %d bytes are in use", b.used, b.limit)
		}
		if b.released == nil {
			b.released = make(chan struct{})
		}
		released := b.released
		b.mutex.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
		}
		b.mutex.Lock()
		if ctx.Err() != nil && !c.evicted {
			return fault.New("grow", KindExhausted, ctx.Err())
		}
	}
}

// evictFor evicts the charges without progress for the longest time until n more bytes will
// fit for c, and reports whether they will.
func (b *Budget) evictFor(c *Charge, n int) bool {
	for b.used-b.leaving+n > b.limit {
		var stalest *Charge
		for o := range b.charges {
			if o != c && !o.evicted && o.bytes > 0 && (stalest == nil || o.progress.Before(stalest.progress)) {
				stalest = o
			}
		}
		if stalest == nil {
			return false
		}
		stalest.evicted = true
		b.leaving += stalest.bytes
		b.notify()
		stalest.evict()
	}
	return true
}

// notify wakes the calls of Grow that wait.
func (b *Budget) notify() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Touch records that the body has made progress.
func (c *Charge) Touch(now time.Time) {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	c.progress = now
}

// Evicted reports whether the charge has given way to another.
func (c *Charge) Evicted() bool {
	c.budget.mutex.Lock()
	defer c.budget.mutex.Unlock()
	return c.evicted
}

// Shrink releases n bytes of the charge.
func (c *Charge) Shrink(n int) {
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c.shrink(n)
}

func (c *Charge) shrink(n int) {
	b := c.budget
	c.bytes -= n
	b.used -= n
	if c.evicted {
		b.leaving -= n
	}
	b.notify()
}

// Close releases the charge. It may be called more than once.
func (c *Charge) Close() {
	b := c.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c.shrink(c.bytes)
	delete(b.charges, c)
}
