// Package scheduler decides where and when the tasks of one cell run. It is a
// state machine: events go in, orders come out, and time is an argument. It does
// no I/O and holds no goroutine; its caller serializes the calls.
//
// A start is ordered only after it was recorded: every placement goes into the
// progress record of its job, and the order leaves once the record is stored. So
// a successor knows each run that may exist, and a leader that was fenced in the
// store can start nothing. Ends are acknowledged to workers, and results shown to
// callers, only once they are stored.
package scheduler

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Timing holds the times that the platform and its workers set.
type Timing struct {
	// Lease is how long tasks run on without a hold, by the worker's clock.
	Lease time.Duration
	// Right is how long after its last stored record a leader goes on extending
	// leases.
	Right time.Duration
	// HoldWait is how long a worker may wait for an end before it answers.
	HoldWait time.Duration
	// Retention is how long the state of a job that has ended is kept.
	Retention time.Duration
	// Early is how long before its due time a task may start; 0 starts none
	// early.
	Early time.Duration
}

const (
	// clockRate is the most by which a worker's clock may be slow.
	clockRate = 1.02
	// leaseMargin covers the time between reading a worker's clock and using
	// it.
	leaseMargin = 150 * time.Millisecond
	// epochBits leaves room in a fencing token for orders of a leader that
	// supersede its own.
	epochBits = 20
)

// Effects are what the scheduler wants done since it was last asked.
type Effects struct {
	// Opened are workers to connect to and hold; Closed are to be left.
	Opened []backend.Registration
	Closed []backend.Life
	// Wake names workers whose next hold should not wait.
	Wake   []backend.Life
	Starts []Order[backend.Start]
	Stops  []Order[backend.Stop]
	Paces  []Order[backend.Pace]
	Asks   []Ask
	// Observations are times to record.
	Observations []Observation
	// Dropped are jobs that have ended, whose submissions can be deleted.
	Dropped []string
}

// Observation is a time that callers care about.
type Observation struct {
	// Name is "first_start", "completed" or "advice".
	Name  string
	Queue string
	Took  time.Duration
}

// Order is an order for one worker.
type Order[T any] struct {
	Worker backend.Life
	Order  T
}

// Scheduler is the state of one cell. Its methods must not be called at the same
// time.
type Scheduler struct {
	log    logr.Logger
	timing Timing
	// epoch is the leader's; tokens are built on it.
	epoch int64
	// started and wall relate the scheduler's clock to the time of day.
	started time.Time
	wall    time.Time
	table   *queue.Table

	jobs map[string]*job
	// active holds the jobs that have not ended.
	active map[string]*job
	// cancelledEarly holds cancellations that were read before their job, with
	// the time.
	cancelledEarly map[string]time.Time
	// forgotten holds the jobs whose progress can be deleted.
	forgotten []string
	// dirty holds the jobs whose progress must be stored.
	dirty   map[string]*job
	workers map[backend.Life]*worker
	// byID holds the latest life of each worker.
	byID map[string]*worker
	// replaced holds the lives whose address another worker has, with the time: they
	// are over, though their registration stays for a while.
	replaced map[backend.Life]time.Time
	// pools is nil when it has to be built again from workers.
	pools    map[string]*pool
	advisers advisers
	// reserved are the reservations of the last plan.
	reserved *reservations
	runTimes runTimes
	effects  Effects
	// planNeeded tells that something changed since the last plan.
	planNeeded bool
	// confirmed is when the append began that was last stored under our epoch.
	confirmed time.Time
	sequence  int64
	lastSweep time.Time
	lastLoad  time.Time
}

// New returns a scheduler without jobs. now is on a clock that counts
// suspension; wall is the time of day at now.
func New(timing Timing, epoch int64, now, wall time.Time, log logr.Logger) *Scheduler {
	return &Scheduler{
		log: log, timing: timing, epoch: epoch, started: now, wall: wall, confirmed: now,
		table:          &queue.Table{},
		jobs:           map[string]*job{},
		active:         map[string]*job{},
		dirty:          map[string]*job{},
		cancelledEarly: map[string]time.Time{},
		workers:        map[backend.Life]*worker{},
		byID:           map[string]*worker{},
		replaced:       map[backend.Life]time.Time{},
		advisers:       newAdvisers(),
		runTimes:       newRunTimes(),
	}
}

func (s *Scheduler) observe(name string, j *job, took time.Duration) {
	s.effects.Observations = append(s.effects.Observations, Observation{name, j.spec.Queue, took})
}

// Take returns the effects since the last call.
func (s *Scheduler) Take() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}

// SetTable puts a configuration in force.
func (s *Scheduler) SetTable(t *queue.Table) {
	if t.Version > s.table.Version {
		s.table = t
		s.planNeeded = true
	}
}

// Table returns the configuration in force.
func (s *Scheduler) Table() *queue.Table { return s.table }

// NeedsPlan reports whether Plan may find something to do.
func (s *Scheduler) NeedsPlan() bool { return s.planNeeded }

// instant converts a time of day to the scheduler's clock.
func (s *Scheduler) instant(wall time.Time) time.Time { return s.started.Add(wall.Sub(s.wall)) }

// Tick handles the passing of time.
func (s *Scheduler) Tick(now time.Time) {
	s.expireLeases(now)
	s.openDue(now)
	s.expireAsks(now)
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		s.sweep(now)
	}
	s.planNeeded = s.planNeeded || s.anyWaiting()
	s.logLoad(now)
}

func (s *Scheduler) anyWaiting() bool {
	for _, j := range s.active {
		if j.waiting > 0 {
			return true
		}
	}
	return false
}

const (
	// sweepInterval is the pause between searches for jobs to drop or forget.
	sweepInterval = 2 * time.Second
	// dropDelay is how long the submission of an ended job is kept, so that the
	// leader has read by then where it is stored.
	dropDelay = 3 * time.Second
)

func (s *Scheduler) sweep(now time.Time) {
	for id, at := range s.cancelledEarly {
		if now.Sub(at) > s.timing.Retention {
			delete(s.cancelledEarly, id)
		}
	}
	for life, at := range s.replaced {
		if now.Sub(at) > s.timing.Retention {
			delete(s.replaced, life)
		}
	}
	for id, j := range s.jobs {
		if !j.shown.Ended() || j.running > 0 {
			continue
		}
		if !j.dropped && now.Sub(j.ended) >= dropDelay {
			j.dropped = true
			s.effects.Dropped = append(s.effects.Dropped, id)
		}
		if now.Sub(j.ended) > s.timing.Retention {
			delete(s.jobs, id)
			s.forgotten = append(s.forgotten, id)
		}
	}
}

// Status returns the state of a job as it may be shown. alone tells that no other VM
// can lead at the moment: a job is then shown as completed once its workers have
// listed the ends, before that is stored. They list them again to a later leader.
func (s *Scheduler) Status(id string, alone bool) (work.State, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	if alone && j.state == work.Completed {
		return j.state, true
	}
	return j.shown, true
}

// Pending counts the jobs of a queue of which no task has started.
func (s *Scheduler) Pending(name string) int {
	n := 0
	for _, j := range s.active {
		if j.spec.Queue == name && !j.begun && !j.state.Ended() {
			n++
		}
	}
	return n
}
