// Package isolation injects network partitions into one entry VM for tests. It
// does nothing unless the settings allow fault injection.
package isolation

import (
	"net/http"
	"slices"
	"sync"
)

// Platform is the name under which the log service and the VM list are cut off.
const Platform = "platform"

// Cut is the set of failure domains, and Platform, that can not be reached.
type Cut struct {
	mutex   sync.Mutex
	names   []string
	changed chan struct{}
}

// New returns a cut of nothing.
func New() *Cut { return &Cut{changed: make(chan struct{})} }

// Set replaces the names that can not be reached.
func (c *Cut) Set(names []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.names = slices.Clone(names)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Blocks reports whether a name can not be reached.
func (c *Cut) Blocks(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Contains(c.names, name)
}

// Client returns an HTTP client whose calls get no answer while a name is cut
// off, as over a network that drops everything.
func (c *Cut) Client(name string, base *http.Client) *http.Client {
	return &http.Client{Transport: transport{c, name, base.Transport}}
}

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
