package entryvm

import (
	"context"
	"strings"
	"testing"
	"time"
)

// seriesTrial lets leaders follow one another while lasting jobs are submitted and cancelled and
// workers restart, drain, are replaced or cut off and one is lost, and checks that accepted work
// goes on.
type seriesTrial struct{ *lostVMsTrial }

// replaceLeader starts a leader, and ends the present one up to 3 s later.
func (c *seriesTrial) replaceLeader() {
	c.count("deposed_leader_goes_on")
	old := c.leader
	time.AfterFunc(c.between(0, 3*time.Second), old.node.cancel)
	c.former = append(c.former, old)
	c.lead()
	c.awaitRestored()
}

// loseLeader ends the VM of the leader, and starts another leader up to 1.3 s later.
func (c *seriesTrial) loseLeader() {
	c.count("leader_lost")
	c.leader.node.cancel()
	c.former = append(c.former, c.leader)
	time.Sleep(c.between(50*time.Millisecond, 1300*time.Millisecond))
	c.lead()
	c.awaitRestored()
}

// loseWorker ends the process of the losable worker for good.
func (c *seriesTrial) loseWorker() {
	c.count("worker_lost_for_good")
	c.workers.end(c.losable)
	c.lostAt[workerID(c.losable)] = time.Now()
	time.AfterFunc(c.between(0, 2*time.Second), func() { c.workers.list(c.losable, false) })
}

// endStays cancels each lasting job that has been accepted since the last call, after 1 to 20 s,
// except for one in four.
func (c *seriesTrial) endStays(known map[string]bool) {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	for _, id := range c.jobs {
		if c.accepted[id] == nil || known[id] {
			continue
		}
		known[id] = true
		if strings.HasPrefix(id, "lasting") && c.draw(4) > 0 {
			time.AfterFunc(c.between(time.Second, 20*time.Second), func() { c.cancel(id) })
		}
	}
}

// cancel cancels a job, again and again until a VM has stored that.
func (c *seriesTrial) cancel(id string) {
	c.count("stay_ended")
	c.ledger.mutex.Lock()
	c.ledger.cancelled[id], c.ended[id] = true, true // From now on it need not run.
	c.ledger.mutex.Unlock()
	for range 60 {
		n := c.leadingNode.Load()
		ctx, stop := context.WithTimeout(n.ctx, callTimeout)
		err := n.Cancel(ctx, id)
		if stop(); err == nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// play replaces the leader 5 to 10 times, 1 to 6 s apart, and returns what went wrong.
func (c *seriesTrial) play() []string {
	known := map[string]bool{}
	c.losable = c.draw(faultyTrialWorkers)
	c.lead()
	c.awaitRestored()
	takeOvers := 5 + c.draw(6)
	lossAt := 1 + c.draw(takeOvers)
	for i := range takeOvers {
		if i == lossAt {
			c.loseWorker()
		}
		for range 1 + c.draw(4) {
			c.submitLater(2500 * time.Millisecond)
		}
		if c.draw(2) == 0 {
			c.harm(2 * time.Second)
		}
		for next := time.Now().Add(c.between(time.Second, 6*time.Second)); time.Now().Before(next); {
			time.Sleep(50 * time.Millisecond)
			c.checkWaiting()
		}
		c.endStays(known)
		if c.draw(2) == 0 {
			c.loseLeader()
		} else {
			c.replaceLeader()
		}
	}
	return c.finishCalmly()
}

// Users saw lasting tasks that did not run beside free capacity after leaders had followed one
// another (issue 56).
func TestAcceptedWorkRunsAfterTakeOversInSeries(t *testing.T) {
	checkTrials(t, func(seed uint64) (violations []string, counts map[string]int) {
		c := &seriesTrial{newLostVMsTrial(seed)}
		return c.play(), c.ledger.counts
	})
}
