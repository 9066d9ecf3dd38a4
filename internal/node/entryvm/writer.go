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
	// writePause is the wait after an append that failed.
	writePause = 60 * time.Millisecond
	// mostWrites bounds the records of one append.
	mostWrites = 200
	// leastMargin is kept of a caller's time for an append; more while the store
	// is slow, and downMargin while it is reached through other VMs.
	leastMargin = 30 * time.Millisecond
	downMargin  = 300 * time.Millisecond
	// defaultWriteTime is how long a record is tried for a caller without a
	// deadline.
	defaultWriteTime = 10 * time.Second
)

// jobWriter stores job records, all that wait in one append. It writes to one
// partition and moves to the next when that one fails: the leader reads all of
// them and ignores a record that it knows.
type jobWriter struct {
	node  *Node
	wake  chan struct{}
	mutex sync.Mutex
	// waiting holds the records that are not stored, oldest first.
	waiting   []*jobWrite
	partition int
}

// jobWrite is a record on its way to the store.
type jobWrite struct {
	record store.Record
	stored chan struct{}
	// until is when the caller has to be answered.
	until time.Time
	// expired is closed when there is no time for another append.
	expired chan struct{}
	// inFlight tells that an append with the record has no answer yet.
	inFlight bool
	// tried tells that at least one append was made.
	tried bool
	// uncertain tells that an append may have stored the record.
	uncertain bool
}

func newJobWriter(n *Node) *jobWriter {
	return &jobWriter{node: n, wake: make(chan struct{}, 1), partition: int(xxhash.Sum64String(n.settings.Name) % uint64(n.settings.Partitions))}
}

// write stores a record. It returns KindNotStored only when the record is not
// stored and never will be.
func (w *jobWriter) write(ctx context.Context, r store.Record) error {
	v := &jobWrite{record: r, stored: make(chan struct{}), expired: make(chan struct{}), until: time.Now().Add(defaultWriteTime)}
	if until, ok := ctx.Deadline(); ok {
		v.until = until
	}
	w.mutex.Lock()
	w.waiting = append(w.waiting, v)
	w.mutex.Unlock()
	signal(w.wake)
	select {
	case <-v.stored:
		return nil
	case <-v.expired:
		return w.giveUp(v)
	case <-ctx.Done():
		return w.giveUp(v)
	}
}

// margin is the time that an append should be given.
func (w *jobWriter) margin() time.Duration {
	if w.node.store.down.Load() {
		return downMargin
	}
	return max(2*time.Duration(w.node.store.latency.Load()), leastMargin)
}

// giveUp takes a record back.
func (w *jobWriter) giveUp(v *jobWrite) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	select {
	case <-v.stored:
		return nil
	default:
	}
	for i := range w.waiting {
		if w.waiting[i] == v {
			w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
			break
		}
	}
	if v.inFlight || v.uncertain {
		return fault.Newf("store_job", KindUnknown, "the store has not answered")
	}
	return fault.Newf("store_job", KindNotStored, "the store takes nothing")
}

// expireAll answers the callers of all records for which nothing can be done here.
func (w *jobWriter) expireAll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, v := range w.waiting {
		close(v.expired)
	}
	w.waiting = nil
}

func (w *jobWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for ctx.Err() == nil {
			batch := w.next()
			if len(batch) == 0 {
				break
			}
			if !w.append(ctx, batch) {
				pause(ctx, writePause)
			}
		}
	}
}

// next returns the records of the next append. Callers whose time does not allow
// for another one are told now, while it is certain that nothing is on its way.
func (w *jobWriter) next() []*jobWrite {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	margin := w.margin()
	w.waiting = slices.DeleteFunc(w.waiting, func(v *jobWrite) bool {
		late := v.tried && time.Until(v.until) < margin
		if late {
			close(v.expired)
		}
		return late
	})
	batch := append([]*jobWrite(nil), w.waiting[:min(len(w.waiting), mostWrites)]...)
	for _, v := range batch {
		v.inFlight, v.tried = true, true
	}
	return batch
}

// append stores a batch and tells the leader; it reports whether it is stored.
func (w *jobWriter) append(ctx context.Context, batch []*jobWrite) bool {
	records := make([]store.Record, len(batch))
	for i, v := range batch {
		records[i] = v.record
	}
	call, cancel := context.WithTimeout(ctx, mostPatience+relayTries*relayTimeout)
	_, err := w.node.store.Append(call, store.Append{Topic: store.Jobs, Part: w.partition, Records: records})
	cancel()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, v := range batch {
		v.inFlight = false
		v.uncertain = v.uncertain || (err != nil && kindOf(err) != store.KindRefused)
	}
	if err != nil {
		w.node.log.Info("jobs_not_stored", "records", len(batch), "partition", w.partition, "error", err.Error())
		w.partition = (w.partition + 1) % w.node.settings.Partitions
		return false
	}
	for _, v := range batch {
		close(v.stored)
	}
	kept := w.waiting[:0]
	for _, v := range w.waiting {
		select {
		case <-v.stored:
		default:
			kept = append(kept, v)
		}
	}
	w.waiting = kept
	go w.tell(records)
	return true
}

const (
	// tellTries bounds how often the leader is told, and tellPause is the wait
	// between: a take-over takes about their product. The leader reads the records
	// some time later anyway.
	tellTries = 8
	tellPause = 150 * time.Millisecond
)

// tell hands stored records to the leader, which would read them a little later.
func (w *jobWriter) tell(records []store.Record) {
	for range tellTries {
		if w.tellOnce(records) || !pause(w.node.run, tellPause) {
			return
		}
	}
	w.node.log.Info("leader_not_told", "records", len(records))
}

// tellOnce reports whether the leader knows the records.
func (w *jobWriter) tellOnce(records []store.Record) bool {
	if l := w.node.leading(); l != nil {
		return l.takeJobs(records)
	}
	c, ok := w.node.election.leader()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(w.node.run, stateTimeout)
	defer cancel()
	r, err := link.Call[JobsArgs, JobsReply](ctx, w.node.client, c.Address, "Jobs", JobsArgs{Records: records})
	if err != nil {
		w.node.log.V(1).Info("leader_did_not_answer", "leader", c.Name, "records", len(records), "error", err.Error())
	}
	return err == nil && r.Taken
}
