package keeper

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// bypassTime is how long a worker is called directly after a call through its keeper
	// got no answer. It covers a hold that extends no lease and the next one, which does.
	bypassTime = 2 * time.Second
	// bypassRetryDelay is the shortest time between an unanswered direct call and the next
	// bypass of the keeper. It limits the direct calls to workers that have crashed.
	// A stop is not delayed.
	bypassRetryDelay = 2 * time.Second
	// maxBypasses is the largest number of direct calls at a time that bypass a keeper to
	// a worker that has not answered such a call yet. Stops may double it.
	maxBypasses = 64
)

// WorkerClient is the backend.Worker that calls a worker through its keeper, or
// directly if there is no usable keeper. After a call through the keeper got no answer, it
// calls directly for bypassTime or until such a call gets no answer, so that the failures of
// one way do not cut off the worker. The deadline of each context must include
// ForwardingMargin for the way through the keeper and back. In a fleet that needs keepers, a
// direct call has all of that time, since the link of a leader without them may be busy.
type WorkerClient struct {
	dispatcher   *Dispatcher
	registration backend.Registration
	// directClient calls the worker from this VM, without a keeper.
	directClient backend.Worker

	mutex sync.Mutex
	// stopBypass is for stops, and bypass for all other calls: a stop that is lost must not
	// keep the next hold from trying the other way.
	bypass, stopBypass bypassState
	// keeperOfLastHold is the keeper through which the last hold went, or the zero value if
	// it went directly.
	keeperOfLastHold netip.AddrPort
}

// bypassState says when calls to a worker bypass its keeper.
type bypassState struct {
	// until is the time until which the keeper is bypassed. answered is true if the worker
	// has answered a direct call in this period.
	until    time.Time
	answered bool
	// failedAt is when a direct call that bypassed the keeper last got no answer.
	failedAt time.Time
}

// bypassOf returns the state for stops or for other calls. The caller must hold the mutex.
func (w *WorkerClient) bypassOf(isStop bool) *bypassState {
	if isStop {
		return &w.stopBypass
	}
	return &w.bypass
}

// NewWorkerClient returns a client for the worker with registration r. direct is the
// client that calls it directly from this VM.
func NewWorkerClient(d *Dispatcher, r backend.Registration, direct backend.Worker) *WorkerClient {
	return &WorkerClient{dispatcher: d, registration: r, directClient: direct}
}

// Start implements backend.Worker.
func (w *WorkerClient) Start(ctx context.Context, s backend.Start) (time.Duration, error) {
	a, err := w.call(ctx, Call{Start: &s}, func(ctx context.Context) (a Answer, err error) {
		a.Clock, err = w.directClient.Start(ctx, s)
		return a, err
	})
	return a.Clock, err
}

// Stop implements backend.Worker.
func (w *WorkerClient) Stop(ctx context.Context, s backend.Stop) error {
	_, err := w.call(ctx, Call{Stop: &s}, func(ctx context.Context) (Answer, error) {
		return Answer{}, w.directClient.Stop(ctx, s)
	})
	return err
}

// Pace implements backend.Worker.
func (w *WorkerClient) Pace(ctx context.Context, p backend.Pace) error {
	_, err := w.call(ctx, Call{Pace: &p}, func(ctx context.Context) (Answer, error) {
		return Answer{}, w.directClient.Pace(ctx, p)
	})
	return err
}

// Hold implements backend.Worker.
func (w *WorkerClient) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	a, err := w.call(ctx, Call{Hold: &h}, func(ctx context.Context) (Answer, error) {
		report, err := w.directClient.Hold(ctx, h)
		return Answer{Report: &report}, err
	})
	if err != nil {
		return backend.Report{}, err
	}
	if a.Report == nil {
		return backend.Report{}, fault.Newf("hold", backend.KindUnknown, "the answer of the keeper to the hold contains no report")
	}
	return *a.Report, nil
}

// Close implements backend.Worker.
func (w *WorkerClient) Close() { w.directClient.Close() }

// call makes a call through the keeper, or with the function direct if there is no usable keeper
// or it has certainly not made the call.
func (w *WorkerClient) call(ctx context.Context, c Call, direct func(ctx context.Context) (Answer, error)) (Answer, error) {
	keeper, ok := w.dispatcher.usableKeeper(&w.registration)
	bypass, limited := false, false
	if ok {
		bypass, limited = w.beginBypass(c.Stop != nil)
	}
	if c.Hold != nil {
		w.noteHold(keeper, ok && !bypass)
	}
	if ok && !bypass {
		c.Life, c.Address = w.registration.Life, w.registration.Address
		a, err := w.dispatcher.call(ctx, keeper, c.operation(), c)
		if !isNotCarried(err) || ctx.Err() != nil {
			w.noteKeeperResult(err)
			return a, err
		}
		if c.Hold != nil {
			w.noteHold(keeper, false)
		}
	}
	if !w.dispatcher.assignment.Load().needsKeepers() {
		shorter, cancel := withoutForwardingMargin(ctx)
		defer cancel()
		ctx = shorter
	}
	a, err := direct(ctx)
	if bypass {
		w.endBypass(c.Stop != nil, limited, err)
	}
	return a, err
}

// noteKeeperResult begins to bypass the keeper if a call through it got no answer.
func (w *WorkerClient) noteKeeperResult(err error) {
	if !isUnanswered(err) {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, b := range []*bypassState{&w.bypass, &w.stopBypass} {
		b.until, b.answered = time.Now().Add(bypassTime), false
	}
}

// noteHold notes by which way a hold goes.
func (w *WorkerClient) noteHold(keeper netip.AddrPort, throughKeeper bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.keeperOfLastHold = netip.AddrPort{}
	if throughKeeper {
		w.keeperOfLastHold = keeper
	}
}

// KeeperOfLastHold returns the address of the keeper through which the last hold went, or
// the zero value if it went directly.
func (w *WorkerClient) KeeperOfLastHold() netip.AddrPort {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.keeperOfLastHold
}

// beginBypass reports whether to bypass the keeper now. If so, endBypass must be called.
// limited is true if the call counts towards maxBypasses.
func (w *WorkerClient) beginBypass(isStop bool) (bypass, limited bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	b := w.bypassOf(isStop)
	switch {
	case !time.Now().Before(b.until):
		return false, false
	case b.answered:
		return true, false
	case !isStop && time.Since(b.failedAt) < bypassRetryDelay:
		return false, false
	}
	limit := int64(maxBypasses)
	if isStop {
		limit *= 2
	}
	if w.dispatcher.bypasses.Add(1) > limit {
		w.dispatcher.bypasses.Add(-1)
		return false, false
	}
	return true, true
}

// endBypass must be called with the result of a call that bypassed the keeper.
func (w *WorkerClient) endBypass(isStop, limited bool, err error) {
	if limited {
		w.dispatcher.bypasses.Add(-1)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	b := w.bypassOf(isStop)
	switch {
	case err == nil:
		b.answered = true
	case isUnanswered(err):
		b.until, b.failedAt = time.Time{}, time.Now()
	}
}

// isUnanswered reports whether a call has failed because the worker could not be reached,
// or its answer did not arrive. A call that the caller has interrupted does not count, nor
// one whose keeper has failed, since usableKeeper passes such a keeper over.
func isUnanswered(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, errKeeperFailed) {
		return false
	}
	kind := fault.KindOr(err, backend.KindUnknown)
	return kind == backend.KindUnknown || kind == backend.KindUnreachable
}

// withoutForwardingMargin returns a copy of ctx whose deadline, if there is one, is
// ForwardingMargin earlier.
func withoutForwardingMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-ForwardingMargin))
}
