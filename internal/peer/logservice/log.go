// Package logservice is the client of the platform's log service, which stores
// append-only streams of records with offsets and limited retention.
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

// KindUnreachable means that the log service sent no valid answer. An append may
// have taken effect nevertheless.
const KindUnreachable Kind = "unreachable"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// CallTimeout is the timeout of a call; the wait time that a call requests is added
// to it.
const CallTimeout = 3 * time.Second

// Record is one record of a stream.
type Record struct {
	// Offset is 1 for the first record of a stream and increases by 1 per record.
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// AppendRequest appends records to a stream, in the given order.
type AppendRequest struct {
	Stream  string   `json:"stream"`
	Records [][]byte `json:"records"`
}

// AppendReply is the result of an append.
type AppendReply struct {
	// First is the offset of the first appended record.
	First uint64 `json:"first"`
}

// ReadReply contains the records after the requested offset.
type ReadReply struct {
	Records []Record `json:"records"`
	// Oldest is the offset of the oldest retained record. When the stream has no
	// records, it is the offset that the next record will get.
	Oldest uint64 `json:"oldest"`
}

// Log is the interface to the log service. Errors are of type *Error.
type Log interface {
	// Append adds records to a stream and returns the offset of the first. After an
	// error it is unknown whether the records were added.
	Append(ctx context.Context, stream string, records [][]byte) (first uint64, err error)
	// Read returns up to limit records after an offset. When there are none, it
	// waits for one, but no longer than wait.
	Read(ctx context.Context, stream string, after uint64, limit int, wait time.Duration) (ReadReply, error)
}

// Client is a Log that sends JSON over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the log service at an address.
func New(address netip.AddrPort, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address.String(), httpClient: client}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var reply AppendReply
	err := jsonhttp.Post(ctx, c.httpClient, c.baseURL+"/v1/append", AppendRequest{Stream: stream, Records: records}, &reply)
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
		c.baseURL, url.QueryEscape(stream), after, limit, wait.Milliseconds())
	var reply ReadReply
	if err := jsonhttp.Get(ctx, c.httpClient, target, &reply); err != nil {
		return reply, fault.New("read", KindUnreachable, err)
	}
	return reply, nil
}
