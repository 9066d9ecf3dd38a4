package configuration

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/state/plan"
)

const (
	maxRecordsPerRead = 64
	// longPollWait is how long a read waits for new records.
	longPollWait = 10 * time.Second
	retryDelay   = 500 * time.Millisecond
)

// Follow applies the records of the log to the store as they are appended, until
// ctx ends. It retries failed reads.
func Follow(ctx context.Context, log logservice.Log, s *Store) {
	for ctx.Err() == nil {
		if err := CatchUp(ctx, log, s, longPollWait); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}
}

// CatchUp reads the log once and applies the records after the store's offset, at
// most maxRecordsPerRead of them. If there are none, the read waits for up to wait.
func CatchUp(ctx context.Context, log logservice.Log, s *Store, wait time.Duration) error {
	reply, err := log.Read(ctx, Stream, s.ReadOffset(), maxRecordsPerRead, wait)
	if err != nil {
		return err
	}
	for _, r := range reply.Records {
		s.Apply(r)
	}
	return nil
}

// Load returns a new store to which all records in the log have been applied.
func Load(ctx context.Context, log logservice.Log) (*Store, error) {
	s := New(func(Version) {})
	return s, applyAllRecords(ctx, log, s)
}

// applyAllRecords applies records to the store until the log has no newer ones.
func applyAllRecords(ctx context.Context, log logservice.Log, s *Store) error {
	for {
		before := s.ReadOffset()
		if err := CatchUp(ctx, log, s, 0); err != nil {
			return err
		}
		if s.ReadOffset() == before {
			return nil
		}
	}
}

// maxAppendAttempts is the maximum number of appends for one publication. An append
// that fails is repeated, since its outcome is unknown.
const maxAppendAttempts = 5

// Publish appends new lists that replace the version at offset baseOffset, and
// returns the accepted version. After a failed append it reads the log to find out
// whether the record is there. Repeated appends are idempotent, since they carry
// the same ID. The error is of KindInvalid for invalid lists, of KindConflict when
// another change was accepted first, and of KindUnknown when the outcome is
// unknown.
func Publish(ctx context.Context, log logservice.Log, baseOffset uint64, operator string, lists plan.Lists) (Version, error) {
	if _, err := plan.NewIndex(lists); err != nil {
		return Version{}, fault.New("publish", KindInvalid, err)
	}
	id := ulid.Make().String()
	data, err := Encode(Record{ID: id, BaseOffset: baseOffset, Operator: operator, Lists: lists})
	if err != nil {
		return Version{}, fault.New("publish", KindInvalid, err)
	}
	var appendErr error
	for range maxAppendAttempts {
		if _, appendErr = log.Append(ctx, Stream, [][]byte{data}); appendErr == nil {
			break
		}
		if v, found := findPublishedVersion(ctx, log, id); found {
			return v, nil
		}
		time.Sleep(retryDelay)
	}
	if v, found := findPublishedVersion(ctx, log, id); found {
		return v, nil
	}
	if appendErr != nil {
		return Version{}, fault.New("publish", KindUnknown, appendErr)
	}
	s, err := Load(ctx, log)
	if err != nil {
		return Version{}, fault.New("publish", KindUnknown, err)
	}
	v := s.Current()
	return v, fault.Newf("publish", KindConflict, "based on offset %d, but %s published offset %d first", baseOffset, v.Operator, v.Offset)
}

// findPublishedVersion reads the whole log. It returns the accepted version whose record
// has this ID, and whether there is one.
func findPublishedVersion(ctx context.Context, log logservice.Log, id string) (Version, bool) {
	var found Version
	s := New(func(v Version) {
		if v.RecordID == id {
			found = v
		}
	})
	err := applyAllRecords(ctx, log, s)
	return found, err == nil && found.Offset > 0
}
