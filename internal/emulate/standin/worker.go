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

// WorkPayload is the JSON payload for stand-in workers. If a payload cannot be
// decoded, the attempt runs for its declared run time and succeeds.
type WorkPayload struct {
	// RunMilliseconds is the actual run time; the declared one may differ.
	RunMilliseconds int64 `json:"run_milliseconds"`
	// Nonce is returned in the answer, so that callers can check that the answer
	// belongs to their request.
	Nonce string `json:"nonce"`
	// AnswerBytes is the length of the padding in the answer.
	AnswerBytes int `json:"answer_bytes"`
	// Fail makes every attempt of the work fail.
	Fail bool `json:"fail"`
}

// WorkAnswer is the JSON answer of an attempt that finished.
type WorkAnswer struct {
	Nonce   string `json:"nonce"`
	Worker  string `json:"worker"`
	Padding string `json:"padding"`
}

const (
	// endedAttemptRetention is how long a worker keeps the records of ended
	// attempts.
	endedAttemptRetention = 10 * time.Minute
	// maxSyncWait limits how long one Sync waits for ended attempts.
	maxSyncWait = 30 * time.Second
	// checkpointDuration is how long a checkpoint takes before the attempt is stopped.
	checkpointDuration = 50 * time.Millisecond
)

// AttemptRun is one started attempt in a worker's history. Tests and the load
// program compare the history with the outcomes that callers received.
type AttemptRun struct {
	Attempt    string    `json:"attempt"`
	Worker     string    `json:"worker"`
	Plan       string    `json:"plan"`
	Class      string    `json:"class"`
	Repeatable bool      `json:"repeatable"`
	StartedAt  time.Time `json:"started"`
	// EndedAt is zero while the attempt runs.
	EndedAt time.Time    `json:"ended"`
	Phase   worker.Phase `json:"phase"`
	// Size is the amount of resources that the attempt declared.
	Size resource.Vector `json:"size"`
}

// History lists the attempts that a worker has started since its creation.
type History struct {
	Worker   string          `json:"worker"`
	Capacity resource.Vector `json:"capacity"`
	Runs     []AttemptRun    `json:"runs"`
	// OverfilledStarts counts the starts after which the declared sizes of the
	// running attempts exceeded the worker's capacity.
	OverfilledStarts int `json:"overfilled"`
}

// Worker is one stand-in worker VM. It implements worker.Peer and is safe for
// concurrent use.
type Worker struct {
	name     string
	rack     string
	capacity resource.Vector

	mutex sync.Mutex
	// token is the fencing token of the last accepted Adopt. It is the highest one
	// so far, because Adopt refuses lower ones.
	token worker.Token
	// leaseEnd is when the lease lapses. It is zero before the first adoption.
	leaseEnd time.Time
	// records holds running and recently ended attempts by their ID.
	records map[string]*attemptState
	// lastSequence is the sequence number of the latest phase change. All attempts
	// share one sequence.
	lastSequence uint64
	// used is the total declared size of the running attempts.
	used resource.Vector
	// changed is closed and replaced on each change, to wake waiting Syncs.
	changed          chan struct{}
	history          []AttemptRun
	overfilledStarts int
	failAll          bool
	silent           bool
}

// attemptState is the record of an attempt and what the worker needs to end it.
type attemptState struct {
	worker.Record
	// timer ends the attempt after its run time.
	timer *time.Timer
	// historyIndex is the attempt's index in Worker.history, or -1 if it never ran.
	historyIndex int
	endedAt      time.Time
}

// summary returns the record for a reply. Its attempt contains only the ID.
func (r *attemptState) summary() worker.Record {
	b := r.Record
	b.Attempt = worker.Attempt{ID: r.Attempt.ID}
	return b
}

// NewWorker returns an idle worker.
func NewWorker(name, rack string, capacity resource.Vector) *Worker {
	return &Worker{name: name, rack: rack, capacity: capacity, records: map[string]*attemptState{}, changed: make(chan struct{})}
}

// notifyWaiters wakes all waiting Syncs. The caller must hold the mutex. This
// applies to all unexported methods of Worker except pollRecords and isSilent.
func (w *Worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// setPhase sets the phase of an attempt and gives it the next sequence number. When
// a running attempt ends, its resources are released.
func (w *Worker) setPhase(r *attemptState, p worker.Phase, reason string) {
	if r.Phase == worker.Running && p != worker.Running && r.historyIndex >= 0 {
		w.used = w.used.Sub(r.Attempt.Size)
		w.history[r.historyIndex].EndedAt = time.Now()
		w.history[r.historyIndex].Phase = p
	}
	w.lastSequence++
	r.Phase, r.Reason, r.Sequence = p, reason, w.lastSequence
	if p.Ended() {
		r.endedAt = time.Now()
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	w.notifyWaiters()
}

// expireLease stops all running attempts if the lease has lapsed.
func (w *Worker) expireLease() {
	if w.leaseEnd.IsZero() || time.Now().Before(w.leaseEnd) {
		return
	}
	for _, r := range w.records {
		if r.Phase == worker.Running {
			w.setPhase(r, worker.Stopped, "lease_lapsed")
		}
	}
}

// pruneRecords deletes the records of attempts that ended longer ago than
// endedAttemptRetention.
func (w *Worker) pruneRecords() {
	for id, r := range w.records {
		if r.Phase.Ended() && time.Since(r.endedAt) > endedAttemptRetention {
			delete(w.records, id)
		}
	}
}

// checkToken returns a StatusError with status 409 unless t is the token of the
// last accepted Adopt. If the lease has lapsed, it first stops the running
// attempts.
func (w *Worker) checkToken(t worker.Token) error {
	w.expireLease()
	if t != w.token {
		return &jsonhttp.StatusError{Code: http.StatusConflict, Message: fmt.Sprintf("adopted by %s at epoch %d", w.token.Owner, w.token.Epoch)}
	}
	return nil
}

// renewLease sets the lease to end after the given time and schedules the check
// for its end. It does nothing when lease is not positive.
func (w *Worker) renewLease(lease time.Duration) {
	if lease <= 0 {
		return
	}
	until := time.Now().Add(lease)
	w.leaseEnd = until
	time.AfterFunc(lease+time.Millisecond, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.leaseEnd.Equal(until) {
			w.expireLease()
		}
	})
}

// Adopt implements worker.Peer. Only a token that is higher than the current one is
// accepted.
func (w *Worker) Adopt(_ context.Context, q worker.AdoptRequest) (worker.AdoptReply, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expireLease()
	if !w.token.Less(q.Token) {
		return worker.AdoptReply{Current: w.token}, nil
	}
	w.token = q.Token
	w.renewLease(q.Lease)
	w.pruneRecords()
	reply := worker.AdoptReply{Accepted: true, Current: w.token, Capacity: w.capacity, Rack: w.rack, Sequence: w.lastSequence}
	for _, r := range w.records {
		listed := r.Record
		listed.Attempt.Payload = nil
		reply.Records = append(reply.Records, listed)
	}
	w.notifyWaiters()
	return reply, nil
}

// Start implements worker.Peer. If the attempt is known already, it only returns
// the record of the attempt. It returns a StatusError with status 409 when the
// token is not that of the last accepted Adopt, and with status 422 when the
// lease has lapsed.
func (w *Worker) Start(_ context.Context, q worker.StartRequest) (worker.Record, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.checkToken(q.Token); err != nil {
		return worker.Record{}, err
	}
	if r, ok := w.records[q.Attempt.ID]; ok {
		return r.summary(), nil
	}
	if !time.Now().Before(w.leaseEnd) {
		return worker.Record{}, &jsonhttp.StatusError{Code: http.StatusUnprocessableEntity, Message: "lease lapsed"}
	}
	r := &attemptState{Record: worker.Record{Attempt: q.Attempt, Phase: worker.Running}, historyIndex: len(w.history)}
	w.records[q.Attempt.ID] = r
	w.used = w.used.Add(q.Attempt.Size)
	if !w.used.Fits(w.capacity) {
		w.overfilledStarts++
	}
	w.history = append(w.history, AttemptRun{
		Attempt: q.Attempt.ID, Worker: w.name, Plan: q.Attempt.Plan, Class: q.Attempt.Class,
		Repeatable: q.Attempt.Repeatable, StartedAt: time.Now(), Phase: worker.Running,
		Size: q.Attempt.Size,
	})
	w.setPhase(r, worker.Running, "")
	w.scheduleEnd(r)
	return r.summary(), nil
}

// scheduleEnd starts the timer after which an attempt finishes or fails.
func (w *Worker) scheduleEnd(r *attemptState) {
	var work WorkPayload
	if err := json.Unmarshal(r.Attempt.Payload, &work); err != nil {
		work = WorkPayload{RunMilliseconds: r.Attempt.RunTime.Milliseconds()}
	}
	fail := work.Fail || w.failAll
	runTime := time.Duration(work.RunMilliseconds) * time.Millisecond
	if w.failAll {
		runTime = 0
	}
	r.timer = time.AfterFunc(runTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.expireLease()
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

// Sync implements worker.Peer. It renews the lease once. Then it waits until
// there is an ended attempt whose sequence number is above q.After, for at most
// the shorter of q.Wait and maxSyncWait.
func (w *Worker) Sync(ctx context.Context, q worker.SyncRequest) (worker.SyncReply, error) {
	deadline := time.NewTimer(min(q.Wait, maxSyncWait))
	defer deadline.Stop()
	for first := true; ; first = false {
		reply, changed, err := w.pollRecords(q, first)
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

// pollRecords returns, without waiting, the records of the ended attempts whose
// sequence numbers are above q.After. It also returns the channel that is closed
// on the next change. If renew is set, it renews the lease.
func (w *Worker) pollRecords(q worker.SyncRequest, renew bool) (worker.SyncReply, <-chan struct{}, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.checkToken(q.Token); err != nil {
		return worker.SyncReply{}, nil, err
	}
	if renew {
		w.renewLease(q.Lease)
	}
	reply := worker.SyncReply{Sequence: w.lastSequence, Used: w.used}
	for _, r := range w.records {
		if r.Sequence > q.After && r.Phase.Ended() {
			reply.Records = append(reply.Records, r.summary())
		}
	}
	return reply, w.changed, nil
}

// Stop implements worker.Peer. An attempt that has not started is recorded as
// fenced, so that a later Start does not run it. The mode Throttle has no effect
// on a running attempt.
func (w *Worker) Stop(_ context.Context, q worker.StopRequest) (worker.StopReply, error) {
	if q.Mode == worker.Checkpoint {
		time.Sleep(checkpointDuration)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.checkToken(q.Token); err != nil {
		return worker.StopReply{}, err
	}
	r, ok := w.records[q.Attempt]
	switch {
	case !ok:
		r = &attemptState{Record: worker.Record{Attempt: worker.Attempt{ID: q.Attempt}}, historyIndex: -1}
		w.records[q.Attempt] = r
		w.setPhase(r, worker.Fenced, "stopped_before_start")
	case r.Phase == worker.Running && q.Mode != worker.Throttle:
		w.setPhase(r, worker.Stopped, string(q.Mode))
	}
	return worker.StopReply{Record: r.summary()}, nil
}

// WorkerFault is the set of faults to simulate; the zero value means none.
type WorkerFault struct {
	// FailAll makes every attempt that starts fail immediately.
	FailAll bool `json:"fail_all"`
	// Silent makes the worker accept connections but not respond to any request.
	Silent bool `json:"silent"`
}

// SetFault replaces the simulated faults.
func (w *Worker) SetFault(f WorkerFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failAll, w.silent = f.FailAll, f.Silent
}

// isSilent reports whether the fault Silent is set.
func (w *Worker) isSilent() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent
}

// History returns a copy of the worker's history.
func (w *Worker) History() History {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.expireLease()
	return History{Worker: w.name, Capacity: w.capacity, Runs: append([]AttemptRun(nil), w.history...), OverfilledStarts: w.overfilledStarts}
}

// Handler returns the HTTP handler of the worker protocol.
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
