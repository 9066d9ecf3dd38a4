package entryvm_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/node/entryvm"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// fixture is a cell of several entry VMs on loopback with simulated workers and an
// in-memory store.
type fixture struct {
	is    *is.I
	store *memory.Store
	fleet *memory.Fleet
	nodes []*entryvm.Node
	// storeLinks holds the connection of each entry VM to the store. Faults can be
	// injected into each one.
	storeLinks []*memory.Link
}

// testTimeout limits each wait for an expected state.
const testTimeout = 15 * time.Second

// newFixture starts the given number of entry VMs and three simulated workers. Each
// task runs for runTime.
func newFixture(t *testing.T, vms int, runTime time.Duration) *fixture {
	f := &fixture{is: is.New(t), store: memory.New(), fleet: memory.NewFleet(runTime)}
	f.publishConfiguration(1, "mail")
	for i := range 3 {
		f.is.NoErr(f.addWorker(i))
	}
	for i := range vms {
		link := memory.NewLink(f.store)
		n, err := entryvm.New(entryvm.Settings{
			Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("domain-%d", i%2), ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"),
			Timing: scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: 200 * time.Millisecond, EndedJobRetention: time.Hour},
		}, entryvm.Dependencies{
			Store: link, Adviser: f.fleet, Dial: f.fleet.Dial, DecodeTable: decodeTable, DecodeRegistration: memory.DecodeRegistration,
		}, measure.New(), logr.Discard())
		f.is.NoErr(err)
		t.Cleanup(n.Close)
		f.nodes, f.storeLinks = append(f.nodes, n), append(f.storeLinks, link)
	}
	return f
}

func (f *fixture) addWorker(number int) error {
	return f.fleet.Add(f.store, backend.Registration{
		Life: backend.Life{ID: fmt.Sprintf("worker-%d", number), Born: 1}, Address: netip.MustParseAddrPort("127.0.0.1:8400"), Service: "desk",
		Capacity: resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 4000},
	})
}

// refuseStoreCalls makes the store refuse the calls of all entry VMs, or accept them again.
func (f *fixture) refuseStoreCalls(refuse bool) {
	for _, l := range f.storeLinks {
		l.RefuseCalls(refuse)
	}
}

// decodeTable decodes the JSON that publishConfiguration stores.
func decodeTable(data []byte) (*queue.Table, error) {
	t := &queue.Table{}
	err := json.Unmarshal(data, t)
	t.Text = data
	return t, err
}

// publishConfiguration stores a configuration with one queue.
func (f *fixture) publishConfiguration(version int64, name string) {
	text, err := json.Marshal(queue.Table{Version: version, Queues: []queue.Queue{{Name: name, Host: "h", Prefix: "/", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	f.is.NoErr(err)
	_, err = f.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: "config", Value: text}}})
	f.is.NoErr(err)
}

// submit submits a job of two tasks through an entry VM.
func (f *fixture) submit(n *entryvm.Node, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return n.Submit(ctx, &work.Job{ID: id, Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 2, Size: resource.Vector{Milliprocessors: 500}}}})
}

// awaitState waits until an entry VM returns the expected state for a job.
func (f *fixture) awaitState(n *entryvm.Node, id string, expected work.State) {
	f.is.Helper()
	f.is.NoErr(pollState(n, id, expected))
}

// awaitStates waits until an entry VM returns the expected state for all jobs. It asks
// about all of them at the same time, since the answer for an active job is delayed.
func (f *fixture) awaitStates(n *entryvm.Node, ids []string, expected work.State) {
	var g errgroup.Group
	for _, id := range ids {
		g.Go(func() error { return pollState(n, id, expected) })
	}
	f.is.Helper()
	f.is.NoErr(g.Wait())
}

// pollState asks an entry VM about a job until it returns the expected state. It returns
// an error after testTimeout.
func pollState(n *entryvm.Node, id string, expected work.State) error {
	end := time.Now().Add(testTimeout)
	var state work.State
	var known bool
	var err error
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		state, known, err = n.State(ctx, id)
		cancel()
		if err == nil && known && state == expected {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	return fmt.Errorf("job %s: state %q, known %t, expected %q", id, state, known, expected)
}

// leaderIndex returns the index of the VM with the last claim in the store. It waits
// for the first claim.
func (f *fixture) leaderIndex() int {
	end := time.Now().Add(testTimeout)
	for time.Now().Before(end) {
		if records := f.store.Records(store.Claims, 0); len(records) > 0 {
			var c struct{ Name string }
			f.is.NoErr(json.Unmarshal(records[len(records)-1].Value, &c))
			var i int
			_, err := fmt.Sscanf(c.Name, "vm-%d", &i)
			f.is.NoErr(err)
			return i
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.is.Fail()
	return 0
}

// firstTask returns the ID of the first task of a job.
func firstTask(id string) work.TaskID { return work.TaskID{StepID: work.StepID{Job: id}} }

// A job can be submitted to any VM and its state can be read from any other.
func TestSubmitAndReadThroughAnyVM(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	for i, n := range f.nodes {
		id := fmt.Sprintf("job-%d", i)
		f.is.NoErr(f.submit(n, id))
		f.awaitState(f.nodes[(i+1)%3], id, work.Completed)
		f.is.Equal(f.fleet.StartCount(firstTask(id)), 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, known, err := f.nodes[0].State(ctx, "nobody")
	f.is.NoErr(err)
	f.is.True(!known)
}

// A caller that gets no answer submits its job again. The job must not run twice.
func TestSameJobAgainStaysOne(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	for _, n := range f.nodes {
		f.is.NoErr(f.submit(n, "job"))
	}
	f.awaitState(f.nodes[0], "job", work.Completed)
	f.is.NoErr(f.submit(f.nodes[1], "job")) // Submit the ended job again.
	time.Sleep(time.Second)
	f.is.Equal(f.fleet.StartCount(firstTask("job")), 1)
}

// The leader can read the cancellation of a job before the job itself. The job must
// not run.
func TestCancelBeforeTheJobIsRead(t *testing.T) {
	f := newFixture(t, 2, time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f.is.NoErr(f.nodes[1].Cancel(ctx, "job"))
	f.is.NoErr(f.submit(f.nodes[0], "job"))
	f.awaitState(f.nodes[1], "job", work.Cancelled)
}

// The leader crashes while a task runs. The task must continue, not start again, and
// later jobs must run.
func TestTakeOver(t *testing.T) {
	f := newFixture(t, 3, 3*time.Second)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.awaitState(f.nodes[first], "job", work.Running)
	f.nodes[first].Close()
	other := f.nodes[(first+1)%3]
	f.is.NoErr(f.submit(other, "later"))
	f.awaitState(other, "job", work.Completed)
	f.awaitState(other, "later", work.Completed)
	f.is.Equal(f.fleet.StartCount(firstTask("job")), 1) // The run continued through the take-over.
}

// A leader that is about to stop hands the leadership over and still serves callers.
func TestHandOverOnPlannedStop(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.awaitState(f.nodes[first], "job", work.Completed)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f.nodes[first].Drain(ctx)
	f.is.True(!f.nodes[first].Ready())
	end := time.Now().Add(testTimeout)
	for f.leaderIndex() == first && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	f.is.True(f.leaderIndex() != first)
	f.is.NoErr(f.submit(f.nodes[first], "later")) // The drained VM still serves callers.
	f.awaitState(f.nodes[first], "later", work.Completed)
}

// A leader that does not reach the store directly must hand over to a VM that does,
// since relaying every record delays jobs.
func TestLeaderWithoutStoreYields(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "before"))
	f.awaitState(f.nodes[first], "before", work.Completed)
	f.storeLinks[first].RefuseCalls(true)
	f.is.NoErr(f.submit(f.nodes[(first+1)%3], "during"))
	for end := time.Now().Add(testTimeout); f.leaderIndex() == first && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	f.is.True(f.leaderIndex() != first)
	f.awaitState(f.nodes[first], "during", work.Completed)
}

// A VM that loses its connection to the store must still accept jobs, through another
// VM.
func TestStoreThroughAnotherVM(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.awaitState(f.nodes[first], "job", work.Completed)
	f.storeLinks[first].RefuseCalls(true) // The VM can no longer reach the store, neither to submit jobs nor to lead.
	f.is.NoErr(f.submit(f.nodes[first], "cut"))
	f.awaitState(f.nodes[first], "cut", work.Completed)
}

// A job that is submitted while no VM reaches the store is not accepted. It must not
// run after the outage either.
func TestStoreAway(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.leaderIndex()
	for _, l := range f.storeLinks {
		l.RefuseCalls(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	err := f.nodes[0].Submit(ctx, &work.Job{ID: "job", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1}}})
	f.is.Equal(fault.KindOf[entryvm.Kind](err), entryvm.KindNotStored)
	for _, l := range f.storeLinks {
		l.RefuseCalls(false)
	}
	time.Sleep(2 * time.Second)
	f.is.Equal(f.fleet.StartCount(firstTask("job")), 0) // A job that was not accepted must not run.
	f.is.NoErr(f.submit(f.nodes[0], "later"))
	f.awaitState(f.nodes[1], "later", work.Completed)
}

// If the answer to a successful append is lost, the append is repeated. The job must
// still run only once.
func TestLostAnswers(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.leaderIndex()
	for _, l := range f.storeLinks {
		l.LoseAnswers(3)
	}
	f.is.NoErr(f.submit(f.nodes[0], "job"))
	f.awaitState(f.nodes[1], "job", work.Completed)
	f.is.Equal(f.fleet.StartCount(firstTask("job")), 1)
}

// An append without an answer may have stored the job, so Submit must not report that
// it is not stored.
func TestUnansweredSubmissionIsUnknown(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.leaderIndex()
	f.storeLinks[0].LoseAnswers(100)
	f.storeLinks[1].LoseAnswers(100)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := f.nodes[0].Submit(ctx, &work.Job{ID: "job", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1}}})
	f.is.Equal(fault.KindOf[entryvm.Kind](err), entryvm.KindUnknown)
}

// A configuration with a lower version, published by mistake, must be ignored.
func TestConfigurationNeverReverts(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	f.leaderIndex()
	f.publishConfiguration(9, "newer")
	end := time.Now().Add(2 * time.Second)
	for _, n := range f.nodes {
		for (n.Table() == nil || n.Table().Version != 9) && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
		f.is.Equal(n.Table().Version, int64(9))
	}
	f.publishConfiguration(4, "older")
	time.Sleep(300 * time.Millisecond)
	for _, n := range f.nodes {
		f.is.Equal(n.Table().Version, int64(9))
	}
}

// A VM that does not reach the store must get a new configuration from the leader.
func TestConfigurationThroughPeers(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	f.leaderIndex()
	time.Sleep(300 * time.Millisecond)
	f.storeLinks[2].RefuseCalls(true)
	f.publishConfiguration(9, "newer")
	end := time.Now().Add(2 * time.Second)
	for f.nodes[2].Table().Version != 9 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.Equal(f.nodes[2].Table().Version, int64(9))
}

// The submissions of ended jobs are deleted from the store. A new leader must
// nevertheless know these jobs, and must not run them again when they are submitted
// again.
func TestEndedJobsAreKnownAfterTakeOver(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.awaitState(f.nodes[first], "job", work.Completed)
	dropped := func() bool {
		for part := range 4 {
			records := f.store.Records(store.Jobs, part)
			if len(records) > 0 && len(records[len(records)-1].Value) == 0 {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(testTimeout); !dropped() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	f.is.True(dropped()) // The submission is deleted soon after the job ends.
	f.nodes[first].Close()
	other := f.nodes[(first+1)%3]
	f.awaitState(other, "job", work.Completed)
	f.is.NoErr(f.submit(other, "job")) // A second submission with the same ID is the same job.
	time.Sleep(500 * time.Millisecond)
	f.is.Equal(f.fleet.StartCount(firstTask("job")), 1)
}

// When the store drops old records that a VM has not read yet, the VM must start again
// with a snapshot.
func TestHistoryDropped(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.awaitState(f.nodes[1], "before", work.Completed)
	for _, topic := range []store.Topic{store.Jobs, store.Progress, store.Claims, store.VMs, store.Configuration, store.Workers} {
		for part := range 4 {
			f.store.DropRecords(topic, part)
		}
	}
	f.publishConfiguration(9, "mail")
	f.is.NoErr(f.submit(f.nodes[1], "after"))
	f.awaitState(f.nodes[2], "after", work.Completed)
	f.awaitState(f.nodes[2], "before", work.Completed)
	end := time.Now().Add(2 * time.Second)
	for f.nodes[2].Table().Version != 9 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.Equal(f.nodes[2].Table().Version, int64(9))
}

// The leader deletes the records of an ended job. A leader that reads the deletion
// while the job is still running must not treat it as a cancellation.
func TestDroppedSubmissionIsNoCancellation(t *testing.T) {
	f := newFixture(t, 2, 4*time.Second)
	f.is.NoErr(f.submit(f.nodes[0], "a"))
	f.awaitState(f.nodes[1], "a", work.Running)
	for part := range 4 {
		_, err := f.store.Append(store.Append{Topic: store.Jobs, Part: part, Records: []store.Record{{Key: "a"}, {Key: "a/cancel"}}})
		f.is.NoErr(err)
	}
	f.awaitState(f.nodes[1], "a", work.Completed)
}

// The previous leader can start a job after its successor has begun to read the stored
// state, until the successor fences it. The successor must not start the job again.
func TestJobStartedDuringTakeOver(t *testing.T) {
	f := newFixture(t, 2, 4*time.Second)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "before"))
	f.awaitState(f.nodes[first], "before", work.Running)
	f.storeLinks[1-first].DelayAppends(store.Progress, 150*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f.nodes[first].Drain(ctx)
	for f.leaderIndex() == first {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // The successor is reading, and its append that fences the previous leader is in flight.
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.awaitState(f.nodes[1-first], "job", work.Completed)
	f.is.Equal(f.fleet.StartCount(firstTask("job")), 1)
}

// A VM that reaches neither the store nor another failure domain must refuse calls at
// once, so that callers use another VM before their deadline.
func TestIsolatedVMRefusesAtOnce(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.awaitState(f.nodes[0], "before", work.Completed)
	f.nodes[1].Close()
	f.storeLinks[0].RefuseCalls(true)
	waiting := make(chan error, 1)
	go func() { waiting <- f.submit(f.nodes[0], "meanwhile") }()
	for end := time.Now().Add(testTimeout); f.nodes[0].Ready() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.True(!f.nodes[0].Ready())
	begun := time.Now()
	f.is.True(<-waiting != nil)
	err := f.submit(f.nodes[0], "during")
	f.is.Equal(fault.KindOf[entryvm.Kind](err), entryvm.KindNotStored)
	f.is.True(time.Since(begun) < 200*time.Millisecond)
	f.storeLinks[0].RefuseCalls(false)
	for end := time.Now().Add(testTimeout); !f.nodes[0].Ready() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.True(f.nodes[0].Ready())
	f.is.NoErr(f.submit(f.nodes[0], "after"))
	f.awaitState(f.nodes[0], "after", work.Completed)
}

// Three of four partitions fail for all VMs, among them the first of each topic and
// those that the VMs write to first. The VMs must write jobs to the remaining one.
func TestPartOfTheStoreAway(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.awaitState(f.nodes[0], "before", work.Completed)
	failed := []int{0, 1, 2, 3}
	for _, part := range failed {
		first := part == 0
		for i := range f.nodes {
			first = first || int(xxhash.Sum64String(fmt.Sprintf("vm-%d", i))%4) == part
		}
		if !first {
			failed = slices.Delete(failed, part, part+1)
			break
		}
	}
	for _, l := range f.storeLinks {
		for _, part := range failed {
			l.RefusePartition(part, true)
		}
	}
	var g errgroup.Group
	begun := time.Now()
	for i := range 8 {
		g.Go(func() error { return f.submit(f.nodes[i%2], fmt.Sprintf("job-%d", i)) })
	}
	f.is.NoErr(g.Wait())
	f.is.True(time.Since(begun) < time.Second)
	for _, l := range f.storeLinks {
		for _, part := range failed {
			l.RefusePartition(part, false)
		}
	}
	for i := range 8 {
		f.awaitState(f.nodes[0], fmt.Sprintf("job-%d", i), work.Completed)
	}
}

// An append to a slow store must not be repeated, since repeats make the store even
// slower.
func TestSlowStore(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.awaitState(f.nodes[0], "before", work.Completed)
	for _, l := range f.storeLinks {
		l.DelayCalls(350 * time.Millisecond)
	}
	for i := range 4 {
		begun := time.Now()
		f.is.NoErr(f.submit(f.nodes[i%2], fmt.Sprintf("job-%d", i)))
		f.is.True(time.Since(begun) < time.Second)
	}
	copies := 0
	for part := range 4 {
		for _, r := range f.store.Records(store.Jobs, part) {
			if len(r.Value) > 0 && r.Key != "before" {
				copies++
			}
		}
	}
	f.is.Equal(copies, 4)
}

// A job ended while the store was away and was shown as completed. Then its worker and the
// leader were lost, and the next leader ran the job again.
func TestEndIsToldOnlyOnceItIsStored(t *testing.T) {
	scenarios := []struct {
		testName string
		// workersLost is true if all workers are lost before the store is back, and
		// leaderLost if the leader is.
		workersLost, leaderLost bool
		starts                  int
	}{
		{"nothing else is lost", false, false, 1},
		{"the workers list the ends for the next leader", false, true, 1},
		{"the leader stores the ends on lost workers", true, false, 1},
		{"the workers and the leader are lost", true, true, 2},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, time.Second)
			f.is.NoErr(f.submit(f.nodes[0], "job"))
			f.awaitState(f.nodes[1], "job", work.Running)
			f.refuseStoreCalls(true)
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
				state, known, err := f.nodes[1].State(t.Context(), "job")
				f.is.NoErr(err)
				f.is.True(known)
				f.is.Equal(state, work.Running)
			}
			if sc.workersLost {
				for i := range 3 {
					f.fleet.Remove(backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: 1}, func() {})
				}
				f.is.NoErr(f.addWorker(3))
			}
			leader := f.leaderIndex()
			if sc.leaderLost {
				f.nodes[leader].Close()
			}
			f.refuseStoreCalls(false)
			begun := time.Now()
			f.awaitState(f.nodes[(leader+1)%3], "job", work.Completed)
			if !sc.leaderLost {
				f.is.True(time.Since(begun) < 2*time.Second)
			}
			f.is.Equal(f.fleet.StartCount(firstTask("job")), sc.starts)
		})
	}
}

// Callers ask for the state around the time at which they expect the job to end. A
// question that arrives shortly before the end must be answered with it, also through a
// VM that does not lead.
func TestStateQuestionWaitsForTheEnd(t *testing.T) {
	f := newFixture(t, 2, time.Second)
	f.is.NoErr(f.submit(f.nodes[0], "job"))
	f.awaitState(f.nodes[1], "job", work.Running)
	for _, n := range f.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		begun := time.Now()
		state, known, err := n.State(ctx, "job")
		cancel()
		f.is.NoErr(err)
		f.is.True(known)
		f.is.Equal(state, work.Running)                    // The job runs for longer than the caller waits.
		f.is.True(time.Since(begun) < 60*time.Millisecond) // The answer reaches the caller in time.
	}
	for _, n := range f.nodes {
		asked := 0
		for state := work.Running; state == work.Running; asked++ {
			var err error
			state, _, err = n.State(t.Context(), "job")
			f.is.NoErr(err)
		}
		f.is.True(asked <= 6) // Questions of 200 ms cover the second that the job runs.
	}
}
