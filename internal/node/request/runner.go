package request

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/decide/retry"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// Target is an entry VM that owns workers, with the state that it last
// advertised.
type Target struct {
	Name   string
	Epoch  uint64
	Domain string
	// FreeFraction is the free fraction, from 0 to 1, of the scarcest resource,
	// summed over all its workers.
	FreeFraction float64
	// Waiting is the number of attempts in its queues.
	Waiting int
	// Usable is true for a target that is alive, not suspected of a failure and
	// not leaving.
	Usable bool
	// Reachable is true for a target that is alive, even if it is leaving.
	Reachable bool
}

// Peers gives a Runner access to the owners, including that on its own entry
// VM.
type Peers interface {
	// Targets returns every known entry VM that may own workers, including the
	// local one.
	Targets() []Target
	// Workers returns the names of all workers of a failure domain in the VM
	// list of the platform.
	Workers(domain string) []string
	// Run, Await and Resolve return errors whose kind is an entry.Kind.
	Run(ctx context.Context, t Target, a entry.RunArgs) (entry.Status, error)
	Await(ctx context.Context, t Target, a entry.AwaitArgs) (entry.Status, error)
	Resolve(ctx context.Context, t Target, a entry.ResolveArgs) (entry.ResolveReply, error)
	Reserve(ctx context.Context, t Target, a entry.ReserveArgs) (entry.ReserveReply, error)
	Cancel(ctx context.Context, t Target, a entry.CancelArgs) error
}

// Router chooses the owner that an attempt is offered to.
type Router interface {
	// Route returns the target to try next. It returns false when every usable
	// target has been tried; tried contains the names of those.
	Route(targets []Target, class plan.Class, tried map[string]bool) (Target, bool)
}

// Timing holds the intervals and margins of a Runner.
type Timing struct {
	// PollWait is how long one call to an owner waits for the end of an
	// attempt.
	PollWait time.Duration
	// RetryPause is the pause between two rounds of calls that resolve an
	// unknown outcome.
	RetryPause time.Duration
	// ClockMargin allows for clock drift between entry VMs.
	ClockMargin time.Duration
}

// DefaultTiming is for entry VMs on the same site.
var DefaultTiming = Timing{PollWait: 10 * time.Second, RetryPause: 200 * time.Millisecond, ClockMargin: 500 * time.Millisecond}

// maxOffersPerTask is the number of owners that may refuse a task before it ends
// as not run.
const maxOffersPerTask = 4

// Runner runs tasks on behalf of callers.
type Runner struct {
	peers       Peers
	router      Router
	retryBudget *retry.Budget
	timing      Timing
	log         logr.Logger
}

// New returns a Runner. The budget limits retries to a fraction of the tasks.
func New(p Peers, r Router, b *retry.Budget, t Timing, log logr.Logger) *Runner {
	return &Runner{peers: p, router: r, retryBudget: b, timing: t, log: log}
}

// Work is one task of a request or job, with the information that its holder
// needs to run it.
type Work struct {
	// ID is unique over all tasks. The ID of an attempt is this ID and a
	// number.
	ID       string
	Customer string
	Spec     Spec
	// Submitted is when the caller submitted the work.
	Submitted time.Time
	// Domain restricts the task to the owners of one failure domain, so that a
	// later holder has to ask only those owners about its attempts; empty means
	// any domain.
	Domain string
	// FirstAttemptNumber is the number of the first attempt; 0 means 1.
	FirstAttemptNumber int
	// Generation is the generation of the job's holder; it is 0 for requests.
	Generation int
	// Permit reports whether the holder may still start the task; nil means
	// always. It is called before the task is offered to an owner and while an
	// attempt waits.
	Permit func() bool
	// Abandoned is closed when another holder has taken the task over. This does
	// not stop a running attempt.
	Abandoned <-chan struct{}
	// hasRunBefore is true once an attempt ran and was stopped or failed.
	hasRunBefore bool
	// ExistingAttempt is an attempt that was made before Run is called: by a
	// former holder or by StartReservedTask. Run waits for its end before it makes a new
	// attempt.
	ExistingAttempt entry.FoundAttempt
	// ExistingAttemptOwner is the owner of ExistingAttempt.
	ExistingAttemptOwner Target
}

func (w Work) isAbandoned() bool {
	select {
	case <-w.Abandoned:
		return true
	default:
		return false
	}
}

func (w Work) isStartPermitted() bool { return w.Permit == nil || w.Permit() }

// attemptID returns the ID of attempt number n. It contains the generation of
// the holder, if there is one, so that attempts of different holders have
// different IDs.
func (w Work) attemptID(n int) string {
	if w.Generation == 0 {
		return AttemptID(w.ID, n)
	}
	return fmt.Sprintf("%s/%d.%d", w.ID, w.Generation, n)
}

// maxFailedAttempts is the number of failed attempts after which a task is not
// retried.
const maxFailedAttempts = 4

// AttemptID returns the ID of attempt number n of a task of a request.
func AttemptID(task string, n int) string { return fmt.Sprintf("%s/%d", task, n) }

// Run runs a task and returns its outcome. If ctx ends first, the task is
// cancelled. At most one attempt exists at a time: the next one is made only
// when the last one has ended or can certainly not start any more.
func (r *Runner) Run(ctx context.Context, w Work) Outcome {
	r.retryBudget.RecordFirstAttempt()
	out := Outcome{ID: w.ID}
	failures := 0
	nextAttempt := max(1, w.FirstAttemptNumber)
	for {
		var status entry.Status
		if w.ExistingAttempt.Attempt != "" {
			status = r.followAttempt(ctx, w, w.ExistingAttemptOwner, w.ExistingAttempt.Attempt, w.ExistingAttempt.Status, time.Now())
			w.ExistingAttempt = entry.FoundAttempt{}
		} else {
			status = r.findOwner(ctx, w, &nextAttempt)
		}
		if status.State != entry.NotRun {
			out.Attempts++
		}
		if r.shouldRetry(ctx, w, status, &failures) {
			w.hasRunBefore = true
			continue
		}
		setOutcomeFromStatus(ctx, &out, status)
		if out.Attempts > 0 && out.State == NotRun {
			out.State, out.Reason = MayHaveRun, entry.ReasonInterrupted
		}
		out.NextAttempt = nextAttempt
		return out
	}
}

// shouldRetry reports whether another attempt follows the one that ended with
// status s. It counts a failed attempt in failures. Retries after a preemption
// do not use the retry budget.
func (r *Runner) shouldRetry(ctx context.Context, w Work, s entry.Status, failures *int) bool {
	if ctx.Err() != nil || w.isAbandoned() || !w.Spec.Repeatable {
		return false
	}
	switch s.State {
	case entry.Stopped:
		return s.Reason == entry.ReasonPreempted || s.Reason != entry.ReasonCancelled && r.retryBudget.TakeRetry()
	case entry.Failed:
		*failures++
		return *failures < maxFailedAttempts && r.retryBudget.TakeRetry()
	}
	return false
}

// setOutcomeFromStatus sets the state and the other results of an outcome from the
// status of the last attempt.
func setOutcomeFromStatus(ctx context.Context, out *Outcome, s entry.Status) {
	out.Reason = s.Reason
	out.RetryAfterMilliseconds = s.RetryAfter.Milliseconds()
	switch s.State {
	case entry.Finished:
		out.State = Done
		out.SetAnswer(s.Answer)
	case entry.Failed:
		out.State = Failed
	case entry.NotRun:
		out.State = NotRun
		if ctx.Err() != nil || s.Reason == entry.ReasonCancelled {
			out.State = Cancelled
		}
	case entry.Stopped:
		out.State = MayHaveRun
		if s.Reason == entry.ReasonCancelled {
			out.State = Cancelled
		}
	default:
		out.State = MayHaveRun
	}
	out.WaitedMilliseconds = s.Waited.Milliseconds()
}

const (
	// maxHandOverWait limits how long a task is offered again while workers move from
	// a stopping entry VM to others.
	maxHandOverWait = 800 * time.Millisecond
	// handOverRetryPause is the pause between two rounds of offers in this time.
	handOverRetryPause = 50 * time.Millisecond
)

// findOwner calls tryOwners. If all owners refuse the task because they have no workers
// or are draining, their workers may be on the way to other owners, so findOwner calls
// it again for up to maxHandOverWait.
func (r *Runner) findOwner(ctx context.Context, w Work, nextAttempt *int) entry.Status {
	for giveUpAt := time.Now().Add(maxHandOverWait); ; {
		status := r.tryOwners(ctx, w, nextAttempt)
		if !isHandOverRefusal(status) || !time.Now().Before(giveUpAt) || w.isAbandoned() {
			return status
		}
		select {
		case <-ctx.Done():
			return status
		case <-time.After(handOverRetryPause):
		}
	}
}

// isHandOverRefusal reports whether an attempt was refused for a reason that can end
// as soon as another owner has adopted the workers of a stopping one.
func isHandOverRefusal(s entry.Status) bool {
	return s.State == entry.NotRun && (s.Reason == string(allocator.KindDraining) || s.Reason == string(allocator.KindNoWorkers))
}

// tryOwners offers the task to one owner after another until one accepts it, and
// follows the attempt to its end. Each offer is an attempt of its own, numbered
// by nextAttempt. If no owner accepts the task, tryOwners returns the status of
// the last refusal.
func (r *Runner) tryOwners(ctx context.Context, w Work, nextAttempt *int) entry.Status {
	tried := map[string]bool{}
	lastRefusal := entry.Status{State: entry.NotRun, Reason: reasonNoOwner, RetryAfter: time.Second}
	for offers := 0; offers < maxOffersPerTask && ctx.Err() == nil && !w.isAbandoned(); offers++ {
		if !w.isStartPermitted() {
			return entry.Status{State: entry.NotRun, Reason: reasonNotPermitted, RetryAfter: time.Second}
		}
		target, ok := r.router.Route(r.eligibleTargets(w), w.Spec.Class, tried)
		if !ok {
			return lastRefusal
		}
		tried[target.Name] = true
		attempt := w.attemptID(*nextAttempt)
		*nextAttempt++
		remaining, ok := w.remainingTime(time.Now())
		if !ok {
			return entry.Status{State: entry.NotRun, Reason: reasonDeadlinePassed}
		}
		status := r.offerAttempt(ctx, w, target, w.newTask(attempt, remaining))
		if status.State != entry.NotRun || isFinalRefusal(status.Reason) {
			return status
		}
		lastRefusal = status
	}
	return lastRefusal
}

// eligibleTargets returns the owners that the task may be offered to.
func (r *Runner) eligibleTargets(w Work) []Target {
	all := r.peers.Targets()
	if w.Domain == "" {
		return all
	}
	return slices.DeleteFunc(all, func(t Target) bool { return t.Domain != w.Domain })
}

// Reasons that a Runner gives, besides those of the owners.
const (
	// reasonNoOwner means that there was no usable owner to offer the task to.
	reasonNoOwner = "no_owner"
	// reasonDeadlinePassed means that the deadline passed before the task was offered.
	reasonDeadlinePassed = string(allocator.KindDeadlineOver)
	// reasonNotPermitted means that Permit did not let the holder start the task.
	reasonNotPermitted = "holder_not_confirmed"
	// reasonAbandoned means that another holder has taken the task over.
	reasonAbandoned = "abandoned"
)

// IsPermanentRefusal reports whether a task that was refused for the given reason
// would be refused again later.
func IsPermanentRefusal(reason string) bool {
	switch reason {
	case entry.ReasonCancelled, string(allocator.KindUnknownPlan), string(allocator.KindClassNotAllowed),
		string(allocator.KindPlanLimit), string(allocator.KindDeadlineUnreachable), string(allocator.KindDeadlineOver),
		string(allocator.KindTooLarge):
		return true
	}
	return false
}

// isFinalRefusal reports whether a refusal is final, so that the task is not
// offered to other owners. A task that is too large for the workers of one owner
// may fit those of another. A task that was shed from one queue is not put into
// the next.
func isFinalRefusal(reason string) bool {
	if reason == string(allocator.KindTooLarge) {
		return false
	}
	return reason == string(allocator.KindShed) || IsPermanentRefusal(reason)
}

// remainingTime returns the time until the deadline, or zero when there is no
// deadline. It returns false when the deadline has passed.
func (w Work) remainingTime(now time.Time) (time.Duration, bool) {
	if w.Spec.DeadlineMilliseconds == 0 {
		return 0, true
	}
	remaining := w.Submitted.Add(time.Duration(w.Spec.DeadlineMilliseconds) * time.Millisecond).Sub(now)
	return remaining, remaining > 0
}

// newTask returns the task as it is sent to an owner, with the ID of the
// attempt and the time to the deadline.
func (w Work) newTask(attempt string, remaining time.Duration) entry.Task {
	return entry.Task{
		Attempt: attempt, Customer: w.Customer, Plan: w.Spec.Plan, Class: w.Spec.Class, Size: w.Spec.Size,
		Name: w.ID, Generation: w.Generation, Resumed: w.hasRunBefore,
		Kind: w.Spec.Kind, Spread: w.Spec.Spread, Repeatable: w.Spec.Repeatable,
		RunTime:   time.Duration(w.Spec.RunTimeMilliseconds) * time.Millisecond,
		Remaining: remaining, Payload: w.Spec.Payload,
	}
}

// offerAttempt sends an attempt to one owner and follows it to its end. If the
// owner did not receive the call or refused its epoch, the attempt is not run.
func (r *Runner) offerAttempt(ctx context.Context, w Work, t Target, task entry.Task) entry.Status {
	lastCall := time.Now()
	callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timing.PollWait+entry.CallTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { r.cancelAttempt(t, task.Attempt) })
	defer stop()
	status, err := r.peers.Run(callContext, t, entry.RunArgs{Epoch: t.Epoch, Task: task, Wait: r.timing.PollWait})
	switch fault.KindOr(err, entry.KindUnknown) {
	case "":
	case entry.KindNotSent, entry.KindEpochMismatch:
		return entry.Status{State: entry.NotRun, Reason: string(fault.KindOf[entry.Kind](err)), RetryAfter: time.Second}
	default:
		status, lastCall = entry.Status{State: entry.Moved}, time.Now()
	}
	return r.followAttempt(ctx, w, t, task.Attempt, status, lastCall)
}

func (r *Runner) cancelAttempt(t Target, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
	defer cancel()
	if err := r.peers.Cancel(ctx, t, entry.CancelArgs{Attempt: attempt}); err != nil {
		r.log.Info("cancel_failed", "attempt", attempt, "vm", t.Name, "reason", err.Error())
	}
}

// followAttempt polls the owner of an attempt until the attempt has ended, and
// returns the final status. If the owner does not answer or has lost the worker,
// resolveAttempt finds the outcome. lastCall is when the last call about the
// attempt was sent to its owner or, if that call failed, when it failed.
func (r *Runner) followAttempt(ctx context.Context, w Work, t Target, attempt string, status entry.Status, lastCall time.Time) entry.Status {
	for {
		switch {
		case w.isAbandoned():
			return entry.Status{State: entry.Moved, Reason: reasonAbandoned}
		case status.State == entry.Moved:
			t, status = r.resolveAttempt(ctx, t, attempt, lastCall)
			lastCall = time.Now()
			continue
		case status.State.Ended():
			return status
		}
		if ctx.Err() != nil || status.State == entry.Waiting && !w.isStartPermitted() {
			r.cancelAttempt(t, attempt)
		}
		sent := time.Now()
		next, err := r.awaitAttempt(t, attempt)
		if err != nil {
			next, sent = entry.Status{State: entry.Moved}, time.Now()
		}
		lastCall = sent
		status = next
	}
}

func (r *Runner) awaitAttempt(t Target, attempt string) (entry.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timing.PollWait+entry.CallTimeout)
	defer cancel()
	return r.peers.Await(ctx, t, entry.AwaitArgs{Epoch: t.Epoch, Attempt: attempt, Wait: r.timing.PollWait})
}
