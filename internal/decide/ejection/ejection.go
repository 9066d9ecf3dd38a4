// Package ejection takes workers that fail what others complete out of use, and
// probes them again. It does no I/O; its owner serialises access.
package ejection

import "time"

const (
	// consecutiveFailures ejects a worker.
	consecutiveFailures = 4
	// maxFraction bounds how much of the fleet may be out at once.
	maxFraction = 0.34
	// The pause before a probe doubles with each failed probe.
	firstPause = 5 * time.Second
	maxPause   = 2 * time.Minute
	// healthyRatio is the success of a kind of work on the other workers above
	// which a failure counts against the worker and not against the work.
	healthyRatio = 0.5
	// decay weighs the newest outcome of a kind of work.
	decay = 0.1
)

// State is the state of one worker.
type State int

// The states of a worker.
const (
	Closed State = iota
	// Open workers get no work.
	Open
	// HalfOpen workers get one task as a probe.
	HalfOpen
)

type worker struct {
	state    State
	failures int
	until    time.Time
	pause    time.Duration
	probing  bool
	// kinds holds the success of each kind of work on this worker alone.
	kinds map[string]*ratio
}

type ratio struct {
	success float64
	seen    bool
}

func (r *ratio) add(ok bool) {
	value := 0.0
	if ok {
		value = 1
	}
	if !r.seen {
		r.success, r.seen = value, true
		return
	}
	r.success += decay * (value - r.success)
}

// Tracker follows the outcomes of a fleet.
type Tracker struct {
	workers map[string]*worker
}

// New returns a tracker without workers.
func New() *Tracker { return &Tracker{workers: map[string]*worker{}} }

// Add adds a worker; a known one keeps its state.
func (t *Tracker) Add(name string) {
	if t.workers[name] == nil {
		t.workers[name] = &worker{pause: firstPause, kinds: map[string]*ratio{}}
	}
}

// Remove forgets a worker.
func (t *Tracker) Remove(name string) { delete(t.workers, name) }

// Outcome takes in how an attempt of a kind of work ended on a worker.
func (t *Tracker) Outcome(now time.Time, name, kind string, ok bool) {
	w := t.workers[name]
	if w == nil {
		return
	}
	k := w.kinds[kind]
	if k == nil {
		k = &ratio{}
		w.kinds[kind] = k
	}
	k.add(ok)
	w.probing = false
	if ok {
		w.failures = 0
		if w.state == HalfOpen {
			w.state, w.pause = Closed, firstPause
		}
		return
	}
	if !t.healthyElsewhere(name, kind) {
		return
	}
	w.failures++
	switch {
	case w.state == HalfOpen:
		w.pause = min(2*w.pause, maxPause)
		w.state, w.until = Open, now.Add(w.pause)
	case w.state == Closed && w.failures >= consecutiveFailures && t.mayEject():
		w.state, w.until = Open, now.Add(w.pause)
	}
}

// healthyElsewhere reports whether a kind of work succeeds on the other
// workers; when it fails everywhere, the work is at fault.
func (t *Tracker) healthyElsewhere(name, kind string) bool {
	sum, n := 0.0, 0
	for other, w := range t.workers {
		if k := w.kinds[kind]; other != name && k != nil {
			sum += k.success
			n++
		}
	}
	return n > 0 && sum/float64(n) > healthyRatio
}

func (t *Tracker) mayEject() bool {
	out := 1
	for _, w := range t.workers {
		if w.state != Closed {
			out++
		}
	}
	return float64(out) <= max(1, maxFraction*float64(len(t.workers))) && len(t.workers) > 1
}

// Allows reports whether a worker may get work now.
func (t *Tracker) Allows(now time.Time, name string) bool {
	w := t.workers[name]
	if w == nil {
		return true
	}
	if w.state == Open && !now.Before(w.until) {
		w.state, w.probing = HalfOpen, false
	}
	return w.state == Closed || w.state == HalfOpen && !w.probing
}

// Started notes that a worker got work. A half-open worker gets no more until
// the outcome is known.
func (t *Tracker) Started(name string) {
	if w := t.workers[name]; w != nil && w.state == HalfOpen {
		w.probing = true
	}
}

// StateOf returns the state of a worker.
func (t *Tracker) StateOf(name string) State {
	if w := t.workers[name]; w != nil {
		return w.state
	}
	return Closed
}
