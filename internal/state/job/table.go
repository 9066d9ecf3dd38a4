// Package job keeps the jobs of one failure domain. The state is a pure
// function of the domain's log stream, so every entry VM that reads it agrees
// on which jobs exist, which entry VM holds each, and what has ended.
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

// KindMalformed means that a record can not be read.
const KindMalformed Kind = "malformed"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Stream returns the log stream of a failure domain's jobs.
func Stream(domain string) string { return "jobs-" + domain }

// Holder names one process of an entry VM.
type Holder struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Spec is what a caller asks for.
type Spec struct {
	Tasks []request.Spec `json:"tasks"`
	// Gang jobs run all their tasks at once or none.
	Gang bool `json:"gang"`
}

// MaxTasks bounds the tasks of one job.
const MaxTasks = 1000

// Action says what a record does.
type Action string

// The actions of records.
const (
	Accepted Action = "accepted"
	// TaskStarted is written before a task that may not repeat is offered to an
	// owner for the first time.
	TaskStarted Action = "task_started"
	TaskEnded   Action = "task_ended"
	Cancelled   Action = "cancelled"
	// TakenOver moves every job of a holder to another.
	TakenOver Action = "taken_over"
	// Repeated carries the state of an unfinished job, so that it outlives the
	// retention of the log.
	Repeated Action = "repeated"
)

// Record is one line of the stream.
type Record struct {
	Action Action `json:"action"`
	// By is the process that wrote the record.
	By   Holder `json:"by"`
	Job  string `json:"job,omitempty"`
	Spec *Spec  `json:"spec,omitempty"`
	// Task is the index of the task that ended.
	Task    int              `json:"task,omitempty"`
	Outcome *request.Outcome `json:"outcome,omitempty"`
	// From is the former holder of a takeover.
	From *Holder `json:"from,omitempty"`
	// At is the writer's time of a start.
	At time.Time `json:"at,omitzero"`
	// Generation, Outcomes, Started and AsOf belong to a repeated job: AsOf is the offset
	// up to which its writer knew the stream.
	Generation int                `json:"generation,omitempty"`
	Outcomes   []*request.Outcome `json:"outcomes,omitempty"`
	Started    []time.Time        `json:"started,omitempty"`
	AsOf       uint64             `json:"as_of,omitempty"`
}

// Encode returns the data of a record.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	invariant.Check(err == nil, "job_record", "%v", err)
	return data
}

// Job is the state of one job.
type Job struct {
	ID     string
	Spec   Spec
	Holder Holder
	// Generation counts the holders; attempts of an older generation must not
	// start any more.
	Generation int
	// Outcomes holds the outcome of each ended task; it is nil for others. A
	// task ends once.
	Outcomes []*request.Outcome
	// Started holds, for tasks that may not repeat, the first time at which they
	// may have started, by the clock of their holder; it is zero before.
	Started   []time.Time
	Left      int
	Cancelled bool
	// EndedAt is the offset at which the last task ended, or 0.
	EndedAt uint64
}

// TaskID names a task of a job.
func (j *Job) TaskID(i int) string { return TaskID(j.ID, i) }

// Table is the state of a failure domain's jobs. Its owner serialises access.
type Table struct {
	jobs map[string]*Job
	// read is the offset of the last applied record.
	read uint64
	// moved is the offset of the last takeover.
	moved uint64
	// ended lists ended jobs in order, for pruning.
	ended []string
}

// maxEnded bounds the ended jobs whose outcomes are kept.
const maxEnded = 2000

// New returns an empty table.
func New() *Table { return &Table{jobs: map[string]*Job{}} }

// Read returns the offset of the last applied record.
func (t *Table) Read() uint64 { return t.read }

// Job returns a job, or nil.
func (t *Table) Job(id string) *Job { return t.jobs[id] }

// Len returns the number of known jobs.
func (t *Table) Len() int { return len(t.jobs) }

// Each calls f for every job in no fixed order.
func (t *Table) Each(f func(j *Job)) {
	for _, j := range t.jobs {
		f(j)
	}
}

// Apply takes in the next record of the stream. Records that do not fit the
// state, such as a second end of a task or a line of a former holder, change
// nothing, so that repeated appends are harmless.
func (t *Table) Apply(r logservice.Record) error {
	if r.Offset <= t.read {
		return nil
	}
	t.read = r.Offset
	var c Record
	if err := json.Unmarshal(r.Data, &c); err != nil {
		return fault.New("apply", KindMalformed, err)
	}
	switch c.Action {
	case Accepted:
		t.accept(c)
	case TaskStarted:
		if j := t.jobs[c.Job]; j != nil && c.Task >= 0 && c.Task < len(j.Started) && j.Holder == c.By && j.Started[c.Task].IsZero() {
			j.Started[c.Task] = c.At
		}
	case TaskEnded:
		t.endTask(c, r.Offset)
	case Cancelled:
		if j := t.jobs[c.Job]; j != nil {
			j.Cancelled = true
		}
	case TakenOver:
		t.moved = r.Offset
		t.takeOver(c)
	case Repeated:
		t.repeat(c)
	}
	return nil
}

func (t *Table) accept(c Record) {
	if t.jobs[c.Job] != nil || c.Spec == nil || len(c.Spec.Tasks) == 0 {
		return
	}
	t.jobs[c.Job] = &Job{
		ID: c.Job, Spec: *c.Spec, Holder: c.By, Generation: 1,
		Outcomes: make([]*request.Outcome, len(c.Spec.Tasks)), Started: make([]time.Time, len(c.Spec.Tasks)), Left: len(c.Spec.Tasks),
	}
}

func (t *Table) endTask(c Record, offset uint64) {
	j := t.jobs[c.Job]
	if j == nil || c.Outcome == nil || c.Task < 0 || c.Task >= len(j.Outcomes) || j.Outcomes[c.Task] != nil || j.Holder != c.By {
		return
	}
	j.Outcomes[c.Task] = c.Outcome
	j.Spec.Tasks[c.Task].Payload = nil
	j.Left--
	if j.Left == 0 {
		j.EndedAt = offset
		t.ended = append(t.ended, j.ID)
		t.prune()
	}
}

func (t *Table) prune() {
	for len(t.ended) > maxEnded {
		delete(t.jobs, t.ended[0])
		t.ended = t.ended[1:]
	}
}

// repeat takes in a job whose first record was dropped by the log. When a
// takeover came after the writer's view of the stream, the holder that it names
// may be wrong; the next repetition will do.
func (t *Table) repeat(c Record) {
	if t.jobs[c.Job] != nil || c.Spec == nil || len(c.Outcomes) != len(c.Spec.Tasks) || len(c.Started) != len(c.Spec.Tasks) || t.moved > c.AsOf {
		return
	}
	j := &Job{ID: c.Job, Spec: *c.Spec, Holder: c.By, Generation: c.Generation, Outcomes: c.Outcomes, Started: c.Started}
	for _, o := range c.Outcomes {
		if o == nil {
			j.Left++
		}
	}
	if j.Left > 0 {
		t.jobs[c.Job] = j
	}
}

// Repetitions returns the records that repeat the unfinished jobs of a holder.
func (t *Table) Repetitions(h Holder) []Record {
	var out []Record
	for _, j := range t.HeldBy(h) {
		spec := Spec{Gang: j.Spec.Gang, Tasks: append([]request.Spec(nil), j.Spec.Tasks...)}
		outcomes := append([]*request.Outcome(nil), j.Outcomes...)
		out = append(out, Record{
			Action: Repeated, By: h, Job: j.ID, Spec: &spec, Generation: j.Generation,
			Outcomes: outcomes, Started: append([]time.Time(nil), j.Started...), AsOf: t.read,
		})
	}
	return out
}

func (t *Table) takeOver(c Record) {
	if c.From == nil {
		return
	}
	for _, j := range t.jobs {
		if j.Holder == *c.From && j.Left > 0 {
			j.Holder = c.By
			j.Generation++
		}
	}
}

// HeldBy returns the unfinished jobs of a holder.
func (t *Table) HeldBy(h Holder) []*Job {
	var out []*Job
	for _, j := range t.jobs {
		if j.Holder == h && j.Left > 0 {
			out = append(out, j)
		}
	}
	return out
}

// Holders returns the processes that hold unfinished jobs.
func (t *Table) Holders() map[Holder]bool {
	out := map[Holder]bool{}
	for _, j := range t.jobs {
		if j.Left > 0 {
			out[j.Holder] = true
		}
	}
	return out
}
