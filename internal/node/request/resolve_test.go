package request_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/decide/retry"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/owner"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/peer/worker"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// lostReplyPeers has two owners. The reply of the owner "gone" to its first Run
// call is lost, and the owner is not reachable afterwards. The owner "other"
// verifies at once that it holds every worker.
type lostReplyPeers struct {
	fakeDomain
	runCallCount int
}

func (p *lostReplyPeers) Targets() []request.Target {
	return []request.Target{
		{Name: "gone", Epoch: 1, Domain: "d", FreeFraction: 1, Usable: p.runCallCount == 0, Reachable: false},
		{Name: "other", Epoch: 1, Domain: "d", FreeFraction: 1, Usable: true, Reachable: true},
	}
}

func (p *lostReplyPeers) Workers(string) []string { return []string{"w"} }

func (p *lostReplyPeers) Run(_ context.Context, t request.Target, _ entry.RunArgs) (entry.Status, error) {
	p.runCallCount++
	if t.Name == "gone" {
		return entry.Status{}, fault.New("Run", entry.KindUnknown, errors.New("lost"))
	}
	return entry.Status{State: entry.Finished, Answer: []byte("answer")}, nil
}

func (p *lostReplyPeers) Resolve(context.Context, request.Target, entry.ResolveArgs) (entry.ResolveReply, error) {
	return entry.ResolveReply{Epoch: 1, Verified: map[string]time.Duration{"w": 0}}, nil
}

// firstUsableRouter routes to the first usable target that was not tried.
type firstUsableRouter struct{}

func (firstUsableRouter) Route(targets []request.Target, _ plan.Class, tried map[string]bool) (request.Target, bool) {
	for _, t := range targets {
		if t.Usable && !tried[t.Name] {
			return t, true
		}
	}
	return request.Target{}, false
}

// TestSecondAttemptWaitsOutTheFormerOwner checks that no second attempt begins
// before entry.HolderLease has passed. Until then the former owner, whose reply
// was lost, may still start the first attempt.
func TestSecondAttemptWaitsOutTheFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &lostReplyPeers{}
		r := request.New(p, firstUsableRouter{}, retry.New(1, 1), request.DefaultTiming, logr.Discard())
		began := time.Now()
		o := r.Run(context.Background(), request.Work{ID: "t", Spec: request.Spec{Repeatable: true, Class: plan.Urgent}})
		is.Equal(o.State, request.Done)
		is.Equal(p.runCallCount, 2)
		is.True(time.Since(began) >= entry.HolderLease)
	})
}

// TestWaitingAttemptIsDroppedWithoutItsHolder checks that an owner does not
// start a waiting attempt whose holder has not called within entry.HolderLease.
// The holder may have made another attempt by then.
func TestWaitingAttemptIsDroppedWithoutItsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &runHistory{runningWorkers: map[string]int{}, startCounts: map[string]int{}, events: map[string][]string{}, startedAt: time.Now()}
		net := &fakeNetwork{random: rand.New(rand.NewPCG(1, 1)), history: h, reliable: true}
		w := &fakeWorker{network: net, name: "w", records: map[string]*worker.Record{}, changed: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		o := owner.New(ctx, "o", 1, owner.DefaultTiming, owner.Limits{MaxWaiting: 10, PayloadBytes: 1 << 20}, func(vmlist.VM) worker.Peer { return workerLink{w, "o"} }, noopObserver{}, logr.Discard())
		x, err := plan.NewIndex(plan.Lists{
			Customers:    plan.Customers{Customers: []plan.Customer{{Name: "c", Plans: []string{"p"}}}},
			Entitlements: plan.Entitlements{Plans: []plan.Entitlement{{Plan: "p", PromisedShare: 1, LimitShare: 1, QueueLimit: 10, Classes: plan.Classes[:]}}},
		})
		is.NoErr(err)
		o.SetPlans(x)
		o.Assign([]vmlist.VM{{Name: "w"}})
		time.Sleep(time.Second)
		run := func(id string, runTime time.Duration) {
			_, err := o.Run(entry.RunArgs{Epoch: o.Epoch(), Task: entry.Task{Attempt: id, Plan: "p", Class: plan.Normal, Size: capacity, RunTime: runTime}})
			is.NoErr(err)
		}
		run("long/1", 3*entry.HolderLease)
		run("waiting/1", time.Second)
		time.Sleep(5 * entry.HolderLease)
		s, err := o.Await(entry.AwaitArgs{Epoch: o.Epoch(), Attempt: "waiting/1"})
		is.NoErr(err)
		is.Equal(s.State, entry.NotRun)
		is.Equal(h.startCounts["waiting"], 0)
		cancel()
		time.Sleep(time.Minute)
	})
}

// remoteDomainPeers has one owner, in another failure domain than the work.
type remoteDomainPeers struct{ lostReplyPeers }

func (p *remoteDomainPeers) Targets() []request.Target {
	return []request.Target{{Name: "other", Epoch: 1, Domain: "far", FreeFraction: 1, Usable: true, Reachable: true}}
}

// TestWorkOfADomainStaysThere checks that a task restricted to one failure
// domain is not offered to an owner in another one.
func TestWorkOfADomainStaysThere(t *testing.T) {
	is := is.New(t)
	p := &remoteDomainPeers{}
	r := request.New(p, firstUsableRouter{}, retry.New(1, 1), request.DefaultTiming, logr.Discard())
	o := r.Run(context.Background(), request.Work{ID: "t", Domain: "near", Spec: request.Spec{Class: plan.Normal}})
	is.Equal(o.State, request.NotRun)
	is.Equal(p.runCallCount, 0)
	o = r.Run(context.Background(), request.Work{ID: "t", Spec: request.Spec{Class: plan.Normal}})
	is.Equal(o.State, request.Done)
}
