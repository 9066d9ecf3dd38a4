package entryvm

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/almondpost/almondpost/internal/peer/link"
)

const (
	// isolationPause is the pause between looks at the other failure domains, and
	// isolationTimeout bounds one: many round trips between domains.
	isolationPause   = 150 * time.Millisecond
	isolationTimeout = 200 * time.Millisecond
	// contactSilence is how long nothing from outside the domain must be heard
	// before a look: more than a heartbeat interval.
	contactSilence = heartbeatInterval + 200*time.Millisecond
)

// isolation finds out whether this VM reaches neither the store nor a VM of another
// failure domain. It can then neither store jobs nor learn their states, while VMs of
// other domains can: callers are better off there.
type isolation struct {
	node     *Node
	isolated atomic.Bool
	// contact is when the store or a VM of another domain was last heard, in Unix
	// nanoseconds.
	contact atomic.Int64
}

// heard notes that something outside the domain was heard.
func (i *isolation) heard() { i.contact.Store(now().UnixNano()) }

func (i *isolation) run(ctx context.Context) {
	i.heard()
	for pause(ctx, isolationPause) {
		silent := now().Sub(time.Unix(0, i.contact.Load())) > contactSilence
		isolated := silent && !i.reachesOthers(ctx) && !i.reachesStore()
		if i.isolated.Swap(isolated) == isolated {
			continue
		}
		i.node.log.Info("isolation_changed", "isolated", isolated)
		if isolated {
			i.node.writer.expireAll()
		}
	}
}

// reachesStore reports whether the store answers.
func (i *isolation) reachesStore() bool {
	if i.node.store.down.Load() {
		return false
	}
	if !i.node.store.answers(isolationTimeout, verifiedParts[:]...) {
		return false
	}
	i.heard()
	return true
}

// reachesOthers reports whether a VM of another failure domain answers, or any VM
// where there is one domain only. One of them is asked first, since all is well most of
// the time. Without other VMs it is true.
func (i *isolation) reachesOthers(ctx context.Context) bool {
	others := i.node.members.others()
	abroad := slices.DeleteFunc(slices.Clone(others), func(m member) bool { return m.Domain == i.node.settings.Domain })
	if len(abroad) > 0 {
		others = abroad
	}
	if len(others) == 0 {
		return true
	}
	first := rand.IntN(len(others))
	return i.anyAnswers(ctx, others[first:first+1]) || i.anyAnswers(ctx, slices.Delete(others, first, first+1))
}

// anyAnswers reports whether one of several VMs answers.
func (i *isolation) anyAnswers(ctx context.Context, others []member) bool {
	call, cancel := context.WithTimeout(ctx, isolationTimeout)
	defer cancel()
	answered := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			_, err := link.Call[Nothing, HeardReply](call, i.node.client, m.Address, "Heard", Nothing{})
			answered <- err == nil
		}()
	}
	for range others {
		if <-answered {
			i.heard()
			return true
		}
	}
	return false
}
