package entryvm

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// A VM that has just started hears the leader before it knows any other VM.
func TestUnknownLeaderIsReached(t *testing.T) {
	is := is.New(t)
	n := &Node{settings: Settings{Name: "vm-0", Domain: "domain-0"}, log: logr.Discard()}
	n.members, n.isolation = newMembers(n), &isolation{node: n}
	n.election = newElection(n)
	address := netip.MustParseAddrPort("127.0.0.1:7000")
	n.election.heard(HeartbeatArgs{Epoch: 5, Leader: "vm-1", Address: address})
	leader, known := n.election.leader()
	is.True(known)
	is.Equal(leader.Address, address)
}

func TestCandidacy(t *testing.T) {
	scenarios := []struct {
		testName  string
		candidacy candidacy
		due       bool
	}{
		{"the first claim waits for nobody's heartbeat", candidacy{silence: firstWait}, true},
		{"the fittest claims first", candidacy{fitness: 1}, true},
		{"the leader is heard", candidacy{epoch: 3, silence: 200 * time.Millisecond, reached: time.Hour}, false},
		{"the leader is silent", candidacy{epoch: 3, silence: leaderSilence, reached: time.Hour}, true},
		{"fitter VMs try first", candidacy{epoch: 3, silence: leaderSilence, reached: time.Hour, rank: 2}, false},
		{"fitter VMs had their time", candidacy{epoch: 3, silence: leaderSilence + 2*rankPause, reached: time.Hour, rank: 2}, true},
		{"the VM is cut off", candidacy{epoch: 3, silence: 6 * time.Second, reached: -1}, false},
		{"a cut has just ended", candidacy{epoch: 3, silence: 6 * time.Second, reached: 10 * time.Millisecond, mostSilent: true}, false},
		{"a cut has ended and nobody is heard", candidacy{epoch: 3, silence: 6 * time.Second, reached: storeSettled, mostSilent: true}, true},
		{"the store is back, the leader is gone", candidacy{epoch: 3, silence: 6 * time.Second, reached: 10 * time.Millisecond}, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { is.New(t).Equal(s.candidacy.due(), s.due) })
	}
}
