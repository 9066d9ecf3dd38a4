package owner

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// measure integrates the use up to now; it is called before the use changes.
func (o *Owner) measure(now time.Time) {
	o.meter.Advance(now, o.alloc.Shares(), o.alloc.Ledger().Len())
}

// CurrentUsage returns the sums since the last CutUsage.
func (o *Owner) CurrentUsage() usage.Period {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.measure(time.Now())
	return o.meter.Current()
}

// CutUsage returns the sums since the last CutUsage and begins anew.
func (o *Owner) CutUsage() usage.Period {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.measure(time.Now())
	return o.meter.Cut(time.Now())
}

// noticePause begins a new epoch when the loop did not run for too long: what
// holders concluded in the meantime must not be undone by a call of theirs that
// was held back with the process. Waiting attempts are given up.
func (o *Owner) noticePause(now time.Time) {
	if now.Sub(o.ticked) <= maxPause {
		return
	}
	o.log.Info("paused", "gap", now.Sub(o.ticked).String())
	o.ticked = now
	o.epoch = max(o.epoch+1, uint64(now.UnixMilli()))
	for id, a := range o.attempts {
		if o.alloc.Cancel(id) != nil {
			o.set(a, entry.Status{State: entry.NotRun, Reason: reasonHolderGone})
		}
	}
}

// maxPause is the pause past which a holder may have given up on this owner. It
// is well below entry.HolderLease.
const maxPause = entry.HolderLease / 2

// Epoch names what holders have to give with their calls.
func (o *Owner) Epoch() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.noticePause(time.Now())
	return o.epoch
}

func (o *Owner) expire() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.noticePause(now)
	o.ticked = now
	for _, r := range o.alloc.Expire(now) {
		o.refuse(r)
	}
	o.lapseHolds(now)
	for _, s := range o.sessions {
		o.updateAccepting(s)
	}
	for id, a := range o.attempts {
		if !a.ended.IsZero() && now.Sub(a.ended) > o.timing.Retention {
			delete(o.attempts, id)
		}
	}
	for name, f := range o.generations {
		if now.Sub(f.at) > fencedTaskRetention {
			delete(o.generations, name)
		}
	}
}

// fencedTaskRetention is how long a former holder of a job is refused. It is
// longer than any pause after which a process still believes to hold a job.
const fencedTaskRetention = time.Hour

func (o *Owner) reclaim() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, p := range o.alloc.Reclaim() {
		o.log.V(1).Info("preempt", "attempt", p.Attempt, "worker", p.Worker, "plan", p.For)
		go o.preempt(p.Attempt)
	}
}
