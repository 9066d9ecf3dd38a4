package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/state/resource"
)

// loadLogInterval is the shortest interval between two log entries about the load.
const loadLogInterval = 2 * time.Second

// serviceLoad contains the number of workers of one service, and the sums of their
// used and total capacity.
type serviceLoad struct {
	workers                     int
	usedCapacity, totalCapacity resource.Vector
}

// logLoad logs, for each service, how much capacity of its workers is used and how
// many jobs and tasks wait.
func (s *Scheduler) logLoad(now time.Time) {
	if now.Sub(s.loadLastLoggedAt) < loadLogInterval {
		return
	}
	s.loadLastLoggedAt = now
	loads := map[string]serviceLoad{}
	for _, w := range s.workers {
		if !w.registered || w.registration.Draining {
			continue
		}
		v := loads[w.registration.Service]
		v.workers++
		v.usedCapacity, v.totalCapacity = v.usedCapacity.Add(w.usedCapacity), v.totalCapacity.Add(w.registration.Capacity)
		loads[w.registration.Service] = v
	}
	jobs, tasks := map[string]int{}, map[string]int{}
	for _, j := range s.activeJobs {
		if q := s.queueOf(j); q != nil && j.waitingTasks > 0 {
			jobs[q.Service]++
			tasks[q.Service] += j.waitingTasks
		}
	}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		v := loads[name]
		s.log.Info("service_load", "service", name, "workers", v.workers,
			"processors_percent", percent(v.usedCapacity.Milliprocessors, v.totalCapacity.Milliprocessors),
			"memory_percent", percent(v.usedCapacity.MemoryMebibytes, v.totalCapacity.MemoryMebibytes),
			"accelerators_percent", percent(v.usedCapacity.Accelerators, v.totalCapacity.Accelerators),
			"waiting_jobs", jobs[name], "waiting_tasks", tasks[name])
	}
	s.logTeamLoad()
	s.logWaitReasons(now)
	s.logUnsettledTasks(now)
}

func percent(part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
