// Package memory emulates the platform's store and its workers in process, for
// tests. Tests can inject faults into the connection of each VM to the store.
package memory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// Store holds the partitions of all topics in memory. It is safe for concurrent
// use.
type Store struct {
	mutex sync.Mutex
	logs  map[partitionKey]*partitionLog
	// changed is closed and replaced on each append, to wake waiting reads.
	changed chan struct{}
}

// partitionKey identifies one partition of a topic.
type partitionKey struct {
	topic     store.Topic
	partition int
}

// partitionLog holds the records of one partition.
type partitionLog struct {
	records []store.Record
	// firstOffset is the offset of the first element of records.
	firstOffset int64
	// producers maps the name of each producer to its last append.
	producers map[string]producerState
	// newestByKey holds the newest record of each key, including records that are
	// no longer in records.
	newestByKey map[string]store.Record
}

// producerState describes the last append of one producer. Append uses it to
// recognize retries and to refuse older epochs of the producer.
type producerState struct {
	epoch, sequence int64
	// lastEndOffset is the end of the partition after the last append. A retry of
	// that append returns the same end.
	lastEndOffset int64
}

// New returns an empty store.
func New() *Store {
	return &Store{logs: map[partitionKey]*partitionLog{}, changed: make(chan struct{})}
}

// logOf returns the log of a partition and creates it if it does not exist. The
// caller holds the mutex.
func (s *Store) logOf(t store.Topic, part int) *partitionLog {
	p := partitionKey{t, part}
	if s.logs[p] == nil {
		s.logs[p] = &partitionLog{producers: map[string]producerState{}, newestByKey: map[string]store.Record{}}
	}
	return s.logs[p]
}

// endOffset returns the offset that the next record gets.
func (l *partitionLog) endOffset() int64 { return l.firstOffset + int64(len(l.records)) }

// Append appends records to a partition and returns the end of the partition. A
// retry of a producer's last append returns the same end and appends nothing. The
// error is KindConflict when the condition or the producer's sequence does not
// match, and KindFenced when the producer's epoch is older than the last one.
func (s *Store) Append(a store.Append) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.logOf(a.Topic, a.Part)
	if a.Condition.Set && l.endOffset() != a.Condition.End {
		return 0, fault.Newf("append", store.KindConflict, "the partition ends at offset %d", l.endOffset())
	}
	if p := a.Producer; p != nil {
		last, known := l.producers[p.Name]
		switch {
		case known && p.Epoch < last.epoch:
			return 0, fault.Newf("append", store.KindFenced, "the producer has already appended with epoch %d", last.epoch)
		case known && p.Epoch == last.epoch && p.Sequence == last.sequence:
			return last.lastEndOffset, nil
		case known && p.Epoch == last.epoch && p.Sequence != last.sequence+1:
			return 0, fault.Newf("append", store.KindConflict, "the producer's next sequence number is %d", last.sequence+1)
		}
	}
	for _, r := range a.Records {
		r.Offset = l.endOffset()
		l.records = append(l.records, r)
		l.newestByKey[r.Key] = r
	}
	if p := a.Producer; p != nil {
		l.producers[p.Name] = producerState{p.Epoch, p.Sequence, l.endOffset()}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return l.endOffset(), nil
}

// DropRecords removes all records of a partition, as the platform does when their retention
// ends. Link.Newest still returns the newest record of each key.
func (s *Store) DropRecords(t store.Topic, part int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.logOf(t, part)
	l.firstOffset, l.records = l.endOffset(), nil
}

// Records returns the records of a partition that have not been dropped.
func (s *Store) Records(t store.Topic, part int) []store.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]store.Record(nil), s.logOf(t, part).records...)
}

// read returns the records from r.From to the end without waiting, and the
// channel that is closed on the next append. The error is KindDropped when the
// record at r.From has been dropped.
func (s *Store) read(r store.Read) (store.Batch, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.logOf(r.Topic, r.Part)
	if r.From < l.firstOffset {
		return store.Batch{}, nil, fault.Newf("read", store.KindDropped, "the partition begins at offset %d", l.firstOffset)
	}
	from := min(r.From-l.firstOffset, int64(len(l.records)))
	return store.Batch{Records: append([]store.Record(nil), l.records[from:]...), Next: l.endOffset(), End: l.endOffset()}, s.changed, nil
}

// Link is one VM's connection to a Store. Tests use it to inject faults.
type Link struct {
	Store *Store
	mutex sync.Mutex
	// refuseAll makes every call fail with KindRefused, without an effect.
	refuseAll bool
	// refusedPartitions are the partitions, in every topic, whose calls fail with
	// KindRefused.
	refusedPartitions map[int]bool
	// answersToLose is the number of upcoming appends whose answers are to be
	// lost.
	answersToLose int
	// appendDelays delays the appends to a topic, in addition to callDelay.
	appendDelays map[store.Topic]time.Duration
	// callDelay delays every call.
	callDelay time.Duration
}

// NewLink returns a connection to a store. No faults are injected until a method
// of the Link sets them.
func NewLink(s *Store) *Link {
	return &Link{Store: s, appendDelays: map[store.Topic]time.Duration{}, refusedPartitions: map[int]bool{}}
}

// DelayAppends delays the appends of this VM to a topic by d before they reach the
// store.
func (l *Link) DelayAppends(t store.Topic, d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appendDelays[t] = d
}

// RefuseCalls sets whether the store refuses all calls of this VM.
func (l *Link) RefuseCalls(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuseAll = on
}

// RefusePartition sets whether the store refuses this VM's calls to the partition
// with the number part, in every topic.
func (l *Link) RefusePartition(part int, on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refusedPartitions[part] = on
}

// DelayCalls delays all calls of this VM by d before they reach the store.
func (l *Link) DelayCalls(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.callDelay = d
}

// LoseAnswers drops the answers to the next n appends. The appends take effect, and the
// caller gets KindUnknown when its context ends.
func (l *Link) LoseAnswers(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answersToLose = n
}

// applyFaults waits for the call delay. It returns KindRefused when calls to the
// partition are refused.
func (l *Link) applyFaults(operation string, part int) error {
	l.mutex.Lock()
	delay := l.callDelay
	l.mutex.Unlock()
	time.Sleep(delay)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.refuseAll || l.refusedPartitions[part] {
		return fault.Newf(operation, store.KindRefused, "the store refuses the call")
	}
	return nil
}

// Append implements store.Store. When ctx ends first, it returns KindUnknown, and
// the append may still take effect.
func (l *Link) Append(ctx context.Context, a store.Append) (int64, error) {
	var end int64
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err = l.applyFaults("append", a.Part); err != nil {
			return
		}
		l.mutex.Lock()
		delay := l.appendDelays[a.Topic]
		l.mutex.Unlock()
		time.Sleep(delay)
		end, err = l.Store.Append(a)
		if l.loseNextAnswer() {
			<-ctx.Done()
		}
	}()
	select {
	case <-done:
		if ctx.Err() == nil {
			return end, err
		}
	case <-ctx.Done():
	}
	return 0, fault.New("append", store.KindUnknown, ctx.Err())
}

// loseNextAnswer reports whether to lose the answer to an append. If so, it
// decrements answersToLose.
func (l *Link) loseNextAnswer() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.answersToLose == 0 {
		return false
	}
	l.answersToLose--
	return true
}

// Read implements store.Store. The batch is empty if there are no records even
// after r.Wait.
func (l *Link) Read(ctx context.Context, r store.Read) (store.Batch, error) {
	deadline := time.Now().Add(r.Wait)
	for {
		if err := l.applyFaults("read", r.Part); err != nil {
			return store.Batch{}, err
		}
		batch, changed, err := l.Store.read(r)
		remaining := time.Until(deadline)
		if err != nil || len(batch.Records) > 0 || remaining <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-time.After(remaining):
		case <-ctx.Done():
			return store.Batch{}, fault.New("read", store.KindUnknown, ctx.Err())
		}
	}
}

// Newest implements store.Store. It omits keys whose newest record has no value.
func (l *Link) Newest(_ context.Context, t store.Topic, part int) (store.Snapshot, error) {
	if err := l.applyFaults("newest", part); err != nil {
		return store.Snapshot{}, err
	}
	l.Store.mutex.Lock()
	defer l.Store.mutex.Unlock()
	partition := l.Store.logOf(t, part)
	s := store.Snapshot{End: partition.endOffset()}
	for _, key := range slices.Sorted(maps.Keys(partition.newestByKey)) {
		if r := partition.newestByKey[key]; len(r.Value) > 0 {
			s.Records = append(s.Records, r)
		}
	}
	return s, nil
}
