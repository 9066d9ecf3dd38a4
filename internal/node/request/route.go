package request

import (
	"math/rand/v2"
	"sync"

	"github.com/almondpost/almondpost/internal/state/plan"
)

// TwoChoiceRouter is a Router. While the workers of the local entry VM have more free
// capacity than minLocalFreeFraction and no queue, it keeps tasks there, since the
// load balancer already spreads the callers and each hop costs control traffic.
// Otherwise it chooses the less loaded of two random owners in the local failure
// domain. It chooses an owner in another failure domain when the local domain has
// no owner left to try, or when the chosen local owner has a queue and no free
// capacity while the remote owner has more free capacity than
// minRemoteFreeFraction and no queue.
type TwoChoiceRouter struct {
	mutex  sync.Mutex
	random *rand.Rand
	name   string
	domain string
}

// NewTwoChoiceRouter returns a router for the entry VM with the given name in the
// given failure domain.
func NewTwoChoiceRouter(name, domain string, random *rand.Rand) *TwoChoiceRouter {
	return &TwoChoiceRouter{random: random, name: name, domain: domain}
}

// minLocalFreeFraction is a fraction of capacity. While more than this fraction
// of the local workers' capacity is free and no attempt waits for it, tasks stay
// on the local entry VM.
const minLocalFreeFraction = 0.25

// minRemoteFreeFraction is a fraction of capacity. While the chosen local owner has
// a queue and no free capacity, an owner in another failure domain gets tasks only
// if it advertises more free capacity than this.
const minRemoteFreeFraction = 0.2

// Route implements Router.
func (c *TwoChoiceRouter) Route(targets []Target, _ plan.Class, tried map[string]bool) (Target, bool) {
	var localTargets, remoteTargets []Target
	for _, t := range targets {
		switch {
		case !t.Usable || tried[t.Name]:
		case t.Name == c.name && t.FreeFraction > minLocalFreeFraction && t.Waiting == 0:
			return t, true
		case t.Domain == c.domain:
			localTargets = append(localTargets, t)
		default:
			remoteTargets = append(remoteTargets, t)
		}
	}
	best, ok := c.pickLessLoaded(localTargets)
	if ok && (best.Waiting == 0 || best.FreeFraction > 0) {
		return best, true
	}
	remote, found := c.pickLessLoaded(remoteTargets)
	switch {
	case !ok:
		return remote, found
	case found && remote.FreeFraction > minRemoteFreeFraction && remote.Waiting == 0:
		return remote, true
	}
	return best, true
}

// pickLessLoaded returns the less loaded of two random targets, or false when
// there are none.
func (c *TwoChoiceRouter) pickLessLoaded(from []Target) (Target, bool) {
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
