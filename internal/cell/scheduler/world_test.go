package scheduler_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(v any)   { *h = append(*h, v.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

// faults are the chances of trouble of one call.
type faults struct {
	// lost is the chance that an answer is lost, late that an order is carried
	// out seconds later.
	lost, late float64
}

// world plays leaders, workers and the store on a virtual clock. It checks on
// each start that no rule of the workers is broken.
type world struct {
	now     time.Time
	events  eventHeap
	number  int
	random  *rand.Rand
	faults  faults
	table   *queue.Table
	workers map[backend.Life]*fleet.Worker
	// cut workers are reached by nobody.
	cut      map[backend.Life]bool
	jobs     []*work.Job
	stored   map[string]*work.Progress
	cancels  map[string]bool
	demands  map[work.TaskID]fleet.Demand
	epoch    int64
	leaders  []*leaderEmulation
	done     map[work.TaskID]bool
	lapsed   map[backend.Life]int64
	problems []string
	starts   int
	log      logr.Logger
	// advisers are the entry VMs that can ask for advice.
	advisers []string
	// slowAdvice tells that advice takes as long as the queue says.
	slowAdvice bool
}

const quantum = time.Millisecond

func newWorld(seed uint64, f faults) *world {
	return &world{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), faults: f,
		table: &queue.Table{Version: 1, Queues: []queue.Queue{
			{Name: "urgent", Service: "desk", Priority: 0, MaxAttempts: 4, Stretch: 1.5, Objective: 250 * time.Millisecond},
			{Name: "batch", Service: "desk", Priority: 3, MaxAttempts: 4, Stretch: 4, Objective: 3 * time.Second},
			{Name: "advised", Service: "desk", Priority: 2, Stretch: 4, Objective: 3 * time.Second, Advice: &queue.AdviceCost{Fixed: 50 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}},
		}},
		workers: map[backend.Life]*fleet.Worker{}, cut: map[backend.Life]bool{}, stored: map[string]*work.Progress{},
		cancels: map[string]bool{}, demands: map[work.TaskID]fleet.Demand{}, done: map[work.TaskID]bool{}, lapsed: map[backend.Life]int64{}, log: logr.Discard(),
		advisers: []string{"vm-1", "vm-2"},
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, event{w.now.Add(max(d, quantum)), w.number, do})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// lives lists the workers in a fixed order.
func (w *world) lives() []backend.Life {
	return slices.SortedFunc(maps.Keys(w.workers), func(a, b backend.Life) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
}

// addWorkers adds workers of one size.
func (w *world) addWorkers(n int, capacity resource.Vector) {
	for i := range n {
		r := backend.Registration{
			Life:    backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: int64(i + 1)},
			Service: "desk", Zone: fmt.Sprintf("zone-%d", i%3), Capacity: capacity, Labels: []string{"a", fmt.Sprintf("rack-%d", i/3)},
		}
		w.addWorker(r)
	}
}

func (w *world) addWorker(r backend.Registration) {
	w.workers[r.Life] = fleet.New(r, 0.98+0.02*w.random.Float64(), w.now, func(t work.TaskID) fleet.Demand { return w.demands[t] }, w)
}

// restart begins another life of a worker, in which nothing runs.
func (w *world) restart(life backend.Life) {
	old := w.workers[life]
	if old == nil {
		return
	}
	delete(w.workers, life)
	r := old.Registration
	r.Life.Born += 1000
	w.addWorker(r)
}

// Started implements fleet.Observer.
func (w *world) Started(on *fleet.Worker, s backend.Start, at time.Time) {
	w.starts++
	life := on.Registration.Life
	speculative := w.demands[s.Task].Speculative
	for _, other := range w.workers {
		if other == on {
			continue
		}
		other.Advance(at)
		for _, t := range other.Running() {
			if t == s.Task && !speculative {
				w.problem("task %s starts on %s and runs on %s", s.Task, life.ID, other.Registration.Life.ID)
			}
		}
	}
	if w.done[s.Task] && !speculative {
		w.problem("task %s starts on %s and has completed", s.Task, life.ID)
	}
	if used := on.Used(); !used.Fits(on.Registration.Capacity) {
		w.problem("worker %s holds %s", life.ID, used)
	}
	p := w.stored[s.Task.Job]
	if p == nil || !recorded(p, s) {
		w.problem("start of %s run %d is not stored", s.Task, s.Run)
	}
}

func recorded(p *work.Progress, s backend.Start) bool {
	for _, sp := range p.Steps {
		if sp.Step != s.Task.Step || sp.Occurrence != s.Task.Occurrence {
			continue
		}
		for _, t := range sp.Tasks {
			if t.Index == s.Task.Index && t.Run >= s.Run {
				return true
			}
		}
	}
	return false
}

// Ended implements fleet.Observer.
func (w *world) Ended(on *fleet.Worker, e backend.End, _ time.Time) {
	if e.Outcome == backend.Lapsed {
		w.lapsed[on.Registration.Life] = e.Number
	}
}

// Acknowledged implements fleet.Observer. An end counts unless the lease lapsed
// between it and its acknowledgement.
func (w *world) Acknowledged(on *fleet.Worker, e backend.End, _ time.Time) {
	if e.Outcome == backend.Done && w.lapsed[on.Registration.Life] < e.Number && !w.demands[e.Task].Lasting {
		w.done[e.Task] = true
	}
}

// submit stores a job.
func (w *world) submit(j *work.Job, demand fleet.Demand) {
	j.Accepted = w.now
	w.jobs = append(w.jobs, j)
	for i := range j.Steps {
		for k := range j.Steps[i].Count {
			d := demand
			d.Room, d.Lasting, d.Speculative = j.Steps[i].Room(), j.Steps[i].Lasting, j.Steps[i].Speculative
			if j.Steps[i].Gang {
				d.Members = j.Steps[i].Count
			}
			w.demands[work.TaskID{StepID: work.StepID{Job: j.ID, Step: i}, Index: k}] = d
		}
	}
	for _, l := range w.leaders {
		if !l.dead {
			w.after(w.between(2*quantum, 10*quantum), func() { l.do(func(at time.Time) { l.state.Submit(j, at) }) })
		}
	}
}

// cancel stores the cancellation of a job.
func (w *world) cancel(id string) {
	w.cancels[id] = true
	for _, l := range w.leaders {
		if !l.dead {
			w.after(w.between(2*quantum, 10*quantum), func() { l.do(func(at time.Time) { l.state.Cancel(id, at) }) })
		}
	}
}

// elect begins a new leader; the last one goes on until the store tells it.
func (w *world) elect() *leaderEmulation {
	w.epoch++
	timing := scheduler.Timing{Lease: 6 * time.Second, Right: 10 * time.Second, HoldWait: time.Second, Retention: time.Hour}
	l := &leaderEmulation{world: w, epoch: w.epoch, state: scheduler.New(timing, w.epoch, w.now, w.now, w.log), sessions: map[backend.Life]bool{}}
	w.leaders = append(w.leaders, l)
	l.state.SetTable(w.table)
	l.state.SetAdvisers(w.advisers)
	l.state.SetWorkers(w.registrations(), w.now)
	for _, j := range w.jobs {
		l.state.Restore(j, w.stored[j.ID], w.now)
		if w.cancels[j.ID] {
			l.state.Cancel(j.ID, w.now)
		}
	}
	l.do(func(time.Time) {})
	l.tick()
	l.commit()
	return l
}

func (w *world) registrations() []backend.Registration {
	var list []backend.Registration
	for _, life := range w.lives() {
		list = append(list, w.workers[life].Registration)
	}
	return list
}

// leaderEmulation drives a scheduler as an entry VM does.
type leaderEmulation struct {
	world    *world
	epoch    int64
	state    *scheduler.Scheduler
	sessions map[backend.Life]bool
	dead     bool
	// frozen leaders do nothing; what they have sent is still on its way.
	frozen bool
	// asks counts the questions to advisers.
	asks int
}

func (l *leaderEmulation) do(change func(at time.Time)) {
	if l.dead {
		return
	}
	w := l.world
	if l.frozen {
		w.after(50*quantum, func() { l.do(change) })
		return
	}
	change(w.now)
	e := l.state.Take()
	for _, r := range e.Opened {
		if !l.sessions[r.Life] {
			l.sessions[r.Life] = true
			l.hold(r.Life)
		}
	}
	for _, life := range e.Closed {
		delete(l.sessions, life)
	}
	for _, o := range e.Starts {
		l.start(o)
	}
	for _, o := range e.Stops {
		w.deliver(o.Worker, func(v *fleet.Worker) func() { v.Stop(o.Order, w.now); return func() {} }, func() {})
	}
	for _, a := range e.Asks {
		l.advise(a)
	}
}

// deliver carries a call to a worker and its answer back. The answer is lost at
// times, and an order is carried out late at times.
func (w *world) deliver(life backend.Life, call func(v *fleet.Worker) (answer func()), lost func()) {
	carryOut := func(answered bool) {
		v := w.workers[life]
		if v == nil || w.cut[life] {
			if answered {
				w.after(500*quantum, lost)
			}
			return
		}
		answer := call(v)
		if answered {
			w.after(w.between(quantum, 8*quantum), answer)
		}
	}
	switch {
	case w.chance(w.faults.late):
		w.after(w.between(2*time.Second, 12*time.Second), func() { carryOut(false) })
		w.after(500*quantum, lost)
	case w.chance(w.faults.lost):
		w.after(w.between(quantum, 8*quantum), func() { carryOut(false) })
		w.after(500*quantum, lost)
	default:
		w.after(w.between(quantum, 8*quantum), func() { carryOut(true) })
	}
}

func (l *leaderEmulation) start(o scheduler.Order[backend.Start]) {
	w := l.world
	w.deliver(o.Worker, func(v *fleet.Worker) func() {
		kind := v.Start(o.Order, w.now)
		clock := v.Clock(w.now)
		return func() { l.do(func(at time.Time) { l.state.StartAnswered(o.Worker, &o.Order, kind, clock, at) }) }
	}, func() {
		l.do(func(at time.Time) { l.state.StartAnswered(o.Worker, &o.Order, backend.KindUnknown, 0, at) })
	})
}

func (l *leaderEmulation) hold(life backend.Life) {
	w := l.world
	l.do(func(at time.Time) {
		if !l.sessions[life] {
			return
		}
		hold, sent, ok := l.state.HoldRequest(life, at)
		if !ok {
			return
		}
		again := func() { w.after(w.between(20*quantum, 120*quantum), func() { l.hold(life) }) }
		w.deliver(life, func(v *fleet.Worker) func() {
			report, kind := v.Hold(hold, w.now)
			return func() {
				l.do(func(at time.Time) {
					if kind != "" {
						l.state.HoldFailed(life, kind, at)
					} else {
						l.state.HoldAnswered(life, sent, &report, at)
					}
				})
				again()
			}
		}, func() {
			l.do(func(at time.Time) { l.state.HoldFailed(life, backend.KindUnknown, at) })
			again()
		})
	})
}

func (l *leaderEmulation) advise(a scheduler.Ask) {
	w := l.world
	l.asks++
	took := w.between(20*quantum, 90*quantum)
	if q := w.table.Queue(w.queueOf(a.Step.Job)); q != nil && w.slowAdvice {
		took = q.Advice.Of(len(a.Workers))
	}
	w.after(took, func() {
		answer := backend.Advice{Tickets: map[string]string{}, Validity: 2 * time.Second}
		for _, id := range a.Workers {
			if goodWorker(a.Step, id) {
				answer.Tickets[id] = "ticket"
			}
		}
		l.do(func(at time.Time) { l.state.AdviceAnswered(a.Number, answer, w.chance(w.faults.lost), at) })
	})
}

func (w *world) queueOf(id string) string {
	i := slices.IndexFunc(w.jobs, func(j *work.Job) bool { return j.ID == id })
	return w.jobs[i].Queue
}

// goodWorker tells whether a step may run on a worker: half of them, and always
// the last.
func goodWorker(step work.StepID, worker string) bool {
	return worker == "worker-5" || (len(step.Job)+int(worker[len(worker)-1]))%2 == 0
}

func (l *leaderEmulation) tick() {
	l.do(func(at time.Time) {
		l.state.SetWorkers(l.world.registrations(), at)
		l.state.Tick(at)
	})
	if !l.dead {
		l.world.after(100*quantum, l.tick)
	}
}

// commit plans and stores; a leader that is not the newest is told so.
func (l *leaderEmulation) commit() {
	w := l.world
	next := func() {
		if !l.dead {
			w.after(5*quantum, l.commit)
		}
	}
	if l.frozen && !l.dead {
		w.after(50*quantum, l.commit)
		return
	}
	var c *scheduler.Commit
	l.do(func(at time.Time) {
		l.state.Plan(at)
		c = l.state.NextCommit(at)
	})
	if c == nil {
		next()
		return
	}
	w.after(w.between(4*quantum, 15*quantum), func() { l.store(c, next) })
}

func (l *leaderEmulation) store(c *scheduler.Commit, next func()) {
	w := l.world
	if l.epoch < w.epoch {
		l.dead = true
		return
	}
	for _, r := range c.Records {
		p, err := work.Decode[work.Progress](r.Value)
		if err != nil {
			w.problem("progress of %s: %s", r.Key, err)
			continue
		}
		w.stored[r.Key] = p
	}
	w.after(w.between(quantum, 8*quantum), func() {
		l.do(func(at time.Time) { l.state.Committed(c, at) })
		next()
	})
}
