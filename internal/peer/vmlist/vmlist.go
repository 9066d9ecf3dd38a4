// Package vmlist reads the platform's list of live and leaving VMs, which lags behind
// the actual state.
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

// KindUnreachable means that the platform sent no valid answer.
const KindUnreachable Kind = "unreachable"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Role is the function of a VM in the cluster.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// VM is one entry of the list.
type VM struct {
	Name    string         `json:"name"`
	Role    Role           `json:"role"`
	Domain  string         `json:"domain"`
	Rack    string         `json:"rack"`
	Address netip.AddrPort `json:"address"`
	// Leaving means that the VM will be removed soon and receives no new work.
	Leaving bool `json:"leaving"`
}

// List is the platform's list of VMs.
type List struct {
	VMs []VM `json:"vms"`
}

// CallTimeout is the timeout for one read of the list.
const CallTimeout = 2 * time.Second

// Lister reads the list of VMs. Errors are of type *Error.
type Lister interface {
	// List returns the VMs of one failure domain, or of all domains when domain is
	// empty.
	List(ctx context.Context, domain string) (List, error)
}

// Client is a Lister that reads JSON over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client

	mutex sync.Mutex
	// cachedLists maps a failure domain to its last list, so that the platform
	// need not send an unchanged list again.
	cachedLists map[string]cachedList
}

// cachedList is a list of VMs with the entity tag of the reply that contained it.
type cachedList struct {
	entityTag string
	list      List
}

// New returns a client for the VM list at an address.
func New(address netip.AddrPort, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address.String(), httpClient: client, cachedLists: map[string]cachedList{}}
}

// List implements Lister.
func (c *Client) List(ctx context.Context, domain string) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	c.mutex.Lock()
	cached := c.cachedLists[domain]
	c.mutex.Unlock()
	var fresh List
	tag, err := jsonhttp.GetIfChanged(ctx, c.httpClient, c.baseURL+"/v1/vms?domain="+domain, cached.entityTag, &fresh)
	if err != nil {
		return List{}, fault.New("list", KindUnreachable, err)
	}
	if tag != "" && tag == cached.entityTag {
		return cached.list, nil
	}
	c.mutex.Lock()
	c.cachedLists[domain] = cachedList{tag, fresh}
	c.mutex.Unlock()
	return fresh, nil
}
