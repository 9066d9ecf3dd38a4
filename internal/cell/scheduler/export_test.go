package scheduler

// DisableInterference makes the scheduler learn nothing about tasks that slow each other down.
func (s *Scheduler) DisableInterference() { s.interference.model = nil }
