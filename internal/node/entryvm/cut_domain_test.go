package entryvm_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

const (
	// cancelLimit and stopGrace bound, together, how long the runs of a cancelled job go on
	// while their workers can be reached and a VM leads.
	cancelLimit, stopGrace = 3 * time.Second, 900 * time.Millisecond
	// electionLimit is the time within which another VM leads once the leader was killed.
	electionLimit = 3 * time.Second
)

// lapseEntries removes the entries of the workers of a domain. Each returns between shortest
// and longest.
func (c *virtualCell) lapseEntries(domain int, shortest, longest time.Duration) {
	for i := domain; i < virtualWorkers; i += virtualDomains {
		c.setListed(i, false)
		time.AfterFunc(shortest+c.randomDuration(longest-shortest), func() { c.setListed(i, true) })
	}
}

// submitLasting submits a job whose tasks run for longer than the test.
func (c *virtualCell) submitLasting(id string, tasks int) {
	j := &work.Job{ID: id, Queue: "mail", Steps: []work.Step{{Count: tasks, Size: resource.Vector{Milliprocessors: 500, MemoryMebibytes: 100}, Estimate: time.Minute}}}
	c.fleet.addProfiles(j, func() time.Duration { return time.Hour })
	c.submit(j)
}

// playCutDomain cuts off a domain whose entries lapse, cancels jobs around the beginning of
// the cut and kills the leader, and a keeper in half of the seeds, before or after its end.
func (c *virtualCell) playCutDomain(t *testing.T) {
	const jobs, tasks = 6, 40
	time.Sleep(2 * time.Second)
	for i := range jobs {
		c.submitLasting(fmt.Sprintf("job-%d", i), tasks)
	}
	time.Sleep(3 * time.Second)
	domain, cut := c.random.IntN(virtualDomains), time.Second+c.randomDuration(2*time.Second)
	for i := range jobs / 2 {
		time.AfterFunc(c.randomDuration(600*time.Millisecond), func() {
			for n := c.leader(); ; n = (n + 1) % virtualVMs {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				err := c.node(n).Cancel(ctx, fmt.Sprintf("job-%d", i))
				cancel()
				if err == nil {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	c.cutOffZone(domain, cut)
	c.lapseEntries(domain, cut, cut+10*time.Second)
	time.Sleep(c.randomDuration(cut + time.Second))
	if c.random.IntN(2) == 0 {
		if keeper := (c.leader() + virtualDomains) % virtualVMs; keeper != c.leader() {
			c.network.freeze(c.processes[keeper].address, 8*time.Second)
		}
	}
	killed := c.leader()
	c.killVM(killed)
	time.Sleep(electionLimit)
	next := c.leader()
	c.is.True(next != killed)
	c.is.True(strings.Contains(c.metricsOf(next), "runs_without_session 0\n"))
	time.Sleep(max(time.Until(begun.Add(cut)), 0) + cancelLimit + stopGrace)
	for i := range jobs {
		if id := fmt.Sprintf("job-%d", i); i < jobs/2 {
			c.is.Equal(c.fleet.running(id), 0) // The job was cancelled.
		} else {
			c.is.Equal(c.fleet.running(id), tasks) // Its lease was extended in time.
		}
	}
	for i := range virtualVMs {
		if i != killed {
			c.killVM(i)
		}
	}
	time.Sleep(2 * maxLateness)
	for _, v := range c.fleet.violations {
		t.Error(v)
	}
}

// A domain was cut off, its entries lapsed and the leader was replaced. The next one had no
// sessions with the workers of the domain: the runs of cancelled jobs went on, and the others
// lapsed.
func TestRunsOfACutDomainAreHeldAndStoppedAfterATakeOver(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) { newVirtualCell(t, seed).playCutDomain(t) })
	})
}

// Pauses between failed holds grew until no hold was sent between the end of a cut and the end
// of the leases.
func TestRunsSurviveCutsShorterThanTheLease(t *testing.T) {
	for _, cut := range []time.Duration{3800 * time.Millisecond, 4150 * time.Millisecond, 4400 * time.Millisecond} {
		t.Run(cut.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newVirtualCell(t, 1)
				time.Sleep(2 * time.Second)
				c.submitLasting("job", virtualWorkers)
				time.Sleep(3 * time.Second)
				for i := range 8 {
					c.cutOffZone(1, cut)
					time.Sleep(15*time.Second + time.Duration(i)*170*time.Millisecond)
					c.is.Equal(c.fleet.running("job"), virtualWorkers)
				}
				c.is.Equal(c.fleet.starts, virtualWorkers) // No run has lapsed and begun again.
				for i := range virtualVMs {
					c.killVM(i)
				}
				time.Sleep(2 * maxLateness)
			})
		})
	}
}

// loseAllVMs ends all VMs at once and starts them again after a while, one after the other. In
// some cases the store refuses their calls for some time after that, or as soon as one has claimed
// leadership, for longer than a leader takes to give up.
func (c *virtualCell) loseAllVMs() {
	for i := range virtualVMs {
		c.killVM(i)
	}
	if c.random.IntN(2) == 0 {
		c.restartSomeWorkers()
	}
	time.Sleep(300*time.Millisecond + c.randomDuration(5700*time.Millisecond))
	claims, variant := len(c.store.Records(store.Claims, 0)), c.random.IntN(4)
	for _, i := range c.random.Perm(virtualVMs) {
		time.Sleep(c.randomDuration(100 * time.Millisecond))
		c.startVM(i)
		c.links[i].RefuseCalls(variant == 0)
	}
	away := c.randomDuration(3 * time.Second)
	switch variant {
	case 0:
	case 1:
		for len(c.store.Records(store.Claims, 0)) == claims {
			time.Sleep(time.Millisecond)
		}
		away = c.randomDuration(16 * time.Second)
		c.refuseStoreCalls(true)
	default:
		return
	}
	time.Sleep(away)
	c.refuseStoreCalls(false)
}

// refuseStoreCalls sets whether the store refuses the calls of all VMs.
func (c *virtualCell) refuseStoreCalls(on bool) {
	for _, l := range c.links {
		l.RefuseCalls(on)
	}
}

// storedJobs returns the IDs of the jobs that are stored, and of those of which a task was ever
// placed.
func (c *virtualCell) storedJobs() (stored []string, placed map[string]bool) {
	placed = map[string]bool{}
	for _, r := range c.store.Records(store.Progress, 0) {
		placed[r.Key] = true
	}
	for part := range 4 {
		for _, r := range c.store.Records(store.Jobs, part) {
			if len(r.Value) > 0 {
				stored = append(stored, r.Key)
			}
		}
	}
	return stored, placed
}

// playAllVMsLost loses all VMs, once or twice in a row, while jobs are stored, and checks that
// those of which no task was placed start, and that all complete.
func (c *virtualCell) playAllVMsLost(t *testing.T) {
	time.Sleep(2 * time.Second)
	c.submitLasting("lasting", 40)
	jobs := []*work.Job{}
	var stored []string
	var placed map[string]bool
	for range 1 + c.random.IntN(2) {
		for range 20 {
			j := c.newJob(len(jobs))
			jobs = append(jobs, j)
			time.AfterFunc(c.randomDuration(2*time.Second), func() { c.submit(j) })
		}
		time.Sleep(500*time.Millisecond + c.randomDuration(time.Second))
		if c.random.IntN(2) == 0 { // Jobs are stored of which no task is placed.
			c.network.freeze(c.processes[c.leader()].address, time.Minute)
		}
		time.Sleep(500 * time.Millisecond)
		stored, placed = c.storedJobs()
		c.loseAllVMs()
	}
	back := time.Now()
	time.Sleep(electionLimit + 3*time.Second)
	_, started := c.storedJobs()
	waited := 0
	for _, id := range stored {
		if placed[id] {
			continue
		}
		if waited++; !started[id] {
			t.Errorf("no task of job %s was placed", id)
		}
	}
	t.Logf("%d jobs were stored and not placed when the VMs were lost", waited)
	until := time.Now().Add(recoveryTimeout)
	for _, j := range jobs {
		if !c.awaitCompleted(j.ID, until) {
			t.Errorf("job %s does not complete", j.ID)
		}
	}
	// A run may exist until no process executes its start any more and its lease has ended.
	time.Sleep(time.Until(back.Add(electionLimit + 3*time.Second + maxOrderDelay + 6300*time.Millisecond + 6*time.Second)))
	if n := c.fleet.running("lasting"); n != 40 {
		t.Errorf("%d of 40 lasting tasks run", n)
	}
	for i := range virtualVMs {
		c.killVM(i)
	}
	time.Sleep(2 * maxLateness)
	for _, v := range c.fleet.violations {
		t.Error(v)
	}
}

// All VMs were lost at once, and accepted jobs did not run once they were back.
func TestAcceptedJobsRunOnceAllVMsAreBack(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) { newVirtualCell(t, seed).playAllVMsLost(t) })
	})
}
