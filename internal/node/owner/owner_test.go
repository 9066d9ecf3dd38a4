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

// capacity is the capacity of the worker. One attempt of runArgs uses all of it.
var capacity = resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1000, Slots: 1, Connections: 1}

// idleWorker accepts every call and never ends an attempt.
type idleWorker struct {
	starts int
	// startDelay is how long a start call takes.
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

// TestWorkerIsUsedUntilItIsFenced checks that an owner still starts attempts on
// a worker that is no longer assigned to it while no other owner has adopted
// the worker. Otherwise the worker would be idle in the meantime.
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

// blockingObserver blocks the loop of the owner at the start of one attempt, as a freeze
// of the process does.
type blockingObserver struct {
	attempt  string
	duration time.Duration
}

func (b blockingObserver) Started(t entry.Task, _ time.Duration) {
	if t.Attempt == b.attempt {
		time.Sleep(b.duration)
	}
}

// TestPausedOwnerRefusesEarlierCalls checks that an owner whose process was
// frozen refuses a call that carries the epoch from before the freeze, and
// accepts calls with the new epoch. The holder may have given up the attempt in
// the meantime, so a late start could run its task twice. Attempts that waited
// during the freeze are given up.
func TestPausedOwnerRefusesEarlierCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &idleWorker{startDelay: time.Minute}
		o, stop := startOwner(is, w, blockingObserver{"first/1", entry.HolderLease})
		epochBeforePause := o.Epoch()
		// The limit of the plan delays the start of first/1 until SetPlans raises it: the
		// loop holds the lock while it is blocked, and the clock of synctest stands still
		// while a goroutine waits for a lock, as a Run call could that has just admitted
		// an attempt.
		o.SetPlans(planIndex(is, 0.5))
		small := runArgs(epochBeforePause, "small/1")
		small.Task.Size = resource.Vector{Milliprocessors: 1}
		_, err := o.Run(small)
		is.NoErr(err)
		first := runArgs(epochBeforePause, "first/1")
		first.Task.Size = resource.Vector{Milliprocessors: 900}
		_, err = o.Run(first)
		is.NoErr(err)
		o.SetPlans(planIndex(is, 1))
		time.Sleep(2 * entry.HolderLease)
		_, err = o.Run(runArgs(epochBeforePause, "late/1"))
		is.True(errors.Is(err, entry.ErrEpochMismatch))
		is.True(o.Epoch() > epochBeforePause)
		_, err = o.Run(runArgs(o.Epoch(), "new/1"))
		is.NoErr(err)
		stop()
		time.Sleep(5 * time.Minute)
	})
}

// startOwner returns an owner that has adopted the worker w, and a function
// that stops it.
func startOwner(is *is.I, w worker.Peer, observer owner.Observer) (*owner.Owner, context.CancelFunc) {
	is.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := owner.New(ctx, "o", 1, owner.DefaultTiming, owner.Limits{MaxWaiting: 10, PayloadBytes: 1000}, func(vmlist.VM) worker.Peer { return w }, observer, logr.Discard())
	o.SetPlans(planIndex(is, 1))
	o.Assign([]vmlist.VM{{Name: "w"}})
	time.Sleep(time.Second)
	return o, cancel
}

// planIndex returns the plans of a customer whose only plan may use a fraction of the pool.
func planIndex(is *is.I, limit float64) *plan.Index {
	is.Helper()
	x, err := plan.NewIndex(plan.Lists{
		Customers:    plan.Customers{Customers: []plan.Customer{{Name: "c", Plans: []string{"p"}}}},
		Entitlements: plan.Entitlements{Plans: []plan.Entitlement{{Plan: "p", PromisedShare: limit, LimitShare: limit, QueueLimit: 10, Classes: plan.Classes[:]}}},
	})
	is.NoErr(err)
	return x
}

// runArgs returns the arguments of a Run call that does not wait until the
// attempt ends.
func runArgs(epoch uint64, attempt string) entry.RunArgs {
	return entry.RunArgs{Epoch: epoch, Wait: time.Millisecond, Task: entry.Task{Attempt: attempt, Plan: "p", Class: plan.Urgent, Size: capacity}}
}

// TestPayloadLimitIsEnforced checks that an attempt is refused when its payload
// does not fit into the payload limit, and that the end of an attempt frees its
// part of the limit.
func TestPayloadLimitIsEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, stop := startOwner(is, &idleWorker{}, noopObserver{})
		largeRun := func(attempt string) entry.RunArgs {
			a := runArgs(o.Epoch(), attempt)
			a.Task.Payload = make([]byte, 400)
			return a
		}
		for _, attempt := range []string{"a/1", "b/1"} {
			s, err := o.Run(largeRun(attempt))
			is.NoErr(err)
			is.True(s.State != entry.NotRun)
		}
		s, err := o.Run(largeRun("c/1"))
		is.NoErr(err)
		is.Equal(s.State, entry.NotRun)
		is.NoErr(o.Cancel(entry.CancelArgs{Attempt: "b/1"}))
		s, err = o.Run(largeRun("d/1"))
		is.NoErr(err)
		is.Equal(s.State, entry.Waiting)
		stop()
		time.Sleep(time.Minute)
	})
}
