package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// Commit is a set of progress records to store, with what waits for them.
type Commit struct {
	Records []store.Record
	begun   time.Time
	tasks   []*task
	ends    map[*worker]int64
	shown   map[*job]work.State
}

// NextCommit returns the progress that has to be stored, or nil. The caller
// stores one commit at a time, in order.
func (s *Scheduler) NextCommit(now time.Time) *Commit {
	c := &Commit{begun: now, ends: map[*worker]int64{}, shown: map[*job]work.State{}}
	for _, id := range slices.Sorted(maps.Keys(s.dirty)) {
		j := s.dirty[id]
		c.Records = append(c.Records, store.Record{Key: id, Value: work.Encode(j.progress())})
		c.shown[j] = j.state
		for _, t := range j.recorded() {
			t.inCommit = true
			t.deadline = t.worker.deadline(now, s.rightEnd(), s.timing)
			c.tasks = append(c.tasks, t)
		}
	}
	clear(s.dirty)
	for _, id := range s.forgotten {
		c.Records = append(c.Records, store.Record{Key: id})
	}
	s.forgotten = nil
	for _, w := range s.workers {
		if w.applied > w.stored {
			c.ends[w] = w.applied
		}
	}
	if len(c.Records) == 0 && len(c.ends) == 0 {
		return nil
	}
	return c
}

// Committed tells that a commit is stored. One without records needs no append and
// proves nothing about the claim.
func (s *Scheduler) Committed(c *Commit, now time.Time) {
	if len(c.Records) > 0 {
		s.confirmed = c.begun
	}
	for j, state := range c.shown {
		if !j.shown.Ended() {
			j.shown = state
		}
	}
	for w, number := range c.ends {
		w.stored = number
	}
	for _, t := range c.tasks {
		if t.phase == phaseRecorded && t.inCommit {
			s.order(t, c.begun, now)
		}
	}
}

// Confirmed tells that the store has accepted an append of this leader that
// began at a time.
func (s *Scheduler) Confirmed(begun time.Time) { s.confirmed = begun }

// rightEnd is when this leader stops extending leases.
func (s *Scheduler) rightEnd() time.Time { return s.confirmed.Add(s.timing.Right) }

// order sends the start order of a task whose placement is stored.
func (s *Scheduler) order(t *task, begun, now time.Time) {
	w := t.worker
	t.inCommit = false
	if w.gone || w.fencing() || now.Sub(begun) > maxOrderDelay {
		s.log.Info("start_withdrawn", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "age_ms", now.Sub(begun).Milliseconds())
		s.toWaiting(t)
		s.breakGang(t, now)
		return
	}
	t.phase, t.token, t.begun = phaseOrdered, w.token, now
	w.extend(begun, s.timing)
	if j := t.step.job; !j.ordered {
		j.ordered = true
		s.observe("first_start", j, now.Sub(j.arrived))
	}
	s.log.Info("start_ordered", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "token", t.token, "waited_ms", now.Sub(t.step.opened).Milliseconds())
	s.effects.Starts = append(s.effects.Starts, Order[backend.Start]{Worker: w.registration.Life, Order: backend.Start{
		Task: t.id, Run: t.run, Payload: t.step.job.spec.Payload, Deadline: t.deadline, Token: t.token,
		Checkpoint: t.checkpoint, Ticket: t.step.advice.ticket(w),
	}})
}

// maxOrderDelay is the age of a record after which its order is not sent any
// more: less than the lease, so that no order outlives what a successor waits.
const maxOrderDelay = 3 * time.Second

// recorded returns the tasks whose placement is to be stored.
func (j *job) recorded() []*task {
	var tasks []*task
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.phase == phaseRecorded && !t.inCommit {
					tasks = append(tasks, t)
				}
			}
		}
	}
	return tasks
}

// progress returns the record of a job.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state, Started: j.begun}
	if j.state.Ended() {
		p.Ended = j.ended.UnixMilli()
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if sp, ok := st.progress(); ok {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

func (st *step) progress() (work.StepProgress, bool) {
	sp := work.StepProgress{Occurrence: st.id.Occurrence, Step: st.id.Step}
	ended := st.job.state.Ended()
	if st.left == 0 && !ended {
		sp.Done = true
		return sp, true
	}
	for _, t := range st.tasks {
		if t.run == 0 || (ended && !t.onWorker()) {
			continue
		}
		tp := work.TaskProgress{Index: t.id.Index, Done: t.phase == phaseDone, Run: t.run, Failed: t.failed, Checkpoint: t.checkpoint}
		if t.worker != nil {
			tp.Worker, tp.Born = t.worker.registration.Life.ID, t.worker.registration.Life.Born
		}
		sp.Tasks = append(sp.Tasks, tp)
	}
	return sp, len(sp.Tasks) > 0
}
