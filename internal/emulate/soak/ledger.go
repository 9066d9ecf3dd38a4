package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// visibilityLimit is how long after its acceptance a job may be unknown.
	visibilityLimit = 3 * time.Second
	// maxPendingAge is the largest age of a number of pending jobs.
	maxPendingAge = 2 * time.Second
)

// ledger records what callers were told and what workers did, and the promises that were
// broken. It implements fleet.Observer.
type ledger struct {
	mutex sync.Mutex
	jobs  map[string]*jobRecord
	tasks map[work.TaskID]*taskRecord
	// violations describes the broken promises in the order in which they were noticed.
	violations []string
	starts     int
	begun      time.Time
}

// jobRecord is what is known about one job.
type jobRecord struct {
	spec *work.Job
	// acceptedAt is when a caller was told that the job is accepted, or zero.
	acceptedAt time.Time
	// rejected is true if every attempt to submit the job was refused.
	rejected bool
	// cancelSent is true once a caller has asked to cancel the job.
	cancelSent bool
	// firstStartAt is when a worker first started a task of the job, or zero.
	firstStartAt time.Time
	// completed is true once a caller was told that the job has completed.
	completed bool
}

// taskRecord is what is known about one task.
type taskRecord struct {
	// runningOn holds the worker on which the task runs, or nil.
	runningOn *fleet.Worker
	// done is true once a run has completed, and acknowledged once a leader has confirmed
	// that to the worker.
	done, acknowledged bool
}

func newLedger() *ledger {
	return &ledger{jobs: map[string]*jobRecord{}, tasks: map[work.TaskID]*taskRecord{}, begun: time.Now()}
}

// violate records a broken promise. The caller must hold the mutex.
func (l *ledger) violate(promise, format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%s: after %.2f s %s", promise, time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...)))
}

// report records a broken promise that was noticed outside of the ledger.
func (l *ledger) report(promise, format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.violate(promise, format, args...)
}

// task returns the record of a task. The caller must hold the mutex.
func (l *ledger) task(id work.TaskID) *taskRecord {
	t := l.tasks[id]
	if t == nil {
		t = &taskRecord{}
		l.tasks[id] = t
	}
	return t
}

// submitting adds a job before the first attempt to submit it.
func (l *ledger) submitting(j *work.Job) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.jobs[j.ID] = &jobRecord{spec: j}
}

// accepted records that a caller was told that a job is accepted.
func (l *ledger) accepted(id string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if j := l.jobs[id]; j.acceptedAt.IsZero() {
		j.acceptedAt = at
	}
}

// rejected records that every attempt to submit a job was refused.
func (l *ledger) rejected(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	j := l.jobs[id]
	j.rejected = true
	if !j.firstStartAt.IsZero() {
		l.violate("refused jobs never run", "job %s was refused after it had started", id)
	}
}

// cancelling records that a caller is about to cancel a job.
func (l *ledger) cancelling(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.jobs[id].cancelSent = true
}

// shown checks a state that a caller was told, in answer to a question sent at asked.
func (l *ledger) shown(vm, id string, state work.State, asked time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	j := l.jobs[id]
	switch state {
	case work.Queued, work.Running:
	case work.Cancelled:
		if !j.cancelSent {
			l.violate("states are true", "%s shows job %s as cancelled, which nobody cancelled", vm, id)
		}
	case work.Completed:
		j.completed = true
		for _, t := range l.unfinishedTasks(j.spec) {
			l.violate("states are true", "%s shows job %s as completed while task %s has not ended", vm, id, t)
		}
	case work.Failed:
		l.violate("states are true", "%s shows job %s as failed, although no task failed", vm, id)
	default:
		l.violate("states are true", "%s shows job %s in the unknown state %q (asked at %s)", vm, id, state, asked.Format(time.TimeOnly))
	}
}

// unfinishedTasks returns the tasks of a job of which no run has completed. The caller
// must hold the mutex.
func (l *ledger) unfinishedTasks(j *work.Job) []work.TaskID {
	var ids []work.TaskID
	for i := range j.Steps {
		for k := range j.Steps[i].Count {
			if id := taskID(j.ID, i, k); !l.task(id).done {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func taskID(job string, step, index int) work.TaskID {
	return work.TaskID{StepID: work.StepID{Job: job, Step: step}, Index: index}
}

// unknown checks an answer, to a question sent at asked, that a job does not exist.
func (l *ledger) unknown(vm, id string, asked time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if j := l.jobs[id]; !j.acceptedAt.IsZero() && asked.Sub(j.acceptedAt) > visibilityLimit {
		l.violate("accepted jobs are known", "%s does not know job %s, accepted %s before", vm, id, asked.Sub(j.acceptedAt))
	}
}

// pendingShown checks the number of pending jobs with which a VM answered a question. It
// must count the jobs that were accepted long enough before and have not begun.
func (l *ledger) pendingShown(vm string, n int, asked time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var waiting []string
	for id, j := range l.jobs {
		if !j.acceptedAt.IsZero() && asked.Sub(j.acceptedAt) > visibilityLimit+maxPendingAge && j.firstStartAt.IsZero() && !j.cancelSent {
			waiting = append(waiting, id)
		}
	}
	if n < len(waiting) {
		l.violate("pending jobs are counted", "%s says that %d jobs are pending; %d have waited for %s: %v", vm, n, len(waiting), visibilityLimit+maxPendingAge, waiting)
	}
}

// Started implements fleet.Observer.
func (l *ledger) Started(w *fleet.Worker, s backend.Start, at time.Time) {
	l.mutex.Lock()
	other := l.task(s.Task).runningOn
	l.mutex.Unlock()
	if other != nil && other != w {
		other.Advance(at) // The lease of the other run may have lapsed unnoticed.
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.starts++
	worker := w.Registration.Life.ID
	t, j := l.task(s.Task), l.jobs[s.Task.Job]
	if j == nil {
		l.violate("only submitted jobs run", "worker %s started task %s", worker, s.Task)
		return
	}
	if j.firstStartAt.IsZero() {
		j.firstStartAt = at
	}
	switch {
	case j.rejected:
		l.violate("refused jobs never run", "worker %s started task %s", worker, s.Task)
	case t.runningOn != nil && t.runningOn != w:
		l.violate("no task runs twice", "worker %s started task %s, which runs on %s", worker, s.Task, t.runningOn.Registration.Life.ID)
	case t.acknowledged:
		l.violate("no task runs twice", "worker %s started task %s again after its end was acknowledged", worker, s.Task)
	}
	for _, step := range j.spec.Steps[s.Task.Step].After {
		for k := range j.spec.Steps[step].Count {
			if !l.task(taskID(s.Task.Job, step, k)).done {
				l.violate("steps run in order", "worker %s started task %s before step %d was done", worker, s.Task, step)
			}
		}
	}
	if !w.Used().Fits(w.Registration.Capacity) {
		l.violate("no worker is overloaded", "worker %s holds %v of %v", worker, w.Used(), w.Registration.Capacity)
	}
	t.runningOn = w
}

// Ended implements fleet.Observer.
func (l *ledger) Ended(w *fleet.Worker, e backend.EndedRun, _ time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := l.task(e.Task)
	if t.runningOn == w {
		t.runningOn = nil
	}
	t.done = t.done || e.Outcome == backend.Done
}

// Acknowledged implements fleet.Observer.
func (l *ledger) Acknowledged(_ *fleet.Worker, e backend.EndedRun, _ time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e.Outcome == backend.Done {
		l.task(e.Task).acknowledged = true
	}
}

// workerEnded records that a worker process has ended with all its runs.
func (l *ledger) workerEnded(life backend.Life) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, t := range l.tasks {
		if t.runningOn != nil && t.runningOn.Registration.Life == life {
			t.runningOn = nil
		}
	}
}

// unfinishedJobs returns the IDs of the accepted jobs that no caller was told to have
// completed and nobody cancelled.
func (l *ledger) unfinishedJobs() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ids []string
	for id, j := range l.jobs {
		if !j.acceptedAt.IsZero() && !j.completed && !j.cancelSent {
			ids = append(ids, id)
		}
	}
	return ids
}
