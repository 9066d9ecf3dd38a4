package entryvm

import (
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// applyJobs hands job records to the scheduler.
func (l *leader) applyJobs(s *scheduler.Scheduler, records []store.Record, done map[string]*work.Progress, at time.Time) {
	var cancelled []string
	for i := range records {
		r := &records[i]
		if len(r.Value) == 0 {
			continue // The leader has dropped the record.
		}
		if id, ok := strings.CutSuffix(r.Key, cancelSuffix); ok {
			cancelled = append(cancelled, id)
			continue
		}
		spec, err := work.Decode[work.Job](r.Value)
		if err != nil {
			l.node.log.Error(err, "job_unreadable", "job", r.Key)
			continue
		}
		if done != nil {
			s.Restore(spec, done[spec.ID], at)
		} else {
			s.Submit(spec, at)
		}
	}
	for _, id := range cancelled {
		s.Cancel(id, at)
	}
}

// tailJobs reads the jobs that entry VMs store.
func (l *leader) tailJobs(part int, from int64) {
	for pause(l.ctx, tailInterval) {
		asked := now()
		records, next, err := readOn(l.ctx, l.node.store, store.Read{Topic: store.Jobs, Part: part, From: from})
		if err != nil {
			if kindOf(err) == store.KindDropped {
				from = -1
			}
			continue
		}
		from = next
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			l.notePartition(part, records)
			l.applyJobs(s, records, nil, at)
			l.tailed[part] = asked
		})
	}
}

// notePartition remembers where records of jobs are, to delete them there. The caller
// holds the lock.
func (l *leader) notePartition(part int, records []store.Record) {
	for i := range records {
		if id := strings.TrimSuffix(records[i].Key, cancelSuffix); len(records[i].Value) > 0 {
			l.partitions[id] |= 1 << part
		}
	}
}

// takeJobs hands job records to the scheduler that another VM has stored; it reports
// whether they are known now.
func (l *leader) takeJobs(records []store.Record) bool {
	l.mutex.Lock()
	serving := l.serving && l.ctx.Err() == nil
	l.mutex.Unlock()
	if serving {
		l.update(func(s *scheduler.Scheduler, at time.Time) { l.applyJobs(s, records, nil, at) })
	}
	return serving
}

// tailWorkers reads what workers register.
func (l *leader) tailWorkers() {
	from := int64(-1)
	for pause(l.ctx, workersInterval) {
		records, next, err := readOn(l.ctx, l.node.store, store.Read{Topic: store.Workers, From: from})
		if err != nil {
			if kindOf(err) == store.KindDropped {
				from = -1
			}
			continue
		}
		whole := from < 0
		from = next
		if len(records) == 0 && !whole {
			continue
		}
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			if whole {
				clear(l.registrations)
			}
			if l.applyWorkers(records) || whole {
				s.SetWorkers(l.listed(), at)
			}
		})
	}
}

// applyWorkers notes registrations; it reports whether one has changed in a way
// that matters.
func (l *leader) applyWorkers(records []store.Record) bool {
	newest := map[string]*store.Record{}
	for i := range records {
		newest[records[i].Key] = &records[i]
	}
	changed := false
	for id, r := range newest {
		old, known := l.registrations[id]
		if len(r.Value) == 0 {
			delete(l.registrations, id)
			changed = changed || known
			continue
		}
		v, err := l.node.peers.DecodeRegistration(id, r.Value)
		if err != nil {
			l.node.log.V(1).Info("registration_unreadable", "worker", id, "error", err.Error())
			delete(l.registrations, id)
			changed = changed || known
			continue
		}
		l.registrations[id] = v
		changed = changed || !known || old.Life != v.Life || old.Draining != v.Draining || old.Service != v.Service || old.Address != v.Address
	}
	return changed
}

func (l *leader) listed() []backend.Registration {
	list := make([]backend.Registration, 0, len(l.registrations))
	for _, r := range l.registrations {
		list = append(list, r)
	}
	return list
}

// fresh reports whether every job accepted a while ago is known. The caller holds
// the lock.
func (l *leader) fresh() bool {
	for _, t := range l.tailed {
		if now().Sub(t) >= freshness {
			return false
		}
	}
	return true
}
