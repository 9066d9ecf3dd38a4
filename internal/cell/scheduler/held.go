package scheduler

import (
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// unheldMargin is added to holdWait. A worker with runs that has answered no hold for
// longer than the sum counts as unheld.
const unheldMargin = time.Second

// holdTimes says when and by which way a worker was held. The zero time stands for never, the
// zero address for the direct way, without a keeper. HoldRetryPause uses the times of the
// extensions; everything else is for logs.
type holdTimes struct {
	sentAt, answeredAt time.Time
	// firstAnsweredAt is when the worker first answered a hold of this leader.
	firstAnsweredAt time.Time
	// failure is the kind of error of the last hold that failed.
	failure backend.Kind
	// via is the keeper of the last hold that was sent.
	via netip.AddrPort
	// extensionSentAt is when the last hold with a deadline was sent, which extends the
	// lease if the worker executes it. extensionConfirmedAt is when the last one that the
	// worker has answered was sent, and extensionVia is its keeper.
	extensionSentAt, extensionConfirmedAt time.Time
	extensionVia                          netip.AddrPort
	// unheld is true from the line worker_unheld until the worker answers.
	unheld bool
	// sessionMissingSince is when a tick first found runs on the worker and no session. It is
	// zero while there is a session.
	sessionMissingSince time.Time
}

// HoldSent notes by which way the last hold went: through the keeper with the given
// address, or directly if the address is the zero value. It must be called before
// HoldAnswered or HoldFailed.
func (s *Scheduler) HoldSent(life backend.Life, keeper netip.AddrPort) {
	if w := s.workers[life]; w != nil {
		w.held.via = keeper
	}
}

// noteAnswer notes that a worker has answered a hold. It must be called before lastAnswerAt
// is updated.
func (s *Scheduler) noteAnswer(w *worker, sent SentHold, now time.Time) {
	if w.held.unheld {
		w.held.unheld = false
		silence := now.Sub(w.lastAnswerAt)
		s.logWorker("worker_held_again", w, silence, now, append([]any{"silent_ms", silence.Milliseconds(), "unanswered", w.unansweredHolds}, w.holdFields(now)...)...)
	}
	w.held.answeredAt = now
	if sent.extends {
		w.held.extensionConfirmedAt, w.held.extensionVia = sent.sentAt, w.held.via
	}
}

// watchHolds logs the workers with runs that have become unheld, and those that have no
// session or got one late.
func (s *Scheduler) watchHolds(now time.Time) {
	longestSilence := s.holdWait() + unheldMargin
	for _, life := range s.sortedLives() {
		w := s.workers[life]
		if w.sessionOpen && !w.held.sessionMissingSince.IsZero() {
			waited := now.Sub(w.held.sessionMissingSince)
			w.held.sessionMissingSince = time.Time{}
			s.logWorker("session_opened_late", w, waited, now, "took_ms", waited.Milliseconds(), "runs", w.runs())
		}
		silence := now.Sub(w.lastAnswerAt)
		missing := !w.sessionOpen && w.held.sessionMissingSince.IsZero()
		unheld := !w.held.unheld && silence > longestSilence
		if !missing && !unheld || w.runs() == 0 {
			continue
		}
		if missing {
			w.held.sessionMissingSince = now
			s.logWorker("worker_without_session", w, silence, now, "runs", w.runs(), "reason", w.noSessionReason())
		}
		if unheld {
			w.held.unheld = true
			s.logWorker("worker_unheld", w, silence, now, append([]any{
				"runs", w.runs(), "token", w.token, "session", w.sessionOpen, "listed", w.registered, "reason", w.noSessionReason(),
				"silent_ms", silence.Milliseconds(), "unanswered", w.unansweredHolds, "kind", string(w.held.failure),
			}, w.holdFields(now)...)...)
		}
	}
	s.workerLines.flushIfDue(s.log, now)
}

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

// UnheldWorkers returns the number of workers with runs that have answered no hold for
// longer than holdWait and unheldMargin, as of the last tick.
func (s *Scheduler) UnheldWorkers() int {
	n := 0
	for _, w := range s.workers {
		if w.held.unheld && w.runs() > 0 {
			n++
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

// runs returns the number of runs that may exist on the worker.
func (w *worker) runs() int { return w.orderedRuns() + len(w.orphanedRuns) }

// noSessionReason returns why the worker has no session, or "" if it has one.
func (w *worker) noSessionReason() string {
	switch {
	case w.sessionOpen:
		return ""
	case w.registered:
		return "listed, but no session was opened"
	case w.registration.Address.IsValid():
		return "not listed"
	default:
		return "not listed, address unknown"
	}
}

// holdFields returns the fields of a log line that say when this leader last held the worker.
func (w *worker) holdFields(now time.Time) []any {
	return append([]any{"last_answer_ms", millisecondsSince(w.held.answeredAt, now), "via", wayName(w.held.via, w.held.sentAt)}, w.extensionFields(now)...)
}

// extensionFields returns the fields of a log line that say how long ago this leader last
// extended the lease of the worker.
func (w *worker) extensionFields(now time.Time) []any {
	return []any{
		"last_extension_ms", millisecondsSince(w.held.extensionSentAt, now),
		"confirmed_extension_ms", millisecondsSince(w.held.extensionConfirmedAt, now), "extended_via", wayName(w.held.extensionVia, w.held.extensionConfirmedAt),
	}
}

// logRunEnd logs the end of a run that a worker has reported. If its lease had ended, the
// line tells when this leader last extended it.
func (s *Scheduler) logRunEnd(w *worker, e *backend.EndedRun, now time.Time) {
	fields := []any{"task", e.Task.String(), "run", e.Run, "worker", w.registration.Life.ID, "born", w.registration.Life.Born, "number", e.Number, "outcome", string(e.Outcome)}
	if e.Outcome == backend.LeaseExpired {
		fields = append(fields, w.extensionFields(now)...)
	}
	s.log.Info("run_ended", fields...)
}

// never is logged as the time since something that has not happened.
const never = -1

func millisecondsSince(at, now time.Time) int64 {
	if at.IsZero() {
		return never
	}
	return now.Sub(at).Milliseconds()
}

// wayName names the way of a hold that was sent at a given time: the address of the keeper,
// "direct", or "none" if there was no such hold.
func wayName(keeper netip.AddrPort, at time.Time) string {
	switch {
	case at.IsZero():
		return "none"
	case !keeper.IsValid():
		return "direct"
	default:
		return keeper.String()
	}
}
