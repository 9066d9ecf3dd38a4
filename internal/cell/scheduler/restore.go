package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Restore adds a job that an earlier leader scheduled, with its stored progress. p is
// nil if no progress is stored. A run that may still exist uses capacity until it is
// missing in a report of its worker or the lease has ended.
func (s *Scheduler) Restore(spec *work.Job, p *work.Progress, now time.Time) {
	if s.jobs[spec.ID] != nil {
		return
	}
	j := s.addJob(spec, now)
	j.restored.offset = UnknownOffset
	if p == nil {
		if s.restoredWithoutProgress++; s.restoredWithoutProgress <= maxLinesWithoutProgress {
			s.logRestored(j)
		}
		return
	}
	j.restored.offset = p.Offset
	j.anyTaskPlaced, j.anyStartOrdered = p.Started, p.Started
	j.state, j.storedState = p.State, p.State
	j.doneOccurrences, j.nextOccurrenceNumber = p.DoneOccurrences, p.DoneOccurrences
	j.anyRunReported = p.DoneOccurrences > 0
	if p.State.Ended() {
		j.endedAt = s.restoredRecordStoredBy(j, now)
		delete(s.activeJobs, spec.ID)
	}
	for i := range p.Steps {
		s.restoreStep(j, &p.Steps[i], now)
	}
	for i := range p.Orphaned {
		s.restoreOrphanedRun(j, &p.Orphaned[i], now)
	}
	s.restoreRemainingRuns(j, p, now)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.tasksLeft == 0 {
				o.stepsLeft--
			}
		}
		if !j.state.Ended() {
			s.stopRestoredGangs(o, now)
			s.openReadySteps(o, now)
		}
	}
	if j.state.Ended() {
		s.stopRestoredTasks(j, now)
		return
	}
	s.logRestored(j)
}

// stopRestoredGangs stops the members of each gang of which another one is on no worker. The
// earlier leader was stopping them, since all members start together; its orders may be lost.
func (s *Scheduler) stopRestoredGangs(o *occurrence, now time.Time) {
	for _, st := range o.steps {
		if i := slices.IndexFunc(st.tasks, func(t *task) bool { return t.phase == phaseWaiting }); i >= 0 {
			s.stopOtherGangMembers(st.tasks[i], now)
		}
	}
}

// maxLinesWithoutProgress limits the lines about jobs without stored progress: no task of
// such a job was placed, and there may be very many.
const maxLinesWithoutProgress = 1000

// logRestored logs what the stored progress of an active job says, so that the log tells
// which ends of its runs this leader does not know.
func (s *Scheduler) logRestored(j *job) {
	done, tasks := 0, 0
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			done += len(st.tasks) - st.tasksLeft
			tasks += len(st.tasks)
		}
	}
	j.restored.done = done
	s.log.Info("job_restored", "job", j.spec.ID, "state", string(j.state), "tasks", tasks, "done", done, "on_workers", j.tasksOnWorkers, "offset", j.restored.offset)
}

// RestoreEnded adds an ended job of which only the progress record is still stored;
// its submission has been deleted.
func (s *Scheduler) RestoreEnded(id string, p *work.Progress, now time.Time) {
	if s.jobs[id] != nil || !p.State.Ended() {
		return
	}
	s.jobs[id] = &job{spec: &work.Job{ID: id}, state: p.State, storedState: p.State, endedAt: s.history.StoredBy(p.Offset, now)}
}

func (s *Scheduler) restoreStep(j *job, p *work.StepProgress, now time.Time) {
	if p.Step >= len(j.spec.Steps) || p.Occurrence < j.doneOccurrences || p.Occurrence >= j.spec.Occurrences() {
		return
	}
	for j.nextOccurrenceNumber <= p.Occurrence {
		s.addOccurrence(j, j.nextOccurrenceNumber)
		j.nextOccurrenceNumber++
	}
	st := j.occurrences[p.Occurrence-j.doneOccurrences].steps[p.Step]
	if p.Done {
		j.anyRunReported = true
		st.tasksLeft = 0
		for _, t := range st.tasks {
			t.phase = phaseDone
		}
	}
	for i := range p.Tasks {
		if tp := &p.Tasks[i]; tp.Index < len(st.tasks) {
			s.restoreTask(st.tasks[tp.Index], tp, now)
		}
	}
	if j.state.Ended() {
		for _, t := range st.tasks {
			if t.phase == phaseWaiting {
				t.phase = phaseDone
			}
		}
	}
}

// restoreTask restores a task from its progress record. If the record names a worker,
// the task may still run there.
func (s *Scheduler) restoreTask(t *task, p *work.TaskProgress, now time.Time) {
	t.runNumber, t.failedRuns, t.checkpoint = p.Run, p.Failed, p.Checkpoint
	t.step.job.anyRunReported = t.step.job.anyRunReported || p.Done || len(p.Failed) > 0 || p.Checkpoint != ""
	if p.Done {
		t.phase = phaseDone
		t.step.tasksLeft--
		return
	}
	life := backend.Life{ID: p.Worker, Born: p.Born}
	t.earlier = &earlierRun{how: "restored", number: p.Run, restored: true, restoredLife: life, firstReport: "not_heard"}
	if p.Worker == "" {
		return
	}
	w := s.workerOfRestoredRun(life, now)
	if p.Listed && w.registration.Life != life {
		return // The process that had the run has ended.
	}
	t.phase, t.worker, t.startToken, t.orderedAt = phaseStartOrdered, w, 0, s.restoredRecordStoredBy(t.step.job, now)
	t.executableUntil, t.ticketed = s.restoredOrderLimit(t.step.job, p.ExecutableFor, now)
	t.startSettled, t.runReported, t.paceUnconfirmed = p.Listed, p.Listed, true
	t.step.job.tasksOnWorkers++
	w.addTask(t)
	if t.runReported || t.ticketed {
		return
	}
	t.startUnanswered = true
	if p.Extended {
		t.lateExtension = lateExtensionStored
		s.noteFormerHold(w, t.executableUntil, now)
	}
}

// noteFormerHold notes that earlier leaders may have extended the lease of a worker after a start
// without a ticket, which a later process executes until startUntil at the latest. Their last hold
// followed an answer of the process before the later one by at most maxHoldDelay.
func (s *Scheduler) noteFormerHold(w *worker, startUntil, now time.Time) {
	sentBy := startUntil.Add(maxHoldDelay)
	if end := s.formerLeadershipEnd(now); end.Before(sentBy) {
		sentBy = end
	}
	if last := w.formerLeaseEnd.Add(-leaseDuration(s.timing)); !w.formerLeaseEnd.IsZero() && last.Before(sentBy) {
		sentBy = last
	}
	w.noteLateHold(sentBy.Add(s.timing.MaxOrderDelay), math.MaxInt64)
}

// workerOfRestoredRun returns the worker process on which a restored run may exist, and
// takes into account that an earlier leader may have extended its lease.
func (s *Scheduler) workerOfRestoredRun(life backend.Life, now time.Time) *worker {
	w := s.workers[life]
	if latest := s.latestWorkerByID[life.ID]; latest != nil && latest.registration.Life.Born > life.Born {
		w = latest // The start order may have reached this process instead.
	}
	if w == nil {
		w = s.addWorker(backend.Registration{Life: life}, now)
	}
	s.extendFormerLease(w, now)
	s.recordWorker(w)
	return w
}

// restoreOrphanedRun restores a run that may exist beside those of the tasks of a job.
func (s *Scheduler) restoreOrphanedRun(j *job, p *work.OrphanedRun, now time.Time) {
	if p.Step >= len(j.spec.Steps) {
		return
	}
	id := work.TaskID{StepID: work.StepID{Job: j.spec.ID, Occurrence: p.Occurrence, Step: p.Step}, Index: p.Index}
	r := orphanedRun{usage: s.usageOfReported(id), eventSequence: s.eventSequence}
	r.lateUntil, r.ticketed = s.restoredOrderLimit(j, p.ExecutableFor, now)
	w := s.workerOfRestoredRun(backend.Life{ID: p.Worker, Born: p.Born}, now)
	s.putOrphanedRun(w, runID{id, p.Run}, r)
	if !r.ticketed {
		s.noteFormerHold(w, r.lateUntil, now)
	}
}

// restoredRecordStoredBy returns the time by which the progress record of a restored job was
// stored. It is not counted from the take-over: while leaders follow one another, what is
// counted from there would never end.
func (s *Scheduler) restoredRecordStoredBy(j *job, now time.Time) time.Time {
	return s.history.StoredBy(j.restored.offset, now)
}

// restoredOrderLimit returns the time after which no process executes a start order any more
// that an earlier leader has sent for a job, and whether such orders carry tickets. executableFor
// is what the record says of the order, or nil.
func (s *Scheduler) restoredOrderLimit(j *job, executableFor *time.Duration, now time.Time) (until time.Time, ticketed bool) {
	stored := s.restoredRecordStoredBy(j, now)
	until = stored
	if s.timing.MaxOrderDelay > 0 {
		// The earlier leader may have been suspended, and send the start maxStartDelay later.
		until = stored.Add(maxStartDelay + s.timing.MaxOrderDelay)
	}
	if executableFor != nil && stored.Add(*executableFor).Before(until) {
		until = stored.Add(*executableFor)
	}
	validity, ticketed := s.ticketValidity(j)
	if refused := latestTicketUse(stored, validity); ticketed && refused.Before(until) {
		until = refused
	}
	return until, ticketed
}

// ticketValidity returns how long the tickets are valid with which an earlier leader has
// started tasks of a job. ok is false if the starts may have carried none.
func (s *Scheduler) ticketValidity(j *job) (validity time.Duration, ok bool) {
	q, accepted := s.queueOf(j), j.spec.Definition
	if q == nil || q.Advice == nil || (accepted != nil && accepted.Advice == nil) {
		return 0, false
	}
	validity = q.Advice.Validity
	if accepted != nil {
		validity = max(validity, accepted.Advice.Validity)
	}
	return validity, true
}
