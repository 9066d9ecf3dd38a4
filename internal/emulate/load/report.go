package load

import (
	"context"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almondpost/almondpost/internal/emulate/standin"
)

// Report is the result of one run.
type Report struct {
	Scenario            string        `json:"scenario"`
	Deployment          string        `json:"deployment"`
	Seed                uint64        `json:"seed"`
	Seconds             float64       `json:"seconds"`
	Groups              []GroupReport `json:"groups"`
	Packing             Packing       `json:"packing"`
	Control             Control       `json:"control"`
	LogAppendsPerSecond float64       `json:"log_appends_per_second"`
	FalseNotRun         int           `json:"false_not_run"`
	OverFilled          int           `json:"over_filled"`
	InvariantViolations int64         `json:"invariant_violations"`
	// LateStarts counts starts on a leaving worker later than the target.
	LateStarts int `json:"late_starts_on_leaving"`
	// LowestUrgentRate is the lowest rate of urgent answers in any two seconds
	// after the scenario acted, as a fraction of the calm rate.
	LowestUrgentRate     float64        `json:"lowest_urgent_rate"`
	RaceRounds           int            `json:"race_rounds,omitempty"`
	RaceWinners          int            `json:"race_winners,omitempty"`
	RaceLosers           int            `json:"race_losers,omitempty"`
	ConfigurationSeconds float64        `json:"configuration_seconds,omitempty"`
	TakeoverSeconds      float64        `json:"takeover_seconds,omitempty"`
	Reasons              map[string]int `json:"reasons,omitempty"`
	// LostIDs names requests that were lost, to look for in the logs.
	LostIDs []string `json:"lost_ids,omitempty"`
}

// GroupReport is what the callers of one group saw.
type GroupReport struct {
	Customer  string `json:"customer"`
	Plan      string `json:"plan"`
	Class     string `json:"class"`
	Flooding  bool   `json:"flooding"`
	Submitted int    `json:"submitted"`
	Answered  int    `json:"answered"`
	NotRun    int    `json:"not_run"`
	Lost      int    `json:"lost"`
	// Cancelled and Failed are part of Answered: the caller cancelled, or was
	// told that the work ran and failed.
	Cancelled        int     `json:"cancelled"`
	Failed           int     `json:"failed"`
	Doubled          int     `json:"doubled"`
	CalmGoodputRatio float64 `json:"calm_goodput_ratio"`
	Waiting          Waiting `json:"waiting_ms"`
}

// Waiting holds quantiles of the time from submission to the answer less the
// run time.
type Waiting struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Packing compares the use of the fleet with what could be used.
type Packing struct {
	UsedOverUsable      float64 `json:"used_over_usable"`
	OverFractionalBound float64 `json:"over_fractional_bound"`
}

// Control is the largest cost of control of one entry VM.
type Control struct {
	CorePercentMax    float64 `json:"core_percent_max"`
	ResidentBytesMax  int64   `json:"resident_bytes_max"`
	BytesPerSecondMax float64 `json:"bytes_per_second_max"`
}

// leavingTarget is how long after the list shows it a leaving VM may get work.
const leavingTarget = 3 * time.Second

func (r *run) report(histories []standin.History) Report {
	out := Report{
		Scenario: r.scenario.Name, Deployment: r.cluster.Deployment.Name, Seconds: time.Since(r.began).Seconds(),
		RaceRounds: r.notes.raceRounds, RaceWinners: r.notes.raceWinners, RaceLosers: r.notes.raceLosers,
		ConfigurationSeconds: r.notes.configurationSeconds, TakeoverSeconds: r.notes.takeoverSeconds, Reasons: map[string]int{},
	}
	runs := runsOf(histories)
	for _, g := range r.groups {
		out.Groups = append(out.Groups, r.groupReport(g, runs))
	}
	for _, c := range r.calls {
		if c.result != answered {
			out.Reasons[string(c.result)+":"+shorten(c.reason)]++
		}
		if c.result == lost {
			out.LostIDs = append(out.LostIDs, c.ids...)
		}
		if c.result == notRun && ran(c, runs) {
			out.FalseNotRun++
		}
	}
	for _, h := range histories {
		out.OverFilled += h.Overfilled
		shown, leaving := r.notes.leaving[h.Worker]
		for _, s := range h.Runs {
			if leaving && s.Started.Sub(shown) > leavingTarget {
				out.LateStarts++
			}
		}
	}
	out.Packing = r.packing(histories)
	out.LowestUrgentRate = r.lowestUrgentRate()
	return out
}

const maxReasonBytes = 60

func shorten(s string) string {
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s[:min(len(s), maxReasonBytes)]
}

func (r *run) groupReport(g Group, runs map[string][]standin.Run) GroupReport {
	out := GroupReport{Customer: g.Customer, Plan: g.Plan, Class: string(g.Class), Flooding: r.scenario.Flood[r.cluster.Deployment.Name] == g.Plan}
	waited := hdrhistogram.New(1, time.Hour.Milliseconds(), 3)
	var calm, acting goodput
	for _, c := range r.calls {
		if c.group != g {
			continue
		}
		out.Submitted++
		if at := c.sent.Sub(r.began); at < calmPhase {
			calm.add(c)
		} else {
			acting.add(c)
		}
		out.Doubled += doubled(c, runs)
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

// violations sums the invariant violations of the live entry VMs.
func (r *run) violations(ctx context.Context) int64 {
	total := int64(0)
	for _, e := range r.cluster.Entries {
		if n, err := r.cluster.Violations(ctx, e); err == nil {
			total += n
		}
	}
	return total
}
