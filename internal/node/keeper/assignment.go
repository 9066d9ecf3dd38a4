package keeper

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectWorkers is the largest total number of workers for which the leader
	// calls all of them directly. With so few workers, the extra hop through keepers
	// costs more than it saves.
	maxDirectWorkers = 100
	// workersPerKeeper is the target number of workers per keeper. With a higher number
	// each batch contains more calls, but the loss of a keeper interrupts calls to more
	// workers.
	workersPerKeeper = 40
	// minFitnessRelativeToBest is the lowest fitness that a keeper may have, as a fraction
	// of the highest fitness in its failure domain.
	minFitnessRelativeToBest = 0.5
)

// Member is an entry VM that can become a keeper.
type Member struct {
	Name string
	// Domain is the failure domain of the VM.
	Domain  string
	Address netip.AddrPort
	// Fitness is the processor time of the VM in cores, reduced if its network link is
	// slow.
	Fitness float64
}

// Assignment maps workers to keepers. It is immutable.
type Assignment struct {
	// keepersByDomain maps each failure domain to its keepers.
	keepersByDomain map[string][]hashedMember
	// large is true if there are more than maxDirectWorkers workers.
	large bool
}

// needsKeepers reports whether there are too many workers for the leader to call all of them
// directly.
func (a *Assignment) needsKeepers() bool { return a != nil && a.large }

// hashedMember is an entry VM with the hash of its name.
type hashedMember struct {
	member Member
	hash   uint64
}

// NewAssignment selects the fittest entry VMs of each failure domain as its keepers.
// workers maps each domain to its number of workers. There are no keepers if there are
// at most maxDirectWorkers workers in total.
func NewAssignment(members []Member, workers map[string]int) *Assignment {
	a := &Assignment{keepersByDomain: map[string][]hashedMember{}}
	total := 0
	for _, n := range workers {
		total += n
	}
	if total <= maxDirectWorkers {
		return a
	}
	a.large = true
	for _, m := range members {
		a.keepersByDomain[m.Domain] = append(a.keepersByDomain[m.Domain], hashedMember{m, xxhash.Sum64String(m.Name)})
	}
	for domain, list := range a.keepersByDomain {
		a.keepersByDomain[domain] = selectKeepers(list, 1+(workers[domain]+workersPerKeeper-1)/workersPerKeeper)
	}
	return a
}

// selectKeepers sorts the entry VMs of a failure domain by descending fitness and
// returns the first ones, at most limit, that reach minFitnessRelativeToBest.
func selectKeepers(list []hashedMember, limit int) []hashedMember {
	slices.SortFunc(list, func(a, b hashedMember) int {
		return cmp.Or(cmp.Compare(b.member.Fitness, a.member.Fitness), cmp.Compare(a.hash, b.hash))
	})
	count := slices.IndexFunc(list, func(k hashedMember) bool { return k.member.Fitness < minFitnessRelativeToBest*list[0].member.Fitness })
	if count < 0 {
		count = len(list)
	}
	return list[:min(count, limit)]
}

// KeeperFor returns the keeper of a worker; ok is false if the worker has none. It uses
// weighted rendezvous hashing, so that few workers move when the keepers change.
func (a *Assignment) KeeperFor(domain, worker string) (m Member, ok bool) {
	if a == nil {
		return m, false
	}
	hash, best := xxhash.Sum64String(worker), math.Inf(-1)
	for i := range a.keepersByDomain[domain] {
		k := &a.keepersByDomain[domain][i]
		if score := -k.member.Fitness / math.Log(hashToUnitInterval(hash^k.hash)); score > best {
			m, ok, best = k.member, true, score
		}
	}
	return m, ok
}

// hasKeeperAt reports whether the VM at the given address is a keeper.
func (a *Assignment) hasKeeperAt(address netip.AddrPort) bool {
	for _, list := range a.keepersByDomain {
		if slices.ContainsFunc(list, func(k hashedMember) bool { return k.member.Address == address }) {
			return true
		}
	}
	return false
}

// hashToUnitInterval maps a hash uniformly to the open interval (0, 1), using the
// finalizer of SplitMix64.
func hashToUnitInterval(hash uint64) float64 {
	hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9
	hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb
	hash ^= hash >> 31
	return (float64(hash>>11) + 0.5) / (1 << 53)
}
