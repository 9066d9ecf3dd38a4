package keeper

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// WorkerClient is the backend.Worker that calls a worker through its keeper, or
// directly if there is no usable keeper. The deadline of each context must include
// ForwardingMargin for the way through the keeper and back: in both cases the worker has
// that much less time to answer.
type WorkerClient struct {
	dispatcher   *Dispatcher
	registration backend.Registration
	// directClient calls the worker from this VM, without a keeper.
	directClient backend.Worker
}

// NewWorkerClient returns a client for the worker with registration r. direct is the
// client that calls it directly from this VM.
func NewWorkerClient(d *Dispatcher, r backend.Registration, direct backend.Worker) *WorkerClient {
	return &WorkerClient{d, r, direct}
}

// newCall returns a call to the worker. Hold, Start, Stop or Pace is still to be set.
func (w *WorkerClient) newCall() Call {
	return Call{Life: w.registration.Life, Address: w.registration.Address}
}

// Start implements backend.Worker.
func (w *WorkerClient) Start(ctx context.Context, s backend.Start) (time.Duration, error) {
	keeper, ok := w.dispatcher.usableKeeper(&w.registration)
	if !ok {
		ctx, cancel := withoutForwardingMargin(ctx)
		defer cancel()
		return w.directClient.Start(ctx, s)
	}
	c := w.newCall()
	c.Start = &s
	a, err := w.dispatcher.call(ctx, keeper, "start", c)
	return a.Clock, err
}

// Stop implements backend.Worker.
func (w *WorkerClient) Stop(ctx context.Context, s backend.Stop) error {
	keeper, ok := w.dispatcher.usableKeeper(&w.registration)
	if !ok {
		ctx, cancel := withoutForwardingMargin(ctx)
		defer cancel()
		return w.directClient.Stop(ctx, s)
	}
	c := w.newCall()
	c.Stop = &s
	_, err := w.dispatcher.call(ctx, keeper, "stop", c)
	return err
}

// Pace implements backend.Worker.
func (w *WorkerClient) Pace(ctx context.Context, p backend.Pace) error {
	keeper, ok := w.dispatcher.usableKeeper(&w.registration)
	if !ok {
		ctx, cancel := withoutForwardingMargin(ctx)
		defer cancel()
		return w.directClient.Pace(ctx, p)
	}
	c := w.newCall()
	c.Pace = &p
	_, err := w.dispatcher.call(ctx, keeper, "pace", c)
	return err
}

// Hold implements backend.Worker.
func (w *WorkerClient) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	keeper, ok := w.dispatcher.usableKeeper(&w.registration)
	if !ok {
		ctx, cancel := withoutForwardingMargin(ctx)
		defer cancel()
		return w.directClient.Hold(ctx, h)
	}
	c := w.newCall()
	c.Hold = &h
	a, err := w.dispatcher.call(ctx, keeper, "hold", c)
	if err != nil {
		return backend.Report{}, err
	}
	if a.Report == nil {
		return backend.Report{}, fault.Newf("hold", backend.KindUnknown, "call through keeper %s: the answer to the hold contains no report", keeper)
	}
	return *a.Report, nil
}

// Close implements backend.Worker.
func (w *WorkerClient) Close() { w.directClient.Close() }

// withoutForwardingMargin returns a copy of ctx whose deadline, if there is one, is
// ForwardingMargin earlier.
func withoutForwardingMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-ForwardingMargin))
}
