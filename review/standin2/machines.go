//go:build review

package main

import (
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// vm is an entry VM: a process of the deploy file's program.
type vm struct {
	name, zone         string
	front, ready, peer string
	storeAddr          string
	folder, program    string
	memoryMB           int
	// restartAfter is the time from an end of the process to its next start.
	restartAfter time.Duration
	record       func(string, ...any)

	mutex  sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ends   int
	closed bool
	peak   int
	killed []string
}

// usedPorts holds the results of freeAddr.
var usedPorts = map[int]bool{}

// freeAddr returns a free address on loopback. Its port lies below those that the system gives to
// outgoing connections, which could take it before the VM listens.
func freeAddr() string {
	for range 1000 {
		port := 15000 + rand.Intn(16000)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		_ = l.Close()
		usedPorts[port] = true
		return l.Addr().String()
	}
	fail("no free port")
	return ""
}

func portOf(addr string) int {
	_, p, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(p)
	return n
}

// writeSettings writes the settings file as DEPLOY.md shows it, with the figures of a small site.
func (v *vm) writeSettings(advice string) string {
	f := map[string]any{
		"nodeName": v.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": "127.0.0.1", "zone": v.zone, "region": "r",
		"zones": map[string]string{"z-a": "r", "z-b": "r", "z-c": "r"}, "listenAddrs": map[string]string{"front": v.front, "ready": v.ready},
		"portRange": []int{portOf(v.peer), portOf(v.peer)}, "seeds": []string{}, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": v.memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
			"downgradeMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "holdMaxMs": 6000, "stopGraceMs": 400, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "remotePenalty": 2, "checkpointS": 2, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5,
			"maintenanceS": 2, "requireFence": false, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "impactMs": 4000,
		},
		"commands": "rpc", "advice": advice,
		"platform": map[string]any{
			"addr": v.storeAddr, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbPerS": 20.0, "readMbPerS": 80.0,
			"recordBytes": recordBytes, "requestBytes": requestBytes, "keep_s": 300, "partitionMb": 200, "ttlMinMs": 1000,
		},
		"cloudApi": map[string]any{"addr": "127.0.0.1:9", "perS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	}
	data, _ := json.MarshalIndent(f, "", "  ")
	path := filepath.Join(v.folder, v.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		fail("settings: %v", err)
	}
	return path
}

// start starts the process, and again some time after each of its ends, as the platform does.
func (v *vm) start(settings string) {
	if v.isClosed() {
		return
	}
	log, err := os.OpenFile(filepath.Join(v.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	cmd := exec.Command(v.program)
	cmd.Env = []string{"ALMONDPOST_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = log, log
	exited := make(chan struct{})
	v.mutex.Lock()
	if v.closed { // So that no process outlives stop.
		v.mutex.Unlock()
		return
	}
	if err := cmd.Start(); err != nil {
		v.mutex.Unlock()
		fail("start %s: %v", v.program, err)
	}
	v.cmd, v.exited = cmd, exited
	v.mutex.Unlock()
	v.record("%s started", v.name)
	go v.watchMemory(cmd, exited)
	go func() {
		err := cmd.Wait()
		close(exited)
		v.mutex.Lock()
		v.ends++
		closed := v.closed
		v.mutex.Unlock()
		if closed {
			return
		}
		v.record("%s ended: %v", v.name, err)
		v.mutex.Lock()
		pause := v.restartAfter
		v.mutex.Unlock()
		time.Sleep(pause)
		v.start(settings)
	}()
}

// residentMB returns the anonymous memory of a process in MB, which no one else can use.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory kills the process when it exceeds memoryMb, as DEPLOY.md says.
func (v *vm) watchMemory(cmd *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(cmd.Process.Pid)
		v.mutex.Lock()
		v.peak = max(v.peak, mb)
		v.mutex.Unlock()
		if v.memoryMB > 0 && mb > v.memoryMB {
			v.record("%s takes %d MB, more than its memoryMb of %d: killed by the platform", v.name, mb, v.memoryMB)
			v.mutex.Lock()
			v.killed = append(v.killed, v.name)
			v.mutex.Unlock()
			_ = cmd.Process.Kill()
			return
		}
	}
}

func (v *vm) kills() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return len(v.killed)
}

func (v *vm) peakMB() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.peak
}

func (v *vm) isClosed() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.closed
}

// stop ends the process for good.
func (v *vm) stop() {
	v.mutex.Lock()
	v.closed = true
	cmd, exited := v.cmd, v.exited
	v.mutex.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	select {
	case <-exited:
	case <-time.After(3 * time.Second):
	}
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}
