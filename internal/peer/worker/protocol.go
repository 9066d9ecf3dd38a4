// Package worker implements the protocol between an entry VM and the worker VMs
// that it owns. docs/design/worker_protocol.md states the protocol as numbered
// assumptions. To use another protocol, only this package has to change.
package worker

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindFenced means that the worker was adopted with a higher fencing token.
	KindFenced Kind = "fenced"
	// KindRefused means that the worker has not started the attempt and never will.
	KindRefused Kind = "refused"
	// KindUnreachable means that no valid answer arrived, so the outcome of the
	// call is unknown.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Token is a fencing token. A worker obeys only the highest token that it has seen
// and rejects calls with a lower one.
type Token struct {
	// Epoch orders tokens; a later adoption has a higher epoch.
	Epoch uint64 `json:"epoch"`
	// Owner breaks ties between equal epochs and names the adopting process.
	Owner string `json:"owner"`
}

// Less reports whether t is lower than o, by epoch and then by owner.
func (t Token) Less(o Token) bool {
	if t.Epoch != o.Epoch {
		return t.Epoch < o.Epoch
	}
	return t.Owner < o.Owner
}

// Phase is the state of an attempt on a worker.
type Phase string

// The phases of an attempt as a worker reports them.
const (
	Running  Phase = "running"
	Finished Phase = "finished"
	Failed   Phase = "failed"
	// Stopped means that the attempt ran and was stopped before it finished.
	Stopped Phase = "stopped"
	// Fenced means that the attempt never ran and never will.
	Fenced Phase = "fenced"
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p != Running }

// Attempt is one execution of a task on a worker.
type Attempt struct {
	ID       string          `json:"id"`
	Customer string          `json:"customer,omitempty"`
	Plan     string          `json:"plan,omitempty"`
	Class    string          `json:"class,omitempty"`
	Size     resource.Vector `json:"size,omitzero"`
	Kind     string          `json:"kind,omitempty"`
	// Repeatable means that the work may safely run again after it was stopped.
	Repeatable bool   `json:"repeatable,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
	// RunTime is the declared run time.
	RunTime time.Duration `json:"run_time,omitempty"`
}

// Record is a worker's report on one attempt.
type Record struct {
	// Attempt contains only the ID, except in an AdoptReply, where all fields but
	// the payload are set.
	Attempt Attempt `json:"attempt"`
	Phase   Phase   `json:"phase"`
	// Sequence numbers the phase changes on the worker in increasing order.
	Sequence uint64 `json:"sequence"`
	Answer   []byte `json:"answer,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// AdoptRequest makes the sender the owner of a worker.
type AdoptRequest struct {
	Token Token `json:"token"`
	// Lease is how long the worker keeps running attempts unless the owner renews
	// the lease.
	Lease time.Duration `json:"lease"`
}

// AdoptReply is the reply to an AdoptRequest. An adoption is atomic: once the
// worker has accepted it, the worker refuses lower tokens, and Records lists
// every attempt that was running at that moment or had ended recently.
type AdoptReply struct {
	Accepted bool `json:"accepted"`
	// Current is the highest token that the worker has seen.
	Current  Token           `json:"current"`
	Capacity resource.Vector `json:"capacity"`
	Rack     string          `json:"rack"`
	Records  []Record        `json:"records"`
	// Sequence is the number of the worker's latest phase change.
	Sequence uint64 `json:"sequence"`
}

// StartRequest starts one attempt. It is idempotent: a second request with the same
// attempt ID has no further effect.
type StartRequest struct {
	Token   Token   `json:"token"`
	Attempt Attempt `json:"attempt"`
}

// SyncRequest renews the lease, acknowledges records and waits for new ones.
type SyncRequest struct {
	Token Token `json:"token"`
	// Lease is the duration of the renewed lease; 0 does not renew the lease.
	Lease time.Duration `json:"lease"`
	// After acknowledges all records up to this sequence and requests later ones.
	After uint64 `json:"after"`
	// Wait is how long the worker may delay its reply until there is a new record.
	Wait time.Duration `json:"wait"`
}

// SyncReply contains the records after SyncRequest.After.
type SyncReply struct {
	Records []Record `json:"records,omitempty"`
	// Sequence is the number of the worker's latest phase change.
	Sequence uint64 `json:"sequence"`
	// Used is the measured resource usage, which lags behind the records.
	Used resource.Vector `json:"used,omitzero"`
}

// StopMode is the way in which a worker frees the resources of an attempt.
type StopMode string

// The stop modes, from the least to the most disruptive.
const (
	Checkpoint StopMode = "checkpoint"
	Throttle   StopMode = "throttle"
	Stop       StopMode = "stop"
)

// StopRequest stops an attempt. If the attempt has not started, the worker fences it,
// so that it can never start.
type StopRequest struct {
	Token   Token    `json:"token"`
	Attempt string   `json:"attempt"`
	Mode    StopMode `json:"mode"`
}

// StopReply contains the record of the attempt after the stop.
type StopReply struct {
	Record Record `json:"record"`
}

// Peer is the owner's interface to one worker. A KindUnreachable error from any
// method leaves the outcome of the call unknown.
type Peer interface {
	Adopt(ctx context.Context, r AdoptRequest) (AdoptReply, error)
	Start(ctx context.Context, r StartRequest) (Record, error)
	Sync(ctx context.Context, r SyncRequest) (SyncReply, error)
	Stop(ctx context.Context, r StopRequest) (StopReply, error)
}
