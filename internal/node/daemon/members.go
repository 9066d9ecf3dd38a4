package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/state/membership"
)

const (
	// outsideSample is how many members of other domains get each heartbeat.
	outsideSample = 1
	// fullHeartbeatEvery is how often a heartbeat carries what peers know.
	fullHeartbeatEvery = 10
)

func (n *Node) heartbeatLoop() {
	tick := time.NewTicker(time.Duration(n.Settings.HeartbeatInterval))
	defer tick.Stop()
	for {
		n.sendHeartbeats()
		n.mutex.Lock()
		changed := n.view.Tick(time.Now())
		n.mutex.Unlock()
		if changed {
			n.membersChanged()
		}
		n.assign()
		select {
		case <-n.run.Done():
			return
		case <-tick.C:
		case <-n.owner.Gained():
		}
	}
}

// sendHeartbeats greets every member of the own domain, a sample of the others,
// and every address that has not answered yet.
func (n *Node) sendHeartbeats() {
	load, epoch := n.owner.Advertise(), n.owner.Epoch()
	n.mutex.Lock()
	n.view.SetSelf(membership.Advert{Free: load.FreeFraction, Waiting: load.TotalWaiting(), Workers: load.Workers}, epoch, n.store.Current().Offset, n.leaving)
	self := n.view.Self()
	targets := n.heartbeatTargets()
	n.beats++
	full := n.beats%fullHeartbeatEvery == 1
	n.mutex.Unlock()
	for a, known := range targets {
		h := self
		if known && !full {
			h = self.Brief()
		}
		if sent, err := n.heartbeats.Send(a, h); err == nil {
			n.traffic.Heartbeats.Add(sent)
		}
	}
}

// heartbeatTargets returns the addresses to send to, and for each whether the
// member there has been heard.
func (n *Node) heartbeatTargets() map[netip.AddrPort]bool {
	targets := map[netip.AddrPort]bool{}
	known := map[netip.AddrPort]bool{n.Settings.PeerAdvertise: true}
	var outside []netip.AddrPort
	for _, m := range n.view.Members() {
		known[m.Address] = true
		if m.Domain == n.Settings.Domain {
			targets[m.Address] = true
		} else {
			outside = append(outside, m.Address)
		}
	}
	for i := range min(outsideSample, len(outside)) {
		j := i + n.gossip.IntN(len(outside)-i)
		outside[i], outside[j] = outside[j], outside[i]
		targets[outside[i]] = true
	}
	for _, a := range n.Settings.Seeds {
		if !known[a] {
			targets[a] = false
		}
	}
	for _, v := range n.listed.VMs {
		if v.Role == vmlist.Entry && !known[v.Address] {
			targets[v.Address] = false
		}
	}
	return targets
}

func (n *Node) receiveLoop() {
	for {
		received, err := n.heartbeats.Receive()
		if err != nil {
			return
		}
		h := received.Heartbeat
		n.mutex.Lock()
		m, _ := n.view.Member(h.Name)
		n.mutex.Unlock()
		if n.cut.Blocks(h.Domain) || n.cut.Blocks(m.Domain) {
			continue
		}
		n.traffic.Heartbeats.Add(received.Length)
		if h.IsBrief() {
			h.Address = m.Address
		}
		n.mutex.Lock()
		known := m.Incarnation >= h.Incarnation
		changed := n.view.Observe(time.Now(), received.Heartbeat)
		self := n.view.Self()
		n.mutex.Unlock()
		if !known {
			_, _ = n.heartbeats.Send(received.From, self)
		}
		if changed {
			n.membersChanged()
			n.assign()
		}
		if h.Offset > n.store.Current().Offset {
			n.learnConfiguration(h)
		}
	}
}

func (n *Node) membersChanged() {
	n.mutex.Lock()
	members := n.view.Members()
	n.mutex.Unlock()
	for _, m := range members {
		n.Log.V(1).Info("member", "name", m.Name, "state", string(m.State), "incarnation", m.Incarnation)
	}
	n.recorder.SetRate(totalAppendsPerSecond / float64(1+len(members)))
}

// learnConfiguration fetches the newest lists from a peer that is ahead.
func (n *Node) learnConfiguration(h membership.Heartbeat) {
	go func() {
		ctx, cancel := context.WithTimeout(n.run, entry.CallTimeout)
		defer cancel()
		var reply entry.ConfigurationReply
		if err := n.client.Call(ctx, h.Address, "Configuration", entry.Nothing{}, &reply); err != nil {
			return
		}
		if err := n.store.Learn(reply.Offset, reply.Lists); err != nil {
			n.Log.Error(err, "configuration_refused", "from", h.Name)
		}
	}()
}

// listLoop reads the VM list. During an outage the last list stays in use.
func (n *Node) listLoop() {
	tick := time.NewTicker(time.Duration(n.Settings.VMListInterval))
	defer tick.Stop()
	for {
		l, err := n.lister.List(n.run, "")
		if err == nil {
			n.mutex.Lock()
			n.listed = l
			n.mutex.Unlock()
			n.assign()
		}
		select {
		case <-n.run.Done():
			return
		case <-tick.C:
		}
	}
}

// assign tells the owner which workers of the domain it should hold.
func (n *Node) assign() {
	n.mutex.Lock()
	owners := n.view.Owners()
	var mine []vmlist.VM
	for _, v := range n.listed.VMs {
		if v.Role != vmlist.Worker || v.Domain != n.Settings.Domain {
			continue
		}
		if membership.Rendezvous(v.Name, owners) == n.Settings.Name {
			mine = append(mine, v)
		}
	}
	n.mutex.Unlock()
	n.owner.Assign(mine)
}
