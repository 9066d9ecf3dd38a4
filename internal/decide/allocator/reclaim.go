package allocator

import (
	"sort"

	"github.com/almondpost/almondpost/internal/decide/admission"
	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// maxPreemptionsPerPlan is the number of pending preemptions for one waiting plan
// at which no further ones are chosen for it. The number can be exceeded, because
// one task may need several preemptions.
const maxPreemptionsPerPlan = 16

// Reclaim chooses running attempts to preempt, in order to free capacity for
// queue heads that could not start. A plan below its promised share takes
// capacity from plans above their promised share. Urgent tasks also take
// capacity from less urgent tasks, either of their own plan or of a plan that
// is above its promised share and has a larger weighted share.
func (a *Allocator) Reclaim() []Preemption {
	var out []Preemption
	for _, q := range a.activeQueues {
		for c := range q.queueByClass {
			head := q.queueByClass[c].Head()
			if head == nil || q.blockedHeadByClass[c] != head {
				continue
			}
			out = append(out, a.preemptForQueueHead(q, c, head)...)
		}
	}
	return out
}

// preemptForQueueHead returns the preemptions that free capacity for the head of a
// class's queue, and marks the attempts as preempted. It returns nil when
// maxPreemptionsPerPlan is reached, or when the plan has as many pending
// preemptions as tasks in this queue.
func (a *Allocator) preemptForQueueHead(q *planQueues, rank int, head *admission.Item[*Task]) []Preemption {
	if a.pendingPreemptionsByPlan[q.planName] >= min(maxPreemptionsPerPlan, q.queueByClass[rank].Len()) {
		return nil
	}
	var out []Preemption
	for _, r := range a.chooseVictims(q, rank, head.Value.Size) {
		r.ChosenForPreemption = true
		a.pendingPreemptionsByPlan[q.planName]++
		a.preemptorPlanByAttempt[r.Attempt] = q.planName
		out = append(out, Preemption{Attempt: r.Attempt, Worker: r.Worker.Name, ForPlan: q.planName})
	}
	return out
}

// chooseVictims returns the reservations, all on one worker, to preempt for a
// task of this size, or nil when preemption cannot free enough capacity on any
// worker. If it can on several workers, chooseVictims chooses the one where
// preemption is cheapest according to isCheaperToPreempt.
func (a *Allocator) chooseVictims(q *planQueues, rank int, size resource.Vector) []*ledger.Reservation {
	var best []*ledger.Reservation
	withinLimit := q.account.StaysWithinLimitWith(size)
	if !withinLimit && rank != plan.Urgent.Rank() {
		return nil
	}
	a.ledger.EachWorker(func(w *ledger.Worker) {
		if !w.Accepting || !size.Fits(w.Capacity) {
			return
		}
		onWorker := a.victimsOnWorker(w, q, rank, size, withinLimit)
		if onWorker != nil && (best == nil || isCheaperToPreempt(onWorker, best)) {
			best = onWorker
		}
	})
	return best
}

// isCheaperToPreempt reports whether preempting a is expected to lose less work
// than preempting b: a has fewer reservations or, if both have equally many,
// the first reservation of a is newer.
func isCheaperToPreempt(a, b []*ledger.Reservation) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a[0].Sequence > b[0].Sequence
}

// victimsOnWorker returns the reservations on a worker to preempt for a task of
// this size. It adds the least urgent and newest ones first and stops when the
// task fits. It returns nil if the task would not fit even after all permitted
// preemptions. A plan at its limit may only preempt its own attempts.
func (a *Allocator) victimsOnWorker(w *ledger.Worker, q *planQueues, rank int, size resource.Vector, withinLimit bool) []*ledger.Reservation {
	var preemptible []*ledger.Reservation
	free := w.Free()
	for _, r := range w.Reservations {
		if r.ChosenForPreemption {
			continue
		}
		if (withinLimit || r.Plan == q.planName) && a.mayPreempt(q, rank, r) {
			preemptible = append(preemptible, r)
		}
	}
	sort.Slice(preemptible, func(i, j int) bool {
		if preemptible[i].ClassRank != preemptible[j].ClassRank {
			return preemptible[i].ClassRank > preemptible[j].ClassRank
		}
		return preemptible[i].Sequence > preemptible[j].Sequence
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
// Within one plan, only urgent tasks may preempt less urgent ones. An attempt of
// another plan may be preempted only while that plan is above its promised
// share. A plan below its promised share may preempt any less urgent attempt,
// and any attempt without which the other plan still has its promised share. A
// plan at or above its promised share may preempt only for an urgent task, and
// only less urgent attempts of a plan with a larger weighted share.
func (a *Allocator) mayPreempt(q *planQueues, rank int, r *ledger.Reservation) bool {
	if !r.Preemptible {
		return false
	}
	if r.Plan == q.planName {
		return rank == plan.Urgent.Rank() && r.ClassRank > rank
	}
	victim := a.shares.Account(r.Plan)
	if victim.WeightedShare() <= 1 {
		return false
	}
	if q.account.WeightedShare() < 1 {
		return victim.Used.Sub(r.Size).DominantFraction(a.ledger.TotalCapacity()) >= victim.PromisedShare-shareTolerance || r.ClassRank > rank
	}
	return rank == plan.Urgent.Rank() && r.ClassRank > rank && victim.WeightedShare() > q.account.WeightedShare()
}

// shareTolerance absorbs rounding errors when shares are compared.
const shareTolerance = 1e-9

// endPreemption removes an attempt that has ended from the pending preemptions.
// It does nothing if the attempt was not preempted.
func (a *Allocator) endPreemption(attempt string) {
	name, ok := a.preemptorPlanByAttempt[attempt]
	if !ok {
		return
	}
	delete(a.preemptorPlanByAttempt, attempt)
	if a.pendingPreemptionsByPlan[name]--; a.pendingPreemptionsByPlan[name] <= 0 {
		delete(a.pendingPreemptionsByPlan, name)
	}
}
