package owner

import (
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/worker"
)

// MaxCallWait is the longest time that one Run or Await call waits for the end of
// an attempt.
const MaxCallWait = 15 * time.Second

// busyRetryDelay is the retry hint for refusals whose cause is temporary, such as
// a full queue.
const busyRetryDelay = time.Second

// Run admits an attempt and waits until it ends or the wait time of the call is
// over. If this owner already has the attempt, Run does not admit it again. If
// the attempt has capacity reserved as part of a gang, Run starts it on that
// capacity. For a refused attempt Run returns the state NotRun and a reason. The
// only error is entry.ErrEpochMismatch, for a call that carries another epoch.
func (o *Owner) Run(r entry.RunArgs) (entry.Status, error) {
	o.mutex.Lock()
	o.detectLoopPause(time.Now())
	if r.Epoch != o.epoch {
		o.mutex.Unlock()
		return entry.Status{}, entry.ErrEpochMismatch
	}
	if o.fencedTasks[r.Task.Name].generation > r.Task.Generation {
		o.mutex.Unlock()
		return entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced}, nil
	}
	a := o.attempts[r.Task.Attempt]
	if a == nil {
		var err error
		if a, err = o.admitAttempt(r.Task); err != nil {
			o.mutex.Unlock()
			kind := fault.KindOf[allocator.Kind](err)
			return entry.Status{State: entry.NotRun, Reason: string(kind), RetryAfter: retryDelayForRefusal(kind)}, nil
		}
	}
	a.lastHolderCall = time.Now()
	if !a.reservedUntil.IsZero() && a.status.State == entry.Waiting {
		o.startReservedAttempt(a)
	}
	o.mutex.Unlock()
	return o.waitForEnd(a, r.Wait), nil
}

// retryDelayForRefusal returns the retry hint for a refusal, or zero when a retry would not
// help.
func retryDelayForRefusal(k allocator.Kind) time.Duration {
	switch k {
	case allocator.KindQueueFull, allocator.KindShed, allocator.KindNoWorkers, allocator.KindDraining:
		return busyRetryDelay
	}
	return 0
}

// admitAttempt puts an attempt into the queue of its plan. If the attempt is refused,
// it returns an error whose kind is an allocator.Kind. The caller holds the lock.
func (o *Owner) admitAttempt(t entry.Task) (*attempt, error) {
	now := time.Now()
	size := int64(len(t.Payload))
	if o.payloadBytes+size > o.maxPayloadBytes {
		return nil, fault.Newf("admit", allocator.KindQueueFull, "the payloads of attempts already take %d bytes, so this payload would exceed the limit", o.payloadBytes)
	}
	task := &allocator.Task{
		Attempt: t.Attempt, Plan: t.Plan, Class: t.Class, Size: t.Size, SpreadGroup: t.Spread,
		Repeatable: t.Repeatable, RunTime: t.RunTime, Resumed: t.Resumed,
	}
	if t.Remaining > 0 {
		task.Deadline = now.Add(t.Remaining)
	}
	shed, err := o.alloc.Enqueue(now, task)
	if err != nil {
		return nil, err
	}
	if shed != nil {
		o.endDroppedAttempt(*shed)
	}
	a := &attempt{task: t, status: entry.Status{State: entry.Waiting}, changed: make(chan struct{})}
	o.attempts[t.Attempt] = a
	o.payloadBytes += size
	o.wakeLoop()
	return a, nil
}

// maxQueuedWait is the longest time that one call waits while the attempt stays
// in the queue. It is well below entry.HolderLease, so that the next call of
// the holder arrives before the lease ends.
const maxQueuedWait = entry.HolderLease / 2

// waitForEnd returns the status of an attempt once the attempt has ended or the
// wait time is over. For a queued attempt it waits at most for maxQueuedWait.
func (o *Owner) waitForEnd(a *attempt, wait time.Duration) entry.Status {
	timer := time.NewTimer(min(wait, MaxCallWait))
	defer timer.Stop()
	queued := time.NewTimer(maxQueuedWait)
	defer queued.Stop()
	for {
		o.mutex.Lock()
		status, changed := a.status, a.changed
		o.mutex.Unlock()
		if status.State.Ended() {
			return status
		}
		select {
		case <-changed:
		case <-timer.C:
			return status
		case <-queued.C:
			if status.State == entry.Waiting {
				return status
			}
		case <-o.ctx.Done():
			return status
		}
	}
}

// Await waits until an attempt that was already admitted ends or the wait time of
// the call is over. An unknown attempt is fenced: a later Run does not start it.
// The only error is entry.ErrEpochMismatch, for a call that carries another
// epoch.
func (o *Owner) Await(r entry.AwaitArgs) (entry.Status, error) {
	o.mutex.Lock()
	o.detectLoopPause(time.Now())
	if r.Epoch != o.epoch {
		o.mutex.Unlock()
		return entry.Status{}, entry.ErrEpochMismatch
	}
	a := o.attempts[r.Attempt]
	if a == nil {
		a = o.fenceAttempt(r.Attempt)
	}
	a.lastHolderCall = time.Now()
	o.mutex.Unlock()
	return o.waitForEnd(a, r.Wait), nil
}

// fenceAttempt adds an unknown attempt with the final state NotRun, so that a Run call
// that arrives late does not start it. The caller holds the lock.
func (o *Owner) fenceAttempt(id string) *attempt {
	a := &attempt{
		task:    entry.Task{Attempt: id},
		status:  entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced},
		endedAt: time.Now(), changed: make(chan struct{}),
	}
	o.attempts[id] = a
	return a
}

// maxAnswerAge is a limit for Resolve: if the last answer of a worker is older,
// the owner syncs with the worker at once, so that the next Resolve reports a
// recent answer.
const maxAnswerAge = 300 * time.Millisecond

// Resolve returns the statuses of attempts whose former owner is gone, and how
// recently each adopted worker has answered. Attempts that this owner does not
// know are fenced, unless r.Peek is set. The error is always nil.
func (o *Owner) Resolve(r entry.ResolveArgs) (entry.ResolveReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.detectLoopPause(time.Now())
	reply := entry.ResolveReply{Found: map[string]entry.Status{}, Verified: map[string]time.Duration{}, Epoch: o.epoch}
	for _, id := range r.Attempts {
		a := o.attempts[id]
		if a == nil && r.Peek {
			continue
		}
		if a == nil {
			a = o.fenceAttempt(id)
		}
		if a.status.Reason != entry.ReasonFenced && a.status.State != entry.Moved {
			reply.Found[id] = a.status
		}
	}
	o.resolveTasks(r.Tasks, &reply)
	for name, s := range o.sessions {
		if !s.adopted {
			continue
		}
		age := time.Since(s.lastAnsweredCallSent)
		reply.Verified[name] = age
		if age > maxAnswerAge && s.interruptSync != nil {
			s.skipNextSyncWait = true
			s.interruptSync()
		}
	}
	return reply, nil
}

// resolveTasks looks up tasks, given as a map of names to generations. It makes
// Run refuse lower generations of each task and adds one attempt of the task to
// the reply. It prefers a finished attempt to a waiting or running one, and these
// to one that failed or was stopped. Attempts that did not run or that moved to
// another owner are ignored.
func (o *Owner) resolveTasks(tasks map[string]int, reply *entry.ResolveReply) {
	if len(tasks) == 0 {
		return
	}
	reply.FoundTasks = map[string]entry.FoundAttempt{}
	for name, generation := range tasks {
		if o.fencedTasks[name].generation < generation {
			o.fencedTasks[name] = fencedTask{generation, time.Now()}
		}
	}
	for id, a := range o.attempts {
		name, _, _ := strings.Cut(id, "/")
		if _, requested := tasks[name]; !requested || a.status.State == entry.Moved || a.status.State == entry.NotRun {
			continue
		}
		best, found := reply.FoundTasks[name]
		if !found || stateRank(a.status.State) > stateRank(best.Status.State) {
			reply.FoundTasks[name] = entry.FoundAttempt{Attempt: id, Status: a.status}
		}
	}
}

// stateRank orders the states by which resolveTasks chooses an attempt; a
// higher rank is preferred.
func stateRank(s entry.State) int {
	switch s {
	case entry.Finished:
		return 3
	case entry.Running, entry.Waiting:
		return 2
	}
	return 1
}

// Cancel drops a waiting attempt or stops a running one. An unknown attempt is
// fenced. An attempt whose start is in flight is stopped once it has started.
// The error is always nil.
func (o *Owner) Cancel(r entry.CancelArgs) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	a := o.attempts[r.Attempt]
	if a == nil {
		o.fenceAttempt(r.Attempt)
		return nil
	}
	a.cancelled = true
	if !a.reservedUntil.IsZero() && a.status.State == entry.Waiting {
		o.endAttempt(r.Attempt, entry.Status{State: entry.NotRun, Reason: entry.ReasonCancelled})
		return nil
	}
	if o.alloc.Cancel(r.Attempt) != nil {
		o.setStatus(a, entry.Status{State: entry.NotRun, Reason: entry.ReasonCancelled})
		return nil
	}
	if a.status.State == entry.Running {
		go o.stopAttemptOnWorker(r.Attempt, worker.Stop)
	}
	return nil
}

// preemptGracePeriod is how long an attempt may take to end after one stop mode
// before the next, harsher mode is used.
const preemptGracePeriod = 300 * time.Millisecond

// preemptAttempt makes a worker give up an attempt. It tries the stop modes checkpoint,
// throttle and stop in this order until the attempt has ended.
func (o *Owner) preemptAttempt(id string) {
	for _, mode := range []worker.StopMode{worker.Checkpoint, worker.Throttle, worker.Stop} {
		if o.stopAttemptOnWorker(id, mode) || !o.sleep(preemptGracePeriod) {
			return
		}
	}
}

// stopAttemptOnWorker makes one stop call to the worker of an attempt and reports
// whether the attempt has ended.
func (o *Owner) stopAttemptOnWorker(id string, mode worker.StopMode) bool {
	o.mutex.Lock()
	reservation := o.alloc.Ledger().Reservation(id)
	if reservation == nil {
		o.mutex.Unlock()
		return true
	}
	s := o.sessions[reservation.Worker.Name]
	o.mutex.Unlock()
	if s == nil {
		return false
	}
	reply, err := s.peer.Stop(o.ctx, worker.StopRequest{Token: s.token, Attempt: id, Mode: mode})
	if err != nil || !reply.Record.Phase.Ended() {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.endAttempt(id, statusFromRecord(reply.Record))
	return true
}
