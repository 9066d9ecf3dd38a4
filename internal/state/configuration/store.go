// Package configuration distributes the lists of package plan to all entry VMs
// through the platform's log. An operator publishes new lists together with the
// offset of the version that they are based on. If two changes are based on the
// same version, the first in log order is accepted. Entry VMs follow the log and
// pass the newest accepted version on to peers that cannot reach it.
package configuration

import (
	"sync"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/state/plan"
)

// Stream is the name of the log stream with the configuration records.
const Stream = "configuration"

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindConflict means that another change was accepted first.
	KindConflict Kind = "conflict"
	// KindInvalid means that the lists or the record are invalid.
	KindInvalid Kind = "invalid"
	// KindUnknown means that the change may or may not have been accepted.
	KindUnknown Kind = "unknown_outcome"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Record is the content of one log record: a published change, or a snapshot of an
// accepted version.
type Record struct {
	// ID identifies one publication. Repeated appends of it carry the same ID.
	ID string `json:"id"`
	// BaseOffset is the offset of the version that the operator edited, or 0 for
	// the first configuration.
	BaseOffset uint64 `json:"based_on"`
	// Operator is the name of the publisher. It is shown to an operator whose
	// change conflicts with this one.
	Operator string `json:"operator"`
	// SnapshotOfOffset is the offset of the accepted version that a snapshot
	// repeats, or 0 for a change. Snapshots keep a version available after the log
	// has dropped the original record.
	SnapshotOfOffset uint64 `json:"snapshot_of,omitempty"`
	// AsOfOffset is the offset up to which the writer of a snapshot had read the
	// log.
	AsOfOffset uint64     `json:"as_of,omitempty"`
	Lists      plan.Lists `json:"lists"`
}

// Version is an accepted version of the configuration.
type Version struct {
	// Offset is the log offset of the original record. Later versions have higher
	// offsets.
	Offset uint64
	// RecordID is the ID of the original record. It is empty for a version that was
	// learned from a peer or a snapshot.
	RecordID string
	Operator string
	Lists    plan.Lists
	Index    *plan.Index
}

// Evaluation is the result of evaluating one record.
type Evaluation struct {
	Accepted bool
	// Redundant is true for a record that contains no new change: a repeated
	// append, a snapshot, or a record that is not newer than the current version.
	Redundant bool
	// Reason states why the record was not accepted.
	Reason string
}

// Store holds the newest accepted version that a process knows. It is safe for
// concurrent use.
type Store struct {
	mutex          sync.Mutex
	currentVersion Version
	// readOffset is the offset of the last record that was read.
	readOffset uint64
	// baseVersionKnown is true while currentVersion is the newest version accepted
	// up to readOffset, so that the next record can be evaluated. It becomes false
	// when the log has dropped records that the store has not read. Records are
	// then kept in pendingRecords until a snapshot or a peer supplies the version
	// that they are based on.
	baseVersionKnown bool
	pendingRecords   []logservice.Record
	// contiguousFromOffset is the lowest offset from which all records up to
	// readOffset were read without a gap, or 0 before the first record.
	contiguousFromOffset uint64
	// currentVersionSeen is true if a record with the current version was read
	// since the last call of SnapshotDue.
	currentVersionSeen bool
	onVersionAccepted  func(Version)
}

// maxPendingRecords is the maximum number of pending records. When it is exceeded,
// the oldest are dropped.
const maxPendingRecords = 4096

// New returns a store with empty lists. It calls onVersionAccepted with each newly accepted
// version, in the order of their offsets. onVersionAccepted must not call the store.
func New(onVersionAccepted func(Version)) *Store {
	empty, _ := plan.NewIndex(plan.Lists{})
	return &Store{currentVersion: Version{Index: empty}, onVersionAccepted: onVersionAccepted}
}

// Current returns the newest accepted version.
func (s *Store) Current() Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.currentVersion
}

// ReadOffset returns the offset of the last record that was read.
func (s *Store) ReadOffset() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readOffset
}

// Evaluate decides whether a record is accepted as the successor of the version
// base, and returns the decoded record and, if it is accepted, the index of its
// lists. The decision depends only on the arguments, so all processes agree on it.
func Evaluate(base Version, data []byte) (Record, *plan.Index, Evaluation) {
	r, err := decode(data)
	if err != nil {
		return r, nil, Evaluation{Reason: err.Error()}
	}
	if r.ID != "" && r.ID == base.RecordID {
		return r, nil, Evaluation{Redundant: true, Reason: "already accepted"}
	}
	if r.BaseOffset != base.Offset {
		return r, nil, Evaluation{Reason: "based on another version than the current one"}
	}
	index, err := plan.NewIndex(r.Lists)
	if err != nil {
		return r, nil, Evaluation{Reason: err.Error()}
	}
	return r, index, Evaluation{Accepted: true}
}

// Apply evaluates the next record of the log and updates the current version if the
// record is accepted.
func (s *Store) Apply(r logservice.Record) Evaluation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Offset <= s.readOffset {
		return Evaluation{Redundant: true, Reason: "already read"}
	}
	if r.Offset > s.readOffset+1 || r.Offset == 1 {
		s.contiguousFromOffset, s.pendingRecords = r.Offset, nil
		s.baseVersionKnown = s.hasReadAllAfter(s.currentVersion.Offset)
	}
	s.readOffset = r.Offset
	if snapshot, index, ok := decodeSnapshot(r.Data); ok {
		s.applySnapshot(snapshot, index)
		return Evaluation{Redundant: true, Reason: "snapshot"}
	}
	if !s.baseVersionKnown {
		s.pendingRecords = append(s.pendingRecords, r)
		if len(s.pendingRecords) > maxPendingRecords {
			s.pendingRecords = s.pendingRecords[1:]
		}
		return Evaluation{Reason: "the preceding version is not known yet"}
	}
	return s.applyChange(r)
}

// hasReadAllAfter reports whether all records after an offset, up to readOffset,
// were read without a gap.
func (s *Store) hasReadAllAfter(offset uint64) bool {
	return s.contiguousFromOffset > 0 && offset+1 >= s.contiguousFromOffset
}

// applyChange evaluates a change and, if it is accepted, makes it the current
// version. The version that the change is based on must be known.
func (s *Store) applyChange(r logservice.Record) Evaluation {
	if r.Offset <= s.currentVersion.Offset {
		return Evaluation{Redundant: true, Reason: "not newer than the current version"}
	}
	record, index, decision := Evaluate(s.currentVersion, r.Data)
	if decision.Accepted {
		s.currentVersionSeen = true
		s.setCurrentVersion(Version{Offset: r.Offset, RecordID: record.ID, Operator: record.Operator, Lists: record.Lists, Index: index})
	}
	return decision
}

// decodeSnapshot decodes a record and reports whether it is a valid snapshot.
func decodeSnapshot(data []byte) (Record, *plan.Index, bool) {
	r, err := decode(data)
	if err != nil || r.SnapshotOfOffset == 0 {
		return r, nil, false
	}
	index, err := plan.NewIndex(r.Lists)
	return r, index, err == nil
}

// applySnapshot uses a snapshot as the base version of the pending records if their
// base version is not known. The snapshot must cover every record that the store
// missed: its writer had read the log up to AsOfOffset, so the store must have read
// all later records.
func (s *Store) applySnapshot(r Record, index *plan.Index) {
	if r.SnapshotOfOffset == s.currentVersion.Offset {
		s.currentVersionSeen = true
	}
	if s.baseVersionKnown || !s.hasReadAllAfter(r.AsOfOffset) {
		return
	}
	if r.SnapshotOfOffset > s.currentVersion.Offset {
		s.setCurrentVersion(Version{Offset: r.SnapshotOfOffset, Operator: r.Operator, Lists: r.Lists, Index: index})
	}
	s.applyPending()
}

// applyPending applies the changes that were kept until their base version was known.
func (s *Store) applyPending() {
	s.baseVersionKnown = true
	pending := s.pendingRecords
	s.pendingRecords = nil
	for _, r := range pending {
		s.applyChange(r)
	}
}

// SnapshotDue returns a snapshot record of the current version and whether it
// should be appended. It should not be if a record with that version was read since
// the last call, for instance a snapshot of another process. Nor should it be while
// baseVersionKnown is false or before the first version is accepted.
func (s *Store) SnapshotDue(operator string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.currentVersionSeen || !s.baseVersionKnown || s.currentVersion.Offset == 0 {
		s.currentVersionSeen = false
		return nil, false
	}
	data, err := Encode(Record{Operator: operator, SnapshotOfOffset: s.currentVersion.Offset, AsOfOffset: max(s.readOffset, s.currentVersion.Offset), Lists: s.currentVersion.Lists})
	return data, err == nil
}

// ReplaceIfNewer replaces the current version by an accepted version from a peer if the
// peer's version is newer. It returns an error of KindInvalid for invalid lists.
func (s *Store) ReplaceIfNewer(offset uint64, lists plan.Lists) error {
	index, err := plan.NewIndex(lists)
	if err != nil {
		return fault.New("learn", KindInvalid, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if offset <= s.currentVersion.Offset {
		return nil
	}
	s.setCurrentVersion(Version{Offset: offset, Lists: lists, Index: index})
	if !s.baseVersionKnown && s.hasReadAllAfter(offset) {
		s.applyPending()
	}
	return nil
}

// setCurrentVersion makes v the current version and calls onVersionAccepted.
func (s *Store) setCurrentVersion(v Version) {
	invariant.Check(v.Offset > s.currentVersion.Offset, "configuration_reverted", "the new offset is %d, the current one %d", v.Offset, s.currentVersion.Offset)
	s.currentVersion = v
	s.onVersionAccepted(v)
}
