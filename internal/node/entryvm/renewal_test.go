package entryvm_test

import (
	"testing"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
)

// A leader must renew its claim also while nothing is stored. Otherwise it extends no
// leases, and a task that runs for longer than a lease ends and starts again.
func TestTaskRunsOnceInQuietCell(t *testing.T) {
	f := newFixture(t, 3, 16*time.Second)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.awaitState(f.nodes[first], "job", work.Running)
	time.Sleep(14 * time.Second) // More than two leases.
	f.is.Equal(f.fleet.StartCount(firstTask("job")), 1)
}
