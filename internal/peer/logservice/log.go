// Package logservice speaks with the platform's log service: append-only
// streams with offsets and limited retention.
package logservice

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
)

// Kind classifies the errors of this package.
type Kind string

// KindUnreachable means that the log gave no answer; an append may still have
// taken effect.
const KindUnreachable Kind = "unreachable"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// CallTimeout bounds every call beside the wait that it asks for.
const CallTimeout = 3 * time.Second

// Record is one record of a stream.
type Record struct {
	// Offset starts at 1 and rises by 1 within a stream.
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// AppendRequest appends records in order.
type AppendRequest struct {
	Stream  string   `json:"stream"`
	Records [][]byte `json:"records"`
}

// AppendReply tells where the records were put.
type AppendReply struct {
	// First is the offset of the first record.
	First uint64 `json:"first"`
}

// ReadReply carries the records after an offset.
type ReadReply struct {
	Records []Record `json:"records"`
	// Oldest is the oldest offset that is still retained, or the next offset
	// when the stream is empty.
	Oldest uint64 `json:"oldest"`
}

// Log is the log service as the system sees it.
type Log interface {
	// Append adds records. After an error the records may or may not be there.
	Append(ctx context.Context, stream string, records [][]byte) (first uint64, err error)
	// Read returns up to limit records after an offset and waits for the first.
	Read(ctx context.Context, stream string, after uint64, limit int, wait time.Duration) (ReadReply, error)
}

// Client is a Log over HTTP and JSON.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client for the log service at an address.
func New(address netip.AddrPort, client *http.Client) *Client {
	return &Client{base: "http://" + address.String(), client: client}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var reply AppendReply
	err := jsonhttp.Post(ctx, c.client, c.base+"/v1/append", AppendRequest{Stream: stream, Records: records}, &reply)
	if err != nil {
		return 0, fault.New("append", KindUnreachable, err)
	}
	return reply.First, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, after uint64, limit int, wait time.Duration) (ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	target := fmt.Sprintf("%s/v1/read?stream=%s&after=%d&limit=%d&wait_milliseconds=%d",
		c.base, url.QueryEscape(stream), after, limit, wait.Milliseconds())
	var reply ReadReply
	if err := jsonhttp.Get(ctx, c.client, target, &reply); err != nil {
		return reply, fault.New("read", KindUnreachable, err)
	}
	return reply, nil
}
