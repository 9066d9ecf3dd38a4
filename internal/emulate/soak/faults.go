package soak

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
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
	// waits is true if the fault begins late rather than not at all when it would overlap
	// one that excludes it.
	waits bool
}

// faultKind applies one kind of fault to a cell until it is over.
type faultKind struct {
	name  string
	apply func(c *cell, f fault) error
}

// faultKinds are the kinds of faults that are drawn. Faults of the same process do not overlap; all
// others do.
var faultKinds = []faultKind{
	{"freeze", func(c *cell, f fault) error {
		return c.vm(f).alone(func(vm *entryVM) error { vm.freeze(f.lasts); return nil })
	}},
	{"kill", func(c *cell, f fault) error {
		return c.vm(f).alone(func(vm *entryVM) error { return vm.kill(f.lasts / 3) })
	}},
	{"kill_leader", func(c *cell, f fault) error { return c.killSeries(f, c.leader) }},
	{"kill_keeper", func(c *cell, f fault) error { return c.killSeries(f, func() *entryVM { return c.keeperOrFollower(f) }) }},
	{"replace", func(c *cell, f fault) error {
		return c.vm(f).alone(func(vm *entryVM) error { return vm.replace(f.lasts / 6) })
	}},
	{"reload", func(c *cell, f fault) error {
		return c.vm(f).alone(func(vm *entryVM) error { vm.signal(syscall.SIGHUP); return nil })
	}},
	{"store_cut", func(c *cell, f fault) error {
		c.vm(f).cutStore(1)
		time.Sleep(f.lasts)
		c.vm(f).cutStore(-1)
		return nil
	}},
	{"store_down", func(c *cell, f fault) error {
		c.refuseCalls(true)
		time.Sleep(f.lasts)
		c.refuseCalls(false)
		return nil
	}},
	{"outage", func(c *cell, f fault) error { return c.playOutage(f) }},
	{"store_slow", func(c *cell, f fault) error {
		vm := c.vm(f)
		disturb(func() {
			vm.storeLink.DelayCalls(time.Duration(f.amount) * 8 * time.Millisecond)
			time.Sleep(f.lasts)
			vm.storeLink.DelayCalls(0)
		}, &vm.disturbed)
		return nil
	}},
	{"partition_down", func(c *cell, f fault) error {
		disturb(func() {
			c.refusePartition(f.amount%partitionCount, true)
			time.Sleep(f.lasts)
			c.refusePartition(f.amount%partitionCount, false)
		}, c.vmDisturbances()...)
		return nil
	}},
	{"answers_lost", func(c *cell, f fault) error {
		c.vm(f).disturbed.extend(time.Now().Add(lostAnswerDuration))
		c.vm(f).storeLink.LoseAnswers(1 + f.amount%3)
		return nil
	}},
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
		disturb(func() {
			w.delay.Store(int64(f.amount) * int64(20*time.Millisecond))
			time.Sleep(f.lasts)
			w.delay.Store(0)
		}, &w.disturbed)
		return nil
	}},
	{"worker_restart", func(c *cell, f fault) error {
		return c.restartRack(f, func(i int) string { return fmt.Sprintf("worker-%d-%d", i, f.at.Milliseconds()+2) })
	}},
	{"worker_restart_same_id", func(c *cell, f fault) error {
		return c.restartRack(f, func(i int) string { return c.workers[i].current.Load().life.ID })
	}},
	{"calls_late", func(c *cell, f fault) error {
		percent := int64(1 + f.amount%maxLateCallPercent)
		disturb(func() {
			c.lateCallPercent.Add(percent)
			time.Sleep(f.lasts)
			c.lateCallPercent.Add(-percent)
		}, disturbancesOf(c.workers)...)
		return nil
	}},
	{"domain_cut", func(c *cell, f fault) error { return c.cutDomain(f, func() error { return nil }) }},
	{"cut_and_kill_leader", func(c *cell, f fault) error {
		return c.cutDomain(f, func() error {
			time.Sleep(rand.N(minCutDuration + f.lasts))
			return c.replaceLeader(f)
		})
	}},
	{"entries_lapse", func(c *cell, f fault) error {
		var rack []*worker
		for _, i := range c.rack(f) {
			rack = append(rack, c.workers[i])
		}
		return c.lapseEntries(rack, func() { time.Sleep(rand.N(maxEntryLapse)) })
	}},
	{"lapse_and_kill_leader", func(c *cell, f fault) error {
		if f.waits {
			c.inCut.Lock()
		} else if !c.inCut.TryLock() {
			return nil
		}
		defer c.inCut.Unlock()
		return c.lapseEntries(c.workersIn(f.target%domainCount), func() {
			time.Sleep(rand.N(time.Second))
			c.ledger.reportError(f.kind, c.replaceLeader(f))
			time.Sleep(maxEntryLapse/2 + rand.N(maxEntryLapse/2))
		})
	}},
	{"answers_of_workers_lost", func(c *cell, f fault) error {
		vm, domain := c.vm(f), f.amount%domainCount
		if f.target%2 == 0 {
			vm = c.keeperOrFollower(f)
		}
		disturb(func() {
			vm.lostAnswers[domain].Add(1)
			time.Sleep(f.lasts)
			vm.lostAnswers[domain].Add(-1)
		}, disturbancesOf(c.workersIn(domain))...)
		return nil
	}},
}

func (c *cell) vm(f fault) *entryVM { return c.vms[f.target%len(c.vms)] }

// refuseCalls sets whether the store refuses the calls of all entry VMs.
func (c *cell) refuseCalls(on bool) {
	change := -1
	if on {
		change = 1
	}
	for _, vm := range c.vms {
		vm.cutStore(change)
	}
}

// refusePartition sets whether the store refuses the calls of all entry VMs to a partition.
func (c *cell) refusePartition(part int, on bool) {
	for _, vm := range c.vms {
		vm.storeLink.RefusePartition(part, on)
	}
}

// alone applies a fault to the process of the VM, unless it is in another one.
func (vm *entryVM) alone(apply func(vm *entryVM) error) error {
	if !vm.inFault.TryLock() {
		return nil
	}
	defer vm.inFault.Unlock()
	return apply(vm)
}

// killSeries kills processes, one after the other, and starts each again almost at once.
// choose returns the next one; nil means the target of the fault.
func (c *cell) killSeries(f fault, choose func() *entryVM) error {
	for range 1 + f.amount%maxKillsInSeries {
		vm := choose()
		if vm == nil {
			vm = c.vm(f)
		}
		if err := vm.alone(func(vm *entryVM) error { return vm.kill(rand.N(maxKillPause)) }); err != nil {
			return err
		}
		time.Sleep(rand.N(maxSeriesPause))
	}
	return nil
}

// restartRack restarts workers of one failure domain under the IDs that newID returns for
// their numbers.
func (c *cell) restartRack(f fault, newID func(i int) string) error {
	var wait sync.WaitGroup
	rack := c.rack(f)
	errs := make([]error, len(rack))
	for k, i := range rack {
		wait.Go(func() { errs[k] = c.startWorker(c.workers[i], newID(i), rand.N(maxRegistrationDelay)) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

const (
	// quietStart is the time before the first fault.
	quietStart = 2 * time.Second
	// maxFaultPause is the longest pause between the beginnings of two faults.
	maxFaultPause = 1200 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 6 * time.Second
	// maxKillsInSeries limits the processes that one fault kills, maxKillPause the time
	// until each is started again, and maxSeriesPause the time until the next is killed.
	maxKillsInSeries = 4
	maxKillPause     = 300 * time.Millisecond
	maxSeriesPause   = 1500 * time.Millisecond
	// maxRackSize limits the workers that restart at once, and maxRegistrationDelay the
	// time from the start of a worker until it is listed.
	maxRackSize          = 8
	maxRegistrationDelay = 1500 * time.Millisecond
	// maxLateCallPercent limits the share of calls that one fault holds up.
	maxLateCallPercent = 20
	// minCutDuration is added to the duration of cuts, and cutNearness how long before and
	// after a cut callers cancel more jobs.
	minCutDuration = 3 * time.Second
	cutNearness    = time.Second
	// entryLifetime is how long the entry of a worker that cannot check in stays, and
	// maxEntryReturn how long after that it takes at most to come back.
	entryLifetime  = 4500 * time.Millisecond
	maxEntryReturn = 2 * time.Second
	// maxEntryLapse limits how long entries of reachable workers are missing.
	maxEntryLapse = 10 * time.Second
	// lostAnswerDuration is how long a VM counts as disturbed by the loss of answers of the
	// store.
	lostAnswerDuration = time.Second
	// stormDuration is how long faults of all kinds begin, and lullDuration how long only
	// those of few kinds do before the next storm.
	stormDuration = 7 * time.Second
	lullDuration  = 12 * time.Second
	// takeOverInLull is when in each lull the leader is replaced while workers are not
	// listed.
	takeOverInLull = 3 * time.Second
)

// lullKinds are the kinds of faults that also begin in lulls: they leave the leader, the
// store and the calls to the workers alone.
var lullKinds = []string{"kill_keeper", "reload", "history_dropped", "configuration", "worker_restart", "entries_lapse"}

// drawDuration draws a duration below limit that is more often short than long.
func drawDuration(r *rand.Rand, limit time.Duration) time.Duration {
	x := r.Float64()
	return time.Duration(x * x * float64(limit))
}

// newPlan draws the faults of a run and leaves out those of some kinds.
func newPlan(r *rand.Rand, duration time.Duration, without []string) []fault {
	var plan []fault
	takenOver := false
	for at := quietStart; at < duration; at += drawDuration(r, maxFaultPause) {
		waits := false
		kind := faultKinds[r.IntN(len(faultKinds))].name
		if lull := (at-quietStart)%(stormDuration+lullDuration) - stormDuration; lull >= 0 {
			kind = lullKinds[r.IntN(len(lullKinds))]
			if lull >= takeOverInLull && !takenOver {
				kind, takenOver, waits = "lapse_and_kill_leader", true, true
			}
		} else {
			takenOver = false
		}
		f := fault{
			kind: kind, at: at, lasts: 300*time.Millisecond + drawDuration(r, maxFaultDuration),
			target: r.IntN(1 << 16), amount: r.IntN(100), waits: waits,
		}
		if !slices.Contains(without, f.kind) {
			plan = append(plan, f)
		}
	}
	return plan
}

// isFaultKind reports whether a kind of faults of the given name is drawn.
func isFaultKind(name string) bool {
	return slices.ContainsFunc(faultKinds, func(k faultKind) bool { return k.name == name })
}

// runFaults applies the faults of a plan and returns when the last one is over and the duration
// has passed. The file faults.log lists their times in the form of the logs of the VMs.
func (c *cell) runFaults(plan []fault, duration time.Duration) error {
	file, err := os.Create(filepath.Join(c.folder, "faults.log"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	log := slog.New(slog.NewTextHandler(file, nil))
	begun := time.Now()
	var wait sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(begun.Add(f.at)))
		wait.Go(func() {
			log := log.With("kind", f.kind, "target", f.target, "vm", c.vm(f).name, "domain", f.target%domainCount, "amount", f.amount)
			log.Info("fault_begins", "lasts", f.lasts)
			defer log.Info("fault_ended")
			for _, k := range slices.Concat(faultKinds, scheduleKinds) {
				if k.name != f.kind {
					continue
				}
				if err := k.apply(c, f); err != nil {
					c.ledger.report("processes start and stop", "%s of target %d: %s", f.kind, f.target, err)
				}
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Until(begun.Add(duration)))
	return nil
}
