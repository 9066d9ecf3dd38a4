package job

import (
	"fmt"

	"github.com/almondpost/almondpost/internal/node/request"
)

// TaskID names a task of a job.
func TaskID(job string, i int) string { return fmt.Sprintf("%s:%d", job, i) }

// Validate returns a message that names the first bad field, or the empty
// string.
func (s Spec) Validate() string {
	if len(s.Tasks) == 0 || len(s.Tasks) > MaxTasks {
		return fmt.Sprintf("tasks: %d of them, must be between 1 and %d", len(s.Tasks), MaxTasks)
	}
	for i, k := range s.Tasks {
		if k.Key != "" {
			return fmt.Sprintf("tasks[%d]: key is not allowed in a job; the job is accepted once", i)
		}
		if !k.Repeatable {
			// A task of a job is named in the log, so that it needs no key.
			k.Key = "-"
		}
		if reason := k.Validate(); reason != "" {
			return fmt.Sprintf("tasks[%d]: %s", i, reason)
		}
		if k.Plan != s.Tasks[0].Plan {
			return fmt.Sprintf("tasks[%d]: plan %s differs from that of the first task", i, k.Plan)
		}
	}
	return ""
}

// Status is what a caller gets of a job.
type Status struct {
	ID    string        `json:"id"`
	State request.State `json:"state"`
	// Reason says why a job was not accepted.
	Reason                 string `json:"reason,omitempty"`
	RetryAfterMilliseconds int64  `json:"retry_after_milliseconds,omitempty"`
	Tasks                  int    `json:"tasks"`
	Ended                  int    `json:"ended"`
	// Outcomes holds one entry for each task; those that have not ended are
	// pending.
	Outcomes []request.Outcome `json:"outcomes,omitempty"`
}

// Status returns the state of a job as its caller sees it: done when every
// task is done, else the state of the first task that is not.
func (j *Job) Status() Status {
	s := Status{ID: j.ID, State: request.Done, Tasks: len(j.Outcomes), Ended: len(j.Outcomes) - j.Left}
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
	if j.Left > 0 {
		s.State = request.Pending
	}
	return s
}
