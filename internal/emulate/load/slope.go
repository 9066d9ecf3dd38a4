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

// clusterSize is the size of a cluster and the rate of requests to it for one
// measurement of the control cost.
type clusterSize struct {
	workers, entryVMs int
	requestsPerSecond float64
}

// clusterSizes vary the numbers of workers and entry VMs and the request rate
// independently, so that fitModel can separate their effects.
var clusterSizes = []clusterSize{
	{24, 4, 0}, {96, 4, 0}, {192, 4, 0}, {24, 12, 0}, {96, 12, 0}, {192, 12, 0},
	{96, 4, 40}, {96, 4, 120}, {192, 12, 120}, {192, 12, 240},
}

const (
	// slopeSettleTime is the pause between the start of the load and the measurement.
	slopeSettleTime = 1500 * time.Millisecond
	// slopeMeasurementTime is the length of a measurement. Every periodic call is made
	// at least once in this time.
	slopeMeasurementTime = 8 * time.Second
	// maxParallelMeasurements is the maximum number of clusters that are measured
	// at the same time.
	maxParallelMeasurements = 3
)

// CostSample holds the control cost at one cluster size, averaged over the entry
// VMs.
type CostSample struct {
	WorkersPerEntry float64 `json:"workers_per_entry"`
	PeersInDomain   float64 `json:"peers_in_domain"`
	StartsPerSecond float64 `json:"starts_per_second"`
	BytesPerSecond  float64 `json:"bytes_per_second"`
	CorePercent     float64 `json:"core_percent"`
	ResidentBytes   float64 `json:"resident_bytes"`
}

// LinearModel is a linear model of one kind of control cost of an entry VM.
type LinearModel struct {
	Base             float64 `json:"base"`
	PerWorker        float64 `json:"per_worker"`
	PerPeer          float64 `json:"per_peer"`
	PerStart         float64 `json:"per_start_per_second"`
	LargestResidual  float64 `json:"largest_residual"`
	LargestPredicted float64 `json:"largest_predicted"`
}

// CostReport holds the measured control costs and a linear model for each kind
// of cost.
type CostReport struct {
	Scenario       string       `json:"scenario"`
	Samples        []CostSample `json:"samples"`
	BytesPerSecond LinearModel  `json:"bytes_per_second"`
	CorePercent    LinearModel  `json:"core_percent"`
	ResidentBytes  LinearModel  `json:"resident_bytes"`
}

// MeasureControlCost measures the control cost at several cluster sizes and fits
// a linear model to each kind of cost. The coefficients of a model are the costs
// of one more worker, one more peer and one more start per second.
func MeasureControlCost(ctx context.Context, o Options) (CostReport, error) {
	temporary, err := os.MkdirTemp("", "almondpost-slope")
	if err != nil {
		return CostReport{}, err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	programs, err := cluster.Build(ctx, o.Root, temporary)
	if err != nil {
		return CostReport{}, err
	}
	report := CostReport{Scenario: "slope"}
	report.Samples = make([]CostSample, len(clusterSizes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelMeasurements)
	for i, p := range clusterSizes {
		group.Go(func() error {
			folder, err := os.MkdirTemp(temporary, "point")
			if err != nil {
				return err
			}
			report.Samples[i], err = measureCostAtSize(ctx, programs, folder, p, o.Seed)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return report, fault.New("slope", KindFailed, err)
	}
	report.BytesPerSecond = fitModel(report.Samples, func(s CostSample) float64 { return s.BytesPerSecond })
	report.CorePercent = fitModel(report.Samples, func(s CostSample) float64 { return s.CorePercent })
	report.ResidentBytes = fitModel(report.Samples, func(s CostSample) float64 { return s.ResidentBytes })
	return report, nil
}

// measureCostAtSize starts a cluster of one size and measures its control cost,
// averaged over the entry VMs.
func measureCostAtSize(ctx context.Context, programs cluster.Programs, folder string, size clusterSize, seed uint64) (CostSample, error) {
	d, err := deployment.Load(examples.Files, "hearthmark")
	if err != nil {
		return CostSample{}, err
	}
	d.Domains, d.EntryVMs = d.Domains[:2], size.entryVMs
	d.Pools = d.Pools[:1]
	d.Pools[0].Workers = size.workers
	c, err := cluster.Start(ctx, programs, d, cluster.Options{Folder: folder})
	if err != nil {
		return CostSample{}, err
	}
	defer c.Close()
	r := &scenarioRun{cluster: c, outOfRotation: map[string]bool{}, random: rand.New(rand.NewPCG(seed, seed))}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if size.requestsPerSecond > 0 {
		go r.sendConstantLoad(ctx, size.requestsPerSecond)
	}
	time.Sleep(slopeSettleTime)
	before, began := r.usageByEntryVM(ctx), time.Now()
	time.Sleep(slopeMeasurementTime)
	after, elapsed := r.usageByEntryVM(ctx), time.Since(began).Seconds()
	s := CostSample{
		WorkersPerEntry: float64(size.workers) / float64(size.entryVMs),
		PeersInDomain:   float64(size.entryVMs)/float64(len(d.Domains)) - 1,
		StartsPerSecond: size.requestsPerSecond / float64(size.entryVMs),
	}
	n := float64(len(after))
	for name, a := range after {
		b := before[name]
		s.BytesPerSecond += float64(a.trafficBytes-b.trafficBytes) / elapsed / n
		s.CorePercent += 100 * (a.processorTime - b.processorTime).Seconds() / elapsed / n
		s.ResidentBytes += float64(a.residentBytes) / n
	}
	return s, nil
}

// sendConstantLoad sends small requests at a constant rate until ctx ends.
func (r *scenarioRun) sendConstantLoad(ctx context.Context, perSecond float64) {
	g := RequestGroup{
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
		go r.makeCall(ctx, g, seed, false)
	}
}

// fitModel fits a linear model to one value of the samples by least squares. It
// returns the zero model when the equations have no solution.
func fitModel(samples []CostSample, value func(s CostSample) float64) LinearModel {
	const coefficientCount = 4
	a := mat.NewDense(len(samples), coefficientCount, nil)
	b := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		a.SetRow(i, []float64{1, s.WorkersPerEntry, s.PeersInDomain, s.StartsPerSecond})
		b.SetVec(i, value(s))
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return LinearModel{}
	}
	f := LinearModel{Base: x.AtVec(0), PerWorker: x.AtVec(1), PerPeer: x.AtVec(2), PerStart: x.AtVec(3)}
	for _, s := range samples {
		predicted := f.Predict(s.WorkersPerEntry, s.PeersInDomain, s.StartsPerSecond)
		f.LargestResidual = max(f.LargestResidual, predicted-value(s), value(s)-predicted)
		f.LargestPredicted = max(f.LargestPredicted, predicted)
	}
	return f
}

// Predict returns the cost of an entry VM according to the model. workers is the
// number of its workers, peers is the number of other entry VMs in its failure
// domain, and starts is the number of tasks that it starts per second.
func (f LinearModel) Predict(workers, peers, starts float64) float64 {
	return f.Base + f.PerWorker*workers + f.PerPeer*peers + f.PerStart*starts
}
