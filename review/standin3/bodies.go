//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// submission returns the body of a submission with equal steps.
func submission(spec string, steps, count int, image string) []byte {
	list := make([]any, steps)
	for i := range list {
		list[i] = map[string]any{"count": count, "cpu": 1000, "memMb": 512, "estimateMs": 300, "image": image}
	}
	data, _ := json.Marshal(map[string]any{"spec": spec, "steps": list})
	return data
}

// largeBodies: clients send many large bodies of legal size at once, whole.
func largeBodies(c *cell, program string, trouble bool) int {
	// Each body has about 200,000 of the 262,144 bytes that the configuration allows.
	const submissions, senders = 200, 20
	body := submission(strings.Repeat("x", 4000), 64, 64, strings.Repeat("i", 3000))
	if !trouble {
		body = submission("x", 2, 6, "i")
	}
	if c.publish(1) != nil || c.addWorkers(8, func(string, string) time.Duration { return 300 * time.Millisecond }, func(string, string, int64, *worker) {}) != nil ||
		c.addVMs(3, 284, program) != nil || !c.awaitReady() {
		c.record.printf("the cell did not start")
		return 2
	}
	c.record.printf("the cell has started; a body of the crowd has %d bytes", len(body))
	var accepted, refused, unanswered atomic.Int64
	next := make(chan string)
	var g sync.WaitGroup
	for range senders {
		g.Go(func() {
			for id := range next {
				for try := 1; try <= 5; try++ {
					status, answer := c.call(c.pick(), http.MethodPost, prefix+id, body, 3*time.Second)
					c.record.printf("crowd: POST %s, try %d: %d %.60s", id, try, status, answer)
					if status == 200 {
						accepted.Add(1)
						break
					}
					if status == 429 || status == 503 {
						refused.Add(1)
					} else {
						unanswered.Add(1)
					}
					time.Sleep(time.Second)
				}
			}
		})
	}
	for range submissions {
		next <- newID()
	}
	close(next)
	g.Wait()
	c.record.printf("the crowd has left: %d accepted; answers to tries: %d refused, %d others", accepted.Load(), refused.Load(), unanswered.Load())
	// While clients press beyond the usual and 5 s after, a machine may count as slowed. What ends
	// later ends in calm.
	time.Sleep(6 * time.Second)
	before := make([]int, len(c.vms))
	for i, v := range c.vms {
		v.mutex.Lock()
		before[i] = v.ends
		v.mutex.Unlock()
	}
	c.record.printf("calm: no client sends anything but one ordinary submission")
	ordinary, known, state := newID(), false, ""
	begun := time.Now()
	for end := begun.Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if !known {
			status, answer := c.call(c.pick(), http.MethodPost, prefix+ordinary, submission("x", 1, 2, ""), 3*time.Second)
			c.record.printf("ordinary: POST %s: %d %.60s", ordinary, status, answer)
			known = status == 200
			continue
		}
		status, answer := c.call(c.pick(), http.MethodGet, prefix+ordinary, nil, 3*time.Second)
		c.record.printf("ordinary: GET %s: %d %.60s", ordinary, status, answer)
		if status == 200 && strings.Contains(answer, "completed") {
			state = "completed"
		}
	}
	ended, processes := 0, 0
	for i, v := range c.vms {
		v.mutex.Lock()
		n := v.ends - before[i]
		c.record.printf("%s: in 30 s of calm its process ended %d times, in all %d times, %d of them over memory; peak %d MB of %d", v.name, n, v.ends, v.overMemory, v.peak, v.memoryMB)
		v.mutex.Unlock()
		processes += n
		if n >= 3 {
			ended++
		}
	}
	c.record.printf("ordinary submission: accepted %v, state %q; machines whose process ended three times: %d", known, state, ended)
	if ended >= 2 {
		c.record.printf("broken: Fault")
		return 1
	}
	return 0
}
