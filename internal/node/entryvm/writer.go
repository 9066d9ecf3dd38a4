package entryvm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// writeRetryPause is the pause after a failed append.
	writeRetryPause = 60 * time.Millisecond
	// maxRecordsPerAppend is the maximum number of records in one append.
	maxRecordsPerAppend = 200
	// minTimeForAppend is the least time that must be left until a caller's deadline
	// for a failed append to be retried. More time must be left while the store is
	// slow. While the store is reached through other VMs, relayedTimeForAppend must be
	// left.
	minTimeForAppend     = 30 * time.Millisecond
	relayedTimeForAppend = 300 * time.Millisecond
	// defaultWriteTimeout limits how long a caller without a deadline waits until its
	// record is stored.
	defaultWriteTimeout = 10 * time.Second
)

// jobWriter stores job records. One append contains all pending records, up to
// maxRecordsPerAppend and the size of an append. It writes to one partition and moves on to the next when an
// append fails. A record may therefore be stored in two partitions; the leader reads
// all of them and ignores a record that it already knows.
type jobWriter struct {
	node *Node
	// recordAddedSignal wakes run after a record was added to pendingWrites.
	recordAddedSignal chan struct{}
	mutex             sync.Mutex
	// pendingWrites holds the records that are not stored yet, oldest first.
	pendingWrites []*pendingWrite
	// currentPartition is the partition that the next append goes to.
	currentPartition int
	// singleAppends is the number of records that are appended one by one, because the store
	// refuses one of them for its content.
	singleAppends int
}

// pendingWrite is a record whose caller waits until it is stored.
type pendingWrite struct {
	record store.Record
	// stored is closed when the record is stored.
	stored chan struct{}
	// deadline is the time until which the caller waits for the result.
	deadline time.Time
	// failed is closed when no further attempt is made to store the record, because too
	// little time is left, this VM is isolated or the store refuses the record for its content.
	failed chan struct{}
	// invalid is true in the last case. It is set before failed is closed.
	invalid bool
	// inFlight is true while an append that contains the record is not answered.
	inFlight bool
	// attempted is true once an append that contains the record was started.
	attempted bool
	// maybeStored is true if a failed append may have stored the record.
	maybeStored bool
}

func newJobWriter(n *Node) *jobWriter {
	return &jobWriter{node: n, recordAddedSignal: make(chan struct{}, 1), currentPartition: int(xxhash.Sum64String(n.settings.Name) % uint64(n.settings.Partitions))}
}

// write stores a record. The error has KindNotStored if the record is not stored and
// never will be, KindTooLarge if the store also refuses it for its content, and KindUnknown if
// it may be stored.
func (w *jobWriter) write(ctx context.Context, r store.Record) error {
	p := &pendingWrite{record: r, stored: make(chan struct{}), failed: make(chan struct{}), deadline: time.Now().Add(defaultWriteTimeout)}
	if deadline, ok := ctx.Deadline(); ok {
		p.deadline = deadline
	}
	w.mutex.Lock()
	w.pendingWrites = append(w.pendingWrites, p)
	w.mutex.Unlock()
	trySignal(w.recordAddedSignal)
	select {
	case <-p.stored:
		return nil
	case <-p.failed:
		return w.withdrawWrite(p)
	case <-ctx.Done():
		return w.withdrawWrite(p)
	}
}

// requiredTimeForAppend returns how much time must be left until a caller's deadline for an
// append to be retried.
func (w *jobWriter) requiredTimeForAppend() time.Duration {
	if w.node.store.unreachable.Load() {
		return relayedTimeForAppend
	}
	return max(2*time.Duration(w.node.store.appendLatency.Load()), minTimeForAppend)
}

// withdrawWrite stops trying to store a record. It returns nil if the record is already
// stored, and otherwise the error for the caller.
func (w *jobWriter) withdrawWrite(p *pendingWrite) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-p.stored:
		return nil
	default:
	}
	for i := range w.pendingWrites {
		if w.pendingWrites[i] == p {
			w.pendingWrites = append(w.pendingWrites[:i:i], w.pendingWrites[i+1:]...)
			break
		}
	}
	if p.invalid {
		return fault.Newf("store_job", KindTooLarge, "the store refuses the record of %d bytes", p.record.EncodedSize())
	}
	if p.inFlight || p.maybeStored {
		return fault.Newf("store_job", KindUnknown, "the store has not answered the append")
	}
	return fault.Newf("store_job", KindNotStored, "the store has not accepted the record in time")
}

// failPendingWrites makes write return an error for all pending records, so that their callers
// can use another VM.
func (w *jobWriter) failPendingWrites() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, p := range w.pendingWrites {
		close(p.failed)
	}
	w.pendingWrites = nil
}

// run appends the pending records until ctx is done.
func (w *jobWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.recordAddedSignal:
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
	margin := w.requiredTimeForAppend()
	w.pendingWrites = slices.DeleteFunc(w.pendingWrites, func(p *pendingWrite) bool {
		late := p.attempted && time.Until(p.deadline) < margin
		if late {
			close(p.failed)
		}
		return late
	})
	batch := slices.Clone(w.pendingWrites[:min(len(w.pendingWrites), maxRecordsPerAppend)])
	if groups := store.SplitRecords(recordsOf(batch), w.node.settings.MaxAppendBytes); len(groups) > 0 {
		batch = batch[:len(groups[0])]
	}
	if w.singleAppends > 0 && len(batch) > 0 {
		batch = batch[:1]
		w.singleAppends--
	}
	for _, p := range batch {
		p.inFlight, p.attempted = true, true
	}
	return batch
}

// recordsOf returns the records of a batch.
func recordsOf(batch []*pendingWrite) []store.Record {
	records := make([]store.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	return records
}

// appendBatch stores a batch and reports whether that succeeded. It then notifies the
// leader in the background.
func (w *jobWriter) appendBatch(ctx context.Context, batch []*pendingWrite) bool {
	records := recordsOf(batch)
	callCtx, cancel := context.WithTimeout(ctx, maxAppendTimeout+maxRelayAttempts*relayTimeout)
	_, err := w.node.store.Append(callCtx, store.Append{Topic: store.Jobs, Part: w.currentPartition, Records: records})
	cancel()
	invalid := err != nil && storeErrorKind(err) == store.KindInvalid
	maybeStored := err != nil && !invalid && storeErrorKind(err) != store.KindRefused
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, p := range batch {
		p.inFlight = false
		p.maybeStored = p.maybeStored || maybeStored
	}
	if invalid {
		w.refuseBatch(batch, err)
		return true
	}
	if err != nil {
		w.node.log.Info("jobs_not_stored", "records", len(batch), "partition", w.currentPartition, "error", err.Error())
		w.currentPartition = (w.currentPartition + 1) % w.node.settings.Partitions
		return false
	}
	for _, p := range batch {
		close(p.stored)
	}
	kept := w.pendingWrites[:0]
	for _, p := range w.pendingWrites {
		select {
		case <-p.stored:
		default:
			kept = append(kept, p)
		}
	}
	w.pendingWrites = kept
	go w.notifyLeader(records)
	return true
}

// refuseBatch handles a batch that the store refuses for its content. A single record fails,
// and those of a larger batch are appended one by one, so that only the callers of invalid
// records are told so. The caller must hold the mutex.
func (w *jobWriter) refuseBatch(batch []*pendingWrite, cause error) {
	if len(batch) > 1 {
		w.singleAppends = len(batch)
		return
	}
	p := batch[0]
	w.node.measures.Count(measure.Key{Name: "job_records_refused"})
	w.node.log.Error(cause, "job_refused", "key", p.record.Key, "bytes", p.record.EncodedSize())
	w.pendingWrites = slices.DeleteFunc(w.pendingWrites, func(o *pendingWrite) bool { return o == p })
	p.invalid = true
	close(p.failed)
}

const (
	// maxNotifyLeaderAttempts limits the attempts to notify the leader, and
	// notifyLeaderRetryPause is the pause between them. All attempts together take
	// about as long as a take-over. If all fail, the leader reads the records from the
	// store later.
	maxNotifyLeaderAttempts = 8
	notifyLeaderRetryPause  = 150 * time.Millisecond
)

// notifyLeader sends stored records to the leader, so that the leader knows them before
// it reads them from the store.
func (w *jobWriter) notifyLeader(records []store.Record) {
	for range maxNotifyLeaderAttempts {
		if w.tryNotifyLeader(records) || !sleep(w.node.ctx, notifyLeaderRetryPause) {
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
	r, err := link.Call[StoredJobsArgs, StoredJobsReply](ctx, w.node.peerClient, c.Address, "Jobs", StoredJobsArgs{Records: records})
	if err != nil {
		w.node.log.V(1).Info("leader_did_not_answer", "leader", c.Name, "records", len(records), "error", err.Error())
	}
	return err == nil && r.Taken
}
