package entryvm

import (
	"context"
	"sync"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// configurationKey is the key of the configuration record.
const configurationKey = "config"

// configurationWatcher keeps the newest configuration that was published in the store.
// It never replaces a version by an older one.
type configurationWatcher struct {
	node  *Node
	mutex sync.Mutex
	// table is the newest known configuration, or nil before the first one.
	table *queue.Table
}

func newConfigurationWatcher(n *Node) *configurationWatcher { return &configurationWatcher{node: n} }

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
	followTopic(ctx, c.node, store.Configuration, func(records []store.Record) {
		for i := range records {
			if records[i].Key == configurationKey && len(records[i].Value) > 0 {
				c.applyIfNewer(records[i].Value, "store")
			}
		}
	})
}

// applyCompressed makes a configuration that another VM passes on the current one if its
// version is higher.
func (c *configurationWatcher) applyCompressed(a ConfigurationArgs) error {
	if a.Version <= c.currentVersion() {
		return nil
	}
	text, err := decompress(a.Text)
	if err != nil {
		c.node.log.Error(err, "configuration_unreadable", "source", "peer")
		return err
	}
	c.applyIfNewer(text, "peer")
	return nil
}

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
	c.node.log.Info("configuration_accepted", "version", table.Version, "before", old, "source", source, "queues", len(table.Queues))
	if l := c.node.activeLeader(); l != nil {
		l.setTable(table)
	}
}
