// Package entryvm runs an entry VM: it takes jobs from callers, stores them, and
// leads the cell when it holds the claim.
package entryvm

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/node/clock"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindNotStored means that a job was not and will not be accepted.
	KindNotStored Kind = "not_stored"
	// KindUnknown means that a job may have been accepted.
	KindUnknown Kind = "unknown"
	// KindNoLeader means that no leader answers at the moment.
	KindNoLeader Kind = "no_leader"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// defaultPartitions is the number of partitions for jobs where settings name none.
const defaultPartitions = 4

// Settings are what a Node has to be told.
type Settings struct {
	// Name is unique among entry VMs.
	Name string
	// Domain is the failure domain of the VM.
	Domain string
	// Fitness tells how well the VM can lead: its processor time in cores, less
	// where its link is narrow. The fittest lead first.
	Fitness float64
	// Peers is where other entry VMs connect, over TCP.
	Peers netip.AddrPort
	// Partitions is how many partitions of the store take jobs, the same on every VM;
	// 0 stands for defaultPartitions. One takes one append at a time.
	Partitions int
	// Timing is that of the platform.
	Timing scheduler.Timing
}

// Peers are the connections of a Node to the platform.
type Peers struct {
	Store   store.Store
	Adviser backend.Adviser
	// Dial returns a worker by its registration. It does not connect yet.
	Dial func(r backend.Registration) backend.Worker
	// DecodeTable reads a configuration record.
	DecodeTable func(data []byte) (*queue.Table, error)
	// DecodeRegistration reads the record of a worker.
	DecodeRegistration func(id string, data []byte) (backend.Registration, error)
}

// Node is one entry VM.
type Node struct {
	log      logr.Logger
	measures *measure.Set
	settings Settings
	peers    Peers
	store    *relayedStore
	client   *link.Client
	listener net.Listener
	run      context.Context
	stop     context.CancelFunc
	members  *members
	writer   *jobWriter
	tables   *tables
	election *election
	// isolation tells whether callers are better off at other VMs.
	isolation *isolation
	// carrier makes calls to workers for the leader, dispatcher hands them to other
	// VMs while this one leads.
	carrier    *keeper.Carrier
	dispatcher *keeper.Dispatcher

	mutex sync.Mutex
	// lead is nil unless this VM leads.
	lead *leader
	// leaving tells that a planned stop has begun.
	leaving bool
}

// New starts an entry VM.
func New(s Settings, p Peers, measures *measure.Set, log logr.Logger) (*Node, error) {
	l, err := net.Listen("tcp", s.Peers.String())
	if err != nil {
		return nil, oops.In("entryvm").With("address", s.Peers).Wrapf(err, "listen for entry VMs")
	}
	s.Peers = l.Addr().(*net.TCPAddr).AddrPort()
	if s.Partitions == 0 {
		s.Partitions = defaultPartitions
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{log: log, measures: measures, settings: s, peers: p, client: link.NewClient(serviceName), listener: l, run: ctx, stop: cancel}
	n.members = newMembers(n)
	n.store = newRelayedStore(p.Store, n)
	n.tables = newTables(n)
	n.writer = newJobWriter(n)
	n.election = newElection(n)
	n.isolation = &isolation{node: n}
	n.carrier, n.dispatcher = newCarrier(n), newDispatcher(n)
	go func() {
		if err := link.Serve(l, serviceName, &handler{n}); err != nil {
			log.Error(err, "peer_server_failed")
		}
	}()
	go n.members.run(ctx)
	go n.writer.run(ctx)
	go n.tables.run(ctx)
	go n.election.run(ctx)
	go n.isolation.run(ctx)
	log.Info("started", "domain", s.Domain, "peer_address", s.Peers.String())
	return n, nil
}

// Table returns the configuration in force, or nil.
func (n *Node) Table() *queue.Table { return n.tables.current() }

// Ready reports whether callers should be sent here.
func (n *Node) Ready() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.leaving && !n.isolation.isolated.Load() && n.tables.current() != nil
}

// Drain begins a planned stop: the leader hands the cell over.
func (n *Node) Drain(ctx context.Context) {
	n.mutex.Lock()
	n.leaving = true
	lead := n.lead
	n.mutex.Unlock()
	n.log.Info("drain_started", "leading", lead != nil)
	if lead != nil {
		n.election.handOver(ctx, n.members.others())
	}
}

// Close stops everything at once.
func (n *Node) Close() {
	n.stop()
	_ = n.listener.Close()
	n.client.Close()
	n.log.Info("stopped")
}

func (n *Node) leading() *leader {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lead
}

// deposed ends the leadership of this VM if it is of an earlier epoch.
func (n *Node) deposed(epoch int64) {
	if l := n.leading(); l != nil && l.epoch < epoch {
		n.log.Info("claim_superseded", "epoch", l.epoch, "by", epoch)
		l.stop()
	}
}

// setLead replaces the leadership of this VM if it is the expected one.
func (n *Node) setLead(expected, next *leader) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.lead == expected {
		n.lead = next
	}
}

func (n *Node) isLeaving() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.leaving
}

// pause waits for a time; it reports whether ctx is still open.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

var now = clock.Now
