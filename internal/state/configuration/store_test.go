package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/state/configuration"
	"github.com/almondpost/almondpost/internal/state/plan"
)

func TestMain(m *testing.M) { seeded.Main(m, 400) }

// fakeLog is an in-memory log that can drop old records, fail all calls and lose the
// reply of an append.
type fakeLog struct {
	records            []logservice.Record
	droppedRecordCount int
	loseNextReply      bool
	outage             bool
}

var errOutage = errors.New("outage")

func (l *fakeLog) Append(_ context.Context, _ string, records [][]byte) (uint64, error) {
	if l.outage {
		return 0, errOutage
	}
	first := uint64(len(l.records) + 1)
	for _, r := range records {
		l.records = append(l.records, logservice.Record{Offset: uint64(len(l.records) + 1), Data: r})
	}
	if l.loseNextReply {
		l.loseNextReply = false
		return 0, errOutage
	}
	return first, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, after uint64, limit int, _ time.Duration) (logservice.ReadReply, error) {
	if l.outage {
		return logservice.ReadReply{}, errOutage
	}
	begin := max(int(after), l.droppedRecordCount)
	end := min(len(l.records), begin+limit)
	if begin > end {
		begin = end
	}
	return logservice.ReadReply{Records: l.records[begin:end], Oldest: uint64(l.droppedRecordCount + 1)}, nil
}

// newLists returns valid lists that contain one plan with this price.
func newLists(price float64) plan.Lists {
	return plan.Lists{
		Customers: plan.Customers{Customers: []plan.Customer{{Name: "c", Plans: []string{"p"}}}},
		Entitlements: plan.Entitlements{Plans: []plan.Entitlement{{
			Plan: "p", PromisedShare: 0.5, LimitShare: 1, QueueLimit: 10, Classes: plan.Classes[:], Price: price,
		}}},
	}
}

func TestFirstChangeInLogOrderIsAccepted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l := &fakeLog{}
	first, err := configuration.Publish(ctx, l, 0, "a", newLists(1))
	is.NoErr(err)
	second, err := configuration.Publish(ctx, l, first.Offset, "a", newLists(2))
	is.NoErr(err)
	_, err = configuration.Publish(ctx, l, first.Offset, "b", newLists(3))
	is.Equal(fault.KindOf[configuration.Kind](err), configuration.KindConflict)
	s, err := configuration.Load(ctx, l)
	is.NoErr(err)
	is.Equal(s.Current().Offset, second.Offset)
	is.Equal(s.Current().Lists.Entitlements.Plans[0].Price, 2.0)
}

// TestLostAnswerOfAnAppendIsResolvedByReadingBack guards against a second append of
// a publication whose first append took effect although its reply was lost.
func TestLostAnswerOfAnAppendIsResolvedByReadingBack(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{loseNextReply: true}
	v, err := configuration.Publish(context.Background(), l, 0, "a", newLists(1))
	is.NoErr(err)
	is.Equal(v.Offset, uint64(1))
	is.Equal(len(l.records), 1)
}

func TestInvalidListsAreNotPublished(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	invalid := newLists(1)
	invalid.Entitlements.Plans[0].PromisedShare = 2
	_, err := configuration.Publish(context.Background(), l, 0, "a", invalid)
	is.Equal(fault.KindOf[configuration.Kind](err), configuration.KindInvalid)
	is.Equal(len(l.records), 0)
}

// reader is an entry VM that follows the log, with the offsets of all versions that
// it has accepted.
type reader struct {
	store           *configuration.Store
	acceptedOffsets []uint64
}

func newReader() *reader {
	r := &reader{}
	r.store = configuration.New(func(v configuration.Version) { r.acceptedOffsets = append(r.acceptedOffsets, v.Offset) })
	return r
}

// TestReadersAgreeAndNeverRevert publishes conflicting changes while readers lag,
// restart and learn versions from each other, and the log drops old records. It
// fails if a reader accepts an older version after a newer one, or if it ends with
// another version than a reader that has read the whole log.
func TestReadersAgreeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		l := &fakeLog{}
		reference := newReader()
		readers := []*reader{newReader(), newReader(), newReader()}
		price := 1.0
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(readers)-1).Draw(rt, "reader")
			r := readers[i]
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0, 1:
				price++
				basedOn := r.store.Current().Offset
				if rapid.Bool().Draw(rt, "newest") {
					basedOn = reference.store.Current().Offset
				}
				data, _ := configuration.Encode(configuration.Record{ID: fmt.Sprint(price), BaseOffset: basedOn, Operator: "o", Lists: newLists(price)})
				_, _ = l.Append(ctx, configuration.Stream, [][]byte{data})
				if rapid.Bool().Draw(rt, "repeated") {
					_, _ = l.Append(ctx, configuration.Stream, [][]byte{data})
				}
				applyAllRecords(rt, l, reference)
			case 2, 3:
				applyAllRecords(rt, l, r)
			case 4:
				readers[i] = newReader()
			case 5:
				learned := readers[rapid.IntRange(0, len(readers)-1).Draw(rt, "peer")].store.Current()
				if err := r.store.ReplaceIfNewer(learned.Offset, learned.Lists); err != nil {
					rt.Fatal(err)
				}
			case 6:
				if data, due := r.store.SnapshotDue("r"); due {
					_, _ = l.Append(ctx, configuration.Stream, [][]byte{data})
					applyAllRecords(rt, l, reference)
				}
			case 7:
				// The log drops records only after a snapshot of the current
				// version was appended. The first call of SnapshotDue may find that
				// the version was read recently; the second then returns a
				// snapshot.
				reference.store.SnapshotDue("t")
				if data, due := reference.store.SnapshotDue("t"); due {
					_, _ = l.Append(ctx, configuration.Stream, [][]byte{data})
					applyAllRecords(rt, l, reference)
					l.droppedRecordCount = rapid.IntRange(l.droppedRecordCount, len(l.records)-1).Draw(rt, "dropped")
				}
			}
		}
		for _, r := range readers {
			applyAllRecords(rt, l, r)
			if got, want := r.store.Current(), reference.store.Current(); got.Offset != want.Offset {
				rt.Fatalf("a reader has the version at offset %d, the reference reader %d", got.Offset, want.Offset)
			}
			for i := 1; i < len(r.acceptedOffsets); i++ {
				if r.acceptedOffsets[i] <= r.acceptedOffsets[i-1] {
					rt.Fatalf("a reader accepted an older version after a newer one: %v", r.acceptedOffsets)
				}
			}
		}
	})
}

// applyAllRecords applies records until the log has no newer ones.
func applyAllRecords(rt *rapid.T, l *fakeLog, r *reader) {
	for {
		before := r.store.ReadOffset()
		if err := configuration.CatchUp(context.Background(), l, r.store, 0); err != nil {
			rt.Fatal(err)
		}
		if r.store.ReadOffset() == before {
			return
		}
	}
}

func TestMalformedRecordsChangeNothing(t *testing.T) {
	encoded, err := configuration.Encode(configuration.Record{ID: "x", Lists: newLists(1)})
	if err != nil {
		t.Fatal(err)
	}
	scenarios := []struct {
		testName string
		data     []byte
	}{
		{"empty", nil},
		{"plain text", []byte("hello")},
		{"unknown field", []byte(`{"colour":"red"}`)},
		{"truncated gzip data", encoded[:len(encoded)-9]},
		{"corrupt gzip data", append([]byte{0x1f, 0x8b}, encoded[3:]...)},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			store := configuration.New(func(configuration.Version) { t.Fatal("a malformed record was accepted") })
			v := store.Apply(logservice.Record{Offset: 1, Data: s.data})
			is.True(!v.Accepted)
			is.True(v.Reason != "")
			is.Equal(store.ReadOffset(), uint64(1))
		})
	}
}

// BenchmarkRecord reports the encoded size of a record with 350 plans.
func BenchmarkRecord(b *testing.B) {
	var l plan.Lists
	for i := range 350 {
		name := fmt.Sprintf("team-%d", i)
		l.Customers.Customers = append(l.Customers.Customers, plan.Customer{Name: name, Plans: []string{name}})
		l.Entitlements.Plans = append(l.Entitlements.Plans, plan.Entitlement{
			Plan: name, PromisedShare: float64(i%7+1) / 3500, LimitShare: 1, QueueLimit: 100 + i, Classes: plan.Classes[:], Price: float64(i) / 10,
		})
	}
	size := 0
	for b.Loop() {
		data, err := configuration.Encode(configuration.Record{ID: "x", Lists: l})
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
