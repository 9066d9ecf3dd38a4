package memory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// Fleet runs emulated workers in real time and connects the scheduler under test to
// them. It is safe for concurrent use.
type Fleet struct {
	mutex       sync.Mutex
	workers     map[backend.Life]*fleet.Worker
	taskProfile func(work.TaskID) fleet.TaskProfile
	// observer is notified of what happens on the workers. Its methods are called while
	// mutex is held.
	observer fleet.Observer
	// startCounts counts the started runs of each task.
	startCounts map[work.TaskID]int
}

// NewFleet returns a fleet without workers, on which every task takes runTime.
func NewFleet(runTime time.Duration) *Fleet {
	f := NewObservedFleet(func(work.TaskID) fleet.TaskProfile { return fleet.TaskProfile{RunTime: runTime} }, nil)
	f.observer = f
	return f
}

// NewObservedFleet returns a fleet without workers. taskProfile returns how a task
// behaves, and the observer is notified of what happens on the workers.
func NewObservedFleet(taskProfile func(work.TaskID) fleet.TaskProfile, observer fleet.Observer) *Fleet {
	return &Fleet{workers: map[backend.Life]*fleet.Worker{}, taskProfile: taskProfile, observer: observer, startCounts: map[work.TaskID]int{}}
}

// Start starts a worker, whose clock runs at clockRate, without registering it.
func (f *Fleet) Start(r backend.Registration, clockRate float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.workers[r.Life] = fleet.New(r, clockRate, time.Now(), f.taskProfile, f.observer)
}

// Remove ends a worker process with all its runs. It calls removed before any worker
// executes another order.
func (f *Fleet) Remove(life backend.Life, removed func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.workers, life)
	removed()
}

// Advance makes all workers end the runs that are over at now.
func (f *Fleet) Advance(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, w := range f.workers {
		w.Advance(now)
	}
}

// Running returns the tasks that run on any worker.
func (f *Fleet) Running() map[work.TaskID]bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	running := map[work.TaskID]bool{}
	for _, w := range f.workers {
		for _, id := range w.Running() {
			running[id] = true
		}
	}
	return running
}

// Add starts a worker and registers it in the store's Workers topic under its ID.
func (f *Fleet) Add(s *Store, r backend.Registration) error {
	f.Start(r, 1)
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.Append(store.Append{Topic: store.Workers, Records: []store.Record{{Key: r.Life.ID, Value: value}}})
	return err
}

// DecodeRegistration decodes the value of a record that Add stored. It ignores
// the key and the time.
func DecodeRegistration(_ string, data []byte, _ time.Time) (backend.Registration, error) {
	var r backend.Registration
	err := json.Unmarshal(data, &r)
	return r, err
}

// StartCount returns how many runs of a task were started.
func (f *Fleet) StartCount(t work.TaskID) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.startCounts[t]
}

// Started implements fleet.Observer. The caller holds the mutex.
func (f *Fleet) Started(_ *fleet.Worker, s backend.Start, _ time.Time) { f.startCounts[s.Task]++ }

// Ended implements fleet.Observer and does nothing.
func (f *Fleet) Ended(*fleet.Worker, backend.EndedRun, time.Time) {}

// Acknowledged implements fleet.Observer and does nothing.
func (f *Fleet) Acknowledged(*fleet.Worker, backend.EndedRun, time.Time) {}

// Dial returns a connection to a worker. If Add has not started the worker, each
// order over the connection fails with KindUnknown.
func (f *Fleet) Dial(r backend.Registration) backend.Worker { return &connection{f, r.Life} }

// Advise implements backend.Adviser and returns a ticket for every worker.
func (f *Fleet) Advise(_ context.Context, _ work.StepID, workers []string) (backend.Advice, error) {
	a := backend.Advice{Tickets: map[string]string{}, Validity: 2 * time.Second}
	for _, w := range workers {
		a.Tickets[w] = "ticket"
	}
	return a, nil
}

// connection implements backend.Worker by calling an emulated worker.
type connection struct {
	fleet *Fleet
	life  backend.Life
}

// callWorker runs call with the worker while holding the fleet's mutex. It returns
// an error when the worker does not exist or call returns a non-empty Kind.
func (c *connection) callWorker(operation string, call func(w *fleet.Worker) backend.Kind) error {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	w := c.fleet.workers[c.life]
	if w == nil {
		return fault.Newf(operation, backend.KindUnknown, "no such worker")
	}
	if kind := call(w); kind != "" {
		return fault.Newf(operation, kind, "the worker refused the order")
	}
	return nil
}

// Start implements backend.Worker.
func (c *connection) Start(_ context.Context, s backend.Start) (clock time.Duration, err error) {
	err = c.callWorker("start", func(w *fleet.Worker) backend.Kind {
		clock = w.Clock(time.Now())
		return w.Start(s, time.Now())
	})
	return clock, err
}

// Stop implements backend.Worker.
func (c *connection) Stop(_ context.Context, s backend.Stop) error {
	return c.callWorker("stop", func(w *fleet.Worker) backend.Kind { return w.Stop(s, time.Now()) })
}

// Pace implements backend.Worker. Emulated workers ignore the speed.
func (c *connection) Pace(context.Context, backend.Pace) error { return nil }

// holdPollInterval is how often a waiting Hold checks for ended runs.
const holdPollInterval = 5 * time.Millisecond

// Hold implements backend.Worker. It returns when at least one ended run is
// unacknowledged or h.Wait has passed. The order takes effect when it arrives: runs that
// end during the wait are not acknowledged by it.
func (c *connection) Hold(ctx context.Context, h backend.Hold) (report backend.Report, err error) {
	deadline := time.Now().Add(h.Wait)
	for {
		err = c.callWorker("hold", func(w *fleet.Worker) (kind backend.Kind) {
			report, kind = w.Hold(h, time.Now())
			return kind
		})
		if err != nil || len(report.Ended) > 0 || time.Now().After(deadline) {
			return report, err
		}
		h.Deadline, h.Acknowledged = 0, 0
		select {
		case <-ctx.Done():
			return report, fault.New("hold", backend.KindUnknown, ctx.Err())
		case <-time.After(holdPollInterval):
		}
	}
}

// Close implements backend.Worker and does nothing.
func (c *connection) Close() {}
