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

// Target is an entry VM that owns workers.
type Target struct {
	Name   string
	Epoch  uint64
	Domain string
	// Free is the scarcest free fraction of its workers, 0 to 1.
	Free    float64
	Waiting int
	// Usable targets are alive and neither suspect nor leaving.
	Usable bool
	// Reachable targets are alive, also while they leave.
	Reachable bool
}

// Peers is the runner's access to the owners.
type Peers interface {
	// Targets returns every known entry VM that may own workers, the own one
	// included.
	Targets() []Target
	// Workers returns the names of the workers of a failure domain that the
	// platform lists.
	Workers(domain string) []string
	// Run, Await and Resolve return errors of package entry.
	Run(ctx context.Context, t Target, a entry.RunArgs) (entry.Status, error)
	Await(ctx context.Context, t Target, a entry.AwaitArgs) (entry.Status, error)
	Resolve(ctx context.Context, t Target, a entry.ResolveArgs) (entry.ResolveReply, error)
	Reserve(ctx context.Context, t Target, a entry.ReserveArgs) (entry.ReserveReply, error)
	Cancel(ctx context.Context, t Target, a entry.CancelArgs) error
}

// Router orders the targets to try for a task.
type Router interface {
	Route(targets []Target, class plan.Class, tried map[string]bool) (Target, bool)
}

// Timing of the runner.
type Timing struct {
	// Poll is how long one call waits for the end of an attempt.
	Poll time.Duration
	// Retry is the pause between tries to resolve an unknown outcome.
	Retry time.Duration
	// Margin covers drift between clocks.
	Margin time.Duration
}

// DefaultTiming suits entry VMs on the same site.
var DefaultTiming = Timing{Poll: 10 * time.Second, Retry: 200 * time.Millisecond, Margin: 500 * time.Millisecond}

// maxHops bounds how many owners are asked for one attempt.
const maxHops = 4

// Runner runs tasks on behalf of callers.
type Runner struct {
	peers  Peers
	router Router
	budget *retry.Budget
	timing Timing
	log    logr.Logger
}

// New returns a runner.
func New(p Peers, r Router, b *retry.Budget, t Timing, log logr.Logger) *Runner {
	return &Runner{peers: p, router: r, budget: b, timing: t, log: log}
}

// Work is one task of a request or job.
type Work struct {
	// ID is unique over all tasks; attempts append their number.
	ID       string
	Customer string
	Spec     Spec
	// Submitted is when the caller submitted the work.
	Submitted time.Time
	// Domain restricts the work to one failure domain, so that whoever takes it
	// over has to ask the owners of that domain only; empty means any.
	Domain string
	// FirstAttempt numbers the first attempt; 0 means 1.
	FirstAttempt int
	// Generation is that of the holder of a job; 0 for requests.
	Generation int
	// Permit reports whether the holder may start the work now; nil means
	// always. It is asked before every offer and while an attempt waits.
	Permit func() bool
	// Abandoned is closed when another holder has taken the work over. What
	// runs then goes on.
	Abandoned <-chan struct{}
	// resumed is set once an attempt ran and was stopped or failed.
	resumed bool
	// Known is an attempt that a former holder left running; it is followed
	// before a new one is made.
	Known entry.FoundAttempt
	// KnownAt is the owner of Known.
	KnownAt Target
}

func (w Work) isAbandoned() bool {
	select {
	case <-w.Abandoned:
		return true
	default:
		return false
	}
}

func (w Work) isPermitted() bool { return w.Permit == nil || w.Permit() }

// attemptID names the n-th attempt.
func (w Work) attemptID(n int) string {
	if w.Generation == 0 {
		return AttemptID(w.ID, n)
	}
	return fmt.Sprintf("%s/%d.%d", w.ID, w.Generation, n)
}

// maxAttempts bounds the attempts of one piece of work that fails.
const maxAttempts = 4

// AttemptID names the n-th attempt of a task.
func AttemptID(task string, n int) string { return fmt.Sprintf("%s/%d", task, n) }

// Run runs a task to its outcome. When ctx ends before, the work is cancelled.
// At most one attempt exists at a time: the next one starts only when the last
// one is known to have ended or never to have started.
func (r *Runner) Run(ctx context.Context, w Work) Outcome {
	r.budget.First()
	out := Outcome{ID: w.ID}
	failures := 0
	n := max(1, w.FirstAttempt)
	for {
		var status entry.Status
		if w.Known.Attempt != "" {
			status = r.follow(ctx, w, w.KnownAt, w.Known.Attempt, w.Known.Status, time.Now())
			w.Known = entry.FoundAttempt{}
		} else {
			status = r.attempt(ctx, w, &n)
		}
		if status.State != entry.NotRun {
			out.Attempts++
		}
		if r.isRetried(ctx, w, status, &failures) {
			w.resumed = true
			continue
		}
		fill(ctx, &out, status)
		if out.Attempts > 0 && out.State == NotRun {
			out.State, out.Reason = MayHaveRun, entry.ReasonInterrupted
		}
		out.NextAttempt = n
		return out
	}
}

// isRetried decides whether another attempt follows an ended one.
func (r *Runner) isRetried(ctx context.Context, w Work, s entry.Status, failures *int) bool {
	if ctx.Err() != nil || w.isAbandoned() || !w.Spec.Repeatable {
		return false
	}
	switch s.State {
	case entry.Stopped:
		return s.Reason == entry.ReasonPreempted || s.Reason != entry.ReasonCancelled && r.budget.Take()
	case entry.Failed:
		*failures++
		return *failures < maxAttempts && r.budget.Take()
	}
	return false
}

func fill(ctx context.Context, out *Outcome, s entry.Status) {
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

// attempt offers the work to owners in turn until one takes it, and follows it
// to its end. Each offer is an attempt with a number of its own.
func (r *Runner) attempt(ctx context.Context, w Work, n *int) entry.Status {
	tried := map[string]bool{}
	last := entry.Status{State: entry.NotRun, Reason: reasonNoOwner, RetryAfter: time.Second}
	for hop := 0; hop < maxHops && ctx.Err() == nil && !w.isAbandoned(); hop++ {
		if !w.isPermitted() {
			return entry.Status{State: entry.NotRun, Reason: reasonNotPermitted, RetryAfter: time.Second}
		}
		target, ok := r.router.Route(r.targets(w), w.Spec.Class, tried)
		if !ok {
			return last
		}
		tried[target.Name] = true
		attempt := w.attemptID(*n)
		*n++
		remaining, ok := w.remaining(time.Now())
		if !ok {
			return entry.Status{State: entry.NotRun, Reason: reasonDeadline}
		}
		status := r.offer(ctx, w, target, w.task(attempt, remaining))
		if status.State != entry.NotRun || isFinalRefusal(status.Reason) {
			return status
		}
		last = status
	}
	return last
}

// targets returns the owners that may run the work.
func (r *Runner) targets(w Work) []Target {
	all := r.peers.Targets()
	if w.Domain == "" {
		return all
	}
	return slices.DeleteFunc(all, func(t Target) bool { return t.Domain != w.Domain })
}

const (
	reasonNoOwner      = "no_owner"
	reasonDeadline     = string(allocator.KindDeadlineOver)
	reasonNotPermitted = "holder_not_confirmed"
	reasonAbandoned    = "abandoned"
)

// IsPermanent reports whether work that was not run for a reason would not run
// later either.
func IsPermanent(reason string) bool {
	switch reason {
	case entry.ReasonCancelled, string(allocator.KindUnknownPlan), string(allocator.KindClass),
		string(allocator.KindPlanLimit), string(allocator.KindHopeless), string(allocator.KindDeadlineOver),
		string(allocator.KindTooLarge):
		return true
	}
	return false
}

// isFinalRefusal reports whether no other owner would decide otherwise. Others
// may have larger workers; what was shed in one queue is not pushed into the
// next.
func isFinalRefusal(reason string) bool {
	if reason == string(allocator.KindTooLarge) {
		return false
	}
	return reason == string(allocator.KindShed) || IsPermanent(reason)
}

func (w Work) remaining(now time.Time) (time.Duration, bool) {
	if w.Spec.DeadlineMilliseconds == 0 {
		return 0, true
	}
	left := w.Submitted.Add(time.Duration(w.Spec.DeadlineMilliseconds) * time.Millisecond).Sub(now)
	return left, left > 0
}

func (w Work) task(attempt string, remaining time.Duration) entry.Task {
	return entry.Task{
		Attempt: attempt, Customer: w.Customer, Plan: w.Spec.Plan, Class: w.Spec.Class, Size: w.Spec.Size,
		Name: w.ID, Generation: w.Generation, Resumed: w.resumed,
		Kind: w.Spec.Kind, Spread: w.Spec.Spread, Repeatable: w.Spec.Repeatable,
		RunTime:   time.Duration(w.Spec.RunTimeMilliseconds) * time.Millisecond,
		Remaining: remaining, Payload: w.Spec.Payload,
	}
}

// offer gives an attempt to one owner and follows it to its end.
func (r *Runner) offer(ctx context.Context, w Work, t Target, task entry.Task) entry.Status {
	asked := time.Now()
	callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timing.Poll+entry.CallTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { r.cancel(t, task.Attempt) })
	defer stop()
	status, err := r.peers.Run(callContext, t, entry.RunArgs{Epoch: t.Epoch, Task: task, Wait: r.timing.Poll})
	switch fault.KindOr(err, entry.KindUnknown) {
	case "":
	case entry.KindNotSent, entry.KindEpoch:
		return entry.Status{State: entry.NotRun, Reason: string(fault.KindOf[entry.Kind](err)), RetryAfter: time.Second}
	default:
		status, asked = entry.Status{State: entry.Moved}, time.Now()
	}
	return r.follow(ctx, w, t, task.Attempt, status, asked)
}

func (r *Runner) cancel(t Target, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
	defer cancel()
	if err := r.peers.Cancel(ctx, t, entry.CancelArgs{Attempt: attempt}); err != nil {
		r.log.Info("cancel_failed", "attempt", attempt, "vm", t.Name, "reason", err.Error())
	}
}

// follow asks the owner of an attempt until it has ended. When the owner is
// gone or has lost the worker, the other owners are asked.
func (r *Runner) follow(ctx context.Context, w Work, t Target, attempt string, status entry.Status, asked time.Time) entry.Status {
	for {
		switch {
		case w.isAbandoned():
			return entry.Status{State: entry.Moved, Reason: reasonAbandoned}
		case status.State == entry.Moved:
			t, status = r.resolve(ctx, t, attempt, asked)
			asked = time.Now()
			continue
		case status.State.Ended():
			return status
		}
		if ctx.Err() != nil || status.State == entry.Waiting && !w.isPermitted() {
			r.cancel(t, attempt)
		}
		sent := time.Now()
		next, err := r.await(t, attempt)
		if err != nil {
			next, sent = entry.Status{State: entry.Moved}, time.Now()
		}
		asked = sent
		status = next
	}
}

func (r *Runner) await(t Target, attempt string) (entry.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timing.Poll+entry.CallTimeout)
	defer cancel()
	return r.peers.Await(ctx, t, entry.AwaitArgs{Epoch: t.Epoch, Attempt: attempt, Wait: r.timing.Poll})
}
