package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Plan places waiting tasks.
func (s *Scheduler) Plan(now time.Time) {
	s.planNeeded = false
	order := s.waitingOrder(now)
	reserved := newReservations()
	clear(s.advisers.waiting)
	s.poolOf("")
	for _, p := range s.pools {
		p.measure(now, s.holdWait()+answerDelay)
	}
	for _, j := range order {
		q := s.table.Queue(j.spec.Queue)
		if q == nil || j.state.Ended() {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.planStep(st, q, reserved, now)
			}
		}
	}
	s.dealQuestions(order, now)
}

// prospect tells what a job can still be worth to its caller.
type prospect int

const (
	// onTime jobs can still complete when their caller wants them to.
	onTime prospect = iota
	// late jobs are past that, and still of some worth.
	late
	// hopeless jobs are past the time in which a result has worth.
	hopeless
)

// rank orders waiting jobs.
type rank struct {
	job      *job
	prospect prospect
	priority int
	due      time.Time
}

// waitingOrder returns the active jobs with something to place or to ask, in the
// order in which they go: first what can still be on time, then what is late, then
// the rest; of these by priority, then by when the caller wants them completed.
//
// It answers a load above the capacity: in the order of due times alone, each job
// waits until it is late, and all of them are.
func (s *Scheduler) waitingOrder(now time.Time) []*job {
	ranks := make([]rank, 0, len(s.active))
	for _, j := range s.active {
		if j.waiting == 0 && !s.opensSoon(j) {
			continue
		}
		q := s.table.Queue(j.spec.Queue)
		if q == nil {
			continue
		}
		chain := time.Duration(0)
		if len(j.chain) > 0 {
			chain = slices.Max(j.chain)
		}
		allowance := q.Allowance(chain)
		ranks = append(ranks, rank{
			job: j, priority: q.Priority, due: j.arrived.Add(allowance),
			prospect: s.prospectOf(j, allowance, now),
		})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.prospect, b.prospect), cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), cmp.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	order := make([]*job, len(ranks))
	for i := range ranks {
		order[i] = ranks[i].job
	}
	return order
}

// prospectOf compares the work that is left of a job with the time it has.
func (s *Scheduler) prospectOf(j *job, allowance time.Duration, now time.Time) prospect {
	if j.spec.Repeat != nil || j.lasting() {
		return onTime
	}
	left := s.chainLeft(j)
	switch end := now.Add(left); {
	case !end.After(j.arrived.Add(allowance)):
		return onTime
	case !end.After(j.arrived.Add(queue.LateFactor * allowance)):
		return late
	}
	return hopeless
}

// chainLeft returns the expected time of the longest chain of steps that are not
// completed.
func (s *Scheduler) chainLeft(j *job) time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		chain := make([]time.Duration, len(o.steps))
		for i, st := range o.steps {
			for _, a := range st.spec.After {
				chain[i] = max(chain[i], chain[a])
			}
			if st.left > 0 {
				chain[i] += s.runTimes.expect(st)
			}
			longest = max(longest, chain[i])
		}
	}
	return longest
}

func (j *job) lasting() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s work.Step) bool { return s.Lasting })
}

// opensSoon reports whether advice for a later step should be sought.
func (s *Scheduler) opensSoon(j *job) bool { return len(j.spec.Steps) > 1 && j.running > 0 }

func (s *Scheduler) planStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) {
	if st.left == 0 {
		return
	}
	if !st.open {
		if q.Advice != nil && s.opensWithin(st, askAhead+q.Advice.Of(mostAsked), now) {
			s.advisers.want(st, q)
		}
		return
	}
	if st.job.waiting == 0 {
		return
	}
	if s.placeStep(st, q, reserved, now) || !st.anyWaiting(now) {
		return
	}
	s.advisers.want(st, q)
	s.reserve(st, q, reserved, now)
}

// placeStep places the tasks of an open step; it reports whether none is left
// waiting.
func (s *Scheduler) placeStep(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	switch {
	case !st.spec.Room().Fits(s.poolOf(q.Service).free):
		return false
	case st.spec.Gang:
		return s.placeGang(st, q, reserved, now)
	}
	return s.placeTasks(st, q, reserved, now)
}

func (st *step) anyWaiting(now time.Time) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.phase == phaseWaiting && !now.Before(t.notBefore) })
}

// opensWithin reports whether all earlier steps should end within a time.
func (s *Scheduler) opensWithin(st *step, within time.Duration, now time.Time) bool {
	for _, a := range st.spec.After {
		before := st.turn.steps[a]
		if !before.open {
			return false
		}
		for _, t := range before.tasks {
			if t.phase == phaseDone {
				continue
			}
			if t.phase != phaseRunning || s.runTimes.remaining(t, now) > within {
				return false
			}
		}
	}
	return true
}

// placeTasks places the waiting tasks of a step; it reports whether none is
// left waiting.
func (s *Scheduler) placeTasks(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	all := true
	for _, t := range st.tasks {
		if t.phase != phaseWaiting || now.Before(t.notBefore) {
			continue
		}
		w := s.choose(st, q, t, reserved, nil, now)
		if w == nil {
			all = false
			break
		}
		s.place(t, w, now)
	}
	return all
}

// placeGang places all tasks of a gang or none.
func (s *Scheduler) placeGang(st *step, q *queue.Queue, reserved *reservations, now time.Time) bool {
	for _, t := range st.tasks {
		if t.phase != phaseWaiting || now.Before(t.notBefore) {
			return true // Members of an earlier run have not ended yet.
		}
	}
	run := int64(0)
	for _, t := range st.tasks {
		run = max(run, t.run+1)
	}
	var placed []*task
	racks := map[string]int{}
	for _, t := range st.tasks {
		w := s.choose(st, q, t, reserved, racks, now)
		if w == nil {
			for _, p := range placed {
				w := p.worker
				w.remove(p)
				p.worker = nil
			}
			return false
		}
		t.worker = w
		w.add(t)
		racks[w.rack()]++
		placed = append(placed, t)
	}
	checkpoint := latestCheckpoint(st.tasks)
	for _, t := range placed {
		w := t.worker
		w.remove(t)
		t.run, t.checkpoint = run-1, checkpoint
		s.place(t, w, now)
	}
	return true
}

// latestCheckpoint returns a checkpoint that every member can resume from.
func latestCheckpoint(tasks []*task) string {
	for _, t := range tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// place gives a task room on a worker. Its start is ordered once that is stored.
func (s *Scheduler) place(t *task, w *worker, now time.Time) {
	j := t.step.job
	t.run++
	t.phase, t.worker, t.token, t.settled, t.inCommit = phaseRecorded, w, 0, false, false
	t.begun, t.progressed = now, now
	w.add(t)
	j.waiting--
	j.running++
	j.begun = true
	if j.state == work.Queued {
		j.state = work.Running
	}
	s.touch(j)
}

// usable reports whether a worker could run tasks of a step at all.
func usable(w *worker, st *step) bool {
	return w.registration.HasLabel(st.spec.Label) && st.spec.Room().Fits(w.registration.Capacity)
}

// answerDelay is the silence beyond the time of a hold after which a worker gets
// no new work.
const answerDelay = 400 * time.Millisecond

// choose returns the best worker for a task, or nil. racks counts the members of
// its gang that have a place.
func (s *Scheduler) choose(st *step, q *queue.Queue, t *task, reserved *reservations, racks map[string]int, now time.Time) *worker {
	c := choice{scheduler: s, task: t, reserved: reserved, racks: racks, room: st.spec.Room()}
	if q.Advice == nil {
		for _, w := range s.poolOf(q.Service).ready {
			c.consider(w)
		}
		return c.best
	}
	// The good workers of a step are few in a large pool.
	for life := range st.advice.tickets {
		if w := s.workers[life]; w != nil && w.ready && w.listed && w.registration.Service == q.Service && !w.registration.Draining && st.advice.valid(life, now) {
			c.consider(w)
		}
	}
	return c.best
}

// choice finds the best of several workers for a task.
type choice struct {
	scheduler *Scheduler
	task      *task
	reserved  *reservations
	racks     map[string]int
	room      resource.Vector
	best      *worker
	score     float64
}

// consider takes a worker if it is better than the best so far.
func (c *choice) consider(w *worker) {
	st := c.task.step
	if !c.room.Fits(w.free()) || !w.registration.HasLabel(st.spec.Label) || c.reserved.blocks(w, st.job) || !keepsApart(w, st) {
		return
	}
	score := c.scheduler.score(w, st, c.task, c.racks)
	if c.best == nil || score > c.score || (score == c.score && compareLives(w.registration.Life, c.best.registration.Life) < 0) {
		c.best, c.score = w, score
	}
}

// keepsApart reports whether a worker may take one more task of a step.
func keepsApart(w *worker, st *step) bool { return placesApart(w, st) > 0 }

// placesApart returns how many more tasks of a step a worker may take besides what
// its room allows.
func placesApart(w *worker, st *step) int {
	if st.spec.MostPerWorker == 0 {
		return work.MaxTasks
	}
	n := 0
	for _, t := range w.tasks {
		if t.step == st {
			n++
		}
	}
	return max(st.spec.MostPerWorker-n, 0)
}

// The weights of what speaks for a worker, against a tight fit that counts up
// to 1.
const (
	// weightRack is for the rack that holds the data, or the rest of the gang.
	weightRack = 4.0
	// weightFailed is against the worker on which the task failed last.
	weightFailed = 3.0
	// weightMixed is against putting filling tasks beside serving ones.
	weightMixed = 2.0
)

// score values a worker for a task; the fullest worker that fits is best, so
// that whole workers stay free for large tasks.
func (s *Scheduler) score(w *worker, st *step, t *task, racks map[string]int) float64 {
	score := w.used.Add(st.spec.Room()).DominantFraction(w.registration.Capacity)
	if st.spec.Rack != "" && w.rack() == st.spec.Rack {
		score += weightRack
	}
	if st.spec.SameRack && racks[w.rack()] > 0 {
		score += weightRack
	}
	if t.avoid == w.registration.Life.ID {
		score -= weightFailed
	}
	if mixes(w, st) {
		score -= weightMixed
	}
	return score
}

// mixes reports whether a task of the step would share the worker with tasks
// that it disturbs, or that disturb it.
func mixes(w *worker, st *step) bool {
	if !st.spec.Fills && st.spec.Target == 0 {
		return false
	}
	for _, t := range w.tasks {
		if (st.spec.Fills && t.step.spec.Target > 0) || (st.spec.Target > 0 && t.step.spec.Fills) {
			return true
		}
	}
	return false
}

// reservations keep workers for large tasks that would otherwise wait for ever
// while smaller ones take each piece of room.
type reservations struct {
	owner map[*worker]*job
	steps int
}

const (
	// mostReservations bounds the steps for which workers are kept at a time.
	mostReservations = 4
	// largeFraction is the share of a worker from which on a task is large.
	largeFraction = 0.45
)

func newReservations() *reservations { return &reservations{owner: map[*worker]*job{}} }

func (r *reservations) blocks(w *worker, j *job) bool {
	owner := r.owner[w]
	return owner != nil && owner != j
}

// reserve keeps the workers that will have room for the tasks of a step first.
// Workers that can never take them stay free for others.
func (s *Scheduler) reserve(st *step, q *queue.Queue, r *reservations, now time.Time) {
	if r.steps >= mostReservations {
		return
	}
	type candidate struct {
		worker *worker
		wait   time.Duration
	}
	if !st.spec.Gang && st.spec.Room().DominantFraction(s.poolOf(q.Service).largest) < largeFraction {
		return
	}
	var candidates []candidate
	places := 0
	for _, w := range s.candidates(st, q.Service) {
		if r.blocks(w, st.job) || !keepsApart(w, st) {
			continue
		}
		if _, good := st.advice.tickets[w.registration.Life]; q.Advice != nil && !good {
			continue
		}
		places += placesFor(st.spec.Room(), w.registration.Capacity)
		if wait := s.roomIn(w, st, now); wait < lastingHorizon {
			candidates = append(candidates, candidate{w, wait})
		}
	}
	if st.spec.Gang && places < st.spec.Count {
		return // The gang does not fit, however long it waits.
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), compareLives(a.worker.registration.Life, b.worker.registration.Life))
	})
	need := 0
	for _, t := range st.tasks {
		if t.phase == phaseWaiting {
			need++
		}
	}
	for _, c := range candidates[:min(need, len(candidates))] {
		r.owner[c.worker] = st.job
	}
	r.steps++
}

// roomIn returns the expected time until a worker has room for a task.
func (s *Scheduler) roomIn(w *worker, st *step, now time.Time) time.Duration {
	free, room := w.free(), st.spec.Room()
	if room.Fits(free) {
		return 0
	}
	type ending struct {
		task *task
		in   time.Duration
	}
	endings := make([]ending, 0, len(w.tasks))
	for _, t := range w.tasks {
		endings = append(endings, ending{t, s.runTimes.remaining(t, now)})
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	for _, e := range endings {
		free = free.Add(e.task.step.spec.Room())
		if room.Fits(free) {
			return e.in
		}
	}
	return lastingHorizon
}

// Workers lists the lives of the workers that are held, in a fixed order.
func (s *Scheduler) Workers() []backend.Life {
	return slices.SortedFunc(maps.Keys(s.workers), compareLives)
}
