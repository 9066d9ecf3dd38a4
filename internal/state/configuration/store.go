// Package configuration agrees on the two lists through the platform's log. An
// operator publishes a change with the offset that it is based on; the first
// in log order wins. Entry VMs follow the log, and pass the newest accepted
// configuration on to peers that can not reach it.
package configuration

import (
	"sync"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// Stream is the log stream of configurations.
const Stream = "configuration"

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindConflict Kind = "conflict"
	KindInvalid  Kind = "invalid"
	KindUnknown  Kind = "unknown_outcome"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Record is one published change.
type Record struct {
	// ID is unique to one publication; a repeated append carries the same.
	ID string `json:"id"`
	// BasedOn is the offset of the configuration that the operator edited, 0
	// for the first one.
	BasedOn uint64 `json:"based_on"`
	// Operator says who published, for the loser of a conflict.
	Operator string `json:"operator"`
	// SnapshotOf is set when the record repeats the accepted version of that
	// offset, so that it outlives the retention of the log.
	SnapshotOf uint64 `json:"snapshot_of,omitempty"`
	// AsOf is the offset up to which the writer of a snapshot knew the log.
	AsOf  uint64     `json:"as_of,omitempty"`
	Lists plan.Lists `json:"lists"`
}

// Version is an accepted configuration.
type Version struct {
	// Offset is the place of the record in the log; it only rises.
	Offset uint64
	// ID is that of the record; it is empty when a peer passed the version on.
	ID       string
	Operator string
	Lists    plan.Lists
	Index    *plan.Index
}

// Verdict is what the rule makes of one record.
type Verdict struct {
	Accepted bool
	// Repeated records were appended twice by the same publication.
	Repeated bool
	Reason   string
}

// Store holds the newest accepted configuration of one process.
type Store struct {
	mutex   sync.Mutex
	version Version
	// read is the offset up to which the log was taken in.
	read uint64
	// anchored is true while the version follows from an unbroken row of
	// records. Without that, records are kept in pending until a snapshot or a
	// peer tells which version they follow on.
	anchored bool
	pending  []logservice.Record
	// first is the first offset of the unbroken row that was read, or 0.
	first uint64
	// snapshotSeen is set when a record that holds the current version was read
	// and is cleared by SnapshotDue.
	snapshotSeen bool
	changed      func(Version)
}

// maxPending bounds the records that wait for a snapshot.
const maxPending = 4096

// New returns a store with empty lists. The function is called with each newly
// accepted version, in order of their offsets.
func New(changed func(Version)) *Store {
	empty, _ := plan.NewIndex(plan.Lists{})
	return &Store{version: Version{Index: empty}, changed: changed}
}

// Current returns the newest accepted version.
func (s *Store) Current() Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version
}

// Read returns the offset up to which the log was taken in.
func (s *Store) Read() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.read
}

// Judge decides on a record after a version. It depends on nothing else, so
// that every process decides alike.
func Judge(after Version, data []byte) (Record, *plan.Index, Verdict) {
	r, err := decode(data)
	if err != nil {
		return r, nil, Verdict{Reason: err.Error()}
	}
	if r.ID != "" && r.ID == after.ID {
		return r, nil, Verdict{Repeated: true, Reason: "already accepted"}
	}
	if r.BasedOn != after.Offset {
		return r, nil, Verdict{Reason: "based on another version"}
	}
	x, err := plan.NewIndex(r.Lists)
	if err != nil {
		return r, nil, Verdict{Reason: err.Error()}
	}
	return r, x, Verdict{Accepted: true}
}

// Apply takes in the next record of the log.
func (s *Store) Apply(r logservice.Record) Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Offset <= s.read {
		return Verdict{Repeated: true, Reason: "already read"}
	}
	if r.Offset > s.read+1 || r.Offset == 1 {
		s.first, s.pending = r.Offset, nil
		s.anchored = s.follows(s.version.Offset)
	}
	s.read = r.Offset
	if snapshot, x, ok := decodeSnapshot(r.Data); ok {
		s.applySnapshot(snapshot, x)
		return Verdict{Repeated: true, Reason: "snapshot"}
	}
	if !s.anchored {
		s.pending = append(s.pending, r)
		if len(s.pending) > maxPending {
			s.pending = s.pending[1:]
		}
		return Verdict{Reason: "the version before is not known yet"}
	}
	return s.judge(r)
}

// follows reports whether every record after an offset is in the unbroken row
// that was read.
func (s *Store) follows(offset uint64) bool { return s.first > 0 && offset+1 >= s.first }

func (s *Store) judge(r logservice.Record) Verdict {
	if r.Offset <= s.version.Offset {
		return Verdict{Repeated: true, Reason: "a peer passed it on"}
	}
	record, x, verdict := Judge(s.version, r.Data)
	if verdict.Accepted {
		s.snapshotSeen = true
		s.set(Version{Offset: r.Offset, ID: record.ID, Operator: record.Operator, Lists: record.Lists, Index: x})
	}
	return verdict
}

func decodeSnapshot(data []byte) (Record, *plan.Index, bool) {
	r, err := decode(data)
	if err != nil || r.SnapshotOf == 0 {
		return r, nil, false
	}
	x, err := plan.NewIndex(r.Lists)
	return r, x, err == nil
}

// applySnapshot takes a snapshot as the version that later records follow on.
func (s *Store) applySnapshot(r Record, x *plan.Index) {
	if r.SnapshotOf == s.version.Offset {
		s.snapshotSeen = true
	}
	if s.anchored || !s.follows(r.AsOf) {
		return
	}
	if r.SnapshotOf > s.version.Offset {
		s.set(Version{Offset: r.SnapshotOf, Operator: r.Operator, Lists: r.Lists, Index: x})
	}
	s.anchor()
}

// anchor judges the records that waited for the version.
func (s *Store) anchor() {
	s.anchored = true
	waiting := s.pending
	s.pending = nil
	for _, r := range waiting {
		s.judge(r)
	}
}

// SnapshotDue returns the record that repeats the current version, if none
// that holds it was read since the last call.
func (s *Store) SnapshotDue(operator string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.snapshotSeen || !s.anchored || s.version.Offset == 0 {
		s.snapshotSeen = false
		return nil, false
	}
	data, err := Encode(Record{Operator: operator, SnapshotOf: s.version.Offset, AsOf: max(s.read, s.version.Offset), Lists: s.version.Lists})
	return data, err == nil
}

// Learn takes over an accepted version from a peer if it is newer.
func (s *Store) Learn(offset uint64, lists plan.Lists) error {
	x, err := plan.NewIndex(lists)
	if err != nil {
		return fault.New("learn", KindInvalid, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if offset <= s.version.Offset {
		return nil
	}
	s.set(Version{Offset: offset, Lists: lists, Index: x})
	if !s.anchored && s.follows(offset) {
		s.anchor()
	}
	return nil
}

func (s *Store) set(v Version) {
	invariant.Check(v.Offset > s.version.Offset, "configuration_reverted", "offset %d after %d", v.Offset, s.version.Offset)
	s.version = v
	s.changed(v)
}
