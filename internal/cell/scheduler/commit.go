package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// Commit is a set of progress records to store in one append, with the changes that
// become effective when it is stored.
type Commit struct {
	// Records are the records to store. They may be empty if ends were handled that
	// change no job.
	Records   []store.Record
	startedAt time.Time
	// tasks are the tasks whose placements are in the records.
	tasks []*task
	// ends maps a worker to the number of its last end whose effect is in the
	// records.
	ends map[*worker]int64
	// states maps a job to its state in the records.
	states map[*job]work.State
}

// NextCommit returns the progress to store next, or nil if nothing has changed. The
// caller stores one commit at a time, in the order in which they were returned.
func (s *Scheduler) NextCommit(now time.Time) *Commit {
	c := &Commit{startedAt: now, ends: map[*worker]int64{}, states: map[*job]work.State{}}
	for _, id := range slices.Sorted(maps.Keys(s.dirtyJobs)) {
		j := s.dirtyJobs[id]
		c.Records = append(c.Records, store.Record{Key: id, Value: work.Encode(j.progress())})
		c.states[j] = j.state
		for _, t := range j.unstoredPlacements() {
			t.inCommit = true
			t.leaseDeadline = t.worker.leaseDeadline(now, s.leadershipEnd(), s.timing)
			c.tasks = append(c.tasks, t)
		}
	}
	clear(s.dirtyJobs)
	for _, id := range s.expiredJobs {
		c.Records = append(c.Records, store.Record{Key: id})
	}
	s.expiredJobs = nil
	for _, w := range s.workers {
		if w.lastHandledEnd > w.lastStoredEnd {
			c.ends[w] = w.lastHandledEnd
		}
	}
	if len(c.Records) == 0 && len(c.ends) == 0 {
		return nil
	}
	return c
}

// Committed handles a stored commit: it orders the starts whose placements are now
// stored. A commit without records needs no append, so it does not confirm that
// this VM is still the leader.
func (s *Scheduler) Committed(c *Commit, now time.Time) {
	if len(c.Records) > 0 {
		s.lastConfirmed = c.startedAt
	}
	for j, state := range c.states {
		if !j.storedState.Ended() {
			j.storedState = state
		}
	}
	for w, number := range c.ends {
		w.lastStoredEnd = number
	}
	for _, t := range c.tasks {
		if t.phase == phasePlaced && t.inCommit {
			s.orderStart(t, c.startedAt, now)
		}
	}
}

// AppendConfirmed records that the store has accepted an append of this leader other than
// a commit. appendStart is when the append began.
func (s *Scheduler) AppendConfirmed(appendStart time.Time) { s.lastConfirmed = appendStart }

// leadershipEnd is when this leader stops extending leases unless another append is
// accepted.
func (s *Scheduler) leadershipEnd() time.Time { return s.lastConfirmed.Add(s.timing.LeadershipLease) }

// orderStart orders the start of a task whose placement is stored. The task is
// requeued instead if its worker cannot be used any more or the commit is too old.
func (s *Scheduler) orderStart(t *task, commitStart, now time.Time) {
	w := t.worker
	t.inCommit = false
	if w.lost || w.tokenUnconfirmed() || now.Sub(commitStart) > maxOrderDelay {
		s.log.Info("start_withdrawn", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "age_ms", now.Sub(commitStart).Milliseconds())
		s.requeue(t)
		s.stopGang(t, now)
		return
	}
	t.phase, t.startToken, t.startedAt = phaseOrdered, w.token, now
	w.extendLease(commitStart, s.timing)
	if j := t.step.job; !j.anyTaskOrdered {
		j.anyTaskOrdered = true
		s.addObservation("first_start", j, now.Sub(j.submittedAt))
	}
	s.log.Info("start_ordered", "task", t.id.String(), "run", t.run, "worker", w.registration.Life.ID, "token", t.startToken, "waited_ms", now.Sub(t.step.openedAt).Milliseconds())
	s.effects.Starts = append(s.effects.Starts, Order[backend.Start]{Worker: w.registration.Life, Order: backend.Start{
		Task: t.id, Run: t.run, Payload: t.step.job.spec.Payload, Deadline: t.leaseDeadline, Token: t.startToken,
		Checkpoint: t.checkpoint, Ticket: t.step.advice.ticketText(w),
	}})
}

// maxOrderDelay is the age of a commit from which on its starts are not ordered any
// more. It is shorter than the lease, so that no order takes effect after the time
// that a successor waits.
const maxOrderDelay = 3 * time.Second

// unstoredPlacements returns the placed tasks of a job that are in no commit yet.
func (j *job) unstoredPlacements() []*task {
	var tasks []*task
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.phase == phasePlaced && !t.inCommit {
					tasks = append(tasks, t)
				}
			}
		}
	}
	return tasks
}

// progress returns the progress record of a job.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state, Started: j.anyTaskPlaced}
	if j.state.Ended() {
		p.Ended = j.endedAt.UnixMilli()
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

// progress returns the part of the progress record that describes a step; the bool
// is false if there is nothing to record.
func (st *step) progress() (work.StepProgress, bool) {
	sp := work.StepProgress{Occurrence: st.id.Occurrence, Step: st.id.Step}
	ended := st.job.state.Ended()
	if st.tasksLeft == 0 && !ended {
		sp.Done = true
		return sp, true
	}
	for _, t := range st.tasks {
		if t.run == 0 || (ended && !t.onWorker()) {
			continue
		}
		tp := work.TaskProgress{Index: t.id.Index, Done: t.phase == phaseDone, Run: t.run, Failed: t.failedRuns, Checkpoint: t.checkpoint}
		if t.worker != nil {
			tp.Worker, tp.Born = t.worker.registration.Life.ID, t.worker.registration.Life.Born
		}
		sp.Tasks = append(sp.Tasks, tp)
	}
	return sp, len(sp.Tasks) > 0
}
