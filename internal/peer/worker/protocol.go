// Package worker speaks with worker VMs. The protocol is stated as numbered
// assumptions in docs/design/worker_protocol.md; another protocol changes this
// package alone.
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
	// KindFenced means that a higher fencing token has adopted the worker.
	KindFenced Kind = "fenced"
	// KindRefused means that the worker did not and will not start the attempt.
	KindRefused Kind = "refused"
	// KindUnreachable means that the outcome of the call is unknown.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Token is a fencing token. A worker obeys only the highest token that it has
// seen.
type Token struct {
	// Epoch orders tokens; a later adoption has a higher epoch.
	Epoch uint64 `json:"epoch"`
	// Owner breaks ties between equal epochs and names the adopting process.
	Owner string `json:"owner"`
}

// Less reports whether t is older than o.
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
	// Stopped means that the attempt ran and was ended early.
	Stopped Phase = "stopped"
	// Fenced means that the attempt never ran and never will.
	Fenced Phase = "fenced"
)

// Ended reports whether the attempt will not run any more.
func (p Phase) Ended() bool { return p != Running }

// Attempt is what a worker is asked to run.
type Attempt struct {
	ID       string          `json:"id"`
	Customer string          `json:"customer,omitempty"`
	Plan     string          `json:"plan,omitempty"`
	Class    string          `json:"class,omitempty"`
	Size     resource.Vector `json:"size,omitzero"`
	Kind     string          `json:"kind,omitempty"`
	// Repeatable work may run again after it was stopped.
	Repeatable bool   `json:"repeatable,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
	// RunTime is the declared run time.
	RunTime time.Duration `json:"run_time,omitempty"`
}

// Record is what a worker says of one attempt.
type Record struct {
	// Attempt is without payload in every reply, and holds only the ID in
	// replies other than that to an adoption.
	Attempt Attempt `json:"attempt"`
	Phase   Phase   `json:"phase"`
	// Sequence orders the worker's phase changes; it only rises.
	Sequence uint64 `json:"sequence"`
	Answer   []byte `json:"answer,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// AdoptRequest takes ownership of a worker.
type AdoptRequest struct {
	Token Token `json:"token"`
	// Lease is how long tasks go on without a later call of the owner.
	Lease time.Duration `json:"lease"`
}

// AdoptReply is atomic with the adoption: from then on lower tokens are
// refused, and Records lists every attempt that runs or ended recently.
type AdoptReply struct {
	Accepted bool            `json:"accepted"`
	Current  Token           `json:"current"`
	Capacity resource.Vector `json:"capacity"`
	Rack     string          `json:"rack"`
	Records  []Record        `json:"records"`
	Sequence uint64          `json:"sequence"`
}

// StartRequest starts one attempt. It is idempotent per attempt ID.
type StartRequest struct {
	Token   Token   `json:"token"`
	Attempt Attempt `json:"attempt"`
}

// SyncRequest renews the lease, acknowledges records and waits for new ones.
type SyncRequest struct {
	Token Token         `json:"token"`
	Lease time.Duration `json:"lease"`
	// After asks for records with a higher sequence.
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait"`
}

// SyncReply carries the records after the asked sequence.
type SyncReply struct {
	Records  []Record `json:"records,omitempty"`
	Sequence uint64   `json:"sequence"`
	// Used is the measured use, reported with a lag.
	Used resource.Vector `json:"used,omitzero"`
}

// StopMode says how an attempt is taken off a worker.
type StopMode string

// The stop modes, from the mildest to the harshest.
const (
	Checkpoint StopMode = "checkpoint"
	Throttle   StopMode = "throttle"
	Stop       StopMode = "stop"
)

// StopRequest ends an attempt, or fences one that has not started.
type StopRequest struct {
	Token   Token    `json:"token"`
	Attempt string   `json:"attempt"`
	Mode    StopMode `json:"mode"`
}

// StopReply tells the phase after the stop.
type StopReply struct {
	Record Record `json:"record"`
}

// Peer is one worker as its owner sees it. Every method may return a
// KindUnreachable error, after which the outcome is unknown.
type Peer interface {
	Adopt(ctx context.Context, r AdoptRequest) (AdoptReply, error)
	Start(ctx context.Context, r StartRequest) (Record, error)
	Sync(ctx context.Context, r SyncRequest) (SyncReply, error)
	Stop(ctx context.Context, r StopRequest) (StopReply, error)
}
