package share

import (
	"maps"
	"slices"
	"time"
)

// rateWindow is the length of the sliding window in which the jobs of a team are counted.
const rateWindow = time.Second

// Rate tells which jobs of a team exceed its guaranteed rate. It is not safe for concurrent
// use.
type Rate struct {
	// retention is how much later than a job another one may be observed that was submitted
	// before it.
	retention time.Duration
	// within holds, for each team, the sorted times of its latest jobs within the rate.
	within map[string][]time.Time
}

// NewRate returns a Rate. After a take-over, jobs are observed in any order; those submitted
// up to retention before the latest are then counted correctly.
func NewRate(retention time.Duration) *Rate {
	return &Rate{retention: retention, within: map[string][]time.Time{}}
}

// Exceeds counts a job of a team that was submitted at a given time, and reports whether the
// team had weight or more jobs within the rate in the second before. Jobs beyond the rate are
// not counted, so that a team that sends too many still gets its guaranteed rate.
func (r *Rate) Exceeds(team string, weight float64, at time.Time) bool {
	times := r.within[team]
	before := func(limit time.Time) int {
		i, _ := slices.BinarySearchFunc(times, limit, func(t, limit time.Time) int {
			if t.After(limit) {
				return 1
			}
			return -1
		})
		return i
	}
	next := before(at)
	if count := next - before(at.Add(-rateWindow)); float64(count+1) > weight {
		return true
	}
	times = slices.Insert(times, next, at)
	outdated := before(times[len(times)-1].Add(-rateWindow - r.retention))
	r.within[team] = slices.Delete(times, 0, outdated)
	return false
}

// Sizes returns the number of teams and of jobs that are remembered.
func (r *Rate) Sizes() (teams, jobs int) {
	for _, times := range r.within {
		jobs += len(times)
	}
	return len(r.within), jobs
}

// Forget removes the jobs of the teams for which unused returns true. Such a team begins anew if
// its jobs are counted again.
func (r *Rate) Forget(unused func(team string) bool) {
	maps.DeleteFunc(r.within, func(team string, _ []time.Time) bool { return unused(team) })
}
