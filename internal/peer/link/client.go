// Package link makes net/rpc calls between entry VMs. When a call times out and its
// connection has answered nothing since the call was sent, the connection is closed and
// the next call opens a new one, because a connection can hang forever while new
// connections to the same peer work.
package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindUnreachable means that the call was not sent.
	KindUnreachable Kind = "unreachable"
	// KindUnknown means that no answer to the call arrived, so its outcome is
	// unknown.
	KindUnknown Kind = "unknown"
	// KindFailed means that the called method returned an error.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// dialTimeout is the timeout for connecting. It allows for several round trips
// between failure domains.
const dialTimeout = 400 * time.Millisecond

// Network opens and accepts the connections between entry VMs.
type Network interface {
	Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Listen returns a listener whose Addr is a *net.TCPAddr.
	Listen(at netip.AddrPort) (net.Listener, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Dial implements Network. It gives up after dialTimeout.
func (TCP) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", to.String())
}

// Listen implements Network.
func (TCP) Listen(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) }

// Client keeps one connection to each peer.
type Client struct {
	service     string
	network     Network
	mutex       sync.Mutex
	connections map[netip.AddrPort]*connection
	// lastUnansweredCall maps each peer to the time of its last unanswered call. An
	// answer deletes the entry.
	lastUnansweredCall map[netip.AddrPort]time.Time
}

// connection is a connection to a peer.
type connection struct {
	*rpc.Client
	// lastAnswerAt is when the last answer arrived, and lastUsedAt when the last call was made.
	// The mutex of the Client guards them.
	lastAnswerAt, lastUsedAt time.Time
}

// NewClient returns a client for the methods of one net/rpc service.
func NewClient(service string, n Network) *Client {
	return &Client{service: service, network: n, connections: map[netip.AddrPort]*connection{}, lastUnansweredCall: map[netip.AddrPort]time.Time{}}
}

// maxIdleTime is how long a connection stays open without calls. It is longer than any call.
const maxIdleTime = time.Minute

// dropUnused closes the connections that were idle for maxIdleTime, and forgets unanswered calls
// that no longer matter. A connection whose peer has ended is closed only by the next call to the
// peer, and an entry VM that was replaced gets none. It is called whenever an entry may be added,
// and the caller must hold the mutex.
func (c *Client) dropUnused(now time.Time) {
	for a, p := range c.connections {
		if now.Sub(p.lastUsedAt) >= maxIdleTime {
			delete(c.connections, a)
			_ = p.Close()
		}
	}
	for a, at := range c.lastUnansweredCall {
		if now.Sub(at) >= silentPeriod {
			delete(c.lastUnansweredCall, a)
		}
	}
}

// connect returns the open connection to a peer or dials a new one.
func (c *Client) connect(ctx context.Context, a netip.AddrPort) (*connection, error) {
	c.mutex.Lock()
	p := c.connections[a]
	if p != nil {
		p.lastUsedAt = time.Now()
	}
	c.mutex.Unlock()
	if p != nil {
		return p, nil
	}
	conn, err := c.network.Dial(ctx, a)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p = c.connections[a]; p != nil {
		_ = conn.Close()
		return p, nil
	}
	now := time.Now()
	c.dropUnused(now)
	p = &connection{lastUsedAt: now}
	p.Client = rpc.NewClient(&watchedConn{Conn: boundedConn{conn}, ended: func() { c.forgetConnection(a, p) }})
	c.connections[a] = p
	return p, nil
}

const (
	// writeTimeout limits how long a peer may take for each writeChunkBytes of a message.
	writeTimeout    = time.Second
	writeChunkBytes = 64 << 10
	// maxServedIdleTime is how long a connection that a peer has opened may be idle. The peer
	// closes it sooner, unless it ended without a word.
	maxServedIdleTime = 2 * maxIdleTime
)

// boundedConn is a connection whose writes fail if the peer takes no bytes, and which is then
// closed. All calls over a connection wait for a write under way.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c boundedConn) Write(b []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(b, writeChunkBytes) {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			_ = c.Close()
			return written, err
		}
	}
	return written, nil
}

// servedConn is a connection that a peer has opened. It ends after maxServedIdleTime without
// calls.
type servedConn struct{ boundedConn }

// Read implements net.Conn.
func (c servedConn) Read(b []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(maxServedIdleTime))
	return c.Conn.Read(b)
}

// watchedConn calls ended before it reports that the peer has closed the connection, and closes it.
type watchedConn struct {
	net.Conn
	ended func()
}

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.ended()
		_ = w.Close()
	}
	return n, err
}

// forgetConnection makes the next call open a new connection. It is called when the peer has
// closed this one: a call over it would not be sent, and its outcome would count as unknown.
func (c *Client) forgetConnection(a netip.AddrPort, p *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections[a] == p {
		delete(c.connections, a)
	}
}

// IsPeerSilent reports whether a call to the peer went unanswered within the last
// silentPeriod and nothing was answered since.
func (c *Client) IsPeerSilent(a netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at, ok := c.lastUnansweredCall[a]
	return ok && time.Since(at) < silentPeriod
}

// silentPeriod is how long a peer counts as silent after an unanswered call.
const silentPeriod = 3 * time.Second

// Sizes returns the number of open connections, and of peers whose last call was not answered.
func (c *Client) Sizes() (connections, unanswered int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.connections), len(c.lastUnansweredCall)
}

// recordAnswer records for IsPeerSilent that a call over a connection was answered.
func (c *Client) recordAnswer(a netip.AddrPort, p *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.lastAnswerAt = time.Now()
	delete(c.lastUnansweredCall, a)
}

// recordUnreachable records for IsPeerSilent that a peer could not be reached.
func (c *Client) recordUnreachable(a netip.AddrPort) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.dropUnused(now)
	c.lastUnansweredCall[a] = now
}

// recordTimeout records for IsPeerSilent that a call was not answered in time, and closes
// its connection. It does neither if the connection has answered another call since this
// one was sent: then only this call is slow, and to close the connection would fail all
// other calls over it.
func (c *Client) recordTimeout(a netip.AddrPort, p *connection, sentAt time.Time) {
	c.mutex.Lock()
	answering := p.lastAnswerAt.After(sentAt)
	if !answering {
		c.lastUnansweredCall[a] = time.Now()
	}
	c.mutex.Unlock()
	if !answering {
		c.dropConnection(a, p)
	}
}

// dropConnection closes a connection and removes it, so that the next call opens
// a new one.
func (c *Client) dropConnection(a netip.AddrPort, p *connection) {
	c.forgetConnection(a, p)
	_ = p.Close()
}

// Call calls a method of a peer's service and waits for the reply until ctx ends.
// Errors are of type *Error.
func Call[Args, Reply any](ctx context.Context, c *Client, a netip.AddrPort, method string, args Args) (Reply, error) {
	var reply Reply
	p, err := c.connect(ctx, a)
	if err != nil {
		c.recordUnreachable(a)
		return reply, fault.New(method, KindUnreachable, err)
	}
	sentAt := time.Now()
	done := make(chan *rpc.Call, 1)
	go p.Go(c.service+"."+method, args, &reply, done) // It may wait for the writes of other calls.
	select {
	case call := <-done:
		var serverError rpc.ServerError
		switch {
		case call.Error == nil:
			c.recordAnswer(a, p)
			return reply, nil
		case errors.As(call.Error, &serverError):
			c.recordAnswer(a, p)
			return reply, fault.New(method, KindFailed, call.Error)
		}
		c.dropConnection(a, p)
		return reply, fault.New(method, KindUnknown, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.recordTimeout(a, p, sentAt)
		}
		var none Reply // The abandoned call may still write to reply, so return a separate empty value.
		return none, fault.New(method, KindUnknown, ctx.Err())
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for a, p := range c.connections {
		delete(c.connections, a)
		_ = p.Close()
	}
}

// Serve serves the exported methods of a receiver as a net/rpc service until the
// listener is closed. It then closes all accepted connections.
func Serve(l net.Listener, service string, receiver any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(service, receiver); err != nil {
		return fault.New("register", KindFailed, err)
	}
	done := make(chan struct{})
	defer close(done)
	for {
		conn, err := l.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener was closed.
		}
		connDone := make(chan struct{})
		go func() {
			defer close(connDone)
			server.ServeConn(servedConn{boundedConn{conn}})
		}()
		go func() {
			select {
			case <-done:
				_ = conn.Close()
			case <-connDone:
			}
		}()
	}
}
