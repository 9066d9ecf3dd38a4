package entryvm

import (
	"context"
	"net/netip"

	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
)

// newCarrier returns what makes the calls to workers that another VM leads.
func newCarrier(n *Node) *keeper.Carrier {
	return keeper.NewCarrier(n.run, n.peers.Dial, func(ctx context.Context, leader netip.AddrPort, a keeper.Answers) error {
		_, err := link.Call[keeper.Answers, Nothing](ctx, n.client, leader, "Answered", a)
		return err
	}, n.log)
}

// newDispatcher returns what hands calls to keepers while this VM leads.
func newDispatcher(n *Node) *keeper.Dispatcher {
	return keeper.NewDispatcher(n.settings.Peers, now().UnixNano(), func(ctx context.Context, to netip.AddrPort, b keeper.Batch) error {
		_, err := link.Call[keeper.Batch, Nothing](ctx, n.client, to, "Carry", b)
		return err
	}, n.log)
}

// Carry makes calls to workers for the leader.
func (h *handler) Carry(b keeper.Batch, _ *Nothing) error {
	h.node.carrier.Carry(b)
	return nil
}

// Answered takes the answers of workers to a leader.
func (h *handler) Answered(a keeper.Answers, _ *Nothing) error {
	h.node.dispatcher.Answered(a.Answers)
	return nil
}

// dial returns a worker that is reached through its keeper.
func (l *leader) dial(r backend.Registration) backend.Worker {
	return keeper.NewWorker(l.node.dispatcher, r, l.node.peers.Dial(r))
}

// dealWorkers makes the entry VMs that answer the keepers of the workers. The leader
// is none: it has the decisions to make.
func (l *leader) dealWorkers() {
	l.mutex.Lock()
	answering := l.reachable(now())
	workers := map[string]int{}
	for _, r := range l.registrations {
		workers[r.Zone]++
	}
	l.mutex.Unlock()
	var list []keeper.Member
	for _, name := range answering {
		m, ok := l.node.members.find(name)
		if ok && name != l.node.settings.Name && !l.node.client.Silent(m.Address) {
			list = append(list, keeper.Member{Name: m.Name, Domain: m.Domain, Address: m.Address, Fitness: m.Fitness})
		}
	}
	l.node.dispatcher.SetRoster(keeper.NewRoster(list, workers))
}
