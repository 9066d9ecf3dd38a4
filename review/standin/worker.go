package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	stopTime     = 200 * time.Millisecond
)

// workerSettings describes a worker that does not change.
type workerSettings struct {
	id, service, zone string
	labels            [2]string
	cpu, memMb        int64
}

// workerStandIn is one life of a worker, which starts whatever it is told to start.
type workerStandIn struct {
	workerSettings
	installation *installation
	holdMax      time.Duration
	server       *http.Server
	address      string
	born         time.Time

	mutex    sync.Mutex
	crashed  bool
	token    int64
	deadline time.Duration
	running  map[string]*run
	// highest holds the highest run of each task that was stopped or ended here.
	highest map[string]int64
	// tickets holds the tickets of the advice service.
	tickets    map[string]ticketFor
	lastTicket int
	ends       []endedRun
	lastEnd    int64
	// changed is closed and replaced with each end.
	changed chan struct{}
}

type run struct {
	task     string
	number   int64
	started  time.Time
	length   time.Duration
	stopping bool
}

// ticketFor tells for which step a ticket holds, and until when.
type ticketFor struct {
	step  string
	until time.Time
}

type endedRun struct {
	number int64
	row    []any
}

func (in *installation) startWorker(s workerSettings) *workerStandIn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &workerStandIn{
		workerSettings: s, installation: in, holdMax: in.lease, address: l.Addr().String(), born: time.Now(),
		running: map[string]*run{}, highest: map[string]int64{}, tickets: map[string]ticketFor{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /-/run-start", w.handle(w.start))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /-/pace", w.handle(func(o *order) (int, map[string]any) { return http.StatusOK, nil }))
	mux.HandleFunc("POST /-/hold", w.handleHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.tick()
	in.workers = append(in.workers, w)
	return w
}

func (w *workerStandIn) clock() time.Duration { return time.Since(w.born) }

// beat writes the worker's entry to the store until the worker crashes. The entry is removed
// after three intervals of silence.
func (w *workerStandIn) beat() {
	for seq := 1; ; seq++ {
		w.mutex.Lock()
		crashed := w.crashed
		w.mutex.Unlock()
		if crashed {
			time.Sleep(2 * beatInterval)
			w.installation.store.put("keyed.servers", w.id, nil)
			return
		}
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.memMb, "gpu": 0}, "labels": w.labels, "clockMs": w.clock().Milliseconds(),
			"seq": seq, "born": w.born.UnixMilli(),
		})
		w.installation.store.put("keyed.servers", w.id, entry)
		time.Sleep(beatInterval)
	}
}

// crash ends the worker for good: it runs nothing and answers nothing.
func (w *workerStandIn) crash() {
	w.mutex.Lock()
	w.crashed = true
	for _, r := range w.running {
		w.installation.record.event("lost", "worker", w.id, "task", r.task, "run", r.number)
	}
	w.running = map[string]*run{}
	w.mutex.Unlock()
	w.installation.record.event("crash", "worker", w.id)
	_ = w.server.Close()
}

// tick ends the runs whose time has come and, when the lease is over, all of them.
func (w *workerStandIn) tick() {
	for range time.Tick(5 * time.Millisecond) {
		w.mutex.Lock()
		if w.crashed {
			w.mutex.Unlock()
			return
		}
		lapsed := w.clock() >= w.deadline
		for _, r := range w.running {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case time.Since(r.started) >= r.length && !r.stopping:
				w.end(r, "done")
			}
		}
		w.mutex.Unlock()
	}
}

// end lists the end of a run. The caller must hold the mutex.
func (w *workerStandIn) end(r *run, how string) {
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, []any{w.lastEnd, r.task, r.number, how, ""}})
	w.installation.record.event("end", "worker", w.id, "task", r.task, "run", r.number, "how", how)
	w.installation.noteEnd(r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of every call to a worker.
type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Ticket       string `json:"ticket"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// accept decodes an order and checks its addressee and its token. It holds the mutex if it
// returns true.
func (w *workerStandIn) accept(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return false
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return false
	}
	w.mutex.Lock()
	if w.crashed {
		w.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < w.token {
		w.mutex.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock().Milliseconds(), "reason": "fence"})
		return false
	}
	w.token = o.FencingToken
	return true
}

func (w *workerStandIn) handle(execute func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if !w.accept(rw, r, &o) {
			return
		}
		status, body := execute(&o)
		w.mutex.Unlock()
		if body == nil {
			body = map[string]any{}
		}
		body["clockMs"] = w.clock().Milliseconds()
		reply(rw, status, body)
	}
}

func (w *workerStandIn) extend(deadlineMs int64) {
	w.deadline = max(w.deadline, min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+w.holdMax))
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *workerStandIn) start(o *order) (int, map[string]any) {
	length, ok := runLength(o.Task, o.Spec)
	if !ok || o.RunID < 1 {
		return http.StatusBadRequest, nil
	}
	if r := w.running[o.Task]; r != nil && r.number == o.RunID {
		return http.StatusOK, nil
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock() {
		return refused("late")
	}
	w.extend(o.DeadlineMs)
	if o.RunID <= w.highest[o.Task] || (w.running[o.Task] != nil && o.RunID < w.running[o.Task].number) {
		return refused("old")
	}
	if t := w.tickets[o.Ticket]; w.installation.needsTicket && (!strings.HasPrefix(o.Task, t.step+".") || t.step == "" || time.Now().After(t.until)) {
		return refused("ticket")
	}
	if r := w.running[o.Task]; r != nil {
		w.end(r, "stopped")
	}
	w.running[o.Task] = &run{task: o.Task, number: o.RunID, started: time.Now(), length: length}
	w.installation.record.event("start", "worker", w.id, "task", o.Task, "run", o.RunID, "token", o.FencingToken)
	w.installation.noteStart(o.Task)
	return http.StatusOK, nil
}

func (w *workerStandIn) stop(o *order) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	if r := w.running[o.Task]; r != nil && r.number <= o.RunID && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if w.running[o.Task] == r {
				w.end(r, "stopped")
			}
		})
	}
	return http.StatusOK, nil
}

func (w *workerStandIn) handleHold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.accept(rw, r, &o) {
		return
	}
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mutex.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, v := range w.running {
		percent := min(100*int(time.Since(v.started)/time.Millisecond)/max(int(v.length/time.Millisecond), 1), 99)
		running = append(running, []any{v.task, v.number, "", percent, 100})
	}
	for i := 0; i < len(w.ends) && i < 500; i++ {
		finished = append(finished, w.ends[i].row)
	}
	body := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	w.mutex.Unlock()
	reply(rw, http.StatusOK, body)
}

// runLength returns how long a run takes. The spec of the submissions here lists that for
// each step, in milliseconds: "560,200".
func runLength(task, spec string) (time.Duration, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0, false
	}
	step, err := strconv.Atoi(parts[2])
	lengths := strings.Split(spec, ",")
	if err != nil || step < 0 || step >= len(lengths) {
		return 0, false
	}
	ms, err := strconv.Atoi(lengths[step])
	return time.Duration(ms) * time.Millisecond, err == nil
}

func taskName(id string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", id, occurrence, step, index)
}
