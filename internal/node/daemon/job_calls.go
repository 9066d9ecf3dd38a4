package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/job"
)

// SubmitJob implements caller.Service. It accepts a job by writing it to the
// log.
func (n *Node) SubmitJob(ctx context.Context, spec job.Spec) job.Status {
	return n.jobs.submit(ctx, spec)
}

func (j *Jobs) submit(ctx context.Context, spec job.Spec) job.Status {
	id := j.node.NewID()
	if reason, after := j.node.requests.checkAdmission(spec.Tasks[0]); reason != "" {
		return job.Status{ID: id, State: request.NotRun, Reason: reason, RetryAfterMilliseconds: after.Milliseconds()}
	}
	if !j.isLogReachable() {
		return job.Status{ID: id, State: request.NotRun, Reason: reasonLogUnavailable, RetryAfterMilliseconds: retryAfterLogOutage.Milliseconds()}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record := job.Record{Action: job.Accepted, By: j.self, Job: id, Spec: &spec}
	_, err := j.node.recorder.Append(ctx, j.streamName(), record.Encode())
	if err != nil {
		// The append may have taken effect, so the state must not be "not run".
		return job.Status{ID: id, State: request.MayHaveRun, Reason: reasonLogUnavailable, Tasks: len(spec.Tasks)}
	}
	return job.Status{ID: id, State: request.Pending, Tasks: len(spec.Tasks)}
}

// reasonLogUnavailable is the reason in the status of a job that could not be
// stored because the log does not answer.
const reasonLogUnavailable = "log_unavailable"

// isLogReachable reports whether the log was read within the last jobLease. If
// it was not, jobs are refused at once, because the outcome of an append might
// remain unknown.
func (j *Jobs) isLogReachable() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return time.Since(j.leaseConfirmedAt) < jobLease
}

// FetchJob implements caller.Service. It returns the state of a job, whatever its
// failure domain. An entry VM of that domain waits for the end of the job, for at
// most the shorter of wait and maxFetchWait. FetchJob returns false if none of the
// entry VMs that answer knows the job.
func (n *Node) FetchJob(ctx context.Context, id string, wait time.Duration) (job.Status, bool) {
	domain, _, ok := splitRequestID(id)
	if !ok {
		return job.Status{}, false
	}
	if domain == n.Settings.Domain {
		return n.jobs.awaitJobEnd(ctx, id, wait)
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

// awaitJobEnd returns the status of a job of this failure domain once the job has
// ended, wait or maxFetchWait has elapsed, or ctx ends. It returns false if the job
// is unknown.
func (j *Jobs) awaitJobEnd(ctx context.Context, id string, wait time.Duration) (job.Status, bool) {
	timer := time.NewTimer(min(wait, maxFetchWait))
	defer timer.Stop()
	for {
		j.mutex.Lock()
		k, changed := j.table.Job(id), j.tableChanged
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

// CancelJob implements caller.Service. It writes the cancellation to the log,
// where the holder of the job reads it.
func (n *Node) CancelJob(ctx context.Context, id string) error {
	domain, _, _ := splitRequestID(id)
	record := job.Record{Action: job.Cancelled, By: n.jobs.self, Job: id}
	_, err := n.recorder.Append(ctx, job.Stream(domain), record.Encode())
	return err
}
