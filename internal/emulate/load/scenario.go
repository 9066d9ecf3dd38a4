package load

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/emulate/isolation"
	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/configuration"
)

// The durations and parameters of the scenarios.
const (
	logOutageDuration     = 8 * time.Second
	freezeDuration        = 6 * time.Second
	isolationDuration     = 8 * time.Second
	workerSilenceDuration = 6 * time.Second
	raceRounds            = 5
	cancelWaveProbability = 0.8
	cancelWaveDuration    = 4 * time.Second
	// readinessDelay is how long a load balancer takes to notice that a VM is not
	// ready.
	readinessDelay = 300 * time.Millisecond
)

// Scenarios returns all scenarios by name, except the slope scenario.
func Scenarios() map[string]Scenario {
	all := []Scenario{
		{Name: "calm"},
		{Name: "flood_batch", FloodPlans: map[string]string{"hearthmark": "guest-batch", "lumiquote": "guest-batch"}},
		{Name: "flood_urgent", FloodPlans: map[string]string{"hearthmark": "snag-sorting", "lumiquote": "fixture-counts"}},
		{Name: "kill", RunAction: killEntryVM},
		{Name: "freeze", RunAction: freezeEntryVM},
		{Name: "log_outage", RunAction: runLogOutage},
		{Name: "cut", RunAction: isolateFailureDomain},
		{Name: "drain", RunAction: drainWorkerAndEntryVM},
		{Name: "operator_race", RunAction: runOperatorRace},
		{Name: "bad_worker", RunAction: failAttemptsOnWorker},
		{Name: "cancel_wave", RunAction: runCancelWave},
		{Name: "silent_connection", RunAction: silenceWorker},
		{Name: "kill_log_outage", RunAction: killEntryVMInOutage},
		{Name: "configuration_by_peers", RunAction: spreadConfigurationByPeers},
	}
	out := map[string]Scenario{}
	for _, s := range all {
		out[s.Name] = s
	}
	return out
}

// randomEntryVM returns a random entry VM.
func (r *scenarioRun) randomEntryVM() *cluster.EntryVM {
	return r.cluster.EntryVMs[r.random.IntN(len(r.cluster.EntryVMs))]
}

// killEntryVM kills a random entry VM, measures how long the others take to
// adopt its workers, and starts a replacement.
func killEntryVM(ctx context.Context, r *scenarioRun) error {
	e := r.randomEntryVM()
	e.Kill()
	time.Sleep(readinessDelay)
	r.setOutOfRotation(e.Name, true)
	r.removeEntryVM(e)
	killed := time.Now().Add(-readinessDelay)
	if err := r.cluster.WaitAdopted(ctx); err != nil {
		return err
	}
	r.measurements.takeoverSeconds = time.Since(killed).Seconds()
	return r.addEntryVM(ctx, e.Name+"-new", e.Domain)
}

// killEntryVMInOutage kills an entry VM during an outage of the log service.
func killEntryVMInOutage(ctx context.Context, r *scenarioRun) error {
	if err := r.cluster.SetLogFault(ctx, standin.LogFault{Outage: true}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := killEntryVM(ctx, r); err != nil {
		return err
	}
	return r.cluster.SetLogFault(ctx, standin.LogFault{})
}

// spreadConfigurationByPeers publishes a configuration while only the first
// entry VM reaches the platform. The other entry VMs have to get the
// configuration from their peers.
func spreadConfigurationByPeers(ctx context.Context, r *scenarioRun) error {
	for _, e := range r.cluster.EntryVMs[1:] {
		if err := r.cluster.SetCut(ctx, e, []string{isolation.Platform}); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	store, err := configuration.Load(ctx, r.cluster.Log)
	if err != nil {
		return err
	}
	base := store.Current()
	if _, err := configuration.Publish(ctx, r.cluster.Log, base.Offset, "load", base.Lists); err != nil {
		return err
	}
	if err := r.waitForConfiguration(ctx); err != nil {
		return err
	}
	for _, e := range r.cluster.EntryVMs[1:] {
		if err := r.cluster.SetCut(ctx, e, nil); err != nil {
			return err
		}
	}
	return nil
}

// removeEntryVM removes an entry VM from Cluster.EntryVMs.
func (r *scenarioRun) removeEntryVM(entry *cluster.EntryVM) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var remaining []*cluster.EntryVM
	for _, e := range r.cluster.EntryVMs {
		if e != entry {
			remaining = append(remaining, e)
		}
	}
	r.cluster.EntryVMs = remaining
}

// addEntryVM starts an entry VM and puts it into rotation once it is ready.
func (r *scenarioRun) addEntryVM(ctx context.Context, name, domain string) error {
	r.setOutOfRotation(name, true)
	e, err := r.cluster.StartEntryVM(ctx, name, domain)
	if err != nil {
		return err
	}
	for !r.cluster.IsReady(ctx, e) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(readinessDelay)
	}
	r.setOutOfRotation(name, false)
	return nil
}

// freezeEntryVM pauses an entry VM for so long that the others adopt its workers.
func freezeEntryVM(_ context.Context, r *scenarioRun) error {
	e := r.randomEntryVM()
	e.Freeze()
	time.Sleep(readinessDelay)
	r.setOutOfRotation(e.Name, true)
	time.Sleep(freezeDuration)
	e.Thaw()
	time.Sleep(time.Second)
	r.setOutOfRotation(e.Name, false)
	return nil
}

// runLogOutage makes the log service unavailable for logOutageDuration.
func runLogOutage(ctx context.Context, r *scenarioRun) error {
	if err := r.cluster.SetLogFault(ctx, standin.LogFault{Outage: true}); err != nil {
		return err
	}
	time.Sleep(logOutageDuration)
	return r.cluster.SetLogFault(ctx, standin.LogFault{})
}

// isolateFailureDomain separates one failure domain from the others and from the
// platform for isolationDuration.
func isolateFailureDomain(ctx context.Context, r *scenarioRun) error {
	domains := r.cluster.Deployment.Domains
	isolated := domains[r.random.IntN(len(domains))]
	var others []string
	for _, d := range domains {
		if d != isolated {
			others = append(others, d)
		}
	}
	for _, e := range r.cluster.EntryVMs {
		names := []string{isolated}
		if e.Domain == isolated {
			names = append([]string{isolation.Platform}, others...)
		}
		if err := r.cluster.SetCut(ctx, e, names); err != nil {
			return err
		}
	}
	time.Sleep(isolationDuration)
	for _, e := range r.cluster.EntryVMs {
		if err := r.cluster.SetCut(ctx, e, nil); err != nil {
			return err
		}
	}
	return nil
}

// drainWorkerAndEntryVM marks a random worker as leaving. It also stops a random
// entry VM gracefully and starts a replacement.
func drainWorkerAndEntryVM(ctx context.Context, r *scenarioRun) error {
	workers := r.cluster.Deployment.Workers()
	leaving := workers[r.random.IntN(len(workers))].Name
	if err := r.cluster.MarkLeaving(ctx, leaving); err != nil {
		return err
	}
	r.measurements.workersLeavingSince[leaving] = time.Now()
	e := r.randomEntryVM()
	e.Terminate()
	time.Sleep(readinessDelay)
	r.setOutOfRotation(e.Name, true)
	r.removeEntryVM(e)
	select {
	case <-e.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.addEntryVM(ctx, e.Name+"-new", e.Domain)
}

// runOperatorRace publishes two configurations with the same base concurrently,
// and repeats this for raceRounds rounds. After each round it waits until every
// entry VM uses the configuration that was accepted.
func runOperatorRace(ctx context.Context, r *scenarioRun) error {
	for round := range raceRounds {
		store, err := configuration.Load(ctx, r.cluster.Log)
		if err != nil {
			return err
		}
		base := store.Current()
		if err := r.publishConcurrently(ctx, base, round); err != nil {
			return err
		}
		if err := r.waitForConfiguration(ctx); err != nil {
			return err
		}
	}
	return nil
}

// publishConcurrently publishes two configurations with the same base. It counts
// those that were accepted and those that were refused because of a conflict.
func (r *scenarioRun) publishConcurrently(ctx context.Context, base configuration.Version, round int) error {
	var group sync.WaitGroup
	for operator := range 2 {
		group.Go(func() {
			lists := base.Lists
			lists.Entitlements.Plans = append(lists.Entitlements.Plans[:0:0], lists.Entitlements.Plans...)
			lists.Entitlements.Plans[0].Price = float64(round*2 + operator)
			_, err := configuration.Publish(ctx, r.cluster.Log, base.Offset, string(rune('a'+operator)), lists)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			switch fault.KindOf[configuration.Kind](err) {
			case "":
				r.measurements.raceWinners++
			case configuration.KindConflict:
				r.measurements.raceLosers++
			}
		})
	}
	group.Wait()
	r.measurements.raceRounds++
	return nil
}

// waitForConfiguration waits until every entry VM uses the newest configuration and
// records the time that it took.
func (r *scenarioRun) waitForConfiguration(ctx context.Context) error {
	began := time.Now()
	store, err := configuration.Load(ctx, r.cluster.Log)
	if err != nil {
		return err
	}
	for _, e := range r.cluster.EntryVMs {
		for {
			offset, err := r.cluster.ConfigurationOffset(ctx, e)
			if err == nil && offset >= store.Current().Offset {
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	r.measurements.configurationSeconds = max(r.measurements.configurationSeconds, time.Since(began).Seconds())
	return nil
}

// failAttemptsOnWorker makes every attempt on a random worker fail.
func failAttemptsOnWorker(ctx context.Context, r *scenarioRun) error {
	workers := r.cluster.Deployment.Workers()
	return r.cluster.SetWorkerFault(ctx, workers[r.random.IntN(len(workers))].Name, standin.WorkerFault{FailAll: true})
}

// runCancelWave makes most callers cancel their requests for cancelWaveDuration.
func runCancelWave(_ context.Context, r *scenarioRun) error {
	setProbability := func(probability float64) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.cancelProbability = probability
	}
	setProbability(cancelWaveProbability)
	time.Sleep(cancelWaveDuration)
	setProbability(0)
	return nil
}

// silenceWorker makes a random worker accept connections but not respond for
// workerSilenceDuration.
func silenceWorker(ctx context.Context, r *scenarioRun) error {
	workers := r.cluster.Deployment.Workers()
	name := workers[r.random.IntN(len(workers))].Name
	if err := r.cluster.SetWorkerFault(ctx, name, standin.WorkerFault{Silent: true}); err != nil {
		return err
	}
	time.Sleep(workerSilenceDuration)
	return r.cluster.SetWorkerFault(ctx, name, standin.WorkerFault{})
}
