// Package allocator decides which waiting task runs next and on which worker.
// It combines the ledger of a set of workers, the fair shares of the plans and
// their waiting queues. It does no I/O, holds no goroutine and takes the time
// as an argument; its owner serialises access.
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

// The kinds of Error. Each is a reason for "not run".
const (
	KindUnknownPlan  Kind = "unknown_plan"
	KindClass        Kind = "class_not_allowed"
	KindTooLarge     Kind = "fits_no_worker"
	KindPlanLimit    Kind = "above_plan_limit"
	KindQueueFull    Kind = "queue_full"
	KindHopeless     Kind = "deadline_hopeless"
	KindDuplicate    Kind = "duplicate_attempt"
	KindNoWorkers    Kind = "no_workers"
	KindShed         Kind = "shed"
	KindDeadlineOver Kind = "deadline_over"
	KindDraining     Kind = "draining"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Task is one attempt that waits for a worker or runs on one.
type Task struct {
	// Attempt is unique over all attempts.
	Attempt string
	Plan    string
	Class   plan.Class
	Size    resource.Vector
	// Spread groups tasks that should be on different racks; it may be empty.
	Spread string
	// Repeatable tasks may be taken off their worker and run again.
	Repeatable bool
	RunTime    time.Duration
	// Deadline is when the answer is of no more use; zero means never.
	Deadline time.Time
	// Resumed tasks ran before and were stopped; they wait without the bound on
	// urgent waiting, since "not run" would no longer be true.
	Resumed bool
	// Payload is opaque to the allocator.
	Payload any
}

// Decision says that a task starts on a worker. Room is already reserved.
type Decision struct {
	Task   *Task
	Worker string
	// Waited is how long the task was queued.
	Waited time.Duration
}

// Refusal says that a waiting task was dropped without having run.
type Refusal struct {
	Task   *Task
	Reason Kind
}

// Preemption asks to take an attempt off its worker for another plan.
type Preemption struct {
	Attempt string
	Worker  string
	// For is the plan that waits for the room.
	For string
}

// Limits bound the memory of an allocator.
type Limits struct {
	// Waiting bounds the waiting tasks of all plans together.
	Waiting int
	// UrgentWait bounds how long an urgent task waits; past it the task is
	// dropped as not run, since a late start is of little use. Zero means no
	// bound.
	UrgentWait time.Duration
}

// Allocator is the decision state of one owner.
type Allocator struct {
	ledger  *ledger.Ledger
	shares  *share.Accounts
	policy  placement.Policy
	limits  Limits
	plans   *plan.Index
	queues  map[string]*planQueues
	active  []*planQueues
	scratch []candidate
	waiting map[string]*admission.Item[*Task]
	// reclaiming counts the preemptions under way for each plan.
	reclaiming map[string]int
	preemptFor map[string]string
	drained    bool
}

type planQueues struct {
	name    string
	account *share.Account
	entry   plan.Entitlement
	classes [len(plan.Classes)]admission.Queue[*Task]
	// blocked[c] is set while the head of class c fits no worker; since[c] is
	// the ledger's gain counter at that time.
	blocked [len(plan.Classes)]*admission.Item[*Task]
	since   [len(plan.Classes)]uint64
	// limited[c] is set while the head of class c is held back by the plan's
	// limit.
	limited [len(plan.Classes)]bool
	active  bool
}

func (p *planQueues) len() int {
	n := 0
	for i := range p.classes {
		n += p.classes[i].Len()
	}
	return n
}

// New returns an allocator without workers or plans.
func New(policy placement.Policy, limits Limits) *Allocator {
	empty, _ := plan.NewIndex(plan.Lists{})
	return &Allocator{
		ledger: ledger.New(), shares: share.New(), policy: policy, limits: limits, plans: empty,
		queues: map[string]*planQueues{}, waiting: map[string]*admission.Item[*Task]{},
		reclaiming: map[string]int{}, preemptFor: map[string]string{},
	}
}

// Ledger gives read access to the ledger.
func (a *Allocator) Ledger() *ledger.Ledger { return a.ledger }

// Shares gives read access to the accounts.
func (a *Allocator) Shares() *share.Accounts { return a.shares }

// Waiting returns the number of waiting tasks.
func (a *Allocator) Waiting() int { return len(a.waiting) }

// SetPlans takes over a configuration.
func (a *Allocator) SetPlans(x *plan.Index) {
	a.plans = x
	a.shares.SetPlans(x)
	for name, q := range a.queues {
		q.account = a.shares.Account(name)
		q.entry, _ = x.Entitlement(name)
		q.blocked = [len(plan.Classes)]*admission.Item[*Task]{}
	}
}

// Running is an attempt that a worker reports at adoption.
type Running struct {
	Attempt    string
	Plan       string
	Class      plan.Class
	Size       resource.Vector
	Repeatable bool
}

// AddWorker adds a worker with what it already runs.
func (a *Allocator) AddWorker(name, rack string, capacity resource.Vector, running []Running) error {
	if err := a.ledger.AddWorker(name, rack, capacity); err != nil {
		return err
	}
	for _, r := range running {
		a.dropWaiting(r.Attempt)
		err := a.ledger.Restore(name, ledger.Reservation{
			Attempt: r.Attempt, Size: r.Size, Plan: r.Plan, Class: r.Class.Rank(), Preemptible: r.Repeatable,
		})
		invariant.Check(err == nil, "attempt_on_two_workers", "attempt %s, worker %s: %v", r.Attempt, name, err)
		if err == nil {
			a.shares.Charge(r.Plan, r.Size)
		}
	}
	a.shares.SetTotal(a.ledger.Total())
	return nil
}

// RemoveWorker removes a worker and returns the attempts that it held.
func (a *Allocator) RemoveWorker(name string) []string {
	held := a.ledger.RemoveWorker(name)
	attempts := make([]string, 0, len(held))
	for _, r := range held {
		a.shares.Refund(r.Plan, r.Size)
		a.endPreemption(r.Attempt)
		attempts = append(attempts, r.Attempt)
	}
	a.shares.SetTotal(a.ledger.Total())
	return attempts
}

// Unplaceable drops the waiting tasks that no worker could hold even when
// empty, as happens when the workers that they were admitted for are gone.
func (a *Allocator) Unplaceable() []Refusal {
	var out []Refusal
	for _, i := range a.waiting {
		if !a.ledger.FitsSome(i.Value.Size) {
			out = append(out, Refusal{Task: i.Value, Reason: KindNoWorkers})
		}
	}
	for _, r := range out {
		a.dropWaiting(r.Task.Attempt)
	}
	return out
}

// SetAccepting says whether a worker may get new work.
func (a *Allocator) SetAccepting(worker string, accepting bool) {
	a.ledger.SetAccepting(worker, accepting)
}

// Drain makes the allocator refuse new tasks and returns all that wait.
func (a *Allocator) Drain() []Refusal {
	a.drained = true
	var out []Refusal
	for _, i := range a.waiting {
		out = append(out, Refusal{Task: i.Value, Reason: KindDraining})
	}
	for _, r := range out {
		a.dropWaiting(r.Task.Attempt)
	}
	return out
}

// Enqueue admits a task or refuses it with the reason. When the queues are
// full as a whole, a less urgent task may be shed instead; it is returned.
func (a *Allocator) Enqueue(now time.Time, t *Task) (shed *Refusal, err error) {
	q, err := a.admit(now, t)
	if err != nil {
		return nil, err
	}
	if len(a.waiting) >= a.limits.Waiting {
		if shed = a.shed(t.Class.Rank()); shed == nil {
			return nil, fault.Newf("enqueue", KindQueueFull, "%d tasks wait", len(a.waiting))
		}
	}
	i := &admission.Item[*Task]{Value: t, Since: now}
	if !t.Deadline.IsZero() {
		i.Deadline = t.Deadline.Add(-t.RunTime)
	}
	if limit := now.Add(a.limits.UrgentWait); a.limits.UrgentWait > 0 && t.Class == plan.Urgent && !t.Resumed && (i.Deadline.IsZero() || limit.Before(i.Deadline)) {
		i.Deadline = limit
	}
	a.waiting[t.Attempt] = i
	q.classes[t.Class.Rank()].Push(i)
	if !q.active {
		q.active = true
		a.active = append(a.active, q)
	}
	return shed, nil
}

func (a *Allocator) admit(now time.Time, t *Task) (*planQueues, error) {
	refuse := func(k Kind, format string, args ...any) (*planQueues, error) {
		return nil, fault.Newf("enqueue", k, format, args...)
	}
	e, ok := a.plans.Entitlement(t.Plan)
	switch {
	case a.drained:
		return refuse(KindDraining, "this VM is leaving")
	case !ok:
		return refuse(KindUnknownPlan, "plan %q", t.Plan)
	case t.Class.Rank() < 0 || !e.Allows(t.Class):
		return refuse(KindClass, "plan %s, class %q", t.Plan, t.Class)
	case a.waiting[t.Attempt] != nil || a.ledger.Reservation(t.Attempt) != nil:
		return refuse(KindDuplicate, "attempt %s", t.Attempt)
	case a.ledger.Len() == 0:
		return refuse(KindNoWorkers, "no worker is adopted")
	case !a.ledger.FitsSome(t.Size):
		return refuse(KindTooLarge, "size %v, largest worker %v", t.Size, a.ledger.Largest())
	case !e.MaxTask.IsZero() && !t.Size.Fits(e.MaxTask):
		return refuse(KindPlanLimit, "size %v, plan limit %v", t.Size, e.MaxTask)
	case !t.Deadline.IsZero() && now.Add(t.RunTime).After(t.Deadline):
		return refuse(KindHopeless, "deadline %s", t.Deadline.Format(time.RFC3339))
	}
	q := a.queues[t.Plan]
	if q == nil {
		q = &planQueues{name: t.Plan, account: a.shares.Account(t.Plan), entry: e}
		a.queues[t.Plan] = q
	}
	if n := q.classes[t.Class.Rank()].Len(); n >= e.QueueLimit {
		return refuse(KindQueueFull, "plan %s has %d waiting", t.Plan, n)
	}
	return q, nil
}

// shed drops the newest waiting task of the least urgent class that is less
// urgent than rank, from the plan with the most of them.
func (a *Allocator) shed(rank int) *Refusal {
	for c := len(plan.Classes) - 1; c > rank; c-- {
		var longest *planQueues
		for _, q := range a.active {
			if q.classes[c].Len() > 0 && (longest == nil || q.classes[c].Len() > longest.classes[c].Len()) {
				longest = q
			}
		}
		if longest != nil {
			t := longest.classes[c].Tail().Value
			a.dropWaiting(t.Attempt)
			return &Refusal{Task: t, Reason: KindShed}
		}
	}
	return nil
}

func (a *Allocator) dropWaiting(attempt string) *Task {
	i := a.waiting[attempt]
	if i == nil {
		return nil
	}
	delete(a.waiting, attempt)
	a.queues[i.Value.Plan].classes[i.Value.Class.Rank()].Remove(i)
	return i.Value
}

// Cancel drops a waiting task in constant time. It returns nil when the task
// does not wait.
func (a *Allocator) Cancel(attempt string) *Task { return a.dropWaiting(attempt) }

// IsWaiting reports whether an attempt waits.
func (a *Allocator) IsWaiting(attempt string) bool { return a.waiting[attempt] != nil }

// Expire drops the waiting tasks whose deadline can not be met any more.
func (a *Allocator) Expire(now time.Time) []Refusal {
	var out []Refusal
	for _, q := range a.active {
		for c := range q.classes {
			q.classes[c].Expired(now, func(i *admission.Item[*Task]) {
				delete(a.waiting, i.Value.Attempt)
				out = append(out, Refusal{Task: i.Value, Reason: KindDeadlineOver})
			})
		}
	}
	return out
}

// Release gives the room of an ended attempt back. It reports whether the
// attempt held any.
func (a *Allocator) Release(attempt string) bool {
	r, ok := a.ledger.Release(attempt)
	if ok {
		a.shares.Refund(r.Plan, r.Size)
		a.endPreemption(attempt)
	}
	return ok
}
