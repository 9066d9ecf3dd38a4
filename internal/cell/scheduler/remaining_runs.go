package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
)

// remainingRuns describes the runs of a job that may exist when the job ends.
type remainingRuns struct {
	// count is the number of these runs, or 0 if there are none or all have ended.
	count int
	// since is when the job ended.
	since time.Time
}

// noteRemainingRuns must be called when a job has ended and its waiting tasks are done.
func (j *job) noteRemainingRuns(now time.Time) {
	j.remainingRuns = remainingRuns{j.tasksOnWorkers, now}
}

// restoreRemainingRuns notes the runs of a restored job that an earlier leader has ended. Of
// these, only the ones that the record still names are known.
func (s *Scheduler) restoreRemainingRuns(j *job, p *work.Progress, now time.Time) {
	if !p.State.Ended() {
		return
	}
	j.noteRemainingRuns(now)
	if p.Ended > 0 {
		j.remainingRuns.since = s.toSchedulerClock(time.UnixMilli(p.Ended))
	}
}

// logIfRunsEnded logs that all runs of an ended job have ended, if the run of t on w was the
// last one. how tells why this one counts as ended.
func (s *Scheduler) logIfRunsEnded(t *task, w *worker, how string, now time.Time) {
	j := t.step.job
	if j.remainingRuns.count == 0 || j.tasksOnWorkers > 0 {
		return
	}
	s.log.Info("job_runs_ended", "job", j.spec.ID, "state", string(j.state), "runs", j.remainingRuns.count, "took_ms", now.Sub(j.remainingRuns.since).Milliseconds(),
		"how", how, "last_task", t.id.String(), "last_run", t.runNumber, "worker", w.registration.Life.ID, "born", w.registration.Life.Born)
	j.remainingRuns.count = 0
}
