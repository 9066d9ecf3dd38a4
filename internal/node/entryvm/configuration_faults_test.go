package entryvm_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/node/entryvm"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// applyLimit is the time from the publication of a configuration within which every VM must
// apply it if one VM reaches the store and the VM is not cut off. After that time, no VM may
// answer callers by an older one.
const applyLimit = 3 * time.Second

// publishVersion stores a version of the configuration.
func (c *virtualCell) publishVersion(version int64) {
	text, err := json.Marshal(queue.Table{Version: version, Queues: []queue.Queue{{Name: "mail", Host: "h", Prefix: "/", Service: "desk"}}})
	c.is.NoErr(err)
	c.append(store.Configuration, "config", text)
}

// answersBy returns the version by which a VM answers callers, or 0 if it refuses them.
func answersBy(n *entryvm.Node) int64 {
	if n.Table() == nil || !n.ConfigurationConfirmed() {
		return 0
	}
	return n.Table().Version
}

func (c *virtualCell) isKilled(i int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.processes[i].isKilled()
}

// killAll ends the test: it kills all VMs and waits until nothing is under way.
func (c *virtualCell) killAll() {
	for i := range virtualVMs {
		if !c.isKilled(i) {
			c.killVM(i)
		}
	}
	time.Sleep(2 * maxLateness)
}

// watchVersions checks until d has passed that no VM applies an older configuration than
// before, and that after applyLimit none answers by an older version than the given one, which was
// just published. It returns how long each VM took to apply it, or d.
func (c *virtualCell) watchVersions(t *testing.T, version int64, d time.Duration) [virtualVMs]time.Duration {
	begun := time.Now()
	var took [virtualVMs]time.Duration
	var highest [virtualVMs]int64
	var nodes [virtualVMs]*entryvm.Node
	reported := map[string]bool{}
	report := func(text string) {
		if !reported[text] {
			reported[text] = true
			t.Errorf("%s after %s", text, time.Since(begun))
		}
	}
	for i := range took {
		took[i] = d
	}
	for time.Since(begun) < d {
		for i := range virtualVMs {
			n := c.node(i)
			if c.isKilled(i) {
				continue
			}
			if n != nodes[i] {
				nodes[i], highest[i] = n, 0
			}
			answered := answersBy(n)
			if answered != 0 && answered < highest[i] {
				report(fmt.Sprintf("vm-%d fell back from version %d to %d", i, highest[i], answered))
			}
			highest[i] = max(highest[i], answered)
			if answered != 0 && answered < version && time.Since(begun) > applyLimit {
				report(fmt.Sprintf("vm-%d answers by version %d", i, answered))
			}
			if answered == version && took[i] == d {
				took[i] = time.Since(begun)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return took
}

// storeFaults are the ways in which the store fails a VM.
var storeFaults = []struct {
	testName string
	set      func(l *memory.Link, on bool)
}{
	{"refused", (*memory.Link).RefuseCalls},
	{"reset", (*memory.Link).ResetCalls},
	{"not answered", (*memory.Link).SilenceCalls},
}

// storeFaultEvent is what happens when a version is published.
type storeFaultEvent struct {
	testName string
	// play returns the number of a VM that need not apply the version, or -1.
	play func(c *virtualCell, fail func(l *memory.Link, on bool)) int
}

var storeFaultEvents = []storeFaultEvent{
	{"the leader goes on", func(*virtualCell, func(*memory.Link, bool)) int { return -1 }},
	{"the leader ends", func(c *virtualCell, _ func(*memory.Link, bool)) int {
		leader := c.leader()
		c.killVM(leader)
		return leader
	}},
	{"the leader is cut off", func(c *virtualCell, _ func(*memory.Link, bool)) int {
		leader := c.leader()
		c.network.freeze(c.processes[leader].address, 5*time.Second)
		return leader
	}},
	{"the leader restarts", func(c *virtualCell, fail func(*memory.Link, bool)) int {
		leader := c.leader()
		c.killVM(leader)
		c.startVM(leader)
		fail(c.links[leader], true)
		return leader // It may know no other VM. It must not answer by an older version.
	}},
	{"another VM restarts", func(c *virtualCell, fail func(*memory.Link, bool)) int {
		vm := (c.leader() + 3) % virtualVMs
		c.killVM(vm)
		c.startVM(vm)
		fail(c.links[vm], true)
		return -1 // The leader knows it from before.
	}},
}

// playStoreFault makes the store fail all VMs but one, which does not lead, and publishes a
// version after the given time.
func playStoreFault(t *testing.T, seed uint64, fail func(l *memory.Link, on bool), before time.Duration, event storeFaultEvent) {
	c := newVirtualCell(t, seed)
	defer c.killAll()
	time.Sleep(3 * time.Second)
	reaching := (c.leader() + 1) % virtualVMs
	for i := range virtualVMs {
		if i != reaching {
			fail(c.links[i], true)
		}
	}
	time.Sleep(before)
	if c.leader() == reaching { // Leadership is handed over to a VM that reaches the store.
		fail(c.links[reaching], true)
		reaching = (reaching + 1) % virtualVMs
		fail(c.links[reaching], false)
		time.Sleep(100 * time.Millisecond)
	}
	exempt := event.play(c, fail)
	c.publishVersion(9)
	for i, took := range c.watchVersions(t, 9, 8*time.Second) {
		t.Logf("vm-%d: %s", i, took)
		if i != exempt && took > applyLimit {
			t.Errorf("vm-%d has not applied the version within %s", i, applyLimit)
		}
	}
}

// VMs that the store fails must get a configuration through the one VM that reads it, also
// while the leader is replaced. A VM that cannot get it must not answer callers.
func TestConfigurationReachesVMsThatTheStoreFails(t *testing.T) {
	for _, f := range storeFaults {
		for _, e := range storeFaultEvents {
			for _, before := range []time.Duration{0, 1500 * time.Millisecond, 6 * time.Second} {
				t.Run(fmt.Sprintf("%s, %s, %s", f.testName, e.testName, before), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playStoreFault(t, 1, f.set, before, e) })
				})
			}
		}
	}
}

// A VM that was cut off or suspended must not answer by its old configuration when the cut
// ends, before it has read the new one. A new process can also be cut off while it reads its
// first configuration, which is then outdated when it arrives.
func TestConfigurationAfterACut(t *testing.T) {
	scenarios := []struct {
		testName string
		// restart makes the VM restart just before the cut. hang makes its reads that
		// wait at the beginning of the cut get no answer when it ends.
		restart, hang bool
		cut           time.Duration
	}{
		{"a short cut", false, false, 3200 * time.Millisecond},
		{"a cut", false, false, 6 * time.Second},
		{"a cut after which connections are silent", false, true, 6 * time.Second},
		{"a cut longer than the timeouts of all reads", false, true, 25 * time.Second},
		{"a cut while the first configuration is read", true, false, 6 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newVirtualCell(t, 1)
				defer c.killAll()
				time.Sleep(3 * time.Second)
				vm := (c.leader() + 1) % virtualVMs
				if s.restart {
					c.killVM(vm)
					c.startVM(vm)
					time.Sleep(time.Millisecond) // The VM reads its first configuration after 2 ms.
				}
				c.network.freeze(c.processes[vm].address, s.cut)
				time.Sleep(10 * time.Millisecond)
				if s.hang {
					c.links[vm].SilenceWaitingReads()
				}
				c.publishVersion(9)
				took := c.watchVersions(t, 9, s.cut+3*time.Second)[vm]
				t.Logf("applied %s after the cut", took+10*time.Millisecond-s.cut)
				c.is.True(took < s.cut+time.Second)
			})
		})
	}
}

// While the store fails all VMs, nobody can publish a configuration that others read. Callers
// must then still be answered.
func TestConfigurationStaysConfirmedWhileTheStoreFailsAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVirtualCell(t, 1)
		defer c.killAll()
		time.Sleep(3 * time.Second)
		for _, l := range c.links {
			l.RefuseCalls(true)
		}
		for range 2000 {
			time.Sleep(5 * time.Millisecond)
			for i := range virtualVMs {
				c.is.True(c.node(i).ConfigurationConfirmed())
			}
		}
	})
}

// The connections of all reads that wait for a configuration went silent. No VM can then tell
// another that there is a newer one.
func TestConfigurationIsReadAlthoughAllWaitingReadsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVirtualCell(t, 1)
		defer c.killAll()
		time.Sleep(3 * time.Second)
		for _, l := range c.links {
			l.SilenceWaitingReads()
		}
		c.publishVersion(9)
		for i, took := range c.watchVersions(t, 9, 5*time.Second) {
			t.Logf("vm-%d: %s", i, took)
			c.is.True(took <= applyLimit)
		}
	})
}
