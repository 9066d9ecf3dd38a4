// Package measure collects counters, gauges and latency histograms and prints them as text.
package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms record times from 1 ms to 10 min with two significant digits.
const (
	minRecordedMilliseconds = 1
	maxRecordedMilliseconds = int64(10 * time.Minute / time.Millisecond)
	significantDigits       = 2
)

// Key identifies a counter, a gauge or a histogram.
type Key struct {
	Name string
	// Label distinguishes measures of the same name, for example by queue, store topic
	// or error kind. It may be empty.
	Label string
}

// String returns the key in the form name{label}, or the name alone without a label.
func (k Key) String() string {
	if k.Label == "" {
		return k.Name
	}
	return k.Name + "{" + k.Label + "}"
}

// Set holds the counters, gauges and histograms of one process.
type Set struct {
	mutex      sync.Mutex
	counters   map[Key]int64
	gauges     map[Key]int64
	histograms map[Key]*hdrhistogram.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{counters: map[Key]int64{}, gauges: map[Key]int64{}, histograms: map[Key]*hdrhistogram.Histogram{}}
}

// Count adds one to a counter.
func (s *Set) Count(k Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters[k]++
}

// Set sets a gauge to its present value. A gauge and a counter must not have the same key.
func (s *Set) Set(k Key, value int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gauges[k] = value
}

// Unset removes a gauge that has no value at present.
func (s *Set) Unset(k Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.gauges, k)
}

// Sizes returns the number of counters, gauges and histograms.
func (s *Set) Sizes() (counters, gauges, histograms int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.counters), len(s.gauges), len(s.histograms)
}

// Observe adds a time to a histogram. A time outside the range of the histogram is
// recorded as the nearest bound.
func (s *Set) Observe(k Key, d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := s.histograms[k]
	if h == nil {
		h = hdrhistogram.New(minRecordedMilliseconds, maxRecordedMilliseconds, significantDigits)
		s.histograms[k] = h
	}
	ms := min(max(d.Milliseconds(), minRecordedMilliseconds), maxRecordedMilliseconds)
	_ = h.RecordValue(ms) // The value is within the range.
}

// ForgetHistograms removes the histograms with one of the names of whose labels unused returns
// true. Each takes 14 KB.
func (s *Set) ForgetHistograms(names []string, unused func(label string) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.histograms, func(k Key, _ *hdrhistogram.Histogram) bool {
		return slices.Contains(names, k.Name) && unused(k.Label)
	})
}

// percentiles lists the percentiles that Write prints for each histogram.
var percentiles = []float64{50, 95, 99}

// Write prints one line for each counter and gauge, and for each histogram its count and
// its percentiles.
func (s *Set) Write(w io.Writer) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var lines []string
	for k, v := range s.counters {
		lines = append(lines, fmt.Sprintf("%s %d\n", k, v))
	}
	for k, v := range s.gauges {
		lines = append(lines, fmt.Sprintf("%s %d\n", k, v))
	}
	for k, h := range s.histograms {
		lines = append(lines, fmt.Sprintf("%s_count %d\n", k, h.TotalCount()))
		for _, q := range percentiles {
			lines = append(lines, fmt.Sprintf("%s_p%g_milliseconds %d\n", k, q, h.ValueAtQuantile(q)))
		}
	}
	slices.Sort(lines)
	for _, l := range lines {
		if _, err := io.WriteString(w, l); err != nil {
			return err
		}
	}
	return nil
}
