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
	// crossDomainFanout is the number of members of other failure domains that
	// get a heartbeat in each round.
	crossDomainFanout = 1
	// One of every roundsPerFullHeartbeat rounds sends full heartbeats to known
	// members. The other rounds leave out the domain and the address, which these
	// members know already. All other entry VMs get full heartbeats in every round.
	roundsPerFullHeartbeat = 10
)

// heartbeatLoop sends heartbeats, removes members that are silent, and updates
// the assignment of workers. It starts the next round after HeartbeatInterval,
// or at once when the first worker is adopted, so that peers learn of it.
func (n *Node) heartbeatLoop() {
	ticker := time.NewTicker(time.Duration(n.Settings.HeartbeatInterval))
	defer ticker.Stop()
	for {
		n.sendHeartbeats()
		n.mutex.Lock()
		changed := n.memberView.UpdateStates(time.Now())
		n.mutex.Unlock()
		if changed {
			n.handleMembershipChange()
		}
		n.assignWorkers()
		select {
		case <-n.context.Done():
			return
		case <-ticker.C:
		case <-n.owner.FirstWorkerAdopted():
		}
	}
}

// sendHeartbeats sends a heartbeat to every member of this failure domain, to a
// random sample of the other members, and to every entry VM in the seeds or the
// VM list that is not a member yet.
func (n *Node) sendHeartbeats() {
	load, epoch := n.owner.Advertise(), n.owner.Epoch()
	n.mutex.Lock()
	n.memberView.SetSelf(membership.Advert{FreeFraction: load.FreeFraction, Waiting: load.TotalWaiting(), Workers: load.Workers}, epoch, n.configuration.Current().Offset, n.leaving)
	self := n.memberView.Self()
	targets := n.heartbeatTargets()
	n.heartbeatRounds++
	full := n.heartbeatRounds%roundsPerFullHeartbeat == 1
	n.mutex.Unlock()
	for a, isMember := range targets {
		h := self
		if isMember && !full {
			h = self.Brief()
		}
		if sent, err := n.heartbeats.Send(a, h); err == nil {
			n.traffic.Heartbeats.Add(sent)
		}
	}
}

// heartbeatTargets returns the addresses that get the next heartbeat. It maps
// each address to whether it belongs to a known member. The caller holds the
// mutex.
func (n *Node) heartbeatTargets() map[netip.AddrPort]bool {
	targets := map[netip.AddrPort]bool{}
	knownAddresses := map[netip.AddrPort]bool{n.Settings.PeerAdvertise: true}
	var otherDomains []netip.AddrPort
	for _, m := range n.memberView.Members() {
		knownAddresses[m.Address] = true
		if m.Domain == n.Settings.Domain {
			targets[m.Address] = true
		} else {
			otherDomains = append(otherDomains, m.Address)
		}
	}
	for i := range min(crossDomainFanout, len(otherDomains)) {
		j := i + n.random.IntN(len(otherDomains)-i)
		otherDomains[i], otherDomains[j] = otherDomains[j], otherDomains[i]
		targets[otherDomains[i]] = true
	}
	for _, a := range n.Settings.Seeds {
		if !knownAddresses[a] {
			targets[a] = false
		}
	}
	for _, v := range n.vmList.VMs {
		if v.Role == vmlist.RoleEntry && !knownAddresses[v.Address] {
			targets[v.Address] = false
		}
	}
	return targets
}

// receiveHeartbeatLoop applies received heartbeats to the membership view. It
// replies with a full heartbeat when the sender is a process that is not known
// yet.
func (n *Node) receiveHeartbeatLoop() {
	for {
		received, err := n.heartbeats.Receive()
		if err != nil {
			return
		}
		h := received.Heartbeat
		n.mutex.Lock()
		m, _ := n.memberView.Member(h.Name)
		n.mutex.Unlock()
		if n.cut.Blocks(h.Domain) || n.cut.Blocks(m.Domain) {
			continue
		}
		n.traffic.Heartbeats.Add(received.Length)
		if h.IsBrief() {
			h.Address = m.Address
		}
		n.mutex.Lock()
		knownIncarnation := m.Incarnation >= h.Incarnation
		changed := n.memberView.Observe(time.Now(), received.Heartbeat)
		self := n.memberView.Self()
		n.mutex.Unlock()
		if !knownIncarnation {
			_, _ = n.heartbeats.Send(received.From, self)
		}
		if changed {
			n.handleMembershipChange()
			n.assignWorkers()
		}
		if h.ConfigurationOffset > n.configuration.Current().Offset {
			n.fetchConfiguration(h)
		}
	}
}

// handleMembershipChange logs the members and sets the append rate of this node,
// which is an equal part of totalAppendsPerSecond.
func (n *Node) handleMembershipChange() {
	n.mutex.Lock()
	members := n.memberView.Members()
	n.mutex.Unlock()
	for _, m := range members {
		n.Log.V(1).Info("member", "name", m.Name, "state", string(m.State), "incarnation", m.Incarnation)
	}
	n.recorder.SetRate(totalAppendsPerSecond / float64(1+len(members)))
}

// fetchConfiguration fetches the configuration from a peer whose heartbeat
// names a newer offset. It runs in the background and gives up if the call
// fails.
func (n *Node) fetchConfiguration(h membership.Heartbeat) {
	go func() {
		ctx, cancel := context.WithTimeout(n.context, entry.CallTimeout)
		defer cancel()
		var reply entry.ConfigurationReply
		if err := n.peerClient.Call(ctx, h.Address, "Configuration", entry.Empty{}, &reply); err != nil {
			return
		}
		if err := n.configuration.ReplaceIfNewer(reply.Offset, reply.Lists); err != nil {
			n.Log.Error(err, "configuration_refused", "from", h.Name)
		}
	}()
}

// vmListLoop reads the VM list from the platform at intervals. If a read fails,
// the last list stays in use.
func (n *Node) vmListLoop() {
	ticker := time.NewTicker(time.Duration(n.Settings.VMListInterval))
	defer ticker.Stop()
	for {
		l, err := n.vmLister.List(n.context, "")
		if err == nil {
			n.mutex.Lock()
			n.vmList = l
			n.mutex.Unlock()
			n.assignWorkers()
		}
		select {
		case <-n.context.Done():
			return
		case <-ticker.C:
		}
	}
}

// assignWorkers tells the owner which workers this node has to adopt. These are
// the workers of its failure domain in the VM list for which rendezvous hashing
// selects this node.
func (n *Node) assignWorkers() {
	n.mutex.Lock()
	owners := n.memberView.Owners()
	var assigned []vmlist.VM
	for _, v := range n.vmList.VMs {
		if v.Role != vmlist.RoleWorker || v.Domain != n.Settings.Domain {
			continue
		}
		if membership.Rendezvous(v.Name, owners) == n.Settings.Name {
			assigned = append(assigned, v)
		}
	}
	n.mutex.Unlock()
	n.owner.Assign(assigned)
}
