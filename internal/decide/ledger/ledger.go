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

	// indexGroup, indexBucket and indexPosition locate the worker in
	// Ledger.index.
	indexGroup, indexBucket, indexPosition int
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
	// SpreadGroup names a group of attempts that should run on different racks.
	// It is empty for an attempt without a group.
	SpreadGroup string
	// Preemptible is true if the attempt may be stopped to free capacity for
	// another task.
	Preemptible bool
	// ChosenForPreemption is true once the attempt has been selected as a victim of a
	// preemption.
	ChosenForPreemption bool
	// Sequence is set by the ledger and is higher for newer reservations.
	Sequence uint64
}

const (
	// indexBucketCount is the number of buckets into which the index divides
	// workers by their smallestFreeFraction.
	indexBucketCount = 17
	// The index keeps workers without accelerators in generalGroup and those
	// with accelerators in acceleratorGroup.
	indexGroupCount  = 2
	generalGroup     = 0
	acceleratorGroup = 1
	// freedWorkerRingSize is the number of recent increases of free capacity
	// that the ledger remembers.
	freedWorkerRingSize = 64
)

// Ledger tracks the workers and their reservations.
type Ledger struct {
	workers      map[string]*Worker
	reservations map[string]*Reservation
	// index lists the workers by group, with or without accelerators, and by
	// the bucket that indexBucketOf returns.
	index [indexGroupCount][indexBucketCount][]indexEntry
	// workersByCapacity counts the workers of each capacity.
	workersByCapacity map[resource.Vector]int
	// reservationCountBySpreadKey counts the attempts of each spread group on each rack.
	reservationCountBySpreadKey map[spreadKey]int
	// totalCapacity and totalUsed are sums over all workers. maxCapacity is,
	// for each resource, the largest capacity of any worker.
	totalCapacity, totalUsed resource.Vector
	maxCapacity              resource.Vector
	lastSequence             uint64
	// freedCount counts how many times the free capacity of a worker has
	// increased. freedWorkerRing holds the workers of the latest increases; the
	// worker of increase n is at index n % freedWorkerRingSize.
	freedCount      uint64
	freedWorkerRing [freedWorkerRingSize]*Worker
	// failedSearchRing holds the latest searches that found no worker.
	// failedSearchCount counts all such searches.
	failedSearchRing  [failedSearchRingSize]failedSearch
	failedSearchCount int
	// recycledReservations holds released Reservation values for reuse, to
	// avoid allocations.
	recycledReservations []*Reservation
}

type spreadKey struct{ group, rack string }

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{workers: map[string]*Worker{}, reservations: map[string]*Reservation{}, reservationCountBySpreadKey: map[spreadKey]int{}, workersByCapacity: map[resource.Vector]int{}}
}

// TotalCapacity returns the sum of the capacities of all workers.
func (l *Ledger) TotalCapacity() resource.Vector { return l.totalCapacity }

// TotalUsed returns the sum of the reservations on all workers.
func (l *Ledger) TotalUsed() resource.Vector { return l.totalUsed }

// MaxCapacity returns, for each resource, the largest capacity of any worker.
// The amounts may come from different workers.
func (l *Ledger) MaxCapacity() resource.Vector { return l.maxCapacity }

// FitsAnyWorker reports whether a size would fit at least one worker if all
// workers were empty.
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

// Worker returns the worker of this name, or nil if there is none.
func (l *Ledger) Worker(name string) *Worker { return l.workers[name] }

// EachWorker calls f for every worker in no fixed order.
func (l *Ledger) EachWorker(f func(w *Worker)) {
	for _, w := range l.workers {
		f(w)
	}
}

// Reservation returns the reservation of an attempt, or nil if there is none.
func (l *Ledger) Reservation(attempt string) *Reservation { return l.reservations[attempt] }

// AddWorker adds a worker without reservations. It returns an error when a
// worker of that name is in the ledger; the older one must be removed first.
func (l *Ledger) AddWorker(name, rack string, capacity resource.Vector) error {
	if l.workers[name] != nil {
		return fault.Newf("add_worker", KindDuplicate, "worker %s is already in the ledger", name)
	}
	w := &Worker{Name: name, Rack: rack, Capacity: capacity, Accepting: true, Reservations: map[string]*Reservation{}}
	if capacity.Accelerators > 0 {
		w.indexGroup = acceleratorGroup
	}
	l.workers[name] = w
	l.totalCapacity = l.totalCapacity.Add(capacity)
	l.maxCapacity = l.maxCapacity.Max(capacity)
	l.workersByCapacity[capacity]++
	w.indexBucket = indexBucketOf(w)
	l.insertIntoIndex(w)
	l.recordFreedCapacity(w)
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
	l.totalCapacity = l.totalCapacity.Sub(w.Capacity)
	l.maxCapacity = resource.Vector{}
	for _, o := range l.workers {
		l.maxCapacity = l.maxCapacity.Max(o.Capacity)
	}
	for i, g := range l.freedWorkerRing {
		if g == w {
			l.freedWorkerRing[i] = nil
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
		l.recordFreedCapacity(w)
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
	l.lastSequence++
	r.Sequence, r.Worker = l.lastSequence, w
	stored := l.newReservation()
	*stored = r
	l.reservations[r.Attempt] = stored
	w.Reservations[r.Attempt] = stored
	w.Used = w.Used.Add(r.Size)
	l.totalUsed = l.totalUsed.Add(r.Size)
	if r.SpreadGroup != "" {
		l.reservationCountBySpreadKey[spreadKey{r.SpreadGroup, w.Rack}]++
	}
	l.updateIndex(w)
}

// newReservation returns an empty Reservation value, which is a recycled one if
// possible.
func (l *Ledger) newReservation() *Reservation {
	if n := len(l.recycledReservations); n > 0 {
		r := l.recycledReservations[n-1]
		l.recycledReservations = l.recycledReservations[:n-1]
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
	l.totalUsed = l.totalUsed.Sub(r.Size)
	if r.SpreadGroup != "" {
		key := spreadKey{r.SpreadGroup, w.Rack}
		if l.reservationCountBySpreadKey[key]--; l.reservationCountBySpreadKey[key] <= 0 {
			delete(l.reservationCountBySpreadKey, key)
		}
	}
	invariant.Check(!w.Used.IsNegative(), "negative_use", "worker %s: used %v", w.Name, w.Used)
	l.updateIndex(w)
	l.recordFreedCapacity(w)
	released := *r
	*r = Reservation{}
	l.recycledReservations = append(l.recycledReservations, r)
	return released, true
}

// FreedCount returns how many times the free capacity of a worker has
// increased: because the worker was added, started to accept tasks again, or
// lost a reservation.
func (l *Ledger) FreedCount() uint64 { return l.freedCount }

func (l *Ledger) recordFreedCapacity(w *Worker) {
	l.freedWorkerRing[l.freedCount%freedWorkerRingSize] = w
	l.freedCount++
}

// SpreadCount returns how many attempts of a spread group are on a rack. It is
// 0 for the empty group.
func (l *Ledger) SpreadCount(group, rack string) int {
	if group == "" {
		return 0
	}
	return l.reservationCountBySpreadKey[spreadKey{group, rack}]
}
