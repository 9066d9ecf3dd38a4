package entryvm

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Laggards are VMs with an outdated configuration. A large configuration blocks a slow
// network link for a while. The leader must therefore not send it to a VM that reads it
// from the store, and must not send it to the same VM twice.
func TestLaggardsAreToldOnce(t *testing.T) {
	scenarios := []struct {
		testName string
		// outdated tells for each heartbeat whether the VM's configuration is older
		// than the leader's.
		outdated []bool
		expected int
	}{
		{"a VM that reads the configuration from the store is not sent it", []bool{true, true, false, false}, 0},
		{"a VM that stays outdated is sent the configuration once", []bool{true, true, true, true, true, true, true, true}, 1},
		{"the wait starts again when a VM becomes outdated again", []bool{true, true, false, true, true, false}, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			o := newOutdatedVMTracker()
			at := time.Unix(1_700_000_000, 0)
			sends := 0
			for _, outdated := range sc.outdated {
				if o.shouldSend("vm", outdated, at) {
					sends++
				}
				at = at.Add(heartbeatInterval)
			}
			is.Equal(sends, sc.expected)
		})
	}
}

// Laggards are VMs with an outdated configuration. All VMs may be laggards when a new
// configuration is published. Sending it to all of them at the same time would overload
// the leader's network link.
func TestFewLaggardsAreToldAtATime(t *testing.T) {
	is := is.New(t)
	o := newOutdatedVMTracker()
	sends := 0
	for beat := range 8 {
		for i := range 100 {
			if o.shouldSend(fmt.Sprintf("vm-%d", i), true, time.Unix(0, 0).Add(time.Duration(beat)*heartbeatInterval)) {
				sends++
			}
		}
	}
	is.Equal(sends, maxConcurrentConfigurationSends)
}

func TestConfigurationIsCompressed(t *testing.T) {
	is := is.New(t)
	text := make([]byte, 100_000)
	compressed := compress(text)
	is.True(len(compressed) < len(text)/10)
	decompressed, err := decompress(compressed)
	is.NoErr(err)
	is.Equal(decompressed, text)
	_, err = decompress([]byte("{}"))
	is.True(err != nil)
	_, err = decompress(compress(make([]byte, maxConfigurationSize+1)))
	is.True(err != nil) // It is not cut off.
}
