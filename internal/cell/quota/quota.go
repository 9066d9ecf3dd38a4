// Package quota accounts for what each team has running on all workers together, and
// decides whether more fits under the cap of the team. It does no I/O and reads no clock.
package quota

import (
	"maps"
	"math"
	"slices"

	"github.com/almondpost/almondpost/internal/state/resource"
)

// Ledger holds the use and the cap of each team. The empty name stands for no team: it is
// charged nothing and has no cap. A Ledger is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
}

// account is the use and the cap of one team.
type account struct {
	// used is the sum of all charges that were not released. It may exceed cap: runs that
	// exist already are charged without being asked for.
	used resource.Vector
	// charges is the number of charges that were not released.
	charges int
	// cap is the last known cap; an amount of 0 means no limit. A team without a known
	// cap has no limit.
	cap resource.Vector
}

// New returns a ledger in which nothing is charged and no cap is known.
func New() *Ledger { return &Ledger{accounts: map[string]*account{}} }

func (l *Ledger) account(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

// SetCaps sets the caps of the given teams. All other teams keep the last known one: their
// accepted work goes on under it.
func (l *Ledger) SetCaps(caps map[string]resource.Vector) {
	for team, c := range caps {
		l.account(team).cap = c
	}
}

// Charge adds what a run needs to the use of its team.
func (l *Ledger) Charge(team string, size resource.Vector) {
	if team == "" {
		return
	}
	a := l.account(team)
	a.used, a.charges = a.used.Add(size), a.charges+1
}

// Release takes back one call of Charge with the same arguments.
func (l *Ledger) Release(team string, size resource.Vector) {
	if team == "" {
		return
	}
	a := l.account(team)
	a.used, a.charges = a.used.Sub(size), a.charges-1
}

// Fits reports whether the use of a team with size added is at most its cap in every
// resource, also in those of which size has nothing: a team above a lowered cap starts
// nothing more. With a size of zero, it reports whether the team is within its cap.
func (l *Ledger) Fits(team string, size resource.Vector) bool {
	a := l.accounts[team]
	return a == nil || fits(a.used.Add(size), a.cap)
}

// CouldFit reports whether size would fit if the team had nothing else running.
func (l *Ledger) CouldFit(team string, size resource.Vector) bool {
	a := l.accounts[team]
	return a == nil || fits(size, a.cap)
}

// Places returns how many runs of a size fit under the cap of a team beside its use and the
// given claims, at most limit.
func (l *Ledger) Places(team string, size, claimed resource.Vector, limit int) int {
	a := l.accounts[team]
	if a == nil {
		return limit
	}
	places := int64(limit)
	sizes, used, caps := size.Amounts(), a.used.Add(claimed).Amounts(), a.cap.Amounts()
	for i := range caps {
		if caps[i] <= 0 {
			continue
		}
		left := caps[i] - used[i]
		if left < 0 {
			return 0
		}
		if sizes[i] > 0 {
			places = min(places, left/sizes[i])
		}
	}
	return int(places)
}

// Used returns the use of a team.
func (l *Ledger) Used(team string) resource.Vector {
	if a := l.accounts[team]; a != nil {
		return a.used
	}
	return resource.Vector{}
}

// Cap returns the last known cap of a team.
func (l *Ledger) Cap(team string) resource.Vector {
	if a := l.accounts[team]; a != nil {
		return a.cap
	}
	return resource.Vector{}
}

// Charged returns the names of the teams with charges, sorted.
func (l *Ledger) Charged() []string {
	names := slices.Sorted(maps.Keys(l.accounts))
	return slices.DeleteFunc(names, func(team string) bool { return l.accounts[team].charges == 0 })
}

// Teams returns the number of teams with a use or a cap.
func (l *Ledger) Teams() int { return len(l.accounts) }

// Times returns the size of n runs of the given size. An amount that an int64 can't hold
// becomes the largest possible one.
func Times(size resource.Vector, n int) resource.Vector {
	times := func(amount int64) int64 {
		if amount > 0 && int64(n) > math.MaxInt64/4/amount {
			return math.MaxInt64 / 4 // Sums with it do not overflow.
		}
		return amount * int64(n)
	}
	return resource.Vector{
		Milliprocessors: times(size.Milliprocessors), MemoryMebibytes: times(size.MemoryMebibytes),
		Accelerators: times(size.Accelerators), Slots: times(size.Slots), Connections: times(size.Connections),
	}
}

// fits reports whether size is at most limit in every resource; a limit of 0 is none.
func fits(size, limit resource.Vector) bool {
	amounts, limits := size.Amounts(), limit.Amounts()
	for i := range limits {
		if limits[i] > 0 && amounts[i] > limits[i] {
			return false
		}
	}
	return true
}
