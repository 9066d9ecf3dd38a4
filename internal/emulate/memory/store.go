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
	// recordBytes limits the key and the value of a record with the length of the key,
	// and appendBytes the records of an append with their lengths.
	recordBytes, appendBytes int
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
	// producers maps the name of each producer to its last appends.
	producers map[string]producerState
	// newestByKey holds the newest record of each key, including records that are
	// no longer in records.
	newestByKey map[string]store.Record
}

// producerState describes the appends of one producer to a partition. Append uses it to
// recognize retries and to refuse older epochs of the producer.
type producerState struct {
	epoch int64
	// last holds the last appends of the epoch, at most rememberedAppends, oldest first.
	// It is empty if the epoch was only set.
	last []rememberedAppend
}

// rememberedAppend is an append whose retry gets the same answer.
type rememberedAppend struct{ sequence, endOffset int64 }

const (
	// rememberedAppends is the number of appends of a producer whose retries are
	// recognized.
	rememberedAppends = 5
	// defaultRecordBytes and defaultAppendBytes are the values of Store.recordBytes and
	// Store.appendBytes unless LimitAppends sets others.
	defaultRecordBytes = 262144
	defaultAppendBytes = 2097152
	// maxPageRecords and maxPageBytes limit a page of the newest records. A page contains
	// at least one record.
	maxPageRecords = 500
	maxPageBytes   = 1 << 20
	// maxReadBytes limits the records of a read. A read returns at least one record.
	maxReadBytes = 1 << 20
)

// New returns an empty store.
func New() *Store {
	return &Store{logs: map[partitionKey]*partitionLog{}, changed: make(chan struct{}), recordBytes: defaultRecordBytes, appendBytes: defaultAppendBytes}
}

// LimitAppends sets the largest size of a record, which consists of its key and value with
// the length of the key, and of the records of an append with their lengths, in bytes.
func (s *Store) LimitAppends(recordBytes, appendBytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordBytes, s.appendBytes = recordBytes, appendBytes
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

// checkSizes returns KindInvalid for an append that exceeds the limits of the store. The
// caller holds the mutex.
func (s *Store) checkSizes(records []store.Record) error {
	total := 0
	for i := range records {
		size := records[i].EncodedSize()
		total += size
		if len(records[i].Key) > store.MaxKeyBytes || size-recordLengthBytes > s.recordBytes {
			return fault.Newf("append", store.KindInvalid, "the record of %.40s has %d bytes", records[i].Key, size)
		}
	}
	if total > s.appendBytes {
		return fault.Newf("append", store.KindInvalid, "the append has %d bytes", total)
	}
	return nil
}

// recordLengthBytes is the size of the length that precedes each record.
const recordLengthBytes = 4

// Append appends records to a partition and returns the end of the partition. A retry of
// one of a producer's last five appends returns the same end and appends nothing; an
// append without records only sets the epoch. The error is KindInvalid when the append is
// too large, and KindFenced when the producer's epoch is older than the last one. It is
// KindConflict when the condition or the producer's sequence does not match; Append then
// returns the end offset or the next sequence number, respectively.
func (s *Store) Append(a store.Append) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkSizes(a.Records); err != nil {
		return 0, err
	}
	l := s.logOf(a.Topic, a.Part)
	if a.Condition.Set && l.endOffset() != a.Condition.End {
		return l.endOffset(), fault.Newf("append", store.KindConflict, "the partition ends at offset %d", l.endOffset())
	}
	if p := a.Producer; p != nil {
		state, known := l.producers[p.Name]
		switch {
		case known && p.Epoch < state.epoch:
			return 0, fault.Newf("append", store.KindFenced, "the producer has already appended with epoch %d", state.epoch)
		case !known || p.Epoch > state.epoch:
			state = producerState{epoch: p.Epoch}
		}
		if len(a.Records) > 0 && len(state.last) > 0 {
			for _, earlier := range state.last {
				if earlier.sequence == p.Sequence {
					return earlier.endOffset, nil
				}
			}
			if next := state.last[len(state.last)-1].sequence + 1; p.Sequence != next {
				return next, fault.Newf("append", store.KindConflict, "the producer's next sequence number is %d", next)
			}
		}
		if len(a.Records) > 0 {
			state.last = append(slices.Clone(state.last[max(len(state.last)-rememberedAppends+1, 0):]), rememberedAppend{p.Sequence, l.endOffset() + int64(len(a.Records))})
		}
		l.producers[p.Name] = state
	}
	for _, r := range a.Records {
		r.Offset = l.endOffset()
		l.records = append(l.records, r)
		l.newestByKey[r.Key] = r
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

// read returns the records from r.From on without waiting, but no more than maxReadBytes
// of them, and the channel that is closed on the next append. The error is KindDropped
// when the record at r.From has been dropped; the batch then continues at the first
// record.
func (s *Store) read(r store.Read) (store.Batch, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.logOf(r.Topic, r.Part)
	if r.From < l.firstOffset {
		return store.Batch{Next: l.firstOffset, End: l.endOffset()}, nil, fault.Newf("read", store.KindDropped, "the partition begins at offset %d", l.firstOffset)
	}
	from := min(r.From-l.firstOffset, int64(len(l.records)))
	batch := store.Batch{Next: l.firstOffset + from, End: l.endOffset()}
	size := 0
	for _, record := range l.records[from:] {
		if size += record.EncodedSize(); size > maxReadBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, record)
		batch.Next++
	}
	return batch, s.changed, nil
}

// newestPage returns the newest records of the keys that follow after, in the order of
// the keys. It omits keys whose newest record has no value, and records at and after the
// offset hiddenFrom unless that is negative. A page has at most maxRecords records.
func (s *Store) newestPage(t store.Topic, part int, after string, hiddenFrom int64, maxRecords int) store.Page {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.logOf(t, part)
	page := store.Page{End: l.endOffset()}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(l.newestByKey)) {
		r := l.newestByKey[key]
		if key <= after || len(r.Value) == 0 || (hiddenFrom >= 0 && r.Offset >= hiddenFrom) {
			continue
		}
		size += r.EncodedSize()
		if len(page.Records) == maxRecords || (size > maxPageBytes && len(page.Records) > 0) {
			page.HasMore = true
			break
		}
		page.Records = append(page.Records, r)
	}
	return page
}

// Link is one VM's connection to a Store. Tests use it to inject faults.
type Link struct {
	Store *Store
	mutex sync.Mutex
	// refuseAll makes every call fail with KindRefused, without an effect.
	refuseAll bool
	// resetAll makes every call fail with KindUnknown at once, without an effect.
	resetAll bool
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
	// lateAppends is the number of upcoming appends that get no answer and are executed
	// by executeLate.
	lateAppends int
	executeLate func(execute func())
	// betweenPages is called before each page after the first, unless it is nil.
	betweenPages func(t store.Topic, part int)
	// changesHidden makes pages after the first one omit the records that were appended
	// since that. firstPageEnds holds the end offsets of the first pages.
	changesHidden bool
	firstPageEnds map[partitionKey]int64
	// pageRecords limits the records of a page.
	pageRecords int
	// silence is closed and replaced when the reads that wait for records are never to be
	// answered. silentTopics are the topics of which no read is answered. silenceAll makes
	// all calls get no answer and have no effect, unless executeSilent, which may be nil,
	// makes the store carry out their appends.
	silence       chan struct{}
	silentTopics  map[store.Topic]bool
	silenceAll    bool
	executeSilent func(execute func())
}

// NewLink returns a connection to a store. No faults are injected until a method
// of the Link sets them.
func NewLink(s *Store) *Link {
	return &Link{Store: s, appendDelays: map[store.Topic]time.Duration{}, refusedPartitions: map[int]bool{}, firstPageEnds: map[partitionKey]int64{}, pageRecords: maxPageRecords, silence: make(chan struct{}), silentTopics: map[store.Topic]bool{}}
}

// SilenceWaitingReads makes the reads that wait for records at the moment get no answer.
func (l *Link) SilenceWaitingReads() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.silence)
	l.silence = make(chan struct{})
}

// SilenceTopic makes all reads of a topic get no answer.
func (l *Link) SilenceTopic(t store.Topic) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silentTopics[t] = true
	close(l.silence)
	l.silence = make(chan struct{})
}

// SilenceCalls sets whether all calls of this VM get no answer and have no effect. Reads
// that wait for records when it is switched on get no answer either.
func (l *Link) SilenceCalls(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silenceAll = on
	close(l.silence)
	l.silence = make(chan struct{})
}

// ExecuteSilentAppends makes the appends that get no answer because of SilenceCalls take
// effect late: each is passed to schedule, which may call execute, in any order and at any
// time, to make the store carry it out.
func (l *Link) ExecuteSilentAppends(schedule func(execute func())) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.executeSilent = schedule
}

// ResetCalls sets whether all calls of this VM end without an answer at once, as if the
// store closed the connections, and have no effect.
func (l *Link) ResetCalls(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resetAll = on
}

// LateAppends makes the next n appends get no answer. Each is passed to schedule, which
// must call execute, in any order and at any time, to make the store carry it out.
func (l *Link) LateAppends(n int, schedule func(execute func())) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lateAppends, l.executeLate = n, schedule
}

// BetweenPages makes this VM's reads of the newest records call f before each page after
// the first.
func (l *Link) BetweenPages(f func(t store.Topic, part int)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.betweenPages = f
}

// LimitPages makes the store return at most n newest records in one page.
func (l *Link) LimitPages(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pageRecords = n
}

// HideChangesBetweenPages sets whether pages after the first one omit the records that
// were appended since the first one. They show them otherwise.
func (l *Link) HideChangesBetweenPages(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changesHidden = on
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
// partition are refused, and KindUnknown when calls are reset, or when ctx ends while they
// get no answer.
func (l *Link) applyFaults(ctx context.Context, operation string, part int) error {
	l.mutex.Lock()
	delay, silent := l.callDelay, l.silenceAll
	l.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return fault.New(operation, store.KindUnknown, ctx.Err())
	}
	time.Sleep(delay)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.resetAll {
		return fault.Newf(operation, store.KindUnknown, "the connection was reset")
	}
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
		if schedule := l.silentAppend(); schedule != nil {
			schedule(func() { _, _ = l.Store.Append(a) })
		}
		if err = l.applyFaults(ctx, "append", a.Part); err != nil {
			return
		}
		l.mutex.Lock()
		delay := l.appendDelays[a.Topic]
		l.mutex.Unlock()
		time.Sleep(delay)
		if schedule := l.takeLateAppend(); schedule != nil {
			schedule(func() { _, _ = l.Store.Append(a) })
			<-ctx.Done()
			return
		}
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

// silentAppend returns how to execute an append that gets no answer because of
// SilenceCalls, and nil if it is not to be executed.
func (l *Link) silentAppend() func(execute func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.silenceAll {
		return nil
	}
	return l.executeSilent
}

// takeLateAppend returns how to execute the append if it is to be executed late, and nil
// otherwise. It decrements lateAppends.
func (l *Link) takeLateAppend() func(execute func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.lateAppends == 0 {
		return nil
	}
	l.lateAppends--
	return l.executeLate
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
	l.mutex.Lock()
	silence, silent := l.silence, l.silentTopics[r.Topic]
	l.mutex.Unlock()
	unanswered := func() (store.Batch, error) {
		<-ctx.Done()
		return store.Batch{}, fault.New("read", store.KindUnknown, ctx.Err())
	}
	if silent {
		return unanswered()
	}
	for {
		if err := l.applyFaults(ctx, "read", r.Part); err != nil {
			return store.Batch{}, err
		}
		batch, changed, err := l.Store.read(r)
		remaining := time.Until(deadline)
		if err != nil || len(batch.Records) > 0 || remaining <= 0 {
			return batch, err
		}
		select {
		case <-silence:
			return unanswered()
		case <-changed:
		case <-time.After(remaining):
		case <-ctx.Done():
			return store.Batch{}, fault.New("read", store.KindUnknown, ctx.Err())
		}
	}
}

// Newest implements store.Store. It omits keys whose newest record has no value.
func (l *Link) Newest(ctx context.Context, t store.Topic, part int) (store.Snapshot, error) {
	return store.ReadSnapshot(ctx, l, t, part)
}

// NewestPage implements store.PageReader.
func (l *Link) NewestPage(ctx context.Context, t store.Topic, part int, after string) (store.Page, error) {
	if err := l.applyFaults(ctx, "newest", part); err != nil {
		return store.Page{}, err
	}
	l.mutex.Lock()
	between, hiddenFrom, maxRecords := l.betweenPages, int64(-1), l.pageRecords
	if l.changesHidden && after != "" {
		hiddenFrom = l.firstPageEnds[partitionKey{t, part}]
	}
	l.mutex.Unlock()
	if after != "" && between != nil {
		between(t, part)
	}
	page := l.Store.newestPage(t, part, after, hiddenFrom, maxRecords)
	if after == "" {
		l.mutex.Lock()
		l.firstPageEnds[partitionKey{t, part}] = page.End
		l.mutex.Unlock()
	}
	return page, nil
}
