// Package invariant checks properties that must always be true. It counts violations
// in the expvar invariant_violations. Tests and the load program make violations
// panic.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"
)

var (
	violations       = expvar.NewMap("invariant_violations")
	panicOnViolation atomic.Bool
)

// SetPanicOnViolation sets whether later violations panic.
func SetPanicOnViolation(on bool) { panicOnViolation.Store(on) }

// Check reports a violation of the named invariant when ok is false. The message is
// formatted only when the violation panics.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(name, 1)
	if panicOnViolation.Load() {
		panic("invariant " + name + ": " + fmt.Sprintf(format, args...))
	}
}
