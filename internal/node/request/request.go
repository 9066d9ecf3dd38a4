// Package request runs the tasks of requests and jobs on behalf of callers. It
// routes each task to an owner, an entry VM that has adopted workers, retries
// it, resolves unknown outcomes and cancels it.
//
// Each try to run a task is an attempt with an ID of its own. The entry VM that
// follows the attempts of a request or job is its holder. Another holder may
// take a job over; it then has a higher generation.
package request

import (
	"encoding/hex"
	"fmt"
	"time"

	"crypto/sha256"

	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Spec is a request of a caller for one task.
type Spec struct {
	Plan  string     `json:"plan"`
	Class plan.Class `json:"class"`
	// Kind names the service or program that runs the task.
	Kind string          `json:"kind"`
	Size resource.Vector `json:"size"`
	// RunTimeMilliseconds is the expected run time that the caller declares.
	RunTimeMilliseconds int64 `json:"run_time_milliseconds"`
	// DeadlineMilliseconds is the time from the submission to the deadline;
	// zero means no deadline.
	DeadlineMilliseconds int64 `json:"deadline_milliseconds"`
	// Repeatable means that the task may run more than once, for example after a
	// preemption.
	Repeatable bool `json:"repeatable"`
	// Key is an idempotency key in the form of a ULID. It is required for tasks
	// that are not repeatable.
	Key string `json:"key,omitempty"`
	// Spread names a group of tasks that should run on different racks.
	Spread  string `json:"spread,omitempty"`
	Payload []byte `json:"payload"`
}

// Limits on the fields of a Spec.
const (
	MaxPayloadBytes = 1 << 20
	MaxRunTime      = 365 * 24 * time.Hour
	maxNameBytes    = 128
)

// Validate returns a message about the first invalid field, or the empty string
// when all are valid.
func (s Spec) Validate() string {
	switch {
	case s.Plan == "":
		return "plan is missing"
	case len(s.Plan) > maxNameBytes, len(s.Kind) > maxNameBytes, len(s.Key) > maxNameBytes, len(s.Spread) > maxNameBytes:
		return fmt.Sprintf("plan, kind, key and spread are at most %d bytes", maxNameBytes)
	case s.Class.Rank() < 0:
		return fmt.Sprintf("class %q must be urgent, normal or overnight", s.Class)
	case s.RunTimeMilliseconds < 0 || s.RunTimeMilliseconds > MaxRunTime.Milliseconds():
		return fmt.Sprintf("run_time_milliseconds %d must be between 0 and %d", s.RunTimeMilliseconds, MaxRunTime.Milliseconds())
	case s.DeadlineMilliseconds < 0 || s.DeadlineMilliseconds > MaxRunTime.Milliseconds():
		return fmt.Sprintf("deadline_milliseconds %d must be between 0 and %d", s.DeadlineMilliseconds, MaxRunTime.Milliseconds())
	case len(s.Payload) > MaxPayloadBytes:
		return fmt.Sprintf("payload is above %d bytes", MaxPayloadBytes)
	case s.Size.IsZero():
		return "size is missing"
	case !s.Repeatable && s.Key == "":
		return "key is missing: work that is not repeatable needs an idempotency key"
	}
	if reason := s.Size.Validate(); reason != "" {
		return "size: " + reason
	}
	return ""
}

// State is the state of a request as its caller sees it.
type State string

// The states of a request.
const (
	Pending State = "pending"
	Done    State = "done"
	// Failed means that the task ran and failed.
	Failed State = "failed"
	// NotRun means that the task did not run and never will.
	NotRun State = "not_run"
	// MayHaveRun means that the outcome is unknown or that the task was stopped
	// before its end.
	MayHaveRun State = "may_have_run"
	Cancelled  State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s != Pending }

// Outcome is the result of a request as its caller receives it.
type Outcome struct {
	ID     string `json:"id"`
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	// RetryAfterMilliseconds is how long the caller should wait before it
	// resubmits a task that was not run; zero means no hint.
	RetryAfterMilliseconds int64 `json:"retry_after_milliseconds,omitempty"`
	// WaitedMilliseconds is how long the last attempt was queued before its
	// start.
	WaitedMilliseconds int64 `json:"waited_milliseconds"`
	// Attempts counts the attempts that ran or may have run.
	Attempts int `json:"attempts"`
	// NextAttempt is the lowest attempt number that was not used.
	NextAttempt int `json:"-"`
	// Answer is the result of the task. It is intact if its length is
	// AnswerBytes and its digest is AnswerDigest.
	Answer       []byte `json:"answer,omitempty"`
	AnswerBytes  int    `json:"answer_bytes"`
	AnswerDigest string `json:"answer_digest,omitempty"`
}

// SetAnswer sets the answer, its length and its SHA-256 digest in hexadecimal.
func (o *Outcome) SetAnswer(answer []byte) {
	digest := sha256.Sum256(answer)
	o.Answer, o.AnswerBytes, o.AnswerDigest = answer, len(answer), hex.EncodeToString(digest[:])
}

// IsAnswerIntact reports whether the answer has the stated length and digest.
func (o *Outcome) IsAnswerIntact() bool {
	digest := sha256.Sum256(o.Answer)
	return len(o.Answer) == o.AnswerBytes && hex.EncodeToString(digest[:]) == o.AnswerDigest
}
