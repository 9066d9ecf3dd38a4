package keeper

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// ForwardingMargin is the extra time allowed for a call that goes through a keeper:
	// the leader waits this much longer for the answer than the keeper waits for the
	// worker.
	ForwardingMargin = 300 * time.Millisecond
	// batchConfirmTimeout is how long the leader waits until a keeper confirms a batch.
	// A keeper that does not confirm one in time is sent no calls for
	// failedKeeperRetryDelay.
	batchConfirmTimeout    = 400 * time.Millisecond
	failedKeeperRetryDelay = 2 * time.Second
)

// errKeeperFailed is the cause of the failure of a call whose keeper has left or has not
// confirmed a batch.
var errKeeperFailed = errors.New("the keeper does not answer")

// ErrNotSent and ErrRefused mean that a keeper has certainly made none of the calls of a batch. The
// leader then makes them directly. ErrNotSent means that the keeper can't be reached, and
// ErrRefused that it refuses the batch, for example because it is about to stop.
var (
	ErrNotSent = errors.New("the batch was not sent")
	ErrRefused = errors.New("the keeper refuses the batch")
)

// isNotCarried reports whether an error means that the keeper has certainly not made the call.
func isNotCarried(err error) bool { return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) }

// Dispatcher runs on the leader: it sends calls to keepers and passes each answer to the
// caller that waits for it.
type Dispatcher struct {
	// leaderAddress is the address that keepers send answers to.
	leaderAddress netip.AddrPort
	// process is the number of this process; see Batch.
	process int64
	// sendToKeeper sends a batch to a keeper. It returns when the keeper has confirmed it. The
	// error is ErrNotSent or ErrRefused if the keeper has certainly made none of the calls.
	sendToKeeper func(ctx context.Context, keeper netip.AddrPort, b Batch) error
	log          logr.Logger
	// lastCallNumber is the number of the last call.
	lastCallNumber atomic.Int64
	// bypasses counts the direct calls under way that are limited by maxBypasses.
	bypasses atomic.Int64
	// assignment is nil until SetAssignment is called. Until then there are no keepers.
	assignment atomic.Pointer[Assignment]

	mutex sync.Mutex
	// batchers maps the address of each keeper to the batcher of the calls to it.
	batchers map[netip.AddrPort]*batcher[Call]
	// batchFailedAt maps the address of a keeper to the time at which it last failed to
	// confirm a batch.
	batchFailedAt map[netip.AddrPort]time.Time
	// pendingCalls maps the number of each unanswered call to the call.
	pendingCalls map[int64]pendingCall
}

// pendingCall is a call that has no answer yet.
type pendingCall struct {
	keeper netip.AddrPort
	// answer receives exactly one answer, unless the caller stops waiting first. It is
	// closed without an answer if the keeper has failed.
	answer chan Answer
	// notCarried receives ErrNotSent or ErrRefused if the keeper has certainly not made the call.
	notCarried chan error
}

// NewDispatcher returns a dispatcher without keepers. leader is the address of this VM.
// Calls are numbered from lastNumber+1 on. No earlier process on this VM may have used
// a higher number than lastNumber.
func NewDispatcher(leader netip.AddrPort, lastNumber int64, send func(context.Context, netip.AddrPort, Batch) error, log logr.Logger) *Dispatcher {
	d := &Dispatcher{
		leaderAddress: leader, process: lastNumber, sendToKeeper: send, log: log,
		batchers: map[netip.AddrPort]*batcher[Call]{}, batchFailedAt: map[netip.AddrPort]time.Time{}, pendingCalls: map[int64]pendingCall{},
	}
	d.lastCallNumber.Store(lastNumber)
	return d
}

// SetAssignment replaces the assignment of workers to keepers. Pending calls through a
// VM that is no longer a keeper fail with backend.KindUnknown.
func (d *Dispatcher) SetAssignment(a *Assignment) {
	d.assignment.Store(a)
	d.mutex.Lock()
	var removed []netip.AddrPort
	for k := range d.batchers {
		if !a.hasKeeperAt(k) {
			delete(d.batchers, k)
			removed = append(removed, k)
		}
	}
	// A batch may fail after its keeper has left.
	maps.DeleteFunc(d.batchFailedAt, func(k netip.AddrPort, _ time.Time) bool { return !a.hasKeeperAt(k) })
	d.mutex.Unlock()
	for _, k := range removed {
		d.log.Info("keeper_left", "keeper", k.String(), "calls", d.failPendingCalls(k))
	}
}

// usableKeeper returns the address of the keeper through which to call a worker. ok is
// false if the leader must call the worker directly, because the worker has no keeper
// or its keeper failed to confirm a batch less than failedKeeperRetryDelay ago.
func (d *Dispatcher) usableKeeper(r *backend.Registration) (address netip.AddrPort, ok bool) {
	m, ok := d.assignment.Load().KeeperFor(r.Zone, r.Life.ID)
	if !ok {
		return address, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, failed := d.batchFailedAt[m.Address]
	return m.Address, !failed || time.Since(at) > failedKeeperRetryDelay
}

// call makes a call through a keeper and waits for the worker's answer. The error kind
// is backend.KindUnknown if no answer arrives before ctx is done. If isNotCarried is true for the
// error, the call may be made in another way.
func (d *Dispatcher) call(ctx context.Context, keeper netip.AddrPort, operation string, c Call) (Answer, error) {
	if ctx.Err() != nil {
		return Answer{}, fault.New(operation, backend.KindUnknown, ctx.Err())
	}
	c.Number = d.lastCallNumber.Add(1)
	if deadline, ok := ctx.Deadline(); ok {
		c.Timeout = max(time.Until(deadline)-ForwardingMargin, 0)
	}
	p := pendingCall{keeper: keeper, answer: make(chan Answer, 1), notCarried: make(chan error, 1)}
	d.mutex.Lock()
	d.pendingCalls[c.Number] = p
	b := d.batchers[keeper]
	if b == nil {
		b = newBatcher(0, func(list []Call) { d.sendBatch(keeper, list) })
		d.batchers[keeper] = b
	}
	d.mutex.Unlock()
	b.add(c)
	select {
	case a, ok := <-p.answer:
		if !ok {
			return a, fault.Newf(operation, backend.KindUnknown, "call through keeper %s: %w", keeper, errKeeperFailed)
		}
		if a.Kind != "" {
			return a, fault.Newf(operation, a.Kind, "call through keeper %s: %s", keeper, a.Message)
		}
		return a, nil
	case err := <-p.notCarried:
		return Answer{}, fault.New(operation, backend.KindUnreachable, err)
	case <-ctx.Done():
		d.removePendingCall(c.Number)
		return Answer{}, fault.New(operation, backend.KindUnknown, ctx.Err())
	}
}

// PendingCalls returns the number of calls that have no answer yet.
func (d *Dispatcher) PendingCalls() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.pendingCalls)
}

// Sizes returns the number of keepers that were sent calls, and of those that have failed to
// confirm a batch.
func (d *Dispatcher) Sizes() (keepers, failed int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.batchers), len(d.batchFailedAt)
}

// removePendingCall stops waiting for the answer to a call.
func (d *Dispatcher) removePendingCall(number int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.pendingCalls, number)
}

// sendBatch sends a batch to its keeper, without the calls that have failed while they
// waited. It does not retry, since a batch that was not confirmed may have arrived.
func (d *Dispatcher) sendBatch(keeper netip.AddrPort, calls []Call) {
	calls = d.withoutFailedCalls(calls)
	if len(calls) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchConfirmTimeout)
	defer cancel()
	err := d.sendToKeeper(ctx, keeper, Batch{Leader: d.leaderAddress, Process: d.process, Calls: calls})
	if err == nil {
		return
	}
	d.mutex.Lock()
	d.batchFailedAt[keeper] = time.Now()
	d.mutex.Unlock()
	if isNotCarried(err) {
		d.returnCalls(calls, err)
	}
	if errors.Is(err, ErrRefused) {
		d.log.Info("keeper_refused", "keeper", keeper.String(), "calls", len(calls), "error", err.Error())
		return // It still answers the calls that it has accepted before.
	}
	d.log.Info("keeper_failed", "keeper", keeper.String(), "calls", d.failPendingCalls(keeper), "error", err.Error())
}

// returnCalls makes calls fail with an error that tells that they were not carried.
func (d *Dispatcher) returnCalls(calls []Call, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i := range calls {
		if p, ok := d.pendingCalls[calls[i].Number]; ok {
			delete(d.pendingCalls, calls[i].Number)
			p.notCarried <- err
		}
	}
}

// withoutFailedCalls returns the calls that are still pending. Their callers have been
// told nothing yet, whereas the scheduler may have given up an order that has failed.
func (d *Dispatcher) withoutFailedCalls(calls []Call) []Call {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.DeleteFunc(calls, func(c Call) bool {
		_, pending := d.pendingCalls[c.Number]
		return !pending
	})
}

// failPendingCalls makes all pending calls through a keeper fail with
// backend.KindUnknown, since the keeper may have made them. It returns the number of
// calls.
func (d *Dispatcher) failPendingCalls(keeper netip.AddrPort) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := 0
	for number, p := range d.pendingCalls {
		if p.keeper == keeper {
			delete(d.pendingCalls, number)
			close(p.answer)
			n++
		}
	}
	return n
}

// HandleAnswers passes answers from a keeper to the waiting callers. It drops an answer
// to a call that is no longer pending.
func (d *Dispatcher) HandleAnswers(list []Answer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i := range list {
		if p, ok := d.pendingCalls[list[i].Number]; ok {
			delete(d.pendingCalls, list[i].Number)
			p.answer <- list[i]
		}
	}
}
