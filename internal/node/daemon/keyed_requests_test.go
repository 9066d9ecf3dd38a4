package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/internal/node/owner"
)

// A request with a key had run and was answered, and its entry VM was lost. Once the owners had
// forgotten the attempt, it was taken for one that never ran, and ran again.
func TestForgottenAttemptIsNotTakenForOneThatNeverRan(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	id := func(at time.Time) string { return "domain.vm." + ulid.MustNew(ulid.Timestamp(at), nil).String() }
	scenarios := []struct {
		testName string
		id       string
		expected bool
	}{
		{"a new request", id(now.Add(-time.Second)), true},
		{"owners have forgotten it", id(now.Add(-owner.DefaultTiming.EndedAttemptRetention)), false},
		{"owners with another clock may have forgotten it", id(now.Add(-owner.DefaultTiming.EndedAttemptRetention * 3 / 4)), false},
		{"the clock of its entry VM is ahead", id(now.Add(owner.DefaultTiming.EndedAttemptRetention)), false},
		{"not an ID of a request", "domain.vm.1", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is.New(t).Equal(neverRanUnlessFound(s.id, now), s.expected)
		})
	}
}
