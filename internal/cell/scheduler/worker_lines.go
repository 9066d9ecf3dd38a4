package scheduler

import (
	"cmp"
	"strings"
	"time"

	"github.com/go-logr/logr"
)

const (
	// maxWorkerLinesPerSecond limits the lines about single workers that a fault of a whole
	// domain would cause. Further workers are summed by event and zone.
	maxWorkerLinesPerSecond = 20
	// workerLinesPeriod is the period in which maxWorkerLinesPerSecond lines are written.
	workerLinesPeriod = time.Second
	// maxNamedWorkers limits the workers that a line names, so that it stays well below
	// 4,096 bytes.
	maxNamedWorkers = 100
)

// workerLines limits the lines about single workers.
type workerLines struct {
	periodStart time.Time
	// written counts the lines of this period.
	written int
	// sums holds the workers without a line of their own in this period.
	sums map[workerSumKey]*workerSum
}

type workerSumKey struct{ event, zone string }

// workerSum describes several workers with the same event. shortest and longest are the
// bounds of their silence or of their wait for a session.
type workerSum struct {
	workers, runs     int
	shortest, longest time.Duration
	names             []string
}

// logWorker logs an event of one worker, or adds it to a sum that is logged at the end of
// the period. took is how long the worker was silent or waited.
func (s *Scheduler) logWorker(event string, w *worker, took time.Duration, now time.Time, fields ...any) {
	l := &s.workerLines
	l.flushIfDue(s.log, now)
	if l.written < maxWorkerLinesPerSecond {
		l.written++
		s.log.Info(event, append([]any{"worker", w.registration.Life.ID, "born", w.registration.Life.Born, "zone", w.registration.Zone}, fields...)...)
		return
	}
	if l.sums == nil {
		l.sums = map[workerSumKey]*workerSum{}
	}
	key := workerSumKey{event, w.registration.Zone}
	v := l.sums[key]
	if v == nil {
		v = &workerSum{shortest: took}
		l.sums[key] = v
	}
	v.workers++
	v.runs += w.runs()
	v.shortest, v.longest = min(v.shortest, took), max(v.longest, took)
	if len(v.names) < maxNamedWorkers {
		v.names = append(v.names, w.registration.Life.ID)
	}
}

// flushIfDue logs the sums and begins a new period if the last one is over.
func (l *workerLines) flushIfDue(log logr.Logger, now time.Time) {
	if now.Sub(l.periodStart) < workerLinesPeriod {
		return
	}
	l.periodStart, l.written = now, 0
	for _, k := range sortedKeys(l.sums, func(a, b workerSumKey) int { return cmp.Or(cmp.Compare(a.event, b.event), cmp.Compare(a.zone, b.zone)) }) {
		v := l.sums[k]
		log.Info("worker_lines_summed", "of", k.event, "zone", k.zone, "workers", v.workers, "runs", v.runs,
			"shortest_ms", v.shortest.Milliseconds(), "longest_ms", v.longest.Milliseconds(), "unnamed", v.workers-len(v.names), "names", strings.Join(v.names, ","))
	}
	clear(l.sums)
}
