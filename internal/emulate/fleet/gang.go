package fleet

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Gangs tells workers about the members of gangs on other workers. The members of one run
// work from the moment at which all of them are present, and end as Done together. A member
// that has waited too long for the others ends as GangIncomplete. When a member of a run that
// was complete ends otherwise than as Done, the others end as GangBroken.
type Gangs struct {
	// Wait is how long a member waits for the others.
	Wait time.Duration
	// BreakDelay is the time from the end of a member until the others end as GangBroken.
	BreakDelay time.Duration
	runs       map[gangID]*gangRun
}

// gangID identifies a run of a gang.
type gangID struct {
	step   work.StepID
	number int64
}

// gangRun is one run of a gang. Its methods may be called on nil, which stands for a run of a
// task outside of gangs.
type gangRun struct {
	breakDelay time.Duration
	// present holds the indexes of the tasks whose members have started and not ended.
	present map[int]bool
	// completeAt is when all members were present, brokenAt when a member ended after that
	// otherwise than as Done. Both are zero before.
	completeAt, brokenAt time.Time
	// done is true once a member has ended as Done, at doneAt.
	done   bool
	doneAt time.Time
}

// join adds a member to its run.
func (g *Gangs) join(r *taskRun, now time.Time) *gangRun {
	if g.runs == nil {
		g.runs = map[gangID]*gangRun{}
	}
	id := gangID{r.task.StepID, r.number}
	run := g.runs[id]
	if run == nil {
		run = &gangRun{breakDelay: g.BreakDelay, present: map[int]bool{}}
		g.runs[id] = run
	}
	run.present[r.task.Index] = true
	if run.completeAt.IsZero() && len(run.present) == r.profile.GangSize {
		run.completeAt = now
	}
	return run
}

// memberEnded must be called when the run of a member has ended.
func (r *gangRun) memberEnded(index int, outcome backend.Outcome, now time.Time) {
	if r == nil {
		return
	}
	delete(r.present, index)
	switch {
	case outcome == backend.Done && !r.done:
		r.done, r.doneAt = true, now
	case outcome != backend.Done && !r.done && !r.completeAt.IsZero() && r.brokenAt.IsZero():
		r.brokenAt = now
	}
}

// isBrokenUp reports whether a member ends because another one has ended.
func (r *gangRun) isBrokenUp(now time.Time) bool {
	return r != nil && !r.brokenAt.IsZero() && now.Sub(r.brokenAt) >= r.breakDelay
}

// isWaiting reports whether not all members have been present at the same time.
func (r *gangRun) isWaiting() bool { return r != nil && r.completeAt.IsZero() }
