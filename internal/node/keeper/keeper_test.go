package keeper_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

var leaderAddress = netip.MustParseAddrPort("10.0.0.1:7000")

func member(name, domain string, fitness float64) keeper.Member {
	var last byte
	_, _ = fmt.Sscanf(name, "vm-%d", &last)
	return keeper.Member{Name: name, Domain: domain, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, last}), 7000), Fitness: fitness}
}

func TestRoster(t *testing.T) {
	members := []keeper.Member{
		member("vm-1", "a", 0.8), member("vm-2", "a", 0.8), member("vm-3", "a", 0.1), member("vm-4", "b", 0.2), member("vm-5", "b", 0.2),
	}
	scenarios := []struct {
		testName string
		workers  map[string]int
		domain   string
		expected []string
	}{
		{"the leader calls the workers of a small fleet itself", map[string]int{"a": 60, "b": 40}, "a", []string{""}},
		{"the fit VMs of the domain are keepers", map[string]int{"a": 300, "b": 80}, "a", []string{"vm-1", "vm-2"}},
		{"small VMs are keepers where there are no others", map[string]int{"a": 300, "b": 80}, "b", []string{"vm-4", "vm-5"}},
		{"a domain without VMs has none", map[string]int{"a": 300, "c": 80}, "c", []string{""}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			r := keeper.NewRoster(members, sc.workers)
			seen := map[string]int{}
			for i := range 300 {
				m, _ := r.Of(sc.domain, fmt.Sprintf("worker-%d", i))
				seen[m.Name]++
			}
			is.Equal(len(seen), len(sc.expected))
			for _, name := range sc.expected {
				is.True(seen[name] >= 300/len(sc.expected)*3/4) // The workers are dealt evenly.
			}
		})
	}
}

func TestLostKeeperMovesOnlyItsWorkers(t *testing.T) {
	is := is.New(t)
	workers := map[string]int{"a": 400}
	var all []keeper.Member
	for i := range 6 {
		all = append(all, member(fmt.Sprintf("vm-%d", i), "a", 0.8))
	}
	before, after := keeper.NewRoster(all, workers), keeper.NewRoster(all[1:], workers)
	for i := range 400 {
		id := fmt.Sprintf("worker-%d", i)
		if m, _ := before.Of("a", id); m.Name != "vm-0" {
			moved, ok := after.Of("a", id)
			is.True(ok)
			is.Equal(moved.Name, m.Name)
		}
	}
}

// scriptedWorker answers calls after a time.
type scriptedWorker struct {
	mutex  sync.Mutex
	takes  time.Duration
	starts []backend.Start
	kind   backend.Kind
}

func (w *scriptedWorker) Start(ctx context.Context, s backend.Start) (time.Duration, error) {
	w.mutex.Lock()
	w.starts = append(w.starts, s)
	w.mutex.Unlock()
	return 5 * time.Second, w.answer(ctx)
}

func (w *scriptedWorker) answer(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fault.New("call", backend.KindUnknown, ctx.Err())
	case <-time.After(w.takes):
	}
	if w.kind != "" {
		return fault.Newf("call", w.kind, "refused")
	}
	return nil
}

func (w *scriptedWorker) Stop(ctx context.Context, _ backend.Stop) error { return w.answer(ctx) }
func (w *scriptedWorker) Pace(ctx context.Context, _ backend.Pace) error { return w.answer(ctx) }
func (w *scriptedWorker) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	return backend.Report{Clock: h.Deadline}, w.answer(ctx)
}
func (w *scriptedWorker) Close() {}

// path is the way between a leader and its only keeper.
type path struct {
	carrier    *keeper.Carrier
	dispatcher *keeper.Dispatcher
	worker     *scriptedWorker
	direct     *scriptedWorker
	// batchLost and answersLost tell what gets lost; repeated answers come twice.
	batchLost, answersLost, repeated bool
}

var errLost = errors.New("lost")

func newPath(ctx context.Context) *path {
	p := &path{worker: &scriptedWorker{takes: 5 * time.Millisecond}, direct: &scriptedWorker{}}
	p.carrier = keeper.NewCarrier(ctx, func(backend.Registration) backend.Worker { return p.worker }, func(_ context.Context, to netip.AddrPort, a keeper.Answers) error {
		if p.answersLost || to != leaderAddress {
			return errLost
		}
		p.dispatcher.Answered(a.Answers)
		if p.repeated {
			p.dispatcher.Answered(a.Answers)
		}
		return nil
	}, logr.Discard())
	p.dispatcher = keeper.NewDispatcher(leaderAddress, 1000, func(_ context.Context, _ netip.AddrPort, b keeper.Batch) error {
		if p.batchLost {
			return errLost
		}
		p.carrier.Carry(b)
		return nil
	}, logr.Discard())
	p.dispatcher.SetRoster(keeper.NewRoster([]keeper.Member{member("vm-1", "a", 1)}, map[string]int{"a": 200}))
	return p
}

func (p *path) newWorker() *keeper.Worker {
	return keeper.NewWorker(p.dispatcher, backend.Registration{Life: backend.Life{ID: "worker-1", Born: 1}, Zone: "a"}, p.direct)
}

var order = backend.Start{Task: work.TaskID{StepID: work.StepID{Job: "j"}}, Run: 1, Token: 7}

func TestCallsThroughAKeeper(t *testing.T) {
	scenarios := []struct {
		testName string
		prepare  func(p *path)
		// expected is the kind of the error; starts are those that reached the worker
		// through the keeper and directly, over two calls.
		expected       backend.Kind
		starts, direct int
		within         time.Duration
	}{
		{"an answer comes back", func(*path) {}, "", 2, 0, 50 * time.Millisecond},
		{"a refusal comes back with its kind", func(p *path) { p.worker.kind = backend.KindFenced }, backend.KindFenced, 2, 0, 50 * time.Millisecond},
		{"an answer that comes twice counts once", func(p *path) { p.repeated = true }, "", 2, 0, 50 * time.Millisecond},
		{"a keeper that does not confirm is left out for a while", func(p *path) { p.batchLost = true }, backend.KindUnknown, 0, 1, 50 * time.Millisecond},
		{"a lost answer is unknown and the order is not repeated", func(p *path) { p.answersLost = true }, backend.KindUnknown, 2, 0, 1200 * time.Millisecond},
		{"a silent worker is unknown", func(p *path) { p.worker.takes = time.Hour }, backend.KindUnknown, 2, 0, 1200 * time.Millisecond},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(t *testing.T) {
				p := newPath(t.Context())
				sc.prepare(p)
				w := p.newWorker()
				begun := time.Now()
				var kinds [2]backend.Kind
				for i := range kinds {
					ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond+keeper.Margin)
					clock, err := w.Start(ctx, order)
					cancel()
					kinds[i] = fault.KindOf[backend.Kind](err)
					is.True(err != nil || clock == 5*time.Second || sc.direct > 0)
				}
				is.Equal(kinds[0], sc.expected)
				is.True(time.Since(begun) <= sc.within)
				time.Sleep(2 * time.Second) // Until nothing is on its way.
				is.Equal(len(p.worker.starts), sc.starts)
				is.Equal(len(p.direct.starts), sc.direct)
			})
		})
	}
}

// A keeper leaves while a worker is held through it.
func TestHoldEndsWhenItsKeeperLeaves(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		p := newPath(t.Context())
		p.worker.takes = 2 * time.Second
		time.AfterFunc(300*time.Millisecond, func() { p.dispatcher.SetRoster(keeper.NewRoster(nil, nil)) })
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := p.newWorker().Hold(ctx, backend.Hold{Wait: 2 * time.Second})
		is.Equal(fault.KindOf[backend.Kind](err), backend.KindUnknown)
		is.Equal(time.Since(begun), 300*time.Millisecond)
		time.Sleep(5 * time.Second)
	})
}

func TestMalformedCallCostsNobodyElse(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		answers := make(chan keeper.Answer, 2)
		c := keeper.NewCarrier(t.Context(), func(backend.Registration) backend.Worker { return &scriptedWorker{} }, func(_ context.Context, _ netip.AddrPort, a keeper.Answers) error {
			for _, v := range a.Answers {
				answers <- v
			}
			return nil
		}, logr.Discard())
		c.Carry(keeper.Batch{Leader: leaderAddress, Calls: []keeper.Call{{Number: 1, Timeout: time.Second}, {Number: 2, Timeout: time.Second, Start: &order}}})
		kinds := map[int64]backend.Kind{}
		for range 2 {
			a := <-answers
			kinds[a.Number] = a.Kind
		}
		is.Equal(kinds, map[int64]backend.Kind{1: backend.KindInvalid, 2: ""})
		time.Sleep(time.Second) // Until nothing is on its way.
	})
}
