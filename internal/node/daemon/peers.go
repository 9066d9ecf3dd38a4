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
	out := []request.Target{{
		Name: n.Settings.Name, Epoch: epoch, Domain: n.Settings.Domain,
		Free: load.FreeFraction, Waiting: load.TotalWaiting(),
		Usable: !n.leaving && load.Workers > 0, Reachable: true,
	}}
	for _, m := range n.view.Members() {
		out = append(out, request.Target{
			Name: m.Name, Epoch: m.Epoch, Domain: m.Domain,
			Free: m.Advert.Free, Waiting: m.Advert.Waiting,
			Usable:    m.State == membership.Alive && m.Advert.Workers > 0,
			Reachable: m.State != membership.Removed,
		})
	}
	return out
}

// Workers implements request.Peers.
func (n *Node) Workers(domain string) []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var out []string
	for _, v := range n.listed.VMs {
		if v.Role == vmlist.Worker && v.Domain == domain {
			out = append(out, v.Name)
		}
	}
	return out
}

func (n *Node) address(name string) (netip.AddrPort, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if m, ok := n.view.Member(name); ok {
		return m.Address, true
	}
	for _, v := range n.listed.VMs {
		if v.Role == vmlist.Entry && v.Name == name {
			return v.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// callPeer calls another entry VM by name.
func callPeer[R any](ctx context.Context, n *Node, name, method string, args any) (reply R, err error) {
	a, ok := n.address(name)
	if !ok {
		return reply, fault.Newf(method, entry.KindNotSent, "no address of %s", name)
	}
	err = n.client.Call(ctx, a, method, args, &reply)
	return reply, err
}

// callOwner calls the own owner directly and others by name. An error of the
// own owner gets the kind that a remote one has.
func callOwner[R any](ctx context.Context, n *Node, t request.Target, method string, args any, own func() (R, error)) (R, error) {
	if t.Name != n.Settings.Name {
		return callPeer[R](ctx, n, t.Name, method, args)
	}
	reply, err := own()
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
	_, err := callOwner(ctx, n, t, "Cancel", a, func() (entry.Nothing, error) { return entry.Nothing{}, n.owner.Cancel(a) })
	return err
}

// handler serves the calls of other entry VMs.
type handler struct{ *Node }

// Run implements entry.Handler.
func (h handler) Run(a entry.RunArgs) (entry.Status, error) { return h.owner.Run(a) }

// Await implements entry.Handler.
func (h handler) Await(a entry.AwaitArgs) (entry.Status, error) { return h.owner.Await(a) }

// Cancel implements entry.Handler.
func (h handler) Cancel(a entry.CancelArgs) error { return h.owner.Cancel(a) }

// Resolve implements entry.Handler.
func (h handler) Resolve(a entry.ResolveArgs) (entry.ResolveReply, error) { return h.owner.Resolve(a) }

// Fetch implements entry.Handler.
func (h handler) Fetch(a entry.FetchArgs) (entry.FetchReply, error) { return h.requests.Serve(a), nil }

// Configuration implements entry.Handler.
func (h handler) Configuration() (entry.ConfigurationReply, error) {
	v := h.store.Current()
	return entry.ConfigurationReply{Offset: v.Offset, Lists: v.Lists}, nil
}

// Usage implements entry.Handler.
func (h handler) Usage() (entry.UsageReply, error) {
	return entry.UsageReply{Periods: h.currentUsage()}, nil
}

// Reserve implements entry.Handler.
func (h handler) Reserve(a entry.ReserveArgs) (entry.ReserveReply, error) { return h.owner.Reserve(a) }
