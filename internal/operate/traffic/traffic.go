// Package traffic counts the bytes that a process exchanges with each kind of
// peer.
package traffic

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Counter counts bytes in both directions.
type Counter struct{ bytes atomic.Int64 }

// Add adds a number of bytes.
func (c *Counter) Add(n int) { c.bytes.Add(int64(n)) }

// Bytes returns the sum so far.
func (c *Counter) Bytes() int64 { return c.bytes.Load() }

// Counters are the counters of one entry VM.
type Counters struct {
	Heartbeats, Peers, Workers, Platform Counter
}

// Sums is the state of Counters as expvar shows it.
type Sums struct {
	Heartbeats int64 `json:"heartbeats"`
	Peers      int64 `json:"peers"`
	Workers    int64 `json:"workers"`
	Platform   int64 `json:"platform"`
}

// Sums returns the state of the counters.
func (c *Counters) Sums() Sums {
	return Sums{c.Heartbeats.Bytes(), c.Peers.Bytes(), c.Workers.Bytes(), c.Platform.Bytes()}
}

// Publish shows the counters in expvar, once per process.
func (c *Counters) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(func() any { return c.Sums() }))
	}
}

// conn counts what passes a connection.
type conn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Add(n)
	return n, err
}

// Wrap returns a connection that feeds a counter.
func Wrap(c net.Conn, counter *Counter) net.Conn { return conn{c, counter} }

const (
	dialTimeout     = time.Second
	keepAlive       = 15 * time.Second
	idleConnections = 16
)

// Client returns an HTTP client whose connections feed a counter.
func Client(counter *Counter) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return Wrap(c, counter), nil
		},
	}}
}
