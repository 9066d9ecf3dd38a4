package work_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/work"
)

// Log lines name tasks as job.occurrence.step.index.
func TestTaskIDFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := work.TaskID{StepID: work.StepID{Job: rapid.String().Draw(t, "job"), Occurrence: rapid.Int().Draw(t, "occurrence"), Step: rapid.Int().Draw(t, "step")}, Index: rapid.Int().Draw(t, "index")}
		is.New(t).Equal(id.String(), fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index))
	})
}
