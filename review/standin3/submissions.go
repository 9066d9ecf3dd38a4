//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// finish is finish_s: how long after the end of the traffic submissions are asked for. idleLimit is
// how long a submission may have nothing running then, while a task's turn has come and there is
// capacity.
const (
	finish    = 14 * time.Second
	idleLimit = 3 * time.Second
)

// tracker knows of each accepted submission what the workers run and have run of it.
type tracker struct {
	record *record
	// capacity is that of all workers, in thousandths of a core.
	capacity int

	mutex       sync.Mutex
	submissions map[string]*tracked
	used        int
}

// tracked is an accepted submission. Each step after the first comes after the one before it.
type tracked struct {
	cpu, count, steps int
	done              []map[int]bool
	running           map[string]bool
	starts            int
	idleSince         time.Time
	broken            bool
}

func newTracker(r *record, capacity int) *tracker {
	return &tracker{record: r, capacity: capacity, submissions: map[string]*tracked{}}
}

// observe is told of each start and end on the workers.
func (t *tracker) observe(event, task string, run int64, w *worker) {
	parts := strings.Split(task, ".")
	step, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	t.mutex.Lock()
	defer t.mutex.Unlock()
	v := t.submissions[parts[0]]
	if v == nil {
		return
	}
	key := task + "/" + strconv.FormatInt(run, 10) + "/" + w.id
	switch event {
	case "noted":
		return
	case "start":
		if v.done[step][index] {
			t.record.printf("%s run %d starts on %s after the task has ended done", task, run, w.id)
		}
		v.running[key] = true
		v.starts++
		t.used += v.cpu
	default:
		if v.running[key] {
			delete(v.running, key)
			t.used -= v.cpu
		}
		if event == "done" {
			v.done[step][index] = true
		}
	}
}

// submit hands a submission in, up to five times, and tells whether it was accepted.
func (t *tracker) submit(c *cell, id, spec string, steps, count, cpu, estimateMs int, checkpoint bool) bool {
	v := &tracked{cpu: cpu, count: count, steps: steps, running: map[string]bool{}}
	list := make([]any, steps)
	for i := range list {
		s := map[string]any{"count": count, "cpu": cpu, "memMb": 16, "estimateMs": estimateMs}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		if checkpoint {
			s["checkpoint"] = true
		}
		list[i] = s
		v.done = append(v.done, map[int]bool{})
	}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": list})
	t.mutex.Lock()
	t.submissions[id] = v
	t.mutex.Unlock()
	for try := 1; try <= 5; try++ {
		status, answer := c.call(c.pick(), http.MethodPost, prefix+id, body, 3*time.Second)
		c.record.printf("POST %s (%d steps of %d tasks), try %d: %d %.60s", id, steps, count, try, status, answer)
		if status == 200 {
			return true
		}
		time.Sleep(time.Second)
	}
	t.mutex.Lock()
	delete(t.submissions, id)
	t.mutex.Unlock()
	return false
}

// isDone reports whether all tasks have ended done.
func (v *tracked) isDone() bool {
	for _, done := range v.done {
		if len(done) < v.count {
			return false
		}
	}
	return true
}

// counts returns how many submissions there are and how many of them are done, and how many of
// their runs have started and go on.
func (t *tracker) counts() (submissions, done, starts, running int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, v := range t.submissions {
		submissions++
		starts += v.starts
		running += len(v.running)
		if v.isDone() {
			done++
		}
	}
	return submissions, done, starts, running
}

// watch checks the rule until end: from finish after the end of the traffic on, no submission that is
// not done may have nothing running for idleLimit while under half of the capacity is in use. A
// submission that isn't done and has nothing running always has a task whose turn has come, and two
// tasks fit if under half of the capacity is in use. It returns the number of submissions for which
// the rule was broken.
func (t *tracker) watch(trafficEnd, end time.Time) int {
	broken, logged := 0, time.Time{}
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		at := time.Now()
		if at.Sub(logged) >= time.Second {
			logged = at
			n, done, starts, running := t.counts()
			t.record.printf("submissions %d, done %d; runs started %d, running %d", n, done, starts, running)
			if n == done && at.Sub(trafficEnd) > finish {
				break
			}
		}
		t.mutex.Lock()
		for id, v := range t.submissions {
			idle := len(v.running) == 0 && 2*t.used < t.capacity && !v.isDone()
			if !idle || at.Sub(trafficEnd) < finish {
				v.idleSince = time.Time{}
				continue
			}
			if v.idleSince.IsZero() {
				v.idleSince = at
			}
			if !v.broken && at.Sub(v.idleSince) >= idleLimit {
				v.broken = true
				broken++
				t.record.printf("broken: LOST: %s has had nothing running for %s, %s after the end of the traffic; %d of %d thousandths of a core are in use", id, idleLimit, at.Sub(trafficEnd).Round(time.Millisecond), t.used, t.capacity)
			}
		}
		t.mutex.Unlock()
	}
	return broken
}

// result records the end of a run and returns its exit status.
func (t *tracker) result(c *cell, broken int) int {
	n, done, starts, running := t.counts()
	for _, v := range c.vms {
		v.mutex.Lock()
		c.record.printf("%s: its process ended %d times, peak %d MB of %d", v.name, v.ends, v.peak, v.memoryMB)
		v.mutex.Unlock()
	}
	c.record.printf("at the end: submissions %d, done %d; runs started %d, running %d; rule broken for %d submissions", n, done, starts, running, broken)
	if broken > 0 {
		return 1
	}
	return 0
}
