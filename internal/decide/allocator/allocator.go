// Package allocator decides which waiting task starts next and on which worker.
// It combines the ledger of a set of workers, the shares of the plans and their
// waiting queues. It does no I/O, starts no goroutines and gets the time as an
// argument. It is not safe for concurrent use.
package allocator

import (
	"time"

	"github.com/almondpost/almondpost/internal/decide/admission"
	"github.com/almondpost/almondpost/internal/decide/ledger"
	"github.com/almondpost/almondpost/internal/decide/placement"
	"github.com/almondpost/almondpost/internal/decide/share"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error. Callers get them as the reason why a task was not run.
const (
	KindUnknownPlan     Kind = "unknown_plan"
	KindClassNotAllowed Kind = "class_not_allowed"
	// KindTooLarge means that the task would not fit any worker, not even an
	// empty one.
	KindTooLarge Kind = "fits_no_worker"
	// KindPlanLimit means that the task is larger than the largest task that
	// its plan allows.
	KindPlanLimit Kind = "above_plan_limit"
	// KindQueueFull means that too many tasks of the plan and class, or of all
	// plans together, are waiting.
	KindQueueFull Kind = "queue_full"
	// KindDeadlineUnreachable means that the task cannot complete by its
	// deadline even if it starts now.
	KindDeadlineUnreachable Kind = "deadline_hopeless"
	// KindDuplicate means that the attempt is already waiting or running.
	KindDuplicate Kind = "duplicate_attempt"
	// KindNoWorkers means that the entry VM has no workers, or that all workers
	// that were large enough for the task have been removed.
	KindNoWorkers Kind = "no_workers"
	// KindShed means that a waiting task was dropped from a full queue in
	// favour of a more urgent one.
	KindShed Kind = "shed"
	// KindDeadlineOver means that a waiting task was dropped because it can no
	// longer complete by its deadline or has waited for Limits.MaxUrgentWait.
	KindDeadlineOver Kind = "deadline_over"
	// KindDraining means that the entry VM no longer accepts tasks.
	KindDraining Kind = "draining"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Task is one attempt to run a task.
type Task struct {
	// Attempt is the ID of the attempt, unique over all attempts.
	Attempt string
	Plan    string
	Class   plan.Class
	Size    resource.Vector
	// SpreadGroup names a group of tasks that should run on different racks. It is
	// empty for a task without a group.
	SpreadGroup string
	// Repeatable is true if the task may be preempted and run again later.
	Repeatable bool
	// RunTime is the declared run time of the task.
	RunTime time.Duration
	// Deadline is the time after which the caller has no use for the result;
	// zero means no deadline.
	Deadline time.Time
	// Resumed is true if an earlier attempt of the task ran and was stopped.
	// Limits.MaxUrgentWait does not apply to such a task, because its caller would
	// be told that the task was not run, which would no longer be true.
	Resumed bool
	// Payload is returned with the task; the allocator does not read it.
	Payload any
}

// Assignment tells which task to start on which worker. The capacity is already
// reserved.
type Assignment struct {
	Task   *Task
	Worker string
	// Waited is how long the task was queued.
	Waited time.Duration
}

// DroppedTask is a waiting task that was dropped before it ran.
type DroppedTask struct {
	Task   *Task
	Reason Kind
}

// Preemption is a running attempt that the caller has to stop, so that a
// waiting task gets its capacity.
type Preemption struct {
	Attempt string
	Worker  string
	// ForPlan is the plan of the waiting task. It may also be the plan of the
	// preempted attempt.
	ForPlan string
}

// Limits bounds the waiting queues of an allocator, and thereby its memory.
type Limits struct {
	// Waiting is the maximum number of waiting tasks of all plans together.
	Waiting int
	// MaxUrgentWait is the maximum time that an urgent task waits; zero means no
	// limit. After that time the task is dropped and reported as not run, since
	// a late start is of little use to its caller.
	MaxUrgentWait time.Duration
}

// Allocator holds the workers, plans and waiting tasks of one entry VM.
type Allocator struct {
	ledger *ledger.Ledger
	shares *share.Accounts
	policy placement.Policy
	limits Limits
	plans  *plan.Index
	// queuesByPlan holds the queues of each plan, keyed by plan name.
	queuesByPlan map[string]*planQueues
	// activeQueues lists the queues of all plans with waiting tasks. Queues
	// that have become empty stay in the list until the next call of
	// buildCandidateHeap.
	activeQueues []*planQueues
	// candidateBuffer is reused by buildCandidateHeap to avoid allocations.
	candidateBuffer []candidate
	// waitingByAttempt holds the queue items of all waiting tasks, keyed by
	// attempt.
	waitingByAttempt map[string]*admission.Item[*Task]
	// pendingPreemptionsByPlan counts the preempted attempts that have not
	// ended yet, by the plan that gets their capacity.
	pendingPreemptionsByPlan map[string]int
	// preemptorPlanByAttempt maps each preempted attempt that has not ended yet
	// to the plan that gets its capacity.
	preemptorPlanByAttempt map[string]string
	// draining is true after a call of Drain; new tasks are refused then.
	draining bool
}

// planQueues holds the waiting tasks of one plan in a queue per class. Its
// arrays are indexed by the rank of the class.
type planQueues struct {
	planName     string
	account      *share.Account
	entitlement  plan.Entitlement
	queueByClass [len(plan.Classes)]admission.Queue[*Task]
	// blockedHeadByClass holds the last head of each queue that could not
	// start, because it fitted no worker or the plan was at its limit.
	// freedCountWhenBlockedByClass holds the value of Ledger.FreedCount at the latest
	// check that the head fits no worker.
	blockedHeadByClass           [len(plan.Classes)]*admission.Item[*Task]
	freedCountWhenBlockedByClass [len(plan.Classes)]uint64
	// atLimitByClass is true for a class while the plan's limit keeps the head
	// of its queue from starting.
	atLimitByClass [len(plan.Classes)]bool
	// listedInActiveQueues is true while Allocator.activeQueues contains the queues of this
	// plan.
	listedInActiveQueues bool
}

func (p *planQueues) waitingCount() int {
	n := 0
	for i := range p.queueByClass {
		n += p.queueByClass[i].Len()
	}
	return n
}

// New returns an allocator without workers or plans.
func New(policy placement.Policy, limits Limits) *Allocator {
	empty, _ := plan.NewIndex(plan.Lists{})
	return &Allocator{
		ledger: ledger.New(), shares: share.New(), policy: policy, limits: limits, plans: empty,
		queuesByPlan: map[string]*planQueues{}, waitingByAttempt: map[string]*admission.Item[*Task]{},
		pendingPreemptionsByPlan: map[string]int{}, preemptorPlanByAttempt: map[string]string{},
	}
}

// Ledger returns the ledger, which the caller must not change.
func (a *Allocator) Ledger() *ledger.Ledger { return a.ledger }

// Shares returns the accounts of the plans, which the caller must not change.
func (a *Allocator) Shares() *share.Accounts { return a.shares }

// WaitingCount returns the number of waiting tasks.
func (a *Allocator) WaitingCount() int { return len(a.waitingByAttempt) }

// SetPlans replaces the plans and their limits. Waiting and running tasks are
// kept.
func (a *Allocator) SetPlans(plans *plan.Index) {
	a.plans = plans
	a.shares.SetPlans(plans)
	for name, q := range a.queuesByPlan {
		q.account = a.shares.Account(name)
		q.entitlement, _ = plans.Entitlement(name)
		q.blockedHeadByClass = [len(plan.Classes)]*admission.Item[*Task]{}
	}
}

// RunningAttempt is an attempt that already runs on a worker when the entry VM
// adopts the worker, that is, starts to schedule tasks on it.
type RunningAttempt struct {
	Attempt    string
	Plan       string
	Class      plan.Class
	Size       resource.Vector
	Repeatable bool
}

// AddWorker adds a worker with the attempts that already run on it. It removes
// these attempts from the waiting queues. It returns an error if the allocator
// already has a worker of that name; the older one must be removed first.
func (a *Allocator) AddWorker(name, rack string, capacity resource.Vector, running []RunningAttempt) error {
	if err := a.ledger.AddWorker(name, rack, capacity); err != nil {
		return err
	}
	for _, r := range running {
		a.dropWaitingTask(r.Attempt)
		err := a.ledger.Restore(name, ledger.Reservation{
			Attempt: r.Attempt, Size: r.Size, Plan: r.Plan, ClassRank: r.Class.Rank(), Preemptible: r.Repeatable,
		})
		invariant.Check(err == nil, "attempt_on_two_workers", "restore attempt %s on worker %s: %v", r.Attempt, name, err)
		if err == nil {
			a.shares.Charge(r.Plan, r.Size)
		}
	}
	a.shares.SetPoolCapacity(a.ledger.TotalCapacity())
	return nil
}

// RemoveWorker removes a worker and returns the attempts that had a reservation
// on it.
func (a *Allocator) RemoveWorker(name string) []string {
	reservations := a.ledger.RemoveWorker(name)
	attempts := make([]string, 0, len(reservations))
	for _, r := range reservations {
		a.shares.Refund(r.Plan, r.Size)
		a.endPreemption(r.Attempt)
		attempts = append(attempts, r.Attempt)
	}
	a.shares.SetPoolCapacity(a.ledger.TotalCapacity())
	return attempts
}

// DropUnplaceable drops and returns the waiting tasks that would not fit any
// worker, not even an empty one. This happens after the removal of all workers
// that were large enough for them.
func (a *Allocator) DropUnplaceable() []DroppedTask {
	var out []DroppedTask
	for _, i := range a.waitingByAttempt {
		if !a.ledger.FitsAnyWorker(i.Value.Size) {
			out = append(out, DroppedTask{Task: i.Value, Reason: KindNoWorkers})
		}
	}
	for _, r := range out {
		a.dropWaitingTask(r.Task.Attempt)
	}
	return out
}

// SetAccepting sets whether a worker gets new tasks.
func (a *Allocator) SetAccepting(worker string, accepting bool) {
	a.ledger.SetAccepting(worker, accepting)
}

// Drain drops and returns all waiting tasks. The allocator refuses new tasks
// from then on.
func (a *Allocator) Drain() []DroppedTask {
	a.draining = true
	var out []DroppedTask
	for _, i := range a.waitingByAttempt {
		out = append(out, DroppedTask{Task: i.Value, Reason: KindDraining})
	}
	for _, r := range out {
		a.dropWaitingTask(r.Task.Attempt)
	}
	return out
}

// Enqueue adds a task to the queue of its plan and class, or returns an error
// with the reason for refusing it. When Limits.Waiting tasks are already
// waiting, a less urgent task is dropped and returned as shed; if there is
// none, the new task is refused.
func (a *Allocator) Enqueue(now time.Time, t *Task) (shed *DroppedTask, err error) {
	q, err := a.admit(now, t)
	if err != nil {
		return nil, err
	}
	if len(a.waitingByAttempt) >= a.limits.Waiting {
		if shed = a.dropLessUrgentTask(t.Class.Rank()); shed == nil {
			return nil, fault.Newf("enqueue", KindQueueFull, "%d tasks are waiting", len(a.waitingByAttempt))
		}
	}
	i := &admission.Item[*Task]{Value: t, EnqueuedAt: now}
	if !t.Deadline.IsZero() {
		i.Deadline = t.Deadline.Add(-t.RunTime)
	}
	if limit := now.Add(a.limits.MaxUrgentWait); a.limits.MaxUrgentWait > 0 && t.Class == plan.Urgent && !t.Resumed && (i.Deadline.IsZero() || limit.Before(i.Deadline)) {
		i.Deadline = limit
	}
	a.waitingByAttempt[t.Attempt] = i
	q.queueByClass[t.Class.Rank()].Push(i)
	if !q.listedInActiveQueues {
		q.listedInActiveQueues = true
		a.activeQueues = append(a.activeQueues, q)
	}
	return shed, nil
}

// admit returns the queues of the task's plan, or an error with the reason for
// refusing the task.
func (a *Allocator) admit(now time.Time, t *Task) (*planQueues, error) {
	refuse := func(k Kind, format string, args ...any) (*planQueues, error) {
		return nil, fault.Newf("enqueue", k, format, args...)
	}
	e, ok := a.plans.Entitlement(t.Plan)
	switch {
	case a.draining:
		return refuse(KindDraining, "this entry VM is draining")
	case !ok:
		return refuse(KindUnknownPlan, "plan %q is not in the configuration", t.Plan)
	case t.Class.Rank() < 0 || !e.AllowsClass(t.Class):
		return refuse(KindClassNotAllowed, "plan %s does not allow class %q", t.Plan, t.Class)
	case a.waitingByAttempt[t.Attempt] != nil || a.ledger.Reservation(t.Attempt) != nil:
		return refuse(KindDuplicate, "attempt %s is already waiting or running", t.Attempt)
	case a.ledger.Len() == 0:
		return refuse(KindNoWorkers, "this entry VM has no workers")
	case !a.ledger.FitsAnyWorker(t.Size):
		return refuse(KindTooLarge, "size %v fits no worker, largest capacity of each resource: %v", t.Size, a.ledger.MaxCapacity())
	case !e.MaxTask.IsZero() && !t.Size.Fits(e.MaxTask):
		return refuse(KindPlanLimit, "size %v exceeds the limit for one task of the plan, %v", t.Size, e.MaxTask)
	case !t.Deadline.IsZero() && now.Add(t.RunTime).After(t.Deadline):
		return refuse(KindDeadlineUnreachable, "task cannot complete by its deadline %s", t.Deadline.Format(time.RFC3339))
	}
	q := a.queuesByPlan[t.Plan]
	if q == nil {
		q = &planQueues{planName: t.Plan, account: a.shares.Account(t.Plan), entitlement: e}
		a.queuesByPlan[t.Plan] = q
	}
	if n := q.queueByClass[t.Class.Rank()].Len(); n >= e.QueueLimit {
		return refuse(KindQueueFull, "plan %s already has %d waiting tasks of the class", t.Plan, n)
	}
	return q, nil
}

// dropLessUrgentTask drops and returns a waiting task of a less urgent class than
// the one with this rank, or returns nil when there is none. It takes the
// newest task of the least urgent class, from the plan with the most waiting
// tasks of that class.
func (a *Allocator) dropLessUrgentTask(rank int) *DroppedTask {
	for c := len(plan.Classes) - 1; c > rank; c-- {
		var longest *planQueues
		for _, q := range a.activeQueues {
			if q.queueByClass[c].Len() > 0 && (longest == nil || q.queueByClass[c].Len() > longest.queueByClass[c].Len()) {
				longest = q
			}
		}
		if longest != nil {
			t := longest.queueByClass[c].Tail().Value
			a.dropWaitingTask(t.Attempt)
			return &DroppedTask{Task: t, Reason: KindShed}
		}
	}
	return nil
}

// dropWaitingTask removes an attempt from its queue and returns its task, or nil
// when the attempt is not waiting.
func (a *Allocator) dropWaitingTask(attempt string) *Task {
	i := a.waitingByAttempt[attempt]
	if i == nil {
		return nil
	}
	delete(a.waitingByAttempt, attempt)
	a.queuesByPlan[i.Value.Plan].queueByClass[i.Value.Class.Rank()].Remove(i)
	return i.Value
}

// Cancel drops a waiting task in constant time and returns it, or nil when the
// attempt is not waiting.
func (a *Allocator) Cancel(attempt string) *Task { return a.dropWaitingTask(attempt) }

// IsWaiting reports whether an attempt is in a waiting queue.
func (a *Allocator) IsWaiting(attempt string) bool { return a.waitingByAttempt[attempt] != nil }

// Expire drops and returns the waiting tasks that can no longer complete by
// their deadline, and the urgent ones that have waited for Limits.MaxUrgentWait.
func (a *Allocator) Expire(now time.Time) []DroppedTask {
	var out []DroppedTask
	for _, q := range a.activeQueues {
		for c := range q.queueByClass {
			q.queueByClass[c].RemoveExpired(now, func(i *admission.Item[*Task]) {
				delete(a.waitingByAttempt, i.Value.Attempt)
				out = append(out, DroppedTask{Task: i.Value, Reason: KindDeadlineOver})
			})
		}
	}
	return out
}

// Release frees the capacity that is reserved for an attempt. It returns false
// when the attempt has no reservation.
func (a *Allocator) Release(attempt string) bool {
	r, ok := a.ledger.Release(attempt)
	if ok {
		a.shares.Refund(r.Plan, r.Size)
		a.endPreemption(attempt)
	}
	return ok
}
