package entryvm

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// A VM that has just started may receive a heartbeat before it has read the records of
// the other VMs. It must then take the leader's address from the heartbeat.
func TestUnknownLeaderIsReached(t *testing.T) {
	is := is.New(t)
	n := &Node{settings: Settings{Name: "vm-0", Domain: "domain-0"}, log: logr.Discard()}
	n.members, n.isolation = newMemberList(n), &isolationDetector{node: n}
	n.election = newElection(n)
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	n.election.recordHeartbeat(HeartbeatArgs{Epoch: 5, Leader: "vm-1", Address: address})
	leader, known := n.election.knownLeader()
	is.True(known)
	is.Equal(leader.Address, address)
}

// Claiming too early causes a needless take-over, and claiming too late leaves the
// cell without a leader.
func TestCandidacy(t *testing.T) {
	scenarios := []struct {
		testName  string
		candidacy candidacy
		due       bool
	}{
		{"the first claim does not wait for a heartbeat", candidacy{leaderSilence: maxFirstClaimDelay}, true},
		{"the fittest VM makes the first claim without a delay", candidacy{fitness: 1}, true},
		{"the leader was heard lately", candidacy{epoch: 3, leaderSilence: 200 * time.Millisecond, storeReachableFor: time.Hour}, false},
		{"the leader is silent", candidacy{epoch: 3, leaderSilence: leaderTimeout, storeReachableFor: time.Hour}, true},
		{"fitter VMs should claim first", candidacy{epoch: 3, leaderSilence: leaderTimeout, storeReachableFor: time.Hour, rank: 2}, false},
		{"fitter VMs have not claimed in their time", candidacy{epoch: 3, leaderSilence: leaderTimeout + 2*claimDelayPerRank, storeReachableFor: time.Hour, rank: 2}, true},
		{"the VM does not reach the store", candidacy{epoch: 3, leaderSilence: 6 * time.Second, storeReachableFor: -1}, false},
		{"the store is reachable again but most VMs are still silent", candidacy{epoch: 3, leaderSilence: 6 * time.Second, storeReachableFor: 10 * time.Millisecond, majoritySilent: true}, false},
		{"the store has been reachable for a while and most VMs are still silent", candidacy{epoch: 3, leaderSilence: 6 * time.Second, storeReachableFor: minStoreReachableTime, majoritySilent: true}, true},
		{"the store is reachable again and only the leader is silent", candidacy{epoch: 3, leaderSilence: 6 * time.Second, storeReachableFor: 10 * time.Millisecond}, true},
		{"the store is reachable again and a much fitter VM exists", candidacy{epoch: 3, leaderSilence: 6 * time.Second, storeReachableFor: 10 * time.Millisecond, rank: 3, muchFitterVM: true}, false},
		{"a much fitter VM has not claimed in its head start", candidacy{epoch: 3, leaderSilence: 6 * time.Second, storeReachableFor: fitterVMHeadStart, rank: 3, muchFitterVM: true}, true},
		{"a much fitter VM exists and the store was reachable all the time", candidacy{epoch: 3, leaderSilence: leaderTimeout, storeReachableFor: time.Hour, muchFitterVM: true}, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { is.New(t).Equal(s.candidacy.mayClaim(), s.due) })
	}
}

// Two stopping VMs hand the leadership over one after the other. The second request is
// obsolete if the VM that got the first one has claimed leadership meanwhile: to claim
// again would depose it.
func TestObsoleteTakeOverRequest(t *testing.T) {
	is := is.New(t)
	n := &Node{settings: Settings{Name: "vm-0"}, log: logr.Discard()}
	n.members = newMemberList(n)
	n.election = newElection(n)
	n.isolation = &isolationDetector{node: n}
	n.election.recordHeartbeat(HeartbeatArgs{Epoch: 3, Leader: "vm-1"})
	n.election.requestTakeOver()
	n.election.recordHeartbeat(HeartbeatArgs{Epoch: 4, Leader: "vm-2"})
	n.election.claimLeadership(t.Context(), <-n.election.takeOverRequests, "invited") // Without a store, a claim would panic.
	leader, _ := n.election.knownLeader()
	is.Equal(leader.Name, "vm-2")
	is.True(n.activeLeader() == nil)
}
