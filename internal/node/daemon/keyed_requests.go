package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/claim"
)

// executeWithKey claims the idempotency key of a request and runs the request.
// If another request holds the key, it returns the outcome of that request, or
// recovers the key if the entry VM of that request is gone.
func (r *Requests) executeWithKey(ctx context.Context, w request.Work) request.Outcome {
	claimContext, cancel := context.WithTimeout(ctx, claimTimeout)
	result, err := r.node.claims.Claim(claimContext, w.Spec.Plan, w.Spec.Key, w.ID)
	cancel()
	if err != nil {
		return r.refuseRequestWithoutClaim(w, err)
	}
	if !result.Won {
		outcome := r.awaitHolderOutcome(ctx, result)
		if outcome.Reason != reasonHolderUnreachable {
			return outcome
		}
		return r.recoverOrphanedKey(ctx, w, result)
	}
	// If this process was paused, another entry VM may have concluded that this
	// one is gone and taken over the key. The owner starts a new epoch after a
	// pause, so the request may start only in the epoch that is read here.
	epoch := r.node.owner.Epoch()
	w.Domain = r.node.Settings.Domain
	w.Permit = func() bool { return r.node.owner.Epoch() == epoch }
	outcome := r.node.runner.Run(ctx, w)
	go r.recordKeyOutcome(w, outcome)
	return outcome
}

// refuseRequestWithoutClaim returns the outcome of a request whose key could not be
// claimed. If the log was unavailable, the claim may be in the log all the
// same, so the key is released in the background.
func (r *Requests) refuseRequestWithoutClaim(w request.Work, err error) request.Outcome {
	kind := fault.KindOf[claim.Kind](err)
	if kind != claim.KindLogUnavailable {
		return refusedOutcome(w.ID, string(kind), 0)
	}
	go r.releaseKey(w)
	return refusedOutcome(w.ID, string(kind), retryAfterLogOutage)
}

// releaseKey releases the key of a request, so that it can be claimed again.
// Failed appends are retried.
func (r *Requests) releaseKey(w request.Work) {
	r.retryAppend(func(ctx context.Context) error {
		return r.node.claims.Release(ctx, w.Spec.Plan, w.Spec.Key, w.ID)
	})
}

// recordKeyOutcome writes the outcome of a request with a key to the log, or releases
// the key if the request was not run. Outcomes with large answers are not
// written.
func (r *Requests) recordKeyOutcome(w request.Work, outcome request.Outcome) {
	if outcome.State == request.NotRun || outcome.State == request.Cancelled && outcome.Attempts == 0 {
		r.releaseKey(w)
		return
	}
	if len(outcome.Answer) > maxLoggedAnswerBytes {
		return
	}
	data, err := json.Marshal(outcome)
	if err != nil {
		return
	}
	r.retryAppend(func(ctx context.Context) error {
		return r.node.claims.Settle(ctx, w.Spec.Plan, w.Spec.Key, w.ID, data)
	})
}

// retryAppend repeats an append with exponential backoff until it succeeds or
// the node is closed. It gives up after claim.MaxKeyAge, because a key of that
// age is not accepted any more.
func (r *Requests) retryAppend(appendRecord func(ctx context.Context) error) {
	pause := time.Second
	for began := time.Now(); time.Since(began) < claim.MaxKeyAge; {
		ctx, cancel := context.WithTimeout(r.node.context, claimTimeout)
		err := appendRecord(ctx)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-r.node.context.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Minute)
	}
}

// awaitHolderOutcome waits for the end of the request that holds a key and returns
// its outcome. If the outcome cannot be fetched, the reason is
// reasonHolderUnreachable.
func (r *Requests) awaitHolderOutcome(ctx context.Context, result claim.Result) request.Outcome {
	var outcome request.Outcome
	if len(result.Outcome) > 0 && json.Unmarshal(result.Outcome, &outcome) == nil {
		return outcome
	}
	for r.node.context.Err() == nil {
		outcome, known := r.Fetch(ctx, result.Holder, maxFetchWait)
		if known && outcome.State.Ended() {
			return outcome
		}
		if !known || ctx.Err() != nil {
			break
		}
		time.Sleep(holderFetchPause)
	}
	return request.Outcome{ID: result.Holder, State: request.MayHaveRun, Reason: reasonHolderUnreachable}
}

// orphanedKeyTimeout bounds the search for the attempts of a request whose
// entry VM is gone.
const orphanedKeyTimeout = 25 * time.Second

// neverRanUnlessFound reports whether the request with an ID that NewID built has certainly never
// run if no attempt of it is found: an attempt that has ended is not listed forever.
func neverRanUnlessFound(id string, now time.Time) bool {
	parts := strings.Split(id, ".")
	u, err := ulid.Parse(parts[len(parts)-1])
	return err == nil && now.Sub(ulid.Time(u.Time())).Abs() < attemptListRetention
}

// recoverOrphanedKey handles a key whose holder is a request of an entry VM that
// is gone. It first fences the holder, so that the owners in its failure domain
// start no more attempts of it. If an attempt of the holder is found, it follows
// that attempt to its outcome. If it is certain that the holder never ran and
// never will, it releases the key and claims it for w.
func (r *Requests) recoverOrphanedKey(ctx context.Context, w request.Work, result claim.Result) request.Outcome {
	unknownOutcome := request.Outcome{ID: result.Holder, State: request.MayHaveRun, Reason: reasonHolderUnreachable}
	domain, _, ok := splitRequestID(result.Holder)
	if !ok {
		return unknownOutcome
	}
	searchContext, cancel := context.WithTimeout(ctx, orphanedKeyTimeout)
	defer cancel()
	barrier := time.Now().Add(2*entry.HolderLease + time.Second)
	found, err := r.node.runner.TakeOver(searchContext, domain, map[string]int{result.Holder: 1}, barrier)
	if err != nil {
		return unknownOutcome
	}
	if f, ok := found[result.Holder]; ok {
		former := request.Work{ID: result.Holder, Customer: w.Customer, Spec: w.Spec, Submitted: w.Submitted, ExistingAttempt: f.Attempt, ExistingAttemptOwner: f.Owner}
		outcome := r.node.runner.Run(ctx, former)
		go r.recordKeyOutcome(former, outcome)
		return outcome
	}
	if !neverRanUnlessFound(result.Holder, time.Now()) {
		return unknownOutcome
	}
	if err := r.node.claims.Release(searchContext, w.Spec.Plan, w.Spec.Key, result.Holder); err != nil {
		return unknownOutcome
	}
	r.node.Log.Info("key_inherited", "from", result.Holder, "by", w.ID)
	return r.executeWithKey(ctx, w)
}
