package entryvm

import (
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// newerVM is an entry VM that knows a claim which the leader does not know.
type newerVM struct{ epoch int64 }

// Heartbeat answers a heartbeat with the higher epoch.
func (v *newerVM) Heartbeat(_ HeartbeatArgs, r *HeartbeatReply) error {
	r.Epoch = v.epoch
	return nil
}

// newLeaderTestNode starts an entry VM without workers and waits until it leads.
func newLeaderTestNode(t *testing.T, s store.Store) (*Node, *leader) {
	is := is.New(t)
	fleet := memory.NewFleet(time.Second)
	n, err := New(Settings{
		Name: "vm-0", Domain: "domain-0", ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		Timing: scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: 200 * time.Millisecond, EndedJobRetention: time.Hour},
	}, Dependencies{
		Store: s, Adviser: fleet, Dial: fleet.Dial, DecodeRegistration: memory.DecodeRegistration,
		DecodeTable: func(data []byte) (*queue.Table, error) { return &queue.Table{}, json.Unmarshal(data, &queue.Table{}) },
	}, measure.New(), logr.Discard())
	is.NoErr(err)
	t.Cleanup(n.Close)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if l := n.activeLeader(); l != nil && l.pendingJobs("mail").Leading {
			return n, l
		}
	}
	t.Fatal("the VM does not lead")
	return nil, nil
}

// addTestMember serves calls of entry VMs and records the server as a member.
func addTestMember(t *testing.T, stored *memory.Store, handler any) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = link.Serve(listener, rpcServiceName, handler) }()
	record, err := json.Marshal(member{Name: "vm-1", Domain: "domain-1", Address: netip.MustParseAddrPort(listener.Addr().String())})
	is.NoErr(err)
	_, err = stored.Append(store.Append{Topic: store.VMs, Records: []store.Record{{Key: "vm-1", Value: record}}})
	is.NoErr(err)
}

// A leader can read no claims, and its successor does not reach it. It must stop when the
// answer to a heartbeat shows that it is superseded.
func TestSupersededLeaderStopsAtHeartbeatAnswer(t *testing.T) {
	is := is.New(t)
	stored := memory.New()
	_, l := newLeaderTestNode(t, memory.NewLink(stored))

	addTestMember(t, stored, &newerVM{l.epoch + 1})
	select {
	case <-l.ctx.Done():
	case <-time.After(5 * time.Second):
		is.Fail() // The leader goes on.
	}
	reply := l.pendingJobs("mail")
	is.True(!reply.Leading)
	state := l.awaitJobStatus("job", 0)
	is.True(!state.Leading)
}
