package entryvm

import (
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/operate/measure"
)

// The gauges that the leader sets at each tick.
var (
	runsWithoutSessionKey = measure.Key{Name: "runs_without_session"}
	unheldWorkersKey      = measure.Key{Name: "unheld_workers"}
)

// setHeldGauges sets the gauges of runs and workers that the leader does not hold. The caller
// must hold the mutex.
func (l *leader) setHeldGauges(s *scheduler.Scheduler) {
	l.node.measures.Set(runsWithoutSessionKey, int64(s.RunsWithoutSession()))
	l.node.measures.Set(unheldWorkersKey, int64(s.UnheldWorkers()))
}

// removeHeldGauges removes the gauges when this VM no longer leads.
func (l *leader) removeHeldGauges() {
	l.node.measures.Unset(runsWithoutSessionKey)
	l.node.measures.Unset(unheldWorkersKey)
}
