package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/traffic"
)

// ServiceName is the name under which an entry VM registers its net/rpc service.
const ServiceName = "Entry"

// Timing of connections between entry VMs.
const (
	DialTimeout = time.Second
	// CallTimeout is for callers to set as the deadline of short calls; Call itself
	// does not apply it.
	CallTimeout = 3 * time.Second
	// PingInterval is the pause between pings on a connection with calls in flight.
	PingInterval = time.Second
	// PingTimeout is how long a ping may go unanswered before the connection is
	// closed.
	PingTimeout = 2500 * time.Millisecond
)

// Client makes calls to other entry VMs over one connection per peer. It pings a
// connection while calls are in flight. A connection that stops answering is
// closed, and the next call opens a new one.
type Client struct {
	counter *traffic.Counter
	// blocked reports whether fault injection cuts off a peer from this client.
	blocked     func(a netip.AddrPort) bool
	mutex       sync.Mutex
	connections map[netip.AddrPort]*connection
}

// connection is the connection to one peer.
type connection struct {
	rpc *rpc.Client
	// outstanding is the number of calls in flight.
	outstanding int
	// dropped is closed together with the connection.
	dropped chan struct{}
	// probing is true while a goroutine pings the connection.
	probing bool
}

// NewClient returns a client that counts its traffic in counter. Calls to peers for which
// blocked returns true fail.
func NewClient(counter *traffic.Counter, blocked func(a netip.AddrPort) bool) *Client {
	return &Client{counter: counter, blocked: blocked, connections: map[netip.AddrPort]*connection{}}
}

// acquire returns the open connection to a peer or dials a new one, and counts a
// call in flight on it until release.
func (c *Client) acquire(a netip.AddrPort) (*connection, error) {
	c.mutex.Lock()
	if p := c.connections[a]; p != nil {
		p.outstanding++
		c.probe(a, p)
		c.mutex.Unlock()
		return p, nil
	}
	c.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", a.String(), DialTimeout)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.connections[a]; p != nil {
		_ = conn.Close()
		p.outstanding++
		return p, nil
	}
	p := &connection{rpc: rpc.NewClient(traffic.WrapConn(conn, c.counter)), outstanding: 1, dropped: make(chan struct{})}
	c.connections[a] = p
	c.probe(a, p)
	return p, nil
}

// probe starts a goroutine that pings a connection while calls are in flight on it
// and drops it when a ping fails. The caller must hold the mutex.
func (c *Client) probe(a netip.AddrPort, p *connection) {
	if p.probing {
		return
	}
	p.probing = true
	go func() {
		for {
			time.Sleep(PingInterval)
			c.mutex.Lock()
			if p.outstanding == 0 {
				p.probing = false
				c.mutex.Unlock()
				return
			}
			c.mutex.Unlock()
			call := p.rpc.Go(ServiceName+".Ping", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
			select {
			case <-call.Done:
				if call.Error == nil && !c.blocked(a) {
					continue
				}
			case <-time.After(PingTimeout):
			}
			c.drop(a, p)
			return
		}
	}()
}

// drop closes a connection and ends the calls in flight on it with KindUnknown.
func (c *Client) drop(a netip.AddrPort, p *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[a] == p {
		delete(c.connections, a)
		close(p.dropped)
		_ = p.rpc.Close()
	}
}

// release ends the count that acquire began.
func (c *Client) release(p *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.outstanding--
}

// Call calls a method of a peer's service and waits for the reply until ctx ends.
// Errors are of type *Error. KindNotSent guarantees that nothing was sent.
func (c *Client) Call(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
	if c.blocked(a) {
		return fault.Newf(method, KindNotSent, "fault injection blocks the peer")
	}
	p, err := c.acquire(a)
	if err != nil {
		return fault.New(method, KindNotSent, err)
	}
	defer c.release(p)
	call := p.rpc.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if c.blocked(a) {
			return fault.Newf(method, KindUnknown, "fault injection drops the answer of the peer")
		}
		return c.classifyError(a, p, method, call.Error)
	case <-p.dropped:
		return fault.Newf(method, KindUnknown, "the connection was dropped before the answer arrived")
	case <-ctx.Done():
		return fault.New(method, KindUnknown, ctx.Err())
	}
}

// classifyError converts the error of a finished call. It drops the connection when
// the error does not come from the called method.
func (c *Client) classifyError(a netip.AddrPort, p *connection, method string, err error) error {
	var serverError rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &serverError):
		if string(serverError) == string(KindEpochMismatch) {
			return fault.New(method, KindEpochMismatch, err)
		}
		return fault.New(method, KindUnknown, err)
	}
	c.drop(a, p)
	return fault.New(method, KindUnknown, err)
}

// Close closes every connection.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for a, p := range c.connections {
		delete(c.connections, a)
		close(p.dropped)
		_ = p.rpc.Close()
	}
}
