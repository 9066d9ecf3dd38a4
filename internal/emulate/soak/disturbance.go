package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// contact is how long something must be free of faults before it counts as in touch.
	contact = 3 * time.Second
	// cancelLimit is how long after an acknowledged cancellation a leader in touch may start
	// tasks of the job, and stopGrace how much longer its runs may go on.
	cancelLimit = 3 * time.Second
	stopGrace   = 900 * time.Millisecond
	// holdLimit is how long a leader in touch may leave the lease of a worker with runs
	// without an extension.
	holdLimit = time.Second
	// watchInterval is how often the cell looks at the runs and the leader.
	watchInterval = 20 * time.Millisecond
)

// disturbance records the faults of one thing: of an entry VM (its process or its way to the
// store), of the calls to a worker, or of whichever VM leads. Faults may overlap.
type disturbance struct {
	mutex sync.Mutex
	// count is the number of faults that last, and until when the last fault ended or, for
	// calls that are executed late, will end.
	count int
	until time.Time
}

func (d *disturbance) begin() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.count++
}

func (d *disturbance) end(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.count--
	d.until = later(d.until, at)
}

// extend records a fault that ends by itself.
func (d *disturbance) extend(until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.until = later(d.until, until)
}

// calmSince returns since when there is no fault: now while one lasts.
func (d *disturbance) calmSince(now time.Time) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.count > 0 {
		return now
	}
	return d.until
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// watch notices ends of runs, changes of the leader and runs that go on for too long or that
// nobody holds, until ctx is done.
func (c *cell) watch(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(watchInterval)
		now := time.Now()
		c.heldUp, last = max(c.heldUp, now.Sub(last)-watchInterval), now
		since := now
		if vm := c.leader(); vm != nil {
			since = vm.disturbed.calmSince(now)
		}
		c.ledger.leader.extend(since)
		c.fleet.Advance(now)
		c.ledger.checkRuns(now)
	}
}
