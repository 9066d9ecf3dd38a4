package scheduler

// releaseTasks drops what is kept of an ended job for its tasks. Only its state is shown until it
// expires, and on a day with many jobs their tasks would take most of the memory. The final state
// must be stored, and no run of the job may be known.
func (j *job) releaseTasks() {
	if j.tasksReleased {
		return
	}
	j.tasksReleased, j.occurrences, j.criticalPaths = true, nil, nil
	spec := *j.spec
	spec.Payload = ""
	j.spec = &spec
}

// restoreReleasedTasks adds the tasks of a job again, since a worker has reported a run of one of
// them: an order may have been executed late. All of them are done.
func (s *Scheduler) restoreReleasedTasks(j *job) {
	if !j.tasksReleased {
		return
	}
	j.tasksReleased = false
	for number := j.doneOccurrences; number < j.nextOccurrenceNumber; number++ {
		o := s.addOccurrence(j, number)
		o.stepsLeft = 0
		for _, st := range o.steps {
			st.tasksLeft = 0
			for _, t := range st.tasks {
				t.phase = phaseDone
			}
		}
	}
}
