package entryvm

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// orderTimeout limits an order. The scheduler replaces an order without an answer.
	// Workers answer within milliseconds; the rest allows for a busy leader.
	orderTimeout = 250*time.Millisecond + keeper.ForwardingMargin
	// holdMargin is how much longer than Hold.Wait the leader waits for the answer to a
	// hold.
	holdMargin = 250*time.Millisecond + keeper.ForwardingMargin
	// holdRetryPause is the pause after a failed hold.
	holdRetryPause = 100 * time.Millisecond
	// fencedPause is the pause after a worker has refused a hold for its fencing token.
	// The leader renews its claim in the meantime, to find out whether it was superseded.
	fencedPause = 300 * time.Millisecond
	// maxCommitWait limits the wait for the ends of runs to be stored. Afterwards the
	// next hold extends the lease without acknowledging them.
	maxCommitWait = 400 * time.Millisecond
)

// session is the leader's connection to one worker process. It sends orders, and one
// hold after the other. A hold is a long poll that extends the lease of all runs on
// the worker and returns which runs have ended.
type session struct {
	leader *leader
	// life identifies the worker process.
	life   backend.Life
	worker backend.Worker
	ctx    context.Context
	cancel context.CancelFunc
	mutex  sync.Mutex
	// interruptHold cancels the hold that is in flight.
	interruptHold context.CancelFunc
	// woken is true if wake was called since the current hold began.
	woken bool
}

func newSession(l *leader, r backend.Registration) *session {
	ctx, cancel := context.WithCancel(l.ctx)
	return &session{leader: l, life: r.Life, worker: l.dialWorker(r), ctx: ctx, cancel: cancel}
}

// close ends the session and closes the connection to the worker.
func (s *session) close() {
	s.cancel()
	s.worker.Close()
}

// wake interrupts the current hold, so that the next one is sent at once.
func (s *session) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.woken = true
	if s.interruptHold != nil {
		s.interruptHold()
	}
}

// run sends holds until the session is closed.
func (s *session) run() {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		s.mutex.Lock()
		s.interruptHold, s.woken = cancel, false
		s.mutex.Unlock()
		ok := s.sendHold(ctx)
		cancel()
		if !ok {
			return
		}
	}
}

// sendHold sends one hold and passes the report to the scheduler. It returns false if
// the session must end.
func (s *session) sendHold(interruptible context.Context) bool {
	var hold backend.Hold
	var sent scheduler.HoldSent
	ok := false
	s.leader.update(func(c *scheduler.Scheduler, at time.Time) {
		hold, sent, ok = c.HoldRequest(s.life, at)
	})
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(interruptible, hold.Wait+holdMargin)
	report, err := s.worker.Hold(ctx, hold)
	cancel()
	if s.ctx.Err() != nil {
		return false
	}
	if err != nil {
		kind := fault.KindOr(err, backend.KindUnknown)
		if !s.wasWoken() {
			s.leader.node.log.Info("hold_failed", "worker", s.life.ID, "kind", string(kind), "error", err.Error())
		}
		s.leader.update(func(c *scheduler.Scheduler, at time.Time) { c.HoldFailed(s.life, kind, at) })
		if kind == backend.KindFenced {
			s.leader.renewClaim()
			sleep(s.ctx, fencedPause)
		} else if !s.wasWoken() {
			sleep(s.ctx, holdRetryPause)
		}
		return true
	}
	s.leader.update(func(c *scheduler.Scheduler, at time.Time) { c.HoldAnswered(s.life, sent, &report, at) })
	if len(report.Ended) > 0 {
		s.awaitRunEndsStored()
	}
	return true
}

// awaitRunEndsStored waits until the ends of runs in the last report are stored, so
// that the next hold can acknowledge them.
func (s *session) awaitRunEndsStored() {
	timer := time.NewTimer(maxCommitWait)
	defer timer.Stop()
	for {
		done, next := s.leader.runEndsStored(s.life)
		if done {
			return
		}
		select {
		case <-next:
		case <-timer.C:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// wasWoken reports whether wake was called since the current hold began.
func (s *session) wasWoken() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.woken
}

// sendStart sends an order to start a run and passes the answer to the scheduler.
func (s *session) sendStart(o backend.Start) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	begun := now()
	clock, err := s.worker.Start(ctx, o)
	s.leader.node.measures.Observe(measure.Key{Name: "start_order"}, now().Sub(begun))
	var kind backend.Kind
	if err != nil {
		kind = fault.KindOr(err, backend.KindUnknown)
	}
	s.leader.update(func(c *scheduler.Scheduler, at time.Time) { c.StartAnswered(s.life, &o, kind, clock, at) })
}

// sendStop sends an order to stop a run. A failure is only logged.
func (s *session) sendStop(o backend.Stop) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	if err := s.worker.Stop(ctx, o); err != nil && s.ctx.Err() == nil {
		s.leader.node.log.Info("stop_not_confirmed", "worker", s.life.ID, "task", o.Task.String(), "run", o.Run, "error", err.Error())
	}
}

// sendPace sends an order that changes the pace of a run. A failure is only logged.
func (s *session) sendPace(o backend.Pace) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	if err := s.worker.Pace(ctx, o); err != nil && s.ctx.Err() == nil {
		s.leader.node.log.Info("pace_not_confirmed", "worker", s.life.ID, "task", o.Task.String(), "percent", o.Percent, "error", err.Error())
	}
}
