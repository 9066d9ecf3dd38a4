package owner

import (
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/worker"
)

// MaxWait bounds how long one call waits for an attempt.
const MaxWait = 15 * time.Second

// retryAfterBusy is the hint with refusals that pass by themselves.
const retryAfterBusy = time.Second

// Run admits an attempt and waits for its end. An attempt that is already
// known is joined.
func (o *Owner) Run(r entry.RunArgs) (entry.Status, error) {
	o.mutex.Lock()
	o.noticePause(time.Now())
	if r.Epoch != o.epoch {
		o.mutex.Unlock()
		return entry.Status{}, entry.ErrEpoch
	}
	if o.generations[r.Task.Name].generation > r.Task.Generation {
		o.mutex.Unlock()
		return entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced}, nil
	}
	a := o.attempts[r.Task.Attempt]
	if a == nil {
		var err error
		if a, err = o.admit(r.Task); err != nil {
			o.mutex.Unlock()
			kind := fault.KindOf[allocator.Kind](err)
			return entry.Status{State: entry.NotRun, Reason: string(kind), RetryAfter: retryAfter(kind)}, nil
		}
	}
	a.asked = time.Now()
	if !a.heldUntil.IsZero() && a.status.State == entry.Waiting {
		o.commit(a)
	}
	o.mutex.Unlock()
	return o.await(a, r.Wait), nil
}

func retryAfter(k allocator.Kind) time.Duration {
	switch k {
	case allocator.KindQueueFull, allocator.KindShed, allocator.KindNoWorkers, allocator.KindDraining:
		return retryAfterBusy
	}
	return 0
}

func (o *Owner) admit(t entry.Task) (*attempt, error) {
	now := time.Now()
	size := int64(len(t.Payload))
	if o.payload+size > o.payloadLimit {
		return nil, fault.Newf("admit", allocator.KindQueueFull, "payloads take %d bytes", o.payload)
	}
	waiting := &allocator.Task{
		Attempt: t.Attempt, Plan: t.Plan, Class: t.Class, Size: t.Size, Spread: t.Spread,
		Repeatable: t.Repeatable, RunTime: t.RunTime, Resumed: t.Resumed,
	}
	if t.Remaining > 0 {
		waiting.Deadline = now.Add(t.Remaining)
	}
	shed, err := o.alloc.Enqueue(now, waiting)
	if err != nil {
		return nil, err
	}
	if shed != nil {
		o.refuse(*shed)
	}
	a := &attempt{task: t, status: entry.Status{State: entry.Waiting}, changed: make(chan struct{})}
	o.attempts[t.Attempt] = a
	o.payload += size
	o.kick()
	return a, nil
}

// waitingPoll bounds how long one call waits for an attempt that is queued, so
// that its holder is heard well within entry.HolderLease.
const waitingPoll = entry.HolderLease / 2

// await waits until the attempt has ended or the time is over.
func (o *Owner) await(a *attempt, wait time.Duration) entry.Status {
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	queued := time.NewTimer(waitingPoll)
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
		case <-o.run.Done():
			return status
		}
	}
}

// Await waits for the end of a known attempt; an unknown one is fenced.
func (o *Owner) Await(r entry.AwaitArgs) (entry.Status, error) {
	o.mutex.Lock()
	o.noticePause(time.Now())
	if r.Epoch != o.epoch {
		o.mutex.Unlock()
		return entry.Status{}, entry.ErrEpoch
	}
	a := o.attempts[r.Attempt]
	if a == nil {
		a = o.fence(r.Attempt)
	}
	a.asked = time.Now()
	o.mutex.Unlock()
	return o.await(a, r.Wait), nil
}

// fence remembers an attempt as never run, so that a late call can not start
// it here.
func (o *Owner) fence(id string) *attempt {
	a := &attempt{
		task:   entry.Task{Attempt: id},
		status: entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced},
		ended:  time.Now(), changed: make(chan struct{}),
	}
	o.attempts[id] = a
	return a
}

// verifyAfter is the age of the last answer of a worker past which a Resolve
// makes the owner ask the worker again.
const verifyAfter = 300 * time.Millisecond

// Resolve tells what this owner knows of attempts whose former owner is gone.
func (o *Owner) Resolve(r entry.ResolveArgs) (entry.ResolveReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.noticePause(time.Now())
	reply := entry.ResolveReply{Found: map[string]entry.Status{}, Verified: map[string]time.Duration{}, Epoch: o.epoch}
	for _, id := range r.Attempts {
		a := o.attempts[id]
		if a == nil && r.Peek {
			continue
		}
		if a == nil {
			a = o.fence(id)
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
		age := time.Since(s.heard)
		reply.Verified[name] = age
		if age > verifyAfter && s.interrupt != nil {
			s.verify = true
			s.interrupt()
		}
	}
	return reply, nil
}

// resolveTasks fences older generations of tasks and finds their attempts.
// One that has ended well goes before one that runs, and that before others.
func (o *Owner) resolveTasks(tasks map[string]int, reply *entry.ResolveReply) {
	if len(tasks) == 0 {
		return
	}
	reply.FoundTasks = map[string]entry.FoundAttempt{}
	for name, generation := range tasks {
		if o.generations[name].generation < generation {
			o.generations[name] = fencedTask{generation, time.Now()}
		}
	}
	for id, a := range o.attempts {
		name, _, _ := strings.Cut(id, "/")
		if _, asked := tasks[name]; !asked || a.status.State == entry.Moved || a.status.State == entry.NotRun {
			continue
		}
		before, found := reply.FoundTasks[name]
		if !found || rankOf(a.status.State) > rankOf(before.Status.State) {
			reply.FoundTasks[name] = entry.FoundAttempt{Attempt: id, Status: a.status}
		}
	}
}

func rankOf(s entry.State) int {
	switch s {
	case entry.Finished:
		return 3
	case entry.Running, entry.Waiting:
		return 2
	}
	return 1
}

// Cancel stops an attempt, whether it waits or runs.
func (o *Owner) Cancel(r entry.CancelArgs) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	a := o.attempts[r.Attempt]
	if a == nil {
		o.fence(r.Attempt)
		return nil
	}
	a.cancelled = true
	if !a.heldUntil.IsZero() && a.status.State == entry.Waiting {
		o.end(r.Attempt, entry.Status{State: entry.NotRun, Reason: entry.ReasonCancelled})
		return nil
	}
	if o.alloc.Cancel(r.Attempt) != nil {
		o.set(a, entry.Status{State: entry.NotRun, Reason: entry.ReasonCancelled})
		return nil
	}
	if a.status.State == entry.Running {
		go o.stop(r.Attempt, worker.Stop)
	}
	return nil
}

// preemptPatience is how long a milder way of stopping may take.
const preemptPatience = 300 * time.Millisecond

// preempt takes an attempt off its worker: by checkpoint, else by throttle and
// then by stop.
func (o *Owner) preempt(id string) {
	for _, mode := range []worker.StopMode{worker.Checkpoint, worker.Throttle, worker.Stop} {
		if o.stop(id, mode) || !o.pause(preemptPatience) {
			return
		}
	}
}

// stop asks the worker of an attempt to stop it and reports whether it ended.
func (o *Owner) stop(id string, mode worker.StopMode) bool {
	o.mutex.Lock()
	r := o.alloc.Ledger().Reservation(id)
	if r == nil {
		o.mutex.Unlock()
		return true
	}
	s := o.sessions[r.Worker.Name]
	o.mutex.Unlock()
	if s == nil {
		return false
	}
	reply, err := s.peer.Stop(o.run, worker.StopRequest{Token: s.token, Attempt: id, Mode: mode})
	if err != nil || !reply.Record.Phase.Ended() {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.end(id, statusOf(reply.Record))
	return true
}
