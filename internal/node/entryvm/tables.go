package entryvm

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// configurationKey is the key of the configuration in its topic.
const configurationKey = "config"

// tables follows the configuration. A version is never replaced by an older one.
type tables struct {
	node  *Node
	mutex sync.Mutex
	table *queue.Table
}

func newTables(n *Node) *tables { return &tables{node: n} }

func (t *tables) current() *queue.Table {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.table
}

func (t *tables) version() int64 {
	if v := t.current(); v != nil {
		return v.Version
	}
	return 0
}

func (t *tables) run(ctx context.Context) {
	follow(ctx, t.node, store.Configuration, t.followWait, func(records []store.Record) {
		for i := range records {
			if records[i].Key == configurationKey && len(records[i].Value) > 0 {
				t.accept(records[i].Value, "store")
			}
		}
	})
}

// accept puts a configuration in force if it is newer.
func (t *tables) accept(text []byte, source string) {
	table, err := t.node.peers.DecodeTable(text)
	if err != nil {
		t.node.log.Error(err, "configuration_unreadable", "source", source)
		return
	}
	t.mutex.Lock()
	old := int64(0)
	if t.table != nil {
		old = t.table.Version
	}
	if table.Version <= old {
		t.mutex.Unlock()
		return
	}
	t.table = table
	t.mutex.Unlock()
	t.node.log.Info("configuration_accepted", "version", table.Version, "before", old, "source", source, "queues", len(table.Queues))
	if l := t.node.leading(); l != nil {
		l.setTable(table)
	}
}

// leaderFollowWait takes the place of followWait at a leader: the others learn a
// configuration from it where their connections to the store have gone silent, and a
// read that hangs must not keep it from the leader for long.
const leaderFollowWait = 1500 * time.Millisecond

func (t *tables) followWait() time.Duration {
	if t.node.leading() != nil {
		return leaderFollowWait
	}
	return followWait
}
