package soak

import (
	"time"

	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// longestLease is how long a lease lasts at most, by the slowest clock of a worker.
const longestLease = workerLease + workerLease/40

// The checks of this file hold for a worker that is reachable by a leader in touch. A worker is
// reachable while its calls are neither cut off, lost or delayed nor, having been held up, still
// to be executed. The leader is in touch at a moment if for the whole time contact before it
// there was no fault of the VM that led: its process was not killed, stopped or frozen, and it
// was not cut off from the store, which was neither down nor slow for it. Faults of other VMs,
// keepers included, and missing entries do not count: the leader has to cope with them in time.

// connected records where the faults of the calls to a worker process are found.
func (l *ledger) connected(life backend.Life, link *disturbance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.links[life] = link
}

// cancelled records that a caller was told that a job is cancelled.
func (l *ledger) cancelled(id string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if j := l.jobs[id]; j.cancelledAt.IsZero() {
		j.cancelledAt = at
	}
}

// calmSince returns since when there is neither a fault of the leader nor of the calls to a
// worker process. The caller must hold the mutex.
func (l *ledger) calmSince(life backend.Life, now time.Time) time.Time {
	return later(l.leader.calmSince(now), l.linkedSince(life, now))
}

// linkedSince returns since when a worker process is reachable. The caller must hold the mutex.
func (l *ledger) linkedSince(life backend.Life, now time.Time) time.Time {
	if link := l.links[life]; link != nil {
		return link.calmSince(now)
	}
	return time.Time{}
}

// checkRuns checks all runs.
func (l *ledger) checkRuns(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, t := range l.tasks {
		j := l.jobs[id.Job]
		for _, r := range t.running {
			l.checkHeld(r, now)
			if j != nil && !j.cancelledAt.IsZero() {
				l.checkCancelled(j, r, now)
			}
		}
	}
}

// checkCancelled checks that a run of a cancelled job does not go on for too long: its worker
// was reachable and the leader in touch, without a break, for cancelLimit and stopGrace after
// the cancellation was acknowledged. For a run that started later, the time counts from
// contact after its start. The caller must hold the mutex.
func (l *ledger) checkCancelled(j *jobRecord, r *startRecord, now time.Time) {
	since := later(l.linkedSince(r.life, now), l.leader.calmSince(now).Add(contact))
	since = later(since, j.cancelledAt)
	if r.at.After(j.cancelledAt) {
		since = later(since, r.at.Add(contact))
	}
	if now.Sub(since) > cancelLimit+stopGrace && !r.overran {
		r.overran = true
		l.violateByRun("cancelled runs end", r, "task %s runs on %s, %.2f s after its job was cancelled and %.2f s of them reachable",
			r.order.Task, r.life.ID, now.Sub(j.cancelledAt).Seconds(), now.Sub(since).Seconds())
	}
}

// checkHeld checks that the lease of a run's worker was extended if there was no fault of the
// leader and of the calls to the worker for contact and holdLimit. The caller must hold the mutex.
func (l *ledger) checkHeld(r *startRecord, now time.Time) {
	since := later(later(l.calmSince(r.life, now), r.at), l.lease(r.life).extendedAt)
	if now.Sub(since) > contact+holdLimit && !r.unheld {
		r.unheld = true
		l.violateByRun("runs on reachable workers are held", r, "the lease of worker %s, which runs task %s, was not extended for %.2f s; its calls and the leader were without fault for %.2f s",
			r.life.ID, r.order.Task, now.Sub(l.lease(r.life).extendedAt).Seconds(), now.Sub(l.calmSince(r.life, now)).Seconds())
	}
}

// checkStartsUncancelled checks that a run does not start later than cancelLimit after its job
// was cancelled, unless the VM that sent the order was not in touch or the worker carried it
// out late. The caller must hold the mutex.
func (l *ledger) checkStartsUncancelled(j *jobRecord, r *startRecord) {
	if j.cancelledAt.IsZero() || r.at.Sub(j.cancelledAt) <= cancelLimit || r.at.Sub(l.calmSince(r.life, r.at)) <= contact {
		return
	}
	if vm := r.arrival.connection.caller(); vm != nil && r.at.Sub(vm.disturbed.calmSince(r.at)) <= contact {
		return
	}
	l.violateByRun("cancelled jobs don't start", r, "worker %s started task %s %.2f s after its job was cancelled", r.life.ID, r.order.Task, r.at.Sub(j.cancelledAt).Seconds())
}

// checkLeaseExtended checks that a run whose lease has lapsed could not be held: there was a
// fault of the calls to its worker or of the leader during the lease. Unlike checkHeld it also
// notices extensions that are too short. The caller must hold the mutex.
func (l *ledger) checkLeaseExtended(w *fleet.Worker, r *startRecord, at time.Time) {
	life := w.Registration.Life
	if at.Sub(l.calmSince(life, at)) > longestLease && at.Sub(r.at) > longestLease && !r.unheld {
		l.violateByRun("runs on reachable workers are held", r, "the lease of worker %s lapsed while it ran task %s; its calls and the leader were without fault for %.2f s",
			life.ID, r.order.Task, at.Sub(l.calmSince(life, at)).Seconds())
	}
}

// violateByRun records that a run has broken a promise. The caller must hold the mutex.
func (l *ledger) violateByRun(promise string, r *startRecord, format string, args ...any) {
	l.violate(promise, format, args...)
	l.violations[len(l.violations)-1].starts = []*startRecord{r}
}

// reportError records an error of a fault.
func (l *ledger) reportError(kind string, err error) {
	if err != nil {
		l.report("processes start and stop", "%s: %s", kind, err)
	}
}

// lastingJobs returns the IDs of the jobs without an end whose cancellation was not
// acknowledged.
func (l *ledger) lastingJobs() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ids []string
	for id, j := range l.jobs {
		if j.spec.Steps[0].Lasting && j.cancelledAt.IsZero() && !j.rejected {
			ids = append(ids, id)
		}
	}
	return ids
}

// runsCancelledJobs reports whether a run of a cancelled job goes on that has not broken a
// promise.
func (l *ledger) runsCancelledJobs() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, t := range l.tasks {
		if j := l.jobs[id.Job]; j == nil || j.cancelledAt.IsZero() {
			continue
		}
		for _, r := range t.running {
			if !r.overran {
				return true
			}
		}
	}
	return false
}

// isLong reports whether the tasks of a job are long.
func (l *ledger) isLong(id string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.jobs[id].spec.Steps[0].Estimate >= longRunTime
}
