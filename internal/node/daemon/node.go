// Package daemon joins the parts of an entry VM: membership, ownership of
// workers, configuration, requests and the caller interface.
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

// KindForbidden means that the settings do not allow the call.
const KindForbidden Kind = "forbidden"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// retryRatio and retryBurst bound retries against first attempts.
	retryRatio = 0.1
	retryBurst = 50
	// totalAppendsPerSecond is shared by all entry VMs.
	totalAppendsPerSecond = 200
	// forgetAfter is when a removed member is dropped from the view.
	forgetAfter = 10 * time.Minute
)

// Node is one entry VM.
type Node struct {
	*common.Common
	incarnation uint64
	run         context.Context
	stop        context.CancelFunc

	log        logservice.Log
	lister     vmlist.Lister
	client     *entry.Client
	server     *entry.Server
	heartbeats *entry.Heartbeats
	owner      *owner.Owner
	store      *configuration.Store
	recorder   *recorder.Recorder
	claims     *claim.Book
	runner     *request.Runner
	requests   *Requests
	jobs       *Jobs
	metrics    *metrics.Registry
	traffic    *traffic.Counters
	cut        *isolation.Cut

	pendingMutex sync.Mutex
	// pendingUsage holds sums that the log has not taken yet, oldest first.
	pendingUsage []usage.Period

	mutex   sync.Mutex
	view    *membership.View
	listed  vmlist.List
	leaving bool
	gossip  *rand.Rand
	// beats counts rounds of heartbeats.
	beats uint64
}

// New starts an entry VM from its settings.
func New(c *common.Common, registry *metrics.Registry) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	counters := &traffic.Counters{}
	counters.Publish("traffic_bytes")
	cut := isolation.New()
	platform := cut.Client(isolation.Platform, traffic.Client(&counters.Platform))
	workers := traffic.Client(&counters.Workers)
	n := &Node{
		Common: c, incarnation: uint64(time.Now().UnixMilli()), run: ctx, stop: cancel,
		log:     logservice.New(c.Settings.Log, platform),
		lister:  vmlist.New(c.Settings.VMList, platform),
		metrics: registry,
		traffic: counters,
		cut:     cut,
		gossip:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	n.client = entry.New(&counters.Peers, n.isBlocked)
	if err := n.listen(); err != nil {
		cancel()
		return nil, err
	}
	dial := func(v vmlist.VM) worker.Peer { return worker.New(v.Address, workers) }
	n.owner = owner.New(ctx, c.Settings.Name, n.incarnation, owner.DefaultTiming, owner.Limits{Waiting: c.Settings.WaitingLimit, PayloadBytes: c.Settings.PayloadLimitBytes}, dial, observer{registry}, c.Log)
	n.store = configuration.New(n.configurationChanged)
	n.recorder = recorder.New(ctx, n.log, totalAppendsPerSecond)
	n.claims = claim.New(n.recorder, n.log, time.Now)
	n.runner = request.New(n, request.NewTwoChoices(c.Settings.Name, c.Settings.Domain, rand.New(rand.NewPCG(rand.Uint64(), n.incarnation))), retry.New(retryRatio, retryBurst), request.DefaultTiming, c.Log)
	n.requests = NewRequests(n)
	n.jobs = NewJobs(n)
	n.publishVariables()
	n.serve()
	return n, nil
}

// listen opens the sockets for peers: TCP and UDP on one port.
func (n *Node) listen() error {
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
	n.view = membership.New(membership.Heartbeat{
		Name: n.Settings.Name, Incarnation: n.incarnation, Domain: n.Settings.Domain, Address: n.Settings.PeerAdvertise,
	}, membership.Timing{
		SuspectAfter: time.Duration(n.Settings.SuspectAfter),
		RemoveAfter:  time.Duration(n.Settings.RemoveAfter),
		ForgetAfter:  forgetAfter,
	})
	n.server, err = entry.NewServer(l, handler{n}, &n.traffic.Peers)
	return oops.In("daemon").Wrapf(err, "serve peers")
}

// serve starts the loops.
func (n *Node) serve() {
	go configuration.Follow(n.run, n.log, n.store)
	go n.listLoop()
	go n.receiveLoop()
	go n.heartbeatLoop()
	go n.usageLoop()
	go n.snapshotLoop()
	n.Log.Info("started", "domain", n.Settings.Domain, "peer_address", n.Settings.PeerAdvertise.String(), "incarnation", n.incarnation)
}

func (n *Node) configurationChanged(v configuration.Version) {
	n.owner.SetPlans(v.Index)
	n.Log.Info("configuration_accepted", "offset", v.Offset, "plans", len(v.Lists.Entitlements.Plans))
}

// isBlocked reports whether fault injection cuts a peer off.
func (n *Node) isBlocked(a netip.AddrPort) bool {
	if !n.Settings.FaultInjection {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, m := range n.view.Members() {
		if m.Address == a {
			return n.cut.Blocks(m.Domain)
		}
	}
	return false
}

// SetCut cuts failure domains or the platform off, for tests. It fails unless
// the settings allow fault injection.
func (n *Node) SetCut(names []string) error {
	if !n.Settings.FaultInjection {
		return fault.Newf("set_cut", KindForbidden, "field fault_injection is false")
	}
	n.cut.Set(names)
	n.Log.Info("cut_set", "names", strings.Join(names, ","))
	return nil
}

// PeerAddress returns the address that peers are told.
func (n *Node) PeerAddress() netip.AddrPort { return n.Settings.PeerAdvertise }

// Ready reports whether callers should be sent here: the lists are known, and
// some entry VM offers workers.
func (n *Node) Ready() bool {
	n.mutex.Lock()
	leaving := n.leaving
	n.mutex.Unlock()
	if leaving || n.store.Current().Offset == 0 {
		return false
	}
	return slices.ContainsFunc(n.Targets(), func(t request.Target) bool { return t.Usable })
}

// drainPoll is the pause between checks during a graceful shutdown.
const drainPoll = 50 * time.Millisecond

// Drain begins a planned stop: no new work is admitted, the workers are taken
// over by other entry VMs, and open requests run to their end. It returns when
// that is done or ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.mutex.Lock()
	n.leaving = true
	n.mutex.Unlock()
	n.Log.Info("drain_started", "open", n.requests.Open(), "workers", n.owner.Held())
	n.owner.Drain()
	n.sendHeartbeats()
	for ctx.Err() == nil {
		if n.jobs.handOver(ctx) && n.requests.Open() == 0 && (n.owner.Held() == 0 || !n.hasSuccessor()) {
			break
		}
		time.Sleep(drainPoll)
	}
	n.recordUsage(ctx)
	n.Log.Info("drain_finished", "open", n.requests.Open(), "workers", n.owner.Held())
}

func (n *Node) hasSuccessor() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.view.Owners()) > 0
}

// Close stops every loop and connection at once.
func (n *Node) Close() {
	n.stop()
	n.heartbeats.Close()
	n.server.Close()
	n.client.Close()
	n.Log.Info("stopped")
}

// ownerVariables is the load of the owner as expvar shows it.
type ownerVariables struct {
	Workers      int     `json:"workers"`
	FreeFraction float64 `json:"free_fraction"`
	Waiting      []int   `json:"waiting_by_class"`
	Open         int     `json:"open_requests"`
	Offset       uint64  `json:"configuration_offset"`
}

// publishVariables shows the state in expvar. Only the first node of a process
// is shown.
func (n *Node) publishVariables() {
	if expvar.Get("owner") != nil {
		return
	}
	expvar.Publish("owner", expvar.Func(func() any {
		load := n.owner.Advertise()
		return ownerVariables{
			Workers: load.Workers, FreeFraction: load.FreeFraction, Waiting: load.Waiting[:], Open: n.requests.Open(), Offset: n.store.Current().Offset,
		}
	}))
}

// observer feeds starts into the metrics.
type observer struct{ registry *metrics.Registry }

// Started implements owner.Observer.
func (o observer) Started(t entry.Task, waited time.Duration) {
	o.registry.Waited(metrics.Key{Customer: t.Customer, Plan: t.Plan, Class: string(t.Class)}, waited)
}
