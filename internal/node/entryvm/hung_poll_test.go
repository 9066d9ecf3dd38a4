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
