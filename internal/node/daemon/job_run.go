package daemon

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/job"
)

// runJob runs the tasks of a job that have not ended. If the job had an earlier
// holder, it first looks for attempts that the earlier holder has started.
func (j *Jobs) runJob(ctx context.Context, r *jobRun, id string) {
	j.mutex.Lock()
	k := j.table.Job(id)
	if k == nil {
		j.mutex.Unlock()
		return
	}
	tasks := map[string]int{}
	var unfinished []int
	for i, o := range k.Outcomes {
		if o == nil {
			unfinished = append(unfinished, i)
			tasks[k.TaskID(i)] = k.Generation
		}
	}
	spec := job.Spec{Gang: k.Spec.Gang, Tasks: append([]request.Spec(nil), k.Spec.Tasks...)}
	started := append([]time.Time(nil), k.StartTimes...)
	j.mutex.Unlock()
	found := map[string]request.LocatedAttempt{}
	if r.generation > 1 {
		var err error
		if found, err = j.node.runner.TakeOver(ctx, j.node.Settings.Domain, tasks, time.Now().Add(takeoverGracePeriod)); err != nil {
			j.node.Log.Error(err, "takeover_unresolved", "job", id)
		}
	}
	unfinished = j.endUntraceableTasks(r, id, unfinished, started, found)
	if spec.Gang && len(found) == 0 && len(unfinished) > 0 && j.recordStarts(ctx, r, id, unfinished, spec) {
		found = j.startGang(ctx, r, id, unfinished, spec)
	}
	slots := make(chan struct{}, maxTasksInFlight)
	for _, i := range unfinished {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			j.runTask(ctx, r, id, i, spec.Tasks[i], found[job.TaskID(id, i)])
		}()
	}
}

// attemptListRetention is how long after its start an attempt is certain to be
// listed by its worker. A margin for the difference between the clocks of the
// former and the new holder is already subtracted.
const attemptListRetention = 90 * time.Second

// endUntraceableTasks ends the tasks that must not run twice and whose outcome
// can no longer be found: no attempt of the task was found, and a former holder
// may have started one longer ago than attemptListRetention. It records that
// these tasks may have run and returns the other tasks.
func (j *Jobs) endUntraceableTasks(r *jobRun, id string, unfinished []int, started []time.Time, found map[string]request.LocatedAttempt) []int {
	var remaining []int
	for _, i := range unfinished {
		if _, ok := found[job.TaskID(id, i)]; ok || started[i].IsZero() || time.Since(started[i]) < attemptListRetention {
			remaining = append(remaining, i)
			continue
		}
		j.recordEnd(r, id, i, request.Outcome{ID: job.TaskID(id, i), State: request.MayHaveRun, Reason: reasonHolderUnreachable})
	}
	return remaining
}

// recordStarts writes to the log that the tasks are about to start, but only for
// those that must not run twice. It reports whether all tasks may start: every
// record must have been applied to the table, and this process must hold the
// job.
func (j *Jobs) recordStarts(ctx context.Context, r *jobRun, id string, tasks []int, spec job.Spec) bool {
	for _, i := range tasks {
		if !spec.Tasks[i].Repeatable && !j.recordStart(ctx, r, id, i) {
			return false
		}
	}
	return true
}

// recordStart writes to the log that a task is about to start. It reports
// whether the task may start: the record must have been applied to the table,
// and this process must hold the job.
func (j *Jobs) recordStart(ctx context.Context, r *jobRun, id string, task int) bool {
	record := job.Record{Action: job.TaskStarted, By: j.self, Job: id, TaskIndex: task, StartedAt: time.Now()}
	offset, ok := j.appendWithRetry(ctx, r, record.Encode())
	if !ok || !j.awaitOffset(ctx, offset) {
		return false
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	k := j.table.Job(id)
	return k != nil && !k.StartTimes[task].IsZero() && k.Holder == j.self
}

// startGang reserves capacity for all given tasks at once, starts them and
// returns their attempts. It returns nil if the job was cancelled or has
// another holder. It is not used if a takeover found attempts of the gang; the
// other tasks then start one by one.
func (j *Jobs) startGang(ctx context.Context, r *jobRun, id string, unfinished []int, spec job.Spec) map[string]request.LocatedAttempt {
	works := make([]request.Work, 0, len(unfinished))
	for _, i := range unfinished {
		works = append(works, j.newWork(r, id, i, spec.Tasks[i]))
	}
	placed, err := j.node.runner.ReserveGang(ctx, j.node.Settings.Domain, works)
	if err != nil {
		return nil
	}
	found := map[string]request.LocatedAttempt{}
	for i, p := range placed {
		attempt, target := j.node.runner.StartReservedTask(p)
		found[job.TaskID(id, unfinished[i])] = request.LocatedAttempt{Attempt: attempt, Owner: target}
	}
	j.node.Log.Info("gang_started", "job", id, "tasks", len(placed))
	return found
}

// newWork returns the description of one task for the runner. The task runs in
// this failure domain only and starts only while this process holds the job.
func (j *Jobs) newWork(r *jobRun, id string, task int, spec request.Spec) request.Work {
	return request.Work{
		ID: job.TaskID(id, task), Customer: j.node.configuration.Current().Index.Customer(spec.Plan), Spec: spec, Submitted: time.Now(),
		Domain: j.node.Settings.Domain, Generation: r.generation, Permit: j.mayStartWork, Abandoned: r.abandoned,
	}
}

// runTask runs one task until it has a final outcome and records that outcome.
// If found contains an attempt of the task, runTask follows this attempt first
// and starts another one only if that attempt has to be retried.
func (j *Jobs) runTask(ctx context.Context, r *jobRun, id string, task int, spec request.Spec, found request.LocatedAttempt) {
	w := j.newWork(r, id, task, spec)
	if !spec.Repeatable && found.Attempt.Attempt == "" && !j.recordStart(ctx, r, id, task) {
		if ctx.Err() != nil {
			j.recordEnd(r, id, task, request.Outcome{ID: w.ID, State: request.Cancelled})
		}
		return
	}
	w.ExistingAttempt, w.ExistingAttemptOwner = found.Attempt, found.Owner
	for {
		outcome := j.node.runner.Run(ctx, w)
		select {
		case <-r.abandoned:
			return
		default:
		}
		// The job was accepted, so a task that was refused for a temporary reason
		// or interrupted is offered again.
		shouldRetry := outcome.State == request.NotRun && !request.IsPermanentRefusal(outcome.Reason) || outcome.Reason == entry.ReasonInterrupted
		if shouldRetry && ctx.Err() == nil {
			w.ExistingAttempt = entry.FoundAttempt{}
			w.FirstAttemptNumber = outcome.NextAttempt
			time.Sleep(taskRetryPause)
			continue
		}
		j.recordEnd(r, id, task, outcome)
		return
	}
}

// recordEnd writes the outcome of a task to the log. It retries until this
// succeeds, the run is abandoned or the node is closed. An answer larger than
// maxLoggedAnswerBytes is left out of the record.
func (j *Jobs) recordEnd(r *jobRun, id string, task int, outcome request.Outcome) {
	if len(outcome.Answer) > maxLoggedAnswerBytes {
		outcome.Reason = reasonAnswerNotKept
		outcome.Answer = nil
	}
	record := job.Record{Action: job.TaskEnded, By: j.self, Job: id, TaskIndex: task, Outcome: &outcome}
	j.appendWithRetry(context.Background(), r, record.Encode())
}

// appendWithRetry appends a record to the job stream and returns its offset. It
// retries until this succeeds and returns false if the run is abandoned, ctx
// ends or the node is closed first.
func (j *Jobs) appendWithRetry(ctx context.Context, r *jobRun, data []byte) (offset uint64, ok bool) {
	for j.node.context.Err() == nil && ctx.Err() == nil {
		callContext, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := j.node.recorder.Append(callContext, j.streamName(), data)
		cancel()
		if err == nil {
			return offset, true
		}
		select {
		case <-r.abandoned:
			return 0, false
		case <-time.After(jobRetryInterval):
		}
	}
	return 0, false
}
