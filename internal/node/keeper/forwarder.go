package keeper

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// answerBatchDelay is how long an answer is delayed, so that other answers can be
	// sent in the same batch.
	answerBatchDelay = 8 * time.Millisecond
	// sendAnswersTimeout limits one attempt to send a batch of answers to the leader,
	// and maxSendAnswersAttempts is the maximum number of attempts. A second one is
	// allowed because a connection can stop delivering messages without an error.
	sendAnswersTimeout     = 400 * time.Millisecond
	maxSendAnswersAttempts = 2
	// maxCallTimeout is the longest timeout that a leader can request for a call to a
	// worker.
	maxCallTimeout = 10 * time.Second
)

// Forwarder runs on a keeper: it makes the calls that leaders send and returns the answers.
type Forwarder struct {
	ctx  context.Context
	dial func(r backend.Registration) backend.Worker
	// sendToLeader sends answers to a leader and returns once the leader has confirmed them.
	sendToLeader func(ctx context.Context, leader netip.AddrPort, a Answers) error
	log          logr.Logger
	// pendingCalls is the number of calls that workers have not answered yet.
	pendingCalls atomic.Int64

	mutex sync.Mutex
	// answerBatchers maps the address of each leader that ever sent calls to the
	// batcher of its answers. Entries are never removed, since leaders change rarely.
	answerBatchers map[netip.AddrPort]*batcher[Answer]
	// leaderProcesses maps the address of each leader that ever sent calls to its
	// processes.
	leaderProcesses map[netip.AddrPort]leaderProcesses
}

// leaderProcesses holds numbers of processes on the VM of a leader; see Batch.
type leaderProcesses struct {
	// newest is the highest number that arrived.
	newest int64
	// lastLogged is the number of the last process that was logged as outdated.
	lastLogged int64
}

// NewForwarder returns a forwarder that makes calls until ctx is done.
func NewForwarder(ctx context.Context, dial func(backend.Registration) backend.Worker, send func(context.Context, netip.AddrPort, Answers) error, log logr.Logger) *Forwarder {
	return &Forwarder{ctx: ctx, dial: dial, sendToLeader: send, log: log, answerBatchers: map[netip.AddrPort]*batcher[Answer]{}, leaderProcesses: map[netip.AddrPort]leaderProcesses{}}
}

// Forward starts the calls of a batch and returns at once. The answers are sent to the
// leader later.
func (f *Forwarder) Forward(b Batch) {
	f.logIfOutdated(&b)
	answers := f.answerBatcher(b.Leader)
	f.pendingCalls.Add(int64(len(b.Calls)))
	for i := range b.Calls {
		c := &b.Calls[i]
		if c.Timeout <= 0 {
			f.log.Info("call_expired", "leader", b.Leader.String(), "number", c.Number, "operation", c.operation(), "worker", c.Life.ID, "born", c.Life.Born)
		}
		go func() {
			begun := time.Now()
			a := f.callWorker(c)
			if c.Start != nil {
				f.log.Info("start_forwarded", "task", c.Start.Task.String(), "run", c.Start.Run, "worker", c.Life.ID, "born", c.Life.Born, "token", c.Start.Token, "leader", b.Leader.String(), "kind", string(a.Kind), "clock_ms", a.Clock.Milliseconds(), "took_ms", time.Since(begun).Milliseconds())
			}
			answers.add(a)
			f.pendingCalls.Add(-1)
		}()
	}
}

// logIfOutdated logs a batch that an earlier process of the leader's VM has sent, once
// for each such process in a row. Otherwise a VM whose clock was set back before it
// restarted would cause a line for each batch.
func (f *Forwarder) logIfOutdated(b *Batch) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := f.leaderProcesses[b.Leader]
	if b.Process < p.newest && b.Process != p.lastLogged {
		p.lastLogged = b.Process
		f.log.Info("batch_outdated", "leader", b.Leader.String(), "calls", len(b.Calls), "process", b.Process, "newest_process", p.newest)
	}
	p.newest = max(p.newest, b.Process)
	f.leaderProcesses[b.Leader] = p
}

// PendingCalls returns the number of calls that workers have not answered yet.
func (f *Forwarder) PendingCalls() int64 { return f.pendingCalls.Load() }

// Leaders returns the number of addresses of leaders that have sent calls.
func (f *Forwarder) Leaders() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.leaderProcesses)
}

// answerBatcher returns the batcher that sends answers to a leader.
func (f *Forwarder) answerBatcher(leader netip.AddrPort) *batcher[Answer] {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if b := f.answerBatchers[leader]; b != nil {
		return b
	}
	b := newBatcher(answerBatchDelay, func(list []Answer) { f.sendAnswers(leader, list) })
	f.answerBatchers[leader] = b
	return b
}

// callWorker makes one call and returns the worker's answer. If the call fails, the
// answer contains the error.
func (f *Forwarder) callWorker(call *Call) Answer {
	ctx, cancel := context.WithTimeout(f.ctx, min(max(call.Timeout, 0), maxCallTimeout))
	defer cancel()
	w := f.dial(backend.Registration{Life: call.Life, Address: call.Address})
	defer w.Close()
	a := Answer{Number: call.Number}
	var err error
	switch {
	case call.Start != nil:
		a.Clock, err = w.Start(ctx, *call.Start)
	case call.Hold != nil:
		var report backend.Report
		report, err = w.Hold(ctx, *call.Hold)
		a.Report = &report
	case call.Stop != nil:
		err = w.Stop(ctx, *call.Stop)
	case call.Pace != nil:
		err = w.Pace(ctx, *call.Pace)
	default:
		err = fault.Newf("carry", backend.KindInvalid, "call has none of hold, start, stop and pace")
	}
	if err != nil {
		a.Kind, a.Message = fault.KindOr(err, backend.KindUnknown), err.Error()
	}
	return a
}

// sendAnswers sends answers to the leader. The leader ignores an answer that it receives
// twice.
func (f *Forwarder) sendAnswers(leader netip.AddrPort, list []Answer) {
	for try := range maxSendAnswersAttempts {
		ctx, cancel := context.WithTimeout(f.ctx, sendAnswersTimeout)
		err := f.sendToLeader(ctx, leader, Answers{list})
		cancel()
		if err == nil || f.ctx.Err() != nil {
			return
		}
		f.log.Info("answers_not_delivered", "leader", leader.String(), "answers", len(list), "try", try+1, "error", err.Error())
	}
}
