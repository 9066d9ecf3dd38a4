package entryvm_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
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
