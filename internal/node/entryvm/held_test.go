package entryvm_test

import (
	"context"
	"fmt"
	"slices"
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

// lineWriter passes log lines to a virtual cell.
type lineWriter struct{ cell *virtualCell }

func (w lineWriter) Write(line []byte) (int, error) {
	w.cell.addLogLine("", strings.TrimSpace(string(line)))
	return len(line), nil
}

// linesOfEvent returns the lines of an event that contain all given texts.
func (c *virtualCell) linesOfEvent(event string, texts ...string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var lines []string
	for _, l := range c.log {
		if strings.Contains(l, "event="+event+" ") && !slices.ContainsFunc(texts, func(v string) bool { return !strings.Contains(l, v) }) {
			lines = append(lines, l)
		}
	}
	return lines
}

// metricsOf returns what a VM prints as its metrics.
func (c *virtualCell) metricsOf(vm int) string {
	c.mutex.Lock()
	m := c.measures[vm]
	c.mutex.Unlock()
	var text strings.Builder
	c.is.NoErr(m.Write(&text))
	return text.String()
}

// cutOffZone makes the workers of a zone unreachable until d has passed.
func (c *virtualCell) cutOffZone(zone int, d time.Duration) {
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	for i := zone; i < virtualWorkers; i += virtualDomains {
		c.fleet.cutOffUntil[fmt.Sprintf("worker-%d", i)] = time.Now().Add(d)
	}
}

// The workers of a zone, each with a run, can't be reached for a time that is shorter than the
// lease. Meanwhile the job is cancelled and the leader is killed.
func TestLogTellsWhoHeldTheRunsOfACutZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVirtualCellWithLog(t, 1, func(c *virtualCell, vm string) logr.Logger {
			return common.New(settings.Settings{Name: vm}, lineWriter{c}).Log
		})
		time.Sleep(2 * time.Second)
		j := &work.Job{ID: "job", Queue: "mail", Steps: []work.Step{{Count: virtualWorkers, Size: resource.Vector{Milliprocessors: 3000, MemoryMebibytes: 100}, Estimate: time.Second}}}
		c.fleet.addProfiles(j, func() time.Duration { return time.Minute })
		c.submit(j)
		time.Sleep(3 * time.Second)
		first := c.leader()
		c.is.True(strings.Contains(c.metricsOf(first), "runs_without_session 0\n"))
		c.is.True(strings.Contains(c.metricsOf(first), "unheld_workers 0\n"))

		c.cutOffZone(1, 5*time.Second)
		time.Sleep(4 * time.Second)
		const workersOfZone = virtualWorkers / virtualDomains
		c.is.True(strings.Contains(c.metricsOf(first), fmt.Sprintf("unheld_workers %d\n", workersOfZone)))
		lines := c.linesOfEvent("worker_unheld", "zone=domain-1", "session=true", "listed=true", fmt.Sprintf("vm=vm-%d", first))
		c.is.Equal(len(lines), len(c.linesOfEvent("worker_unheld")))
		c.is.True(len(lines) >= 20)
		for _, l := range lines {
			c.is.True(strings.Contains(l, " extended_via=10.0.0."))      // Through a keeper.
			c.is.True(!strings.Contains(l, "confirmed_extension_ms=-1")) // The leader has held each worker before.
		}

		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		c.is.NoErr(c.node(first).Cancel(ctx, "job"))
		time.Sleep(500 * time.Millisecond)
		c.killVM(first)
		time.Sleep(10 * time.Second)
		c.is.True(!strings.Contains(c.metricsOf(first), "unheld_workers")) // It does not lead any more.
		next := c.leader()
		c.is.True(next != first)
		c.is.True(strings.Contains(c.metricsOf(next), "unheld_workers 0\n"))
		c.is.True(strings.Contains(c.metricsOf(next), "runs_without_session 0\n"))
		ended := c.linesOfEvent("job_runs_ended", "job=job", "state=cancelled", fmt.Sprintf("vm=vm-%d", next))
		c.is.Equal(len(ended), 1)
		c.is.True(len(c.linesOfEvent("process_load", "unheld_workers=", "runs_without_session=")) > 0)
		if keepVirtualLog {
			t.Log(strings.Join(append(append(lines[:1:1], c.linesOfEvent("worker_lines_summed")...), ended...), "\n"))
		}
		for i := range virtualVMs {
			if i != first {
				c.killVM(i)
			}
		}
		time.Sleep(2 * maxLateness)
	})
}
