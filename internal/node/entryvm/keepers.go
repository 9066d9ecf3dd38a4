package entryvm

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
)

// newForwarder returns the forwarder that calls workers on behalf of the leader while
// another VM leads.
func newForwarder(n *Node) *keeper.Forwarder {
	return keeper.NewForwarder(n.ctx, n.dependencies.Dial, func(ctx context.Context, leader netip.AddrPort, a keeper.Answers) error {
		_, err := link.Call[keeper.Answers, Nothing](ctx, n.peerClient, leader, "Answered", a)
		return err
	}, n.log)
}

// newDispatcher returns the dispatcher that sends calls to keepers while this VM leads.
// Call numbers start at the current time in nanoseconds, so they are higher than those
// of earlier processes on this VM.
func newDispatcher(n *Node) *keeper.Dispatcher {
	return keeper.NewDispatcher(n.settings.ListenAddress, now().UnixNano(), func(ctx context.Context, to netip.AddrPort, b keeper.Batch) error {
		_, err := link.Call[keeper.Batch, Nothing](ctx, n.peerClient, to, "Carry", b)
		switch fault.KindOf[link.Kind](err) {
		case link.KindUnreachable:
			return fmt.Errorf("%w: %w", keeper.ErrNotSent, err)
		case link.KindFailed:
			return fmt.Errorf("%w: %w", keeper.ErrRefused, err)
		}
		return err
	}, n.log)
}

// Carry makes calls to workers on behalf of the leader. It returns before they are
// answered. If this VM is about to stop, it makes none and returns an error: the calls that are
// under way when the process ends are lost, and a task whose start may be lost waits for seconds.
func (h *rpcHandler) Carry(b keeper.Batch, _ *Nothing) error {
	if h.node.isStopping() {
		return fault.Newf("carry", KindNoLeader, "this VM is about to stop")
	}
	h.node.forwarder.Forward(b)
	return nil
}

// Answered receives from a keeper the workers' answers to calls that this VM sent as
// leader.
func (h *rpcHandler) Answered(a keeper.Answers, _ *Nothing) error {
	h.node.dispatcher.HandleAnswers(a.Answers)
	return nil
}

// dialWorker returns a client that calls a worker through its keeper.
func (l *leader) dialWorker(r backend.Registration) *keeper.WorkerClient {
	return keeper.NewWorkerClient(l.node.dispatcher, r, l.node.dependencies.Dial(r))
}

// workersByDomain returns the number of workers in each failure domain that the leader
// calls, whether they are listed or not. The caller must hold the mutex.
func (l *leader) workersByDomain() map[string]int {
	workers := map[string]int{}
	for _, s := range l.sessions {
		workers[s.domain]++
	}
	return workers
}

// assignKeepers assigns workers to keepers: to other entry VMs that answer heartbeats
// and other calls. The leader itself is never a keeper, since it needs its processor
// time for scheduling.
func (l *leader) assignKeepers() {
	l.mutex.Lock()
	answering := l.reachableVMs(now())
	workers := l.workersByDomain()
	l.mutex.Unlock()
	var list []keeper.Member
	for _, name := range answering {
		m, ok := l.node.members.findByName(name)
		if ok && name != l.node.settings.Name && !l.node.peerClient.IsPeerSilent(m.Address) {
			list = append(list, keeper.Member{Name: m.Name, Domain: m.Domain, Address: m.Address, Fitness: m.Fitness})
		}
	}
	l.node.dispatcher.SetAssignment(keeper.NewAssignment(list, workers))
}
