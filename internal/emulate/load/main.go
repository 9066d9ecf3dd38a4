package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/almondpost/almondpost/examples"
	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/settings"
	"github.com/almondpost/almondpost/internal/operate/deployment"
)

// Options of one run.
type Options struct {
	Scenario   string
	Deployment string
	Seed       uint64
	// Root is the module's root, from which the programs are built.
	Root string
	// Folder keeps the logs of the processes; empty means a temporary one.
	Folder string
}

// Main runs the program and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	o := Options{Root: "."}
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.Scenario, "scenario", "calm", "one of "+strings.Join(names(), ", "))
	f.StringVar(&o.Deployment, "deployment", "hearthmark", "hearthmark or lumiquote")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and of the scenario's choices")
	f.StringVar(&o.Folder, "folder", "", "folder for the processes' logs")
	asJSON := f.Bool("json", false, "print one JSON object")
	if err := f.Parse(args); err != nil {
		return 2
	}
	if o.Scenario == slopeName {
		return runSlope(o, stdout, stderr)
	}
	report, err := Run(context.Background(), o)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "load:", err)
		if fault.KindOf[Kind](err) == KindUsage {
			return 2
		}
		return 1
	}
	write(stdout, report, *asJSON)
	return 0
}

// slopeName is the scenario that measures the cost of control at several sizes.
const slopeName = "slope"

func runSlope(o Options, stdout, stderr io.Writer) int {
	report, err := Slope(context.Background(), o)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "load:", err)
		return 1
	}
	data, _ := json.MarshalIndent(report, "", "  ")
	_, _ = fmt.Fprintln(stdout, string(data))
	return 0
}

func names() []string {
	out := []string{slopeName}
	for name := range Scenarios() {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func write(w io.Writer, r Report, asJSON bool) {
	if asJSON {
		data, _ := json.Marshal(r)
		_, _ = fmt.Fprintln(w, string(data))
		return
	}
	_, _ = fmt.Fprintf(w, "%s on %s, seed %d, %.1f s\n", r.Scenario, r.Deployment, r.Seed, r.Seconds)
	_, _ = fmt.Fprintf(w, "%-16s %-10s %9s %9s %8s %5s %8s %7s %9s %9s\n", "plan", "class", "submitted", "answered", "not_run", "lost", "doubled", "goodput", "p50_ms", "p99_ms")
	for _, g := range r.Groups {
		_, _ = fmt.Fprintf(w, "%-16s %-10s %9d %9d %8d %5d %8d %7.2f %9.0f %9.0f\n", g.Plan, g.Class, g.Submitted, g.Answered, g.NotRun, g.Lost, g.Doubled, g.CalmGoodputRatio, g.Waiting.P50, g.Waiting.P99)
	}
	r.Groups = nil
	data, _ := json.Marshal(r)
	_, _ = fmt.Fprintln(w, string(data))
}

// Run builds the programs, starts a deployment, and drives a scenario.
func Run(ctx context.Context, o Options) (Report, error) {
	scenario, ok := Scenarios()[o.Scenario]
	if !ok {
		return Report{}, fault.Newf("run", KindUsage, "flag scenario, value %q: must be one of %s", o.Scenario, strings.Join(names(), ", "))
	}
	if o.Deployment != "hearthmark" && o.Deployment != "lumiquote" {
		return Report{}, fault.Newf("run", KindUsage, "flag deployment, value %q: must be hearthmark or lumiquote", o.Deployment)
	}
	d, err := deployment.Load(examples.Files, o.Deployment)
	if err != nil {
		return Report{}, err
	}
	temporary, err := os.MkdirTemp("", "almondpost-load")
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	if o.Folder == "" {
		o.Folder = temporary
	}
	programs, err := cluster.Build(ctx, o.Root, temporary)
	if err != nil {
		return Report{}, err
	}
	c, err := cluster.Start(ctx, programs, d, cluster.Options{Folder: o.Folder, Adjust: func(s *settings.Settings) { s.FaultInjection = true }})
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	return drive(ctx, c, scenario, o)
}

func drive(ctx context.Context, c *cluster.Cluster, s Scenario, o Options) (Report, error) {
	r := &run{
		cluster: c, scenario: s, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), groups: groupsOf(o.Deployment),
		gone: map[string]bool{}, notes: notes{leaving: map[string]time.Time{}},
	}
	before, began := r.snapshot(ctx), time.Now()
	appendsBefore, err := c.Appends(ctx)
	if err != nil {
		return Report{}, err
	}
	if err := r.drive(ctx); err != nil {
		return Report{}, fault.New("drive", KindFailed, err)
	}
	elapsed := time.Since(began)
	after := r.snapshot(ctx)
	appendsAfter, err := c.Appends(ctx)
	if err != nil {
		return Report{}, err
	}
	histories, err := c.Histories(ctx)
	if err != nil {
		return Report{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.report(histories)
	report.Seed = o.Seed
	report.Control = controlCost(before, after, elapsed)
	report.LogAppendsPerSecond = float64(appendsAfter-appendsBefore) / elapsed.Seconds()
	report.InvariantViolations = r.violations(ctx)
	return report, nil
}
