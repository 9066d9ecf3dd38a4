package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/node/shard"
	"github.com/almondpost/almondpost/internal/operate/metrics"
)

const (
	// outcomeRetention is how long an outcome can be fetched.
	outcomeRetention = 10 * time.Minute
	// maxAnswerBytes bounds the answers that are kept, at each pruning.
	maxAnswerBytes = 48 << 20
	// maxFetchWait bounds the wait of one fetch.
	maxFetchWait = 30 * time.Second
	// maxSettledAnswer bounds the answers that are kept in the log.
	maxSettledAnswer = 16 << 10
	// claimTimeout bounds the claim of an idempotency key.
	claimTimeout = 2 * time.Second
	// orphanAttempts is how many attempt numbers are asked for when the entry
	// VM of a request is gone.
	orphanAttempts = 8
	pruneInterval  = 2 * time.Second
	// fetchPause is the pause between fetches of another request's outcome.
	fetchPause = 200 * time.Millisecond
)

// Requests holds the requests that were submitted to this entry VM.
type Requests struct {
	node  *Node
	table *shard.Map[*open]
	count atomic.Int64
	// payload is the sum of the payloads of open requests, in bytes.
	payload atomic.Int64
	// answers is the sum of the answers in the table, in bytes.
	answers atomic.Int64
}

// open is a request of this VM, until outcomeRetention after its end.
type open struct {
	cancel  context.CancelFunc
	done    chan struct{}
	outcome request.Outcome
	ended   time.Time
}

// NewRequests returns an empty table.
func NewRequests(n *Node) *Requests {
	r := &Requests{node: n, table: shard.New[*open]()}
	go r.pruneLoop()
	return r
}

func (r *Requests) pruneLoop() {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.node.run.Done():
			return
		case <-tick.C:
		}
		// Large answers are kept for a shorter time.
		for retention := outcomeRetention; ; retention /= 2 {
			r.prune(retention)
			if r.answers.Load() <= maxAnswerBytes || retention < time.Second {
				break
			}
		}
	}
}

// prune forgets the requests that ended longer ago than a time.
func (r *Requests) prune(retention time.Duration) {
	r.table.DeleteIf(func(_ string, o *open) bool {
		select {
		case <-o.done:
		default:
			return false
		}
		if time.Since(o.ended) <= retention {
			return false
		}
		r.answers.Add(-int64(len(o.outcome.Answer)))
		return true
	})
}

// Open returns the number of requests that have not ended.
func (r *Requests) Open() int { return int(r.count.Load()) }

// NewID returns an ID that names the failure domain and the entry VM.
func (n *Node) NewID() string {
	return n.Settings.Domain + "." + n.Settings.Name + "." + ulid.Make().String()
}

// refused returns the outcome of a request that was not admitted.
func refused(id, reason string, retryAfter time.Duration) request.Outcome {
	return request.Outcome{ID: id, State: request.NotRun, Reason: reason, RetryAfterMilliseconds: retryAfter.Milliseconds()}
}

// Reasons of the gateway for "not run".
const (
	reasonPayload   = "payload_limit"
	reasonOverload  = "too_many_open"
	reasonNoPlans   = "no_configuration"
	reasonUnknown   = "unknown_plan"
	reasonHolder    = "holder_unreachable"
	retryAfterShort = time.Second
	retryAfterLog   = 5 * time.Second
)

// Submit admits a request and returns its ID; the outcome follows through
// Wait. A refused request has an outcome at once.
func (r *Requests) Submit(spec request.Spec) (string, *request.Outcome) {
	n := r.node
	id := n.NewID()
	version := n.store.Current()
	customer := version.Index.Customer(spec.Plan)
	key := metrics.Key{Customer: customer, Plan: spec.Plan, Class: string(spec.Class)}
	if reason, after := r.admission(spec); reason != "" {
		if customer != "" {
			n.metrics.Update(key, func(s *metrics.Summary) { s.Submitted++; s.NotRun++ })
		}
		out := refused(id, reason, after)
		return id, &out
	}
	n.metrics.Update(key, func(s *metrics.Summary) { s.Submitted++ })
	ctx, cancel := context.WithCancel(context.Background())
	o := &open{cancel: cancel, done: make(chan struct{})}
	r.table.Set(id, o)
	r.count.Add(1)
	size := int64(len(spec.Payload))
	r.payload.Add(size)
	go func() {
		defer cancel()
		outcome := r.work(ctx, request.Work{ID: id, Customer: customer, Spec: spec, Submitted: time.Now()})
		r.account(key, spec, outcome)
		o.outcome, o.ended = outcome, time.Now()
		r.answers.Add(int64(len(outcome.Answer)))
		close(o.done)
		r.count.Add(-1)
		r.payload.Add(-size)
	}()
	return id, nil
}

func (r *Requests) admission(spec request.Spec) (reason string, retryAfter time.Duration) {
	n := r.node
	version := n.store.Current()
	switch {
	case version.Offset == 0:
		return reasonNoPlans, retryAfterShort
	case version.Index.Customer(spec.Plan) == "":
		return reasonUnknown, 0
	case r.Open() >= n.Settings.OpenLimit:
		return reasonOverload, retryAfterShort
	case r.payload.Load()+int64(len(spec.Payload)) > n.Settings.PayloadLimitBytes:
		return reasonPayload, retryAfterShort
	}
	return "", 0
}

func (r *Requests) account(key metrics.Key, spec request.Spec, o request.Outcome) {
	r.node.metrics.Update(key, func(s *metrics.Summary) {
		switch o.State {
		case request.Done:
			s.Answered++
			s.Used += spec.Size.Milliprocessors * spec.RunTimeMilliseconds / 1000
		case request.NotRun:
			s.NotRun++
		default:
			s.Other++
		}
	})
}

// work runs a request to its outcome. What may not repeat is claimed first.
func (r *Requests) work(ctx context.Context, w request.Work) request.Outcome {
	if w.Spec.Key == "" {
		return r.node.runner.Run(ctx, w)
	}
	return r.claimed(ctx, w)
}

// Wait waits for the end of a request of this VM.
func (r *Requests) Wait(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool) {
	o, ok := r.table.Get(id)
	if !ok {
		return request.Outcome{}, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-o.done:
		return o.outcome, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return request.Outcome{ID: id, State: request.Pending}, true
}

// Cancel cancels a request of this VM.
func (r *Requests) Cancel(id string) bool {
	o, ok := r.table.Get(id)
	if ok {
		o.cancel()
	}
	return ok
}

// Submit implements caller.Service.
func (n *Node) Submit(spec request.Spec) (string, *request.Outcome) { return n.requests.Submit(spec) }
