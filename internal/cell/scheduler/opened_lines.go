package scheduler

import (
	"cmp"
	"slices"

	"github.com/almondpost/almondpost/internal/state/resource"
)

// maxOpenedLines is the largest number of newly listed workers for which each gets its own
// line. A take-over opens all workers at once.
const maxOpenedLines = 16

// logOpenedWorkers logs the workers for which sessions were opened since the last call: one
// line each, or one for each service and zone if there are more than maxOpenedLines.
func (s *Scheduler) logOpenedWorkers() {
	opened := s.openedWorkers
	s.openedWorkers = nil
	if len(opened) <= maxOpenedLines {
		for _, w := range opened {
			r := &w.registration
			s.log.Info("worker_opened", "worker", r.Life.ID, "born", r.Life.Born, "token", w.token, "service", r.Service, "zone", r.Zone, "capacity", r.Capacity.String())
		}
		return
	}
	type place struct{ service, zone string }
	type sum struct {
		workers  int
		capacity resource.Vector
	}
	sums := map[place]sum{}
	for _, w := range opened {
		p := place{w.registration.Service, w.registration.Zone}
		sums[p] = sum{sums[p].workers + 1, sums[p].capacity.Add(w.registration.Capacity)}
	}
	for _, p := range sortedKeys(sums, func(a, b place) int { return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone)) }) {
		s.log.Info("workers_opened", "service", p.service, "zone", p.zone, "workers", sums[p].workers, "capacity", sums[p].capacity.String())
	}
}

func sortedKeys[K comparable, V any](m map[K]V, compare func(a, b K) int) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compare)
	return keys
}
