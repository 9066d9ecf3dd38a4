package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

const (
	// scheduleDuration, scheduleVMs and scheduleWorkers are the options that a schedule sets.
	scheduleDuration = 30 * time.Second
	scheduleVMs      = 9
	scheduleWorkers  = 21
	// callersPerWorker is the number of callers per worker while a schedule is played.
	callersPerWorker = 3
	// restartPause is how long after all VMs were killed they start again.
	restartPause = 200 * time.Millisecond
	// affectedShare is the share of the workers that a step of a schedule affects, as a divisor.
	affectedShare = 7
	// spreadProbability is the share of jobs whose tasks take minSpread to maxSpread.
	spreadProbability = 0.7
	minSpread         = time.Second
	maxSpread         = 8 * time.Second
)

// schedule is a plan of faults that is not drawn. Its faults are in the order of their times.
type schedule struct {
	name string
	plan []fault
}

var (
	leaderKilled = fault{kind: "kill_leader", at: 6 * time.Second}
	storeAway    = fault{kind: "store_down", at: 14400 * time.Millisecond, lasts: 5 * time.Second}
	workersLost  = fault{kind: "lose_workers", at: 18 * time.Second}
	allKilled    = fault{kind: "kill_all", at: 19300 * time.Millisecond}
)

// schedules are variants of one outage: all VMs are killed about when the store returns, after
// something has happened to workers.
var schedules = []schedule{
	{"workers_lost", []fault{leaderKilled, storeAway, workersLost, allKilled}},
	{"workers_cut_off", []fault{leaderKilled, storeAway, {kind: "cut_workers", at: 18 * time.Second, lasts: 8 * time.Second}, allKilled}},
	{"workers_frozen", []fault{leaderKilled, storeAway, {kind: "freeze_workers", at: 18 * time.Second, lasts: 4 * time.Second}, allKilled}},
	{"entries_lapse", []fault{leaderKilled, storeAway, {kind: "lapse_workers", at: 18 * time.Second, lasts: 8 * time.Second}, allKilled}},
	{"nobody_lost", []fault{leaderKilled, storeAway, allKilled}},
	{"kill_at_return", []fault{leaderKilled, storeAway, workersLost, {kind: "kill_all", at: storeAway.at + storeAway.lasts}}},
	{"kill_after_confirmation", []fault{
		leaderKilled, storeAway, workersLost,
		{kind: "kill_all_after_completion", at: 18300 * time.Millisecond, lasts: 4 * time.Second},
		{kind: "kill_all_after_completion", at: 24 * time.Second, lasts: 4 * time.Second},
	}},
}

// scheduleKinds are the kinds of faults that are not drawn.
var scheduleKinds = []faultKind{
	{"kill_all", func(c *cell, _ fault) error { return c.killAll(func() time.Duration { return restartPause }) }},
	{"kill_all_after_completion", func(c *cell, f fault) error {
		c.ledger.awaitCompletion(f.lasts)
		return c.killAll(func() time.Duration { return restartPause })
	}},
	{"lose_workers", func(c *cell, f fault) error { c.loseWorkers(c.affected(f)); return nil }},
	{"cut_workers", func(c *cell, f fault) error { return c.silenceWorkers(f, false) }},
	{"freeze_workers", func(c *cell, f fault) error { return c.silenceWorkers(f, true) }},
	{"lapse_workers", func(c *cell, f fault) error {
		return c.lapseEntries(c.affectedWorkers(f), func() { time.Sleep(f.lasts) })
	}},
}

// findSchedule returns the index of a schedule, or -1.
func findSchedule(name string) int {
	return slices.IndexFunc(schedules, func(s schedule) bool { return s.name == name })
}

// scheduleNames lists the names of the schedules.
func scheduleNames() string {
	names := make([]string, len(schedules))
	for i, s := range schedules {
		names[i] = s.name
	}
	return strings.Join(names, ", ")
}

// affected returns the numbers of the workers that a step of a schedule affects. They are of
// all failure domains.
func (c *cell) affected(f fault) []int {
	var numbers []int
	for i := f.target % affectedShare; i < len(c.workers); i += affectedShare {
		numbers = append(numbers, i)
	}
	return numbers
}

func (c *cell) affectedWorkers(f fault) []*worker {
	var workers []*worker
	for _, i := range c.affected(f) {
		workers = append(workers, c.workers[i])
	}
	return workers
}

// silence is a fault in which a worker answers nothing.
type silence struct {
	// over is closed when the fault ends.
	over chan struct{}
	// frozen is true if the worker then executes the calls that have reached it meanwhile.
	frozen bool
}

// silenceWorkers makes workers answer nothing for a while. Their entries lapse if it takes long,
// and come back.
func (c *cell) silenceWorkers(f fault, frozen bool) error {
	workers, s := c.affectedWorkers(f), &silence{make(chan struct{}), frozen}
	var wait sync.WaitGroup
	var err error
	if lapse := f.lasts - entryLifetime; lapse > 0 {
		wait.Go(func() {
			time.Sleep(entryLifetime)
			err = c.lapseEntries(workers, func() { time.Sleep(lapse + rand.N(maxEntryReturn)) })
		})
	}
	disturb(func() {
		for _, w := range workers {
			w.silence.Store(s)
		}
		time.Sleep(f.lasts)
		for _, w := range workers {
			w.silence.Store(nil)
		}
		close(s.over)
	}, disturbancesOf(workers)...)
	wait.Wait()
	return err
}

// newSpreadJob draws a job of one step, so that some tasks are about to end at any moment.
func (c *caller) newSpreadJob(id string) *work.Job {
	return &work.Job{ID: id, Payload: "payload", Steps: []work.Step{{
		Count: 1 + c.random.IntN(2), Size: resource.Vector{Milliprocessors: 200, MemoryMebibytes: 64},
		Estimate: minSpread + time.Duration(c.random.Int64N(int64(maxSpread-minSpread))),
	}}}
}
