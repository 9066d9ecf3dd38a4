package entryvm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A leader that had lost its keepers called silent workers so often that its network link had
// no room for the answers of the others.
func TestHoldsOfSilentWorkersBecomeRare(t *testing.T) {
	is := is.New(t)
	s := &workerSession{}
	var pauses []time.Duration
	for range 6 {
		pauses = append(pauses, s.nextRetryPause()/time.Millisecond)
	}
	is.Equal(pauses, []time.Duration{100, 200, 400, 800, 800, 800})
	s.holdAnswered()
	is.Equal(s.nextRetryPause(), holdRetryPause)
}
