package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/almondpost/almondpost/internal/peer/store"
)

// fault is one fault of the plan.
type fault struct {
	kind string
	// at is when the fault begins, counted from the start of the plan, and lasts how long
	// it takes.
	at, lasts time.Duration
	// target selects the entry VM or worker, and amount how strong the fault is.
	target, amount int
}

// faultKind applies one kind of fault to a cell until it is over.
type faultKind struct {
	name  string
	apply func(c *cell, f fault) error
}

// faultKinds are the kinds of faults. Faults of the same process do not overlap; all
// others do.
var faultKinds = []faultKind{
	{"freeze", func(c *cell, f fault) error { c.vm(f).freeze(f.lasts); return nil }},
	{"kill", func(c *cell, f fault) error { return c.vm(f).kill(f.lasts / 3) }},
	{"replace", func(c *cell, f fault) error { return c.vm(f).replace(f.lasts / 6) }},
	{"reload", func(c *cell, f fault) error { c.vm(f).signal(syscall.SIGHUP); return nil }},
	{"store_cut", func(c *cell, f fault) error {
		c.vm(f).storeLink.RefuseCalls(true)
		time.Sleep(f.lasts)
		c.vm(f).storeLink.RefuseCalls(false)
		return nil
	}},
	{"store_down", func(c *cell, f fault) error {
		c.refuseCalls(true)
		time.Sleep(f.lasts)
		c.refuseCalls(false)
		return nil
	}},
	{"store_slow", func(c *cell, f fault) error {
		c.vm(f).storeLink.DelayCalls(time.Duration(f.amount) * 8 * time.Millisecond)
		time.Sleep(f.lasts)
		c.vm(f).storeLink.DelayCalls(0)
		return nil
	}},
	{"partition_down", func(c *cell, f fault) error {
		c.refusePartition(f.amount%partitionCount, true)
		time.Sleep(f.lasts)
		c.refusePartition(f.amount%partitionCount, false)
		return nil
	}},
	{"answers_lost", func(c *cell, f fault) error { c.vm(f).storeLink.LoseAnswers(1 + f.amount%3); return nil }},
	{"history_dropped", func(c *cell, _ fault) error {
		for part := range partitionCount {
			c.store.DropRecords(store.Jobs, part)
		}
		c.store.DropRecords(store.Progress, 0)
		return nil
	}},
	{"configuration", func(c *cell, _ fault) error { return c.publishConfiguration() }},
	{"worker_slow", func(c *cell, f fault) error {
		w := c.workers[f.target%len(c.workers)]
		w.delay.Store(int64(f.amount) * int64(20*time.Millisecond))
		time.Sleep(f.lasts)
		w.delay.Store(0)
		return nil
	}},
	{"worker_restart", func(c *cell, f fault) error {
		i := f.target % len(c.workers)
		return c.startWorker(c.workers[i], fmt.Sprintf("worker-%d-%d", i, f.at.Milliseconds()+2))
	}},
}

func (c *cell) vm(f fault) *entryVM { return c.vms[f.target%len(c.vms)] }

// refuseCalls sets whether the store refuses the calls of all entry VMs.
func (c *cell) refuseCalls(on bool) {
	for _, vm := range c.vms {
		vm.storeLink.RefuseCalls(on)
	}
}

// refusePartition sets whether the store refuses the calls of all entry VMs to a partition.
func (c *cell) refusePartition(part int, on bool) {
	for _, vm := range c.vms {
		vm.storeLink.RefusePartition(part, on)
	}
}

// processFault reports whether a kind of fault signals a process.
func processFault(kind string) bool {
	return kind == "freeze" || kind == "kill" || kind == "replace" || kind == "reload"
}

const (
	// quietStart is the time before the first fault.
	quietStart = 2 * time.Second
	// maxFaultPause is the longest pause between the beginnings of two faults.
	maxFaultPause = 1200 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 6 * time.Second
)

// drawDuration draws a duration below limit that is more often short than long.
func drawDuration(r *rand.Rand, limit time.Duration) time.Duration {
	x := r.Float64()
	return time.Duration(x * x * float64(limit))
}

// newPlan draws the faults of a run.
func newPlan(r *rand.Rand, duration time.Duration) []fault {
	var plan []fault
	for at := quietStart; at < duration; at += drawDuration(r, maxFaultPause) {
		plan = append(plan, fault{
			kind: faultKinds[r.IntN(len(faultKinds))].name, at: at, lasts: 300*time.Millisecond + drawDuration(r, maxFaultDuration),
			target: r.IntN(1 << 16), amount: r.IntN(100),
		})
	}
	return plan
}

// runFaults applies the faults of a plan and returns when the last one is over.
func (c *cell) runFaults(plan []fault) {
	begun := time.Now()
	busy := make([]sync.Mutex, len(c.vms))
	var wait sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(begun.Add(f.at)))
		wait.Go(func() {
			if processFault(f.kind) {
				vm := f.target % len(c.vms)
				if !busy[vm].TryLock() {
					return
				}
				defer busy[vm].Unlock()
			}
			for _, k := range faultKinds {
				if k.name != f.kind {
					continue
				}
				if err := k.apply(c, f); err != nil {
					c.ledger.report("processes start and stop", "%s of %s: %s", f.kind, c.vm(f).name, err)
				}
			}
		})
	}
	wait.Wait()
}
