package scheduler

import "time"

const (
	// slowRatio is how much longer than expected a run must take to count as slow.
	// It is well above 1 because run times of one image differ by half.
	slowRatio = 2.2
	// minElapsed is how long a task must have run before its speed is rated.
	minElapsed = 300 * time.Millisecond
	// A worker counts as slow for slowPeriod if at least minSlowTasks of its tasks
	// are slow, and at least minSlowShare of those that can be rated.
	minSlowTasks = 2
	minSlowShare = 0.6
	slowPeriod   = 1500 * time.Millisecond
)

// detectSlowWorker compares the progress of a worker's tasks with their expected
// run times.
//
// A worker can become slow or make no progress while it still reports on time. An
// urgent job with many tasks nearly always has a task on such a worker, and waits
// for it.
func (s *Scheduler) detectSlowWorker(w *worker, now time.Time) {
	rated, slow := 0, 0
	for _, t := range w.tasks {
		if t.phase != phaseRunning || t.step.spec.Lasting || t.step.spec.Fills || t.pace != fullPace || t.checkpoint != "" {
			continue
		}
		elapsed, expected := now.Sub(t.startedAt), s.runTimes.expectedRunTime(t.step)
		if elapsed < minElapsed || expected == 0 {
			continue
		}
		rated++
		if float64(elapsed) > slowRatio*float64(expected)*max(float64(t.percentDone), 1)/100 && elapsed > expected/2 {
			slow++
		}
	}
	if slow < minSlowTasks || float64(slow) < minSlowShare*float64(rated) {
		return
	}
	if now.After(w.slowUntil) {
		s.log.Info("worker_slow", "worker", w.registration.Life.ID, "slow_tasks", slow, "judged_tasks", rated)
	}
	w.slowUntil = now.Add(slowPeriod)
}
