package job

import (
	"fmt"

	"github.com/almondpost/almondpost/internal/node/request"
)

// TaskID returns the ID of a task: the job's ID and the task's index in the job,
// such as "j1:0".
func TaskID(jobID string, index int) string { return fmt.Sprintf("%s:%d", jobID, index) }

// Validate returns a message that names the first invalid field, or the empty
// string when the spec is valid.
func (s Spec) Validate() string {
	if len(s.Tasks) == 0 || len(s.Tasks) > MaxTasks {
		return fmt.Sprintf("tasks: %d of them, must be between 1 and %d", len(s.Tasks), MaxTasks)
	}
	for i, t := range s.Tasks {
		if t.Key != "" {
			return fmt.Sprintf("tasks[%d]: key is not allowed in a job; the job is accepted once", i)
		}
		if !t.Repeatable {
			// A non-repeatable request needs an idempotency key. In a job, the
			// job's record in the log replaces it, so a placeholder passes the
			// check.
			t.Key = "-"
		}
		if reason := t.Validate(); reason != "" {
			return fmt.Sprintf("tasks[%d]: %s", i, reason)
		}
		if t.Plan != s.Tasks[0].Plan {
			return fmt.Sprintf("tasks[%d]: plan %s differs from that of the first task", i, t.Plan)
		}
	}
	return ""
}

// Status is the state of a job as it is reported to the caller.
type Status struct {
	ID    string        `json:"id"`
	State request.State `json:"state"`
	// Reason states why the job was not accepted.
	Reason                 string `json:"reason,omitempty"`
	RetryAfterMilliseconds int64  `json:"retry_after_milliseconds,omitempty"`
	// Tasks is the number of tasks of the job, and Ended is how many of them have
	// ended.
	Tasks int `json:"tasks"`
	Ended int `json:"ended"`
	// Outcomes has one element per task, whose state is pending until the task has
	// ended.
	Outcomes []request.Outcome `json:"outcomes,omitempty"`
}

// Status returns the state of the job for its caller: pending until every task
// has ended, then done if all tasks are done, else the state of the first task
// that is not done.
func (j *Job) Status() Status {
	s := Status{ID: j.ID, State: request.Done, Tasks: len(j.Outcomes), Ended: len(j.Outcomes) - j.PendingTasks}
	for i, o := range j.Outcomes {
		if o == nil {
			s.Outcomes = append(s.Outcomes, request.Outcome{ID: j.TaskID(i), State: request.Pending})
			continue
		}
		s.Outcomes = append(s.Outcomes, *o)
		if o.State != request.Done && s.State == request.Done {
			s.State = o.State
		}
	}
	if j.PendingTasks > 0 {
		s.State = request.Pending
	}
	return s
}
