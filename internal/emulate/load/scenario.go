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

const (
	outageTime  = 8 * time.Second
	freezeTime  = 6 * time.Second
	cutTime     = 8 * time.Second
	silenceTime = 6 * time.Second
	raceRounds  = 5
	waveRate    = 0.8
	waveTime    = 4 * time.Second
	// notReadyAfter is how long the balancer takes to notice that a VM is not
	// ready.
	notReadyAfter = 300 * time.Millisecond
)

// Scenarios lists every scenario by name.
func Scenarios() map[string]Scenario {
	all := []Scenario{
		{Name: "calm"},
		{Name: "flood_batch", Flood: map[string]string{"hearthmark": "guest-batch", "lumiquote": "guest-batch"}},
		{Name: "flood_urgent", Flood: map[string]string{"hearthmark": "snag-sorting", "lumiquote": "fixture-counts"}},
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

func (r *run) someEntry() *cluster.Entry {
	return r.cluster.Entries[r.random.IntN(len(r.cluster.Entries))]
}

// kill ends an entry VM at once; the platform replaces it.
func kill(ctx context.Context, r *run) error {
	e := r.someEntry()
	e.Kill()
	time.Sleep(notReadyAfter)
	r.markGone(e.Name, true)
	r.remove(e)
	killed := time.Now().Add(-notReadyAfter)
	if err := r.cluster.AwaitAdopted(ctx); err != nil {
		return err
	}
	r.notes.takeoverSeconds = time.Since(killed).Seconds()
	return r.addEntry(ctx, e.Name+"-new", e.Domain)
}

// killInOutage kills an entry VM while the log is away.
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

// configurationByPeers publishes while only one entry VM reaches the platform.
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
	if err := r.awaitConfiguration(ctx); err != nil {
		return err
	}
	for _, e := range r.cluster.Entries[1:] {
		if err := r.cluster.SetCut(ctx, e, nil); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) remove(gone *cluster.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var left []*cluster.Entry
	for _, e := range r.cluster.Entries {
		if e != gone {
			left = append(left, e)
		}
	}
	r.cluster.Entries = left
}

func (r *run) addEntry(ctx context.Context, name, domain string) error {
	r.markGone(name, true)
	e, err := r.cluster.StartEntry(ctx, name, domain)
	if err != nil {
		return err
	}
	for !r.cluster.IsReady(ctx, e) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(notReadyAfter)
	}
	r.markGone(name, false)
	return nil
}

// freeze pauses an entry VM for longer than it takes to lose its workers.
func freeze(_ context.Context, r *run) error {
	e := r.someEntry()
	e.Freeze()
	time.Sleep(notReadyAfter)
	r.markGone(e.Name, true)
	time.Sleep(freezeTime)
	e.Thaw()
	time.Sleep(time.Second)
	r.markGone(e.Name, false)
	return nil
}

func logOutage(ctx context.Context, r *run) error {
	if err := r.cluster.SetLogFault(ctx, standin.LogFault{Outage: true}); err != nil {
		return err
	}
	time.Sleep(outageTime)
	return r.cluster.SetLogFault(ctx, standin.LogFault{})
}

// cutDomain cuts one failure domain off from the others and the platform.
func cutDomain(ctx context.Context, r *run) error {
	domains := r.cluster.Deployment.Domains
	alone := domains[r.random.IntN(len(domains))]
	var others []string
	for _, d := range domains {
		if d != alone {
			others = append(others, d)
		}
	}
	for _, e := range r.cluster.Entries {
		names := []string{alone}
		if e.Domain == alone {
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

// drain replaces an entry VM by a planned stop, and lets a worker leave.
func drain(ctx context.Context, r *run) error {
	workers := r.cluster.Deployment.Workers()
	leaving := workers[r.random.IntN(len(workers))].Name
	if err := r.cluster.MarkLeaving(ctx, leaving); err != nil {
		return err
	}
	r.notes.leaving[leaving] = time.Now()
	e := r.someEntry()
	e.Terminate()
	time.Sleep(notReadyAfter)
	r.markGone(e.Name, true)
	r.remove(e)
	select {
	case <-e.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.addEntry(ctx, e.Name+"-new", e.Domain)
}

// operatorRace lets two operators publish on the same base at once, several
// times over, and waits until every entry VM has the winner's lists.
func operatorRace(ctx context.Context, r *run) error {
	for round := range raceRounds {
		store, err := configuration.Load(ctx, r.cluster.Log)
		if err != nil {
			return err
		}
		base := store.Current()
		if err := r.race(ctx, base, round); err != nil {
			return err
		}
		if err := r.awaitConfiguration(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) race(ctx context.Context, base configuration.Version, round int) error {
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
				r.notes.raceWinners++
			case configuration.KindConflict:
				r.notes.raceLosers++
			}
		})
	}
	group.Wait()
	r.notes.raceRounds++
	return nil
}

// awaitConfiguration measures how long the newest lists take to every entry VM.
func (r *run) awaitConfiguration(ctx context.Context) error {
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
	r.notes.configurationSeconds = max(r.notes.configurationSeconds, time.Since(began).Seconds())
	return nil
}

func badWorker(ctx context.Context, r *run) error {
	workers := r.cluster.Deployment.Workers()
	return r.cluster.SetWorkerFault(ctx, workers[r.random.IntN(len(workers))].Name, standin.WorkerFault{FailAll: true})
}

func cancelWave(_ context.Context, r *run) error {
	set := func(rate float64) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.cancels = rate
	}
	set(waveRate)
	time.Sleep(waveTime)
	set(0)
	return nil
}

// silentConnection makes a worker accept connections and answer nothing.
func silentConnection(ctx context.Context, r *run) error {
	workers := r.cluster.Deployment.Workers()
	name := workers[r.random.IntN(len(workers))].Name
	if err := r.cluster.SetWorkerFault(ctx, name, standin.WorkerFault{Silent: true}); err != nil {
		return err
	}
	time.Sleep(silenceTime)
	return r.cluster.SetWorkerFault(ctx, name, standin.WorkerFault{})
}
