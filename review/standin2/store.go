//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as PROTOCOL.md and the settings of the small sites give them.
const (
	recordBytes   = 262144
	requestBytes  = 2097152
	maxStoreBytes = 400 << 20
	appendTime    = 2 * time.Millisecond
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
)

// record is one stored record. raw is everything after the length field.
type record struct {
	raw []byte
}

func (r record) key() string {
	n := int(r.raw[0])
	return string(r.raw[1 : 1+n])
}

func (r record) value() []byte { return r.raw[1+int(r.raw[0]):] }

type producerState struct {
	epoch, next int64
	// last holds the first responses to the last five appends by sequence number.
	last map[int64]int64
}

type partition struct {
	mutex     sync.Mutex // Held while an append is processed: one at a time.
	state     sync.Mutex
	records   []record
	newest    map[string]int
	producers map[string]*producerState
	changed   chan struct{}
}

// logStore plays the platform's metadata store.
type logStore struct {
	mutex sync.Mutex
	parts map[string]*partition
	bytes int64
}

func newLogStore() *logStore { return &logStore{parts: map[string]*partition{}} }

func (s *logStore) partition(topic, part string) *partition {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k := topic + "/" + part
	p := s.parts[k]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
		s.parts[k] = p
	}
	return p
}

func (p *partition) append(records []record) (first, end int) {
	p.state.Lock()
	defer p.state.Unlock()
	first = len(p.records)
	for _, r := range records {
		if len(r.raw) > 0 && len(r.raw) >= 1+int(r.raw[0]) {
			p.newest[r.key()] = len(p.records)
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return first, len(p.records)
}

// put stores a record as the operator or a worker does.
func (s *logStore) put(topic, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	s.partition(topic, "0").append([]record{{append(raw, value...)}})
}

// storedMB returns how much was stored. Nothing expires in the time of a script.
func (s *logStore) storedMB() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bytes >> 20
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, r)
	case "/-/log-read":
		s.serveRead(w, r)
	case "/-/log-newest":
		s.serveNewest(w, s.partition(q.Get("topic"), q.Get("part")), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *logStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for rest := data; len(rest) > 0; {
		if len(rest) < 4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes || n > len(rest)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, record{rest[4 : 4+n : 4+n]})
		rest = rest[4+n:]
	}
	if len(data) > requestBytes+4*len(records) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t := q.Get("topic"); t == "keyed.op" || t == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	p := s.partition(q.Get("topic"), q.Get("part"))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s.mutex.Lock()
	full := s.bytes+int64(len(data)) > maxStoreBytes
	if !full {
		s.bytes += int64(len(data))
	}
	s.mutex.Unlock()
	if full {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	p.state.Lock()
	end := len(p.records)
	p.state.Unlock()
	if q.Has("asOf") && q.Get("asOf") != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	var producer *producerState
	var seq int64
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		producer = p.producers[name]
		if producer == nil || epoch > producer.epoch {
			producer = &producerState{epoch: epoch, next: seq, last: map[int64]int64{}}
			p.producers[name] = producer
		}
		if epoch < producer.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if first, repeated := producer.last[seq]; repeated {
			reply(w, http.StatusOK, map[string]any{"offset": first, "end": first + int64(len(records))})
			return
		}
		if seq != producer.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": producer.next})
			return
		}
	}
	time.Sleep(appendTime + time.Duration(len(data))*time.Second/(20<<20))
	first, newEnd := p.append(records)
	if producer != nil {
		producer.next = seq + 1
		producer.last[seq] = int64(first)
		delete(producer.last, seq-5)
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "end": newEnd})
}

func (s *logStore) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxBytes := 1024 << 10
	if v, err := strconv.Atoi(q.Get("maxKb")); err == nil && v > 0 {
		maxBytes = v << 10
	}
	p := s.partition(q.Get("topic"), q.Get("part"))
	timeout := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		p.state.Lock()
		end, changed := len(p.records), p.changed
		var list []record
		if from < end {
			list = p.records[max(from, 0):end]
		}
		p.state.Unlock()
		if len(list) == 0 && waitMs > 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				waitMs = 0
				continue
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i, v := range list {
			if i > 0 && len(out)+len(v.raw) > maxBytes {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(v.raw)))
			out = append(out, v.raw...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *logStore) serveNewest(w http.ResponseWriter, p *partition, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	p.state.Lock()
	keys := make([]string, 0, len(p.newest))
	for k, i := range p.newest {
		if k > after && len(p.records[i].value()) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	end, size, more := len(p.records), 0, false
	items := []item{}
	for _, k := range keys {
		v := p.records[p.newest[k]].value()
		if len(items) > 0 && (len(items) == maxPageItems || size+len(v) > maxPageBytes) {
			more = true
			break
		}
		size += len(v)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(v), p.newest[k]})
	}
	p.state.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}
