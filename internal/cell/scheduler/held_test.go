package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// logRecorder records the lines of a scheduler.
type logRecorder struct{ lines []string }

// of returns the lines of an event.
func (r *logRecorder) of(event string) []string {
	var lines []string
	for _, l := range r.lines {
		if strings.Contains(l, fmt.Sprintf(`"msg"=%q `, event)) {
			lines = append(lines, l)
		}
	}
	return lines
}

// hasFields reports whether a line has all given fields. A field is a key and its value.
func hasFields(line string, fields ...string) bool {
	for _, f := range fields {
		key, value, _ := strings.Cut(f, "=")
		if !strings.Contains(line+" ", fmt.Sprintf(`"%s"=%s `, key, value)) && !strings.Contains(line+" ", fmt.Sprintf(`"%s"=%q `, key, value)) {
			return false
		}
	}
	return true
}

// lastingJob returns a job of lasting tasks, of which three fit on a worker.
func lastingJob(tasks int) *work.Job {
	return &work.Job{ID: "lasting", Queue: "urgent", Steps: []work.Step{{Count: tasks, Size: taskSize, Lasting: true}}}
}

// A leader that has taken over knows the runs on a worker from the stored progress, but can
// open a session only with a worker that it has an address of.
func TestRunsWithoutSession(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	first := sm.electLeader()
	job := lastingJob(4)
	sm.submit(job, fleet.TaskProfile{})
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 4)
	is.Equal(first.scheduler.RunsWithoutSession(), 0)

	next := scheduler.New(scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 10 * time.Second, HoldWait: time.Second}, 2, sm.now, sm.now, sm.log)
	next.SetTable(sm.table)
	next.Restore(job, sm.storedProgress[job.ID], sm.now)
	is.Equal(next.RunsWithoutSession(), 4) // No worker is listed.
	next.SetWorkers(sm.registrations(), sm.now.Add(2200*time.Millisecond))
	is.Equal(next.RunsWithoutSession(), 0)
}

const (
	largeFleet  = 1100
	zonesOfCell = 5
)

// largeFleetScheduler returns a scheduler without workers and the list of the workers of a
// large cell.
func largeFleetScheduler(now time.Time) (*scheduler.Scheduler, []backend.Registration, *logRecorder) {
	r := &logRecorder{}
	log := funcr.New(func(_, args string) { r.lines = append(r.lines, args) }, funcr.Options{})
	s := scheduler.New(scheduler.Timing{Lease: 10 * time.Second, LeadershipLease: 12 * time.Second, HoldWait: time.Second, EndedJobRetention: time.Hour}, 1, now, now, log)
	s.SetTable(&queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", Stretch: 2, Objective: time.Second}}})
	var list []backend.Registration
	for i := range largeFleet {
		list = append(list, backend.Registration{Life: backend.Life{ID: fmt.Sprintf("i-%010d", i), Born: 1}, Service: "desk", Zone: fmt.Sprintf("zone-%d", i%zonesOfCell), Capacity: workerCapacity})
	}
	return s, list, r
}

// A take-over opens all workers at once, a later read of the list a few.
func TestWorkersOpenedAtOnceAreSummed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s, list, r := largeFleetScheduler(now)
	s.SetWorkers(list, now)
	is.Equal(len(r.of("worker_opened")), 0)
	is.Equal(len(r.of("workers_opened")), zonesOfCell)
	is.True(hasFields(r.of("workers_opened")[0], "service=desk", "zone=zone-0", "workers=220"))

	late := backend.Registration{Life: backend.Life{ID: "i-late", Born: 1}, Service: "desk", Zone: "zone-0", Capacity: workerCapacity}
	s.SetWorkers(append(list, late), now)
	is.Equal(len(r.of("workers_opened")), zonesOfCell)
	is.Equal(len(r.of("worker_opened")), 1)
	is.True(hasFields(r.of("worker_opened")[0], "worker=i-late", "zone=zone-0"))
}
