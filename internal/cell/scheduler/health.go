package scheduler

import "time"

const (
	// slowRunTimeRatio is the ratio of actual to expected run time above which a run
	// counts as slow. It is well above 1 because the run times of tasks with the same
	// image differ by half.
	slowRunTimeRatio = 2.2
	// minRunTimeToRateSpeed is how long a task must have been running before its
	// speed is rated.
	minRunTimeToRateSpeed = 300 * time.Millisecond
	// A worker counts as slow if at least minSlowTasks of its tasks are slow, and
	// these are at least the share minSlowTaskShare of its rated tasks. It counts as
	// slow for slowWorkerPeriod from the report that shows this.
	minSlowTasks     = 2
	minSlowTaskShare = 0.6
	slowWorkerPeriod = 1500 * time.Millisecond
)

// detectSlowWorker marks a worker as slow if its tasks progress much more slowly than
// expected.
//
// A worker can become slow or make no progress at all while it still reports on time.
// An urgent job with many tasks nearly always has a task on such a worker, and the
// whole job waits for that task.
func (s *Scheduler) detectSlowWorker(w *worker, now time.Time) {
	rated, slow := 0, 0
	for _, t := range w.tasks {
		if t.phase != phaseRunning || t.step.spec.Lasting || t.step.spec.Fills || t.pacePercent != fullPacePercent || t.checkpoint != "" {
			continue
		}
		elapsed, expected := now.Sub(t.startedAt), s.runTimes.expectedRunTime(t.step)
		if elapsed < minRunTimeToRateSpeed || expected == 0 {
			continue
		}
		rated++
		if float64(elapsed) > slowRunTimeRatio*float64(expected)*max(float64(t.percentDone), 1)/100 && elapsed > expected/2 {
			slow++
		}
	}
	if slow < minSlowTasks || float64(slow) < minSlowTaskShare*float64(rated) {
		return
	}
	if now.After(w.slowUntil) {
		s.log.Info("worker_slow", "worker", w.registration.Life.ID, "slow_tasks", slow, "judged_tasks", rated)
	}
	w.slowUntil = now.Add(slowWorkerPeriod)
}
