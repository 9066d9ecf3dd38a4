package keeper

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Worker is a worker that is reached through its keeper, or directly where it has
// none. Contexts must leave Margin for the way there and back.
type Worker struct {
	dispatcher   *Dispatcher
	registration backend.Registration
	direct       backend.Worker
}

// NewWorker returns a worker. direct is the connection from this VM.
func NewWorker(d *Dispatcher, r backend.Registration, direct backend.Worker) *Worker {
	return &Worker{d, r, direct}
}

func (w *Worker) call() Call {
	return Call{Life: w.registration.Life, Address: w.registration.Address}
}

// Start implements backend.Worker.
func (w *Worker) Start(ctx context.Context, s backend.Start) (time.Duration, error) {
	keeper, ok := w.dispatcher.keeperOf(&w.registration)
	if !ok {
		ctx, cancel := withoutMargin(ctx)
		defer cancel()
		return w.direct.Start(ctx, s)
	}
	c := w.call()
	c.Start = &s
	a, err := w.dispatcher.do(ctx, keeper, "start", c)
	return a.Clock, err
}

// Stop implements backend.Worker.
func (w *Worker) Stop(ctx context.Context, s backend.Stop) error {
	keeper, ok := w.dispatcher.keeperOf(&w.registration)
	if !ok {
		ctx, cancel := withoutMargin(ctx)
		defer cancel()
		return w.direct.Stop(ctx, s)
	}
	c := w.call()
	c.Stop = &s
	_, err := w.dispatcher.do(ctx, keeper, "stop", c)
	return err
}

// Pace implements backend.Worker.
func (w *Worker) Pace(ctx context.Context, p backend.Pace) error {
	keeper, ok := w.dispatcher.keeperOf(&w.registration)
	if !ok {
		ctx, cancel := withoutMargin(ctx)
		defer cancel()
		return w.direct.Pace(ctx, p)
	}
	c := w.call()
	c.Pace = &p
	_, err := w.dispatcher.do(ctx, keeper, "pace", c)
	return err
}

// Hold implements backend.Worker.
func (w *Worker) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	keeper, ok := w.dispatcher.keeperOf(&w.registration)
	if !ok {
		ctx, cancel := withoutMargin(ctx)
		defer cancel()
		return w.direct.Hold(ctx, h)
	}
	c := w.call()
	c.Hold = &h
	a, err := w.dispatcher.do(ctx, keeper, "hold", c)
	if err != nil {
		return backend.Report{}, err
	}
	if a.Report == nil {
		return backend.Report{}, fault.Newf("hold", backend.KindUnknown, "through %s: an answer without a report", keeper)
	}
	return *a.Report, nil
}

// Close implements backend.Worker.
func (w *Worker) Close() { w.direct.Close() }

// withoutMargin takes the time for the way through a keeper from a context.
func withoutMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	until, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, until.Add(-Margin))
}
