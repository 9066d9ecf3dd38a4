package scheduler

import (
	"time"
)

// runTimeEstimator learns how the run times of tasks differ from the declared
// estimates.
type runTimeEstimator struct {
	// ratios maps a queue and image to the moving average of the actual run time
	// divided by the declared one.
	ratios map[imageKey]float64
}

type imageKey struct{ queue, image string }

// averageWeight is the weight of the newest value in a moving average.
const averageWeight = 0.2

func newRunTimeEstimator() runTimeEstimator { return runTimeEstimator{ratios: map[imageKey]float64{}} }

// recordRun updates the average with a completed run. Only the first run of a task
// counts.
func (r *runTimeEstimator) recordRun(t *task, now time.Time) {
	declared := t.step.spec.Estimate
	if declared <= 0 || t.startedAt.IsZero() || t.run > 1 {
		return
	}
	key := imageKey{t.step.job.spec.Queue, t.step.spec.Image}
	ratio := float64(now.Sub(t.startedAt)) / float64(declared)
	if old, ok := r.ratios[key]; ok {
		ratio = old + averageWeight*(ratio-old)
	}
	r.ratios[key] = ratio
}

// expectedRunTime returns the expected run time of a task of a step.
func (r *runTimeEstimator) expectedRunTime(st *step) time.Duration {
	ratio, ok := r.ratios[imageKey{st.job.spec.Queue, st.spec.Image}]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(st.spec.Estimate))
}

// expectedOccupancy returns how long a task of a step is expected to take room: its
// run time, or lastingHorizon for a lasting task.
func (r *runTimeEstimator) expectedOccupancy(st *step) time.Duration {
	if st.spec.Lasting {
		return lastingHorizon
	}
	return r.expectedRunTime(st)
}

// remainingRunTime returns the expected time until a task on a worker ends.
func (r *runTimeEstimator) remainingRunTime(t *task, now time.Time) time.Duration {
	if t.step.spec.Lasting {
		return lastingHorizon
	}
	if t.phase != phaseRunning {
		return r.expectedRunTime(t.step)
	}
	elapsed := now.Sub(t.startedAt)
	if t.percentDone >= minPercent {
		return elapsed * time.Duration(100-t.percentDone) / time.Duration(t.percentDone)
	}
	return max(r.expectedRunTime(t.step)-elapsed, minRemaining)
}

const (
	// lastingHorizon is assumed as the remaining run time of lasting tasks, which
	// have no end.
	lastingHorizon = time.Minute
	// minPercent is the progress from which on the remaining run time is
	// extrapolated from it.
	minPercent = 15
	// minRemaining is assumed for tasks that have run for longer than expected.
	minRemaining = 200 * time.Millisecond
)
