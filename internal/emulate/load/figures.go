package load

import (
	"sort"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

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
