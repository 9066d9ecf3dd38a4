// Package overload_test sends an entry VM process what callers beyond the published limits
// send, and checks that the process stays within its memory and its descriptors.
package overload_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of almondpost-entry, which TestMain builds once.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "almondpost-overload-")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "almondpost-entry")
	build := exec.Command("go", "build", "-o", program, "github.com/almondpost/almondpost/cmd/almondpost-entry")
	if out, err := build.CombinedOutput(); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s\n%s", err, out)
		return 1
	}
	return m.Run()
}
