// Package work describes jobs: what callers submit, how its tasks are named, and
// what is recorded of their progress.
package work

import (
	"cmp"
	"fmt"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindInvalid means that a job can not be accepted as it is.
	KindInvalid Kind = "invalid"
	// KindMalformed means that a record can not be read.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Limits of one job.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of one occurrence of a job.
	MaxTasks = 4096
)

// Job is what a caller submits.
type Job struct {
	// ID is chosen by the caller and unique.
	ID string `json:"id"`
	// Queue is the name of the queue that took the job.
	Queue string `json:"queue"`
	// Payload is handed to every task as it came.
	Payload string `json:"payload,omitempty"`
	// Steps run in the order that After gives.
	Steps []Step `json:"steps"`
	// Repeat is nil for a job that runs once, at once.
	Repeat *Repeat `json:"repeat,omitempty"`
	// Accepted is when an entry VM received the job, by the time of day.
	Accepted time.Time `json:"accepted"`
}

// Repeat makes a job run several times, each occurrence at a due time.
type Repeat struct {
	// Count is at least 1.
	Count int `json:"count"`
	// Start is when occurrence 0 is due, by the time of day.
	Start time.Time `json:"start"`
	// Interval is the time between due times.
	Interval time.Duration `json:"interval"`
}

// Step is a set of equal tasks.
type Step struct {
	// Count is at least 1.
	Count int `json:"count"`
	// Size is what each task asks for.
	Size resource.Vector `json:"size"`
	// Estimate is the declared run time of a task; it is often wrong.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps of which every task must have completed.
	After []int `json:"after,omitempty"`
	// Gang tasks work only while all of them run, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label must be among the labels of the worker, unless empty.
	Label string `json:"label,omitempty"`
	// Rack is where the data is; work elsewhere is slow. Empty means anywhere.
	Rack string `json:"rack,omitempty"`
	// MostPerWorker bounds the tasks on one worker; 0 means no bound.
	MostPerWorker int `json:"most_per_worker,omitempty"`
	// Speculative tasks may run in several copies at once.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Checkpoints tells that tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// Target is the bound on the tail latency of a serving task; 0 means none.
	Target time.Duration `json:"target,omitempty"`
	// Fills tells that the tasks use processor time that others leave over.
	Fills bool `json:"fills,omitempty"`
	// DisruptionBudget is how many lasting tasks may be away by our doing.
	DisruptionBudget int `json:"disruption_budget,omitempty"`
}

// Room returns what a task of the step takes of a worker's capacity.
func (s *Step) Room() resource.Vector {
	room := s.Size
	if s.Fills {
		room.Milliprocessors = 0
	}
	return room
}

// Validate checks a job before it is accepted.
func (j *Job) Validate() error {
	bad := func(format string, args ...any) error {
		return fault.Newf("validate", KindInvalid, format, args...)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return bad("a job has 1 to %d steps, not %d", MaxSteps, len(j.Steps))
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 {
			return bad("step %d has %d tasks", i, s.Count)
		}
		tasks += s.Count
		if tasks > MaxTasks {
			return bad("a job has at most %d tasks", MaxTasks)
		}
		if text := s.Size.Validate(); text != "" {
			return bad("step %d: %s", i, text)
		}
		if s.Estimate < 0 || s.MostPerWorker < 0 || s.DisruptionBudget < 0 || s.Target < 0 {
			return bad("step %d has a negative number", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return bad("step %d comes after step %d, which is not an earlier one", i, a)
			}
		}
	}
	if j.Repeat != nil && (j.Repeat.Count < 1 || j.Repeat.Interval < 0) {
		return bad("a repeated job needs a count of at least 1 and an interval that is not negative")
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	if j.Repeat == nil {
		return 1
	}
	return j.Repeat.Count
}

// Due returns when an occurrence may start, by the time of day.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == nil {
		return j.Accepted
	}
	return j.Repeat.Start.Add(time.Duration(occurrence) * j.Repeat.Interval)
}

// Chain returns the declared run time of the longest chain of steps that ends
// with each step.
func (j *Job) Chain() []time.Duration {
	chain := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += j.Steps[i].Estimate
	}
	return chain
}

// StepID names a step of one occurrence.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// TaskID names a task.
type TaskID struct {
	StepID
	Index int
}

// String formats the ID for logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders tasks by name.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// State is what callers are told of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }
