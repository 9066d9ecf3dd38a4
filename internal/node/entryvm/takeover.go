package entryvm

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// abortRestore stops the leader if it has not restored the stored state yet, so that
// another VM can lead.
func (l *leader) abortRestore() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.serving {
		l.stop()
	}
}

// storedState is the state of the cell as read from the store.
type storedState struct {
	progress []store.Record
	// jobs holds the records of each partition of jobs, and nextJobOffsets the offset
	// from which to continue reading it.
	jobs           [][]store.Record
	nextJobOffsets []int64
	registrations  []store.Record
}

// restore fences the previous leader and restores the scheduler from the store. It
// returns the offset of each partition of jobs from which to continue reading.
func (l *leader) restore() ([]int64, error) {
	begun := now()
	saved, err := l.readStored()
	if err != nil {
		return saved.nextJobOffsets, err
	}
	progress := make(map[string]*work.Progress, len(saved.progress))
	for i := range saved.progress {
		r := &saved.progress[i]
		p, err := work.Decode[work.Progress](r.Value)
		if err != nil {
			l.node.log.Error(err, "progress_unreadable", "job", r.Key)
			continue
		}
		progress[r.Key] = p
	}
	l.update(func(s *scheduler.Scheduler, at time.Time) {
		s.AppendConfirmed(begun)
		l.applyRegistrations(saved.registrations)
		s.SetWorkers(l.registrationList(), at)
		for part, records := range saved.jobs {
			l.recordJobPartitions(part, records)
		}
		l.applyJobs(s, slices.Concat(saved.jobs...), progress, at)
		for id, p := range progress {
			s.RestoreEnded(id, p, at)
		}
		for part := range l.lastJobsRead {
			l.lastJobsRead[part] = begun
		}
		l.serving = true
	})
	l.node.measures.Observe(measure.Key{Name: "take_over"}, now().Sub(begun))
	l.node.log.Info("take_over_done", "epoch", l.epoch, "partitions", len(saved.jobs), "progress", len(saved.progress), "workers", len(l.registrations), "took_ms", now().Sub(begun).Milliseconds())
	return saved.nextJobOffsets, nil
}

// readStored reads the stored state with concurrent calls. It reads jobs and progress
// only after it has fenced the previous leader, which until then can start jobs that
// are submitted during the take-over.
func (l *leader) readStored() (storedState, error) {
	parts := l.node.settings.Partitions
	saved := storedState{jobs: make([][]store.Record, parts), nextJobOffsets: make([]int64, parts)}
	var g, afterFence errgroup.Group
	g.Go(func() error {
		s, err := l.readSnapshot(store.Workers, 0)
		saved.registrations = s.Records
		return err
	})
	g.Go(func() error {
		if err := l.appendProgress(l.renewalRecords()); err != nil {
			return err
		}
		afterFence.Go(func() error {
			s, err := l.readSnapshot(store.Progress, 0)
			saved.progress = s.Records
			return err
		})
		for part := range parts {
			afterFence.Go(func() error {
				s, err := l.readSnapshot(store.Jobs, part)
				saved.jobs[part], saved.nextJobOffsets[part] = s.Records, s.End
				return err
			})
		}
		return afterFence.Wait()
	})
	return saved, g.Wait()
}

// readSnapshot reads the newest record of each key of a partition. It retries until
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
