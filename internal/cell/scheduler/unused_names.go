package scheduler

import (
	"maps"
	"time"
)

// forgetUnusedNames removes what is kept by names of queues, teams and services that are neither
// configured nor belong to a job or worker: each configuration of a day may have others. The caps
// of teams are kept, for accepted jobs that are not known yet.
func (s *Scheduler) forgetUnusedNames() {
	queues, services := map[string]bool{}, map[string]bool{}
	for i := range s.table.Queues {
		queues[s.table.Queues[i].Name] = true
		services[s.table.Queues[i].Service] = true
	}
	for _, j := range s.activeJobs {
		queues[j.spec.Queue] = true
	}
	for _, j := range s.jobs { // A start for an ended job may still be executed.
		if d := j.spec.Definition; d != nil {
			services[d.Service] = true
		}
	}
	for _, w := range s.workers {
		services[w.registration.Service] = true
	}
	maps.DeleteFunc(s.dispatcher.approvalRates, func(name string, _ float64) bool { return !queues[name] })
	maps.DeleteFunc(s.runTimes.runTimeRatios, func(k imageKey, _ runTimeRatio) bool { return !queues[k.queue] })
	maps.DeleteFunc(s.servicesWithoutAdvice, func(name string, _ bool) bool { return !services[name] })
	s.rates.Forget(func(team string) bool { return s.table.Teams.Named(team) == nil })
}

// forgetLargeStepWaits removes the times that no longer make a difference.
func (s *Scheduler) forgetLargeStepWaits(now time.Time) {
	maps.DeleteFunc(s.interference.largeStepWaitedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= largeStepPause })
}
