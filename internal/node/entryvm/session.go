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
	// orderTimeout bounds an order; without an answer it is superseded. Workers
	// answer within some milliseconds; the rest is for a busy leader.
	orderTimeout = 250*time.Millisecond + keeper.Margin
	// holdTimeout is added to the time that a worker may wait before it answers
	// a hold.
	holdTimeout = 250*time.Millisecond + keeper.Margin
	// holdRetry is the pause after a hold that failed.
	holdRetry = 100 * time.Millisecond
	// fencedPause is the pause after a hold that was refused for its token, in
	// which the claim is verified.
	fencedPause = 300 * time.Millisecond
	// storedWait bounds the wait for ends to be stored before the lease is
	// extended all the same.
	storedWait = 400 * time.Millisecond
)

// session holds one life of a worker and carries orders to it.
type session struct {
	leader *leader
	life   backend.Life
	worker backend.Worker
	ctx    context.Context
	cancel context.CancelFunc
	mutex  sync.Mutex
	// interrupt ends the hold that is on its way.
	interrupt context.CancelFunc
	woken     bool
}

func newSession(l *leader, r backend.Registration) *session {
	ctx, cancel := context.WithCancel(l.ctx)
	return &session{leader: l, life: r.Life, worker: l.dial(r), ctx: ctx, cancel: cancel}
}

func (s *session) close() {
	s.cancel()
	s.worker.Close()
}

// wake makes the next hold go out now.
func (s *session) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.woken = true
	if s.interrupt != nil {
		s.interrupt()
	}
}

// run holds the worker until the session is closed.
func (s *session) run() {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		s.mutex.Lock()
		s.interrupt, s.woken = cancel, false
		s.mutex.Unlock()
		ok := s.hold(ctx)
		cancel()
		if !ok {
			return
		}
	}
}

// hold makes one hold; it reports whether the session goes on.
func (s *session) hold(interruptible context.Context) bool {
	var hold backend.Hold
	var sent scheduler.HoldSent
	ok := false
	s.leader.update(func(c *scheduler.Scheduler, at time.Time) {
		hold, sent, ok = c.HoldRequest(s.life, at)
	})
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(interruptible, hold.Wait+holdTimeout)
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
			s.leader.verify()
			pause(s.ctx, fencedPause)
		} else if !s.wasWoken() {
			pause(s.ctx, holdRetry)
		}
		return true
	}
	s.leader.update(func(c *scheduler.Scheduler, at time.Time) { c.HoldAnswered(s.life, sent, &report, at) })
	if len(report.Ended) > 0 {
		s.awaitStored()
	}
	return true
}

// awaitStored waits until the ends of a report are stored, so that the next hold
// can acknowledge them.
func (s *session) awaitStored() {
	timer := time.NewTimer(storedWait)
	defer timer.Stop()
	for {
		done, next := s.leader.endsStored(s.life)
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

func (s *session) wasWoken() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.woken
}

func (s *session) start(o backend.Start) {
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

func (s *session) stopRun(o backend.Stop) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	if err := s.worker.Stop(ctx, o); err != nil && s.ctx.Err() == nil {
		s.leader.node.log.Info("stop_not_confirmed", "worker", s.life.ID, "task", o.Task.String(), "run", o.Run, "error", err.Error())
	}
}

func (s *session) pace(o backend.Pace) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	if err := s.worker.Pace(ctx, o); err != nil && s.ctx.Err() == nil {
		s.leader.node.log.Info("pace_not_confirmed", "worker", s.life.ID, "task", o.Task.String(), "percent", o.Percent, "error", err.Error())
	}
}
