package entryvm

import (
	"context"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// leaderCallTimeout limits one call to the leader.
	leaderCallTimeout = 500 * time.Millisecond
	// askLeaderTimeout limits a question to the leader including all retries. After
	// that, callers can ask again.
	askLeaderTimeout = 1500 * time.Millisecond
	// maxStateWait is how long the answer to a question about an active job is delayed,
	// in case the job ends meanwhile. Callers often ask just before the leader has the
	// report of the last run; without the delay they learn of the end only with their
	// next question. It is well below leaderCallTimeout.
	maxStateWait = 200 * time.Millisecond
	// askLeaderRetryPause is the pause before a question to the leader is repeated.
	askLeaderRetryPause = 100 * time.Millisecond
)

// Submit stores a job with the definition of its queue. The error has KindNotStored if the
// job is not stored and never will be, KindTooLarge if the store does not take a job of this
// size, and KindUnknown if it may be stored.
func (n *Node) Submit(ctx context.Context, j *work.Job) error {
	r, err := n.EncodeJob(j)
	if err != nil {
		return err
	}
	return n.SubmitRecord(ctx, r)
}

// EncodeJob returns the record of a job for SubmitRecord. It sets the definition of the queue in
// the job. The error has KindTooLarge if the store does not take a job of this size.
func (n *Node) EncodeJob(j *work.Job) (store.Record, error) {
	j.Definition = n.queueDefinition(j.Queue)
	r := store.Record{Key: j.ID, Value: work.Encode(j)}
	if size := r.EncodedSize(); size > n.settings.MaxRecordBytes {
		return store.Record{}, fault.Newf("store_job", KindTooLarge, "the job takes %d bytes in the store, which are more than %d", size, n.settings.MaxRecordBytes)
	}
	return r, nil
}

// SubmitRecord stores a record of EncodeJob. It returns the same errors as Submit.
func (n *Node) SubmitRecord(ctx context.Context, r store.Record) error {
	return n.storeJobRecord(ctx, r)
}

// queueDefinition returns a queue as it is configured, without what only matters for
// requests: its host and prefix, and whether it is public. It returns nil if there is none
// or a leader would not accept it.
func (n *Node) queueDefinition(name string) *queue.Queue {
	table := n.Table()
	if table == nil {
		return nil
	}
	q := table.Queue(name)
	if q == nil || q.Validate() != "" {
		return nil
	}
	definition := *q
	definition.Host, definition.Prefix, definition.Public = "", "", false
	return &definition
}

// errIsolated is the error of Submit and Cancel while this VM is isolated. In that case
// they send nothing to the store.
var errIsolated = fault.Newf("store_job", KindNotStored, "this VM reaches neither the store nor another failure domain")

// Cancel stores the cancellation of a job. It returns the same errors as Submit, except
// KindTooLarge.
func (n *Node) Cancel(ctx context.Context, id string) error {
	return n.storeJobRecord(ctx, store.Record{Key: id + cancelKeySuffix, Value: []byte{1}})
}

// storeJobRecord stores a record, unless this VM is isolated.
func (n *Node) storeJobRecord(ctx context.Context, r store.Record) error {
	if n.isolation.isolated.Load() {
		return errIsolated
	}
	return n.writer.write(ctx, r)
}

// State returns the state of a job; known is false if the job does not exist. While the
// job is active, State waits for its end for up to maxStateWait. The error has
// KindNoLeader if no leader answers within askLeaderTimeout, or this VM is isolated.
func (n *Node) State(ctx context.Context, id string) (state work.State, known bool, err error) {
	wait := maxStateWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(min(wait, time.Until(deadline)/2), 0)
	}
	r, err := askLeader(ctx, n, "State", StateArgs{ID: id, Wait: wait},
		func(l *leader) StateReply { return l.awaitJobStatus(id, wait) },
		func(r StateReply) bool { return r.Leading && (r.Known || r.Fresh) })
	return r.State, r.Known, err
}

// Pending returns the number of jobs of a queue that have not started. It returns the
// same errors as State, also if the leader may not know all accepted jobs.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	r, err := askLeader(ctx, n, "Pending", PendingJobsArgs{Queue: queue},
		func(l *leader) PendingJobsReply { return l.pendingJobs(queue) },
		func(r PendingJobsReply) bool { return r.Leading })
	return r.Pending, err
}

// askLeader calls an RPC method of the leader and returns the first reply for which
// accept returns true. It retries, since it takes a while until a new leader has taken
// over. If this VM leads, askLeader calls callLocal instead of the RPC method.
func askLeader[Args, Reply any](ctx context.Context, n *Node, method string, args Args, callLocal func(*leader) Reply, accept func(Reply) bool) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askLeaderTimeout)
	defer cancel()
	for {
		if l := n.activeLeader(); l != nil {
			if r := callLocal(l); accept(r) {
				return r, nil
			}
		} else if c, ok := n.election.knownLeader(); ok {
			callCtx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
			r, err := link.Call[Args, Reply](callCtx, n.peerClient, c.Address, method, args)
			cancel()
			if err == nil && accept(r) {
				return r, nil
			}
		}
		if n.isolation.isolated.Load() || !sleep(ctx, askLeaderRetryPause) {
			var zero Reply
			return zero, fault.Newf("ask_leader", KindNoLeader, "no leader answers")
		}
	}
}
