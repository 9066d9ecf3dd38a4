package memory_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// appendKeys appends a record with a value of the given size for each key.
func appendKeys(is *is.I, s *memory.Store, t store.Topic, size int, keys ...string) {
	is.Helper()
	for _, k := range keys {
		_, err := s.Append(store.Append{Topic: t, Records: []store.Record{{Key: k, Value: make([]byte, size)}}})
		is.NoErr(err)
	}
}

// numberedKeys returns n keys in alphabetical order.
func numberedKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%04d", i)
	}
	return keys
}

// The platform limits pages by their records and by their bytes.
func TestNewestIsReadInPages(t *testing.T) {
	scenarios := []struct {
		testName string
		keys     int
		size     int
		expected []int
	}{
		{"no key", 0, 1, []int{0}},
		{"one page", 500, 1, []int{500}},
		{"one key more than a page", 501, 1, []int{500, 1}},
		{"two full pages", 1000, 1, []int{500, 500}},
		{"pages of a megabyte", 9, 250_000, []int{4, 4, 1}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			stored := memory.New()
			appendKeys(is, stored, store.Jobs, s.size, numberedKeys(s.keys)...)
			link := memory.NewLink(stored)
			after := ""
			for i, expected := range s.expected {
				page, err := link.NewestPage(t.Context(), store.Jobs, 0, after)
				is.NoErr(err)
				is.Equal(len(page.Records), expected)
				is.Equal(page.HasMore, i < len(s.expected)-1)
				is.Equal(page.End, int64(s.keys))
				if expected > 0 {
					after = page.Records[expected-1].Key
				}
			}
		})
	}
}

// Appends between two pages are seen in part: later pages may show them or not.
func TestChangesBetweenPagesMayBeHidden(t *testing.T) {
	for _, hidden := range []bool{false, true} {
		t.Run(fmt.Sprintf("hidden %t", hidden), func(t *testing.T) {
			is := is.New(t)
			stored := memory.New()
			keys := numberedKeys(502)
			appendKeys(is, stored, store.Jobs, 1, keys...)
			link := memory.NewLink(stored)
			link.HideChangesBetweenPages(hidden)
			_, err := link.NewestPage(t.Context(), store.Jobs, 0, "")
			is.NoErr(err)
			_, err = stored.Append(store.Append{Topic: store.Jobs, Records: []store.Record{{Key: keys[501], Value: []byte("new")}}})
			is.NoErr(err)
			page, err := link.NewestPage(t.Context(), store.Jobs, 0, keys[499])
			is.NoErr(err)
			if hidden {
				is.Equal(len(page.Records), 1)
				return
			}
			is.Equal(len(page.Records), 2)
			is.Equal(string(page.Records[1].Value), "new")
		})
	}
}

// A read returns a limited amount of data, and must be continued.
func TestReadIsLimited(t *testing.T) {
	is := is.New(t)
	stored := memory.New()
	appendKeys(is, stored, store.Jobs, 250_000, numberedKeys(6)...)
	link := memory.NewLink(stored)
	batch, err := link.Read(t.Context(), store.Read{Topic: store.Jobs})
	is.NoErr(err)
	is.Equal(len(batch.Records), 4)
	is.Equal(batch.Next, int64(4))
	is.True(!batch.ReachesEnd())
	batch, err = link.Read(t.Context(), store.Read{Topic: store.Jobs, From: batch.Next})
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
	is.True(batch.ReachesEnd())
	stored.DropRecords(store.Jobs, 0)
	batch, err = link.Read(t.Context(), store.Read{Topic: store.Jobs, From: 3})
	is.Equal(fault.KindOf[store.Kind](err), store.KindDropped)
	is.Equal(batch.Next, int64(6)) // Where the partition begins.
}

// The store recognizes retries of the last five appends of a producer, and no older ones.
func TestProducerSequence(t *testing.T) {
	scenarios := []struct {
		testName        string
		epoch, sequence int64
		records         int
		expectedKind    store.Kind
		expected        int64
	}{
		{"the next append", 4, 17, 1, "", 8},
		{"a retry of the last append", 4, 16, 1, "", 7},
		{"a retry of the fifth last append", 4, 12, 1, "", 3},
		{"a retry of an older append", 4, 11, 1, store.KindConflict, 17},
		{"a gap", 4, 18, 1, store.KindConflict, 17},
		{"an older epoch", 3, 17, 1, store.KindFenced, 0},
		{"a higher epoch at any number", 5, 99, 1, "", 8},
		{"an empty append", 5, 0, 0, "", 7},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			stored := memory.New()
			put := func(epoch, sequence int64, records int) (int64, error) {
				return stored.Append(store.Append{Topic: store.Progress, Records: make([]store.Record, records), Producer: &store.Producer{Name: "leader", Epoch: epoch, Sequence: sequence}})
			}
			for sequence := int64(10); sequence <= 16; sequence++ {
				_, err := put(4, sequence, 1)
				is.NoErr(err)
			}
			end, err := put(s.epoch, s.sequence, s.records)
			is.Equal(fault.KindOf[store.Kind](err), s.expectedKind)
			is.Equal(end, s.expected)
			if s.epoch == 5 {
				_, err := put(4, 17, 1)
				is.Equal(fault.KindOf[store.Kind](err), store.KindFenced)
			}
		})
	}
}

// The store refuses what exceeds its limits.
func TestTooLargeAppendIsRefused(t *testing.T) {
	record := func(size int) store.Record { return store.Record{Key: "key", Value: make([]byte, size-4)} }
	large := record(262144)
	scenarios := []struct {
		testName string
		records  []store.Record
		expected store.Kind
	}{
		{"the largest record", []store.Record{large}, ""},
		{"a record that is too large", []store.Record{record(262145)}, store.KindInvalid},
		{"a key that is too long", []store.Record{{Key: string(make([]byte, 256))}}, store.KindInvalid},
		{"seven of the largest records", []store.Record{large, large, large, large, large, large, large}, ""},
		{"eight of the largest records", []store.Record{large, large, large, large, large, large, large, large}, store.KindInvalid},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			stored := memory.New()
			_, err := stored.Append(store.Append{Topic: store.Jobs, Records: s.records})
			is.Equal(fault.KindOf[store.Kind](err), s.expected)
			is.Equal(len(stored.Records(store.Jobs, 0)) > 0, s.expected == "")
		})
	}
}

// An append without an answer may be executed late, after newer ones, if its condition
// still holds.
func TestLateAppends(t *testing.T) {
	is := is.New(t)
	stored := memory.New()
	link := memory.NewLink(stored)
	late := make(chan func(), 2)
	link.LateAppends(2, func(execute func()) { late <- execute })
	for _, key := range []string{"first", "conditional"} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		_, err := link.Append(ctx, store.Append{Topic: store.Jobs, Records: []store.Record{{Key: key}}, Condition: store.Condition{Set: key == "conditional"}})
		cancel()
		is.Equal(fault.KindOf[store.Kind](err), store.KindUnknown)
	}
	_, err := link.Append(t.Context(), store.Append{Topic: store.Jobs, Records: []store.Record{{Key: "newer"}}})
	is.NoErr(err)
	first, conditional := <-late, <-late
	conditional()
	first()
	records := stored.Records(store.Jobs, 0)
	is.Equal(len(records), 2) // The condition does not hold any more.
	is.Equal(records[0].Key, "newer")
	is.Equal(records[1].Key, "first")
}

// Calls that were sent in a silent outage get no answer after it either, and their appends may be
// executed late.
func TestSilentCallsAreNotAnsweredLater(t *testing.T) {
	is := is.New(t)
	stored := memory.New()
	link := memory.NewLink(stored)
	late := make(chan func(), 1)
	link.ExecuteSilentAppends(func(execute func()) { late <- execute })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	link.SilenceCalls(true)
	unanswered := make(chan error, 2)
	go func() {
		_, err := link.Append(ctx, store.Append{Topic: store.Jobs, Records: []store.Record{{Key: "late"}}})
		unanswered <- err
	}()
	go func() {
		_, err := link.Read(ctx, store.Read{Topic: store.Jobs})
		unanswered <- err
	}()
	execute := <-late
	time.Sleep(10 * time.Millisecond) // Both calls have been sent.
	link.SilenceCalls(false)
	_, err := link.Append(t.Context(), store.Append{Topic: store.Jobs, Records: []store.Record{{Key: "after"}}})
	is.NoErr(err)
	execute()
	for range 2 {
		is.Equal(fault.KindOf[store.Kind](<-unanswered), store.KindUnknown)
	}
	records := stored.Records(store.Jobs, 0)
	is.Equal(len(records), 2)
	is.Equal(records[1].Key, "late")
}
