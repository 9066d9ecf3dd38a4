package scheduler_test

import (
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/quota"
	"github.com/almondpost/almondpost/internal/cell/team"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

const (
	// configurationApplyTime is the time within which a leader applies a new configuration.
	configurationApplyTime = 3 * time.Second
	// quotaSettleTime is longer than any lease and order lasts after the last fault.
	quotaSettleTime = 40 * time.Second
	// quotaFinalTime is the time in which a job that needs the whole cap of its team runs.
	quotaFinalTime = 5 * time.Second
)

// caps maps each team with a cap to this cap.
type caps map[string]resource.Vector

// quotaCheck checks, while a simulation runs, that no start takes what a team has running
// above its cap.
type quotaCheck struct {
	simulation *simulation
	// history lists the caps in force and since when; the last known cap of a removed team
	// stays, which is that of any version within configurationApplyTime. A leader that is elected after a team was removed does not know the cap, so
	// that the team has none from then on.
	history []capsSince
	// known maps each leader to the caps that it knows.
	known map[*simulatedLeader]caps
	// startsAtTheCap counts the starts after which a team uses its cap, so that no task of
	// the smallest size fits.
	starts, startsAtTheCap int
}

type capsSince struct {
	at   time.Time
	caps caps
}

// table returns the present configuration with teams that have the given caps.
func (c *quotaCheck) table(v caps) *queue.Table {
	var teams []team.Team
	for name, limit := range v {
		teams = append(teams, team.Team{Name: name, Weight: 1, Cap: limit})
	}
	d, err := team.New(teams)
	if err != nil {
		panic(err)
	}
	old := c.simulation.table
	return &queue.Table{Version: old.Version + 1, Queues: old.Queues, Services: old.Services, Teams: d}
}

// publish makes a new configuration known. Each leader reads it within
// configurationApplyTime.
func (c *quotaCheck) publish(v caps) {
	sm := c.simulation
	sm.table = c.table(v)
	effective := caps{}
	if len(c.history) > 0 && len(v) > 0 { // Without teams, there are no caps.
		for name := range c.history[len(c.history)-1].caps {
			// A leader that has not applied the versions just before knows an earlier cap.
			effective[name] = c.highestCap(name, sm.now.Add(-configurationApplyTime))
		}
	}
	maps.Copy(effective, v)
	c.history = append(c.history, capsSince{sm.now, effective})
	t := sm.table
	for _, l := range sm.leaders {
		sm.schedule(sm.randomDuration(minEventDelay, configurationApplyTime-600*time.Millisecond), func() {
			l.updateScheduler(func(time.Time) {
				if t.Version > l.scheduler.Table().Version {
					l.scheduler.SetTable(t)
					c.addKnown(l, t)
				}
			})
		})
	}
}

func (c *quotaCheck) addKnown(l *simulatedLeader, t *queue.Table) {
	for v := range t.Teams.All() {
		c.known[l][v.Name] = v.Cap
	}
}

// noteLeader must be called when a leader was elected.
func (c *quotaCheck) noteLeader(l *simulatedLeader) {
	c.known[l] = caps{}
	c.addKnown(l, c.simulation.table)
	if len(c.history) > 0 {
		c.history = append(c.history, capsSince{c.simulation.now, maps.Clone(c.known[l])})
	}
}

// stepOf returns the team of a task and the step it belongs to.
func (c *quotaCheck) stepOf(id work.TaskID) (string, *work.Step) {
	for _, j := range c.simulation.jobs {
		if j.ID == id.Job {
			return j.Team, &j.Steps[id.Step]
		}
	}
	panic("a task of no job")
}

// used returns what a team has running on all living workers.
func (c *quotaCheck) used(name string) resource.Vector {
	var used resource.Vector
	for _, v := range c.simulation.workers {
		v.Advance(c.simulation.now)
		for _, id := range v.Running() {
			if owner, st := c.stepOf(id); owner == name {
				used = used.Add(st.Size)
			}
		}
	}
	return used
}

// exceeds returns whether an amount is above a limit, of which 0 is none.
func exceeds(used, limit resource.Vector) bool {
	u, l := used.Amounts(), limit.Amounts()
	for i := range u {
		if l[i] > 0 && u[i] > l[i] {
			return true
		}
	}
	return false
}

// highestCap returns, for each resource, the highest cap of a team that was in force at any
// time since then.
func (c *quotaCheck) highestCap(name string, since time.Time) resource.Vector {
	var highest resource.Vector
	unlimited := [resource.KindCount]bool{}
	for i, v := range c.history {
		if i+1 < len(c.history) && c.history[i+1].at.Before(since) {
			continue
		}
		for k, amount := range v.caps[name].Amounts() {
			unlimited[k] = unlimited[k] || amount == 0
		}
		highest = highest.Max(v.caps[name])
	}
	if unlimited[0] {
		highest.Milliprocessors = 0
	}
	if unlimited[1] {
		highest.MemoryMebibytes = 0
	}
	return highest
}

// checkStart checks a run that has just started. The limit is the highest cap in force from
// configurationApplyTime before its order was sent: an order that is executed late was sent
// under an earlier configuration.
func (c *quotaCheck) checkStart(on *fleet.Worker, s backend.Start) {
	sm := c.simulation
	name, _ := c.stepOf(s.Task)
	if name == "" {
		return
	}
	sent := sm.startSentAt[startKey{s.Task, s.Run}]
	used, limit := c.used(name), c.highestCap(name, sent.Add(-configurationApplyTime))
	if exceeds(used, limit) {
		sm.reportViolation("QUOTA: run %d of task %s starts on %s by an order sent %s ago, after which team %s uses %s of %s",
			s.Run, s.Task, on.Registration.Life.ID, sm.now.Sub(sent), name, used, limit)
	}
	c.starts++
	if exceeds(used.Add(taskSize), limit) {
		c.startsAtTheCap++
	}
}

// checkOrder checks a start order that is being sent: with the run, the team must use no more
// than the cap that this leader knows.
func (c *quotaCheck) checkOrder(l *simulatedLeader, o *backend.Start) {
	name, st := c.stepOf(o.Task)
	if name == "" || l.scheduler.Table().Teams.Len() == 0 {
		return
	}
	if used, limit := c.used(name).Add(st.Size), c.known[l][name]; exceeds(used, limit) {
		c.simulation.reportViolation("QUOTA: run %d of task %s is ordered by the leader of epoch %d, with which team %s would use %s of %s", o.Run, o.Task, l.epoch, name, used, limit)
	}
}

// capChange is a configuration that is published at a given time.
type capChange struct {
	at   time.Duration
	caps caps
}

var quotaTeams = []string{"team-a", "team-b", "team-c"}

// drawCaps draws caps of 1 to 12 tasks. Some teams have none, or are not configured.
func drawCaps(t *rapid.T, first bool) caps {
	v := caps{}
	for _, name := range quotaTeams {
		tasks := 1 + int(drawUniform(t, "cap", 12))
		switch drawUniform(t, "kind", 8) {
		case 0:
			if !first {
				continue
			}
			v[name] = quota.Times(taskSize, tasks)
		case 1:
			v[name] = resource.Vector{MemoryMebibytes: int64(tasks) * taskSize.MemoryMebibytes}
		case 2:
			v[name] = resource.Vector{Milliprocessors: int64(tasks)*taskSize.Milliprocessors + 1200}
		default:
			v[name] = quota.Times(taskSize, tasks)
		}
	}
	return v
}

// quotaPlan determines one simulation: jobs of teams, faults and changes of the caps.
type quotaPlan struct {
	cancellationPlan
	first   caps
	changes []capChange
}

func drawQuotaPlan(t *rapid.T) quotaPlan {
	p := quotaPlan{cancellationPlan: drawCancellationPlan(t), first: drawCaps(t, true)}
	for i := range 6 + drawUniform(t, "furtherJobs", 24) {
		p.jobs = append(p.jobs, drawPlannedJob(t, 100+int(i)))
	}
	for i := range p.jobs {
		j := p.jobs[i].job
		j.Team = quotaTeams[drawUniform(t, "team", int64(len(quotaTeams)))]
		if drawUniform(t, "short", 3) > 0 {
			p.jobs[i].runTime = drawDuration(t, "shortRunTime", 100*time.Millisecond, 3*time.Second)
		}
		st := &j.Steps[0]
		st.Fills = !st.Gang && !p.jobs[i].firstTaskFails && drawUniform(t, "fills", 4) == 0 // submit gives a failing task its full size.
		if drawUniform(t, "moreTasks", 4) == 0 {
			st.Count = 1 + int(drawUniform(t, "manyTasks", 9))
		}
		if !st.Lasting && drawUniform(t, "twoSteps", 4) == 0 {
			next := *st
			next.After, next.Count = []int{0}, 2
			j.Steps = append(j.Steps, next)
		}
	}
	for range drawUniform(t, "changes", 5) {
		p.changes = append(p.changes, capChange{drawDuration(t, "at", time.Second, cancellationFaultPeriod), drawCaps(t, false)})
	}
	return p
}

// play runs the simulation and returns it. In the end, each team runs a gang that needs its
// whole cap: a charge that is never released would prevent that.
func (p quotaPlan) play(log logr.Logger) *simulation {
	sm := newSimulation(p.seed, p.probabilities)
	sm.log, sm.holdsWait = log, true
	sm.quotas = &quotaCheck{simulation: sm, known: map[*simulatedLeader]caps{}}
	sm.addWorkers(cancellationWorkers, workerCapacity)
	sm.quotas.publish(p.first)
	sm.electLeader()
	c := newCancellationCheck(sm)
	for _, j := range p.jobs {
		j.submit(sm)
	}
	for _, f := range p.faults {
		sm.schedule(f.at, func() { c.inject(f) })
	}
	for _, v := range p.changes {
		sm.schedule(v.at, func() { sm.quotas.publish(v.caps) })
	}
	sm.runFor(cancellationPeriod)
	sm.faultProbabilities = faultProbabilities{}
	for _, j := range sm.jobs {
		sm.cancel(j.ID)
	}
	sm.runFor(quotaSettleTime)
	// Workers that have left are replaced, so that all gangs find room.
	for i := range 12 {
		sm.addWorker(backend.Registration{Life: backend.Life{ID: fmt.Sprintf("worker-%d", 90+i), Born: 1}, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8400), Service: "desk", Zone: "zone-0", Capacity: workerCapacity})
	}
	last := caps{}
	for _, name := range quotaTeams {
		last[name] = quota.Times(taskSize, 8)
	}
	sm.quotas.publish(last)
	sm.runFor(configurationApplyTime)
	for _, name := range quotaTeams {
		sm.submit(&work.Job{ID: name, Team: name, Queue: "urgent", Steps: []work.Step{{Count: 8, Gang: true, Size: taskSize}}}, fleet.TaskProfile{RunTime: time.Second})
	}
	sm.runFor(quotaFinalTime)
	for _, name := range quotaTeams {
		if state, _ := sm.leaders[len(sm.leaders)-1].scheduler.Status(name); state != work.Completed {
			sm.reportViolation("QUOTA: the gang that needs the whole cap of team %s is %s", name, state)
		}
	}
	return sm
}

// addRestarts makes workers restart often while many orders are executed late. A late order is
// only executed if its worker restarts twice meanwhile: the next process refuses it once it
// has answered a hold.
func (p *quotaPlan) addRestarts(t *rapid.T) {
	p.probabilities.lateCallProbability = 0.2
	from := drawDuration(t, "restartsAt", time.Second, cancellationFaultPeriod/2)
	for i := range 30 {
		at := from + drawDuration(t, "at", 0, 8*time.Second)
		p.faults = append(p.faults, cancellationFault{at: at, kind: "worker restarts", worker: i % 5})
	}
}

// quotaCounts sums what the plans of a test have done. others counts the violations of other
// promises.
type quotaCounts struct{ plans, starts, atTheCap, others int }

func (n *quotaCounts) add(sm *simulation) {
	n.plans, n.starts, n.atTheCap = n.plans+1, n.starts+sm.quotas.starts, n.atTheCap+sm.quotas.startsAtTheCap
}

func (n *quotaCounts) check(t *testing.T) {
	t.Logf("%d plans, %d starts, %d of them at the cap; %d violations of other promises", n.plans, n.starts, n.atTheCap, n.others)
	if n.atTheCap == 0 {
		t.Error("no team has reached its cap")
	}
}

// A team must not exceed its cap through any path that starts work, and must not lose quota
// to runs that have ended.
func TestNoStartExceedsTheCap(t *testing.T) {
	seeded.SetChecks(t, 40)
	var n quotaCounts
	rapid.Check(t, func(rt *rapid.T) {
		sm := drawQuotaPlan(rt).play(logr.Discard())
		for _, v := range sm.violations {
			rt.Errorf("%s", v)
		}
		n.add(sm)
	})
	n.check(t)
}

// An order that a restarted worker executes late must count until then. Only the quotas are
// required: with so many restarts and late orders, other promises are broken in a few plans,
// also without teams (see KNOWN-RED.txt). These are counted.
func TestNoStartExceedsTheCapWhileWorkersRestart(t *testing.T) {
	seeded.SetChecks(t, 20)
	var n quotaCounts
	rapid.Check(t, func(rt *rapid.T) {
		p := drawQuotaPlan(rt)
		p.addRestarts(rt)
		sm := p.play(logr.Discard())
		for _, v := range sm.violations {
			if strings.Contains(v, "QUOTA") {
				rt.Errorf("%s", v)
			} else {
				n.others++
			}
		}
		n.add(sm)
	})
	n.check(t)
}
