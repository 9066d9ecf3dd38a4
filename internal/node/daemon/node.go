// Package daemon runs an entry VM in a cell whose entry VMs have equal roles. A
// Node exchanges heartbeats with the other entry VMs, allocates tasks on its
// part of the workers of its failure domain, follows the configuration in the
// log, and runs the requests and jobs of callers. Package entryvm, in contrast,
// runs entry VMs of which one leads the cell.
package daemon

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/almondpost/almondpost/internal/decide/retry"
	"github.com/almondpost/almondpost/internal/emulate/isolation"
	"github.com/almondpost/almondpost/internal/node/common"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/owner"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/operate/metrics"
	"github.com/almondpost/almondpost/internal/operate/traffic"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/peer/worker"
	"github.com/almondpost/almondpost/internal/state/claim"
	"github.com/almondpost/almondpost/internal/state/configuration"
	"github.com/almondpost/almondpost/internal/state/membership"
	"github.com/almondpost/almondpost/internal/state/recorder"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// Kind classifies the errors of this package.
type Kind string

// KindForbidden means that the settings do not allow the operation.
const KindForbidden Kind = "forbidden"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// retryRatio and retryBurst set the retry budget. retryRatio is the number of
	// retries per first attempt in the long run, and retryBurst is the number of
	// retries that may be made at once.
	retryRatio = 0.1
	retryBurst = 50
	// totalAppendsPerSecond limits the log appends of all entry VMs together.
	// Each one gets an equal part.
	totalAppendsPerSecond = 200
	// removedMemberRetention is how long a removed member stays in the membership
	// view.
	removedMemberRetention = 10 * time.Minute
)

// Node is the running process of one entry VM.
type Node struct {
	*common.Common
	// incarnation is the start time of this process in Unix milliseconds. It
	// distinguishes the process from earlier ones of the same name.
	incarnation uint64
	// context ends when the node is closed.
	context context.Context
	cancel  context.CancelFunc

	logService logservice.Log
	vmLister   vmlist.Lister
	peerClient *entry.Client
	peerServer *entry.Server
	heartbeats *entry.Heartbeats
	// owner allocates tasks on the workers that this node has adopted.
	owner         *owner.Owner
	configuration *configuration.Store
	// recorder appends records to the log at a limited rate.
	recorder *recorder.Recorder
	// claims claims idempotency keys in the log.
	claims *claim.Registry
	// runner offers tasks to owners and follows them to their outcome.
	runner   *request.Runner
	requests *Requests
	jobs     *Jobs
	metrics  *metrics.Registry
	traffic  *traffic.Counters
	// cut is the network partition that SetCut simulates.
	cut *isolation.Cut

	// usageMutex guards pendingUsage.
	usageMutex sync.Mutex
	// pendingUsage holds the usage periods that still have to be appended to the
	// log, oldest first.
	pendingUsage []usage.Period

	// mutex guards the fields below.
	mutex sync.Mutex
	// memberView is what this node knows about the other entry VMs.
	memberView *membership.View
	// vmList is the last VM list that was read from the platform.
	vmList vmlist.List
	// leaving is set when a drain begins.
	leaving bool
	// random selects the members of other domains that get a heartbeat.
	random *rand.Rand
	// heartbeatRounds counts the rounds of heartbeats that were sent.
	heartbeatRounds uint64
}

// New starts an entry VM. It fails if the peer address of the settings cannot
// be bound.
func New(c *common.Common, registry *metrics.Registry) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	counters := &traffic.Counters{}
	counters.Publish("traffic_bytes")
	cut := isolation.New()
	platform := cut.WrapClient(isolation.Platform, traffic.NewHTTPClient(&counters.Platform))
	workers := traffic.NewHTTPClient(&counters.Workers)
	n := &Node{
		Common: c, incarnation: uint64(time.Now().UnixMilli()), context: ctx, cancel: cancel,
		logService: logservice.New(c.Settings.Log, platform),
		vmLister:   vmlist.New(c.Settings.VMList, platform),
		metrics:    registry,
		traffic:    counters,
		cut:        cut,
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	n.peerClient = entry.NewClient(&counters.Peers, n.isPeerCutOff)
	if err := n.listenForPeers(); err != nil {
		cancel()
		return nil, err
	}
	dial := func(v vmlist.VM) worker.Peer { return worker.New(v.Address, workers) }
	n.owner = owner.New(ctx, c.Settings.Name, n.incarnation, owner.DefaultTiming, owner.Limits{MaxWaiting: c.Settings.WaitingLimit, PayloadBytes: c.Settings.PayloadLimitBytes}, dial, waitTimeRecorder{registry}, c.Log)
	n.configuration = configuration.New(n.handleConfigurationChange)
	n.recorder = recorder.New(ctx, n.logService, totalAppendsPerSecond)
	n.claims = claim.New(n.recorder, n.logService, time.Now)
	n.runner = request.New(n, request.NewTwoChoiceRouter(c.Settings.Name, c.Settings.Domain, rand.New(rand.NewPCG(rand.Uint64(), n.incarnation))), retry.New(retryRatio, retryBurst), request.DefaultTiming, c.Log)
	n.requests = NewRequests(n)
	n.jobs = NewJobs(n)
	n.publishVariables()
	n.startLoops()
	return n, nil
}

// listenForPeers opens the sockets for other entry VMs on one port: TCP for
// calls and UDP for heartbeats. It also creates the membership view and the
// call server.
func (n *Node) listenForPeers() error {
	l, err := net.Listen("tcp", n.Settings.PeerListen.String())
	if err != nil {
		return oops.In("daemon").With("address", n.Settings.PeerListen).Wrapf(err, "listen for peers")
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	if n.heartbeats, err = entry.ListenHeartbeats(address); err != nil {
		return oops.In("daemon").With("address", address).Wrapf(err, "listen for heartbeats")
	}
	if !n.Settings.PeerAdvertise.IsValid() {
		n.Settings.PeerAdvertise = address
	}
	n.memberView = membership.New(membership.Heartbeat{
		Name: n.Settings.Name, Incarnation: n.incarnation, Domain: n.Settings.Domain, Address: n.Settings.PeerAdvertise,
	}, membership.Timing{
		SuspectAfter: time.Duration(n.Settings.SuspectAfter),
		RemoveAfter:  time.Duration(n.Settings.RemoveAfter),
		ForgetAfter:  removedMemberRetention,
	})
	n.peerServer, err = entry.NewServer(l, peerHandler{n}, &n.traffic.Peers)
	return oops.In("daemon").Wrapf(err, "serve peers")
}

// startLoops starts the background loops of the node.
func (n *Node) startLoops() {
	go configuration.Follow(n.context, n.logService, n.configuration)
	go n.vmListLoop()
	go n.receiveHeartbeatLoop()
	go n.heartbeatLoop()
	go n.usageLoop()
	go n.snapshotLoop()
	n.Log.Info("started", "domain", n.Settings.Domain, "peer_address", n.Settings.PeerAdvertise.String(), "incarnation", n.incarnation)
}

// handleConfigurationChange applies a newly accepted configuration.
func (n *Node) handleConfigurationChange(v configuration.Version) {
	n.owner.SetPlans(v.Index)
	n.Log.Info("configuration_accepted", "offset", v.Offset, "plans", len(v.Lists.Entitlements.Plans))
}

// isPeerCutOff reports whether fault injection drops the calls to a peer.
func (n *Node) isPeerCutOff(a netip.AddrPort) bool {
	if !n.Settings.FaultInjection {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, m := range n.memberView.Members() {
		if m.Address == a {
			return n.cut.Blocks(m.Domain)
		}
	}
	return false
}

// SetCut simulates a network partition for tests: until the next call, calls to
// the named failure domains or the platform get no answer, and heartbeats from
// these domains are ignored. It returns an error of KindForbidden unless the
// settings allow fault injection.
func (n *Node) SetCut(names []string) error {
	if !n.Settings.FaultInjection {
		return fault.Newf("set_cut", KindForbidden, "field fault_injection is false")
	}
	n.cut.Set(names)
	n.Log.Info("cut_set", "names", strings.Join(names, ","))
	return nil
}

// PeerAddress returns the address at which other entry VMs reach this one.
func (n *Node) PeerAddress() netip.AddrPort { return n.Settings.PeerAdvertise }

// Ready reports whether the load balancer should send callers to this VM: it is
// not draining, it has a configuration, and at least one entry VM accepts work
// for its workers.
func (n *Node) Ready() bool {
	n.mutex.Lock()
	leaving := n.leaving
	n.mutex.Unlock()
	if leaving || n.configuration.Current().Offset == 0 {
		return false
	}
	return slices.ContainsFunc(n.Targets(), func(t request.Target) bool { return t.Usable })
}

// drainPollInterval is the interval at which Drain checks whether it is done.
const drainPollInterval = 50 * time.Millisecond

// Drain prepares a planned stop: the node admits no new work for its workers,
// other entry VMs take over its workers and jobs, and open requests run to
// their end. Drain returns when this is done or ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.mutex.Lock()
	n.leaving = true
	n.mutex.Unlock()
	n.Log.Info("drain_started", "open", n.requests.OpenCount(), "workers", n.owner.AdoptedWorkers())
	n.owner.Drain()
	n.sendHeartbeats()
	for ctx.Err() == nil {
		if n.jobs.handOverJobs(ctx) && n.requests.OpenCount() == 0 && (n.owner.AdoptedWorkers() == 0 || !n.hasSuccessor()) {
			break
		}
		time.Sleep(drainPollInterval)
	}
	n.recordUsage(ctx)
	n.Log.Info("drain_finished", "open", n.requests.OpenCount(), "workers", n.owner.AdoptedWorkers())
}

// hasSuccessor reports whether another entry VM of the failure domain can take
// over the workers of this node. This node must be leaving already, so that it
// does not count itself.
func (n *Node) hasSuccessor() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.memberView.Owners()) > 0
}

// Close stops all loops and closes all connections without draining.
func (n *Node) Close() {
	n.cancel()
	n.heartbeats.Close()
	n.peerServer.Close()
	n.peerClient.Close()
	n.Log.Info("stopped")
}

// ownerVariables is the value of the expvar "owner": the load of this node.
type ownerVariables struct {
	Workers             int     `json:"workers"`
	FreeFraction        float64 `json:"free_fraction"`
	WaitingByClass      []int   `json:"waiting_by_class"`
	OpenRequests        int     `json:"open_requests"`
	ConfigurationOffset uint64  `json:"configuration_offset"`
}

// publishVariables publishes the load of this node as the expvar "owner". If a
// process runs several nodes, only the first one is published.
func (n *Node) publishVariables() {
	if expvar.Get("owner") != nil {
		return
	}
	expvar.Publish("owner", expvar.Func(func() any {
		load := n.owner.Advertise()
		return ownerVariables{
			Workers: load.Workers, FreeFraction: load.FreeFraction, WaitingByClass: load.WaitingByClass[:], OpenRequests: n.requests.OpenCount(), ConfigurationOffset: n.configuration.Current().Offset,
		}
	}))
}

// waitTimeRecorder records the waiting time of started tasks in the metrics.
type waitTimeRecorder struct{ registry *metrics.Registry }

// Started implements owner.Observer.
func (o waitTimeRecorder) Started(t entry.Task, waited time.Duration) {
	o.registry.RecordWait(metrics.Key{Customer: t.Customer, Plan: t.Plan, Class: string(t.Class)}, waited)
}
