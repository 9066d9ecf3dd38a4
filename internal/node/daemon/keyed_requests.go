package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/claim"
)

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
	w.Domain = r.node.Settings.Domain
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
