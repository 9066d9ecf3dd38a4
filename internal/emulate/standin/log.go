// Package standin implements in-memory stand-ins for the platform's services:
// the log service, the VM list and worker VMs. Tests, the quickstart and the
// load program use them in place of the platform. They serve the same HTTP
// protocols as the platform. Under the path /control they also let tests inject
// faults and read what the stand-ins have recorded.
package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
	"github.com/almondpost/almondpost/internal/peer/logservice"
)

// DefaultRetainedRecords is the default number of records that a stream retains.
const DefaultRetainedRecords = 1 << 20

// maxReadWait limits how long one Read waits for records.
const maxReadWait = 30 * time.Second

// Log is an in-memory log service. It is safe for concurrent use.
type Log struct {
	mutex   sync.Mutex
	streams map[string]*stream
	// retainedRecords is the maximum number of records in each stream.
	retainedRecords int
	// outage makes every append and read fail.
	outage bool
	// loseReplies makes appends return an error although they take effect.
	loseReplies bool
	appendCount uint64
}

// stream is one stream of the log. Offsets start at 1.
type stream struct {
	records    []logservice.Record
	nextOffset uint64
	// changed is closed and replaced on each append or change of faults, to wake
	// waiting reads.
	changed chan struct{}
}

// NewLog returns an empty log. Each stream retains its newest records up to the
// given number.
func NewLog(retained int) *Log {
	return &Log{streams: map[string]*stream{}, retainedRecords: retained}
}

// stream returns a stream and creates it if it does not exist. The caller holds
// the mutex.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{nextOffset: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// errOutage is the response to calls during a simulated outage.
var errOutage = &jsonhttp.StatusError{Code: http.StatusServiceUnavailable, Message: "outage"}

// Append implements logservice.Log. It returns the offset of the first record.
func (l *Log) Append(_ context.Context, name string, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outage {
		return 0, errOutage
	}
	s := l.stream(name)
	first := s.nextOffset
	for _, r := range records {
		s.records = append(s.records, logservice.Record{Offset: s.nextOffset, Data: r})
		s.nextOffset++
	}
	if excess := len(s.records) - l.retainedRecords; excess > 0 {
		s.records = append([]logservice.Record(nil), s.records[excess:]...)
	}
	l.appendCount++
	close(s.changed)
	s.changed = make(chan struct{})
	if l.loseReplies {
		return 0, errOutage
	}
	return first, nil
}

// Read implements logservice.Log. If there are no records after the given
// offset, it waits for some, for at most the shorter of wait and maxReadWait.
func (l *Log) Read(ctx context.Context, name string, after uint64, limit int, wait time.Duration) (logservice.ReadReply, error) {
	deadline := time.NewTimer(min(wait, maxReadWait))
	defer deadline.Stop()
	for {
		reply, changed, err := l.read(name, after, limit)
		if err != nil || len(reply.Records) > 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

// read returns the retained records after an offset without waiting, and the
// channel that is closed on the next change.
func (l *Log) read(name string, after uint64, limit int) (logservice.ReadReply, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outage {
		return logservice.ReadReply{}, nil, errOutage
	}
	s := l.stream(name)
	oldest := s.nextOffset - uint64(len(s.records))
	reply := logservice.ReadReply{Oldest: oldest}
	skip := 0
	if after+1 > oldest {
		skip = int(min(after+1-oldest, uint64(len(s.records))))
	}
	end := min(len(s.records), skip+limit)
	reply.Records = append(reply.Records, s.records[skip:end]...)
	return reply, s.changed, nil
}

// AppendCount returns the number of append calls that took effect.
func (l *Log) AppendCount() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appendCount
}

// LogFault is the set of faults to simulate; the zero value means none.
type LogFault struct {
	// Outage makes every append and read fail.
	Outage bool `json:"outage"`
	// LoseReplies makes appends return an error although they take effect.
	LoseReplies bool `json:"lose_replies"`
}

// SetFault replaces the simulated faults and wakes waiting reads.
func (l *Log) SetFault(f LogFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outage, l.loseReplies = f.Outage, f.LoseReplies
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// LogStatus is the response of the control interface to /control/status.
type LogStatus struct {
	// AppendCount is the number of append calls that took effect.
	AppendCount uint64 `json:"appends"`
}

// Handler returns the HTTP handler of the log service and its control interface.
func (l *Log) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/append", jsonhttp.Handler(func(ctx context.Context, q logservice.AppendRequest) (logservice.AppendReply, error) {
		first, err := l.Append(ctx, q.Stream, q.Records)
		return logservice.AppendReply{First: first}, err
	}))
	r.Get("/v1/read", l.serveRead)
	r.Post("/control/fault", jsonhttp.Handler(func(_ context.Context, f LogFault) (LogFault, error) {
		l.SetFault(f)
		return f, nil
	}))
	r.Get("/control/status", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, LogStatus{AppendCount: l.AppendCount()})
	})
	return r
}

// serveRead handles GET /v1/read.
func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	wait, err3 := strconv.Atoi(q.Get("wait_milliseconds"))
	if err1 != nil || err2 != nil || err3 != nil || limit < 1 {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	reply, err := l.Read(r.Context(), q.Get("stream"), after, limit, time.Duration(wait)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	jsonhttp.Write(w, http.StatusOK, reply)
}
