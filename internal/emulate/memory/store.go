// Package memory emulates the platform's store in process, with the faults that
// tests ask for.
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

// Store holds topics in memory.
type Store struct {
	mutex      sync.Mutex
	partitions map[partition]*log
	// changed is closed and replaced with each append.
	changed chan struct{}
}

type partition struct {
	topic store.Topic
	part  int
}

type log struct {
	records []store.Record
	// first is the offset of the oldest record kept.
	first     int64
	producers map[string]producer
	// newest holds the newest record of each key, also when it was dropped.
	newest map[string]store.Record
}

type producer struct {
	epoch, sequence int64
	// end is the answer to the last append.
	end int64
}

// New returns an empty store.
func New() *Store {
	return &Store{partitions: map[partition]*log{}, changed: make(chan struct{})}
}

func (s *Store) log(t store.Topic, part int) *log {
	p := partition{t, part}
	if s.partitions[p] == nil {
		s.partitions[p] = &log{producers: map[string]producer{}, newest: map[string]store.Record{}}
	}
	return s.partitions[p]
}

func (l *log) end() int64 { return l.first + int64(len(l.records)) }

// Append appends as the platform does.
func (s *Store) Append(a store.Append) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.log(a.Topic, a.Part)
	if a.Condition.Set && l.end() != a.Condition.End {
		return 0, fault.Newf("append", store.KindConflict, "the topic ends at %d", l.end())
	}
	if p := a.Producer; p != nil {
		last, known := l.producers[p.Name]
		switch {
		case known && p.Epoch < last.epoch:
			return 0, fault.Newf("append", store.KindFenced, "epoch %d", last.epoch)
		case known && p.Epoch == last.epoch && p.Sequence == last.sequence:
			return last.end, nil
		case known && p.Epoch == last.epoch && p.Sequence != last.sequence+1:
			return 0, fault.Newf("append", store.KindConflict, "sequence %d is next", last.sequence+1)
		}
	}
	for _, r := range a.Records {
		r.Offset = l.end()
		l.records = append(l.records, r)
		l.newest[r.Key] = r
	}
	if p := a.Producer; p != nil {
		l.producers[p.Name] = producer{p.Epoch, p.Sequence, l.end()}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return l.end(), nil
}

// Drop deletes the history; the newest record of each key can still be asked for.
func (s *Store) Drop(t store.Topic, part int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.log(t, part)
	l.first, l.records = l.end(), nil
}

// Records returns the records of a topic that are kept.
func (s *Store) Records(t store.Topic, part int) []store.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]store.Record(nil), s.log(t, part).records...)
}

func (s *Store) read(r store.Read) (store.Batch, chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.log(r.Topic, r.Part)
	if r.From < l.first {
		return store.Batch{}, nil, fault.Newf("read", store.KindDropped, "the topic begins at %d", l.first)
	}
	from := min(r.From-l.first, int64(len(l.records)))
	return store.Batch{Records: append([]store.Record(nil), l.records[from:]...), Next: l.end()}, s.changed, nil
}

// Link is the way of one VM to a store.
type Link struct {
	Store *Store
	mutex sync.Mutex
	// refuse answers every call with an error that means that nothing was done.
	refuse bool
	// refused holds partitions that answer no call, of every topic.
	refused map[int]bool
	// lose is how many answers to appends are lost from now on.
	lose int
	// delays hold the appends to a topic up on their way, and slow all calls.
	delays map[store.Topic]time.Duration
	slow   time.Duration
}

// NewLink returns a way without faults.
func NewLink(s *Store) *Link {
	return &Link{Store: s, delays: map[store.Topic]time.Duration{}, refused: map[int]bool{}}
}

// Delay holds the appends of this VM to a topic up on their way.
func (l *Link) Delay(t store.Topic, d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delays[t] = d
}

// Refuse makes the store refuse all calls of this VM, or none.
func (l *Link) Refuse(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuse = on
}

// RefusePartition makes a partition of every topic refuse all calls of this VM, or
// none.
func (l *Link) RefusePartition(part int, on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refused[part] = on
}

// Slow makes all calls of this VM take a time.
func (l *Link) Slow(d time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.slow = d
}

// Lose loses the answers to the next appends, which are carried out.
func (l *Link) Lose(n int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lose = n
}

func (l *Link) check(operation string, part int) error {
	l.mutex.Lock()
	slow := l.slow
	l.mutex.Unlock()
	time.Sleep(slow)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.refuse || l.refused[part] {
		return fault.Newf(operation, store.KindRefused, "the store is away")
	}
	return nil
}

// Append implements store.Store. An append that the caller gives up is carried out
// all the same.
func (l *Link) Append(ctx context.Context, a store.Append) (int64, error) {
	var end int64
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err = l.check("append", a.Part); err != nil {
			return
		}
		l.mutex.Lock()
		delay := l.delays[a.Topic]
		l.mutex.Unlock()
		time.Sleep(delay)
		end, err = l.Store.Append(a)
		if l.loses() {
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

// loses reports whether the answer to an append is to be lost.
func (l *Link) loses() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.lose == 0 {
		return false
	}
	l.lose--
	return true
}

// Read implements store.Store.
func (l *Link) Read(ctx context.Context, r store.Read) (store.Batch, error) {
	deadline := time.Now().Add(r.Wait)
	for {
		if err := l.check("read", r.Part); err != nil {
			return store.Batch{}, err
		}
		batch, changed, err := l.Store.read(r)
		left := time.Until(deadline)
		if err != nil || len(batch.Records) > 0 || left <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return store.Batch{}, fault.New("read", store.KindUnknown, ctx.Err())
		}
	}
}

// Newest implements store.Store.
func (l *Link) Newest(_ context.Context, t store.Topic, part int) (store.Snapshot, error) {
	if err := l.check("newest", part); err != nil {
		return store.Snapshot{}, err
	}
	l.Store.mutex.Lock()
	defer l.Store.mutex.Unlock()
	v := l.Store.log(t, part)
	s := store.Snapshot{End: v.end()}
	for _, key := range slices.Sorted(maps.Keys(v.newest)) {
		if r := v.newest[key]; len(r.Value) > 0 {
			s.Records = append(s.Records, r)
		}
	}
	return s, nil
}
