package entryvm

import (
	"context"
	"sync"
	"time"
)

const (
	// longPollWait is how long the store may wait for a new record before it answers a
	// read of a topic that rarely changes.
	longPollWait = 20 * time.Second
	// leaderLongPollWait is used instead of longPollWait on the leader. A read hangs when
	// its connection to the store stops delivering messages. VMs whose reads hang get a new
	// configuration from the leader, so a read of the leader that hangs must time out soon
	// and be repeated.
	leaderLongPollWait = 500 * time.Millisecond
	// leaderLongPollMargin is by how much a long poll of the leader may exceed its wait the
	// first time. The margin doubles with each further timeout in a row, up to
	// storeCallTimeout, for a store that is slow or a large record on a slow link.
	leaderLongPollMargin = 700 * time.Millisecond
	// minInterruptInterval is the shortest time between two interruptions of the long polls
	// because of calls that the store did not answer.
	minInterruptInterval = time.Second
)

// longPolls lets the reads that wait for new records be sent again before they are answered,
// when their wait or their connection is no longer the right one. The zero value is ready for
// use.
type longPolls struct {
	mutex sync.Mutex
	// round is done when the reads that were sent in it are to be sent again. It is nil
	// until it is asked for.
	round           context.Context
	endRound        context.CancelFunc
	lastInterrupted time.Time
}

// currentRound returns a context that is done when a read that is sent now is to be sent
// again.
func (p *longPolls) currentRound() context.Context {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.round == nil {
		p.round, p.endRound = context.WithCancel(context.Background())
	}
	return p.round
}

// interrupt makes all long polls be sent again. It is called when this VM begins to lead,
// since the wait of a read depends on that.
func (p *longPolls) interrupt() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.round != nil {
		p.endRound()
		p.round = nil
	}
	p.lastInterrupted = now()
}

// interruptIfDue interrupts the long polls, but not within minInterruptInterval of the last
// time. It is called when the store has not answered a call: if connections have stopped
// delivering messages, those of the long polls may have done so too.
func (p *longPolls) interruptIfDue() {
	p.mutex.Lock()
	due := now().Sub(p.lastInterrupted) >= minInterruptInterval
	p.mutex.Unlock()
	if due {
		p.interrupt()
	}
}

// longPollWait returns how long the store may wait for a new record before it answers a
// read that is sent now, and by how much its answer may exceed that. timeouts is the number
// of timeouts of such reads in a row.
func (n *Node) longPollWait(timeouts int) (wait, margin time.Duration) {
	if n.activeLeader() == nil {
		return longPollWait, storeCallTimeout
	}
	margin = leaderLongPollMargin
	for i := 0; i < timeouts && margin < storeCallTimeout; i++ {
		margin *= 2
	}
	return leaderLongPollWait, min(margin, storeCallTimeout)
}
