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

// fixture is a cell of several entry VMs on loopback.
type fixture struct {
	is    *is.I
	store *memory.Store
	fleet *memory.Fleet
	nodes []*entryvm.Node
	links []*memory.Link
}

const patience = 15 * time.Second

func newFixture(t *testing.T, vms int, runTime time.Duration) *fixture {
	f := &fixture{is: is.New(t), store: memory.New(), fleet: memory.NewFleet(runTime)}
	f.publish(1, "mail")
	for i := range 3 {
		f.is.NoErr(f.fleet.Add(f.store, backend.Registration{
			Life: backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: 1}, Service: "desk",
			Capacity: resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 4000},
		}))
	}
	for i := range vms {
		link := memory.NewLink(f.store)
		n, err := entryvm.New(entryvm.Settings{
			Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("domain-%d", i%2), Peers: netip.MustParseAddrPort("127.0.0.1:0"),
			Timing: scheduler.Timing{Lease: 6 * time.Second, Right: 8 * time.Second, HoldWait: 200 * time.Millisecond, Retention: time.Hour},
		}, entryvm.Peers{
			Store: link, Adviser: f.fleet, Dial: f.fleet.Dial, DecodeTable: decodeTable, DecodeRegistration: memory.DecodeRegistration,
		}, measure.New(), logr.Discard())
		f.is.NoErr(err)
		t.Cleanup(n.Close)
		f.nodes, f.links = append(f.nodes, n), append(f.links, link)
	}
	return f
}

func decodeTable(data []byte) (*queue.Table, error) {
	t := &queue.Table{}
	err := json.Unmarshal(data, t)
	t.Text = data
	return t, err
}

// publish stores a configuration with one queue.
func (f *fixture) publish(version int64, name string) {
	text, err := json.Marshal(queue.Table{Version: version, Queues: []queue.Queue{{Name: name, Host: "h", Prefix: "/", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}})
	f.is.NoErr(err)
	_, err = f.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: "config", Value: text}}})
	f.is.NoErr(err)
}

func (f *fixture) submit(n *entryvm.Node, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return n.Submit(ctx, &work.Job{ID: id, Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 2, Size: resource.Vector{Milliprocessors: 500}}}})
}

// await waits until a VM shows a state of a job.
func (f *fixture) await(n *entryvm.Node, id string, expected work.State) {
	end := time.Now().Add(patience)
	var state work.State
	var known bool
	var err error
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		state, known, err = n.State(ctx, id)
		cancel()
		if err == nil && known && state == expected {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.is.Helper()
	f.is.NoErr(err)
	f.is.Equal(state, expected)
}

// leader returns the VM that leads, by the claim in the store.
func (f *fixture) leader() int {
	end := time.Now().Add(patience)
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

// firstTask names the first task of a job.
func firstTask(id string) work.TaskID { return work.TaskID{StepID: work.StepID{Job: id}} }

func TestJobAtAnyVM(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	for i, n := range f.nodes {
		id := fmt.Sprintf("job-%d", i)
		f.is.NoErr(f.submit(n, id))
		f.await(f.nodes[(i+1)%3], id, work.Completed)
		f.is.Equal(f.fleet.Starts(firstTask(id)), 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, known, err := f.nodes[0].State(ctx, "nobody")
	f.is.NoErr(err)
	f.is.True(!known)
}

func TestSameJobAgainStaysOne(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	for _, n := range f.nodes {
		f.is.NoErr(f.submit(n, "job"))
	}
	f.await(f.nodes[0], "job", work.Completed)
	f.is.NoErr(f.submit(f.nodes[1], "job")) // Long after its first answer.
	time.Sleep(time.Second)
	f.is.Equal(f.fleet.Starts(firstTask("job")), 1)
}

func TestCancelBeforeTheJobIsRead(t *testing.T) {
	f := newFixture(t, 2, time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f.is.NoErr(f.nodes[1].Cancel(ctx, "job"))
	f.is.NoErr(f.submit(f.nodes[0], "job"))
	f.await(f.nodes[1], "job", work.Cancelled)
}

func TestTakeOver(t *testing.T) {
	f := newFixture(t, 3, 3*time.Second)
	first := f.leader()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.await(f.nodes[first], "job", work.Running)
	f.nodes[first].Close()
	other := f.nodes[(first+1)%3]
	f.is.NoErr(f.submit(other, "later"))
	f.await(other, "job", work.Completed)
	f.await(other, "later", work.Completed)
	f.is.Equal(f.fleet.Starts(firstTask("job")), 1) // It ran on through the take-over.
}

func TestHandOverOnPlannedStop(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leader()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.await(f.nodes[first], "job", work.Completed)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f.nodes[first].Drain(ctx)
	f.is.True(!f.nodes[first].Ready())
	end := time.Now().Add(patience)
	for f.leader() == first && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	f.is.True(f.leader() != first)
	f.is.NoErr(f.submit(f.nodes[first], "later")) // It still answers.
	f.await(f.nodes[first], "later", work.Completed)
}

// A leader that does not reach the store by itself lets a VM lead that does.
func TestLeaderWithoutStoreYields(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leader()
	f.is.NoErr(f.submit(f.nodes[first], "before"))
	f.await(f.nodes[first], "before", work.Completed)
	f.links[first].Refuse(true)
	f.is.NoErr(f.submit(f.nodes[(first+1)%3], "during"))
	for end := time.Now().Add(patience); f.leader() == first && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	f.is.True(f.leader() != first)
	f.await(f.nodes[first], "during", work.Completed)
}

func TestStoreThroughAnotherVM(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leader()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.await(f.nodes[first], "job", work.Completed)
	f.links[first].Refuse(true) // Both as entry VM and as leader.
	f.is.NoErr(f.submit(f.nodes[first], "cut"))
	f.await(f.nodes[first], "cut", work.Completed)
}

func TestStoreAway(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.leader()
	for _, l := range f.links {
		l.Refuse(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	err := f.nodes[0].Submit(ctx, &work.Job{ID: "job", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1}}})
	f.is.Equal(fault.KindOf[entryvm.Kind](err), entryvm.KindNotStored)
	for _, l := range f.links {
		l.Refuse(false)
	}
	time.Sleep(2 * time.Second)
	f.is.Equal(f.fleet.Starts(firstTask("job")), 0) // Not accepted is not run.
	f.is.NoErr(f.submit(f.nodes[0], "later"))
	f.await(f.nodes[1], "later", work.Completed)
}

func TestLostAnswers(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.leader()
	for _, l := range f.links {
		l.Lose(3)
	}
	f.is.NoErr(f.submit(f.nodes[0], "job"))
	f.await(f.nodes[1], "job", work.Completed)
	f.is.Equal(f.fleet.Starts(firstTask("job")), 1)
}

func TestUnansweredSubmissionIsUnknown(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.leader()
	f.links[0].Lose(100)
	f.links[1].Lose(100)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := f.nodes[0].Submit(ctx, &work.Job{ID: "job", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1}}})
	f.is.Equal(fault.KindOf[entryvm.Kind](err), entryvm.KindUnknown)
}

func TestConfigurationNeverReverts(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	f.leader()
	f.publish(9, "newer")
	end := time.Now().Add(2 * time.Second)
	for _, n := range f.nodes {
		for (n.Table() == nil || n.Table().Version != 9) && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
		f.is.Equal(n.Table().Version, int64(9))
	}
	f.publish(4, "older")
	time.Sleep(300 * time.Millisecond)
	for _, n := range f.nodes {
		f.is.Equal(n.Table().Version, int64(9))
	}
}

func TestConfigurationThroughPeers(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	f.leader()
	time.Sleep(300 * time.Millisecond)
	f.links[2].Refuse(true)
	f.publish(9, "newer")
	end := time.Now().Add(2 * time.Second)
	for f.nodes[2].Table().Version != 9 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.Equal(f.nodes[2].Table().Version, int64(9))
}

func TestEndedJobsAreKnownAfterTakeOver(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	first := f.leader()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.await(f.nodes[first], "job", work.Completed)
	dropped := func() bool {
		for part := range 4 {
			records := f.store.Records(store.Jobs, part)
			if len(records) > 0 && len(records[len(records)-1].Value) == 0 {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(patience); !dropped() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	f.is.True(dropped()) // The submission is deleted soon after the end.
	f.nodes[first].Close()
	other := f.nodes[(first+1)%3]
	f.await(other, "job", work.Completed)
	f.is.NoErr(f.submit(other, "job")) // The same ID again stays the same job.
	time.Sleep(500 * time.Millisecond)
	f.is.Equal(f.fleet.Starts(firstTask("job")), 1)
}

func TestHistoryDropped(t *testing.T) {
	f := newFixture(t, 3, 50*time.Millisecond)
	f.leader()
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.await(f.nodes[1], "before", work.Completed)
	for _, topic := range []store.Topic{store.Jobs, store.Progress, store.Claims, store.VMs, store.Configuration, store.Workers} {
		for part := range 4 {
			f.store.Drop(topic, part)
		}
	}
	f.publish(9, "mail")
	f.is.NoErr(f.submit(f.nodes[1], "after"))
	f.await(f.nodes[2], "after", work.Completed)
	f.await(f.nodes[2], "before", work.Completed)
	end := time.Now().Add(2 * time.Second)
	for f.nodes[2].Table().Version != 9 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.Equal(f.nodes[2].Table().Version, int64(9))
}

// A deposed leader that returns reads that the submission of a job was dropped,
// with its cancellation if there was one.
func TestDroppedSubmissionIsNoCancellation(t *testing.T) {
	f := newFixture(t, 2, 4*time.Second)
	f.is.NoErr(f.submit(f.nodes[0], "a"))
	f.await(f.nodes[1], "a", work.Running)
	for part := range 4 {
		_, err := f.store.Append(store.Append{Topic: store.Jobs, Part: part, Records: []store.Record{{Key: "a"}, {Key: "a/cancel"}}})
		f.is.NoErr(err)
	}
	f.await(f.nodes[1], "a", work.Completed)
}

// The last leader starts a job after its successor has begun to read, and before it
// is fenced.
func TestJobStartedDuringTakeOver(t *testing.T) {
	f := newFixture(t, 2, 4*time.Second)
	first := f.leader()
	f.is.NoErr(f.submit(f.nodes[first], "before"))
	f.await(f.nodes[first], "before", work.Running)
	f.links[1-first].Delay(store.Progress, 150*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	f.nodes[first].Drain(ctx)
	for f.leader() == first {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // The successor reads, and its fencing append is on its way.
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.await(f.nodes[1-first], "job", work.Completed)
	f.is.Equal(f.fleet.Starts(firstTask("job")), 1)
}

// A VM that reaches neither the store nor another failure domain sends callers away
// at once.
func TestIsolatedVMRefusesAtOnce(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.await(f.nodes[0], "before", work.Completed)
	f.nodes[1].Close()
	f.links[0].Refuse(true)
	waiting := make(chan error, 1)
	go func() { waiting <- f.submit(f.nodes[0], "meanwhile") }()
	for end := time.Now().Add(patience); f.nodes[0].Ready() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.True(!f.nodes[0].Ready())
	begun := time.Now()
	f.is.True(<-waiting != nil)
	err := f.submit(f.nodes[0], "during")
	f.is.Equal(fault.KindOf[entryvm.Kind](err), entryvm.KindNotStored)
	f.is.True(time.Since(begun) < 200*time.Millisecond)
	f.links[0].Refuse(false)
	for end := time.Now().Add(patience); !f.nodes[0].Ready() && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	f.is.True(f.nodes[0].Ready())
	f.is.NoErr(f.submit(f.nodes[0], "after"))
	f.await(f.nodes[0], "after", work.Completed)
}

// Some partitions of the store are away for all VMs, among them the first of each
// topic and those to which the VMs write first; jobs go to the one that is left.
func TestPartOfTheStoreAway(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.await(f.nodes[0], "before", work.Completed)
	away := []int{0, 1, 2, 3}
	for _, part := range away {
		first := part == 0
		for i := range f.nodes {
			first = first || int(xxhash.Sum64String(fmt.Sprintf("vm-%d", i))%4) == part
		}
		if !first {
			away = slices.Delete(away, part, part+1)
			break
		}
	}
	for _, l := range f.links {
		for _, part := range away {
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
	for _, l := range f.links {
		for _, part := range away {
			l.RefusePartition(part, false)
		}
	}
	for i := range 8 {
		f.await(f.nodes[0], fmt.Sprintf("job-%d", i), work.Completed)
	}
}

// The store answers slowly; nothing is sent twice, which would make it slower.
func TestSlowStore(t *testing.T) {
	f := newFixture(t, 2, 50*time.Millisecond)
	f.is.NoErr(f.submit(f.nodes[0], "before"))
	f.await(f.nodes[0], "before", work.Completed)
	for _, l := range f.links {
		l.Slow(350 * time.Millisecond)
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

// A job that ends while the store is away is shown as completed all the same.
func TestJobEndsWhileTheStoreIsAway(t *testing.T) {
	f := newFixture(t, 3, time.Second)
	f.is.NoErr(f.submit(f.nodes[0], "job"))
	f.await(f.nodes[1], "job", work.Running)
	for _, l := range f.links {
		l.Refuse(true)
	}
	begun := time.Now()
	f.await(f.nodes[1], "job", work.Completed)
	f.is.True(time.Since(begun) < 5*time.Second)
	for _, l := range f.links {
		l.Refuse(false)
	}
	leader := f.leader()
	f.nodes[leader].Close()
	f.await(f.nodes[(leader+1)%3], "job", work.Completed)
	f.is.Equal(f.fleet.Starts(firstTask("job")), 1)
}
