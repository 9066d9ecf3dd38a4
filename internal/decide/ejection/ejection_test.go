package ejection_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/decide/ejection"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newHealthyTracker returns a tracker of n workers. Each of them has completed
// a task of kind "sort" successfully.
func newHealthyTracker(n int) *ejection.Tracker {
	t := ejection.New()
	for i := range n {
		t.Add(fmt.Sprintf("w%d", i))
		t.RecordOutcome(startTime, fmt.Sprintf("w%d", i), "sort", true)
	}
	return t
}

func recordFailures(t *ejection.Tracker, name string, times int) {
	for range times {
		t.RecordOutcome(startTime, name, "sort", false)
	}
}

func TestFailingWorkerIsEjectedAndProbed(t *testing.T) {
	is := is.New(t)
	f := newHealthyTracker(5)
	recordFailures(f, "w0", 4)
	is.True(!f.Allows(startTime, "w0"))
	later := startTime.Add(5 * time.Second)
	is.True(f.Allows(later, "w0"))
	f.RecordStart("w0")
	is.True(!f.Allows(later, "w0"))
	f.RecordOutcome(later, "w0", "sort", true)
	is.Equal(f.StateOf("w0"), ejection.Closed)
}

func TestFailedProbeDoublesTheBackoff(t *testing.T) {
	is := is.New(t)
	f := newHealthyTracker(5)
	recordFailures(f, "w0", 4)
	probe := startTime.Add(5 * time.Second)
	is.True(f.Allows(probe, "w0"))
	f.RecordStart("w0")
	f.RecordOutcome(probe, "w0", "sort", false)
	is.True(!f.Allows(probe.Add(9*time.Second), "w0"))
	is.True(f.Allows(probe.Add(10*time.Second), "w0"))
}

func TestTaskKindThatFailsEverywhereEjectsNoWorker(t *testing.T) {
	is := is.New(t)
	f := ejection.New()
	for i := range 5 {
		f.Add(fmt.Sprintf("w%d", i))
	}
	for range 20 {
		for i := range 5 {
			f.RecordOutcome(startTime, fmt.Sprintf("w%d", i), "broken", false)
		}
	}
	for i := range 5 {
		is.True(f.Allows(startTime, fmt.Sprintf("w%d", i)))
	}
}

func TestEjectedFractionIsBounded(t *testing.T) {
	is := is.New(t)
	f := newHealthyTracker(6)
	for i := range 3 {
		recordFailures(f, fmt.Sprintf("w%d", i), 10)
	}
	ejected := 0
	for i := range 6 {
		if !f.Allows(startTime, fmt.Sprintf("w%d", i)) {
			ejected++
		}
	}
	is.Equal(ejected, 2)
}
