// Package seeded runs rapid property tests with a fixed seed, so that every run
// of go test checks the same cases. Only test files import it.
package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/almondpost/almondpost/internal/operate/invariant"
)

// seedIsFixed is true if Main has set the seed.
var seedIsFixed bool

// Main is called from a package's TestMain. It makes violated invariants panic,
// runs the tests and exits with their status. Unless -rapid.seed is given, it
// sets rapid's seed to 1 and its number of checks to checks.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		seedIsFixed = true
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	invariant.SetPanicOnViolation(true)
	os.Exit(m.Run())
}

// SetChecks sets rapid's number of checks until the end of a test, unless
// -rapid.seed is given. It must not be called in a parallel test.
func SetChecks(t *testing.T, checks int) {
	if !seedIsFixed {
		return
	}
	f := flag.Lookup("rapid.checks")
	earlier := f.Value.String()
	t.Cleanup(func() { _ = f.Value.Set(earlier) })
	_ = f.Value.Set(strconv.Itoa(checks))
}
