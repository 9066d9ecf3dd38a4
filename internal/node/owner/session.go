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

// session is the work with one worker. Its fields are guarded by the lock of
// the Owner, except vm.Name and peer, which do not change.
type session struct {
	vm   vmlist.VM
	peer worker.Peer
	// token is that of the last adoption. Only the goroutine of the session
	// writes it.
	token worker.Token
	// adopted is true from a successful adoption until the worker is fenced or
	// lost.
	adopted bool
	// wanted is false once the assignment names another owner.
	wanted   bool
	sequence uint64
	// heard is when the last answered call was sent.
	heard time.Time
	// renewed is when the last call that may have renewed the lease was sent.
	renewed time.Time
	// interrupt ends the sync under way, so that the worker is asked anew.
	interrupt context.CancelFunc
	// silent is true while calls get no answer.
	silent bool
	// verify makes the next sync return at once.
	verify bool
}

// Assign names the workers that this owner should have. Workers that it holds
// beyond these are used until their new owner fences them, so that no worker
// stands idle while views of the membership differ.
func (o *Owner) Assign(workers []vmlist.VM) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	wanted := map[string]vmlist.VM{}
	for _, v := range workers {
		wanted[v.Name] = v
	}
	for name, s := range o.sessions {
		v, ok := wanted[name]
		if ok {
			s.vm.Leaving = v.Leaving
		}
		s.wanted = ok
		o.updateAccepting(s)
	}
	for name, v := range wanted {
		if o.sessions[name] == nil && !o.draining {
			s := &session{vm: v, peer: o.dial(v), wanted: true}
			o.sessions[name] = s
			go o.serve(s)
		}
	}
	o.kick()
}

func (o *Owner) updateAccepting(s *session) {
	if !s.adopted {
		return
	}
	o.alloc.SetAccepting(s.vm.Name, !s.silent && !s.vm.Leaving && !o.draining && o.ejected.Allows(time.Now(), s.vm.Name))
}

// serve works with one worker until it is given up.
func (o *Owner) serve(s *session) {
	var known worker.Token
	for {
		if !o.keep(s) {
			return
		}
		current, ok := o.adopt(s, known)
		if current.Epoch > known.Epoch {
			known = current
		}
		if !ok {
			if !o.pause(o.timing.Retry) {
				return
			}
			continue
		}
		fenced := o.follow(s)
		if fenced && !o.pause(o.timing.Contested) {
			return
		}
	}
}

// keep reports whether the session goes on, and forgets it otherwise.
func (o *Owner) keep(s *session) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if s.wanted && !o.draining && o.run.Err() == nil {
		return true
	}
	if o.sessions[s.vm.Name] == s {
		delete(o.sessions, s.vm.Name)
	}
	return false
}

// adopt tries to take the worker over with a token above every known one.
func (o *Owner) adopt(s *session, known worker.Token) (current worker.Token, ok bool) {
	token := worker.Token{Epoch: known.Epoch + 1, Owner: o.name}
	sent := time.Now()
	reply, err := s.peer.Adopt(o.run, worker.AdoptRequest{Token: token, Lease: o.timing.Lease})
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil {
		return known, false
	}
	if !reply.Accepted {
		return reply.Current, false
	}
	s.token, s.adopted, s.sequence, s.heard, s.renewed = token, true, reply.Sequence, sent, sent
	s.silent = false
	o.ejected.Add(s.vm.Name)
	o.takeOver(s, reply)
	return token, true
}

// takeOver builds the ledger of a worker from its own list.
func (o *Owner) takeOver(s *session, reply worker.AdoptReply) {
	var running []allocator.Running
	for _, r := range reply.Records {
		a := o.attempts[r.Attempt.ID]
		if a == nil || a.status.Reason == entry.ReasonFenced || a.status.State == entry.Moved {
			a = &attempt{task: fromWorker(r.Attempt), status: entry.Status{State: entry.Running, Worker: s.vm.Name}, changed: make(chan struct{})}
			o.attempts[r.Attempt.ID] = a
		}
		if r.Phase.Ended() {
			o.end(r.Attempt.ID, statusOf(r))
			continue
		}
		running = append(running, allocator.Running{
			Attempt: r.Attempt.ID, Plan: r.Attempt.Plan, Class: plan.Class(r.Attempt.Class),
			Size: r.Attempt.Size, Repeatable: r.Attempt.Repeatable,
		})
	}
	err := o.alloc.AddWorker(s.vm.Name, reply.Rack, reply.Capacity, running)
	o.log.Info("worker_adopted", "worker", s.vm.Name, "epoch", s.token.Epoch, "running", len(running), "ok", err == nil)
	o.updateAccepting(s)
	o.kick()
	if o.alloc.Ledger().Len() > 1 {
		return
	}
	select {
	case o.gained <- struct{}{}:
	default:
	}
}

func fromWorker(a worker.Attempt) entry.Task {
	return entry.Task{
		Attempt: a.ID, Customer: a.Customer, Plan: a.Plan, Class: plan.Class(a.Class), Size: a.Size,
		Kind: a.Kind, Repeatable: a.Repeatable, RunTime: a.RunTime,
	}
}

// follow renews the lease and takes in records until the worker is fenced or
// lost; it reports which. After a call without answer the worker is only
// probed, so that the time at which its lease lapses is known.
func (o *Owner) follow(s *session) (fenced bool) {
	lease := o.timing.Lease
	for o.run.Err() == nil {
		reply, sent, err := o.sync(s, lease)
		o.mutex.Lock()
		switch fault.KindOr(err, worker.KindUnreachable) {
		case "":
			lease = o.timing.Lease
			o.takeRecords(s, reply, sent)
			o.mutex.Unlock()
			continue
		case worker.KindFenced:
			o.lose(s, entry.Status{State: entry.Moved, Reason: entry.ReasonFenced})
			o.mutex.Unlock()
			return true
		}
		lease = 0
		s.silent = true
		o.updateAccepting(s)
		if time.Since(s.renewed) > o.lapsedAfter() {
			o.lose(s, entry.Status{State: entry.Stopped, Reason: entry.ReasonLeaseLapsed})
			o.mutex.Unlock()
			return false
		}
		o.mutex.Unlock()
		o.pause(o.timing.Retry)
	}
	return false
}

// lapsedAfter is the age of the last renewal past which the lease has lapsed
// at the worker, also when the call was delivered as late as it can be.
func (o *Owner) lapsedAfter() time.Duration {
	return o.timing.Lease + o.timing.LeaseMargin + o.timing.SyncWait + worker.CallTimeout
}

// sync makes one sync call. A lease of zero renews nothing.
func (o *Owner) sync(s *session, lease time.Duration) (reply worker.SyncReply, sent time.Time, err error) {
	ctx, cancel := context.WithCancel(o.run)
	defer cancel()
	sent = time.Now()
	o.mutex.Lock()
	if lease > 0 {
		s.renewed = sent
	}
	wait := o.timing.SyncWait
	if s.verify {
		s.verify, wait = false, 0
	}
	s.interrupt = cancel
	request := worker.SyncRequest{Token: s.token, Lease: lease, After: s.sequence, Wait: wait}
	o.mutex.Unlock()
	reply, err = s.peer.Sync(ctx, request)
	interrupted := err != nil && ctx.Err() != nil && o.run.Err() == nil
	if interrupted {
		return o.sync(s, lease)
	}
	return reply, sent, err
}

func (o *Owner) takeRecords(s *session, reply worker.SyncReply, sent time.Time) {
	s.heard, s.silent = sent, false
	s.sequence = max(s.sequence, reply.Sequence)
	for _, r := range reply.Records {
		o.end(r.Attempt.ID, statusOf(r))
	}
	o.updateAccepting(s)
}

// lose drops a worker and ends what it held with a status.
func (o *Owner) lose(s *session, status entry.Status) {
	s.adopted = false
	held := o.alloc.RemoveWorker(s.vm.Name)
	o.log.Info("worker_lost", "worker", s.vm.Name, "reason", status.Reason, "attempts", len(held))
	for _, id := range held {
		o.end(id, status)
	}
	for _, r := range o.alloc.Unplaceable() {
		o.refuse(r)
	}
}

// Drain stops placing work: what waits is refused, what runs stays with the
// workers, and their new owners take them over.
func (o *Owner) Drain() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.draining = true
	for _, r := range o.alloc.Drain() {
		o.refuse(r)
	}
	for _, s := range o.sessions {
		o.updateAccepting(s)
	}
}

// Held returns the number of adopted workers.
func (o *Owner) Held() int {
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
