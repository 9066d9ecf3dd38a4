package entryvm

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// stateTimeout bounds one question to the leader.
	stateTimeout = 500 * time.Millisecond
	// leaderWait bounds the wait for a leader; callers can ask again.
	leaderWait = 1500 * time.Millisecond
	// leaderPause is the wait before a question to the leader is repeated.
	leaderPause = 100 * time.Millisecond
)

// Submit stores a job. It returns KindNotStored only when the job is not stored
// and never will be.
func (n *Node) Submit(ctx context.Context, j *work.Job) error {
	return n.write(ctx, store.Record{Key: j.ID, Value: work.Encode(j)})
}

// errIsolated refuses a record before anything was tried.
var errIsolated = fault.Newf("store_job", KindNotStored, "neither the store nor another failure domain is reached")

// Cancel stores the cancellation of a job, with the errors of Submit.
func (n *Node) Cancel(ctx context.Context, id string) error {
	return n.write(ctx, store.Record{Key: id + cancelSuffix, Value: []byte{1}})
}

// write stores a record, unless nothing is reached to store it.
func (n *Node) write(ctx context.Context, r store.Record) error {
	if n.isolation.isolated.Load() {
		return errIsolated
	}
	return n.writer.write(ctx, r)
}

// State returns the state of a job; known is false when there is no such job.
func (n *Node) State(ctx context.Context, id string) (state work.State, known bool, err error) {
	r, err := askLeader(ctx, n, "State", JobArgs{ID: id},
		func(l *leader) StateReply { return l.status(id) },
		func(r StateReply) bool { return r.Leading && (r.Known || r.Fresh) })
	return r.State, r.Known, err
}

// Pending counts the jobs of a queue that have not started.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	r, err := askLeader(ctx, n, "Pending", PendingArgs{Queue: queue},
		func(l *leader) PendingReply { return l.pending(queue) },
		func(r PendingReply) bool { return r.Leading })
	return r.Pending, err
}

// askLeader puts a question to the leader until the answer is good, which takes a
// while where another VM takes over. local answers it where this VM leads.
func askLeader[Args, Reply any](ctx context.Context, n *Node, method string, args Args, local func(*leader) Reply, good func(Reply) bool) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		if l := n.leading(); l != nil {
			if r := local(l); good(r) {
				return r, nil
			}
		} else if c, ok := n.election.leader(); ok {
			call, cancel := context.WithTimeout(ctx, stateTimeout)
			r, err := link.Call[Args, Reply](call, n.client, c.Address, method, args)
			cancel()
			if err == nil && good(r) {
				return r, nil
			}
		}
		if n.isolation.isolated.Load() || !pause(ctx, leaderPause) {
			var none Reply
			return none, fault.Newf("ask_leader", KindNoLeader, "no leader answers")
		}
	}
}
