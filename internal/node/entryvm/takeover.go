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

// giveUpRestore lets another VM lead when the stored state could not be read.
func (l *leader) giveUpRestore() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.serving {
		l.stop()
	}
}

// stored is what the store holds of the cell.
type stored struct {
	progress []store.Record
	// jobs holds the records of each partition, and jobsEnd where to go on reading
	// it.
	jobs    [][]store.Record
	jobsEnd []int64
	workers []store.Record
}

// restore fences the last leader and reads what it has stored. It returns where
// to go on reading jobs.
func (l *leader) restore() ([]int64, error) {
	begun := now()
	v, err := l.readStored()
	if err != nil {
		return v.jobsEnd, err
	}
	done := make(map[string]*work.Progress, len(v.progress))
	for i := range v.progress {
		r := &v.progress[i]
		p, err := work.Decode[work.Progress](r.Value)
		if err != nil {
			l.node.log.Error(err, "progress_unreadable", "job", r.Key)
			continue
		}
		done[r.Key] = p
	}
	l.update(func(s *scheduler.Scheduler, at time.Time) {
		s.Confirmed(begun)
		l.applyWorkers(v.workers)
		s.SetWorkers(l.listed(), at)
		for part, records := range v.jobs {
			l.notePartition(part, records)
		}
		l.applyJobs(s, slices.Concat(v.jobs...), done, at)
		for id, p := range done {
			s.RestoreEnded(id, p, at)
		}
		for part := range l.tailed {
			l.tailed[part] = begun
		}
		l.serving = true
	})
	l.node.measures.Observe(measure.Key{Name: "take_over"}, now().Sub(begun))
	l.node.log.Info("take_over_done", "epoch", l.epoch, "partitions", len(v.jobs), "progress", len(v.progress), "workers", len(l.registrations), "took_ms", now().Sub(begun).Milliseconds())
	return v.jobsEnd, nil
}

// readStored reads everything at once; jobs and progress only after the last leader
// is fenced, since it could start a job until then that was handed in meanwhile.
func (l *leader) readStored() (stored, error) {
	parts := l.node.settings.Partitions
	v := stored{jobs: make([][]store.Record, parts), jobsEnd: make([]int64, parts)}
	var g, afterFence errgroup.Group
	g.Go(func() error {
		s, err := l.snapshot(store.Workers, 0)
		v.workers = s.Records
		return err
	})
	g.Go(func() error {
		if err := l.appendProgress(l.renewal()); err != nil {
			return err
		}
		afterFence.Go(func() error {
			s, err := l.snapshot(store.Progress, 0)
			v.progress = s.Records
			return err
		})
		for part := range parts {
			afterFence.Go(func() error {
				s, err := l.snapshot(store.Jobs, part)
				v.jobs[part], v.jobsEnd[part] = s.Records, s.End
				return err
			})
		}
		return afterFence.Wait()
	})
	return v, g.Wait()
}

func (l *leader) snapshot(t store.Topic, part int) (store.Snapshot, error) {
	for {
		call, cancel := context.WithTimeout(l.ctx, snapshotTimeout)
		s, err := l.node.store.Newest(call, t, part)
		cancel()
		if err == nil || l.ctx.Err() != nil {
			return s, err
		}
		pause(l.ctx, retryPause)
	}
}
