package entryvm

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two VMs that were outdated have been killed. Sending to them fails at once, and each failure
// causes the next send to the other, without a pause. A VM that has become outdated after them
// is never chosen.
func TestFailedSendsOfTheConfigurationAreNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	o := newOutdatedVMTracker()
	at := time.Unix(1_700_000_000, 0)
	for i := range 3 {
		o.shouldSend(fmt.Sprintf("vm-%02d", i), true, at.Add(time.Duration(i)*time.Millisecond))
	}
	at = at.Add(2 * configurationSendDelay)
	is.True(o.shouldSend("vm-00", true, at))
	sends := map[string]int{}
	name, ok := "vm-00", true
	for i := 0; ok && i < 100; i++ {
		sends[name]++
		name, ok = o.sent(name, at)
	}
	is.Equal(sends, map[string]int{"vm-00": 1, "vm-01": 1, "vm-02": 1}) // None is told twice at one moment.
}
