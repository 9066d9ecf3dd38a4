package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// Commit is a set of progress records that are stored in one append, together with
// the changes to the scheduler that take effect once they are stored.
type Commit struct {
	// Records are the records to store, of the progress of jobs and of workers. The list may
	// be empty: then the ends of runs were handled, but no job has changed.
	Records []store.Record
	// EndOffset is the end offset of the progress topic after the last append of the commit.
	// The caller sets it before Committed; it is UnknownOffset without an append. It is only
	// logged.
	EndOffset int64
	// Refused holds the keys of the records that the store refuses for their content. The caller
	// sets it before Committed.
	Refused   []string
	startedAt time.Time
	// placedTasks are the tasks that the records name with their new worker, and extendedTasks
	// those of which they say that the lease may be extended although the start is unanswered.
	placedTasks   []*task
	extendedTasks []*task
	// Workers number the ends of their runs. lastEndNumberByWorker maps a worker to
	// the number of the last end whose effect is in the records.
	lastEndNumberByWorker map[*worker]int64
	// jobStates maps each job to the state that its record contains.
	jobStates map[*job]work.State
	// reopenedLeases are the IDs of the workers whose leases the records reopen.
	reopenedLeases []string
}

// NextCommit returns the next commit to store, or nil if nothing has changed. The
// caller must store the commits one at a time, in the order in which NextCommit
// returned them.
func (s *Scheduler) NextCommit(now time.Time) *Commit {
	c := &Commit{EndOffset: UnknownOffset, startedAt: now, lastEndNumberByWorker: map[*worker]int64{}, jobStates: map[*job]work.State{}}
	// Deletions come first, since a job may have been submitted again meanwhile.
	for _, id := range s.expiredJobs {
		c.Records = append(c.Records, store.Record{Key: id})
	}
	s.expiredJobs = nil
	var progress []store.Record
	for _, id := range slices.Sorted(maps.Keys(s.dirtyJobs)) {
		j := s.dirtyJobs[id]
		progress = append(progress, store.Record{Key: id, Value: work.Encode(j.progress(now))})
		c.jobStates[j] = j.state
		for _, t := range j.tasksWhere(func(t *task) bool { return t.phase == phasePlaced && !t.inCommit }) {
			t.inCommit = true
			s.recordWorker(t.worker)
			t.leaseDeadline = t.worker.leaseDeadline(now, s.leadershipEnd(), s.timing)
			c.placedTasks = append(c.placedTasks, t)
		}
		c.extendedTasks = append(c.extendedTasks, j.tasksWhere(func(t *task) bool { return t.lateExtension == lateExtensionNoted })...)
	}
	// Records of workers come before the placements on them, and are deleted after these, since
	// the caller may store the records in several appends.
	workers, workerDeletions := s.takeWorkerRecords(now)
	c.reopenedLeases = s.reopenedLeases()
	c.Records = slices.Concat(c.Records, workers, progress, workerDeletions)
	clear(s.dirtyJobs)
	for w := range s.workersWithNewEnds {
		if w.removed || w.lastHandledEndNumber == w.lastStoredEndNumber {
			delete(s.workersWithNewEnds, w)
			continue
		}
		c.lastEndNumberByWorker[w] = w.lastHandledEndNumber
	}
	if len(c.Records) == 0 && len(c.lastEndNumberByWorker) == 0 {
		return nil
	}
	return c
}

// Committed must be called once a commit is stored. It orders the starts whose
// placements are now stored. A commit without records needs no append, so it does not
// confirm that this VM is still the leader, nor does one whose records are all refused.
func (s *Scheduler) Committed(c *Commit, now time.Time) {
	if len(c.Records) > len(c.Refused) {
		s.lastConfirmedAppendStart = c.startedAt
	}
	s.failRefusedJobs(c, now)
	s.logEndsStored(c)
	s.leasesReopened(c.reopenedLeases)
	for j, state := range c.jobStates {
		if j.storedState.Ended() {
			continue
		}
		if state.Ended() {
			s.log.Info("job_end_stored", "job", j.spec.ID, "state", string(state), "after_ms", now.Sub(j.endedAt).Milliseconds())
		}
		j.storedState = state
		s.reportIfEnded(j, state)
	}
	for w, number := range c.lastEndNumberByWorker {
		w.lastStoredEndNumber = number
	}
	for _, t := range c.extendedTasks {
		if t.lateExtension == lateExtensionNoted {
			t.lateExtension = lateExtensionStored
		}
	}
	for _, t := range c.placedTasks {
		if t.phase == phasePlaced && t.inCommit {
			s.orderStart(t, c.startedAt, now)
		}
	}
}

// failRefusedJobs ends the jobs whose progress the store refuses for its content: it can't be
// stored later either, and a run that isn't stored could start again under the next leader. No
// start of the commit is ordered for them.
func (s *Scheduler) failRefusedJobs(c *Commit, now time.Time) {
	for _, id := range c.Refused {
		j := s.jobs[id]
		if j == nil {
			continue
		}
		delete(c.jobStates, j)
		if !j.state.Ended() {
			s.log.Info("job_failed", "job", id, "reason", "progress refused")
			s.endJob(j, work.Failed, now)
		}
	}
}

// AppendConfirmed must be called when the store has accepted an append of this leader
// that is not a commit. appendStart is when the append began.
func (s *Scheduler) AppendConfirmed(appendStart time.Time) { s.lastConfirmedAppendStart = appendStart }

// leadershipEnd returns the time until which this leader may extend leases if the
// store accepts no further append.
func (s *Scheduler) leadershipEnd() time.Time {
	return s.lastConfirmedAppendStart.Add(s.timing.LeadershipLease)
}

// orderStart orders the worker of a task to start it, once the placement is stored.
// If the worker cannot be used any more or drains, its ticket has expired, the commit is too
// old or the cap of the team was lowered below its use, the task is requeued instead.
func (s *Scheduler) orderStart(t *task, commitStart, now time.Time) {
	w := t.worker
	t.inCommit = false
	if w.removed || w.registration.Draining || w.tokenUnconfirmed() || s.isLeaseClosed(w) || t.step.advice.isTicketExpired(w, now) || now.Sub(commitStart) > maxStartDelay || s.isAboveQuota(t.step.job) {
		s.log.Info("start_withdrawn", "task", t.id.String(), "run", t.runNumber, "worker", w.registration.Life.ID, "born", w.registration.Life.Born, "age_ms", now.Sub(commitStart).Milliseconds())
		s.requeueTask(t, "withdrawn")
		s.stopOtherGangMembers(t, now)
		return
	}
	ticket := t.step.advice.tickets[w]
	t.phase, t.startToken, t.startedAt, t.orderedAt, t.commitStartedAt = phaseStartOrdered, w.startToken(ticket), now, now, commitStart
	t.startUnanswered, t.lateExtension = false, noLateExtension
	t.executableUntil, t.ticketed, t.ticketReceivedAt = s.latestExecution(ticket, now), ticket.text != "", ticket.receivedAt
	w.extendLease(commitStart, s.timing)
	if j := t.step.job; !j.anyStartOrdered {
		j.anyStartOrdered = true
		s.addObservation("first_start", j, now.Sub(j.submittedAt))
	}
	s.log.Info("start_ordered", "task", t.id.String(), "run", t.runNumber, "worker", w.registration.Life.ID, "born", w.registration.Life.Born, "token", t.startToken, "waited_ms", now.Sub(t.step.openedAt).Milliseconds())
	s.logIfRepeated(t, now)
	order := Order[backend.Start]{Worker: w.registration.Life, Order: backend.Start{
		Task: t.id, Run: t.runNumber, Payload: t.step.job.spec.Payload, Deadline: t.leaseDeadline, Token: t.startToken,
		Checkpoint: t.checkpoint, Ticket: t.step.advice.ticketText(w),
	}}
	if w.acknowledging {
		t.startDelayed = true
		w.delayedStarts = append(w.delayedStarts, order)
		return
	}
	s.effects.Starts = append(s.effects.Starts, order)
}

// latestExecution returns the time after which no process of a worker executes a start order
// that is sent now. ticket is the one that the order carries, or the zero value.
func (s *Scheduler) latestExecution(ticket ticket, now time.Time) time.Time {
	latest := now.Add(s.timing.MaxOrderDelay)
	if ticket.text != "" && ticket.refusedAfter.Before(latest) {
		return ticket.refusedAfter
	}
	return latest
}

// maxStartDelay is the largest age of a commit at which its starts are still ordered.
// It is shorter than the lease, so that no start takes effect after the time for
// which the next leader waits before it requeues the tasks.
const maxStartDelay = 3 * time.Second

// tasksWhere returns the tasks of a job that meet a condition.
func (j *job) tasksWhere(condition func(t *task) bool) []*task {
	var tasks []*task
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if condition(t) {
					tasks = append(tasks, t)
				}
			}
		}
	}
	return tasks
}

// progress returns the progress record of a job, for a commit that begins now.
func (j *job) progress(now time.Time) *work.Progress {
	p := &work.Progress{State: j.state, Started: j.anyTaskPlaced, DoneOccurrences: j.doneOccurrences}
	if j.state.Ended() {
		p.Ended = j.endedAt.UnixMilli()
	}
	for r := range j.orphanedRuns {
		id, life := r.run.task, r.worker.registration.Life
		p.Orphaned = append(p.Orphaned, work.OrphanedRun{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, Run: r.run.runNumber, Worker: life.ID, Born: life.Born, ExecutableFor: timeLeft(r.worker.orphanedRuns[r.run].lateUntil, now)})
	}
	slices.SortFunc(p.Orphaned, func(a, b work.OrphanedRun) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Born, b.Born))
	})
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if sp, ok := st.progress(now); ok {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// executableUntilForSuccessors returns the time after which no process executes the start order of
// a task, as later leaders must assume. This VM may be suspended before it sends the order.
func (t *task) executableUntilForSuccessors() time.Time {
	if orderedByThisLeader := t.startToken != 0; orderedByThisLeader && !t.ticketed {
		return t.executableUntil.Add(maxStartDelay)
	}
	return t.executableUntil
}

// timeLeft returns how long it is until a time, which may be the zero value. It is negative if
// that has passed, and not below -longAgo.
func timeLeft(until, now time.Time) *time.Duration {
	const longAgo = time.Hour
	left := max(until.Sub(now), -longAgo)
	return &left
}

// progress returns the part of the progress record that describes a step. The bool is
// false if there is nothing to store about the step.
func (st *step) progress(now time.Time) (work.StepProgress, bool) {
	sp := work.StepProgress{Occurrence: st.id.Occurrence, Step: st.id.Step}
	ended := st.job.state.Ended()
	if st.tasksLeft == 0 && !ended {
		sp.Done = true
		return sp, true
	}
	for _, t := range st.tasks {
		if t.runNumber == 0 || (ended && !t.onWorker()) {
			continue
		}
		tp := work.TaskProgress{Index: t.id.Index, Done: t.phase == phaseDone, Run: t.runNumber, Failed: t.failedRuns, Checkpoint: t.checkpoint}
		if t.worker != nil {
			tp.Worker, tp.Born = t.worker.registration.Life.ID, t.worker.registration.Life.Born
			tp.Listed, tp.Extended = t.runReported, t.lateExtension != noLateExtension
			if t.phase != phasePlaced && !t.startSettled && !t.startDelayed {
				tp.ExecutableFor = timeLeft(t.executableUntilForSuccessors(), now)
			}
		}
		sp.Tasks = append(sp.Tasks, tp)
	}
	return sp, len(sp.Tasks) > 0
}
