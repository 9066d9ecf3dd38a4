package keeper

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// fewWorkers is the size of a fleet up to which the leader calls the workers
	// itself: a detour costs more than it saves there.
	fewWorkers = 100
	// workersPerKeeper is how many workers a keeper should have. More fill its
	// batches better, and more work stops for a moment when it is lost.
	workersPerKeeper = 40
	// fitPart is the part of the fitness of the fittest VM of a domain that a keeper
	// must have.
	fitPart = 0.5
)

// Member is an entry VM that can be a keeper.
type Member struct {
	Name    string
	Domain  string
	Address netip.AddrPort
	// Fitness is the processor time of the VM, less where its link is narrow.
	Fitness float64
}

// Roster tells which entry VM carries the calls to which worker. It does not change.
type Roster struct {
	byDomain map[string][]kept
}

// kept is a keeper with the hash of its name.
type kept struct {
	member Member
	hash   uint64
}

// NewRoster deals the workers of each domain to its fittest members. workers counts
// those of each domain.
func NewRoster(members []Member, workers map[string]int) *Roster {
	r := &Roster{byDomain: map[string][]kept{}}
	all := 0
	for _, n := range workers {
		all += n
	}
	if all <= fewWorkers {
		return r
	}
	for _, m := range members {
		r.byDomain[m.Domain] = append(r.byDomain[m.Domain], kept{m, xxhash.Sum64String(m.Name)})
	}
	for domain, list := range r.byDomain {
		r.byDomain[domain] = fittest(list, 1+(workers[domain]+workersPerKeeper-1)/workersPerKeeper)
	}
	return r
}

// fittest returns at most a number of members, the fittest, of those that are fit.
func fittest(list []kept, most int) []kept {
	slices.SortFunc(list, func(a, b kept) int {
		return cmp.Or(cmp.Compare(b.member.Fitness, a.member.Fitness), cmp.Compare(a.hash, b.hash))
	})
	fit := slices.IndexFunc(list, func(k kept) bool { return k.member.Fitness < fitPart*list[0].member.Fitness })
	if fit < 0 {
		fit = len(list)
	}
	return list[:min(fit, most)]
}

// Of returns the keeper of a worker; ok is false where there is none. By weighted
// rendezvous hashing, a change of the members moves few workers.
func (r *Roster) Of(domain, worker string) (m Member, ok bool) {
	if r == nil {
		return m, false
	}
	hash, best := xxhash.Sum64String(worker), math.Inf(-1)
	for i := range r.byDomain[domain] {
		k := &r.byDomain[domain][i]
		if score := -k.member.Fitness / math.Log(fraction(hash^k.hash)); score > best {
			m, ok, best = k.member, true, score
		}
	}
	return m, ok
}

// has reports whether a VM is a keeper.
func (r *Roster) has(a netip.AddrPort) bool {
	for _, list := range r.byDomain {
		if slices.ContainsFunc(list, func(k kept) bool { return k.member.Address == a }) {
			return true
		}
	}
	return false
}

// fraction spreads a hash evenly between 0 and 1, both excluded (the finalizer of
// SplitMix64).
func fraction(v uint64) float64 {
	v = (v ^ (v >> 30)) * 0xbf58476d1ce4e5b9
	v = (v ^ (v >> 27)) * 0x94d049bb133111eb
	v ^= v >> 31
	return (float64(v>>11) + 0.5) / (1 << 53)
}
