// Package retry limits retries to a fraction of first attempts, so that retries
// cannot amplify an overload.
package retry

import "sync"

// Budget is a token bucket: each first attempt adds a fraction of a token, and
// each retry takes one token. It is safe for concurrent use.
type Budget struct {
	mutex sync.Mutex
	// tokens is between 0 and capacity.
	tokens   float64
	capacity float64
	// refillPerAttempt is the number of tokens that a first attempt adds.
	refillPerAttempt float64
}

// New returns a full budget. It allows ratio retries per first attempt in the
// long run, and a burst of at most capacity retries.
func New(ratio, capacity float64) *Budget {
	return &Budget{tokens: capacity, capacity: capacity, refillPerAttempt: ratio}
}

// RecordFirstAttempt adds a fraction of a token to the budget for a first
// attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.refillPerAttempt)
}

// TakeRetry takes one token for a retry. It returns false when the budget does
// not allow a retry.
func (b *Budget) TakeRetry() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
