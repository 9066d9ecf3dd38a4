package entryvm

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// minAppendTimeout and maxAppendTimeout are the lower and upper limit of the append
	// timeout, which is appendTimeoutFactor times the average latency of appends.
	// maxAppendTimeout also limits the total time of each direct append, since callers
	// wait only three seconds.
	minAppendTimeout    = 200 * time.Millisecond
	maxAppendTimeout    = 2 * time.Second
	appendTimeoutFactor = 5
	// readProbeTimeout limits the probing read, which distinguishes a slow store from
	// an unreachable one when an append takes long.
	readProbeTimeout = 450 * time.Millisecond
	// slowStoreTimeoutFactor is multiplied by the duration of the probing read to get
	// the append timeout while the store is slow. An append takes longer than a read,
	// since it waits for earlier appends to its partition.
	slowStoreTimeoutFactor = 6
	// relayTimeout limits a call to the store through another VM.
	relayTimeout = 800 * time.Millisecond
	// storeProbeInterval is the pause between two attempts to reach the store directly
	// again. It is short, because callers wait until the store is noticed to be back.
	storeProbeInterval = 100 * time.Millisecond
	// partitionCheckTimeout limits the check whether any of several partitions answers
	// after failed appends.
	partitionCheckTimeout = 300 * time.Millisecond
	// appendFailuresUntilPartitionCheck is the number of consecutive direct appends without an
	// answer after which the VM checks whether it still reaches the store. A single one
	// may be due to one lost message.
	appendFailuresUntilPartitionCheck = 2
	// relayedEmptyReadPause is the longest pause after a relayed read that returned no
	// records. The pause replaces the long poll of a direct read.
	relayedEmptyReadPause = 300 * time.Millisecond
	// maxRelayAttempts limits the number of VMs through which one call is tried.
	maxRelayAttempts = 2
)

// probedPartitions are the partitions that are read to check whether the store is
// reachable.
var probedPartitions = [...]int{0, 1, 2, 3}

// relayedStore calls the store directly, or through other entry VMs while this one
// does not reach it.
type relayedStore struct {
	// directStore calls the store from this VM.
	directStore store.Store
	node        *Node
	// unreachable is true while this VM cannot call the store directly.
	unreachable atomic.Bool
	// checkingPartitions is true while a goroutine checks whether the store is
	// unreachable. Only one does so at a time.
	checkingPartitions atomic.Bool
	// consecutiveFailures counts the direct appends that have failed since the last
	// successful one.
	consecutiveFailures atomic.Int32
	// reachabilityChangedAt is when unreachable last changed, in Unix nanoseconds.
	reachabilityChangedAt atomic.Int64
	// appendLatency is a moving average of the duration of direct appends, in
	// nanoseconds.
	appendLatency atomic.Int64
}

func newRelayedStore(direct store.Store, n *Node) *relayedStore {
	return &relayedStore{directStore: direct, node: n}
}

// reachableFor returns how long the store has been directly reachable. While the store
// is not reachable, it returns a negative duration: the time since the store became
// unreachable, negated.
func (s *relayedStore) reachableFor(at time.Time) time.Duration {
	since := at.Sub(time.Unix(0, s.reachabilityChangedAt.Load()))
	if s.unreachable.Load() {
		return min(-since, -1)
	}
	return since
}

// storeErrorKind returns the kind of a store error. Errors of other types have KindUnknown,
// since the call may have been carried out.
func storeErrorKind(err error) store.Kind { return fault.KindOr(err, store.KindUnknown) }

// appendMetricLabel returns the outcome of an append as it appears in the metrics.
func appendMetricLabel(err error) store.Kind {
	if err == nil {
		return "stored"
	}
	return storeErrorKind(err)
}

// isUnreachableError reports whether an error means that the store refused the call or did
// not answer, so that the call may succeed through another VM.
func isUnreachableError(err error) bool {
	k := storeErrorKind(err)
	return err != nil && (k == store.KindRefused || k == store.KindUnknown)
}

// appendTimeout returns how long a direct append may take while the store is healthy.
func (s *relayedStore) appendTimeout() time.Duration {
	return min(max(appendTimeoutFactor*time.Duration(s.appendLatency.Load()), minAppendTimeout), maxAppendTimeout)
}

// recordAppendResult updates the metrics, the average latency and the failure count
// with the result of a direct append. After appendFailuresUntilPartitionCheck consecutive
// failures, or one refusal, it starts to check whether the store is unreachable.
func (s *relayedStore) recordAppendResult(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() == context.Canceled {
		return
	}
	s.node.measures.Observe(measure.Key{Name: "store_append", Label: string(appendMetricLabel(err))}, took)
	if !isUnreachableError(err) {
		s.node.isolation.recordContact()
		s.consecutiveFailures.Store(0)
		s.appendLatency.Store((s.appendLatency.Load() + int64(took)) / 2)
		return
	}
	if storeErrorKind(err) == store.KindUnknown {
		s.node.longPolls.interruptIfDue()
	}
	if storeErrorKind(err) == store.KindUnknown && took >= minAppendTimeout {
		s.appendLatency.Store(min(2*max(s.appendLatency.Load(), int64(minAppendTimeout/appendTimeoutFactor)), int64(maxAppendTimeout/appendTimeoutFactor)))
	}
	if s.consecutiveFailures.Add(1) < appendFailuresUntilPartitionCheck && storeErrorKind(err) == store.KindUnknown {
		return
	}
	if !s.unreachable.Load() && s.checkingPartitions.CompareAndSwap(false, true) {
		go s.checkPartitions(err)
	}
}

// checkPartitions finds out whether this VM has lost the connection to all partitions
// of the store or only to some. If at least one answers, the store is not marked as
// unreachable: other VMs cannot reach the lost partitions either, so relaying calls
// would not help.
func (s *relayedStore) checkPartitions(cause error) {
	defer s.checkingPartitions.Store(false)
	if s.anyPartitionAnswers(partitionCheckTimeout, probedPartitions[:]...) {
		s.consecutiveFailures.Store(0)
		s.node.log.Info("store_partly_lost", "error", cause.Error())
		return
	}
	s.markUnreachable(cause.Error())
}

// markUnreachable records that this VM cannot call the store directly, and starts to
// probe the store. The caller must have set checkingPartitions.
func (s *relayedStore) markUnreachable(reason string) {
	if !s.unreachable.Swap(true) {
		s.reachabilityChangedAt.Store(now().UnixNano())
		s.node.log.Info("store_lost", "error", reason)
		go s.probeUntilReachable()
	}
}

// anyPartitionAnswers reads from several partitions at the same time and reports
// whether one answers within the timeout.
func (s *relayedStore) anyPartitionAnswers(timeout time.Duration, parts ...int) bool {
	ctx, cancel := context.WithTimeout(s.node.ctx, timeout)
	defer cancel()
	answered := make(chan bool, len(parts))
	for _, part := range parts {
		go func() {
			_, err := s.directStore.Read(ctx, store.Read{Topic: store.Claims, Part: part})
			answered <- !isUnreachableError(err)
		}()
	}
	for range parts {
		if <-answered {
			return true
		}
	}
	return false
}

// membersThatRead returns those of several VMs that read from the store for this one within
// partitionCheckTimeout.
func (s *relayedStore) membersThatRead(ctx context.Context, members []member) []member {
	ctx, cancel := context.WithTimeout(ctx, partitionCheckTimeout)
	defer cancel()
	reads := make([]bool, len(members))
	var g sync.WaitGroup
	for i, m := range members {
		g.Go(func() {
			args := ReadArgs{Read: store.Read{Topic: store.Claims}, Timeout: partitionCheckTimeout}
			r, err := link.Call[ReadArgs, StoreReply](ctx, s.node.peerClient, m.Address, "Read", args)
			reads[i] = err == nil && r.Kind != store.KindRefused && r.Kind != store.KindUnknown
		})
	}
	g.Wait()
	var list []member
	for i, m := range members {
		if reads[i] {
			list = append(list, m)
		}
	}
	return list
}

// probeUntilReachable reads from one partition after the other until one answers
// directly. Then it marks the store as reachable. It does not wait for the answer to
// one read before it sends the next: a store that answers nothing would otherwise be
// noticed to be back only when the last read has timed out.
func (s *relayedStore) probeUntilReachable() {
	answered := make(chan struct{}, 1)
	for part := 0; ; part = (part + 1) % len(probedPartitions) {
		select {
		case <-s.node.ctx.Done():
			return
		case <-answered:
			s.consecutiveFailures.Store(0)
			s.reachabilityChangedAt.Store(now().UnixNano())
			s.unreachable.Store(false)
			s.node.log.Info("store_regained")
			return
		case <-time.After(storeProbeInterval):
		}
		go func() {
			if s.anyPartitionAnswers(maxAppendTimeout, part) {
				trySignal(answered)
			}
		}()
	}
}

// Append implements store.Store. It relays an append only if the direct one was
// certainly not carried out. In all other cases the caller decides whether to repeat
// it.
func (s *relayedStore) Append(ctx context.Context, a store.Append) (int64, error) {
	if !s.unreachable.Load() {
		begun := now()
		end, err := s.appendDirect(ctx, a)
		s.recordAppendResult(ctx, err, now().Sub(begun))
		if storeErrorKind(err) != store.KindRefused || err == nil {
			return end, err
		}
	}
	reply, err := s.callThroughOthers(ctx, "Append", func(ctx context.Context, m member) (StoreReply, error) {
		return s.appendThrough(ctx, m, a)
	})
	return reply.End, err
}

// relayCheckTimeout limits the call that shows whether a VM answers before an append is
// relayed through it.
const relayCheckTimeout = 150 * time.Millisecond

// appendThrough relays an append through another VM. It first checks that the VM
// answers. A VM that was cut off just now does not, and if the append were sent to it,
// the callers would have to be told that their records may be stored, and could not
// submit them elsewhere.
func (s *relayedStore) appendThrough(ctx context.Context, m member, a store.Append) (StoreReply, error) {
	checkCtx, cancel := context.WithTimeout(ctx, relayCheckTimeout)
	defer cancel()
	if _, err := link.Call[Nothing, LastHeartbeatReply](checkCtx, s.node.peerClient, m.Address, "Heard", Nothing{}); err != nil {
		return StoreReply{Kind: store.KindRefused, Message: "the VM does not answer: " + err.Error()}, nil
	}
	return link.Call[AppendArgs, StoreReply](ctx, s.node.peerClient, m.Address, "Append", AppendArgs{Append: a, Timeout: relayTimeout})
}

// appendDirect appends to the store without relaying the call through another VM. If
// half of the append timeout passes without an answer, it reads from the store: if a
// partition answers, the store is only slow and the append gets more time, otherwise
// the store is marked as unreachable.
//
// Without the extra time, a slow store would still carry out the append that was given
// up, and the caller's retries would fill the partitions until the store refuses all
// calls.
func (s *relayedStore) appendDirect(ctx context.Context, a store.Append) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	begun := now()
	var end int64
	var err error
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		end, err = s.directStore.Append(ctx, a)
	}()
	if timeout := s.appendTimeout(); !channelClosedWithin(answered, timeout/2) {
		readBegun := now()
		limit := timeout
		if s.anyPartitionAnswers(readProbeTimeout, probedPartitions[:]...) {
			limit = max(timeout, slowStoreTimeoutFactor*now().Sub(readBegun))
		} else if s.checkingPartitions.CompareAndSwap(false, true) {
			s.markUnreachable("neither appends nor reads are answered")
			s.checkingPartitions.Store(false)
		}
		if !channelClosedWithin(answered, limit-now().Sub(begun)) {
			cancel()
			<-answered
		}
	}
	return end, err
}

// channelClosedWithin reports whether done is closed before the timeout.
func channelClosedWithin(done <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(max(timeout, 0)):
		return false
	}
}

// Read implements store.Store. A relayed read does not wait for a record to be
// appended.
func (s *relayedStore) Read(ctx context.Context, r store.Read) (store.Batch, error) {
	if !s.unreachable.Load() {
		return s.directStore.Read(ctx, r)
	}
	reply, err := s.callThroughOthers(ctx, "Read", func(ctx context.Context, m member) (StoreReply, error) {
		return link.Call[ReadArgs, StoreReply](ctx, s.node.peerClient, m.Address, "Read", ReadArgs{Read: store.Read{Topic: r.Topic, Part: r.Part, From: r.From}, Timeout: relayTimeout})
	})
	if err == nil && len(reply.Records) == 0 {
		sleep(ctx, min(r.Wait, relayedEmptyReadPause))
	}
	return store.Batch{Records: reply.Records, Next: reply.End}, err
}

// Newest implements store.Store.
func (s *relayedStore) Newest(ctx context.Context, t store.Topic, part int) (store.Snapshot, error) {
	if !s.unreachable.Load() {
		return s.directStore.Newest(ctx, t, part)
	}
	reply, err := s.callThroughOthers(ctx, "Newest", func(ctx context.Context, m member) (StoreReply, error) {
		return link.Call[ReadArgs, StoreReply](ctx, s.node.peerClient, m.Address, "Read", ReadArgs{Read: store.Read{Topic: t, Part: part}, Snapshot: true, Timeout: relayTimeout})
	})
	return store.Snapshot{Records: reply.Records, End: reply.End}, err
}

// callThroughOthers tries a call through other VMs, one after the other, until one
// returns a success or an error such as store.KindConflict that another VM would get as
// well. It tries at most maxRelayAttempts VMs. If no VM returns such a result, the error
// has store.KindUnknown if the call may have been carried out, and store.KindRefused if
// it was not.
func (s *relayedStore) callThroughOthers(ctx context.Context, operation string, call func(context.Context, member) (StoreReply, error)) (StoreReply, error) {
	others := s.node.members.otherMembersWhere(func(m member) bool { return !s.node.peerClient.IsPeerSilent(m.Address) })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	uncertain := false
	for i, m := range others {
		if i == maxRelayAttempts || ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		reply, err := call(callCtx, m)
		cancel()
		switch {
		case err != nil:
			uncertain = uncertain || fault.KindOf[link.Kind](err) != link.KindUnreachable
		case reply.Kind == "":
			return reply, nil
		case reply.Kind == store.KindUnknown:
			uncertain = true
		case reply.Kind != store.KindRefused:
			return reply, fault.Newf(operation, reply.Kind, "call through entry VM %s: %s", m.Name, reply.Message)
		}
	}
	if uncertain {
		return StoreReply{}, fault.Newf(operation, store.KindUnknown, "no entry VM got an answer from the store")
	}
	return StoreReply{}, fault.Newf(operation, store.KindRefused, "no entry VM reaches the store")
}
