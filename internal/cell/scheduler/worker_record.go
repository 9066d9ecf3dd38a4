package scheduler

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// workerRecordPrefix begins the keys of worker records among the progress records. No job
// ID contains a slash.
const workerRecordPrefix = "worker/"

// Kind classifies the errors of this package.
type Kind string

// KindUnreadable means that a stored record is not one that a leader writes.
const KindUnreadable Kind = "unreadable"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// workerRecord describes a worker process on which runs may exist. It is stored no later
// than the first placement on the process and deleted once the process is removed. A
// leader that takes over while the entry of the worker is missing in the list of workers
// finds the process by it.
type workerRecord struct {
	ID       string          `json:"id"`
	Born     int64           `json:"born"`
	Address  netip.AddrPort  `json:"address"`
	Service  string          `json:"service"`
	Zone     string          `json:"zone"`
	Capacity resource.Vector `json:"capacity"`
	// ClosedLease is nil unless the lease of the worker is closed.
	ClosedLease *closedLeaseRecord `json:"closed_lease,omitempty"`
}

// IsWorkerRecord reports whether a record that a commit has stored describes a worker
// rather than the progress of a job.
func IsWorkerRecord(r *store.Record) bool { return strings.HasPrefix(r.Key, workerRecordPrefix) }

// workerRecordKey returns the key of the record of a process. The ID of a worker may be as long as
// a key, so a long one is replaced by its hash; the record contains it.
func workerRecordKey(life backend.Life) string {
	born := "/" + strconv.FormatInt(life.Born, 10)
	if len(workerRecordPrefix)+len(life.ID)+len(born) > store.MaxKeyBytes {
		return workerRecordPrefix + strconv.FormatUint(xxhash.Sum64String(life.ID), 16) + born
	}
	return workerRecordPrefix + life.ID + born
}

func encodeWorkerRecord(r *backend.Registration, closed *closedLeaseRecord) store.Record {
	value, err := json.Marshal(workerRecord{ID: r.Life.ID, Born: r.Life.Born, Address: r.Address, Service: r.Service, Zone: r.Zone, Capacity: r.Capacity, ClosedLease: closed})
	if err != nil {
		panic(err) // All fields can be encoded as JSON.
	}
	return store.Record{Key: workerRecordKey(r.Life), Value: value}
}

// decodeWorkerRecord returns the registration that a worker record holds, and what it says of
// the lease. Labels and what else is needed only for placements are missing in it.
func decodeWorkerRecord(r *store.Record) (backend.Registration, *closedLeaseRecord, error) {
	var w workerRecord
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return backend.Registration{}, nil, fault.New("decode_worker", KindUnreadable, err)
	}
	registration := backend.Registration{Life: backend.Life{ID: w.ID, Born: w.Born}, Address: w.Address, Service: w.Service, Zone: w.Zone, Capacity: w.Capacity}
	if !w.Address.IsValid() || r.Key != workerRecordKey(registration.Life) {
		return backend.Registration{}, nil, fault.Newf("decode_worker", KindUnreadable, "record %.255q has address %s and names process %.255q", r.Key, w.Address, workerRecordKey(registration.Life))
	}
	return registration, w.ClosedLease, nil
}

// recordWorker makes the next commit store a record of a worker on which runs may exist,
// unless that has been done.
func (s *Scheduler) recordWorker(w *worker) {
	if !w.recorded && w.registration.Address.IsValid() {
		s.recordWorkerAgain(w)
	}
}

// recordWorkerAgain makes the next commit store a record of a worker although there may be one.
func (s *Scheduler) recordWorkerAgain(w *worker) {
	w.recorded = true
	if !slices.Contains(s.workersToRecord, w) {
		s.workersToRecord = append(s.workersToRecord, w)
	}
}

// takeWorkerRecords returns the records of workers for the next commit, and the deletions of
// such records.
func (s *Scheduler) takeWorkerRecords(now time.Time) (records, deletions []store.Record) {
	for _, w := range s.workersToRecord {
		if !w.removed {
			records = append(records, encodeWorkerRecord(&w.registration, s.closedLeaseRecordOf(w, now)))
		}
	}
	for _, life := range s.workerRecordsToDelete {
		if w := s.workers[life]; w == nil || !w.recorded { // The same process may have been added again.
			deletions = append(deletions, store.Record{Key: workerRecordKey(life)})
		}
	}
	s.workersToRecord, s.workerRecordsToDelete = nil, nil
	return records, deletions
}

// RestoreWorkers adds the workers that an earlier leader has recorded and that are not in the
// list of workers, and opens sessions with them: their runs go on. It must be called after
// SetWorkers and before Restore.
func (s *Scheduler) RestoreWorkers(records []store.Record, now time.Time) {
	for i := range records {
		r, closed, err := decodeWorkerRecord(&records[i])
		if err != nil {
			s.log.Error(err, "worker_record_unreadable", "key", records[i].Key)
			continue
		}
		closed = s.restoreClosedLease(r.Life, closed)
		storedBy := s.history.StoredBy(records[i].Offset, now)
		if w := s.workers[r.Life]; w != nil {
			w.recorded = w.registration.Address == r.Address
			if closed != nil {
				s.keepLeaseClosed(w, closed, storedBy)
			}
			continue
		}
		if latest := s.latestWorkerByID[r.Life.ID]; latest != nil {
			if latest.registration.Life.Born > r.Life.Born {
				s.workerRecordsToDelete = append(s.workerRecordsToDelete, r.Life)
				s.reopenLeaseOfEndedProcess(r.Life)
				continue
			}
			if latest.registered {
				continue // The hold of the listed process shows which process runs under the ID.
			}
		}
		w := s.addWorker(r, now)
		w.recorded = true
		s.replaceEarlierProcesses(w, now)
		s.latestWorkerByID[r.Life.ID] = w
		if closed != nil {
			s.keepLeaseClosed(w, closed, storedBy)
		}
		s.extendFormerLease(w, now)
		s.openSession(w)
	}
	s.logOpenedWorkers()
}
