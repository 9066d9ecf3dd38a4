package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recordBytes  = 262144
	requestBytes = 2097152
	appendTime   = 2 * time.Millisecond
)

// storeStandIn is the platform's metadata store: a log with partitions, of which the
// topics that begin with "keyed." keep the newest record of each key.
type storeStandIn struct {
	mutex sync.Mutex
	parts map[string]*partition
	// lastConditional is the index of the entry VM that last wrote under a condition.
	lastConditional int
	// down is true while every new call is cut off without an answer and has no effect.
	down atomic.Bool
}

type partition struct {
	records   []record
	producers map[string]*producer
	// changed is closed and replaced with each append.
	changed chan struct{}
	// appending serializes appends, which take appendTime each.
	appending sync.Mutex
}

type record struct {
	raw, value []byte
	key        string
}

type producer struct {
	epoch, next int64
	// recent holds the responses to the last five appends by sequence number.
	recent map[int64]appendReply
}

type appendReply struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func newStore() *storeStandIn { return &storeStandIn{parts: map[string]*partition{}} }

func (s *storeStandIn) partition(topic string, part int) *partition {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := topic + "/" + strconv.Itoa(part)
	if s.parts[name] == nil {
		s.parts[name] = &partition{producers: map[string]*producer{}, changed: make(chan struct{})}
	}
	return s.parts[name]
}

// put writes a keyed record as the operator or a worker does.
func (s *storeStandIn) put(topic, key string, value []byte) {
	p := s.partition(topic, 0)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	raw := append(append([]byte{byte(len(key))}, key...), value...)
	p.add([]record{{raw: raw, key: key, value: value}})
}

// add appends records. The caller must hold the store's mutex.
func (p *partition) add(records []record) appendReply {
	offset := int64(len(p.records))
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
	return appendReply{offset, int64(len(p.records))}
}

// handler returns the handler for the calls of the entry VM with the given index.
func (s *storeStandIn) handler(vm int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", func(w http.ResponseWriter, r *http.Request) {
		s.handleAppend(w, r)
		if r.URL.Query().Has("asOf") {
			s.mutex.Lock()
			s.lastConditional = vm
			s.mutex.Unlock()
		}
	})
	mux.HandleFunc("GET /-/log-read", s.handleRead)
	mux.HandleFunc("GET /-/log-newest", s.handleNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// splitRecords decodes the body of an append. It returns false if a limit is exceeded or a
// record is malformed.
func splitRecords(data []byte, keyed bool) ([]record, bool) {
	var records []record
	for total := 0; len(data) > 0; {
		if len(data) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(data))
		total += n
		if n > recordBytes || total > requestBytes || n > len(data)-4 {
			return nil, false
		}
		r := record{raw: data[4 : 4+n]}
		if keyed {
			if n < 1 || int(r.raw[0]) > n-1 {
				return nil, false
			}
			k := 1 + int(r.raw[0])
			r.key, r.value = string(r.raw[1:k]), r.raw[k:]
		}
		records, data = append(records, r), data[4+n:]
	}
	return records, true
}

func (s *storeStandIn) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic, part := r.URL.Query().Get("topic"), int(number(r, "part"))
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitRecords(data, strings.HasPrefix(topic, "keyed."))
	if !ok {
		reply(w, http.StatusBadRequest, map[string]string{"error": "a record or the request is too large or malformed"})
		return
	}
	p := s.partition(topic, part)
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status, body := p.append(r, records)
	reply(w, status, body)
}

// append checks the conditions of an append and carries it out. The caller must hold the
// store's mutex.
func (p *partition) append(r *http.Request, records []record) (int, any) {
	query := r.URL.Query()
	if query.Has("asOf") && number(r, "asOf") != int64(len(p.records)) {
		return http.StatusPreconditionFailed, map[string]int64{"end": int64(len(p.records))}
	}
	if !query.Has("producer") {
		return http.StatusOK, p.add(records)
	}
	name, epoch, seq := query.Get("producer"), number(r, "epoch"), number(r, "seq")
	d := p.producers[name]
	switch {
	case d != nil && epoch < d.epoch:
		return http.StatusConflict, map[string]string{"reason": "fenced"}
	case d == nil || epoch > d.epoch:
		d = &producer{epoch: epoch, next: seq, recent: map[int64]appendReply{}}
		p.producers[name] = d
	}
	if done, repeated := d.recent[seq]; repeated {
		return http.StatusOK, done
	}
	if seq != d.next {
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": d.next}
	}
	done := p.add(records)
	d.recent[seq] = done
	delete(d.recent, seq-5)
	d.next++
	return http.StatusOK, done
}

func (s *storeStandIn) handleRead(w http.ResponseWriter, r *http.Request) {
	p, from := s.partition(r.URL.Query().Get("topic"), int(number(r, "part"))), number(r, "from")
	limit := number(r, "maxKb") << 10
	if limit == 0 {
		limit = 1024 << 10
	}
	timeout := time.After(time.Duration(min(number(r, "waitMs"), 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		end, changed := int64(len(p.records)), p.changed
		if from < end {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end && (i == from || int64(len(out)) < limit); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i].raw)))
				out = append(out, p.records[i].raw...)
			}
			s.mutex.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			_, _ = w.Write(append(binary.BigEndian.AppendUint64(nil, uint64(end)), make([]byte, 8)...))
			return
		}
	}
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *storeStandIn) handleNewest(w http.ResponseWriter, r *http.Request) {
	p, after := s.partition(r.URL.Query().Get("topic"), int(number(r, "part"))), r.URL.Query().Get("after")
	s.mutex.Lock()
	newest := map[string]int{}
	for i := range p.records {
		newest[p.records[i].key] = i
	}
	var keys []string
	for k, i := range newest {
		if k > after && len(p.records[i].value) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []newestItem{}, 0, false
	for _, k := range keys {
		value := p.records[newest[k]].value
		if size += len(value); len(items) == 500 || (len(items) > 0 && size > 1<<20) {
			more = true
			break
		}
		items = append(items, newestItem{k, base64.StdEncoding.EncodeToString(value), int64(newest[k])})
	}
	end := int64(len(p.records))
	s.mutex.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}
