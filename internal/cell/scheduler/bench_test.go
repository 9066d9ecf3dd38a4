package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/team"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// BenchmarkPlan measures a scheduling pass while all workers are full and many jobs
// wait.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 350, 1100, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(workers, workerCapacity)
			l := sm.electLeader()
			for i := range workers * 2 {
				j := &work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "advised", Steps: []work.Step{{Count: 6, Size: taskSize, Estimate: time.Second}}}
				sm.submit(j, fleet.TaskProfile{RunTime: time.Hour})
			}
			sm.runFor(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				l.scheduler.Schedule(sm.now)
			}
		})
	}
}

// queueWorkload is a queue of a large fleet, with the only step of its jobs and the
// rate at which they arrive.
type queueWorkload struct {
	queue         queue.Queue
	jobsPerSecond float64
	step          work.Step
}

// workload is the load of a large fleet with two services. All its queues need
// advice.
var workload = []queueWorkload{
	{queue.Queue{Name: "sort", Service: "desk", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Objective: 250 * time.Millisecond, Advice: &queue.AdviceCost{Fixed: 27 * time.Millisecond, PerWorker: 390 * time.Microsecond, Validity: 2 * time.Second}},
		54.6, work.Step{Count: 19, Size: resource.Vector{Milliprocessors: 17000, MemoryMebibytes: 31000}, Estimate: 700 * time.Millisecond, MostPerWorker: 2}},
	{queue.Queue{Name: "draft", Service: "desk", Priority: 2, MaxAttempts: 4, Stretch: 4, Objective: 3 * time.Second, Advice: &queue.AdviceCost{Fixed: 182 * time.Millisecond, PerWorker: 2600 * time.Microsecond, Validity: 2 * time.Second}},
		4.6, work.Step{Count: 58, Size: resource.Vector{Milliprocessors: 18000, MemoryMebibytes: 25000}, Estimate: 5600 * time.Millisecond, Checkpoints: true}},
	{queue.Queue{Name: "scan", Service: "bench", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Objective: time.Second, Advice: &queue.AdviceCost{Fixed: 637 * time.Millisecond, PerWorker: 9100 * time.Microsecond, Validity: 2 * time.Second}},
		8.8, work.Step{Count: 8, Size: resource.Vector{Milliprocessors: 62000, MemoryMebibytes: 180000, Accelerators: 4}, Estimate: 3600 * time.Millisecond, Gang: true}},
	{queue.Queue{Name: "check", Service: "bench", Priority: 2, MaxAttempts: 3, Stretch: 4, Objective: 3 * time.Second, Advice: &queue.AdviceCost{Fixed: 208 * time.Millisecond, PerWorker: 2990 * time.Microsecond, Validity: 2 * time.Second}},
		8, work.Step{Count: 32, Size: resource.Vector{Milliprocessors: 11000, MemoryMebibytes: 46000, Accelerators: 1}, Estimate: 3 * time.Second, MostPerWorker: 3}},
}

// newLargeSimulation returns a simulation of a cell with 1,100 workers of two
// services and 147 entry VMs.
func newLargeSimulation() *simulation {
	sm := newSimulation(1, faultProbabilities{})
	sm.table = &queue.Table{Version: 1}
	for i := range workload {
		sm.table.Queues = append(sm.table.Queues, workload[i].queue)
	}
	sm.adviceVMs, sm.useDeclaredAdviceTimes = nil, true
	for i := range 147 {
		sm.adviceVMs = append(sm.adviceVMs, fmt.Sprintf("vm-%d", i))
	}
	for i := range 1100 {
		r := backend.Registration{
			Life:    backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: int64(i + 1)},
			Service: "desk", Zone: fmt.Sprintf("zone-%d", i%5), Capacity: resource.Vector{Milliprocessors: 64000, MemoryMebibytes: 131072}, Labels: []string{"a", fmt.Sprintf("rack-%d", i/20)},
		}
		if i%25 >= 18 {
			r.Service, r.Capacity = "bench", resource.Vector{Milliprocessors: 128000, MemoryMebibytes: 524288, Accelerators: 8}
		}
		sm.addWorker(r)
	}
	return sm
}

// submitWorkload submits as many jobs as arrive in a period of length d.
func (sm *simulation) submitWorkload(d time.Duration) {
	for i := range workload {
		k := &workload[i]
		for n := range int(k.jobsPerSecond * d.Seconds()) {
			j := &work.Job{ID: fmt.Sprintf("%s-%d-%d", k.queue.Name, sm.lastEventSequence, n), Queue: k.queue.Name, Steps: []work.Step{k.step}}
			sm.submit(j, fleet.TaskProfile{RunTime: k.step.Estimate})
		}
	}
}

// BenchmarkBacklog measures a scheduling pass for a large fleet with a backlog of
// jobs.
func BenchmarkBacklog(b *testing.B) {
	for _, backlog := range []time.Duration{10 * time.Second, 50 * time.Second} {
		b.Run(fmt.Sprintf("of=%s", backlog), func(b *testing.B) {
			sm := newLargeSimulation()
			l := sm.electLeader()
			sm.submitWorkload(backlog)
			sm.runFor(3 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				l.scheduler.Schedule(sm.now)
				l.scheduler.TakeEffects()
			}
		})
	}
}

// BenchmarkHandIn measures the submission of an urgent job to a large fleet while
// other jobs wait.
func BenchmarkHandIn(b *testing.B) {
	sm := newLargeSimulation()
	l := sm.electLeader()
	sm.submitWorkload(10 * time.Second)
	sm.runFor(3 * time.Second)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		l.scheduler.Submit(&work.Job{ID: fmt.Sprintf("urgent-%d", n), Queue: "sort", Accepted: sm.now, Steps: []work.Step{workload[0].step}}, sm.now)
		for _, a := range l.scheduler.TakeEffects().AdviceRequests {
			l.scheduler.AdviceAnswered(a.Number, backend.Advice{}, false, sm.now)
		}
	}
}

// BenchmarkTick measures what depends only on the time, in a large fleet with work.
func BenchmarkTick(b *testing.B) {
	sm := newLargeSimulation()
	l := sm.electLeader()
	sm.submitWorkload(4 * time.Second)
	sm.runFor(1500 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		l.scheduler.Tick(sm.now)
		l.scheduler.TakeEffects()
	}
}

// BenchmarkHoldAnswered measures a hold whose answer lists five runs, none of which has
// ended, and a commit after every tenth answer.
func BenchmarkHoldAnswered(b *testing.B) {
	const runs = 5
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(1100, resource.Vector{Milliprocessors: 64000, MemoryMebibytes: 131072})
	l := sm.electLeader()
	sm.submit(&work.Job{ID: "job", Queue: "batch", Steps: []work.Step{{Count: 1100, Size: resource.Vector{Milliprocessors: 64000 / runs, MemoryMebibytes: 1000}, Estimate: time.Hour, Checkpoints: true}}}, fleet.TaskProfile{RunTime: time.Hour})
	sm.runFor(3 * time.Second)
	var reports []backend.Report
	for _, life := range sm.sortedLives() {
		report, _ := sm.workers[life].Hold(backend.Hold{Token: 1 << 40}, sm.now)
		if len(report.Running) == runs {
			reports = append(reports, report)
		}
	}
	if len(reports) == 0 {
		b.Fatal("no worker has five runs")
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		r := &reports[n%len(reports)]
		_, sent, _ := l.scheduler.NextHold(r.Life, sm.now)
		l.scheduler.HoldAnswered(r.Life, sent, r, sm.now)
		if n++; n%10 == 0 {
			if c := l.scheduler.NextCommit(sm.now); c != nil {
				l.scheduler.Committed(c, sm.now)
			}
		}
	}
}

// BenchmarkTeams measures a scheduling pass with some thousands of waiting jobs while all
// workers are full, without and with teams.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{0, 20, 1000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			sm := newSimulation(1, faultProbabilities{})
			sm.addWorkers(200, workerCapacity)
			if teams > 0 {
				var list []team.Team
				for i := range teams {
					list = append(list, team.Team{Name: fmt.Sprintf("team-%d", i), Weight: float64(1 + i%9)})
				}
				d, err := team.New(list)
				if err != nil {
					b.Fatal(err)
				}
				sm.table = &queue.Table{Version: 2, Queues: sm.table.Queues, Teams: d}
			}
			l := sm.electLeader()
			for i := range 4000 {
				j := &work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "batch", Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}
				if teams > 0 {
					j.Team = fmt.Sprintf("team-%d", i%teams)
				}
				sm.submit(j, fleet.TaskProfile{RunTime: time.Hour})
			}
			sm.runFor(200 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				l.scheduler.Schedule(sm.now)
			}
		})
	}
}
