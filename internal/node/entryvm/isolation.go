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
	// isolationCheckInterval is the pause between two checks for isolation, and
	// isolationCallTimeout limits one call of a check. The timeout allows for many round
	// trips between failure domains.
	isolationCheckInterval = 150 * time.Millisecond
	isolationCallTimeout   = 200 * time.Millisecond
	// maxContactAge is the age of the last contact outside the failure domain above which
	// the VM checks whether it is isolated. It is longer than a heartbeat interval, so
	// that heartbeats from another domain make the checks unnecessary.
	maxContactAge = heartbeatInterval + 200*time.Millisecond
)

// isolation detects whether this VM reaches neither the store nor a VM of another
// failure domain. An isolated VM can neither store jobs nor learn their states, while
// VMs of other domains can, so callers should use those.
type isolation struct {
	node     *Node
	isolated atomic.Bool
	// lastContact is when the store or a VM of another domain was last heard, in Unix
	// nanoseconds.
	lastContact atomic.Int64
}

// recordContact records that the store or a VM of another domain was heard.
func (i *isolation) recordContact() { i.lastContact.Store(now().UnixNano()) }

// run checks for isolation until ctx is done. When the VM becomes isolated, all
// pending job records fail at once, so that their callers can use another VM.
func (i *isolation) run(ctx context.Context) {
	i.recordContact()
	for sleep(ctx, isolationCheckInterval) {
		silent := now().Sub(time.Unix(0, i.lastContact.Load())) > maxContactAge
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

// reachesStore reports whether the store answers directly. It is false while the store
// counts as down.
func (i *isolation) reachesStore() bool {
	if i.node.store.down.Load() {
		return false
	}
	if !i.node.store.anyPartitionAnswers(isolationCallTimeout, probedPartitions[:]...) {
		return false
	}
	i.recordContact()
	return true
}

// reachesOthers reports whether a VM of another failure domain answers, or any other
// VM if all are in one domain. It is true if there are no other VMs. It asks one VM
// first and all others only if that one does not answer, since usually one call
// suffices.
func (i *isolation) reachesOthers(ctx context.Context) bool {
	others := i.node.members.others()
	otherDomains := slices.DeleteFunc(slices.Clone(others), func(m member) bool { return m.Domain == i.node.settings.Domain })
	if len(otherDomains) > 0 {
		others = otherDomains
	}
	if len(others) == 0 {
		return true
	}
	first := rand.IntN(len(others))
	return i.anyAnswers(ctx, others[first:first+1]) || i.anyAnswers(ctx, slices.Delete(others, first, first+1))
}

// anyAnswers asks several VMs at the same time and reports whether one answers.
func (i *isolation) anyAnswers(ctx context.Context, others []member) bool {
	callCtx, cancel := context.WithTimeout(ctx, isolationCallTimeout)
	defer cancel()
	answered := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			_, err := link.Call[Nothing, HeardReply](callCtx, i.node.client, m.Address, "Heard", Nothing{})
			answered <- err == nil
		}()
	}
	for range others {
		if <-answered {
			i.recordContact()
			return true
		}
	}
	return false
}
