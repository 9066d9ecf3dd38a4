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
	ControlCost         ControlCost   `json:"control"`
	LogAppendsPerSecond float64       `json:"log_appends_per_second"`
	// FalseNotRun counts requests that were reported as not run but ran.
	FalseNotRun int `json:"false_not_run"`
	// OverfilledStarts counts starts that exceeded the capacity of their worker.
	OverfilledStarts    int   `json:"over_filled"`
	InvariantViolations int64 `json:"invariant_violations"`
	// StartsOnLeavingWorkers counts the starts on a worker that happened more than
	// leavingGracePeriod after the VM list showed the worker as leaving.
	StartsOnLeavingWorkers int `json:"late_starts_on_leaving"`
	// LowestUrgentRate is the lowest rate of answers to urgent requests in any
	// two-second window of the acting phase, as a fraction of their rate in the calm
	// phase; see lowestUrgentRate.
	LowestUrgentRate float64 `json:"lowest_urgent_rate"`
	// RaceRounds is the number of times that two operators published concurrently.
	// RaceWinners counts the publications that were accepted, and RaceLosers those
	// that were refused because of a conflict.
	RaceRounds  int `json:"race_rounds,omitempty"`
	RaceWinners int `json:"race_winners,omitempty"`
	RaceLosers  int `json:"race_losers,omitempty"`
	// ConfigurationSeconds is the longest time that it took until every entry VM
	// used a new configuration.
	ConfigurationSeconds float64 `json:"configuration_seconds,omitempty"`
	// TakeoverSeconds is the time from the kill of an entry VM until every worker was
	// adopted again.
	TakeoverSeconds float64 `json:"takeover_seconds,omitempty"`
	// UnansweredCallsByReason counts the calls with any result other than answered, including
	// cancelled and failed. Each key is the result and the reason of these calls, separated
	// by a colon.
	UnansweredCallsByReason map[string]int `json:"reasons,omitempty"`
	// LostRequestIDs are the IDs of lost requests, to search for in the logs.
	LostRequestIDs []string `json:"lost_ids,omitempty"`
}

// GroupReport is what the callers of one group observed.
type GroupReport struct {
	Customer string `json:"customer"`
	Plan     string `json:"plan"`
	Class    string `json:"class"`
	// Flooding is set when the scenario multiplies the request rate of the plan by
	// floodFactor.
	Flooding  bool `json:"flooding"`
	Submitted int  `json:"submitted"`
	Answered  int  `json:"answered"`
	NotRun    int  `json:"not_run"`
	// Lost counts the calls whose callers learned no final outcome, or received an
	// answer that was damaged or not their own.
	Lost int `json:"lost"`
	// Cancelled counts the requests that the caller cancelled, and Failed those
	// that ran and failed. Both are also counted in Answered.
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	// DoubleRuns counts the runs that should not have happened, because the
	// request was still running or must not run twice; see countDoubleRuns.
	DoubleRuns int `json:"doubled"`
	// CalmGoodputRatio is the goodput of the acting phase divided by that of the calm
	// phase.
	CalmGoodputRatio float64          `json:"calm_goodput_ratio"`
	WaitingTime      WaitingQuantiles `json:"waiting_ms"`
}

// WaitingQuantiles holds quantiles of the waiting time, in milliseconds. The
// waiting time is the time from the submission to the answer minus the run time.
type WaitingQuantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Packing holds the mean use of the fleet in the acting phase as a fraction of
// its capacity.
type Packing struct {
	// SlotUse is the fraction of the fleet's slots that is in use.
	SlotUse float64 `json:"used_over_usable"`
	// HighestResourceUse is the fraction in use of the resource that is used most.
	// If tasks could be divided, more tasks of the same mix would fit until it is
	// 1.
	HighestResourceUse float64 `json:"over_fractional_bound"`
}

// ControlCost is what the scheduler itself uses: the highest value of any entry
// VM's process. CorePercentMax is in percent of one processor core.
type ControlCost struct {
	CorePercentMax    float64 `json:"core_percent_max"`
	ResidentBytesMax  int64   `json:"resident_bytes_max"`
	BytesPerSecondMax float64 `json:"bytes_per_second_max"`
}

// leavingGracePeriod is how long a worker may still get work after the VM list shows it
// as leaving.
const leavingGracePeriod = 3 * time.Second

// buildReport evaluates the calls and the workers' histories. The caller adds
// the seed, the control cost, and the counters that it reads from the log
// service and the entry VMs.
func (r *scenarioRun) buildReport(histories []standin.History) Report {
	out := Report{
		Scenario: r.scenario.Name, Deployment: r.cluster.Deployment.Name, Seconds: time.Since(r.startedAt).Seconds(),
		RaceRounds: r.measurements.raceRounds, RaceWinners: r.measurements.raceWinners, RaceLosers: r.measurements.raceLosers,
		ConfigurationSeconds: r.measurements.configurationSeconds, TakeoverSeconds: r.measurements.takeoverSeconds, UnansweredCallsByReason: map[string]int{},
	}
	runs := runsByRequest(histories)
	for _, g := range r.groups {
		out.Groups = append(out.Groups, r.buildGroupReport(g, runs))
	}
	for _, c := range r.calls {
		if c.result != answered {
			out.UnansweredCallsByReason[string(c.result)+":"+shortReason(c.reason)]++
		}
		if c.result == lost {
			out.LostRequestIDs = append(out.LostRequestIDs, c.requestIDs...)
		}
		if c.result == notRun && lastSubmissionRan(c, runs) {
			out.FalseNotRun++
		}
	}
	for _, h := range histories {
		out.OverfilledStarts += h.OverfilledStarts
		shownAt, leaving := r.measurements.workersLeavingSince[h.Worker]
		for _, s := range h.Runs {
			if leaving && s.StartedAt.Sub(shownAt) > leavingGracePeriod {
				out.StartsOnLeavingWorkers++
			}
		}
	}
	out.Packing = r.measurePacking(histories)
	out.LowestUrgentRate = r.lowestUrgentRate()
	return out
}

// maxReasonBytes is the maximum length of a reason in Report.UnansweredCallsByReason.
const maxReasonBytes = 60

// shortReason returns the innermost error text of a reason, which is the part
// after the last ": ". It cuts the text to maxReasonBytes.
func shortReason(s string) string {
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s[:min(len(s), maxReasonBytes)]
}

// buildGroupReport evaluates the calls of one group.
func (r *scenarioRun) buildGroupReport(g RequestGroup, runs map[string][]standin.AttemptRun) GroupReport {
	out := GroupReport{Customer: g.Customer, Plan: g.Plan, Class: string(g.Class), Flooding: r.scenario.FloodPlans[r.cluster.Deployment.Name] == g.Plan}
	waited := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	var calm, acting goodput
	for _, c := range r.calls {
		if c.group != g {
			continue
		}
		out.Submitted++
		if at := c.sentAt.Sub(r.startedAt); at < calmPhase {
			calm.add(c)
		} else {
			acting.add(c)
		}
		out.DoubleRuns += countDoubleRuns(c, runs)
		switch c.result {
		case answered:
			out.Answered++
			_ = waited.RecordValue(max(0, c.endedAt.Sub(c.sentAt)-g.RunTime).Milliseconds())
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
	out.WaitingTime = WaitingQuantiles{float64(waited.ValueAtQuantile(50)), float64(waited.ValueAtQuantile(95)), float64(waited.ValueAtQuantile(99))}
	return out
}

// countViolations returns the total number of invariant violations that the
// reachable entry VMs have counted.
func (r *scenarioRun) countViolations(ctx context.Context) int64 {
	total := int64(0)
	for _, e := range r.cluster.EntryVMs {
		if n, err := r.cluster.InvariantViolations(ctx, e); err == nil {
			total += n
		}
	}
	return total
}
