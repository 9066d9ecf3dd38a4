package owner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/owner"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/peer/worker"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

var capacity = resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1000, Slots: 1, Connections: 1}

// idleWorker accepts everything and ends nothing.
type idleWorker struct {
	starts int
	// startDelay is how long a start takes.
	startDelay time.Duration
}

func (w *idleWorker) Adopt(context.Context, worker.AdoptRequest) (worker.AdoptReply, error) {
	return worker.AdoptReply{Accepted: true, Capacity: capacity}, nil
}

func (w *idleWorker) Start(_ context.Context, q worker.StartRequest) (worker.Record, error) {
	w.starts++
	time.Sleep(w.startDelay)
	return worker.Record{Attempt: q.Attempt, Phase: worker.Running}, nil
}

func (w *idleWorker) Sync(ctx context.Context, q worker.SyncRequest) (worker.SyncReply, error) {
	select {
	case <-ctx.Done():
	case <-time.After(q.Wait):
	}
	return worker.SyncReply{}, ctx.Err()
}

func (w *idleWorker) Stop(context.Context, worker.StopRequest) (worker.StopReply, error) {
	return worker.StopReply{}, nil
}

type noopObserver struct{}

func (noopObserver) Started(entry.Task, time.Duration) {}

// TestWorkerIsUsedUntilItIsFenced assigns a worker away whose new owner has not
// adopted it yet.
func TestWorkerIsUsedUntilItIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &idleWorker{}
		o, stop := startOwner(is, w, noopObserver{})
		o.Assign(nil)
		time.Sleep(time.Second)
		s, err := o.Run(runArgs(o.Epoch(), "t/1"))
		is.NoErr(err)
		is.Equal(s.State, entry.Running)
		is.Equal(w.starts, 1)
		stop()
		time.Sleep(time.Minute)
	})
}

// blockingObserver stops the owner's loop at the first start, as a freeze of the
// process does.
type blockingObserver struct {
	duration   time.Duration
	hasBlocked bool
}

func (p *blockingObserver) Started(entry.Task, time.Duration) {
	if !p.hasBlocked {
		p.hasBlocked = true
		time.Sleep(p.duration)
	}
}

// TestPausedOwnerRefusesEarlierCalls pauses an owner. A call that was meant for
// it before the pause is refused, and what waited is given up.
func TestPausedOwnerRefusesEarlierCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &idleWorker{startDelay: time.Minute}
		o, stop := startOwner(is, w, &blockingObserver{duration: entry.HolderLease})
		before := o.Epoch()
		_, err := o.Run(runArgs(before, "first/1"))
		is.NoErr(err)
		time.Sleep(2 * entry.HolderLease)
		_, err = o.Run(runArgs(before, "late/1"))
		is.True(errors.Is(err, entry.ErrEpoch))
		is.True(o.Epoch() > before)
		_, err = o.Run(runArgs(o.Epoch(), "new/1"))
		is.NoErr(err)
		stop()
		time.Sleep(5 * time.Minute)
	})
}

// startOwner returns an owner that has adopted a worker, and how to stop it.
func startOwner(is *is.I, w worker.Peer, observer owner.Observer) (*owner.Owner, context.CancelFunc) {
	is.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := owner.New(ctx, "o", 1, owner.DefaultTiming, owner.Limits{Waiting: 10, PayloadBytes: 1000}, func(vmlist.VM) worker.Peer { return w }, observer, logr.Discard())
	x, err := plan.NewIndex(plan.Lists{
		Customers:    plan.Customers{Customers: []plan.Customer{{Name: "c", Plans: []string{"p"}}}},
		Entitlements: plan.Entitlements{Plans: []plan.Entitlement{{Plan: "p", PromisedShare: 1, LimitShare: 1, QueueLimit: 10, Classes: plan.Classes[:]}}},
	})
	is.NoErr(err)
	o.SetPlans(x)
	o.Assign([]vmlist.VM{{Name: "w"}})
	time.Sleep(time.Second)
	return o, cancel
}

func runArgs(epoch uint64, attempt string) entry.RunArgs {
	return entry.RunArgs{Epoch: epoch, Wait: time.Millisecond, Task: entry.Task{Attempt: attempt, Plan: "p", Class: plan.Urgent, Size: capacity}}
}

// TestPayloadsAreBounded fills the payload limit; what ends makes room again.
func TestPayloadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, stop := startOwner(is, &idleWorker{}, noopObserver{})
		large := func(attempt string) entry.RunArgs {
			a := runArgs(o.Epoch(), attempt)
			a.Task.Payload = make([]byte, 400)
			return a
		}
		for _, attempt := range []string{"a/1", "b/1"} {
			s, err := o.Run(large(attempt))
			is.NoErr(err)
			is.True(s.State != entry.NotRun)
		}
		s, err := o.Run(large("c/1"))
		is.NoErr(err)
		is.Equal(s.State, entry.NotRun)
		is.NoErr(o.Cancel(entry.CancelArgs{Attempt: "b/1"}))
		s, err = o.Run(large("d/1"))
		is.NoErr(err)
		is.Equal(s.State, entry.Waiting)
		stop()
		time.Sleep(time.Minute)
	})
}
