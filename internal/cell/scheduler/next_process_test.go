package scheduler_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// nextProcessID names the only worker that may run tasks while nextProcessTest lets it restart.
const nextProcessID = "worker-5"

// newNextProcessTest returns a simulation in which all queues have an adviser, and in which
// the workers other than nextProcessID join the list of workers only later. With OVERLAP_LOG
// set, it prints the log of the leader and what the workers do.
func newNextProcessTest(seed uint64) (*simulation, *overlapFaultInjector) {
	sm := newSimulation(seed, faultProbabilities{})
	sm.log = logr.Discard()
	if os.Getenv("OVERLAP_LOG") != "" {
		sm.log = funcr.New(func(_, args string) {
			if strings.Contains(args, "job-") || strings.Contains(args, nextProcessID) {
				fmt.Println(seed, sm.now.Format("05.000 ")+args)
			}
		}, funcr.Options{})
	}
	sm.holdsWait, sm.lateCallsPassCuts = true, true
	sm.timing = overlapTimings[0].timing
	sm.ticketValidity, sm.shortestLateness = 4*time.Second, 20*time.Millisecond
	sm.table = &queue.Table{Version: 1, Queues: []queue.Queue{{
		Name: "advised", Service: "desk", Priority: 2, Stretch: 4, Objective: 3 * time.Second,
		Advice: &queue.AdviceCost{Fixed: 50 * time.Millisecond, PerWorker: time.Millisecond, Validity: 4 * time.Second},
	}}}
	sm.prepareProcess = func(v *fleet.Worker) { v.MaxLease, v.ClockRate = sm.timing.Lease, slowestClockRate }
	sm.addWorkers(overlapWorkers, workerCapacity)
	sm.electLeader()
	c := &overlapFaultInjector{newFaultInjector(sm)}
	for _, life := range sm.sortedLives() {
		if life.ID != nextProcessID {
			c.silentUntil[life.ID] = sm.now.Add(10 * time.Second)
			delete(sm.listed, life.ID)
		}
	}
	c.run()
	sm.runFor(time.Second)
	return sm, c
}

// restartBeforeTicket restarts nextProcessID right before the adviser issues its next ticket
// for it. The adviser, but not the leader, knows the next process: its entry is not listed and
// its answers are lost.
func restartBeforeTicket(sm *simulation, c *overlapFaultInjector, unknownFor time.Duration, then func()) {
	sm.beforeTicket = func(id string) {
		if id != nextProcessID {
			return
		}
		sm.beforeTicket = func(string) {}
		c.silentUntil[id] = sm.now.Add(unknownFor)
		c.faultInjector.inject(cancellationFault{kind: "worker restarts", worker: 5})
		sm.callFaults.workerAnswersLostUntil[id] = sm.now.Add(unknownFor)
		then()
	}
}

func submitAdvised(sm *simulation, id string, runTime time.Duration) {
	sm.submit(&work.Job{ID: id, Queue: "advised", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.TaskProfile{RunTime: runTime})
}

// A ticket holds for the process for which it was issued, which need not be the one that the
// leader knows. The next process executed a start with its ticket late, but the leader
// reckoned the lease from the order on, so that the task ran twice.
func TestLateStartWithATicketOfTheNextProcess(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		sm, c := newNextProcessTest(seed)
		restartBeforeTicket(sm, c, 30*time.Second, func() {
			sm.faultProbabilities.lateCallProbability = 1
			sm.schedule(300*time.Millisecond, func() {
				c.zoneCutUntil["zone-2"] = sm.now.Add(30 * time.Second)
				sm.faultProbabilities.lateCallProbability = 0
			})
		})
		submitAdvised(sm, "job-0", 25*time.Second)
		sm.runFor(40 * time.Second)
		is.Equal(sm.violations, nil) // Seed 4 fails first.
	}
}

// An acknowledgement for the earlier process was executed by the next one, which had executed
// a start with its ticket, and made it forget the end of that run.
func TestLateAcknowledgementAtTheNextProcess(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		sm, c := newNextProcessTest(seed)
		submitAdvised(sm, "job-0", 300*time.Millisecond)
		sm.schedule(sm.randomDuration(250*time.Millisecond, 550*time.Millisecond), func() {
			restartBeforeTicket(sm, c, 3*time.Second, func() { sm.faultProbabilities.lateCallProbability = 0 })
			sm.faultProbabilities.lateCallProbability = 0.5
			submitAdvised(sm, "job-1", 100*time.Millisecond)
		})
		sm.runFor(8 * time.Second)
		is.Equal(sm.violations, nil) // Seed 173 fails first.
	}
}
