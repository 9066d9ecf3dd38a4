// Package ejection detects workers on which tasks fail that succeed on other
// workers, and ejects them: they get no more tasks. Each worker has a circuit
// breaker, which allows one task as a probe after a backoff. The package does
// no I/O and is not safe for concurrent use.
package ejection

import "time"

const (
	// failuresToEject is the number of consecutive failures after which a
	// worker is ejected.
	failuresToEject = 4
	// maxEjectedFraction is the maximum fraction of the workers that may be
	// ejected at the same time.
	maxEjectedFraction = 0.34
	// initialBackoff is the time from the ejection of a worker to its first
	// probe. The backoff doubles with each failed probe, up to maxBackoff.
	initialBackoff = 5 * time.Second
	maxBackoff     = 2 * time.Minute
	// healthySuccessRate is the success rate that a kind of task must exceed on
	// the other workers for its failure to count against a worker. At or below
	// it, the task itself is assumed to be faulty.
	healthySuccessRate = 0.5
	// smoothingFactor is the weight of the newest outcome in the moving average
	// of a success rate.
	smoothingFactor = 0.1
)

// State is the state of the circuit breaker of a worker.
type State int

// The states of a worker.
const (
	// Closed means that the worker gets tasks.
	Closed State = iota
	// Open means that the worker is ejected and gets no tasks.
	Open
	// HalfOpen means that the worker gets one task as a probe, whose outcome
	// closes or reopens the circuit breaker.
	HalfOpen
)

type worker struct {
	state               State
	consecutiveFailures int
	openUntil           time.Time
	backoff             time.Duration
	probeInFlight       bool
	// successRateByKind holds the success rate on this worker of each kind of
	// task.
	successRateByKind map[string]*successRate
}

// successRate is an exponential moving average of outcomes, from 0 to 1.
type successRate struct {
	average     float64
	initialised bool
}

func (r *successRate) observe(ok bool) {
	outcome := 0.0
	if ok {
		outcome = 1
	}
	if !r.initialised {
		r.average, r.initialised = outcome, true
		return
	}
	r.average += smoothingFactor * (outcome - r.average)
}

// Tracker records the outcomes of tasks on workers and decides which workers
// are ejected.
type Tracker struct {
	workers map[string]*worker
}

// New returns a tracker without workers.
func New() *Tracker { return &Tracker{workers: map[string]*worker{}} }

// Add adds a worker. A worker that is known already keeps its state.
func (t *Tracker) Add(name string) {
	if t.workers[name] == nil {
		t.workers[name] = &worker{backoff: initialBackoff, successRateByKind: map[string]*successRate{}}
	}
}

// Remove removes a worker and its state.
func (t *Tracker) Remove(name string) { delete(t.workers, name) }

// RecordOutcome records whether a task of a kind succeeded on a worker, and
// updates the state of the worker. Unknown workers are ignored.
func (t *Tracker) RecordOutcome(now time.Time, name, kind string, ok bool) {
	w := t.workers[name]
	if w == nil {
		return
	}
	k := w.successRateByKind[kind]
	if k == nil {
		k = &successRate{}
		w.successRateByKind[kind] = k
	}
	k.observe(ok)
	w.probeInFlight = false
	if ok {
		w.consecutiveFailures = 0
		if w.state == HalfOpen {
			w.state, w.backoff = Closed, initialBackoff
		}
		return
	}
	if !t.kindSucceedsOnOtherWorkers(name, kind) {
		return
	}
	w.consecutiveFailures++
	switch {
	case w.state == HalfOpen:
		w.backoff = min(2*w.backoff, maxBackoff)
		w.state, w.openUntil = Open, now.Add(w.backoff)
	case w.state == Closed && w.consecutiveFailures >= failuresToEject && t.canEjectAnotherWorker():
		w.state, w.openUntil = Open, now.Add(w.backoff)
	}
}

// kindSucceedsOnOtherWorkers reports whether a kind of task usually succeeds on the
// other workers. If it fails there too, the task is at fault and not the
// worker.
func (t *Tracker) kindSucceedsOnOtherWorkers(name, kind string) bool {
	sum, n := 0.0, 0
	for other, w := range t.workers {
		if k := w.successRateByKind[kind]; other != name && k != nil {
			sum += k.average
			n++
		}
	}
	return n > 0 && sum/float64(n) > healthySuccessRate
}

// canEjectAnotherWorker reports whether one more worker may be ejected. The first worker may
// be ejected even if it is more than maxEjectedFraction of the workers, but
// never if it is the only worker.
func (t *Tracker) canEjectAnotherWorker() bool {
	ejected := 1
	for _, w := range t.workers {
		if w.state != Closed {
			ejected++
		}
	}
	return float64(ejected) <= max(1, maxEjectedFraction*float64(len(t.workers))) && len(t.workers) > 1
}

// Allows reports whether a worker may get a task now. An open worker becomes
// half-open when its backoff is over. Unknown workers are allowed.
func (t *Tracker) Allows(now time.Time, name string) bool {
	w := t.workers[name]
	if w == nil {
		return true
	}
	if w.state == Open && !now.Before(w.openUntil) {
		w.state, w.probeInFlight = HalfOpen, false
	}
	return w.state == Closed || w.state == HalfOpen && !w.probeInFlight
}

// RecordStart records that a task was started on a worker. A half-open worker is
// not allowed another task until the outcome of this one is recorded.
func (t *Tracker) RecordStart(name string) {
	if w := t.workers[name]; w != nil && w.state == HalfOpen {
		w.probeInFlight = true
	}
}

// StateOf returns the state of a worker. Unknown workers are closed.
func (t *Tracker) StateOf(name string) State {
	if w := t.workers[name]; w != nil {
		return w.state
	}
	return Closed
}
