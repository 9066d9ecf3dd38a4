// Package membership builds an entry VM's view of the other entry VMs from their
// heartbeats, and assigns workers to entry VMs by rendezvous hashing. A silent
// member is suspected before it is removed, so that a short pause doesn't move its
// workers. The views of two VMs may differ for a while. This is harmless: the views
// serve to keep the assignments stable, and safety never depends on them.
package membership

import (
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as this view sees it.
type State string

// The states of a member.
const (
	// Alive means that the member has sent a heartbeat recently.
	Alive State = "alive"
	// Suspect means that the member has been silent for longer than
	// Timing.SuspectAfter. It keeps its workers but gets no new work.
	Suspect State = "suspect"
	// Removed means that the member has been silent for longer than
	// Timing.RemoveAfter. Its workers are assigned to other members.
	Removed State = "removed"
	// Leaving means that the member is shutting down. It hands over its workers and
	// gets no new work.
	Leaving State = "leaving"
)

// Advert is the load that a member advertises in its heartbeats.
type Advert struct {
	// FreeFraction is the free fraction, from 0 to 1, of the most used resource on the
	// member's workers.
	FreeFraction float64 `json:"f,omitempty"`
	// Waiting is the number of tasks in the member's queues.
	Waiting int `json:"q,omitempty"`
	// Workers is the number of workers that the member has adopted.
	Workers int `json:"w,omitempty"`
}

// Heartbeat is the message that members send each other. The JSON names are short,
// since each second a heartbeat goes to all peers in the failure domain.
type Heartbeat struct {
	Name string `json:"n"`
	// Incarnation is the start time of the process, so it rises with each restart.
	Incarnation uint64 `json:"i"`
	// Epoch rises when the member starts and after it was paused for too long. The
	// member refuses calls that carry another epoch.
	Epoch uint64 `json:"e"`
	// Domain is the failure domain. Domain and Address are empty in brief
	// heartbeats, which are most of those that go to known members.
	Domain  string         `json:"d,omitempty"`
	Address netip.AddrPort `json:"a,omitzero"`
	Advert  Advert         `json:"l"`
	Leaving bool           `json:"x,omitempty"`
	// ConfigurationOffset is the log offset of the newest configuration that the member has
	// accepted.
	ConfigurationOffset uint64 `json:"o"`
}

// IsBrief reports whether the heartbeat lacks the domain and the address.
func (h Heartbeat) IsBrief() bool { return h.Domain == "" }

// Brief returns a copy of the heartbeat without the domain and the address.
func (h Heartbeat) Brief() Heartbeat {
	h.Domain, h.Address = "", netip.AddrPort{}
	return h
}

// Member is a peer in the view.
type Member struct {
	Heartbeat
	// LastHeartbeat is when the newest heartbeat was received.
	LastHeartbeat time.Time
	State         State
}

// Timing sets how long a member may be silent before its state changes. All
// durations count from its last heartbeat.
type Timing struct {
	// SuspectAfter is the silence after which a member becomes Suspect, and
	// RemoveAfter that after which it becomes Removed.
	SuspectAfter, RemoveAfter time.Duration
	// ForgetAfter is the silence after which the view drops a member.
	ForgetAfter time.Duration
}

// View is the membership view of one entry VM. It is not safe for concurrent use.
type View struct {
	self    Heartbeat
	members map[string]*Member
	timing  Timing
}

// New returns a view that contains only this VM itself.
func New(self Heartbeat, t Timing) *View {
	return &View{self: self, members: map[string]*Member{}, timing: t}
}

// Self returns the heartbeat that this VM sends.
func (v *View) Self() Heartbeat { return v.self }

// SetSelf updates the parts of this VM's heartbeat that change while it runs.
func (v *View) SetSelf(load Advert, epoch, offset uint64, leaving bool) {
	v.self.Advert, v.self.Epoch, v.self.ConfigurationOffset, v.self.Leaving = load, epoch, offset, leaving
}

// Observe updates the view with a heartbeat that was received at now. It reports
// whether the sender is new, has restarted or has changed its state. Heartbeats
// of an older incarnation, and brief ones of an unknown incarnation, are ignored.
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
	v.members[h.Name] = &Member{Heartbeat: h, LastHeartbeat: now, State: state}
	return changed
}

// UpdateStates updates the states of silent members and drops those that are silent for
// longer than Timing.ForgetAfter. It reports whether the state of any remaining
// member changed.
func (v *View) UpdateStates(now time.Time) bool {
	changed := false
	for name, m := range v.members {
		silence := now.Sub(m.LastHeartbeat)
		state := m.State
		switch {
		case silence > v.timing.ForgetAfter:
			delete(v.members, name)
			continue
		case silence > v.timing.RemoveAfter:
			state = Removed
		case silence > v.timing.SuspectAfter:
			state = Suspect
		}
		if state != m.State {
			m.State, changed = state, true
		}
	}
	return changed
}

// Member returns a peer by its name and whether the view contains it.
func (v *View) Member(name string) (Member, bool) {
	m, ok := v.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Members returns all peers in the view, sorted by name.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Owners returns the sorted names of the members that may own workers in this VM's
// failure domain: alive and suspect peers, and this VM unless it is leaving.
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

// Rendezvous assigns a key to one of the candidates by rendezvous hashing: it
// returns the candidate for which the hash of key and candidate is highest, or the
// empty string if there are no candidates. Removing a candidate reassigns only its
// own keys.
func Rendezvous(key string, candidates []string) string {
	best, bestHash := "", uint64(0)
	for _, c := range candidates {
		hash := xxhash.Sum64String(key + "\x00" + c)
		if best == "" || hash > bestHash || hash == bestHash && c > best {
			best, bestHash = c, hash
		}
	}
	return best
}
