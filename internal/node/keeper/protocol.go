// Package keeper forwards the leader's calls to workers through other entry VMs, so that
// a leader of a large fleet does not call every worker itself.
//
// A keeper is an entry VM that forwards the leader's calls to workers in its own failure
// domain. On the leader, a Dispatcher batches the calls and sends them to keepers; on
// a keeper, a Forwarder makes the calls and returns the answers. An Assignment maps each
// worker to its keeper.
//
// Keepers make no scheduling decisions. The leader stores a start before it sends the
// order. Each call carries a fencing token, and a start or hold also the deadline of the
// worker's lease; these limit the effect of a late call. A keeper or the leader can
// therefore crash, pause or be replaced at any time.
package keeper

import (
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Call is one call to a worker that a keeper makes for the leader. Exactly one of Hold,
// Start, Stop and Pace is set.
type Call struct {
	// Number identifies the call on the leader's VM. It is never reused, not even after
	// the VM restarts.
	Number int64
	// Life identifies the worker process that the call is meant for.
	Life backend.Life
	// Address is the network address of the worker.
	Address netip.AddrPort
	// Timeout is the timeout of the keeper's call to the worker.
	Timeout time.Duration
	Hold    *backend.Hold
	Start   *backend.Start
	Stop    *backend.Stop
	Pace    *backend.Pace
}

// operation returns the name of the operation that the call asks for, for logs.
func (c *Call) operation() string {
	switch {
	case c.Hold != nil:
		return "hold"
	case c.Start != nil:
		return "start"
	case c.Stop != nil:
		return "stop"
	case c.Pace != nil:
		return "pace"
	}
	return ""
}

// Batch is a list of calls that the leader sends to one keeper.
type Batch struct {
	// Leader is the address that the keeper sends the answers to.
	Leader netip.AddrPort
	// Process numbers the processes on the leader's VM. A later process has a higher
	// number.
	Process int64
	Calls   []Call
}

// Answer is a worker's answer to a call, or the error of the call.
type Answer struct {
	// Number is the number of the call that is answered.
	Number int64
	// Kind classifies the error of the call. It is empty on success.
	Kind backend.Kind
	// Message is the error text.
	Message string
	// Clock is the reading of the worker's clock in an answer to a start, or 0 if it is
	// unknown. In an answer to a hold, Report contains the clock reading instead.
	Clock time.Duration
	// Report is set in an answer to a hold only.
	Report *backend.Report
}

// Answers is a list of answers that a keeper sends to a leader.
type Answers struct{ Answers []Answer }
