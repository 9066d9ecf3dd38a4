// Package scheduler decides where and when the tasks of one cell run. It is a state
// machine: its methods receive events and the current time, and TakeEffects returns
// the orders and other effects that the caller has to carry out. The package does no
// I/O and starts no goroutines; the caller serializes the calls.
//
// A scheduling pass goes through the jobs in order and places their waiting
// tasks on workers. An order is a command to a worker: to start or stop a run, or to
// change its pace. A run is one attempt at a task. Workers report the end of each
// run, and number these ends. A life is one process lifetime of a worker: a restart
// begins a new one, in which none of the earlier runs exist. A hold is a long-polled
// heartbeat to a worker: it renews the lease of all its runs, acknowledges the ends
// of runs that are stored, and returns the worker's report. Advice is the answer of
// an external adviser service: it names the workers that a step may use, with a
// ticket for each.
//
// A start is ordered only after its placement is stored in the progress record of its
// job. So the next leader knows every run that may exist, and a leader whose appends
// the store rejects cannot start anything. Ends of runs are acknowledged to workers
// only once they are stored, and results are shown to callers only once they are stored.
package scheduler

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/cell/history"
	"github.com/almondpost/almondpost/internal/cell/interference"
	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/quota"
	"github.com/almondpost/almondpost/internal/cell/share"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Timing holds the durations that the platform and its workers determine.
type Timing struct {
	// Lease is how long a worker continues its runs after its last hold, measured on
	// the worker's clock.
	Lease time.Duration
	// LeadershipLease is how long a leader may extend the leases of workers after the
	// start of its last append that the store accepted.
	LeadershipLease time.Duration
	// HoldWait is how long a worker may wait before it answers a hold if no run ends
	// in this time.
	HoldWait time.Duration
	// EndedJobRetention is how long the state of a job is kept after the job has ended. It is
	// longer than the store takes to execute a submission that it has not answered.
	EndedJobRetention time.Duration
	// MaxOrderDelay is the longest time after which a worker may still execute a start
	// order that it has not answered. 0 means that it executes such an order before
	// later ones or never.
	MaxOrderDelay time.Duration
	// EarlyStart is how long before its due time an occurrence may start. 0 means
	// that it starts at the due time at the earliest.
	EarlyStart time.Duration
}

const (
	// maxClockDrift is the largest factor by which a worker's clock may run more
	// slowly than the leader's. Measured on the leader's clock, a lease may last
	// longer by this factor.
	maxClockDrift = 1.02
	// leaseMargin is added to the length of a lease. It covers the time between
	// reading the worker's clock and using the value.
	leaseMargin = 150 * time.Millisecond
	// A fencing token contains the epoch in its high bits. Its low tokenCounterBits
	// bits allow a leader to raise the token within its epoch, so that new orders
	// supersede its own earlier ones.
	tokenCounterBits = 20
)

// Effects lists what the caller has to do after calls to the scheduler.
type Effects struct {
	// SessionsToOpen lists the workers for which the caller must open a session. In a
	// session, it sends holds to the worker one after the other. Closed lists the
	// workers whose sessions must be closed.
	SessionsToOpen  []backend.Registration
	SessionsToClose []backend.Life
	// HoldAtOnce lists the workers to which the next hold must be sent at once.
	HoldAtOnce     []backend.Life
	Starts         []Order[backend.Start]
	Stops          []Order[backend.Stop]
	Paces          []Order[backend.Pace]
	AdviceRequests []AdviceRequest
	// Observations lists the durations that the caller must record in the metrics.
	Observations []Observation
	// SubmissionsToDelete lists the IDs of ended jobs whose submissions the caller must delete
	// from the store.
	SubmissionsToDelete []string
	// CancellationsToDelete lists the IDs of jobs that were never submitted, or whose states are
	// not kept any more. The caller must delete their cancellations, and nothing else, from the
	// store.
	CancellationsToDelete []string
	// EndedJobs lists the IDs of jobs whose state, as Status returns it, may have become
	// final. A job is listed when it ends and again when its final state is stored.
	EndedJobs []string
}

// Observation is a measured duration for the metrics of a queue.
type Observation struct {
	// Name is "first_start" or "completed" for the time since the submission of the
	// job, or "advice" for the time that the adviser took to answer a request.
	Name     string
	Queue    string
	Duration time.Duration
}

// Order is a start, stop or pace command to send to one worker.
type Order[T any] struct {
	Worker backend.Life
	Order  T
}

// Scheduler holds the state of one cell. Its methods must not be called concurrently.
type Scheduler struct {
	log    logr.Logger
	timing Timing
	// epoch is the epoch of this leader. It is the high part of its fencing tokens.
	epoch int64
	// clockBase and wallBase are the readings of the scheduler's clock and of the
	// wall clock at the same moment.
	clockBase time.Time
	wallBase  time.Time
	table     *queue.Table
	// servicesWithoutAdvice holds the services with a queue that needs no advice, or that had
	// one, whose jobs may still run. Starts on their workers may carry no ticket, which would
	// hold for one process only.
	servicesWithoutAdvice map[string]bool

	// quota accounts for what teams have running, with the caps of the configuration.
	quota *quota.Ledger
	// rates tells which jobs exceed the rate that is guaranteed to their team.
	rates *share.Rate

	jobs map[string]*job
	// activeJobs holds the jobs that have not ended, by ID.
	activeJobs map[string]*job
	// earlyCancellations contains the jobs whose cancellation was read from the store
	// before their submission. It maps the ID of the job to the time at which the
	// cancellation was read.
	earlyCancellations map[string]time.Time
	// expiredJobs lists the IDs of ended jobs that were kept for long enough. Their
	// progress records are deleted with the next commit.
	expiredJobs []string
	// dirtyJobs holds the jobs whose progress has changed since they were last put
	// into a commit.
	dirtyJobs map[string]*job
	workers   map[backend.Life]*worker
	// lives caches the result of sortedLives. It is nil if it must be rebuilt.
	lives []backend.Life
	// workersWithNewEnds contains every worker that has listed ends of runs whose effect
	// is not stored yet. It may contain others too.
	workersWithNewEnds map[*worker]bool
	// workersToRecord lists the workers whose records are stored with the next commit, and
	// workerRecordsToDelete those whose records are deleted with it.
	workersToRecord       []*worker
	workerRecordsToDelete []backend.Life
	// closedLeases holds, by worker ID, the leases that are closed or may be closed in the store.
	// leasesClosedSince is the first epoch from which on all leaders keep closed leases closed.
	closedLeases      map[string]*closedLease
	leasesClosedSince int64
	// latestWorkerByID maps the ID of a worker to its latest process.
	latestWorkerByID map[string]*worker
	// formerTokens maps the ID of a removed worker to its last fencing token, so that a
	// later process under this ID refuses all orders to earlier ones.
	formerTokens map[string]formerToken
	// replacedLives contains the worker processes whose address now belongs to
	// another worker. It maps each to the time when that was noticed. These processes
	// have ended, but stay in the list of registered workers for a while.
	replacedLives map[backend.Life]time.Time
	// pools maps the name of a service to its workers. It is nil if it must be
	// rebuilt.
	pools      map[string]*pool
	dispatcher adviceDispatcher
	// reservations are the reservations of the last scheduling pass.
	reservations *reservations
	runTimes     runTimeEstimator
	interference interferenceState
	effects      Effects
	// schedulingNeeded is true if something has changed since the last scheduling
	// pass.
	schedulingNeeded bool
	// history tells by when the records were stored from which jobs and workers are restored.
	history *history.History
	// lastFormerAppend is the time by which the last append of an earlier leader was stored.
	lastFormerAppend time.Time
	// lastConfirmedAppendStart is the start time of the last append in this epoch
	// that the store accepted.
	lastConfirmedAppendStart time.Time
	// All submissions that were stored before jobsReadUntil are known.
	jobsReadUntil time.Time
	// eventSequence is increased with each hold that is sent and each start that is
	// confirmed. It shows which of two such events came first.
	eventSequence          int64
	endedJobsLastDroppedAt time.Time
	loadLastLoggedAt       time.Time
	workerLines            workerLines
	// restoredWithoutProgress counts the restored jobs of which no progress was stored.
	restoredWithoutProgress int
	// openedWorkers lists the workers for which a session was opened and that no line
	// names yet.
	openedWorkers []*worker
}

// New returns a scheduler without jobs. now is the current time on a clock that does
// not stop while the machine is suspended; wall is the wall-clock time at the same
// moment.
func New(timing Timing, epoch int64, now, wall time.Time, log logr.Logger) *Scheduler {
	return &Scheduler{
		log: log, timing: timing, epoch: epoch, clockBase: now, wallBase: wall, lastConfirmedAppendStart: now,
		table: &queue.Table{},

		quota:                 quota.New(),
		rates:                 share.NewRate(maxJobAge),
		servicesWithoutAdvice: map[string]bool{},
		jobs:                  map[string]*job{},
		activeJobs:            map[string]*job{},
		dirtyJobs:             map[string]*job{},
		earlyCancellations:    map[string]time.Time{},
		workers:               map[backend.Life]*worker{},
		closedLeases:          map[string]*closedLease{},
		latestWorkerByID:      map[string]*worker{},
		workersWithNewEnds:    map[*worker]bool{},
		replacedLives:         map[backend.Life]time.Time{},
		formerTokens:          map[string]formerToken{},
		dispatcher:            newAdviceDispatcher(),
		runTimes:              newRunTimeEstimator(),
		interference:          interferenceState{model: interference.New(), largeStepWaitedAt: map[string]time.Time{}},
	}
}

func (s *Scheduler) addObservation(name string, j *job, took time.Duration) {
	s.effects.Observations = append(s.effects.Observations, Observation{name, j.spec.Queue, took})
}

// TakeEffects returns the effects of all calls since it was last called.
func (s *Scheduler) TakeEffects() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}

// SetHistory tells by when records were stored. It must be called before RestoreWorkers and
// Restore. Without it, all records count as stored just now.
func (s *Scheduler) SetHistory(h *history.History) { s.history = h }

// SetLastFormerAppend tells by when the last append of an earlier leader was stored. It must be
// called before RestoreWorkers. Without it, that counts as stored just now.
func (s *Scheduler) SetLastFormerAppend(at time.Time) { s.lastFormerAppend = at }

// SetLeasesClosedSince tells since which epoch all leaders have kept closed leases closed. It must
// be called before RestoreWorkers. Without it, no restored lease counts as closed.
func (s *Scheduler) SetLeasesClosedSince(epoch int64) { s.leasesClosedSince = epoch }

// SetTable replaces the configuration if t has a higher version.
func (s *Scheduler) SetTable(t *queue.Table) {
	if t.Version > s.table.Version {
		s.table = t
		s.setCaps(t)
		for i := range t.Queues {
			if t.Queues[i].Advice == nil {
				s.servicesWithoutAdvice[t.Queues[i].Service] = true
			}
		}
		s.forgetUnusedNames()
		s.schedulingNeeded = true
	}
}

// queueOf returns the queue of a job as it is configured. If it no longer is, or there is no
// configuration yet, this is the queue as it was when the job was accepted: an accepted job
// runs to its end. It is nil if that is not known.
func (s *Scheduler) queueOf(j *job) *queue.Queue {
	if q := s.table.Queue(j.spec.Queue); q != nil {
		return q
	}
	return j.spec.Definition
}

// Table returns the current configuration.
func (s *Scheduler) Table() *queue.Table { return s.table }

// NeedsScheduling reports whether something has changed since the last scheduling pass, so
// that another pass may place tasks.
func (s *Scheduler) NeedsScheduling() bool { return s.schedulingNeeded }

// toSchedulerClock converts a wall-clock time to a time on the scheduler's clock.
func (s *Scheduler) toSchedulerClock(wall time.Time) time.Time {
	return s.clockBase.Add(wall.Sub(s.wallBase))
}

// Tick does what depends only on the time: it handles leases and requests for advice
// that have expired, opens due occurrences and removes ended jobs. It must be called
// at regular intervals.
func (s *Scheduler) Tick(now time.Time) {
	s.watchHolds(now)
	s.expireLeases(now)
	s.openDueOccurrences(now)
	s.expireAdviceRequests(now)
	if last := s.endedJobsLastDroppedAt; now.Sub(last) >= endedJobsDropInterval {
		s.endedJobsLastDroppedAt = now
		s.forgetRemovedWorkers(last)
		s.forgetLargeStepWaits(now)
		s.dropEndedJobs(now)
	}
	s.schedulingNeeded = s.schedulingNeeded || s.hasWaitingTasks()
	s.refreshInterference(now)
	s.logLoad(now)
}

func (s *Scheduler) hasWaitingTasks() bool {
	for _, j := range s.activeJobs {
		if j.waitingTasks > 0 {
			return true
		}
	}
	return false
}

const (
	// endedJobsDropInterval is the shortest interval between two searches for ended
	// jobs whose submission or progress record can be deleted.
	endedJobsDropInterval = 2 * time.Second
	// submissionDropDelay is how long the submission of an ended job stays in the
	// store. After this delay, the leader has read the offset of the submission in
	// the store.
	submissionDropDelay = 3 * time.Second
)

func (s *Scheduler) dropEndedJobs(now time.Time) {
	for id, at := range s.earlyCancellations {
		// A submission may be stored in a partition that could not be read so far.
		if s.jobsReadUntil.Sub(at) > s.timing.EndedJobRetention {
			delete(s.earlyCancellations, id)
			s.effects.CancellationsToDelete = append(s.effects.CancellationsToDelete, id)
		}
	}
	for id, t := range s.formerTokens {
		if now.Sub(t.removedAt) > max(s.timing.EndedJobRetention, s.timing.MaxOrderDelay) {
			delete(s.formerTokens, id)
		}
	}
	for life, at := range s.replacedLives {
		if now.Sub(at) > s.timing.EndedJobRetention {
			delete(s.replacedLives, life)
		}
	}
	for id, j := range s.jobs {
		if !j.storedState.Ended() || j.tasksOnWorkers > 0 || len(j.orphanedRuns) > 0 {
			continue
		}
		j.releaseTasks()
		if j.submissionStored && now.Sub(j.endedAt) >= submissionDropDelay {
			j.submissionStored = false
			j.submissionDeletions++
			s.effects.SubmissionsToDelete = append(s.effects.SubmissionsToDelete, id)
		}
		// A copy of the submission may be stored in a partition that could not be read so far.
		if !j.submissionStored && j.submissionDeletions == 0 && s.jobsReadUntil.Sub(j.endedAt) > s.timing.EndedJobRetention {
			delete(s.jobs, id)
			delete(s.dirtyJobs, id) // Otherwise its progress would be stored again after the deletion.
			s.expiredJobs = append(s.expiredJobs, id)
		}
	}
}

// SetJobsReadUntil tells that all submissions that were stored before the given time are known.
// The states of ended jobs expire by this time, not by the clock.
func (s *Scheduler) SetJobsReadUntil(at time.Time) { s.jobsReadUntil = at }

// SubmissionsDeleted must be called once the deletion of the submissions of ended jobs is
// stored, once for each list of Effects.SubmissionsToDelete. Their final states are kept until
// then: a later leader that found a submission without one would run the job again.
func (s *Scheduler) SubmissionsDeleted(ids []string) {
	for _, id := range ids {
		if j := s.jobs[id]; j != nil {
			j.submissionDeletions--
		}
	}
}

// Status returns the stored state of a job, to show to callers. The bool is false if the
// job is not known. The ends of runs that only workers have listed don't count: if such a
// worker is lost together with this leader, the next one runs the tasks again.
func (s *Scheduler) Status(id string) (work.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	if j.storedState.Ended() && !j.endTold {
		j.endTold = true
		s.log.Info("job_end_told", "job", id, "state", string(j.storedState))
	}
	return j.storedState, true
}

// Pending returns the number of active jobs of a queue of which no worker has reported a
// run. A job whose tasks were placed counts until then, because its workers may have been
// cut off before the start orders arrived.
func (s *Scheduler) Pending(queueName string) int {
	n := 0
	for _, j := range s.activeJobs {
		if j.spec.Queue == queueName && !j.anyRunReported && !j.state.Ended() {
			n++
		}
	}
	return n
}
