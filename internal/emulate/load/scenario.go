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
	outageTime            = 8 * time.Second
	freezeTime            = 6 * time.Second
	cutTime               = 8 * time.Second
	silenceTime           = 6 * time.Second
	raceRounds            = 5
	cancelWaveProbability = 0.8
	cancelWaveTime        = 4 * time.Second
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
		{Name: "kill", Act: kill},
		{Name: "freeze", Act: freeze},
		{Name: "log_outage", Act: logOutage},
		{Name: "cut", Act: cutDomain},
		{Name: "drain", Act: drain},
		{Name: "operator_race", Act: operatorRace},
		{Name: "bad_worker", Act: badWorker},
		{Name: "cancel_wave", Act: cancelWave},
		{Name: "silent_connection", Act: silentConnection},
		{Name: "kill_log_outage", Act: killInOutage},
		{Name: "configuration_by_peers", Act: configurationByPeers},
	}
	out := map[string]Scenario{}
	for _, s := range all {
		out[s.Name] = s
	}
	return out
}

// randomEntry returns a random entry VM.
func (r *run) randomEntry() *cluster.Entry {
	return r.cluster.Entries[r.random.IntN(len(r.cluster.Entries))]
}

// kill kills a random entry VM, measures how long the others take to adopt its
// workers, and starts a replacement.
func kill(ctx context.Context, r *run) error {
	e := r.randomEntry()
	e.Kill()
	time.Sleep(readinessDelay)
	r.setOutOfRotation(e.Name, true)
	r.removeEntry(e)
	killed := time.Now().Add(-readinessDelay)
	if err := r.cluster.WaitAdopted(ctx); err != nil {
		return err
	}
	r.measurements.takeoverSeconds = time.Since(killed).Seconds()
	return r.addEntry(ctx, e.Name+"-new", e.Domain)
}

// killInOutage kills an entry VM during an outage of the log service.
func killInOutage(ctx context.Context, r *run) error {
	if err := r.cluster.SetLogFault(ctx, standin.LogFault{Outage: true}); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := kill(ctx, r); err != nil {
		return err
	}
	return r.cluster.SetLogFault(ctx, standin.LogFault{})
}

// configurationByPeers publishes a configuration while only the first entry VM
// reaches the platform. The other entry VMs have to get it from their peers.
func configurationByPeers(ctx context.Context, r *run) error {
	for _, e := range r.cluster.Entries[1:] {
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
	if err := r.waitConfiguration(ctx); err != nil {
		return err
	}
	for _, e := range r.cluster.Entries[1:] {
		if err := r.cluster.SetCut(ctx, e, nil); err != nil {
			return err
		}
	}
	return nil
}

// removeEntry removes an entry VM from the cluster's list.
func (r *run) removeEntry(entry *cluster.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var remaining []*cluster.Entry
	for _, e := range r.cluster.Entries {
		if e != entry {
			remaining = append(remaining, e)
		}
	}
	r.cluster.Entries = remaining
}

// addEntry starts an entry VM and puts it into rotation once it is ready.
func (r *run) addEntry(ctx context.Context, name, domain string) error {
	r.setOutOfRotation(name, true)
	e, err := r.cluster.StartEntry(ctx, name, domain)
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

// freeze pauses an entry VM for so long that the others adopt its workers.
func freeze(_ context.Context, r *run) error {
	e := r.randomEntry()
	e.Freeze()
	time.Sleep(readinessDelay)
	r.setOutOfRotation(e.Name, true)
	time.Sleep(freezeTime)
	e.Thaw()
	time.Sleep(time.Second)
	r.setOutOfRotation(e.Name, false)
	return nil
}

// logOutage makes the log service unavailable for outageTime.
func logOutage(ctx context.Context, r *run) error {
	if err := r.cluster.SetLogFault(ctx, standin.LogFault{Outage: true}); err != nil {
		return err
	}
	time.Sleep(outageTime)
	return r.cluster.SetLogFault(ctx, standin.LogFault{})
}

// cutDomain partitions one failure domain from the others and from the platform for
// cutTime.
func cutDomain(ctx context.Context, r *run) error {
	domains := r.cluster.Deployment.Domains
	isolated := domains[r.random.IntN(len(domains))]
	var others []string
	for _, d := range domains {
		if d != isolated {
			others = append(others, d)
		}
	}
	for _, e := range r.cluster.Entries {
		names := []string{isolated}
		if e.Domain == isolated {
			names = append([]string{isolation.Platform}, others...)
		}
		if err := r.cluster.SetCut(ctx, e, names); err != nil {
			return err
		}
	}
	time.Sleep(cutTime)
	for _, e := range r.cluster.Entries {
		if err := r.cluster.SetCut(ctx, e, nil); err != nil {
			return err
		}
	}
	return nil
}

// drain marks a random worker as leaving and replaces a random entry VM by a planned
// stop.
func drain(ctx context.Context, r *run) error {
	workers := r.cluster.Deployment.Workers()
	leaving := workers[r.random.IntN(len(workers))].Name
	if err := r.cluster.MarkLeaving(ctx, leaving); err != nil {
		return err
	}
	r.measurements.leavingSince[leaving] = time.Now()
	e := r.randomEntry()
	e.Terminate()
	time.Sleep(readinessDelay)
	r.setOutOfRotation(e.Name, true)
	r.removeEntry(e)
	select {
	case <-e.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.addEntry(ctx, e.Name+"-new", e.Domain)
}

// operatorRace publishes two configurations with the same base concurrently, for
// raceRounds rounds. After each round it waits until every entry VM uses the one that
// was accepted.
func operatorRace(ctx context.Context, r *run) error {
	for round := range raceRounds {
		store, err := configuration.Load(ctx, r.cluster.Log)
		if err != nil {
			return err
		}
		base := store.Current()
		if err := r.publishConcurrently(ctx, base, round); err != nil {
			return err
		}
		if err := r.waitConfiguration(ctx); err != nil {
			return err
		}
	}
	return nil
}

// publishConcurrently publishes two configurations with the same base and counts
// the accepted and the conflicting ones.
func (r *run) publishConcurrently(ctx context.Context, base configuration.Version, round int) error {
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

// waitConfiguration waits until every entry VM uses the newest configuration and
// records the time that it took.
func (r *run) waitConfiguration(ctx context.Context) error {
	began := time.Now()
	store, err := configuration.Load(ctx, r.cluster.Log)
	if err != nil {
		return err
	}
	for _, e := range r.cluster.Entries {
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

// badWorker makes every attempt on a random worker fail.
func badWorker(ctx context.Context, r *run) error {
	workers := r.cluster.Deployment.Workers()
	return r.cluster.SetWorkerFault(ctx, workers[r.random.IntN(len(workers))].Name, standin.WorkerFault{FailAll: true})
}

// cancelWave makes most callers cancel their requests for cancelWaveTime.
func cancelWave(_ context.Context, r *run) error {
	setProbability := func(probability float64) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.cancelProbability = probability
	}
	setProbability(cancelWaveProbability)
	time.Sleep(cancelWaveTime)
	setProbability(0)
	return nil
}

// silentConnection makes a random worker accept connections but not respond for
// silenceTime.
func silentConnection(ctx context.Context, r *run) error {
	workers := r.cluster.Deployment.Workers()
	name := workers[r.random.IntN(len(workers))].Name
	if err := r.cluster.SetWorkerFault(ctx, name, standin.WorkerFault{Silent: true}); err != nil {
		return err
	}
	time.Sleep(silenceTime)
	return r.cluster.SetWorkerFault(ctx, name, standin.WorkerFault{})
}
