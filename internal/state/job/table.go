// Package job builds the job table of one failure domain by replaying the
// domain's log stream. The table is a pure function of the stream, so all entry
// VMs that read it agree on which jobs exist, which process runs each of them
// and which tasks have ended.
package job

import (
	"encoding/json"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/peer/logservice"
)

// Kind classifies the errors of this package.
type Kind string

// KindMalformed means that a record of the stream cannot be decoded.
const KindMalformed Kind = "malformed"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Stream returns the name of the log stream with a failure domain's jobs.
func Stream(domain string) string { return "jobs-" + domain }

// Holder identifies the entry VM process that runs a job. Incarnation distinguishes
// the successive processes of one VM.
type Holder struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Spec describes a job as its caller submits it.
type Spec struct {
	Tasks []request.Spec `json:"tasks"`
	// Gang requires that all tasks start together or none does.
	Gang bool `json:"gang"`
}

// MaxTasks is the maximum number of tasks in one job.
const MaxTasks = 1000

// Action is the type of a record in the stream.
type Action string

// The actions that a record can have.
const (
	// Accepted adds a job.
	Accepted Action = "accepted"
	// TaskStarted is written before the first attempt to run a non-repeatable task,
	// so that a later holder knows that the task may have run.
	TaskStarted Action = "task_started"
	// TaskEnded stores the outcome of a task.
	TaskEnded Action = "task_ended"
	// Cancelled asks the holder to stop a job.
	Cancelled Action = "cancelled"
	// TakenOver assigns all unfinished jobs of one holder to another.
	TakenOver Action = "taken_over"
	// Snapshot holds the state of an unfinished job, except whether it was
	// cancelled. It is appended from time to time, since the log drops records
	// after its retention period.
	Snapshot Action = "repeated"
)

// Record is the content of one log record. Each action uses some of the fields.
type Record struct {
	Action Action `json:"action"`
	// By is the process that wrote the record or, in a takeover, the new holder.
	By   Holder `json:"by"`
	Job  string `json:"job,omitempty"`
	Spec *Spec  `json:"spec,omitempty"`
	// TaskIndex is the index of the task that starts or has ended.
	TaskIndex int              `json:"task,omitempty"`
	Outcome   *request.Outcome `json:"outcome,omitempty"`
	// FormerHolder is the former holder, whose jobs a takeover reassigns to By.
	FormerHolder *Holder `json:"from,omitempty"`
	// StartedAt is the start time of a task, by the clock of the writer.
	StartedAt time.Time `json:"at,omitzero"`
	// Generation, Outcomes and StartTimes are the state of a job in a snapshot.
	// AsOfOffset is the offset up to which the writer of the snapshot had read the
	// stream.
	Generation int                `json:"generation,omitempty"`
	Outcomes   []*request.Outcome `json:"outcomes,omitempty"`
	StartTimes []time.Time        `json:"started,omitempty"`
	AsOfOffset uint64             `json:"as_of,omitempty"`
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	invariant.Check(err == nil, "job_record", "%v", err)
	return data
}

// Job is the current state of one job.
type Job struct {
	ID     string
	Spec   Spec
	Holder Holder
	// Generation is 1 for the first holder and rises with each takeover. Attempts
	// of an older generation must not start any more, so a former holder can no
	// longer run the job.
	Generation int
	// Outcomes has one element per task, which is nil until the task has ended.
	// Only the first outcome that is recorded for a task counts.
	Outcomes []*request.Outcome
	// StartTimes has one element per task: the earliest time at which a non-repeatable
	// task may have started, by the clock of its holder. The element is zero before
	// that, and always zero for a repeatable task.
	StartTimes []time.Time
	// PendingTasks is the number of tasks that have not ended.
	PendingTasks int
	Cancelled    bool
	// LastTaskEndOffset is the offset of the record that ended the last task, or 0 while
	// the job is unfinished.
	LastTaskEndOffset uint64
}

// TaskID returns the ID of the task at an index of the job.
func (j *Job) TaskID(index int) string { return TaskID(j.ID, index) }

// Table holds the jobs of a failure domain. It is not safe for concurrent use.
type Table struct {
	jobs map[string]*Job
	// appliedOffset is the offset of the last applied record.
	appliedOffset uint64
	// takeoverOffset is the offset of the newest takeover record.
	takeoverOffset uint64
	// endedJobIDs lists the IDs of ended jobs, oldest first, for pruning.
	endedJobIDs []string
}

// maxEndedJobs is the number of ended jobs that a table keeps; older ones are
// forgotten.
const maxEndedJobs = 2000

// New returns an empty table.
func New() *Table { return &Table{jobs: map[string]*Job{}} }

// AppliedOffset returns the offset of the last applied record.
func (t *Table) AppliedOffset() uint64 { return t.appliedOffset }

// Job returns the job with an ID, or nil when the table does not contain it.
func (t *Table) Job(id string) *Job { return t.jobs[id] }

// Len returns the number of jobs in the table, ended ones included.
func (t *Table) Len() int { return len(t.jobs) }

// EachJob calls f for every job, in no fixed order.
func (t *Table) EachJob(f func(j *Job)) {
	for _, j := range t.jobs {
		f(j)
	}
}

// Apply updates the table with the next record of the stream. Records that
// contradict the state, such as a second outcome of a task or a record of a former
// holder, change nothing, so appending a record twice is harmless. Apply returns an
// error of KindMalformed for a record that cannot be decoded.
func (t *Table) Apply(r logservice.Record) error {
	if r.Offset <= t.appliedOffset {
		return nil
	}
	t.appliedOffset = r.Offset
	var record Record
	if err := json.Unmarshal(r.Data, &record); err != nil {
		return fault.New("apply", KindMalformed, err)
	}
	switch record.Action {
	case Accepted:
		t.addAcceptedJob(record)
	case TaskStarted:
		if j := t.jobs[record.Job]; j != nil && record.TaskIndex >= 0 && record.TaskIndex < len(j.StartTimes) && j.Holder == record.By && j.StartTimes[record.TaskIndex].IsZero() {
			j.StartTimes[record.TaskIndex] = record.StartedAt
		}
	case TaskEnded:
		t.storeTaskOutcome(record, r.Offset)
	case Cancelled:
		if j := t.jobs[record.Job]; j != nil {
			j.Cancelled = true
		}
	case TakenOver:
		t.takeoverOffset = r.Offset
		t.applyTakeover(record)
	case Snapshot:
		t.applySnapshot(record)
	}
	return nil
}

// addAcceptedJob adds a job, unless its ID is known or it has no tasks.
func (t *Table) addAcceptedJob(r Record) {
	if t.jobs[r.Job] != nil || r.Spec == nil || len(r.Spec.Tasks) == 0 {
		return
	}
	t.jobs[r.Job] = &Job{
		ID: r.Job, Spec: *r.Spec, Holder: r.By, Generation: 1,
		Outcomes: make([]*request.Outcome, len(r.Spec.Tasks)), StartTimes: make([]time.Time, len(r.Spec.Tasks)), PendingTasks: len(r.Spec.Tasks),
	}
}

// storeTaskOutcome stores the outcome of a task if the record comes from the job's holder
// and the task has none yet. It drops the payload, which is no longer needed.
func (t *Table) storeTaskOutcome(r Record, offset uint64) {
	j := t.jobs[r.Job]
	if j == nil || r.Outcome == nil || r.TaskIndex < 0 || r.TaskIndex >= len(j.Outcomes) || j.Outcomes[r.TaskIndex] != nil || j.Holder != r.By {
		return
	}
	j.Outcomes[r.TaskIndex] = r.Outcome
	j.Spec.Tasks[r.TaskIndex].Payload = nil
	j.PendingTasks--
	if j.PendingTasks == 0 {
		j.LastTaskEndOffset = offset
		t.endedJobIDs = append(t.endedJobIDs, j.ID)
		t.pruneEndedJobs()
	}
}

// pruneEndedJobs forgets the oldest ended jobs above maxEndedJobs.
func (t *Table) pruneEndedJobs() {
	for len(t.endedJobIDs) > maxEndedJobs {
		delete(t.jobs, t.endedJobIDs[0])
		t.endedJobIDs = t.endedJobIDs[1:]
	}
}

// applySnapshot adds an unfinished job whose first record the log has dropped. It
// ignores a snapshot whose writer had not yet read the newest takeover, since the
// snapshot may name a former holder; a later snapshot adds the job.
func (t *Table) applySnapshot(r Record) {
	if t.jobs[r.Job] != nil || r.Spec == nil || len(r.Outcomes) != len(r.Spec.Tasks) || len(r.StartTimes) != len(r.Spec.Tasks) || t.takeoverOffset > r.AsOfOffset {
		return
	}
	j := &Job{ID: r.Job, Spec: *r.Spec, Holder: r.By, Generation: r.Generation, Outcomes: r.Outcomes, StartTimes: r.StartTimes}
	for _, o := range r.Outcomes {
		if o == nil {
			j.PendingTasks++
		}
	}
	if j.PendingTasks > 0 {
		t.jobs[r.Job] = j
	}
}

// Snapshots returns a snapshot record for each unfinished job of a holder.
func (t *Table) Snapshots(h Holder) []Record {
	var out []Record
	for _, j := range t.HeldBy(h) {
		spec := Spec{Gang: j.Spec.Gang, Tasks: append([]request.Spec(nil), j.Spec.Tasks...)}
		outcomes := append([]*request.Outcome(nil), j.Outcomes...)
		out = append(out, Record{
			Action: Snapshot, By: h, Job: j.ID, Spec: &spec, Generation: j.Generation,
			Outcomes: outcomes, StartTimes: append([]time.Time(nil), j.StartTimes...), AsOfOffset: t.appliedOffset,
		})
	}
	return out
}

// applyTakeover assigns the unfinished jobs of the record's FormerHolder to By.
func (t *Table) applyTakeover(r Record) {
	if r.FormerHolder == nil {
		return
	}
	for _, j := range t.jobs {
		if j.Holder == *r.FormerHolder && j.PendingTasks > 0 {
			j.Holder = r.By
			j.Generation++
		}
	}
}

// HeldBy returns the unfinished jobs of a holder, in no fixed order.
func (t *Table) HeldBy(h Holder) []*Job {
	var out []*Job
	for _, j := range t.jobs {
		if j.Holder == h && j.PendingTasks > 0 {
			out = append(out, j)
		}
	}
	return out
}

// Holders returns the set of processes that hold unfinished jobs.
func (t *Table) Holders() map[Holder]bool {
	out := map[Holder]bool{}
	for _, j := range t.jobs {
		if j.PendingTasks > 0 {
			out[j.Holder] = true
		}
	}
	return out
}
