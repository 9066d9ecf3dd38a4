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
	// maxContactAge is the maximum age of the last contact with the store or another
	// failure domain. When it is exceeded, the VM checks whether it is isolated. It is
	// longer than a heartbeat interval, so that no checks are needed while heartbeats
	// arrive from another domain.
	maxContactAge = heartbeatInterval + 200*time.Millisecond
)

// isolationDetector detects whether this VM reaches neither the store nor a VM of
// another failure domain. An isolated VM can neither store jobs nor find out their
// states. VMs of other domains can, so callers should use those.
type isolationDetector struct {
	node     *Node
	isolated atomic.Bool
	// lastContactAt is when this VM last received a message from the store or from a VM
	// of another domain, in Unix nanoseconds.
	lastContactAt atomic.Int64
}

// recordContact records that a message from the store or from a VM of another domain
// has arrived.
func (i *isolationDetector) recordContact() { i.lastContactAt.Store(now().UnixNano()) }

// run checks for isolation until ctx is done. When the VM becomes isolated, all
// pending job records fail at once, so that their callers can use another VM.
func (i *isolationDetector) run(ctx context.Context) {
	i.recordContact()
	for sleep(ctx, isolationCheckInterval) {
		silent := now().Sub(time.Unix(0, i.lastContactAt.Load())) > maxContactAge
		isolated := silent && !i.reachesOtherVMs(ctx) && !i.reachesStore()
		if i.isolated.Swap(isolated) == isolated {
			continue
		}
		i.node.log.Info("isolation_changed", "isolated", isolated)
		if isolated {
			i.node.writer.failPendingWrites()
		}
	}
}

// reachesStore reports whether the store answers directly. While the store is marked as
// unreachable, it returns false without making a call.
func (i *isolationDetector) reachesStore() bool {
	if i.node.store.unreachable.Load() {
		return false
	}
	if !i.node.store.anyPartitionAnswers(isolationCallTimeout, probedPartitions[:]...) {
		return false
	}
	i.recordContact()
	return true
}

// reachesOtherVMs reports whether a VM of another failure domain answers, or any other
// VM if all are in one domain. It is true if there are no other VMs. It calls one VM
// first, since usually one call suffices, and all others only if that one does not
// answer.
func (i *isolationDetector) reachesOtherVMs(ctx context.Context) bool {
	others := i.node.members.otherMembersWhere(func(m member) bool { return m.Domain != i.node.settings.Domain })
	if len(others) == 0 {
		others = slices.Clone(i.node.members.otherMembers())
	}
	if len(others) == 0 {
		return true
	}
	first := rand.IntN(len(others))
	return i.anyVMAnswers(ctx, others[first:first+1]) || i.anyVMAnswers(ctx, slices.Delete(others, first, first+1))
}

// anyVMAnswers calls several VMs at the same time and reports whether at least one
// answers.
func (i *isolationDetector) anyVMAnswers(ctx context.Context, others []member) bool {
	callCtx, cancel := context.WithTimeout(ctx, isolationCallTimeout)
	defer cancel()
	answered := make(chan bool, len(others))
	for _, m := range others {
		go func() {
			_, err := link.Call[Nothing, LastHeartbeatReply](callCtx, i.node.peerClient, m.Address, "Heard", Nothing{})
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
