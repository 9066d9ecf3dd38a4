// Package keeper carries the calls of a leader to workers through other entry VMs.
//
// A keeper is an entry VM of the failure domain of a worker. It decides nothing: the
// leader records a start before it hands the order over, and the lease and fencing
// token that go with each call bound what a late one can do. So a keeper may die, be
// paused or be replaced at any moment, and its leader may be too.
package keeper

import (
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Call is one call to a worker. Exactly one of the orders is set.
type Call struct {
	// Number identifies the call at its leader; numbers are never used again, by
	// later processes of the VM either.
	Number int64
	Life   backend.Life
	// Address is the worker's.
	Address netip.AddrPort
	// Timeout bounds the call to the worker.
	Timeout time.Duration
	Hold    *backend.Hold
	Start   *backend.Start
	Stop    *backend.Stop
	Pace    *backend.Pace
}

// Batch holds calls for one keeper.
type Batch struct {
	// Leader is where the answers go.
	Leader netip.AddrPort
	Calls  []Call
}

// Answer is a worker's answer to a call.
type Answer struct {
	// Number is that of the call.
	Number int64
	// Kind is empty on success.
	Kind    backend.Kind
	Message string
	// Clock is the worker's clock; 0 when unknown. Holds have it in their report.
	Clock  time.Duration
	Report *backend.Report
}

// Answers holds answers for one leader.
type Answers struct{ Answers []Answer }
