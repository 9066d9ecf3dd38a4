package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/quota"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// newQuotaSimulation returns a simulation of two workers with room for six tasks and with
// the given caps. lines returns the lines logged so far.
func newQuotaSimulation(limits caps) (sm *simulation, lines func() string) {
	var text strings.Builder
	sm = newSimulation(1, faultProbabilities{})
	sm.log = funcr.New(func(_, args string) { text.WriteString(args + "\n") }, funcr.Options{})
	sm.quotas = &quotaCheck{simulation: sm, known: map[*simulatedLeader]caps{}}
	sm.addWorkers(2, workerCapacity)
	sm.quotas.publish(limits)
	return sm, text.String
}

// Work of a team at its cap must neither take reservations, claims and requests for advice
// from other teams, nor count for the limit on jobs of a pass.
func TestWorkAtItsCapHoldsUpNoOthers(t *testing.T) {
	for _, c := range []struct {
		testName string
		limit    resource.Vector
		// running is the number of tasks that the team runs before.
		running int
		step    work.Step
	}{
		{"at the cap", quota.Times(taskSize, 2), 2, work.Step{Count: 4, Size: taskSize}},
		{"a gang above what is left", quota.Times(taskSize, 3), 2, work.Step{Count: 2, Gang: true, Size: taskSize}},
		{"a gang above the cap", quota.Times(taskSize, 2), 0, work.Step{Count: 3, Gang: true, Size: taskSize}},
		{"a task above the cap", resource.Vector{Milliprocessors: 2499}, 0, work.Step{Count: 1, Size: taskSize}},
		{"a filling task above the cap", resource.Vector{Milliprocessors: 2499}, 0, work.Step{Count: 1, Size: taskSize, Fills: true}},
	} {
		t.Run(c.testName, func(t *testing.T) {
			is := is.New(t)
			sm, lines := newQuotaSimulation(caps{"full": c.limit, "other": {}})
			l := sm.electLeader()
			if c.running > 0 {
				sm.submit(&work.Job{ID: "running", Team: "full", Queue: "batch", Steps: []work.Step{{Count: c.running, Size: taskSize}}}, fleet.TaskProfile{RunTime: time.Hour})
			}
			sm.runFor(time.Second)
			// More jobs than a pass takes of those that are too late, which come first.
			for i := range 550 {
				sm.submit(&work.Job{ID: fmt.Sprintf("held-%d", i), Team: "full", Queue: "advised", Steps: []work.Step{c.step}}, fleet.TaskProfile{RunTime: time.Second})
			}
			sm.runFor(12 * time.Second)
			is.Equal(l.adviceRequestCount, 0)
			sm.submit(&work.Job{ID: "other", Team: "other", Queue: "batch", Steps: []work.Step{{Count: 6 - c.running, Size: taskSize}}}, fleet.TaskProfile{RunTime: time.Second})
			sm.runFor(300 * time.Millisecond)
			is.Equal(sm.startCount, 6) // Nothing is reserved or claimed.
			is.True(strings.Contains(lines(), fmt.Sprintf(`"quota"=%d "none"=0`, 550*c.step.Count)))
			is.True(strings.Contains(lines(), `"msg"="team_load" "team"="full"`))
			is.Equal(len(sm.violations), 0)
		})
	}
}

// Without a configuration the leader knows no caps, and would start anything.
func TestNothingOfATeamIsPlacedBeforeTheConfigurationIsKnown(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, faultProbabilities{})
	sm.addWorkers(2, workerCapacity)
	table := sm.table
	definition := table.Queues[0]
	sm.table = &queue.Table{}
	l := sm.electLeader()
	for _, name := range []string{"", "team"} {
		sm.submit(&work.Job{ID: "job" + name, Team: name, Queue: "urgent", Definition: &definition, Steps: []work.Step{{Count: 2, Size: taskSize}}}, fleet.TaskProfile{RunTime: time.Minute})
	}
	sm.runFor(5 * time.Second)
	is.Equal(sm.startCount, 2)
	l.scheduler.SetTable(table)
	sm.runFor(time.Second)
	is.Equal(sm.startCount, 4)
}
