package scheduler

import "time"

const (
	// slowRatio is how much longer than expected a run must take to count as slow;
	// run times of one image differ by half.
	slowRatio = 2.2
	// leastElapsed is how long a task must have run before it is judged.
	leastElapsed = 300 * time.Millisecond
	// leastSlow is how many tasks of a worker must be slow, and slowPart the part of
	// those that can be judged, for the worker to count as slow, for slowPause from
	// the report on.
	leastSlow = 2
	slowPart  = 0.6
	slowPause = 1500 * time.Millisecond
)

// judgeSpeed compares the progress of a worker's tasks with what is expected of them.
//
// It answers workers that turn slow or stand still while their reports are good:
// urgent jobs of many tasks nearly always have one there, and wait for it.
func (s *Scheduler) judgeSpeed(w *worker, now time.Time) {
	judged, slow := 0, 0
	for _, t := range w.tasks {
		if t.phase != phaseRunning || t.step.spec.Lasting || t.step.spec.Fills || t.pace != fullPace || t.checkpoint != "" {
			continue
		}
		elapsed, expected := now.Sub(t.begun), s.runTimes.expect(t.step)
		if elapsed < leastElapsed || expected == 0 {
			continue
		}
		judged++
		if float64(elapsed) > slowRatio*float64(expected)*max(float64(t.percent), 1)/100 && elapsed > expected/2 {
			slow++
		}
	}
	if slow < leastSlow || float64(slow) < slowPart*float64(judged) {
		return
	}
	if now.After(w.slowUntil) {
		s.log.Info("worker_slow", "worker", w.registration.Life.ID, "slow_tasks", slow, "judged_tasks", judged)
	}
	w.slowUntil = now.Add(slowPause)
}
