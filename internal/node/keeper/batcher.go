package keeper

import (
	"sync"
	"time"
)

// batcher collects items for one receiver and sends them in batches, one batch at a
// time.
type batcher[T any] struct {
	// batchDelay is the wait before a batch is sent, so that more items can join it.
	batchDelay time.Duration
	// sendBatch sends a batch. It returns when the receiver has confirmed the batch or no
	// further attempt is made.
	sendBatch func(items []T)

	mutex sync.Mutex
	// pendingItems holds the items of the next batch.
	pendingItems []T
	// sending is true while a goroutine runs sendBatches.
	sending bool
}

func newBatcher[T any](delay time.Duration, send func(items []T)) *batcher[T] {
	return &batcher[T]{batchDelay: delay, sendBatch: send}
}

// add adds an item to the next batch and returns at once.
func (b *batcher[T]) add(item T) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.pendingItems = append(b.pendingItems, item)
	if !b.sending {
		b.sending = true
		go b.sendBatches()
	}
}

// sendBatches sends batches until no item is pending.
func (b *batcher[T]) sendBatches() {
	for {
		if b.batchDelay > 0 {
			time.Sleep(b.batchDelay)
		}
		b.mutex.Lock()
		items := b.pendingItems
		b.pendingItems = nil
		b.sending = len(items) > 0
		b.mutex.Unlock()
		if len(items) == 0 {
			return
		}
		b.sendBatch(items)
	}
}
