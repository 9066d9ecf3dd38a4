// Package request carries one piece of work from its caller to its whole
// answer: routing to owners, retries, resolution of unknown outcomes and
// cancellation.
package request

import (
	"encoding/hex"
	"fmt"
	"time"

	"crypto/sha256"

	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Spec is what a caller asks for.
type Spec struct {
	Plan  string     `json:"plan"`
	Class plan.Class `json:"class"`
	// Kind names the service or program that does the work.
	Kind string          `json:"kind"`
	Size resource.Vector `json:"size"`
	// RunTimeMilliseconds is the declared run time.
	RunTimeMilliseconds int64 `json:"run_time_milliseconds"`
	// DeadlineMilliseconds counts from the submission; zero means none.
	DeadlineMilliseconds int64 `json:"deadline_milliseconds"`
	// Repeatable work may run more than once.
	Repeatable bool `json:"repeatable"`
	// Key is an idempotency key in the form of a ULID. Work that is not
	// repeatable needs one.
	Key string `json:"key,omitempty"`
	// Spread names a group whose tasks should be on different racks.
	Spread  string `json:"spread,omitempty"`
	Payload []byte `json:"payload"`
}

// Bounds of a Spec.
const (
	MaxPayloadBytes = 1 << 20
	MaxRunTime      = 365 * 24 * time.Hour
	maxNameBytes    = 128
)

// Validate returns a message that names the first bad field, or the empty
// string.
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
	// Failed means that the work ran and failed.
	Failed State = "failed"
	// NotRun means that the work did not run and never will.
	NotRun State = "not_run"
	// MayHaveRun means that the outcome is not known.
	MayHaveRun State = "may_have_run"
	Cancelled  State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s != Pending }

// Outcome is what a caller gets.
type Outcome struct {
	ID     string `json:"id"`
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	// RetryAfterMilliseconds is a hint for work that was not run.
	RetryAfterMilliseconds int64 `json:"retry_after_milliseconds,omitempty"`
	// WaitedMilliseconds is the time from submission to the last start.
	WaitedMilliseconds int64 `json:"waited_milliseconds"`
	Attempts           int   `json:"attempts"`
	// NextAttempt is the first attempt number that was not used.
	NextAttempt int `json:"-"`
	// Answer is whole exactly if AnswerBytes and AnswerDigest match it.
	Answer       []byte `json:"answer,omitempty"`
	AnswerBytes  int    `json:"answer_bytes"`
	AnswerDigest string `json:"answer_digest,omitempty"`
}

// SetAnswer fills in an answer with its length and SHA-256 digest.
func (o *Outcome) SetAnswer(answer []byte) {
	digest := sha256.Sum256(answer)
	o.Answer, o.AnswerBytes, o.AnswerDigest = answer, len(answer), hex.EncodeToString(digest[:])
}

// Whole reports whether the answer matches its length and digest.
func (o *Outcome) Whole() bool {
	digest := sha256.Sum256(o.Answer)
	return len(o.Answer) == o.AnswerBytes && hex.EncodeToString(digest[:]) == o.AnswerDigest
}
