// Package cluster runs a whole deployment on loopback for the load program and for
// tests: the entry VMs and stand-ins for the platform and the workers, each as a
// separate process. It can kill and pause processes and inject faults. The daemon
// does not import it.
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
	// KindBuild means that a program did not compile.
	KindBuild Kind = "build"
	// KindStart means that a process did not start or ended during its start.
	KindStart Kind = "start"
	// KindTimeout means that the cluster was not ready in time.
	KindTimeout Kind = "timeout"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// readyTimeout is how long WaitReady waits for the cluster to become ready.
	readyTimeout = 20 * time.Second
	// pollInterval is the pause between two checks of the cluster in WaitReady and
	// WaitAdopted.
	pollInterval = 20 * time.Millisecond
)

// Programs holds the file paths of the built programs.
type Programs struct{ AlmondpostPath, StandinPath string }

// Build compiles the programs into a folder. root is the root folder of the module.
// A compile error is returned with the compiler's output.
func Build(ctx context.Context, root, outputFolder string) (Programs, error) {
	p := Programs{AlmondpostPath: filepath.Join(outputFolder, "almondpost"), StandinPath: filepath.Join(outputFolder, "standin")}
	for path, source := range map[string]string{p.AlmondpostPath: ".", p.StandinPath: "./cmd/standin"} {
		c := exec.CommandContext(ctx, "go", "build", "-o", path, source)
		c.Dir = root
		if out, err := c.CombinedOutput(); err != nil {
			return p, fault.Newf("build", KindBuild, "%s: %w: %s", source, err, out)
		}
	}
	return p, nil
}

// Process is a process of the cluster, which may have ended.
type Process struct {
	Name    string
	command *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// Kill kills the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() { _ = p.command.Process.Kill(); <-p.done }

// Terminate sends SIGTERM, on which an entry VM drains and stops. It does not wait.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Freeze pauses the process with SIGSTOP.
func (p *Process) Freeze() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a paused process with SIGCONT.
func (p *Process) Thaw() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// EntryVM is the process of one entry VM.
type EntryVM struct {
	*Process
	// Domain is the failure domain of the entry VM.
	Domain string
	// CallerAddress is where the entry VM serves callers over HTTP.
	CallerAddress netip.AddrPort
	// PeerAddress is where the entry VM serves other entry VMs.
	PeerAddress netip.AddrPort
}

// Cluster is a running deployment.
type Cluster struct {
	Deployment deployment.Deployment
	// Log is a client of the stand-in log service.
	Log logservice.Log
	// EntryVMs are the entry VMs that were started, including those that have ended.
	// The load program removes the entry VMs that it replaces.
	EntryVMs []*EntryVM

	programs  Programs
	folder    string
	client    *http.Client
	processes []*Process
	// logAddress and vmListAddress are the addresses of the stand-ins for the log
	// service and the VM list.
	logAddress    netip.AddrPort
	vmListAddress netip.AddrPort
	// workerControls lists the addresses at which the stand-in worker processes
	// accept control requests, for example to inject faults.
	workerControls []netip.AddrPort
	// mutex guards processes.
	mutex          sync.Mutex
	adjustSettings func(s *settings.Settings)
}

// Options configures Start.
type Options struct {
	// Folder is where the settings and logs of the processes are written.
	Folder string
	// AdjustSettings changes the settings of each entry VM before its start; nil
	// means no changes.
	AdjustSettings func(s *settings.Settings)
	// RetainedRecords is the number of records that each log stream retains; 0 means
	// the default.
	RetainedRecords int
}

// Start starts every process of a deployment, publishes its lists of customers and
// entitlements, and waits until it is ready. On an error it ends the processes.
func Start(ctx context.Context, p Programs, d deployment.Deployment, o Options) (*Cluster, error) {
	c := &Cluster{Deployment: d, programs: p, folder: o.Folder, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, adjustSettings: o.AdjustSettings}
	if err := c.startAndWait(ctx, o); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startAndWait starts the processes and waits until the cluster is ready. It
// does not end the processes after an error; Start does.
func (c *Cluster) startAndWait(ctx context.Context, o Options) error {
	var args []string
	if o.RetainedRecords > 0 {
		args = []string{"-retained", fmt.Sprint(o.RetainedRecords)}
	}
	log, err := c.startStandin("log", nil, args...)
	if err != nil {
		return err
	}
	c.logAddress = log.Address
	c.Log = logservice.New(c.logAddress, c.client)
	rows, err := c.startWorkers()
	if err != nil {
		return err
	}
	list, err := c.startStandin("vms", &standin.FileSettings{VMs: rows})
	if err != nil {
		return err
	}
	c.vmListAddress = list.Address
	for _, e := range c.Deployment.Entries() {
		if _, err := c.StartEntryVM(ctx, e.Name, e.Domain); err != nil {
			return err
		}
	}
	if _, err := configuration.Publish(ctx, c.Log, 0, "cluster", c.Deployment.Lists); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// startWorkers starts one stand-in process for each failure domain, which
// emulates all workers of that domain. It returns the entries of the workers in
// the VM list.
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
		started, err := c.startStandin("workers", file)
		if err != nil {
			return nil, err
		}
		c.workerControls = append(c.workerControls, started.Address)
		for _, w := range file.Workers {
			rows = append(rows, vmlist.VM{Name: w.Name, Role: vmlist.RoleWorker, Domain: w.Domain, Rack: w.Rack, Address: started.Workers[w.Name]})
		}
	}
	return rows, nil
}

// startStandin starts the stand-in program in a role. file is its settings file and
// may be nil.
func (c *Cluster) startStandin(role string, file *standin.FileSettings, extraArgs ...string) (standin.StartedMessage, error) {
	args := append([]string{"-role", role}, extraArgs...)
	name := fmt.Sprintf("%s-%d", role, len(c.processes))
	if file != nil {
		path, err := c.writeJSON(name, file)
		if err != nil {
			return standin.StartedMessage{}, err
		}
		args = append(args, "-settings", path)
	}
	var started standin.StartedMessage
	_, err := c.launch(name, c.programs.StandinPath, args, &started)
	return started, err
}

// writeJSON writes a value to a JSON file in the cluster's folder and returns
// the path of the file.
func (c *Cluster) writeJSON(name string, value any) (string, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.folder, name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// launch starts a program and decodes the JSON line that it prints to its standard
// output once it accepts connections. Its standard error goes to a log file.
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
		return nil, fault.Newf("launch", KindStart, "%s ended before it printed its addresses: %w", name, readErr)
	}
	if err := json.Unmarshal(line, started); err != nil {
		return nil, fault.New("launch", KindStart, err)
	}
	return p, nil
}

// entryAddresses is the JSON line that an entry VM prints once it accepts
// connections.
type entryAddresses struct {
	Name          string         `json:"name"`
	CallerAddress netip.AddrPort `json:"caller"`
	PeerAddress   netip.AddrPort `json:"peer"`
}

// StartEntryVM starts an entry VM with the other entry VMs as seeds and adds it to
// the VM list. It does not wait until the entry VM is ready.
func (c *Cluster) StartEntryVM(ctx context.Context, name, domain string) (*EntryVM, error) {
	s := settings.Default()
	s.Name, s.Domain, s.Log, s.VMList = name, domain, c.logAddress, c.vmListAddress
	for _, e := range c.EntryVMs {
		s.Seeds = append(s.Seeds, e.PeerAddress)
	}
	if c.adjustSettings != nil {
		c.adjustSettings(&s)
	}
	path, err := c.writeJSON("entry-"+name, s)
	if err != nil {
		return nil, err
	}
	var addresses entryAddresses
	p, err := c.launch("entry-"+name, c.programs.AlmondpostPath, []string{"entry", "-settings", path}, &addresses)
	if err != nil {
		return nil, err
	}
	e := &EntryVM{Process: p, Domain: domain, CallerAddress: addresses.CallerAddress, PeerAddress: addresses.PeerAddress}
	e.Name = name
	c.EntryVMs = append(c.EntryVMs, e)
	return e, c.postControl(ctx, c.vmListAddress, "set", vmlist.VM{Name: name, Role: vmlist.RoleEntry, Domain: domain, Address: e.PeerAddress})
}

// IsReady reports whether an entry VM answers its readiness check with status 200.
func (c *Cluster) IsReady(ctx context.Context, e *EntryVM) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.CallerAddress.String()+"/readyz", nil)
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

// WaitReady waits until every live entry VM is ready and they have adopted every
// worker. It returns KindTimeout after readyTimeout.
func (c *Cluster) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if c.allEntryVMsReady(ctx) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fault.Newf("wait", KindTimeout, "cluster is not ready after %s", readyTimeout)
}

// WaitAdopted waits until the live entry VMs have adopted every worker. It returns
// the error of ctx when ctx ends first.
func (c *Cluster) WaitAdopted(ctx context.Context) error {
	for {
		adopted := 0
		for _, e := range c.EntryVMs {
			select {
			case <-e.Done():
				continue
			default:
			}
			if v, err := c.readVariables(ctx, e); err == nil {
				adopted += v.Owner.Workers
			}
		}
		if adopted >= len(c.Deployment.Workers()) {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(pollInterval)
	}
}

// allEntryVMsReady reports whether every live entry VM is ready and they have adopted every
// worker.
func (c *Cluster) allEntryVMsReady(ctx context.Context) bool {
	adopted := 0
	for _, e := range c.EntryVMs {
		select {
		case <-e.Done():
			continue
		default:
		}
		v, err := c.readVariables(ctx, e)
		if err != nil || !c.IsReady(ctx, e) {
			return false
		}
		adopted += v.Owner.Workers
	}
	return adopted == len(c.Deployment.Workers())
}

// Close kills every process and waits until it has ended. The processes that
// were started last are killed first.
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
