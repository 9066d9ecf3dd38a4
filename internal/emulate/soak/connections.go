package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callerScanInterval is how often callerTable looks for the callers of new connections,
	// and maxUnknownAge how old a connection is when it gives up.
	callerScanInterval = 100 * time.Millisecond
	maxUnknownAge      = time.Second
)

// connection is a connection from an entry VM to a worker.
type connection struct {
	// callerPort and workerPort are the ports of its ends.
	callerPort, workerPort int
	opened                 time.Time
	vm                     atomic.Pointer[entryVM]
}

type connectionKey struct{}

// caller returns the entry VM that opened the connection, or nil if it is not known.
func (c *connection) caller() *entryVM {
	if c == nil {
		return nil
	}
	return c.vm.Load()
}

// awaitCaller returns the entry VM that opened the connection, as caller does, but waits
// while the connection is too young to be known.
func (c *connection) awaitCaller() *entryVM {
	for c != nil && c.caller() == nil && time.Since(c.opened) < maxUnknownAge {
		time.Sleep(callerScanInterval / 10)
	}
	return c.caller()
}

// callerTable finds out which entry VMs have opened the connections to the workers. All
// entry VMs share a source address, so it compares the sockets of their processes. On
// systems without the folder /proc of Linux, no caller is known.
type callerTable struct {
	mutex sync.Mutex
	// unknown holds the connections since the last scan.
	unknown []*connection
}

// add records a new connection and adds it to the context of its calls.
func (c *callerTable) add(ctx context.Context, opened net.Conn) context.Context {
	n := &connection{callerPort: opened.RemoteAddr().(*net.TCPAddr).Port, workerPort: opened.LocalAddr().(*net.TCPAddr).Port, opened: time.Now()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unknown = append(c.unknown, n)
	return context.WithValue(ctx, connectionKey{}, n)
}

// run finds the callers of new connections until ctx is done.
func (c *callerTable) run(ctx context.Context, vms []*entryVM) {
	for ctx.Err() == nil {
		time.Sleep(callerScanInterval)
		c.mutex.Lock()
		unknown := c.unknown
		c.unknown = nil
		c.mutex.Unlock()
		if len(unknown) == 0 {
			continue
		}
		findCallers(unknown, vms)
		unknown = slices.DeleteFunc(unknown, func(n *connection) bool { return n.caller() != nil || time.Since(n.opened) > maxUnknownAge })
		c.mutex.Lock()
		c.unknown = append(c.unknown, unknown...)
		c.mutex.Unlock()
	}
}

// findCallers sets the callers of connections.
func findCallers(connections []*connection, vms []*entryVM) {
	ports := map[[2]int]*connection{}
	for _, n := range connections {
		ports[[2]int{n.callerPort, n.workerPort}] = n
	}
	sockets := socketsOf(ports)
	for _, vm := range vms {
		folder := fmt.Sprintf("/proc/%d/fd", vm.processID())
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			target, _ := os.Readlink(filepath.Join(folder, f.Name()))
			if n := sockets[target]; n != nil {
				n.vm.Store(vm)
			}
		}
	}
}

// socketsOf maps the names of the callers' sockets to their connections, given by the ports
// of the caller and the worker.
func socketsOf(ports map[[2]int]*connection) map[string]*connection {
	sockets := map[string]*connection{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		// The fields are: number, local address, remote address, state, queues, timer,
		// retransmits, user, timeout, inode.
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 {
			continue
		}
		if n := ports[[2]int{hexPort(fields[1]), hexPort(fields[2])}]; n != nil {
			sockets["socket:["+fields[9]+"]"] = n
		}
	}
	return sockets
}

// hexPort returns the port of an address such as 0100007F:1F90.
func hexPort(address string) int {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.ParseInt(port, 16, 32)
	return int(n)
}
