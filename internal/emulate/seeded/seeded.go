// Package seeded runs the tests of a package with a fixed seed, so that every
// run of go test gives the same verdict. Only test files import it.
package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/almondpost/almondpost/internal/operate/invariant"
)

// Main makes violations of invariants fatal, fixes rapid's seed and number of
// checks unless -rapid.seed is given, and runs the tests.
func Main(m *testing.M, checks int) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
	}
	invariant.SetFatal(true)
	os.Exit(m.Run())
}
