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

// Fleet runs emulated workers in real time.
type Fleet struct {
	mutex   sync.Mutex
	workers map[backend.Life]*fleet.Worker
	runTime time.Duration
	starts  map[work.TaskID]int
}

// NewFleet returns a fleet whose tasks all run for a time.
func NewFleet(runTime time.Duration) *Fleet {
	return &Fleet{workers: map[backend.Life]*fleet.Worker{}, runTime: runTime, starts: map[work.TaskID]int{}}
}

// Add starts a worker and registers it in the store.
func (f *Fleet) Add(s *Store, r backend.Registration) error {
	f.mutex.Lock()
	f.workers[r.Life] = fleet.New(r, 1, time.Now(), func(work.TaskID) fleet.Demand { return fleet.Demand{RunTime: f.runTime} }, f)
	f.mutex.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.Append(store.Append{Topic: store.Workers, Records: []store.Record{{Key: r.Life.ID, Value: value}}})
	return err
}

// DecodeRegistration reads what Add has registered.
func DecodeRegistration(_ string, data []byte) (backend.Registration, error) {
	var r backend.Registration
	err := json.Unmarshal(data, &r)
	return r, err
}

// Starts returns how often a task was started.
func (f *Fleet) Starts(t work.TaskID) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.starts[t]
}

// Started implements fleet.Observer.
func (f *Fleet) Started(_ *fleet.Worker, s backend.Start, _ time.Time) { f.starts[s.Task]++ }

// Ended implements fleet.Observer.
func (f *Fleet) Ended(*fleet.Worker, backend.End, time.Time) {}

// Acknowledged implements fleet.Observer.
func (f *Fleet) Acknowledged(*fleet.Worker, backend.End, time.Time) {}

// Dial returns the connection to a worker.
func (f *Fleet) Dial(r backend.Registration) backend.Worker { return &connection{f, r.Life} }

// Advise implements backend.Adviser: every worker is good.
func (f *Fleet) Advise(_ context.Context, _ work.StepID, workers []string) (backend.Advice, error) {
	a := backend.Advice{Tickets: map[string]string{}, Validity: 2 * time.Second}
	for _, w := range workers {
		a.Tickets[w] = "ticket"
	}
	return a, nil
}

// connection carries orders to one worker.
type connection struct {
	fleet *Fleet
	life  backend.Life
}

func (c *connection) with(operation string, call func(w *fleet.Worker) backend.Kind) error {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	w := c.fleet.workers[c.life]
	if w == nil {
		return fault.Newf(operation, backend.KindUnknown, "no such worker")
	}
	if kind := call(w); kind != "" {
		return fault.Newf(operation, kind, "the worker refuses")
	}
	return nil
}

// Start implements backend.Worker.
func (c *connection) Start(_ context.Context, s backend.Start) (clock time.Duration, err error) {
	err = c.with("start", func(w *fleet.Worker) backend.Kind {
		clock = w.Clock(time.Now())
		return w.Start(s, time.Now())
	})
	return clock, err
}

// Stop implements backend.Worker.
func (c *connection) Stop(_ context.Context, s backend.Stop) error {
	return c.with("stop", func(w *fleet.Worker) backend.Kind { return w.Stop(s, time.Now()) })
}

// Pace implements backend.Worker.
func (c *connection) Pace(context.Context, backend.Pace) error { return nil }

// holdPoll is the pause between looks for an end while a hold waits.
const holdPoll = 5 * time.Millisecond

// Hold implements backend.Worker.
func (c *connection) Hold(ctx context.Context, h backend.Hold) (report backend.Report, err error) {
	end := time.Now().Add(h.Wait)
	for {
		err = c.with("hold", func(w *fleet.Worker) (kind backend.Kind) {
			report, kind = w.Hold(h, time.Now())
			return kind
		})
		if err != nil || len(report.Ended) > 0 || time.Now().After(end) {
			return report, err
		}
		select {
		case <-ctx.Done():
			return report, fault.New("hold", backend.KindUnknown, ctx.Err())
		case <-time.After(holdPoll):
		}
	}
}

// Close implements backend.Worker.
func (c *connection) Close() {}
