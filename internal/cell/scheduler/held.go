package scheduler

// RunsWithoutSession returns the number of runs whose worker has no open session. Nothing
// extends their leases and nothing stops them.
func (s *Scheduler) RunsWithoutSession() int {
	n := 0
	for _, w := range s.workers {
		if !w.sessionOpen {
			n += w.orderedRuns()
		}
	}
	return n
}

// orderedRuns returns the number of tasks on the worker whose start was ordered.
func (w *worker) orderedRuns() int {
	n := 0
	for _, t := range w.tasks {
		if t.phase != phasePlaced {
			n++
		}
	}
	return n
}
