package entryvm

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// replacementTrial replaces all entry VMs again and again, while faults act on the store and
// on the workers.
type replacementTrial struct {
	storeFaults
	ledger  *replacementLedger
	workers *faultyWorkers
	// link is the connection of the current leader to the store, and calm is true if no faults
	// act on it.
	leader *leader
	// leadingNode is the entry VM of leader, for goroutines other than that of the test.
	leadingNode atomic.Pointer[Node]
	link        *memory.Link
	calm        bool
	// former holds the earlier leaders that may still run.
	former []*leader
	// startedAt is when the leader started, and replaceAt when it is replaced.
	startedAt, replaceAt time.Time
	// awayUntil is when the store answers again.
	awayUntil time.Time
	// kept is how long the states of ended jobs are kept.
	kept time.Duration
	// quiet is true if workers are only missing in their list, and partitionAway if the first
	// leader can't call a job partition for longer than states are kept.
	quiet, partitionAway bool
	// appendBytes is the largest size of an append.
	appendBytes int
	// orderDelay is the longest time after which a worker may execute a start.
	orderDelay time.Duration
}

const (
	// shortRetention is the time for which some trials keep the states of ended jobs. It is
	// longer than any submission is late.
	shortRetention = 15 * time.Second
	// callTimeout is how long a caller waits until a job is stored.
	callTimeout = 2 * time.Second
)

func newReplacementTrial(seed uint64) *replacementTrial {
	c := &replacementTrial{storeFaults: storeFaults{random: rand.New(rand.NewPCG(seed, 2)), end: time.Now().Add(faultDuration)}, kept: time.Hour, orderDelay: maxLateCall + 2*longestFreeze}
	if c.draw(2) == 0 {
		c.kept = shortRetention
	}
	c.quiet = c.draw(3) == 0
	if c.partitionAway = c.quiet && c.draw(3) == 0; c.partitionAway {
		c.kept = shortRetention
	}
	large := c.draw(10) == 0
	if c.appendBytes = smallAppendBytes; large {
		c.appendBytes = 1 << 16
	}
	s := memory.New()
	s.LimitAppends(c.appendBytes, c.appendBytes)
	c.ledger = newReplacementLedger(newRunLedger(s), c.draw)
	f := memory.NewObservedFleet(c.profile, c.ledger)
	c.workers = &faultyWorkers{store: s, fleet: f, ledger: c.ledger, draw: c.draw, quiet: c.quiet}
	c.ledger.calmSince = c.workers.calmSince
	c.trial = &leaderTrial{store: s, fleet: f, table: &queue.Table{Version: 1, Queues: []queue.Queue{{Name: "mail", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}}}
	for i := range trialWorkers {
		c.workers.start(i)
		c.workers.list(i, true)
	}
	if large {
		c.storeLargeJob()
	}
	return c
}

// storeLargeJob stores a repeated job of which the completed occurrences are dropped.
func (c *replacementTrial) storeLargeJob() {
	j := &work.Job{ID: "large", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 520, Size: resource.Vector{Milliprocessors: 10}}}, Repeat: &work.Repeat{Count: 3, Start: time.Now()}}
	c.ledger.jobs[j.ID] = j
	c.jobs = append(c.jobs, j.ID)
	_, _ = c.trial.store.Append(store.Append{Topic: store.Jobs, Records: []store.Record{{Key: j.ID, Value: work.Encode(j)}}})
}

// profile returns how the next run of a task behaves.
func (c *replacementTrial) profile(id work.TaskID) fleet.TaskProfile {
	p := fleet.TaskProfile{RunTime: c.between(20*time.Millisecond, time.Second), Size: resource.Vector{Milliprocessors: 300}}
	if c.draw(4) == 0 {
		p.RunTime = c.between(time.Second, 9*time.Second)
	}
	switch {
	case id.Job == "large":
		p = fleet.TaskProfile{RunTime: c.between(20*time.Millisecond, 200*time.Millisecond), Size: resource.Vector{Milliprocessors: 10}}
	case strings.HasPrefix(id.Job, "failing"):
		p.Fails = true
	case strings.HasPrefix(id.Job, "lasting"):
		p.Lasting = true
	case strings.HasPrefix(id.Job, "flaky"):
		p.Fails = c.draw(4) == 0
	}
	return p
}

// newJob returns a job of a random kind.
func (c *replacementTrial) newJob() *work.Job {
	size := resource.Vector{Milliprocessors: 300}
	j := &work.Job{Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1 + c.draw(3), Size: size}}}
	kind := []string{"single", "steps", "steps", "gang", "repeated", "flaky", "failing"}[c.draw(7)]
	switch kind {
	case "steps":
		j.Steps = append(j.Steps, work.Step{Count: 1 + c.draw(2), Size: size}, work.Step{Count: 1 + c.draw(2), Size: size, After: []int{0, 1}})
	case "gang":
		j.Steps = append(j.Steps, work.Step{Count: 2 + c.draw(2), Size: size, After: []int{0}, Gang: true})
	case "repeated":
		j.Steps = append(j.Steps, work.Step{Count: 1, Size: size, After: []int{0}})
		j.Repeat = &work.Repeat{Count: 2 + c.draw(2), Start: time.Now(), Interval: c.between(0, 2*time.Second)}
	}
	j.ID = fmt.Sprintf("%s-%03d", kind, len(c.jobs))
	return j
}

// submit submits a job, and sometimes one again, or cancels one.
func (c *replacementTrial) submit() {
	n := c.leader.node
	call := func(f func(ctx context.Context)) {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		defer cancel()
		f(ctx)
	}
	j := c.newJob()
	c.ledger.mutex.Lock()
	c.ledger.jobs[j.ID] = j
	id := c.jobs[max(0, len(c.jobs)-1-c.draw(8)):]
	c.jobs = append(c.jobs, j.ID)
	c.ledger.mutex.Unlock()
	first := *j // Submit sets the definition of the queue.
	go call(func(ctx context.Context) { _ = n.Submit(ctx, &first) })
	if len(id) == 0 {
		return
	}
	switch c.draw(5) {
	case 0:
		again := *c.ledger.jobs[id[0]]
		if time.Since(again.Accepted) < maxResubmission {
			go call(func(ctx context.Context) { _ = n.Submit(ctx, &again) })
		}
	case 1:
		c.ledger.mutex.Lock()
		c.ledger.cancelled[id[0]] = true
		c.ledger.mutex.Unlock()
		go call(func(ctx context.Context) { _ = n.Cancel(ctx, id[0]) })
	}
}

// maxResubmission is how long after its submission a job is submitted again.
const maxResubmission = 5 * time.Second

// count counts a situation.
func (c *replacementTrial) count(what string) {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	c.ledger.counts[what]++
}

// harmWorker makes a random fault act on a random worker.
func (c *replacementTrial) harmWorker() {
	i, fault := c.draw(trialWorkers), c.draw(5)
	if c.quiet && c.draw(20) > 0 {
		fault = 0
	}
	switch fault {
	case 0:
		c.unlist(i)
	case 1:
		c.count("worker_restarted")
		c.workers.start(i)
		time.AfterFunc(c.between(0, 2*time.Second), func() { c.workers.list(i, true) })
	case 2:
		c.count("worker_lost")
		c.workers.end(i)
		time.AfterFunc(c.between(time.Second, 10*time.Second), func() {
			c.workers.start(i)
			c.workers.list(i, true)
		})
	case 3:
		c.count("worker_cut_off")
		c.workers.cut(i, c.between(200*time.Millisecond, 10*time.Second))
	case 4:
		c.count("worker_frozen")
		c.workers.freeze(i, c.between(200*time.Millisecond, longestFreeze))
	}
}

// unlist removes the entry of a worker for seconds.
func (c *replacementTrial) unlist(i int) {
	c.count("worker_unlisted")
	c.workers.list(i, false)
	time.AfterFunc(c.between(time.Second, 14*time.Second), func() { c.workers.list(i, true) })
}

// takeStoreAway makes the store refuse or not answer all calls for seconds.
func (c *replacementTrial) takeStoreAway() {
	c.count("store_away")
	away := c.between(time.Second, 6*time.Second)
	c.awayUntil, c.calm = time.Now().Add(away), false
	link := c.link
	if c.draw(2) == 0 {
		link.LateAppends(1+c.draw(3), c.executeLate)
		time.Sleep(c.between(0, 100*time.Millisecond))
	}
	link.RefuseCalls(true)
	time.AfterFunc(away, func() { link.RefuseCalls(false) })
}

// replace replaces all entry VMs by a new leader.
func (c *replacementTrial) replace() {
	c.ledger.mutex.Lock()
	if c.ledger.counts["leaders"]++; time.Since(c.ledger.lastFinal) < 100*time.Millisecond {
		c.ledger.counts["replaced_just_after_something_final"]++
	}
	c.ledger.alarmed, c.ledger.leaderCalmSince = false, time.Time{}
	c.ledger.mutex.Unlock()
	if c.draw(4) == 0 {
		c.count("all_workers_unlisted")
		for i := range trialWorkers {
			c.unlist(i)
		}
	}
	if old := c.leader; old != nil {
		if c.draw(3) > 0 {
			old.node.cancel()
			for c.draw(3) == 0 {
				c.harmWorker()
			}
			pause := 300 * time.Millisecond
			if c.draw(4) == 0 {
				pause = 5 * time.Second
			}
			time.Sleep(c.between(0, pause))
		} else {
			c.count("deposed_leader_goes_on")
			time.AfterFunc(c.between(0, 3*time.Second), old.node.cancel)
		}
		c.former = append(c.former, old)
	}
	c.lead()
}

// lead starts a VM that leads with the next epoch.
func (c *replacementTrial) lead() {
	s := memory.NewLink(c.trial.store)
	s.LimitPages(1 + c.draw(8))
	s.HideChangesBetweenPages(c.draw(2) == 0)
	switch c.draw(4) {
	case 0:
		s.DelayAppends(store.Progress, c.between(0, 400*time.Millisecond))
	case 1:
		s.LateAppends(1, c.executeLate)
	}
	if away := time.Until(c.awayUntil); away > 0 {
		c.count("leader_started_without_store")
		s.RefuseCalls(true)
		time.AfterFunc(away, func() { s.RefuseCalls(false) })
	}
	c.trial.epoch++
	n := c.trial.startNode("vm-0", s)
	n.settings.MaxRecordBytes, n.settings.MaxAppendBytes = c.appendBytes, c.appendBytes
	n.settings.Timing.EndedJobRetention, n.settings.Timing.MaxOrderDelay = c.kept, c.orderDelay
	n.dependencies.Dial = c.workers.dial
	l := newLeader(n.ctx, n, c.trial.epoch)
	l.leasesClosedSince = 1
	if c.leader != nil { // The heartbeats of the last leader told this.
		n.progressHistory.Merge(c.leader.node.progressHistory.Points(time.Now()), time.Now())
	}
	n.swapLeader(nil, l)
	go l.run()
	c.leadingNode.Store(n)
	c.leader, c.link, c.startedAt, c.calm = l, s, time.Now(), c.draw(2) == 0 || c.quiet
	c.replaceAt = time.Now().Add(c.between(200*time.Millisecond, 6*time.Second))
	if c.quiet && c.draw(3) == 0 {
		c.replaceAt = time.Now().Add(c.between(9*time.Second, 14*time.Second))
	}
	if c.partitionAway && l.epoch == 1 {
		c.count("partition_away")
		s.LateAppends(0, nil)
		s.DelayAppends(store.Progress, 0)
		time.AfterFunc(2*time.Second, func() { s.RefusePartition(1, true) })
		c.replaceAt = c.end.Add(-500 * time.Millisecond)
	}
	if !c.calm && time.Now().Before(c.end) {
		go c.act(n.ctx, s)
	}
}

// ask asks the leaders for the states of all jobs, and checks the answers.
func (c *replacementTrial) ask() {
	now := time.Now()
	c.workers.fleet.Advance(now)
	leaders := append(slices.Clone(c.former[max(0, len(c.former)-2):]), c.leader)
	for _, l := range leaders {
		for _, id := range c.jobs {
			reply, _ := l.jobStatus(id)
			c.ledger.checkStatus(id, l.epoch, reply, c.kept)
		}
	}
	l := c.leader
	l.mutex.Lock()
	restored, stopped := l.restored, l.ctx.Err() != nil
	l.mutex.Unlock()
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	if !c.calm || !restored {
		c.ledger.leaderCalmSince = time.Time{}
	} else if c.ledger.leaderCalmSince.IsZero() {
		c.ledger.leaderCalmSince = now
	}
	if restored && stopped {
		c.ledger.violate("the leader of epoch %d has stopped without a successor", l.epoch)
	}
}

// play lets the faults act until the end of the trial. It returns what went wrong.
func (c *replacementTrial) play() []string {
	c.lead()
	for time.Now().Before(c.end) {
		time.Sleep(c.between(2*time.Millisecond, 40*time.Millisecond))
		c.ask()
		switch c.draw(60) {
		case 0, 1, 2, 3:
			c.submit()
		case 4:
			c.harmWorker()
		case 5:
			if c.draw(4) == 0 && time.Now().After(c.awayUntil) && !c.partitionAway {
				c.takeStoreAway()
			}
		}
		c.ledger.mutex.Lock()
		alarmed := c.ledger.alarmed && (!c.partitionAway || c.leader.epoch > 1) && time.Since(c.startedAt) > 400*time.Millisecond
		c.ledger.mutex.Unlock()
		if alarmed || time.Now().After(c.replaceAt) {
			c.replace()
		}
	}
	return c.finish()
}

// finish lets the last leader run all jobs, ends it and returns what went wrong.
func (c *replacementTrial) finish() []string {
	for range 80 { // All workers are listed again, and late calls executed.
		time.Sleep(150 * time.Millisecond)
		c.ask()
	}
	c.leader.node.cancel()
	c.workers.setQuiet()
	c.former = nil
	c.lead()
	c.link.LateAppends(0, nil)
	c.link.DelayAppends(store.Progress, 0)
	for range 400 {
		time.Sleep(150 * time.Millisecond)
		c.ask()
	}
	c.ledger.mutex.Lock()
	for _, id := range c.jobs {
		if _, ok := c.ledger.told[id]; !ok {
			if reply, _ := c.leader.jobStatus(id); reply.Known || !reply.Leading {
				c.ledger.violate("job %s is still %q", id, reply.State)
			}
		}
	}
	c.ledger.mutex.Unlock()
	c.leader.node.cancel()
	time.Sleep(time.Minute)
	return c.ledger.broken()
}

// The store is away, workers are lost, frozen, cut off or missing in their list, and calls are
// executed late, while all entry VMs are replaced again and again. What was told to callers
// or acknowledged to workers must remain so.
func TestNothingFinalIsTakenBack(t *testing.T) {
	checkTrials(t, func(seed uint64) (violations []string, counts map[string]int) {
		c := newReplacementTrial(seed)
		return c.play(), c.ledger.counts
	})
}

// checkTrials plays trials with random seeds, each in a bubble, and logs the sums of their counts.
func checkTrials(t *testing.T, play func(seed uint64) (violations []string, counts map[string]int)) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			var occurred map[string]int
			violations, occurred = play(seed)
			for what, n := range occurred {
				counts[what] += n
			}
		})
		if counts["checks"]++; len(violations) > 0 {
			t.Logf("check %d has failed", counts["checks"])
			rt.Fatalf("%d violations, first: %v", len(violations), violations[:min(len(violations), 8)])
		}
	})
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%s: %d", what, counts[what])
	}
}
