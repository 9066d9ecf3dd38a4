// Package entryvm runs an entry VM. Every entry VM accepts jobs from callers and
// appends them to the store. One of them, the leader, also runs the scheduler: it reads
// the jobs, calls the workers and stores the progress. A VM becomes leader by storing a
// claim with a higher epoch than any earlier claim. Earlier leaders are then fenced:
// the store refuses their progress records, which carry a lower epoch, and the workers
// refuse their orders, which carry a lower fencing token.
package entryvm

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/oops"

	"github.com/almondpost/almondpost/internal/cell/history"
	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/node/clock"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/operate/processload"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// Kind classifies the errors of this package.
type Kind string

// The values of Kind.
const (
	// KindNotStored means that a job or cancellation is not stored and never will be.
	KindNotStored Kind = "not_stored"
	// KindUnknown means that a job or cancellation may be stored or not, because the
	// store did not answer an append.
	KindUnknown Kind = "unknown"
	// KindNoLeader means that the leader, or the entry VM that was addressed, is not
	// available at the moment.
	KindNoLeader Kind = "no_leader"
	// KindUnreadable means that a record in the store was written by something other
	// than an entry VM.
	KindUnreadable Kind = "unreadable"
	// KindTooLarge means that a job exceeds Settings.MaxRecordBytes and is not stored, or
	// that a configuration from another VM exceeds maxConfigurationSize.
	KindTooLarge Kind = "too_large"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// defaultPartitionCount is the number of job partitions if Settings.Partitions is 0.
	defaultPartitionCount = 4
	// defaultMaxRecordBytes and defaultMaxAppendBytes are the limits if
	// Settings.MaxRecordBytes or Settings.MaxAppendBytes is 0.
	defaultMaxRecordBytes = 256 << 10
	defaultMaxAppendBytes = 2 << 20
	// largestAppendBytes limits Settings.MaxAppendBytes. Over a link of 10 Mbit/s an append of
	// this size takes half of relayTimeout; a larger one could never be relayed.
	largestAppendBytes = 512 << 10
)

// Settings configures a Node.
type Settings struct {
	// Name identifies the VM among the entry VMs of its cell. The VMs of a cell share
	// one store and have one leader.
	Name string
	// Domain is the failure domain of the VM.
	Domain string
	// Fitness rates how suitable the VM is as leader: its processor time in cores,
	// reduced if its network link is slow. The fittest VMs claim leadership first.
	Fitness float64
	// ListenAddress is the TCP address to listen on for other entry VMs.
	ListenAddress netip.AddrPort
	// Partitions is the number of job partitions: the partitions of the topic
	// store.Jobs that jobs are written to. It must be the same on every VM; 0 means
	// defaultPartitionCount. A partition handles one append at a time.
	Partitions int
	// MaxRecordBytes limits a record in the store, and MaxAppendBytes the records of one
	// append, measured by store.Record.EncodedSize. 0 means defaultMaxRecordBytes or
	// defaultMaxAppendBytes.
	MaxRecordBytes int
	MaxAppendBytes int
	// Timing holds the durations that the scheduler uses, such as those of leases.
	Timing scheduler.Timing
	// TeamKeys is true if callers identify themselves by keys that operators may withdraw. A
	// VM then compares its configuration with the store and with other VMs much more often,
	// and refuses callers while it may be outdated.
	TeamKeys bool
}

// withDefaults returns the settings with the defaults for limits that are 0.
func (s Settings) withDefaults() Settings {
	s.Partitions = cmp.Or(s.Partitions, defaultPartitionCount)
	s.MaxRecordBytes = cmp.Or(s.MaxRecordBytes, defaultMaxRecordBytes)
	s.MaxAppendBytes = min(cmp.Or(s.MaxAppendBytes, defaultMaxAppendBytes), largestAppendBytes)
	return s
}

// Dependencies holds the platform services that a Node uses.
type Dependencies struct {
	// Network connects the entry VMs. It is link.TCP if it is nil.
	Network link.Network
	Store   store.Store
	Adviser backend.Adviser
	// Dial returns a client for a registered worker. It does not connect until the first
	// call.
	Dial func(r backend.Registration) backend.Worker
	// DecodeTable decodes a configuration record.
	DecodeTable func(data []byte) (*queue.Table, error)
	// DecodeRegistration decodes the registration record of the worker with the given ID.
	// now is the current system time.
	DecodeRegistration func(id string, data []byte, now time.Time) (backend.Registration, error)
}

// Node is a running entry VM.
type Node struct {
	log          logr.Logger
	measures     *measure.Set
	settings     Settings
	dependencies Dependencies
	store        *relayedStore
	peerClient   *link.Client
	listener     net.Listener
	// ctx is done once the node is closed.
	ctx           context.Context
	cancel        context.CancelFunc
	members       *memberList
	writer        *jobWriter
	configuration *configurationWatcher
	longPolls     longPolls
	election      *election
	// isolation detects whether this VM is isolated, so that callers should use a VM of
	// another failure domain.
	isolation *isolationDetector
	// forwarder calls workers on behalf of the leader while another VM leads. While
	// this VM leads, dispatcher sends such calls to the other VMs.
	forwarder      *keeper.Forwarder
	dispatcher     *keeper.Dispatcher
	invalidRecords invalidRecordLog
	// progressHistory tells by when the records of the progress topic were stored.
	progressHistory history.History

	mutex sync.Mutex
	// leader is nil unless this VM leads.
	leader *leader
	// stopping is true once Drain has begun a planned stop.
	stopping bool
}

// New starts an entry VM. It returns an error if it cannot listen on s.ListenAddress.
func New(s Settings, p Dependencies, measures *measure.Set, log logr.Logger) (*Node, error) {
	if p.Network == nil {
		p.Network = link.TCP{}
	}
	l, err := p.Network.Listen(s.ListenAddress)
	if err != nil {
		return nil, oops.In("entryvm").With("address", s.ListenAddress).Wrapf(err, "listen for entry VMs")
	}
	s.ListenAddress = l.Addr().(*net.TCPAddr).AddrPort()
	s = s.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{log: log, measures: measures, settings: s, dependencies: p, peerClient: link.NewClient(rpcServiceName, p.Network), listener: l, ctx: ctx, cancel: cancel}
	n.members = newMemberList(n)
	n.store = newRelayedStore(p.Store, n)
	n.configuration = newConfigurationWatcher(n)
	n.writer = newJobWriter(n)
	n.election = newElection(n)
	n.isolation = &isolationDetector{node: n}
	n.forwarder, n.dispatcher = newForwarder(n), newDispatcher(n)
	go func() {
		if err := link.Serve(l, rpcServiceName, &rpcHandler{n}); err != nil {
			log.Error(err, "peer_server_failed")
		}
	}()
	go n.members.run(ctx)
	go n.writer.run(ctx)
	go n.configuration.run(ctx)
	go n.election.run(ctx)
	go n.isolation.run(ctx)
	go n.measureKeptSizes(ctx)
	go processload.Run(ctx, log, now, n.loadDetails)
	log.Info("started", "domain", s.Domain, "peer_address", s.ListenAddress.String())
	return n, nil
}

// Table returns the current configuration, or nil before the first one is received.
func (n *Node) Table() *queue.Table { return n.configuration.currentTable() }

// Ready reports whether callers should be sent to this VM: it has a configuration, is
// not isolated and is not about to stop.
func (n *Node) Ready() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.stopping && !n.isolation.isolated.Load() && n.configuration.currentTable() != nil
}

// Drain begins a planned stop. The VM is no longer ready and, if it leads, hands the
// leadership over to another VM. It serves calls until Close.
func (n *Node) Drain(ctx context.Context) {
	n.mutex.Lock()
	n.stopping = true
	l := n.leader
	n.mutex.Unlock()
	n.log.Info("drain_started", "leading", l != nil)
	if l != nil {
		l.finishStarts(ctx)
		n.election.handOverLeadership(ctx, slices.Clone(n.members.otherMembers()))
	}
}

// Close stops the node at once, without handing over the leadership. If the stop is planned and
// this VM leads, it tells the others when it has stored the last record.
func (n *Node) Close() {
	if l := n.activeLeader(); l != nil && n.isStopping() {
		l.stop()
		l.tellHistory()
	}
	n.cancel()
	_ = n.listener.Close()
	n.peerClient.Close()
	n.log.Info("stopped")
}

// activeLeader returns the leader that runs on this VM, or nil.
func (n *Node) activeLeader() *leader {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.leader
}

// stepDownIfSuperseded stops the leader on this VM, if there is one and its epoch is
// lower than the given one.
func (n *Node) stepDownIfSuperseded(epoch int64) {
	if l := n.activeLeader(); l != nil && l.epoch < epoch {
		n.log.Info("claim_superseded", "epoch", l.epoch, "by", epoch)
		l.stop()
	}
}

// swapLeader replaces the leader on this VM by next, but only if the current leader is
// expected. Both can be nil. If this VM begins to lead, its long polls are sent again with
// the wait of a leader.
func (n *Node) swapLeader(expected, next *leader) {
	n.mutex.Lock()
	swapped := n.leader == expected
	if swapped {
		n.leader = next
	}
	n.mutex.Unlock()
	if swapped && next != nil {
		n.longPolls.interrupt()
	}
}

// isStopping reports whether a planned stop of this VM has begun.
func (n *Node) isStopping() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.stopping
}

// sleep waits for d or until ctx is done. It reports whether the full time has passed.
func sleep(ctx context.Context, d time.Duration) bool {
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
