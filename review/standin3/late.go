//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/store"
)

// The times of the case, counted from the arrival of the start that gets no answer. Each of the two
// cuts takes at most 5.5 s, and both late orders are executed at most 12 s after they were sent.
const (
	holdSent      = 9800 * time.Millisecond
	cutBegin      = 10900 * time.Millisecond
	nextBorn      = 11300 * time.Millisecond
	startExecuted = 11700 * time.Millisecond
	holdExecuted  = 17 * time.Second
	cutEnd        = cutBegin + 5500*time.Millisecond
	secondBegin   = cutEnd - 100*time.Millisecond
	secondEnd     = secondBegin + 2600*time.Millisecond
	// onceTime is how long the task runs.
	onceTime = 20 * time.Second
)

// place is a machine that runs one lifetime of a worker after another under the same ID.
type place struct {
	cell    *cell
	crowd   *places
	mutex   sync.Mutex
	worker  *worker
	begun   time.Time // when the start arrived that gets no answer; zero for all other places
	held    bool      // whether the late hold has come
	seq     int
	removed bool
}

// places are all machines. The first one that is told to start the task becomes the one in trouble.
type places struct {
	mutex   sync.Mutex
	trouble bool
	chosen  *place
}

// cut reports whether the place is cut off.
func (p *place) cut() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	d := time.Since(p.begun)
	return !p.begun.IsZero() && (d >= cutBegin && d < cutEnd || d >= secondBegin && d < secondEnd)
}

func (p *place) now() *worker {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.worker
}

// executeLate executes a call on the lifetime of the worker that is there at the time.
func (p *place) executeLate(what string, r *http.Request, data []byte, at time.Duration) {
	copied, _ := http.NewRequest(r.Method, r.URL.Path, bytes.NewReader(data))
	copied.Header = r.Header.Clone()
	time.AfterFunc(time.Until(p.begun.Add(at)), func() {
		answer := httptest.NewRecorder()
		p.now().ServeHTTP(answer, copied)
		p.cell.record.printf("worker %s: the %s is executed late: %d %s", p.now().id, what, answer.Code, answer.Body.String())
	})
}

func (p *place) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var o order
	_ = json.Unmarshal(data, &o)
	if r.URL.Path == "/-/run-start" && o.Spec == "once" {
		p.crowd.mutex.Lock()
		first := p.crowd.trouble && p.crowd.chosen == nil
		if first {
			p.crowd.chosen = p
		}
		p.crowd.mutex.Unlock()
		p.cell.record.printf("worker %s: start of %s run %d, deadline %d, token %d", p.now().id, o.Task, o.RunID, o.DeadlineMs, o.FencingToken)
		if first {
			p.mutex.Lock()
			p.begun = time.Now()
			p.mutex.Unlock()
			p.cell.record.printf("worker %s: this start gets no answer", p.now().id)
			p.executeLate("start", r, data, startExecuted)
			go p.restart()
			<-r.Context().Done()
			return
		}
	}
	p.mutex.Lock()
	take := r.URL.Path == "/-/hold" && o.DeadlineMs > 0 && !p.held && !p.begun.IsZero() && time.Since(p.begun) >= holdSent
	p.held = p.held || take
	p.mutex.Unlock()
	if take {
		p.cell.record.printf("worker %s: a hold with deadline %d, token %d gets no answer", p.now().id, o.DeadlineMs, o.FencingToken)
		p.executeLate("hold", r, data, holdExecuted)
	}
	if take || p.cut() {
		<-r.Context().Done()
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	answer := httptest.NewRecorder()
	p.now().ServeHTTP(answer, r)
	if p.cut() {
		<-r.Context().Done()
		return
	}
	maps.Copy(rw.Header(), answer.Header())
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(answer.Body.Bytes())
}

// restart crashes the worker behind the cut; the next lifetime has the same ID and address.
func (p *place) restart() {
	time.Sleep(time.Until(p.begun.Add(cutBegin)))
	p.cell.record.printf("worker %s: the first cut begins", p.now().id)
	time.Sleep(time.Until(p.begun.Add(nextBorn)))
	old := p.now()
	next := newWorker(old.id, old.address, old.zone, old.runTime, old.observe)
	p.mutex.Lock()
	p.worker, p.seq = next, 0
	p.mutex.Unlock()
	p.cell.record.printf("worker %s: it has crashed and started again, born %d, before %d", old.id, next.born, old.born)
	time.Sleep(time.Until(p.begun.Add(secondBegin)))
	p.cell.record.printf("worker %s: the second cut begins, the first one ends", old.id)
	time.Sleep(time.Until(p.begun.Add(secondEnd)))
	p.cell.record.printf("worker %s: the second cut is over", old.id)
}

// register keeps the entry up to date. The platform removes it after three intervals of silence.
func (p *place) register() {
	for silent := 0; ; time.Sleep(1500 * time.Millisecond) {
		w := p.now()
		if !p.cut() {
			silent, p.seq, p.removed = 0, p.seq+1, false
			_ = p.cell.register(w, p.seq)
		} else if silent++; silent >= 3 && !p.removed {
			p.removed = true
			_, _ = p.cell.store.Append(store.Append{Topic: store.Workers, Records: []store.Record{{Key: w.id}}})
			p.cell.record.printf("worker %s: the platform has removed its entry", w.id)
		}
	}
}

// lateOrders: a start without a ticket and a hold that was sent 10 s later get no answer and are executed
// late, by the next lifetime of a worker that crashes behind a cut and starts again under its ID. Another
// cut follows the first one.
func lateOrders(c *cell, program string, trouble bool) int {
	const workers = 12
	var mutex sync.Mutex
	active := map[string]map[string]bool{}
	overlaps, done := 0, map[string]bool{}
	observe := func(event, task string, run int64, w *worker) {
		if event == "noted" {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		key := w.id + "/" + strconv.FormatInt(w.born, 10) + "/" + strconv.FormatInt(run, 10)
		c.record.printf("worker %s: %s run %d: %s", w.id, task, run, event)
		if active[task] == nil {
			active[task] = map[string]bool{}
		}
		if event != "start" {
			delete(active[task], key)
			done[task] = done[task] || event == "done"
			return
		}
		if len(active[task]) > 0 {
			overlaps++
			c.record.printf("broken: TWICE: run %d of %s starts on %s while another runs: %v", run, task, w.id, active[task])
		}
		active[task][key] = true
	}
	runTime := func(_, spec string) time.Duration {
		if spec == "once" {
			return onceTime
		}
		return 300 * time.Millisecond
	}
	if c.publish(1) != nil {
		return 2
	}
	crowd := &places{trouble: trouble}
	for i := range workers {
		w := newWorker(newID(), c.address(100+i, 9000), "zone-"+strconv.Itoa(i%3), runTime, observe)
		p := &place{cell: c, crowd: crowd, worker: w}
		l, err := net.Listen("tcp", w.address)
		if err != nil {
			return 2
		}
		s := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.Serve(&limitedListener{l, make(chan struct{}, 64)}) }()
		go p.register()
	}
	if c.addVMs(3, 284, program) != nil || !c.awaitReady() {
		c.record.printf("the cell did not start")
		return 2
	}
	c.record.printf("the cell has started")
	time.Sleep(3 * time.Second)
	once, _ := json.Marshal(map[string]any{"spec": "once", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": onceTime.Milliseconds()}}})
	id := newID()
	status, answer := c.call(c.pick(), http.MethodPost, prefix+id, once, 3*time.Second)
	c.record.printf("POST %s: %d %.60s", id, status, answer)
	if status != 200 {
		return 2
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		status, answer := c.call(c.pick(), http.MethodGet, prefix+id, nil, 3*time.Second)
		c.record.printf("GET %s: %d %.60s", id, status, answer)
		if status == 200 && answer != `{"state":"running"}` && answer != `{"state":"queued"}` {
			break
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	c.record.printf("starts of a task while another run of it went on: %d; tasks that have ended done: %d", overlaps, len(done))
	if overlaps > 0 {
		return 1
	}
	return 0
}
