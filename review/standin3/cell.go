//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/platform"
)

const (
	host   = "review.example"
	prefix = "/letters/"
	// otherPrefix belongs to the queue of another customer.
	otherPrefix = "/photos/"
	service     = "desk"
)

// cell is a small deployment: the entry VMs as processes, and the stand-ins of the platform's
// store and the workers.
type cell struct {
	folder  string
	network string // the first three bytes of the loopback addresses of this run
	store   *memory.Store
	// wrapStore lets a case decide about a call of a VM to the store.
	wrapStore func(vm string, next http.Handler) http.Handler
	vms       []*vm
	workers   []*worker
	// checkpointBytes is the length of the checkpoints of tasks.
	checkpointBytes int
	record          *record
}

// record is the file record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) printf(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.begun).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", a...)
}

// vm is an entry VM with its process, which is started again 300 ms after it has ended.
type vm struct {
	cell        *cell
	name, ip    string
	front       string
	settings    string
	memoryMB    int
	mutex       sync.Mutex
	command     *exec.Cmd
	ends        int
	overMemory  int
	peak        int
	stopped     bool
	readyMisses int
	ready       bool
}

func newCell(folder, recordFile string) (*cell, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	return &cell{
		folder: folder, network: fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(256)), store: memory.New(),
		record: &record{file: f, begun: time.Now()}, wrapStore: func(_ string, h http.Handler) http.Handler { return h },
	}, nil
}

// publish stores a configuration with two queues that need no advice.
func (c *cell) publish(version int) error {
	route := func(name, pathPrefix string) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": pathPrefix, "service": service, "timeoutMs": 10000, "priority": 0, "maxAttempts": 4, "stretch": 2, "sloMs": 1000}
	}
	data, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{route("letters", prefix), route("photos", otherPrefix)},
		"services": []any{map[string]any{"name": service, "admissionCheck": false}},
		"limits":   map[string]any{"bodyBytes": 262144, "headerBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	_, err := c.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: "config", Value: data}}})
	return err
}

// addWorkers starts workers and keeps their entries in the store up to date.
func (c *cell) addWorkers(n int, runTime func(task, spec string) time.Duration, observe func(event, task string, run int64, w *worker)) error {
	for i := range n {
		w := newWorker(fmt.Sprintf("%08x%08x", rand.Uint32(), rand.Uint32()), fmt.Sprintf("%s.%d:9000", c.network, 100+i), fmt.Sprintf("zone-%d", i%3), runTime, observe)
		w.checkpointBytes = c.checkpointBytes
		if err := serveWorker(w); err != nil {
			return err
		}
		c.workers = append(c.workers, w)
		if err := c.register(w, 1); err != nil {
			return err
		}
		go func() {
			for seq := 2; ; seq++ {
				time.Sleep(1500 * time.Millisecond)
				_ = c.register(w, seq)
			}
		}()
	}
	return nil
}

func (c *cell) register(w *worker, seq int) error {
	_, err := c.store.Append(store.Append{Topic: store.Workers, Records: []store.Record{{Key: w.id, Value: w.entry(service, seq)}}})
	return err
}

// addVMs prepares the entry VMs and starts their processes with the command of the deploy file.
func (c *cell) addVMs(n, memoryMB int, program string) error {
	zones := map[string]string{"zone-0": "region", "zone-1": "region", "zone-2": "region"}
	for i := range n {
		v := &vm{cell: c, name: fmt.Sprintf("front-zone-%d-%d", i%3, i/3+1), ip: fmt.Sprintf("%s.%d", c.network, 10+i), memoryMB: memoryMB}
		v.front = v.ip + ":8149"
		storeAddress := fmt.Sprintf("%s.%d:8142", c.network, 60+i)
		if _, err := serveAt(storeAddress, c.wrapStore(v.name, platform.NewStoreHandler(memory.NewLink(c.store)))); err != nil {
			return err
		}
		data, _ := json.MarshalIndent(map[string]any{
			"nodeName": v.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": v.ip, "zone": fmt.Sprintf("zone-%d", i%3), "region": "region", "zones": zones,
			"listenAddrs": map[string]any{"front": v.front, "ready": v.ip + ":8141", "control": v.ip + ":8144"}, "portRange": []int{7380, 7395}, "seeds": []string{}, "bootstrap": true, "lossCounts": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500, "contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
			"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeMs": 250,
				"maxStretchMs": 5000, "recoveryS": 12, "holdMaxMs": 6000, "stopGraceMs": 400, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
				"remotePenalty": 2, "checkpointS": 2, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "requireFence": false, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "impactMs": 4000,
			},
			"commands": "rpc", "advice": storeAddress,
			"platform": map[string]any{"addr": storeAddress, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbPerS": 20.0, "readMbPerS": 80.0, "recordBytes": 262144, "requestBytes": 2097152, "keep_s": 300, "partitionMb": 200, "ttlMinMs": 1000},
		}, "", " ")
		v.settings = filepath.Join(c.folder, v.name+".json")
		if err := os.WriteFile(v.settings, data, 0o600); err != nil {
			return err
		}
		c.vms = append(c.vms, v)
		if err := v.start(program); err != nil {
			return err
		}
		go v.watchMemory()
		go v.watchReady()
	}
	return nil
}

func (v *vm) start(program string) error {
	logs, err := os.OpenFile(filepath.Join(v.cell.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"ALMONDPOST_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mutex.Lock()
	v.command = cmd
	v.mutex.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		v.mutex.Lock()
		stopped := v.stopped
		if !stopped {
			v.ends++
		}
		v.mutex.Unlock()
		if !stopped {
			v.cell.record.printf("process of %s has ended: %s", v.name, cmd.ProcessState)
			time.Sleep(300 * time.Millisecond)
			_ = v.start(program)
		}
	}()
	return nil
}

// resident returns the resident memory of the process in MB.
func (v *vm) resident() int {
	v.mutex.Lock()
	pid := v.command.Process.Pid
	v.mutex.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory plays the platform: a process that exceeds memoryMb is killed.
func (v *vm) watchMemory() {
	for {
		time.Sleep(10 * time.Millisecond)
		mb := v.resident()
		v.mutex.Lock()
		v.peak = max(v.peak, mb)
		over := mb > v.memoryMB && !v.stopped
		if over {
			v.overMemory++
			_ = v.command.Process.Kill()
		}
		v.mutex.Unlock()
		if over {
			v.cell.record.printf("%s uses %d MB, more than its %d: killed by the platform", v.name, mb, v.memoryMB)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// watchReady plays the platform's readiness checks.
func (v *vm) watchReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r, err := client.Get("http://" + v.ip + ":8141/-/ready")
		ok := err == nil && r.StatusCode == 200
		if err == nil {
			_ = r.Body.Close()
		}
		v.mutex.Lock()
		if ok {
			v.readyMisses, v.ready = 0, true
		} else if v.readyMisses++; v.readyMisses >= 2 {
			v.ready = false
		}
		v.mutex.Unlock()
		time.Sleep(time.Second)
	}
}

// stop ends all processes.
func (c *cell) stop() {
	for _, v := range c.vms {
		v.mutex.Lock()
		v.stopped = true
		if v.command != nil {
			_ = v.command.Process.Kill()
		}
		v.mutex.Unlock()
	}
}

// pick returns an entry VM for a new connection of a client, as the platform does.
func (c *cell) pick() *vm {
	var ready []*vm
	for _, v := range c.vms {
		v.mutex.Lock()
		if v.ready {
			ready = append(ready, v)
		}
		v.mutex.Unlock()
	}
	if len(ready) == 0 {
		ready = c.vms
	}
	return ready[rand.IntN(len(ready))]
}

var callerTransport = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

// call makes one request of a client at a VM. The status is 0 without an answer.
func (c *cell) call(v *vm, method, path string, body []byte, limit time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, bytes.NewReader(body))
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	resp, err := callerTransport.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// awaitReady waits until all VMs have their configuration and a leader answers.
func (c *cell) awaitReady() bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := true
		for _, v := range c.vms {
			status, _ := c.call(v, http.MethodGet, prefix, nil, 3*time.Second)
			ok = ok && status == 200
		}
		if ok {
			return true
		}
	}
	return false
}

// address returns an address of this run.
func (c *cell) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", c.network, host, port) }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
