package scheduler_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// A leader took over while the entry of a worker had lapsed. It had no session with the
// worker, so the runs of a cancelled job went on until their lease expired.
func TestCancelledJobStopsOnUnlistedWorkerAfterTakeOver(t *testing.T) {
	scenarios := []struct {
		testName string
		// cancelFirst cancels the job before the leader is replaced.
		cancelFirst bool
	}{
		{"cancelled before the take-over", true},
		{"cancelled after the take-over", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(2, workerCapacity)
			sm.electLeader()
			sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 4, Size: taskSize, Lasting: true}}}, fleet.TaskProfile{})
			sm.runFor(time.Second)
			is.Equal(sm.startCount, 4)
			clear(sm.listed)
			if s.cancelFirst {
				sm.leaders[0].deposed = true
				sm.cancel("job")
			}
			sm.electLeader()
			sm.runFor(time.Second)
			if !s.cancelFirst {
				sm.cancel("job")
				sm.runFor(time.Second)
			}
			is.Equal(sm.runningTasks(), 0)
		})
	}
}

// runningTasks returns the number of runs on all workers.
func (sm *simulation) runningTasks() int {
	n := 0
	for _, v := range sm.workers {
		v.Advance(sm.now)
		n += len(v.Running())
	}
	return n
}

// newLastingRuns returns a simulation in which each of two workers runs two lasting tasks of
// a job, and whose list of workers is then empty.
func newLastingRuns(is *is.I) *simulation {
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 4, Size: taskSize, MostPerWorker: 2, Lasting: true}}}, fleet.TaskProfile{})
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 4)
	is.Equal(len(sm.storedWorkers), 2)
	clear(sm.listed)
	return sm
}

// A worker without an entry in the list keeps its runs for as long as it can be reached,
// however often the leader is replaced.
func TestRunsOnUnlistedWorkersGoOnAfterTakeOvers(t *testing.T) {
	is := is.New(t)
	sm := newLastingRuns(is)
	for range 3 {
		sm.electLeader()
		sm.runFor(15 * time.Second)
	}
	is.Equal(sm.runningTasks(), 4)
	is.Equal(sm.startCount, 4)
	is.Equal(len(sm.violations), 0)
}

// A worker process that has ended leaves no record behind, and its tasks run elsewhere.
func TestRecordsOfEndedWorkersAreDeleted(t *testing.T) {
	is := is.New(t)
	sm := newLastingRuns(is)
	clear(sm.workers)
	sm.electLeader()
	sm.runFor(time.Second)
	is.Equal(len(sm.storedWorkers), 2)
	// A start may be sent 3 s after the take-over by a leader that was suspended, be executed
	// maxLateness later, and hold a lease of 6 s on a clock that runs 2 % slow.
	sm.runFor(3*time.Second + maxLateness + 6300*time.Millisecond)
	is.Equal(len(sm.storedWorkers), 0)
	sm.addWorker(backend.Registration{Life: backend.Life{ID: "other", Born: 1}, Address: netip.MustParseAddrPort("10.0.0.9:8400"), Service: "desk", Capacity: workerCapacity})
	sm.runFor(time.Second)
	is.Equal(sm.runningTasks(), 2) // As many as MostPerWorker allows.
	is.Equal(len(sm.storedWorkers), 1)
}

// The list names a later process of a worker than the record does.
func TestRecordOfAnEarlierProcessIsDeleted(t *testing.T) {
	is := is.New(t)
	sm := newLastingRuns(is)
	sm.restartWorker(backend.Life{ID: "worker-0", Born: 1})
	restarted := sm.currentProcess("worker-0")
	sm.listed["worker-0"] = restarted
	sm.electLeader()
	sm.runFor(20 * time.Second)
	is.Equal(sm.runningTasks(), 4)
	for _, r := range sm.workerRecords() {
		is.True(r.Key != "worker/worker-0/1")
	}
}

func TestUnreadableWorkerRecordIsSkipped(t *testing.T) {
	scenarios := []struct {
		testName, value string
	}{
		{"no JSON", `{"id":`},
		{"another process", `{"id":"worker-0","born":2,"address":"10.0.0.1:8400","service":"desk"}`},
		{"no address", `{"id":"worker-0","born":1,"service":"desk"}`},
		{"an invalid address", `{"id":"worker-0","born":1,"address":"10.0.0.1","service":"desk"}`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			c := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second}, 1, now, now, logr.Discard())
			c.RestoreWorkers([]store.Record{{Key: "worker/worker-0/1", Value: []byte(s.value)}}, now)
			is.Equal(len(c.TakeEffects().SessionsToOpen), 0)
		})
	}
}

func FuzzRestoreWorkers(f *testing.F) {
	f.Add("worker/a/1", []byte(`{"id":"a","born":1,"address":"10.0.0.1:8400","service":"desk","capacity":{"milliprocessors":4000}}`))
	f.Add("worker/", []byte(`{"born":-9223372036854775808,"address":"[fe80::1%eth0]:0"}`))
	f.Add("worker//0", []byte("null"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		now := time.Unix(1_700_000_000, 0)
		c := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second}, 1, now, now, logr.Discard())
		c.RestoreWorkers([]store.Record{{Key: key, Value: value}}, now)
		for _, r := range c.TakeEffects().SessionsToOpen {
			if !r.Address.IsValid() || !scheduler.IsWorkerRecord(&store.Record{Key: key}) {
				t.Fatalf("session with %+v", r)
			}
		}
	})
}

// A placement without a record of its worker was stored by an earlier build. The worker is
// recorded once its address is known, for the next leader.
func TestRestoredWorkerIsRecordedOnceItIsListed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	life := backend.Life{ID: "a", Born: 1}
	c := newRestoredRun(life, now)
	c.NextCommit(now)
	c.SetWorkers([]backend.Registration{{Life: life, Address: netip.MustParseAddrPort("10.0.0.1:8400"), Service: "desk", Capacity: workerCapacity}}, now)
	is.Equal(len(c.TakeEffects().SessionsToOpen), 1)
	commit := c.NextCommit(now)
	is.True(commit != nil)
	is.Equal(len(commit.Records), 1)
	is.True(scheduler.IsWorkerRecord(&commit.Records[0]))
}

// The list names an earlier process of a worker than the record, such as after its clock was
// set back. The process that answers is held.
func TestListedProcessIsHeldBesideARecordOfALaterOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	listed := backend.Registration{Life: backend.Life{ID: "a", Born: 5}, Address: netip.MustParseAddrPort("10.0.0.1:8400"), Service: "desk", Capacity: workerCapacity}
	c := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, EndedJobRetention: time.Hour}, 2, now, now, logr.Discard())
	c.SetWorkers([]backend.Registration{listed}, now)
	c.RestoreWorkers([]store.Record{{Key: "worker/a/9", Value: []byte(`{"id":"a","born":9,"address":"10.0.0.1:8400","service":"desk"}`)}}, now)
	e := c.TakeEffects()
	is.Equal(len(e.SessionsToOpen), 1)
	is.Equal(len(e.SessionsToClose), 0)
	_, sent, ok := c.NextHold(listed.Life, now)
	is.True(ok)
	c.HoldAnswered(listed.Life, sent, &backend.Report{Life: listed.Life, Clock: time.Second}, now)
	hold, _, _ := c.NextHold(listed.Life, now)
	is.True(hold.Deadline > 0)
}

// newRestoredRun returns a scheduler that has restored a job with one run on a worker.
func newRestoredRun(life backend.Life, now time.Time) *scheduler.Scheduler {
	c := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, EndedJobRetention: time.Hour}, 2, now, now, logr.Discard())
	p := &work.Progress{State: work.Running, Started: true, Steps: []work.StepProgress{{Tasks: []work.TaskProgress{{Run: 1, Worker: life.ID, Born: life.Born}}}}}
	c.Restore(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize, Lasting: true}}}, p, now)
	return c
}
