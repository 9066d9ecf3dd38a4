package scheduler_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// The key of a worker record was cut off if the ID of the worker was nearly as long as a key may
// be, and the next leader could not read the record.
func TestRecordOfAWorkerWithALongID(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	timing := scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}
	first := scheduler.New(timing, 1, now, now, logr.Discard())
	first.AppendConfirmed(now)
	first.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "mail", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	worker := addHeldWorkers(first, 1, now, "desk")[0]
	worker.Life.ID, worker.Address = strings.Repeat("i", store.MaxKeyBytes), netip.MustParseAddrPort("10.0.0.1:8400")
	first.SetWorkers([]backend.Registration{worker}, now)
	_, sent, _ := first.NextHold(worker.Life, now)
	first.HoldAnswered(worker.Life, sent, &backend.Report{Life: worker.Life, Clock: time.Minute}, now)
	first.Submit(&work.Job{ID: "job", Queue: "mail", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}, now)
	first.Schedule(now)
	var records []store.Record
	for _, r := range first.NextCommit(now).Records {
		is.True(len(r.Key) <= store.MaxKeyBytes)
		if scheduler.IsWorkerRecord(&r) {
			records = append(records, r)
		}
	}
	is.Equal(len(records), 1)
	second := scheduler.New(timing, 2, now, now, logr.Discard())
	second.RestoreWorkers(records, now)
	sessions := second.TakeEffects().SessionsToOpen
	is.Equal(len(sessions), 1)
	is.Equal(sessions[0].Life, worker.Life)
}
