package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/state/resource"
)

// loadLogInterval is the interval at which the load is logged.
const loadLogInterval = 2 * time.Second

// serviceLoad is the number of workers of a service with their used and total
// capacity.
type serviceLoad struct {
	workers        int
	used, capacity resource.Vector
}

// logLoad logs, for each service, how full its workers are and how much work waits.
func (s *Scheduler) logLoad(now time.Time) {
	if now.Sub(s.lastLoadLog) < loadLogInterval {
		return
	}
	s.lastLoadLog = now
	loads := map[string]serviceLoad{}
	for _, w := range s.workers {
		if !w.registered || w.registration.Draining {
			continue
		}
		v := loads[w.registration.Service]
		v.workers++
		v.used, v.capacity = v.used.Add(w.used), v.capacity.Add(w.registration.Capacity)
		loads[w.registration.Service] = v
	}
	jobs, tasks := map[string]int{}, map[string]int{}
	for _, j := range s.active {
		if q := s.table.Queue(j.spec.Queue); q != nil && j.waitingTasks > 0 {
			jobs[q.Service]++
			tasks[q.Service] += j.waitingTasks
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
