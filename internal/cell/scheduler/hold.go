package scheduler

import (
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// NextHold returns the hold (long-polled heartbeat) to send to a worker next. The
// caller passes sent to HoldAnswered together with the answer. ok is false when the
// scheduler has removed the worker.
func (s *Scheduler) NextHold(life backend.Life, now time.Time) (hold backend.Hold, sent SentHold, ok bool) {
	w := s.workers[life]
	if w == nil {
		return hold, sent, false
	}
	s.eventSequence++
	hold = backend.Hold{Token: w.token}
	acknowledgementDue := w.lastStoredEndNumber > w.forgottenEndNumber
	guarded := s.servicesWithoutAdvice[w.registration.Service]
	if acknowledgementDue && w.unansweredHolds == 0 && !w.hasUnreportedStart() {
		hold.Acknowledged, w.acknowledging = w.lastStoredEndNumber, guarded
		w.acknowledgedEndNumber = w.lastStoredEndNumber
	}
	leaseClosed := s.isLeaseClosed(w)
	answered := w.unansweredHolds == 0 && !w.clockReadAt.IsZero() && now.Sub(w.lastAnswerAt) <= maxHoldDelay
	extensionDelayed := answered && !leaseClosed && !s.prepareExtension(w, now)
	if answered && !leaseClosed && !extensionDelayed && now.Before(s.leadershipEnd()) {
		// Only the first hold soon after an answer extends the lease. Otherwise the lease
		// of a silent worker would never end. A deadline that has passed on the clock of this
		// process lies ahead on that of the next one, so it isn't sent either.
		hold.Deadline = max(w.leaseDeadline(now, s.leadershipEnd(), s.timing), 0)
	}
	// A hold after an unanswered one does not wait, so that it soon shows whether the
	// worker has restarted.
	mayWait := w.unansweredHolds == 0
	w.unansweredHolds++
	w.held.sentAt = now
	if mayWait && !extensionDelayed && (!guarded || !acknowledgementDue) && !w.tokenUnconfirmed() && !leaseClosed && w.lastHandledEndNumber == w.lastStoredEndNumber {
		hold.Wait = s.holdWait()
	}
	if hold.Deadline > 0 {
		w.extendLease(now, s.timing)
		w.held.extensionSentAt = now
	}
	w.holdTakesEffect, w.heldToken = hold.Deadline > 0 || hold.Acknowledged > 0, w.token
	return hold, SentHold{eventSequence: s.eventSequence, token: w.token, acknowledged: hold.Acknowledged, sentAt: now, extends: hold.Deadline > 0}, true
}

// maxHoldDelay is the longest time after an answer of a worker at which a hold still extends the
// lease. It is only exceeded if this VM was suspended.
const maxHoldDelay = 3 * time.Second

// hasUnreportedStart reports whether a start was ordered on the worker that its present
// process is not known to have executed, and that a later process may still execute.
//
// Once this process has answered a hold that was sent at or after executableUntil, no later
// process can execute the start. Without this limit, a start whose end is beyond those that a
// report lists would keep the listed ends from being acknowledged, and so its own from being listed.
//
// If the worker has restarted under its ID, such a start may have been executed by the next
// process, which numbers its ends anew. An acknowledgement that reached it would make it
// forget that the run has ended. So an acknowledgement is sent only while there is no such
// start, only directly after a report, and no start is sent until it is answered. If it is
// not answered, later starts carry a higher fencing token: a process that has executed one
// of them refuses the acknowledgement.
//
// Where all starts carry tickets, the next process executes only those with a ticket that was
// issued after its start. There an acknowledgement may go with a long poll, and starts are sent
// meanwhile: otherwise a busy worker would be held twice as often.
func (w *worker) hasUnreportedStart() bool {
	for _, t := range w.tasks {
		if t.phase != phasePlaced && !t.runReported && w.reportedAsOf.Before(t.executableUntil) {
			return true
		}
	}
	return false
}

// sendDelayedStarts sends the starts that were delayed by an acknowledgement, with the
// present fencing token. A task that was stopped meanwhile is requeued instead, one whose worker
// drains, and one whose start is too old because this VM was suspended.
func (s *Scheduler) sendDelayedStarts(w *worker, now time.Time) {
	w.acknowledging = false
	delayed := w.delayedStarts
	w.delayedStarts = nil
	for _, o := range delayed {
		t := s.findTask(o.Order.Task)
		if t == nil || t.worker != w || t.runNumber != o.Order.Run || !t.startDelayed {
			continue
		}
		t.startDelayed = false
		aboveQuota := s.isAboveQuota(t.step.job)
		if t.phase != phaseStartOrdered || aboveQuota || w.registration.Draining || now.Sub(t.commitStartedAt) > maxStartDelay {
			s.requeueTask(t, "withdrawn")
			s.logIfRunsEnded(t, w, "withdrawn", now)
			s.stopOtherGangMembers(t, now)
			continue
		}
		t.startToken, o.Order.Token = w.token, w.token
		var carried ticket
		if t.ticketed { // It may have been renewed since, which only makes the limit later.
			carried = t.step.advice.tickets[w]
		}
		t.executableUntil = s.latestExecution(carried, now)
		s.effects.Starts = append(s.effects.Starts, o)
	}
}

// ReportStored reports whether what follows from the last report of a worker is stored: the
// effects of all ends of runs that it lists, and that the lease may be extended again.
func (s *Scheduler) ReportStored(life backend.Life) bool {
	w := s.workers[life]
	return w == nil || w.lastHandledEndNumber == w.lastStoredEndNumber && !s.isLeaseClosed(w)
}

// SentHold identifies a hold that was sent. With it, the scheduler determines which
// runs were confirmed only after the hold was sent, so that its report may lack them.
type SentHold struct {
	eventSequence int64
	token         int64
	// acknowledged is the number of the last end that the hold acknowledged, or 0.
	acknowledged int64
	sentAt       time.Time
	// extends is true if the hold extends the lease.
	extends bool
}

// HoldFailed handles a hold that was not answered or that the worker refused. kind is
// the kind of the error. It reports whether the worker has seen a token that this leader has
// not sent, so that another VM may lead.
func (s *Scheduler) HoldFailed(life backend.Life, kind backend.Kind, now time.Time) (superseded bool) {
	w := s.workers[life]
	if w == nil {
		return false
	}
	w.held.failure = kind
	switch kind {
	case backend.KindLifeMismatch:
		s.replaceWorker(w, now)
	case backend.KindFenced:
		s.log.Info("hold_fenced", "worker", life.ID, "token", w.heldToken, "start_token", w.token)
		// If the token was raised since the hold was sent, a start has overtaken the hold.
		if superseded = w.heldToken == w.token; superseded {
			w.requireToken(w.token + fencedTokenIncrement)
		}
	default:
		if w.acknowledging || w.holdTakesEffect {
			w.requireToken(w.token + 1)
		}
		if kind != backend.KindUnreachable {
			w.noteUnansweredHold(s.timing)
		}
	}
	w.holdTakesEffect = false
	s.sendDelayedStarts(w, now)
	if kind != backend.KindFenced {
		s.closeLeaseIfSilent(w, now)
	}
	return superseded
}

const (
	// minHoldRetryPause is the pause after a hold without an answer. It doubles with each
	// further one up to maxHoldRetryPause, so that the holds of many silent workers leave
	// the leader's network link and processor to the others.
	minHoldRetryPause = 100 * time.Millisecond
	maxHoldRetryPause = 800 * time.Millisecond
	// unansweredHoldDuration is how long a hold without a wait takes if it is not answered.
	unansweredHoldDuration = 550 * time.Millisecond
	// lastHoldMargin is how long before the lease of a worker ends the last hold is sent that
	// may save it. The next hold, which extends the lease, follows its answer, and a commit if the
	// lease is closed.
	lastHoldMargin = 300 * time.Millisecond
	// silentAfterHolds is the number of holds without an answer after which a worker counts
	// as silent.
	silentAfterHolds = 3
)

// HoldRetryPause returns how long to wait after a hold without an answer before the next one
// is sent. If there are runs, a hold is sent lastHoldMargin before their lease ends.
func (s *Scheduler) HoldRetryPause(life backend.Life, now time.Time) time.Duration {
	w := s.workers[life]
	if w == nil {
		return minHoldRetryPause
	}
	pause := minHoldRetryPause
	for i := 1; i < w.unansweredHolds && pause < maxHoldRetryPause; i++ {
		pause *= 2
	}
	if w.runs() == 0 {
		return pause
	}
	// The worker may have executed the last hold with a deadline, although it was not answered.
	for _, extended := range []time.Time{w.held.extensionConfirmedAt, w.held.extensionSentAt} {
		left := extended.Add(s.timing.Lease - lastHoldMargin).Sub(now)
		if left > 0 && left < pause+unansweredHoldDuration {
			return left
		}
	}
	return pause
}

// fencedTokenIncrement is added to the fencing token of a worker after the worker has
// refused it as too low. It is large enough to skip the tokens that this leader may
// have used for the worker in an earlier session.
const fencedTokenIncrement = 64

// HoldAnswered handles the report with which a worker has answered a hold.
func (s *Scheduler) HoldAnswered(life backend.Life, sent SentHold, r *backend.Report, now time.Time) {
	w := s.workers[life]
	if w == nil {
		return
	}
	if r.Life.Born != 0 && r.Life.Born != life.Born {
		s.otherProcessAnswered(w, backend.Life{ID: life.ID, Born: r.Life.Born}, now)
		return
	}
	if w.held.firstAnsweredAt.IsZero() {
		w.held.firstAnsweredAt = now
		w.noteFirstReport(r)
	}
	s.noteAnswer(w, sent, now)
	if silence := now.Sub(w.lastAnswerAt); s.reopenLease(life.ID) {
		s.logWorker("lease_reopened", w, silence, now, "silent_ms", silence.Milliseconds())
	}
	w.lastAnswerAt, w.unansweredHolds, w.holdTakesEffect, w.reportedAsOf = now, 0, false, sent.sentAt
	w.forgottenEndNumber = max(w.forgottenEndNumber, sent.acknowledged)
	w.endsTruncated = r.Truncated
	s.sendDelayedStarts(w, now)
	w.setClockReading(r.Clock, now)
	for i := range r.Ended {
		if e := &r.Ended[i]; e.Number > w.lastHandledEndNumber {
			w.lastHandledEndNumber = e.Number
			s.workersWithNewEnds[w] = true
			s.applyRunEnd(w, e, now)
		}
	}
	// The key contains the run number because a report can list two runs of one task.
	listed := make(map[runID]bool, len(r.Running))
	s.interference.reported = s.interference.reported[:0]
	for i := range r.Running {
		listed[runID{r.Running[i].Task, r.Running[i].Run}] = true
		s.interference.reported = append(s.interference.reported, s.applyReportedRun(w, &r.Running[i], now))
	}
	s.observeInterference(w, r, now)
	s.requeueMissingRuns(w, listed, sent, r.Truncated, now)
	if !r.Truncated {
		s.removeEndedOrphanedRuns(w, listed, sent)
	}
	if w.confirmedToken < sent.token {
		w.confirmedToken = sent.token
		s.schedulingNeeded = true
	}
	s.repeatLostStops(w, now)
	s.detectSlowWorker(w, now)
	s.adjustFillingTaskPaces(w)
	s.removeWorkerIfIdle(w, now)
}

func (w *worker) setClockReading(clock time.Duration, now time.Time) {
	if clock > 0 {
		w.clockReading, w.clockReadAt = clock, now
	}
}

// applyReportedRun updates a task from the run that a report lists as running. A run
// that does not belong to a task on the worker is recorded as an orphaned run. It is
// stopped, unless the worker itself replaces it by a newer run of the task. The result is
// the task, or nil if the run belongs to no task on the worker.
func (s *Scheduler) applyReportedRun(w *worker, r *backend.Run, now time.Time) *task {
	t := s.findTask(r.Task)
	if t != nil {
		t.step.job.anyRunReported = true
	}
	if t == nil || t.worker != w || t.runNumber != r.Run {
		var st *step
		if t != nil {
			st = t.step
		}
		s.addUnknownRun(w, r, st, now)
		if t != nil && t.worker == w && t.runNumber > r.Run {
			return nil // The worker itself replaces an older run by the newer run of the task.
		}
		s.orderStop(w, r.Task, r.Run)
		return nil
	}
	if r.Checkpoint != "" {
		t.checkpoint = r.Checkpoint
	}
	s.noteReported(t)
	t.percentDone, t.reportedMeasurement = r.Percent, r.Figure
	switch t.phase {
	case phaseStartOrdered:
		s.confirmRun(t, now)
	case phaseStopping:
		t.runConfirmed = true
		if now.Sub(t.stopSentAt) > stopRetryInterval {
			t.stopSentAt = now
			s.orderStop(w, t.id, t.runNumber)
		}
	case phaseWaiting, phasePlaced, phaseRunning, phaseDone:
	}
	if t.step.job.state.Ended() && t.phase == phaseRunning {
		s.stopTask(t, now)
	}
	return t
}

// noteReported notes that the present process of a worker has the run of a task. Of a lasting
// task that is stored: the next leader need not wait for a late start if the worker is lost.
func (s *Scheduler) noteReported(t *task) {
	if !t.runReported && t.step.spec.Lasting {
		s.markJobDirty(t.step.job)
	}
	t.startSettled, t.runReported = true, true
}

// confirmRun records that a worker has started the run of a task.
func (s *Scheduler) confirmRun(t *task, now time.Time) {
	t.phase, t.runConfirmed, t.confirmedAtSequence = phaseRunning, true, s.eventSequence
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if t.step.job.state.Ended() {
		s.stopTask(t, now)
	}
}

// requeueMissingRuns requeues the tasks whose runs are missing in the report of their
// worker. A task is not requeued if the run may have started after the report was
// made.
func (s *Scheduler) requeueMissingRuns(w *worker, listed map[runID]bool, sent SentHold, truncated bool, now time.Time) {
	var missing []*task // Most reports list all runs, so only the missing ones are sorted.
	for _, t := range w.tasks {
		if !listed[runID{t.id, t.runNumber}] {
			missing = append(missing, t)
		}
	}
	sortTasksByID(missing)
	for _, t := range missing {
		switch {
		case t.phase == phasePlaced:
			continue
		case !t.runConfirmed && t.startToken >= sent.token:
			continue // The start order may not have reached the worker yet.
		case t.runConfirmed && t.confirmedAtSequence >= sent.eventSequence:
			continue // The report may have been made before the run started.
		}
		if truncated {
			continue // The report was cut off, so a later one may list the end of the run.
		}
		// The ticket of an order was issued before the hold was sent, so no process after the
		// one that has answered executes the order.
		if !t.ticketed && s.mayExecuteLater(t, sent.sentAt) {
			s.stopOtherGangMembers(t, now)
			continue
		}
		s.log.Info("run_absent", "task", t.id.String(), "run", t.runNumber, "worker", w.registration.Life.ID, "born", w.registration.Life.Born, "token", t.startToken, "hold_token", sent.token)
		s.requeueTask(t, "absent")
		s.logIfRunsEnded(t, w, "absent", now)
		s.stopOtherGangMembers(t, now)
	}
}

// mayExecuteLater reports whether the start order of a task may still be executed at a
// given time, although the present process of the worker refuses it because of its
// fencing token: a later process under the same ID has seen no token.
func (s *Scheduler) mayExecuteLater(t *task, at time.Time) bool {
	if t.startSettled || !at.Before(t.executableUntil) {
		return false
	}
	// A further run of a speculative or cancelled task does no harm. That of a team would use
	// its quota.
	return t.step.job.spec.Team != "" || !t.step.spec.Speculative && !t.step.job.state.Ended()
}

// raiseToken raises the fencing token of a worker. Once the worker has answered a
// hold with the new token, it refuses every order that was sent with a lower one.
func (s *Scheduler) raiseToken(w *worker) {
	w.requireToken(w.token + 1)
	s.effects.HoldAtOnce = append(s.effects.HoldAtOnce, w.registration.Life)
}
