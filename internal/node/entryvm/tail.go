package entryvm

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// applyJobRecords tells the scheduler about the submissions among the records, and then
// about the cancellations. While a new leader restores the stored state, progress holds
// the stored progress of jobs by ID; afterwards it is nil.
func (l *leader) applyJobRecords(s *scheduler.Scheduler, records []store.Record, progress map[string]*work.Progress, at time.Time) {
	var cancelled []string
	for i := range records {
		r := &records[i]
		if len(r.Value) == 0 {
			continue // An empty value marks a record that a leader has deleted.
		}
		if id, ok := strings.CutSuffix(r.Key, cancelKeySuffix); ok {
			cancelled = append(cancelled, id)
			continue
		}
		spec, err := work.Decode[work.Job](r.Value)
		if err != nil {
			l.node.log.Error(err, "job_unreadable", "job", r.Key)
			continue
		}
		if progress != nil {
			s.Restore(spec, progress[spec.ID], at)
		} else {
			s.Submit(spec, at)
		}
	}
	for _, id := range cancelled {
		s.Cancel(id, at)
	}
}

// tailJobs reads the new records of a job partition every jobsReadInterval until the
// leader is stopped. Slow reads follow each other without a pause, so that the last one is
// not too old.
func (l *leader) tailJobs(part int, from int64) {
	pause := jobsReadInterval
	for sleep(l.ctx, pause) {
		begun := now()
		from = l.readJobs(part, from)
		pause = max(jobsReadInterval-now().Sub(begun), 0)
	}
}

// readJobs reads the new records of a job partition up to its end, or until a read fails.
// It returns the offset from which to continue reading.
func (l *leader) readJobs(part int, from int64) int64 {
	for {
		begun := now()
		batch, err := readFrom(l.ctx, l.node.store, store.Read{Topic: store.Jobs, Part: part, From: from})
		if err != nil {
			if storeErrorKind(err) == store.KindDropped {
				return -1
			}
			return from
		}
		from = batch.Next
		l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) {
			l.recordJobPartitions(part, batch.Records)
			l.applyJobRecords(s, batch.Records, nil, at)
			if batch.ReachesEnd() {
				l.jobsReadStartTimes[part] = begun
			}
		})
		if batch.ReachesEnd() {
			return from
		}
	}
}

// recordJobPartitions notes in jobPartitions that a partition contains the given
// records, so that they can be deleted there later. The caller must hold the mutex.
func (l *leader) recordJobPartitions(part int, records []store.Record) {
	for i := range records {
		if id := strings.TrimSuffix(records[i].Key, cancelKeySuffix); len(records[i].Value) > 0 {
			l.jobPartitions[id] |= 1 << part
		}
	}
}

// addStoredJobs tells the scheduler about job records that this or another VM has
// stored. If this leader has not restored the stored state yet or is stopped, it does
// nothing and returns false.
func (l *leader) addStoredJobs(records []store.Record) bool {
	l.mutex.Lock()
	ready := l.restored && l.ctx.Err() == nil
	l.mutex.Unlock()
	if ready {
		l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) { l.applyJobRecords(s, records, nil, at) })
	}
	return ready
}

// tailRegistrations reads new worker registrations every registrationsReadInterval
// until the leader is stopped.
func (l *leader) tailRegistrations() {
	from, applied := int64(-1), now()
	for sleep(l.ctx, registrationsReadInterval) {
		batch, err := readFrom(l.ctx, l.node.store, store.Read{Topic: store.Workers, From: from})
		if err != nil {
			if storeErrorKind(err) == store.KindDropped {
				from = -1
			}
			continue
		}
		isSnapshot := from < 0
		from = batch.Next
		due := isSnapshot || now().Sub(applied) >= registrationsApplyInterval
		if len(batch.Records) == 0 && !due {
			continue
		}
		l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) {
			if l.applyRegistrations(batch.Records, isSnapshot) || due {
				s.SetWorkers(l.registrationList(), at)
				applied = at
			}
		})
	}
}

// applyRegistrations updates the known worker registrations with records that were read
// from the store. isSnapshot is true if the records are the newest ones of all workers.
// It reports whether the scheduler must be told: a worker was added or removed, or one of
// the fields compared below has changed.
//
// A record that cannot be decoded was left by another writer. A worker with that ID goes
// on with its last valid registration, until it writes the next one or is removed.
func (l *leader) applyRegistrations(records []store.Record, isSnapshot bool) bool {
	changed := isSnapshot && l.removeUnlisted(records)
	applied := map[string]bool{}
	for i := range slices.Backward(records) {
		r := &records[i]
		if applied[r.Key] {
			continue
		}
		old, known := l.registrations[r.Key]
		if len(r.Value) == 0 {
			applied[r.Key] = true
			delete(l.registrations, r.Key)
			changed = changed || known
			continue
		}
		registration, err := l.node.dependencies.DecodeRegistration(r.Key, r.Value, latestSystemTime())
		if err != nil {
			l.node.reportInvalidRecord("registration_unreadable", "worker", store.Workers, r, err)
			continue
		}
		applied[r.Key] = true
		l.registrations[r.Key] = registration
		changed = changed || !known || old.Life != registration.Life || old.Draining != registration.Draining || old.Service != registration.Service || old.Address != registration.Address
	}
	return changed
}

// removeUnlisted removes the registrations of workers without a record in a snapshot. It
// reports whether there were any.
func (l *leader) removeUnlisted(snapshot []store.Record) bool {
	listed := make(map[string]bool, len(snapshot))
	for i := range snapshot {
		listed[snapshot[i].Key] = true
	}
	before := len(l.registrations)
	maps.DeleteFunc(l.registrations, func(id string, _ backend.Registration) bool { return !listed[id] })
	return len(l.registrations) < before
}

// latestSystemTime returns the system time, or the time of the monotonic clock if the
// system time was set back since the process started.
func latestSystemTime() time.Time {
	system, monotonic := time.Now(), now()
	if system.Before(monotonic) {
		return monotonic
	}
	return system
}

// registrationList returns the known registrations in no particular order.
func (l *leader) registrationList() []backend.Registration {
	list := make([]backend.Registration, 0, len(l.registrations))
	for _, r := range l.registrations {
		list = append(list, r)
	}
	return list
}

// jobsUpToDate reports whether every job partition was read up to its end within
// maxJobsReadAge. The caller must hold the mutex.
func (l *leader) jobsUpToDate() bool { return now().Sub(l.oldestJobsRead()) < maxJobsReadAge }

// oldestJobsRead returns the earliest time at which the last read of a job partition up to
// its end began. The caller must hold the mutex.
func (l *leader) oldestJobsRead() time.Time {
	return slices.MinFunc(l.jobsReadStartTimes, time.Time.Compare)
}
