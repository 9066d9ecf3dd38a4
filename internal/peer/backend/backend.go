// Package backend defines the interface between the scheduler and a worker (a
// backend server): the worker's registration, the orders it accepts and the
// reports it returns. Package platform implements it over HTTP.
package backend

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error. Every kind except KindUnknown means that the worker has not
// executed the order and never will.
const (
	// KindUnknown means that the worker may have executed the order or may still
	// execute it.
	KindUnknown Kind = "unknown"
	// KindFenced means that the worker has seen a higher fencing token.
	KindFenced Kind = "fenced"
	// KindStaleRun means that a run of the same task with the same or a higher
	// number has already ended on the worker.
	KindStaleRun Kind = "stale_run"
	// KindDeadlinePassed means that the lease deadline of the order has passed.
	KindDeadlinePassed Kind = "late"
	// KindNoRoom means that the worker has too little free capacity.
	KindNoRoom Kind = "no_room"
	// KindInvalidTicket means that the order lacks a valid ticket.
	KindInvalidTicket Kind = "ticket"
	// KindLifeMismatch means that the process at the worker's address is not the one
	// that the order is meant for.
	KindLifeMismatch Kind = "other_life"
	// KindUnreachable means that no connection to the worker could be opened, so the
	// order was not sent.
	KindUnreachable Kind = "unreachable"
	// KindUnhealthy means that the worker temporarily accepts no orders.
	KindUnhealthy Kind = "unhealthy"
	// KindInvalid means that the worker rejected the order as malformed or for a
	// reason that this version does not know.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Life identifies one instance of a worker process. A restart begins a new life,
// which has no record of earlier runs.
type Life struct {
	// ID is the instance ID under which the worker registers.
	ID string
	// Born is the start time of the process in Unix milliseconds.
	Born int64
}

// Registration is a worker's description of itself, which it writes to the store.
type Registration struct {
	Life     Life
	Address  netip.AddrPort
	Service  string
	Zone     string
	Capacity resource.Vector
	// Labels holds the machine kind and the rack of the worker.
	Labels []string
	// Draining means that the worker accepts no new runs and shuts down soon.
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down.
	Remaining time.Duration
}

// HasLabel reports whether the worker has the label. The empty label stands for no
// requirement, so every worker has it.
func (r *Registration) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// Start orders a worker to start a run, which is one execution of a task.
type Start struct {
	Task work.TaskID
	// Run numbers the runs of the task; later runs have higher numbers.
	Run     int64
	Payload string
	// Deadline is the time on the worker's clock at which the lease expires.
	Deadline time.Duration
	// Token is the leader's fencing token.
	Token int64
	// Checkpoint is where the run resumes; it is empty for a run from the
	// beginning.
	Checkpoint string
	// Ticket is the adviser's permission to use this worker. It is empty for a
	// queue without an adviser.
	Ticket string
}

// Stop orders a worker to stop a run.
type Stop struct {
	Task  work.TaskID
	Run   int64
	Token int64
}

// Pace orders a worker to throttle a run.
type Pace struct {
	Task work.TaskID
	Run  int64
	// Percent is the speed of the run relative to its full speed.
	Percent int
	Token   int64
}

// Hold renews the lease of every run on a worker, acknowledges ended runs and
// requests a Report. It is a long poll.
type Hold struct {
	Token int64
	// Acknowledged is the highest End.Number that the leader has stored. The
	// worker reports only ended runs with a higher number.
	Acknowledged int64
	// Deadline is the time on the worker's clock at which the lease expires; 0
	// leaves the lease unchanged.
	Deadline time.Duration
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Outcome is the way in which a run ended.
type Outcome string

// The outcomes of a run.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	Stopped Outcome = "stopped"
	// LeaseExpired means that the lease expired.
	LeaseExpired Outcome = "lapsed"
	// GangBroken means that the run ended because another member of its gang ended.
	GangBroken Outcome = "broken"
	// GangIncomplete means that the other members of the gang did not start in time.
	GangIncomplete Outcome = "alone"
)

// Run describes a run in progress on a worker.
type Run struct {
	Task work.TaskID
	Run  int64
	// Checkpoint is the last checkpoint that the run saved.
	Checkpoint string
	// Percent is the completed share of the work.
	Percent int
	// Figure is the current load: the tail latency in milliseconds for a serving
	// task, the used milliprocessors for any other task.
	Figure int64
}

// EndedRun describes a run that has ended.
type EndedRun struct {
	// Number is 1 higher for each run that ends in the current life of the
	// worker.
	Number     int64
	Task       work.TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a Hold.
type Report struct {
	Life Life
	// Clock is the time on the worker's clock when it sent the report.
	Clock   time.Duration
	Running []Run
	// Ended lists the ended runs that have not been acknowledged.
	Ended []EndedRun
	// Truncated means that Ended may be incomplete. The worker reports the other
	// ended runs once these have been acknowledged.
	Truncated bool
}

// Worker sends orders to one worker. Errors are of type *Error.
type Worker interface {
	// Start also returns the time on the worker's clock, or 0 when that time is
	// unknown.
	Start(ctx context.Context, s Start) (clock time.Duration, err error)
	Stop(ctx context.Context, s Stop) error
	Pace(ctx context.Context, p Pace) error
	Hold(ctx context.Context, h Hold) (Report, error)
	// Close releases the connections to the worker.
	Close()
}

// Advice is an adviser's decision on the workers that may run the tasks of a step.
type Advice struct {
	// Tickets maps the ID of each permitted worker to the ticket that a Start must
	// carry.
	Tickets map[string]string
	// Validity is how long the tickets are valid after the answer.
	Validity time.Duration
}

// Adviser is an external service that decides which workers a step may use. The
// configuration of a queue determines whether its steps need this advice.
type Adviser interface {
	// Advise returns which of the given worker IDs the step may use.
	Advise(ctx context.Context, step work.StepID, workers []string) (Advice, error)
}
