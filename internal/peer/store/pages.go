package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Page is one part of the newest records of a partition.
type Page struct {
	// Records holds the newest record of each key in the page.
	Records []Record
	// HasMore is set if the records of further keys follow in the next page.
	HasMore bool
	// End is the end offset of the partition at the time of the call.
	End int64
}

// PageReader returns the newest records of a partition in pages. Records that are
// appended between two calls may be missing in later pages, together with the earlier
// records of their keys.
type PageReader interface {
	// NewestPage returns the page that follows the key after, or the first page if
	// after is empty.
	NewestPage(ctx context.Context, t Topic, part int, after string) (Page, error)
	// Read is the method of Store.
	Read(ctx context.Context, r Read) (Batch, error)
}

// ReadSnapshot reads all pages of a partition. If there is more than one, it then reads the
// records that were appended since the first page, up to the end of the partition, so that
// no key is missing. The snapshot is sorted by offset.
func ReadSnapshot(ctx context.Context, p PageReader, t Topic, part int) (Snapshot, error) {
	newest := map[string]Record{}
	end := int64(0)
	after := ""
	for first := true; ; first = false {
		page, err := readPage(ctx, p, t, part, after)
		if err != nil {
			return Snapshot{}, err
		}
		if first {
			end = page.End
		}
		keepNewest(newest, page.Records)
		if !page.HasMore || endsWithUnusableKey(page, after) {
			if !first {
				end, err = readAppended(ctx, p, Read{Topic: t, Part: part, From: end}, newest)
			}
			if err != nil {
				return Snapshot{}, err
			}
			break
		}
		if len(page.Records) == 0 || page.Records[len(page.Records)-1].Key == after {
			return Snapshot{}, fault.Newf("newest", KindUnknown, "the page after key %q tells no key after which to continue", after)
		}
		after = page.Records[len(page.Records)-1].Key
	}
	maps.DeleteFunc(newest, func(_ string, r Record) bool { return len(r.Value) == 0 })
	records := slices.SortedFunc(maps.Values(newest), func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return Snapshot{Records: records, End: end}, nil
}

const (
	// pageRetryDelay is how long a read of a page may take before another one is sent beside
	// it.
	pageRetryDelay = 2500 * time.Millisecond
	// maxPageReads limits the reads of one page. Snapshots are given up after 8 s, which is
	// soon after the last one.
	maxPageReads = 4
)

// readPage reads one page. As long as there is no answer, it sends the read again after each
// pageRetryDelay, and takes the first answer: a connection can stop delivering messages without
// an error while new ones work, and a store that answers nothing for a while never answers the
// reads that were sent meanwhile. But over a slow network link the first answer may just be
// arriving, so the earlier reads go on.
func readPage(ctx context.Context, p PageReader, t Topic, part int, after string) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		page Page
		err  error
	}
	results := make(chan result, maxPageReads)
	read := func() {
		page, err := p.NewestPage(ctx, t, part, after)
		results <- result{page, err}
	}
	go read()
	retry := time.NewTicker(pageRetryDelay)
	defer retry.Stop()
	for pending, sent := 1, 1; ; {
		select {
		case r := <-results:
			pending--
			if r.err == nil || pending == 0 {
				return r.page, r.err
			}
		case <-retry.C:
			if sent++; sent == maxPageReads {
				retry.Stop()
			}
			pending++
			go read()
		}
	}
}

// endsWithUnusableKey reports whether a page ends with the key after which it was asked
// for, because the key isn't UTF-8: it contains a replacement character, after which the
// store can't continue. Such a key is not one of the system's, whose keys come before it.
func endsWithUnusableKey(p Page, after string) bool {
	return len(p.Records) > 0 && p.Records[len(p.Records)-1].Key == after && strings.ContainsRune(after, utf8.RuneError)
}

// readAppended adds the records from r.From to the end of the partition to newest, and
// returns the offset from which to continue reading.
func readAppended(ctx context.Context, p PageReader, r Read, newest map[string]Record) (int64, error) {
	for {
		batch, err := p.Read(ctx, r)
		if err != nil {
			// Dropped records also require that the pages are read again.
			return 0, fault.New("newest", KindUnknown, err)
		}
		keepNewest(newest, batch.Records)
		r.From = batch.Next
		if batch.ReachesEnd() {
			return r.From, nil
		}
	}
}

// keepNewest adds records to newest, unless newest has a later record of the key.
func keepNewest(newest map[string]Record, records []Record) {
	for _, r := range records {
		if known, ok := newest[r.Key]; !ok || r.Offset >= known.Offset {
			newest[r.Key] = r
		}
	}
}
