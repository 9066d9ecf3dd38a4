// Package scheduler decides where and when the tasks of one cell run. It is a state
// machine: its methods receive events and the current time, and Take returns the
// orders and other effects to carry out. It does no I/O and starts no goroutines;
// the caller serializes the calls.
//
// A run is one attempt at a task. A life is one process lifetime of a worker: a
// restart begins a new one, in which none of the earlier runs exist. A hold is a
// long-polled heartbeat to a worker: it renews the lease of all its runs,
// acknowledges the ends of runs that are stored, and returns the worker's report.
// Advice is the answer of an external adviser service: it names the workers that a
// step may use, with a ticket for each.
//
// A start is ordered only after its placement is stored in the progress record of
// its job. So a successor knows every run that may exist, and a leader that the
// store has fenced off cannot start anything. Ends of runs are acknowledged to
// workers only once they are stored, and results are shown to callers only once
// they are stored or no other VM can be the leader.
package scheduler

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Timing holds the durations set by the platform and its workers.
type Timing struct {
	// Lease is how long, by the worker's clock, a worker goes on with its runs after
	// its last hold.
	Lease time.Duration
	// LeadershipLease is how long a leader may go on extending leases, counted from the start
	// of its last stored append.
	LeadershipLease time.Duration
	// HoldWait is how long a worker may delay its answer to a hold while no run
	// ends.
	HoldWait time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// EarlyStart is how long before its due time an occurrence may start; 0 means not
	// before it.
	EarlyStart time.Duration
}

const (
	// maxClockDrift is the factor by which a worker's lease may last longer on the
	// leader's clock than on the worker's own, because the worker's clock runs slow.
	maxClockDrift = 1.02
	// leaseMargin covers the delay between reading a worker's clock and using the
	// value.
	leaseMargin = 150 * time.Millisecond
	// tokenCounterBits is the number of low bits of a fencing token that count the
	// increments within one epoch. The epoch is in the bits above.
	tokenCounterBits = 20
)

// Effects lists what the caller has to carry out.
type Effects struct {
	// Opened lists the workers to open a session with, in which the caller sends
	// them holds; Closed lists the sessions to close.
	Opened []backend.Registration
	Closed []backend.Life
	// Wake lists the workers to send the next hold to at once.
	Wake           []backend.Life
	Starts         []Order[backend.Start]
	Stops          []Order[backend.Stop]
	Paces          []Order[backend.Pace]
	AdviceRequests []AdviceRequest
	// Observations lists the durations to record as metrics.
	Observations []Observation
	// Dropped lists the ended jobs whose submissions can be deleted from the store.
	Dropped []string
}

// Observation is a measured duration for the metrics of a queue.
type Observation struct {
	// Name is "first_start" or "completed", measured from the submission of the job,
	// or "advice", the time in which a request for advice was answered.
	Name  string
	Queue string
	Took  time.Duration
}

// Order is an order to be sent to one worker.
type Order[T any] struct {
	Worker backend.Life
	Order  T
}

// Scheduler is the state of one cell. Its methods must not be called concurrently.
type Scheduler struct {
	log    logr.Logger
	timing Timing
	// epoch is the leader's epoch, the high bits of its fencing tokens.
	epoch int64
	// clockBase and wallBase are the same moment, on the scheduler's clock and by
	// the time of day.
	clockBase time.Time
	wallBase  time.Time
	table     *queue.Table

	jobs map[string]*job
	// active holds the jobs that have not ended.
	active map[string]*job
	// earlyCancellations maps the IDs of jobs that were cancelled before their
	// submission was read to the time of the cancellation.
	earlyCancellations map[string]time.Time
	// expiredJobs holds the IDs of jobs past their retention, whose progress records
	// can be deleted.
	expiredJobs []string
	// dirtyJobs holds the jobs whose progress has changed since it was last stored.
	dirtyJobs map[string]*job
	workers   map[backend.Life]*worker
	// latestByID maps a worker ID to the latest life of the worker.
	latestByID map[string]*worker
	// replaced maps the lives whose address now belongs to another worker to the
	// time when that was noticed. They have ended, but they stay registered for a
	// while.
	replaced map[backend.Life]time.Time
	// pools holds the workers by service; nil means that it has to be rebuilt.
	pools      map[string]*pool
	dispatcher adviceDispatcher
	// reservations are those of the last plan.
	reservations *reservations
	runTimes     runTimeEstimator
	effects      Effects
	// planNeeded is true when something has changed since the last plan.
	planNeeded bool
	// lastConfirmed is the start time of the last append that the store accepted
	// under this epoch.
	lastConfirmed time.Time
	// sequence increases with each hold sent and each start confirmed, so that the
	// order of the two is known.
	sequence    int64
	lastDrop    time.Time
	lastLoadLog time.Time
}

// New returns a scheduler without jobs. now is on a clock that also counts the time
// while the machine is suspended; wall is the time of day at now.
func New(timing Timing, epoch int64, now, wall time.Time, log logr.Logger) *Scheduler {
	return &Scheduler{
		log: log, timing: timing, epoch: epoch, clockBase: now, wallBase: wall, lastConfirmed: now,
		table:              &queue.Table{},
		jobs:               map[string]*job{},
		active:             map[string]*job{},
		dirtyJobs:          map[string]*job{},
		earlyCancellations: map[string]time.Time{},
		workers:            map[backend.Life]*worker{},
		latestByID:         map[string]*worker{},
		replaced:           map[backend.Life]time.Time{},
		dispatcher:         newAdviceDispatcher(),
		runTimes:           newRunTimeEstimator(),
	}
}

func (s *Scheduler) addObservation(name string, j *job, took time.Duration) {
	s.effects.Observations = append(s.effects.Observations, Observation{name, j.spec.Queue, took})
}

// TakeEffects returns the effects since the last call and clears them.
func (s *Scheduler) TakeEffects() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}

// SetTable replaces the configuration if t is a newer version.
func (s *Scheduler) SetTable(t *queue.Table) {
	if t.Version > s.table.Version {
		s.table = t
		s.planNeeded = true
	}
}

// Table returns the current configuration.
func (s *Scheduler) Table() *queue.Table { return s.table }

// NeedsPlan reports whether a call to Plan may change anything.
func (s *Scheduler) NeedsPlan() bool { return s.planNeeded }

// toClock converts a time of day to the scheduler's clock.
func (s *Scheduler) toClock(wall time.Time) time.Time { return s.clockBase.Add(wall.Sub(s.wallBase)) }

// Tick does the work that depends only on time: it expires leases and requests for
// advice, opens due occurrences and drops ended jobs.
func (s *Scheduler) Tick(now time.Time) {
	s.expireLeases(now)
	s.openDueOccurrences(now)
	s.expireRequests(now)
	if now.Sub(s.lastDrop) >= dropInterval {
		s.lastDrop = now
		s.dropEndedJobs(now)
	}
	s.planNeeded = s.planNeeded || s.hasWaitingTasks()
	s.logLoad(now)
}

func (s *Scheduler) hasWaitingTasks() bool {
	for _, j := range s.active {
		if j.waitingTasks > 0 {
			return true
		}
	}
	return false
}

const (
	// dropInterval is the pause between two searches for ended jobs to drop or
	// delete.
	dropInterval = 2 * time.Second
	// dropDelay is how long the submission of an ended job is kept, so that the
	// leader has read its offset in the store by then.
	dropDelay = 3 * time.Second
)

func (s *Scheduler) dropEndedJobs(now time.Time) {
	for id, at := range s.earlyCancellations {
		if now.Sub(at) > s.timing.Retention {
			delete(s.earlyCancellations, id)
		}
	}
	for life, at := range s.replaced {
		if now.Sub(at) > s.timing.Retention {
			delete(s.replaced, life)
		}
	}
	for id, j := range s.jobs {
		if !j.storedState.Ended() || j.tasksOnWorkers > 0 {
			continue
		}
		if !j.submissionDropped && now.Sub(j.endedAt) >= dropDelay {
			j.submissionDropped = true
			s.effects.Dropped = append(s.effects.Dropped, id)
		}
		if now.Sub(j.endedAt) > s.timing.Retention {
			delete(s.jobs, id)
			s.expiredJobs = append(s.expiredJobs, id)
		}
	}
}

// Status returns the state of a job to show to callers; the bool is false when the
// job is not known. The state is the stored one. If soleLeader is true, no other VM
// can be the leader at the moment, and a job is shown as completed as soon as its
// workers have listed the ends: if this leader fails before they are stored, the
// workers list them again to its successor.
func (s *Scheduler) Status(id string, soleLeader bool) (work.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	if soleLeader && j.state == work.Completed {
		return j.state, true
	}
	return j.storedState, true
}

// Pending returns the number of jobs of a queue of which no task has been placed
// yet.
func (s *Scheduler) Pending(queueName string) int {
	n := 0
	for _, j := range s.active {
		if j.spec.Queue == queueName && !j.anyTaskPlaced && !j.state.Ended() {
			n++
		}
	}
	return n
}
