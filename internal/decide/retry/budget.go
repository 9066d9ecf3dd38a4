// Package retry bounds retries to a fraction of first attempts, so that retries
// can not multiply a flood.
package retry

import "sync"

// Budget is a token bucket that every first attempt fills a little and every
// retry empties by one.
type Budget struct {
	mutex sync.Mutex
	// tokens is between 0 and capacity.
	tokens   float64
	capacity float64
	ratio    float64
}

// New returns a full budget that allows ratio retries per first attempt in the
// long run and capacity of them at once.
func New(ratio, capacity float64) *Budget {
	return &Budget{tokens: capacity, capacity: capacity, ratio: ratio}
}

// First notes a first attempt.
func (b *Budget) First() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// Take reports whether a retry is within the budget, and spends it.
func (b *Budget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
