// Package ledger keeps the exact account of a set of workers: capacity, what is
// reserved on each, and an index that finds room without looking at every
// worker. It does no I/O and takes no lock; its owner serialises access.
package ledger

import (
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindUnknownWorker Kind = "unknown_worker"
	KindDuplicate     Kind = "duplicate_reservation"
	KindFull          Kind = "does_not_fit"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Worker is the account of one worker.
type Worker struct {
	Name string
	Rack string
	// Capacity is what the worker can hold.
	Capacity resource.Vector
	// Used is the sum of the sizes of Reservations. Reserve never raises it
	// above Capacity.
	Used resource.Vector
	// Accepting is false while the worker is leaving or ejected.
	Accepting bool
	// Reservations are keyed by attempt. An attempt is in at most one worker
	// of the ledger.
	Reservations map[string]*Reservation

	group, bucket, position int
}

// Free returns what is left of the worker.
func (w *Worker) Free() resource.Vector { return w.Capacity.Sub(w.Used) }

// Reservation is room taken on a worker by one attempt.
type Reservation struct {
	Attempt string
	Worker  *Worker
	Size    resource.Vector
	Plan    string
	Class   int
	// Spread groups attempts that should be on different racks; it may be
	// empty.
	Spread string
	// Preemptible attempts may be taken off the worker for another plan.
	Preemptible bool
	// Preempting is set once the attempt was asked to stop.
	Preempting bool
	// Order rises with each reservation.
	Order uint64
}

const (
	buckets = 17
	// groups separate workers without accelerators from those with.
	groups           = 2
	plainGroup       = 0
	acceleratorGroup = 1
	// gainedLength is how many recent gains of free room are remembered.
	gainedLength = 64
)

// Ledger is the account of a set of workers.
type Ledger struct {
	workers      map[string]*Worker
	reservations map[string]*Reservation
	index        [groups][buckets][]slot
	shapes       map[resource.Vector]int
	spread       map[spreadKey]int
	total, used  resource.Vector
	largest      resource.Vector
	order        uint64
	gainedCount  uint64
	gained       [gainedLength]*Worker
	misses       [missLength]miss
	missCount    int
	// spare holds released reservations for reuse, so that a decision makes no
	// garbage.
	spare []*Reservation
}

type spreadKey struct{ group, rack string }

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{workers: map[string]*Worker{}, reservations: map[string]*Reservation{}, spread: map[spreadKey]int{}, shapes: map[resource.Vector]int{}}
}

// Total returns the capacity of all workers.
func (l *Ledger) Total() resource.Vector { return l.total }

// Used returns what is reserved on all workers.
func (l *Ledger) Used() resource.Vector { return l.used }

// Largest returns, for each kind, the largest capacity of one worker.
func (l *Ledger) Largest() resource.Vector { return l.largest }

// FitsSome reports whether an empty worker could hold a size.
func (l *Ledger) FitsSome(size resource.Vector) bool {
	for shape := range l.shapes {
		if size.Fits(shape) {
			return true
		}
	}
	return false
}

// Len returns the number of workers.
func (l *Ledger) Len() int { return len(l.workers) }

// Worker returns a worker by name, or nil.
func (l *Ledger) Worker(name string) *Worker { return l.workers[name] }

// Workers calls f for every worker in no fixed order.
func (l *Ledger) Workers(f func(w *Worker)) {
	for _, w := range l.workers {
		f(w)
	}
}

// Reservation returns the reservation of an attempt, or nil.
func (l *Ledger) Reservation(attempt string) *Reservation { return l.reservations[attempt] }

// AddWorker adds an empty worker. An older worker of the same name must have
// been removed.
func (l *Ledger) AddWorker(name, rack string, capacity resource.Vector) error {
	if l.workers[name] != nil {
		return fault.Newf("add_worker", KindDuplicate, "worker %s", name)
	}
	w := &Worker{Name: name, Rack: rack, Capacity: capacity, Accepting: true, Reservations: map[string]*Reservation{}}
	if capacity.Accelerators > 0 {
		w.group = acceleratorGroup
	}
	l.workers[name] = w
	l.total = l.total.Add(capacity)
	l.largest = l.largest.Max(capacity)
	l.shapes[capacity]++
	w.bucket = bucketOf(w)
	l.insert(w)
	l.noteGain(w)
	return nil
}

// RemoveWorker removes a worker and returns the reservations that it held.
func (l *Ledger) RemoveWorker(name string) []Reservation {
	w := l.workers[name]
	if w == nil {
		return nil
	}
	var held []Reservation
	for _, r := range w.Reservations {
		held = append(held, *r)
	}
	for _, r := range held {
		l.Release(r.Attempt)
	}
	l.removeFromIndex(w)
	delete(l.workers, name)
	if l.shapes[w.Capacity]--; l.shapes[w.Capacity] == 0 {
		delete(l.shapes, w.Capacity)
	}
	l.total = l.total.Sub(w.Capacity)
	l.largest = resource.Vector{}
	for _, o := range l.workers {
		l.largest = l.largest.Max(o.Capacity)
	}
	for i, g := range l.gained {
		if g == w {
			l.gained[i] = nil
		}
	}
	return held
}

// SetAccepting says whether a worker may get new work.
func (l *Ledger) SetAccepting(name string, accepting bool) {
	w := l.workers[name]
	if w == nil || w.Accepting == accepting {
		return
	}
	w.Accepting = accepting
	l.move(w)
	if accepting {
		l.noteGain(w)
	}
}

// Reserve takes room on a worker. It refuses what does not fit.
func (l *Ledger) Reserve(worker string, r Reservation) error {
	w := l.workers[worker]
	if w == nil {
		return fault.Newf("reserve", KindUnknownWorker, "worker %s", worker)
	}
	if l.reservations[r.Attempt] != nil {
		return fault.Newf("reserve", KindDuplicate, "attempt %s", r.Attempt)
	}
	if !w.Used.Add(r.Size).Fits(w.Capacity) {
		return fault.Newf("reserve", KindFull, "attempt %s on worker %s", r.Attempt, worker)
	}
	l.put(w, r)
	invariant.Check(w.Used.Fits(w.Capacity), "worker_over_capacity", "worker %s: used %v of %v", w.Name, w.Used, w.Capacity)
	return nil
}

// Restore records an attempt that a worker reports as running. It is kept even
// when the worker is already full, since it runs in fact.
func (l *Ledger) Restore(worker string, r Reservation) error {
	w := l.workers[worker]
	if w == nil {
		return fault.Newf("restore", KindUnknownWorker, "worker %s", worker)
	}
	if l.reservations[r.Attempt] != nil {
		return fault.Newf("restore", KindDuplicate, "attempt %s", r.Attempt)
	}
	l.put(w, r)
	return nil
}

func (l *Ledger) put(w *Worker, r Reservation) {
	l.order++
	r.Order, r.Worker = l.order, w
	held := l.newReservation()
	*held = r
	l.reservations[r.Attempt] = held
	w.Reservations[r.Attempt] = held
	w.Used = w.Used.Add(r.Size)
	l.used = l.used.Add(r.Size)
	if r.Spread != "" {
		l.spread[spreadKey{r.Spread, w.Rack}]++
	}
	l.move(w)
}

func (l *Ledger) newReservation() *Reservation {
	if n := len(l.spare); n > 0 {
		r := l.spare[n-1]
		l.spare = l.spare[:n-1]
		return r
	}
	return &Reservation{}
}

// Release gives the room of an attempt back and returns what it held.
func (l *Ledger) Release(attempt string) (Reservation, bool) {
	r := l.reservations[attempt]
	if r == nil {
		return Reservation{}, false
	}
	w := r.Worker
	delete(l.reservations, attempt)
	delete(w.Reservations, attempt)
	w.Used = w.Used.Sub(r.Size)
	l.used = l.used.Sub(r.Size)
	if r.Spread != "" {
		key := spreadKey{r.Spread, w.Rack}
		if l.spread[key]--; l.spread[key] <= 0 {
			delete(l.spread, key)
		}
	}
	invariant.Check(!w.Used.IsNegative(), "negative_use", "worker %s: %v", w.Name, w.Used)
	l.move(w)
	l.noteGain(w)
	held := *r
	*r = Reservation{}
	l.spare = append(l.spare, r)
	return held, true
}

// Gains returns a counter that rises whenever a worker gains free room.
func (l *Ledger) Gains() uint64 { return l.gainedCount }

func (l *Ledger) noteGain(w *Worker) {
	l.gained[l.gainedCount%gainedLength] = w
	l.gainedCount++
}

// SpreadCount returns how many attempts of a spread group are on a rack.
func (l *Ledger) SpreadCount(group, rack string) int {
	if group == "" {
		return 0
	}
	return l.spread[spreadKey{group, rack}]
}
