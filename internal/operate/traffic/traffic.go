// Package traffic counts the bytes that a process sends to and receives from each
// kind of peer.
package traffic

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Counter counts the bytes sent and received.
type Counter struct{ bytes atomic.Int64 }

// Add adds a number of bytes.
func (c *Counter) Add(n int) { c.bytes.Add(int64(n)) }

// Bytes returns the number of bytes counted so far.
func (c *Counter) Bytes() int64 { return c.bytes.Load() }

// Counters holds the traffic counters of an entry VM, one per kind of peer. The
// counter Peers is for calls between entry VMs.
type Counters struct {
	Heartbeats, Peers, Workers, Platform Counter
}

// Sums contains the values of Counters, as published in expvar.
type Sums struct {
	Heartbeats int64 `json:"heartbeats"`
	Peers      int64 `json:"peers"`
	Workers    int64 `json:"workers"`
	Platform   int64 `json:"platform"`
}

// Sums returns the current values.
func (c *Counters) Sums() Sums {
	return Sums{c.Heartbeats.Bytes(), c.Peers.Bytes(), c.Workers.Bytes(), c.Platform.Bytes()}
}

// Publish publishes the counters in expvar under a name. It does nothing if the name
// is already in use, since expvar would panic.
func (c *Counters) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(func() any { return c.Sums() }))
	}
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Add(n)
	return n, err
}

// WrapConn returns a connection that counts its bytes in counter.
func WrapConn(c net.Conn, counter *Counter) net.Conn { return countingConn{c, counter} }

const (
	dialTimeout         = time.Second
	keepAliveInterval   = 15 * time.Second
	maxIdleConnsPerHost = 16
)

// NewHTTPClient returns an HTTP client whose connections count their bytes in counter.
func NewHTTPClient(counter *Counter) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return WrapConn(c, counter), nil
		},
	}}
}
