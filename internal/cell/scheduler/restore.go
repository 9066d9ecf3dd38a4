package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Restore takes a job over with its stored progress, which may be nil. Runs that
// may exist count until their worker was asked, or their lease has lapsed.
func (s *Scheduler) Restore(spec *work.Job, p *work.Progress, now time.Time) {
	if s.jobs[spec.ID] != nil {
		return
	}
	j := s.add(spec, now)
	if p == nil {
		return
	}
	j.begun, j.ordered = p.Started, p.Started
	j.state, j.shown = p.State, p.State
	if p.State.Ended() {
		j.ended = now
		delete(s.active, spec.ID)
	}
	for i := range p.Steps {
		s.restoreStep(j, &p.Steps[i], now)
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if st.left == 0 {
				o.left--
			}
		}
		if !j.state.Ended() {
			s.openSteps(o, now)
		}
	}
}

// RestoreEnded takes over the state of a job that has ended and whose submission
// was dropped.
func (s *Scheduler) RestoreEnded(id string, p *work.Progress, now time.Time) {
	if s.jobs[id] != nil || !p.State.Ended() {
		return
	}
	s.jobs[id] = &job{spec: &work.Job{ID: id}, state: p.State, shown: p.State, ended: now, dropped: true}
}

func (s *Scheduler) restoreStep(j *job, p *work.StepProgress, now time.Time) {
	if p.Step >= len(j.spec.Steps) || p.Occurrence >= j.spec.Occurrences() {
		return
	}
	for j.next <= p.Occurrence {
		s.newOccurrence(j, j.next, now)
		j.next++
	}
	st := j.occurrences[p.Occurrence].steps[p.Step]
	if p.Done {
		st.left = 0
		for _, t := range st.tasks {
			t.phase = phaseDone
		}
	}
	for i := range p.Tasks {
		if tp := &p.Tasks[i]; tp.Index < len(st.tasks) {
			s.restoreTask(st.tasks[tp.Index], tp, now)
		}
	}
	if j.state.Ended() {
		for _, t := range st.tasks {
			if t.phase == phaseWaiting {
				t.phase = phaseDone
			}
		}
	}
}

func (s *Scheduler) restoreTask(t *task, p *work.TaskProgress, now time.Time) {
	t.run, t.failed, t.checkpoint = p.Run, p.Failed, p.Checkpoint
	if p.Done {
		t.phase = phaseDone
		t.step.left--
		return
	}
	if p.Worker == "" {
		return
	}
	life := backend.Life{ID: p.Worker, Born: p.Born}
	if latest := s.byID[life.ID]; latest != nil && latest.registration.Life.Born > life.Born {
		return // That life of the worker is over.
	}
	w := s.workers[life]
	if w == nil {
		w = s.newWorker(backend.Registration{Life: life}, now)
	}
	// The last leader may have held the worker until its right ended.
	if end := now.Add(time.Duration(float64(s.timing.Right)*clockRate) + leaseMargin); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	t.phase, t.worker, t.token = phaseOrdered, w, 0
	t.step.job.running++
	w.add(t)
}
