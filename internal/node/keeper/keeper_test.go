package keeper_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

var leaderAddress = netip.MustParseAddrPort("10.0.0.1:7000")

// newMember returns an entry VM whose address is derived from the number in its name.
func newMember(name, domain string, fitness float64) keeper.Member {
	var number byte
	_, _ = fmt.Sscanf(name, "vm-%d", &number)
	return keeper.Member{Name: name, Domain: domain, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, number}), 7000), Fitness: fitness}
}

func TestAssignment(t *testing.T) {
	members := []keeper.Member{
		newMember("vm-1", "a", 0.8), newMember("vm-2", "a", 0.8), newMember("vm-3", "a", 0.1), newMember("vm-4", "b", 0.2), newMember("vm-5", "b", 0.2),
	}
	scenarios := []struct {
		testName string
		workers  map[string]int
		domain   string
		// expected lists the names of the keepers of the domain. The name "" stands for
		// no keeper.
		expected []string
	}{
		{"the leader calls the workers of a small fleet directly", map[string]int{"a": 60, "b": 40}, "a", []string{""}},
		{"only the fittest VMs of the domain are keepers", map[string]int{"a": 300, "b": 80}, "a", []string{"vm-1", "vm-2"}},
		{"VMs of low fitness are keepers in a domain without fitter ones", map[string]int{"a": 300, "b": 80}, "b", []string{"vm-4", "vm-5"}},
		{"a domain without entry VMs has no keepers", map[string]int{"a": 300, "c": 80}, "c", []string{""}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			a := keeper.NewAssignment(members, sc.workers)
			workersOf := map[string]int{}
			for i := range 300 {
				m, _ := a.KeeperFor(sc.domain, fmt.Sprintf("worker-%d", i))
				workersOf[m.Name]++
			}
			is.Equal(len(workersOf), len(sc.expected))
			for _, name := range sc.expected {
				is.True(workersOf[name] >= 300/len(sc.expected)*3/4) // The workers are spread evenly.
			}
		})
	}
}

// The loss of a keeper must not move the workers of the other keepers.
func TestLostKeeperMovesOnlyItsWorkers(t *testing.T) {
	is := is.New(t)
	workers := map[string]int{"a": 400}
	var all []keeper.Member
	for i := range 6 {
		all = append(all, newMember(fmt.Sprintf("vm-%d", i), "a", 0.8))
	}
	before, after := keeper.NewAssignment(all, workers), keeper.NewAssignment(all[1:], workers)
	for i := range 400 {
		id := fmt.Sprintf("worker-%d", i)
		if m, _ := before.KeeperFor("a", id); m.Name != "vm-0" {
			moved, ok := after.KeeperFor("a", id)
			is.True(ok)
			is.Equal(moved.Name, m.Name)
		}
	}
}

// scriptedWorker simulates a worker. It records the starts that it receives and answers
// each call after latency.
type scriptedWorker struct {
	mutex   sync.Mutex
	latency time.Duration
	starts  []backend.Start
	// errorKind is the error kind of the answers, or empty for success.
	errorKind backend.Kind
}

func (w *scriptedWorker) Start(ctx context.Context, s backend.Start) (time.Duration, error) {
	w.mutex.Lock()
	w.starts = append(w.starts, s)
	w.mutex.Unlock()
	return 5 * time.Second, w.waitAndAnswer(ctx)
}

// waitAndAnswer waits for latency and then returns the error with which the worker
// answers, or nil.
func (w *scriptedWorker) waitAndAnswer(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fault.New("call", backend.KindUnknown, ctx.Err())
	case <-time.After(w.latency):
	}
	if w.errorKind != "" {
		return fault.Newf("call", w.errorKind, "refused")
	}
	return nil
}

func (w *scriptedWorker) Stop(ctx context.Context, _ backend.Stop) error { return w.waitAndAnswer(ctx) }
func (w *scriptedWorker) Pace(ctx context.Context, _ backend.Pace) error { return w.waitAndAnswer(ctx) }
func (w *scriptedWorker) Hold(ctx context.Context, h backend.Hold) (backend.Report, error) {
	return backend.Report{Clock: h.Deadline}, w.waitAndAnswer(ctx)
}
func (w *scriptedWorker) Close() {}

// loopback connects the dispatcher of a leader to the forwarder of its only keeper
// without a network.
type loopback struct {
	forwarder  *keeper.Forwarder
	dispatcher *keeper.Dispatcher
	// keeperWorker receives the calls that the keeper makes, and directWorker those
	// that the leader makes without the keeper.
	keeperWorker *scriptedWorker
	directWorker *scriptedWorker
	// loseBatches makes all batches get lost, and loseAnswers all answers.
	// repeatAnswers delivers each answer twice.
	loseBatches, loseAnswers, repeatAnswers bool
	mutex                                   sync.Mutex
	// batchError is the error with which batches are not carried. The mutex guards it.
	batchError error
}

func (l *loopback) setBatchError(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.batchError = err
}

var errLost = errors.New("message lost")

func newLoopback(ctx context.Context) *loopback {
	l := &loopback{keeperWorker: &scriptedWorker{latency: 5 * time.Millisecond}, directWorker: &scriptedWorker{}}
	l.forwarder = keeper.NewForwarder(ctx, func(backend.Registration) backend.Worker { return l.keeperWorker }, func(_ context.Context, to netip.AddrPort, a keeper.Answers) error {
		if l.loseAnswers || to != leaderAddress {
			return errLost
		}
		l.dispatcher.HandleAnswers(a.Answers)
		if l.repeatAnswers {
			l.dispatcher.HandleAnswers(a.Answers)
		}
		return nil
	}, logr.Discard())
	l.dispatcher = keeper.NewDispatcher(leaderAddress, 1000, func(_ context.Context, _ netip.AddrPort, b keeper.Batch) error {
		if l.loseBatches {
			return errLost
		}
		l.mutex.Lock()
		batchError := l.batchError
		l.mutex.Unlock()
		if batchError != nil {
			return batchError
		}
		l.forwarder.Forward(b)
		return nil
	}, logr.Discard())
	l.dispatcher.SetAssignment(keeper.NewAssignment([]keeper.Member{newMember("vm-1", "a", 1)}, map[string]int{"a": 200}))
	return l
}

func (l *loopback) newWorker() *keeper.WorkerClient {
	return keeper.NewWorkerClient(l.dispatcher, backend.Registration{Life: backend.Life{ID: "worker-1", Born: 1}, Zone: "a"}, l.directWorker)
}

var startOrder = backend.Start{Task: work.TaskID{StepID: work.StepID{Job: "j"}}, Run: 1, Token: 7}

// A call through a keeper must return the worker's answer or the right error kind,
// whichever message is lost or repeated. An order must never be sent to the worker
// twice.
func TestCallsThroughAKeeper(t *testing.T) {
	scenarios := []struct {
		testName string
		prepare  func(l *loopback)
		// expected is the error kind of the first of two start calls.
		expected backend.Kind
		// keeperStarts counts the start calls that reached the worker through the keeper, and
		// directStarts those that the leader made without the keeper.
		keeperStarts, directStarts int
		// maxDuration limits the time that both calls take together.
		maxDuration time.Duration
	}{
		{"the answer is returned", func(*loopback) {}, "", 2, 0, 50 * time.Millisecond},
		{"the error kind of a refusal is returned", func(l *loopback) { l.keeperWorker.errorKind = backend.KindFenced }, backend.KindFenced, 2, 0, 50 * time.Millisecond},
		{"the second copy of an answer is ignored", func(l *loopback) { l.repeatAnswers = true }, "", 2, 0, 50 * time.Millisecond},
		{"a keeper that does not confirm a batch is bypassed for a while", func(l *loopback) { l.loseBatches = true }, backend.KindUnknown, 0, 1, 50 * time.Millisecond},
		{"a batch that was not sent is sent directly", func(l *loopback) { l.setBatchError(keeper.ErrNotSent) }, "", 0, 2, 50 * time.Millisecond},
		{"a batch that the keeper refuses is sent directly", func(l *loopback) { l.setBatchError(keeper.ErrRefused) }, "", 0, 2, 50 * time.Millisecond},
		{"a lost answer is an unknown outcome and the order is not repeated", func(l *loopback) { l.loseAnswers = true }, backend.KindUnknown, 1, 1, 1200 * time.Millisecond},
		{"a worker that does not answer is an unknown outcome", func(l *loopback) { l.keeperWorker.latency = time.Hour }, backend.KindUnknown, 1, 1, 1200 * time.Millisecond},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(t *testing.T) {
				l := newLoopback(t.Context())
				sc.prepare(l)
				w := l.newWorker()
				begun := time.Now()
				var kinds [2]backend.Kind
				for i := range kinds {
					ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond+keeper.ForwardingMargin)
					clock, err := w.Start(ctx, startOrder)
					cancel()
					kinds[i] = fault.KindOf[backend.Kind](err)
					is.True(err != nil || clock == 5*time.Second || sc.directStarts > 0)
				}
				is.Equal(kinds[0], sc.expected)
				is.True(time.Since(begun) <= sc.maxDuration)
				time.Sleep(2 * time.Second) // Wait until no message is in flight.
				is.Equal(len(l.keeperWorker.starts), sc.keeperStarts)
				is.Equal(len(l.directWorker.starts), sc.directStarts)
			})
		})
	}
}

// A keeper refuses further calls because it is about to stop. The start that it has accepted before
// must not count as lost.
func TestRefusalDoesNotFailEarlierCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoopback(t.Context())
		l.keeperWorker.latency = 50 * time.Millisecond
		time.AfterFunc(20*time.Millisecond, func() {
			l.setBatchError(keeper.ErrRefused)
			_, err := l.newWorker().Hold(t.Context(), backend.Hold{})
			is.NoErr(err)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond+keeper.ForwardingMargin)
		defer cancel()
		_, err := l.newWorker().Start(ctx, startOrder)
		is.NoErr(err)
		is.Equal(len(l.directWorker.starts), 0)
		time.Sleep(time.Second)
	})
}

// A hold through a keeper must fail at once when the keeper is removed, instead of waiting
// for an answer that will not arrive.
func TestHoldEndsWhenItsKeeperLeaves(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		l := newLoopback(t.Context())
		l.keeperWorker.latency = 2 * time.Second
		time.AfterFunc(300*time.Millisecond, func() { l.dispatcher.SetAssignment(keeper.NewAssignment(nil, nil)) })
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := l.newWorker().Hold(ctx, backend.Hold{Wait: 2 * time.Second})
		is.Equal(fault.KindOf[backend.Kind](err), backend.KindUnknown)
		is.Equal(time.Since(begun), 300*time.Millisecond)
		time.Sleep(5 * time.Second)
	})
}

// A call that contains no order must fail, but the other calls of its batch must still
// succeed.
func TestMalformedCallCostsNobodyElse(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		answers := make(chan keeper.Answer, 2)
		c := keeper.NewForwarder(t.Context(), func(backend.Registration) backend.Worker { return &scriptedWorker{} }, func(_ context.Context, _ netip.AddrPort, a keeper.Answers) error {
			for _, one := range a.Answers {
				answers <- one
			}
			return nil
		}, logr.Discard())
		c.Forward(keeper.Batch{Leader: leaderAddress, Calls: []keeper.Call{{Number: 1, Timeout: time.Second}, {Number: 2, Timeout: time.Second, Start: &startOrder}}})
		kinds := map[int64]backend.Kind{}
		for range 2 {
			a := <-answers
			kinds[a.Number] = a.Kind
		}
		is.Equal(kinds, map[int64]backend.Kind{1: backend.KindInvalid, 2: ""})
		time.Sleep(time.Second) // Wait until no message is in flight.
	})
}

// The log of a keeper must tell which life of a worker a start reached, with which token
// and from which process of the leader, so that two starts of one task can be compared.
func TestLogNamesEachForwardedStart(t *testing.T) {
	start := backend.Start{Task: work.TaskID{StepID: work.StepID{Job: "job", Step: 2}, Index: 7}, Run: 3, Token: 2<<20 + 5}
	call := keeper.Call{Number: 1, Life: backend.Life{ID: "worker-1", Born: 1700}, Timeout: time.Second, Start: &start}
	expired := call
	expired.Timeout = 0
	const startLine = `"start_forwarded" "task"="job.0.2.7" "run"=3 "worker"="worker-1" "born"=1700 "token"=2097157 "leader"="10.0.0.1:7000" `
	scenarios := []struct {
		testName string
		batches  []keeper.Batch
		kind     backend.Kind
		expected []string
	}{
		{"the worker starts the run", []keeper.Batch{{Process: 9, Calls: []keeper.Call{call}}}, "", []string{startLine + `"kind"="" "clock_ms"=5000 "took_ms"=5`}},
		{"the worker refuses the run", []keeper.Batch{{Process: 9, Calls: []keeper.Call{call}}}, backend.KindFenced, []string{startLine + `"kind"="fenced" "clock_ms"=5000 "took_ms"=5`}},
		{"the timeout has passed on arrival", []keeper.Batch{{Process: 9, Calls: []keeper.Call{expired}}}, "", []string{
			`"call_expired" "leader"="10.0.0.1:7000" "number"=1 "operation"="start" "worker"="worker-1" "born"=1700`, startLine + `"kind"="unknown" "clock_ms"=5000 "took_ms"=0`,
		}},
		{"an earlier process of the leader sent the batch", []keeper.Batch{{Process: 9}, {Process: 8, Calls: []keeper.Call{call}}, {Process: 8}}, "", []string{
			`"batch_outdated" "leader"="10.0.0.1:7000" "calls"=1 "process"=8 "newest_process"=9`, startLine + `"kind"="" "clock_ms"=5000 "took_ms"=5`,
		}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var mutex sync.Mutex
				var lines []string
				log := funcr.New(func(_, args string) {
					mutex.Lock()
					defer mutex.Unlock()
					lines = append(lines, strings.TrimPrefix(args, `"level"=0 "msg"=`))
				}, funcr.Options{})
				w := &scriptedWorker{latency: 5 * time.Millisecond, errorKind: sc.kind}
				f := keeper.NewForwarder(t.Context(), func(backend.Registration) backend.Worker { return w }, func(context.Context, netip.AddrPort, keeper.Answers) error { return nil }, log)
				for _, b := range sc.batches {
					b.Leader = leaderAddress
					f.Forward(b)
				}
				time.Sleep(time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				is.Equal(lines, sc.expected)
			})
		})
	}
}

// A leader that has given up a start must not send it any more: the worker may have
// restarted meanwhile, and its next life knows no fencing token.
func TestGivenUpCallIsNotSent(t *testing.T) {
	scenarios := []struct {
		testName string
		// giveUpAfter is when the caller of the second start gives up, while the keeper has
		// not confirmed the first one.
		giveUpAfter time.Duration
		// confirmed is true if the keeper confirms the first batch in the end.
		confirmed bool
		expected  int
	}{
		{"the caller gave up before the call", 0, true, 1},
		{"the caller gave up while the call waited for the batch before it", 50 * time.Millisecond, true, 1},
		{"the keeper failed to confirm the batch before it", 500 * time.Millisecond, false, 1},
		{"the caller still waits", 500 * time.Millisecond, true, 2},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var sent atomic.Int32
				d := keeper.NewDispatcher(leaderAddress, 1000, func(ctx context.Context, _ netip.AddrPort, b keeper.Batch) error {
					sent.Add(int32(len(b.Calls)))
					if !sc.confirmed {
						<-ctx.Done()
						return ctx.Err()
					}
					time.Sleep(100 * time.Millisecond)
					return nil
				}, logr.Discard())
				d.SetAssignment(keeper.NewAssignment([]keeper.Member{newMember("vm-1", "a", 1)}, map[string]int{"a": 101}))
				w := keeper.NewWorkerClient(d, backend.Registration{Life: backend.Life{ID: "worker-1"}, Zone: "a"}, &scriptedWorker{})
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					_, _ = w.Start(ctx, startOrder)
				}()
				time.Sleep(10 * time.Millisecond)
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(sc.giveUpAfter, cancel)
				if sc.giveUpAfter == 0 {
					cancel()
				}
				_, err := w.Start(ctx, startOrder)
				is.Equal(fault.KindOf[backend.Kind](err), backend.KindUnknown)
				time.Sleep(5 * time.Second)
				is.Equal(int(sent.Load()), sc.expected)
			})
		})
	}
}

// A batch to a keeper fails after the keeper has left, as when its VM was replaced. The
// dispatcher kept the time of that failure for each keeper of the day.
func TestFailureOfAKeeperThatHasLeftIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := keeper.NewDispatcher(leaderAddress, 1000, func(ctx context.Context, _ netip.AddrPort, _ keeper.Batch) error {
			<-ctx.Done()
			return ctx.Err()
		}, logr.Discard())
		d.SetAssignment(keeper.NewAssignment([]keeper.Member{newMember("vm-1", "a", 1)}, map[string]int{"a": 101}))
		w := keeper.NewWorkerClient(d, backend.Registration{Life: backend.Life{ID: "worker-1"}, Zone: "a"}, &scriptedWorker{})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _ = w.Start(ctx, startOrder)
		d.SetAssignment(keeper.NewAssignment(nil, nil))
		time.Sleep(time.Second) // The batch has failed.
		d.SetAssignment(keeper.NewAssignment(nil, nil))
		keepers, failed := d.Sizes()
		is.Equal(keepers, 0)
		is.Equal(failed, 0)
	})
}
