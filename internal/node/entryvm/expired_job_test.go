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

// The store executed a submission without an answer, and the caller submitted the job again,
// which went to another partition. The first one could not be read until the state of the
// completed job had expired. Then the job was taken for a new one.
func TestSubmissionReadAfterItsJobHasExpiredIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const retention = 20 * time.Second
		c := newLeaderTrial(func(work.TaskID) time.Duration { return 100 * time.Millisecond })
		stored := memory.NewLink(c.store)
		l := c.leadWithRetention(stored, retention)
		defer c.end(l)
		time.Sleep(time.Second)
		stored.RefusePartition(1, true)
		c.storeJob("job", 1)
		l.addStoredJobs([]store.Record{c.storeJob("job", 0)})
		time.Sleep(2 * retention)
		stored.RefusePartition(1, false)
		time.Sleep(2 * retention)
		is.Equal(c.ledger.startCount(firstTaskOf("job")), 1)
		for part := range trialPartitions {
			newest, err := stored.Newest(t.Context(), store.Jobs, part)
			is.NoErr(err)
			is.Equal(len(newest.Records), 0) // Both submissions are deleted in the end.
		}
		_, known := l.scheduler.Status("job")
		is.True(!known) // The state expires nevertheless.
	})
}
