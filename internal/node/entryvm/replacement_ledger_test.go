package entryvm

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// replacementLedger checks that what was told to callers or acknowledged to workers is not
// taken back. It implements fleet.Observer.
type replacementLedger struct {
	*runLedger
	draw func(n int) int
	// calmSince returns the time since which no fault has acted on a worker.
	calmSince func(id string) time.Time

	// live holds the processes of workers that run.
	live map[backend.Life]*fleet.Worker
	// draining holds the processes that drain.
	draining map[backend.Life]bool
	// sentAt holds when each start was sent last.
	sentAt map[startKey]time.Time
	// bornAt holds when each process started, and failed the jobs of which a run has failed.
	bornAt map[backend.Life]time.Time
	failed map[string]bool
	// doneOn holds the process on which each task has completed.
	doneOn map[work.TaskID]backend.Life
	// deadlines holds the end of the lease of each process by its clock, and lapsedAt when it
	// was last seen to have lapsed.
	deadlines map[backend.Life]time.Duration
	lapsedAt  map[backend.Life]time.Time
	endedAt   map[endKey]time.Time
	// acknowledgements holds the tasks of which a completed run was acknowledged.
	acknowledgements map[work.TaskID]acknowledgement
	jobs             map[string]*work.Job
	// told holds the final states that were told to callers.
	told map[string]toldState
	// cancelled holds the jobs that a caller has tried to cancel.
	cancelled map[string]bool
	// counts says how often each situation occurred.
	counts map[string]int
	// lastFinal is when something final was last told or acknowledged, and alarmed is true if
	// the VMs are to be replaced right after.
	lastFinal time.Time
	alarmed   bool
	// leaderCalmSince is the time since which the leader has been restored and its store free
	// of faults. It is zero if that is not so.
	leaderCalmSince time.Time
}

type startKey struct {
	task  work.TaskID
	run   int64
	token int64
}

type endKey struct {
	life   backend.Life
	number int64
}

// acknowledgement is the acknowledgement of a completed run. inLease is true if the lease of
// the worker had not lapsed since the end of the run.
type acknowledgement struct {
	at      time.Time
	inLease bool
}

// toldState is a final state that the leader of an epoch has told.
type toldState struct {
	state work.State
	epoch int64
	at    time.Time
}

func newReplacementLedger(r *runLedger, draw func(n int) int) *replacementLedger {
	return &replacementLedger{
		runLedger: r, draw: draw, live: map[backend.Life]*fleet.Worker{}, draining: map[backend.Life]bool{}, sentAt: map[startKey]time.Time{}, bornAt: map[backend.Life]time.Time{}, failed: map[string]bool{}, doneOn: map[work.TaskID]backend.Life{}, deadlines: map[backend.Life]time.Duration{}, lapsedAt: map[backend.Life]time.Time{},
		endedAt: map[endKey]time.Time{}, acknowledgements: map[work.TaskID]acknowledgement{}, jobs: map[string]*work.Job{}, told: map[string]toldState{}, cancelled: map[string]bool{}, counts: map[string]int{},
	}
}

// final notes that something final was told or acknowledged. The caller holds the mutex.
func (r *replacementLedger) final(how string) {
	r.counts[how]++
	r.lastFinal = time.Now()
	r.alarmed = r.alarmed || r.draw(12) == 0
}

// startSent notes that a start is sent.
func (r *replacementLedger) startSent(s *backend.Start) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sentAt[startKey{s.Task, s.Run, s.Token}] = time.Now()
}

// born must be called when a process starts.
func (r *replacementLedger) born(life backend.Life) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bornAt[life] = time.Now()
}

// drains must be called when a process begins to drain.
func (r *replacementLedger) drains(life backend.Life) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.draining[life] = true
}

// lease notes whether the lease of a process has lapsed, and must be called before it executes
// an order. The caller calls granted once the process has executed it.
func (r *replacementLedger) lease(life backend.Life, deadline time.Duration) (granted func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	clock := time.Since(r.bornAt[life])
	if clock > r.deadlines[life] {
		r.lapsedAt[life] = time.Now()
	}
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.deadlines[life] = max(r.deadlines[life], min(deadline, clock+longestLease))
	}
}

// longestLease is how long a worker goes on after an order at the longest.
const longestLease = 6 * time.Second

// removed must be called when a process ends.
func (r *replacementLedger) removed(life backend.Life) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.live, life)
}

// isGang reports whether a task belongs to a gang. The caller holds the mutex.
func (r *replacementLedger) isGang(t work.TaskID) bool {
	j := r.jobs[t.Job]
	return j != nil && j.Steps[t.Step].Gang
}

// isLarge reports whether a job has many tasks.
func (r *replacementLedger) isLarge(id string) bool {
	return r.jobs[id] != nil && r.jobs[id].TasksPerOccurrence() > 100
}

// couldCall reports whether the leader has been able to call a process since so long a time that
// a run there must not be lost. The caller holds the mutex.
func (r *replacementLedger) couldCall(life backend.Life, at time.Time) bool {
	calm := r.leaderCalmSince
	return r.live[life] != nil && !calm.IsZero() && at.Sub(calm) > 2*time.Second && at.Sub(r.calmSince(life.ID)) > 10*time.Second
}

// Started implements fleet.Observer.
func (r *replacementLedger) Started(on *fleet.Worker, s backend.Start, at time.Time) {
	r.mutex.Lock()
	others := make([]*fleet.Worker, 0, len(r.live))
	for _, w := range r.live {
		if w != on {
			others = append(others, w)
		}
	}
	r.mutex.Unlock()
	for _, w := range others {
		w.Advance(at) // Its runs that have ended are reported to Ended.
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.live[on.Registration.Life] = on
	id := on.Registration.Life.ID
	for _, w := range others {
		if slices.Contains(w.Running(), s.Task) {
			r.violate("task %s starts on %s with run %d, token %d.%d, while it runs on %s", s.Task, id, s.Run, s.Token>>20, s.Token&(1<<20-1), w.Registration.Life.ID)
		}
	}
	sent := r.sentAt[startKey{s.Task, s.Run, s.Token}]
	if a, ok := r.acknowledgements[s.Task]; ok && (a.inLease || sent.After(a.at)) {
		r.violate("task %s starts on %s with run %d, sent at %s, after an acknowledgement at %s", s.Task, id, s.Run, sent.Format("05.000"), a.at.Format("05.000"))
	}
	if told, ok := r.told[s.Task.Job]; ok && sent.Sub(told.at) > time.Second {
		r.violate("task %s starts on %s with run %d, sent at %s, after epoch %d told that the job is %s", s.Task, id, s.Run, sent.Format("05.000"), told.epoch, told.state)
	}
	if done, ok := r.doneOn[s.Task]; ok && r.couldCall(done, sent) {
		r.violate("task %s starts on %s with run %d, sent at %s, although it has completed on %s, which the leader could call", s.Task, id, s.Run, sent.Format("05.000"), done.ID)
	}
	if !r.isLarge(s.Task.Job) && !r.isStored(s, on.Registration.Life) {
		r.violate("run %d of task %s on %s was not stored", s.Run, s.Task, id)
	}
	r.startCounts[s.Task]++
	if r.startCounts[s.Task] > 1 {
		r.counts["task_started_again"]++
	}
}

// Ended implements fleet.Observer.
func (r *replacementLedger) Ended(w *fleet.Worker, e backend.EndedRun, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	life := w.Registration.Life
	r.endedAt[endKey{life, e.Number}] = at
	r.counts["run_"+string(e.Outcome)]++
	switch e.Outcome {
	case backend.Done:
		r.completed[e.Task] = true
		r.doneOn[e.Task] = life
	case backend.Failed:
		r.failed[e.Task.Job] = true
	case backend.LeaseExpired:
		if r.couldCall(life, at) {
			r.violate("run %d of task %s expires on %s, which the leader could call", e.Run, e.Task, life.ID)
		}
	case backend.Stopped:
		if r.startCounts[e.Task] == 1 && !r.isGang(e.Task) && !r.cancelled[e.Task.Job] && !r.failed[e.Task.Job] && !r.draining[life] {
			r.violate("run %d of task %s was stopped on %s, although it was the only one", e.Run, e.Task, life.ID)
		}
	default:
	}
}

// Acknowledged implements fleet.Observer.
func (r *replacementLedger) Acknowledged(w *fleet.Worker, e backend.EndedRun, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e.Outcome != backend.Done {
		return
	}
	life := w.Registration.Life
	inLease := r.lapsedAt[life].Before(r.endedAt[endKey{life, e.Number}])
	r.final("acknowledged")
	if !inLease {
		r.counts["acknowledged_after_lapse"]++
	}
	acknowledged := []work.TaskID{e.Task}
	if r.isGang(e.Task) {
		inLease = false // A start of another member may be on its way.
		for i := range r.jobs[e.Task.Job].Steps[e.Task.Step].Count {
			acknowledged = append(acknowledged, work.TaskID{StepID: e.Task.StepID, Index: i})
		}
	}
	for _, t := range acknowledged {
		if _, ok := r.acknowledgements[t]; !ok {
			r.acknowledgements[t] = acknowledgement{at, inLease}
		}
	}
}

// maxTellingDelay is how long after its end a job is first told as ended, at the longest. The
// time for which its state is kept counts from its end.
const maxTellingDelay = 10 * time.Second

// checkStatus checks the answer of the leader of an epoch to a question about a job. kept is
// how long the states of ended jobs are kept.
func (r *replacementLedger) checkStatus(id string, epoch int64, reply StateReply, kept time.Duration) {
	if !reply.Leading || (!reply.Known && !reply.Fresh) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	told, ok := r.told[id]
	switch {
	case ok && epoch >= told.epoch && reply.Known && reply.State != told.state:
		r.violate("epoch %d tells that job %s is %s, epoch %d has told %s at %s", epoch, id, reply.State, told.epoch, told.state, told.at.Format("05.000"))
	case ok && epoch >= told.epoch && !reply.Known && time.Since(told.at) < kept-maxTellingDelay:
		r.violate("epoch %d does not know job %s, epoch %d has told %s", epoch, id, told.epoch, told.state)
	case ok && epoch > told.epoch && reply.Known:
		r.counts["told_again_by_successor"]++
	case !ok && reply.Known && reply.State.Ended():
		r.told[id] = toldState{reply.State, epoch, time.Now()}
		r.final("told_" + string(reply.State))
		if reply.State == work.Completed {
			r.checkCompleted(id)
		}
	}
}

// checkCompleted checks that all tasks of a job that is told as completed have completed. The
// caller holds the mutex.
func (r *replacementLedger) checkCompleted(id string) {
	j := r.jobs[id]
	for o := range j.Occurrences() {
		for i := range j.Steps {
			done := 0
			for k := range j.Steps[i].Count {
				if r.completed[work.TaskID{StepID: work.StepID{Job: id, Occurrence: o, Step: i}, Index: k}] {
					done++
				}
			}
			if done < j.Steps[i].Count && (done == 0 || !j.Steps[i].Gang) {
				r.violate("job %s is told as completed, but only %d of %d tasks of occurrence %d, step %d have completed", id, done, j.Steps[i].Count, o, i)
			}
		}
	}
}
