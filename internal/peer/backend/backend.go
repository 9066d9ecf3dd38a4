// Package backend is a worker as the scheduler sees it: what it registers, the
// orders that it takes, and what it reports.
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

// The kinds of Error. All but KindUnknown mean that the order was not carried
// out and will not be.
const (
	// KindUnknown means that the order may have been carried out, or may be yet.
	KindUnknown Kind = "unknown"
	// KindFenced means that the worker has seen a higher fencing token.
	KindFenced Kind = "fenced"
	// KindStaleRun means that the run is not higher than one that ended there.
	KindStaleRun Kind = "stale_run"
	// KindLate means that the lease of the order is over.
	KindLate Kind = "late"
	// KindNoRoom means that the worker's capacity does not suffice.
	KindNoRoom Kind = "no_room"
	// KindTicket means that the order lacks a valid ticket.
	KindTicket Kind = "ticket"
	// KindOtherLife means that another process runs at the worker's address.
	KindOtherLife Kind = "other_life"
	// KindUnhealthy means that the worker takes no orders at the moment.
	KindUnhealthy Kind = "unhealthy"
	// KindInvalid means that the worker does not accept the order as it is.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Life is one life of a worker: a restart begins another one, which knows
// nothing of what ran before.
type Life struct {
	ID string
	// Born is the start of the process in Unix milliseconds.
	Born int64
}

// Registration is what a worker says of itself.
type Registration struct {
	Life     Life
	Address  netip.AddrPort
	Service  string
	Zone     string
	Capacity resource.Vector
	// Labels holds the worker's kind and its rack.
	Labels []string
	// Draining workers take no new work and leave soon.
	Draining bool
	// Remaining is the least time that a draining worker still has.
	Remaining time.Duration
}

// HasLabel reports whether the worker carries a label; all carry the empty one.
func (r *Registration) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// Start orders a run of a task.
type Start struct {
	Task    work.TaskID
	Run     int64
	Payload string
	// Deadline ends the lease, by the worker's clock.
	Deadline   time.Duration
	Token      int64
	Checkpoint string
	// Ticket is empty where the queue needs none.
	Ticket string
}

// Stop orders the end of a run.
type Stop struct {
	Task  work.TaskID
	Run   int64
	Token int64
}

// Pace sets the share of its speed at which a run works.
type Pace struct {
	Task    work.TaskID
	Run     int64
	Percent int
	Token   int64
}

// Hold extends the lease of all that runs on a worker, acknowledges ends and
// asks for the lists of runs.
type Hold struct {
	Token int64
	// Acknowledged is the number of the last end that need not be listed again.
	Acknowledged int64
	// Deadline ends the lease, by the worker's clock; 0 leaves it as it is.
	Deadline time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Outcome tells how a run ended.
type Outcome string

// The outcomes of a run.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	Stopped Outcome = "stopped"
	// Lapsed means that the lease ran out.
	Lapsed Outcome = "lapsed"
	// Broken means that another member of the gang ended.
	Broken Outcome = "broken"
	// Alone means that the other members of the gang did not come.
	Alone Outcome = "alone"
)

// Run is a task at work on a worker.
type Run struct {
	Task       work.TaskID
	Run        int64
	Checkpoint string
	// Percent tells how much of the work is done.
	Percent int
	// Figure is the tail latency in milliseconds of a serving task, or the
	// milliprocessors in use of any other.
	Figure int64
}

// End is a run that has ended.
type End struct {
	// Number rises by one with each end in a life of the worker.
	Number     int64
	Task       work.TaskID
	Run        int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	Life    Life
	Clock   time.Duration
	Running []Run
	Ended   []End
	// Truncated tells that more ends may be listed once these are acknowledged.
	Truncated bool
}

// Worker takes orders. Errors are of type *Error. Every answer carries the
// worker's clock; it is 0 when unknown.
type Worker interface {
	Start(ctx context.Context, s Start) (clock time.Duration, err error)
	Stop(ctx context.Context, s Stop) error
	Pace(ctx context.Context, p Pace) error
	Hold(ctx context.Context, h Hold) (Report, error)
	// Close gives the connections up.
	Close()
}

// Advice names the workers on which the tasks of a step may run.
type Advice struct {
	// Tickets maps worker IDs to the tickets that orders must carry.
	Tickets map[string]string
	// Validity is how long the tickets are good from the answer on.
	Validity time.Duration
}

// Adviser is the service that knows which workers a step may use.
type Adviser interface {
	Advise(ctx context.Context, step work.StepID, workers []string) (Advice, error)
}
