package entryvm

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLaggardsAreToldOnce(t *testing.T) {
	scenarios := []struct {
		testName string
		// behind tells at each heartbeat whether the VM is behind.
		behind   []bool
		expected int
	}{
		{"a VM that reads the configuration by itself is not told", []bool{true, true, false, false}, 0},
		{"a VM that stays behind is told once", []bool{true, true, true, true, true, true, true, true}, 1},
		{"a VM that falls behind again waits again", []bool{true, true, false, true, true, false}, 0},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			is := is.New(t)
			l := newLaggards()
			at := time.Unix(1_700_000_000, 0)
			told := 0
			for _, behind := range sc.behind {
				if l.tell("vm", behind, at) {
					told++
				}
				at = at.Add(heartbeatInterval)
			}
			is.Equal(told, sc.expected)
		})
	}
}

// All VMs fall behind at once.
func TestFewLaggardsAreToldAtATime(t *testing.T) {
	is := is.New(t)
	l := newLaggards()
	told := 0
	for beat := range 8 {
		for i := range 100 {
			if l.tell(fmt.Sprintf("vm-%d", i), true, time.Unix(0, 0).Add(time.Duration(beat)*heartbeatInterval)) {
				told++
			}
		}
	}
	is.Equal(told, mostTold)
}

func TestConfigurationIsCompressed(t *testing.T) {
	is := is.New(t)
	text := make([]byte, 100_000)
	packed := compress(text)
	is.True(len(packed) < len(text)/10)
	unpacked, err := decompress(packed)
	is.NoErr(err)
	is.Equal(unpacked, text)
	_, err = decompress([]byte("{}"))
	is.True(err != nil)
}
