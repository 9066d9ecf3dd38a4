package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/platform"
)

const (
	// entryArgument is the argument with which the program runs as an entry VM.
	entryArgument = "entry"
	queueName     = "mail"
	queueHost     = "soak.example"
	queuePrefix   = "/mail/"
	serviceName   = "desk"
	// gracePeriod is the time from SIGTERM to SIGKILL, and finalGrace the part of it in
	// which an entry VM closes its connections.
	gracePeriod = 4 * time.Second
	finalGrace  = 1200 * time.Millisecond
	workerLease = 6 * time.Second
	// domainCount is the number of failure domains.
	domainCount = 3
	// partitionCount is the number of partitions of the store.
	partitionCount = 4
	// pageRecords is the number of newest records in one page of the store.
	pageRecords = 50
)

// cell is a set of entry VM processes with the stand-ins of their platform.
type cell struct {
	folder string
	ledger *ledger
	store  *memory.Store
	fleet  *memory.Fleet
	vms    []*entryVM
	// workers are the emulated workers, each at a fixed address.
	workers []*worker
	// configurationVersion is the version that was published last.
	configurationVersion atomic.Int64
	// lateCallPercent is the share of the calls to workers that get no answer and are
	// executed late.
	lateCallPercent atomic.Int64
	callers         callerTable
	// cuts counts the faults that cut off each failure domain, and nearCuts the cuts that
	// last, are about to begin or have just ended.
	cuts     [domainCount]atomic.Int64
	nearCuts atomic.Int64
	// inCut is held during faults that let the entries of a whole failure domain lapse, so
	// that they do not overlap.
	inCut sync.Mutex
	// heldUp is the longest time for which watch was late: a busy machine holds up the calls to
	// the store and the workers as well.
	heldUp time.Duration
	// spreadEnds is true if callers submit jobs as newSpreadJob draws them.
	spreadEnds bool
	// inOutage is held during faults that kill all entry VMs.
	inOutage sync.Mutex
}

// entryVM is one entry VM process, which is started again whenever it has ended.
type entryVM struct {
	name   string
	domain int
	// program is the command line of the process.
	program []string
	front   netip.AddrPort
	// storeLink is the connection of the VM to the store.
	storeLink *memory.Link
	settings  string
	logs      *os.File
	// lastWorkerCall is when the VM last called a worker, in Unix nanoseconds.
	lastWorkerCall atomic.Int64
	// lostAnswers counts the faults in which the answers of the workers of each failure
	// domain to the VM are lost.
	lostAnswers [domainCount]atomic.Int64
	// disturbed covers faults of the process and of its way to the store.
	disturbed disturbance
	// storeMutex protects storeCuts, the number of faults that cut the VM off the store.
	storeMutex sync.Mutex
	storeCuts  int
	// inFault is held during a fault of the process, so that they do not overlap.
	inFault sync.Mutex

	mutex   sync.Mutex
	process *os.Process
	// exited is closed when the current process has ended.
	exited chan struct{}
	// faulty is true during a fault of the process, and faultEnded is when the last one
	// ended. healthySince is when the process first answered after that, or zero. stopBegun
	// is when a planned stop began, or zero.
	faulty                              bool
	faultEnded, healthySince, stopBegun time.Time
}

// newCell starts the stand-ins and the entry VMs, which run the given command line. Logs
// go to the folder.
func newCell(folder string, vms, workers int, program []string, l *ledger) (*cell, error) {
	c := &cell{folder: folder, ledger: l, store: memory.New()}
	c.fleet = memory.NewObservedFleet(func(t work.TaskID) fleet.TaskProfile {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if j := l.jobs[t.Job]; j != nil {
			return fleet.TaskProfile{Size: j.spec.Steps[t.Step].Size, RunTime: j.spec.Steps[t.Step].Estimate, Lasting: j.spec.Steps[t.Step].Lasting}
		}
		return fleet.TaskProfile{}
	}, l)
	if err := c.publishConfiguration(); err != nil {
		return nil, err
	}
	for i := range workers {
		if err := c.addWorker(i); err != nil {
			return nil, err
		}
	}
	if err := c.addEntryVMs(vms, program); err != nil {
		return nil, err
	}
	for _, vm := range c.vms {
		if err := vm.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// loopback returns a loopback address of this process. Each soak uses another one, so that
// soaks that run at the same time don't take each other's ports.
func loopback() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>16&0x7f), byte(pid >> 8), byte(1 + pid%250)})
}

// listen listens on a free port.
func listen() (net.Listener, error) {
	return net.Listen("tcp", netip.AddrPortFrom(loopback(), 0).String())
}

// serve serves HTTP on a free port.
func serve(server *http.Server) (netip.AddrPort, error) {
	l, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	server.ReadHeaderTimeout = time.Minute
	go func() { _ = server.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// publishConfiguration stores the next version of the configuration. Each version has one
// more route than the one before.
func (c *cell) publishConfiguration() error {
	version := c.configurationVersion.Add(1)
	q := queue.Queue{Name: queueName, Host: queueHost, Prefix: queuePrefix, Service: serviceName, MaxAttempts: 3, Stretch: 2, Objective: time.Second}
	t := &queue.Table{Version: version, Queues: []queue.Queue{q}}
	for v := int64(1); v <= version; v++ {
		q.Name, q.Prefix = fmt.Sprintf("added-%d", v), addedPrefix(v)
		t.Queues = append(t.Queues, q)
	}
	_, err := c.store.Append(store.Append{Topic: store.Configuration, Records: []store.Record{{Key: "config", Value: platform.EncodeTable(t)}}})
	return err
}

// addedPrefix is the path prefix of the route that a version of the configuration adds.
func addedPrefix(version int64) string { return fmt.Sprintf("/added-%d/", version) }

// addEntryVMs prepares the entry VMs without starting their processes.
func (c *cell) addEntryVMs(count int, program []string) error {
	var stores []netip.AddrPort
	for i := range count {
		vm := &entryVM{name: fmt.Sprintf("vm-%d", i), domain: i % domainCount, program: program, storeLink: memory.NewLink(c.store)}
		vm.storeLink.LimitPages(pageRecords)
		vm.storeLink.HideChangesBetweenPages(true)
		address, err := serve(&http.Server{Handler: platform.NewStoreHandler(vm.storeLink)})
		if err != nil {
			return err
		}
		c.vms, stores = append(c.vms, vm), append(stores, address)
	}
	ports, err := freeAddresses(3 * count)
	if err != nil {
		return err
	}
	for i, vm := range c.vms {
		own := ports[3*i : 3*i+3]
		vm.front, vm.settings = own[0], filepath.Join(c.folder, vm.name+".json")
		data := platform.EncodeSettings(platform.StandInSettings{
			Name: vm.name, Zone: fmt.Sprintf("domain-%d", vm.domain), Front: own[0], Ready: own[1], Peer: own[2],
			Store: stores[i], Partitions: partitionCount, Adviser: stores[i], Grace: gracePeriod, Lease: workerLease,
		})
		if err := os.WriteFile(vm.settings, data, 0o600); err != nil {
			return err
		}
		if vm.logs, err = os.Create(filepath.Join(c.folder, vm.name+".log")); err != nil {
			return err
		}
	}
	return nil
}

// freeAddresses returns addresses at which nothing listens.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, n)
	for i := range addresses {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	return addresses, nil
}

// start starts the process of an entry VM.
func (vm *entryVM) start() error {
	cmd := exec.Command(vm.program[0], vm.program[1:]...)
	cmd.Env = append(os.Environ(), "ALMONDPOST_NODE_FILE="+vm.settings)
	cmd.Stdout, cmd.Stderr = vm.logs, vm.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	vm.mutex.Lock()
	vm.process, vm.exited, vm.stopBegun = cmd.Process, exited, time.Time{}
	vm.mutex.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// beginFault records that a fault of the VM's process begins, so that it need not answer.
func (vm *entryVM) beginFault() {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.faulty, vm.healthySince = true, time.Time{}
	vm.disturbed.begin()
}

// endFault records that a fault of the VM's process has ended.
func (vm *entryVM) endFault() {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.faulty, vm.faultEnded = false, time.Now()
	vm.disturbed.end(vm.faultEnded)
}

// answered records that the VM has answered a request that was sent at begun.
func (vm *entryVM) answered(begun time.Time) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if !vm.faulty && vm.healthySince.IsZero() && begun.After(vm.faultEnded) {
		vm.healthySince = time.Now()
	}
}

// owesAnswer reports whether the VM owes a complete answer to a request that was sent at
// begun: its process ran without a fault and did not close its connections yet.
func (vm *entryVM) owesAnswer(begun time.Time) bool {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.healthySince.IsZero() || begun.Before(vm.healthySince) {
		return false
	}
	return vm.stopBegun.IsZero() || time.Since(vm.stopBegun) < gracePeriod-finalGrace
}

// processID returns the ID of the current process.
func (vm *entryVM) processID() int {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process == nil {
		return 0
	}
	return vm.process.Pid
}

// currentProcess returns the channel that is closed when the current process has ended.
func (vm *entryVM) currentProcess() chan struct{} {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.exited
}

// signal sends a signal to the process of the VM, unless it has ended.
func (vm *entryVM) signal(s syscall.Signal) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	_ = vm.process.Signal(s)
}

// freeze suspends the process of the VM.
func (vm *entryVM) freeze(d time.Duration) {
	vm.beginFault()
	defer vm.endFault()
	vm.signal(syscall.SIGSTOP)
	time.Sleep(d)
	vm.signal(syscall.SIGCONT)
}

// kill ends the process of the VM at once and starts it again after a pause.
func (vm *entryVM) kill(pause time.Duration) error {
	vm.beginFault()
	defer vm.endFault()
	vm.signal(syscall.SIGKILL)
	<-vm.exited
	time.Sleep(pause)
	return vm.start()
}

// errKilledAfterGrace is the error of a planned stop that took longer than gracePeriod.
var errKilledAfterGrace = errors.New("the process did not exit within its grace period")

// replace stops the process of the VM as planned and starts it again after a pause.
func (vm *entryVM) replace(pause time.Duration) error {
	vm.mutex.Lock()
	vm.stopBegun = time.Now()
	vm.mutex.Unlock()
	vm.disturbed.begin()
	defer func() { vm.disturbed.end(time.Now()) }()
	vm.signal(syscall.SIGTERM)
	var late error
	select {
	case <-vm.exited:
	case <-time.After(gracePeriod + time.Second):
		late = errKilledAfterGrace
		vm.signal(syscall.SIGKILL)
		<-vm.exited
	}
	vm.beginFault()
	defer vm.endFault()
	time.Sleep(pause)
	return errors.Join(late, vm.start())
}

// leader returns the VM that has claimed leadership last, or nil before the first claim.
func (c *cell) leader() *entryVM { return c.leaderOf(math.MaxInt64) }

// leaderOf returns the VM that claimed leadership with the given epoch or, if none did, with
// the highest lower one, or nil.
func (c *cell) leaderOf(epoch int64) *entryVM {
	var newest struct {
		Epoch int64  `json:"epoch"`
		Name  string `json:"name"`
	}
	for _, r := range c.store.Records(store.Claims, 0) {
		claim := newest
		if json.Unmarshal(r.Value, &claim) == nil && claim.Epoch <= epoch && claim.Epoch > newest.Epoch {
			newest = claim
		}
	}
	for _, vm := range c.vms {
		if vm.name == newest.Name {
			return vm
		}
	}
	return nil
}

// keeper returns a VM that recently called workers for the leader, or nil.
func (c *cell) keeper() *entryVM {
	leader, since := c.leader(), time.Now().Add(-time.Second).UnixNano()
	var keepers []*entryVM
	for _, vm := range c.vms {
		if vm != leader && vm.lastWorkerCall.Load() > since {
			keepers = append(keepers, vm)
		}
	}
	if len(keepers) == 0 {
		return nil
	}
	return keepers[rand.IntN(len(keepers))]
}

// keeperOrFollower returns a keeper or, if there is none, another VM that does not lead.
func (c *cell) keeperOrFollower(f fault) *entryVM {
	if vm := c.keeper(); vm != nil {
		return vm
	}
	if vm := c.vm(f); vm != c.leader() {
		return vm
	}
	return c.vms[(f.target+1)%len(c.vms)]
}

// close ends all processes.
func (c *cell) close() {
	for _, vm := range c.vms {
		vm.beginFault()
		vm.signal(syscall.SIGCONT)
		vm.signal(syscall.SIGKILL)
		<-vm.exited
		_ = vm.logs.Close()
	}
}
