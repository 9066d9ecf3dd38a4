package entryvm

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// maxHungPoll is how long a read of the leader that gets no answer may keep a new
// configuration from it. All VMs whose reads hang too wait for the leader.
const maxHungPoll = 1500 * time.Millisecond

// The store answered no read of its configuration for seconds. The reads that were sent
// meanwhile hung on when it was back, those of the leader for 3 s.
func TestConfigurationIsReadSoonAfterReadsHung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		link := memory.NewLink(c.store)
		l := c.lead(link)
		defer c.end(l)
		l.node.dependencies.DecodeTable = func([]byte) (*queue.Table, error) { return &queue.Table{Version: 2}, nil }
		_, _ = c.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: "other", Value: []byte("1")}}})
		go l.node.configuration.run(l.node.ctx)
		time.Sleep(5 * time.Second)
		link.SilenceWaitingReads()
		_, _ = c.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: configurationKey, Value: []byte("{}")}}})
		time.Sleep(maxHungPoll)
		is.Equal(l.node.configuration.currentVersion(), int64(2))
	})
}

// A VM whose waiting read hung learned of a new configuration only from the leader, and when that one
// was lost, the next leader began to count anew. The VM must read it itself.
func TestConfigurationIsReadAgainOnceHeartbeatsTellANewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		link := memory.NewLink(c.store)
		n := c.startNode("vm-1", link)
		defer func() {
			n.cancel()
			time.Sleep(time.Minute)
		}()
		n.dependencies.DecodeTable = func([]byte) (*queue.Table, error) { return &queue.Table{Version: 2}, nil }
		_, _ = c.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: "other", Value: []byte("1")}}})
		go n.configuration.run(n.ctx)
		time.Sleep(5 * time.Second)
		link.SilenceWaitingReads()
		_, _ = c.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: configurationKey, Value: []byte("{}")}}})
		for i := range 3 { // The leader is lost after the second heartbeat, and the next one is slow.
			time.Sleep([]time.Duration{200, 250, 900}[i] * time.Millisecond)
			is.NoErr((&rpcHandler{node: n}).Heartbeat(HeartbeatArgs{Epoch: 1, Leader: "vm-0", Version: 2}, &HeartbeatReply{}))
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(n.configuration.currentVersion(), int64(2))
	})
}

// A read that a VM sends while the store answers nothing hangs on when the store is back, for 20 s
// if the VM doesn't lead.
func TestReadsAfterAnUnansweredCallAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second }).startNode("vm-1", nil)
		defer n.cancel()
		wait, _ := n.longPollWait(0)
		is.Equal(wait, longPollWait)
		time.Sleep(time.Second)
		n.longPolls.interruptIfDue()
		wait, margin := n.longPollWait(0)
		is.True(wait+margin <= maxHungPoll)
		time.Sleep(longPollWait + storeCallTimeout)
		wait, _ = n.longPollWait(0)
		is.Equal(wait, longPollWait)
	})
}
