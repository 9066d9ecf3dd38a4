package keeper

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// Margin is the time that the way through a keeper may take: the leader waits
	// longer for an answer than the keeper does by this.
	Margin = 300 * time.Millisecond
	// batchTimeout bounds the way of a batch to its keeper. A keeper that does not
	// confirm in time is not used for failedPause.
	batchTimeout = 400 * time.Millisecond
	failedPause  = 2 * time.Second
)

// Dispatcher hands the calls of a leader to keepers and finds the callers of their
// answers.
type Dispatcher struct {
	// leader is where answers arrive.
	leader netip.AddrPort
	// send hands a batch to a keeper. It returns when the keeper has it.
	send func(ctx context.Context, keeper netip.AddrPort, b Batch) error
	log  logr.Logger
	// number is that of the last call.
	number atomic.Int64
	roster atomic.Pointer[Roster]

	mutex   sync.Mutex
	batches map[netip.AddrPort]*batcher[Call]
	// failed is when a keeper last did not confirm a batch.
	failed map[netip.AddrPort]time.Time
	// waiting holds the calls without an answer.
	waiting map[int64]waiter
}

// waiter waits for the answer to a call.
type waiter struct {
	keeper netip.AddrPort
	// answer takes one answer.
	answer chan Answer
}

// NewDispatcher returns a dispatcher without keepers. first is a number above those
// of all calls of earlier processes of this VM.
func NewDispatcher(leader netip.AddrPort, first int64, send func(context.Context, netip.AddrPort, Batch) error, log logr.Logger) *Dispatcher {
	d := &Dispatcher{
		leader: leader, send: send, log: log,
		batches: map[netip.AddrPort]*batcher[Call]{}, failed: map[netip.AddrPort]time.Time{}, waiting: map[int64]waiter{},
	}
	d.number.Store(first)
	return d
}

// SetRoster puts a roster in force. Calls at VMs that are not keepers any more are
// given up.
func (d *Dispatcher) SetRoster(r *Roster) {
	d.roster.Store(r)
	d.mutex.Lock()
	var lost []netip.AddrPort
	for a := range d.batches {
		if !r.has(a) {
			delete(d.batches, a)
			delete(d.failed, a)
			lost = append(lost, a)
		}
	}
	d.mutex.Unlock()
	for _, a := range lost {
		d.log.Info("keeper_left", "keeper", a.String(), "calls", d.giveUp(a))
	}
}

// keeperOf returns the VM that carries the calls to a worker; ok is false where the
// leader makes them itself.
func (d *Dispatcher) keeperOf(r *backend.Registration) (a netip.AddrPort, ok bool) {
	m, ok := d.roster.Load().Of(r.Zone, r.Life.ID)
	if !ok {
		return a, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, failed := d.failed[m.Address]
	return m.Address, !failed || time.Since(at) > failedPause
}

// do makes a call through a keeper.
func (d *Dispatcher) do(ctx context.Context, keeper netip.AddrPort, operation string, c Call) (Answer, error) {
	c.Number = d.number.Add(1)
	if until, ok := ctx.Deadline(); ok {
		c.Timeout = max(time.Until(until)-Margin, 0)
	}
	w := waiter{keeper: keeper, answer: make(chan Answer, 1)}
	d.mutex.Lock()
	d.waiting[c.Number] = w
	b := d.batches[keeper]
	if b == nil {
		b = newBatcher(0, func(list []Call) { d.deliver(keeper, list) })
		d.batches[keeper] = b
	}
	d.mutex.Unlock()
	b.add(c)
	select {
	case a := <-w.answer:
		if a.Kind != "" {
			return a, fault.Newf(operation, a.Kind, "through %s: %s", keeper, a.Message)
		}
		return a, nil
	case <-ctx.Done():
		d.forget(c.Number)
		return Answer{}, fault.New(operation, backend.KindUnknown, ctx.Err())
	}
}

func (d *Dispatcher) forget(number int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.waiting, number)
}

// deliver hands a batch to its keeper. A batch that is not confirmed may have arrived,
// and is not sent again.
func (d *Dispatcher) deliver(keeper netip.AddrPort, calls []Call) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	err := d.send(ctx, keeper, Batch{Leader: d.leader, Calls: calls})
	if err == nil {
		return
	}
	d.mutex.Lock()
	d.failed[keeper] = time.Now()
	d.mutex.Unlock()
	d.log.Info("keeper_failed", "keeper", keeper.String(), "calls", d.giveUp(keeper), "error", err.Error())
}

// giveUp ends the wait for all answers of a keeper. The calls may have been made. It
// returns how many there were.
func (d *Dispatcher) giveUp(keeper netip.AddrPort) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := 0
	for number, w := range d.waiting {
		if w.keeper == keeper {
			delete(d.waiting, number)
			w.answer <- Answer{Number: number, Kind: backend.KindUnknown, Message: "the keeper does not answer"}
			n++
		}
	}
	return n
}

// Answered takes answers from a keeper. Those that nobody waits for are dropped.
func (d *Dispatcher) Answered(list []Answer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i := range list {
		if w, ok := d.waiting[list[i].Number]; ok {
			delete(d.waiting, list[i].Number)
			w.answer <- list[i]
		}
	}
}
