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
	// CallTimeout is the timeout of calls that are answered without waiting. Call
	// does not apply it; the caller of Call sets it on ctx.
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
	// isBlocked reports whether fault injection cuts off a peer from this client.
	isBlocked   func(a netip.AddrPort) bool
	mutex       sync.Mutex
	connections map[netip.AddrPort]*peerConnection
}

// peerConnection is the connection to one peer.
type peerConnection struct {
	rpcClient *rpc.Client
	// callsInFlight is the number of calls in flight.
	callsInFlight int
	// dropped is closed together with the connection.
	dropped chan struct{}
	// isProbing is true while a goroutine pings the connection.
	isProbing bool
}

// NewClient returns a client that counts its traffic in counter. A call fails
// when blocked returns true for its peer.
func NewClient(counter *traffic.Counter, blocked func(a netip.AddrPort) bool) *Client {
	return &Client{counter: counter, isBlocked: blocked, connections: map[netip.AddrPort]*peerConnection{}}
}

// acquireConnection returns the open connection to a peer or dials a new one. It
// counts one more call in flight on the connection, until releaseConnection is
// called.
func (c *Client) acquireConnection(a netip.AddrPort) (*peerConnection, error) {
	c.mutex.Lock()
	if p := c.connections[a]; p != nil {
		p.callsInFlight++
		c.startProbing(a, p)
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
		p.callsInFlight++
		return p, nil
	}
	p := &peerConnection{rpcClient: rpc.NewClient(traffic.WrapConn(conn, c.counter)), callsInFlight: 1, dropped: make(chan struct{})}
	c.connections[a] = p
	c.startProbing(a, p)
	return p, nil
}

// startProbing starts a goroutine, unless there is one, that pings a connection
// while calls are in flight on it and drops the connection when a ping fails. The
// caller must hold the mutex.
func (c *Client) startProbing(a netip.AddrPort, p *peerConnection) {
	if p.isProbing {
		return
	}
	p.isProbing = true
	go func() {
		for {
			time.Sleep(PingInterval)
			c.mutex.Lock()
			if p.callsInFlight == 0 {
				p.isProbing = false
				c.mutex.Unlock()
				return
			}
			c.mutex.Unlock()
			call := p.rpcClient.Go(ServiceName+".Ping", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
			select {
			case <-call.Done:
				if call.Error == nil && !c.isBlocked(a) {
					continue
				}
			case <-time.After(PingTimeout):
			}
			c.dropConnection(a, p)
			return
		}
	}()
}

// dropConnection closes a connection and ends the calls in flight on it with
// KindUnknown.
func (c *Client) dropConnection(a netip.AddrPort, p *peerConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[a] == p {
		delete(c.connections, a)
		close(p.dropped)
		_ = p.rpcClient.Close()
	}
}

// releaseConnection ends a call that acquireConnection counted as in flight.
func (c *Client) releaseConnection(p *peerConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.callsInFlight--
}

// Call calls a method of a peer's service and waits for the reply until ctx ends.
// Errors are of type *Error. KindNotSent guarantees that nothing was sent.
func (c *Client) Call(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
	if c.isBlocked(a) {
		return fault.Newf(method, KindNotSent, "fault injection blocks the peer")
	}
	p, err := c.acquireConnection(a)
	if err != nil {
		return fault.New(method, KindNotSent, err)
	}
	defer c.releaseConnection(p)
	call := p.rpcClient.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if c.isBlocked(a) {
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
func (c *Client) classifyError(a netip.AddrPort, p *peerConnection, method string, err error) error {
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
	c.dropConnection(a, p)
	return fault.New(method, KindUnknown, err)
}

// Close closes every connection.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for a, p := range c.connections {
		delete(c.connections, a)
		close(p.dropped)
		_ = p.rpcClient.Close()
	}
}
