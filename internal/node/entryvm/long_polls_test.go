package entryvm_test

import (
	"testing"
	"time"

	"github.com/almondpost/almondpost/internal/peer/store"
)

// configurationLimit is how long after its publication a configuration may take to come into
// force on all VMs.
const configurationLimit = 2 * time.Second

// A VM began to lead while its read of the configuration, with the long wait of a VM that
// does not lead, got no answer. For 20 s it and all VMs whose reads hung too served an old
// configuration. The same must not happen if the leader alone can't read it.
func TestConfigurationIsAppliedWhileReadsHang(t *testing.T) {
	scenarios := []struct {
		testName string
		hang     func(f *fixture, leader int) (closed int)
	}{
		{"the reads of all VMs that do not lead hang, then one begins to lead", func(f *fixture, leader int) int {
			f.silenceWaitingReads(leader)
			f.nodes[leader].Close()
			time.Sleep(2 * time.Second)
			return leader
		}},
		{"the reads of all VMs hang as well as an append of the leader", func(f *fixture, leader int) int {
			f.silenceWaitingReads(-1)
			f.storeLinks[leader].LoseAnswers(1)
			time.Sleep(time.Second)
			return -1
		}},
		{"one VM alone can read it", func(f *fixture, leader int) int {
			f.storeLinks[leader].SilenceTopic(store.Configuration)
			f.storeLinks[(leader+1)%3].SilenceTopic(store.Configuration)
			return -1
		}},
		{"no read of the leader is answered", func(f *fixture, leader int) int {
			f.storeLinks[leader].SilenceTopic(store.Configuration)
			return -1
		}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, 50*time.Millisecond)
			leader := f.leaderIndex()
			time.Sleep(300 * time.Millisecond)
			closed := sc.hang(f, leader)
			f.publishConfiguration(9, "newer")
			end := time.Now().Add(configurationLimit)
			for i, n := range f.nodes {
				for i != closed && n.Table().Version != 9 && time.Now().Before(end) {
					time.Sleep(5 * time.Millisecond)
				}
				f.is.True(i == closed || n.Table().Version == 9)
			}
		})
	}
}

// silenceWaitingReads makes the waiting reads of all VMs but one get no answer.
func (f *fixture) silenceWaitingReads(except int) {
	for i, l := range f.storeLinks {
		if i != except {
			l.SilenceWaitingReads()
		}
	}
}
