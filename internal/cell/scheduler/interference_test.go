package scheduler_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// replayImage is an image of which a job with one task is submitted at intervals.
type replayImage struct {
	name     string
	interval time.Duration
	runTime  time.Duration
	target   time.Duration
	// disturbedBy maps other images to the factor by which they raise the latency, or the
	// time for the work of a task that is not a serving task.
	disturbedBy map[string]float64
	// size is the size of the task, or 0 for taskSize.
	size resource.Vector
}

// replayRun is a run on an emulated worker.
type replayRun struct {
	backend.Run
	image      *replayImage
	startedAt  time.Time
	need, done time.Duration
}

type replayWorker struct {
	life  backend.Life
	runs  []*replayRun
	ended []backend.EndedRun
	ends  int64
}

// replayResult is what was measured after the first minute, in which pairs are learned.
type replayResult struct {
	reports, overTarget int
	runTimes            map[string]time.Duration
	completed           map[string]int
	// waits holds the time from the submission of each job to its start, or to the end.
	waits map[string]time.Duration
	moved int64
	known int
}

const (
	replayStep     = 100 * time.Millisecond
	replayLearning = time.Minute
	replayDuration = 4 * time.Minute
)

// replayInterference plays the same jobs, with the same noise of run times, on emulated
// workers whose tasks disturb each other.
func replayInterference(seed uint64, workers int, images []replayImage, runTimeNoise float64, enabled bool) replayResult {
	start := time.Unix(1_700_000_000, 0)
	now := start
	random := rand.New(rand.NewPCG(seed, 1))
	s := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, logr.Discard())
	if !enabled {
		s.DisableInterference()
	}
	s.SetTable(newSimulation(1, faultProbabilities{}).table)
	var list []backend.Registration
	byLife := map[backend.Life]*replayWorker{}
	for i := range workers {
		life := backend.Life{ID: fmt.Sprintf("worker-%02d", i), Born: 1}
		list = append(list, backend.Registration{Life: life, Service: "desk", Capacity: workerCapacity})
		byLife[life] = &replayWorker{life: life}
	}
	s.SetWorkers(list, now)
	result := replayResult{runTimes: map[string]time.Duration{}, completed: map[string]int{}, waits: map[string]time.Duration{}}
	imageOf, needs, submittedAt := map[string]*replayImage{}, map[string]time.Duration{}, map[string]time.Time{}
	for step := 0; now.Sub(start) < replayDuration; step++ {
		now = now.Add(replayStep)
		measured := now.Sub(start) > replayLearning
		for i := range images {
			im := &images[i]
			if (time.Duration(step)*replayStep)%im.interval != 0 {
				continue
			}
			id := fmt.Sprintf("%s-%d", im.name, step)
			imageOf[id], submittedAt[id] = im, now
			needs[id] = time.Duration(float64(im.runTime) * math.Exp(runTimeNoise*random.NormFloat64()))
			size := im.size
			if size == (resource.Vector{}) {
				size = taskSize
			}
			s.Submit(&work.Job{ID: id, Queue: "urgent", Accepted: now, Steps: []work.Step{{Count: 1, Size: size, Estimate: im.runTime, Image: im.name, Target: im.target}}}, now)
		}
		for _, r := range list {
			byLife[r.Life].advance(&result, now, measured)
			if step%2 == 0 {
				byLife[r.Life].report(s, &result, random, now, measured)
			}
		}
		s.Tick(now)
		s.Schedule(now)
		if c := s.NextCommit(now); c != nil {
			s.Committed(c, now)
		}
		for _, o := range s.TakeEffects().Starts {
			id := o.Order.Task.Job
			w := byLife[o.Worker]
			w.runs = append(w.runs, &replayRun{Run: backend.Run{Task: o.Order.Task, Run: o.Order.Run}, image: imageOf[id], startedAt: now, need: needs[id]})
			result.waits[id] = now.Sub(submittedAt[id])
			s.StartAnswered(o.Worker, &o.Order, "", 0, now)
		}
		result.known = max(result.known, s.KnownInterferingPairs())
	}
	for id, at := range submittedAt {
		if _, started := result.waits[id]; !started {
			result.waits[id] = now.Sub(at)
		}
	}
	result.moved = s.MovedPlacements()
	return result
}

// factor returns how much the other images on the worker disturb a run.
func (w *replayWorker) factor(r *replayRun) float64 {
	f := 1.0
	for _, other := range w.runs {
		f = max(f, r.image.disturbedBy[other.image.name])
	}
	return f
}

// advance lets the runs work for one step and ends those that are done.
func (w *replayWorker) advance(result *replayResult, now time.Time, measured bool) {
	for _, r := range w.runs {
		f := 1.0
		if r.image.target == 0 {
			f = w.factor(r)
		}
		r.done += time.Duration(float64(replayStep) / f)
		r.Percent = min(int(100*r.done/r.need), 100)
	}
	var left []*replayRun
	for _, r := range w.runs {
		if r.done < r.need {
			left = append(left, r)
			continue
		}
		w.ends++
		w.ended = append(w.ended, backend.EndedRun{Number: w.ends, Task: r.Task, Run: r.Run.Run, Outcome: backend.Done})
		if measured {
			result.completed[r.image.name]++
			result.runTimes[r.image.name] += now.Sub(r.startedAt)
		}
	}
	w.runs = left
}

// report answers a hold.
func (w *replayWorker) report(s *scheduler.Scheduler, result *replayResult, random *rand.Rand, now time.Time, measured bool) {
	hold, sent, _ := s.NextHold(w.life, now)
	for len(w.ended) > 0 && w.ended[0].Number <= hold.Acknowledged {
		w.ended = w.ended[1:]
	}
	report := backend.Report{Life: w.life, Clock: time.Second + now.Sub(time.Unix(1_700_000_000, 0)), Ended: w.ended}
	for _, r := range w.runs {
		if r.image.target > 0 {
			latency := 0.4 * float64(r.image.target) * w.factor(r) * math.Exp(0.25*rand.New(rand.NewPCG(random.Uint64(), 1)).NormFloat64())
			r.Figure = time.Duration(latency).Milliseconds()
			if measured {
				result.reports++
				if latency > float64(r.image.target) {
					result.overTarget++
				}
			}
		}
		report.Running = append(report.Running, r.Run)
	}
	s.HoldAnswered(w.life, sent, &report, now)
}

func (r *replayResult) String() string {
	text := fmt.Sprintf("%.3f of %d reports over target, %d pairs known, %d placements moved", r.overShare(), r.reports, r.known, r.moved)
	for _, name := range slices.Sorted(maps.Keys(r.completed)) {
		text += fmt.Sprintf(", %d runs of %s took %d ms", r.completed[name], name, r.meanRunTime(name).Milliseconds())
	}
	return text
}

func (r *replayResult) overShare() float64 {
	return float64(r.overTarget) / float64(max(r.reports, 1))
}

func (r *replayResult) meanRunTime(image string) time.Duration {
	return r.runTimes[image] / time.Duration(max(r.completed[image], 1))
}

// meanWait returns the mean time from the submission of the jobs of an image to their starts.
func (r *replayResult) meanWait(image string) time.Duration {
	sum, n := time.Duration(0), 0
	for id, wait := range r.waits {
		if strings.HasPrefix(id, image+"-") {
			sum, n = sum+wait, n+1
		}
	}
	return sum / time.Duration(max(n, 1))
}

var disturbingImages = []replayImage{
	{name: "web", interval: 800 * time.Millisecond, runTime: 8 * time.Second, target: 100 * time.Millisecond, disturbedBy: map[string]float64{"scan": 2.5}},
	{name: "scan", interval: 500 * time.Millisecond, runTime: 4 * time.Second},
	{name: "crunch", interval: 500 * time.Millisecond, runTime: 4 * time.Second, disturbedBy: map[string]float64{"scan": 2}},
}

// Guards against a penalty that has no effect, or that is applied where nothing was learned.
func TestDisturbingTasksAreKeptApart(t *testing.T) {
	is := is.New(t)
	off, on := replayInterference(1, 20, disturbingImages, 0.3, false), replayInterference(1, 20, disturbingImages, 0.3, true)
	t.Logf("off: %s", off.String())
	t.Logf("on: %s", on.String())
	is.Equal(off.known, 0)
	is.Equal(on.known, 2)
	is.True(off.overShare() > 0.15)
	is.True(on.overShare() < off.overShare()/4)
	is.True(on.meanRunTime("crunch") < off.meanRunTime("crunch")*9/10)
	is.True(on.meanRunTime("scan") <= off.meanRunTime("scan")*101/100)
}

// Guards against penalties among images that do not disturb each other: placement stays as it is.
func TestHarmlessImagesAreNotKeptApart(t *testing.T) {
	is := is.New(t)
	images := slices.Clone(disturbingImages)
	for i := range images {
		images[i].disturbedBy = nil
	}
	for seed := range uint64(5) {
		off, on := replayInterference(seed, 20, images, 0.3, false), replayInterference(seed, 20, images, 0.3, true)
		is.Equal(on.known, 0)
		is.Equal(on.moved, int64(0))
		is.Equal(on.waits, off.waits)
	}
}

// Guards against a veto: without room, each job starts as early as without the feature. Run
// times are fixed, so that capacity is freed at the same times.
func TestInterferenceDelaysNothingWithoutRoom(t *testing.T) {
	is := is.New(t)
	images := []replayImage{
		{name: "web", interval: 300 * time.Millisecond, runTime: 8 * time.Second, target: 100 * time.Millisecond, disturbedBy: map[string]float64{"scan": 2.5}},
		{name: "scan", interval: 500 * time.Millisecond, runTime: 4 * time.Second},
	}
	for _, workers := range []int{9, 11} {
		off, on := replayInterference(1, workers, images, 0, false), replayInterference(1, workers, images, 0, true)
		t.Logf("%d workers, off: %s, web waits %s", workers, off.String(), off.meanWait("web"))
		t.Logf("%d workers, on: %s, web waits %s", workers, on.String(), on.meanWait("web"))
		is.True(off.meanWait("web") > time.Second) // There is no room.
		is.Equal(on.known, 1)
		for id, wait := range on.waits {
			is.True(wait <= off.waits[id]) // No job waits longer.
		}
	}
}

// Guards against small tasks that are spread out and so delay tasks that need an entire worker.
func TestInterferenceDoesNotDelayLargeTasks(t *testing.T) {
	is := is.New(t)
	images := append(slices.Clone(disturbingImages), replayImage{name: "big", interval: 4 * time.Second, runTime: 4 * time.Second, size: resource.Vector{Milliprocessors: 7500, MemoryMebibytes: 7000}})
	for _, workers := range []int{11, 14} {
		var off, on time.Duration
		for seed := range uint64(4) {
			withOff, withOn := replayInterference(seed, workers, images, 0.3, false), replayInterference(seed, workers, images, 0.3, true)
			off, on = off+withOff.meanWait("big"), on+withOn.meanWait("big")
		}
		t.Logf("%d workers: off %s, on %s", workers, off/4, on/4)
		is.True(on <= off)
	}
}
