// Package link carries calls between entry VMs over net/rpc. A connection on
// which a call is not answered in time is given up, since connections can go
// silent for good while new ones work.
package link

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
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
	// KindUnknown means that the call has no answer.
	KindUnknown Kind = "unknown"
	// KindFailed means that the peer answered with an error.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// dialTimeout bounds the time to connect: several round trips between failure
// domains.
const dialTimeout = 400 * time.Millisecond

// Client keeps one connection to each peer.
type Client struct {
	service string
	mutex   sync.Mutex
	peers   map[netip.AddrPort]*rpc.Client
	// silent holds when a peer last left a call without an answer.
	silent map[netip.AddrPort]time.Time
}

// NewClient returns a client for the methods of a service.
func NewClient(service string) *Client {
	return &Client{service: service, peers: map[netip.AddrPort]*rpc.Client{}, silent: map[netip.AddrPort]time.Time{}}
}

func (c *Client) connect(ctx context.Context, a netip.AddrPort) (*rpc.Client, error) {
	c.mutex.Lock()
	p := c.peers[a]
	c.mutex.Unlock()
	if p != nil {
		return p, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p = c.peers[a]; p != nil {
		_ = conn.Close()
		return p, nil
	}
	p = rpc.NewClient(conn)
	c.peers[a] = p
	return p, nil
}

// Silent reports whether a peer has left a call without an answer lately, and has
// answered none since.
func (c *Client) Silent(a netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at, ok := c.silent[a]
	return ok && time.Since(at) < silenceKept
}

// silenceKept is how long a peer without an answer counts as silent.
const silenceKept = 3 * time.Second

// note remembers whether a peer has answered.
func (c *Client) note(a netip.AddrPort, answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answered {
		delete(c.silent, a)
	} else {
		c.silent[a] = time.Now()
	}
}

func (c *Client) drop(a netip.AddrPort, p *rpc.Client) {
	c.mutex.Lock()
	if c.peers[a] == p {
		delete(c.peers, a)
	}
	c.mutex.Unlock()
	_ = p.Close()
}

// Call makes one call.
func Call[Args, Reply any](ctx context.Context, c *Client, a netip.AddrPort, method string, args Args) (Reply, error) {
	var reply Reply
	p, err := c.connect(ctx, a)
	if err != nil {
		c.note(a, false)
		return reply, fault.New(method, KindUnreachable, err)
	}
	call := p.Go(c.service+"."+method, args, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		var answered rpc.ServerError
		switch {
		case call.Error == nil:
			c.note(a, true)
			return reply, nil
		case errors.As(call.Error, &answered):
			return reply, fault.New(method, KindFailed, call.Error)
		}
		c.drop(a, p)
		return reply, fault.New(method, KindUnknown, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.note(a, false)
			c.drop(a, p)
		}
		var none Reply // The call may still write to reply.
		return none, fault.New(method, KindUnknown, ctx.Err())
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for a, p := range c.peers {
		delete(c.peers, a)
		_ = p.Close()
	}
}

// Serve answers calls to the exported methods of a receiver until the listener
// is closed. It closes its connections then.
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
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.ServeConn(conn)
		}()
		go func() {
			select {
			case <-done:
				_ = conn.Close()
			case <-served:
			}
		}()
	}
}
