//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run of a task on a worker.
type run struct {
	task    string
	number  int64
	started time.Time
	lasts   time.Duration // 0: until it is stopped
	ended   bool
}

// startup is how long a lasting task takes until it is at work.
const startup = 500 * time.Millisecond

func (r *run) atWork() bool { return time.Since(r.started) >= startup }

type ended struct {
	n    int64
	task string
	run  int64
	how  string
}

// workerStandIn plays one worker process.
type workerStandIn struct {
	id, service, addr, zone string
	// proxy is on the way to the worker; its address is the one in the entry.
	proxy *proxy
	// lapsed holds the tasks that were at work when their runs lapsed, with the times of that.
	lapsed   map[string]time.Time
	born     int64
	begun    time.Time
	store    *logStore
	record   func(string, ...any)
	mutex    sync.Mutex
	token    int64
	deadline time.Duration // on the worker's clock
	runs     map[string]*run
	highest  map[string]int64 // highest run stopped or ended, by task
	finished []ended
	lastEnd  int64
	changed  chan struct{}
	stopped  bool
}

const (
	holdMax   = 6 * time.Second
	stopGrace = 400 * time.Millisecond
)

func startWorker(id, service, zone string, store *logStore, record func(string, ...any)) (*workerStandIn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &workerStandIn{
		id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), begun: time.Now(), store: store, record: record,
		runs: map[string]*run{}, highest: map[string]int64{}, lapsed: map[string]time.Time{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, w) }()
	w.proxy = startProxy(w.addr)
	w.addr = w.proxy.addr
	go w.register()
	go w.tick()
	return w, nil
}

func (w *workerStandIn) clock() time.Duration { return time.Since(w.begun) }

// register writes the entry of the worker every 1.5 s.
func (w *workerStandIn) register() {
	for seq := 1; ; seq++ {
		entry, _ := json.Marshal(map[string]any{
			"service": w.service, "addr": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": seq,
			"born": w.born, "machine": "m-" + w.id, "capacity": map[string]any{"cpu": 32000, "memMb": 131072, "gpu": 0}, "labels": []string{"a", "r-1"},
		})
		w.store.put("keyed.servers", w.id, entry)
		time.Sleep(1500 * time.Millisecond)
	}
}

func (w *workerStandIn) end(r *run, how string) {
	if r.ended {
		return
	}
	r.ended = true
	w.lastEnd++
	w.finished = append(w.finished, ended{w.lastEnd, r.task, r.number, how})
	w.highest[r.task] = max(w.highest[r.task], r.number)
	delete(w.runs, r.task)
	if how == "lapsed" && r.atWork() {
		w.lapsed[r.task] = time.Now()
	}
	w.record("run %s %d on %s ended %s", r.task, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// tick ends runs that are done or whose lease has ended.
func (w *workerStandIn) tick() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mutex.Lock()
		for _, r := range w.runs {
			switch {
			case w.clock() > w.deadline:
				w.end(r, "lapsed")
			case r.lasts > 0 && time.Since(r.started) >= r.lasts:
				w.end(r, "done")
			}
		}
		w.mutex.Unlock()
	}
}

func (w *workerStandIn) extend(deadlineMs int64) {
	d := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+holdMax)
	w.deadline = max(w.deadline, d)
}

func (w *workerStandIn) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var b struct {
		Task         string `json:"task"`
		RunID        int64  `json:"runId"`
		Spec         string `json:"spec"`
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken int64  `json:"fencingToken"`
		LastSeen     int64  `json:"lastSeen"`
		WaitMs       int64  `json:"waitMs"`
	}
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&b) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	out.Header().Set("Instance-Id", w.id)
	if v := r.Header.Get("Expected-Instance"); v != "" && v != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	clock := func() int64 { return w.clock().Milliseconds() }
	refuse := func(reason string) {
		reply(out, http.StatusConflict, map[string]any{"clockMs": clock(), "reason": reason})
	}
	if b.FencingToken < w.token {
		refuse("fence")
		return
	}
	w.token = b.FencingToken
	switch r.URL.Path {
	case "/-/run-start":
		if v := w.runs[b.Task]; v != nil && v.number == b.RunID {
			w.extend(b.DeadlineMs)
			reply(out, http.StatusOK, map[string]any{"clockMs": clock()})
			return
		}
		if time.Duration(b.DeadlineMs)*time.Millisecond < w.clock() {
			refuse("late")
			return
		}
		w.extend(b.DeadlineMs)
		if b.RunID <= w.highest[b.Task] {
			refuse("old")
			return
		}
		if v := w.runs[b.Task]; v != nil {
			if v.number > b.RunID {
				refuse("old")
				return
			}
			w.end(v, "stopped")
		}
		w.runs[b.Task] = &run{task: b.Task, number: b.RunID, started: time.Now(), lasts: durationOf(b.Spec)}
		w.record("run %s %d started on %s", b.Task, b.RunID, w.id)
		reply(out, http.StatusOK, map[string]any{"clockMs": clock()})
	case "/-/run-stop":
		w.highest[b.Task] = max(w.highest[b.Task], b.RunID)
		if v := w.runs[b.Task]; v != nil && v.number <= b.RunID {
			time.AfterFunc(stopGrace/4, func() {
				w.mutex.Lock()
				defer w.mutex.Unlock()
				w.end(v, "stopped")
			})
		}
		reply(out, http.StatusOK, map[string]any{"clockMs": clock()})
	case "/-/pace":
		reply(out, http.StatusOK, map[string]any{"clockMs": clock()})
	case "/-/hold":
		if b.DeadlineMs > 0 {
			w.extend(b.DeadlineMs)
		}
		for len(w.finished) > 0 && w.finished[0].n <= b.LastSeen {
			w.finished = w.finished[1:]
		}
		limit := time.After(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
		for wait := b.WaitMs > 0; wait && len(w.finished) == 0; {
			changed := w.changed
			w.mutex.Unlock()
			select {
			case <-changed:
			case <-limit:
				wait = false
			case <-r.Context().Done():
				wait = false
			}
			w.mutex.Lock()
		}
		running, finished := [][]any{}, [][]any{}
		for _, v := range w.runs {
			percent := 0
			if v.lasts == 0 && v.atWork() {
				percent = 100
			}
			if v.lasts > 0 {
				percent = int(min(100*time.Since(v.started)/v.lasts, 99))
			}
			running = append(running, []any{v.task, v.number, "", percent, 0})
		}
		for _, v := range w.finished[:min(len(w.finished), 500)] {
			finished = append(finished, []any{v.n, v.task, v.run, v.how, ""})
		}
		reply(out, http.StatusOK, map[string]any{"clockMs": clock(), "born": w.born, "running": running, "finished": finished})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// durationOf returns how long a task runs, as its spec says: "ms=300 ...".
func durationOf(spec string) time.Duration {
	if rest, ok := strings.CutPrefix(spec, "ms="); ok {
		text, _, _ := strings.Cut(rest, " ")
		if ms, err := strconv.Atoi(text); err == nil {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 300 * time.Millisecond
}
