// Package load drives real entry processes over loopback and judges what
// callers and workers saw.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindUsage  Kind = "usage"
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Group is a stream of equal requests.
type Group struct {
	Customer   string
	Plan       string
	Class      plan.Class
	PerSecond  float64
	Size       resource.Vector
	RunTime    time.Duration
	Repeatable bool
	Deadline   time.Duration
}

// Scenario changes the load or the cluster while callers go on.
type Scenario struct {
	Name string
	// Flood names the plan whose rate rises tenfold in the second phase.
	Flood map[string]string
	// Act is run at the start of the second phase.
	Act func(ctx context.Context, r *run) error
}

// floodFactor is how far a flood exceeds the calm rate.
const floodFactor = 10

// Timing of a run: a calm phase, a phase in which the scenario acts, and the
// time that callers wait for their last answers.
const (
	calmPhase   = 8 * time.Second
	actingPhase = 16 * time.Second
	settleTime  = 25 * time.Second
	// rampTime is left out of both phases when goodput is compared.
	rampTime = 2 * time.Second
)

// groupsOf returns the load of a deployment.
func groupsOf(deployment string) []Group {
	small := resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 8192, Slots: 1, Connections: 1}
	gpu := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 16384, Accelerators: 1, Slots: 1, Connections: 1}
	large := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 32768, Slots: 1, Connections: 1}
	if deployment == "lumiquote" {
		return []Group{
			{"lumiquote", "fixture-counts", plan.Urgent, 50, small, 600 * time.Millisecond, true, 0},
			{"lumiquote", "quotes", plan.Normal, 5, small, 500 * time.Millisecond, false, 0},
			{"lumiquote", "recognition", plan.Normal, 15, gpu, 1500 * time.Millisecond, true, 0},
			{"guest", "guest-batch", plan.Overnight, 30, large, 2 * time.Second, true, 0},
		}
	}
	return []Group{
		{"hearthmark", "snag-sorting", plan.Urgent, 60, small, 600 * time.Millisecond, true, 0},
		{"hearthmark", "letters", plan.Normal, 5, small, 500 * time.Millisecond, false, 0},
		{"hearthmark", "photo-checks", plan.Normal, 15, gpu, 1500 * time.Millisecond, true, 0},
		{"guest", "guest-batch", plan.Overnight, 30, large, 2 * time.Second, true, 0},
	}
}

// run is one run of a scenario.
type run struct {
	cluster  *cluster.Cluster
	scenario Scenario
	random   *rand.Rand
	groups   []Group
	began    time.Time

	mutex   sync.Mutex
	calls   []call
	waiting sync.WaitGroup
	// gone marks entry VMs that the balancer does not use any more.
	gone    map[string]bool
	notes   notes
	cancels float64
}

// notes are what scenarios find out besides the callers' outcomes.
type notes struct {
	// leaving is when the VM list began to show a worker as leaving.
	leaving map[string]time.Time
	// raceWinners counts accepted publications of an operator race, and
	// raceLosers those that were told of a conflict.
	raceRounds, raceWinners, raceLosers int
	configurationSeconds                float64
	// takeoverSeconds is the time from a kill until every worker was adopted
	// again.
	takeoverSeconds float64
}

// balancer returns an entry VM for the next call.
func (r *run) balancer(seed uint64) *cluster.Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var up []*cluster.Entry
	for _, e := range r.cluster.Entries {
		if !r.gone[e.Name] {
			up = append(up, e)
		}
	}
	return up[seed%uint64(len(up))]
}

func (r *run) markGone(name string, gone bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.gone[name] = gone
}

// rate returns the rate of a group in a phase.
func (r *run) rate(g Group, acting bool) float64 {
	if acting && r.scenario.Flood[r.cluster.Deployment.Name] == g.Plan {
		return g.PerSecond * floodFactor
	}
	return g.PerSecond
}

// submit sends the requests of a group until the run's end.
func (r *run) submit(ctx context.Context, g Group, random *rand.Rand) {
	for ctx.Err() == nil {
		elapsed := time.Since(r.began)
		if elapsed >= calmPhase+actingPhase {
			return
		}
		pause := random.ExpFloat64() / r.rate(g, elapsed >= calmPhase)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(pause * float64(time.Second))):
		}
		r.waiting.Add(1)
		seed, cancelled := random.Uint64(), random.Float64() < r.cancelRate()
		go func() {
			defer r.waiting.Done()
			c := r.call(ctx, g, seed, cancelled)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.calls = append(r.calls, c)
		}()
	}
}

func (r *run) cancelRate() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cancels
}

// drive runs both phases and waits for the callers.
func (r *run) drive(ctx context.Context) error {
	r.began = time.Now()
	var group sync.WaitGroup
	for _, g := range r.groups {
		random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
		group.Go(func() { r.submit(ctx, g, random) })
	}
	var failure error
	if r.scenario.Act != nil {
		time.Sleep(calmPhase)
		failure = r.scenario.Act(ctx, r)
	}
	group.Wait()
	done := make(chan struct{})
	go func() {
		r.waiting.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleTime):
	}
	return failure
}
