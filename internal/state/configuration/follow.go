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
	readLimit  = 64
	readWait   = 10 * time.Second
	retryPause = 500 * time.Millisecond
)

// Follow tails the log into the store until ctx ends.
func Follow(ctx context.Context, log logservice.Log, s *Store) {
	for ctx.Err() == nil {
		if err := CatchUp(ctx, log, s, readWait); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
		}
	}
}

// CatchUp reads once what follows the store's offset.
func CatchUp(ctx context.Context, log logservice.Log, s *Store, wait time.Duration) error {
	reply, err := log.Read(ctx, Stream, s.Read(), readLimit, wait)
	if err != nil {
		return err
	}
	for _, r := range reply.Records {
		s.Apply(r)
	}
	return nil
}

// Load reads the whole stream into a new store.
func Load(ctx context.Context, log logservice.Log) (*Store, error) {
	s := New(func(Version) {})
	return s, readAll(ctx, log, s)
}

func readAll(ctx context.Context, log logservice.Log, s *Store) error {
	for {
		before := s.Read()
		if err := CatchUp(ctx, log, s, 0); err != nil {
			return err
		}
		if s.Read() == before {
			return nil
		}
	}
}

// publishTries bounds how often an append without answer is repeated.
const publishTries = 5

// Publish appends a change and returns the accepted version. A lost answer is
// resolved by reading back; an append that is repeated carries the same ID and
// counts once. The error is of KindConflict when another change came first.
func Publish(ctx context.Context, log logservice.Log, basedOn uint64, operator string, lists plan.Lists) (Version, error) {
	if _, err := plan.NewIndex(lists); err != nil {
		return Version{}, fault.New("publish", KindInvalid, err)
	}
	id := ulid.Make().String()
	data, err := Encode(Record{ID: id, BasedOn: basedOn, Operator: operator, Lists: lists})
	if err != nil {
		return Version{}, fault.New("publish", KindInvalid, err)
	}
	var last error
	for range publishTries {
		if _, last = log.Append(ctx, Stream, [][]byte{data}); last == nil {
			break
		}
		if v, found := published(ctx, log, id); found {
			return v, nil
		}
		time.Sleep(retryPause)
	}
	if v, found := published(ctx, log, id); found {
		return v, nil
	}
	if last != nil {
		return Version{}, fault.New("publish", KindUnknown, last)
	}
	s, err := Load(ctx, log)
	if err != nil {
		return Version{}, fault.New("publish", KindUnknown, err)
	}
	v := s.Current()
	return v, fault.Newf("publish", KindConflict, "based on offset %d, but %s published offset %d first", basedOn, v.Operator, v.Offset)
}

// published looks for an accepted record with an ID.
func published(ctx context.Context, log logservice.Log, id string) (Version, bool) {
	var found Version
	s := New(func(v Version) {
		if v.ID == id {
			found = v
		}
	})
	err := readAll(ctx, log, s)
	return found, err == nil && found.Offset > 0
}
