package work

import (
	"encoding/json"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Progress is what is recorded of a job while it runs. A later record replaces
// an earlier one.
type Progress struct {
	State State `json:"state"`
	// Started tells that a task was ordered at least once.
	Started bool `json:"started,omitempty"`
	// Ended is when the job ended, in Unix milliseconds; 0 while it has not.
	Ended int64 `json:"ended,omitempty"`
	// Steps holds the steps with progress, of all occurrences.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the progress of a step of one occurrence.
type StepProgress struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step,omitempty"`
	// Done tells that every task has completed; Tasks is then empty.
	Done bool `json:"done,omitempty"`
	// Tasks holds the tasks that were ordered at least once.
	Tasks []TaskProgress `json:"tasks,omitempty"`
}

// TaskProgress is the progress of one task.
type TaskProgress struct {
	Index int  `json:"i,omitempty"`
	Done  bool `json:"done,omitempty"`
	// Run is the highest run that was ordered.
	Run int64 `json:"run,omitempty"`
	// Failed lists the runs that failed.
	Failed []int64 `json:"failed,omitempty"`
	// Worker and Born name the worker on which the run may be running; Worker
	// is empty when it is known not to run.
	Worker     string `json:"worker,omitempty"`
	Born       int64  `json:"born,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Encode returns the record of a value.
func Encode[T Job | Progress](v *T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Job and Progress hold nothing that can not be encoded.
	}
	return data
}

// Decode reads a record.
func Decode[T Job | Progress](data []byte) (*T, error) {
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return nil, fault.New("decode", KindMalformed, err)
	}
	return v, nil
}
