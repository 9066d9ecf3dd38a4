//go:build review

package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// sameID: clients of two customers, with a queue each, choose the same ID for their submissions.
func sameID(c *cell, program string, trouble bool) int {
	var mutex sync.Mutex
	starts, ends := map[string]int{}, map[string]string{} // By spec, and by task.
	specs := map[string]string{}
	runTime := func(task, spec string) time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		starts[spec]++
		specs[task] = spec
		if strings.Contains(spec, "long") {
			return 12 * time.Second
		}
		return 300 * time.Millisecond
	}
	observe := func(event, task string, run int64, w *worker) {
		if event != "noted" {
			c.record.printf("worker %s: %s of %s, run %d", w.id, event, task, run)
		}
		if event != "start" && event != "noted" {
			mutex.Lock()
			ends[specs[task]] = event
			mutex.Unlock()
		}
	}
	if c.publish(1) != nil || c.addWorkers(6, runTime, observe) != nil || c.addVMs(3, 284, program) != nil || !c.awaitReady() {
		c.record.printf("the cell did not start")
		return 2
	}
	call := func(method, path string, body []byte) (int, string) {
		status, answer := c.call(c.pick(), method, path, body, 3*time.Second)
		c.record.printf("%s %s: %d %s", method, path, status, answer)
		return status, answer
	}
	state := func(path string) string {
		_, answer := call(http.MethodGet, path, nil)
		for _, s := range []string{"queued", "running", "completed", "failed", "cancelled"} {
			if strings.Contains(answer, s) {
				return s
			}
		}
		return ""
	}
	first, second := "0000000000000001", "0000000000000002"
	otherFirst, otherSecond := first, second
	if !trouble {
		otherFirst, otherSecond = "0000000000000003", "0000000000000004"
	}
	broken := 0
	// The letters with ID 1 are done when the photos with ID 1 are handed in.
	if status, _ := call(http.MethodPost, prefix+first, submission("letters", 1, 2, "")); status != 200 {
		return 2
	}
	time.Sleep(3 * time.Second)
	status, _ := call(http.MethodPost, otherPrefix+otherFirst, submission("photos", 1, 5, ""))
	time.Sleep(3 * time.Second)
	shown := state(otherPrefix + otherFirst)
	mutex.Lock()
	n := starts["photos"]
	mutex.Unlock()
	c.record.printf("photos: answer %d, shown as %q, tasks started %d of 5", status, shown, n)
	if status == 200 && shown == "completed" && n < 5 {
		c.record.printf("broken: MIXED: the submission of the photos is shown as completed, and %d of its 5 tasks have run", n)
		broken++
	}
	// The letters with ID 2 run when the photos with ID 2 are handed in and cancelled.
	if status, _ := call(http.MethodPost, prefix+second, submission("long letters", 1, 2, "")); status != 200 {
		return 2
	}
	time.Sleep(2 * time.Second)
	call(http.MethodPost, otherPrefix+otherSecond, submission("long photos", 1, 5, ""))
	time.Sleep(time.Second)
	call(http.MethodDelete, otherPrefix+otherSecond, nil)
	time.Sleep(3 * time.Second)
	if shown := state(prefix + second); shown == "cancelled" || shown == "failed" {
		c.record.printf("broken: LOST: the submission of the letters, which nobody has cancelled, is shown as %s", shown)
		broken++
	}
	if broken > 0 {
		return 1
	}
	return 0
}
