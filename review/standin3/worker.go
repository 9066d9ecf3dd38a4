//go:build review

package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for one lifetime of a worker, as PROTOCOL.md describes it under "Running
// tasks". It guards neither its capacity nor anything else that the pages don't name.
type worker struct {
	id      string
	address string
	zone    string
	born    int64
	started time.Time
	// stopTime is how long a stop takes, and maxHold the longest lease.
	stopTime, maxHold time.Duration
	// runTime returns how long a task runs, or 0 if it lasts.
	runTime func(task, spec string) time.Duration
	// observe is told of each start and end.
	observe func(event, task string, run int64, w *worker)

	// checkpointBytes is the length of a checkpoint.
	checkpointBytes int

	mutex     sync.Mutex
	token     int64
	deadline  int64
	running   map[string]map[int64]*run
	highest   map[string]int64
	ends      []endRow
	lastEnd   int64
	endSignal chan struct{}
	startCnt  int
}

type run struct {
	task string
	id   int64
	end  *time.Timer
	at   time.Time
	// checkpoints counts the checkpoints so far, and checkpoint is the last one.
	checkpoints int
	checkpoint  string
}

type endRow struct {
	n    int64
	task string
	run  int64
	how  string
}

func newWorker(id, address, zone string, runTime func(task, spec string) time.Duration, observe func(event, task string, run int64, w *worker)) *worker {
	w := &worker{
		id: id, address: address, zone: zone, born: time.Now().UnixMilli(), started: time.Now(), stopTime: 100 * time.Millisecond, maxHold: 6 * time.Second,
		runTime: runTime, observe: observe, running: map[string]map[int64]*run{}, highest: map[string]int64{}, endSignal: make(chan struct{}),
	}
	go w.expire()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() + 1 }

// expire ends all runs when the lease has ended.
func (w *worker) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mutex.Lock()
		if w.clock() > w.deadline {
			for _, runs := range w.running {
				for _, r := range runs {
					w.endRun(r, "lapsed")
				}
			}
		}
		w.mutex.Unlock()
	}
}

// endRun lists the end of a run. The caller holds the mutex.
func (w *worker) endRun(r *run, how string) {
	if w.running[r.task][r.id] != r {
		return
	}
	r.end.Stop()
	delete(w.running[r.task], r.id)
	if len(w.running[r.task]) == 0 {
		delete(w.running, r.task)
	}
	w.highest[r.task] = max(w.highest[r.task], r.id)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, r.task, r.id, how})
	close(w.endSignal)
	w.endSignal = make(chan struct{})
	w.observe(how, r.task, r.id, w)
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+w.maxHold.Milliseconds()))
}

type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var o order
	if json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(400)
		return
	}
	if v := r.Header.Get("Expected-Instance"); v != "" && v != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(421)
		return
	}
	refuse := func(reason string) { w.reply(rw, 409, map[string]any{"reason": reason}) }
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if o.FencingToken < w.token {
		refuse("fence")
		return
	}
	w.token = o.FencingToken
	switch r.URL.Path {
	case "/-/run-start":
		switch {
		case w.running[o.Task][o.RunID] != nil:
			w.extend(o.DeadlineMs)
		case w.clock() > o.DeadlineMs:
			refuse("late")
			return
		case o.RunID <= w.highest[o.Task]:
			w.extend(o.DeadlineMs)
			refuse("old")
			return
		default:
			w.extend(o.DeadlineMs)
			w.start(o)
		}
		w.reply(rw, 200, map[string]any{})
	case "/-/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
		for id, v := range w.running[o.Task] {
			if id <= o.RunID {
				time.AfterFunc(w.stopTime, func() {
					w.mutex.Lock()
					defer w.mutex.Unlock()
					w.endRun(v, "stopped")
				})
			}
		}
		w.reply(rw, 200, map[string]any{})
	case "/-/pace":
		w.reply(rw, 200, map[string]any{})
	case "/-/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(404)
	}
}

func (w *worker) start(o order) {
	v := &run{task: o.Task, id: o.RunID, at: time.Now()}
	d := w.runTime(o.Task, o.Spec)
	if d == 0 {
		d = time.Hour
	}
	v.end = time.AfterFunc(d, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.endRun(v, "done")
	})
	if w.running[o.Task] == nil {
		w.running[o.Task] = map[int64]*run{}
	}
	w.running[o.Task][o.RunID] = v
	w.startCnt++
	w.observe("start", o.Task, o.RunID, w)
}

// hold answers when an end is listed or the wait is over. The caller holds the mutex.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.LastSeen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.observe("noted", e.task, e.run, w)
	}
	wait := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer wait.Stop()
	for over := o.WaitMs <= 0; len(w.ends) == 0 && !over; {
		signal := w.endSignal
		w.mutex.Unlock()
		select {
		case <-signal:
		case <-wait.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mutex.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, runs := range w.running {
		for id, v := range runs {
			running = append(running, []any{task, id, w.checkpoint(v), 50, 0})
		}
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.reply(rw, 200, map[string]any{"running": running, "finished": finished, "born": w.born})
}

func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = w.clock()
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Instance-Id", w.id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// checkpoint returns the newest checkpoint of a run, of which there is another with each
// checkpointTime of work. It is empty for workers whose tasks save none.
func (w *worker) checkpoint(v *run) string {
	n := int(time.Since(v.at) / checkpointTime)
	if w.checkpointBytes == 0 || n == 0 {
		return ""
	}
	if v.checkpoints != n {
		v.checkpoints, v.checkpoint = n, randomText(w.checkpointBytes)
	}
	return v.checkpoint
}

// workerCPU is the capacity of a worker, in thousandths of a core.
const workerCPU = 32000

// checkpointTime is checkpointS of the site.
const checkpointTime = 2 * time.Second

// randomText returns a text of n letters and digits, such as a token of a storage service.
func randomText(n int) string {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
	text := make([]byte, n)
	for i := range text {
		text[i] = letters[rand.IntN(len(letters))]
	}
	return string(text)
}

// entry returns the record with which the worker registers.
func (w *worker) entry(service string, seq int) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": service, "addr": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": seq, "born": w.born,
		"capacity": map[string]any{"cpu": workerCPU, "memMb": 128000, "gpu": 0}, "labels": []string{"kind-a", "r1"},
	})
	return data
}

func serveAt(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// limitedListener accepts further connections only while fewer than its limit are open.
type limitedListener struct {
	net.Listener
	open chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.open <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.open })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// serveWorker serves a worker, which takes 64 connections as the sheets say.
func serveWorker(w *worker) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(&limitedListener{l, make(chan struct{}, 64)}) }()
	return nil
}
