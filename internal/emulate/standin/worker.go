package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
	"github.com/almondpost/almondpost/internal/peer/worker"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Work is the payload that a stand-in worker understands.
type Work struct {
	// RunMilliseconds is the true run time.
	RunMilliseconds int64 `json:"run_milliseconds"`
	// Nonce is echoed in the answer, so that a caller recognises its own.
	Nonce string `json:"nonce"`
	// AnswerBytes pads the answer to a length.
	AnswerBytes int `json:"answer_bytes"`
	// Fail makes every attempt of the work fail.
	Fail bool `json:"fail"`
}

// WorkAnswer is what a stand-in worker answers.
type WorkAnswer struct {
	Nonce   string `json:"nonce"`
	Worker  string `json:"worker"`
	Padding string `json:"padding"`
}

const (
	// endedRetention is how long ended attempts stay in the records.
	endedRetention = 10 * time.Minute
	maxSyncWait    = 30 * time.Second
	// checkpointTime is how long a checkpoint takes.
	checkpointTime = 50 * time.Millisecond
)

// Run is one entry of a worker's own history, which checkers compare with what
// callers saw.
type Run struct {
	Attempt    string    `json:"attempt"`
	Worker     string    `json:"worker"`
	Plan       string    `json:"plan"`
	Class      string    `json:"class"`
	Repeatable bool      `json:"repeatable"`
	Started    time.Time `json:"started"`
	// Ended is zero while the attempt runs.
	Ended time.Time    `json:"ended"`
	Phase worker.Phase `json:"phase"`
	// Size is the declared size, for sums of use.
	Size resource.Vector `json:"size"`
}

// History is a worker's own account of what happened on it.
type History struct {
	Worker     string          `json:"worker"`
	Capacity   resource.Vector `json:"capacity"`
	Runs       []Run           `json:"runs"`
	Overfilled int             `json:"overfilled"`
}

// Worker is one stand-in worker VM. It implements worker.Peer.
type Worker struct {
	name     string
	rack     string
	capacity resource.Vector

	mutex      sync.Mutex
	token      worker.Token
	leaseUntil time.Time
	records    map[string]*record
	sequence   uint64
	used       resource.Vector
	changed    chan struct{}
	history    []Run
	overfilled int
	failAll    bool
	silent     bool
}

type record struct {
	worker.Record
	timer   *time.Timer
	history int
	ended   time.Time
}

// brief returns the record with only the ID of its attempt.
func (r *record) brief() worker.Record {
	b := r.Record
	b.Attempt = worker.Attempt{ID: r.Attempt.ID}
	return b
}

// NewWorker returns an idle worker.
func NewWorker(name, rack string, capacity resource.Vector) *Worker {
	return &Worker{name: name, rack: rack, capacity: capacity, records: map[string]*record{}, changed: make(chan struct{})}
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) setPhase(r *record, p worker.Phase, reason string) {
	if r.Phase == worker.Running && p != worker.Running && r.history >= 0 {
		w.used = w.used.Sub(r.Attempt.Size)
		w.history[r.history].Ended = time.Now()
		w.history[r.history].Phase = p
	}
	w.sequence++
	r.Phase, r.Reason, r.Sequence = p, reason, w.sequence
	if p.Ended() {
		r.ended = time.Now()
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	w.notify()
}

// lapse stops everything when the lease has run out.
func (w *Worker) lapse() {
	if w.leaseUntil.IsZero() || time.Now().Before(w.leaseUntil) {
		return
	}
	for _, r := range w.records {
		if r.Phase == worker.Running {
			w.setPhase(r, worker.Stopped, "lease_lapsed")
		}
	}
}

func (w *Worker) prune() {
	for id, r := range w.records {
		if r.Phase.Ended() && time.Since(r.ended) > endedRetention {
			delete(w.records, id)
		}
	}
}

func (w *Worker) check(t worker.Token) error {
	w.lapse()
	if t != w.token {
		return &jsonhttp.StatusError{Code: http.StatusConflict, Message: fmt.Sprintf("adopted by %s at epoch %d", w.token.Owner, w.token.Epoch)}
	}
	return nil
}

func (w *Worker) renew(lease time.Duration) {
	if lease <= 0 {
		return
	}
	until := time.Now().Add(lease)
	w.leaseUntil = until
	time.AfterFunc(lease+time.Millisecond, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.leaseUntil.Equal(until) {
			w.lapse()
		}
	})
}

// Adopt implements worker.Peer.
func (w *Worker) Adopt(_ context.Context, q worker.AdoptRequest) (worker.AdoptReply, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lapse()
	if !w.token.Less(q.Token) {
		return worker.AdoptReply{Current: w.token}, nil
	}
	w.token = q.Token
	w.renew(q.Lease)
	w.prune()
	reply := worker.AdoptReply{Accepted: true, Current: w.token, Capacity: w.capacity, Rack: w.rack, Sequence: w.sequence}
	for _, r := range w.records {
		listed := r.Record
		listed.Attempt.Payload = nil
		reply.Records = append(reply.Records, listed)
	}
	w.notify()
	return reply, nil
}

// Start implements worker.Peer.
func (w *Worker) Start(_ context.Context, q worker.StartRequest) (worker.Record, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.check(q.Token); err != nil {
		return worker.Record{}, err
	}
	if r, ok := w.records[q.Attempt.ID]; ok {
		return r.brief(), nil
	}
	if !time.Now().Before(w.leaseUntil) {
		return worker.Record{}, &jsonhttp.StatusError{Code: http.StatusUnprocessableEntity, Message: "lease lapsed"}
	}
	r := &record{Record: worker.Record{Attempt: q.Attempt, Phase: worker.Running}, history: len(w.history)}
	w.records[q.Attempt.ID] = r
	w.used = w.used.Add(q.Attempt.Size)
	if !w.used.Fits(w.capacity) {
		w.overfilled++
	}
	w.history = append(w.history, Run{
		Attempt: q.Attempt.ID, Worker: w.name, Plan: q.Attempt.Plan, Class: q.Attempt.Class,
		Repeatable: q.Attempt.Repeatable, Started: time.Now(), Phase: worker.Running,
		Size: q.Attempt.Size,
	})
	w.setPhase(r, worker.Running, "")
	w.run(r)
	return r.brief(), nil
}

func (w *Worker) run(r *record) {
	var work Work
	if err := json.Unmarshal(r.Attempt.Payload, &work); err != nil {
		work = Work{RunMilliseconds: r.Attempt.RunTime.Milliseconds()}
	}
	fail := work.Fail || w.failAll
	length := time.Duration(work.RunMilliseconds) * time.Millisecond
	if w.failAll {
		length = 0
	}
	r.timer = time.AfterFunc(length, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.lapse()
		if r.Phase != worker.Running {
			return
		}
		if fail {
			w.setPhase(r, worker.Failed, "work_failed")
			return
		}
		padding := make([]byte, max(0, work.AnswerBytes))
		for i := range padding {
			padding[i] = 'a' + byte(i%26)
		}
		r.Answer, _ = json.Marshal(WorkAnswer{Nonce: work.Nonce, Worker: w.name, Padding: string(padding)})
		w.setPhase(r, worker.Finished, "")
	})
}

// Sync implements worker.Peer.
func (w *Worker) Sync(ctx context.Context, q worker.SyncRequest) (worker.SyncReply, error) {
	deadline := time.NewTimer(min(q.Wait, maxSyncWait))
	defer deadline.Stop()
	for first := true; ; first = false {
		reply, changed, err := w.sync(q, first)
		if err != nil || len(reply.Records) > 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

func (w *Worker) sync(q worker.SyncRequest, renew bool) (worker.SyncReply, <-chan struct{}, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.check(q.Token); err != nil {
		return worker.SyncReply{}, nil, err
	}
	if renew {
		w.renew(q.Lease)
	}
	reply := worker.SyncReply{Sequence: w.sequence, Used: w.used}
	for _, r := range w.records {
		if r.Sequence > q.After && r.Phase.Ended() {
			reply.Records = append(reply.Records, r.brief())
		}
	}
	return reply, w.changed, nil
}

// Stop implements worker.Peer.
func (w *Worker) Stop(_ context.Context, q worker.StopRequest) (worker.StopReply, error) {
	if q.Mode == worker.Checkpoint {
		time.Sleep(checkpointTime)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.check(q.Token); err != nil {
		return worker.StopReply{}, err
	}
	r, ok := w.records[q.Attempt]
	switch {
	case !ok:
		r = &record{Record: worker.Record{Attempt: worker.Attempt{ID: q.Attempt}}, history: -1}
		w.records[q.Attempt] = r
		w.setPhase(r, worker.Fenced, "stopped_before_start")
	case r.Phase == worker.Running && q.Mode != worker.Throttle:
		w.setPhase(r, worker.Stopped, string(q.Mode))
	}
	return worker.StopReply{Record: r.brief()}, nil
}

// WorkerFault switches faults of a worker on and off.
type WorkerFault struct {
	// FailAll makes everything that starts fail at once.
	FailAll bool `json:"fail_all"`
	// Silent makes the worker accept connections and answer nothing.
	Silent bool `json:"silent"`
}

// SetFault applies a fault.
func (w *Worker) SetFault(f WorkerFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failAll, w.silent = f.FailAll, f.Silent
}

func (w *Worker) isSilent() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent
}

// History returns the worker's own account.
func (w *Worker) History() History {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lapse()
	return History{Worker: w.name, Capacity: w.capacity, Runs: append([]Run(nil), w.history...), Overfilled: w.overfilled}
}

// Handler serves the worker protocol.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(s http.ResponseWriter, q *http.Request) {
			if w.isSilent() {
				<-q.Context().Done()
				return
			}
			next.ServeHTTP(s, q)
		})
	})
	r.Post("/v1/adopt", jsonhttp.Handler(w.Adopt))
	r.Post("/v1/start", jsonhttp.Handler(w.Start))
	r.Post("/v1/sync", jsonhttp.Handler(w.Sync))
	r.Post("/v1/stop", jsonhttp.Handler(w.Stop))
	return r
}
