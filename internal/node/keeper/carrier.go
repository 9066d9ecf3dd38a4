package keeper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// answerGather is how long an answer waits for others.
	answerGather = 8 * time.Millisecond
	// answerTimeout bounds the way of answers to the leader, and answerTries how often
	// they are sent: a connection may have gone silent.
	answerTimeout = 400 * time.Millisecond
	answerTries   = 2
	// mostTimeout bounds the time that a leader can give a call.
	mostTimeout = 10 * time.Second
)

// Carrier makes the calls of leaders to workers.
type Carrier struct {
	ctx  context.Context
	dial func(r backend.Registration) backend.Worker
	// send hands answers to a leader.
	send func(ctx context.Context, leader netip.AddrPort, a Answers) error
	log  logr.Logger

	mutex sync.Mutex
	// answers gathers what goes to each leader; there are a few in the life of a VM.
	answers map[netip.AddrPort]*batcher[Answer]
}

// NewCarrier returns a carrier that works until ctx is closed.
func NewCarrier(ctx context.Context, dial func(backend.Registration) backend.Worker, send func(context.Context, netip.AddrPort, Answers) error, log logr.Logger) *Carrier {
	return &Carrier{ctx: ctx, dial: dial, send: send, log: log, answers: map[netip.AddrPort]*batcher[Answer]{}}
}

// Carry begins the calls of a batch and returns at once.
func (c *Carrier) Carry(b Batch) {
	answers := c.answersTo(b.Leader)
	for i := range b.Calls {
		go func() { answers.add(c.call(&b.Calls[i])) }()
	}
}

func (c *Carrier) answersTo(leader netip.AddrPort) *batcher[Answer] {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if b := c.answers[leader]; b != nil {
		return b
	}
	b := newBatcher(answerGather, func(list []Answer) { c.deliver(leader, list) })
	c.answers[leader] = b
	return b
}

// call makes one call.
func (c *Carrier) call(v *Call) Answer {
	ctx, cancel := context.WithTimeout(c.ctx, min(max(v.Timeout, 0), mostTimeout))
	defer cancel()
	w := c.dial(backend.Registration{Life: v.Life, Address: v.Address})
	defer w.Close()
	a := Answer{Number: v.Number}
	var err error
	switch {
	case v.Start != nil:
		a.Clock, err = w.Start(ctx, *v.Start)
	case v.Hold != nil:
		var report backend.Report
		report, err = w.Hold(ctx, *v.Hold)
		a.Report = &report
	case v.Stop != nil:
		err = w.Stop(ctx, *v.Stop)
	case v.Pace != nil:
		err = w.Pace(ctx, *v.Pace)
	default:
		err = fault.Newf("carry", backend.KindInvalid, "a call without an order")
	}
	if err != nil {
		a.Kind, a.Message = fault.KindOr(err, backend.KindUnknown), err.Error()
	}
	return a
}

// deliver hands answers to the leader. It may drop those that it gets twice.
func (c *Carrier) deliver(leader netip.AddrPort, list []Answer) {
	for try := range answerTries {
		ctx, cancel := context.WithTimeout(c.ctx, answerTimeout)
		err := c.send(ctx, leader, Answers{list})
		cancel()
		if err == nil || c.ctx.Err() != nil {
			return
		}
		c.log.Info("answers_not_delivered", "leader", leader.String(), "answers", len(list), "try", try+1, "error", err.Error())
	}
}
