package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// job is a job that was accepted.
type job struct {
	spec *work.Job
	// state is what the events say; shown is what is stored and may be told.
	state work.State
	shown work.State
	// begun tells that a task has a place; ordered that an order has left.
	begun, ordered bool
	// arrived is when the caller handed the job in.
	arrived time.Time
	// ended is when state became final.
	ended       time.Time
	occurrences []*occurrence
	// dropped tells that the submission can be deleted.
	dropped bool
	// next is the number of the next occurrence to open.
	next int
	// waiting counts tasks that can be placed, running those on a worker.
	waiting, running int
	chain            []time.Duration
}

// occurrence is one run of all steps.
type occurrence struct {
	number int
	due    time.Time
	steps  []*step
	// left counts the steps that are not completed.
	left int
}

// step is a step of one occurrence.
type step struct {
	job   *job
	turn  *occurrence
	id    work.StepID
	spec  *work.Step
	tasks []*task
	// left counts the tasks that are not completed.
	left int
	// open tells that every earlier step has completed.
	open bool
	// opened is when the step opened.
	opened time.Time
	advice advice
}

type phase int

const (
	// phaseWaiting tasks are on no worker.
	phaseWaiting phase = iota
	// phaseRecorded tasks have a place; the record of it is not stored yet.
	phaseRecorded
	// phaseOrdered tasks may run; the worker has not said so.
	phaseOrdered
	// phaseRunning tasks run.
	phaseRunning
	// phaseStopping tasks were told to stop.
	phaseStopping
	// phaseDone tasks have completed.
	phaseDone
)

// task is one task of a step.
type task struct {
	id    work.TaskID
	step  *step
	phase phase
	// run is the highest run recorded; runs only rise.
	run int64
	// failed holds the runs that failed, each once however often it is reported.
	failed []int64
	// worker is set while the task takes room there.
	worker *worker
	// token is that of the start order.
	token int64
	// sequence tells when the worker confirmed the run, against holds sent.
	sequence int64
	// settled tells that the worker has confirmed the run.
	settled bool
	// inCommit tells that the record of the placement is on its way.
	inCommit   bool
	deadline   time.Duration
	checkpoint string
	percent    int
	figure     int64
	pace       int
	begun      time.Time
	// avoid is the worker on which the task failed last.
	avoid     string
	notBefore time.Time
	// stopSent is when a stop was last ordered.
	stopSent time.Time
}

// onWorker reports whether the task takes room on a worker.
func (t *task) onWorker() bool { return t.phase != phaseWaiting && t.phase != phaseDone }

// Submit takes a job that is stored. A job that is known already is ignored; if it has
// ended, its submission was stored once more and is deleted again, so that it does not
// outlive what is known of the job.
func (s *Scheduler) Submit(spec *work.Job, now time.Time) {
	if j := s.jobs[spec.ID]; j != nil {
		j.dropped = false
		return
	}
	j := s.add(spec, now)
	s.log.Info("job_received", "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps), "age_ms", now.Sub(j.arrived).Milliseconds())
	s.openOccurrences(j, now)
	if _, cancelled := s.cancelledEarly[spec.ID]; cancelled {
		delete(s.cancelledEarly, spec.ID)
		s.Cancel(spec.ID, now)
	}
	s.hasten(j, now)
}

// maxAge bounds the age of a job that clocks of two VMs give, since clocks jump.
const maxAge = time.Minute

func (s *Scheduler) add(spec *work.Job, now time.Time) *job {
	age := min(max(now.Sub(s.instant(spec.Accepted)), 0), maxAge)
	j := &job{spec: spec, state: work.Queued, shown: work.Queued, arrived: now.Add(-age), chain: spec.Chain()}
	s.jobs[spec.ID] = j
	s.active[spec.ID] = j
	return j
}

// Cancel ends a job on behalf of its caller. The cancellation is stored.
func (s *Scheduler) Cancel(id string, now time.Time) {
	j := s.jobs[id]
	if j == nil {
		s.cancelledEarly[id] = now
		return
	}
	if j.state.Ended() {
		return
	}
	s.log.Info("job_cancelled", "job", id, "running", j.running, "waiting", j.waiting)
	s.end(j, work.Cancelled, now)
	j.shown = work.Cancelled
}

// end makes a state final and stops what still runs.
func (s *Scheduler) end(j *job, state work.State, now time.Time) {
	j.state, j.ended = state, now
	delete(s.active, j.spec.ID)
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.abandon(t, now)
			}
			s.advisers.forget(st)
		}
	}
	j.waiting = 0
	s.touch(j)
}

// touch marks the progress of a job as changed.
func (s *Scheduler) touch(j *job) {
	s.dirty[j.spec.ID] = j
	s.planNeeded = true
}

// openDue opens the occurrences whose time has come.
func (s *Scheduler) openDue(now time.Time) {
	for _, j := range s.active {
		s.openOccurrences(j, now)
	}
}

// openOccurrences opens those of one job.
func (s *Scheduler) openOccurrences(j *job, now time.Time) {
	for j.next < j.spec.Occurrences() && (j.spec.Repeat == nil || !now.Before(s.instant(j.spec.Due(j.next)).Add(-s.timing.Early))) {
		o := s.newOccurrence(j, j.next, now)
		j.next++
		s.openSteps(o, now)
	}
}

func (s *Scheduler) newOccurrence(j *job, number int, now time.Time) *occurrence {
	o := &occurrence{number: number, due: now, left: len(j.spec.Steps)}
	if j.spec.Repeat == nil {
		o.due = j.arrived
	}
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		st := &step{job: j, turn: o, id: work.StepID{Job: j.spec.ID, Occurrence: number, Step: i}, spec: spec, left: spec.Count}
		st.tasks = make([]*task, spec.Count)
		for k := range st.tasks {
			st.tasks[k] = &task{id: work.TaskID{StepID: st.id, Index: k}, step: st, pace: fullPace}
		}
		o.steps = append(o.steps, st)
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// openSteps opens the steps whose earlier steps have completed.
func (s *Scheduler) openSteps(o *occurrence, now time.Time) {
	for _, st := range o.steps {
		if st.open || st.left == 0 {
			continue
		}
		ready := true
		for _, a := range st.spec.After {
			ready = ready && o.steps[a].left == 0
		}
		if !ready {
			continue
		}
		st.open, st.opened = true, now
		for _, t := range st.tasks {
			if t.phase == phaseWaiting {
				st.job.waiting++
			}
		}
		s.planNeeded = true
	}
}

// toWaiting takes a task off its worker so that it can be placed again.
func (s *Scheduler) toWaiting(t *task) {
	s.leave(t)
	j := t.step.job
	t.phase, t.percent, t.pace, t.settled = phaseWaiting, 0, fullPace, false
	if j.state.Ended() {
		t.phase = phaseDone
		return
	}
	if t.step.open {
		j.waiting++
	}
	s.touch(j)
}

// leave frees the room that a task takes.
func (s *Scheduler) leave(t *task) {
	if t.worker == nil {
		return
	}
	t.worker.remove(t)
	t.worker = nil
	t.inCommit = false
	t.step.job.running--
}

// complete notes that a task has completed.
func (s *Scheduler) complete(t *task, now time.Time) {
	if t.phase == phaseDone {
		return
	}
	j := t.step.job
	if t.phase == phaseWaiting && t.step.open {
		j.waiting--
	}
	s.leave(t)
	t.phase = phaseDone
	t.step.left--
	s.touch(j)
	if t.step.left > 0 || j.state.Ended() {
		return
	}
	s.advisers.forget(t.step)
	o := t.step.turn
	o.left--
	if o.left > 0 {
		s.openSteps(o, now)
		s.hasten(j, now)
		return
	}
	s.finishOccurrence(j, now)
}

func (s *Scheduler) finishOccurrence(j *job, now time.Time) {
	if j.next < j.spec.Occurrences() {
		return
	}
	for _, o := range j.occurrences {
		if o.left > 0 {
			return
		}
	}
	s.log.Info("job_completed", "job", j.spec.ID, "queue", j.spec.Queue, "took_ms", now.Sub(j.arrived).Milliseconds())
	s.observe("completed", j, now.Sub(j.arrived))
	s.end(j, work.Completed, now)
}

// abandon ends a task of a job that has ended.
func (s *Scheduler) abandon(t *task, now time.Time) {
	switch t.phase {
	case phaseWaiting:
		t.phase = phaseDone
	case phaseRecorded:
		s.leave(t)
		t.phase = phaseDone
	case phaseOrdered, phaseRunning:
		s.stop(t, now)
	case phaseStopping, phaseDone:
	}
}

// stop orders the end of a run.
func (s *Scheduler) stop(t *task, now time.Time) {
	if t.phase == phaseOrdered && t.token == 0 {
		return // A run of an earlier leader; the first hold settles it.
	}
	t.phase, t.stopSent = phaseStopping, now
	s.sendStop(t.worker, t.id, t.run)
}

func (s *Scheduler) sendStop(w *worker, id work.TaskID, run int64) {
	s.log.Info("stop_ordered", "task", id.String(), "run", run, "worker", w.registration.Life.ID)
	s.effects.Stops = append(s.effects.Stops, Order[backend.Stop]{
		Worker: w.registration.Life, Order: backend.Stop{Task: id, Run: run, Token: w.token},
	})
}

// task returns a task by name, or nil.
func (s *Scheduler) task(id work.TaskID) *task {
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
