// Package membership keeps one entry VM's view of the others from heartbeats,
// with suspicion before removal, and assigns workers to entry VMs by rendezvous
// hashing. Views may differ between VMs: they keep assignments stable and are
// never needed for safety.
package membership

import (
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what the view believes of a member.
type State string

// The states of a member.
const (
	Alive State = "alive"
	// Suspect members keep their workers but get no new work.
	Suspect State = "suspect"
	// Removed members have lost their workers.
	Removed State = "removed"
	// Leaving members hand over and get no new work.
	Leaving State = "leaving"
)

// Advert is the load that a member tells others.
type Advert struct {
	// Free is the scarcest free fraction of the member's workers, 0 to 1.
	Free float64 `json:"f,omitempty"`
	// Waiting is the number of waiting tasks.
	Waiting int `json:"q,omitempty"`
	// Workers is the number of adopted workers.
	Workers int `json:"w,omitempty"`
}

// Heartbeat is what members send each other. Field names are short since every
// byte is sent each second to every peer.
type Heartbeat struct {
	Name string `json:"n"`
	// Incarnation rises with each start of a member; it is the start time.
	Incarnation uint64 `json:"i"`
	// Epoch is that of the member's owner of workers.
	Epoch uint64 `json:"e"`
	// Domain and Address are left out of most heartbeats to members that know
	// them.
	Domain  string         `json:"d,omitempty"`
	Address netip.AddrPort `json:"a,omitzero"`
	Advert  Advert         `json:"l"`
	Leaving bool           `json:"x,omitempty"`
	// Offset is the newest configuration offset that the member knows.
	Offset uint64 `json:"o"`
}

// IsBrief reports whether the heartbeat leaves out what peers know already.
func (h Heartbeat) IsBrief() bool { return h.Domain == "" }

// Brief returns the heartbeat without what peers know already.
func (h Heartbeat) Brief() Heartbeat {
	h.Domain, h.Address = "", netip.AddrPort{}
	return h
}

// Member is what the view knows of a peer.
type Member struct {
	Heartbeat
	// Heard is when the last heartbeat came.
	Heard time.Time
	State State
}

// Timing bounds how fast the view reacts.
type Timing struct {
	// SuspectAfter and RemoveAfter count from the last heartbeat.
	SuspectAfter, RemoveAfter time.Duration
	// ForgetAfter is when a removed member is dropped altogether.
	ForgetAfter time.Duration
}

// View is the membership view of one entry VM. Its owner serialises access.
type View struct {
	self    Heartbeat
	members map[string]*Member
	timing  Timing
}

// New returns a view with only the member itself.
func New(self Heartbeat, t Timing) *View {
	return &View{self: self, members: map[string]*Member{}, timing: t}
}

// Self returns the member's own heartbeat.
func (v *View) Self() Heartbeat { return v.self }

// SetSelf replaces the changing parts of the own heartbeat.
func (v *View) SetSelf(a Advert, epoch, offset uint64, leaving bool) {
	v.self.Advert, v.self.Epoch, v.self.Offset, v.self.Leaving = a, epoch, offset, leaving
}

// Observe takes in a heartbeat and reports whether the set of usable members
// changed. Heartbeats of an older incarnation are ignored.
func (v *View) Observe(now time.Time, h Heartbeat) bool {
	if h.Name == v.self.Name || h.Name == "" {
		return false
	}
	m := v.members[h.Name]
	if m != nil && h.Incarnation < m.Incarnation {
		return false
	}
	if h.IsBrief() {
		if m == nil || m.Incarnation != h.Incarnation {
			return false
		}
		h.Domain, h.Address = m.Domain, m.Address
	}
	state := Alive
	if h.Leaving {
		state = Leaving
	}
	changed := m == nil || m.State != state || m.Incarnation != h.Incarnation
	v.members[h.Name] = &Member{Heartbeat: h, Heard: now, State: state}
	return changed
}

// Tick ages the members and reports whether any changed its state.
func (v *View) Tick(now time.Time) bool {
	changed := false
	for name, m := range v.members {
		silent := now.Sub(m.Heard)
		state := m.State
		switch {
		case silent > v.timing.ForgetAfter:
			delete(v.members, name)
			continue
		case silent > v.timing.RemoveAfter:
			state = Removed
		case silent > v.timing.SuspectAfter:
			state = Suspect
		}
		if state != m.State {
			m.State, changed = state, true
		}
	}
	return changed
}

// Member returns a copy of what is known of a peer.
func (v *View) Member(name string) (Member, bool) {
	m, ok := v.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Members returns all known peers in name order.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Owners returns the names of the members of the own domain that may own
// workers: alive or suspect ones and, unless leaving, the member itself.
func (v *View) Owners() []string {
	var out []string
	if !v.self.Leaving {
		out = append(out, v.self.Name)
	}
	for _, m := range v.members {
		if m.Domain == v.self.Domain && (m.State == Alive || m.State == Suspect) {
			out = append(out, m.Name)
		}
	}
	sort.Strings(out)
	return out
}

// Rendezvous returns the candidate with the highest hash for a key, or the
// empty string without candidates. Removing one candidate moves only the keys
// that it had.
func Rendezvous(key string, candidates []string) string {
	best, bestHash := "", uint64(0)
	for _, c := range candidates {
		h := xxhash.Sum64String(key + "\x00" + c)
		if best == "" || h > bestHash || h == bestHash && c > best {
			best, bestHash = c, h
		}
	}
	return best
}
