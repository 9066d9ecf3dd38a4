package entryvm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// writeRetryPause is the pause after a failed append.
	writeRetryPause = 60 * time.Millisecond
	// maxAppendRecords limits the records of one append.
	maxAppendRecords = 200
	// minAppendMargin is the shortest time before the deadline of a caller at which an
	// append may be retried. The margin is longer while the store is slow, and
	// relayedAppendMargin while it is reached through other VMs.
	minAppendMargin     = 30 * time.Millisecond
	relayedAppendMargin = 300 * time.Millisecond
	// defaultWriteTimeout limits the writing of a record for a caller without a deadline.
	defaultWriteTimeout = 10 * time.Second
)

// jobWriter stores job records. One append contains all pending records, up to
// maxAppendRecords. It writes to one partition and moves on to the next when an append
// fails: the leader reads all partitions and ignores a record that it already knows.
type jobWriter struct {
	node *Node
	// wake wakes run after a record is added.
	wake  chan struct{}
	mutex sync.Mutex
	// pending holds the records that are not stored, oldest first.
	pending []*pendingWrite
	// partition is the partition that the next append goes to.
	partition int
}

// pendingWrite is a record that a caller waits to be stored.
type pendingWrite struct {
	record store.Record
	// stored is closed when the record is stored.
	stored chan struct{}
	// deadline is when the caller needs an answer.
	deadline time.Time
	// expired is closed when the record is given up: too little time is left for another
	// append, or this VM is isolated.
	expired chan struct{}
	// inFlight is true while an append with the record has no answer.
	inFlight bool
	// attempted is true once an append with the record was started.
	attempted bool
	// maybeStored is true if a failed append may have stored the record.
	maybeStored bool
}

func newJobWriter(n *Node) *jobWriter {
	return &jobWriter{node: n, wake: make(chan struct{}, 1), partition: int(xxhash.Sum64String(n.settings.Name) % uint64(n.settings.Partitions))}
}

// write stores a record. The error has KindNotStored if the record is not stored and
// never will be, and KindUnknown if it may be.
func (w *jobWriter) write(ctx context.Context, r store.Record) error {
	p := &pendingWrite{record: r, stored: make(chan struct{}), expired: make(chan struct{}), deadline: time.Now().Add(defaultWriteTimeout)}
	if deadline, ok := ctx.Deadline(); ok {
		p.deadline = deadline
	}
	w.mutex.Lock()
	w.pending = append(w.pending, p)
	w.mutex.Unlock()
	signal(w.wake)
	select {
	case <-p.stored:
		return nil
	case <-p.expired:
		return w.withdraw(p)
	case <-ctx.Done():
		return w.withdraw(p)
	}
}

// appendMargin returns the time that must be left until a caller's deadline to retry
// an append.
func (w *jobWriter) appendMargin() time.Duration {
	if w.node.store.down.Load() {
		return relayedAppendMargin
	}
	return max(2*time.Duration(w.node.store.latency.Load()), minAppendMargin)
}

// withdraw removes a record from the pending ones. It returns nil if the record is
// already stored, and otherwise the error for the caller.
func (w *jobWriter) withdraw(p *pendingWrite) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-p.stored:
		return nil
	default:
	}
	for i := range w.pending {
		if w.pending[i] == p {
			w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
			break
		}
	}
	if p.inFlight || p.maybeStored {
		return fault.Newf("store_job", KindUnknown, "the store has not answered the append")
	}
	return fault.Newf("store_job", KindNotStored, "the store has not accepted the record in time")
}

// expireAll fails all pending records, so that their callers can use another VM.
func (w *jobWriter) expireAll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, p := range w.pending {
		close(p.expired)
	}
	w.pending = nil
}

// run appends the pending records until ctx is done.
func (w *jobWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for ctx.Err() == nil {
			batch := w.nextBatch()
			if len(batch) == 0 {
				break
			}
			if !w.appendBatch(ctx, batch) {
				sleep(ctx, writeRetryPause)
			}
		}
	}
}

// nextBatch returns the records for the next append. It first fails the records whose
// deadline is too close for another append. No append is in flight at this point, so a
// record that was refused every time is certainly not stored.
func (w *jobWriter) nextBatch() []*pendingWrite {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	margin := w.appendMargin()
	w.pending = slices.DeleteFunc(w.pending, func(p *pendingWrite) bool {
		late := p.attempted && time.Until(p.deadline) < margin
		if late {
			close(p.expired)
		}
		return late
	})
	batch := append([]*pendingWrite(nil), w.pending[:min(len(w.pending), maxAppendRecords)]...)
	for _, p := range batch {
		p.inFlight, p.attempted = true, true
	}
	return batch
}

// appendBatch stores a batch and reports whether that succeeded. It then notifies the
// leader in the background.
func (w *jobWriter) appendBatch(ctx context.Context, batch []*pendingWrite) bool {
	records := make([]store.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	callCtx, cancel := context.WithTimeout(ctx, maxAppendTimeout+maxRelayAttempts*relayTimeout)
	_, err := w.node.store.Append(callCtx, store.Append{Topic: store.Jobs, Part: w.partition, Records: records})
	cancel()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, p := range batch {
		p.inFlight = false
		p.maybeStored = p.maybeStored || (err != nil && storeKind(err) != store.KindRefused)
	}
	if err != nil {
		w.node.log.Info("jobs_not_stored", "records", len(batch), "partition", w.partition, "error", err.Error())
		w.partition = (w.partition + 1) % w.node.settings.Partitions
		return false
	}
	for _, p := range batch {
		close(p.stored)
	}
	kept := w.pending[:0]
	for _, p := range w.pending {
		select {
		case <-p.stored:
		default:
			kept = append(kept, p)
		}
	}
	w.pending = kept
	go w.notifyLeader(records)
	return true
}

const (
	// maxNotifyAttempts limits the attempts to notify the leader, and notifyRetryPause is
	// the pause between them. Together they last about as long as a take-over. If all
	// fail, the leader reads the records from the store later.
	maxNotifyAttempts = 8
	notifyRetryPause  = 150 * time.Millisecond
)

// notifyLeader sends stored records to the leader, so that it knows them before it
// reads them from the store.
func (w *jobWriter) notifyLeader(records []store.Record) {
	for range maxNotifyAttempts {
		if w.tryNotifyLeader(records) || !sleep(w.node.ctx, notifyRetryPause) {
			return
		}
	}
	w.node.log.Info("leader_not_told", "records", len(records))
}

// tryNotifyLeader sends stored records to the leader once and reports whether it has
// accepted them.
func (w *jobWriter) tryNotifyLeader(records []store.Record) bool {
	if l := w.node.activeLeader(); l != nil {
		return l.addStoredJobs(records)
	}
	c, ok := w.node.election.knownLeader()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(w.node.ctx, leaderCallTimeout)
	defer cancel()
	r, err := link.Call[JobsArgs, JobsReply](ctx, w.node.client, c.Address, "Jobs", JobsArgs{Records: records})
	if err != nil {
		w.node.log.V(1).Info("leader_did_not_answer", "leader", c.Name, "records", len(records), "error", err.Error())
	}
	return err == nil && r.Taken
}
