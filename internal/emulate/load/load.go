// Package load implements the load program. It starts a cluster of real entry VM
// processes on loopback, simulates callers while a scenario injects a fault, and
// reports what the callers and the workers observed.
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
	// KindUsage means that an argument is not valid.
	KindUsage Kind = "usage"
	// KindFailed means that a scenario could not be carried out.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RequestGroup is a stream of identical requests with random arrivals.
type RequestGroup struct {
	Customer string
	Plan     string
	Class    plan.Class
	// PerSecond is the mean request rate.
	PerSecond  float64
	Size       resource.Vector
	RunTime    time.Duration
	Repeatable bool
	// Deadline is the time from the submission of a request to its deadline; 0
	// means that requests have no deadline.
	Deadline time.Duration
}

// Scenario changes the load or injects a fault while callers send requests.
type Scenario struct {
	Name string
	// FloodPlans maps the name of a deployment to the plan whose request rate is
	// multiplied by floodFactor in the acting phase.
	FloodPlans map[string]string
	// RunAction is called at the start of the acting phase; nil means no action. A run
	// fails with the error that it returns.
	RunAction func(ctx context.Context, r *scenarioRun) error
}

// floodFactor is the factor by which a flood multiplies the request rate of a
// plan.
const floodFactor = 10

// The phases of a run.
const (
	// calmPhase is the length of the first phase, without faults.
	calmPhase = 8 * time.Second
	// actingPhase is the length of the second phase, in which the scenario acts.
	actingPhase = 16 * time.Second
	// maxAnswerWait is the maximum time to wait for the last answers.
	maxAnswerWait = 25 * time.Second
	// phaseEdgeToIgnore is the part of a phase that some measurements ignore.
	// measurePacking ignores it at the start of the acting phase, and
	// lowestUrgentRate at the start of the calm phase and the end of the acting
	// phase.
	phaseEdgeToIgnore = 2 * time.Second
)

// requestGroups returns the groups of requests to send to a deployment. Every
// deployment other than lumiquote gets the groups of hearthmark.
func requestGroups(deployment string) []RequestGroup {
	small := resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 8192, Slots: 1, Connections: 1}
	gpu := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 16384, Accelerators: 1, Slots: 1, Connections: 1}
	large := resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 32768, Slots: 1, Connections: 1}
	if deployment == "lumiquote" {
		return []RequestGroup{
			{"lumiquote", "fixture-counts", plan.Urgent, 50, small, 600 * time.Millisecond, true, 0},
			{"lumiquote", "quotes", plan.Normal, 5, small, 500 * time.Millisecond, false, 0},
			{"lumiquote", "recognition", plan.Normal, 15, gpu, 1500 * time.Millisecond, true, 0},
			{"guest", "guest-batch", plan.Overnight, 30, large, 2 * time.Second, true, 0},
		}
	}
	return []RequestGroup{
		{"hearthmark", "snag-sorting", plan.Urgent, 60, small, 600 * time.Millisecond, true, 0},
		{"hearthmark", "letters", plan.Normal, 5, small, 500 * time.Millisecond, false, 0},
		{"hearthmark", "photo-checks", plan.Normal, 15, gpu, 1500 * time.Millisecond, true, 0},
		{"guest", "guest-batch", plan.Overnight, 30, large, 2 * time.Second, true, 0},
	}
}

// scenarioRun is the state of one run of a scenario.
type scenarioRun struct {
	cluster   *cluster.Cluster
	scenario  Scenario
	random    *rand.Rand
	groups    []RequestGroup
	startedAt time.Time

	mutex     sync.Mutex
	calls     []call
	openCalls sync.WaitGroup
	// outOfRotation marks the entry VMs to which callers send no requests, as a load
	// balancer does with VMs that are not ready.
	outOfRotation     map[string]bool
	measurements      measurements
	cancelProbability float64
}

// measurements holds the values that scenarios record while they act.
type measurements struct {
	// workersLeavingSince maps the name of a worker to the time since which the VM list
	// has shown it as leaving.
	workersLeavingSince map[string]time.Time
	// raceRounds is the number of times that two operators published concurrently.
	// raceWinners counts the publications that were accepted, and raceLosers those
	// that were refused because of a conflict.
	raceRounds, raceWinners, raceLosers int
	// configurationSeconds is the longest time that it took until every entry VM
	// used a new configuration.
	configurationSeconds float64
	// takeoverSeconds is the time from the kill of an entry VM until every worker was
	// adopted again.
	takeoverSeconds float64
}

// pickEntryVM returns one of the entry VMs in rotation, selected by seed.
func (r *scenarioRun) pickEntryVM(seed uint64) *cluster.EntryVM {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var inRotation []*cluster.EntryVM
	for _, e := range r.cluster.EntryVMs {
		if !r.outOfRotation[e.Name] {
			inRotation = append(inRotation, e)
		}
	}
	return inRotation[seed%uint64(len(inRotation))]
}

// setOutOfRotation takes an entry VM out of rotation or puts it back.
func (r *scenarioRun) setOutOfRotation(name string, out bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outOfRotation[name] = out
}

// requestRate returns the rate of requests from a group in the calm or the
// acting phase.
func (r *scenarioRun) requestRate(g RequestGroup, acting bool) float64 {
	if acting && r.scenario.FloodPlans[r.cluster.Deployment.Name] == g.Plan {
		return g.PerSecond * floodFactor
	}
	return g.PerSecond
}

// sendRequests sends the requests of a group until the end of the acting phase. The
// arrivals are a Poisson process.
func (r *scenarioRun) sendRequests(ctx context.Context, g RequestGroup, random *rand.Rand) {
	for ctx.Err() == nil {
		elapsed := time.Since(r.startedAt)
		if elapsed >= calmPhase+actingPhase {
			return
		}
		pause := random.ExpFloat64() / r.requestRate(g, elapsed >= calmPhase)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(pause * float64(time.Second))):
		}
		r.openCalls.Add(1)
		seed, cancel := random.Uint64(), random.Float64() < r.currentCancelProbability()
		go func() {
			defer r.openCalls.Done()
			c := r.makeCall(ctx, g, seed, cancel)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.calls = append(r.calls, c)
		}()
	}
}

// currentCancelProbability returns the probability that a new request is cancelled
// by its caller.
func (r *scenarioRun) currentCancelProbability() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cancelProbability
}

// runPhases runs both phases and waits for open calls for at most maxAnswerWait. It
// returns the error of the scenario's RunAction.
func (r *scenarioRun) runPhases(ctx context.Context) error {
	r.startedAt = time.Now()
	var group sync.WaitGroup
	for _, g := range r.groups {
		random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
		group.Go(func() { r.sendRequests(ctx, g, random) })
	}
	var failure error
	if r.scenario.RunAction != nil {
		time.Sleep(calmPhase)
		failure = r.scenario.RunAction(ctx, r)
	}
	group.Wait()
	done := make(chan struct{})
	go func() {
		r.openCalls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(maxAnswerWait):
	}
	return failure
}
