// Package recorder appends records to the platform's log with group commit: one
// append is in flight at a time, and each append carries the queued records of one
// stream. The entry VMs share a total rate of appends.
package recorder

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/logservice"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindQueueFull means that the queue is full; the record was not appended.
	KindQueueFull Kind = "full"
	// KindUnknown means that the record may or may not be in the log.
	KindUnknown Kind = "unknown_outcome"
	// KindAbandoned means that the caller's context ended before the append was
	// sent; the record was not appended.
	KindAbandoned Kind = "abandoned"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// MaxQueuedRecords is the maximum number of records in the queue.
	MaxQueuedRecords = 4096
	// maxBatchRecords is the maximum number of records in one append.
	maxBatchRecords = 256
	// maxAppendBurst is the number of appends that may exceed the rate after a
	// pause.
	maxAppendBurst = 4
)

// Recorder queues the records of one process and appends them in batches. It is
// safe for concurrent use.
type Recorder struct {
	log     logservice.Log
	limiter *rate.Limiter
	// wake tells run that the queue is not empty.
	wake chan struct{}

	mutex sync.Mutex
	queue []*pendingAppend
}

// pendingAppend is a queued record whose caller waits for the result.
type pendingAppend struct {
	ctx    context.Context
	stream string
	data   []byte
	result chan appendResult
}

type appendResult struct {
	offset uint64
	err    error
}

// New returns a recorder that appends to log at a limited rate. It runs until ctx
// ends; records that are queued then are not appended.
func New(ctx context.Context, log logservice.Log, appendsPerSecond float64) *Recorder {
	r := &Recorder{log: log, limiter: rate.NewLimiter(rate.Limit(appendsPerSecond), maxAppendBurst), wake: make(chan struct{}, 1)}
	go r.appendQueuedRecords(ctx)
	return r
}

// SetRate changes the maximum rate of appends.
func (r *Recorder) SetRate(appendsPerSecond float64) {
	r.limiter.SetLimit(rate.Limit(appendsPerSecond))
}

// Append appends one record to a stream and waits for its offset. It returns an
// error of KindQueueFull when the queue is full, and of KindUnknown when the append
// fails or ctx ends, since the record may be in the log then. If ctx ends before
// the append is sent, the error may also be of KindAbandoned.
func (r *Recorder) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	p := &pendingAppend{ctx: ctx, stream: stream, data: data, result: make(chan appendResult, 1)}
	r.mutex.Lock()
	if len(r.queue) >= MaxQueuedRecords {
		r.mutex.Unlock()
		return 0, fault.Newf("append", KindQueueFull, "%d records are queued already", MaxQueuedRecords)
	}
	r.queue = append(r.queue, p)
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	select {
	case result := <-p.result:
		return result.offset, result.err
	case <-ctx.Done():
		return 0, fault.New("append", KindUnknown, ctx.Err())
	}
}

// appendQueuedRecords appends batches until ctx ends.
func (r *Recorder) appendQueuedRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for {
			batch := r.nextBatch()
			if len(batch) == 0 {
				break
			}
			if r.limiter.Wait(ctx) != nil {
				return
			}
			r.appendBatch(ctx, batch)
		}
	}
}

// nextBatch removes the oldest record and others of its stream from the queue, at
// most maxBatchRecords of them. It drops records whose callers have given up.
func (r *Recorder) nextBatch() []*pendingAppend {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var batch, remaining []*pendingAppend
	for _, p := range r.queue {
		switch {
		case p.ctx.Err() != nil:
			p.result <- appendResult{err: fault.New("append", KindAbandoned, p.ctx.Err())}
		case len(batch) < maxBatchRecords && (len(batch) == 0 || batch[0].stream == p.stream):
			batch = append(batch, p)
		default:
			remaining = append(remaining, p)
		}
	}
	r.queue = remaining
	return batch
}

// appendBatch appends records of one stream and passes the results to the callers.
func (r *Recorder) appendBatch(ctx context.Context, batch []*pendingAppend) {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	first, err := r.log.Append(ctx, batch[0].stream, records)
	for i, p := range batch {
		if err != nil {
			p.result <- appendResult{err: fault.New("append", KindUnknown, err)}
			continue
		}
		p.result <- appendResult{offset: first + uint64(i)}
	}
}
