package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/state/membership"
)

var (
	baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	timing   = membership.Timing{SuspectAfter: 2 * time.Second, RemoveAfter: 3 * time.Second, ForgetAfter: time.Minute}
	address  = netip.MustParseAddrPort("127.0.0.1:1")
)

func newHeartbeat(name string, incarnation uint64) membership.Heartbeat {
	return membership.Heartbeat{Name: name, Incarnation: incarnation, Domain: "d", Address: address}
}

func TestSilentMembersAreSuspectedThenRemoved(t *testing.T) {
	scenarios := []struct {
		testName   string
		silence    time.Duration
		state      membership.State
		ownerCount int
	}{
		{"alive after a recent heartbeat", time.Second, membership.Alive, 2},
		{"suspect keeps its workers", 2500 * time.Millisecond, membership.Suspect, 2},
		{"removed loses its workers", 3500 * time.Millisecond, membership.Removed, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			v := membership.New(newHeartbeat("self", 1), timing)
			v.Observe(baseTime, newHeartbeat("other", 1))
			v.UpdateStates(baseTime.Add(s.silence))
			m, _ := v.Member("other")
			is.Equal(m.State, s.state)
			is.Equal(len(v.Owners()), s.ownerCount)
		})
	}
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	v := membership.New(newHeartbeat("self", 1), timing)
	v.Observe(baseTime, newHeartbeat("other", 2))
	is.True(!v.Observe(baseTime.Add(time.Second), newHeartbeat("other", 1)))
	m, _ := v.Member("other")
	is.Equal(m.Incarnation, uint64(2))
}

func TestBriefHeartbeatKeepsDomainAndAddress(t *testing.T) {
	is := is.New(t)
	v := membership.New(newHeartbeat("self", 1), timing)
	is.True(!v.Observe(baseTime, newHeartbeat("other", 1).Brief()))
	v.Observe(baseTime, newHeartbeat("other", 1))
	v.Observe(baseTime.Add(time.Second), newHeartbeat("other", 1).Brief())
	m, _ := v.Member("other")
	is.Equal(m.Domain, "d")
	is.Equal(m.Address, address)
}

func TestLeavingMembersOwnNoWorkers(t *testing.T) {
	is := is.New(t)
	v := membership.New(newHeartbeat("self", 1), timing)
	h := newHeartbeat("other", 1)
	h.Leaving = true
	v.Observe(baseTime, h)
	is.Equal(v.Owners(), []string{"self"})
	v.SetSelf(membership.Advert{}, 1, 0, true)
	is.Equal(len(v.Owners()), 0)
}

func TestRendezvousMovesOnlyTheKeysOfARemovedCandidate(t *testing.T) {
	is := is.New(t)
	all := []string{"a", "b", "c", "d"}
	movedCount := 0
	for i := range 1000 {
		key := fmt.Sprint(i)
		before, after := membership.Rendezvous(key, all), membership.Rendezvous(key, all[:3])
		if before != "d" {
			is.Equal(before, after)
		} else {
			movedCount++
		}
	}
	is.True(movedCount > 200 && movedCount < 300)
}
