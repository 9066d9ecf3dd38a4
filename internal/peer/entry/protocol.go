// Package entry implements the protocol between entry VMs: net/rpc calls over TCP
// and heartbeats over UDP.
//
// An attempt is one try to run a task. Each worker is owned by one entry VM, its
// owner, which queues attempts and runs them on the worker. The holder of a
// request or job is the entry VM that tracks it and asks owners to run its
// attempts.
package entry

import (
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindNotSent means that no part of the call was sent.
	KindNotSent Kind = "not_sent"
	// KindUnknown means that the call may have taken effect.
	KindUnknown Kind = "unknown_outcome"
	// KindEpochMismatch means that the call carries another epoch than the called
	// owner has. An owner gets a new epoch when its process restarts and when it
	// resumes after a pause.
	KindEpochMismatch Kind = "other_epoch"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// State is the state of an attempt at its owner.
type State string

// The states of an attempt.
const (
	Waiting  State = "waiting"
	Running  State = "running"
	Finished State = "finished"
	// Failed means that the attempt ran and failed.
	Failed State = "failed"
	// Stopped means that the attempt ran and was stopped, or its lease expired.
	Stopped State = "stopped"
	// NotRun means that the attempt never ran and never will.
	NotRun State = "not_run"
	// Moved means that another owner has adopted the worker of the attempt. The
	// holder must ask that owner for the outcome.
	Moved State = "moved"
)

// Ended reports whether the state at this owner is final.
func (s State) Ended() bool { return s != Waiting && s != Running }

// Reasons that owners report in Status.Reason, in addition to those of the allocator
// and the workers.
const (
	ReasonFenced      = "fenced"
	ReasonCancelled   = "cancelled"
	ReasonPreempted   = "preempted"
	ReasonLeaseLapsed = "lease_lapsed"
	// ReasonInterrupted means that the work was stopped before it finished and could
	// not be restarted.
	ReasonInterrupted = "interrupted"
)

// Task is one attempt to run a task, as sent between entry VMs.
type Task struct {
	// Attempt is the ID of the attempt.
	Attempt  string
	Customer string
	Plan     string
	Class    plan.Class
	Size     resource.Vector
	// Kind names the service or program that runs the task.
	Kind string
	// Spread names a group of tasks that should run on different racks; it may be
	// empty.
	Spread string
	// Repeatable means that the work may safely run again after it was stopped.
	Repeatable bool
	// RunTime is the declared run time.
	RunTime time.Duration
	// Name identifies the task that the attempt belongs to.
	Name string
	// Resumed means that an earlier attempt of the task ran and was stopped or
	// failed.
	Resumed bool
	// Generation increases each time that another entry VM becomes the holder of the
	// job. It is 0 for requests.
	Generation int
	// Remaining is how much time was left until the deadline when the call was
	// sent; 0 means no deadline. It is a duration rather than a point in time
	// because the clocks of VMs differ.
	Remaining time.Duration
	Payload   []byte
}

// Status is the state of an attempt at its owner, with its result.
type Status struct {
	State  State
	Reason string
	Worker string
	Answer []byte
	// RetryAfter suggests when to retry an attempt in the state NotRun; 0 means no
	// suggestion.
	RetryAfter time.Duration
	// Waited is how long the attempt was queued at the owner.
	Waited time.Duration
}

// HolderLease is how long an owner may still start a waiting attempt after the
// holder last called Run or Await for it. A holder that cannot reach the owner
// therefore knows after this time that the attempt, if it was still waiting, will
// not start.
const HolderLease = 4 * time.Second

// RunArgs requests that an owner run an attempt and wait for its end.
type RunArgs struct {
	// Epoch is the expected epoch of the owner. An owner with another epoch refuses
	// the call.
	Epoch uint64
	Task  Task
	// Wait is how long the owner may wait for the attempt to end before it
	// replies.
	Wait time.Duration
}

// AwaitArgs requests that an owner wait for the end of an attempt from an earlier
// Run call. If the owner does not know the attempt, it fences it: the attempt can
// never run there.
type AwaitArgs struct {
	Epoch   uint64
	Attempt string
	Wait    time.Duration
}

// CancelArgs requests that an owner stop an attempt.
type CancelArgs struct {
	Attempt string
}

// ResolveArgs queries the state of attempts whose former owner is gone. The owner
// fences the attempts that it does not know.
type ResolveArgs struct {
	Attempts []string
	// Peek disables the fencing of unknown attempts.
	Peek bool
	// Tasks maps task names to generations. The owner reports an attempt of each
	// of these tasks, and from then on refuses Run calls for them with a lower
	// generation. An attempt that already waits there is reported and may still
	// start.
	Tasks map[string]int
}

// ResolveReply is the result of a Resolve call.
type ResolveReply struct {
	// FoundTasks maps each task in ResolveArgs.Tasks to its most advanced attempt
	// at the owner. A finished attempt ranks above a running or waiting one, and
	// that above all others. Attempts that did not run or that moved to another
	// owner are ignored. Tasks without any other attempt are left out.
	FoundTasks map[string]FoundAttempt
	// Found maps the requested attempts that the owner knows to their status.
	// Attempts that are fenced or that moved to another owner are left out.
	Found map[string]Status
	// Epoch is the epoch of the answering owner.
	Epoch uint64
	// Verified maps each worker that the owner has adopted to an age: the time
	// since the owner sent the last call that the worker answered.
	Verified map[string]time.Duration
}

// FoundAttempt is an attempt of a task in ResolveArgs.Tasks.
type FoundAttempt struct {
	Attempt string
	Status  Status
}

// FetchArgs requests the outcome of a request or the status of a job.
type FetchArgs struct {
	ID string
	// Job selects a job instead of a request.
	Job bool
	// Cancel cancels the request instead of fetching its outcome.
	Cancel bool
	// Wait is how long the entry VM may wait for the request or job to end before
	// it replies.
	Wait time.Duration
}

// FetchReply is the result of a Fetch call.
type FetchReply struct {
	// Known reports whether the entry VM knows the request or job.
	Known bool
	// Outcome is the JSON body of the reply to the caller.
	Outcome []byte
}

// ConfigurationReply contains the newest accepted configuration.
type ConfigurationReply struct {
	// Offset is the offset of its record in the log.
	Offset uint64
	Lists  plan.Lists
}

// ReserveArgs requests that an owner reserve capacity for the tasks of a gang.
type ReserveArgs struct {
	// Epoch is the expected epoch of the owner.
	Epoch uint64
	// Gang is the ID of the gang.
	Gang  string
	Tasks []Task
	// Lease is how long the reservation lasts without renewal.
	Lease time.Duration
	// Collect asks the owner to also reserve capacity that becomes free later,
	// before any queued attempt can use it. An owner lets only one gang at a time
	// collect capacity.
	Collect bool
}

// ReserveReply is the result of a Reserve call.
type ReserveReply struct {
	// Held lists the attempts whose capacity is reserved.
	Held []string
	// Busy means that another gang is collecting capacity at this owner.
	Busy bool
}

// UsageReply contains the usage sums of an entry VM that are not in the log yet.
type UsageReply struct {
	Periods []usage.Period
}

// Empty is the argument type of methods without arguments and the reply type of
// methods without a result.
type Empty struct{}
