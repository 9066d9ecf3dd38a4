package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// job is an accepted job with its progress.
type job struct {
	spec *work.Job
	// state follows the events; storedState is the last stored state, which is safe
	// to show to callers.
	state       work.State
	storedState work.State
	// anyTaskPlaced is true once a task was placed on a worker; anyTaskOrdered is
	// true once a start was ordered.
	anyTaskPlaced, anyTaskOrdered bool
	// submittedAt is when an entry VM accepted the job.
	submittedAt time.Time
	// endedAt is when state became final.
	endedAt     time.Time
	occurrences []*occurrence
	// submissionDropped is true once the submission was listed for deletion.
	submissionDropped bool
	// nextOccurrence is the number of the next occurrence to open.
	nextOccurrence int
	// waitingTasks counts the tasks of open steps that wait for a worker;
	// tasksOnWorkers counts those that take room on one.
	waitingTasks, tasksOnWorkers int
	// declaredPaths holds, for each step, the declared run time of the longest
	// dependency path that ends with it.
	declaredPaths []time.Duration
}

// occurrence is one execution of all steps of a job. Only a repeated job has
// several.
type occurrence struct {
	number int
	due    time.Time
	steps  []*step
	// stepsLeft counts the steps that have not completed.
	stepsLeft int
}

// step is a step of one occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	id         work.StepID
	spec       *work.Step
	tasks      []*task
	// tasksLeft counts the tasks that have not completed.
	tasksLeft int
	// open is true once every step that this one depends on has completed.
	open     bool
	openedAt time.Time
	advice   advice
}

// phase is the state of a task.
type phase int

const (
	// phaseWaiting means that the task is on no worker.
	phaseWaiting phase = iota
	// phasePlaced means that the task has a worker, but its placement is not stored
	// yet.
	phasePlaced
	// phaseOrdered means that the run may exist, but the worker has not confirmed
	// it.
	phaseOrdered
	// phaseRunning means that the worker has confirmed the run.
	phaseRunning
	// phaseStopping means that a stop was ordered and the run may still exist.
	phaseStopping
	// phaseDone means that the task has completed, or that its job has ended.
	phaseDone
)

// task is one task of a step.
type task struct {
	id    work.TaskID
	step  *step
	phase phase
	// run is the number of the latest run. It only increases.
	run int64
	// failedRuns lists the failed runs. A run that is reported as failed several
	// times is listed once.
	failedRuns []int64
	// worker is the worker on which the task takes room, or nil.
	worker *worker
	// startToken is the fencing token of the start order; 0 means that this leader
	// has not ordered the run.
	startToken int64
	// confirmedSequence is the value of Scheduler.sequence when the worker confirmed
	// the run. A report is newer than the confirmation only if its hold was sent
	// later.
	confirmedSequence int64
	// runConfirmed is true once the worker has confirmed the run.
	runConfirmed bool
	// inCommit is true while the record of the placement is being stored.
	inCommit bool
	// leaseDeadline is the end of the lease in the start order, by the worker's
	// clock.
	leaseDeadline time.Duration
	checkpoint    string
	percentDone   int
	// reportedFigure is the tail latency of a serving task in milliseconds, or the
	// milliprocessors that any other task uses.
	reportedFigure int64
	// pace is the current pace of the run, in percent of its full speed.
	pace int
	// startedAt is when the run was placed and, later, when its start was ordered.
	startedAt time.Time
	// avoidedWorker is the ID of the worker on which the task failed last.
	avoidedWorker string
	// notBefore is the earliest time at which the task may be placed again.
	notBefore  time.Time
	stopSentAt time.Time
}

// onWorker reports whether the task takes room on a worker.
func (t *task) onWorker() bool { return t.phase != phaseWaiting && t.phase != phaseDone }

// Submit adds a job whose submission is stored. A job that is already known is
// ignored. If it has ended, it was submitted once more: its submission is then
// dropped again, so that it does not outlive the progress record.
func (s *Scheduler) Submit(spec *work.Job, now time.Time) {
	if j := s.jobs[spec.ID]; j != nil {
		j.submissionDropped = false
		return
	}
	j := s.addJob(spec, now)
	s.log.Info("job_received", "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps), "age_ms", now.Sub(j.submittedAt).Milliseconds())
	s.openOccurrencesOf(j, now)
	if _, cancelled := s.earlyCancellations[spec.ID]; cancelled {
		delete(s.earlyCancellations, spec.ID)
		s.Cancel(spec.ID, now)
	}
	s.planUrgentJob(j, now)
}

// maxJobAge bounds the age of a submitted job. The age compares the clocks of two
// VMs, and either clock can jump.
const maxJobAge = time.Minute

func (s *Scheduler) addJob(spec *work.Job, now time.Time) *job {
	age := min(max(now.Sub(s.toClock(spec.Accepted)), 0), maxJobAge)
	j := &job{spec: spec, state: work.Queued, storedState: work.Queued, submittedAt: now.Add(-age), declaredPaths: spec.CriticalPaths()}
	s.jobs[spec.ID] = j
	s.active[spec.ID] = j
	return j
}

// Cancel ends a job at its caller's request. The caller of Cancel has read the
// cancellation from the store.
func (s *Scheduler) Cancel(id string, now time.Time) {
	j := s.jobs[id]
	if j == nil {
		s.earlyCancellations[id] = now
		return
	}
	if j.state.Ended() {
		return
	}
	s.log.Info("job_cancelled", "job", id, "running", j.tasksOnWorkers, "waiting", j.waitingTasks)
	s.endJob(j, work.Cancelled, now)
	j.storedState = work.Cancelled
}

// endJob moves a job to a final state and stops the runs that still exist.
func (s *Scheduler) endJob(j *job, state work.State, now time.Time) {
	j.state, j.endedAt = state, now
	delete(s.active, j.spec.ID)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.endTask(t, now)
			}
			s.dispatcher.dequeue(st)
		}
	}
	j.waitingTasks = 0
	s.markDirty(j)
}

// markDirty marks the progress of a job as changed.
func (s *Scheduler) markDirty(j *job) {
	s.dirtyJobs[j.spec.ID] = j
	s.planNeeded = true
}

// openDueOccurrences opens the due occurrences of all active jobs.
func (s *Scheduler) openDueOccurrences(now time.Time) {
	for _, j := range s.active {
		s.openOccurrencesOf(j, now)
	}
}

// openOccurrencesOf opens the due occurrences of one job.
func (s *Scheduler) openOccurrencesOf(j *job, now time.Time) {
	for j.nextOccurrence < j.spec.Occurrences() && (j.spec.Repeat == nil || !now.Before(s.toClock(j.spec.Due(j.nextOccurrence)).Add(-s.timing.EarlyStart))) {
		o := s.addOccurrence(j, j.nextOccurrence, now)
		j.nextOccurrence++
		s.openReadySteps(o, now)
	}
}

func (s *Scheduler) addOccurrence(j *job, number int, now time.Time) *occurrence {
	o := &occurrence{number: number, due: now, stepsLeft: len(j.spec.Steps)}
	if j.spec.Repeat == nil {
		o.due = j.submittedAt
	}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		st := &step{job: j, occurrence: o, id: work.StepID{Job: j.spec.ID, Occurrence: number, Step: i}, spec: spec, tasksLeft: spec.Count}
		st.tasks = make([]*task, spec.Count)
		for k := range st.tasks {
			st.tasks[k] = &task{id: work.TaskID{StepID: st.id, Index: k}, step: st, pace: fullPace}
		}
		o.steps = append(o.steps, st)
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// openReadySteps opens the steps whose dependencies have all completed.
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
		s.planNeeded = true
	}
}

// requeue takes a task off its worker, so that it can be placed again. If its job
// has ended, the task is done instead.
func (s *Scheduler) requeue(t *task) {
	s.releaseRoom(t)
	j := t.step.job
	t.phase, t.percentDone, t.pace, t.runConfirmed = phaseWaiting, 0, fullPace, false
	if j.state.Ended() {
		t.phase = phaseDone
		return
	}
	if t.step.open {
		j.waitingTasks++
	}
	s.markDirty(j)
}

// releaseRoom frees the room that a task takes on its worker.
func (s *Scheduler) releaseRoom(t *task) {
	if t.worker == nil {
		return
	}
	t.worker.removeTask(t)
	t.worker = nil
	t.inCommit = false
	t.step.job.tasksOnWorkers--
}

// completeTask marks a task as completed. The last task of a step opens the steps
// that depend on it, or completes the job.
func (s *Scheduler) completeTask(t *task, now time.Time) {
	if t.phase == phaseDone {
		return
	}
	j := t.step.job
	if t.phase == phaseWaiting && t.step.open {
		j.waitingTasks--
	}
	s.releaseRoom(t)
	t.phase = phaseDone
	t.step.tasksLeft--
	s.markDirty(j)
	if t.step.tasksLeft > 0 || j.state.Ended() {
		return
	}
	s.dispatcher.dequeue(t.step)
	o := t.step.occurrence
	o.stepsLeft--
	if o.stepsLeft > 0 {
		s.openReadySteps(o, now)
		s.planUrgentJob(j, now)
		return
	}
	s.completeJobIfDone(j, now)
}

// completeJobIfDone completes a job when all its occurrences have completed.
func (s *Scheduler) completeJobIfDone(j *job, now time.Time) {
	if j.nextOccurrence < j.spec.Occurrences() {
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

// endTask ends a task whose job has ended.
func (s *Scheduler) endTask(t *task, now time.Time) {
	switch t.phase {
	case phaseWaiting:
		t.phase = phaseDone
	case phasePlaced:
		s.releaseRoom(t)
		t.phase = phaseDone
	case phaseOrdered, phaseRunning:
		s.stopTask(t, now)
	case phaseStopping, phaseDone:
	}
}

// stopTask orders the worker of a task to stop its run.
func (s *Scheduler) stopTask(t *task, now time.Time) {
	if t.phase == phaseOrdered && t.startToken == 0 {
		return // A run of an earlier leader: the first hold shows whether it still exists.
	}
	t.phase, t.stopSentAt = phaseStopping, now
	s.orderStop(t.worker, t.id, t.run)
}

// orderStop orders a worker to stop a run.
func (s *Scheduler) orderStop(w *worker, id work.TaskID, run int64) {
	s.log.Info("stop_ordered", "task", id.String(), "run", run, "worker", w.registration.Life.ID)
	s.effects.Stops = append(s.effects.Stops, Order[backend.Stop]{
		Worker: w.registration.Life, Order: backend.Stop{Task: id, Run: run, Token: w.token},
	})
}

// findTask returns the task with an ID, or nil.
func (s *Scheduler) findTask(id work.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.occurrences {
		if o.number != id.Occurrence || id.Step >= len(o.steps) {
			continue
		}
		if tasks := o.steps[id.Step].tasks; id.Index < len(tasks) {
			return tasks[id.Index]
		}
	}
	return nil
}
