package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// A leader that had lost its keepers called silent workers so often that its network link had
// no room for the answers of the others. Where a run depends on it, a hold is sent just before
// the lease ends.
func TestHoldsOfSilentWorkersBecomeRare(t *testing.T) {
	is := is.New(t)
	r := newRestartTest(is)
	begun := r.now
	r.hold(backend.Report{})
	r.hold(backend.Report{Running: []backend.Run{{Task: r.start.Task, Run: r.start.Run}}})
	var sent []time.Duration
	for r.now.Sub(begun) < 10*time.Second {
		sent = append(sent, r.now.Sub(begun)/time.Millisecond)
		r.scheduler.NextHold(r.worker.Life, r.now)
		r.now = r.now.Add(550 * time.Millisecond)
		r.scheduler.HoldFailed(r.worker.Life, backend.KindUnknown, r.now)
		r.now = r.now.Add(r.scheduler.HoldRetryPause(r.worker.Life, r.now))
	}
	is.Equal(sent, []time.Duration{0, 650, 1400, 2350, 3700, 5050, 5700, 7050, 8400, 9750}) // 5700 is just before the lease ends.
}
