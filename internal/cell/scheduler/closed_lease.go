package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// The lease of a worker is closed once its record says when it ends at the latest. From then on
// no leader extends it before a later record has reopened it. So a leader that takes over need
// not assume that an earlier one has extended the lease up to the take-over, and the wait for the
// runs on a lost worker does not begin anew with each leader.
//
// All processes under the ID of a worker share this state: the runs that the record of an
// earlier process is about may be on a later one.

// closedLease is the state of a lease that is closed, or that may be closed in the store.
type closedLease struct {
	// closed is true while the lease of the process with the given life is to be closed.
	closed bool
	life   backend.Life
	// recorded holds the processes whose records in the store may close the lease.
	recorded []backend.Life
	// reopening is true once the next commit, or one that is under way, replaces or deletes all
	// these records. The lease may be extended once it is stored.
	reopening bool
}

// closedLeaseRecord is the part of a worker record that closes the lease of the worker.
type closedLeaseRecord struct {
	// Epoch is the epoch of the leader that has stored the record.
	Epoch int64 `json:"epoch"`
	// EndsIn is how long after the record was stored the lease ends at the latest.
	EndsIn time.Duration `json:"ends_in"`
}

// isLeaseClosed reports whether the lease of a worker must not be extended, since its record may
// still say when it ends.
func (s *Scheduler) isLeaseClosed(w *worker) bool {
	_, closed := s.closedLeases[w.registration.Life.ID]
	return closed
}

// IsLeaseClosed reports whether the lease of a worker is closed, or is still closed in the store.
func (s *Scheduler) IsLeaseClosed(life backend.Life) bool {
	w := s.workers[life]
	return w != nil && s.isLeaseClosed(w)
}

// closeLeaseIfSilent closes the lease of a worker with runs after a hold has failed: at once if the
// worker has never answered this leader, which may be replaced soon, else once it counts as
// silent.
func (s *Scheduler) closeLeaseIfSilent(w *worker, now time.Time) {
	if w.removed || w.runs() == 0 || !w.registration.Address.IsValid() {
		return
	}
	// Holds that this VM has interrupted itself count as unanswered too.
	silent := w.unansweredHolds >= silentAfterHolds && now.Sub(w.lastAnswerAt) >= unheldMargin
	if !w.held.firstAnsweredAt.IsZero() && !silent {
		return
	}
	life := w.registration.Life
	c := s.closedLeases[life.ID]
	if c == nil {
		c = &closedLease{}
		s.closedLeases[life.ID] = c
	} else if c.closed && c.life == life {
		return
	}
	c.closed, c.life, c.reopening = true, life, false
	s.recordWorkerAgain(w)
	silence := now.Sub(w.lastAnswerAt)
	s.logWorker("lease_closed", w, silence, now, "runs", w.runs(), "ends_in_ms", w.leaseEnd.Sub(now).Milliseconds(), "silent_ms", silence.Milliseconds(), "answered", !w.held.firstAnsweredAt.IsZero())
}

// reopenLease reopens the lease of a worker, of which a process has answered. If its record may
// be closed in the store, that takes effect once the next commit is stored, and the result is true.
func (s *Scheduler) reopenLease(id string) bool {
	c := s.closedLeases[id]
	if c == nil || c.reopening {
		return false
	}
	if c.closed = false; len(c.recorded) == 0 {
		delete(s.closedLeases, id)
		return false
	}
	c.reopening = true
	for _, life := range c.recorded {
		if v := s.workers[life]; v != nil && v.registration.Address.IsValid() {
			s.recordWorkerAgain(v)
		} else if !slices.Contains(s.workerRecordsToDelete, life) {
			s.workerRecordsToDelete = append(s.workerRecordsToDelete, life)
		}
	}
	return true
}

// reopenLeaseOfEndedProcess reopens the lease of a worker after one of its processes has ended,
// unless that of another process is closed.
func (s *Scheduler) reopenLeaseOfEndedProcess(life backend.Life) {
	if c := s.closedLeases[life.ID]; c != nil && (!c.closed || c.life == life) {
		s.reopenLease(life.ID)
	}
}

// reopenedLeases returns the IDs of the workers whose leases are open once the records of the
// next commit are stored.
func (s *Scheduler) reopenedLeases() []string {
	var ids []string
	for id, c := range s.closedLeases {
		if c.reopening {
			ids = append(ids, id)
		}
	}
	return ids
}

// leasesReopened notes that a commit has stored that leases are open.
func (s *Scheduler) leasesReopened(ids []string) {
	for _, id := range ids {
		if c := s.closedLeases[id]; c != nil && c.reopening {
			delete(s.closedLeases, id)
		}
	}
}

// closedLeaseRecordOf returns what the record of a worker in the next commit says of its lease,
// or nil if the lease is not closed.
func (s *Scheduler) closedLeaseRecordOf(w *worker, now time.Time) *closedLeaseRecord {
	c := s.closedLeases[w.registration.Life.ID]
	if c == nil || !c.closed || c.life != w.registration.Life {
		return nil
	}
	if !slices.Contains(c.recorded, c.life) {
		c.recorded = append(c.recorded, c.life)
	}
	return &closedLeaseRecord{Epoch: s.epoch, EndsIn: max(w.leaseEnd.Sub(now), 0)}
}

// restoreClosedLease notes that the stored record of a process closes a lease. It returns nil if
// it does not, or if an earlier build has led since then and may have extended the lease.
func (s *Scheduler) restoreClosedLease(life backend.Life, r *closedLeaseRecord) *closedLeaseRecord {
	if r == nil {
		return nil
	}
	c := s.closedLeases[life.ID]
	if c == nil {
		c = &closedLease{}
		s.closedLeases[life.ID] = c
	}
	c.recorded = append(c.recorded, life)
	if s.leasesClosedSince == 0 || r.Epoch < s.leasesClosedSince || r.EndsIn < 0 {
		return nil
	}
	return r
}

// keepLeaseClosed keeps the lease of a restored worker closed. Its record r was stored by the
// given time.
func (s *Scheduler) keepLeaseClosed(w *worker, r *closedLeaseRecord, storedBy time.Time) {
	c := s.closedLeases[w.registration.Life.ID]
	c.closed, c.life, c.reopening = true, w.registration.Life, false
	w.formerLeaseEnd = storedBy.Add(r.EndsIn)
	if w.formerLeaseEnd.After(w.leaseEnd) {
		w.leaseEnd = w.formerLeaseEnd
	}
}
