package keeper_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// callCounts counts calls.
type callCounts struct {
	// now is the number of calls under way, and most the highest such number.
	now, most int
	// total counts all calls, and stops those that are stops.
	total, stops int
}

// countingWorker counts the calls to all workers that are made directly.
type countingWorker struct {
	scriptedWorker
	countMutex sync.Mutex
	callCounts callCounts
}

func (w *countingWorker) counts() callCounts {
	w.countMutex.Lock()
	defer w.countMutex.Unlock()
	return w.callCounts
}

// add changes the number of calls under way.
func (w *countingWorker) add(calls, stops int) {
	w.countMutex.Lock()
	defer w.countMutex.Unlock()
	c := &w.callCounts
	c.now += calls
	c.most = max(c.most, c.now)
	c.total += max(calls, 0)
	c.stops += stops
}

func (w *countingWorker) Stop(ctx context.Context, o backend.Stop) error {
	w.add(1, 1)
	defer w.add(-1, 0)
	return w.scriptedWorker.Stop(ctx, o)
}

func (w *countingWorker) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	w.add(1, 0)
	defer w.add(-1, 0)
	return w.scriptedWorker.Hold(ctx, h)
}

// callStop sends a stop as the leader does, and returns the kind of the error.
func callStop(ctx context.Context, w *keeper.WorkerClient) backend.Kind {
	ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond+keeper.ForwardingMargin)
	defer cancel()
	return fault.KindOr(w.Stop(ctx, backend.Stop{}), backend.KindUnknown)
}

// Neither a keeper that loses calls nor a link from the leader that does may cut off a
// worker that the other way reaches.
func TestUnansweredCallIsFollowedByAnotherWay(t *testing.T) {
	const lost, reached = time.Hour, time.Millisecond
	scenarios := []struct {
		testName string
		// throughKeeper and direct are the times after which the worker answers.
		throughKeeper, direct time.Duration
		loseAnswers           bool
		// expected holds the kinds of the errors of consecutive stops. ways holds "d" for a
		// direct one and "k" for one through the keeper.
		expected []backend.Kind
		ways     string
	}{
		{"both ways reach the worker", reached, reached, false, []backend.Kind{"", "", ""}, "kkk"},
		{"the keeper does not reach the worker", lost, reached, false, []backend.Kind{backend.KindUnknown, "", ""}, "kdd"},
		{"the answers of the keeper are lost", reached, reached, true, []backend.Kind{backend.KindUnknown, "", ""}, "kdd"},
		{"only the keeper reaches the worker", reached, lost, false, []backend.Kind{"", "", ""}, "kkk"},
		{"neither way reaches the worker", lost, lost, false, []backend.Kind{backend.KindUnknown, backend.KindUnknown, backend.KindUnknown, backend.KindUnknown}, "kdkd"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newLoopback(t.Context())
				l.keeperWorker.latency, l.loseAnswers = sc.throughKeeper, sc.loseAnswers
				direct := &countingWorker{scriptedWorker: scriptedWorker{latency: sc.direct}}
				w := keeper.NewWorkerClient(l.dispatcher, backend.Registration{Life: backend.Life{ID: "worker-1", Born: 1}, Zone: "a"}, direct)
				var kinds []backend.Kind
				ways := ""
				for range sc.expected {
					before := direct.counts().total
					kinds = append(kinds, callStop(t.Context(), w))
					if direct.counts().total > before {
						ways += "d"
					} else {
						ways += "k"
					}
				}
				is.Equal(kinds, sc.expected)
				is.Equal(ways, sc.ways)
				time.Sleep(5 * time.Second)
				before := direct.counts().total
				callStop(t.Context(), w)
				is.Equal(direct.counts().total, before) // The keeper is used again.
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// The leader interrupts a hold to send the next one, and that tells nothing about the keeper.
func TestInterruptedCallDoesNotBypassTheKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoopback(t.Context())
		l.keeperWorker.latency = 200 * time.Millisecond
		direct := &countingWorker{}
		w := keeper.NewWorkerClient(l.dispatcher, backend.Registration{Life: backend.Life{ID: "worker-1", Born: 1}, Zone: "a"}, direct)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := w.Hold(ctx, backend.Hold{Wait: 2 * time.Second})
		is.True(err != nil)
		is.Equal(callStop(t.Context(), w), backend.Kind(""))
		is.Equal(direct.counts().total, 0)
		time.Sleep(5 * time.Second)
	})
}

// A worker whose keeper gets no answer is held with a deadline again and again: of two
// holds in a row, the first of which extends no lease, both must arrive.
func TestLeaseIsExtendedPastKeeperThatLosesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoopback(t.Context())
		l.keeperWorker.latency = time.Hour
		w := keeper.NewWorkerClient(l.dispatcher, backend.Registration{Life: backend.Life{ID: "worker-1", Born: 1}, Zone: "a"}, &countingWorker{scriptedWorker: scriptedWorker{latency: 5 * time.Millisecond}})
		begun, extended := time.Now(), []time.Duration{0}
		unanswered := false
		for time.Since(begun) < 20*time.Second {
			h := backend.Hold{Wait: 2 * time.Second}
			if unanswered {
				h.Wait = 0
			}
			ctx, cancel := context.WithTimeout(t.Context(), h.Wait+250*time.Millisecond+keeper.ForwardingMargin)
			_, err := w.Hold(ctx, h)
			cancel()
			if err == nil && !unanswered {
				extended = append(extended, time.Since(begun))
			}
			unanswered = err != nil
			time.Sleep(100 * time.Millisecond)
		}
		extended = append(extended, time.Since(begun))
		for i, at := range extended[1:] {
			is.True(at-extended[i] <= 5*time.Second) // The lease lasts for longer.
		}
		time.Sleep(5 * time.Second)
	})
}

// All workers of a domain have crashed. The leader must not call many of them directly.
func TestCrashedWorkersCauseFewDirectCalls(t *testing.T) {
	const workers, period = 220, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoopback(t.Context())
		l.keeperWorker.latency = time.Hour
		direct := &countingWorker{scriptedWorker: scriptedWorker{latency: time.Hour}}
		var clients []*keeper.WorkerClient
		for i := range workers {
			clients = append(clients, keeper.NewWorkerClient(l.dispatcher, backend.Registration{Life: backend.Life{ID: fmt.Sprintf("worker-%d", i)}, Zone: "a"}, direct))
		}
		ctx, cancel := context.WithTimeout(t.Context(), period)
		defer cancel()
		for _, w := range clients {
			go func() {
				for ctx.Err() == nil {
					callCtx, cancel := context.WithTimeout(ctx, 250*time.Millisecond+keeper.ForwardingMargin)
					_, _ = w.Hold(callCtx, backend.Hold{})
					cancel()
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
		time.Sleep(period + time.Second)
		is.True(direct.counts().most <= 64)
		is.True(direct.counts().total <= workers*int(period/(2*time.Second)))
		is.True(direct.counts().total >= workers) // Each was tried.
		time.Sleep(5 * time.Second)
	})
}

// Stops find a direct way while holds use up the bypasses.
func TestStopBypassesTheKeeperBesideManyHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoopback(t.Context())
		l.keeperWorker.latency = time.Hour
		direct := &countingWorker{scriptedWorker: scriptedWorker{latency: time.Second}}
		var clients []*keeper.WorkerClient
		for i := range 100 {
			clients = append(clients, keeper.NewWorkerClient(l.dispatcher, backend.Registration{Life: backend.Life{ID: fmt.Sprintf("worker-%d", i)}, Zone: "a"}, direct))
		}
		var group sync.WaitGroup
		for _, w := range clients {
			group.Go(func() {
				for range 2 {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					_, _ = w.Hold(ctx, backend.Hold{})
					cancel()
				}
			})
		}
		time.Sleep(2500 * time.Millisecond) // The second holds are under way.
		is.Equal(direct.counts().most, 64)
		for _, w := range clients {
			group.Go(func() { callStop(t.Context(), w) })
		}
		synctest.Wait()
		is.Equal(direct.counts().stops, 64)
		is.Equal(direct.counts().most, 128)
		group.Wait()
		time.Sleep(10 * time.Second)
	})
}

// The leader's link is busy, so that direct calls are answered late.
func TestDirectCallHasTheWholeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoopback(t.Context())
		w := keeper.NewWorkerClient(l.dispatcher, backend.Registration{Life: backend.Life{ID: "worker-1", Born: 1}, Zone: "without keepers"}, &countingWorker{scriptedWorker: scriptedWorker{latency: 500 * time.Millisecond}})
		is.Equal(callStop(t.Context(), w), backend.Kind(""))
	})
}
