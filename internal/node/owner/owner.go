// Package owner runs attempts on the workers that this entry VM has adopted. An
// attempt is one try to run a task.
//
// The allocator decides which attempt starts on which worker. This package makes
// the calls to the workers: it adopts workers with a fencing token, renews their
// leases, starts, stops and preempts attempts, and handles the loss of a worker.
//
// An owner gets its attempts from holders. The holder of a request or job is the
// entry VM that follows its attempts to their end on behalf of the caller. A
// holder may use owners on other entry VMs as well as its own.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/decide/ejection"
	"github.com/almondpost/almondpost/internal/decide/placement"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/peer/worker"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// Timing holds the intervals and time limits of an owner.
type Timing struct {
	// Lease is how long a worker keeps running attempts unless its lease is
	// renewed.
	Lease time.Duration
	// LeaseMargin is the allowance for clock drift between the owner and a
	// worker.
	LeaseMargin time.Duration
	// SyncWait is how long a worker may delay its reply to a sync while it has no
	// new records. It is well below Lease, since each sync renews the lease.
	SyncWait time.Duration
	// RetryPause is the pause before a failed call to a worker is repeated.
	RetryPause time.Duration
	// FencedRetryPause is how long the owner waits, after another owner has adopted
	// its worker, before it tries to adopt the worker again.
	FencedRetryPause time.Duration
	// TickInterval is the interval of the periodic work: expiry, starts and
	// preemption.
	TickInterval time.Duration
	// EndedAttemptRetention is how long an attempt is kept after its end.
	EndedAttemptRetention time.Duration
	// MaxUrgentWait is the longest time that an urgent attempt waits to be started.
	// An attempt that has waited longer is dropped as not run. The limit does not
	// apply to an attempt whose task has run before and was
	// stopped or failed.
	MaxUrgentWait time.Duration
}

// DefaultTiming is for workers on the same site as the entry VM.
var DefaultTiming = Timing{
	Lease:                 20 * time.Second,
	LeaseMargin:           time.Second,
	SyncWait:              8 * time.Second,
	RetryPause:            250 * time.Millisecond,
	FencedRetryPause:      2 * time.Second,
	TickInterval:          100 * time.Millisecond,
	EndedAttemptRetention: 2 * time.Minute,
	MaxUrgentWait:         1800 * time.Millisecond,
}

// Limits bounds the memory that an owner uses for attempts.
type Limits struct {
	// MaxWaiting is the maximum number of waiting attempts.
	MaxWaiting int
	// PayloadBytes is the maximum total size of the payloads of attempts that
	// have not ended.
	PayloadBytes int64
}

// Dial returns a client for a worker VM.
type Dial func(v vmlist.VM) worker.Peer

// Observer receives those events of an owner that are counted in metrics.
type Observer interface {
	// Started is called when an attempt is about to be started; waited is how
	// long it was queued.
	Started(t entry.Task, waited time.Duration)
}

// Owner manages the workers that one entry VM has adopted and the attempts that
// wait for them or run on them. Its methods are safe for concurrent use.
type Owner struct {
	name               string
	timing             Timing
	dialWorker         Dial
	observer           Observer
	log                logr.Logger
	ctx                context.Context
	wake               chan struct{}
	firstWorkerAdopted chan struct{}

	mutex sync.Mutex
	// epoch is increased after the process was paused, so that calls sent before
	// the pause are refused.
	epoch uint64
	// lastTick is when the loop last ran its periodic work.
	lastTick time.Time
	alloc    *allocator.Allocator
	// attempts maps IDs to attempts: those that were admitted or fenced here and
	// those that run on adopted workers. Each is kept for
	// Timing.EndedAttemptRetention after its end.
	attempts map[string]*attempt
	// sessions holds the session of each worker by its name.
	sessions map[string]*session
	// payloadBytes is the total size of the payloads in attempts. Run refuses
	// attempts that would raise it above maxPayloadBytes; Reserve does not check
	// the limit.
	payloadBytes, maxPayloadBytes int64
	ejectionTracker               *ejection.Tracker
	usageMeter                    *usage.Meter
	// fencedTasks maps names to tasks of jobs that another holder has taken over.
	fencedTasks    map[string]fencedTask
	gangCollecting collectingGang
	draining       bool
}

// fencedTask is a task of a job that another holder has taken over.
type fencedTask struct {
	// generation is the generation of the new holder. Attempts with a lower
	// generation are not started.
	generation int
	fencedAt   time.Time
}

// attempt is the state of one attempt at this owner.
type attempt struct {
	task   entry.Task
	status entry.Status
	// changed is closed and replaced whenever status changes.
	changed chan struct{}
	// endedAt is zero until the attempt has ended.
	endedAt time.Time
	// cancelled is true once Cancel was called for the attempt.
	cancelled bool
	// lastHolderCall is when the holder last called Run or Await for the attempt,
	// or when capacity was reserved for it. A waiting attempt starts only within
	// entry.HolderLease of this time.
	lastHolderCall time.Time
	// reservedUntil is when the capacity reserved for a task of a gang is given
	// back unless the reservation is renewed. It is zero for other attempts and
	// after the start.
	reservedUntil time.Time
}

// New returns an owner without workers. Its goroutines run until ctx ends.
// incarnation is the first epoch of the owner.
func New(ctx context.Context, name string, incarnation uint64, t Timing, limits Limits, dial Dial, o Observer, log logr.Logger) *Owner {
	w := &Owner{
		name: name, epoch: incarnation, lastTick: time.Now(), timing: t, dialWorker: dial, observer: o, log: log, ctx: ctx,
		wake:               make(chan struct{}, 1),
		firstWorkerAdopted: make(chan struct{}, 1),
		alloc:              allocator.New(placement.Balanced{}, allocator.Limits{Waiting: limits.MaxWaiting, MaxUrgentWait: t.MaxUrgentWait}),
		attempts:           map[string]*attempt{}, sessions: map[string]*session{}, maxPayloadBytes: limits.PayloadBytes, ejectionTracker: ejection.New(), usageMeter: usage.New(name, time.Now()), fencedTasks: map[string]fencedTask{},
	}
	go w.runMainLoop()
	return w
}

// SetPlans replaces the plans by those of a new configuration.
func (o *Owner) SetPlans(x *plan.Index) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.alloc.SetPlans(x)
	o.wakeLoop()
}

// Advertise returns the load that this owner advertises to its peers.
func (o *Owner) Advertise() allocator.Advertisement {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.alloc.Advertise()
}

// FirstWorkerAdopted returns a channel that receives a value when the owner adopts its first
// worker, so that the entry VM can advertise it to its peers at once.
func (o *Owner) FirstWorkerAdopted() <-chan struct{} { return o.firstWorkerAdopted }

// wakeLoop makes the loop start queued attempts without waiting for the next tick.
func (o *Owner) wakeLoop() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// runMainLoop starts queued attempts and does the periodic work until the owner is stopped.
func (o *Owner) runMainLoop() {
	tick := time.NewTicker(o.timing.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
			o.startQueuedAttempts()
		case <-tick.C:
			o.removeExpiredAttempts()
			o.startQueuedAttempts()
			o.reclaimCapacity()
		}
	}
}

// startQueuedAttempts starts every waiting attempt for which the allocator finds a worker,
// and drops those whose holder has stopped calling.
func (o *Owner) startQueuedAttempts() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.reserveForCollectingGang(time.Now())
	for {
		now := time.Now()
		o.advanceMeter(now)
		d, ok := o.alloc.Next(now)
		if !ok {
			return
		}
		a, s := o.attempts[d.Task.Attempt], o.sessions[d.Worker]
		if a == nil || s == nil {
			o.alloc.Release(d.Task.Attempt)
			continue
		}
		if time.Since(a.lastHolderCall) > entry.HolderLease {
			o.endAttempt(d.Task.Attempt, entry.Status{State: entry.NotRun, Reason: reasonHolderGone})
			continue
		}
		a.status.Worker, a.status.Waited = d.Worker, d.Waited
		o.observer.Started(a.task, d.Waited)
		o.usageMeter.CountStart(a.task.Customer, a.task.Plan, string(a.task.Class), d.Waited)
		o.ejectionTracker.RecordStart(d.Worker)
		o.updateWorkerAccepting(s)
		go o.startAttemptOnWorker(s.peer, newStartRequest(s.token, a), a)
	}
}

// setStatus changes the status of an attempt that has not ended and wakes the
// calls that wait for it. When the attempt ends, its payload is released. The
// caller holds the lock.
func (o *Owner) setStatus(a *attempt, s entry.Status) {
	if a.status.State.Ended() {
		return
	}
	s.Worker, s.Waited = a.status.Worker, a.status.Waited
	a.status = s
	if s.State.Ended() {
		a.endedAt = time.Now()
		o.payloadBytes -= int64(len(a.task.Payload))
		a.task.Payload = nil
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// endAttempt releases the capacity of an attempt and sets its final status. The
// caller holds the lock.
func (o *Owner) endAttempt(id string, s entry.Status) {
	o.advanceMeter(time.Now())
	if o.alloc.Release(id) {
		o.wakeLoop()
	}
	a := o.attempts[id]
	if a == nil || a.status.State.Ended() {
		return
	}
	if a.cancelled && s.State == entry.Stopped {
		s.Reason = entry.ReasonCancelled
	}
	o.recordAttemptOutcome(a, s)
	o.setStatus(a, s)
}

// recordAttemptOutcome passes the success or failure of an attempt to the ejection
// tracker, which takes failing workers out of use.
func (o *Owner) recordAttemptOutcome(a *attempt, s entry.Status) {
	if s.State != entry.Finished && s.State != entry.Failed {
		return
	}
	name := a.status.Worker
	before := o.ejectionTracker.StateOf(name)
	o.ejectionTracker.RecordOutcome(time.Now(), name, a.task.Kind, s.State == entry.Finished)
	if after := o.ejectionTracker.StateOf(name); after != before {
		o.log.Info("worker_ejection", "worker", name, "ejected", after == ejection.Open)
	}
	if session := o.sessions[name]; session != nil {
		o.updateWorkerAccepting(session)
	}
}

// startAttemptOnWorker starts an attempt on its worker. It repeats the call until the
// outcome is known; starts are idempotent per attempt. The request carries the
// fencing token that this owner had when the allocator chose the worker. If this
// owner adopts the worker again, its token changes, so the worker refuses start
// calls from before, which this owner may have given up.
func (o *Owner) startAttemptOnWorker(peer worker.Peer, request worker.StartRequest, a *attempt) {
	id := request.Attempt.ID
	for isFirstCall := true; ; isFirstCall = false {
		record, err := peer.Start(o.ctx, request)
		o.mutex.Lock()
		if o.attempts[id] != a || a.status.State.Ended() {
			// The worker was lost during the call. If it was adopted again, the
			// attempt now has the status that the worker reported then, and the
			// result of this start is obsolete.
			o.mutex.Unlock()
			return
		}
		switch fault.KindOr(err, worker.KindUnreachable) {
		case "":
			o.handleStarted(a, record)
			o.mutex.Unlock()
			return
		case worker.KindFenced, worker.KindRefused:
			o.handleStartRefused(a, err, isFirstCall)
			o.mutex.Unlock()
			return
		}
		o.markWorkerUnresponsive(a.status.Worker)
		o.mutex.Unlock()
		if !o.sleep(o.timing.RetryPause) {
			return
		}
	}
}

// markWorkerUnresponsive stops the placement of attempts on a worker that did not
// answer a call, until it answers a sync. The sync in flight is repeated at once.
func (o *Owner) markWorkerUnresponsive(worker string) {
	s := o.sessions[worker]
	if s == nil || s.unresponsive {
		return
	}
	s.unresponsive, s.skipNextSyncWait = true, true
	o.updateWorkerAccepting(s)
	if s.interruptSync != nil {
		s.interruptSync()
	}
}

// handleStarted applies the record that a worker returned for a start. An attempt
// that was cancelled during the start is stopped.
func (o *Owner) handleStarted(a *attempt, r worker.Record) {
	if r.Phase.Ended() {
		o.endAttempt(a.task.Attempt, statusFromRecord(r))
		return
	}
	o.setStatus(a, entry.Status{State: entry.Running})
	if a.cancelled {
		go o.stopAttemptOnWorker(a.task.Attempt, worker.Stop)
	}
}

// handleStartRefused ends an attempt whose start was refused. If the owner is
// fenced and the reply to an earlier start call was lost, that call may have
// started the attempt. The state then becomes Moved, so that the holder asks
// the new owner.
func (o *Owner) handleStartRefused(a *attempt, err error, isFirstCall bool) {
	o.log.Info("start_refused", "attempt", a.task.Attempt, "worker", a.status.Worker, "reason", err.Error())
	if fault.KindOf[worker.Kind](err) == worker.KindFenced && !isFirstCall {
		o.endAttempt(a.task.Attempt, entry.Status{State: entry.Moved, Reason: entry.ReasonFenced})
		return
	}
	o.endAttempt(a.task.Attempt, entry.Status{State: entry.NotRun, Reason: string(worker.KindRefused)})
}

// reasonHolderGone is the reason of attempts that did not start because their
// holder stopped calling.
const reasonHolderGone = "holder_gone"

// sleep waits for d. It returns false when the owner stops before that.
func (o *Owner) sleep(d time.Duration) bool {
	select {
	case <-o.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// endDroppedAttempt ends an attempt that the allocator dropped from its queue.
func (o *Owner) endDroppedAttempt(r allocator.DroppedTask) {
	if a := o.attempts[r.Task.Attempt]; a != nil {
		o.setStatus(a, entry.Status{State: entry.NotRun, Reason: string(r.Reason)})
	}
}

// statusFromRecord converts the record of a worker to the status for the holder.
func statusFromRecord(r worker.Record) entry.Status {
	switch r.Phase {
	case worker.Running:
		return entry.Status{State: entry.Running}
	case worker.Finished:
		return entry.Status{State: entry.Finished, Answer: r.Answer}
	case worker.Failed:
		return entry.Status{State: entry.Failed, Reason: r.Reason}
	case worker.Fenced:
		return entry.Status{State: entry.NotRun, Reason: r.Reason}
	}
	reason := r.Reason
	if reason == string(worker.Checkpoint) {
		reason = entry.ReasonPreempted
	}
	return entry.Status{State: entry.Stopped, Reason: reason}
}

// newStartRequest returns the call that starts an attempt. The caller holds the
// lock of the owner, since the payload is released when the attempt ends.
func newStartRequest(token worker.Token, a *attempt) worker.StartRequest {
	t := a.task
	return worker.StartRequest{Token: token, Attempt: worker.Attempt{
		ID: t.Attempt, Customer: t.Customer, Plan: t.Plan, Class: string(t.Class), Size: t.Size,
		Kind: t.Kind, Repeatable: t.Repeatable, Payload: t.Payload, RunTime: t.RunTime,
	}}
}
