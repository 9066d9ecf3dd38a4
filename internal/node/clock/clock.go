// Package clock tells a time that never jumps and counts the time for which the
// VM was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start and startBoot relate the clock to the time of day when the process
// began.
var (
	start     = time.Now().Round(0)
	startBoot = boot()
)

func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // The clock exists on every kernel that Go supports.
	}
	return time.Duration(t.Nano())
}

// Now returns the time. It is close to the time of day when the process started
// and runs evenly from then on.
func Now() time.Time { return start.Add(boot() - startBoot) }
