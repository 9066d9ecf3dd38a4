package entryvm

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// faultyWorkers makes faults act on the calls to the workers of a fleet. A call names only
// the ID of a worker, so that it reaches the process that runs under it when it arrives.
type faultyWorkers struct {
	store  *memory.Store
	fleet  *memory.Fleet
	ledger *replacementLedger
	draw   func(n int) int
	// mutex guards the other fields.
	mutex sync.Mutex
	// quiet is true if all calls are executed and answered at once.
	quiet  bool
	states [trialWorkers]workerState
}

// workerState describes one worker.
type workerState struct {
	// life is the latest process.
	life backend.Life
	// cutUntil is when calls reach the worker again, and frozenUntil when it executes the
	// calls that have reached it.
	cutUntil, frozenUntil time.Time
	// disturbedAt is the time of the last fault of the worker or of a call to it.
	disturbedAt time.Time
	// exitsAt is when the worker exits, if it drains.
	exitsAt time.Time
}

const (
	// maxLateCall is the longest time after which a call is executed.
	maxLateCall = 3 * time.Second
	// longestFreeze is the longest time for which a worker is frozen.
	longestFreeze = 7 * time.Second
)

func workerID(i int) string { return fmt.Sprintf("worker-%d", i) }

// registration returns the entry of a worker.
func (w *faultyWorkers) registration(i int) backend.Registration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return backend.Registration{
		Life: w.states[i].life, Service: "desk", Zone: "domain-0", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		Capacity: resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 8000},
		Draining: !w.states[i].exitsAt.IsZero(), Remaining: max(time.Until(w.states[i].exitsAt), 0),
	}
}

// start starts a process of a worker. The earlier one and its runs end.
func (w *faultyWorkers) start(i int) {
	w.end(i)
	w.mutex.Lock()
	s := &w.states[i]
	s.life, s.exitsAt = backend.Life{ID: workerID(i), Born: s.life.Born + 1}, time.Time{}
	w.ledger.born(s.life)
	w.mutex.Unlock()
	w.fleet.Start(w.registration(i), 1)
}

// end ends the process of a worker with its runs.
func (w *faultyWorkers) end(i int) {
	w.mutex.Lock()
	life := w.states[i].life
	w.states[i].disturbedAt = time.Now()
	w.mutex.Unlock()
	w.fleet.Remove(life, func() { w.ledger.removed(life) })
}

// list stores the entry of a worker, or removes it.
func (w *faultyWorkers) list(i int, listed bool) {
	r := store.Record{Key: workerID(i)}
	if listed {
		r.Value, _ = json.Marshal(w.registration(i))
	}
	_, _ = w.store.Append(store.Append{Topic: store.Workers, Records: []store.Record{r}})
}

// drain makes a worker drain, exit after d and leave the list.
func (w *faultyWorkers) drain(i int, d time.Duration) {
	w.mutex.Lock()
	life := w.states[i].life
	w.states[i].exitsAt = time.Now().Add(d)
	w.mutex.Unlock()
	w.ledger.drains(life)
	w.list(i, true)
	time.AfterFunc(d, func() {
		if w.registration(i).Life == life {
			w.end(i)
			w.list(i, false)
		}
	})
}

// cut loses the calls to a worker until d has passed, and freeze delays their execution.
func (w *faultyWorkers) cut(i int, d time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.states[i].cutUntil = time.Now().Add(d)
	w.states[i].disturbedAt = w.states[i].cutUntil
}

func (w *faultyWorkers) freeze(i int, d time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.states[i].frozenUntil = time.Now().Add(d)
	w.states[i].disturbedAt = w.states[i].frozenUntil
}

// setQuiet ends the faults of calls.
func (w *faultyWorkers) setQuiet() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.quiet = true
}

// calmSince returns the time since which no fault has acted on a worker.
func (w *faultyWorkers) calmSince(id string) time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range w.states {
		if w.states[i].life.ID == id {
			return w.states[i].disturbedAt
		}
	}
	return time.Now()
}

// dial returns a connection to a worker.
func (w *faultyWorkers) dial(r backend.Registration) backend.Worker {
	for i := range w.states {
		if workerID(i) == r.Life.ID {
			return &faultyConnection{w, &w.states[i]}
		}
	}
	return w.fleet.Dial(r)
}

// faultyConnection implements backend.Worker.
type faultyConnection struct {
	workers *faultyWorkers
	state   *workerState
}

// target returns the process that now runs under the ID, and for how long it is frozen.
func (c *faultyConnection) target() (backend.Worker, backend.Life, time.Duration) {
	c.workers.mutex.Lock()
	defer c.workers.mutex.Unlock()
	life := c.state.life
	return c.workers.fleet.Dial(backend.Registration{Life: life}), life, time.Until(c.state.frozenUntil)
}

// isCut reports whether calls to the worker are lost.
func (c *faultyConnection) isCut() bool {
	c.workers.mutex.Lock()
	defer c.workers.mutex.Unlock()
	return time.Now().Before(c.state.cutUntil)
}

// isQuiet reports whether no faults act on calls.
func (c *faultyConnection) isQuiet() bool {
	c.workers.mutex.Lock()
	defer c.workers.mutex.Unlock()
	return c.workers.quiet
}

// disturb notes that a fault acts on a call.
func (c *faultyConnection) disturb() {
	c.workers.mutex.Lock()
	defer c.workers.mutex.Unlock()
	if now := time.Now(); now.After(c.state.disturbedAt) {
		c.state.disturbedAt = now
	}
}

// call makes execute run at the worker, and returns its error unless the answer is lost.
func (c *faultyConnection) call(ctx context.Context, operation string, execute func(w backend.Worker, life backend.Life) error) error {
	delay, lost := time.Duration(1+c.workers.draw(8))*time.Millisecond, false
	switch fault := c.workers.draw(120); {
	case c.isQuiet():
	case fault == 0:
		delay, lost = time.Duration(c.workers.draw(int(maxLateCall/time.Millisecond)))*time.Millisecond, true
	case fault < 3:
		lost = true
	}
	if lost {
		c.disturb()
	}
	answer := make(chan error, 1)
	go func() {
		if c.isCut() {
			return
		}
		time.Sleep(delay)
		w, life, frozen := c.target()
		for frozen > 0 {
			time.Sleep(frozen)
			w, life, frozen = c.target()
		}
		err := execute(w, life)
		if !lost && !c.isCut() {
			answer <- err
		}
	}()
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return fault.New(operation, backend.KindUnknown, ctx.Err())
	}
}

// Start implements backend.Worker.
func (c *faultyConnection) Start(ctx context.Context, s backend.Start) (time.Duration, error) {
	c.workers.ledger.startSent(&s)
	var clock time.Duration
	err := c.call(ctx, "start", func(w backend.Worker, life backend.Life) error {
		granted := c.workers.ledger.lease(life, s.Deadline)
		reading, err := w.Start(ctx, s)
		if err == nil {
			granted()
		}
		if ctx.Err() == nil {
			clock = reading
		}
		return err
	})
	if ctx.Err() != nil {
		return 0, err
	}
	return clock, err
}

// Stop implements backend.Worker.
func (c *faultyConnection) Stop(ctx context.Context, s backend.Stop) error {
	return c.call(ctx, "stop", func(w backend.Worker, _ backend.Life) error { return w.Stop(ctx, s) })
}

// Pace implements backend.Worker and does nothing.
func (c *faultyConnection) Pace(context.Context, backend.Pace) error { return nil }

// Hold implements backend.Worker.
func (c *faultyConnection) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	answer := make(chan backend.Report, 1)
	err := c.call(ctx, "hold", func(w backend.Worker, life backend.Life) error {
		granted := c.workers.ledger.lease(life, h.Deadline)
		report, err := w.Hold(ctx, h)
		if err == nil {
			granted()
		}
		answer <- report
		return err
	})
	if err != nil {
		return backend.Report{}, err
	}
	return <-answer, nil
}

// Close implements backend.Worker and does nothing.
func (c *faultyConnection) Close() {}
