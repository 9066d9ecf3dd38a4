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

// Options are the command-line options of the load program. The slope scenario uses
// only Seed and Root.
type Options struct {
	Scenario   string
	Deployment string
	Seed       uint64
	// Root is the root folder of the module, from which the programs are built.
	Root string
	// Folder is where the processes write their logs; empty means a temporary folder
	// that is deleted after the run.
	Folder string
}

// Main runs the load program and returns its exit status: 0 on success, 1 when the
// run failed, 2 for wrong arguments.
func Main(args []string, stdout, stderr io.Writer) int {
	o := Options{Root: "."}
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(stderr)
	f.StringVar(&o.Scenario, "scenario", "calm", "scenario to run: one of "+strings.Join(scenarioNames(), ", "))
	f.StringVar(&o.Deployment, "deployment", "hearthmark", "deployment to start: hearthmark or lumiquote")
	f.Uint64Var(&o.Seed, "seed", 1, "random seed of the arrivals and the scenario")
	f.StringVar(&o.Folder, "folder", "", "folder for the logs of the processes (default: temporary)")
	asJSON := f.Bool("json", false, "print the report as one JSON object")
	if err := f.Parse(args); err != nil {
		return 2
	}
	if o.Scenario == slopeScenario {
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
	printReport(stdout, report, *asJSON)
	return 0
}

// slopeScenario is the scenario name for which the program runs
// MeasureControlCost.
const slopeScenario = "slope"

// runSlope runs the slope scenario, prints its report as JSON and returns the exit
// status.
func runSlope(o Options, stdout, stderr io.Writer) int {
	report, err := MeasureControlCost(context.Background(), o)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "load:", err)
		return 1
	}
	data, _ := json.MarshalIndent(report, "", "  ")
	_, _ = fmt.Fprintln(stdout, string(data))
	return 0
}

// scenarioNames returns the sorted names of all scenarios.
func scenarioNames() []string {
	out := []string{slopeScenario}
	for name := range Scenarios() {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// printReport prints a report as JSON, or as a table of the groups followed by the
// other values as JSON.
func printReport(w io.Writer, r Report, asJSON bool) {
	if asJSON {
		data, _ := json.Marshal(r)
		_, _ = fmt.Fprintln(w, string(data))
		return
	}
	_, _ = fmt.Fprintf(w, "%s on %s, seed %d, %.1f s\n", r.Scenario, r.Deployment, r.Seed, r.Seconds)
	_, _ = fmt.Fprintf(w, "%-16s %-10s %9s %9s %8s %5s %8s %7s %9s %9s\n", "plan", "class", "submitted", "answered", "not_run", "lost", "doubled", "goodput", "p50_ms", "p99_ms")
	for _, g := range r.Groups {
		_, _ = fmt.Fprintf(w, "%-16s %-10s %9d %9d %8d %5d %8d %7.2f %9.0f %9.0f\n", g.Plan, g.Class, g.Submitted, g.Answered, g.NotRun, g.Lost, g.DoubleRuns, g.CalmGoodputRatio, g.WaitingTime.P50, g.WaitingTime.P99)
	}
	r.Groups = nil
	data, _ := json.Marshal(r)
	_, _ = fmt.Fprintln(w, string(data))
}

// Run builds the programs, starts a deployment and runs a scenario on it. The error
// is KindUsage for an unknown scenario or deployment, and KindFailed when the
// scenario's action failed. Other errors keep the type of the package that failed.
func Run(ctx context.Context, o Options) (Report, error) {
	scenario, ok := Scenarios()[o.Scenario]
	if !ok {
		return Report{}, fault.Newf("run", KindUsage, "flag scenario, value %q: must be one of %s", o.Scenario, strings.Join(scenarioNames(), ", "))
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
	c, err := cluster.Start(ctx, programs, d, cluster.Options{Folder: o.Folder, AdjustSettings: func(s *settings.Settings) { s.FaultInjection = true }})
	if err != nil {
		return Report{}, err
	}
	defer c.Close()
	return runScenario(ctx, c, scenario, o)
}

// runScenario runs a scenario on a cluster and returns the report.
func runScenario(ctx context.Context, c *cluster.Cluster, s Scenario, o Options) (Report, error) {
	r := &scenarioRun{
		cluster: c, scenario: s, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), groups: requestGroups(o.Deployment),
		outOfRotation: map[string]bool{}, measurements: measurements{workersLeavingSince: map[string]time.Time{}},
	}
	before, began := r.usageByEntryVM(ctx), time.Now()
	appendsBefore, err := c.LogAppendCount(ctx)
	if err != nil {
		return Report{}, err
	}
	if err := r.runPhases(ctx); err != nil {
		return Report{}, fault.New("drive", KindFailed, err)
	}
	elapsed := time.Since(began)
	after := r.usageByEntryVM(ctx)
	appendsAfter, err := c.LogAppendCount(ctx)
	if err != nil {
		return Report{}, err
	}
	histories, err := c.WorkerHistories(ctx)
	if err != nil {
		return Report{}, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.buildReport(histories)
	report.Seed = o.Seed
	report.ControlCost = controlCost(before, after, elapsed)
	report.LogAppendsPerSecond = float64(appendsAfter-appendsBefore) / elapsed.Seconds()
	report.InvariantViolations = r.countViolations(ctx)
	return report, nil
}
