package entryvm

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// leastPatience is the time after which a direct append is looked into; it
	// follows the store's answers, times patienceFactor, up to mostPatience, which
	// bounds every append: callers wait three seconds.
	leastPatience  = 200 * time.Millisecond
	mostPatience   = 2 * time.Second
	patienceFactor = 5
	// readPatience bounds the read that tells a slow store from a lost one.
	readPatience = 450 * time.Millisecond
	// slowFactor times the time of a read is how long an append may take: it waits
	// for those before it in its partition.
	slowFactor = 6
	// relayTimeout bounds a call through another VM.
	relayTimeout = 800 * time.Millisecond
	// probeInterval is the pause between tries to reach the store directly.
	probeInterval = 300 * time.Millisecond
	// verifyTimeout bounds the look at other partitions after a failure.
	verifyTimeout = 300 * time.Millisecond
	// failuresUntilDown is how many direct calls in a row must have no answer
	// before calls go through other VMs; one alone may be a lost answer.
	failuresUntilDown = 2
	// relayReadPause takes the place of the store's own wait for a record.
	relayReadPause = 300 * time.Millisecond
	// relayTries bounds the VMs that are asked for one call.
	relayTries = 2
)

// verifiedParts are looked at before the store is called lost.
var verifiedParts = [...]int{0, 1, 2, 3}

// relayedStore reaches the store, through other entry VMs while this one can
// not.
type relayedStore struct {
	direct store.Store
	node   *Node
	// down tells that the store is not reached directly.
	down atomic.Bool
	// verifying tells that a look at other partitions is on its way.
	verifying atomic.Bool
	failures  atomic.Int32
	// changed is when down last changed, in Unix nanoseconds.
	changed atomic.Int64
	// latency is a moving average of the answers to appends, in nanoseconds.
	latency atomic.Int64
}

func newRelayedStore(direct store.Store, n *Node) *relayedStore {
	return &relayedStore{direct: direct, node: n}
}

// reached returns for how long the store has answered this VM, or as a negative time
// for how long it has not.
func (s *relayedStore) reached(at time.Time) time.Duration {
	since := at.Sub(time.Unix(0, s.changed.Load()))
	if s.down.Load() {
		return min(-since, -1)
	}
	return since
}

// kindOf returns the kind of an error of the store; errors of another type tell
// nothing of what was done.
func kindOf(err error) store.Kind { return fault.KindOr(err, store.KindUnknown) }

// kindOrStored names the outcome of an append.
func kindOrStored(err error) store.Kind {
	if err == nil {
		return "stored"
	}
	return kindOf(err)
}

// unreachable reports whether another VM may have more luck.
func unreachable(err error) bool {
	k := kindOf(err)
	return err != nil && (k == store.KindRefused || k == store.KindUnknown)
}

// patience is how long a direct append takes at most while all is well.
func (s *relayedStore) patience() time.Duration {
	return min(max(patienceFactor*time.Duration(s.latency.Load()), leastPatience), mostPatience)
}

// note learns from a direct call that took a time.
func (s *relayedStore) note(ctx context.Context, err error, took time.Duration) {
	if ctx.Err() == context.Canceled {
		return
	}
	s.node.measures.Observe(measure.Key{Name: "store_append", Of: string(kindOrStored(err))}, took)
	if !unreachable(err) {
		s.node.isolation.heard()
		s.failures.Store(0)
		s.latency.Store((s.latency.Load() + int64(took)) / 2)
		return
	}
	if kindOf(err) == store.KindUnknown && took >= leastPatience {
		s.latency.Store(min(2*max(s.latency.Load(), int64(leastPatience/patienceFactor)), int64(mostPatience/patienceFactor)))
	}
	if s.failures.Add(1) < failuresUntilDown && kindOf(err) == store.KindUnknown {
		return
	}
	if !s.down.Load() && s.verifying.CompareAndSwap(false, true) {
		go s.verify(err)
	}
}

// verify finds out whether the whole store is lost to this VM, or some of its
// partitions only. Those that fail can not be reached through other VMs either.
func (s *relayedStore) verify(cause error) {
	defer s.verifying.Store(false)
	if s.answers(verifyTimeout, verifiedParts[:]...) {
		s.failures.Store(0)
		s.node.log.Info("store_partly_lost", "error", cause.Error())
		return
	}
	s.lose(cause.Error())
}

// lose notes that the store is not reached directly. Only the one who verifies calls
// it.
func (s *relayedStore) lose(why string) {
	if !s.down.Swap(true) {
		s.changed.Store(now().UnixNano())
		s.node.log.Info("store_lost", "error", why)
		go s.probe()
	}
}

// answers reports whether one of several partitions of the store answers this VM in
// time.
func (s *relayedStore) answers(within time.Duration, parts ...int) bool {
	ctx, cancel := context.WithTimeout(s.node.run, within)
	defer cancel()
	answered := make(chan bool, len(parts))
	for _, part := range parts {
		go func() {
			_, err := s.direct.Read(ctx, store.Read{Topic: store.Claims, Part: part})
			answered <- !unreachable(err)
		}()
	}
	for range parts {
		if <-answered {
			return true
		}
	}
	return false
}

// probe waits until the store is reached directly; it asks one partition after the
// other.
func (s *relayedStore) probe() {
	for part := 0; pause(s.node.run, probeInterval); part = (part + 1) % len(verifiedParts) {
		if s.answers(mostPatience, part) {
			s.failures.Store(0)
			s.changed.Store(now().UnixNano())
			s.down.Store(false)
			s.node.log.Info("store_regained")
			return
		}
	}
}

// Append implements store.Store. An append that may have been carried out is
// not repeated here; the caller knows whether that is safe.
func (s *relayedStore) Append(ctx context.Context, a store.Append) (int64, error) {
	if !s.down.Load() {
		begun := now()
		end, err := s.appendDirect(ctx, a)
		s.note(ctx, err, now().Sub(begun))
		if kindOf(err) != store.KindRefused || err == nil {
			return end, err
		}
	}
	reply, err := s.relay(ctx, "Append", func(ctx context.Context, m member) (StoreReply, error) {
		return link.Call[AppendArgs, StoreReply](ctx, s.node.client, m.Address, "Append", AppendArgs{Append: a, Timeout: relayTimeout})
	})
	return reply.End, err
}

// appendDirect makes an append without other VMs. When it takes long, a read tells
// whether the store is slow, or the answer is lost.
//
// It answers a slow store: appends that are given up are carried out all the same, and
// repeating them fills the partitions until the store refuses all.
func (s *relayedStore) appendDirect(ctx context.Context, a store.Append) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, mostPatience)
	defer cancel()
	begun := now()
	var end int64
	var err error
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		end, err = s.direct.Append(ctx, a)
	}()
	if patience := s.patience(); !waitFor(answered, patience/2) {
		read := now()
		limit := patience
		if s.answers(readPatience, verifiedParts[:]...) {
			limit = max(patience, slowFactor*now().Sub(read))
		} else if s.verifying.CompareAndSwap(false, true) {
			s.lose("neither appends nor reads are answered")
			s.verifying.Store(false)
		}
		if !waitFor(answered, limit-now().Sub(begun)) {
			cancel()
			<-answered
		}
	}
	return end, err
}

// waitFor reports whether a channel is closed within a time.
func waitFor(done <-chan struct{}, within time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(max(within, 0)):
		return false
	}
}

// Read implements store.Store.
func (s *relayedStore) Read(ctx context.Context, r store.Read) (store.Batch, error) {
	if !s.down.Load() {
		return s.direct.Read(ctx, r)
	}
	reply, err := s.relay(ctx, "Read", func(ctx context.Context, m member) (StoreReply, error) {
		return link.Call[ReadArgs, StoreReply](ctx, s.node.client, m.Address, "Read", ReadArgs{Read: store.Read{Topic: r.Topic, Part: r.Part, From: r.From}, Timeout: relayTimeout})
	})
	if err == nil && len(reply.Records) == 0 {
		pause(ctx, min(r.Wait, relayReadPause))
	}
	return store.Batch{Records: reply.Records, Next: reply.End}, err
}

// Newest implements store.Store.
func (s *relayedStore) Newest(ctx context.Context, t store.Topic, part int) (store.Snapshot, error) {
	if !s.down.Load() {
		return s.direct.Newest(ctx, t, part)
	}
	reply, err := s.relay(ctx, "Newest", func(ctx context.Context, m member) (StoreReply, error) {
		return link.Call[ReadArgs, StoreReply](ctx, s.node.client, m.Address, "Read", ReadArgs{Read: store.Read{Topic: t, Part: part}, Snapshot: true, Timeout: relayTimeout})
	})
	return store.Snapshot{Records: reply.Records, End: reply.End}, err
}

// relay makes a call through other VMs, one after the other.
func (s *relayedStore) relay(ctx context.Context, operation string, call func(context.Context, member) (StoreReply, error)) (StoreReply, error) {
	others := slices.DeleteFunc(s.node.members.others(), func(m member) bool { return s.node.client.Silent(m.Address) })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	uncertain := false
	for i, m := range others {
		if i == relayTries || ctx.Err() != nil {
			break
		}
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		reply, err := call(bounded, m)
		cancel()
		switch {
		case err != nil:
			uncertain = uncertain || fault.KindOf[link.Kind](err) != link.KindUnreachable
		case reply.Kind == "":
			return reply, nil
		case reply.Kind == store.KindUnknown:
			uncertain = true
		case reply.Kind != store.KindRefused:
			return reply, fault.Newf(operation, reply.Kind, "through %s: %s", m.Name, reply.Message)
		}
	}
	if uncertain {
		return StoreReply{}, fault.Newf(operation, store.KindUnknown, "no entry VM got an answer from the store")
	}
	return StoreReply{}, fault.Newf(operation, store.KindRefused, "no entry VM reaches the store")
}
