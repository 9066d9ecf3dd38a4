//go:build review

package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ethernetSegment is the largest segment of a TCP connection over Ethernet. On the loopback device
// segments, and with them the buffers of a connection, would be over forty times as large.
const ethernetSegment = 1460

// peerProxy forwards the connections from other entry VMs to one entry VM. It can silence those that
// are open: then it forwards nothing any more on them, and closes them neither.
type peerProxy struct {
	target string
	// openAt is when the proxy begins to forward.
	openAt time.Time
	mutex  sync.Mutex
	silent []chan struct{}
	open   atomic.Int64
}

func newPeerProxy(listen, target string, openAt time.Time) (*peerProxy, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var result error
		if err := c.Control(func(fd uintptr) {
			if result = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment); result == nil {
				result = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2304)
			}
		}); err != nil {
			return err
		}
		return result
	}}
	l, err := config.Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &peerProxy{target: target, openAt: openAt}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// forward forwards one connection until it ends or is silenced.
func (p *peerProxy) forward(c net.Conn) {
	time.Sleep(time.Until(p.openAt))
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	silent := make(chan struct{})
	p.mutex.Lock()
	p.silent = append(p.silent, silent)
	p.mutex.Unlock()
	p.open.Add(1)
	defer p.open.Add(-1)
	var g sync.WaitGroup
	pipe := func(from, to net.Conn) {
		data := make([]byte, 16<<10)
		for {
			n, err := from.Read(data)
			select {
			case <-silent:
				select {} // Neither forwards nor closes.
			default:
			}
			if n > 0 {
				if _, err := to.Write(data[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_, _ = from.Close(), to.Close()
	}
	g.Go(func() { pipe(c, target) })
	g.Go(func() { pipe(target, c) })
	g.Wait()
}

// silence silences the connections that are open, and returns their number.
func (p *peerProxy) silence() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.silent {
		close(s)
	}
	p.silent = nil
	return p.open.Load()
}

// throughProxies makes the entry VMs call each other through proxies: the address under which a VM
// registers in the store is that of its proxy. It also notes which VM has led last.
func (c *cell) throughProxies(vms int, leader *atomic.Value) ([]*peerProxy, error) {
	openAt := time.Now().Add(2 * time.Second)
	var proxies []*peerProxy
	var replace []string
	for i := range vms {
		own, proxied := c.address(10+i, 7380), c.address(30+i, 7380)
		p, err := newPeerProxy(proxied, own, openAt)
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, p)
		replace = append(replace, own, proxied) // Of equal length.
	}
	addresses := strings.NewReplacer(replace...)
	c.wrapStore = func(vm string, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "log-append") {
				if r.URL.Query().Has("producer") {
					leader.Store(vm)
				}
				data, err := io.ReadAll(r.Body)
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				r.Body = io.NopCloser(bytes.NewReader([]byte(addresses.Replace(string(data)))))
			}
			next.ServeHTTP(w, r)
		})
	}
	return proxies, nil
}

// silentConnection: the open connections to the leader from the other entry VMs go silent, while new
// ones work. Then a client sends each of the others a large submission of legal size. There is one
// entry VM in each zone, so the platform sends the clients of a zone to the same VM each time.
func silentConnection(c *cell, program string, trouble bool) int {
	const vms, workers = 3, 8
	var leader atomic.Value
	t := newTracker(c.record, workers*workerCPU)
	proxies, err := c.throughProxies(vms, &leader)
	if err != nil || c.publish(1) != nil || c.addWorkers(workers, func(string, string) time.Duration { return 300 * time.Millisecond }, t.observe) != nil || c.addVMs(vms, 284, program) != nil || !c.awaitReady() {
		c.record.printf("the cell did not start: %v", err)
		return 2
	}
	accepted := map[string]*vm{}
	post := func(v *vm, spec string, steps int, image string) {
		id := newID()
		status, answer := c.call(v, http.MethodPost, prefix+id, submission(spec, steps, 1, image), 3*time.Second)
		c.record.printf("POST %s at %s: %d %.60s", id, v.name, status, answer)
		if status == 200 {
			accepted[id] = v
		}
	}
	time.Sleep(2 * time.Second)
	for _, v := range c.vms {
		post(v, "x", 1, "")
	}
	time.Sleep(time.Second)
	for id, v := range accepted {
		status, answer := c.call(v, http.MethodGet, prefix+id, nil, 3*time.Second)
		c.record.printf("GET %s at %s: %d %s", id, v.name, status, answer)
	}
	time.Sleep(4 * time.Second)
	name, _ := leader.Load().(string)
	for i, v := range c.vms {
		if v.name != name {
			continue
		}
		c.record.printf("%s leads; %d connections to it are open", name, proxies[i].open.Load())
		if trouble {
			c.record.printf("%d connections go silent; new ones work", proxies[i].silence())
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, v := range c.vms {
		if v.name != name {
			post(v, "x", 64, strings.Repeat("i", 3000))
		}
	}
	time.Sleep(5 * time.Second) // More than contactMs: the machines are in touch again.
	for _, v := range c.vms {
		post(v, "x", 1, "")
	}
	c.record.printf("the traffic has ended")
	time.Sleep(finish)
	var g sync.WaitGroup
	var broken atomic.Int64
	for id, v := range accepted {
		g.Go(func() {
			for try := 1; try <= 5; try++ {
				status, answer := c.call(v, http.MethodGet, prefix+id, nil, 3*time.Second)
				c.record.printf("GET %s at %s, try %d: %d %.80s", id, v.name, try, status, answer)
				if status != 0 {
					return
				}
			}
			c.record.printf("broken: LOST: the client that has handed in %s gets no answer", id)
			broken.Add(1)
		})
	}
	g.Wait()
	for _, v := range c.vms {
		v.mutex.Lock()
		c.record.printf("%s: its process ended %d times; ready: %v", v.name, v.ends, v.ready)
		v.mutex.Unlock()
	}
	last, _ := leader.Load().(string)
	c.record.printf("leader at the end: %s; submissions without an answer: %d of %d", last, broken.Load(), len(accepted))
	if broken.Load() > 0 {
		return 1
	}
	return 0
}
