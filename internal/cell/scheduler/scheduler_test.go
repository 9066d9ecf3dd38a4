package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

var (
	workerSize = resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 8000}
	taskSize   = resource.Vector{Milliprocessors: 2500, MemoryMebibytes: 1000}
)

// jobs returns jobs of several shapes.
func (w *world) addJobs(n int) {
	for i := range n {
		j := &work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "urgent", Steps: []work.Step{
			{Count: 1 + w.random.IntN(4), Size: taskSize, Estimate: 700 * time.Millisecond},
		}}
		if w.chance(0.5) {
			j.Steps = append(j.Steps, work.Step{Count: 2, Size: taskSize, Estimate: 500 * time.Millisecond, After: []int{0}})
		}
		if w.chance(0.3) {
			j.Queue = "advised"
		}
		if w.chance(0.2) {
			j.Steps[0].MostPerWorker = 1
		}
		j.Steps[0].Speculative = w.chance(0.4)
		demand := fleet.Demand{RunTime: w.between(100*time.Millisecond, 3*time.Second)}
		w.after(w.between(0, 5*time.Second), func() { w.submit(j, demand) })
	}
}

func TestScheduler(t *testing.T) {
	scenarios := []struct {
		testName string
		faults   faults
		prepare  func(w *world)
	}{
		{"calm", faults{}, func(*world) {}},
		{"answers are lost and orders carried out late", faults{lost: 0.1, late: 0.05}, func(*world) {}},
		{"the leader freezes and its successor takes over", faults{late: 0.03}, func(w *world) {
			for i := range 3 {
				w.after(time.Duration(i+1)*2*time.Second, func() {
					old := w.leaders[len(w.leaders)-1]
					old.frozen = true
					w.after(w.between(100*time.Millisecond, 5*time.Second), func() { old.frozen = false })
					w.after(w.between(0, 2*time.Second), func() { w.elect() })
				})
			}
		}},
		{"workers are cut off and run on", faults{}, func(w *world) {
			w.after(2*time.Second, func() {
				for _, life := range w.lives() {
					if w.chance(0.5) {
						w.cut[life] = true
					}
				}
				w.after(w.between(time.Second, 9*time.Second), func() { clear(w.cut) })
			})
		}},
		{"workers restart under their old name", faults{lost: 0.05}, func(w *world) {
			for i := range 3 {
				w.after(time.Duration(i+1)*time.Second, func() {
					for _, life := range w.lives() {
						if w.chance(0.3) {
							w.restart(life)
						}
					}
				})
			}
		}},
		{"a cut zone and a new leader", faults{lost: 0.02, late: 0.02}, func(w *world) {
			w.after(2*time.Second, func() {
				for _, life := range w.lives() {
					w.cut[life] = w.workers[life].Registration.Zone == "zone-1"
				}
				w.after(500*time.Millisecond, func() { w.elect() })
				w.after(w.between(time.Second, 8*time.Second), func() { clear(w.cut) })
			})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				w := newWorld(seed, s.faults)
				w.addWorkers(6, workerSize)
				w.elect()
				w.addJobs(12)
				s.prepare(w)
				w.run(20 * time.Second)
				w.faults = faults{}
				clear(w.cut)
				w.run(40 * time.Second)
				for _, p := range w.problems {
					rt.Errorf("%s", p)
				}
				last := w.leaders[len(w.leaders)-1]
				for _, j := range w.jobs {
					if state, _ := last.state.Status(j.ID, false); state != work.Completed {
						rt.Errorf("job %s is %s", j.ID, state)
					}
				}
			})
		})
	}
}

func TestCancelStopsWhatRuns(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(2, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 4, Size: taskSize}}}, fleet.Demand{RunTime: time.Minute})
	w.run(time.Second)
	is.Equal(w.starts, 4)
	w.cancel("job")
	w.run(time.Second)
	for _, v := range w.workers {
		is.Equal(len(v.Running()), 0)
	}
	state, _ := w.leaders[0].state.Status("job", false)
	is.Equal(state, work.Cancelled)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(3, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.Demand{RunTime: 10 * time.Millisecond, Fails: true})
	w.run(20 * time.Second)
	is.Equal(w.starts, 4)
	state, _ := w.leaders[0].state.Status("job", false)
	is.Equal(state, work.Failed)
}

func TestFailureReportedLateCounts(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(3, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.Demand{RunTime: 600 * time.Millisecond, Fails: true})
	w.run(500 * time.Millisecond)
	for _, life := range w.lives() {
		w.cut[life] = len(w.workers[life].Running()) > 0
	}
	w.run(6600 * time.Millisecond) // The first run has failed unseen, the second has started.
	is.Equal(w.starts, 2)
	clear(w.cut)
	w.run(20 * time.Second)
	is.Equal(w.starts, 4)
	state, _ := w.leaders[0].state.Status("job", false)
	is.Equal(state, work.Failed)
}

func TestLastingTaskReturns(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(2, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 2, Size: taskSize, Lasting: true}}}, fleet.Demand{})
	w.run(time.Second)
	is.Equal(w.starts, 2)
	for _, life := range w.lives() {
		w.restart(life)
	}
	w.run(2 * time.Second)
	is.Equal(w.starts, 4)
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(1, workerSize)
	w.elect()
	for life, v := range w.workers {
		is.Equal(life, v.Registration.Life)
		v.Registration.Draining = true
	}
	w.run(time.Second)
	w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.Demand{RunTime: time.Second})
	w.run(time.Second)
	is.Equal(w.starts, 0)
}

func TestUnknownJob(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	l := w.elect()
	_, known := l.state.Status("nobody", false)
	is.True(!known)
	l.state.Cancel("nobody", w.now)
	l.state.HoldFailed(backend.Life{ID: "nobody"}, backend.KindUnknown, w.now)
}

func TestCopiedTaskKeepsItsRoom(t *testing.T) { copiedTaskKeepsItsRoom(t, 5*time.Second, false) }

// The next leader does not know the copies that were given up, which still run.
func TestCopiedTaskKeepsItsRoomForTheNextLeader(t *testing.T) {
	copiedTaskKeepsItsRoom(t, 8*time.Second, true)
}

// copiedTaskKeepsItsRoom cuts a worker off until its tasks have copies; another leader
// may take over then.
func copiedTaskKeepsItsRoom(t *testing.T, runTime time.Duration, nextLeader bool) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(3, workerSize)
	leader := w.elect()
	w.submit(&work.Job{ID: "first", Queue: "urgent", Steps: []work.Step{{Count: 6, Size: taskSize, Speculative: true}}}, fleet.Demand{RunTime: runTime})
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 6)
	lives := w.lives()
	w.cut[lives[0]] = true
	w.run(2500 * time.Millisecond)
	is.Equal(w.starts, 9) // The three tasks there have copies.
	if nextLeader {
		leader = w.elect()
	}
	w.submit(&work.Job{ID: "second", Queue: "urgent", Steps: []work.Step{{Count: 3, Size: taskSize}}}, fleet.Demand{RunTime: 5 * time.Second})
	w.run(500 * time.Millisecond)
	clear(w.cut)
	w.run(30 * time.Second)
	is.Equal(w.problems, nil)
	for _, id := range []string{"first", "second"} {
		state, _ := leader.state.Status(id, false)
		is.Equal(state, work.Completed)
	}
}

func TestImpossibleTasksKeepNothing(t *testing.T) {
	whole := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 8000}
	scenarios := []struct {
		testName string
		step     work.Step
	}{
		{"a gang larger than the fleet", work.Step{Count: 3, Size: whole, Gang: true, Estimate: 10 * time.Second}},
		{"more tasks than workers may take", work.Step{Count: 4, Size: resource.Vector{Milliprocessors: 5000}, MostPerWorker: 1, Lasting: true}},
		{"a task larger than any worker", work.Step{Count: 1, Size: resource.Vector{Milliprocessors: 9000}}},
		{"a label that no worker has", work.Step{Count: 1, Size: whole, Label: "nowhere"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, faults{})
			w.addWorkers(2, workerSize)
			w.elect()
			w.submit(&work.Job{ID: "first", Queue: "urgent", Steps: []work.Step{s.step}}, fleet.Demand{RunTime: time.Hour})
			w.run(500 * time.Millisecond)
			w.submit(&work.Job{ID: "second", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: 30 * time.Second}}}, fleet.Demand{RunTime: 100 * time.Millisecond})
			w.run(2 * time.Second)
			state, _ := w.leaders[0].state.Status("second", false)
			is.Equal(state, work.Completed)
		})
	}
}

func TestTasksOfADeadWorkerRunElsewhere(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(2, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 6, Size: taskSize}}}, fleet.Demand{RunTime: time.Second})
	w.run(500 * time.Millisecond)
	w.cut[w.lives()[0]] = true // It is registered, and never answers again.
	w.run(10 * time.Second)
	state, _ := w.leaders[0].state.Status("job", false)
	is.Equal(state, work.Completed)
	is.Equal(w.starts, 9)
}

func TestCheckpointedTaskLeavesADrainingWorker(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(1, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize, Checkpoints: true}}}, fleet.Demand{RunTime: time.Hour})
	w.run(500 * time.Millisecond)
	v := w.workers[w.lives()[0]]
	v.Registration.Draining, v.Registration.Remaining = true, 3*time.Second
	w.run(1500 * time.Millisecond)
	is.Equal(len(v.Running()), 1) // It works on while there is time.
	w.run(1500 * time.Millisecond)
	is.Equal(len(v.Running()), 0)
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(2, workerSize)
	w.elect()
	j := &work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}
	j.Repeat = &work.Repeat{Count: 3, Start: w.now.Add(2 * time.Second), Interval: time.Second}
	w.submit(j, fleet.Demand{})
	for k := range 3 {
		w.demands[work.TaskID{StepID: work.StepID{Job: "job", Occurrence: k}}] = fleet.Demand{Room: taskSize, RunTime: 100 * time.Millisecond}
	}
	w.run(1990 * time.Millisecond)
	is.Equal(w.starts, 0)
	for expected := 1; expected <= 3; expected++ {
		w.run(time.Second)
		is.Equal(w.starts, expected)
	}
	w.run(time.Second)
	is.Equal(w.problems, nil)
	state, _ := w.leaders[0].state.Status("job", false)
	is.Equal(state, work.Completed)
}

func TestGangStartsAndFailsAsOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(3, workerSize)
	w.elect()
	whole := resource.Vector{Milliprocessors: 8000}
	w.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 3, Size: whole, Gang: true}}}, fleet.Demand{RunTime: 10 * time.Second})
	first := work.TaskID{StepID: work.StepID{Job: "gang"}}
	failing := w.demands[first]
	failing.RunTime, failing.Fails = 100*time.Millisecond, true
	w.demands[first] = failing
	w.run(500 * time.Millisecond)
	is.Equal(w.starts, 3)
	w.run(20 * time.Second)
	is.Equal(w.starts, 12) // Four attempts of three members.
	state, _ := w.leaders[0].state.Status("gang", false)
	is.Equal(state, work.Failed)
	is.Equal(w.problems, nil)
}

func TestGangWaitsForAllItsPlaces(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(2, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "small", Queue: "urgent", Steps: []work.Step{{Count: 1, Size: taskSize}}}, fleet.Demand{RunTime: 2 * time.Second})
	w.run(500 * time.Millisecond)
	w.submit(&work.Job{ID: "gang", Queue: "urgent", Steps: []work.Step{{Count: 2, Size: resource.Vector{Milliprocessors: 8000}, Gang: true, Estimate: time.Minute}}}, fleet.Demand{RunTime: time.Second})
	w.run(time.Second)
	is.Equal(w.starts, 1) // No member holds a worker while the other has none.
	w.run(3 * time.Second)
	is.Equal(w.starts, 3)
}

// The first copy of a speculative task ends while the second is at each point of
// its start; the task must not start again, also under a new leader.
func TestLateEndOfACopyCounts(t *testing.T) {
	for _, after := range []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond, 140 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, faults{})
			w.addWorkers(2, workerSize)
			w.elect()
			w.submit(&work.Job{ID: "job", Queue: "urgent", Steps: []work.Step{
				{Count: 1, Size: taskSize, Speculative: true}, {Count: 1, Size: taskSize, After: []int{0}},
			}}, fleet.Demand{RunTime: 1500 * time.Millisecond})
			w.run(500 * time.Millisecond)
			first := w.lives()[0]
			if len(w.workers[first].Running()) == 0 {
				first = w.lives()[1]
			}
			w.cut[first] = true
			w.run(1790*time.Millisecond + after) // Around the moment at which it is copied.
			clear(w.cut)
			w.run(300 * time.Millisecond)
			w.elect()
			w.run(15 * time.Second)
			state, _ := w.leaders[1].state.Status("job", false)
			is.Equal(state, work.Completed)
			is.True(w.starts <= 3) // Two copies of the first step, one task of the second.
			is.Equal(w.problems, nil)
		})
	}
}

func TestFurtherWorkersAreAskedAbout(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(60, workerSize)
	w.elect()
	w.submit(&work.Job{ID: "job", Queue: "advised", Steps: []work.Step{{Count: 20, Size: taskSize, MostPerWorker: 1, Lasting: true}}}, fleet.Demand{})
	w.run(5 * time.Second)
	is.Equal(w.starts, 20) // Of the first 30 workers about 15 are good.
}

// A commit without records is not stored, so it proves nothing about the claim.
func TestCommitWithoutRecordsExtendsNoRight(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	timing := scheduler.Timing{Lease: 6 * time.Second, Right: 10 * time.Second, HoldWait: time.Second}
	s := scheduler.New(timing, 1, start, start, logr.Discard())
	life := backend.Life{ID: "worker", Born: 1}
	s.SetWorkers([]backend.Registration{{Life: life, Service: "desk", Capacity: workerSize}}, start)
	_, sent, ok := s.HoldRequest(life, start)
	is.True(ok)
	s.HoldAnswered(life, sent, &backend.Report{Life: life, Clock: time.Second, Ended: []backend.End{
		{Number: 1, Task: work.TaskID{StepID: work.StepID{Job: "nobody"}}, Run: 1, Outcome: backend.Done},
	}}, start)
	c := s.NextCommit(start.Add(5 * time.Second))
	is.Equal(len(c.Records), 0)
	s.Committed(c, start.Add(5*time.Second))
	hold, _, _ := s.HoldRequest(life, start.Add(9*time.Second))
	is.Equal(hold.Deadline, 11*time.Second) // One second more, by the worker's clock.
	is.Equal(hold.Acknowledged, int64(1))
}

// A large task waits for a worker; short tasks use the room there until then, and
// long ones do not delay it.
func TestShortTasksFillTheRoomBeforeAReservation(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{})
	w.addWorkers(1, workerSize)
	w.elect()
	half := resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 1000}
	whole := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 1000}
	one := func(id, queueName string, size resource.Vector, estimate, runTime time.Duration) {
		w.submit(&work.Job{ID: id, Queue: queueName, Steps: []work.Step{{Count: 1, Size: size, Estimate: estimate, Image: id}}}, fleet.Demand{RunTime: runTime})
	}
	one("running", "urgent", half, 5*time.Second, 5*time.Second)
	w.run(500 * time.Millisecond)
	one("large", "urgent", whole, 10*time.Second, time.Second)
	w.run(200 * time.Millisecond)
	one("short", "batch", half, 2*time.Second, 2*time.Second)
	w.run(2500 * time.Millisecond)
	one("long", "batch", half, 20*time.Second, 20*time.Second)
	state := func(id string) work.State { s, _ := w.leaders[0].state.Status(id, false); return s }
	is.Equal(state("short"), work.Completed)
	is.Equal(state("large"), work.Queued)
	w.run(3500 * time.Millisecond)
	is.Equal(state("large"), work.Completed) // "long" did not start before it.
	is.Equal(w.problems, nil)
}

// The registration of a worker outlives it for a while when its address belongs to
// another one.
func TestReplacedWorkerIsNotOpenedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, Right: 8 * time.Second, Retention: time.Hour}, 1, now, now, logr.Discard())
	gone := backend.Registration{Life: backend.Life{ID: "gone", Born: 1}, Service: "desk", Capacity: workerSize}
	s.SetWorkers([]backend.Registration{gone}, now)
	is.Equal(len(s.Take().Opened), 1)
	_, _, _ = s.HoldRequest(gone.Life, now)
	s.HoldFailed(gone.Life, backend.KindOtherLife, now)
	s.SetWorkers([]backend.Registration{gone}, now)
	is.Equal(len(s.Take().Opened), 0)
	gone.Life.Born = 2
	s.SetWorkers([]backend.Registration{gone}, now)
	is.Equal(len(s.Take().Opened), 1) // Another life of it, at an address of its own.
}

// A copy that was given up still runs on the only worker; the task gets no second run
// beside it.
func TestCopyIsNotPlacedBesideTheFirstRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, Right: 8 * time.Second, HoldWait: time.Second, Retention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(newWorld(1, faults{}).table)
	r := backend.Registration{Life: backend.Life{ID: "worker", Born: 1}, Service: "desk", Capacity: workerSize}
	s.SetWorkers([]backend.Registration{r}, now)
	hold := func(runs ...backend.Run) {
		_, sent, _ := s.HoldRequest(r.Life, now)
		s.HoldAnswered(r.Life, sent, &backend.Report{Life: r.Life, Clock: time.Second + now.Sub(time.Unix(1_700_000_000, 0)), Running: runs}, now)
	}
	plan := func() []scheduler.Order[backend.Start] {
		s.Plan(now)
		if c := s.NextCommit(now); c != nil {
			s.Committed(c, now)
		}
		return s.Take().Starts
	}
	hold()
	s.Submit(&work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize, Speculative: true}}}, now)
	starts := plan()
	is.Equal(len(starts), 1)
	first := backend.Run{Task: starts[0].Order.Task, Run: 1, Percent: 10}
	s.StartAnswered(r.Life, &starts[0].Order, "", 0, now)
	hold(first)
	now = now.Add(3 * time.Second)
	s.Tick(now) // The worker was silent; its task waits again.
	hold(first)
	is.Equal(len(plan()), 0)
	now = now.Add(time.Second)
	hold()
	is.Equal(len(plan()), 1) // The first run is gone.
}

// A caller hands a job in once more after its submission was deleted.
func TestSubmissionOfAnEndedJobIsDroppedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, Right: 8 * time.Second, Retention: time.Hour}, 1, now, now, logr.Discard())
	s.SetTable(newWorld(1, faults{}).table)
	j := &work.Job{ID: "job", Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: taskSize}}}
	dropped := func() []string {
		now = now.Add(4 * time.Second)
		s.Tick(now)
		return s.Take().Dropped
	}
	s.Submit(j, now)
	is.Equal(dropped(), nil)
	s.Cancel(j.ID, now)
	is.Equal(dropped(), []string{j.ID})
	is.Equal(dropped(), nil)
	s.Submit(j, now)
	is.Equal(dropped(), []string{j.ID})
	is.Equal(dropped(), nil)
}
