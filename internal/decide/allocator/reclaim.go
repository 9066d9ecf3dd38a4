package allocator

import (
	"sort"

	"github.com/almondpost/almondpost/internal/decide/admission"
	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// maxPreemptionsPerPlan bounds the preempted attempts that one waiting plan
// waits for at a time.
const maxPreemptionsPerPlan = 16

// Reclaim returns the preemptions that free capacity for queue heads that could
// not start. A plan below its promised share takes capacity from plans above
// theirs. Urgent tasks also take it from less urgent tasks, of their own plan
// or of plans above their promised share that have a larger weighted share.
func (a *Allocator) Reclaim() []Preemption {
	var out []Preemption
	for _, q := range a.activeQueues {
		for c := range q.byClass {
			head := q.byClass[c].Head()
			if head == nil || q.blockedHead[c] != head {
				continue
			}
			out = append(out, a.preemptForHead(q, c, head)...)
		}
	}
	return out
}

// preemptForHead returns the preemptions that free capacity for the head of a
// class, and marks the attempts as preempted.
func (a *Allocator) preemptForHead(q *planQueues, rank int, head *admission.Item[*Task]) []Preemption {
	if a.preemptionsInFlight[q.name] >= min(maxPreemptionsPerPlan, q.byClass[rank].Len()) {
		return nil
	}
	var out []Preemption
	for _, r := range a.chooseVictims(q, rank, head.Value.Size) {
		r.Preempting = true
		a.preemptionsInFlight[q.name]++
		a.preemptedFor[r.Attempt] = q.name
		out = append(out, Preemption{Attempt: r.Attempt, Worker: r.Worker.Name, ForPlan: q.name})
	}
	return out
}

// chooseVictims returns the reservations, all on one worker, to preempt for a
// task of this size. Of the workers where this is possible, it chooses the one
// that isCheaper prefers. It returns nil when there is none.
func (a *Allocator) chooseVictims(q *planQueues, rank int, size resource.Vector) []*ledger.Reservation {
	var best []*ledger.Reservation
	withinLimit := q.account.Permits(size)
	if !withinLimit && rank != plan.Urgent.Rank() {
		return nil
	}
	a.ledger.Workers(func(w *ledger.Worker) {
		if !w.Accepting || !size.Fits(w.Capacity) {
			return
		}
		onWorker := a.victimsOnWorker(w, q, rank, size, withinLimit)
		if onWorker != nil && (best == nil || isCheaper(onWorker, best)) {
			best = onWorker
		}
	})
	return best
}

// isCheaper reports whether preempting a is expected to lose less work than
// preempting b: a has fewer reservations or, if there are equally many, its
// first one is newer.
func isCheaper(a, b []*ledger.Reservation) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].Order > b[0].Order
}

// victimsOnWorker returns the reservations on a worker to preempt for a task of
// this size: the least urgent and newest first, until the task fits. It returns
// nil when the task would still not fit after all permitted preemptions. A plan
// at its limit may only preempt its own attempts.
func (a *Allocator) victimsOnWorker(w *ledger.Worker, q *planQueues, rank int, size resource.Vector, withinLimit bool) []*ledger.Reservation {
	var preemptible []*ledger.Reservation
	free := w.Free()
	for _, r := range w.Reservations {
		if r.Preempting {
			continue
		}
		if (withinLimit || r.Plan == q.name) && a.mayPreempt(q, rank, r) {
			preemptible = append(preemptible, r)
		}
	}
	sort.Slice(preemptible, func(i, j int) bool {
		if preemptible[i].ClassRank != preemptible[j].ClassRank {
			return preemptible[i].ClassRank > preemptible[j].ClassRank
		}
		return preemptible[i].Order > preemptible[j].Order
	})
	for i, r := range preemptible {
		free = free.Add(r.Size)
		if size.Fits(free) {
			return preemptible[:i+1]
		}
	}
	return nil
}

// mayPreempt reports whether a task of plan q with a class of this rank may
// preempt a reservation.
//
// Within one plan, only urgent tasks may preempt less urgent ones. Other plans
// lose attempts only while they are above their promised share. A plan below
// its promised share may preempt any attempt whose plan keeps its own promised
// share without it, and any less urgent attempt. A plan at or above its
// promised share may preempt only for an urgent task, and only less urgent
// attempts of a plan with a larger weighted share.
func (a *Allocator) mayPreempt(q *planQueues, rank int, r *ledger.Reservation) bool {
	if !r.Preemptible {
		return false
	}
	if r.Plan == q.name {
		return rank == plan.Urgent.Rank() && r.ClassRank > rank
	}
	victim := a.shares.Account(r.Plan)
	if victim.WeightedShare() <= 1 {
		return false
	}
	if q.account.WeightedShare() < 1 {
		return victim.Used.Sub(r.Size).DominantFraction(a.ledger.Total()) >= victim.Promised-shareTolerance || r.ClassRank > rank
	}
	return rank == plan.Urgent.Rank() && r.ClassRank > rank && victim.WeightedShare() > q.account.WeightedShare()
}

// shareTolerance absorbs rounding errors in the comparison of shares.
const shareTolerance = 1e-9

// endPreemption updates preemptionsInFlight when an attempt has ended. It does
// nothing if the attempt was not preempted.
func (a *Allocator) endPreemption(attempt string) {
	name, ok := a.preemptedFor[attempt]
	if !ok {
		return
	}
	delete(a.preemptedFor, attempt)
	if a.preemptionsInFlight[name]--; a.preemptionsInFlight[name] <= 0 {
		delete(a.preemptionsInFlight, name)
	}
}
