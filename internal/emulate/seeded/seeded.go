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

// Main is called from a package's TestMain. It makes violated invariants panic,
// runs the tests and exits with their status. Unless -rapid.seed is given, it
// sets rapid's seed to 1 and its number of checks to checks.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	invariant.SetPanicOnViolation(true)
	os.Exit(m.Run())
}
