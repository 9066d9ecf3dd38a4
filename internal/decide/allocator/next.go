package allocator

import (
	"time"

	"github.com/almondpost/almondpost/internal/decide/admission"
	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// turn is the order in which plans get room: plans below their promise come
// first, then the more urgent class, then the emptier customer and plan.
type turn struct {
	borrowing    bool
	rank         int
	customerFill float64
	fill         float64
}

func (t turn) before(o turn) bool {
	switch {
	case t.borrowing != o.borrowing:
		return !t.borrowing
	case t.rank != o.rank:
		return t.rank < o.rank
	case t.customerFill != o.customerFill && t.borrowing:
		return t.customerFill < o.customerFill
	}
	return t.fill < o.fill
}

// candidate is a plan whose head of a class may be placed.
type candidate struct {
	turn  turn
	queue *planQueues
}

// candidates is a heap by turn.
type candidates []candidate

func (c candidates) down(i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c); child++ {
			if c[child].turn.before(c[first].turn) {
				first = child
			}
		}
		if first == i {
			return
		}
		c[i], c[first] = c[first], c[i]
		i = first
	}
}

// Next decides the next start, or reports false when nothing that waits fits.
func (a *Allocator) Next(now time.Time) (Decision, bool) {
	heap := a.candidates()
	for len(heap) > 0 {
		c := heap[0]
		if d, ok := a.place(now, c.queue, c.turn.rank); ok {
			return d, true
		}
		if rank := a.openRank(c.queue, c.turn.rank+1); rank >= 0 {
			heap[0].turn.rank = rank
		} else {
			heap[0] = heap[len(heap)-1]
			heap = heap[:len(heap)-1]
		}
		heap.down(0)
	}
	return Decision{}, false
}

// candidates returns a heap of the plans with a head that may fit, and drops
// plans without waiting tasks from the active list.
func (a *Allocator) candidates() candidates {
	heap := candidates(a.scratch[:0])
	for i := 0; i < len(a.active); i++ {
		q := a.active[i]
		if rank := a.openRank(q, 0); rank >= 0 {
			heap = append(heap, candidate{turnOf(q, rank), q})
			continue
		}
		if q.len() > 0 {
			continue
		}
		q.active = false
		last := len(a.active) - 1
		a.active[i] = a.active[last]
		a.active = a.active[:last]
		i--
	}
	a.scratch = heap
	for i := len(heap)/2 - 1; i >= 0; i-- {
		heap.down(i)
	}
	return heap
}

func turnOf(q *planQueues, rank int) turn {
	t := turn{rank: rank, fill: q.account.Fill()}
	if t.borrowing = t.fill >= 1; t.borrowing {
		t.customerFill = q.account.CustomerFill()
	}
	return t
}

// openRank returns the most urgent class from a rank on with a head that may
// fit, or -1.
func (a *Allocator) openRank(q *planQueues, from int) int {
	for c := from; c < len(q.classes); c++ {
		head := q.classes[c].Head()
		if head == nil {
			continue
		}
		if q.blocked[c] != head || q.limited[c] && q.account.Permits(head.Value.Size) {
			return c
		}
		if q.since[c] == a.ledger.Gains() {
			continue
		}
		if a.ledger.GainedFits(q.since[c], head.Value.Size) {
			return c
		}
		q.since[c] = a.ledger.Gains()
	}
	return -1
}

func (a *Allocator) place(now time.Time, q *planQueues, rank int) (Decision, bool) {
	head := q.classes[rank].Head()
	t := head.Value
	w := a.choose(q, rank, head)
	if w == nil {
		q.blocked[rank], q.since[rank] = head, a.ledger.Gains()
		return Decision{}, false
	}
	err := a.ledger.Reserve(w.Name, ledger.Reservation{
		Attempt: t.Attempt, Size: t.Size, Plan: t.Plan, Class: rank, Spread: t.Spread, Preemptible: t.Repeatable,
	})
	invariant.Check(err == nil, "reservation_refused", "attempt %s: %v", t.Attempt, err)
	if err != nil {
		q.blocked[rank], q.since[rank] = head, a.ledger.Gains()
		return Decision{}, false
	}
	a.shares.Charge(t.Plan, t.Size)
	q.classes[rank].Remove(head)
	delete(a.waiting, t.Attempt)
	return Decision{Task: t, Worker: w.Name, Waited: now.Sub(head.Since)}, true
}

func (a *Allocator) choose(q *planQueues, rank int, head *admission.Item[*Task]) *ledger.Worker {
	t := head.Value
	wasLimited := q.limited[rank]
	if q.limited[rank] = !q.account.Permits(t.Size); q.limited[rank] {
		return nil
	}
	if q.blocked[rank] == head && !wasLimited {
		w, complete := a.policy.ChooseGained(a.ledger, q.since[rank], t.Size, t.Spread)
		if complete {
			return w
		}
	}
	return a.policy.Choose(a.ledger, t.Size, t.Spread)
}

// Advertisement is what an owner tells others of its workers and queues.
type Advertisement struct {
	// FreeFraction is the scarcest free fraction of the pool, at most 1.
	FreeFraction float64
	Workers      int
	// Waiting is the number of waiting tasks by class.
	Waiting [len(plan.Classes)]int
}

// TotalWaiting returns the number of waiting tasks of all classes.
func (a Advertisement) TotalWaiting() int {
	n := 0
	for _, w := range a.Waiting {
		n += w
	}
	return n
}

// Advertise summarises the allocator.
func (a *Allocator) Advertise() Advertisement {
	out := Advertisement{Workers: a.ledger.Len()}
	if out.Workers > 0 {
		out.FreeFraction = max(0, 1-a.ledger.Used().DominantFraction(a.ledger.Total()))
	}
	for _, q := range a.active {
		for c := range q.classes {
			out.Waiting[c] += q.classes[c].Len()
		}
	}
	return out
}

// Hold reserves room for a task at once, without queueing it, as gangs need.
// It reports false when nothing fits or the plan is at its limit.
func (a *Allocator) Hold(t *Task) (worker string, ok bool) {
	account := a.shares.Account(t.Plan)
	if a.drained || !account.Permits(t.Size) || a.ledger.Reservation(t.Attempt) != nil {
		return "", false
	}
	w := a.policy.Choose(a.ledger, t.Size, t.Spread)
	if w == nil {
		return "", false
	}
	err := a.ledger.Reserve(w.Name, ledger.Reservation{
		Attempt: t.Attempt, Size: t.Size, Plan: t.Plan, Class: t.Class.Rank(), Spread: t.Spread,
	})
	if err != nil {
		return "", false
	}
	a.shares.Charge(t.Plan, t.Size)
	return w.Name, true
}
