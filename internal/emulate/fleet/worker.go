// Package fleet emulates workers for tests: leases on their own clock, fencing
// tokens, numbered ends, checkpoints and gangs. It holds no goroutine; the time
// is an argument.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Demand tells how a task behaves on a worker.
type Demand struct {
	Room resource.Vector
	// RunTime is the work of the task; a lasting task has none.
	RunTime time.Duration
	Lasting bool
	// Speculative tasks may run in several copies.
	Speculative bool
	// Fails makes the run end as failed.
	Fails bool
	// Members is the size of the task's gang; 0 outside of gangs.
	Members int
}

// Observer is told what workers do.
type Observer interface {
	Started(w *Worker, s backend.Start, at time.Time)
	Ended(w *Worker, e backend.End, at time.Time)
	// Acknowledged tells that an end will not be listed again.
	Acknowledged(w *Worker, e backend.End, at time.Time)
}

// run is a task at work.
type run struct {
	task   work.TaskID
	number int64
	demand Demand
	begun  time.Time
	// stopped is when a stop was ordered; zero while it was not.
	stopped time.Time
}

// Worker is one life of an emulated worker.
type Worker struct {
	Registration backend.Registration
	// Rate is the speed of the worker's clock.
	Rate float64
	born time.Time
	// token is the highest seen.
	token    int64
	deadline time.Duration
	running  map[work.TaskID]*run
	// ended holds the runs that ended, of each task the highest.
	highest  map[work.TaskID]int64
	ends     []backend.End
	number   int64
	demand   func(work.TaskID) Demand
	observer Observer
}

// stopTime is how long a run takes to end once it was told to.
const stopTime = 400 * time.Millisecond

// maxLease is the longest lease that a worker grants.
const maxLease = 6 * time.Second

// New returns a worker that starts now.
func New(r backend.Registration, rate float64, now time.Time, demand func(work.TaskID) Demand, o Observer) *Worker {
	return &Worker{Registration: r, Rate: rate, born: now, running: map[work.TaskID]*run{}, highest: map[work.TaskID]int64{}, demand: demand, observer: o}
}

// Clock returns the worker's clock.
func (w *Worker) Clock(now time.Time) time.Duration {
	return time.Millisecond + time.Duration(float64(now.Sub(w.born))*w.Rate)
}

// Used sums the room of what runs.
func (w *Worker) Used() resource.Vector {
	var used resource.Vector
	for _, r := range w.running {
		used = used.Add(r.demand.Room)
	}
	return used
}

// Running lists the tasks at work.
func (w *Worker) Running() []work.TaskID { return slices.Collect(maps.Keys(w.running)) }

// Advance ends what is over by now, each run for what came first.
func (w *Worker) Advance(now time.Time) {
	lapsed := w.Clock(now) > w.deadline
	for _, r := range w.sorted() {
		end := r.begun.Add(r.demand.RunTime)
		over := !r.demand.Lasting && !now.Before(end) && (!lapsed || w.Clock(end) <= w.deadline)
		switch {
		case !r.stopped.IsZero() && now.Sub(r.stopped) >= stopTime:
			w.end(r, backend.Stopped, now)
		case over && r.demand.Fails:
			w.end(r, backend.Failed, now)
		case over:
			w.end(r, backend.Done, now)
		case lapsed:
			w.end(r, backend.Lapsed, now)
		}
	}
}

func (w *Worker) sorted() []*run {
	return slices.SortedFunc(maps.Values(w.running), func(a, b *run) int { return cmp.Compare(a.task.String(), b.task.String()) })
}

func (w *Worker) end(r *run, how backend.Outcome, now time.Time) {
	delete(w.running, r.task)
	w.number++
	e := backend.End{Number: w.number, Task: r.task, Run: r.number, Outcome: how}
	w.ends = append(w.ends, e)
	w.observer.Ended(w, e, now)
}

// extend notes the deadline of an order; it never shortens.
func (w *Worker) extend(deadline time.Duration, now time.Time) {
	w.deadline = max(w.deadline, min(deadline, w.Clock(now)+maxLease))
}

// Start carries out an order. The empty kind is success.
func (w *Worker) Start(s backend.Start, now time.Time) backend.Kind {
	w.Advance(now)
	if s.Token < w.token {
		return backend.KindFenced
	}
	w.token = s.Token
	if r := w.running[s.Task]; r != nil && r.number == s.Run {
		return ""
	}
	if w.Clock(now) > s.Deadline {
		return backend.KindLate
	}
	w.extend(s.Deadline, now)
	if s.Run <= w.highest[s.Task] {
		return backend.KindStaleRun
	}
	w.highest[s.Task] = s.Run
	w.running[s.Task] = &run{task: s.Task, number: s.Run, demand: w.demand(s.Task), begun: now}
	w.observer.Started(w, s, now)
	return ""
}

// Stop carries out an order to stop.
func (w *Worker) Stop(s backend.Stop, now time.Time) backend.Kind {
	w.Advance(now)
	if s.Token < w.token {
		return backend.KindFenced
	}
	w.token = s.Token
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	if r := w.running[s.Task]; r != nil && r.number <= s.Run && r.stopped.IsZero() {
		r.stopped = now
	}
	return ""
}

// Hold extends the lease and reports.
func (w *Worker) Hold(h backend.Hold, now time.Time) (backend.Report, backend.Kind) {
	w.Advance(now)
	if h.Token < w.token {
		return backend.Report{}, backend.KindFenced
	}
	w.token = h.Token
	if h.Deadline > 0 {
		w.extend(h.Deadline, now)
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Number > h.Acknowledged {
			kept = append(kept, e)
		} else {
			w.observer.Acknowledged(w, e, now)
		}
	}
	w.ends = kept
	r := backend.Report{Life: w.Registration.Life, Clock: w.Clock(now), Ended: slices.Clone(w.ends)}
	for _, v := range w.sorted() {
		r.Running = append(r.Running, backend.Run{Task: v.task, Run: v.number})
	}
	return r, ""
}
