package request

import (
	"math/rand/v2"
	"sync"

	"github.com/almondpost/almondpost/internal/state/plan"
)

// TwoChoices is a Router. While the workers of its own entry VM have free
// capacity and no queue, it keeps tasks there, since the load balancer already
// spreads the callers and each hop costs control traffic. Otherwise it chooses
// the less loaded of two random owners of its own failure domain. It chooses an
// owner of another failure domain when its own has no owner left to try, or has
// a queue while the other has free capacity.
type TwoChoices struct {
	mutex  sync.Mutex
	random *rand.Rand
	name   string
	domain string
}

// NewTwoChoices returns a router for the entry VM with the given name in the
// given failure domain.
func NewTwoChoices(name, domain string, random *rand.Rand) *TwoChoices {
	return &TwoChoices{random: random, name: name, domain: domain}
}

// minLocalFree is the free fraction of the workers of the own entry VM above
// which tasks stay there.
const minLocalFree = 0.25

// minRemoteFree is the free fraction that an owner in another failure domain
// must advertise to get tasks while the own domain has a queue.
const minRemoteFree = 0.2

// Route implements Router.
func (c *TwoChoices) Route(targets []Target, _ plan.Class, tried map[string]bool) (Target, bool) {
	var own, other []Target
	for _, t := range targets {
		switch {
		case !t.Usable || tried[t.Name]:
		case t.Name == c.name && t.FreeFraction > minLocalFree && t.Waiting == 0:
			return t, true
		case t.Domain == c.domain:
			own = append(own, t)
		default:
			other = append(other, t)
		}
	}
	best, ok := c.pickLessLoaded(own)
	if ok && (best.Waiting == 0 || best.FreeFraction > 0) {
		return best, true
	}
	remote, found := c.pickLessLoaded(other)
	switch {
	case !ok:
		return remote, found
	case found && remote.FreeFraction > minRemoteFree && remote.Waiting == 0:
		return remote, true
	}
	return best, true
}

// pickLessLoaded returns the less loaded of two random targets, or false when
// there are none.
func (c *TwoChoices) pickLessLoaded(from []Target) (Target, bool) {
	if len(from) == 0 {
		return Target{}, false
	}
	c.mutex.Lock()
	a, b := from[c.random.IntN(len(from))], from[c.random.IntN(len(from))]
	c.mutex.Unlock()
	if lessLoaded(b, a) {
		return b, true
	}
	return a, true
}

func lessLoaded(a, b Target) bool {
	if a.Waiting != b.Waiting {
		return a.Waiting < b.Waiting
	}
	return a.FreeFraction > b.FreeFraction
}
