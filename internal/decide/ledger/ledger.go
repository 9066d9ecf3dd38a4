// Package ledger tracks the capacity of a set of workers and what is reserved
// on each of them. An index by free capacity finds a worker for a task without
// looking at all workers. The package does no I/O and is not safe for
// concurrent use.
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
	KindDoesNotFit    Kind = "does_not_fit"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Worker is a worker with its capacity and reservations.
type Worker struct {
	Name string
	Rack string
	// Capacity is the amount of each resource that the worker has in total.
	Capacity resource.Vector
	// Used is the sum of the sizes of Reservations. Reserve never raises it
	// above Capacity, but Restore may.
	Used resource.Vector
	// Accepting is false while the worker gets no new tasks because it is
	// draining or ejected.
	Accepting bool
	// Reservations is keyed by attempt. An attempt has a reservation on at most
	// one worker.
	Reservations map[string]*Reservation

	// group, bucket and position locate the worker in Ledger.index.
	group, bucket, position int
}

// Free returns the capacity that is not reserved.
func (w *Worker) Free() resource.Vector { return w.Capacity.Sub(w.Used) }

// Reservation is the capacity of a worker that is reserved for one attempt.
type Reservation struct {
	Attempt string
	Worker  *Worker
	Size    resource.Vector
	Plan    string
	// ClassRank is the rank of the class of the attempt; lower ranks are more
	// urgent.
	ClassRank int
	// Spread names a group of attempts that should run on different racks; it
	// may be empty.
	Spread string
	// Preemptible attempts may be stopped to free capacity for another task.
	Preemptible bool
	// Preempting is set once the attempt has been chosen for preemption.
	Preempting bool
	// Order is higher for newer reservations. The ledger sets it.
	Order uint64
}

const (
	// bucketCount is the number of ranges into which the index divides workers
	// by their free fraction.
	bucketCount = 17
	// The index separates workers without accelerators from those with
	// accelerators.
	groupCount       = 2
	generalGroup     = 0
	acceleratorGroup = 1
	// freedRingSize is the number of recent increases of free capacity that are
	// remembered.
	freedRingSize = 64
)

// Ledger tracks the workers and their reservations.
type Ledger struct {
	workers      map[string]*Worker
	reservations map[string]*Reservation
	// index lists the workers by accelerator group and free fraction.
	index [groupCount][bucketCount][]indexEntry
	// workersByCapacity counts the workers of each capacity.
	workersByCapacity map[resource.Vector]int
	// spreadCounts counts the attempts of each spread group on each rack.
	spreadCounts map[spreadKey]int
	// total and used are sums over all workers; largest is the maximum of each
	// resource.
	total, used resource.Vector
	largest     resource.Vector
	lastOrder   uint64
	// freedCount counts the increases of free capacity. freedRing holds the
	// workers of the latest increases; number n is at index n % freedRingSize.
	freedCount uint64
	freedRing  [freedRingSize]*Worker
	// missRing holds the latest searches that found no worker. missCount counts
	// all such searches.
	missRing  [missRingSize]miss
	missCount int
	// freeReservations holds released reservations for reuse, to avoid
	// allocations.
	freeReservations []*Reservation
}

type spreadKey struct{ group, rack string }

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{workers: map[string]*Worker{}, reservations: map[string]*Reservation{}, spreadCounts: map[spreadKey]int{}, workersByCapacity: map[resource.Vector]int{}}
}

// Total returns the sum of the capacities of all workers.
func (l *Ledger) Total() resource.Vector { return l.total }

// Used returns the sum of the reservations on all workers.
func (l *Ledger) Used() resource.Vector { return l.used }

// Largest returns, for each resource, the largest capacity of any worker. The
// amounts may come from different workers.
func (l *Ledger) Largest() resource.Vector { return l.largest }

// FitsAnyWorker reports whether a size would fit at least one worker if it were
// empty.
func (l *Ledger) FitsAnyWorker(size resource.Vector) bool {
	for shape := range l.workersByCapacity {
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

// AddWorker adds a worker without reservations. It returns an error when a
// worker of that name is in the ledger.
func (l *Ledger) AddWorker(name, rack string, capacity resource.Vector) error {
	if l.workers[name] != nil {
		return fault.Newf("add_worker", KindDuplicate, "worker %s is already in the ledger", name)
	}
	w := &Worker{Name: name, Rack: rack, Capacity: capacity, Accepting: true, Reservations: map[string]*Reservation{}}
	if capacity.Accelerators > 0 {
		w.group = acceleratorGroup
	}
	l.workers[name] = w
	l.total = l.total.Add(capacity)
	l.largest = l.largest.Max(capacity)
	l.workersByCapacity[capacity]++
	w.bucket = bucketOf(w)
	l.insertIntoIndex(w)
	l.recordFreed(w)
	return nil
}

// RemoveWorker removes a worker and returns the reservations that were on it.
func (l *Ledger) RemoveWorker(name string) []Reservation {
	w := l.workers[name]
	if w == nil {
		return nil
	}
	var reservations []Reservation
	for _, r := range w.Reservations {
		reservations = append(reservations, *r)
	}
	for _, r := range reservations {
		l.Release(r.Attempt)
	}
	l.removeFromIndex(w)
	delete(l.workers, name)
	if l.workersByCapacity[w.Capacity]--; l.workersByCapacity[w.Capacity] == 0 {
		delete(l.workersByCapacity, w.Capacity)
	}
	l.total = l.total.Sub(w.Capacity)
	l.largest = resource.Vector{}
	for _, o := range l.workers {
		l.largest = l.largest.Max(o.Capacity)
	}
	for i, g := range l.freedRing {
		if g == w {
			l.freedRing[i] = nil
		}
	}
	return reservations
}

// SetAccepting sets whether a worker gets new tasks.
func (l *Ledger) SetAccepting(name string, accepting bool) {
	w := l.workers[name]
	if w == nil || w.Accepting == accepting {
		return
	}
	w.Accepting = accepting
	l.updateIndex(w)
	if accepting {
		l.recordFreed(w)
	}
}

// Reserve adds a reservation on a worker. It returns an error when the worker
// is unknown, the attempt already has a reservation, or the size exceeds the
// free capacity.
func (l *Ledger) Reserve(worker string, r Reservation) error {
	w := l.workers[worker]
	if w == nil {
		return fault.Newf("reserve", KindUnknownWorker, "worker %s is not in the ledger", worker)
	}
	if l.reservations[r.Attempt] != nil {
		return fault.Newf("reserve", KindDuplicate, "attempt %s already has a reservation", r.Attempt)
	}
	if !w.Used.Add(r.Size).Fits(w.Capacity) {
		return fault.Newf("reserve", KindDoesNotFit, "attempt %s exceeds the free capacity of worker %s", r.Attempt, worker)
	}
	l.addReservation(w, r)
	invariant.Check(w.Used.Fits(w.Capacity), "worker_over_capacity", "worker %s: used %v of %v", w.Name, w.Used, w.Capacity)
	return nil
}

// Restore adds the reservation of an attempt that a worker reports as running.
// Unlike Reserve, it accepts a size that exceeds the free capacity, since the
// attempt is running there anyway.
func (l *Ledger) Restore(worker string, r Reservation) error {
	w := l.workers[worker]
	if w == nil {
		return fault.Newf("restore", KindUnknownWorker, "worker %s is not in the ledger", worker)
	}
	if l.reservations[r.Attempt] != nil {
		return fault.Newf("restore", KindDuplicate, "attempt %s already has a reservation", r.Attempt)
	}
	l.addReservation(w, r)
	return nil
}

func (l *Ledger) addReservation(w *Worker, r Reservation) {
	l.lastOrder++
	r.Order, r.Worker = l.lastOrder, w
	stored := l.newReservation()
	*stored = r
	l.reservations[r.Attempt] = stored
	w.Reservations[r.Attempt] = stored
	w.Used = w.Used.Add(r.Size)
	l.used = l.used.Add(r.Size)
	if r.Spread != "" {
		l.spreadCounts[spreadKey{r.Spread, w.Rack}]++
	}
	l.updateIndex(w)
}

// newReservation returns an empty reservation. It reuses a released one if
// possible.
func (l *Ledger) newReservation() *Reservation {
	if n := len(l.freeReservations); n > 0 {
		r := l.freeReservations[n-1]
		l.freeReservations = l.freeReservations[:n-1]
		return r
	}
	return &Reservation{}
}

// Release removes the reservation of an attempt and returns it. It returns
// false when there is none.
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
		if l.spreadCounts[key]--; l.spreadCounts[key] <= 0 {
			delete(l.spreadCounts, key)
		}
	}
	invariant.Check(!w.Used.IsNegative(), "negative_use", "worker %s: used %v", w.Name, w.Used)
	l.updateIndex(w)
	l.recordFreed(w)
	released := *r
	*r = Reservation{}
	l.freeReservations = append(l.freeReservations, r)
	return released, true
}

// FreedCount returns how many times the free capacity of a worker has
// increased: because the worker was added, accepted tasks again, or lost a
// reservation.
func (l *Ledger) FreedCount() uint64 { return l.freedCount }

func (l *Ledger) recordFreed(w *Worker) {
	l.freedRing[l.freedCount%freedRingSize] = w
	l.freedCount++
}

// SpreadCount returns how many attempts of a spread group are on a rack. It is
// 0 for the empty group.
func (l *Ledger) SpreadCount(group, rack string) int {
	if group == "" {
		return 0
	}
	return l.spreadCounts[spreadKey{group, rack}]
}
