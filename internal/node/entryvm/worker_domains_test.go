package entryvm

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// All entries have lapsed from the list of workers. The leader still calls the workers, and
// chooses as many keepers as it needs for them.
func TestUnlistedWorkersCountForTheNumberOfKeepers(t *testing.T) {
	is := is.New(t)
	stored := memory.New()
	for i := range 4 {
		value := fmt.Sprintf(`{"id":"w-%d","born":1,"address":"127.0.0.1:8400","service":"desk","zone":"domain-%d"}`, i, i%2)
		_, err := stored.Append(store.Append{Topic: store.Progress, Records: []store.Record{{Key: fmt.Sprintf("worker/w-%d/1", i), Value: []byte(value)}}})
		is.NoErr(err)
	}
	_, l := newLeaderTestNode(t, memory.NewLink(stored))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	is.Equal(len(l.registrations), 0)
	is.Equal(l.workersByDomain(), map[string]int{"domain-0": 2, "domain-1": 2})
}
