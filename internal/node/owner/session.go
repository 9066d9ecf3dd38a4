package owner

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/peer/worker"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// session is what the owner knows about one worker: whether it is adopted, how
// recently it answered, and what was last received. The fields are guarded by the
// lock of the Owner, except vm.Name and peer, which do not change.
type session struct {
	vm   vmlist.VM
	peer worker.Peer
	// token is the fencing token of the last adoption. Only the goroutine of
	// the session writes it.
	token worker.Token
	// adopted is true from a successful adoption until the owner is fenced or
	// the worker is lost.
	adopted bool
	// assigned is false once Assign no longer names the worker. The owner then
	// keeps the worker until another owner adopts it.
	assigned bool
	// lastSequence is the highest sequence number of the records received from
	// the worker.
	lastSequence uint64
	// lastAnsweredCallSent is when the last call that the worker answered was
	// sent.
	lastAnsweredCallSent time.Time
	// lastRenewalSent is when the last call that may have renewed the lease was
	// sent.
	lastRenewalSent time.Time
	// interruptSync cancels the sync in flight, which is then sent again.
	interruptSync context.CancelFunc
	// unresponsive is true while the worker does not answer calls.
	unresponsive bool
	// skipNextSyncWait makes the worker answer the next sync without waiting for
	// new records.
	skipNextSyncWait bool
}

// Assign sets the workers that this owner should adopt. An adopted worker that is
// no longer assigned still gets attempts until another owner adopts it, so that
// no worker is idle while the entry VMs disagree on the membership.
func (o *Owner) Assign(workers []vmlist.VM) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	byName := map[string]vmlist.VM{}
	for _, v := range workers {
		byName[v.Name] = v
	}
	for name, s := range o.sessions {
		v, ok := byName[name]
		if ok {
			s.vm.Leaving = v.Leaving
		}
		s.assigned = ok
		o.updateWorkerAccepting(s)
	}
	for name, v := range byName {
		if o.sessions[name] == nil && !o.draining {
			s := &session{vm: v, peer: o.dialWorker(v), assigned: true}
			o.sessions[name] = s
			go o.runSession(s)
		}
	}
	o.wakeLoop()
}

// updateWorkerAccepting tells the allocator whether it may place attempts on a
// worker. The caller holds the lock.
func (o *Owner) updateWorkerAccepting(s *session) {
	if !s.adopted {
		return
	}
	o.alloc.SetAccepting(s.vm.Name, !s.unresponsive && !s.vm.Leaving && !o.draining && o.ejectionTracker.Allows(time.Now(), s.vm.Name))
}

// runSession adopts a worker, syncs with it until the worker is lost, and then
// starts over. It returns when the worker is no longer assigned, or when the
// owner is draining or stopped.
func (o *Owner) runSession(s *session) {
	var highest worker.Token
	for {
		if !o.keepOrRemoveSession(s) {
			return
		}
		current, ok := o.adoptWorker(s, highest)
		if current.Epoch > highest.Epoch {
			highest = current
		}
		if !ok {
			if !o.sleep(o.timing.RetryPause) {
				return
			}
			continue
		}
		fenced := o.syncUntilWorkerLost(s)
		if fenced && !o.sleep(o.timing.FencedRetryPause) {
			return
		}
	}
}

// keepOrRemoveSession returns true when this owner should adopt the worker.
// Otherwise it removes the session and returns false.
func (o *Owner) keepOrRemoveSession(s *session) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if s.assigned && !o.draining && o.ctx.Err() == nil {
		return true
	}
	if o.sessions[s.vm.Name] == s {
		delete(o.sessions, s.vm.Name)
	}
	return false
}

// adoptWorker tries to adopt the worker with a token above highest. It returns
// the token that the worker has now, or highest if the worker did not answer, and
// whether the adoption succeeded.
func (o *Owner) adoptWorker(s *session, highest worker.Token) (current worker.Token, ok bool) {
	token := worker.Token{Epoch: highest.Epoch + 1, Owner: o.name}
	sent := time.Now()
	reply, err := s.peer.Adopt(o.ctx, worker.AdoptRequest{Token: token, Lease: o.timing.Lease})
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		return highest, false
	}
	if !reply.Accepted {
		return reply.Current, false
	}
	s.token, s.adopted, s.lastSequence, s.lastAnsweredCallSent, s.lastRenewalSent = token, true, reply.Sequence, sent, sent
	s.unresponsive = false
	o.ejectionTracker.Add(s.vm.Name)
	o.restoreAttempts(s, reply)
	return token, true
}

// restoreAttempts adds an adopted worker, with the attempts that run on it, to
// the allocator. An attempt that was fenced here or had moved to another owner
// gets the status that the worker reports. The caller holds the lock.
func (o *Owner) restoreAttempts(s *session, reply worker.AdoptReply) {
	var running []allocator.RunningAttempt
	for _, r := range reply.Records {
		a := o.attempts[r.Attempt.ID]
		if a == nil || a.status.Reason == entry.ReasonFenced || a.status.State == entry.Moved {
			a = &attempt{task: taskFromWorker(r.Attempt), status: entry.Status{State: entry.Running, Worker: s.vm.Name}, changed: make(chan struct{})}
			o.attempts[r.Attempt.ID] = a
		}
		if r.Phase.Ended() {
			o.endAttempt(r.Attempt.ID, statusFromRecord(r))
			continue
		}
		running = append(running, allocator.RunningAttempt{
			Attempt: r.Attempt.ID, Plan: r.Attempt.Plan, Class: plan.Class(r.Attempt.Class),
			Size: r.Attempt.Size, Repeatable: r.Attempt.Repeatable,
		})
	}
	err := o.alloc.AddWorker(s.vm.Name, reply.Rack, reply.Capacity, running)
	o.log.Info("worker_adopted", "worker", s.vm.Name, "epoch", s.token.Epoch, "running", len(running), "ok", err == nil)
	o.updateWorkerAccepting(s)
	o.wakeLoop()
	if o.alloc.Ledger().Len() > 1 {
		return
	}
	select {
	case o.firstWorkerAdopted <- struct{}{}:
	default:
	}
}

// taskFromWorker converts an attempt that a worker reports to a task.
func taskFromWorker(a worker.Attempt) entry.Task {
	return entry.Task{
		Attempt: a.ID, Customer: a.Customer, Plan: a.Plan, Class: plan.Class(a.Class), Size: a.Size,
		Kind: a.Kind, Repeatable: a.Repeatable, RunTime: a.RunTime,
	}
}

// syncUntilWorkerLost renews the lease of an adopted worker and receives its records.
// It returns when another owner has adopted the worker (fenced is true), when
// the lease has ended because the worker did not answer, or when the owner
// ends. After a call without an answer the syncs do not renew the lease until
// one is answered, so that the owner knows when the lease ends at the worker.
func (o *Owner) syncUntilWorkerLost(s *session) (fenced bool) {
	lease := o.timing.Lease
	for o.ctx.Err() == nil {
		reply, sent, err := o.syncWorker(s, lease)
		o.mutex.Lock()
		switch fault.KindOr(err, worker.KindUnreachable) {
		case "":
			lease = o.timing.Lease
			o.applyRecords(s, reply, sent)
			o.mutex.Unlock()
			continue
		case worker.KindFenced:
			o.dropWorker(s, entry.Status{State: entry.Moved, Reason: entry.ReasonFenced})
			o.mutex.Unlock()
			return true
		}
		lease = 0
		s.unresponsive = true
		o.updateWorkerAccepting(s)
		if time.Since(s.lastRenewalSent) > o.maxRenewalAge() {
			o.dropWorker(s, entry.Status{State: entry.Stopped, Reason: entry.ReasonLeaseLapsed})
			o.mutex.Unlock()
			return false
		}
		o.mutex.Unlock()
		o.sleep(o.timing.RetryPause)
	}
	return false
}

// maxRenewalAge returns the time that must pass after the last renewal was sent
// before the lease has certainly ended at the worker, even if the renewal was
// delivered as late as possible.
func (o *Owner) maxRenewalAge() time.Duration {
	return o.timing.Lease + o.timing.LeaseMargin + o.timing.SyncWait + worker.CallTimeout
}

// syncWorker sends a sync to the worker and returns the reply and when the call
// was sent. A lease of zero does not renew the lease. If the call is interrupted,
// it is sent again.
func (o *Owner) syncWorker(s *session, lease time.Duration) (reply worker.SyncReply, sent time.Time, err error) {
	ctx, cancel := context.WithCancel(o.ctx)
	defer cancel()
	sent = time.Now()
	o.mutex.Lock()
	if lease > 0 {
		s.lastRenewalSent = sent
	}
	wait := o.timing.SyncWait
	if s.skipNextSyncWait {
		s.skipNextSyncWait, wait = false, 0
	}
	s.interruptSync = cancel
	request := worker.SyncRequest{Token: s.token, Lease: lease, After: s.lastSequence, Wait: wait}
	o.mutex.Unlock()
	reply, err = s.peer.Sync(ctx, request)
	interrupted := err != nil && ctx.Err() != nil && o.ctx.Err() == nil
	if interrupted {
		return o.syncWorker(s, lease)
	}
	return reply, sent, err
}

// applyRecords ends the attempts that a worker reports as ended.
func (o *Owner) applyRecords(s *session, reply worker.SyncReply, sent time.Time) {
	s.lastAnsweredCallSent, s.unresponsive = sent, false
	s.lastSequence = max(s.lastSequence, reply.Sequence)
	for _, r := range reply.Records {
		o.endAttempt(r.Attempt.ID, statusFromRecord(r))
	}
	o.updateWorkerAccepting(s)
}

// dropWorker removes a worker from the allocator, ends its attempts with the
// given status and refuses waiting attempts that fit none of the other workers.
func (o *Owner) dropWorker(s *session, status entry.Status) {
	s.adopted = false
	attempts := o.alloc.RemoveWorker(s.vm.Name)
	o.log.Info("worker_lost", "worker", s.vm.Name, "reason", status.Reason, "attempts", len(attempts))
	for _, id := range attempts {
		o.endAttempt(id, status)
	}
	for _, r := range o.alloc.DropUnplaceable() {
		o.endDroppedAttempt(r)
	}
}

// Drain refuses the waiting attempts and places no further ones. Running attempts
// stay on their workers until other owners adopt them.
func (o *Owner) Drain() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.draining = true
	for _, r := range o.alloc.Drain() {
		o.endDroppedAttempt(r)
	}
	for _, s := range o.sessions {
		o.updateWorkerAccepting(s)
	}
}

// AdoptedWorkers returns the number of workers that this owner has adopted.
func (o *Owner) AdoptedWorkers() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	n := 0
	for _, s := range o.sessions {
		if s.adopted {
			n++
		}
	}
	return n
}
