// Package clock provides a monotonic clock that also advances while the VM is
// suspended. Adjustments of the system time do not affect it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// startTime is the system time and startSinceBoot the time since boot, both read
// at the start of the process. Now adds the time that has passed since then to
// startTime.
var (
	startTime      = time.Now().Round(0)
	startSinceBoot = timeSinceBoot()
)

// timeSinceBoot returns the time since boot, including the time that the VM was
// suspended.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Every kernel that Go supports has CLOCK_BOOTTIME.
	}
	return time.Duration(t.Nano())
}

// Now returns the system time at the start of the process plus the time that
// has passed since. Later adjustments of the system time are ignored, so it may
// differ from time.Now.
func Now() time.Time { return startTime.Add(timeSinceBoot() - startSinceBoot) }
