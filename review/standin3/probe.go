//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// probe is a free experiment.
func probe(c *cell, program string, trouble bool) int {
	var mu sync.Mutex
	starts, dones, noted, other := map[string]int{}, map[string]int{}, 0, map[string]int{}
	obs := func(event, task string, run int64, w *worker) {
		mu.Lock()
		defer mu.Unlock()
		switch event {
		case "start":
			starts[task]++
			if starts[task] > 1 {
				c.record.printf("start %d of %s run %d on %s", starts[task], task, run, w.id)
			}
			if dones[task] > 0 {
				c.record.printf("TWICE start after done of %s run %d on %s", task, run, w.id)
			}
		case "done":
			dones[task]++
		case "noted":
			noted++
		default:
			other[event]++
		}
	}
	run := time.Duration(envInt("RUN_MS", 1000)) * time.Millisecond
	if c.publish(1) != nil || c.addWorkers(envInt("WORKERS", 2), func(string, string) time.Duration { return run }, obs) != nil || c.addVMs(3, 284, program) != nil || !c.awaitReady() {
		return 2
	}
	var ids []string
	for range envInt("JOBS", 1) {
		id := newID()
		ids = append(ids, id)
		status, a := c.call(c.pick(), http.MethodPost, prefix+id, []byte(fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1,"memMb":1,"estimateMs":%d}]}`, envInt("COUNT", 4096), run.Milliseconds())), 3*time.Second)
		c.record.printf("POST %d %s", status, a)
	}
	begun := time.Now()
	for time.Since(begun) < time.Duration(envInt("SECONDS", 60))*time.Second {
		time.Sleep(500 * time.Millisecond)
		done := 0
		for _, id := range ids {
			status, a := c.call(c.pick(), http.MethodGet, prefix+id, nil, 3*time.Second)
			if status == 200 && strings.Contains(a, "completed") {
				done++
			}
		}
		mu.Lock()
		c.record.printf("completed %d of %d; tasks started %d done %d noted %d other %v", done, len(ids), len(starts), len(dones), noted, other)
		mu.Unlock()
		if done == len(ids) {
			break
		}
	}
	for _, v := range c.vms {
		c.record.printf("%s ends %d peak %d", v.name, v.ends, v.peak)
	}
	return 0
}
