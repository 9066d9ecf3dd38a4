package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// fullPace is the pace of a run from its start on, in percent.
	fullPace = 100
	// slowAbove and quickenBelow are fractions of a serving task's target: its
	// filling neighbours are slowed above the one and quickened below the other.
	slowAbove    = 0.85
	quickenBelow = 0.6
	// slowFactor divides the pace of a neighbour; quickenStep is added to it, in
	// percent.
	slowFactor  = 2
	quickenStep = 15
	// leastPace is the pace below which a neighbour is halted, in percent.
	leastPace = 12
)

// paceFillers slows the filling tasks on a worker while a serving task there is
// close to its target, and quickens them when it is well below.
func (s *Scheduler) paceFillers(w *worker) {
	worst := 0.0
	for _, t := range w.tasks {
		if target := t.step.spec.Target; target > 0 && t.phase == phaseRunning {
			worst = max(worst, float64(time.Duration(t.figure)*time.Millisecond)/float64(target))
		}
	}
	for _, t := range w.tasks {
		if !t.step.spec.Fills || t.phase != phaseRunning {
			continue
		}
		if pace := nextPace(t.pace, worst); pace != t.pace {
			t.pace = pace
			s.effects.Paces = append(s.effects.Paces, Order[backend.Pace]{
				Worker: w.registration.Life, Order: backend.Pace{Task: t.id, Run: t.run, Percent: pace, Token: w.token},
			})
		}
	}
}

// nextPace returns the pace of a filling task beside a serving task whose tail
// is at a fraction of its target.
func nextPace(pace int, load float64) int {
	switch {
	case load > slowAbove:
		pace /= slowFactor
		if pace < leastPace {
			return 0
		}
	case load < quickenBelow:
		return min(pace+quickenStep, fullPace)
	}
	return pace
}
