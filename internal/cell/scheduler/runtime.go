package scheduler

import (
	"time"
)

// runTimes learns how long tasks run, against what callers declare.
type runTimes struct {
	// ratio maps a queue and image to the real run time over the declared one.
	ratio map[imageKey]float64
}

type imageKey struct{ queue, image string }

// learnWeight is the weight of the newest run in the moving average.
const learnWeight = 0.2

func newRunTimes() runTimes { return runTimes{ratio: map[imageKey]float64{}} }

func (r *runTimes) observe(t *task, now time.Time) {
	declared := t.step.spec.Estimate
	if declared <= 0 || t.begun.IsZero() || t.run > 1 {
		return
	}
	key := imageKey{t.step.job.spec.Queue, t.step.spec.Image}
	seen := float64(now.Sub(t.begun)) / float64(declared)
	if old, ok := r.ratio[key]; ok {
		seen = old + learnWeight*(seen-old)
	}
	r.ratio[key] = seen
}

// expect returns the expected run time of a task of a step.
func (r *runTimes) expect(st *step) time.Duration {
	ratio, ok := r.ratio[imageKey{st.job.spec.Queue, st.spec.Image}]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(st.spec.Estimate))
}

// expectLasting is expect for tasks that may have no end.
func (r *runTimes) expectLasting(st *step) time.Duration {
	if st.spec.Lasting {
		return lastingHorizon
	}
	return r.expect(st)
}

// remaining returns the expected time until a task on a worker ends.
func (r *runTimes) remaining(t *task, now time.Time) time.Duration {
	if t.step.spec.Lasting {
		return lastingHorizon
	}
	if t.phase != phaseRunning {
		return r.expect(t.step)
	}
	elapsed := now.Sub(t.begun)
	if t.percent >= leastPercent {
		return elapsed * time.Duration(100-t.percent) / time.Duration(t.percent)
	}
	return max(r.expect(t.step)-elapsed, shortestRemaining)
}

const (
	// lastingHorizon stands for the remaining time of a task without an end.
	lastingHorizon = time.Minute
	// leastPercent is the progress from which on it tells the remaining time.
	leastPercent = 15
	// shortestRemaining is assumed of a task that has outlived its estimate.
	shortestRemaining = 200 * time.Millisecond
)
