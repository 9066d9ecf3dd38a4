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
	// outcomeRetention is how long the outcome of an ended request is kept for
	// callers to fetch. It is kept for a shorter time if the answers exceed
	// maxRetainedAnswerBytes.
	outcomeRetention = 10 * time.Minute
	// maxRetainedAnswerBytes bounds the total size of retained answers. It is
	// enforced once per pruneInterval.
	maxRetainedAnswerBytes = 48 << 20
	// maxFetchWait bounds how long one fetch waits for the end of a request or
	// job.
	maxFetchWait = 30 * time.Second
	// maxLoggedAnswerBytes bounds an answer that is written to the log. Larger
	// answers are left out of it.
	maxLoggedAnswerBytes = 16 << 10
	// claimTimeout bounds one try to claim, settle or release an idempotency key
	// in the log.
	claimTimeout = 2 * time.Second
	// maxOrphanAttempts is the number of attempts, from the first one on, that
	// are looked up when the entry VM of a request is gone.
	maxOrphanAttempts = 8
	pruneInterval     = 2 * time.Second
	// holderFetchPause is the pause between two attempts to fetch the outcome of
	// the request that holds an idempotency key.
	holderFetchPause = 200 * time.Millisecond
)

// Requests tracks the requests that were submitted to this entry VM, from their
// admission until at most outcomeRetention after their end.
type Requests struct {
	node      *Node
	table     *shard.Map[*trackedRequest]
	openCount atomic.Int64
	// openPayloadBytes is the total size of the payloads of open requests.
	openPayloadBytes atomic.Int64
	// answerBytes is the total size of the answers in the table.
	answerBytes atomic.Int64
}

// trackedRequest is an open or ended request. The fields outcome and ended are
// valid once done is closed.
type trackedRequest struct {
	cancel  context.CancelFunc
	done    chan struct{}
	outcome request.Outcome
	ended   time.Time
}

// NewRequests returns an empty table of requests and starts to prune it.
func NewRequests(n *Node) *Requests {
	r := &Requests{node: n, table: shard.New[*trackedRequest]()}
	go r.pruneLoop()
	return r
}

func (r *Requests) pruneLoop() {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.node.context.Done():
			return
		case <-ticker.C:
		}
		// If the answers exceed their limit, the retention is halved until they
		// fit or it is below one second.
		for retention := outcomeRetention; ; retention /= 2 {
			r.pruneEndedRequests(retention)
			if r.answerBytes.Load() <= maxRetainedAnswerBytes || retention < time.Second {
				break
			}
		}
	}
}

// pruneEndedRequests deletes the requests that ended longer ago than retention.
func (r *Requests) pruneEndedRequests(retention time.Duration) {
	r.table.DeleteIf(func(_ string, o *trackedRequest) bool {
		select {
		case <-o.done:
		default:
			return false
		}
		if time.Since(o.ended) <= retention {
			return false
		}
		r.answerBytes.Add(-int64(len(o.outcome.Answer)))
		return true
	})
}

// OpenCount returns the number of requests that have not ended.
func (r *Requests) OpenCount() int { return int(r.openCount.Load()) }

// NewID returns a unique ID for a request or job. It contains the failure
// domain and the name of this entry VM, so that other entry VMs know where to
// fetch it.
func (n *Node) NewID() string {
	return n.Settings.Domain + "." + n.Settings.Name + "." + ulid.Make().String()
}

// refusedOutcome returns the outcome of a request that was refused and never
// ran.
func refusedOutcome(id, reason string, retryAfter time.Duration) request.Outcome {
	return request.Outcome{ID: id, State: request.NotRun, Reason: reason, RetryAfterMilliseconds: retryAfter.Milliseconds()}
}

// Reasons and retry delays in the outcomes of requests that were refused or
// whose outcome is unknown.
const (
	reasonPayloadLimit        = "payload_limit"
	reasonTooManyOpenRequests = "too_many_open"
	reasonNoConfiguration     = "no_configuration"
	reasonUnknownPlan         = "unknown_plan"
	// reasonHolderUnreachable means that the entry VM which held the request, its
	// key or its job is gone, so it is unknown whether the request ran.
	reasonHolderUnreachable = "holder_unreachable"
	retryAfterShort         = time.Second
	retryAfterLogOutage     = 5 * time.Second
)

// Submit admits a request, starts it in the background and returns its ID. Wait
// returns its outcome later. If the request is refused, Submit returns the
// outcome as well.
func (r *Requests) Submit(spec request.Spec) (string, *request.Outcome) {
	n := r.node
	id := n.NewID()
	version := n.configuration.Current()
	customer := version.Index.Customer(spec.Plan)
	key := metrics.Key{Customer: customer, Plan: spec.Plan, Class: string(spec.Class)}
	if reason, retryAfter := r.checkAdmission(spec); reason != "" {
		if customer != "" {
			n.metrics.Update(key, func(s *metrics.Summary) { s.Submitted++; s.NotRun++ })
		}
		outcome := refusedOutcome(id, reason, retryAfter)
		return id, &outcome
	}
	n.metrics.Update(key, func(s *metrics.Summary) { s.Submitted++ })
	ctx, cancel := context.WithCancel(context.Background())
	o := &trackedRequest{cancel: cancel, done: make(chan struct{})}
	r.table.Set(id, o)
	r.openCount.Add(1)
	size := int64(len(spec.Payload))
	r.openPayloadBytes.Add(size)
	go func() {
		defer cancel()
		outcome := r.execute(ctx, request.Work{ID: id, Customer: customer, Spec: spec, Submitted: time.Now()})
		r.recordMetrics(key, spec, outcome)
		o.outcome, o.ended = outcome, time.Now()
		r.answerBytes.Add(int64(len(outcome.Answer)))
		close(o.done)
		r.openCount.Add(-1)
		r.openPayloadBytes.Add(-size)
	}()
	return id, nil
}

// checkAdmission returns the reason for refusing a request and the time after
// which the caller may retry. The reason is empty if the request is admitted.
func (r *Requests) checkAdmission(spec request.Spec) (reason string, retryAfter time.Duration) {
	n := r.node
	version := n.configuration.Current()
	switch {
	case version.Offset == 0:
		return reasonNoConfiguration, retryAfterShort
	case version.Index.Customer(spec.Plan) == "":
		return reasonUnknownPlan, 0
	case r.OpenCount() >= n.Settings.OpenLimit:
		return reasonTooManyOpenRequests, retryAfterShort
	case r.openPayloadBytes.Load()+int64(len(spec.Payload)) > n.Settings.PayloadLimitBytes:
		return reasonPayloadLimit, retryAfterShort
	}
	return "", 0
}

// recordMetrics counts the outcome of a request in the metrics.
func (r *Requests) recordMetrics(key metrics.Key, spec request.Spec, o request.Outcome) {
	r.node.metrics.Update(key, func(s *metrics.Summary) {
		switch o.State {
		case request.Done:
			s.Answered++
			s.Used += spec.Size.Milliprocessors * spec.RunTimeMilliseconds / 1000
		case request.NotRun:
			s.NotRun++
		default:
			s.OtherOutcomes++
		}
	})
}

// execute runs a request and returns its outcome. If the request has an
// idempotency key, the key is claimed first.
func (r *Requests) execute(ctx context.Context, w request.Work) request.Outcome {
	if w.Spec.Key == "" {
		return r.node.runner.Run(ctx, w)
	}
	return r.executeWithKey(ctx, w)
}

// Wait waits for the end of a request that was submitted to this VM and returns
// its outcome. If wait has elapsed or ctx ends first, the state is pending. It
// returns false if the request is unknown.
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

// Cancel cancels a request that was submitted to this VM. It returns false if
// the request is unknown.
func (r *Requests) Cancel(id string) bool {
	o, ok := r.table.Get(id)
	if ok {
		o.cancel()
	}
	return ok
}

// Submit implements caller.Service.
func (n *Node) Submit(spec request.Spec) (string, *request.Outcome) { return n.requests.Submit(spec) }
