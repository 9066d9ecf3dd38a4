package scheduler

import (
	"cmp"
	"slices"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/quota"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// usage is what one run uses: capacity of its worker, and quota of its team.
type usage struct {
	capacity resource.Vector
	// team is charged size, the full size of the task. It is empty if the job has no team
	// or is not known.
	team string
	size resource.Vector
}

func usageOf(t *task) usage {
	return usage{t.step.spec.ReservedCapacity(), t.step.job.spec.Team, t.step.spec.Size}
}

// usageOfReported returns the usage of a run that a worker or a record names. It is zero if
// the job is not known.
func (s *Scheduler) usageOfReported(id work.TaskID) usage {
	j := s.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return usage{}
	}
	spec := &j.spec.Steps[id.Step]
	return usage{spec.ReservedCapacity(), j.spec.Team, spec.Size}
}

// addUsage must be called when a run begins to use capacity of the worker.
func (w *worker) addUsage(u usage) {
	w.usedCapacity = w.usedCapacity.Add(u.capacity)
	w.ledger.Charge(u.team, u.size)
	if u.team != "" {
		if w.usedByTeam == nil {
			w.usedByTeam = map[string]resource.Vector{}
		}
		w.usedByTeam[u.team] = w.usedByTeam[u.team].Add(u.capacity)
	}
}

// removeUsage must be called when a run ceases to use capacity of the worker.
func (w *worker) removeUsage(u usage) {
	w.usedCapacity = w.usedCapacity.Sub(u.capacity)
	w.ledger.Release(u.team, u.size)
	if u.team == "" {
		return
	}
	if left := w.usedByTeam[u.team].Sub(u.capacity); left.IsZero() {
		delete(w.usedByTeam, u.team)
	} else {
		w.usedByTeam[u.team] = left
	}
}

// runOnWorker is a run on one worker process.
type runOnWorker struct {
	run    runID
	worker *worker
}

// keepCharged makes the present run of a task an orphaned run if it is charged to a team and
// may exist. It must be called before the task completes although this run has not ended.
func (s *Scheduler) keepCharged(t *task) {
	w := t.worker
	if w == nil || t.phase == phasePlaced || t.step.job.spec.Team == "" {
		return
	}
	s.addOrphanedRun(w, t)
	if !t.runConfirmed {
		s.raiseToken(w)
	}
}

// setCaps passes the caps of a configuration to the ledger.
func (s *Scheduler) setCaps(t *queue.Table) {
	caps := make(map[string]resource.Vector, t.Teams.Len())
	for v := range t.Teams.All() {
		caps[v.Name] = v.Cap
	}
	s.quota.SetCaps(caps)
}

// hasConfiguration reports whether the leader knows a configuration, and with it the caps.
func (s *Scheduler) hasConfiguration() bool { return s.table.Version > 0 }

// isLimited reports whether a cap may limit what a job starts: it has a team, and the
// configuration has teams or is not known yet.
func (s *Scheduler) isLimited(j *job) bool {
	return j.spec.Team != "" && (!s.hasConfiguration() || s.table.Teams.Len() > 0)
}

// fitsQuota reports whether n tasks of a step fit under the cap of their team.
func (s *Scheduler) fitsQuota(st *step, n int) bool {
	if !s.isLimited(st.job) {
		return true
	}
	return s.hasConfiguration() && s.quota.Fits(st.job.spec.Team, quota.Times(st.spec.Size, n))
}

// couldFitQuota reports whether a task of a step, or all tasks of a gang, would fit under
// the cap of their team if it had nothing else running.
func (s *Scheduler) couldFitQuota(st *step) bool {
	return !s.isLimited(st.job) || s.quota.CouldFit(st.job.spec.Team, quota.Times(st.spec.Size, st.tasksAtOnce()))
}

// tasksAtOnce returns the number of tasks that must be placed together: all of a gang, or one.
func (st *step) tasksAtOnce() int {
	if st.spec.Gang {
		return len(st.tasks)
	}
	return 1
}

// isHeldByQuota reports whether the waiting tasks of a step can't be placed because of the
// cap of their team. Such a step claims no capacity, reserves no worker and asks no adviser.
func (s *Scheduler) isHeldByQuota(st *step) bool { return !s.fitsQuota(st, st.tasksAtOnce()) }

// isAboveQuota reports whether the team of a job has more running than its cap allows.
func (s *Scheduler) isAboveQuota(j *job) bool {
	return s.isLimited(j) && !s.quota.Fits(j.spec.Team, resource.Vector{})
}

// fitsQuotaOnceOpen reports whether tasks of a step will fit under the cap of their team once
// the tasks of the steps that it depends on have ended.
func (s *Scheduler) fitsQuotaOnceOpen(st *step) bool {
	if !s.isLimited(st.job) {
		return true
	}
	needed := quota.Times(st.spec.Size, st.tasksAtOnce())
	for _, a := range st.spec.After {
		for _, t := range st.occurrence.steps[a].tasks {
			if t.onWorker() {
				needed = needed.Sub(t.step.spec.Size)
			}
		}
	}
	return s.hasConfiguration() && s.quota.Fits(st.job.spec.Team, needed)
}

// startableTasks returns how many waiting tasks of a step fit under the cap of their team.
func (s *Scheduler) startableTasks(st *step) int { return quotaClaims{}.claim(s, st) }

// quotaClaims maps each team to what the steps handled so far in a scheduling pass need of
// its quota.
type quotaClaims map[string]resource.Vector

// claim returns how many waiting tasks of a step fit under the cap of their team beside the
// earlier claims, and adds them to these. It returns 0 for a gang that does not fit as a
// whole.
func (c quotaClaims) claim(s *Scheduler, st *step) int {
	waiting := st.countWaitingTasks()
	if !s.isLimited(st.job) {
		return waiting
	}
	team := st.job.spec.Team
	tasks := s.quota.Places(team, st.spec.Size, c[team], waiting)
	if !s.hasConfiguration() || (st.spec.Gang && tasks < waiting) {
		return 0
	}
	c[team] = c[team].Add(quota.Times(st.spec.Size, tasks))
	return tasks
}

// maxTeamLines limits the lines about the use of teams that are written at the same time.
const maxTeamLines = 50

// logTeamLoad logs, for each team with running or waiting tasks, its use and its cap. If there
// are more than maxTeamLines, those with the most waiting tasks are logged.
func (s *Scheduler) logTeamLoad() {
	if s.table.Teams.Len() == 0 {
		return
	}
	waiting, waitingJobs, beyondRate := map[string]int{}, map[string]int{}, map[string]int{}
	for _, team := range s.quota.Charged() {
		waiting[team] = 0
	}
	for _, j := range s.activeJobs {
		if j.spec.Team != "" && j.waitingTasks > 0 {
			waiting[j.spec.Team] += j.waitingTasks
			waitingJobs[j.spec.Team]++
			if j.beyondRate {
				beyondRate[j.spec.Team]++
			}
		}
	}
	teams := sortedKeys(waiting, func(a, b string) int {
		return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b))
	})
	if len(teams) > maxTeamLines {
		s.log.Info("team_load_left_out", "teams", len(teams)-maxTeamLines)
		teams = slices.Clone(teams[:maxTeamLines])
	}
	for _, team := range teams {
		used, limit := s.quota.Used(team), s.quota.Cap(team)
		s.log.Info("team_load", "team", team,
			"milliprocessors", used.Milliprocessors, "cap_milliprocessors", limit.Milliprocessors,
			"memory_mebibytes", used.MemoryMebibytes, "cap_memory_mebibytes", limit.MemoryMebibytes,
			"accelerators", used.Accelerators, "cap_accelerators", limit.Accelerators, "waiting_tasks", waiting[team],
			"waiting_jobs", waitingJobs[team], "beyond_rate", beyondRate[team])
	}
}
