package daemon

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/job"
)

// run runs the tasks of a job that have not ended.
func (j *Jobs) run(ctx context.Context, r *jobRun, id string) {
	j.mutex.Lock()
	k := j.table.Job(id)
	if k == nil {
		j.mutex.Unlock()
		return
	}
	tasks := map[string]int{}
	var left []int
	for i, o := range k.Outcomes {
		if o == nil {
			left = append(left, i)
			tasks[k.TaskID(i)] = k.Generation
		}
	}
	spec := job.Spec{Gang: k.Spec.Gang, Tasks: append([]request.Spec(nil), k.Spec.Tasks...)}
	started := append([]time.Time(nil), k.Started...)
	j.mutex.Unlock()
	found := map[string]request.Found{}
	if r.generation > 1 {
		var err error
		if found, err = j.node.runner.TakeOver(ctx, j.node.Settings.Domain, tasks, time.Now().Add(takeoverBarrier)); err != nil {
			j.node.Log.Error(err, "takeover_unresolved", "job", id)
		}
	}
	left = j.settleStarted(r, id, left, started, found)
	if spec.Gang && len(found) == 0 && len(left) > 0 && j.recordStarts(ctx, r, id, left, spec) {
		found = j.placeGang(ctx, r, id, left, spec)
	}
	slots := make(chan struct{}, maxTasksInFlight)
	for _, i := range left {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			j.runTask(ctx, r, id, i, spec.Tasks[i], found[job.TaskID(id, i)])
		}()
	}
}

// listedFor is how long workers surely list an attempt after its start, less a
// margin for the difference between the clocks of two holders.
const listedFor = 90 * time.Second

// settleStarted ends the tasks that may not repeat and may have run under a
// former holder so long ago that no worker lists them any more. It returns the
// other tasks.
func (j *Jobs) settleStarted(r *jobRun, id string, left []int, started []time.Time, found map[string]request.Found) []int {
	var others []int
	for _, i := range left {
		if _, ok := found[job.TaskID(id, i)]; ok || started[i].IsZero() || time.Since(started[i]) < listedFor {
			others = append(others, i)
			continue
		}
		j.recordEnd(r, id, i, request.Outcome{ID: job.TaskID(id, i), State: request.MayHaveRun, Reason: reasonHolder})
	}
	return others
}

// recordStarts writes to the log that tasks which may not repeat are about to
// start. It reports whether they may: the records are in the log, and this
// process held the job at that point.
func (j *Jobs) recordStarts(ctx context.Context, r *jobRun, id string, tasks []int, spec job.Spec) bool {
	for _, i := range tasks {
		if !spec.Tasks[i].Repeatable && !j.recordStart(ctx, r, id, i) {
			return false
		}
	}
	return true
}

func (j *Jobs) recordStart(ctx context.Context, r *jobRun, id string, i int) bool {
	record := job.Record{Action: job.TaskStarted, By: j.self, Job: id, Task: i, At: time.Now()}
	offset, ok := j.insist(ctx, r, record.Encode())
	if !ok || !j.awaitOffset(ctx, offset) {
		return false
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	k := j.table.Job(id)
	return k != nil && !k.Started[i].IsZero() && k.Holder == j.self
}

// placeGang holds room for all tasks at once and starts them. After a takeover
// that found some of them running, the others are run one by one instead.
func (j *Jobs) placeGang(ctx context.Context, r *jobRun, id string, left []int, spec job.Spec) map[string]request.Found {
	works := make([]request.Work, 0, len(left))
	for _, i := range left {
		works = append(works, j.workOf(r, id, i, spec.Tasks[i]))
	}
	placed, err := j.node.runner.Gang(ctx, j.node.Settings.Domain, works)
	if err != nil {
		return nil
	}
	found := map[string]request.Found{}
	for i, p := range placed {
		attempt, target := j.node.runner.Commit(p)
		found[job.TaskID(id, left[i])] = request.Found{Attempt: attempt, Owner: target}
	}
	j.node.Log.Info("gang_started", "job", id, "tasks", len(placed))
	return found
}

func (j *Jobs) workOf(r *jobRun, id string, i int, spec request.Spec) request.Work {
	return request.Work{
		ID: job.TaskID(id, i), Customer: j.node.store.Current().Index.Customer(spec.Plan), Spec: spec, Submitted: time.Now(),
		Domain: j.node.Settings.Domain, Generation: r.generation, Permit: j.permitted, Abandoned: r.abandon,
	}
}

// runTask runs one task until it has an outcome that is final, and records it.
func (j *Jobs) runTask(ctx context.Context, r *jobRun, id string, i int, spec request.Spec, found request.Found) {
	w := j.workOf(r, id, i, spec)
	if !spec.Repeatable && found.Attempt.Attempt == "" && !j.recordStart(ctx, r, id, i) {
		if ctx.Err() != nil {
			j.recordEnd(r, id, i, request.Outcome{ID: w.ID, State: request.Cancelled})
		}
		return
	}
	w.Known, w.KnownAt = found.Attempt, found.Owner
	for {
		out := j.node.runner.Run(ctx, w)
		select {
		case <-r.abandon:
			return
		default:
		}
		// A task that may pass later is offered again; the job was accepted.
		again := out.State == request.NotRun && !request.IsPermanent(out.Reason) || out.Reason == entry.ReasonInterrupted
		if again && ctx.Err() == nil {
			w.Known = entry.FoundAttempt{}
			w.FirstAttempt = out.NextAttempt
			time.Sleep(taskRetryPause)
			continue
		}
		j.recordEnd(r, id, i, out)
		return
	}
}

// recordEnd writes the outcome of a task to the log, with retries until it is
// there or the job is abandoned.
func (j *Jobs) recordEnd(r *jobRun, id string, i int, out request.Outcome) {
	if len(out.Answer) > maxSettledAnswer {
		out.Reason = reasonAnswerTooLarge
		out.Answer = nil
	}
	record := job.Record{Action: job.TaskEnded, By: j.self, Job: id, Task: i, Outcome: &out}
	j.insist(context.Background(), r, record.Encode())
}

// insist appends to the job stream, with retries until the record is there, the
// job is abandoned, or ctx or the process ends.
func (j *Jobs) insist(ctx context.Context, r *jobRun, data []byte) (offset uint64, ok bool) {
	for j.node.run.Err() == nil && ctx.Err() == nil {
		callContext, cancel := context.WithTimeout(ctx, appendWait)
		offset, err := j.node.recorder.Append(callContext, j.stream(), data)
		cancel()
		if err == nil {
			return offset, true
		}
		select {
		case <-r.abandon:
			return 0, false
		case <-time.After(jobRetry):
		}
	}
	return 0, false
}
