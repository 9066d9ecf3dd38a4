package entryvm

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/keeper"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// orderTimeout is how long the leader waits for a worker's answer to an order. If a
	// start is not answered, the scheduler raises the worker's fencing token, so that the
	// worker refuses the start if it arrives late. Workers answer within milliseconds;
	// the remaining time allows for delays on a busy leader.
	orderTimeout = 250*time.Millisecond + keeper.ForwardingMargin
	// holdReplyMargin is added to Hold.Wait to get the timeout of a hold. Hold.Wait is
	// the longest time that the worker may take before it answers.
	holdReplyMargin = 250*time.Millisecond + keeper.ForwardingMargin
	// fencedHoldRetryPause is the pause after a worker has refused a hold because of its
	// fencing token. Meanwhile the leader renews its claim to find out whether it was
	// superseded.
	fencedHoldRetryPause = 300 * time.Millisecond
	// deferredAcknowledgementPause is the pause before the next hold if the last one could
	// not acknowledge the ends that the worker lists.
	deferredAcknowledgementPause = 20 * time.Millisecond
	// maxReportStoredWait limits how long the next hold is delayed until the run ends that
	// the worker has reported are stored. After that the hold is sent without
	// acknowledging them, so that it extends the lease in time.
	maxReportStoredWait = 400 * time.Millisecond
)

// workerSession is the leader's connection to one worker process. It sends orders and,
// one at a time, holds. A hold is a long poll that extends the lease of all runs on the
// worker and returns which runs have ended.
type workerSession struct {
	leader *leader
	// life identifies the worker process, and domain is its failure domain.
	life   backend.Life
	domain string
	worker *keeper.WorkerClient
	ctx    context.Context
	cancel context.CancelFunc
	mutex  sync.Mutex
	// cancelHold cancels the hold that is in flight.
	cancelHold context.CancelFunc
	// holdInterrupted is true if interruptHold was called since the current hold began.
	holdInterrupted bool
}

func newWorkerSession(l *leader, r backend.Registration) *workerSession {
	ctx, cancel := context.WithCancel(l.ctx)
	return &workerSession{leader: l, life: r.Life, domain: r.Zone, worker: l.dialWorker(r), ctx: ctx, cancel: cancel}
}

// close ends the session and closes the connection to the worker.
func (s *workerSession) close() {
	s.cancel()
	s.worker.Close()
}

// interruptHold interrupts the current hold, so that the next one is sent at once.
func (s *workerSession) interruptHold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.holdInterrupted = true
	if s.cancelHold != nil {
		s.cancelHold()
	}
}

// run sends holds until the session is closed or the scheduler has removed the worker.
func (s *workerSession) run() {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(s.ctx)
		s.mutex.Lock()
		s.cancelHold, s.holdInterrupted = cancel, false
		s.mutex.Unlock()
		ok := s.sendHold(ctx)
		cancel()
		if !ok {
			return
		}
	}
}

// sendHold sends one hold and passes the worker's report to the scheduler. It returns
// false if the session must end.
func (s *workerSession) sendHold(interruptible context.Context) bool {
	hold, sent, report, err := s.callHold(interruptible)
	if s.ctx.Err() != nil || errors.Is(err, errWorkerRemoved) {
		return false
	}
	if err != nil {
		kind := fault.KindOr(err, backend.KindUnknown)
		if !s.wasHoldInterrupted() {
			s.leader.node.log.Info("hold_failed", "worker", s.life.ID, "kind", string(kind), "error", err.Error())
		}
		var pause time.Duration
		superseded := false
		s.leader.updateScheduler(func(c *scheduler.Scheduler, at time.Time) {
			c.HoldSent(s.life, s.worker.KeeperOfLastHold())
			superseded = c.HoldFailed(s.life, kind, at)
			pause = c.HoldRetryPause(s.life, at)
		})
		if superseded {
			s.leader.signalClaimRenewal()
			sleep(s.ctx, fencedHoldRetryPause)
		} else if !s.wasHoldInterrupted() {
			sleep(interruptible, pause)
		}
		return true
	}
	var pause time.Duration
	leaseClosed := false
	s.leader.updateScheduler(func(c *scheduler.Scheduler, at time.Time) {
		c.HoldSent(s.life, s.worker.KeeperOfLastHold())
		c.HoldAnswered(s.life, sent, &report, at)
		leaseClosed = c.IsLeaseClosed(s.life)
		if report.Life.Born != 0 && report.Life.Born < s.life.Born {
			pause = c.HoldRetryPause(s.life, at) // The report says nothing about this process.
		}
	})
	if pause > 0 {
		sleep(interruptible, pause)
		return true
	}
	if leaseClosed {
		s.awaitReportStored()
	}
	if len(report.Ended) > 0 {
		s.awaitReportStored()
		if hold.Acknowledged == 0 {
			sleep(s.ctx, deferredAcknowledgementPause)
		}
	}
	return true
}

// errWorkerRemoved is the error of a hold to a worker that the scheduler has removed.
var errWorkerRemoved = errors.New("the worker was removed")

// callHold sends the next hold and waits for its answer.
func (s *workerSession) callHold(interruptible context.Context) (hold backend.Hold, sent scheduler.SentHold, report backend.Report, err error) {
	ok := false
	s.leader.updateScheduler(func(c *scheduler.Scheduler, at time.Time) { hold, sent, ok = c.NextHold(s.life, at) })
	if !ok {
		return hold, sent, report, errWorkerRemoved
	}
	ctx, cancel := context.WithTimeout(interruptible, hold.Wait+holdReplyMargin)
	defer cancel()
	report, err = s.worker.Hold(ctx, hold)
	return hold, sent, report, err
}

// awaitReportStored waits until what follows from the last report of the worker is stored,
// so that the next hold can acknowledge the ends of runs and extend the lease. It waits for
// at most maxReportStoredWait.
func (s *workerSession) awaitReportStored() {
	timer := time.NewTimer(maxReportStoredWait)
	defer timer.Stop()
	for {
		done, next := s.leader.reportStored(s.life)
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

// wasHoldInterrupted reports whether interruptHold was called since the current hold
// began.
func (s *workerSession) wasHoldInterrupted() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holdInterrupted
}

// sendStart sends an order to start a run and passes the answer to the scheduler.
func (s *workerSession) sendStart(o backend.Start) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	begun := now()
	clock, err := s.worker.Start(ctx, o)
	s.leader.node.measures.Observe(measure.Key{Name: "start_order"}, now().Sub(begun))
	var kind backend.Kind
	if err != nil {
		kind = fault.KindOr(err, backend.KindUnknown)
	}
	s.leader.updateScheduler(func(c *scheduler.Scheduler, at time.Time) { c.StartAnswered(s.life, &o, kind, clock, at) })
}

// sendStop sends an order to stop a run and passes the answer to the scheduler.
func (s *workerSession) sendStop(o backend.Stop) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	err := s.worker.Stop(ctx, o)
	if s.ctx.Err() != nil {
		return
	}
	var kind backend.Kind
	if err != nil {
		kind = fault.KindOr(err, backend.KindUnknown)
		s.leader.node.log.Info("stop_not_confirmed", "worker", s.life.ID, "task", o.Task.String(), "run", o.Run, "error", err.Error())
	}
	s.leader.updateScheduler(func(c *scheduler.Scheduler, at time.Time) { c.StopAnswered(s.life, &o, kind, at) })
}

// sendPace sends an order that changes how fast a run proceeds. The scheduler is only told
// of a failure.
func (s *workerSession) sendPace(o backend.Pace) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	if err := s.worker.Pace(ctx, o); err != nil && s.ctx.Err() == nil {
		s.leader.node.log.Info("pace_not_confirmed", "worker", s.life.ID, "task", o.Task.String(), "percent", o.Percent, "error", err.Error())
		kind := fault.KindOr(err, backend.KindUnknown)
		s.leader.updateScheduler(func(c *scheduler.Scheduler, _ time.Time) { c.PaceNotConfirmed(s.life, &o, kind) })
	}
}
