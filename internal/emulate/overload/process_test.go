package overload_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/platform"
)

const (
	queueHost   = "overload.example"
	queuePrefix = "/mail/"
	// reservedDescriptors is the part of a VM's descriptors that is reserved for files.
	reservedDescriptors = 200
	sampleInterval      = 10 * time.Millisecond
	// testTimeout bounds a test as a whole. It only ends a test that hangs.
	testTimeout = 60 * time.Second
)

// limits are the limits in the settings of a VM.
type limits struct{ memoryMB, descriptors int }

// process is an entry VM process and the peaks of what it has used.
type process struct {
	limits  limits
	front   netip.AddrPort
	command *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}

	mutex sync.Mutex
	// sockets is the peak of the open sockets, and unread that of the bytes that the system
	// has received for the process and the process has not read.
	sockets, unread int
}

// startProcess starts an entry VM with the stand-in of its platform and waits until it has
// its configuration. The process is ended with the test.
func startProcess(t *testing.T, l limits) *process {
	is := is.New(t)
	s := memory.New()
	table := &queue.Table{Version: 1, Queues: []queue.Queue{{Name: "mail", Host: queueHost, Prefix: queuePrefix, Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}}
	_, err := s.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: "config", Value: platform.EncodeTable(table)}}})
	is.NoErr(err)
	link := memory.NewLink(s)
	link.LimitPages(50)
	standIn := httptest.NewServer(platform.NewStoreHandler(link))
	t.Cleanup(standIn.CloseClientConnections)
	storeAddress := standIn.Listener.Addr().(*net.TCPAddr).AddrPort()
	ports := freeAddresses(t, 3)
	folder := t.TempDir()
	settings := filepath.Join(folder, "vm.json")
	is.NoErr(os.WriteFile(settings, encodeSettings(t, l, platform.StandInSettings{
		Name: "vm-0", Zone: "domain-0", Front: ports[0], Ready: ports[1], Peer: ports[2], Store: storeAddress, Adviser: storeAddress,
		Partitions: 4, Grace: 4 * time.Second, Lease: 6 * time.Second,
	}), 0o600))
	logs, err := os.Create(filepath.Join(folder, "vm.log"))
	is.NoErr(err)
	p := &process{limits: l, front: ports[0], command: exec.Command(program), exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), "ALMONDPOST_NODE_FILE="+settings)
	p.command.Stdout, p.command.Stderr = logs, logs
	is.NoErr(p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		_ = logs.Close()
		if data, _ := os.ReadFile(logs.Name()); t.Failed() {
			t.Logf("end of the log of the process:\n%s", data[max(0, len(data)-4000):])
		}
	})
	p.awaitStatus(t, http.MethodGet, queuePrefix, nil, http.StatusOK)
	go p.sample()
	return p
}

// encodeSettings returns a settings file with the given limits.
func encodeSettings(t *testing.T, l limits, s platform.StandInSettings) []byte {
	is := is.New(t)
	var file map[string]any
	is.NoErr(json.Unmarshal(platform.EncodeSettings(s), &file))
	values := file["limits"].(map[string]any)
	values["memoryMb"], values["maxFds"] = l.memoryMB, l.descriptors
	data, err := json.Marshal(file)
	is.NoErr(err)
	return data
}

// freeAddresses returns addresses at which nothing listens. The loopback address depends on
// the process, so that tests that run at the same time don't take each other's ports.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	is := is.New(t)
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(1 + pid>>16&0x7f), byte(pid >> 8), byte(1 + pid%250)})
	var addresses []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses
}

// awaitStatus repeats a request on new connections until the answer has the given status, as
// callers do that get no answer or 503.
func (p *process) awaitStatus(t *testing.T, method, path string, body []byte, status int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout / 4}
	var last string
	for end := time.Now().Add(testTimeout / 2); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequestWithContext(t.Context(), method, "http://"+p.front.String()+path, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = queueHost
		r.Header.Set("Deadline-Ms", "3000")
		response, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == status {
			return
		}
		last = response.Status
	}
	t.Errorf("%s %s: %s, not %d", method, path, last, status)
}

// sample records the peaks of what the process uses until it has ended.
func (p *process) sample() {
	for {
		sockets, unread := p.openSockets(), p.unreadBytes()
		p.mutex.Lock()
		p.sockets, p.unread = max(p.sockets, sockets), max(p.unread, unread)
		p.mutex.Unlock()
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// openSockets returns the number of the sockets that the process has open.
func (p *process) openSockets() int {
	folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	files, _ := os.ReadDir(folder)
	n := 0
	for _, f := range files {
		if target, _ := os.Readlink(filepath.Join(folder, f.Name())); strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// unreadBytes returns how many bytes from callers wait in the receive queues of the system.
func (p *process) unreadBytes() int {
	data, _ := os.ReadFile("/proc/net/tcp")
	a := p.front.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", a[3], a[2], a[1], a[0], p.front.Port())
	const established = "01"
	n := 0
	for line := range strings.Lines(string(data)) {
		// The fields are: number, local address, remote address, state, queues.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] != established {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		n += int(bytes)
	}
	return n
}

// awaitRead waits until the process has read what the callers have sent, so that the peaks
// include it. It gives up when the process reads nothing any more.
func (p *process) awaitRead() {
	for last, since := -1, time.Now(); time.Since(since) < 2*time.Second; time.Sleep(sampleInterval) {
		n := p.unreadBytes()
		if n == 0 {
			return
		}
		if n != last {
			last, since = n, time.Now()
		}
	}
}

// peakResidentBytes returns the peak of the resident memory of the process.
func (p *process) peakResidentBytes() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes << 10
		}
	}
	return 0
}

// check fails the test if the process has ended or used more than its settings allow.
func (p *process) check(t *testing.T) {
	select {
	case <-p.exited:
		t.Errorf("the process has ended: %s", p.command.ProcessState)
		return
	default:
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resident := p.peakResidentBytes()
	t.Logf("peaks: resident %.1f MB, unread %.1f MB, sockets %d", float64(resident)/(1<<20), float64(p.unread)/(1<<20), p.sockets)
	if resident == 0 {
		t.Error("the resident memory is not known")
	}
	if limit := p.limits.memoryMB << 20; resident+p.unread > limit {
		t.Errorf("the process used %d bytes of memory and had %d unread; its limit is %d", resident, p.unread, limit)
	}
	if limit := p.limits.descriptors - reservedDescriptors; p.sockets > limit {
		t.Errorf("the process had %d open sockets; its limit is %d", p.sockets, limit)
	}
}
