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
	begin  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	timing = membership.Timing{SuspectAfter: 2 * time.Second, RemoveAfter: 3 * time.Second, ForgetAfter: time.Minute}
	at     = netip.MustParseAddrPort("127.0.0.1:1")
)

func beat(name string, incarnation uint64) membership.Heartbeat {
	return membership.Heartbeat{Name: name, Incarnation: incarnation, Domain: "d", Address: at}
}

func TestSilenceLeadsToSuspicionAndRemoval(t *testing.T) {
	scenarios := []struct {
		testName string
		silent   time.Duration
		state    membership.State
		owners   int
	}{
		{"heard", time.Second, membership.Alive, 2},
		{"suspect keeps its workers", 2500 * time.Millisecond, membership.Suspect, 2},
		{"removed loses its workers", 3500 * time.Millisecond, membership.Removed, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			v := membership.New(beat("self", 1), timing)
			v.Observe(begin, beat("other", 1))
			v.Tick(begin.Add(s.silent))
			m, _ := v.Member("other")
			is.Equal(m.State, s.state)
			is.Equal(len(v.Owners()), s.owners)
		})
	}
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	v := membership.New(beat("self", 1), timing)
	v.Observe(begin, beat("other", 2))
	is.True(!v.Observe(begin.Add(time.Second), beat("other", 1)))
	m, _ := v.Member("other")
	is.Equal(m.Incarnation, uint64(2))
}

func TestBriefHeartbeatKeepsWhatIsKnown(t *testing.T) {
	is := is.New(t)
	v := membership.New(beat("self", 1), timing)
	is.True(!v.Observe(begin, beat("other", 1).Brief()))
	v.Observe(begin, beat("other", 1))
	v.Observe(begin.Add(time.Second), beat("other", 1).Brief())
	m, _ := v.Member("other")
	is.Equal(m.Domain, "d")
	is.Equal(m.Address, at)
}

func TestLeavingMembersOwnNothing(t *testing.T) {
	is := is.New(t)
	v := membership.New(beat("self", 1), timing)
	h := beat("other", 1)
	h.Leaving = true
	v.Observe(begin, h)
	is.Equal(v.Owners(), []string{"self"})
	v.SetSelf(membership.Advert{}, 1, 0, true)
	is.Equal(len(v.Owners()), 0)
}

func TestRendezvousMovesOnlyTheKeysOfARemovedCandidate(t *testing.T) {
	is := is.New(t)
	all := []string{"a", "b", "c", "d"}
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint(i)
		before, after := membership.Rendezvous(key, all), membership.Rendezvous(key, all[:3])
		if before != "d" {
			is.Equal(before, after)
		} else {
			moved++
		}
	}
	is.True(moved > 200 && moved < 300)
}
