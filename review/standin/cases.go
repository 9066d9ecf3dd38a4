package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// finish is how long after the end of the traffic submissions are judged.
	finish = 14 * time.Second
	host   = "desk.example"
)

var scenarios = map[string]scenario{
	"lost-kind":     {6 * time.Second, playLostKind},
	"lost-worker":   {10 * time.Second, playLostWorker},
	"early-answer":  {6 * time.Second, playEarlyAnswer},
	"dropped-route": {6 * time.Second, playDroppedRoute},
	"stale-leader":  {6 * time.Second, playStaleLeader},
	"late-schedule": {6 * time.Second, playLateSchedule},
}

// pool returns n workers of a service, of kind a, in the zones of the entry VMs.
func pool(service string, n, zones int) []workerSettings {
	var list []workerSettings
	for i := range n {
		list = append(list, workerSettings{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zone(i % zones), labels: [2]string{"a", fmt.Sprintf("r1-%d", i/4)}, cpu: 32000, memMb: 131072,
		})
	}
	return list
}

func (in *installation) begin(workers []workerSettings, services []string, routes ...route) {
	for _, w := range workers {
		in.startWorker(w)
	}
	in.publish(services, routes...)
	in.startVMs(3)
	in.awaitReady()
	time.Sleep(3 * time.Second)
}

// judgeLost judges the rule LOST for accepted submissions after the end of the traffic. It returns
// what broke the rule, or an empty text.
func (in *installation) judgeLost(r route, ids []string) string {
	in.record.event("traffic_ends")
	time.Sleep(finish)
	stalled := in.stalledFor3s(r.Service, ids...)
	for _, id := range ids[:min(len(ids), 5)] {
		in.state(r, id)
	}
	if len(stalled) == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: for 3 s, %d of %d submissions have nothing running, though they were accepted, a task's turn has come and there is room: %s and others", len(stalled), len(ids), stalled[0])
}

var (
	urgent = route{Name: "r-urgent", Host: host, PathPrefix: "/quick/", Kind: "non_idempotent", TimeoutMs: 3000, SloMs: 250, Priority: 0, Service: "desk", MaxAttempts: 2, Stretch: 1.5}
	normal = route{Name: "r-normal", Host: host, PathPrefix: "/scan/", Kind: "non_idempotent", TimeoutMs: 3000, SloMs: 1000, Priority: 1, Service: "desk", MaxAttempts: 2, Stretch: 2.2}
)

// playLostWorker loses one worker of eight for good: the only one of its kind. Submissions
// that need this kind wait from then on. Others ran on it too and can go on elsewhere.
func playLostWorker(in *installation, trouble bool) string {
	workers := pool("desk", 8, 3)
	workers[7].labels[0] = "b"
	in.begin(workers, []string{"desk"}, urgent, normal)
	var ids []string
	var group sync.WaitGroup
	// Ten submissions of the normal queue, each with a task on each worker.
	for i := range 10 {
		id := fmt.Sprintf("a%015x", i)
		ids = append(ids, id)
		in.submit(normal, id, submission{Spec: "900", Steps: []step{{Count: 8, CPU: 1000, MemMb: 500, EstimateMs: 800, AntiAffinity: 1}}})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		in.workers[7].crash()
	}
	// The clients of the urgent queue go on as before.
	tick := time.NewTicker(time.Second / 52)
	for i := range 800 {
		<-tick.C
		group.Add(1)
		go func() {
			defer group.Done()
			in.submit(urgent, fmt.Sprintf("b%015x", i), submission{Spec: "500", Steps: []step{{Count: 1, CPU: 200, MemMb: 100, EstimateMs: 500, Requirements: "b"}}})
		}()
	}
	tick.Stop()
	group.Wait()
	return in.judgeLost(normal, ids)
}

// playLostKind loses one worker of eight for good, the only one of its kind, while all queues
// need advice. A few submissions that need this kind come afterwards.
func playLostKind(in *installation, trouble bool) string {
	in.needsTicket = true
	workers := pool("desk", 8, 3)
	workers[7].labels[0] = "b"
	urgent, normal := urgent, normal
	urgent.Advice, normal.Advice = advised, advised
	in.begin(workers, []string{"desk"}, urgent, normal)
	var ids []string
	for i := range 3 {
		id := fmt.Sprintf("a%015x", i)
		ids = append(ids, id)
		in.submit(normal, id, submission{Spec: "900", Steps: []step{{Count: 8, CPU: 8000, MemMb: 500, EstimateMs: 400, AntiAffinity: 1}}})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		in.workers[7].crash()
	}
	for i := range 20 {
		in.submit(urgent, fmt.Sprintf("b%015x", i), submission{Spec: "500", Steps: []step{{Count: 6, CPU: 8000, MemMb: 1000, EstimateMs: 500, Requirements: "b"}}})
		for k := range 4 {
			in.submit(urgent, fmt.Sprintf("c%015x", 4*i+k), submission{Spec: "500", Steps: []step{{Count: 2, CPU: 1000, MemMb: 1000, EstimateMs: 500}}})
			time.Sleep(200 * time.Millisecond)
		}
	}
	return in.judgeLost(normal, ids)
}

// playDroppedRoute removes a route while accepted submissions of it are under way.
func playDroppedRoute(in *installation, trouble bool) string {
	in.begin(pool("desk", 8, 3), []string{"desk"}, urgent, normal)
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("c%015x", i)
		ids = append(ids, id)
		in.submit(normal, id, submission{Spec: "1500,700", Steps: []step{{Count: 4, CPU: 1000, MemMb: 500, EstimateMs: 1400}, {Count: 2, CPU: 1000, MemMb: 500, EstimateMs: 700, After: []int{0}}}})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		in.publish([]string{"desk"}, urgent)
	}
	for i := range 40 {
		in.submit(urgent, fmt.Sprintf("d%015x", i), submission{Spec: "300", Steps: []step{{Count: 2, CPU: 1000, MemMb: 500, EstimateMs: 300}}})
		time.Sleep(100 * time.Millisecond)
	}
	return in.judgeLost(normal, ids)
}

// playLateSchedule hands in a schedule for each minute of the year, on a day late in the year.
func playLateSchedule(in *installation, trouble bool) string {
	in.begin(pool("desk", 8, 3), []string{"desk"}, urgent, normal)
	start := time.Now()
	if trouble {
		start = time.Date(start.Year(), 1, 1, 0, 0, 0, 0, time.UTC)
	}
	var ids []string
	var group sync.WaitGroup
	for i := range 150 {
		if i == 50 {
			in.submit(normal, "e000000000000001", submission{
				Spec: "100", Steps: []step{{Count: 1, CPU: 1000, MemMb: 100, EstimateMs: 100}}, StartAtMs: start.UnixMilli(), RepeatCount: 365 * 24 * 60, IntervalMs: 60000,
			})
		}
		id := fmt.Sprintf("f%015x", i)
		ids = append(ids, id)
		group.Add(1)
		go func() {
			defer group.Done()
			in.submit(urgent, id, submission{Spec: "300", Steps: []step{{Count: 2, CPU: 1000, MemMb: 500, EstimateMs: 300}}})
		}()
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	return in.judgeLost(urgent, ids)
}

// playEarlyAnswer takes the store down for 4.2 s. Meanwhile one worker of eight is lost for good
// and the leader is killed. Clients ask for the states of their submissions all the while.
func playEarlyAnswer(in *installation, trouble bool) string {
	const contact = 3 * time.Second
	in.needsTicket = true
	urgent, normal := urgent, normal
	urgent.Advice, normal.Advice = advised, advised
	in.begin(pool("desk", 8, 3), []string{"desk"}, urgent, normal)
	var group sync.WaitGroup
	stop := time.Now().Add(6 * time.Second)
	for i := 0; time.Now().Before(stop); i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("a%015x", i)
			// Each submission has a task on each worker.
			if in.submit(urgent, id, submission{Spec: "700", Steps: []step{{Count: 8, CPU: 1000, MemMb: 500, EstimateMs: 700, AntiAffinity: 1}}}) {
				in.await(urgent, id, "completed", 15*time.Second)
			}
		}()
		if i == 30 && trouble {
			go in.playOutage(contact)
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	in.record.event("traffic_ends")
	time.Sleep(finish)
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if len(in.startedAgain) == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d tasks were started again, first %s", len(in.startedAgain), in.startedAgain[0])
}

func (in *installation) playOutage(contact time.Duration) {
	in.record.event("store_down")
	in.store.down.Store(true)
	time.Sleep(time.Second)
	in.workers[7].crash()
	time.Sleep(400 * time.Millisecond)
	in.store.mutex.Lock()
	leader := in.vms[in.store.lastConditional]
	in.store.mutex.Unlock()
	in.restart(leader)
	time.Sleep(4200*time.Millisecond - 1400*time.Millisecond - restartPause)
	in.store.down.Store(false)
	in.record.event("store_up")
	in.mutex.Lock()
	in.calmFrom = time.Now().Add(contact)
	in.mutex.Unlock()
}

// playStaleLeader kills the leader. Then all open connections to the store go silent, while new
// ones work, and the configuration changes.
func playStaleLeader(in *installation, trouble bool) string {
	const contact, apply = 3 * time.Second, 2 * time.Second
	added := urgent
	added.Name, added.PathPrefix = "r-added", "/added/"
	in.begin(pool("desk", 8, 3), []string{"desk"}, urgent, normal)
	if trouble {
		in.store.mutex.Lock()
		leader := in.vms[in.store.lastConditional]
		in.store.mutex.Unlock()
		in.restart(leader)
		time.Sleep(3 * time.Second)
		for _, v := range in.vms {
			v.store.silence()
		}
		in.record.event("open_connections_to_the_store_go_silent")
	}
	silent := time.Now()
	time.Sleep(500 * time.Millisecond)
	in.publish([]string{"desk"}, urgent, added) // The route r-normal is removed.
	confirmed := time.Now()
	time.Sleep(max(time.Until(silent.Add(contact)), time.Until(confirmed.Add(apply))) + time.Second)
	stale, asked := 0, 0
	var first string
	for i := range 20 {
		for k, v := range in.vms {
			id := fmt.Sprintf("a%07x%08x", i, k)
			body := []byte(`{"spec":"100","steps":[{"count":1,"cpu":100,"memMb":100,"estimateMs":100}]}`)
			since := time.Since(confirmed).Milliseconds()
			status, _ := in.call(v, "POST", host, added.PathPrefix+id, body)
			dropped, _ := in.call(v, "GET", host, normal.PathPrefix, nil)
			in.record.event("asked", "vm", v.name, "after_ms", since, "added_route", status, "removed_route", dropped)
			asked++
			if status == 404 || dropped == 200 {
				stale++
				if first == "" {
					first = fmt.Sprintf("%s, %d ms after the confirmation: %d for the added route, %d for the removed one", v.name, since, status, dropped)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if stale == 0 {
		return ""
	}
	return fmt.Sprintf("CONFIG: %d of %d times, a machine in touch handled a request as an older version says; first %s", stale, asked, first)
}
