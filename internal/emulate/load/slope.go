package load

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/mat"

	"github.com/almondpost/almondpost/examples"
	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/deployment"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// slopePoint is one size at which the cost of control is measured.
type slopePoint struct {
	workers, entries int
	perSecond        float64
}

// slopePoints vary the three causes of cost independently.
var slopePoints = []slopePoint{
	{24, 4, 0}, {96, 4, 0}, {192, 4, 0}, {24, 12, 0}, {96, 12, 0}, {192, 12, 0},
	{96, 4, 40}, {96, 4, 120}, {192, 12, 120}, {192, 12, 240},
}

const (
	slopeSettle = 1500 * time.Millisecond
	// slopeMeasure covers a whole period of every regular call.
	slopeMeasure = 8 * time.Second
	// slopeParallel is how many sizes are measured at once.
	slopeParallel = 3
)

// Sample is the mean cost of one entry VM at one size.
type Sample struct {
	WorkersPerEntry float64 `json:"workers_per_entry"`
	Peers           float64 `json:"peers_in_domain"`
	StartsPerSecond float64 `json:"starts_per_second"`
	BytesPerSecond  float64 `json:"bytes_per_second"`
	CorePercent     float64 `json:"core_percent"`
	ResidentBytes   float64 `json:"resident_bytes"`
}

// Fit is a linear model of a cost.
type Fit struct {
	Base             float64 `json:"base"`
	PerWorker        float64 `json:"per_worker"`
	PerPeer          float64 `json:"per_peer"`
	PerStart         float64 `json:"per_start_per_second"`
	LargestResidual  float64 `json:"largest_residual"`
	LargestPredicted float64 `json:"largest_predicted"`
}

// SlopeReport is the result of the slope scenario.
type SlopeReport struct {
	Scenario string   `json:"scenario"`
	Samples  []Sample `json:"samples"`
	Bytes    Fit      `json:"bytes_per_second"`
	Core     Fit      `json:"core_percent"`
	Resident Fit      `json:"resident_bytes"`
}

// Slope measures the cost of control at several sizes and fits it.
func Slope(ctx context.Context, o Options) (SlopeReport, error) {
	temporary, err := os.MkdirTemp("", "almondpost-slope")
	if err != nil {
		return SlopeReport{}, err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	programs, err := cluster.Build(ctx, o.Root, temporary)
	if err != nil {
		return SlopeReport{}, err
	}
	report := SlopeReport{Scenario: "slope"}
	report.Samples = make([]Sample, len(slopePoints))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(slopeParallel)
	for i, p := range slopePoints {
		group.Go(func() error {
			folder, err := os.MkdirTemp(temporary, "point")
			if err != nil {
				return err
			}
			report.Samples[i], err = measurePoint(ctx, programs, folder, p, o.Seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return report, fault.New("slope", KindFailed, err)
	}
	report.Bytes = fit(report.Samples, func(s Sample) float64 { return s.BytesPerSecond })
	report.Core = fit(report.Samples, func(s Sample) float64 { return s.CorePercent })
	report.Resident = fit(report.Samples, func(s Sample) float64 { return s.ResidentBytes })
	return report, nil
}

func measurePoint(ctx context.Context, programs cluster.Programs, folder string, p slopePoint, seed uint64) (Sample, error) {
	d, err := deployment.Load(examples.Files, "hearthmark")
	if err != nil {
		return Sample{}, err
	}
	d.Domains, d.EntryVMs = d.Domains[:2], p.entries
	d.Pools = d.Pools[:1]
	d.Pools[0].Workers = p.workers
	c, err := cluster.Start(ctx, programs, d, cluster.Options{Folder: folder})
	if err != nil {
		return Sample{}, err
	}
	defer c.Close()
	r := &run{cluster: c, gone: map[string]bool{}, random: rand.New(rand.NewPCG(seed, seed))}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if p.perSecond > 0 {
		go r.constantLoad(ctx, p.perSecond)
	}
	time.Sleep(slopeSettle)
	before, began := r.snapshot(ctx), time.Now()
	time.Sleep(slopeMeasure)
	after, elapsed := r.snapshot(ctx), time.Since(began).Seconds()
	s := Sample{
		WorkersPerEntry: float64(p.workers) / float64(p.entries),
		Peers:           float64(p.entries)/float64(len(d.Domains)) - 1,
		StartsPerSecond: p.perSecond / float64(p.entries),
	}
	n := float64(len(after))
	for name, a := range after {
		b := before[name]
		s.BytesPerSecond += float64(a.bytes-b.bytes) / elapsed / n
		s.CorePercent += 100 * (a.processor - b.processor).Seconds() / elapsed / n
		s.ResidentBytes += float64(a.resident) / n
	}
	return s, nil
}

// constantLoad sends small requests at a constant rate until ctx ends.
func (r *run) constantLoad(ctx context.Context, perSecond float64) {
	g := Group{
		Customer: "hearthmark", Plan: "snag-sorting", Class: plan.Urgent, Repeatable: true, RunTime: 300 * time.Millisecond,
		Size: resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1024, Slots: 1, Connections: 1},
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for seed := uint64(0); ; seed++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		go r.call(ctx, g, seed, false)
	}
}

// fit solves the least-squares problem for a linear model.
func fit(samples []Sample, value func(s Sample) float64) Fit {
	const unknowns = 4
	a := mat.NewDense(len(samples), unknowns, nil)
	b := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		a.SetRow(i, []float64{1, s.WorkersPerEntry, s.Peers, s.StartsPerSecond})
		b.SetVec(i, value(s))
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return Fit{}
	}
	f := Fit{Base: x.AtVec(0), PerWorker: x.AtVec(1), PerPeer: x.AtVec(2), PerStart: x.AtVec(3)}
	for _, s := range samples {
		predicted := f.At(s.WorkersPerEntry, s.Peers, s.StartsPerSecond)
		f.LargestResidual = max(f.LargestResidual, predicted-value(s), value(s)-predicted)
		f.LargestPredicted = max(f.LargestPredicted, predicted)
	}
	return f
}

// At returns the cost that the model predicts.
func (f Fit) At(workers, peers, starts float64) float64 {
	return f.Base + f.PerWorker*workers + f.PerPeer*peers + f.PerStart*starts
}
