// Package metrics collects counters and waiting-time histograms per customer, plan
// and class, and publishes them through expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Key identifies a group of tasks with common metrics.
type Key struct {
	Customer string `json:"customer"`
	Plan     string `json:"plan"`
	Class    string `json:"class"`
}

// The histograms record waiting times from 1 ms to 1 h with two significant digits.
const (
	minRecordedMilliseconds = 1
	maxRecordedMilliseconds = int64(time.Hour / time.Millisecond)
	significantDigits       = 2
)

// Summary contains the metrics of one group.
type Summary struct {
	Key
	Submitted int64 `json:"submitted"`
	Answered  int64 `json:"answered"`
	NotRun    int64 `json:"not_run"`
	// OtherOutcomes counts the ended requests that are counted neither in Answered nor in
	// NotRun.
	OtherOutcomes int64 `json:"other"`
	// Used is the processor use of the answered requests in milliprocessor
	// seconds: the sum of their requested milliprocessors times their declared
	// run times.
	Used int64 `json:"used_milliprocessor_seconds"`
	// WaitingP50, WaitingP95 and WaitingP99 are percentiles of the waiting time.
	WaitingP50 float64 `json:"waiting_p50_milliseconds"`
	WaitingP95 float64 `json:"waiting_p95_milliseconds"`
	WaitingP99 float64 `json:"waiting_p99_milliseconds"`
	Started    int64   `json:"started"`
}

// group holds the metrics of one Key. The mutex guards the other two fields.
type group struct {
	mutex        sync.Mutex
	summary      Summary
	waitingTimes *hdrhistogram.Histogram
}

// Registry holds the metrics of one entry VM.
type Registry struct {
	mutex  sync.RWMutex
	groups map[Key]*group
}

// New returns an empty registry.
func New() *Registry { return &Registry{groups: map[Key]*group{}} }

// Publish publishes the registry in expvar under a name. It does nothing if the name
// is already in use, since expvar would panic.
func (r *Registry) Publish(name string) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(func() any { return r.Summaries() }))
	}
}

// getOrCreateGroup returns the group of a key and creates it on first use.
func (r *Registry) getOrCreateGroup(k Key) *group {
	r.mutex.RLock()
	g := r.groups[k]
	r.mutex.RUnlock()
	if g != nil {
		return g
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if g = r.groups[k]; g == nil {
		g = &group{summary: Summary{Key: k}, waitingTimes: hdrhistogram.New(minRecordedMilliseconds, maxRecordedMilliseconds, significantDigits)}
		r.groups[k] = g
	}
	return g
}

// Update calls change with the counters of a group while it holds the group's lock.
func (r *Registry) Update(k Key, change func(s *Summary)) {
	g := r.getOrCreateGroup(k)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(&g.summary)
}

// RecordWait records that a task has started and how long it had waited.
func (r *Registry) RecordWait(k Key, d time.Duration) {
	g := r.getOrCreateGroup(k)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.summary.Started++
	_ = g.waitingTimes.RecordValue(min(max(d.Milliseconds(), 0), maxRecordedMilliseconds))
}

// Summaries returns the metrics of every group.
func (r *Registry) Summaries() []Summary {
	r.mutex.RLock()
	groups := make([]*group, 0, len(r.groups))
	for _, g := range r.groups {
		groups = append(groups, g)
	}
	r.mutex.RUnlock()
	out := make([]Summary, 0, len(groups))
	for _, g := range groups {
		g.mutex.Lock()
		s := g.summary
		s.WaitingP50 = float64(g.waitingTimes.ValueAtQuantile(50))
		s.WaitingP95 = float64(g.waitingTimes.ValueAtQuantile(95))
		s.WaitingP99 = float64(g.waitingTimes.ValueAtQuantile(99))
		g.mutex.Unlock()
		out = append(out, s)
	}
	return out
}
