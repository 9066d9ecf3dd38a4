package entryvm

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// stopIfNotRestored stops the leader if it has not restored the stored state yet, so
// that another VM can lead.
func (l *leader) stopIfNotRestored() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.restored {
		l.stop()
	}
}

// storedState is the state of the cell as read from the store.
type storedState struct {
	progressRecords []store.Record
	// fenceOffset is the end offset of the progress topic after the append that fences the
	// previous leader, and progressOffset the one up to which the progress was read.
	fenceOffset, progressOffset int64
	// jobRecords holds the records of each job partition. nextJobOffsets holds, for
	// each job partition, the offset from which to continue reading.
	jobRecords          [][]store.Record
	nextJobOffsets      []int64
	registrationRecords []store.Record
	// readAt is when the last reads of the jobs and registrations began. What was stored
	// before that is known.
	readAt time.Time
}

const (
	// maxRestoredAge is the age of the jobs and registrations above which a new leader reads
	// what was stored meanwhile before it starts anything. Some partitions may be read
	// seconds later than others.
	maxRestoredAge = jobsReadInterval
	// maxChangeReads limits these reads, for VMs that need longer than maxRestoredAge for
	// each.
	maxChangeReads = 3
)

// restore fences the previous leader and restores the scheduler from the store. It
// returns, for each job partition, the offset from which to continue reading.
func (l *leader) restore() ([]int64, error) {
	begun := now()
	historyLearned := l.learnHistory()
	saved, err := l.readStoredState()
	if err != nil {
		return saved.nextJobOffsets, err
	}
	<-historyLearned
	var jobRecords, workers []store.Record
	for i := range saved.progressRecords {
		if r := &saved.progressRecords[i]; scheduler.IsWorkerRecord(r) {
			workers = append(workers, *r)
		} else {
			jobRecords = append(jobRecords, *r)
		}
	}
	progress := l.progressEncoder.decode(jobRecords, func(key string, err error) {
		l.node.log.Error(err, "progress_unreadable", "job", key)
	})
	l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) {
		s.AppendConfirmed(begun)
		s.SetHistory(&l.node.progressHistory)
		// The fence is one record.
		s.SetLastFormerAppend(l.node.progressHistory.StoredBy(saved.fenceOffset-2, at))
		s.SetLeasesClosedSince(l.leasesClosedSince)
		l.applyRegistrations(saved.registrationRecords, true)
		s.SetWorkers(l.registrationList(), at)
		s.RestoreWorkers(workers, at)
		for part, records := range saved.jobRecords {
			l.recordJobPartitions(part, records)
		}
		l.applyJobRecords(s, slices.Concat(saved.jobRecords...), progress, at)
		for id, p := range progress {
			s.RestoreEnded(id, p, at)
		}
		for part := range l.jobsReadStartTimes {
			l.jobsReadStartTimes[part] = saved.readAt
		}
		l.restored = true
	})
	l.node.measures.Observe(measure.Key{Name: "take_over"}, now().Sub(begun))
	l.node.log.Info("take_over_done", "epoch", l.epoch, "partitions", len(saved.jobRecords), "progress", len(saved.progressRecords), "fence_offset", saved.fenceOffset, "progress_offset", saved.progressOffset, "workers", len(l.registrations), "took_ms", now().Sub(begun).Milliseconds())
	return saved.nextJobOffsets, nil
}

// readStoredState reads the stored state with concurrent calls. It fences the previous
// leader before it reads jobs and progress, since the previous leader can start newly
// submitted jobs until it is fenced.
func (l *leader) readStoredState() (storedState, error) {
	parts := l.node.settings.Partitions
	saved := storedState{jobRecords: make([][]store.Record, parts), nextJobOffsets: make([]int64, parts), readAt: now()}
	var g, afterFence errgroup.Group
	g.Go(func() error {
		s, err := l.readSnapshot(store.Workers, 0)
		saved.registrationRecords = s.Records
		return err
	})
	g.Go(func() error {
		end, _, err := l.appendProgress(l.claimRenewalRecords())
		if err != nil {
			return err
		}
		saved.fenceOffset = end
		afterFence.Go(func() error {
			s, err := l.readSnapshot(store.Progress, 0)
			saved.progressRecords, saved.progressOffset = s.Records, s.End
			return err
		})
		for part := range parts {
			afterFence.Go(func() error {
				s, err := l.readSnapshot(store.Jobs, part)
				saved.jobRecords[part], saved.nextJobOffsets[part] = s.Records, s.End
				return err
			})
		}
		return afterFence.Wait()
	})
	if err := g.Wait(); err != nil {
		return saved, err
	}
	for range maxChangeReads {
		if now().Sub(saved.readAt) <= maxRestoredAge {
			break
		}
		if err := l.readChanges(&saved); err != nil {
			return saved, err
		}
	}
	return saved, nil
}

// readChanges adds the jobs and cancellations that were stored since they were read to the
// state, and reads the registrations again.
func (l *leader) readChanges(saved *storedState) error {
	begun := now()
	var g errgroup.Group
	g.Go(func() error {
		s, err := l.readSnapshot(store.Workers, 0)
		saved.registrationRecords = s.Records
		return err
	})
	for part := range saved.jobRecords {
		g.Go(func() error {
			for l.ctx.Err() == nil {
				batch, err := readFrom(l.ctx, l.node.store, store.Read{Topic: store.Jobs, Part: part, From: saved.nextJobOffsets[part]})
				if storeErrorKind(err) == store.KindDropped {
					saved.nextJobOffsets[part] = -1
					continue
				}
				if err != nil {
					sleep(l.ctx, storeRetryPause)
					continue
				}
				saved.jobRecords[part] = append(saved.jobRecords[part], batch.Records...)
				saved.nextJobOffsets[part] = batch.Next
				if batch.ReachesEnd() {
					return nil
				}
			}
			return l.ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	l.node.log.Info("changes_read", "epoch", l.epoch, "age_ms", begun.Sub(saved.readAt).Milliseconds(), "took_ms", now().Sub(begun).Milliseconds())
	saved.readAt = begun
	return nil
}

// readSnapshot reads the newest record of each key in a partition. It retries until
// that succeeds or the leader is stopped.
func (l *leader) readSnapshot(t store.Topic, part int) (store.Snapshot, error) {
	for {
		callCtx, cancel := context.WithTimeout(l.ctx, snapshotTimeout)
		s, err := l.node.store.Newest(callCtx, t, part)
		cancel()
		if err == nil || l.ctx.Err() != nil {
			return s, err
		}
		sleep(l.ctx, storeRetryPause)
	}
}
