package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards the connections of one entry VM to the store. Its open connections can be
// made to go silent for good; later ones work.
type proxy struct {
	target  string
	address string
	mutex   sync.Mutex
	// generation is increased when the open connections go silent.
	generation int
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{target: target, address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p
}

func (p *proxy) current() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.generation
}

// silence makes the open connections go silent.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.generation++
}

func (p *proxy) forward(from net.Conn) {
	generation := p.current()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	var group sync.WaitGroup
	for _, way := range [2][2]net.Conn{{from, to}, {to, from}} {
		group.Go(func() { p.copy(way[1], way[0], generation) })
	}
	group.Wait()
	_, _ = from.Close(), to.Close()
}

// copy forwards in one direction until an end closes the connection. It drops what comes after
// the connection has gone silent, and then doesn't pass on that it is closed.
func (p *proxy) copy(to, from net.Conn, generation int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		silent := p.current() != generation
		if n > 0 && !silent {
			_, _ = to.Write(buffer[:n])
		}
		if err == io.EOF && !silent {
			_ = to.(*net.TCPConn).CloseWrite()
		}
		if err != nil {
			return
		}
	}
}
