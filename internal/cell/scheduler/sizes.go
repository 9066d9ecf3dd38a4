package scheduler

// summedSizes names the structures of single jobs, workers and pools, of which Sizes returns the
// sums.
var summedSizes = []string{
	"jobs_ended_with_submission", "job_orphaned_runs", "occurrences", "steps", "tasks", "failed_runs", "earlier_runs",
	"tickets", "answered_workers", "awaited_workers", "reserved_workers", "reservations", "infeasible_shapes",
	"workers_listed", "workers_unlisted", "tasks_on_workers", "orphaned_runs", "lost_stops", "delayed_starts", "worker_teams", "worker_images",
	"interference_images", "interference_pairs",
}

// Sizes returns the number of entries of each structure that the scheduler keeps between calls,
// by name; it always returns all names. docs/OPERATIONS.md says what bounds each of them. It goes
// through all jobs and workers.
func (s *Scheduler) Sizes() map[string]int {
	sizes := map[string]int{
		"jobs_active": len(s.activeJobs), "jobs_ended": len(s.jobs) - len(s.activeJobs),
		"jobs_to_store": len(s.dirtyJobs), "jobs_to_delete": len(s.expiredJobs), "early_cancellations": len(s.earlyCancellations),
		"worker_ids": len(s.latestWorkerByID), "former_tokens": len(s.formerTokens), "replaced_lives": len(s.replacedLives),
		"worker_records_to_store": len(s.workersToRecord), "worker_records_to_delete": len(s.workerRecordsToDelete),
		"workers_with_new_ends": len(s.workersWithNewEnds), "workers_opened": len(s.openedWorkers), "worker_line_sums": len(s.workerLines.sums),
		"advice_vms": len(s.dispatcher.vms), "advice_requests": len(s.dispatcher.inFlightRequests),
		"advice_steps": len(s.dispatcher.pendingSteps), "approval_rates": len(s.dispatcher.approvalRates),
		"run_time_ratios": len(s.runTimes.runTimeRatios), "large_step_waits": len(s.interference.largeStepWaitedAt),
		"services_without_advice": len(s.servicesWithoutAdvice), "quota_teams": s.quota.Teams(), "queues": len(s.table.Queues),
	}
	for _, name := range summedSizes {
		sizes[name] = 0
	}
	sizes["rate_teams"], sizes["rate_jobs"] = s.rates.Sizes()
	if s.interference.model != nil {
		sizes["interference_images"], sizes["interference_pairs"] = s.interference.model.Sizes()
	}
	if s.reservations != nil {
		sizes["reservations"] = len(s.reservations.byWorker)
	}
	for _, p := range s.pools {
		sizes["infeasible_shapes"] += len(p.infeasible)
	}
	for _, j := range s.jobs {
		j.addSizes(sizes)
	}
	for _, w := range s.workers {
		w.addSizes(sizes)
	}
	return sizes
}

// addSizes adds the entries of the structures of a job.
func (j *job) addSizes(sizes map[string]int) {
	if j.state.Ended() && (j.submissionStored || j.submissionDeletions > 0) {
		sizes["jobs_ended_with_submission"]++
	}
	sizes["job_orphaned_runs"] += len(j.orphanedRuns)
	sizes["occurrences"] += len(j.occurrences)
	for _, o := range j.occurrences {
		sizes["steps"] += len(o.steps)
		for _, st := range o.steps {
			st.addSizes(sizes)
		}
	}
}

// addSizes adds the entries of the structures of a step.
func (st *step) addSizes(sizes map[string]int) {
	a := &st.advice
	sizes["tickets"] += len(a.tickets)
	sizes["answered_workers"] += len(a.answered)
	sizes["awaited_workers"] += len(a.workersAwaitingAnswer)
	sizes["reserved_workers"] += len(a.reservedWorkers)
	sizes["tasks"] += len(st.tasks)
	for _, t := range st.tasks {
		sizes["failed_runs"] += len(t.failedRuns)
		if t.earlier != nil {
			sizes["earlier_runs"]++
		}
	}
}

// addSizes adds the entries of the structures of a worker.
func (w *worker) addSizes(sizes map[string]int) {
	if w.registered {
		sizes["workers_listed"]++
	} else {
		sizes["workers_unlisted"]++
	}
	sizes["tasks_on_workers"] += len(w.tasks)
	sizes["orphaned_runs"] += len(w.orphanedRuns)
	sizes["lost_stops"] += len(w.lostStops.runs)
	sizes["delayed_starts"] += len(w.delayedStarts)
	sizes["worker_teams"] += len(w.usedByTeam)
	sizes["worker_images"] += len(w.images)
}
