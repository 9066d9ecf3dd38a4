// Package cluster starts the programs of a deployment as separate processes on
// loopback, for the load program and for tests. The daemon never uses it.
package cluster

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/settings"
	"github.com/almondpost/almondpost/internal/operate/deployment"
	"github.com/almondpost/almondpost/internal/peer/logservice"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/state/configuration"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindBuild   Kind = "build"
	KindStart   Kind = "start"
	KindTimeout Kind = "timeout"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	startTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// Programs are the paths of the built programs.
type Programs struct{ Almondpost, Standin string }

// Build builds the programs from the module's root into a folder.
func Build(ctx context.Context, root, into string) (Programs, error) {
	p := Programs{Almondpost: filepath.Join(into, "almondpost"), Standin: filepath.Join(into, "standin")}
	for path, source := range map[string]string{p.Almondpost: ".", p.Standin: "./cmd/standin"} {
		c := exec.CommandContext(ctx, "go", "build", "-o", path, source)
		c.Dir = root
		if out, err := c.CombinedOutput(); err != nil {
			return p, fault.Newf("build", KindBuild, "%s: %w: %s", source, err, out)
		}
	}
	return p, nil
}

// Process is one started program.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}
}

// Kill ends the process at once.
func (p *Process) Kill() { _ = p.command.Process.Kill(); <-p.done }

// Terminate asks the process to stop.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Freeze pauses the process.
func (p *Process) Freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Entry is one running entry VM.
type Entry struct {
	*Process
	Domain string
	Caller netip.AddrPort
	Peer   netip.AddrPort
}

// Cluster is a running deployment.
type Cluster struct {
	Deployment deployment.Deployment
	Log        logservice.Log
	Entries    []*Entry

	programs  Programs
	folder    string
	client    *http.Client
	processes []*Process
	logAt     netip.AddrPort
	listAt    netip.AddrPort
	fleets    []netip.AddrPort
	mutex     sync.Mutex
	adjust    func(s *settings.Settings)
}

// Options change what Start does.
type Options struct {
	// Folder keeps settings and logs of the processes.
	Folder string
	// Adjust changes the settings of every entry VM.
	Adjust func(s *settings.Settings)
	// RetainedRecords is what a log stream retains; 0 means the default.
	RetainedRecords int
}

// Start starts every process of a deployment and publishes its lists.
func Start(ctx context.Context, p Programs, d deployment.Deployment, o Options) (*Cluster, error) {
	c := &Cluster{Deployment: d, programs: p, folder: o.Folder, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, adjust: o.Adjust}
	if err := c.start(ctx, o); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, o Options) error {
	var args []string
	if o.RetainedRecords > 0 {
		args = []string{"-retained", fmt.Sprint(o.RetainedRecords)}
	}
	log, err := c.standin("log", nil, args...)
	if err != nil {
		return err
	}
	c.logAt = log.Address
	c.Log = logservice.New(c.logAt, c.client)
	rows, err := c.startWorkers()
	if err != nil {
		return err
	}
	list, err := c.standin("vms", &standin.FileSettings{VMs: rows})
	if err != nil {
		return err
	}
	c.listAt = list.Address
	for _, e := range c.Deployment.Entries() {
		if _, err := c.StartEntry(ctx, e.Name, e.Domain); err != nil {
			return err
		}
	}
	if _, err := configuration.Publish(ctx, c.Log, 0, "cluster", c.Deployment.Lists); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// startWorkers starts one stand-in process for the workers of each domain.
func (c *Cluster) startWorkers() ([]vmlist.VM, error) {
	var rows []vmlist.VM
	for _, domain := range c.Deployment.Domains {
		file := &standin.FileSettings{}
		loopback := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)
		for _, w := range c.Deployment.Workers() {
			if w.Domain == domain {
				file.Workers = append(file.Workers, standin.WorkerSettings{Name: w.Name, Domain: w.Domain, Rack: w.Rack, Capacity: w.Capacity, Listen: loopback})
			}
		}
		started, err := c.standin("workers", file)
		if err != nil {
			return nil, err
		}
		c.fleets = append(c.fleets, started.Address)
		for _, w := range file.Workers {
			rows = append(rows, vmlist.VM{Name: w.Name, Role: vmlist.Worker, Domain: w.Domain, Rack: w.Rack, Address: started.Workers[w.Name]})
		}
	}
	return rows, nil
}

func (c *Cluster) standin(role string, file *standin.FileSettings, more ...string) (standin.Started, error) {
	args := append([]string{"-role", role}, more...)
	name := fmt.Sprintf("%s-%d", role, len(c.processes))
	if file != nil {
		path, err := c.write(name, file)
		if err != nil {
			return standin.Started{}, err
		}
		args = append(args, "-settings", path)
	}
	var started standin.Started
	_, err := c.launch(name, c.programs.Standin, args, &started)
	return started, err
}

func (c *Cluster) write(name string, value any) (string, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.folder, name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// launch starts a program and decodes the line that it prints once it serves.
func (c *Cluster) launch(name, program string, args []string, started any) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.New("launch", KindStart, err)
	}
	command := exec.Command(program, args...)
	command.Stderr = logFile
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, fault.New("launch", KindStart, err)
	}
	if err := command.Start(); err != nil {
		return nil, fault.New("launch", KindStart, err)
	}
	p := &Process{Name: name, command: command, done: make(chan struct{})}
	c.mutex.Lock()
	c.processes = append(c.processes, p)
	c.mutex.Unlock()
	reader := bufio.NewReader(out)
	line, readErr := reader.ReadBytes('\n')
	go func() {
		_, _ = io.Copy(io.Discard, reader)
		_ = command.Wait()
		_ = logFile.Close()
		close(p.done)
	}()
	if readErr != nil {
		return nil, fault.Newf("launch", KindStart, "%s ended before it served: %w", name, readErr)
	}
	if err := json.Unmarshal(line, started); err != nil {
		return nil, fault.New("launch", KindStart, err)
	}
	return p, nil
}

// started is the line of an entry VM.
type started struct {
	Name   string         `json:"name"`
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
}

// StartEntry starts an entry VM and adds it to the VM list.
func (c *Cluster) StartEntry(ctx context.Context, name, domain string) (*Entry, error) {
	s := settings.Default()
	s.Name, s.Domain, s.Log, s.VMList = name, domain, c.logAt, c.listAt
	for _, e := range c.Entries {
		s.Seeds = append(s.Seeds, e.Peer)
	}
	if c.adjust != nil {
		c.adjust(&s)
	}
	path, err := c.write("entry-"+name, s)
	if err != nil {
		return nil, err
	}
	var line started
	p, err := c.launch("entry-"+name, c.programs.Almondpost, []string{"entry", "-settings", path}, &line)
	if err != nil {
		return nil, err
	}
	e := &Entry{Process: p, Domain: domain, Caller: line.Caller, Peer: line.Peer}
	e.Name = name
	c.Entries = append(c.Entries, e)
	return e, c.control(ctx, c.listAt, "set", vmlist.VM{Name: name, Role: vmlist.Entry, Domain: domain, Address: e.Peer})
}

// IsReady reports whether an entry VM is ready.
func (c *Cluster) IsReady(ctx context.Context, e *Entry) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Caller.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	r, err := c.client.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// WaitReady waits until every entry VM is ready and every worker adopted.
func (c *Cluster) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if c.ready(ctx) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return fault.Newf("wait", KindTimeout, "not ready after %s", startTimeout)
}

// AwaitAdopted waits until the live entry VMs hold every worker.
func (c *Cluster) AwaitAdopted(ctx context.Context) error {
	for {
		adopted := 0
		for _, e := range c.Entries {
			select {
			case <-e.Done():
				continue
			default:
			}
			if v, err := c.variables(ctx, e); err == nil {
				adopted += v.Owner.Workers
			}
		}
		if adopted >= len(c.Deployment.Workers()) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(readyPoll)
	}
}

func (c *Cluster) ready(ctx context.Context) bool {
	adopted := 0
	for _, e := range c.Entries {
		select {
		case <-e.Done():
			continue
		default:
		}
		v, err := c.variables(ctx, e)
		if err != nil || !c.IsReady(ctx, e) {
			return false
		}
		adopted += v.Owner.Workers
	}
	return adopted == len(c.Deployment.Workers())
}

// Close ends every process.
func (c *Cluster) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := len(c.processes) - 1; i >= 0; i-- {
		p := c.processes[i]
		p.Thaw()
		_ = p.command.Process.Kill()
		<-p.done
	}
	c.client.CloseIdleConnections()
}
