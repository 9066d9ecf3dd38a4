// Package vmlist reads the platform's lagging list of live and leaving VMs.
package vmlist

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
)

// Kind classifies the errors of this package.
type Kind string

// KindUnreachable means that the platform gave no answer.
const KindUnreachable Kind = "unreachable"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Role says what a VM is for.
type Role string

// The roles of VMs.
const (
	Entry  Role = "entry"
	Worker Role = "worker"
)

// VM is one row of the list.
type VM struct {
	Name    string         `json:"name"`
	Role    Role           `json:"role"`
	Domain  string         `json:"domain"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	// Leaving means that the VM will go away soon and gets no new work.
	Leaving bool `json:"leaving"`
}

// List is the platform's view.
type List struct {
	VMs []VM `json:"vms"`
}

// CallTimeout bounds one read of the list.
const CallTimeout = 2 * time.Second

// Lister returns the VMs of one failure domain, or of all when domain is
// empty.
type Lister interface {
	List(ctx context.Context, domain string) (List, error)
}

// Client is a Lister over HTTP and JSON.
type Client struct {
	base   string
	client *http.Client

	mutex sync.Mutex
	// last holds the newest reply for each domain, so that an unchanged list
	// is not sent again.
	last map[string]tagged
}

type tagged struct {
	tag  string
	list List
}

// New returns a client for the VM list at an address.
func New(address netip.AddrPort, client *http.Client) *Client {
	return &Client{base: "http://" + address.String(), client: client, last: map[string]tagged{}}
}

// List implements Lister.
func (c *Client) List(ctx context.Context, domain string) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	c.mutex.Lock()
	last := c.last[domain]
	c.mutex.Unlock()
	var fresh List
	tag, err := jsonhttp.GetTagged(ctx, c.client, c.base+"/v1/vms?domain="+domain, last.tag, &fresh)
	if err != nil {
		return List{}, fault.New("list", KindUnreachable, err)
	}
	if tag != "" && tag == last.tag {
		return last.list, nil
	}
	c.mutex.Lock()
	c.last[domain] = tagged{tag, fresh}
	c.mutex.Unlock()
	return fresh, nil
}
