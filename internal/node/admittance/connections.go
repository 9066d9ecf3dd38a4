package admittance

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Limit names a limit that a caller has reached.
type Limit string

// The limits that this package applies to connections.
const (
	// LimitConnections means that a new connection was closed because all others are needed.
	LimitConnections Limit = "connections"
	// LimitIdle, LimitHead and LimitBody mean that an open connection was closed in favour of a
	// new one: one without a request, one with an unfinished head and one with an unfinished
	// body.
	LimitIdle Limit = "connection_idle"
	LimitHead Limit = "connection_head"
	LimitBody Limit = "connection_body"
	// LimitHeadTime means that a head was not complete in time.
	LimitHeadTime Limit = "head_time"
	// LimitHeadRejected means that the server rejected a head that is too large or malformed.
	LimitHeadRejected Limit = "head_rejected"
)

// Timeouts are the times that Connections allows callers.
type Timeouts struct {
	// Idle is how long a new connection may stay without the first byte of a request.
	Idle time.Duration
	// Head is how long a caller may take from the first byte of its first request to the end
	// of the head. The server applies it to the requests after that.
	Head time.Duration
	// Write is how long one write to a caller may take.
	Write time.Duration
}

// stalledHeadAge is the age from which an unfinished head gives way before idle connections.
// Heads of callers within the limits arrive in one piece.
const stalledHeadAge = time.Second

// phase is what a connection is waiting for.
type phase int32

const (
	// phaseIdle: the first byte of a request.
	phaseIdle phase = iota
	// phaseHead: the rest of the head of a request.
	phaseHead
	// phaseBody: the rest of the body of a request.
	phaseBody
	// phaseServing: the response. Such a connection never gives way.
	phaseServing
)

// Connections limits the number of open connections. When the limit is reached, connections
// that wait for their callers give way to new ones. It is safe for concurrent use.
type Connections struct {
	limit    int
	timeouts Timeouts
	// observe is called for each connection that a limit closes.
	observe func(Limit)
	mutex   sync.Mutex
	open    map[*Conn]struct{}
}

// NewConnections returns a limit of connections. observe must not block.
func NewConnections(limit int, t Timeouts, observe func(Limit)) *Connections {
	return &Connections{limit: limit, timeouts: t, observe: observe, open: map[*Conn]struct{}{}}
}

// Limit returns the largest number of open connections.
func (s *Connections) Limit() int { return s.limit }

// Len returns the number of open connections.
func (s *Connections) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// Listener returns a listener whose connections count. They have the type *Conn.
func (s *Connections) Listener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.connections.Add(n, time.Now()); c != nil {
			return c, nil
		}
	}
}

// Add returns a connection that counts. If the limit is reached, it closes another connection
// or, if all are being served, the new one. It then returns nil.
func (s *Connections) Add(n net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: n, set: s, fresh: true}
	c.since.Store(now.UnixNano())
	s.mutex.Lock()
	var victim *Conn
	limit := LimitConnections
	full := len(s.open) >= s.limit
	if full {
		if victim, limit = s.victim(now); victim != nil {
			delete(s.open, victim)
		}
	}
	if !full || victim != nil {
		s.open[c] = struct{}{}
	}
	s.mutex.Unlock()
	if !full {
		return c
	}
	s.observe(limit)
	if victim == nil {
		_ = n.Close()
		return nil
	}
	_ = victim.Conn.Close()
	return c
}

// victim returns the connection that gives way, if any: stalled heads first, then connections
// without a request, other heads, and bodies; of each kind the one that has waited longest.
func (s *Connections) victim(now time.Time) (*Conn, Limit) {
	const kinds = 4
	limits := [kinds]Limit{LimitHead, LimitIdle, LimitHead, LimitBody}
	var oldest [kinds]*Conn
	for c := range s.open {
		kind, since := 0, c.since.Load()
		switch phase(c.phase.Load()) {
		case phaseIdle:
			kind = 1
		case phaseHead:
			if now.UnixNano()-since < int64(stalledHeadAge) {
				kind = 2
			}
		case phaseBody:
			kind = 3
		default:
			continue
		}
		if o := oldest[kind]; o == nil || since < o.since.Load() {
			oldest[kind] = c
		}
	}
	for kind, c := range oldest {
		if c != nil {
			return c, limits[kind]
		}
	}
	return nil, LimitConnections
}

// Conn is a connection of a caller. Its methods apart from those of net.Conn may be called on a
// nil Conn and do nothing then.
type Conn struct {
	net.Conn
	set   *Connections
	phase atomic.Int32
	// since is when the phase began or the body last made progress, in Unix nanoseconds.
	since atomic.Int64
	// fresh is true until the first byte arrives. Only Read uses it, which the server does not
	// call concurrently before that.
	fresh bool
}

func (c *Conn) enter(p phase) {
	c.since.Store(time.Now().UnixNano())
	c.phase.Store(int32(p))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.fresh {
		// The server would allow the time for a head only, counted from the accept.
		_ = c.SetReadDeadline(time.Now().Add(c.set.timeouts.Idle))
	}
	n, err := c.Conn.Read(p)
	if n > 0 && phase(c.phase.Load()) == phaseIdle {
		c.enter(phaseHead)
	}
	if n > 0 && c.fresh {
		c.fresh = false
		_ = c.SetReadDeadline(time.Now().Add(c.set.timeouts.Head))
	}
	if err != nil && phase(c.phase.Load()) == phaseHead && errors.Is(err, os.ErrDeadlineExceeded) {
		c.set.observe(LimitHeadTime)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if phase(c.phase.Load()) == phaseHead {
		c.set.observe(LimitHeadRejected) // No handler has seen the request.
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.set.timeouts.Write))
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side, as net/http does before it closes a connection whose
// caller may still be sending.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.mutex.Lock()
	delete(c.set.open, c)
	c.set.mutex.Unlock()
	return c.Conn.Close()
}

// Evict closes the connection while the server still uses it, which then calls Close.
func (c *Conn) Evict() {
	if c != nil {
		_ = c.Conn.Close()
	}
}

// AwaitBody records that the head of a request is complete and that its body may arrive until
// the given time.
func (c *Conn) AwaitBody(until time.Time) {
	if c != nil {
		c.enter(phaseBody)
		_ = c.SetReadDeadline(until)
	}
}

// Touch records that the body has made progress.
func (c *Conn) Touch() {
	if c != nil {
		c.since.Store(time.Now().UnixNano())
	}
}

// Serve records that a request is complete. From now on the read deadline does not apply: the
// server reads on to notice when the caller hangs up.
func (c *Conn) Serve() {
	if c == nil {
		return
	}
	if phase(c.phase.Load()) == phaseBody {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.enter(phaseServing)
}

// AwaitRequest records that the response is complete.
func (c *Conn) AwaitRequest() {
	if c != nil {
		c.enter(phaseIdle)
	}
}

type contextKey struct{}

// NewContext returns a context from which FromContext returns the connection, if it is a Conn.
func NewContext(ctx context.Context, n net.Conn) context.Context {
	if c, ok := n.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil if it is not known.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
