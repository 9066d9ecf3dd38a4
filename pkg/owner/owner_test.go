package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/pkg/entry"
	"github.com/almondpost/almondpost/pkg/owner"
	"github.com/almondpost/almondpost/pkg/plan"
	"github.com/almondpost/almondpost/pkg/resource"
	"github.com/almondpost/almondpost/pkg/vmlist"
	"github.com/almondpost/almondpost/pkg/worker"
)

var capacity = resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1000, Slots: 1, Connections: 1}

// idleWorker accepts everything and ends nothing.
type idleWorker struct{ started int }

func (w *idleWorker) Adopt(context.Context, worker.AdoptRequest) (worker.AdoptReply, error) {
	return worker.AdoptReply{Accepted: true, Capacity: capacity}, nil
}

func (w *idleWorker) Start(_ context.Context, q worker.StartRequest) (worker.Record, error) {
	w.started++
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

type silentObserver struct{}

func (silentObserver) Started(entry.Task, time.Duration) {}

// TestWorkerIsUsedUntilItIsFenced assigns a worker away whose new owner has not
// adopted it yet.
func TestWorkerIsUsedUntilItIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		w := &idleWorker{}
		o := owner.New(ctx, "o", 1, owner.DefaultTiming, 10, func(vmlist.VM) worker.Peer { return w }, silentObserver{}, logr.Discard())
		x, err := plan.NewIndex(plan.Lists{
			Customers:    plan.Customers{Customers: []plan.Customer{{Name: "c", Plans: []string{"p"}}}},
			Entitlements: plan.Entitlements{Plans: []plan.Entitlement{{Plan: "p", PromisedShare: 1, LimitShare: 1, QueueLimit: 10, Classes: plan.Classes[:]}}},
		})
		is.NoErr(err)
		o.SetPlans(x)
		o.Assign([]vmlist.VM{{Name: "w"}})
		time.Sleep(time.Second)
		o.Assign(nil)
		time.Sleep(time.Second)
		s, err := o.Run(entry.RunArgs{Epoch: o.Epoch(), Wait: time.Second, Task: entry.Task{Attempt: "t/1", Plan: "p", Class: plan.Urgent, Size: capacity}})
		is.NoErr(err)
		is.Equal(s.State, entry.Running)
		is.Equal(w.started, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}
