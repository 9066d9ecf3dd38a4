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

// When a send ends, the next VM is sent the configuration at once. With one send a heartbeat
// for each, 36 VMs whose reads hung had an old configuration for 1.5 s more.
func TestNextLaggardIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	o := newOutdatedVMTracker()
	at := time.Unix(1_700_000_000, 0)
	for i := range 36 {
		o.shouldSend(fmt.Sprintf("vm-%02d", i), true, at)
	}
	at = at.Add(configurationSendDelay)
	var sending []string
	for i := range 36 {
		if name := fmt.Sprintf("vm-%02d", i); o.shouldSend(name, true, at) {
			sending = append(sending, name)
		}
	}
	told := 0
	for len(sending) > 0 {
		is.True(len(sending) <= maxConcurrentConfigurationSends)
		name := sending[0]
		sending, told = sending[1:], told+1
		if next, ok := o.sent(name, at); ok {
			sending = append(sending, next)
		}
	}
	is.Equal(told, 36)
	is.Equal(len(o.sendingTo), 0)

	o.shouldSend("vm-00", true, at)
	at = at.Add(configurationSendDelay)
	is.True(o.shouldSend("vm-00", true, at))
	_, ok := o.sent("vm-00", at)
	is.True(!ok) // A VM that could not be told is told again after a heartbeat, not at once.
}

func TestConfigurationIsCompressed(t *testing.T) {
	is := is.New(t)
	text := make([]byte, 100_000)
	compressed := compress(text)
	is.True(len(compressed) < len(text)/10)
	decompressed, err := decompress(compressed, maxConfigurationSize)
	is.NoErr(err)
	is.Equal(decompressed, text)
	_, err = decompress([]byte("{}"), maxConfigurationSize)
	is.True(err != nil)
	_, err = decompress(compress(make([]byte, maxConfigurationSize+1)), maxConfigurationSize)
	is.True(err != nil) // It is not cut off.
}
