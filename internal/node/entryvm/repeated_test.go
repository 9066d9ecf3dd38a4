package entryvm_test

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/common"
	"github.com/almondpost/almondpost/internal/node/settings"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// numberIn returns the number in a field of a log line.
func (c *virtualCell) numberIn(line, field string) int64 {
	match := regexp.MustCompile(` ` + field + `=(-?\d+)`).FindStringSubmatch(line)
	c.is.True(match != nil)
	n, err := strconv.ParseInt(match[1], 10, 64)
	c.is.NoErr(err)
	return n
}

// All VMs are killed and start again, and the workers of a zone are lost. Every second task
// has ended before. The lines of both processes of a leader tell which ends were stored, what
// was read of them, and why tasks ran again.
func TestLogTellsWhyTasksRanAgainAfterAllVMsWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVirtualCellWithLog(t, 1, func(c *virtualCell, vm string) logr.Logger {
			return common.New(settings.Settings{Name: vm}, lineWriter{c}).Log
		})
		time.Sleep(2 * time.Second)
		j := &work.Job{ID: "job", Queue: "mail", Steps: []work.Step{{Count: virtualWorkers, Size: resource.Vector{Milliprocessors: 3000, MemoryMebibytes: 100}, Estimate: time.Second}}}
		n := 0
		c.fleet.addProfiles(j, func() time.Duration {
			n++
			return []time.Duration{500 * time.Millisecond, time.Minute}[n%2]
		})
		c.submit(j)
		time.Sleep(4 * time.Second)
		const ended = virtualWorkers / 2
		storedEnds, lastOffset, names := 0, int64(0), 0
		for _, l := range c.linesOfEvent("ends_stored", "epoch=1 ", "final_states=0", "unnamed=0") {
			c.is.True(c.numberIn(l, "offset") > lastOffset)
			lastOffset = c.numberIn(l, "offset")
			storedEnds += int(c.numberIn(l, "workers"))
			names += strings.Count(l[strings.Index(l, " ends="):], ":1")
		}
		c.is.Equal(storedEnds, ended) // One run on each worker, so that each has ended one.
		c.is.Equal(names, ended)

		c.cutOffZone(1, time.Hour)
		for i := range virtualVMs {
			c.killVM(i)
		}
		for i := range virtualVMs {
			c.startVM(i)
		}
		time.Sleep(40 * time.Second)
		takenOver := c.linesOfEvent("take_over_done")
		c.is.Equal(len(takenOver), 2)
		fence, read := c.numberIn(takenOver[1], "fence_offset"), c.numberIn(takenOver[1], "progress_offset")
		c.is.True(lastOffset < fence)
		c.is.True(fence <= read)
		restored := c.linesOfEvent("job_restored", "job=job", "done="+strconv.Itoa(ended))
		c.is.Equal(len(restored), 1)
		offset := c.numberIn(restored[0], "offset")
		c.is.True(offset < fence)

		repeated := c.linesOfEvent("run_repeated", "how=lapsed", "restored=true", "heard_ms=-1", "first_report=not_heard", "acknowledged=0", "restored_done="+strconv.Itoa(ended))
		c.is.True(len(repeated) > 0)
		c.is.Equal(len(repeated), len(c.linesOfEvent("run_repeated")))
		smallest := int64(math.MaxInt64)
		for _, l := range repeated {
			smallest = min(smallest, c.numberIn(l, "run"))
			c.is.Equal(c.numberIn(l, "restored_offset"), offset)
		}
		c.is.Equal(smallest, int64(2))
		if keepVirtualLog {
			t.Log(strings.Join(append(c.linesOfEvent("ends_stored"), takenOver[1], restored[0], repeated[0]), "\n"))
		}
		for i := range virtualVMs {
			c.killVM(i)
		}
		time.Sleep(2 * maxLateness)
	})
}
