//go:build review

// Command standin2 plays the platform, its store, its workers and clients on loopback for the
// scripts of the second review.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	cleanUp []func()
	exiting sync.Mutex
)

// exit ends all processes that were started, removes the folder and ends the program. Only the
// first call has an effect.
func exit(code int) {
	exiting.Lock()
	for i := len(cleanUp) - 1; i >= 0; i-- {
		cleanUp[i]()
	}
	os.Exit(code)
}

// fail ends the program because the case could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	exit(2)
}

// cell is a small deployment: entry VMs, a store and workers.
type cell struct {
	store   *logStore
	vms     []*vm
	workers []*workerStandIn
	version int
	record  func(string, ...any)
}

const host = "ficu95.example"

func newRecorder(path string) func(string, ...any) {
	f, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	begun := time.Now()
	var mutex sync.Mutex
	return func(format string, args ...any) {
		mutex.Lock()
		defer mutex.Unlock()
		fmt.Fprintf(f, "%8.3f %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
	}
}

// publish stores a configuration with the given routes, as the operator does.
func (c *cell) publish(prefixes ...string) {
	c.version += 3
	var routes []map[string]any
	for _, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": "route-" + strings.Trim(p, "/"), "host": host, "pathPrefix": p, "service": "desk", "timeoutMs": 3000,
			"sloMs": 500, "priority": 0, "maxAttempts": 3, "stretch": 2.0,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "services": []map[string]any{{"name": "desk", "admissionCheck": false}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	c.store.put("keyed.op", "config", body)
	c.record("operator: configuration %d confirmed, routes %s", c.version, strings.Join(prefixes, " "))
}

// start starts the cell and waits until it serves.
func start(program, folder string, vms, workers, memoryMB int, record func(string, ...any), prefixes ...string) *cell {
	c := &cell{store: newLogStore(), record: record}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	go func() { _ = http.Serve(l, c.store) }()
	c.publish(prefixes...)
	for i := range workers {
		w, err := startWorker(fmt.Sprintf("w-%d-%x", i, rand.Int31()), "desk", "z-"+string(rune('a'+i%3)), c.store, record)
		if err != nil {
			fail("worker: %v", err)
		}
		c.workers = append(c.workers, w)
	}
	for i := range vms {
		zone := "z-" + string(rune('a'+i%3))
		v := &vm{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: freeAddr(), ready: freeAddr(), peer: freeAddr(), storeAddr: l.Addr().String(),
			folder: folder, program: program, memoryMB: memoryMB, record: record, restartAfter: 500 * time.Millisecond,
		}
		c.vms = append(c.vms, v)
		v.start(v.writeSettings("127.0.0.1:9"))
	}
	cleanUp = append(cleanUp, func() {
		for _, v := range c.vms {
			v.stop()
		}
	})
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range c.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				fail("%s did not become ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// A leader is there once a state can be asked for.
	for {
		if status, _ := c.call(c.vms[0], "GET", prefixes[0]+newID(), nil, 3*time.Second); status == http.StatusGone {
			break
		}
		if time.Now().After(deadline) {
			fail("no leader")
		}
		time.Sleep(100 * time.Millisecond)
	}
	record("all VMs are ready and one leads")
	return c
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// call makes a client's call to the front of a VM. status is 0 without an answer.
func (c *cell) call(v *vm, method, path string, body []byte, timeout time.Duration) (status int, answer string) {
	r, err := http.NewRequest(method, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *clients
	client.Timeout = timeout
	resp, err := client.Do(r)
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "no whole answer"
	}
	return resp.StatusCode, string(data)
}

func main() {
	scenario := flag.String("scenario", "", "large-bodies, silent-connections")
	program := flag.String("program", "target/almondpost-entry", "program of the entry VMs")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	keep := flag.String("logs", "", "folder for the logs of the processes (default: a temporary one)")
	flag.Parse()
	folder := *keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "almondpost-review-"); err != nil {
			fail("%v", err)
		}
		cleanUp = append(cleanUp, func() { _ = os.RemoveAll(folder) })
	}
	path, err := filepath.Abs(*program)
	if err != nil {
		fail("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		exit(2)
	}()
	time.AfterFunc(118*time.Second, func() { fail("out of time") })
	record := newRecorder(*recordFile)
	scenarios := map[string]func(program, folder string, trouble bool, record func(string, ...any)) bool{
		"large-bodies": largeBodies, "silent-connections": silentConnections,
	}
	f := scenarios[*scenario]
	if f == nil {
		fail("there is no scenario %q", *scenario)
	}
	if broken := f(path, folder, *trouble, record); broken {
		record("the rule was broken")
		fmt.Println("the rule was broken")
		exit(1)
	}
	record("the rule held")
	fmt.Println("the rule held")
	exit(0)
}
