package work

import (
	"encoding/json"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Progress is the stored record of the progress of a job. A later record
// replaces an earlier one.
type Progress struct {
	State State `json:"state"`
	// Started is set once any task of the job was placed on a worker.
	Started bool `json:"started,omitempty"`
	// Ended is when the job ended, in Unix milliseconds; 0 means that it has
	// not ended.
	Ended int64 `json:"ended,omitempty"`
	// DoneOccurrences is the number of occurrences, from the first one on, that have completed
	// and that Steps no longer holds.
	DoneOccurrences int `json:"done_occurrences,omitempty"`
	// Steps holds each step, in every other occurrence, of which at least one task was
	// placed on a worker. Once the job has ended, it holds only the steps with tasks
	// that may still be running.
	Steps []StepProgress `json:"steps,omitempty"`
	// Orphaned holds the runs that may still exist although they are not the latest run of
	// a task on a worker. They are charged to the team of the job, and listed only if it has
	// one.
	Orphaned []OrphanedRun `json:"orphaned,omitempty"`
	// Offset is the position of the record that this was read from. It is not stored.
	Offset int64 `json:"-"`
}

// OrphanedRun is a run that may exist on a worker process beside the runs that Steps names.
type OrphanedRun struct {
	Occurrence int   `json:"occurrence,omitempty"`
	Step       int   `json:"step,omitempty"`
	Index      int   `json:"i,omitempty"`
	Run        int64 `json:"run,omitempty"`
	// Worker and Born identify the worker process.
	Worker string `json:"worker"`
	Born   int64  `json:"born,omitempty"`
	// ExecutableFor is as in TaskProgress.
	ExecutableFor *time.Duration `json:"executable_for,omitempty"`
}

// StepProgress is the progress of a step of one occurrence.
type StepProgress struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step,omitempty"`
	// Done is set when all tasks have completed. Tasks is then empty.
	Done bool `json:"done,omitempty"`
	// Tasks holds the tasks that were placed on a worker. Once the job has ended, it
	// holds only those that may still be running.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is the progress of one task.
type TaskProgress struct {
	Index int  `json:"i,omitempty"`
	Done  bool `json:"done,omitempty"`
	// Run is the number of the latest run of the task. Each run has a higher number
	// than the one before.
	Run int64 `json:"run,omitempty"`
	// Failed lists the numbers of the runs that failed.
	Failed []int64 `json:"failed,omitempty"`
	// Worker and Born identify the worker process on which the task may be running:
	// by its ID and by its start time in Unix milliseconds. Worker is empty if the
	// task is certainly not running.
	Worker string `json:"worker,omitempty"`
	Born   int64  `json:"born,omitempty"`
	// Listed is true if this process is known to have executed the start, so that no later one
	// does.
	Listed bool `json:"listed,omitempty"`
	// ExecutableFor is for how long after the record was stored a process may execute the start
	// at most. It is negative if none does since before that, and nil if the limit only follows
	// from when the record was stored.
	ExecutableFor *time.Duration `json:"executable_for,omitempty"`
	// Extended is true if holds that extend the lease may have been sent after the start was not
	// answered: a later process may execute the start late, and then such a hold.
	Extended   bool   `json:"extended,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Encode returns the record of a job or of its progress as JSON.
func Encode[T Job | Progress](v *T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // All fields of Job and Progress can be encoded as JSON.
	}
	return data
}

// Decode reads a record that Encode returned. It returns an error of kind
// KindMalformed when the data is not such a record.
func Decode[T Job | Progress](data []byte) (*T, error) {
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fault.New("decode", KindMalformed, err)
	}
	if err := validateRecord(v); err != nil {
		return nil, fault.New("decode", KindMalformed, err)
	}
	return v, nil
}

// validateRecord validates a *Job or *Progress that was decoded.
func validateRecord(record any) error {
	switch r := record.(type) {
	case *Job:
		if r.ID == "" {
			return fault.Newf("validate", KindInvalid, "the job has no ID")
		}
		return r.Validate()
	case *Progress:
		return r.validate()
	}
	return nil
}

// maxRunNumber limits the numbers of runs. Later runs have higher numbers, so there must be
// room above it.
const maxRunNumber = int64(1) << 40

// validate returns an error if a leader cannot restore the progress of a job from p. The
// zero value is valid: it is the progress of no job.
func (p *Progress) validate() error {
	invalid := func(format string, args ...any) error {
		return fault.Newf("validate", KindInvalid, format, args...)
	}
	switch p.State {
	case Queued, Running, Completed, Failed, Cancelled:
	default:
		if p.State != "" || len(p.Steps) > 0 {
			return invalid("state is %.32q", string(p.State))
		}
	}
	if p.DoneOccurrences < 0 {
		return invalid("%d occurrences are done", p.DoneOccurrences)
	}
	for i := range p.Orphaned {
		if r := &p.Orphaned[i]; r.Occurrence < 0 || r.Step < 0 || r.Index < 0 || r.Run < 0 || r.Run > maxRunNumber || r.Worker == "" {
			return invalid("orphaned run %d of task %d.%d.%d on worker %.32q", r.Run, r.Occurrence, r.Step, r.Index, r.Worker)
		}
	}
	for i := range p.Steps {
		s := &p.Steps[i]
		if s.Occurrence < 0 || s.Step < 0 {
			return invalid("step %d of occurrence %d", s.Step, s.Occurrence)
		}
		for k := range s.Tasks {
			if t := &s.Tasks[k]; t.Index < 0 || t.Run < 0 || t.Run > maxRunNumber {
				return invalid("run %d of task %d", t.Run, t.Index)
			}
		}
	}
	return nil
}
