package allocator

import (
	"time"

	"github.com/almondpost/almondpost/pkg/admission"
	"github.com/almondpost/almondpost/pkg/invariant"
	"github.com/almondpost/almondpost/pkg/ledger"
	"github.com/almondpost/almondpost/pkg/plan"
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

// Next decides the next start, or reports false when nothing that waits fits.
func (a *Allocator) Next(now time.Time) (Decision, bool) {
	for {
		q, rank := a.first()
		if q == nil {
			return Decision{}, false
		}
		if d, ok := a.place(now, q, rank); ok {
			return d, true
		}
	}
}

// first returns the plan and class whose turn it is among those that are not
// blocked, and drops plans without waiting tasks from the active list.
func (a *Allocator) first() (best *planQueues, bestRank int) {
	var bestTurn turn
	for i := 0; i < len(a.active); i++ {
		q := a.active[i]
		rank := a.openRank(q)
		if rank < 0 {
			if q.len() == 0 {
				q.active = false
				last := len(a.active) - 1
				a.active[i] = a.active[last]
				a.active = a.active[:last]
				i--
			}
			continue
		}
		fill := q.account.Fill()
		t := turn{borrowing: fill >= 1, rank: rank, fill: fill}
		if t.borrowing {
			t.customerFill = q.account.CustomerFill()
		}
		if best == nil || t.before(bestTurn) {
			best, bestRank, bestTurn = q, rank, t
		}
	}
	return best, bestRank
}

// openRank returns the most urgent class with a head that is not blocked, or
// -1. A blocked head holds back the less urgent classes of its own plan only
// while they would take room it could use.
func (a *Allocator) openRank(q *planQueues) int {
	for c := range q.classes {
		head := q.classes[c].Head()
		if head == nil {
			continue
		}
		if q.blocked[c] == head && q.since[c] == a.ledger.Gains() {
			continue
		}
		return c
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
	if !q.account.Permits(t.Size) {
		return nil
	}
	if q.blocked[rank] == head {
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
