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

// clockTicksPerSecond is the unit of process times in /proc.
const clockTicksPerSecond = 100

// usage is what one process has used so far.
type usage struct {
	processor time.Duration
	resident  int64
	bytes     int64
}

// usageOf reads /proc and the traffic counters of an entry VM.
func usageOf(ctx context.Context, c *cluster.Cluster, e *cluster.Entry) (u usage, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.ID()))
	if err != nil {
		return u, err
	}
	// The second field is in parentheses and may hold blanks.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const utime, stime, resident = 11, 12, 21
	user, err1 := strconv.ParseInt(fields[utime], 10, 64)
	system, err2 := strconv.ParseInt(fields[stime], 10, 64)
	pages, err3 := strconv.ParseInt(fields[resident], 10, 64)
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			return u, err
		}
	}
	u.processor = time.Duration(user+system) * time.Second / clockTicksPerSecond
	u.resident = pages * int64(os.Getpagesize())
	u.bytes, err = c.Traffic(ctx, e)
	return u, err
}

// snapshot reads the usage of every entry VM by name.
func (r *run) snapshot(ctx context.Context) map[string]usage {
	out := map[string]usage{}
	for _, e := range r.cluster.Entries {
		if u, err := usageOf(ctx, r.cluster, e); err == nil {
			out[e.Name] = u
		}
	}
	return out
}

// controlCost compares two snapshots.
func controlCost(before, after map[string]usage, elapsed time.Duration) Control {
	var c Control
	for name, a := range after {
		b, ok := before[name]
		if !ok {
			continue
		}
		c.CorePercentMax = max(c.CorePercentMax, 100*(a.processor-b.processor).Seconds()/elapsed.Seconds())
		c.ResidentBytesMax = max(c.ResidentBytesMax, a.resident)
		c.BytesPerSecondMax = max(c.BytesPerSecondMax, float64(a.bytes-b.bytes)/elapsed.Seconds())
	}
	return c
}
