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

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func keyAt(t time.Time) string {
	return ulid.MustNew(ulid.Timestamp(t), ulid.DefaultEntropy()).String()
}

var errOutage = errors.New("outage")

// fakeLog appends and reads, unless told to fail before or after the append.
type fakeLog struct {
	streams              map[string][]logservice.Record
	failBefore, failLate bool
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	if l.failBefore {
		return 0, errOutage
	}
	offset := uint64(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], logservice.Record{Offset: offset, Data: data})
	if l.failLate {
		return 0, errOutage
	}
	return offset, nil
}

func (l *fakeLog) Read(_ context.Context, stream string, after uint64, _ int, _ time.Duration) (logservice.ReadReply, error) {
	if l.failBefore {
		return logservice.ReadReply{}, errOutage
	}
	return logservice.ReadReply{Records: l.streams[stream][after:]}, nil
}

// logAdapter gives the fake the batch form of logservice.Log.
type logAdapter struct{ *fakeLog }

func (l logAdapter) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	return l.fakeLog.Append(ctx, stream, records[0])
}

func book(l *fakeLog, now func() time.Time) *claim.Book { return claim.New(l, logAdapter{l}, now) }

func TestKeysOutOfTheWindowAreRefused(t *testing.T) {
	scenarios := []struct {
		testName string
		key      string
		expected claim.Kind
	}{
		{"no ULID", "letter-1", claim.KindMalformed},
		{"older than the window", keyAt(begin.Add(-claim.Window - time.Second)), claim.KindExpired},
		{"ahead of the clock", keyAt(begin.Add(claim.MaxAhead + time.Second)), claim.KindFuture},
		{"within the window", keyAt(begin.Add(-time.Hour)), ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			b := book(&fakeLog{streams: map[string][]logservice.Record{}}, func() time.Time { return begin })
			_, err := b.Claim(context.Background(), "p", s.key, "r1")
			is.Equal(fault.KindOf[claim.Kind](err), s.expected)
		})
	}
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l := &fakeLog{streams: map[string][]logservice.Record{}}
	now := func() time.Time { return begin }
	a, b := book(l, now), book(l, now)
	key := keyAt(begin)
	l.failLate = true
	_, err := a.Claim(ctx, "p", key, "r1")
	is.Equal(fault.KindOf[claim.Kind](err), claim.KindUnavailable)
	l.failLate = false
	r, err := b.Claim(ctx, "p", key, "r2")
	is.NoErr(err)
	is.Equal(r.Holder, "r1")
	is.NoErr(a.Release(ctx, "p", key, "r1"))
	r, err = b.Claim(ctx, "p", key, "r3")
	is.NoErr(err)
	is.True(r.Won)
}

// TestOneHolderAtATime races claims, releases and settlements of entry VMs over
// a log that fails before or after an append. At no time two requests hold a
// key, and a settled key keeps its holder.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		l := &fakeLog{streams: map[string][]logservice.Record{}}
		now := func() time.Time { return begin }
		books := []*claim.Book{book(l, now), book(l, now), book(l, now)}
		keys := []string{keyAt(begin), keyAt(begin.Add(time.Second))}
		holder := map[string]string{}
		settled := map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			b := rapid.SampledFrom(books).Draw(rt, "book")
			key := rapid.SampledFrom(keys).Draw(rt, "key")
			l.failBefore = rapid.IntRange(0, 9).Draw(rt, "outage") == 0
			l.failLate = rapid.IntRange(0, 9).Draw(rt, "lost") == 0
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				id := fmt.Sprintf("r%d", i)
				r, err := b.Claim(ctx, "p", key, id)
				if err != nil {
					continue
				}
				if r.Won && holder[key] != "" {
					rt.Fatalf("%s and %s hold key %s", holder[key], id, key)
				}
				if settled[key] && r.Holder != holder[key] {
					rt.Fatalf("settled key moved from %s to %s", holder[key], r.Holder)
				}
				if r.Won {
					holder[key] = id
				}
			case 2:
				if id := holder[key]; id != "" && !settled[key] && b.Release(ctx, "p", key, id) == nil {
					holder[key] = ""
				}
			case 3:
				if id := holder[key]; id != "" && b.Settle(ctx, "p", key, id, []byte(`{}`)) == nil {
					settled[key] = true
				}
			}
			if l.failLate {
				// A release whose answer was lost may have freed the key.
				l.failLate = false
				if r, err := b.Claim(ctx, "p", key, "probe"); err == nil && r.Won {
					_ = b.Release(ctx, "p", key, "probe")
					holder[key] = ""
				} else if err == nil {
					holder[key] = r.Holder
				}
			}
		}
	})
}
