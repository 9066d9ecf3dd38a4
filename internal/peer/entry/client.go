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

// ServiceName is the net/rpc name of the service of an entry VM.
const ServiceName = "Entry"

// Timing of connections between entry VMs.
const (
	DialTimeout  = time.Second
	CallTimeout  = 3 * time.Second
	PingInterval = time.Second
	// PingTimeout is how long a connection may be silent while calls wait.
	PingTimeout = 2500 * time.Millisecond
)

// Client keeps one connection to each peer. While calls are outstanding the
// connection is probed; one that has gone silent is closed and replaced.
type Client struct {
	counter *traffic.Counter
	// blocked reports peers that can not be reached, for fault injection.
	blocked func(a netip.AddrPort) bool
	mutex   sync.Mutex
	peers   map[netip.AddrPort]*connection
}

type connection struct {
	rpc   *rpc.Client
	calls int
	// broken is closed when the connection is given up.
	broken  chan struct{}
	probing bool
}

// New returns a client without connections.
func New(counter *traffic.Counter, blocked func(a netip.AddrPort) bool) *Client {
	return &Client{counter: counter, blocked: blocked, peers: map[netip.AddrPort]*connection{}}
}

func (c *Client) acquire(a netip.AddrPort) (*connection, error) {
	c.mutex.Lock()
	if p := c.peers[a]; p != nil {
		p.calls++
		c.probe(a, p)
		c.mutex.Unlock()
		return p, nil
	}
	c.mutex.Unlock()
	n, err := net.DialTimeout("tcp", a.String(), DialTimeout)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.peers[a]; p != nil {
		_ = n.Close()
		p.calls++
		return p, nil
	}
	p := &connection{rpc: rpc.NewClient(traffic.Wrap(n, c.counter)), calls: 1, broken: make(chan struct{})}
	c.peers[a] = p
	c.probe(a, p)
	return p, nil
}

// probe pings a connection as long as calls wait on it. The caller holds the
// lock.
func (c *Client) probe(a netip.AddrPort, p *connection) {
	if p.probing {
		return
	}
	p.probing = true
	go func() {
		for {
			time.Sleep(PingInterval)
			c.mutex.Lock()
			if p.calls == 0 {
				p.probing = false
				c.mutex.Unlock()
				return
			}
			c.mutex.Unlock()
			call := p.rpc.Go(ServiceName+".Ping", Nothing{}, &Nothing{}, make(chan *rpc.Call, 1))
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

func (c *Client) drop(a netip.AddrPort, p *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers[a] == p {
		delete(c.peers, a)
		close(p.broken)
		_ = p.rpc.Close()
	}
}

func (c *Client) release(p *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.calls--
}

// Call makes one call. KindNotSent is returned only when nothing was sent.
func (c *Client) Call(ctx context.Context, a netip.AddrPort, method string, args, reply any) error {
	if c.blocked(a) {
		return fault.Newf(method, KindNotSent, "peer is cut off")
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
			return fault.Newf(method, KindUnknown, "the answer was cut off")
		}
		return c.callError(a, p, method, call.Error)
	case <-p.broken:
		return fault.Newf(method, KindUnknown, "connection is silent")
	case <-ctx.Done():
		return fault.New(method, KindUnknown, ctx.Err())
	}
}

func (c *Client) callError(a netip.AddrPort, p *connection, method string, err error) error {
	var server rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &server):
		if string(server) == string(KindEpoch) {
			return fault.New(method, KindEpoch, err)
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
	for a, p := range c.peers {
		delete(c.peers, a)
		close(p.broken)
		_ = p.rpc.Close()
	}
}
