package load

import (
	"sort"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// runsByRequest groups the runs in the workers' histories by request ID. An attempt
// ID is the request ID, a slash and a suffix.
func runsByRequest(histories []standin.History) map[string][]standin.AttemptRun {
	out := map[string][]standin.AttemptRun{}
	for _, h := range histories {
		for _, s := range h.Runs {
			id, _, _ := strings.Cut(s.Attempt, "/")
			out[id] = append(out[id], s)
		}
	}
	return out
}

// lastSubmissionRan reports whether the last submission of a call ran on a worker.
// If the result of the call is notRun, the caller was told that this submission
// did not run.
func lastSubmissionRan(c call, runs map[string][]standin.AttemptRun) bool {
	return len(c.requestIDs) > 0 && len(runs[c.requestIDs[len(c.requestIDs)-1]]) > 0
}

// countDoubleRuns counts the runs of a call that started before the previous run of
// the same request had ended. It adds one if a call that is not repeatable ran more
// than once.
func countDoubleRuns(c call, runs map[string][]standin.AttemptRun) int {
	n := 0
	total := 0
	for _, id := range c.requestIDs {
		list := runs[id]
		total += len(list)
		sort.Slice(list, func(i, j int) bool { return list[i].StartedAt.Before(list[j].StartedAt) })
		for i := 1; i < len(list); i++ {
			before := list[i-1]
			if before.EndedAt.IsZero() || before.EndedAt.After(list[i].StartedAt) {
				n++
			}
		}
	}
	if !c.group.Repeatable && total > 1 {
		n++
	}
	return n
}

// goodput counts the requests of a phase and those that were answered in time.
// Reports use the ratio of the two counts, because a rate would vary with the
// random number of arrivals.
type goodput struct{ sentCount, inTimeCount int }

// maxUsefulDelay returns how long an answer may take, in addition to the run time,
// to count towards the goodput of a class.
func maxUsefulDelay(c plan.Class) time.Duration {
	switch c {
	case plan.Urgent:
		return 2100 * time.Millisecond
	case plan.Normal:
		return 5 * time.Second
	}
	return 20 * time.Second
}

// add counts a call unless its caller cancelled it.
func (g *goodput) add(c call) {
	if c.result == cancelled {
		return
	}
	g.sentCount++
	if c.result == answered && c.endedAt.Sub(c.sentAt)-c.group.RunTime <= maxUsefulDelay(c.group.Class) {
		g.inTimeCount++
	}
}

// ratio returns the fraction of the requests that were answered in time.
func (g *goodput) ratio() float64 { return float64(g.inTimeCount) / float64(max(1, g.sentCount)) }

// measurePacking returns the mean use of the fleet as a fraction of its
// capacity, for the slots and for the resource that is used most. It covers the
// acting phase without the first phaseEdgeToIgnore.
func (r *scenarioRun) measurePacking(histories []standin.History) Packing {
	var capacity resource.Vector
	var used [resource.KindCount]float64
	from, to := r.startedAt.Add(calmPhase+phaseEdgeToIgnore), r.startedAt.Add(calmPhase+actingPhase)
	for _, h := range histories {
		capacity = capacity.Add(h.Capacity)
		for _, s := range h.Runs {
			seconds := overlapDuration(s, from, to).Seconds()
			for i, amount := range s.Size.Amounts() {
				used[i] += float64(amount) * seconds
			}
		}
	}
	var p Packing
	for i, amount := range capacity.Amounts() {
		fraction := used[i] / max(1, float64(amount)*to.Sub(from).Seconds())
		p.HighestResourceUse = max(p.HighestResourceUse, fraction)
		if resource.KindNames[i] == "slots" {
			p.SlotUse = fraction
		}
	}
	return p
}

// overlapDuration returns how long a run was active between the times from and
// to.
func overlapDuration(s standin.AttemptRun, from, to time.Time) time.Duration {
	began, ended := s.StartedAt, s.EndedAt
	if ended.IsZero() || ended.After(to) {
		ended = to
	}
	if began.Before(from) {
		began = from
	}
	return max(0, ended.Sub(began))
}

// urgentRateWindow is the length of the windows for which lowestUrgentRate
// determines rates.
const urgentRateWindow = 2 * time.Second

// lowestUrgentRate divides the acting phase into consecutive windows of
// urgentRateWindow. It returns the lowest rate of answers to urgent requests in any
// of these windows, as a fraction of their rate in the calm phase. It ignores the
// first phaseEdgeToIgnore of the calm phase and the last phaseEdgeToIgnore of the
// acting phase. It returns 0 if the calm phase had no such answers.
func (r *scenarioRun) lowestUrgentRate() float64 {
	calm := 0.0
	windows := make([]float64, int((actingPhase-phaseEdgeToIgnore)/urgentRateWindow))
	for _, c := range r.calls {
		if c.group.Class != "urgent" || c.result != answered {
			continue
		}
		at := c.endedAt.Sub(r.startedAt)
		if at > phaseEdgeToIgnore && at <= calmPhase {
			calm++
		}
		if i := int((at - calmPhase) / urgentRateWindow); at > calmPhase && i < len(windows) {
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
	return lowest / urgentRateWindow.Seconds() / (calm / (calmPhase - phaseEdgeToIgnore).Seconds())
}
