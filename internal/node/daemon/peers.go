package daemon

import (
	"context"
	"net/netip"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/state/membership"
)

// Targets implements request.Peers.
func (n *Node) Targets() []request.Target {
	load, epoch := n.owner.Advertise(), n.owner.Epoch()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	targets := []request.Target{{
		Name: n.Settings.Name, Epoch: epoch, Domain: n.Settings.Domain,
		FreeFraction: load.FreeFraction, Waiting: load.TotalWaiting(),
		Usable: !n.leaving && load.Workers > 0, Reachable: true,
	}}
	for _, m := range n.memberView.Members() {
		targets = append(targets, request.Target{
			Name: m.Name, Epoch: m.Epoch, Domain: m.Domain,
			FreeFraction: m.Advert.FreeFraction, Waiting: m.Advert.Waiting,
			Usable:    m.State == membership.Alive && m.Advert.Workers > 0,
			Reachable: m.State != membership.Removed,
		})
	}
	return targets
}

// Workers implements request.Peers.
func (n *Node) Workers(domain string) []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var names []string
	for _, v := range n.vmList.VMs {
		if v.Role == vmlist.RoleWorker && v.Domain == domain {
			names = append(names, v.Name)
		}
	}
	return names
}

// peerAddressOf returns the peer address of an entry VM, from its heartbeats or
// else from the VM list.
func (n *Node) peerAddressOf(name string) (netip.AddrPort, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if m, ok := n.memberView.Member(name); ok {
		return m.Address, true
	}
	for _, v := range n.vmList.VMs {
		if v.Role == vmlist.RoleEntry && v.Name == name {
			return v.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// callPeer makes a call to another entry VM. It returns an error of
// entry.KindNotSent if the address of that VM is unknown.
func callPeer[R any](ctx context.Context, n *Node, name, method string, args any) (reply R, err error) {
	a, ok := n.peerAddressOf(name)
	if !ok {
		return reply, fault.Newf(method, entry.KindNotSent, "address of entry VM %s is unknown", name)
	}
	err = n.peerClient.Call(ctx, a, method, args, &reply)
	return reply, err
}

// callOwner calls the owner on the target entry VM. If the target is this node,
// it runs callLocal instead of making a network call, and converts an error to
// the entry.Kind that a remote call would return.
func callOwner[R any](ctx context.Context, n *Node, t request.Target, method string, args any, callLocal func() (R, error)) (R, error) {
	if t.Name != n.Settings.Name {
		return callPeer[R](ctx, n, t.Name, method, args)
	}
	reply, err := callLocal()
	if err != nil {
		return reply, fault.New(method, entry.Kind(err.Error()), err)
	}
	return reply, nil
}

// Run implements request.Peers.
func (n *Node) Run(ctx context.Context, t request.Target, a entry.RunArgs) (entry.Status, error) {
	return callOwner(ctx, n, t, "Run", a, func() (entry.Status, error) { return n.owner.Run(a) })
}

// Await implements request.Peers.
func (n *Node) Await(ctx context.Context, t request.Target, a entry.AwaitArgs) (entry.Status, error) {
	return callOwner(ctx, n, t, "Await", a, func() (entry.Status, error) { return n.owner.Await(a) })
}

// Resolve implements request.Peers.
func (n *Node) Resolve(ctx context.Context, t request.Target, a entry.ResolveArgs) (entry.ResolveReply, error) {
	return callOwner(ctx, n, t, "Resolve", a, func() (entry.ResolveReply, error) { return n.owner.Resolve(a) })
}

// Reserve implements request.Peers.
func (n *Node) Reserve(ctx context.Context, t request.Target, a entry.ReserveArgs) (entry.ReserveReply, error) {
	return callOwner(ctx, n, t, "Reserve", a, func() (entry.ReserveReply, error) { return n.owner.Reserve(a) })
}

// Cancel implements request.Peers.
func (n *Node) Cancel(ctx context.Context, t request.Target, a entry.CancelArgs) error {
	_, err := callOwner(ctx, n, t, "Cancel", a, func() (entry.Empty, error) { return entry.Empty{}, n.owner.Cancel(a) })
	return err
}

// peerHandler implements the calls of other entry VMs.
type peerHandler struct{ *Node }

// Run implements entry.Handler.
func (h peerHandler) Run(a entry.RunArgs) (entry.Status, error) { return h.owner.Run(a) }

// Await implements entry.Handler.
func (h peerHandler) Await(a entry.AwaitArgs) (entry.Status, error) { return h.owner.Await(a) }

// Cancel implements entry.Handler.
func (h peerHandler) Cancel(a entry.CancelArgs) error { return h.owner.Cancel(a) }

// Resolve implements entry.Handler.
func (h peerHandler) Resolve(a entry.ResolveArgs) (entry.ResolveReply, error) {
	return h.owner.Resolve(a)
}

// Fetch implements entry.Handler.
func (h peerHandler) Fetch(a entry.FetchArgs) (entry.FetchReply, error) {
	return h.requests.HandleFetch(a), nil
}

// Configuration implements entry.Handler.
func (h peerHandler) Configuration() (entry.ConfigurationReply, error) {
	v := h.configuration.Current()
	return entry.ConfigurationReply{Offset: v.Offset, Lists: v.Lists}, nil
}

// Usage implements entry.Handler.
func (h peerHandler) Usage() (entry.UsageReply, error) {
	return entry.UsageReply{Periods: h.currentUsage()}, nil
}

// Reserve implements entry.Handler.
func (h peerHandler) Reserve(a entry.ReserveArgs) (entry.ReserveReply, error) {
	return h.owner.Reserve(a)
}
