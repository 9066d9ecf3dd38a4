// Package claim makes sure that work under one idempotency key runs at most
// once: the key is claimed in the platform's log before the work starts, and
// log order decides between entry VMs.
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
	// KindUnavailable means that the log gave no answer. The work must not
	// start.
	KindUnavailable Kind = "log_unavailable"
	KindMalformed   Kind = "key_malformed"
	// KindExpired means that an earlier claim of the key may be forgotten.
	KindExpired Kind = "key_expired"
	// KindFuture means that the key's time is ahead of the clock.
	KindFuture Kind = "key_in_future"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// Window is how old a key may be. It has to be well below the retention
	// of the log.
	Window = 12 * time.Hour
	// MaxAhead is how far ahead of the clock a key may be.
	MaxAhead = 5 * time.Minute
	// Streams is the number of log streams that keys are split over.
	Streams   = 4
	readLimit = 512
	// forgetEvery is how many records are read between prunings.
	forgetEvery = 4096
)

type action string

const (
	claimed  action = "claimed"
	released action = "released"
	settled  action = "settled"
)

// record is one line of a claim stream.
type record struct {
	Action action `json:"action"`
	Key    string `json:"key"`
	// ID is the request that acts on the key.
	ID string `json:"id"`
	// Outcome is the whole outcome of a settled key.
	Outcome json.RawMessage `json:"outcome,omitempty"`
}

// Appender appends one record to a stream of the log.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
}

// Result tells who holds a key.
type Result struct {
	// Won is true when the asking request holds the key.
	Won bool
	// Holder is the request that holds the key.
	Holder string
	// Outcome is set when the holder has settled the key.
	Outcome json.RawMessage
}

// Book claims keys on behalf of one entry VM.
type Book struct {
	appender Appender
	log      logservice.Log
	now      func() time.Time
	streams  [Streams]stream
}

// stream is the state of one claim stream as far as it was read.
type stream struct {
	name  string
	mutex sync.Mutex
	read  uint64
	keys  map[string]*holding
	seen  int
}

type holding struct {
	id      string
	outcome json.RawMessage
}

// New returns a book that has read nothing yet.
func New(a Appender, log logservice.Log, now func() time.Time) *Book {
	b := &Book{appender: a, log: log, now: now}
	for i := range b.streams {
		b.streams[i].name = fmt.Sprintf("claims-%d", i)
		b.streams[i].keys = map[string]*holding{}
	}
	return b
}

// Check refuses keys that are malformed, too old or ahead of the clock.
func (b *Book) Check(key string) error {
	id, err := ulid.ParseStrict(key)
	if err != nil {
		return fault.Newf("claim", KindMalformed, "key %q is no ULID", key)
	}
	age := b.now().Sub(ulid.Time(id.Time()))
	if age > Window {
		return fault.Newf("claim", KindExpired, "key is %s old, at most %s is accepted", age.Round(time.Second), Window)
	}
	if age < -MaxAhead {
		return fault.Newf("claim", KindFuture, "key is %s ahead of the clock", (-age).Round(time.Second))
	}
	return nil
}

func (b *Book) stream(key string) *stream {
	return &b.streams[xxhash.Sum64String(key)%Streams]
}

// scoped joins a plan and a key, since keys are unique within a plan only.
func scoped(plan, key string) string { return plan + "/" + key }

// Claim claims a key of a plan for a request. After an error the work must not
// start; the key may have been claimed all the same, so Release follows.
func (b *Book) Claim(ctx context.Context, plan, key, id string) (Result, error) {
	if err := b.Check(key); err != nil {
		return Result{}, err
	}
	full := scoped(plan, key)
	s := b.stream(full)
	offset, err := b.append(ctx, s, record{Action: claimed, Key: full, ID: id})
	if err != nil {
		return Result{}, err
	}
	// The key may have grown too old while the append waited.
	if err := b.Check(key); err != nil {
		return Result{}, err
	}
	if err := b.catchUp(ctx, s, offset); err != nil {
		return Result{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.keys[full]
	if h == nil {
		return Result{}, fault.Newf("claim", KindUnavailable, "the claim at offset %d was released", offset)
	}
	return Result{Won: h.id == id, Holder: h.id, Outcome: h.outcome}, nil
}

// Release frees a key whose work did not run and will not.
func (b *Book) Release(ctx context.Context, plan, key, id string) error {
	full := scoped(plan, key)
	_, err := b.append(ctx, b.stream(full), record{Action: released, Key: full, ID: id})
	return err
}

// Settle records the outcome of a key.
func (b *Book) Settle(ctx context.Context, plan, key, id string, outcome json.RawMessage) error {
	full := scoped(plan, key)
	_, err := b.append(ctx, b.stream(full), record{Action: settled, Key: full, ID: id, Outcome: outcome})
	return err
}

func (b *Book) append(ctx context.Context, s *stream, r record) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, fault.New("append", KindMalformed, err)
	}
	offset, err := b.appender.Append(ctx, s.name, data)
	if err != nil {
		return 0, fault.New("append", KindUnavailable, err)
	}
	return offset, nil
}

// catchUp reads a stream up to an offset.
func (b *Book) catchUp(ctx context.Context, s *stream, until uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.read < until {
		reply, err := b.log.Read(ctx, s.name, s.read, readLimit, 0)
		if err != nil {
			return fault.New("read", KindUnavailable, err)
		}
		if len(reply.Records) == 0 {
			return fault.Newf("read", KindUnavailable, "offset %d is not there", until)
		}
		for _, r := range reply.Records {
			s.apply(r)
		}
		b.forget(s)
	}
	return nil
}

func (s *stream) apply(r logservice.Record) {
	s.read = r.Offset
	s.seen++
	var c record
	if json.Unmarshal(r.Data, &c) != nil {
		return
	}
	h := s.keys[c.Key]
	switch {
	case c.Action == claimed && h == nil:
		s.keys[c.Key] = &holding{id: c.ID}
	case c.Action == released && h != nil && h.id == c.ID:
		delete(s.keys, c.Key)
	case c.Action == settled && h != nil && h.id == c.ID:
		h.outcome = c.Outcome
	}
}

// forget drops keys that are refused for their age anyway.
func (b *Book) forget(s *stream) {
	if s.seen < forgetEvery {
		return
	}
	s.seen = 0
	for full := range s.keys {
		key := full[len(full)-ulid.EncodedSize:]
		if fault.KindOf[Kind](b.Check(key)) == KindExpired {
			delete(s.keys, full)
		}
	}
}
