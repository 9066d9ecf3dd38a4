package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/team"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/state/resource"
)

const (
	floodSeed    = 1
	floodTeams   = 20
	floodWorkers = 30
	// floodBegin and floodLength are when one team sends more, floodEnd is when the last
	// job is submitted, and floodPeriod is the length of the replay.
	floodBegin  = 4 * time.Second
	floodLength = 8 * time.Second
	floodEnd    = 16 * time.Second
	floodPeriod = 30 * time.Second
	// floodRunTime is the mean run time. With three tasks a worker, the usual load of 150
	// jobs a second then fills the workers.
	floodRunTime = 600 * time.Millisecond
	// flooder is the index of the team that sends more.
	flooder = 0
)

// floodWeights holds the weights of the teams, 160 in all. The usual load of a team is 15/16
// of its weight.
var floodWeights = [floodTeams]float64{30, 22, 18, 14, 20, 10, 8, 6, 5, 4, 4, 3, 3, 3, 2, 2, 2, 2, 1, 1}

// servedShares is the share of the jobs that complete within queue.AllowancesUntilUseless
// times their allowance: of the flooder, of all others, and of the other team with the
// smallest one.
type servedShares struct {
	flooder, others, worstOther float64
	byTeam                      [floodTeams]float64
}

// replayFlood plays one day: each team sends its usual load, and the flooder the given
// multiple of it during the flood. All jobs but those of the flooder are the same for each
// factor. Without teams in the configuration, the order is the one by due time.
func replayFlood(factor float64, withTeams bool) servedShares {
	sm := newSimulation(floodSeed, faultProbabilities{})
	sm.fixedDelays, sm.holdsWait = true, true
	if withTeams {
		var teams []team.Team
		for i, w := range floodWeights {
			teams = append(teams, team.Team{Name: fmt.Sprintf("team-%d", i), Weight: w})
		}
		d, err := team.New(teams)
		if err != nil {
			panic(err)
		}
		sm.table = &queue.Table{Version: 2, Queues: sm.table.Queues, Teams: d}
	}
	sm.addWorkers(floodWorkers, workerCapacity)
	sm.electLeader()
	type sent struct {
		team      int
		at        time.Time
		allowance time.Duration
	}
	jobs := map[string]sent{}
	for i, w := range floodWeights {
		random := rand.New(rand.NewPCG(floodSeed, uint64(i)))
		number := 0
		send := func(name string, at time.Duration) {
			runTime := time.Duration((0.5 + random.Float64()) * float64(floodRunTime))
			queueName := "urgent"
			if random.IntN(4) == 0 {
				queueName = "batch"
			}
			id := fmt.Sprintf("%s-%d-%d", name, i, number)
			number++
			sm.schedule(at, func() {
				jobs[id] = sent{i, sm.now, sm.table.Queue(queueName).Allowance(runTime)}
				sm.submit(&work.Job{ID: id, Team: fmt.Sprintf("team-%d", i), Queue: queueName, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: runTime}}}, fleet.TaskProfile{RunTime: runTime})
			})
		}
		rate := w * 15 / 16
		for at := time.Duration(0); at < floodEnd; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			send("usual", at)
		}
		if i != flooder {
			continue
		}
		for at := floodBegin; factor > 1 && at < floodBegin+floodLength; at += time.Duration(random.ExpFloat64() / (rate * (factor - 1)) * float64(time.Second)) {
			send("flood", at)
		}
	}
	sm.runFor(floodPeriod)
	var count, served [floodTeams]float64
	for id, j := range jobs {
		count[j.team]++
		if end, ended := sm.endStoredAt[id]; ended && end.Sub(j.at) <= queue.AllowancesUntilUseless*j.allowance {
			served[j.team]++
		}
	}
	v := servedShares{worstOther: 1}
	all, allServed := 0.0, 0.0
	for i := range count {
		v.byTeam[i] = served[i] / count[i]
		if i == flooder {
			v.flooder = v.byTeam[i]
			continue
		}
		all, allServed = all+count[i], allServed+served[i]
		v.worstOther = min(v.worstOther, v.byTeam[i])
	}
	v.others = allServed / all
	return v
}

// A team that sends several times its usual load must not take capacity from the others.
func TestFloodOfOneTeamCostsTheOthersNothing(t *testing.T) {
	usual := replayFlood(1, true)
	present := replayFlood(1, false)
	t.Logf("no flood: others %.3f, worst %.3f, flooder %.3f; by due time: others %.3f, worst %.3f, flooder %.3f",
		usual.others, usual.worstOther, usual.flooder, present.others, present.worstOther, present.flooder)
	for _, factor := range []float64{3.6, 6.8} {
		t.Run(fmt.Sprintf("factor=%g", factor), func(t *testing.T) {
			flood, byDueTime := replayFlood(factor, true), replayFlood(factor, false)
			t.Logf("others %.3f, worst %.3f, flooder %.3f; by due time: others %.3f, worst %.3f, flooder %.3f",
				flood.others, flood.worstOther, flood.flooder, byDueTime.others, byDueTime.worstOther, byDueTime.flooder)
			if flood.others < usual.others-0.03 {
				t.Errorf("the served share of the others is %.3f, and %.3f without the flood", flood.others, usual.others)
			}
		})
	}
}

// A job beyond the rate of its team was placed as soon as it arrived, before waiting jobs of
// others.
func TestJobBeyondItsRateWaitsForAPass(t *testing.T) {
	is := is.New(t)
	sm, _ := newQuotaSimulation(caps{"a": resource.Vector{}})
	l := sm.electLeader()
	sm.runFor(time.Second)
	submit := func(n int) int {
		for i := range n {
			j := &work.Job{ID: fmt.Sprint("job-", len(sm.jobs)+i), Team: "a", Queue: "urgent", Accepted: sm.now, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}
			l.scheduler.Submit(j, sm.now)
		}
		c := l.scheduler.NextCommit(sm.now)
		if c == nil {
			return 0
		}
		l.scheduler.Committed(c, sm.now)
		return len(l.scheduler.TakeEffects().Starts)
	}
	is.Equal(submit(3), 1) // The weight of the team is 1.
	l.scheduler.Schedule(sm.now)
	c := l.scheduler.NextCommit(sm.now)
	l.scheduler.Committed(c, sm.now)
	is.Equal(len(l.scheduler.TakeEffects().Starts), 2)
}
