// Package standin plays the platform for tests, the quickstart and the load
// program: the log service, the VM list and worker VMs.
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

// DefaultRetainedRecords is how many records a stream keeps.
const DefaultRetainedRecords = 1 << 20

// maxReadWait bounds the wait of one read.
const maxReadWait = 30 * time.Second

// Log is an in-memory log service.
type Log struct {
	mutex    sync.Mutex
	streams  map[string]*stream
	retained int
	outage   bool
	// loseReplies makes appends take effect and then fail.
	loseReplies bool
	appends     uint64
}

type stream struct {
	records []logservice.Record
	next    uint64
	changed chan struct{}
}

// NewLog returns an empty log that retains a number of records per stream.
func NewLog(retained int) *Log {
	return &Log{streams: map[string]*stream{}, retained: retained}
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{next: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

var errOutage = &jsonhttp.StatusError{Code: http.StatusServiceUnavailable, Message: "outage"}

// Append implements logservice.Log.
func (l *Log) Append(_ context.Context, name string, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outage {
		return 0, errOutage
	}
	s := l.stream(name)
	first := s.next
	for _, r := range records {
		s.records = append(s.records, logservice.Record{Offset: s.next, Data: r})
		s.next++
	}
	if over := len(s.records) - l.retained; over > 0 {
		s.records = append([]logservice.Record(nil), s.records[over:]...)
	}
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	if l.loseReplies {
		return 0, errOutage
	}
	return first, nil
}

// Read implements logservice.Log.
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

func (l *Log) read(name string, after uint64, limit int) (logservice.ReadReply, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outage {
		return logservice.ReadReply{}, nil, errOutage
	}
	s := l.stream(name)
	oldest := s.next - uint64(len(s.records))
	reply := logservice.ReadReply{Oldest: oldest}
	skip := 0
	if after+1 > oldest {
		skip = int(min(after+1-oldest, uint64(len(s.records))))
	}
	end := min(len(s.records), skip+limit)
	reply.Records = append(reply.Records, s.records[skip:end]...)
	return reply, s.changed, nil
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

// LogFault switches faults of the log on and off.
type LogFault struct {
	Outage      bool `json:"outage"`
	LoseReplies bool `json:"lose_replies"`
}

// SetFault applies a fault.
func (l *Log) SetFault(f LogFault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outage, l.loseReplies = f.Outage, f.LoseReplies
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// LogStatus is what the control interface tells of the log.
type LogStatus struct {
	Appends uint64 `json:"appends"`
}

// Handler serves the log and its control interface.
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
		jsonhttp.Write(w, http.StatusOK, LogStatus{Appends: l.Appends()})
	})
	return r
}

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
