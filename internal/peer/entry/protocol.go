// Package entry is the protocol between entry VMs: net/rpc calls over TCP, and
// heartbeats over UDP.
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
	// KindNotSent means that the call never left this process.
	KindNotSent Kind = "not_sent"
	// KindUnknown means that the call may have taken effect.
	KindUnknown Kind = "unknown_outcome"
	// KindEpoch means that the called owner is not the one meant, or was paused.
	KindEpoch Kind = "other_epoch"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// State is what an owner says of an attempt.
type State string

// The states of an attempt.
const (
	Waiting  State = "waiting"
	Running  State = "running"
	Finished State = "finished"
	// Failed means that the attempt ran and failed.
	Failed State = "failed"
	// Stopped means that the attempt ran and was stopped, or its lease lapsed.
	Stopped State = "stopped"
	// NotRun means that the attempt never ran and never will.
	NotRun State = "not_run"
	// Moved means that the worker of the attempt has another owner now; the
	// attempt has to be resolved there.
	Moved State = "moved"
)

// Ended reports whether the owner has nothing more to say of the attempt.
func (s State) Ended() bool { return s != Waiting && s != Running }

// Reasons that owners give beside those of the allocator and the workers.
const (
	ReasonFenced      = "fenced"
	ReasonCancelled   = "cancelled"
	ReasonPreempted   = "preempted"
	ReasonLeaseLapsed = "lease_lapsed"
	// ReasonInterrupted is given for work that ran, was stopped before its end,
	// and could not be started again.
	ReasonInterrupted = "interrupted"
)

// Task is one attempt as it travels between entry VMs.
type Task struct {
	Attempt    string
	Customer   string
	Plan       string
	Class      plan.Class
	Size       resource.Vector
	Kind       string
	Spread     string
	Repeatable bool
	RunTime    time.Duration
	// Name is the task that the attempt belongs to.
	Name string
	// Resumed attempts follow one that ran and was stopped.
	Resumed bool
	// Generation is that of the holder, for tasks of jobs; 0 for requests.
	Generation int
	// Remaining is the time to the deadline when the call was sent; zero means
	// no deadline. A duration is used since clocks of VMs differ.
	Remaining time.Duration
	Payload   []byte
}

// Status is what an owner says of an attempt.
type Status struct {
	State  State
	Reason string
	Worker string
	Answer []byte
	// RetryAfter is a hint for attempts that were not run.
	RetryAfter time.Duration
	// Waited is how long the attempt was queued at the owner.
	Waited time.Duration
}

// HolderLease is how long a waiting attempt is kept without being asked for.
// Past it the attempt never starts, so that its holder may give up on an owner
// that it can not reach.
const HolderLease = 4 * time.Second

// RunArgs asks an owner to run an attempt and to wait for its end.
type RunArgs struct {
	// Epoch is that of the owner that the caller means; another one refuses.
	Epoch uint64
	Task  Task
	Wait  time.Duration
}

// AwaitArgs asks for the end of an attempt that an owner was given before. An
// attempt that the owner does not know is fenced: it never runs there later.
type AwaitArgs struct {
	Epoch   uint64
	Attempt string
	Wait    time.Duration
}

// CancelArgs asks an owner to stop an attempt.
type CancelArgs struct {
	Attempt string
}

// ResolveArgs asks an owner what it knows of attempts whose former owner is
// gone. Unknown attempts are fenced at the owner.
type ResolveArgs struct {
	Attempts []string
	// Peek asks without fencing.
	Peek bool
	// Tasks asks for all attempts of tasks. Attempts of a generation below the
	// given one are fenced: those that have not started here never will.
	Tasks map[string]int
}

// ResolveReply tells what an owner knows.
type ResolveReply struct {
	// FoundTasks holds, by task, the attempt that runs or ended.
	FoundTasks map[string]FoundAttempt
	// Found holds the attempts that run on or ended on the owner's workers.
	Found map[string]Status
	// Epoch is that of the answering owner.
	Epoch uint64
	// Verified holds, for each worker that the owner holds the token of, how
	// long ago the last answered call to it was sent.
	Verified map[string]time.Duration
}

// FoundAttempt is an attempt of a task that was asked for.
type FoundAttempt struct {
	Attempt string
	Status  Status
}

// FetchArgs asks for the outcome of a request.
type FetchArgs struct {
	ID string
	// Job asks for a job instead of a request.
	Job bool
	// Cancel cancels the request instead.
	Cancel bool
	Wait   time.Duration
}

// FetchReply carries an outcome as the caller interface shows it.
type FetchReply struct {
	Known   bool
	Outcome []byte
}

// ConfigurationReply carries the newest accepted configuration.
type ConfigurationReply struct {
	Offset uint64
	Lists  plan.Lists
}

// ReserveArgs asks an owner to hold room for tasks of a gang.
type ReserveArgs struct {
	Epoch uint64
	// Gang names the gang; only one may collect at an owner at a time.
	Gang  string
	Tasks []Task
	// Lease is how long room is held without a renewal.
	Lease time.Duration
	// Collect asks for room that comes free later, too.
	Collect bool
}

// ReserveReply names the attempts whose room is held.
type ReserveReply struct {
	Held []string
	// Busy means that another gang collects.
	Busy bool
}

// UsageReply carries the sums of an entry VM that are not in the log yet.
type UsageReply struct {
	Periods []usage.Period
}

// Nothing is an empty argument or reply.
type Nothing struct{}
