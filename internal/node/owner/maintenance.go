package owner

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// advanceMeter adds the resource use up to now to the usage sums. It must be
// called before the resource use changes. The caller holds the lock.
func (o *Owner) advanceMeter(now time.Time) {
	o.usageMeter.Advance(now, o.alloc.Shares(), o.alloc.Ledger().Len())
}

// CurrentUsage returns the usage sums since the last call of EndUsagePeriod.
func (o *Owner) CurrentUsage() usage.Period {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.advanceMeter(time.Now())
	return o.usageMeter.Current()
}

// EndUsagePeriod returns the usage sums since the last call of EndUsagePeriod and starts a
// new period.
func (o *Owner) EndUsagePeriod() usage.Period {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.advanceMeter(time.Now())
	return o.usageMeter.EndPeriod(time.Now())
}

// detectLoopPause starts a new epoch when the loop has not run for longer than
// maxLoopPause, for example because the process was frozen. Holders may have given up
// attempts during the pause, and a call that was delayed by the pause must not
// start these. Waiting attempts end as not run. The caller holds the lock.
func (o *Owner) detectLoopPause(now time.Time) {
	if now.Sub(o.lastTick) <= maxLoopPause {
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

// maxLoopPause is the longest pause of the loop that does not start a new epoch. It
// is well below entry.HolderLease, after which a holder may have given up on
// this owner.
const maxLoopPause = entry.HolderLease / 2

// Epoch returns the current epoch of this owner. Calls that carry another epoch
// are refused.
func (o *Owner) Epoch() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.detectLoopPause(time.Now())
	return o.epoch
}

// removeExpiredAttempts drops waiting attempts that can no longer meet their deadline,
// urgent attempts that have waited too long, reservations that were not renewed,
// and ended attempts and fenced tasks whose retention time is over.
func (o *Owner) removeExpiredAttempts() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.detectLoopPause(now)
	o.lastTick = now
	for _, r := range o.alloc.Expire(now) {
		o.endDroppedAttempt(r)
	}
	o.expireReservations(now)
	for _, s := range o.sessions {
		o.updateWorkerAccepting(s)
	}
	for id, a := range o.attempts {
		if !a.endedAt.IsZero() && now.Sub(a.endedAt) > o.timing.EndedAttemptRetention {
			delete(o.attempts, id)
		}
	}
	for name, f := range o.fencedTasks {
		if now.Sub(f.fencedAt) > fencedTaskRetention {
			delete(o.fencedTasks, name)
		}
	}
}

// fencedTaskRetention is how long an owner refuses the Run calls of a former
// holder of a job. It is longer than a process can be paused and still consider
// itself the holder afterwards.
const fencedTaskRetention = time.Hour

// reclaimCapacity preempts the attempts that the allocator selects, so that their
// capacity goes to plans that are entitled to it.
func (o *Owner) reclaimCapacity() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, p := range o.alloc.Reclaim() {
		o.log.V(1).Info("preempt", "attempt", p.Attempt, "worker", p.Worker, "plan", p.ForPlan)
		go o.preemptAttempt(p.Attempt)
	}
}
