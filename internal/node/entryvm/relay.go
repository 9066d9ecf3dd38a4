package entryvm

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// directTimeout bounds a direct call before another VM is asked; it leaves
	// time for a store that answers slowly.
	directTimeout = 700 * time.Millisecond
	// relayTimeout bounds a call through another VM.
	relayTimeout = 800 * time.Millisecond
	// directPause is how long calls go through other VMs after a direct one
	// failed.
	directPause = 500 * time.Millisecond
	// relayReadPause takes the place of the store's own wait for a record.
	relayReadPause = 300 * time.Millisecond
	// relayTries bounds the VMs that are asked for one call.
	relayTries = 2
)

// relayedStore reaches the store, through another entry VM when this one can
// not.
type relayedStore struct {
	direct store.Store
	node   *Node
	// failedAt is when a direct call last failed, in Unix nanoseconds.
	failedAt atomic.Int64
}

func newRelayedStore(direct store.Store, n *Node) *relayedStore {
	return &relayedStore{direct: direct, node: n}
}

// kindOf returns the kind of an error of the store; errors of another type tell
// nothing of what was done.
func kindOf(err error) store.Kind { return fault.KindOr(err, store.KindUnknown) }

// unreachable reports whether another VM may have more luck.
func unreachable(err error) bool {
	k := kindOf(err)
	return err != nil && (k == store.KindRefused || k == store.KindUnknown)
}

func (s *relayedStore) skipsDirect() bool {
	return now().Sub(time.Unix(0, s.failedAt.Load())) < directPause
}

func (s *relayedStore) note(ctx context.Context, err error) {
	if !unreachable(err) {
		if s.failedAt.Swap(0) != 0 {
			s.node.log.Info("store_regained")
		}
		return
	}
	if ctx.Err() == context.Canceled {
		return
	}
	if s.failedAt.Swap(now().UnixNano()) == 0 {
		s.node.log.Info("store_lost", "error", err.Error())
	}
}

// Append implements store.Store. An append that may have been carried out is
// repeated as it is; the caller gives it a producer where that matters.
func (s *relayedStore) Append(ctx context.Context, a store.Append) (int64, error) {
	uncertain := false
	var end int64
	var err error
	if !s.skipsDirect() {
		call, cancel := context.WithTimeout(ctx, directTimeout)
		end, err = s.direct.Append(call, a)
		cancel()
		s.note(ctx, err)
		if !unreachable(err) {
			return end, err
		}
		uncertain = kindOf(err) == store.KindUnknown
	}
	if a.Condition.Set && uncertain {
		return 0, err // A repeat would conflict with itself.
	}
	reply, relayed := s.relay(ctx, "Append", func(ctx context.Context, m member) (StoreReply, error) {
		return link.Call[AppendArgs, StoreReply](ctx, s.node.client, m.Address, "Append", AppendArgs{Append: a, Timeout: relayTimeout})
	})
	if relayed == nil {
		return reply.End, nil
	}
	if uncertain || (unreachable(relayed) && err == nil && kindOf(relayed) == store.KindUnknown) {
		return 0, fault.New("append", store.KindUnknown, relayed)
	}
	return 0, relayed
}

// Read implements store.Store.
func (s *relayedStore) Read(ctx context.Context, r store.Read) (store.Batch, error) {
	if !s.skipsDirect() {
		batch, err := s.direct.Read(ctx, r)
		s.note(ctx, err)
		if !unreachable(err) {
			return batch, err
		}
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
	if !s.skipsDirect() {
		snapshot, err := s.direct.Newest(ctx, t, part)
		s.note(ctx, err)
		if !unreachable(err) {
			return snapshot, err
		}
	}
	reply, err := s.relay(ctx, "Newest", func(ctx context.Context, m member) (StoreReply, error) {
		return link.Call[ReadArgs, StoreReply](ctx, s.node.client, m.Address, "Read", ReadArgs{Read: store.Read{Topic: t, Part: part}, Snapshot: true, Timeout: relayTimeout})
	})
	return store.Snapshot{Records: reply.Records, End: reply.End}, err
}

// relay makes a call through other VMs, one after the other.
func (s *relayedStore) relay(ctx context.Context, operation string, call func(context.Context, member) (StoreReply, error)) (StoreReply, error) {
	others := s.node.members.others()
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
