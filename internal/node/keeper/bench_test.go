package keeper_test

import (
	"encoding/gob"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// benchWorkers is the number of workers in BenchmarkRun. benchTasks is the number of
// tasks in each job of the benchmark.
const (
	benchWorkers = 1100
	benchTasks   = 20
)

// benchWorker is the state of a simulated worker in BenchmarkRun.
type benchWorker struct {
	life backend.Life
	// endedRuns is the number of runs that have ended on the worker.
	endedRuns int64
	// lastHold describes the last hold that was sent to the worker.
	lastHold scheduler.SentHold
}

// BenchmarkRun measures the leader's work for one run of a task in a fleet of 1,100
// workers: placing the task, building the progress records, encoding the start order and
// the hold, and handling the end that the hold reports. Decoding messages and writing log
// lines are not included.
func BenchmarkRun(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 10 * time.Second, LeadershipLease: 12 * time.Second, HoldWait: time.Second, EndedJobRetention: 5 * time.Second}, 1, now, now, logr.Discard())
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "batch", Service: "desk", Priority: 2, MaxAttempts: 3, Stretch: 4, Objective: 3 * time.Second}}})
	workers := map[backend.Life]*benchWorker{}
	var list []backend.Registration
	for i := range benchWorkers {
		r := backend.Registration{Life: backend.Life{ID: fmt.Sprintf("i-%010x", i), Born: 1}, Service: "desk", Capacity: resource.Vector{Milliprocessors: 64000, MemoryMebibytes: 131072}}
		list = append(list, r)
		workers[r.Life] = &benchWorker{life: r.Life}
	}
	s.SetWorkers(list, now)
	for _, w := range workers {
		_, w.lastHold, _ = s.NextHold(w.life, now)
		s.HoldAnswered(w.life, w.lastHold, &backend.Report{Life: w.life, Clock: time.Second}, now)
	}
	batches := gob.NewEncoder(io.Discard)
	runs := 0
	for b.Loop() {
		if runs++; runs%benchTasks != 1 {
			continue
		}
		now = now.Add(10 * time.Millisecond)
		s.Submit(&work.Job{ID: fmt.Sprintf("%016x", runs), Queue: "batch", Payload: "payload", Accepted: now, Steps: []work.Step{{Count: benchTasks, Size: resource.Vector{Milliprocessors: 17000, MemoryMebibytes: 20000}, Estimate: time.Second}}}, now)
		s.Schedule(now)
		s.Committed(s.NextCommit(now), now)
		for _, o := range s.TakeEffects().Starts {
			w := workers[o.Worker]
			_ = batches.Encode(keeper.Batch{Leader: leaderAddress, Calls: []keeper.Call{{Number: int64(runs), Life: w.life, Start: &o.Order}}})
			s.StartAnswered(w.life, &o.Order, "", time.Second, now)
			hold, sent, _ := s.NextHold(w.life, now)
			_ = batches.Encode(keeper.Batch{Leader: leaderAddress, Calls: []keeper.Call{{Number: int64(runs), Life: w.life, Hold: &hold}}})
			w.endedRuns++
			s.HoldAnswered(w.life, sent, &backend.Report{Life: w.life, Clock: time.Second, Ended: []backend.EndedRun{{Number: w.endedRuns, Task: o.Order.Task, Run: o.Order.Run, Outcome: backend.Done}}}, now)
		}
		s.Committed(s.NextCommit(now), now)
		s.SetJobsReadUntil(now)
		s.Tick(now)
		s.TakeEffects()
	}
}
