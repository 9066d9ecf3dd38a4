package scheduler

import (
	"time"
)

// runTimeEstimator estimates the run times of tasks from the declared estimates and
// from earlier runs.
type runTimeEstimator struct {
	// runTimeRatios contains a moving average for each queue and image: the actual
	// run time divided by the declared estimate.
	runTimeRatios map[imageKey]runTimeRatio
}

// maxRunTimeRatios limits the moving averages, since callers choose the images. If there are as
// many, the one that was updated least recently is replaced.
const maxRunTimeRatios = 1024

type runTimeRatio struct {
	ratio     float64
	updatedAt time.Time
}

type imageKey struct{ queue, image string }

// movingAverageWeight is the weight of the newest value in a moving average. The
// previous average has the remaining weight.
const movingAverageWeight = 0.2

func newRunTimeEstimator() runTimeEstimator {
	return runTimeEstimator{runTimeRatios: map[imageKey]runTimeRatio{}}
}

// recordRunTime updates the moving average after a run has completed. Only the first
// run of a task counts.
func (r *runTimeEstimator) recordRunTime(t *task, now time.Time) {
	declared := t.step.spec.Estimate
	if declared <= 0 || t.startedAt.IsZero() || t.runNumber > 1 {
		return
	}
	key := imageKey{t.step.job.spec.Queue, t.step.spec.Image}
	ratio := float64(now.Sub(t.startedAt)) / float64(declared)
	if old, ok := r.runTimeRatios[key]; ok {
		ratio = old.ratio + movingAverageWeight*(ratio-old.ratio)
	} else if len(r.runTimeRatios) >= maxRunTimeRatios {
		r.removeOldest()
	}
	r.runTimeRatios[key] = runTimeRatio{ratio, now}
}

// removeOldest removes the moving average that was updated least recently.
func (r *runTimeEstimator) removeOldest() {
	var oldest imageKey
	first := true
	for k, v := range r.runTimeRatios {
		if first || v.updatedAt.Before(r.runTimeRatios[oldest].updatedAt) {
			oldest, first = k, false
		}
	}
	delete(r.runTimeRatios, oldest)
}

// expectedRunTime returns how long a task of a step is expected to run.
func (r *runTimeEstimator) expectedRunTime(st *step) time.Duration {
	ratio := 1.0
	if known, ok := r.runTimeRatios[imageKey{st.job.spec.Queue, st.spec.Image}]; ok {
		ratio = known.ratio
	}
	return time.Duration(ratio * float64(st.spec.Estimate))
}

// expectedOccupancy returns how long a task of a step is expected to use capacity of
// a worker. For a lasting task, that is assumedLastingRunTime.
func (r *runTimeEstimator) expectedOccupancy(st *step) time.Duration {
	if st.spec.Lasting {
		return assumedLastingRunTime
	}
	return r.expectedRunTime(st)
}

// remainingRunTime returns the time after which a task on a worker is expected to
// end.
func (r *runTimeEstimator) remainingRunTime(t *task, now time.Time) time.Duration {
	if t.step.spec.Lasting {
		return assumedLastingRunTime
	}
	if t.phase != phaseRunning {
		return r.expectedRunTime(t.step)
	}
	elapsed := now.Sub(t.startedAt)
	if t.percentDone >= minPercentToExtrapolate {
		return elapsed * time.Duration(100-t.percentDone) / time.Duration(t.percentDone)
	}
	return max(r.expectedRunTime(t.step)-elapsed, minRemainingRunTime)
}

const (
	// assumedLastingRunTime is the remaining run time that is assumed for lasting
	// tasks, which have no end.
	assumedLastingRunTime = time.Minute
	// minPercentToExtrapolate is the lowest progress, in percent, from which the
	// remaining run time is extrapolated.
	minPercentToExtrapolate = 15
	// minRemainingRunTime is the remaining run time that is assumed for tasks that
	// have already run for longer than expected.
	minRemainingRunTime = 200 * time.Millisecond
)
