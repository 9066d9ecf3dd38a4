package entryvm

import (
	"context"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// reportStored reports whether what follows from the last report of a worker process is stored.
// The returned channel is closed after the next commit.
func (l *leader) reportStored(life backend.Life) (bool, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.scheduler.ReportStored(life), l.nextCommitDone
}

// signalClaimRenewal makes the commit loop renew the claim at once. It is called when a worker
// has seen a higher fencing token, which suggests that another VM leads.
func (l *leader) signalClaimRenewal() { trySignal(l.renewClaimSignal) }

// commitLoop stores the progress of jobs, one commit at a time, and renews the claim.
// It returns when the claim is lost or the leader is stopped.
func (l *leader) commitLoop() {
	renewal := time.NewTimer(claimRenewInterval)
	for {
		renew := false
		select {
		case <-l.ctx.Done():
			return
		case <-l.commitSignal:
		case <-renewal.C:
			renew = true
		case <-l.renewClaimSignal:
			renew = true
		}
		l.mutex.Lock()
		commit := l.scheduler.NextCommit(now())
		l.mutex.Unlock()
		if commit == nil && !renew {
			continue
		}
		begun := now()
		var records []store.Record
		end := int64(scheduler.UnknownOffset)
		if commit != nil {
			records = commit.Records
		}
		if len(records) == 0 && renew {
			records = l.claimRenewalRecords()
		}
		if len(records) > 0 {
			var err error
			var refused []string
			if end, refused, err = l.appendProgress(records); err != nil {
				l.node.log.Info("claim_lost", "epoch", l.epoch, "error", err.Error())
				return
			}
			if commit != nil {
				commit.EndOffset, commit.Refused = end, refused
			}
			renewal.Reset(claimRenewInterval)
		}
		l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) {
			if commit != nil {
				s.Committed(commit, at)
			} else {
				s.AppendConfirmed(begun)
			}
			close(l.nextCommitDone)
			l.nextCommitDone = make(chan struct{})
		})
		if end != scheduler.UnknownOffset {
			// Only now, since the starts of the commit use the tickets that were valid until here,
			// and since the retention of ended jobs counts from when a leader can tell their states.
			l.node.progressHistory.Add(end, now())
		}
		sleep(l.ctx, commitPause)
	}
}

// claimRenewalRecords returns a single record that contains no progress. Storing it
// proves that this leader still holds the claim.
func (l *leader) claimRenewalRecords() []store.Record {
	return []store.Record{{Key: claimRenewalKey, Value: work.Encode(&work.Progress{})}}
}

// appendProgress stores progress records in one append, or in several one after the other
// if they exceed the size of an append. It returns the end offset of the topic after the
// last append, and the keys of the records that the store refuses for their content. It
// returns an error only if the claim is lost or the leader is stopped. Some of the records
// may then be stored.
func (l *leader) appendProgress(records []store.Record) (end int64, refused []string, err error) {
	end = scheduler.UnknownOffset
	groups := store.SplitRecords(l.progressEncoder.encode(records), l.node.settings.MaxAppendBytes)
	for len(groups) > 0 {
		group := slices.DeleteFunc(groups[0], func(r store.Record) bool { return slices.Contains(refused, jobOfRecord(r.Key)) })
		groups = groups[1:]
		if len(group) == 0 {
			continue
		}
		groupEnd, err := l.appendProgressGroup(group)
		switch {
		case err == nil:
			end = groupEnd
		case storeErrorKind(err) != store.KindInvalid:
			return end, refused, err
		case len(group) > 1:
			groups = slices.Concat(slices.Collect(slices.Chunk(group, 1)), groups)
		default:
			refused = append(refused, jobOfRecord(group[0].Key))
			l.node.measures.Count(measure.Key{Name: "progress_records_refused"})
			l.node.log.Error(err, "progress_refused", "epoch", l.epoch, "key", group[0].Key, "bytes", group[0].EncodedSize())
		}
	}
	return end, refused, nil
}

// appendProgressGroup appends progress records as the producer of this epoch. It repeats
// an append that the store cannot take now or does not answer. The repeated append has the
// same sequence number, so that the store recognizes one that it has already carried out and
// repeats its answer. The error has store.KindInvalid if the store refuses the records for
// their content; the next append then has their sequence number.
func (l *leader) appendProgressGroup(records []store.Record) (int64, error) {
	a := store.Append{Topic: store.Progress, Records: records, Producer: &store.Producer{Name: producerName, Epoch: l.epoch, Sequence: l.nextProducerSequence}}
	for {
		callCtx, cancel := context.WithTimeout(l.ctx, maxAppendTimeout+maxRelayAttempts*relayTimeout)
		end, err := l.node.store.Append(callCtx, a)
		cancel()
		if err == nil {
			l.nextProducerSequence++
			return end, nil
		}
		if l.ctx.Err() != nil {
			return 0, l.ctx.Err()
		}
		switch storeErrorKind(err) {
		case store.KindRefused, store.KindUnknown:
			l.node.log.Info("progress_not_stored", "epoch", l.epoch, "records", len(records), "error", err.Error())
			sleep(l.ctx, appendRetryPause)
		default:
			return 0, err
		}
	}
}

// appendRetryPause is the pause before an append is retried.
const appendRetryPause = 50 * time.Millisecond

// deleteRetryPause is the pause before the deletion of submissions is retried.
const deleteRetryPause = time.Second

// deleteSubmissions deletes the submissions and cancellations of ended jobs from the
// job partitions, so that the next take-over has less to read. The final states remain
// in the progress records. It retries until the store accepts the deletion or the
// leader is stopped: after an outage, a take-over would otherwise read all jobs that
// ended during the outage.
func (l *leader) deleteSubmissions(ids []string) {
	if l.deleteJobRecords(ids, "", cancelKeySuffix) {
		l.updateScheduler(func(s *scheduler.Scheduler, _ time.Time) { s.SubmissionsDeleted(ids) })
	}
}

// deleteCancellations deletes the cancellations of jobs that are not known from the job
// partitions, in the same way. It leaves their submissions: one that was stored just now has
// not been read yet.
func (l *leader) deleteCancellations(ids []string) { l.deleteJobRecords(ids, cancelKeySuffix) }

// deleteJobRecords deletes, for each of the jobs, the records with its ID and one of the
// suffixes as their keys. It returns false if the leader is stopped before.
func (l *leader) deleteJobRecords(ids []string, suffixes ...string) bool {
	for part, records := range l.jobTombstones(ids, suffixes) {
		for _, group := range store.SplitRecords(records, l.node.settings.MaxAppendBytes) {
			if !l.appendTombstones(part, group) {
				return false
			}
		}
	}
	return true
}

// appendTombstones appends records that delete submissions to a job partition. It retries
// until the store accepts them or refuses them for their content, and returns false if the
// leader is stopped before.
func (l *leader) appendTombstones(part int, records []store.Record) bool {
	for {
		callCtx, cancel := context.WithTimeout(l.ctx, storeCallTimeout)
		_, err := l.node.store.Append(callCtx, store.Append{Topic: store.Jobs, Part: part, Records: records})
		cancel()
		if err == nil {
			return true
		}
		if storeErrorKind(err) == store.KindInvalid {
			l.node.log.Error(err, "job_deletions_refused", "records", len(records), "partition", part)
			return true
		}
		l.node.log.Info("jobs_not_dropped", "records", len(records), "partition", part, "error", err.Error())
		if !sleep(l.ctx, deleteRetryPause) {
			return false
		}
	}
}

// jobTombstones returns, for each job partition, the records that delete those of the given
// jobs with one of the suffixes. If it is not known which partitions contain a job, it is
// deleted in all of them.
func (l *leader) jobTombstones(ids, suffixes []string) [][]store.Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	records := make([][]store.Record, l.node.settings.Partitions)
	for _, id := range ids {
		mask, known := l.jobPartitions[id]
		for part := range records {
			if !known || mask&(1<<part) != 0 {
				for _, suffix := range suffixes {
					records[part] = append(records[part], store.Record{Key: id + suffix})
				}
			}
		}
		delete(l.jobPartitions, id)
	}
	return records
}
