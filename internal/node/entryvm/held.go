package entryvm

import (
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/operate/measure"
)

// The gauges that the leader sets at each tick.
var (
	runsWithoutSessionKey = measure.Key{Name: "runs_without_session"}
	unheldWorkersKey      = measure.Key{Name: "unheld_workers"}
	interferingPairsKey   = measure.Key{Name: "interference_pairs"}
	movedPlacementsKey    = measure.Key{Name: "interference_moves"}
)

// setGauges sets the gauges of runs and workers that the leader does not hold, and of tasks that
// slow each other down. The caller must hold the mutex.
func (l *leader) setGauges(s *scheduler.Scheduler) {
	l.node.measures.Set(runsWithoutSessionKey, int64(s.RunsWithoutSession()))
	l.node.measures.Set(unheldWorkersKey, int64(s.UnheldWorkers()))
	l.node.measures.Set(interferingPairsKey, int64(s.KnownInterferingPairs()))
	l.node.measures.Set(movedPlacementsKey, s.MovedPlacements())
}

// removeGauges removes the gauges when this VM no longer leads.
func (l *leader) removeGauges() {
	l.node.measures.Unset(runsWithoutSessionKey)
	l.node.measures.Unset(unheldWorkersKey)
	l.node.measures.Unset(interferingPairsKey)
	l.node.measures.Unset(movedPlacementsKey)
}
