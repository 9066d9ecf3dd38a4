package scheduler_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// cancelLimit and stopGrace bound, together, the time from a stored cancellation to
	// the end of the last run of the job.
	cancelLimit = 3 * time.Second
	stopGrace   = 900 * time.Millisecond
	// takeOverLimit is the time within which a new leader opens its sessions.
	takeOverLimit = time.Second
	// heartbeatInterval is the interval at which a worker confirms its entry in the list of
	// workers. After missedHeartbeats intervals without one, the entry lapses.
	heartbeatInterval = 1500 * time.Millisecond
	missedHeartbeats  = 3
	// maxListingDelay is the longest time from a heartbeat until its entry is back.
	maxListingDelay = 500 * time.Millisecond
	// electionDelay is the time after which a leader that can't renew its claim is replaced.
	electionDelay = 1300 * time.Millisecond
	// checkInterval is the interval between two checks of all runs.
	checkInterval = 50 * time.Millisecond
	// cancellationFaultPeriod is the time in which faults begin, and cancellationPeriod
	// the length of the whole simulation.
	cancellationFaultPeriod = 16 * time.Second
	cancellationPeriod      = 32 * time.Second
	cancellationWorkers     = 9
)

// callFaults holds the faults of calls that are not random.
type callFaults struct {
	// answersLostUntil maps a zone to the time until which its keeper loses all answers.
	answersLostUntil map[string]time.Time
	// workerAnswersLostUntil maps the ID of a worker to the time until which it executes
	// calls, but its answers are lost. pausedUntil maps it to the time until which it
	// executes no calls; those that have arrived are then executed late.
	workerAnswersLostUntil, pausedUntil map[string]time.Time
	// cutFromLatestLeaderUntil maps a zone to the time until which only the predecessors of
	// the latest leader reach its workers.
	cutFromLatestLeaderUntil map[string]time.Time
	// unknownLossUntil maps the ID of a worker to the time at which the leader notices
	// that the last lost call to it was lost.
	unknownLossUntil map[string]time.Time
	// reusedAddresses contains the IDs of the ended workers whose address belongs to a
	// worker with another ID.
	reusedAddresses map[string]bool
}

func newCallFaults() callFaults {
	return callFaults{answersLostUntil: map[string]time.Time{}, workerAnswersLostUntil: map[string]time.Time{}, pausedUntil: map[string]time.Time{}, cutFromLatestLeaderUntil: map[string]time.Time{}, unknownLossUntil: map[string]time.Time{}, reusedAddresses: map[string]bool{}}
}

// noteLostCall records that a call to a worker is lost. The leader notices that after
// lostCallTimeout.
func (sm *simulation) noteLostCall(id string) {
	sm.callFaults.unknownLossUntil[id] = sm.now.Add(lostCallTimeout)
}

// read passes a change of the stored state to the scheduler once the leader can read it.
func (l *simulatedLeader) read(change func(at time.Time)) {
	if l.cutOffFromStore && !l.deposed {
		l.simulation.schedule(50*minEventDelay, func() { l.read(change) })
		return
	}
	l.updateScheduler(change)
}

// holdPollInterval is how often a worker looks for ends of runs while a hold waits.
const holdPollInterval = 100 * time.Millisecond

// awaitRunEnd answers a hold when an end of a run is listed or the wait is over. The answer
// is lost if the worker can't be reached then. A hold that the leader interrupts fails.
func (l *simulatedLeader) awaitRunEnd(v *fleet.Worker, h backend.Hold, r backend.Report, until time.Time, answer func(backend.Report), onLost func()) {
	sm := l.simulation
	if !sm.holdsWait || h.Wait == 0 || len(r.Ended) > 0 {
		answer(r)
		return
	}
	life, zone := v.Registration.Life, v.Registration.Zone
	keeperGeneration := sm.keeperGenerations[zone]
	var poll func()
	poll = func() {
		r, kind := backend.Report{}, backend.KindUnknown
		if sm.workers[life] == v {
			r, kind = v.Hold(h, sm.now)
		}
		switch {
		case kind != "" || l.holdsToInterrupt[life]:
			onLost()
		case len(r.Ended) == 0 && sm.now.Before(until):
			sm.schedule(holdPollInterval, poll)
		case sm.unreachableWorkers[life] || l.epoch == sm.epoch && sm.now.Before(sm.callFaults.cutFromLatestLeaderUntil[zone]) || sm.keeperGenerations[zone] != keeperGeneration || sm.now.Before(sm.callFaults.answersLostUntil[zone]) || sm.now.Before(sm.callFaults.workerAnswersLostUntil[life.ID]):
			sm.schedule(lostCallTimeout, onLost)
		default:
			answer(r)
		}
	}
	sm.schedule(holdPollInterval, poll)
}

// runOnWorker identifies a run, except for its number.
type runOnWorker struct {
	life backend.Life
	task work.TaskID
}

// cancellationCheck checks, while a simulation runs, that runs of ended jobs end and that
// the leader holds all others.
//
// STOP: once a cancellation or a failure of a job is stored, each run of the job ends
// within cancelLimit + stopGrace of reachable time. A moment is reachable for a run if a
// leader leads that is elected and neither killed, frozen nor cut off from the store, if
// calls to the worker and their answers arrive, and if no call to it is lost that the
// leader still waits for. The platform excuses orders of a VM during the same faults:
// kills, freezes, lost packets, no path to the platform. An entry that
// is missing in the list of workers, a change of leader that is over, workers that drain
// and restarts of workers excuse nothing. The rules take a calm stretch of the whole length
// and a further time after each fault. Here all calm moments are added up, so that
// repeated faults give no new time.
//
// HELD: takeOverLimit after it began to lead, the leader has a session with each reachable
// worker on which a task runs that is placed there by the stored progress.
type cancellationCheck struct {
	faultInjector
	// goesOnFor maps each run of an ended job to the reachable time for which it has gone
	// on.
	goesOnFor map[runOnWorker]time.Duration
	// ledFor is the time for which a leader has led.
	ledFor map[*simulatedLeader]time.Duration
	// reported contains the runs that have broken a promise.
	reported map[string]bool
}

// faultInjector keeps the list of workers by their heartbeats and begins faults that last.
type faultInjector struct {
	simulation *simulation
	// zoneCutUntil maps a zone to the time until which its workers are unreachable and can't
	// send heartbeats. callsLostUntil maps a zone to the time until which its workers are
	// unreachable.
	zoneCutUntil, callsLostUntil map[string]time.Time
	// silentUntil maps the ID of a worker to the time until which it can't send heartbeats.
	silentUntil map[string]time.Time
	// lastHeartbeat maps the ID of a worker to its last heartbeat.
	lastHeartbeat map[string]time.Time
	nextHeartbeat map[backend.Life]time.Time
}

func newFaultInjector(sm *simulation) faultInjector {
	return faultInjector{
		simulation: sm, zoneCutUntil: map[string]time.Time{}, callsLostUntil: map[string]time.Time{}, silentUntil: map[string]time.Time{}, lastHeartbeat: map[string]time.Time{}, nextHeartbeat: map[backend.Life]time.Time{},
	}
}

func newCancellationCheck(sm *simulation) *cancellationCheck {
	c := &cancellationCheck{faultInjector: newFaultInjector(sm), goesOnFor: map[runOnWorker]time.Duration{}, ledFor: map[*simulatedLeader]time.Duration{}, reported: map[string]bool{}}
	c.check()
	return c
}

// presentLeader returns the leader that knows that it leads, or nil.
func (c *cancellationCheck) presentLeader() *simulatedLeader {
	l := c.simulation.leaders[len(c.simulation.leaders)-1]
	if l.deposed || l.frozen || l.cutOffFromStore {
		return nil
	}
	return l
}

// check does what is due at this moment and checks all runs. It repeats this every
// checkInterval.
func (c *cancellationCheck) check() {
	sm := c.simulation
	l := c.presentLeader()
	if l != nil {
		c.ledFor[l] += checkInterval
	}
	goOn := map[runOnWorker]bool{}
	for _, life := range sm.sortedLives() {
		v := sm.workers[life]
		c.updateEntry(v)
		v.Advance(sm.now)
		running := v.Running()
		slices.SortFunc(running, func(a, b work.TaskID) int { return a.Compare(b) })
		for _, t := range running {
			r := runOnWorker{life, t}
			goOn[r] = true
			c.checkStopped(l, v, r)
			c.checkHeld(l, r)
		}
	}
	for r := range c.goesOnFor {
		if !goOn[r] {
			delete(c.goesOnFor, r)
		}
	}
	c.removeLapsedEntries()
	sm.schedule(checkInterval, c.check)
}

// removeLapsedEntries removes the workers that have not sent heartbeats from the list.
func (c *faultInjector) removeLapsedEntries() {
	sm := c.simulation
	for _, id := range slices.Sorted(maps.Keys(sm.listed)) {
		if sm.now.Sub(c.lastHeartbeat[id]) > missedHeartbeats*heartbeatInterval {
			delete(sm.listed, id)
		}
	}
}

// updateEntry updates whether a worker is reachable and lets it send a heartbeat if that is due.
func (c *faultInjector) updateEntry(v *fleet.Worker) {
	sm, life := c.simulation, v.Registration.Life
	cut := sm.now.Before(c.zoneCutUntil[v.Registration.Zone])
	sm.unreachableWorkers[life] = cut || sm.now.Before(c.callsLostUntil[v.Registration.Zone])
	if cut || sm.now.Before(c.silentUntil[life.ID]) || sm.now.Before(c.nextHeartbeat[life]) {
		return
	}
	if c.nextHeartbeat[life].IsZero() { // The workers send heartbeats one after the other.
		c.nextHeartbeat[life] = sm.now.Add(sm.randomDuration(0, heartbeatInterval))
		if sm.listed[life.ID] == v {
			c.lastHeartbeat[life.ID] = sm.now
		}
		return
	}
	c.nextHeartbeat[life] = sm.now.Add(heartbeatInterval)
	if sm.listed[life.ID] == v {
		c.lastHeartbeat[life.ID] = sm.now
		return
	}
	sm.schedule(sm.randomDuration(0, maxListingDelay), func() {
		if sm.workers[life] == v {
			sm.listed[life.ID], c.lastHeartbeat[life.ID] = v, sm.now
		}
	})
}

func (c *cancellationCheck) checkStopped(l *simulatedLeader, v *fleet.Worker, r runOnWorker) {
	sm, id := c.simulation, r.task.Job
	failed := sm.storedProgress[id] != nil && sm.storedProgress[id].State == work.Failed
	if l == nil || !sm.cancelledJobs[id] && !failed || sm.unreachableWorkers[r.life] ||
		sm.now.Before(sm.callFaults.answersLostUntil[v.Registration.Zone]) || sm.now.Before(sm.callFaults.unknownLossUntil[r.life.ID]) {
		return
	}
	c.goesOnFor[r] += checkInterval
	if c.goesOnFor[r] > cancelLimit+stopGrace {
		c.report(l, "STOP", r, "goes on, although its job has ended")
	}
}

func (c *cancellationCheck) checkHeld(l *simulatedLeader, r runOnWorker) {
	sm := c.simulation
	if l == nil || c.ledFor[l] <= takeOverLimit || sm.unreachableWorkers[r.life] || !isPlacedOn(sm.storedProgress[r.task.Job], r.task, r.life.ID) {
		return
	}
	for held := range l.sessions {
		if held.ID == r.life.ID { // Calls name the worker by its ID only.
			return
		}
	}
	c.report(l, "HELD", r, "has no session at the leader")
}

// report records a violation, once for each run.
func (c *cancellationCheck) report(l *simulatedLeader, promise string, r runOnWorker, text string) {
	key := fmt.Sprint(promise, r)
	if c.reported[key] {
		return
	}
	c.reported[key] = true
	sm := c.simulation
	sm.reportViolation("%s: task %s on %s, born %d, %s of epoch %d, which has led for %s; session: %t, listed: %t",
		promise, r.task, r.life.ID, r.life.Born, text, l.epoch, c.ledFor[l], l.sessions[r.life], sm.listed[r.life.ID] == sm.workers[r.life])
}

// isPlacedOn reports whether a task is placed on a worker by the stored progress.
func isPlacedOn(p *work.Progress, id work.TaskID, worker string) bool {
	return placedOn(p, id) == worker
}

// placedOn returns the ID of the worker on which the stored progress places a task, or "".
func placedOn(p *work.Progress, id work.TaskID) string {
	if p == nil {
		return ""
	}
	for _, sp := range p.Steps {
		for _, t := range sp.Tasks {
			if sp.Occurrence == id.Occurrence && sp.Step == id.Step && t.Index == id.Index && !t.Done {
				return t.Worker
			}
		}
	}
	return ""
}

// cancellationFault is a fault that begins at a given time of the simulation.
type cancellationFault struct {
	at     time.Duration
	kind   string
	worker int
	length time.Duration
}

// cancellationFaults lists the kinds of faults; frequent ones are repeated.
var cancellationFaults = []string{
	"leader killed", "leader frozen", "leader replaced twice", "leader cut off from the store", "keeper replaced", "keeper loses answers", "keeper loses calls",
	"zone cut", "zone cut", "zone cut", "entries lapse", "worker drains", "worker restarts", "address reused",
}

func drawCancellationFault(t *rapid.T) cancellationFault {
	return cancellationFault{
		kind:   cancellationFaults[drawUniform(t, "kind", int64(len(cancellationFaults)))],
		at:     drawDuration(t, "at", 0, cancellationFaultPeriod),
		worker: int(drawUniform(t, "worker", cancellationWorkers)),
		length: drawDuration(t, "length", 100*time.Millisecond, 8*time.Second),
	}
}

// drawUniform draws a number from 0 to n-1. The integers of rapid are mostly small, so that
// the faults would seldom overlap.
func drawUniform(t *rapid.T, label string, n int64) int64 {
	return rand.New(rand.NewPCG(rapid.Uint64().Draw(t, label), 1)).Int64N(n)
}

func drawDuration(t *rapid.T, label string, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(drawUniform(t, label, int64(longest-shortest)))
}

// inject begins a fault now.
func (c *faultInjector) inject(f cancellationFault) {
	sm := c.simulation
	id, zone := fmt.Sprintf("worker-%d", f.worker), fmt.Sprintf("zone-%d", f.worker%3)
	l := sm.leaders[len(sm.leaders)-1]
	until := sm.now.Add(f.length)
	switch f.kind {
	case "leader killed":
		sm.restartLeader(min(f.length, electionDelay))
	case "leader frozen":
		l.frozen = true
		sm.schedule(f.length, func() { l.frozen = false })
		c.supersede(l, f.length)
	case "leader replaced twice":
		sm.restartLeader(min(f.length, electionDelay))
		sm.schedule(min(f.length, electionDelay)+f.length/4, func() { sm.restartLeader(min(f.length, electionDelay)) })
	case "leader cut off from the store":
		l.cutOffFromStore = true
		sm.schedule(f.length, func() { l.cutOffFromStore = false })
		c.supersede(l, f.length)
	case "keeper replaced":
		sm.keeperGenerations[zone]++
	case "keeper loses answers":
		sm.callFaults.answersLostUntil[zone] = until
	case "keeper loses calls":
		c.callsLostUntil[zone] = until
	case "zone cut":
		c.zoneCutUntil[zone] = until
	case "entries lapse":
		for i := f.worker; i < cancellationWorkers; i++ {
			other := fmt.Sprintf("worker-%d", i)
			c.silentUntil[other] = until
			delete(sm.listed, other)
		}
	case "worker drains":
		if v := sm.currentProcess(id); v != nil {
			v.Registration.Draining, v.Registration.Remaining = true, f.length
			sm.schedule(f.length+time.Second, func() { sm.exit(v) })
		}
	case "worker restarts":
		if v := sm.currentProcess(id); v != nil {
			sm.exit(v)
			r := v.Registration
			r.Life.Born += 1000
			sm.startProcess(r)
		}
	case "address reused":
		if v := sm.currentProcess(id); v != nil {
			sm.exit(v)
			sm.callFaults.reusedAddresses[id] = true
			r := v.Registration
			r.Life = backend.Life{ID: id + "-next", Born: r.Life.Born + 1000}
			sm.startProcess(r)
		}
	}
}

// supersede elects another leader if the present one is impaired for long enough.
func (c *faultInjector) supersede(l *simulatedLeader, impairedFor time.Duration) {
	if impairedFor < electionDelay {
		return
	}
	sm := c.simulation
	sm.schedule(electionDelay, func() {
		if l == sm.leaders[len(sm.leaders)-1] {
			sm.electLeader()
		}
	})
}

// plannedJob is a job that is submitted at a given time of the simulation and may be
// cancelled later.
type plannedJob struct {
	job         *work.Job
	runTime     time.Duration
	submittedAt time.Duration
	cancelled   bool
	cancelAfter time.Duration
	// firstTaskFails makes the first task fail until it has used up its attempts. The others
	// still run then.
	firstTaskFails bool
}

func drawPlannedJob(t *rapid.T, number int) plannedJob {
	step := work.Step{Count: rapid.IntRange(1, 4).Draw(t, "tasks"), Size: taskSize, Estimate: time.Second}
	p := plannedJob{
		runTime:     drawDuration(t, "runTime", 100*time.Millisecond, 25*time.Second),
		submittedAt: drawDuration(t, "submittedAt", 0, cancellationFaultPeriod/2),
		cancelled:   drawUniform(t, "cancelled", 4) > 0,
		cancelAfter: drawDuration(t, "cancelAfter", 0, 12*time.Second),
	}
	switch rapid.SampledFrom([]string{"lasting", "lasting", "long", "gang", "speculative", "failing"}).Draw(t, "kind") {
	case "lasting":
		step.Lasting = true
	case "gang":
		step.Gang = true
	case "speculative":
		step.Speculative = true
	case "failing":
		p.firstTaskFails = true
	}
	p.job = &work.Job{ID: fmt.Sprintf("job-%d", number), Queue: rapid.SampledFrom([]string{"urgent", "batch", "advised"}).Draw(t, "queue"), Steps: []work.Step{step}}
	return p
}

// submit submits the job at its time.
func (p plannedJob) submit(sm *simulation) {
	sm.schedule(p.submittedAt, func() {
		sm.submit(p.job, fleet.TaskProfile{RunTime: p.runTime})
		if p.firstTaskFails {
			first := work.TaskID{StepID: work.StepID{Job: p.job.ID}}
			sm.taskProfiles[first] = fleet.TaskProfile{Size: taskSize, RunTime: 300 * time.Millisecond, Fails: true}
		}
		if p.cancelled {
			sm.schedule(p.cancelAfter, func() { sm.cancel(p.job.ID) })
		}
	})
}

// cancellationPlan determines one simulation.
type cancellationPlan struct {
	seed          uint64
	probabilities faultProbabilities
	jobs          []plannedJob
	faults        []cancellationFault
}

func drawCancellationPlan(t *rapid.T) cancellationPlan {
	p := cancellationPlan{seed: rapid.Uint64().Draw(t, "seed"), probabilities: faultProbabilities{
		lostAnswerProbability: rapid.SampledFrom([]float64{0, 0.04, 0.1}).Draw(t, "lostAnswers"),
		lateCallProbability:   rapid.SampledFrom([]float64{0, 0.02, 0.05}).Draw(t, "lateCalls"),
	}}
	for i := range 1 + drawUniform(t, "jobs", 8) {
		p.jobs = append(p.jobs, drawPlannedJob(t, int(i)))
	}
	for range drawUniform(t, "faults", 11) {
		p.faults = append(p.faults, drawCancellationFault(t))
	}
	return p
}

// play runs the simulation and returns the violations.
func (p cancellationPlan) play(log logr.Logger) []string {
	sm := newSimulation(p.seed, p.probabilities)
	sm.log, sm.holdsWait = log, true
	sm.addWorkers(cancellationWorkers, workerCapacity)
	sm.electLeader()
	c := newCancellationCheck(sm)
	for _, j := range p.jobs {
		j.submit(sm)
	}
	for _, f := range p.faults {
		sm.schedule(f.at, func() { c.inject(f) })
	}
	sm.runFor(cancellationPeriod)
	return sm.violations
}

// Runs of cancelled jobs went on after a leader had taken over while a zone was cut off.
func TestCancelledRunsStopUnderFaults(t *testing.T) {
	seeded.SetChecks(t, 60)
	rapid.Check(t, func(rt *rapid.T) {
		for _, v := range drawCancellationPlan(rt).play(logr.Discard()) {
			rt.Errorf("%s", v)
		}
	})
}
