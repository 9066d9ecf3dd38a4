package daemon

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/pkg/entry"
	"github.com/almondpost/almondpost/pkg/job"
	"github.com/almondpost/almondpost/pkg/request"
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
	j.mutex.Unlock()
	found := map[string]request.Found{}
	if r.generation > 1 {
		var err error
		if found, err = j.node.runner.TakeOver(ctx, j.node.Settings.Domain, tasks, time.Now().Add(takeoverBarrier)); err != nil {
			j.node.Log.Error(err, "takeover_unresolved", "job", id)
		}
	}
	if spec.Gang && len(found) == 0 {
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
		Generation: r.generation, Permit: j.permitted, Abandoned: r.abandon,
	}
}

// runTask runs one task until it has an outcome that is final, and records it.
func (j *Jobs) runTask(ctx context.Context, r *jobRun, id string, i int, spec request.Spec, found request.Found) {
	w := j.workOf(r, id, i, spec)
	w.Known, w.KnownAt = found.Attempt, found.Owner
	for {
		out := j.node.runner.Run(ctx, w)
		select {
		case <-r.abandon:
			return
		default:
		}
		// A task that may pass later is offered again; the job was accepted.
		again := out.State == request.NotRun && out.RetryAfterMilliseconds > 0 || out.Reason == entry.ReasonInterrupted
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
	data := record.Encode()
	for j.node.run.Err() == nil {
		ctx, cancel := context.WithTimeout(j.node.run, appendWait)
		_, err := j.node.recorder.Append(ctx, j.stream(), data)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-r.abandon:
			return
		case <-time.After(jobRetry):
		}
	}
}
