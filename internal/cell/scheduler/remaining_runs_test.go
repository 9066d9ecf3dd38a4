package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// The last run of a cancelled job ends in different ways. Exactly one line says so.
func TestEndOfTheLastRunIsLogged(t *testing.T) {
	scenarios := []struct {
		testName string
		tasks    int
		// runFor is how long the job runs before it is cancelled.
		runFor time.Duration
		// cutOff makes the worker unreachable before the job is cancelled.
		cutOff bool
		// takeOver replaces the leader directly after the cancellation. With cutOff, it does
		// so after the end of the job is stored, and the worker is reachable from then on.
		takeOver bool
		// how is the expected value of the field, or "" if no line is expected. minTook and
		// maxTook bound the time that the line tells.
		how              string
		minTook, maxTook time.Duration
	}{
		{"the worker stops the runs", 3, time.Second, false, false, "ended", 1, 2 * time.Second},
		{"the lease ends", 3, time.Second, true, false, "lapsed", 5 * time.Second, 7 * time.Second},
		{"the next leader stops the runs", 3, time.Second, false, true, "ended", 1, 2 * time.Second},
		{"the next leader finds the end of the job in the store", 3, time.Second, true, true, "ended", 500 * time.Millisecond, 2500 * time.Millisecond},
		{"no task was started", 3, 0, false, false, "", 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			sm := newSimulation(1, faultProbabilities{})
			r := sm.recordLog()
			sm.addWorkers(1, workerCapacity)
			sm.electLeader()
			sm.runFor(500 * time.Millisecond)
			sm.submit(lastingJob(s.tasks), fleet.TaskProfile{})
			sm.runFor(s.runFor)
			sm.unreachableWorkers[sm.sortedLives()[0]] = s.cutOff
			if s.takeOver && !s.cutOff {
				sm.leaders[0].deposed = true
			}
			sm.cancel("lasting")
			if s.takeOver && s.cutOff {
				sm.runFor(500 * time.Millisecond)
				is.True(sm.storedProgress["lasting"].State.Ended())
				sm.leaders[0].deposed = true
				clear(sm.unreachableWorkers)
			}
			if s.takeOver {
				sm.electLeader()
			}
			sm.runFor(10 * time.Second)
			is.Equal(len(r.of("job_cancelled")), 1)
			lines := r.of("job_runs_ended")
			if s.how == "" {
				is.Equal(len(lines), 0)
				return
			}
			is.Equal(len(lines), 1)
			is.True(hasFields(lines[0], "job=lasting", "state=cancelled", "runs=3", "how="+s.how, "worker=worker-0"))
			took := time.Duration(numberField(lines[0], "took_ms")) * time.Millisecond
			is.True(took >= s.minTook)
			is.True(took <= s.maxTook)
		})
	}
}
