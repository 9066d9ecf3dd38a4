package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/pkg/claim"
	"github.com/almondpost/almondpost/pkg/entry"
	"github.com/almondpost/almondpost/pkg/fault"
	"github.com/almondpost/almondpost/pkg/metrics"
	"github.com/almondpost/almondpost/pkg/request"
	"github.com/almondpost/almondpost/pkg/shard"
)

const (
	// outcomeRetention is how long an outcome can be fetched.
	outcomeRetention = 10 * time.Minute
	// maxFetchWait bounds the wait of one fetch.
	maxFetchWait = 30 * time.Second
	// maxSettledAnswer bounds the answers that are kept in the log.
	maxSettledAnswer = 16 << 10
	// claimTimeout bounds the claim of an idempotency key.
	claimTimeout = 2 * time.Second
	// orphanAttempts is how many attempt numbers are asked for when the entry
	// VM of a request is gone.
	orphanAttempts = 8
	pruneInterval  = 10 * time.Second
	// fetchPause is the pause between fetches of another request's outcome.
	fetchPause = 200 * time.Millisecond
)

// Requests holds the requests that were submitted to this entry VM.
type Requests struct {
	node  *Node
	table *shard.Map[*open]
	count atomic.Int64
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
		r.table.DeleteIf(func(_ string, o *open) bool {
			select {
			case <-o.done:
				return time.Since(o.ended) > outcomeRetention
			default:
				return false
			}
		})
	}
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
	go func() {
		defer cancel()
		outcome := r.work(ctx, request.Work{ID: id, Customer: customer, Spec: spec, Submitted: time.Now()})
		r.account(key, spec, outcome)
		o.outcome, o.ended = outcome, time.Now()
		close(o.done)
		r.count.Add(-1)
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

func (r *Requests) claimed(ctx context.Context, w request.Work) request.Outcome {
	claimContext, cancel := context.WithTimeout(ctx, claimTimeout)
	result, err := r.node.claims.Claim(claimContext, w.Spec.Plan, w.Spec.Key, w.ID)
	cancel()
	if err != nil {
		return r.unclaimed(w, err)
	}
	if !result.Won {
		out := r.outcomeOfHolder(ctx, result)
		if out.Reason != reasonHolder {
			return out
		}
		return r.inherit(ctx, w, result)
	}
	// After a pause another entry VM may have concluded that this one is gone.
	epoch := r.node.owner.Epoch()
	w.Permit = func() bool { return r.node.owner.Epoch() == epoch }
	out := r.node.runner.Run(ctx, w)
	go r.settle(w, out)
	return out
}

// unclaimed answers a request whose key could not be claimed. Since the append
// may have taken effect, the key is released.
func (r *Requests) unclaimed(w request.Work, err error) request.Outcome {
	kind := fault.KindOf[claim.Kind](err)
	if kind != claim.KindUnavailable {
		return refused(w.ID, string(kind), 0)
	}
	go r.release(w)
	return refused(w.ID, string(kind), retryAfterLog)
}

// release frees a key, with retries as long as the process lives.
func (r *Requests) release(w request.Work) {
	r.insist(func(ctx context.Context) error {
		return r.node.claims.Release(ctx, w.Spec.Plan, w.Spec.Key, w.ID)
	})
}

func (r *Requests) settle(w request.Work, out request.Outcome) {
	if out.State == request.NotRun || out.State == request.Cancelled && out.Attempts == 0 {
		r.release(w)
		return
	}
	if len(out.Answer) > maxSettledAnswer {
		return
	}
	data, err := json.Marshal(out)
	if err != nil {
		return
	}
	r.insist(func(ctx context.Context) error {
		return r.node.claims.Settle(ctx, w.Spec.Plan, w.Spec.Key, w.ID, data)
	})
}

// insist repeats an append until it succeeds, with a growing pause, at most as
// long as keys are accepted.
func (r *Requests) insist(f func(ctx context.Context) error) {
	pause := time.Second
	for began := time.Now(); time.Since(began) < claim.Window; {
		ctx, cancel := context.WithTimeout(r.node.run, claimTimeout)
		err := f(ctx)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-r.node.run.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Minute)
	}
}

// outcomeOfHolder answers a resent key with the outcome of the request that
// holds it.
func (r *Requests) outcomeOfHolder(ctx context.Context, c claim.Result) request.Outcome {
	var out request.Outcome
	if len(c.Outcome) > 0 && json.Unmarshal(c.Outcome, &out) == nil {
		return out
	}
	for r.node.run.Err() == nil {
		out, known := r.Fetch(ctx, c.Holder, maxFetchWait)
		if known && out.State.Ended() {
			return out
		}
		if !known || ctx.Err() != nil {
			break
		}
		time.Sleep(fetchPause)
	}
	return request.Outcome{ID: c.Holder, State: request.MayHaveRun, Reason: reasonHolder}
}

// inheritTimeout bounds the search for what became of a request whose entry VM
// is gone.
const inheritTimeout = 25 * time.Second

// inherit finds out what became of a claimed key whose entry VM is gone. The
// request is fenced at the owners of its failure domain; when it is proved that
// it never ran and never will, the key is released and claimed anew.
func (r *Requests) inherit(ctx context.Context, w request.Work, c claim.Result) request.Outcome {
	unknown := request.Outcome{ID: c.Holder, State: request.MayHaveRun, Reason: reasonHolder}
	domain, _, ok := splitID(c.Holder)
	if !ok {
		return unknown
	}
	search, cancel := context.WithTimeout(ctx, inheritTimeout)
	defer cancel()
	barrier := time.Now().Add(2*entry.HolderLease + time.Second)
	found, err := r.node.runner.TakeOver(search, domain, map[string]int{c.Holder: 1}, barrier)
	if err != nil {
		return unknown
	}
	if f, ok := found[c.Holder]; ok {
		former := request.Work{ID: c.Holder, Customer: w.Customer, Spec: w.Spec, Submitted: w.Submitted, Known: f.Attempt, KnownAt: f.Owner}
		out := r.node.runner.Run(ctx, former)
		go r.settle(former, out)
		return out
	}
	if err := r.node.claims.Release(search, w.Spec.Plan, w.Spec.Key, c.Holder); err != nil {
		return unknown
	}
	r.node.Log.Info("key_inherited", "from", c.Holder, "by", w.ID)
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

// Serve answers a fetch of another entry VM.
func (r *Requests) Serve(a entry.FetchArgs) entry.FetchReply {
	if a.Job {
		status, ok := r.node.jobs.wait(context.Background(), a.ID, a.Wait)
		data, err := json.Marshal(status)
		return entry.FetchReply{Known: ok && err == nil, Outcome: data}
	}
	if a.Cancel {
		return entry.FetchReply{Known: r.Cancel(a.ID)}
	}
	out, ok := r.Wait(context.Background(), a.ID, min(a.Wait, maxFetchWait))
	if !ok {
		return entry.FetchReply{}
	}
	data, err := json.Marshal(out)
	return entry.FetchReply{Known: err == nil, Outcome: data}
}

// splitID returns the failure domain and the entry VM that an ID names.
func splitID(id string) (domain, vm string, ok bool) {
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// Fetch returns the outcome of a request wherever it was submitted.
func (r *Requests) Fetch(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool) {
	domain, vm, ok := splitID(id)
	if !ok {
		return request.Outcome{}, false
	}
	wait = min(wait, maxFetchWait)
	if vm == r.node.Settings.Name {
		if out, known := r.Wait(ctx, id, wait); known {
			return out, true
		}
		return r.orphan(ctx, domain, id)
	}
	callContext, cancel := context.WithTimeout(ctx, wait+entry.CallTimeout)
	defer cancel()
	reply, err := callPeer[entry.FetchReply](callContext, r.node, vm, "Fetch", entry.FetchArgs{ID: id, Wait: wait})
	var out request.Outcome
	if err == nil && reply.Known && json.Unmarshal(reply.Outcome, &out) == nil {
		return out, true
	}
	return r.orphan(ctx, domain, id)
}

// orphan looks for a request whose entry VM is gone among the attempts that
// the owners of its failure domain know.
func (r *Requests) orphan(ctx context.Context, domain, id string) (request.Outcome, bool) {
	attempts := make([]string, 0, orphanAttempts)
	for i := range orphanAttempts {
		attempts = append(attempts, request.AttemptID(id, i+1))
	}
	for _, t := range r.node.Targets() {
		if t.Domain != domain || !t.Reachable {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, entry.CallTimeout)
		reply, err := r.node.Resolve(callContext, t, entry.ResolveArgs{Attempts: attempts, Peek: true})
		cancel()
		if err != nil {
			continue
		}
		for _, s := range reply.Found {
			if s.State == entry.Finished {
				out := request.Outcome{ID: id, State: request.Done}
				out.SetAnswer(s.Answer)
				return out, true
			}
			if !s.State.Ended() {
				return request.Outcome{ID: id, State: request.Pending}, true
			}
		}
	}
	return request.Outcome{}, false
}

// Submit implements caller.Service.
func (n *Node) Submit(spec request.Spec) (string, *request.Outcome) { return n.requests.Submit(spec) }

// Fetch implements caller.Service.
func (n *Node) Fetch(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool) {
	return n.requests.Fetch(ctx, id, wait)
}

// CancelRequest implements caller.Service.
func (n *Node) CancelRequest(ctx context.Context, id string) bool {
	_, vm, ok := splitID(id)
	if !ok {
		return false
	}
	if vm == n.Settings.Name {
		return n.requests.Cancel(id)
	}
	reply, err := callPeer[entry.FetchReply](ctx, n, vm, "Fetch", entry.FetchArgs{ID: id, Cancel: true})
	return err == nil && reply.Known
}
