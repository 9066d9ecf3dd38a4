// Package work defines jobs as callers submit them, the IDs of their steps and
// tasks, and the stored records of their progress.
package work

import (
	"cmp"
	"strconv"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors that this package returns.
const (
	// KindInvalid means that a job has a field with an invalid value.
	KindInvalid Kind = "invalid"
	// KindMalformed means that a stored record cannot be decoded.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Limits of one job.
const (
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 64
	// MaxTasks is the largest number of tasks in one occurrence of a job, in all its
	// steps together.
	MaxTasks = 4096
)

// maxRepeatSpan is the longest time from the first to the last due time of a repeated job,
// so that due times do not overflow.
const maxRepeatSpan = 50 * 365 * 24 * time.Hour

// Job is a set of steps that a caller submits. The steps run once, or several times
// if Repeat is set. Each of these times is called an occurrence.
type Job struct {
	// ID is a unique ID that the caller has chosen.
	ID string `json:"id"`
	// Queue is the name of the queue to which the job was submitted.
	Queue string `json:"queue"`
	// Definition is the queue as it was configured when the job was accepted, without its
	// host and prefix. It counts once the queue is no longer configured. It is nil in the
	// records of earlier builds.
	Definition *queue.Queue `json:"definition,omitempty"`
	// Team is the name of the team that submitted the job and that it is charged to. It is
	// empty where the configuration has no teams.
	Team string `json:"team,omitempty"`
	// Payload is passed unchanged to every task.
	Payload string `json:"payload,omitempty"`
	// Steps run as soon as the steps listed in their After fields have completed.
	Steps []Step `json:"steps"`
	// Repeat is nil for a job that runs once and starts as soon as possible.
	Repeat *Repeat `json:"repeat,omitempty"`
	// Accepted is the wall-clock time at which an entry VM received the job.
	Accepted time.Time `json:"accepted"`
}

// Repeat makes a job run several times, at regular due times.
type Repeat struct {
	// Count is the number of occurrences, at least 1.
	Count int `json:"count"`
	// Start is the wall-clock time at which occurrence 0 is due.
	Start time.Time `json:"start"`
	// Interval is the time between the due times of consecutive occurrences.
	Interval time.Duration `json:"interval"`
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int `json:"count"`
	// Size is the amount of resources that each task needs.
	Size resource.Vector `json:"size"`
	// Estimate is the run time of a task as declared by the caller. It is often
	// wrong.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indexes of the steps that this step depends on, which must be
	// earlier ones. All their tasks must have completed before this step starts.
	After []int `json:"after,omitempty"`
	// Gang is set when tasks make progress only while all tasks of the step run. They
	// then start and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set when the tasks are slow if they run in more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that a worker must have to run the tasks. Empty means that any
	// worker may run them.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the input data. Tasks are slow in other racks.
	// Empty means that they are equally fast in all racks.
	Rack string `json:"rack,omitempty"`
	// MostPerWorker is the largest number of tasks of the step that may run on one
	// worker; 0 means no limit.
	MostPerWorker int `json:"most_per_worker,omitempty"`
	// Speculative is set when a task may run on several workers at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting is set when tasks have no end: they run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Checkpoints is set when tasks save checkpoints from which they can
	// resume.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Image is the name of the program that the tasks run. Tasks with the same
	// image are expected to behave alike.
	Image string `json:"image,omitempty"`
	// Target is the latency target of a serving task: its tail latency should not
	// exceed it. 0 means that the tasks are not serving tasks.
	Target time.Duration `json:"target,omitempty"`
	// Fills is set when tasks reserve no processor time and use only what other
	// tasks on the worker leave idle.
	Fills bool `json:"fills,omitempty"`
	// DisruptionBudget is the number of lasting tasks of the step that may be stopped
	// at the same time. It is only validated; the scheduler does not use it.
	DisruptionBudget int `json:"disruption_budget,omitempty"`
}

// ReservedCapacity returns the capacity that each task of the step reserves on its
// worker.
func (s *Step) ReservedCapacity() resource.Vector {
	reserved := s.Size
	if s.Fills {
		reserved.Milliprocessors = 0
	}
	return reserved
}

// Validate returns an error of kind KindInvalid if the job must be rejected.
func (j *Job) Validate() error {
	invalid := func(format string, args ...any) error {
		return fault.Newf("validate", KindInvalid, format, args...)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalid("a job has 1 to %d steps, not %d", MaxSteps, len(j.Steps))
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 {
			return invalid("step %d has %d tasks", i, s.Count)
		}
		if s.Count > MaxTasks-tasks { // A sum of the counts could overflow.
			return invalid("a job has at most %d tasks", MaxTasks)
		}
		tasks += s.Count
		if problem := s.Size.Validate(); problem != "" {
			return invalid("step %d: %s", i, problem)
		}
		if s.Estimate < 0 || s.MostPerWorker < 0 || s.DisruptionBudget < 0 || s.Target < 0 {
			return invalid("step %d has a negative number", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return invalid("step %d comes after step %d, which is not an earlier one", i, a)
			}
		}
	}
	if d := j.Definition; d != nil {
		if problem := d.Validate(); problem != "" {
			return invalid("the definition of its queue: %s", problem)
		}
	}
	if j.Repeat == nil {
		return nil
	}
	if j.Repeat.Count < 1 || j.Repeat.Interval < 0 {
		return invalid("a repeated job needs a count of at least 1 and an interval that is not negative")
	}
	if j.Repeat.Interval > maxRepeatSpan/time.Duration(j.Repeat.Count) {
		return invalid("a repeated job ends more than %d days after its start", int(maxRepeatSpan/(24*time.Hour)))
	}
	return nil
}

// Occurrences returns how many times the job runs its steps.
func (j *Job) Occurrences() int {
	if j.Repeat == nil {
		return 1
	}
	return j.Repeat.Count
}

// TasksPerOccurrence returns the number of tasks of all steps together.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Due returns the wall-clock time at which an occurrence should start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == nil {
		return j.Accepted
	}
	return j.Repeat.Start.Add(time.Duration(occurrence) * j.Repeat.Interval)
}

// CriticalPaths returns the declared run time of the critical path for each step.
// That is the longest chain of dependent steps that ends with the step.
func (j *Job) CriticalPaths() []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			paths[i] = max(paths[i], paths[a])
		}
		paths[i] += j.Steps[i].Estimate
	}
	return paths
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// Compare orders steps by job, occurrence and step.
func (s StepID) Compare(o StepID) int {
	return cmp.Or(cmp.Compare(s.Job, o.Job), cmp.Compare(s.Occurrence, o.Occurrence), cmp.Compare(s.Step, o.Step))
}

// TaskID identifies a task of a step. Index is a number from 0 to Step.Count-1.
type TaskID struct {
	StepID
	Index int
}

// String formats the ID as job.occurrence.step.index, for logs.
func (t TaskID) String() string {
	text := make([]byte, 0, len(t.Job)+len(".0000.0000.0000"))
	text = append(text, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		text = strconv.AppendInt(append(text, '.'), int64(n), 10)
	}
	return string(text)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(t.StepID.Compare(o.StepID), cmp.Compare(t.Index, o.Index))
}

// State is the state of a job as shown to callers.
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
