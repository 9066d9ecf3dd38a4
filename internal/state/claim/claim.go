// Package claim ensures that work with an idempotency key runs at most once. A
// request claims its key in the platform's log before the work starts. If several
// entry VMs claim the same key, the first record in log order wins.
package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/logservice"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindLogUnavailable means that an append or a read of the log failed, so the
	// work must not start.
	KindLogUnavailable Kind = "log_unavailable"
	// KindMalformed means that the key is not a ULID.
	KindMalformed Kind = "key_malformed"
	// KindKeyExpired means that the key is older than MaxKeyAge, so that earlier
	// claims of it may no longer be known.
	KindKeyExpired Kind = "key_expired"
	// KindKeyInFuture means that the key's timestamp is ahead of the clock by more than
	// MaxClockSkew.
	KindKeyInFuture Kind = "key_in_future"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// MaxKeyAge is the maximum age of a key. It must be well below the retention
	// period of the log, so that the log still has every earlier claim of a valid
	// key.
	MaxKeyAge = 12 * time.Hour
	// MaxClockSkew is the maximum time by which a key's timestamp may be ahead of
	// the clock.
	MaxClockSkew = 5 * time.Minute
	// StreamCount is the number of log streams over which keys are distributed by
	// hash.
	StreamCount       = 4
	maxRecordsPerRead = 512
	// recordsPerPrune is the number of records that are read from a stream between
	// two removals of its expired keys.
	recordsPerPrune = 4096
)

// recordAction is the type of a record.
type recordAction string

const (
	actionClaimed  recordAction = "claimed"
	actionReleased recordAction = "released"
	actionSettled  recordAction = "settled"
)

// claimRecord is the content of one record in a claim stream.
type claimRecord struct {
	Action recordAction `json:"action"`
	// Key is the claimed key, prefixed with its plan by scopedKey.
	Key string `json:"key"`
	// ID is the ID of the request that claims, releases or settles the key.
	ID string `json:"id"`
	// Outcome is the outcome of the request. It is set only in a record that
	// settles the key.
	Outcome json.RawMessage `json:"outcome,omitempty"`
}

// Appender appends one record to a stream of the log and returns its offset.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// Result tells who holds a key after it was claimed.
type Result struct {
	// Won is true if the claiming request holds the key.
	Won bool
	// Holder is the ID of the request that holds the key.
	Holder string
	// Outcome is the holder's outcome, or empty until the holder settles the key.
	Outcome json.RawMessage
}

// Registry claims keys for one entry VM and tracks who holds them. It is safe for
// concurrent use.
type Registry struct {
	appender Appender
	log      logservice.Log
	now      func() time.Time
	streams  [StreamCount]claimStream
}

// claimStream holds the claims of one log stream, up to the last record that was
// read.
type claimStream struct {
	name       string
	mutex      sync.Mutex
	readOffset uint64
	// claimByScopedKey holds the current claim of each key, by scoped key.
	claimByScopedKey map[string]*keyClaim
	// recordsSincePrune is the number of records read since expired keys were last
	// removed.
	recordsSincePrune int
}

// keyClaim is the current claim of a key: the request that holds it, and the
// outcome once the key is settled.
type keyClaim struct {
	holder  string
	outcome json.RawMessage
}

// New returns a registry that has not read the log yet. It appends records with a,
// reads them from log, and gets the current time from now.
func New(a Appender, log logservice.Log, now func() time.Time) *Registry {
	b := &Registry{appender: a, log: log, now: now}
	for i := range b.streams {
		b.streams[i].name = fmt.Sprintf("claims-%d", i)
		b.streams[i].claimByScopedKey = map[string]*keyClaim{}
	}
	return b
}

// CheckKey returns an error of KindMalformed, KindKeyExpired or KindKeyInFuture if the key
// is not a ULID or its timestamp is too old or too far ahead of the clock.
func (b *Registry) CheckKey(key string) error {
	id, err := ulid.ParseStrict(key)
	if err != nil {
		return fault.Newf("claim", KindMalformed, "key %q is not a ULID", key)
	}
	age := b.now().Sub(ulid.Time(id.Time()))
	if age > MaxKeyAge {
		return fault.Newf("claim", KindKeyExpired, "key is %s old, the maximum age is %s", age.Round(time.Second), MaxKeyAge)
	}
	if age < -MaxClockSkew {
		return fault.Newf("claim", KindKeyInFuture, "key is %s ahead of the clock", (-age).Round(time.Second))
	}
	return nil
}

// streamOf returns the stream that contains the claims of a scoped key.
func (b *Registry) streamOf(key string) *claimStream {
	return &b.streams[xxhash.Sum64String(key)%StreamCount]
}

// scopedKey prefixes a key with its plan, since keys are unique only within a plan.
func scopedKey(plan, key string) string { return plan + "/" + key }

// Claim claims a key of a plan for a request and returns who holds the key. If it
// returns an error, the work must not start, although the claim may be in the log.
// After an error of KindLogUnavailable the caller must therefore also call Release.
func (b *Registry) Claim(ctx context.Context, plan, key, requestID string) (Result, error) {
	if err := b.CheckKey(key); err != nil {
		return Result{}, err
	}
	scoped := scopedKey(plan, key)
	s := b.streamOf(scoped)
	offset, err := b.append(ctx, s, claimRecord{Action: actionClaimed, Key: scoped, ID: requestID})
	if err != nil {
		return Result{}, err
	}
	// The key may have expired while the append waited.
	if err := b.CheckKey(key); err != nil {
		return Result{}, err
	}
	if err := b.applyRecordsUpTo(ctx, s, offset); err != nil {
		return Result{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.claimByScopedKey[scoped]
	if current == nil {
		return Result{}, fault.Newf("claim", KindLogUnavailable, "the claim at offset %d was released", offset)
	}
	return Result{Won: current.holder == requestID, Holder: current.holder, Outcome: current.outcome}, nil
}

// Release frees a key whose work did not run and never will, so that another
// request can claim it.
func (b *Registry) Release(ctx context.Context, plan, key, requestID string) error {
	scoped := scopedKey(plan, key)
	_, err := b.append(ctx, b.streamOf(scoped), claimRecord{Action: actionReleased, Key: scoped, ID: requestID})
	return err
}

// Settle records the outcome of the request that holds a key.
func (b *Registry) Settle(ctx context.Context, plan, key, requestID string, outcome json.RawMessage) error {
	scoped := scopedKey(plan, key)
	_, err := b.append(ctx, b.streamOf(scoped), claimRecord{Action: actionSettled, Key: scoped, ID: requestID, Outcome: outcome})
	return err
}

// append appends a record to a stream and returns its offset.
func (b *Registry) append(ctx context.Context, s *claimStream, r claimRecord) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, fault.New("append", KindMalformed, err)
	}
	offset, err := b.appender.Append(ctx, s.name, data)
	if err != nil {
		return 0, fault.New("append", KindLogUnavailable, err)
	}
	return offset, nil
}

// applyRecordsUpTo reads a stream until it has applied the record at an offset.
func (b *Registry) applyRecordsUpTo(ctx context.Context, s *claimStream, until uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.readOffset < until {
		reply, err := b.log.Read(ctx, s.name, s.readOffset, maxRecordsPerRead, 0)
		if err != nil {
			return fault.New("read", KindLogUnavailable, err)
		}
		if len(reply.Records) == 0 {
			return fault.Newf("read", KindLogUnavailable, "the log returned no records before offset %d was reached", until)
		}
		for _, r := range reply.Records {
			s.applyRecord(r)
		}
		b.pruneExpiredKeys(s)
	}
	return nil
}

// applyRecord updates the claims with a record. The first claim of a key holds it until
// the same request releases it. Records that cannot be decoded are skipped.
func (s *claimStream) applyRecord(r logservice.Record) {
	s.readOffset = r.Offset
	s.recordsSincePrune++
	var decoded claimRecord
	if json.Unmarshal(r.Data, &decoded) != nil {
		return
	}
	current := s.claimByScopedKey[decoded.Key]
	switch {
	case decoded.Action == actionClaimed && current == nil:
		s.claimByScopedKey[decoded.Key] = &keyClaim{holder: decoded.ID}
	case decoded.Action == actionReleased && current != nil && current.holder == decoded.ID:
		delete(s.claimByScopedKey, decoded.Key)
	case decoded.Action == actionSettled && current != nil && current.holder == decoded.ID:
		current.outcome = decoded.Outcome
	}
}

// pruneExpiredKeys removes expired keys, which CheckKey refuses anyway. It does
// nothing until recordsPerPrune records have been read from the stream since it
// last did so.
func (b *Registry) pruneExpiredKeys(s *claimStream) {
	if s.recordsSincePrune < recordsPerPrune {
		return
	}
	s.recordsSincePrune = 0
	for scoped := range s.claimByScopedKey {
		key := scoped[len(scoped)-ulid.EncodedSize:]
		if fault.KindOf[Kind](b.CheckKey(key)) == KindKeyExpired {
			delete(s.claimByScopedKey, scoped)
		}
	}
}
