package entryvm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCandidacy(t *testing.T) {
	scenarios := []struct {
		testName  string
		candidacy candidacy
		due       bool
	}{
		{"the first claim waits for nobody's heartbeat", candidacy{silence: firstWait}, true},
		{"the fittest claims first", candidacy{fitness: 1}, true},
		{"the leader is heard", candidacy{epoch: 3, silence: 200 * time.Millisecond, reached: time.Hour}, false},
		{"the leader is silent", candidacy{epoch: 3, silence: leaderSilence, reached: time.Hour}, true},
		{"fitter VMs try first", candidacy{epoch: 3, silence: leaderSilence, reached: time.Hour, rank: 2}, false},
		{"fitter VMs had their time", candidacy{epoch: 3, silence: leaderSilence + 2*rankPause, reached: time.Hour, rank: 2}, true},
		{"the VM is cut off", candidacy{epoch: 3, silence: 6 * time.Second, reached: -1}, false},
		{"a cut has just ended", candidacy{epoch: 3, silence: 6 * time.Second, reached: 10 * time.Millisecond, mostSilent: true}, false},
		{"a cut has ended and nobody is heard", candidacy{epoch: 3, silence: 6 * time.Second, reached: storeSettled, mostSilent: true}, true},
		{"the store is back, the leader is gone", candidacy{epoch: 3, silence: 6 * time.Second, reached: 10 * time.Millisecond}, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { is.New(t).Equal(s.candidacy.due(), s.due) })
	}
}
