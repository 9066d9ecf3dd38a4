package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// fullPace is the initial pace of every run, in percent of its full speed.
	fullPace = 100
	// throttleAbove and speedUpBelow are fractions of the latency target of a
	// serving task. Filling tasks on the same worker are slowed down while its
	// latency is above the first, and sped up while it is below the second.
	throttleAbove = 0.85
	speedUpBelow  = 0.6
	// throttleDivisor divides the pace of a filling task to slow it down;
	// speedUpPercent is added to the pace to speed it up.
	throttleDivisor = 2
	speedUpPercent  = 15
	// minPace is the lowest pace in percent. A filling task that would be slower is
	// paused.
	minPace = 12
)

// adjustFillerPaces slows the filling tasks on a worker down while a serving task
// there is close to its latency target, and speeds them up while all are well
// below.
func (s *Scheduler) adjustFillerPaces(w *worker) {
	highestLoad := 0.0
	for _, t := range w.tasks {
		if target := t.step.spec.Target; target > 0 && t.phase == phaseRunning {
			highestLoad = max(highestLoad, float64(time.Duration(t.reportedFigure)*time.Millisecond)/float64(target))
		}
	}
	for _, t := range w.tasks {
		if !t.step.spec.Fills || t.phase != phaseRunning {
			continue
		}
		if pace := nextPace(t.pace, highestLoad); pace != t.pace {
			t.pace = pace
			s.effects.Paces = append(s.effects.Paces, Order[backend.Pace]{
				Worker: w.registration.Life, Order: backend.Pace{Task: t.id, Run: t.run, Percent: pace, Token: w.token},
			})
		}
	}
}

// nextPace returns the new pace of a filling task beside a serving task whose tail
// latency is the fraction load of its target. A pace of 0 pauses the task.
func nextPace(pace int, load float64) int {
	switch {
	case load > throttleAbove:
		pace /= throttleDivisor
		if pace < minPace {
			return 0
		}
	case load < speedUpBelow:
		return min(pace+speedUpPercent, fullPace)
	}
	return pace
}
