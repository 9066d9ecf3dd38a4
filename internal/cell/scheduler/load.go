package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/state/resource"
)

// loadInterval is the pause between two reports of the load.
const loadInterval = 2 * time.Second

// load is the state of a service's workers.
type load struct {
	workers        int
	used, capacity resource.Vector
}

// logLoad reports how full each service is and what waits for it.
func (s *Scheduler) logLoad(now time.Time) {
	if now.Sub(s.lastLoad) < loadInterval {
		return
	}
	s.lastLoad = now
	loads := map[string]load{}
	for _, w := range s.workers {
		if !w.listed || w.registration.Draining {
			continue
		}
		v := loads[w.registration.Service]
		v.workers++
		v.used, v.capacity = v.used.Add(w.used), v.capacity.Add(w.registration.Capacity)
		loads[w.registration.Service] = v
	}
	jobs, tasks := map[string]int{}, map[string]int{}
	for _, j := range s.active {
		if q := s.table.Queue(j.spec.Queue); q != nil && j.waiting > 0 {
			jobs[q.Service]++
			tasks[q.Service] += j.waiting
		}
	}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		v := loads[name]
		s.log.Info("service_load", "service", name, "workers", v.workers,
			"processors_percent", percent(v.used.Milliprocessors, v.capacity.Milliprocessors),
			"memory_percent", percent(v.used.MemoryMebibytes, v.capacity.MemoryMebibytes),
			"accelerators_percent", percent(v.used.Accelerators, v.capacity.Accelerators),
			"waiting_jobs", jobs[name], "waiting_tasks", tasks[name])
	}
}

func percent(part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
