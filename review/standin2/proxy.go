//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to one address. Its connections can be made silent.
type proxy struct {
	target string
	addr   string
	mutex  sync.Mutex
	silent int // connections with a lower number are silent
	next   int
	live   int // connections that both ends hold open
}

func startProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("proxy: %v", err)
	}
	p := &proxy{target: target, addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mutex.Lock()
	number := p.next
	p.next++
	p.live++
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		p.live--
		p.mutex.Unlock()
		_ = c.Close()
		_ = t.Close()
	}()
	isSilent := func() bool {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		return number < p.silent
	}
	copyWhileAudible := func(to, from net.Conn) {
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			if isSilent() {
				// Nothing arrives any more, neither bytes nor an end.
				if err != nil {
					return
				}
				continue
			}
			if n > 0 {
				if _, err := to.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				if err == io.EOF {
					_ = to.Close()
				}
				return
			}
		}
	}
	go copyWhileAudible(t, c)
	copyWhileAudible(c, t)
}

// openConnections returns how many connections both ends hold open.
func (p *proxy) openConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.live
}

// silence makes all open connections go silent for good, without a reset. New ones work.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silent = p.next
}
