package load

import (
	"context"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almondpost/almondpost/internal/emulate/standin"
)

// Report is the result of one run of a scenario.
type Report struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Seconds is the duration of the run.
	Seconds             float64       `json:"seconds"`
	Groups              []GroupReport `json:"groups"`
	Packing             Packing       `json:"packing"`
	Control             ControlCost   `json:"control"`
	LogAppendsPerSecond float64       `json:"log_appends_per_second"`
	// FalseNotRun counts requests that were reported as not run but ran.
	FalseNotRun int `json:"false_not_run"`
	// Overfilled counts starts that exceeded the capacity of their worker.
	Overfilled          int   `json:"over_filled"`
	InvariantViolations int64 `json:"invariant_violations"`
	// LateStarts counts the starts on a leaving worker after leavingGrace.
	LateStarts int `json:"late_starts_on_leaving"`
	// LowestUrgentRate is the lowest rate of urgent answers in any two seconds of the
	// acting phase, as a fraction of the rate in the calm phase.
	LowestUrgentRate float64 `json:"lowest_urgent_rate"`
	// RaceRounds is the number of times that operators published concurrently.
	// RaceWinners counts the accepted publications and RaceLosers the conflicting ones.
	RaceRounds  int `json:"race_rounds,omitempty"`
	RaceWinners int `json:"race_winners,omitempty"`
	RaceLosers  int `json:"race_losers,omitempty"`
	// ConfigurationSeconds is the longest time until every entry VM used a new
	// configuration.
	ConfigurationSeconds float64 `json:"configuration_seconds,omitempty"`
	// TakeoverSeconds is the time from the kill of an entry VM until every worker was
	// adopted again.
	TakeoverSeconds float64 `json:"takeover_seconds,omitempty"`
	// Reasons counts the calls that were not answered by result and reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// LostIDs are the IDs of lost requests, to search for in the logs.
	LostIDs []string `json:"lost_ids,omitempty"`
}

// GroupReport is what the callers of one group observed.
type GroupReport struct {
	Customer string `json:"customer"`
	Plan     string `json:"plan"`
	Class    string `json:"class"`
	// Flooding is set when the scenario floods the plan.
	Flooding  bool `json:"flooding"`
	Submitted int  `json:"submitted"`
	Answered  int  `json:"answered"`
	NotRun    int  `json:"not_run"`
	// Lost counts calls whose callers learned no outcome.
	Lost int `json:"lost"`
	// Cancelled and Failed are included in Answered: the caller cancelled the
	// request, or the request ran and failed.
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	// Doubled counts the runs that should not have happened; see countDoubleRuns.
	Doubled int `json:"doubled"`
	// CalmGoodputRatio is the goodput of the acting phase divided by that of the calm
	// phase.
	CalmGoodputRatio float64 `json:"calm_goodput_ratio"`
	Waiting          Waiting `json:"waiting_ms"`
}

// Waiting holds quantiles, in milliseconds, of the time from the submission to the
// answer minus the run time.
type Waiting struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Packing is the mean use of the fleet as a fraction of its capacity.
type Packing struct {
	// UsedOverUsable is the fraction of the slots in use.
	UsedOverUsable float64 `json:"used_over_usable"`
	// OverFractionalBound is the fraction in use of the resource with the highest
	// use. If tasks could be divided, more of the same mix would fit until it is 1.
	OverFractionalBound float64 `json:"over_fractional_bound"`
}

// ControlCost is what the scheduler itself uses: the highest value of any entry
// VM's process. CorePercentMax is in percent of one processor core.
type ControlCost struct {
	CorePercentMax    float64 `json:"core_percent_max"`
	ResidentBytesMax  int64   `json:"resident_bytes_max"`
	BytesPerSecondMax float64 `json:"bytes_per_second_max"`
}

// leavingGrace is how long a worker may still get work after the VM list shows it
// as leaving.
const leavingGrace = 3 * time.Second

// buildReport evaluates the calls and the workers' histories. The caller adds the
// seed, the control cost and the counters of the log and the entry VMs.
func (r *run) buildReport(histories []standin.History) Report {
	out := Report{
		Scenario: r.scenario.Name, Deployment: r.cluster.Deployment.Name, Seconds: time.Since(r.startedAt).Seconds(),
		RaceRounds: r.measurements.raceRounds, RaceWinners: r.measurements.raceWinners, RaceLosers: r.measurements.raceLosers,
		ConfigurationSeconds: r.measurements.configurationSeconds, TakeoverSeconds: r.measurements.takeoverSeconds, Reasons: map[string]int{},
	}
	runs := runsByRequest(histories)
	for _, g := range r.groups {
		out.Groups = append(out.Groups, r.buildGroupReport(g, runs))
	}
	for _, c := range r.calls {
		if c.result != answered {
			out.Reasons[string(c.result)+":"+shortReason(c.reason)]++
		}
		if c.result == lost {
			out.LostIDs = append(out.LostIDs, c.requestIDs...)
		}
		if c.result == notRun && lastRequestRan(c, runs) {
			out.FalseNotRun++
		}
	}
	for _, h := range histories {
		out.Overfilled += h.Overfilled
		shownAt, leaving := r.measurements.leavingSince[h.Worker]
		for _, s := range h.Runs {
			if leaving && s.Started.Sub(shownAt) > leavingGrace {
				out.LateStarts++
			}
		}
	}
	out.Packing = r.measurePacking(histories)
	out.LowestUrgentRate = r.lowestUrgentRate()
	return out
}

// maxReasonBytes is the maximum length of a reason in Report.Reasons.
const maxReasonBytes = 60

// shortReason returns the innermost error text, without the context before the last
// ": ", cut to maxReasonBytes.
func shortReason(s string) string {
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s[:min(len(s), maxReasonBytes)]
}

// buildGroupReport evaluates the calls of one group.
func (r *run) buildGroupReport(g Group, runs map[string][]standin.Run) GroupReport {
	out := GroupReport{Customer: g.Customer, Plan: g.Plan, Class: string(g.Class), Flooding: r.scenario.FloodPlans[r.cluster.Deployment.Name] == g.Plan}
	waited := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	var calm, acting goodput
	for _, c := range r.calls {
		if c.group != g {
			continue
		}
		out.Submitted++
		if at := c.sent.Sub(r.startedAt); at < calmPhase {
			calm.add(c)
		} else {
			acting.add(c)
		}
		out.Doubled += countDoubleRuns(c, runs)
		switch c.result {
		case answered:
			out.Answered++
			_ = waited.RecordValue(max(0, c.ended.Sub(c.sent)-g.RunTime).Milliseconds())
		case notRun:
			out.NotRun++
		case cancelled:
			out.Answered++
			out.Cancelled++
		case failed:
			out.Answered++
			out.Failed++
		default:
			out.Lost++
		}
	}
	out.CalmGoodputRatio = acting.ratio() / calm.ratio()
	out.Waiting = Waiting{float64(waited.ValueAtQuantile(50)), float64(waited.ValueAtQuantile(95)), float64(waited.ValueAtQuantile(99))}
	return out
}

// countViolations returns the invariant violations of all entry VMs that can be
// reached.
func (r *run) countViolations(ctx context.Context) int64 {
	total := int64(0)
	for _, e := range r.cluster.Entries {
		if n, err := r.cluster.Violations(ctx, e); err == nil {
			total += n
		}
	}
	return total
}
