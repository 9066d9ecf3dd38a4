package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/job"
)

// SubmitJob accepts a job once it is in the log.
func (n *Node) SubmitJob(ctx context.Context, spec job.Spec) job.Status {
	return n.jobs.submit(ctx, spec)
}

func (j *Jobs) submit(ctx context.Context, spec job.Spec) job.Status {
	id := j.node.NewID()
	if reason, after := j.node.requests.admission(spec.Tasks[0]); reason != "" {
		return job.Status{ID: id, State: request.NotRun, Reason: reason, RetryAfterMilliseconds: after.Milliseconds()}
	}
	if !j.logAnswers() {
		return job.Status{ID: id, State: request.NotRun, Reason: reasonLogAway, RetryAfterMilliseconds: retryAfterLog.Milliseconds()}
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	record := job.Record{Action: job.Accepted, By: j.self, Job: id, Spec: &spec}
	_, err := j.node.recorder.Append(ctx, j.stream(), record.Encode())
	if err != nil {
		// The append may have taken effect, so the caller can not be told
		// that the job did not run.
		return job.Status{ID: id, State: request.MayHaveRun, Reason: reasonLogAway, Tasks: len(spec.Tasks)}
	}
	return job.Status{ID: id, State: request.Pending, Tasks: len(spec.Tasks)}
}

// reasonLogAway is given while the log gives no answer.
const reasonLogAway = "log_unavailable"

// logAnswers reports whether the log was read a short time ago, so that a job
// can be refused without an append whose outcome would be unknown.
func (j *Jobs) logAnswers() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return time.Since(j.confirmed) < jobLease
}

// FetchJob returns the state of a job of any failure domain.
func (n *Node) FetchJob(ctx context.Context, id string, wait time.Duration) (job.Status, bool) {
	domain, _, ok := splitID(id)
	if !ok {
		return job.Status{}, false
	}
	if domain == n.Settings.Domain {
		return n.jobs.wait(ctx, id, wait)
	}
	for _, t := range n.Targets() {
		if t.Domain != domain || !t.Reachable {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, wait+entry.CallTimeout)
		reply, err := callPeer[entry.FetchReply](callContext, n, t.Name, "Fetch", entry.FetchArgs{ID: id, Wait: wait, Job: true})
		cancel()
		var s job.Status
		if err == nil && reply.Known && json.Unmarshal(reply.Outcome, &s) == nil {
			return s, true
		}
	}
	return job.Status{}, false
}

func (j *Jobs) wait(ctx context.Context, id string, wait time.Duration) (job.Status, bool) {
	timer := time.NewTimer(min(wait, maxFetchWait))
	defer timer.Stop()
	for {
		j.mutex.Lock()
		k, changed := j.table.Job(id), j.changed
		var s job.Status
		if k != nil {
			s = k.Status()
		}
		j.mutex.Unlock()
		if k != nil && s.State.Ended() {
			return s, true
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return s, k != nil
	}
}

// CancelJob asks the holder of a job to stop it, through the log.
func (n *Node) CancelJob(ctx context.Context, id string) error {
	domain, _, _ := splitID(id)
	record := job.Record{Action: job.Cancelled, By: n.jobs.self, Job: id}
	_, err := n.recorder.Append(ctx, job.Stream(domain), record.Encode())
	return err
}
