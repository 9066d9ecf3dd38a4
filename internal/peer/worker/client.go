package worker

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
)

// CallTimeout is the timeout of a call; the wait time that a call requests is added
// to it.
const CallTimeout = 2 * time.Second

// Client is a Peer that sends JSON over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the worker at an address.
func New(address netip.AddrPort, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address.String(), httpClient: client}
}

// Adopt implements Peer.
func (c *Client) Adopt(ctx context.Context, r AdoptRequest) (AdoptReply, error) {
	return call[AdoptReply](ctx, c, "adopt", r, 0)
}

// Start implements Peer.
func (c *Client) Start(ctx context.Context, r StartRequest) (Record, error) {
	return call[Record](ctx, c, "start", r, 0)
}

// Sync implements Peer.
func (c *Client) Sync(ctx context.Context, r SyncRequest) (SyncReply, error) {
	return call[SyncReply](ctx, c, "sync", r, r.Wait)
}

// Stop implements Peer.
func (c *Client) Stop(ctx context.Context, r StopRequest) (StopReply, error) {
	return call[StopReply](ctx, c, "stop", r, 0)
}

// call posts a request and decodes the reply. The worker may delay its reply by up
// to wait.
func call[T any](ctx context.Context, c *Client, operation string, request any, wait time.Duration) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	var reply T
	err := jsonhttp.Post(ctx, c.httpClient, c.baseURL+"/v1/"+operation, request, &reply)
	if err == nil {
		return reply, nil
	}
	var status *jsonhttp.StatusError
	if errors.As(err, &status) {
		switch status.Code {
		case http.StatusConflict:
			return reply, fault.New(operation, KindFenced, err)
		case http.StatusUnprocessableEntity:
			return reply, fault.New(operation, KindRefused, err)
		}
	}
	return reply, fault.New(operation, KindUnreachable, err)
}
