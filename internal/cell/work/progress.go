package work

import (
	"encoding/json"

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
	// Steps holds each step, in every occurrence, of which at least one task was
	// placed on a worker. Once the job has ended, it holds only the steps with tasks
	// that may still be running.
	Steps []StepProgress `json:"steps,omitempty"`
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
	Worker     string `json:"worker,omitempty"`
	Born       int64  `json:"born,omitempty"`
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
	return v, nil
}
