package entryvm

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// configurationKey is the key of the configuration record.
const configurationKey = "config"

// configurationPollWait is how long the store may wait for a new configuration before it
// answers a read, where callers have keys. Each answer shows that the current configuration is the newest, so the
// wait is much shorter than that of other topics. The answer itself may take as long as a
// snapshot, since it can be a large configuration; checkPeriodically does not wait for it.
const configurationPollWait = 500 * time.Millisecond

// configurationWatcher keeps the newest configuration that was published in the store.
// It never replaces a version by an older one.
type configurationWatcher struct {
	node  *Node
	mutex sync.Mutex
	// table is the newest known configuration, or nil before the first one.
	table *queue.Table
	// storeCheckedAt is when the last completed read of the configuration from the store
	// began: no configuration that was stored before it is missing. peersCheckedAt is when
	// the last comparison of versions with a VM of another failure domain began. Both are
	// zero before the first time.
	storeCheckedAt, peersCheckedAt time.Time
	// nextOffset is the offset in the topic after the last record that was read, or -1
	// before the first one.
	nextOffset int64
	// failedStoreChecks is the number of failed calls of checkStore since the last completed
	// read.
	failedStoreChecks int
	// checkingStore, checkingPeers and fetching are true while a goroutine reads from the
	// store, asks other VMs for their versions, or fetches a configuration from one.
	checkingStore, checkingPeers, fetching atomic.Bool
}

func newConfigurationWatcher(n *Node) *configurationWatcher {
	return &configurationWatcher{node: n, nextOffset: -1}
}

// currentTable returns the newest known configuration, or nil before the first one.
func (c *configurationWatcher) currentTable() *queue.Table {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.table
}

// currentVersion returns the version of the current configuration, or 0 before the first one.
func (c *configurationWatcher) currentVersion() int64 {
	if table := c.currentTable(); table != nil {
		return table.Version
	}
	return 0
}

// run applies each configuration that is stored, until ctx is done.
func (c *configurationWatcher) run(ctx context.Context) {
	if c.node.settings.TeamKeys {
		go c.checkPeriodically(ctx)
	}
	followTopic(ctx, c.node, topicFollower{
		topic: store.Configuration, wait: c.pollWait, apply: c.applyRecords, completed: c.recordStoreRead,
	})
}

// pollWait returns how long the store may wait for a new configuration, and by how much its
// answer may exceed that.
func (c *configurationWatcher) pollWait(timeouts int) (wait, margin time.Duration) {
	if !c.node.settings.TeamKeys {
		return c.node.longPollWait(timeouts)
	}
	return configurationPollWait, snapshotTimeout
}

// applyRecords applies the configuration records among the records.
func (c *configurationWatcher) applyRecords(records []store.Record) {
	for i := range records {
		if records[i].Key == configurationKey && len(records[i].Value) > 0 {
			c.applyIfNewer(records[i].Value, "store")
		}
	}
}

// recordStoreRead records a completed read, whose records were applied, and when it began.
func (c *configurationWatcher) recordStoreRead(batch store.Batch, begun time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nextOffset, c.failedStoreChecks = batch.Next, 0
	if batch.ReachesEnd() && begun.After(c.storeCheckedAt) {
		c.storeCheckedAt = begun
	}
}

// applyCompressed makes a configuration that another VM passes on the current one if its
// version is higher.
func (c *configurationWatcher) applyCompressed(a ConfigurationArgs) error {
	if a.Version <= c.currentVersion() {
		return nil
	}
	text, err := decompress(a.Text, maxConfigurationSize)
	if err != nil {
		c.node.log.Error(err, "configuration_unreadable", "source", "peer")
		return err
	}
	c.applyIfNewer(text, "peer")
	return nil
}

// queueHistograms names the histograms whose label is the name of a queue.
var queueHistograms = []string{"first_start", "completed", "advice", "job_stored"}

// applyIfNewer decodes a configuration and makes it the current one if its version is
// higher. source tells where it came from, for the log.
func (c *configurationWatcher) applyIfNewer(text []byte, source string) {
	table, err := c.node.dependencies.DecodeTable(text)
	if err != nil {
		c.node.log.Error(err, "configuration_unreadable", "source", source)
		return
	}
	c.mutex.Lock()
	old := int64(0)
	if c.table != nil {
		old = c.table.Version
	}
	if table.Version <= old {
		c.mutex.Unlock()
		return
	}
	c.table = table
	c.mutex.Unlock()
	c.node.measures.ForgetHistograms(queueHistograms, func(name string) bool { return table.Queue(name) == nil })
	c.node.log.Info("configuration_accepted", "version", table.Version, "before", old, "source", source, "queues", len(table.Queues))
	if l := c.node.activeLeader(); l != nil {
		l.setTable(table)
	}
}
