package load

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/emulate/cluster"
)

// clockTicksPerSecond is the number of clock ticks per second, the unit of
// processor times in /proc.
const clockTicksPerSecond = 100

// processUsage holds the processor time, memory and network traffic of an entry
// VM's process.
type processUsage struct {
	// processorTime is the user and system time since the start of the process.
	processorTime time.Duration
	residentBytes int64
	// trafficBytes is the network traffic since the start of the process, without
	// the traffic with callers.
	trafficBytes int64
}

// readUsage reads the usage of an entry VM from /proc and its traffic counters.
func readUsage(ctx context.Context, c *cluster.Cluster, e *cluster.EntryVM) (u processUsage, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.PID()))
	if err != nil {
		return u, err
	}
	// The second field, the program's name, is in parentheses and may contain
	// spaces. The indexes count from the field after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const utimeIndex, stimeIndex, residentIndex = 11, 12, 21
	user, err1 := strconv.ParseInt(fields[utimeIndex], 10, 64)
	system, err2 := strconv.ParseInt(fields[stimeIndex], 10, 64)
	pages, err3 := strconv.ParseInt(fields[residentIndex], 10, 64)
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			return u, err
		}
	}
	u.processorTime = time.Duration(user+system) * time.Second / clockTicksPerSecond
	u.residentBytes = pages * int64(os.Getpagesize())
	u.trafficBytes, err = c.TrafficBytes(ctx, e)
	return u, err
}

// usageByEntryVM returns the usage of each entry VM by its name. It omits entry
// VMs whose usage cannot be read, such as killed ones.
func (r *scenarioRun) usageByEntryVM(ctx context.Context) map[string]processUsage {
	out := map[string]processUsage{}
	for _, e := range r.cluster.EntryVMs {
		if u, err := readUsage(ctx, r.cluster, e); err == nil {
			out[e.Name] = u
		}
	}
	return out
}

// controlCost returns the highest value of each cost among the entry VMs that
// are in both usage maps. elapsed is the time between the two readings.
func controlCost(before, after map[string]processUsage, elapsed time.Duration) ControlCost {
	var c ControlCost
	for name, a := range after {
		b, ok := before[name]
		if !ok {
			continue
		}
		c.CorePercentMax = max(c.CorePercentMax, 100*(a.processorTime-b.processorTime).Seconds()/elapsed.Seconds())
		c.ResidentBytesMax = max(c.ResidentBytesMax, a.residentBytes)
		c.BytesPerSecondMax = max(c.BytesPerSecondMax, float64(a.trafficBytes-b.trafficBytes)/elapsed.Seconds())
	}
	return c
}
