package allocator

import (
	"sort"

	"github.com/almondpost/almondpost/internal/decide/admission"
	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// maxReclaims bounds the preemptions under way for one plan.
const maxReclaims = 16

// Reclaim returns the preemptions that make room for blocked heads: a plan
// below its promise takes back what others borrow, and urgent work takes room
// from less urgent work of its own plan or of plans that borrow more.
func (a *Allocator) Reclaim() []Preemption {
	var out []Preemption
	for _, q := range a.active {
		for c := range q.classes {
			head := q.classes[c].Head()
			if head == nil || q.blocked[c] != head {
				continue
			}
			out = append(out, a.reclaimFor(q, c, head)...)
		}
	}
	return out
}

func (a *Allocator) reclaimFor(q *planQueues, rank int, head *admission.Item[*Task]) []Preemption {
	if a.reclaiming[q.name] >= min(maxReclaims, q.classes[rank].Len()) {
		return nil
	}
	var out []Preemption
	for _, r := range a.victims(q, rank, head.Value.Size) {
		r.Preempting = true
		a.reclaiming[q.name]++
		a.preemptFor[r.Attempt] = q.name
		out = append(out, Preemption{Attempt: r.Attempt, Worker: r.Worker.Name, For: q.name})
	}
	return out
}

// victims returns the smallest set of reservations on one worker that makes
// room for a size, or nil.
func (a *Allocator) victims(q *planQueues, rank int, size resource.Vector) []*ledger.Reservation {
	var best []*ledger.Reservation
	permitted := q.account.Permits(size)
	if !permitted && rank != plan.Urgent.Rank() {
		return nil
	}
	a.ledger.Workers(func(w *ledger.Worker) {
		if !w.Accepting || !size.Fits(w.Capacity) {
			return
		}
		set := a.victimsOn(w, q, rank, size, permitted)
		if set != nil && (best == nil || cheaper(set, best)) {
			best = set
		}
	})
	return best
}

// cheaper prefers fewer victims, then the newer ones, which lose less work.
func cheaper(a, b []*ledger.Reservation) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].Order > b[0].Order
}

func (a *Allocator) victimsOn(w *ledger.Worker, q *planQueues, rank int, size resource.Vector, permitted bool) []*ledger.Reservation {
	var able []*ledger.Reservation
	free := w.Free()
	for _, r := range w.Reservations {
		if r.Preempting {
			continue
		}
		if (permitted || r.Plan == q.name) && a.mayTake(q, rank, r) {
			able = append(able, r)
		}
	}
	sort.Slice(able, func(i, j int) bool {
		if able[i].Class != able[j].Class {
			return able[i].Class > able[j].Class
		}
		return able[i].Order > able[j].Order
	})
	for i, r := range able {
		free = free.Add(r.Size)
		if size.Fits(free) {
			return able[:i+1]
		}
	}
	return nil
}

func (a *Allocator) mayTake(q *planQueues, rank int, r *ledger.Reservation) bool {
	if !r.Preemptible {
		return false
	}
	if r.Plan == q.name {
		return rank == plan.Urgent.Rank() && r.Class > rank
	}
	victim := a.shares.Account(r.Plan)
	if victim.Fill() <= 1 {
		return false
	}
	if q.account.Fill() < 1 {
		return victim.Used.Sub(r.Size).DominantFraction(a.ledger.Total()) >= victim.Promised-reclaimSlack || r.Class > rank
	}
	return rank == plan.Urgent.Rank() && r.Class > rank && victim.Fill() > q.account.Fill()
}

// reclaimSlack absorbs rounding.
const reclaimSlack = 1e-9

func (a *Allocator) endPreemption(attempt string) {
	name, ok := a.preemptFor[attempt]
	if !ok {
		return
	}
	delete(a.preemptFor, attempt)
	if a.reclaiming[name]--; a.reclaiming[name] <= 0 {
		delete(a.reclaiming, name)
	}
}
