package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// visibilityLimit is how long after its acceptance a job may be unknown.
	visibilityLimit = 3 * time.Second
	// lateStartLimit is how long after a job was shown as completed an order to start a task
	// of it may still arrive.
	lateStartLimit = time.Second
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
	violations []violation
	starts     []*startRecord
	// arrivals holds when the newest order to start each run reached each worker.
	arrivals map[runKey]arrival
	leases   map[backend.Life]*leaseRecord
	// leader covers faults of the VM that leads, and links those of the calls to each
	// worker process.
	leader disturbance
	links  map[backend.Life]*disturbance
	begun  time.Time
	// shownAt is when a caller was last told that a job has completed, or zero.
	shownAt time.Time
}

// violation is one broken promise.
type violation struct {
	promise, text string
	// starts are the starts that broke the promise together.
	starts []*startRecord
	// told is who learned of the end of the run before the last start. It is empty for
	// promises other than runsOnce.
	told told
}

// runsOnce is the promise of which violateTwice records that it was broken.
const runsOnce = "no task runs twice"

// told is who learned that a run has completed: a caller that was shown its job as completed,
// its worker by an acknowledgement, both or nobody.
type told string

const (
	toldNobody told = "nobody"
	toldCaller told = "shown"
	toldWorker told = "acknowledged"
	toldBoth   told = "both"
)

// runKey identifies a run on a worker.
type runKey struct {
	life backend.Life
	task work.TaskID
	run  int64
}

// leaseRecord is what is known about the lease of a worker process.
type leaseRecord struct {
	// until is when the lease lapses, and lapsedAt when it last lapsed, or zero.
	until, lapsedAt time.Time
	// extendedAt is when the newest order that extends the lease arrived.
	extendedAt time.Time
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
	// cancelledAt is when a caller was told that the job is cancelled, or zero.
	cancelledAt time.Time
	// firstStartAt is when a worker first started a task of the job, or zero.
	firstStartAt time.Time
	// completed is true once a caller was told that the job has completed, and completedAt
	// is when.
	completed   bool
	completedAt time.Time
}

// taskRecord is what is known about one task.
type taskRecord struct {
	// starts holds all runs, and running those that have not ended, by worker.
	starts  []*startRecord
	running map[*fleet.Worker]*startRecord
	// done is true once a run has completed. acknowledged is the first such run whose end a
	// leader has acknowledged before the lease of the worker lapsed, or nil.
	done         bool
	acknowledged *startRecord
}

func newLedger() *ledger {
	return &ledger{jobs: map[string]*jobRecord{}, tasks: map[work.TaskID]*taskRecord{}, arrivals: map[runKey]arrival{}, leases: map[backend.Life]*leaseRecord{}, links: map[backend.Life]*disturbance{}, begun: time.Now()}
}

// violate records a broken promise. The caller must hold the mutex.
func (l *ledger) violate(promise, format string, args ...any) {
	text := fmt.Sprintf("%s: after %.2f s %s", promise, time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
	l.violations = append(l.violations, violation{promise: promise, text: text})
}

// violateTwice records that starts of a task, the last one too many, have broken the promise
// that it runs once. The caller must hold the mutex.
func (l *ledger) violateTwice(starts []*startRecord, format string, args ...any) {
	who, text := l.earlierEnd(starts[:len(starts)-1])
	l.violate(runsOnce, format+"; %s", append(args, text)...)
	v := &l.violations[len(l.violations)-1]
	v.starts, v.told = starts, who
}

// earlierEnd returns who was told of the end of one of the runs and describes it with the
// times. The caller must hold the mutex.
func (l *ledger) earlierEnd(runs []*startRecord) (who told, text string) {
	after := func(t time.Time) string { return fmt.Sprintf("after %.2f s", t.Sub(l.begun).Seconds()) }
	var shownAt, acknowledgedAt time.Time
	for _, r := range runs {
		if r.outcome != backend.Done {
			continue
		}
		shownAt = l.jobs[r.order.Task.Job].completedAt
		if acknowledgedAt.IsZero() {
			acknowledgedAt = r.acknowledgedAt
		}
	}
	switch {
	case !shownAt.IsZero() && !acknowledgedAt.IsZero():
		return toldBoth, fmt.Sprintf("the earlier end was told to both: shown %s, acknowledged %s", after(shownAt), after(acknowledgedAt))
	case !shownAt.IsZero():
		return toldCaller, "the earlier end was shown " + after(shownAt)
	case !acknowledgedAt.IsZero():
		return toldWorker, "the earlier end was acknowledged " + after(acknowledgedAt)
	}
	return toldNobody, "no earlier end was shown or acknowledged"
}

// tasksRunTwice returns the tasks that broke the promise that they run once, by who was told of
// the earlier end, and all under the empty key. The caller must hold the mutex.
func (l *ledger) tasksRunTwice() map[told][]work.TaskID {
	tasks := map[told][]work.TaskID{}
	for _, v := range l.violations {
		if v.told == "" || slices.Contains(tasks[""], v.starts[0].order.Task) {
			continue
		}
		for _, key := range []told{"", v.told} {
			tasks[key] = append(tasks[key], v.starts[0].order.Task)
		}
	}
	return tasks
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
		t = &taskRecord{running: map[*fleet.Worker]*startRecord{}}
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

// shown checks a state that a caller was told at the given time.
func (l *ledger) shown(vm, id string, state work.State, at time.Time) {
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
		if !j.completed {
			j.completed, j.completedAt, l.shownAt = true, at, at
		}
		for _, t := range l.unfinishedTasks(j.spec) {
			l.violate("states are true", "%s shows job %s as completed while task %s has not ended", vm, id, t)
		}
	case work.Failed:
		l.violate("states are true", "%s shows job %s as failed, although no task failed", vm, id)
	default:
		l.violate("states are true", "%s shows job %s in the unknown state %q (told at %s)", vm, id, state, at.Format(time.TimeOnly))
	}
}

// awaitCompletion waits until a caller is told that a job has completed, but not longer than
// limit.
func (l *ledger) awaitCompletion(limit time.Duration) {
	isShown := func(since time.Time) bool {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		return l.shownAt.After(since)
	}
	for begun := time.Now(); !isShown(begun) && time.Since(begun) < limit; {
		time.Sleep(time.Millisecond)
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

// startArrived records that a worker is about to execute an order to start a run.
func (l *ledger) startArrived(life backend.Life, s backend.Start, a arrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals[runKey{life, s.Task, s.Run}] = a
}

// leaseExtended records that an order which arrived at the given time has extended the lease
// of a worker.
func (l *ledger) leaseExtended(life backend.Life, at, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lease := l.lease(life)
	lease.extendedAt = at
	if !lease.until.IsZero() && at.After(lease.until) {
		lease.lapsedAt = lease.until
	}
	if until.After(lease.until) {
		lease.until = until
	}
}

// lease returns the record of the lease of a worker. The caller must hold the mutex.
func (l *ledger) lease(life backend.Life) *leaseRecord {
	r := l.leases[life]
	if r == nil {
		r = &leaseRecord{}
		l.leases[life] = r
	}
	return r
}

// advanceOthers makes the other workers that run a task notice whether their runs have ended.
func (l *ledger) advanceOthers(task work.TaskID, w *fleet.Worker, at time.Time) {
	l.mutex.Lock()
	others := slices.Collect(maps.Keys(l.task(task).running))
	l.mutex.Unlock()
	for _, other := range others {
		if other != w {
			other.Advance(at)
		}
	}
}

// Started implements fleet.Observer.
func (l *ledger) Started(w *fleet.Worker, s backend.Start, at time.Time) {
	l.advanceOthers(s.Task, w, at)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	life := w.Registration.Life
	r := &startRecord{order: s, life: life, at: at, arrival: l.arrivals[runKey{life, s.Task, s.Run}], ledgerBegun: l.begun}
	l.starts = append(l.starts, r)
	t, j := l.task(s.Task), l.jobs[s.Task.Job]
	if j == nil {
		l.violate("only submitted jobs run", "worker %s started task %s", life.ID, s.Task)
		return
	}
	if j.firstStartAt.IsZero() {
		j.firstStartAt = at
	}
	if j.rejected {
		l.violate("refused jobs never run", "worker %s started task %s", life.ID, s.Task)
	}
	l.checkStartsUncancelled(j, r)
	l.checkRunsOnce(t, r)
	if sent := r.arrival.at; j.completed && sent.Sub(j.completedAt) > lateStartLimit {
		l.violateTwice(append(slices.Clone(t.starts), r), "worker %s started task %s, whose job was shown as completed %s before", life.ID, s.Task, at.Sub(j.completedAt))
	}
	for _, step := range j.spec.Steps[s.Task.Step].After {
		for k := range j.spec.Steps[step].Count {
			if !l.task(taskID(s.Task.Job, step, k)).done {
				l.violate("steps run in order", "worker %s started task %s before step %d was done", life.ID, s.Task, step)
			}
		}
	}
	if !w.Used().Fits(w.Registration.Capacity) {
		l.violate("no worker is overloaded", "worker %s holds %v of %v", life.ID, w.Used(), w.Registration.Capacity)
	}
	t.starts, t.running[w] = append(t.starts, r), r
}

// checkRunsOnce checks that a task neither runs nor has completed when a run of it starts.
// The caller must hold the mutex.
func (l *ledger) checkRunsOnce(t *taskRecord, r *startRecord) {
	if len(t.running) > 0 {
		others := slices.Collect(maps.Values(t.running))
		l.violateTwice(append(others, r), "worker %s started task %s, which runs on %s", r.life.ID, r.order.Task, others[0].life.ID)
	} else if t.acknowledged != nil {
		l.violateTwice([]*startRecord{t.acknowledged, r}, "worker %s started task %s again after its end was acknowledged", r.life.ID, r.order.Task)
	}
}

// Ended implements fleet.Observer.
func (l *ledger) Ended(w *fleet.Worker, e backend.EndedRun, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := l.task(e.Task)
	if r := t.running[w]; r != nil && r.order.Run == e.Run {
		if e.Outcome == backend.LeaseExpired {
			l.checkLeaseExtended(w, r, at)
		}
		r.outcome, r.endedAt = e.Outcome, at
		delete(t.running, w)
	}
	t.done = t.done || e.Outcome == backend.Done
	if e.Outcome == backend.LeaseExpired {
		l.lease(w.Registration.Life).lapsedAt = at
	}
}

// Acknowledged implements fleet.Observer. An end that is acknowledged after the lease of the
// worker has lapsed does not count: a leader may have run the task again by then.
func (l *ledger) Acknowledged(w *fleet.Worker, e backend.EndedRun, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t, life := l.task(e.Task), w.Registration.Life
	i := slices.IndexFunc(t.starts, func(r *startRecord) bool { return r.life == life && r.order.Run == e.Run })
	if i < 0 || e.Outcome != backend.Done {
		return
	}
	r, lease := t.starts[i], l.lease(life)
	if !lease.lapsedAt.Before(r.endedAt) || at.After(lease.until) {
		return
	}
	r.acknowledgedAt = at
	for _, other := range t.starts {
		if t.acknowledged == nil && other != r && !other.at.Before(r.endedAt) {
			l.violateTwice([]*startRecord{r, other}, "worker %s had started task %s again before its end was acknowledged", other.life.ID, e.Task)
		}
	}
	if t.acknowledged == nil {
		t.acknowledged = r
	}
}

// workerEnded records that a worker process has ended with all its runs.
func (l *ledger) workerEnded(life backend.Life) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, t := range l.tasks {
		maps.DeleteFunc(t.running, func(w *fleet.Worker, _ *startRecord) bool { return w.Registration.Life == life })
	}
}

// acceptedJobs returns the number of jobs that callers were told to be accepted.
func (l *ledger) acceptedJobs() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n := 0
	for _, j := range l.jobs {
		if !j.acceptedAt.IsZero() {
			n++
		}
	}
	return n
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
