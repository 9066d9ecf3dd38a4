//go:build review

package main

import "time"

// longCheckpoints: the tasks of one submission save checkpoints that are longer than in the example
// of the pages. An ordinary submission comes each 2 s.
func longCheckpoints(c *cell, program string, trouble bool) int {
	if c.checkpointBytes = 16; trouble {
		c.checkpointBytes = 256
	}
	const workers = 12
	t := newTracker(c.record, workers*workerCPU)
	runTime := func(_, spec string) time.Duration {
		if spec == "long" {
			return 10 * time.Second
		}
		return 300 * time.Millisecond
	}
	if c.publish(1) != nil || c.addWorkers(workers, runTime, t.observe) != nil || c.addVMs(3, 284, program) != nil || !c.awaitReady() {
		c.record.printf("the cell did not start")
		return 2
	}
	c.record.printf("the cell has started; a checkpoint has %d bytes", c.checkpointBytes)
	if !t.submit(c, newID(), "long", 1, 1600, 100, 10000, true) {
		return 2
	}
	for range 12 {
		time.Sleep(2 * time.Second)
		t.submit(c, newID(), "ordinary", 2, 6, 1000, 300, false)
	}
	trafficEnd := time.Now()
	c.record.printf("the traffic has ended")
	return t.result(c, t.watch(trafficEnd, trafficEnd.Add(finish+30*time.Second)))
}
