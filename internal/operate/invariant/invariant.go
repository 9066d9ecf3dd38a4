// Package invariant asserts properties that must hold at all times. Violations
// are counted in expvar; tests and the load program make them fatal.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

var (
	violations = expvar.NewMap("invariant_violations")
	fatal      atomic.Bool
)

// SetFatal makes every later violation panic.
func SetFatal(on bool) { fatal.Store(on) }

// Check counts a violation of the named invariant when ok is false. The
// message is only formatted then.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(name, 1)
	if fatal.Load() {
		panic("invariant " + name + ": " + fmt.Sprintf(format, args...))
	}
}
