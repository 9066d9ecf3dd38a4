package claim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/state/claim"
)

func TestMain(m *testing.M) { seeded.Main(m, 1000) }

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newKeyAt returns a new idempotency key whose timestamp is t.
func newKeyAt(t time.Time) string {
	return ulid.MustNew(ulid.Timestamp(t), ulid.DefaultEntropy()).String()
}

var errOutage = errors.New("outage")

// fakeLog is an in-memory log. failBeforeAppend makes every call fail without an
// effect; failAfterAppend makes appends take effect but return an error.
type fakeLog struct {
	streams                           map[string][]logservice.Record
	failBeforeAppend, failAfterAppend bool
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	if l.failBeforeAppend {
		return 0, errOutage
	}
	offset := uint64(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], logservice.Record{Offset: offset, Data: data})
	if l.failAfterAppend {
		return 0, errOutage
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, stream string, after uint64, _ int, _ time.Duration) (logservice.ReadReply, error) {
	if l.failBeforeAppend {
		return logservice.ReadReply{}, errOutage
	}
	return logservice.ReadReply{Records: l.streams[stream][after:]}, nil
}

// fakeLogClient adapts fakeLog to logservice.Log, whose Append takes a batch.
type fakeLogClient struct{ *fakeLog }

func (l fakeLogClient) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	return l.fakeLog.Append(ctx, stream, records[0])
}

func newRegistry(l *fakeLog, now func() time.Time) *claim.Registry {
	return claim.New(l, fakeLogClient{l}, now)
}

func TestKeysOutsideTheAgeLimitsAreRefused(t *testing.T) {
	scenarios := []struct {
		testName string
		key      string
		expected claim.Kind
	}{
		{"not a ULID", "letter-1", claim.KindMalformed},
		{"older than the window", newKeyAt(baseTime.Add(-claim.MaxKeyAge - time.Second)), claim.KindKeyExpired},
		{"ahead of the clock", newKeyAt(baseTime.Add(claim.MaxClockSkew + time.Second)), claim.KindKeyInFuture},
		{"within the window", newKeyAt(baseTime.Add(-time.Hour)), ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			b := newRegistry(&fakeLog{streams: map[string][]logservice.Record{}}, func() time.Time { return baseTime })
			_, err := b.Claim(context.Background(), "p", s.key, "r1")
			is.Equal(fault.KindOf[claim.Kind](err), s.expected)
		})
	}
}

// TestReleasedKeyCanBeClaimedAgain guards against a key that stays claimed forever:
// the append of a claim takes effect although the log returns an error, and the
// claiming request then releases the key.
func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l := &fakeLog{streams: map[string][]logservice.Record{}}
	now := func() time.Time { return baseTime }
	first, second := newRegistry(l, now), newRegistry(l, now)
	key := newKeyAt(baseTime)
	l.failAfterAppend = true
	_, err := first.Claim(ctx, "p", key, "r1")
	is.Equal(fault.KindOf[claim.Kind](err), claim.KindLogUnavailable)
	l.failAfterAppend = false
	r, err := second.Claim(ctx, "p", key, "r2")
	is.NoErr(err)
	is.Equal(r.Holder, "r1")
	is.NoErr(first.Release(ctx, "p", key, "r1"))
	r, err = second.Claim(ctx, "p", key, "r3")
	is.NoErr(err)
	is.True(r.Won)
}

// TestOneHolderAtATime claims, releases and settles keys from several entry VMs
// over a log that fails before or after an append. It fails if two requests hold a
// key at the same time or if a settled key changes its holder.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		l := &fakeLog{streams: map[string][]logservice.Record{}}
		now := func() time.Time { return baseTime }
		entryVMs := []*claim.Registry{newRegistry(l, now), newRegistry(l, now), newRegistry(l, now)}
		keys := []string{newKeyAt(baseTime), newKeyAt(baseTime.Add(time.Second))}
		holders := map[string]string{}
		settled := map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			entryVM := rapid.SampledFrom(entryVMs).Draw(rt, "book")
			key := rapid.SampledFrom(keys).Draw(rt, "key")
			l.failBeforeAppend = rapid.IntRange(0, 9).Draw(rt, "outage") == 0
			l.failAfterAppend = rapid.IntRange(0, 9).Draw(rt, "lost") == 0
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				id := fmt.Sprintf("r%d", i)
				r, err := entryVM.Claim(ctx, "p", key, id)
				if err != nil {
					continue
				}
				if r.Won && holders[key] != "" {
					rt.Fatalf("requests %s and %s both hold key %s", holders[key], id, key)
				}
				if settled[key] && r.Holder != holders[key] {
					rt.Fatalf("the holder of a settled key changed from %s to %s", holders[key], r.Holder)
				}
				if r.Won {
					holders[key] = id
				}
			case 2:
				if id := holders[key]; id != "" && !settled[key] && entryVM.Release(ctx, "p", key, id) == nil {
					holders[key] = ""
				}
			case 3:
				if id := holders[key]; id != "" && entryVM.Settle(ctx, "p", key, id, []byte(`{}`)) == nil {
					settled[key] = true
				}
			}
			if l.failAfterAppend {
				// A release that returned an error may have freed the key, so the model
				// claims the key to find out who holds it.
				l.failAfterAppend = false
				if r, err := entryVM.Claim(ctx, "p", key, "probe"); err == nil && r.Won {
					_ = entryVM.Release(ctx, "p", key, "probe")
					holders[key] = ""
				} else if err == nil {
					holders[key] = r.Holder
				}
			}
		}
	})
}
