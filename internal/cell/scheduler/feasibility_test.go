package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

const (
	// lostLabel is the label of a worker that is lost in the course of mixedLoad, lostAfter
	// is when that happens, and silentAfter is when the leader has noticed it.
	lostLabel   = "lost"
	lostAfter   = 200 * time.Millisecond
	silentAfter = lostAfter + 1500*time.Millisecond
)

// mixedLoad plays some seconds of jobs on all queues that can run. Meanwhile the only worker
// with lostLabel is lost, with tasks that go on elsewhere. Beside them, the given number of
// other jobs are submitted. It returns when each job that can run has completed.
func mixedLoad(seed uint64, others int, other func(i int) *work.Job) map[string]time.Duration {
	sm := newSimulation(seed, faultProbabilities{})
	sm.fixedDelays, sm.useDeclaredAdviceTimes = true, true
	sm.addWorkers(7, workerCapacity)
	sm.addWorker(backend.Registration{Life: backend.Life{ID: "worker-7", Born: 1}, Service: "desk", Zone: "zone-0", Capacity: workerCapacity, Labels: []string{lostLabel}})
	begun := sm.now
	sm.electLeader()
	sm.runFor(time.Second)
	source := rand.New(rand.NewPCG(seed, 2))
	submit := func(at time.Duration, id, queue string, step work.Step) {
		step.Size, step.Estimate = resource.Vector{Milliprocessors: 500 + 500*source.Int64N(4), MemoryMebibytes: 100}, 400*time.Millisecond
		sm.schedule(at, func() {
			sm.submit(&work.Job{ID: id, Queue: queue, Steps: []work.Step{step}}, fleet.TaskProfile{RunTime: 400 * time.Millisecond})
		})
	}
	for i := range 3 { // A task of each of these runs on the worker that is lost.
		submit(0, fmt.Sprintf("spread-%d", i), []string{"urgent", "batch", "advised"}[i], work.Step{Count: 8, MostPerWorker: 1})
	}
	for i := range 40 {
		submit(time.Duration(source.Int64N(int64(8*time.Second))), fmt.Sprintf("job-%d", i), []string{"urgent", "batch", "advised"}[i%3], work.Step{Count: 1 + source.IntN(4)})
	}
	sm.schedule(lostAfter, func() {
		life := backend.Life{ID: "worker-7", Born: 1}
		delete(sm.workers, life)
		sm.schedule(2*time.Second, func() { delete(sm.listed, life.ID) })
	})
	for i := range others {
		sm.schedule(silentAfter+time.Duration(source.Int64N(int64(6*time.Second))), func() { sm.submit(other(i), fleet.TaskProfile{RunTime: time.Hour}) })
	}
	sm.runFor(30 * time.Second)
	completed := map[string]time.Duration{}
	for _, j := range sm.jobs {
		if state, _ := sm.leaders[0].scheduler.Status(j.ID); state == work.Completed {
			completed[j.ID] = sm.lastDoneAt[j.ID].Sub(begun)
		}
	}
	return completed
}

// Jobs for a lost kind of worker claimed the capacity of the others, so that jobs behind
// them never asked the adviser again; more than 500 of them kept late jobs out of all
// scheduling passes. Whatever can't run must delay nothing that can.
func TestJobsThatCannotRunDelayNoOthers(t *testing.T) {
	// schedulingInterval is the longest time between two scheduling passes while tasks wait.
	const schedulingInterval = 100 * time.Millisecond
	small := resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 100}
	kinds := []struct {
		name string
		step work.Step
		// repeat is the schedule of the job relative to its submission, or nil.
		repeat *work.Repeat
		delay  time.Duration
	}{
		{"a lost kind of worker", work.Step{Count: 6, Size: small, Label: lostLabel}, nil, 0},
		{"a gang of a lost kind", work.Step{Count: 2, Size: small, Label: lostLabel, Gang: true}, nil, 0},
		{"lasting tasks of a lost kind", work.Step{Count: 2, Size: small, Label: lostLabel, Lasting: true}, nil, 0},
		{"large tasks of a lost kind", work.Step{Count: 1, Size: workerCapacity, Label: lostLabel}, nil, 0},
		{"a gang wider than the pool", work.Step{Count: 80, Size: workerCapacity, Gang: true}, nil, 0},
		{"tasks larger than any worker", work.Step{Count: 1, Size: workerCapacity.Add(workerCapacity)}, nil, 0},
		{"a resource that no worker has", work.Step{Count: 2, Size: resource.Vector{Milliprocessors: 1000, Accelerators: 1}}, nil, 0},
		{"a schedule in the far future", work.Step{Count: 1, Size: small}, &work.Repeat{Count: 9, Interval: time.Hour}, 9 * 365 * 24 * time.Hour},
		{"an overdue schedule for a lost kind", work.Step{Count: 1, Size: small, Label: lostLabel}, &work.Repeat{Count: 9, Interval: time.Second}, -time.Hour},
	}
	seeded.SetChecks(t, 6)
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		kind := kinds[rapid.IntRange(0, len(kinds)-1).Draw(rt, "kind")]
		queues := rapid.SampledFrom([][]string{{"urgent"}, {"batch"}, {"advised"}, {"urgent", "batch", "advised"}}).Draw(rt, "queues")
		count := rapid.SampledFrom([]int{1, 20, 20, 600, 600, 3000}).Draw(rt, "count")
		alone := mixedLoad(seed, 0, nil)
		beside := mixedLoad(seed, count, func(i int) *work.Job {
			j := &work.Job{ID: fmt.Sprintf("other-%d", i), Queue: queues[i%len(queues)], Steps: []work.Step{kind.step}}
			j.Steps[0].Estimate = time.Second
			if kind.repeat != nil {
				r := *kind.repeat
				r.Start = time.Unix(1_700_000_000, 0).Add(kind.delay)
				j.Repeat = &r
			}
			return j
		})
		if len(alone) != 43 {
			rt.Fatalf("%d of 43 jobs completed without others", len(alone))
		}
		for id, at := range alone {
			if later, ok := beside[id]; !ok || later > at+schedulingInterval {
				rt.Errorf("%d jobs with %s on %v: %s ends at %s (completed: %t), without them at %s", count, kind.name, queues, id, later, ok, at)
			}
		}
	})
}
