package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// fullPacePercent is the pace at which every run starts. A pace is a speed in
	// percent of full speed.
	fullPacePercent = 100
	// Filling tasks on a worker are slowed down while a serving task there has a
	// latency above throttleAboveTargetShare times its target. They are sped up while
	// all latencies are below speedUpBelowTargetShare times their targets.
	throttleAboveTargetShare = 0.85
	speedUpBelowTargetShare  = 0.6
	// To slow a filling task down, its pace is divided by throttleDivisor. To speed
	// it up, speedUpPercent is added to its pace.
	throttleDivisor = 2
	speedUpPercent  = 15
	// minPacePercent is the lowest pace. A filling task that would have to run more
	// slowly is paused.
	minPacePercent = 12
)

// adjustFillingTaskPaces slows the filling tasks on a worker down while the latency
// of a serving task there is close to its target. It speeds them up while all
// latencies are well below the targets.
func (s *Scheduler) adjustFillingTaskPaces(w *worker) {
	highestLatencyShare := 0.0
	for _, t := range w.tasks {
		if target := t.step.spec.Target; target > 0 && t.phase == phaseRunning {
			highestLatencyShare = max(highestLatencyShare, float64(time.Duration(t.reportedMeasurement)*time.Millisecond)/float64(target))
		}
	}
	for _, t := range w.tasks {
		if !t.step.spec.Fills || t.phase != phaseRunning {
			continue
		}
		pace := nextPacePercent(t.pacePercent, highestLatencyShare)
		tooFast, tooSlow := highestLatencyShare > throttleAboveTargetShare, highestLatencyShare < speedUpBelowTargetShare
		if pace != t.pacePercent || (t.paceUnconfirmed && (tooFast || tooSlow)) {
			t.pacePercent, t.paceUnconfirmed = pace, false
			s.effects.Paces = append(s.effects.Paces, Order[backend.Pace]{
				Worker: w.registration.Life, Order: backend.Pace{Task: t.id, Run: t.runNumber, Percent: pace, Token: w.token},
			})
		}
	}
}

// PaceNotConfirmed must be called when a pace order may not have been executed; kind is the
// kind of the error. The pace is ordered again with a later report. An order that was not
// answered may still be executed, so later ones carry a higher fencing token: otherwise the
// late order would replace their pace.
func (s *Scheduler) PaceNotConfirmed(life backend.Life, o *backend.Pace, kind backend.Kind) {
	w := s.workers[life]
	if w == nil {
		return
	}
	t := w.tasks[o.Task]
	if t == nil || t.runNumber != o.Run {
		return
	}
	t.paceUnconfirmed = true
	if kind == backend.KindUnknown && o.Token >= w.requiredToken {
		s.raiseToken(w)
	}
}

// nextPacePercent returns the new pace of a filling task. latencyShare is the latency
// of a serving task on the same worker, divided by the task's target; if there are
// several serving tasks, the highest of these values. A pace of 0 pauses the filling
// task.
func nextPacePercent(pace int, latencyShare float64) int {
	switch {
	case latencyShare > throttleAboveTargetShare:
		pace /= throttleDivisor
		if pace < minPacePercent {
			return 0
		}
	case latencyShare < speedUpBelowTargetShare:
		return min(pace+speedUpPercent, fullPacePercent)
	}
	return pace
}
