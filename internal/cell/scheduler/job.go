package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/interference"
	"github.com/almondpost/almondpost/internal/cell/work"
)

// job is an accepted job and its progress.
type job struct {
	spec *work.Job
	// state is the current state, which may not be stored yet. storedState is the
	// state that was stored last and is safe to show to callers.
	state       work.State
	storedState work.State
	// anyTaskPlaced is true once a worker was chosen for any task. anyStartOrdered is
	// true once the start of any task was ordered.
	anyTaskPlaced, anyStartOrdered bool
	// anyRunReported is true once a worker has reported a run of any task, or its end.
	anyRunReported bool
	// restored says what was read about the job at the take-over. It is only logged.
	restored restoredProgress
	// submittedAt is when an entry VM accepted the job.
	submittedAt time.Time
	// endedAt is when state became final.
	endedAt time.Time
	// endTold is true once this leader has told anyone the final state.
	endTold bool
	// occurrences holds the open occurrences and some that have completed, without gaps.
	// doneOccurrences is the number of the first: all earlier ones have completed.
	occurrences     []*occurrence
	doneOccurrences int
	// tasksReleased is true after releaseTasks has dropped the occurrences of an ended job.
	tasksReleased bool
	// submissionStored is true while a submission or cancellation may be stored that the caller
	// was not told to delete. submissionDeletions counts the deletions that the caller was told to make and
	// that are not stored yet.
	submissionStored    bool
	submissionDeletions int
	// nextOccurrenceNumber is the number of the first occurrence that has not been
	// opened yet.
	nextOccurrenceNumber int
	// waitingTasks counts the tasks of open steps that wait for a worker.
	// tasksOnWorkers counts the tasks that use capacity of a worker.
	waitingTasks, tasksOnWorkers int
	// orphanedRuns contains the orphaned runs that are charged to the team of the job.
	orphanedRuns map[runOnWorker]bool
	// beyondRate is true if the job exceeds the rate that is guaranteed to its team.
	beyondRate bool
	// leftOut is true if the last scheduling pass left the job out.
	leftOut bool
	// remainingRuns describes the runs that may exist when the job ends.
	remainingRuns remainingRuns
	// criticalPaths holds, for each step, the declared run time of its critical path:
	// the longest chain of dependent steps that ends with it.
	criticalPaths []time.Duration
}

// occurrence is one execution of all steps of a job. Only a repeated job has more
// than one.
type occurrence struct {
	number int
	steps  []*step
	// stepsLeft counts the steps that have not completed.
	stepsLeft int
}

// step is a step of one occurrence, with its tasks.
type step struct {
	job        *job
	occurrence *occurrence
	id         work.StepID
	spec       *work.Step
	tasks      []*task
	// tasksLeft counts the tasks that have not completed.
	tasksLeft int
	// open is true once all steps that this step depends on have completed, so that
	// its tasks may start.
	open     bool
	openedAt time.Time
	// lastPlacedAt is when a worker was last chosen for a task of the step.
	lastPlacedAt time.Time
	wait         stepWait
	advice       advice
}

// taskPhase says how far a task has come.
type taskPhase int

const (
	// phaseWaiting means that the task is on no worker and waits for one.
	phaseWaiting taskPhase = iota
	// phasePlaced means that a worker was chosen for the task, but this placement is
	// not stored yet.
	phasePlaced
	// phaseStartOrdered means that the start was ordered, but the worker has not
	// confirmed it. The task may already run.
	phaseStartOrdered
	// phaseRunning means that the worker has confirmed that the task runs.
	phaseRunning
	// phaseStopping means that the worker was ordered to stop the task, which may
	// still run.
	phaseStopping
	// phaseDone means that the task has completed, or that its job has ended.
	phaseDone
)

// String returns the name of the phase for logs.
func (p taskPhase) String() string {
	return [...]string{"waiting", "placed", "start_ordered", "running", "stopping", "done"}[p]
}

// task is one task of a step.
type task struct {
	id    work.TaskID
	step  *step
	phase taskPhase
	// runNumber is the number of the latest run. Each run of the task has a higher
	// number than the one before.
	runNumber int64
	// failedRuns lists the numbers of the failed runs. Each is listed once, even if
	// its failure is reported several times. Of a lasting task, it lists only the first.
	failedRuns []int64
	// worker is the worker whose capacity the task uses, or nil.
	worker *worker
	// startToken is the fencing token in the start order. It is 0 if an earlier
	// leader ordered the start.
	startToken int64
	// confirmedAtSequence is the value of Scheduler.eventSequence when the worker
	// confirmed the run. A report was made after that only if its hold has a higher
	// number.
	confirmedAtSequence int64
	// runConfirmed is true once the worker has confirmed the run.
	runConfirmed bool
	// orderedAt is when the start was ordered, or by when its placement was stored if an
	// earlier leader ordered it.
	orderedAt time.Time
	// commitStartedAt is when the commit with the placement began. The start is not sent later
	// than maxStartDelay after that.
	commitStartedAt time.Time
	// executableUntil is the time after which no process of the worker executes the start
	// order any more. ticketed is true if the order carried a ticket of the adviser: only
	// the process that ran when the ticket was issued executes it.
	executableUntil time.Time
	ticketed        bool
	// ticketReceivedAt is when that ticket arrived, or zero if an earlier leader ordered the start.
	ticketReceivedAt time.Time
	// startSettled is true once a process of the worker is known to have executed or
	// refused the start order, so that none executes it later. runReported is true once
	// the present process is known to have the run, from its report or from its answer to
	// the start.
	startSettled, runReported bool
	// startUnanswered is true if the start order was not answered, as far as this leader knows.
	startUnanswered bool
	lateExtension   lateExtension
	// startDelayed is true while the start is in worker.delayedStarts.
	startDelayed bool
	// inCommit is true while a commit with the placement of the task is being stored.
	inCommit bool
	// leaseDeadline is the time on the worker's clock at which the lease in the start
	// order ends.
	leaseDeadline time.Duration
	checkpoint    string
	percentDone   int
	// reportedMeasurement is the last measurement of the run that the worker
	// reported: for a serving task its tail latency in milliseconds, for any other
	// task the milliprocessors that it uses.
	reportedMeasurement int64
	// pacePercent is the speed at which the worker is told to run the task, in
	// percent of full speed.
	pacePercent int
	// paceUnconfirmed is true if the run may have another pace: an order was lost, or an
	// earlier leader may have ordered one.
	paceUnconfirmed bool
	// interference is what is kept of the run between two reports to learn how much tasks
	// slow each other down. movedByInterference is true if the task was placed on another
	// worker than it would have been without that.
	interference        interference.Track
	movedByInterference bool
	// startedAt is when the task was placed on its worker. Once the start is ordered,
	// it is the time of that order.
	startedAt time.Time
	// failedWorkers lists the IDs of the last maxFailedWorkersPerTask workers on which the
	// task has failed. It is placed on other workers if possible.
	failedWorkers []string
	// placeNotBefore is the earliest time at which the task may be placed again.
	placeNotBefore time.Time
	stopSentAt     time.Time
	// stoppingSince is when the first stop of the run was ordered. unsettledLogged is true once
	// a line task_unsettled has named the run. Both are only logged.
	stoppingSince   time.Time
	unsettledLogged bool
	// earlier describes the last run before the next start. It is nil if the task was not
	// restored and no run of it has ended early since its last start. It is only logged.
	earlier *earlierRun
}

// onWorker reports whether the task uses capacity of a worker.
func (t *task) onWorker() bool { return t.phase != phaseWaiting && t.phase != phaseDone }

// Submit adds a job after its submission was stored. A job that is already known is
// not added again. If the known job has ended, the caller is told to delete the
// repeated submission too, so that it does not stay in the store for longer than the
// progress record.
func (s *Scheduler) Submit(spec *work.Job, now time.Time) {
	if j := s.jobs[spec.ID]; j != nil {
		j.submissionStored = true
		return
	}
	j := s.addJob(spec, now)
	s.log.Info("job_received", "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps), "age_ms", now.Sub(j.submittedAt).Milliseconds())
	s.openDueOccurrencesOfJob(j, now)
	if _, cancelled := s.earlyCancellations[spec.ID]; cancelled {
		delete(s.earlyCancellations, spec.ID)
		s.Cancel(spec.ID, now)
	}
	s.scheduleUrgentJob(j, now)
}

// maxJobAge is the largest age that a job is assumed to have when it is submitted.
// The age is the difference between the clocks of two VMs, and either clock can jump.
const maxJobAge = time.Minute

func (s *Scheduler) addJob(spec *work.Job, now time.Time) *job {
	age := min(max(now.Sub(s.toSchedulerClock(spec.Accepted)), 0), maxJobAge)
	j := &job{spec: spec, state: work.Queued, storedState: work.Queued, submittedAt: now.Add(-age), submissionStored: true, criticalPaths: spec.CriticalPaths()}
	if d := spec.Definition; d != nil && d.Advice == nil {
		s.servicesWithoutAdvice[d.Service] = true
	}
	s.jobs[spec.ID] = j
	s.activeJobs[spec.ID] = j
	j.beyondRate = s.exceedsRate(j)
	return j
}

// Cancel ends a job because its caller has cancelled it. It must be called once the
// cancellation was read from the store.
func (s *Scheduler) Cancel(id string, now time.Time) {
	j := s.jobs[id]
	if j == nil {
		s.earlyCancellations[id] = now
		return
	}
	if j.state.Ended() {
		j.submissionStored = true // The cancellation is deleted together with the submission.
		return
	}
	s.log.Info("job_cancelled", "job", id, "running", j.tasksOnWorkers, "waiting", j.waitingTasks)
	s.endJob(j, work.Cancelled, now)
}

// endJob moves a job to a final state and orders the workers to stop its tasks.
func (s *Scheduler) endJob(j *job, state work.State, now time.Time) {
	j.state, j.endedAt = state, now
	delete(s.activeJobs, j.spec.ID)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.endTask(t, now)
			}
			s.dispatcher.removePendingStep(st)
			st.advice = advice{}
		}
	}
	j.waitingTasks = 0
	j.noteRemainingRuns(now)
	s.markJobDirty(j)
	s.reportIfEnded(j, state)
}

// reportIfEnded adds a job to the effects if the given state is final.
func (s *Scheduler) reportIfEnded(j *job, state work.State) {
	if state.Ended() {
		s.effects.EndedJobs = append(s.effects.EndedJobs, j.spec.ID)
	}
}

// markJobDirty notes that the progress of a job has changed and must be stored.
func (s *Scheduler) markJobDirty(j *job) {
	s.dirtyJobs[j.spec.ID] = j
	s.schedulingNeeded = true
}

// openDueOccurrences opens the occurrences of all active jobs that are due.
func (s *Scheduler) openDueOccurrences(now time.Time) {
	for _, j := range s.activeJobs {
		s.openDueOccurrencesOfJob(j, now)
	}
}

// maxHeldTasks limits the tasks of the occurrences of a repeated job that are held at the
// same time, unless a single occurrence has more. It bounds the memory and the progress
// record of a job of which many occurrences are due at once.
const maxHeldTasks = 1024

// dropDoneOccurrences drops the completed occurrences before the first one that has not
// completed, if no further occurrence may be opened otherwise. It reports whether one may.
func (s *Scheduler) dropDoneOccurrences(j *job) bool {
	limit := max(maxHeldTasks/j.spec.TasksPerOccurrence(), 1)
	if len(j.occurrences) < limit {
		return true
	}
	done := slices.IndexFunc(j.occurrences, func(o *occurrence) bool { return o.stepsLeft > 0 })
	if done < 0 {
		done = len(j.occurrences)
	}
	if done == 0 {
		return false
	}
	j.occurrences = slices.Delete(j.occurrences, 0, done)
	j.doneOccurrences += done
	s.markJobDirty(j)
	return true
}

// openDueOccurrencesOfJob opens the occurrences of one job that are due, as many as may be
// held.
func (s *Scheduler) openDueOccurrencesOfJob(j *job, now time.Time) {
	for j.nextOccurrenceNumber < j.spec.Occurrences() && (j.spec.Repeat == nil || !now.Before(s.toSchedulerClock(j.spec.Due(j.nextOccurrenceNumber)).Add(-s.timing.EarlyStart))) {
		if !s.dropDoneOccurrences(j) {
			return
		}
		o := s.addOccurrence(j, j.nextOccurrenceNumber)
		j.nextOccurrenceNumber++
		s.openReadySteps(o, now)
	}
}

func (s *Scheduler) addOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, stepsLeft: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		st := &step{job: j, occurrence: o, id: work.StepID{Job: j.spec.ID, Occurrence: number, Step: i}, spec: spec, tasksLeft: spec.Count}
		st.tasks = make([]*task, spec.Count)
		for k := range st.tasks {
			st.tasks[k] = &task{id: work.TaskID{StepID: st.id, Index: k}, step: st, pacePercent: fullPacePercent}
		}
		o.steps = append(o.steps, st)
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// openReadySteps opens the steps of an occurrence for which all steps that they
// depend on have completed.
func (s *Scheduler) openReadySteps(o *occurrence, now time.Time) {
	for _, st := range o.steps {
		if st.open || st.tasksLeft == 0 {
			continue
		}
		ready := true
		for _, a := range st.spec.After {
			ready = ready && o.steps[a].tasksLeft == 0
		}
		if !ready {
			continue
		}
		st.open, st.openedAt = true, now
		for _, t := range st.tasks {
			if t.phase == phaseWaiting {
				st.job.waitingTasks++
			}
		}
		s.schedulingNeeded = true
	}
}

// requeueTask takes a task off its worker and lets it wait for another one. If its
// job has ended, the task becomes done instead. how says why the run counts as ended.
func (s *Scheduler) requeueTask(t *task, how string) {
	j := t.step.job
	if !j.state.Ended() {
		t.noteEarlierRun(how)
	}
	s.releaseTaskCapacity(t)
	t.phase, t.percentDone, t.pacePercent, t.runConfirmed = phaseWaiting, 0, fullPacePercent, false
	if j.state.Ended() {
		t.phase = phaseDone
		s.markJobDirty(j) // The stored record names the worker of the task.
		return
	}
	if t.step.open {
		j.waitingTasks++
	}
	s.markJobDirty(j)
}

// releaseTaskCapacity frees the capacity that a task uses on its worker.
func (s *Scheduler) releaseTaskCapacity(t *task) {
	if t.worker == nil {
		return
	}
	t.worker.removeTask(t)
	t.worker = nil
	t.inCommit = false
	t.step.job.tasksOnWorkers--
}

// completeTask marks a task as completed. If it is the last task of its step, the
// steps that depend on this step are opened. If it is the last task of the job, the
// job completes.
func (s *Scheduler) completeTask(t *task, now time.Time) {
	if t.phase == phaseDone {
		return
	}
	j := t.step.job
	if t.phase == phaseWaiting && t.step.open {
		j.waitingTasks--
	}
	s.releaseTaskCapacity(t)
	t.phase, t.earlier = phaseDone, nil
	t.step.tasksLeft--
	s.markJobDirty(j)
	if t.step.tasksLeft > 0 || j.state.Ended() {
		return
	}
	s.dispatcher.removePendingStep(t.step)
	t.step.advice = advice{} // Done steps are kept for the record of their job.
	o := t.step.occurrence
	o.stepsLeft--
	if o.stepsLeft > 0 {
		s.openReadySteps(o, now)
		s.scheduleUrgentJob(j, now)
		return
	}
	s.completeJobIfDone(j, now)
}

// completeJobIfDone completes a job when all its occurrences have completed.
func (s *Scheduler) completeJobIfDone(j *job, now time.Time) {
	if j.nextOccurrenceNumber < j.spec.Occurrences() {
		return
	}
	for _, o := range j.occurrences {
		if o.stepsLeft > 0 {
			return
		}
	}
	s.log.Info("job_completed", "job", j.spec.ID, "queue", j.spec.Queue, "took_ms", now.Sub(j.submittedAt).Milliseconds())
	s.addObservation("completed", j, now.Sub(j.submittedAt))
	s.endJob(j, work.Completed, now)
}

// endTask ends or stops a task whose job has ended.
func (s *Scheduler) endTask(t *task, now time.Time) {
	switch t.phase {
	case phaseWaiting:
		t.phase = phaseDone
	case phasePlaced:
		s.releaseTaskCapacity(t)
		t.phase = phaseDone
	case phaseStartOrdered, phaseRunning:
		s.stopTask(t, now)
	case phaseStopping, phaseDone:
	}
}

// findTask returns the task with this ID, or nil if there is none or its occurrence was
// dropped.
func (s *Scheduler) findTask(id work.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	s.restoreReleasedTasks(j)
	i := id.Occurrence - j.doneOccurrences
	if i < 0 || i >= len(j.occurrences) || id.Step >= len(j.occurrences[i].steps) {
		return nil
	}
	if tasks := j.occurrences[i].steps[id.Step].tasks; id.Index < len(tasks) {
		return tasks[id.Index]
	}
	return nil
}
