package entryvm_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// runningTasks returns the number of runs on the workers of a fixture. It raises their
// fencing tokens, so that no VM can call them any more.
func (f *fixture) runningTasks() int {
	n := 0
	for i := range 3 {
		w := f.fleet.Dial(backend.Registration{Life: backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: 1}})
		r, err := w.Hold(context.Background(), backend.Hold{Token: 1 << 60})
		f.is.NoErr(err)
		n += len(r.Running)
	}
	return n
}

// The entries of the workers have lapsed when another VM takes over. It stops the runs of a
// cancelled job long before their lease of 6 s would expire.
func TestCancelledRunsOnUnlistedWorkersStopAfterTakeOver(t *testing.T) {
	f := newFixture(t, 3, time.Minute)
	first := f.leaderIndex()
	f.is.NoErr(f.submit(f.nodes[first], "job"))
	f.awaitState(f.nodes[first], "job", work.Running)
	for i := range 3 {
		_, err := f.store.Append(store.Append{Topic: store.Workers, Records: []store.Record{{Key: fmt.Sprintf("worker-%d", i)}}})
		f.is.NoErr(err)
	}
	f.nodes[first].Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f.is.NoErr(f.nodes[(first+1)%3].Cancel(ctx, "job"))
	time.Sleep(4 * time.Second)
	is.New(t).Equal(f.runningTasks(), 0)
}
