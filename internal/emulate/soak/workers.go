package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
	"github.com/almondpost/almondpost/platform"
)

const (
	// minLateness and maxLateness bound how late a call is executed that gets no answer.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	// minClockRate is the rate of the slowest clock of a worker.
	minClockRate = 0.98
)

// worker is an address at which one life of an emulated worker after the other serves.
type worker struct {
	address netip.AddrPort
	domain  int
	// current is the life that runs.
	current atomic.Pointer[workerLife]
	// delay is how long calls are held up before the worker executes them.
	delay atomic.Int64
	// silence is the fault in which the worker answers nothing, or nil.
	silence atomic.Pointer[silence]
	// disturbed covers faults of the calls to the worker.
	disturbed disturbance
	mutex     sync.Mutex
	// registration is what the worker says of itself, or nil until its first life
	// registers, and listed the ID under which it is in the store, or empty.
	registration *backend.Registration
	listed       string
	// lapses counts the faults in which the worker is not listed.
	lapses int
}

// workerLife is one process of a worker. It implements backend.Worker and notifies the
// ledger of the leases that orders give it.
type workerLife struct {
	backend.Worker
	life   backend.Life
	ledger *ledger
	// started and clockRate determine the reading of the clock of the process.
	started   time.Time
	clockRate float64
}

// addWorker starts a worker at a new address.
func (c *cell) addWorker(number int) error {
	w := &worker{domain: number % domainCount}
	handler := platform.NewWorkerHandler(func() (backend.Worker, backend.Life) {
		v := w.current.Load()
		return v, v.life
	}, func() (delay time.Duration, answered bool) {
		if rand.Int64N(100) < c.lateCallPercent.Load() {
			lateness := minLateness + rand.N(maxLateness-minLateness)
			w.disturbed.extend(time.Now().Add(lateness))
			return lateness, false
		}
		return time.Duration(w.delay.Load()), true
	})
	address, err := c.callers.serve(c.throughCuts(w, handler))
	if err != nil {
		return err
	}
	w.address = address
	c.workers = append(c.workers, w)
	return c.startWorker(w, fmt.Sprintf("worker-%d-1", number), 0)
}

// startWorker ends the current life of a worker, if there is one, and starts another. The
// new life registers after a delay, unless it has ended by then.
func (c *cell) startWorker(w *worker, id string, registrationDelay time.Duration) error {
	next := &workerLife{ledger: c.ledger, started: time.Now(), clockRate: minClockRate + (1-minClockRate)*rand.Float64()}
	next.life = backend.Life{ID: id, Born: next.started.UnixMilli()}
	r := backend.Registration{
		Address: w.address, Service: serviceName, Zone: fmt.Sprintf("domain-%d", w.domain),
		Capacity: resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 4000},
	}
	w.mutex.Lock()
	if old := w.current.Load(); old != nil {
		next.life.Born = max(next.life.Born, old.life.Born+1)
		c.fleet.Remove(old.life, func() { c.ledger.workerEnded(old.life) })
	}
	r.Life = next.life
	c.ledger.connected(next.life, &w.disturbed)
	c.fleet.Start(r, next.clockRate)
	next.Worker = c.fleet.Dial(r)
	w.current.Store(next)
	w.mutex.Unlock()
	time.Sleep(registrationDelay)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.current.Load() != next {
		return nil
	}
	w.registration = &r
	return c.updateEntry(w)
}

// updateEntry makes the store list a worker unless its entry has lapsed. The caller must
// hold the worker's mutex.
func (c *cell) updateEntry(w *worker) error {
	var records []store.Record
	listed := ""
	if w.registration != nil && w.lapses == 0 {
		listed = w.registration.Life.ID
		records = append(records, store.Record{Key: listed, Value: platform.EncodeRegistration(*w.registration)})
	}
	if w.listed != "" && w.listed != listed {
		records = append(records, store.Record{Key: w.listed})
	}
	w.listed = listed
	if len(records) == 0 {
		return nil
	}
	_, err := c.store.Append(store.Append{Topic: store.Workers, Records: records})
	return err
}

// lease notifies the ledger of the deadline of an order that arrived at the given time and
// was answered with err.
func (v *workerLife) lease(deadline time.Duration, at time.Time, err error) {
	var e *backend.Error
	if deadline == 0 || errors.As(err, &e) && (e.Kind == backend.KindFenced || e.Kind == backend.KindDeadlinePassed) {
		return
	}
	left := deadline - time.Duration(float64(at.Sub(v.started))*v.clockRate)
	v.ledger.leaseExtended(v.life, at, at.Add(time.Duration(float64(min(left, workerLease))/v.clockRate)))
}

// Start implements backend.Worker.
func (v *workerLife) Start(ctx context.Context, s backend.Start) (time.Duration, error) {
	at := time.Now()
	v.ledger.startArrived(v.life, s, arrivalOf(ctx))
	clock, err := v.Worker.Start(ctx, s)
	v.lease(s.Deadline, at, err)
	return clock, err
}

// Hold implements backend.Worker.
func (v *workerLife) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	at := time.Now()
	report, err := v.Worker.Hold(ctx, h)
	v.lease(h.Deadline, at, err)
	return report, err
}

// arrival is when and over which connection a call has arrived at a worker.
type arrival struct {
	at         time.Time
	connection *connection
}

type arrivalKey struct{}

// arrivalOf returns the arrival of the call that is executed with ctx.
func arrivalOf(ctx context.Context) arrival {
	a, _ := ctx.Value(arrivalKey{}).(arrival)
	return a
}

// serve serves the calls to a worker on a free port. The context of each call holds its
// arrival.
func (c *callerTable) serve(h http.Handler) (netip.AddrPort, error) {
	return serve(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			connection, _ := r.Context().Value(connectionKey{}).(*connection)
			if vm := connection.caller(); vm != nil {
				vm.lastWorkerCall.Store(time.Now().UnixNano())
			}
			h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, arrival{time.Now(), connection})))
		}),
		ConnContext: c.add,
	})
}
