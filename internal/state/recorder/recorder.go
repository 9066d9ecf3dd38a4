// Package recorder appends to the platform's log with group commit: one append
// is under way at a time and carries everything of its stream that waits, under
// a rate that the entry VMs share.
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
	// KindFull means that too much waits already; nothing was appended.
	KindFull Kind = "full"
	// KindUnknown means that the record may or may not be in the log.
	KindUnknown Kind = "unknown_outcome"
	// KindAbandoned means that the caller gave up before the append was sent.
	KindAbandoned Kind = "abandoned"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Bounds of what waits.
const (
	MaxWaiting   = 4096
	maxBatch     = 256
	limiterBurst = 4
)

// Recorder serialises the appends of one process.
type Recorder struct {
	log     logservice.Log
	limiter *rate.Limiter
	wake    chan struct{}

	mutex   sync.Mutex
	waiting []*pending
}

type pending struct {
	ctx    context.Context
	stream string
	data   []byte
	done   chan result
}

type result struct {
	offset uint64
	err    error
}

// New returns a recorder with a rate in appends per second. It works until ctx
// ends.
func New(ctx context.Context, log logservice.Log, perSecond float64) *Recorder {
	r := &Recorder{log: log, limiter: rate.NewLimiter(rate.Limit(perSecond), limiterBurst), wake: make(chan struct{}, 1)}
	go r.run(ctx)
	return r
}

// SetRate changes the rate in appends per second.
func (r *Recorder) SetRate(perSecond float64) { r.limiter.SetLimit(rate.Limit(perSecond)) }

// Append appends one record and returns its offset.
func (r *Recorder) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	p := &pending{ctx: ctx, stream: stream, data: data, done: make(chan result, 1)}
	r.mutex.Lock()
	if len(r.waiting) >= MaxWaiting {
		r.mutex.Unlock()
		return 0, fault.Newf("append", KindFull, "%d records wait", MaxWaiting)
	}
	r.waiting = append(r.waiting, p)
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	select {
	case done := <-p.done:
		return done.offset, done.err
	case <-ctx.Done():
		return 0, fault.New("append", KindUnknown, ctx.Err())
	}
}

func (r *Recorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for {
			batch := r.take()
			if len(batch) == 0 {
				break
			}
			if r.limiter.Wait(ctx) != nil {
				return
			}
			r.send(ctx, batch)
		}
	}
}

// take removes the oldest waiting record and those of the same stream.
func (r *Recorder) take() []*pending {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var batch, rest []*pending
	for _, p := range r.waiting {
		switch {
		case p.ctx.Err() != nil:
			p.done <- result{err: fault.New("append", KindAbandoned, p.ctx.Err())}
		case len(batch) < maxBatch && (len(batch) == 0 || batch[0].stream == p.stream):
			batch = append(batch, p)
		default:
			rest = append(rest, p)
		}
	}
	r.waiting = rest
	return batch
}

func (r *Recorder) send(ctx context.Context, batch []*pending) {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	first, err := r.log.Append(ctx, batch[0].stream, records)
	for i, p := range batch {
		if err != nil {
			p.done <- result{err: fault.New("append", KindUnknown, err)}
			continue
		}
		p.done <- result{offset: first + uint64(i)}
	}
}
