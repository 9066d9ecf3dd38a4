package request

import (
	"math/rand/v2"
	"sync"

	"github.com/almondpost/almondpost/internal/state/plan"
)

// TwoChoices keeps work on the own entry VM while its workers have room, since
// the balancer spreads callers already and every hop costs control. Else it
// routes to the better of two random owners of the own failure domain by
// advertised load, and to other domains when the own one has none left to try,
// or when it queues while another has room.
type TwoChoices struct {
	mutex  sync.Mutex
	random *rand.Rand
	name   string
	domain string
}

// NewTwoChoices returns a router for an entry VM of a failure domain.
func NewTwoChoices(name, domain string, random *rand.Rand) *TwoChoices {
	return &TwoChoices{random: random, name: name, domain: domain}
}

// keepFree is the free fraction of the own workers above which work stays.
const keepFree = 0.25

// spillFree is the free fraction that another failure domain must advertise to
// get work while the own domain queues.
const spillFree = 0.2

// Route implements Router.
func (c *TwoChoices) Route(targets []Target, _ plan.Class, tried map[string]bool) (Target, bool) {
	var own, other []Target
	for _, t := range targets {
		switch {
		case !t.Usable || tried[t.Name]:
		case t.Name == c.name && t.Free > keepFree && t.Waiting == 0:
			return t, true
		case t.Domain == c.domain:
			own = append(own, t)
		default:
			other = append(other, t)
		}
	}
	best, ok := c.pick(own)
	if ok && (best.Waiting == 0 || best.Free > 0) {
		return best, true
	}
	away, found := c.pick(other)
	switch {
	case !ok:
		return away, found
	case found && away.Free > spillFree && away.Waiting == 0:
		return away, true
	}
	return best, true
}

func (c *TwoChoices) pick(from []Target) (Target, bool) {
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
	return a.Free > b.Free
}
