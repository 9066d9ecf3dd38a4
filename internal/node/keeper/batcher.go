package keeper

import (
	"sync"
	"time"
)

// batcher gathers items for one peer and sends them, one batch at a time.
type batcher[T any] struct {
	// gather is how long the first item of a batch waits for others.
	gather time.Duration
	// send returns when the peer has the batch, or when it is given up.
	send func(items []T)

	mutex   sync.Mutex
	waiting []T
	// sending tells that a goroutine takes care of what waits.
	sending bool
}

func newBatcher[T any](gather time.Duration, send func(items []T)) *batcher[T] {
	return &batcher[T]{gather: gather, send: send}
}

// add puts an item into the next batch.
func (b *batcher[T]) add(item T) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.waiting = append(b.waiting, item)
	if !b.sending {
		b.sending = true
		go b.drain()
	}
}

// drain sends batches until nothing waits.
func (b *batcher[T]) drain() {
	for {
		if b.gather > 0 {
			time.Sleep(b.gather)
		}
		b.mutex.Lock()
		items := b.waiting
		b.waiting = nil
		b.sending = len(items) > 0
		b.mutex.Unlock()
		if len(items) == 0 {
			return
		}
		b.send(items)
	}
}
