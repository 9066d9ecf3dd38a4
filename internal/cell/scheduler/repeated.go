package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// UnknownOffset stands in logs for an offset that there is not.
const UnknownOffset = -1

// restoredProgress says what was read about a job at the take-over.
type restoredProgress struct {
	// offset is the offset of the progress record, or UnknownOffset without one. done is the
	// number of tasks that the record shows as done.
	offset int64
	done   int
}

// earlierRun describes the last run of a task that may start again.
type earlierRun struct {
	// how says why the run counts as ended.
	how    string
	number int64
	// worker is the process that the run was on. It is nil if the task was restored without
	// one.
	worker *worker
	// restored is true if the task was restored at the take-over. restoredLife is then the
	// process that the record names, and firstReport what the first report of the worker
	// listed of the task.
	restored     bool
	restoredLife backend.Life
	firstReport  string
}

func endedWith(o backend.Outcome) string { return "ended:" + string(o) }

// noteEarlierRun notes how the present run of a task ends. It must be called before the task
// is taken off its worker. A run that was never ordered does not replace an earlier one.
func (t *task) noteEarlierRun(how string) {
	placedOnly := t.phase == phasePlaced
	if placedOnly {
		how = "not_ordered"
	}
	if t.earlier == nil {
		t.earlier = &earlierRun{}
	} else if placedOnly {
		return
	}
	t.earlier.how, t.earlier.number, t.earlier.worker = how, t.runNumber, t.worker
}

// noteFirstReport notes what the first report of a worker lists of the restored tasks on it.
func (w *worker) noteFirstReport(r *backend.Report) {
	for _, t := range w.tasks {
		if t.earlier != nil && t.earlier.restored && t.phase != phasePlaced {
			t.earlier.firstReport = listedRun(t, r)
		}
	}
}

// listedRun says what a report lists of the present run of a task.
func listedRun(t *task, r *backend.Report) string {
	listed := "nothing"
	if r.Truncated {
		listed = "cut_off"
	}
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Task == t.id {
			if e.Run == t.runNumber {
				return endedWith(e.Outcome)
			}
			listed = "other_run"
		}
	}
	for i := range r.Running {
		if e := &r.Running[i]; e.Task == t.id {
			if e.Run == t.runNumber {
				return "running"
			}
			listed = "other_run"
		}
	}
	return listed
}

// logIfRepeated logs why a task whose start was just ordered could start again, if it had a
// run before.
func (s *Scheduler) logIfRepeated(t *task, now time.Time) {
	e := t.earlier
	t.earlier = nil
	if e == nil || t.runNumber <= 1 {
		return
	}
	var life backend.Life
	var heardAt time.Time
	var acknowledged int64
	if e.worker != nil {
		life, heardAt, acknowledged = e.worker.registration.Life, e.worker.held.firstAnsweredAt, e.worker.acknowledgedEndNumber
	}
	fields := []any{
		"task", t.id.String(), "run", t.runNumber, "how", e.how, "earlier_run", e.number, "earlier_worker", life.ID, "earlier_born", life.Born,
		"heard_ms", millisecondsSince(heardAt, now), "acknowledged", acknowledged, "restored", e.restored,
	}
	if e.restored {
		r := &t.step.job.restored
		fields = append(fields, "restored_offset", r.offset, "restored_done", r.done, "restored_worker", e.restoredLife.ID, "restored_born", e.restoredLife.Born, "first_report", e.firstReport)
	}
	s.log.Info("run_repeated", fields...)
}

// logEndsStored logs which ends of runs a commit has made acknowledgeable, and how many final
// states it has stored. It must be called before the numbers of the workers are updated. No
// acknowledgement of this leader exceeds a number that is logged.
func (s *Scheduler) logEndsStored(c *Commit) {
	finalStates := 0
	for j, state := range c.jobStates {
		if state.Ended() && !j.finalRecordStored {
			finalStates++
		}
	}
	var raised []*worker
	count := 0
	for w, number := range c.lastEndNumberByWorker {
		if number > w.lastStoredEndNumber {
			if count++; count <= maxNamedWorkers {
				raised = append(raised, w)
			}
		}
	}
	if finalStates == 0 && count == 0 {
		return
	}
	slices.SortFunc(raised, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.registration.Life.ID, b.registration.Life.ID), cmp.Compare(a.registration.Life.Born, b.registration.Life.Born))
	})
	var ends []byte
	for i, w := range raised {
		if i > 0 {
			ends = append(ends, ',')
		}
		ends = append(append(ends, w.registration.Life.ID...), ':')
		ends = strconv.AppendInt(ends, c.lastEndNumberByWorker[w], 10)
	}
	s.log.Info("ends_stored", "epoch", s.epoch, "offset", c.EndOffset, "records", len(c.Records), "final_states", finalStates,
		"workers", count, "unnamed", count-len(raised), "ends", string(ends))
}
