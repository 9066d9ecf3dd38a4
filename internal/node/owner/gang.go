package owner

import (
	"time"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/peer/entry"
)

// gang is the one gang that may collect room at this owner over time. The slot
// is a lease, so that a holder that is gone does not block others.
type gang struct {
	id    string
	until time.Time
	// wanted are the tasks that have no room yet.
	wanted []entry.Task
}

// maxGangLease bounds how long room is held for a gang without a renewal.
const maxGangLease = 5 * time.Second

// Reserve holds room for tasks of a gang, as many as fit. With Collect, room
// that comes free goes to the gang before any queue, and the reply tells what
// is held so far; only one gang may collect at a time.
func (o *Owner) Reserve(r entry.ReserveArgs) (entry.ReserveReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.noticePause(now)
	if r.Epoch != o.epoch {
		return entry.ReserveReply{}, entry.ErrEpoch
	}
	until := now.Add(min(r.Lease, maxGangLease))
	if r.Collect {
		if o.collecting.id != r.Gang && now.Before(o.collecting.until) {
			return entry.ReserveReply{Busy: true}, nil
		}
		o.collecting = gang{id: r.Gang, until: until}
	}
	var reply entry.ReserveReply
	for _, t := range r.Tasks {
		switch a := o.attempts[t.Attempt]; {
		case a == nil:
			if o.hold(t, until) {
				reply.Held = append(reply.Held, t.Attempt)
			} else if r.Collect {
				o.collecting.wanted = append(o.collecting.wanted, t)
			}
		case !a.heldUntil.IsZero() && !a.status.State.Ended():
			a.heldUntil = until
			reply.Held = append(reply.Held, t.Attempt)
		}
	}
	return reply, nil
}

// hold reserves room for one task until a time.
func (o *Owner) hold(t entry.Task, until time.Time) bool {
	o.measure(time.Now())
	worker, ok := o.alloc.Hold(&allocator.Task{
		Attempt: t.Attempt, Plan: t.Plan, Class: t.Class, Size: t.Size, Spread: t.Spread, RunTime: t.RunTime,
	})
	if !ok {
		return false
	}
	o.payload += int64(len(t.Payload))
	o.attempts[t.Attempt] = &attempt{
		task: t, status: entry.Status{State: entry.Waiting, Worker: worker}, changed: make(chan struct{}),
		heldUntil: until, asked: time.Now(),
	}
	return true
}

// collect gives free room to the gang that collects.
func (o *Owner) collect(now time.Time) {
	if now.After(o.collecting.until) {
		o.collecting = gang{}
		return
	}
	var left []entry.Task
	for _, t := range o.collecting.wanted {
		if !o.hold(t, o.collecting.until) {
			left = append(left, t)
		}
	}
	o.collecting.wanted = left
}

// commit starts an attempt whose room is held.
func (o *Owner) commit(a *attempt) {
	s := o.sessions[a.status.Worker]
	if s == nil || !s.adopted {
		o.end(a.task.Attempt, entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced})
		return
	}
	a.heldUntil = time.Time{}
	o.observer.Started(a.task, 0)
	o.meter.Started(a.task.Customer, a.task.Plan, string(a.task.Class), 0)
	go o.start(s.peer, startRequest(s.token, a), a)
}

// lapseHolds gives back room whose gang did not come.
func (o *Owner) lapseHolds(now time.Time) {
	for id, a := range o.attempts {
		if !a.heldUntil.IsZero() && now.After(a.heldUntil) && !a.status.State.Ended() {
			o.end(id, entry.Status{State: entry.NotRun, Reason: reasonHolderGone})
		}
	}
}
