// Package isolation simulates network partitions of one entry VM for tests.
// Nothing is blocked unless the settings allow fault injection.
package isolation

import (
	"net/http"
	"slices"
	"sync"
)

// Platform is the name that stands for the log service and the VM list in a Cut.
const Platform = "platform"

// Cut is a simulated network partition: the failure domains, and possibly
// Platform, that this entry VM cannot reach.
type Cut struct {
	mutex   sync.Mutex
	blocked []string
	changed chan struct{}
}

// New returns a Cut that blocks nothing.
func New() *Cut { return &Cut{changed: make(chan struct{})} }

// Set replaces the blocked names.
func (c *Cut) Set(names []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.blocked = slices.Clone(names)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Blocks reports whether a failure domain, or Platform, is unreachable.
func (c *Cut) Blocks(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Contains(c.blocked, name)
}

// WrapClient wraps an HTTP client. While name is blocked, a call waits until its
// context ends and returns the context's error, as if the network dropped every
// packet. A response that arrives while name is blocked is discarded.
func (c *Cut) WrapClient(name string, base *http.Client) *http.Client {
	return &http.Client{Transport: transport{c, name, base.Transport}}
}

// transport is the http.RoundTripper of the clients that Cut.WrapClient returns.
type transport struct {
	cut  *Cut
	name string
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.cut.Blocks(t.name) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	response, err := t.base.RoundTrip(r)
	if err == nil && t.cut.Blocks(t.name) {
		_ = response.Body.Close()
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return response, err
}
