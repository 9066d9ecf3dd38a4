package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
)

// addGangs submits n gangs to a queue at random times within the next five seconds.
func (sm *simulation) addGangs(n int, queue string) {
	for i := range n {
		j := &work.Job{ID: fmt.Sprintf("gang-%d", i), Queue: queue, Steps: []work.Step{{Count: 2 + sm.randomSource.IntN(3), Size: taskSize, Estimate: 700 * time.Millisecond, Gang: true}}}
		profile := fleet.TaskProfile{RunTime: sm.randomDuration(300*time.Millisecond, 9*time.Second)}
		sm.schedule(sm.randomDuration(0, 5*time.Second), func() { sm.submit(j, profile) })
	}
}

// delayCommits makes each commit and renewal of the present leader take up to 2.5 s from time
// to time.
func (sm *simulation) delayCommits(n int) {
	for i := range n {
		sm.schedule(time.Duration(i+1)*1500*time.Millisecond, func() {
			l := sm.leaders[len(sm.leaders)-1]
			l.cutOffFromStore = true
			sm.schedule(sm.randomDuration(0, 1400*time.Millisecond), func() { l.cutOffFromStore = false })
		})
	}
}

// loseAnswers loses all answers of the workers in one zone, which go on to execute calls.
func (sm *simulation) loseAnswers(after, period time.Duration) {
	sm.schedule(after, func() {
		sm.callFaults.answersLostUntil[fmt.Sprintf("zone-%d", sm.randomSource.IntN(3))] = sm.now.Add(period)
	})
}

// cutOff cuts off each worker with probability 0.4. They run on.
func (sm *simulation) cutOff(after, period time.Duration) {
	sm.schedule(after, func() {
		for _, life := range sm.sortedLives() {
			if sm.occursWithProbability(0.4) {
				sm.unreachableWorkers[life] = true
			}
		}
		sm.schedule(period, func() { clear(sm.unreachableWorkers) })
	})
}

// No member of a gang may start while a member of an earlier run is on a worker.
func TestGangsRunOnce(t *testing.T) {
	late := faultProbabilities{lostAnswerProbability: 0.05, lateCallProbability: 0.05}
	scenarios := []simulationScenario{
		{"cut off", late, func(sm *simulation) { sm.cutOff(3*time.Second, 9*time.Second) }},
		{"cut one way, the leader restarts", late, func(sm *simulation) {
			sm.loseAnswers(2*time.Second, 9*time.Second)
			sm.restartLeaders(3)
		}},
		{"the leader freezes, workers are cut off", late, func(sm *simulation) {
			sm.cutOff(3*time.Second, 9*time.Second)
			for i := range 4 {
				sm.schedule(time.Duration(i+1)*2*time.Second, func() {
					old := sm.leaders[len(sm.leaders)-1]
					old.frozen = true
					sm.schedule(sm.randomDuration(time.Second, 5*time.Second), func() { old.frozen = false })
					sm.schedule(sm.randomDuration(0, 2*time.Second), func() { sm.electLeader() })
				})
			}
		}},
		{"slow store, cut off", late, func(sm *simulation) {
			sm.delayCommits(8)
			sm.cutOff(3*time.Second, 9*time.Second)
		}},
		{"workers restart", late, func(sm *simulation) { sm.restartWorkers(6) }},
	}
	for _, queue := range []string{"advised", "urgent"} {
		for _, c := range scenarios {
			t.Run(queue+", "+c.testName, func(t *testing.T) { runGangs(t, queue, c) })
		}
	}
}

// Workers restart under their IDs while their answers are lost, so their next processes execute
// orders that were meant for the earlier ones, with tickets that were issued after the restart.
func TestGangsOnRestartedWorkersRunOnce(t *testing.T) {
	for _, queue := range []string{"advised", "urgent"} {
		t.Run(queue, func(t *testing.T) {
			runGangs(t, queue, simulationScenario{"", faultProbabilities{lostAnswerProbability: 0.05, lateCallProbability: 0.05}, func(sm *simulation) {
				sm.restartWorkers(6)
				sm.delayCommits(8)
				for i := range 3 {
					sm.loseAnswers(time.Duration(i+1)*1500*time.Millisecond, 9*time.Second)
				}
			}})
		})
	}
}

// runGangs runs a scenario with many seeds.
func runGangs(t *testing.T, queue string, c simulationScenario) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := newSimulation(rapid.Uint64().Draw(rt, "seed"), c.faults)
		gangs := &fleet.Gangs{Wait: overlapGangWait, BreakDelay: 100 * time.Millisecond}
		sm.prepareProcess = func(v *fleet.Worker) { v.Gangs = gangs }
		sm.addWorkers(9, workerCapacity)
		sm.electLeader()
		sm.addGangs(8, queue)
		c.prepare(sm)
		sm.runFor(25 * time.Second)
		for _, p := range sm.violations {
			rt.Errorf("%s", p)
		}
	})
}
