package allocator

import (
	"time"

	"github.com/almondpost/almondpost/internal/decide/admission"
	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// priority decides which plan gets capacity first. Plans below their promised
// share come before plans that borrow. Among equals the more urgent class comes
// first. Then plans that borrow are compared by the weighted share of their
// customer, and finally all plans by their own weighted share; the smaller
// share comes first.
type priority struct {
	// borrowing is true when the plan uses its promised share or more.
	borrowing bool
	// classRank is the rank of the class whose first waiting task competes for
	// capacity.
	classRank int
	// customerWeightedShare and planWeightedShare are weighted shares as
	// package share defines them. customerWeightedShare is only set for plans
	// that borrow.
	customerWeightedShare float64
	planWeightedShare     float64
}

// precedes reports whether a plan with priority p gets capacity before a plan
// with priority o.
func (p priority) precedes(o priority) bool {
	switch {
	case p.borrowing != o.borrowing:
		return !p.borrowing
	case p.classRank != o.classRank:
		return p.classRank < o.classRank
	case p.customerWeightedShare != o.customerWeightedShare && p.borrowing:
		return p.customerWeightedShare < o.customerWeightedShare
	}
	return p.planWeightedShare < o.planWeightedShare
}

// candidate is a plan with a waiting task that may fit a worker.
type candidate struct {
	priority priority
	queues   *planQueues
}

// candidates is a binary heap. The candidate whose priority precedes that of
// all others is at index 0.
type candidates []candidate

// siftDown moves the candidate at index i down until none of its children comes
// before it.
func (c candidates) siftDown(i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c); child++ {
			if c[child].priority.precedes(c[first].priority) {
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

// Next chooses the waiting task that starts next, reserves capacity for it and
// removes it from its queue. It returns false when no waiting task can start.
func (a *Allocator) Next(now time.Time) (Assignment, bool) {
	heap := a.buildCandidateHeap()
	for len(heap) > 0 {
		c := heap[0]
		if d, ok := a.placeQueueHead(now, c.queues, c.priority.classRank); ok {
			return d, true
		}
		if rank := a.firstPlaceableRank(c.queues, c.priority.classRank+1); rank >= 0 {
			heap[0].priority.classRank = rank
		} else {
			heap[0] = heap[len(heap)-1]
			heap = heap[:len(heap)-1]
		}
		heap.siftDown(0)
	}
	return Assignment{}, false
}

// buildCandidateHeap returns a heap of the plans with a queue head that may fit a
// worker. It also removes plans without waiting tasks from activeQueues.
func (a *Allocator) buildCandidateHeap() candidates {
	heap := candidates(a.candidateBuffer[:0])
	for i := 0; i < len(a.activeQueues); i++ {
		q := a.activeQueues[i]
		if rank := a.firstPlaceableRank(q, 0); rank >= 0 {
			heap = append(heap, candidate{priorityOf(q, rank), q})
			continue
		}
		if q.waitingCount() > 0 {
			continue
		}
		q.listedInActiveQueues = false
		last := len(a.activeQueues) - 1
		a.activeQueues[i] = a.activeQueues[last]
		a.activeQueues = a.activeQueues[:last]
		i--
	}
	a.candidateBuffer = heap
	for i := len(heap)/2 - 1; i >= 0; i-- {
		heap.siftDown(i)
	}
	return heap
}

// priorityOf returns the priority with which a plan requests capacity for the
// first waiting task of the class with this rank.
func priorityOf(q *planQueues, rank int) priority {
	p := priority{classRank: rank, planWeightedShare: q.account.WeightedShare()}
	if p.borrowing = p.planWeightedShare >= 1; p.borrowing {
		p.customerWeightedShare = q.account.CustomerWeightedShare()
	}
	return p
}

// firstPlaceableRank returns the rank of the most urgent class, starting at
// rank from, whose queue head may fit a worker. It returns -1 when there is
// none. It skips a head that could not start before until enough capacity for it
// has been freed, or until the plan's limit permits it again if that kept it from
// starting.
func (a *Allocator) firstPlaceableRank(q *planQueues, from int) int {
	for c := from; c < len(q.queueByClass); c++ {
		head := q.queueByClass[c].Head()
		if head == nil {
			continue
		}
		if q.blockedHeadByClass[c] != head || q.atLimitByClass[c] && q.account.StaysWithinLimitWith(head.Value.Size) {
			return c
		}
		if q.freedCountWhenBlockedByClass[c] == a.ledger.FreedCount() {
			continue
		}
		if a.ledger.FitsAnyFreedWorker(q.freedCountWhenBlockedByClass[c], head.Value.Size) {
			return c
		}
		q.freedCountWhenBlockedByClass[c] = a.ledger.FreedCount()
	}
	return -1
}

// placeQueueHead reserves capacity for the head of a class's queue and removes
// it from the queue. When no worker fits or the plan is at its limit, it
// records the head as blocked and returns false.
func (a *Allocator) placeQueueHead(now time.Time, q *planQueues, rank int) (Assignment, bool) {
	head := q.queueByClass[rank].Head()
	t := head.Value
	w := a.chooseWorker(q, rank, head)
	if w == nil {
		q.blockedHeadByClass[rank], q.freedCountWhenBlockedByClass[rank] = head, a.ledger.FreedCount()
		return Assignment{}, false
	}
	err := a.ledger.Reserve(w.Name, ledger.Reservation{
		Attempt: t.Attempt, Size: t.Size, Plan: t.Plan, ClassRank: rank, SpreadGroup: t.SpreadGroup, Preemptible: t.Repeatable,
	})
	invariant.Check(err == nil, "reservation_refused", "reserve capacity for attempt %s: %v", t.Attempt, err)
	if err != nil {
		q.blockedHeadByClass[rank], q.freedCountWhenBlockedByClass[rank] = head, a.ledger.FreedCount()
		return Assignment{}, false
	}
	a.shares.Charge(t.Plan, t.Size)
	q.queueByClass[rank].Remove(head)
	delete(a.waitingByAttempt, t.Attempt)
	return Assignment{Task: t, Worker: w.Name, Waited: now.Sub(head.EnqueuedAt)}, true
}

// chooseWorker returns a worker for the head of a class's queue, or nil when
// the head fits no worker or the plan is at its limit. If the head fitted no
// worker before, it searches only workers with capacity freed since then,
// provided that the ledger remembers all of them.
func (a *Allocator) chooseWorker(q *planQueues, rank int, head *admission.Item[*Task]) *ledger.Worker {
	t := head.Value
	wasAtLimit := q.atLimitByClass[rank]
	if q.atLimitByClass[rank] = !q.account.StaysWithinLimitWith(t.Size); q.atLimitByClass[rank] {
		return nil
	}
	if q.blockedHeadByClass[rank] == head && !wasAtLimit {
		w, complete := a.policy.ChooseAmongFreedWorkers(a.ledger, q.freedCountWhenBlockedByClass[rank], t.Size, t.SpreadGroup)
		if complete {
			return w
		}
	}
	return a.policy.Choose(a.ledger, t.Size, t.SpreadGroup)
}

// Advertisement is the load that an entry VM reports to the other entry VMs.
// They use it to choose where to send tasks.
type Advertisement struct {
	// FreeFraction is the free fraction, from 0 to 1, of the most used resource
	// of the pool.
	FreeFraction float64
	Workers      int
	// WaitingByClass is the number of waiting tasks, indexed by the rank of their
	// class.
	WaitingByClass [len(plan.Classes)]int
}

// TotalWaiting returns the number of waiting tasks of all classes.
func (a Advertisement) TotalWaiting() int {
	n := 0
	for _, w := range a.WaitingByClass {
		n += w
	}
	return n
}

// Advertise returns the current load of this entry VM.
func (a *Allocator) Advertise() Advertisement {
	out := Advertisement{Workers: a.ledger.Len()}
	if out.Workers > 0 {
		out.FreeFraction = max(0, 1-a.ledger.TotalUsed().DominantFraction(a.ledger.TotalCapacity()))
	}
	for _, q := range a.activeQueues {
		for c := range q.queueByClass {
			out.WaitingByClass[c] += q.queueByClass[c].Len()
		}
	}
	return out
}

// ReserveWithoutQueueing reserves capacity for a task immediately, without queueing it. A
// gang needs this to reserve capacity for all of its tasks before any of them
// starts. ReserveWithoutQueueing returns false when no worker fits, the plan is at its
// limit, the attempt already has a reservation, or the allocator is draining.
func (a *Allocator) ReserveWithoutQueueing(t *Task) (worker string, ok bool) {
	account := a.shares.Account(t.Plan)
	if a.draining || !account.StaysWithinLimitWith(t.Size) || a.ledger.Reservation(t.Attempt) != nil {
		return "", false
	}
	w := a.policy.Choose(a.ledger, t.Size, t.SpreadGroup)
	if w == nil {
		return "", false
	}
	err := a.ledger.Reserve(w.Name, ledger.Reservation{
		Attempt: t.Attempt, Size: t.Size, Plan: t.Plan, ClassRank: t.Class.Rank(), SpreadGroup: t.SpreadGroup,
	})
	if err != nil {
		return "", false
	}
	a.shares.Charge(t.Plan, t.Size)
	return w.Name, true
}
