package entryvm

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// A leader that does not know yet that it is deposed reads the cancellation of a job and tells
// it. Its successor reads it a second later, when the job has completed.
func TestCancellationToldByDeposedLeaderStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return 5 * time.Second })
		c.storeJob("job", 0)
		slow := memory.NewLink(c.store)
		first := c.lead(slow)
		time.Sleep(4500 * time.Millisecond)
		slow.DelayAppends(store.Progress, 400*time.Millisecond)
		second := c.lead(memory.NewLink(c.store))
		defer c.end(second)
		defer first.node.cancel()
		time.Sleep(100 * time.Millisecond)
		is.NoErr(first.node.Cancel(t.Context(), "job"))
		time.Sleep(100 * time.Millisecond)
		told, _ := first.jobStatus("job")
		time.Sleep(4 * time.Second)
		reply, _ := second.jobStatus("job")
		is.True(reply.Leading)
		if told.Known && told.State.Ended() {
			is.Equal(reply.State, told.State)
		}
	})
}

// A leader can't call one job partition for longer than the states of ended jobs are kept. It
// knows a job there only from the VM that has stored it, and another record of the job from
// the other partition. The next leader must not run the job again.
func TestJobInUnreadPartitionIsNotRunAgain(t *testing.T) {
	scenarios := []struct {
		testName string
		// key is the key of the other record.
		key string
	}{
		{"submitted again", "job"},
		{"cancelled", "job" + cancelKeySuffix},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newLeaderTrial(func(work.TaskID) time.Duration { return 3 * time.Second })
				link := memory.NewLink(c.store)
				first := c.leadWithRetention(link, shortRetention)
				time.Sleep(time.Second)
				link.RefusePartition(1, true)
				record := c.storeJob("job", 1)
				is.True(first.addStoredJobs([]store.Record{record}))
				time.Sleep(time.Second)
				_, err := c.store.Append(store.Append{Topic: store.Jobs, Records: []store.Record{{Key: s.key, Value: record.Value}}})
				is.NoErr(err)
				time.Sleep(5 * time.Second)
				told, _ := first.jobStatus("job")
				is.True(told.State.Ended())
				time.Sleep(2 * shortRetention)
				first.node.cancel()
				second := c.lead(memory.NewLink(c.store))
				defer c.end(second)
				time.Sleep(5 * time.Second)
				reply, _ := second.jobStatus("job")
				is.True(!reply.Known || reply.State == told.State)
				is.Equal(c.ledger.startCount(firstTaskOf("job")), 1)
			})
		})
	}
}
