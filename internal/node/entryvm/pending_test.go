package entryvm_test

import (
	"context"
	"testing"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/entryvm"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// largeJob returns a job that fits no worker, so that it stays pending.
func largeJob(id string) *work.Job {
	return &work.Job{ID: id, Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1, Size: resource.Vector{Milliprocessors: 64000}}}}
}

// submitLarge submits a job that stays pending, and waits until the leader knows it.
func (f *fixture) submitLarge(n *entryvm.Node, id string) {
	f.is.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f.is.NoErr(n.Submit(ctx, largeJob(id)))
	f.awaitState(n, id, work.Queued)
}

// pending asks an entry VM for the number of pending jobs.
func (f *fixture) pending(n *entryvm.Node) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return n.Pending(ctx, "mail")
}

// awaitPending waits until an entry VM returns the expected number of pending jobs.
func (f *fixture) awaitPending(n *entryvm.Node, expected int) {
	f.is.Helper()
	count, err := -1, error(nil)
	for end := time.Now().Add(testTimeout); time.Now().Before(end) && (err != nil || count != expected); time.Sleep(20 * time.Millisecond) {
		count, err = f.pending(n)
	}
	f.is.NoErr(err)
	f.is.Equal(count, expected)
}

// A VM that the leader does not reach accepts a job in a partition that the leader cannot
// read. The leader must not give a number that lacks the job.
func TestLeaderThatMissesJobsGivesNoNumber(t *testing.T) {
	f := newFixture(t, 1, 50*time.Millisecond)
	f.leaderIndex()
	f.awaitPending(f.nodes[0], 0)
	f.addSilentVM(t, "silent")
	f.storeLinks[0].RefusePartition(3, true)
	time.Sleep(2500 * time.Millisecond)
	job := largeJob("job")
	_, err := f.store.Append(store.Append{Topic: store.Jobs, Part: 3, Records: []store.Record{{Key: job.ID, Value: work.Encode(job)}}})
	f.is.NoErr(err)
	count, err := f.pending(f.nodes[0])
	f.is.Equal(fault.KindOf[entryvm.Kind](err), entryvm.KindNoLeader) // The caller can ask again.
	f.is.Equal(count, 0)
	f.storeLinks[0].RefusePartition(3, false)
	f.awaitPending(f.nodes[0], 1)
}

// A leader gives the number of pending jobs while reads are slow, but not while it cannot
// read a partition.
func TestPendingJobsWhileTheStoreIsImpaired(t *testing.T) {
	scenarios := []struct {
		testName string
		impair   func(f *fixture)
		kind     entryvm.Kind
	}{
		{"the store is away for all VMs", func(f *fixture) {
			for _, l := range f.storeLinks {
				l.RefuseCalls(true)
			}
		}, entryvm.KindNoLeader},
		{"a partition is away for all VMs", func(f *fixture) {
			for _, l := range f.storeLinks {
				l.RefusePartition(3, true)
			}
		}, entryvm.KindNoLeader},
		{"reads take most of the time by which they may be old", func(f *fixture) {
			for _, l := range f.storeLinks {
				l.DelayCalls(1400 * time.Millisecond)
			}
		}, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, 50*time.Millisecond)
			f.leaderIndex()
			f.submitLarge(f.nodes[0], "before")
			s.impair(f)
			time.Sleep(2500 * time.Millisecond)
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				for _, n := range f.nodes {
					count, err := f.pending(n)
					f.is.Equal(fault.KindOf[entryvm.Kind](err), s.kind)
					if s.kind == "" {
						f.is.Equal(count, 1)
					}
				}
			}
		})
	}
}
