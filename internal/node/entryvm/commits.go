package entryvm

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// endsStored reports whether the ends of a worker are stored, and otherwise which
// channel the next commit closes.
func (l *leader) endsStored(life backend.Life) (bool, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.EndsStored(life), l.stored
}

// verify renews the claim at once: a worker has seen a higher token.
func (l *leader) verify() { signal(l.doubt) }

// commitLoop stores the progress of jobs, one append at a time.
func (l *leader) commitLoop() {
	renewal := time.NewTimer(renewInterval)
	for {
		renew := false
		select {
		case <-l.ctx.Done():
			return
		case <-l.dirty:
		case <-renewal.C:
			renew = true
		case <-l.doubt:
			renew = true
		}
		renewal.Reset(renewInterval)
		l.mutex.Lock()
		commit := l.state.NextCommit(now())
		l.mutex.Unlock()
		if commit == nil && !renew {
			continue
		}
		begun := now()
		var records []store.Record
		if commit != nil {
			records = commit.Records
		}
		if len(records) == 0 && renew {
			records = l.renewal()
		}
		if len(records) > 0 {
			if err := l.appendProgress(records); err != nil {
				l.node.log.Info("claim_lost", "epoch", l.epoch, "error", err.Error())
				return
			}
		}
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			if commit != nil {
				s.Committed(commit, at)
			} else {
				s.Confirmed(begun)
			}
			close(l.stored)
			l.stored = make(chan struct{})
		})
		pause(l.ctx, commitPause)
	}
}

// renewal is a record that changes nothing; storing it proves the claim.
func (l *leader) renewal() []store.Record {
	return []store.Record{{Key: renewalKey, Value: work.Encode(&work.Progress{})}}
}

// appendProgress appends as the producer of this epoch. An append without an
// answer is repeated as it is: the store repeats its first answer. It returns an
// error only when the claim is lost.
func (l *leader) appendProgress(records []store.Record) error {
	a := store.Append{Topic: store.Progress, Records: records, Producer: &store.Producer{Name: producerName, Epoch: l.epoch, Sequence: l.sequence}}
	l.sequence++
	for {
		call, cancel := context.WithTimeout(l.ctx, mostPatience+relayTries*relayTimeout)
		_, err := l.node.store.Append(call, a)
		cancel()
		if err == nil {
			return nil
		}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
		switch kindOf(err) {
		case store.KindRefused, store.KindUnknown:
			l.node.log.Info("progress_not_stored", "epoch", l.epoch, "records", len(records), "error", err.Error())
			pause(l.ctx, appendPause)
		default:
			return err
		}
	}
}

// appendPause is the wait before an append is repeated.
const appendPause = 50 * time.Millisecond

// drop deletes the submissions of jobs that have ended, so that a take-over reads
// little; their state stays in the progress records.
func (l *leader) drop(ids []string) {
	for part, records := range l.droppedRecords(ids) {
		if len(records) == 0 {
			continue
		}
		call, cancel := context.WithTimeout(l.ctx, storeTimeout)
		_, err := l.node.store.Append(call, store.Append{Topic: store.Jobs, Part: part, Records: records})
		cancel()
		if err != nil {
			l.node.log.Info("jobs_not_dropped", "records", len(records), "partition", part, "error", err.Error())
		}
	}
}

// droppedRecords returns, for each partition, the deletions of the records there; in
// all of them for a job that was not read yet.
func (l *leader) droppedRecords(ids []string) [][]store.Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	records := make([][]store.Record, l.node.settings.Partitions)
	for _, id := range ids {
		in, read := l.partitions[id]
		for part := range records {
			if !read || in&(1<<part) != 0 {
				records[part] = append(records[part], store.Record{Key: id}, store.Record{Key: id + cancelSuffix})
			}
		}
		delete(l.partitions, id)
	}
	return records
}
