// Package owner allocates tasks on the workers that this entry VM has adopted.
// It drives the allocator with real workers: adoption with a fencing token,
// starts, records of ended attempts, preemption and loss of a worker.
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

// Timing is how an owner deals with its workers.
type Timing struct {
	// Lease is how long tasks go on without a call of the owner.
	Lease time.Duration
	// LeaseMargin covers drift between clocks.
	LeaseMargin time.Duration
	// SyncWait is how long one sync waits for news; it is well below Lease.
	SyncWait time.Duration
	// Retry is the pause after a failed call.
	Retry time.Duration
	// Contested is the pause after another owner has fenced this one.
	Contested time.Duration
	// Tick is the interval of expiry and reclaim.
	Tick time.Duration
	// Retention is how long ended attempts are remembered.
	Retention time.Duration
	// UrgentWait bounds how long an urgent attempt waits for its start.
	UrgentWait time.Duration
}

// DefaultTiming suits workers on the same site.
var DefaultTiming = Timing{
	Lease:       20 * time.Second,
	LeaseMargin: time.Second,
	SyncWait:    8 * time.Second,
	Retry:       250 * time.Millisecond,
	Contested:   2 * time.Second,
	Tick:        100 * time.Millisecond,
	Retention:   2 * time.Minute,
	UrgentWait:  1800 * time.Millisecond,
}

// Limits bound the memory of an owner.
type Limits struct {
	// Waiting bounds the waiting attempts.
	Waiting int
	// PayloadBytes bounds the payloads of attempts that wait or run.
	PayloadBytes int64
}

// Dial returns the peer of a worker VM.
type Dial func(v vmlist.VM) worker.Peer

// Observer is told of outcomes, for metrics.
type Observer interface {
	// Started tells how long a task was queued before its start.
	Started(t entry.Task, waited time.Duration)
}

// Owner is the allocator of the adopted workers of one entry VM.
type Owner struct {
	name     string
	timing   Timing
	dial     Dial
	observer Observer
	log      logr.Logger
	run      context.Context
	wake     chan struct{}
	gained   chan struct{}

	mutex sync.Mutex
	// epoch rises when the process was paused, so that calls which were sent
	// before are refused.
	epoch uint64
	// ticked is when the loop last ran.
	ticked time.Time
	alloc  *allocator.Allocator
	// attempts holds every attempt that was given to this owner, runs on an
	// adopted worker, or was fenced here, until Retention after its end.
	attempts map[string]*attempt
	sessions map[string]*session
	// payload is the sum of the payloads in attempts, in bytes. It is at most
	// payloadLimit.
	payload, payloadLimit int64
	ejected               *ejection.Tracker
	meter                 *usage.Meter
	// generations holds the lowest generation that may start, by task of a job
	// that was taken over.
	generations map[string]fencedTask
	collecting  gang
	draining    bool
}

// fencedTask is a task of a job that has another holder now.
type fencedTask struct {
	generation int
	at         time.Time
}

type attempt struct {
	task    entry.Task
	status  entry.Status
	changed chan struct{}
	ended   time.Time
	// cancelled is set when the caller asked to stop the attempt.
	cancelled bool
	// asked is when the holder last asked for the attempt. A waiting attempt
	// starts only within HolderLease of it.
	asked time.Time
	// heldUntil is set while room is held for a gang that has not started.
	heldUntil time.Time
}

// New returns an owner without workers. It works until ctx ends.
func New(ctx context.Context, name string, incarnation uint64, t Timing, limits Limits, dial Dial, o Observer, log logr.Logger) *Owner {
	w := &Owner{
		name: name, epoch: incarnation, ticked: time.Now(), timing: t, dial: dial, observer: o, log: log, run: ctx,
		wake:     make(chan struct{}, 1),
		gained:   make(chan struct{}, 1),
		alloc:    allocator.New(placement.Balanced{}, allocator.Limits{Waiting: limits.Waiting, UrgentWait: t.UrgentWait}),
		attempts: map[string]*attempt{}, sessions: map[string]*session{}, payloadLimit: limits.PayloadBytes, ejected: ejection.New(), meter: usage.New(name, time.Now()), generations: map[string]fencedTask{},
	}
	go w.loop()
	return w
}

// SetPlans takes over a configuration.
func (o *Owner) SetPlans(x *plan.Index) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.alloc.SetPlans(x)
	o.kick()
}

// Advertise summarises the load.
func (o *Owner) Advertise() allocator.Advertisement {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.alloc.Advertise()
}

// Gained signals that the first worker was adopted, so that peers should be
// told of it at once.
func (o *Owner) Gained() <-chan struct{} { return o.gained }
func (o *Owner) kick() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *Owner) loop() {
	tick := time.NewTicker(o.timing.Tick)
	defer tick.Stop()
	for {
		select {
		case <-o.run.Done():
			return
		case <-o.wake:
			o.dispatch()
		case <-tick.C:
			o.expire()
			o.dispatch()
			o.reclaim()
		}
	}
}

func (o *Owner) dispatch() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.collect(time.Now())
	for {
		now := time.Now()
		o.measure(now)
		d, ok := o.alloc.Next(now)
		if !ok {
			return
		}
		a, s := o.attempts[d.Task.Attempt], o.sessions[d.Worker]
		if a == nil || s == nil {
			o.alloc.Release(d.Task.Attempt)
			continue
		}
		if time.Since(a.asked) > entry.HolderLease {
			o.end(d.Task.Attempt, entry.Status{State: entry.NotRun, Reason: reasonHolderGone})
			continue
		}
		a.status.Worker, a.status.Waited = d.Worker, d.Waited
		o.observer.Started(a.task, d.Waited)
		o.meter.Started(a.task.Customer, a.task.Plan, string(a.task.Class), d.Waited)
		o.ejected.Started(d.Worker)
		o.updateAccepting(s)
		go o.start(s.peer, startRequest(s.token, a), a)
	}
}

// set changes the status of an attempt and wakes who waits for it. The caller
// holds the lock.
func (o *Owner) set(a *attempt, s entry.Status) {
	if a.status.State.Ended() {
		return
	}
	s.Worker, s.Waited = a.status.Worker, a.status.Waited
	a.status = s
	if s.State.Ended() {
		a.ended = time.Now()
		o.payload -= int64(len(a.task.Payload))
		a.task.Payload = nil
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func (o *Owner) end(id string, s entry.Status) {
	o.measure(time.Now())
	if o.alloc.Release(id) {
		o.kick()
	}
	a := o.attempts[id]
	if a == nil || a.status.State.Ended() {
		return
	}
	if a.cancelled && s.State == entry.Stopped {
		s.Reason = entry.ReasonCancelled
	}
	o.judge(a, s)
	o.set(a, s)
}

// judge feeds the outcome of an attempt into the ejection of bad workers.
func (o *Owner) judge(a *attempt, s entry.Status) {
	if s.State != entry.Finished && s.State != entry.Failed {
		return
	}
	name := a.status.Worker
	before := o.ejected.StateOf(name)
	o.ejected.Outcome(time.Now(), name, a.task.Kind, s.State == entry.Finished)
	if after := o.ejected.StateOf(name); after != before {
		o.log.Info("worker_ejection", "worker", name, "ejected", after == ejection.Open)
	}
	if session := o.sessions[name]; session != nil {
		o.updateAccepting(session)
	}
}

// start starts an attempt on its worker. The call is repeated until its
// outcome is known, since starts are idempotent per attempt. The request is that
// of the moment of the decision: a later adoption by the same owner must not
// revive a start that was given up in between.
func (o *Owner) start(peer worker.Peer, request worker.StartRequest, a *attempt) {
	id := request.Attempt.ID
	for first := true; ; first = false {
		record, err := peer.Start(o.run, request)
		o.mutex.Lock()
		if o.attempts[id] != a || a.status.State.Ended() {
			// The worker was lost in the meantime; if it was adopted again, the
			// attempt is known from its list and this start says nothing of it.
			o.mutex.Unlock()
			return
		}
		switch fault.KindOr(err, worker.KindUnreachable) {
		case "":
			o.started(a, record)
			o.mutex.Unlock()
			return
		case worker.KindFenced, worker.KindRefused:
			o.notStarted(a, err, first)
			o.mutex.Unlock()
			return
		}
		o.suspect(a.status.Worker)
		o.mutex.Unlock()
		if !o.pause(o.timing.Retry) {
			return
		}
	}
}

// suspect stops placing work on a worker that gave no answer until it does.
func (o *Owner) suspect(worker string) {
	s := o.sessions[worker]
	if s == nil || s.silent {
		return
	}
	s.silent, s.verify = true, true
	o.updateAccepting(s)
	if s.interrupt != nil {
		s.interrupt()
	}
}

func (o *Owner) started(a *attempt, r worker.Record) {
	if r.Phase.Ended() {
		o.end(a.task.Attempt, statusOf(r))
		return
	}
	o.set(a, entry.Status{State: entry.Running})
	if a.cancelled {
		go o.stop(a.task.Attempt, worker.Stop)
	}
}

// notStarted handles a refusal. When an answer to an earlier try was lost, the
// attempt may run all the same, so a fenced owner leaves it to the new one.
func (o *Owner) notStarted(a *attempt, err error, first bool) {
	o.log.Info("start_refused", "attempt", a.task.Attempt, "worker", a.status.Worker, "reason", err.Error())
	if fault.KindOf[worker.Kind](err) == worker.KindFenced && !first {
		o.end(a.task.Attempt, entry.Status{State: entry.Moved, Reason: entry.ReasonFenced})
		return
	}
	o.end(a.task.Attempt, entry.Status{State: entry.NotRun, Reason: string(worker.KindRefused)})
}

// reasonHolderGone is given for waiting attempts that nobody asked for.
const reasonHolderGone = "holder_gone"

func (o *Owner) pause(d time.Duration) bool {
	select {
	case <-o.run.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (o *Owner) refuse(r allocator.Refusal) {
	if a := o.attempts[r.Task.Attempt]; a != nil {
		o.set(a, entry.Status{State: entry.NotRun, Reason: string(r.Reason)})
	}
}

func statusOf(r worker.Record) entry.Status {
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

// startRequest is built under the lock of the owner.
func startRequest(token worker.Token, a *attempt) worker.StartRequest {
	t := a.task
	return worker.StartRequest{Token: token, Attempt: worker.Attempt{
		ID: t.Attempt, Customer: t.Customer, Plan: t.Plan, Class: string(t.Class), Size: t.Size,
		Kind: t.Kind, Repeatable: t.Repeatable, Payload: t.Payload, RunTime: t.RunTime,
	}}
}
