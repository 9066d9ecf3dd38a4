package owner

import (
	"time"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/peer/entry"
)

// collectingGang is the gang that collects capacity at this owner: capacity that
// becomes free is reserved for its tasks before any queued attempt can use it. At
// most one gang collects at a time. The right to collect is a lease, so that a
// gang whose holder is gone does not block others.
type collectingGang struct {
	id        string
	expiresAt time.Time
	// unplaced are the tasks without reserved capacity.
	unplaced []entry.Task
}

// maxGangReservationLease is the longest time that capacity stays reserved for a gang
// without a renewal.
const maxGangReservationLease = 5 * time.Second

// Reserve reserves capacity for as many tasks of a gang as fit, and renews the
// reservations that the gang already has. If r.Collect is set, capacity that
// becomes free later is reserved for the other tasks before any queued attempt
// can use it; if another gang is already collecting, Reserve does nothing and
// returns Busy. The only error is entry.ErrEpochMismatch, for a call that carries
// another epoch.
func (o *Owner) Reserve(r entry.ReserveArgs) (entry.ReserveReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.detectLoopPause(now)
	if r.Epoch != o.epoch {
		return entry.ReserveReply{}, entry.ErrEpochMismatch
	}
	until := now.Add(min(r.Lease, maxGangReservationLease))
	if r.Collect {
		if o.gangCollecting.id != r.Gang && now.Before(o.gangCollecting.expiresAt) {
			return entry.ReserveReply{Busy: true}, nil
		}
		o.gangCollecting = collectingGang{id: r.Gang, expiresAt: until}
	}
	var reply entry.ReserveReply
	for _, t := range r.Tasks {
		switch a := o.attempts[t.Attempt]; {
		case a == nil:
			if o.reserveTask(t, until) {
				reply.Held = append(reply.Held, t.Attempt)
			} else if r.Collect {
				o.gangCollecting.unplaced = append(o.gangCollecting.unplaced, t)
			}
		case !a.reservedUntil.IsZero() && !a.status.State.Ended():
			a.reservedUntil = until
			reply.Held = append(reply.Held, t.Attempt)
		}
	}
	return reply, nil
}

// reserveTask reserves capacity for one task of a gang until the given time. It
// returns false when no worker has enough.
func (o *Owner) reserveTask(t entry.Task, until time.Time) bool {
	o.advanceMeter(time.Now())
	worker, ok := o.alloc.ReserveWithoutQueueing(&allocator.Task{
		Attempt: t.Attempt, Plan: t.Plan, Class: t.Class, Size: t.Size, SpreadGroup: t.Spread, RunTime: t.RunTime,
	})
	if !ok {
		return false
	}
	o.payloadBytes += int64(len(t.Payload))
	o.attempts[t.Attempt] = &attempt{
		task: t, status: entry.Status{State: entry.Waiting, Worker: worker}, changed: make(chan struct{}),
		reservedUntil: until, lastHolderCall: time.Now(),
	}
	return true
}

// reserveForCollectingGang reserves free capacity for the tasks of the collecting gang.
// When the lease of the gang has expired, the gang stops collecting.
func (o *Owner) reserveForCollectingGang(now time.Time) {
	if now.After(o.gangCollecting.expiresAt) {
		o.gangCollecting = collectingGang{}
		return
	}
	var remaining []entry.Task
	for _, t := range o.gangCollecting.unplaced {
		if !o.reserveTask(t, o.gangCollecting.expiresAt) {
			remaining = append(remaining, t)
		}
	}
	o.gangCollecting.unplaced = remaining
}

// startReservedAttempt starts an attempt on the worker that has capacity reserved for
// it. If the worker was lost, the attempt ends as not run.
func (o *Owner) startReservedAttempt(a *attempt) {
	s := o.sessions[a.status.Worker]
	if s == nil || !s.adopted {
		o.endAttempt(a.task.Attempt, entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced})
		return
	}
	a.reservedUntil = time.Time{}
	o.observer.Started(a.task, 0)
	o.usageMeter.CountStart(a.task.Customer, a.task.Plan, string(a.task.Class), 0)
	go o.startAttemptOnWorker(s.peer, newStartRequest(s.token, a), a)
}

// expireReservations frees the capacity of reservations that were neither renewed
// nor used in time, and ends their attempts as not run.
func (o *Owner) expireReservations(now time.Time) {
	for id, a := range o.attempts {
		if !a.reservedUntil.IsZero() && now.After(a.reservedUntil) && !a.status.State.Ended() {
			o.endAttempt(id, entry.Status{State: entry.NotRun, Reason: reasonHolderGone})
		}
	}
}
