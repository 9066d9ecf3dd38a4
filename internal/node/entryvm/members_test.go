package entryvm

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// newMembersTestNode returns a node that knows the given number of other VMs, without
// connections.
func newMembersTestNode(others int) *Node {
	n := &Node{settings: Settings{Name: "vm-0", Domain: "domain-0", Fitness: 0.5}, log: logr.Discard(), peerClient: link.NewClient(rpcServiceName, link.TCP{})}
	n.members, n.isolation = newMemberList(n), &isolationDetector{node: n}
	n.store = &relayedStore{node: n}
	n.election = newElection(n)
	for i := range others {
		n.members.applyRecords([]store.Record{memberRecord(i + 1)})
	}
	return n
}

func memberRecord(number int) store.Record {
	name := fmt.Sprintf("vm-%d", number)
	return store.Record{Key: name, Value: fmt.Appendf(nil, `{"name":%q,"domain":"domain-%d","address":"127.0.0.1:%d","fitness":%g}`, name, number%5, 7000+number, 0.1+0.05*float64(number%10))}
}

func memberNames(list []member) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.Name)
	}
	return names
}

// The list of other VMs is shared between callers. A caller that sorts or filters what
// it got must not change what the others get, and a later record must be seen.
func TestOtherMembersAreSharedSafely(t *testing.T) {
	is := is.New(t)
	n := newMembersTestNode(3)
	expected := []string{"vm-1", "vm-2", "vm-3"}
	is.Equal(memberNames(n.members.otherMembers()), expected)
	n.election.claimRank(3, "vm-1")
	filtered := n.members.otherMembersWhere(func(m member) bool { return m.Name != "vm-2" })
	is.Equal(memberNames(filtered), []string{"vm-1", "vm-3"})
	filtered[0] = member{}
	_ = append(n.members.otherMembers(), member{Name: "appended"})
	is.Equal(memberNames(n.members.otherMembers()), expected)
	n.members.applyRecords([]store.Record{memberRecord(4), {Key: "vm-1"}})
	is.Equal(memberNames(n.members.otherMembers()), []string{"vm-2", "vm-3", "vm-4"})
}

// The VMs that answered heartbeats lately decide whether there is a quorum.
// benchVMs is the number of entry VMs in the benchmarks of this package.
const benchVMs = 147

// BenchmarkShouldClaim measures how a VM finds out that it need not claim leadership,
// while it hears the leader.
func BenchmarkShouldClaim(b *testing.B) {
	n := newMembersTestNode(benchVMs - 1)
	n.election.claimsEndOffset = 1
	b.ReportAllocs()
	for b.Loop() {
		n.election.recordHeartbeat(HeartbeatArgs{Epoch: 3, Leader: "vm-1"})
		n.election.shouldClaim(b.Context())
	}
}

// Another writer leaves an odd record among those of the entry VMs. It must not count as a
// VM, which others would wait for, and must not replace the record of a VM.
func TestOddMemberRecordsNameNoVM(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		ok       bool
	}{
		{"as a VM writes it", `{"name":"vm-1","domain":"domain-9","address":"10.0.0.1:7000","fitness":2,"started":5}`, true},
		{"no address", `{"name":"vm-1","domain":"domain-9","fitness":2}`, false},
		{"port 0", `{"name":"vm-1","domain":"domain-9","address":"10.0.0.1:0","fitness":2}`, false},
		{"port 99999", `{"name":"vm-1","domain":"domain-9","address":"10.0.0.1:99999","fitness":2}`, false},
		{"fitness 1e300", `{"name":"vm-1","domain":"domain-9","address":"10.0.0.1:7000","fitness":1e300}`, false},
		{"fitness below 0", `{"name":"vm-1","domain":"domain-9","address":"10.0.0.1:7000","fitness":-1}`, false},
		{"start time 1e30", `{"name":"vm-1","domain":"domain-9","address":"10.0.0.1:7000","fitness":2,"started":1e30}`, false},
		{"another name", `{"name":"vm-2","domain":"domain-9","address":"10.0.0.1:7000","fitness":2}`, false},
		{"not JSON", "{\xff", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			n := newMembersTestNode(2)
			for range 2 {
				n.members.applyRecords([]store.Record{{Key: "vm-1", Value: []byte(s.text)}, memberRecord(3)})
			}
			is.Equal(memberNames(n.members.otherMembers()), []string{"vm-1", "vm-2", "vm-3"})
			m, _ := n.members.findByName("vm-1")
			is.Equal(m.Domain == "domain-9", s.ok)
			n.members.applyRecords([]store.Record{{Key: "vm-9", Value: []byte(strings.ReplaceAll(s.text, "vm-1", "vm-9"))}})
			_, known := n.members.findByName("vm-9")
			is.Equal(known, s.ok)
		})
	}
}
