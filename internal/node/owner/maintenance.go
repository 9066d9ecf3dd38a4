package owner

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// advanceMeter adds the resource use up to now to the usage sums. It is called
// before the use changes. The caller holds the lock.
func (o *Owner) advanceMeter(now time.Time) {
	o.meter.Advance(now, o.alloc.Shares(), o.alloc.Ledger().Len())
}

// CurrentUsage returns the usage sums since the last call of CutUsage.
func (o *Owner) CurrentUsage() usage.Period {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.advanceMeter(time.Now())
	return o.meter.Current()
}

// EndUsagePeriod returns the usage sums since the last call of EndUsagePeriod and starts a
// new period.
func (o *Owner) EndUsagePeriod() usage.Period {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.advanceMeter(time.Now())
	return o.meter.EndPeriod(time.Now())
}

// detectPause starts a new epoch when the loop has not run for longer than
// maxPause, as after a freeze of the process. Holders may have given up
// attempts during the pause, and a call that was delayed by it must not undo
// that. Waiting attempts end as not run. The caller holds the lock.
func (o *Owner) detectPause(now time.Time) {
	if now.Sub(o.lastTick) <= maxPause {
		return
	}
	o.log.Info("paused", "gap", now.Sub(o.lastTick).String())
	o.lastTick = now
	o.epoch = max(o.epoch+1, uint64(now.UnixMilli()))
	for id, a := range o.attempts {
		if o.alloc.Cancel(id) != nil {
			o.setStatus(a, entry.Status{State: entry.NotRun, Reason: reasonHolderGone})
		}
	}
}

// maxPause is the longest pause of the loop that does not start a new epoch. It
// is well below entry.HolderLease, after which a holder may have given up on
// this owner.
const maxPause = entry.HolderLease / 2

// Epoch returns the current epoch of this owner. Calls that carry another epoch
// are refused.
func (o *Owner) Epoch() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.detectPause(time.Now())
	return o.epoch
}

// expire drops waiting attempts whose deadline cannot be met, reservations that
// were not renewed, and ended attempts and fenced tasks whose retention is
// over.
func (o *Owner) expire() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.detectPause(now)
	o.lastTick = now
	for _, r := range o.alloc.Expire(now) {
		o.applyRefusal(r)
	}
	o.expireReservations(now)
	for _, s := range o.sessions {
		o.updateAccepting(s)
	}
	for id, a := range o.attempts {
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) > o.timing.Retention {
			delete(o.attempts, id)
		}
	}
	for name, f := range o.fencedTasks {
		if now.Sub(f.fencedAt) > fencedTaskRetention {
			delete(o.fencedTasks, name)
		}
	}
}

// fencedTaskRetention is how long a former holder of a job is refused. It is
// longer than any pause after which a process may still consider itself the
// holder.
const fencedTaskRetention = time.Hour

// reclaim preempts the attempts that the allocator wants off their workers, to
// give the capacity to plans that are entitled to it.
func (o *Owner) reclaim() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, p := range o.alloc.Reclaim() {
		o.log.V(1).Info("preempt", "attempt", p.Attempt, "worker", p.Worker, "plan", p.ForPlan)
		go o.preempt(p.Attempt)
	}
}
