package entryvm

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// A new leader waits for seconds for one job partition, after it has read the other records.
// What was stored in those meanwhile must count before it starts anything.
func TestRecordsStoredDuringALongTakeOverCountBeforeAnyStart(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(c *leaderTrial)
	}{
		{"the job is cancelled", func(c *leaderTrial) {
			_, _ = c.store.Append(store.Append{Topic: store.Jobs, Records: []store.Record{{Key: "job" + cancelKeySuffix, Value: []byte{1}}}})
		}},
		{"all workers drain", func(c *leaderTrial) {
			for _, r := range c.store.Records(store.Workers, 0) {
				var w backend.Registration
				_ = json.Unmarshal(r.Value, &w)
				w.Draining, w.Remaining = true, time.Minute
				value, _ := json.Marshal(w)
				_, _ = c.store.Append(store.Append{Topic: store.Workers, Records: []store.Record{{Key: r.Key, Value: value}}})
			}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Minute })
				c.storeJob("job", 0)
				link := memory.NewLink(c.store)
				link.RefusePartition(1, true)
				l := c.lead(link)
				defer c.end(l)
				time.Sleep(3 * time.Second)
				s.change(c)
				time.Sleep(3 * time.Second)
				link.RefusePartition(1, false)
				time.Sleep(5 * time.Second)
				is.Equal(c.ledger.startCount(firstTaskOf("job")), 0)
			})
		})
	}
}
