package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// dealQuestions hands waiting questions to idle VMs, in the order of the jobs.
func (s *Scheduler) dealQuestions(order []*job, now time.Time) {
	if len(s.advisers.waiting) == 0 {
		return
	}
	idle, ok := s.advisers.idle(now)
	ahead := map[string]int{}
	limits := s.newAskLimits()
	for _, j := range order {
		if !ok {
			return
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				q := s.advisers.waiting[st]
				if q == nil || !ok || !limits.allow(q) || (st.open && !s.worthAsking(st, q, ahead)) {
					continue
				}
				if workers := s.toAsk(st, q, now); len(workers) > 0 {
					s.ask(st, question{workers, q.Advice}, idle, now)
					idle, ok = s.advisers.idle(now)
					limits.add(q)
				}
			}
		}
	}
}

// askLimits keep VMs free for the questions of other services and for short ones.
//
// They answer the end of an outage, when all jobs ask at once: without them the long
// questions of a few large jobs keep every VM busy while hundreds of urgent jobs
// wait for an answer that takes a thirtieth of the time.
type askLimits struct {
	// byService and slow count the questions on their way; short ones are not counted
	// and not limited.
	byService               map[string]int
	slow                    int
	mostByService, mostSlow int
}

func (s *Scheduler) newAskLimits() *askLimits {
	vms := float64(len(s.advisers.vms))
	l := &askLimits{byService: map[string]int{}, mostByService: max(int(adviserShare*vms), 1), mostSlow: max(int(slowShare*vms), 1)}
	for _, o := range s.advisers.open {
		if q := s.table.Queue(o.step.job.spec.Queue); q != nil {
			l.add(q)
		}
	}
	return l
}

func isSlow(q *queue.Queue) bool { return q.Advice != nil && q.Advice.Fixed >= slowQuestion }

func isShort(q *queue.Queue) bool { return q.Advice == nil || q.Advice.Fixed <= shortQuestion }

func (l *askLimits) allow(q *queue.Queue) bool {
	return isShort(q) || (l.byService[q.Service] < l.mostByService && (!isSlow(q) || l.slow < l.mostSlow))
}

func (l *askLimits) add(q *queue.Queue) {
	if isShort(q) {
		return
	}
	l.byService[q.Service]++
	if isSlow(q) {
		l.slow++
	}
}

// worthAsking reports whether tickets could be used before they expire: there is
// room, or the step is among the first that wait for it. ahead counts those by
// service.
//
// It answers a backlog: tickets for steps far behind would expire unused, while
// the steps in front wait for an adviser.
func (s *Scheduler) worthAsking(st *step, q *queue.Queue, ahead map[string]int) bool {
	if st.spec.Room().Fits(s.poolOf(q.Service).free) || st.refreshable(q) {
		return true
	}
	ahead[q.Service]++
	return len(st.advice.asked) == 0 && ahead[q.Service] <= askedAhead
}

// toAsk returns the workers to ask about where the tickets of a step do not
// suffice.
func (s *Scheduler) toAsk(st *step, q *queue.Queue, now time.Time) []*worker {
	var stale []*worker
	places := 0
	for w := range st.advice.tickets {
		if !w.takes(q) || s.reserved.keeps(w, st.job) {
			continue
		}
		places += min(placesFor(st.spec.Room(), w.free()), placesApart(w, st))
		if !st.advice.valid(w, now) {
			stale = append(stale, w)
		}
	}
	if len(st.advice.asking) == 0 {
		switch {
		case s.isLarge(st, q) && len(st.advice.kept) > 0:
			if st.refreshable(q) {
				return st.advice.staleKept(now.Add(q.Advice.Of(len(st.advice.kept))))
			}
		case places > 0 && len(stale) > 0 && !s.isLarge(st, q):
			return firstByRoom(stale, st)
		}
	}
	if s.lacksPlaces(st, places) {
		return s.unasked(st, q)
	}
	return nil
}

// lacksPlaces reports whether a step needs more workers than those with tickets, which
// have places for it, and those that its open questions should bring.
//
// It answers wide gangs: their questions go out side by side, since the tickets of the
// first would have expired when the last of several in turn is answered.
func (s *Scheduler) lacksPlaces(st *step, places int) bool {
	if !st.spec.Gang {
		return places == 0 && len(st.advice.asking) == 0
	}
	expected := float64(places)
	for w := range st.advice.asking {
		expected += s.advisers.goodShare(st.job.spec.Queue) * float64(min(placesFor(st.spec.Room(), w.free()), placesApart(w, st)))
	}
	return expected < float64(st.spec.Count)
}

// refreshable reports whether the workers that are kept for a step should have room
// when a question about them is answered.
//
// It answers many large tasks that wait in a full pool: tickets that are asked for
// without a worker kept expire before the tasks get their turn, and tickets that are
// asked for once there is room leave it unused meanwhile.
func (st *step) refreshable(q *queue.Queue) bool {
	return len(st.advice.kept) > 0 && st.advice.keptIn <= q.Advice.Of(len(st.advice.kept))
}

// staleKept returns the kept workers whose tickets are not valid at a time, which is
// when the answer to a question about them comes.
//
// It answers long questions for gangs: tickets that expire while others are refreshed
// would never be valid all at once.
func (a *advice) staleKept(at time.Time) []*worker {
	var stale []*worker
	for _, w := range a.kept[:min(len(a.kept), mostAsked)] {
		if !a.valid(w, at) {
			stale = append(stale, w)
		}
	}
	return stale
}

// placesFor returns how many times a task fits into free room.
func placesFor(room, free resource.Vector) int {
	places := int64(work.MaxTasks)
	sizes, left := room.Amounts(), free.Amounts()
	for i := range sizes {
		if sizes[i] > 0 {
			places = min(places, max(left[i], 0)/sizes[i])
		}
	}
	return int(places)
}

// firstByRoom returns the workers most likely to have room soon.
func firstByRoom(list []*worker, st *step) []*worker {
	for _, w := range list {
		w.fullness = w.used.DominantFraction(w.registration.Capacity)
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(rackRank(a, st), rackRank(b, st)), cmp.Compare(a.fullness, b.fullness), compareLives(a.registration.Life, b.registration.Life))
	})
	return list[:min(len(list), mostAsked)]
}

// rackRank is 0 for workers in the rack that holds the data of a step, and 1 for others.
func rackRank(w *worker, st *step) int {
	if st.spec.Rack != "" && w.rack() == st.spec.Rack {
		return 0
	}
	return 1
}

// goodOfQuestion is how many of the workers in a question can be expected to be good.
const goodOfQuestion = 12

// unasked returns workers about which a step has not asked yet: those in the rack that
// holds its data, then those with room that no other question names, then those with
// room, then the rest; each from the roomiest on, or from the fullest on for small
// tasks beside large ones.
//
// It answers many jobs that come at once. Questions of all of them about the same few
// workers bring tickets for room that the first of them takes. Small tasks that ask
// about the roomiest workers leave no whole worker to the large ones.
func (s *Scheduler) unasked(st *step, q *queue.Queue) []*worker {
	p := s.poolOf(q.Service)
	if len(st.advice.asked) >= len(p.workers) {
		maps.DeleteFunc(st.advice.asked, func(w *worker, _ bool) bool { return w.gone })
	}
	if len(st.advice.asked) >= len(p.workers) {
		return nil
	}
	order := p.roomiest()
	least := 1
	if p.hasLarge && !s.isLarge(st, q) {
		order = p.fullest()
		least = 1 + st.waitingTasks()/goodOfQuestion
	}
	fits := func(w *worker) bool {
		return placesFor(st.spec.Room(), w.free()) >= least && !s.reserved.keeps(w, st.job)
	}
	var list []*worker
	take := func(wanted func(w *worker) bool) {
		for i := 0; i < len(order) && len(list) < mostAsked; i++ {
			if w := order[i]; wanted(w) && !st.advice.asked[w] && !st.advice.asking[w] && usable(w, st) && !slices.Contains(list, w) {
				list = append(list, w)
			}
		}
	}
	if st.spec.Rack != "" {
		take(func(w *worker) bool { return w.rack() == st.spec.Rack })
	}
	take(func(w *worker) bool { return w.questions == 0 && fits(w) })
	take(fits)
	take(func(*worker) bool { return true })
	return list
}

// waitingTasks counts the tasks of a step that wait for a place.
func (st *step) waitingTasks() int {
	n := 0
	for _, t := range st.tasks {
		if t.phase == phaseWaiting {
			n++
		}
	}
	return n
}
