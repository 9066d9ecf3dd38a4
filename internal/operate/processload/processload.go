// Package processload logs at regular intervals how much processor time a process uses and
// how late its timers fire, which shows whether it has too little processor time.
package processload

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/go-logr/logr"
)

const (
	// sampleInterval is the pause between two measurements of how late a timer fires.
	sampleInterval = 250 * time.Millisecond
	// samplesPerLine is the number of measurements for each log entry.
	samplesPerLine = 8
)

// Run logs the load of this process until ctx is done. details returns further keys and
// values for each entry.
func Run(ctx context.Context, log logr.Logger, now func() time.Time, details func() []any) {
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	lineBegun, usedBefore := now(), processorTime()
	for {
		var latest time.Duration
		for range samplesPerLine {
			begun := now()
			timer.Reset(sampleInterval)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			latest = max(latest, now().Sub(begun)-sampleInterval)
		}
		used, at := processorTime(), now()
		log.Info("process_load", append([]any{
			"processor_ms", (used - usedBefore).Milliseconds(), "elapsed_ms", at.Sub(lineBegun).Milliseconds(),
			"timer_delay_ms", latest.Milliseconds(), "goroutines", runtime.NumGoroutine(),
		}, details()...)...)
		lineBegun, usedBefore = at, used
	}
}

// processorTime returns the processor time that this process has used, or 0 if it is not
// known.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
