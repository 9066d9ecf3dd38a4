package load

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/almondpost/almondpost/pkg/plan"
	"github.com/almondpost/almondpost/pkg/resource"
	"github.com/almondpost/almondpost/pkg/standin"
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

// runsOf groups the workers' records by request.
func runsOf(histories []standin.History) map[string][]standin.Run {
	out := map[string][]standin.Run{}
	for _, h := range histories {
		for _, s := range h.Runs {
			id, _, _ := strings.Cut(s.Attempt, "/")
			out[id] = append(out[id], s)
		}
	}
	return out
}

// ran reports whether the request that was told "not run" ran.
func ran(c call, runs map[string][]standin.Run) bool {
	return len(c.ids) > 0 && len(runs[c.ids[len(c.ids)-1]]) > 0
}

// doubled counts requests that ran in two places at once, or twice though they
// may not repeat.
func doubled(c call, runs map[string][]standin.Run) int {
	n := 0
	total := 0
	for _, id := range c.ids {
		list := runs[id]
		total += len(list)
		sort.Slice(list, func(i, j int) bool { return list[i].Started.Before(list[j].Started) })
		for i := 1; i < len(list); i++ {
			before := list[i-1]
			if before.Ended.IsZero() || before.Ended.After(list[i].Started) {
				n++
			}
		}
	}
	if !c.group.Repeatable && total > 1 {
		n++
	}
	return n
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

// goodput counts the requests of a phase that were answered in useful time. It
// is taken over the requests that were sent, so that chance in the arrivals
// does not count.
type goodput struct{ sent, useful int }

// usefulWait is how long an answer may be late by and still be useful.
func usefulWait(c plan.Class) time.Duration {
	switch c {
	case plan.Urgent:
		return 2100 * time.Millisecond
	case plan.Normal:
		return 5 * time.Second
	}
	return 20 * time.Second
}

func (g *goodput) add(c call) {
	if c.result == cancelled {
		return
	}
	g.sent++
	if c.result == answered && c.ended.Sub(c.sent)-c.group.RunTime <= usefulWait(c.group.Class) {
		g.useful++
	}
}

func (g *goodput) ratio() float64 { return float64(g.useful) / float64(max(1, g.sent)) }

// packing compares the mean use in the acting phase with the capacity: of
// slots, and of the resource that would be full first if the same mix of tasks
// were scaled up and could be cut into pieces.
func (r *run) packing(histories []standin.History) Packing {
	var capacity resource.Vector
	var used [resource.Kinds]float64
	from, to := r.began.Add(calmPhase+rampTime), r.began.Add(calmPhase+actingPhase)
	for _, h := range histories {
		capacity = capacity.Add(h.Capacity)
		for _, s := range h.Runs {
			seconds := overlap(s, from, to).Seconds()
			for i, amount := range s.Size.Amounts() {
				used[i] += float64(amount) * seconds
			}
		}
	}
	var p Packing
	for i, amount := range capacity.Amounts() {
		fraction := used[i] / max(1, float64(amount)*to.Sub(from).Seconds())
		p.OverFractionalBound = max(p.OverFractionalBound, fraction)
		if resource.KindNames[i] == "slots" {
			p.UsedOverUsable = fraction
		}
	}
	return p
}

// overlap returns how long a run lasted between two times.
func overlap(s standin.Run, from, to time.Time) time.Duration {
	began, ended := s.Started, s.Ended
	if ended.IsZero() || ended.After(to) {
		ended = to
	}
	if began.Before(from) {
		began = from
	}
	return max(0, ended.Sub(began))
}

const urgentWindow = 2 * time.Second

// lowestUrgentRate finds the worst window for urgent work after the action.
func (r *run) lowestUrgentRate() float64 {
	calm := 0.0
	windows := make([]float64, int((actingPhase-rampTime)/urgentWindow))
	for _, c := range r.calls {
		if c.group.Class != "urgent" || c.result != answered {
			continue
		}
		at := c.ended.Sub(r.began)
		if at > rampTime && at <= calmPhase {
			calm++
		}
		if i := int((at - calmPhase) / urgentWindow); at > calmPhase && i < len(windows) {
			windows[i]++
		}
	}
	lowest := 0.0
	for i, w := range windows {
		if i == 0 || w < lowest {
			lowest = w
		}
	}
	if calm == 0 {
		return 0
	}
	return lowest / urgentWindow.Seconds() / (calm / (calmPhase - rampTime).Seconds())
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
