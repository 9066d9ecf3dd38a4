package entryvm

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
)

const (
	// producerName is the producer name of progress records. The producer epoch is the
	// epoch of the claim.
	producerName = "leader"
	// minPlanPause is the shortest pause after a planning pass.
	minPlanPause = 4 * time.Millisecond
	// planPauseFactor is the least ratio of the pause after a planning pass to the
	// duration of the pass. The pause leaves processor time for orders and reports.
	planPauseFactor = 2
	// tickInterval is the pause between two ticks of the scheduler's clock.
	tickInterval = 100 * time.Millisecond
	// jobsReadInterval is the pause between two reads of a partition of jobs. VMs that
	// store a job also send it to the leader directly. The interval is well below
	// maxJobsReadAge, since only a read proves that no stored job is missing.
	jobsReadInterval = 1200 * time.Millisecond
	// maxJobsReadAge is how long ago the last read of a partition of jobs may have begun
	// for the leader to report an unknown job as non-existent.
	maxJobsReadAge = 2 * time.Second
	// registrationsReadInterval is the pause between two reads of worker registrations.
	registrationsReadInterval = 350 * time.Millisecond
	// commitPause is the pause between two commits, so that each contains more changes.
	commitPause = 6 * time.Millisecond
	// renewInterval is the longest pause between appends that renew the claim.
	renewInterval = time.Second
	// renewalKey is the key of records that only renew the claim.
	renewalKey = "renewal"
	// restoreTimeout limits the time for which a new leader may read the stored state.
	// Then it steps down, so that another VM can lead.
	restoreTimeout = 12 * time.Second
	// yieldToFitterAfter is how long a leader leads before it hands over to a much fitter
	// VM, and yieldWithoutStoreAfter how long before it hands over because it does not
	// reach the store directly. Relaying every record through another VM delays jobs of
	// several steps.
	yieldToFitterAfter     = 3 * time.Second
	yieldWithoutStoreAfter = 700 * time.Millisecond
	// adviceMargin is how much longer than the adviser's timeout the leader waits for
	// another VM to return the advice. It covers the round trip and some load.
	adviceMargin = 250 * time.Millisecond
	// cancelSuffix follows the job ID in the key of a cancellation record.
	cancelSuffix = "/cancel"
)

// leader schedules the jobs of the cell while this VM holds the claim with the highest
// epoch.
type leader struct {
	node  *Node
	epoch int64
	ctx   context.Context
	stop  context.CancelFunc
	// commitSignal wakes the commit loop, and planSignal the planning loop.
	commitSignal chan struct{}
	planSignal   chan struct{}
	// renewSignal makes the commit loop renew the claim at once.
	renewSignal chan struct{}

	mutex     sync.Mutex
	scheduler *scheduler.Scheduler
	sessions  map[backend.Life]*session
	// committed is closed and replaced after each commit.
	committed chan struct{}
	// lastJobsRead is when the last successful read of each partition of jobs began.
	lastJobsRead []time.Time
	// jobPartitions holds a bit mask of the partitions that contain records of each job.
	jobPartitions map[string]uint64
	// serving is true once the stored state is restored.
	serving bool
	// nextSequence is the sequence number of the next append as producer.
	nextSequence int64

	// registrations holds the registration of each worker by its ID.
	registrations map[string]backend.Registration
	// leadingSince is when this VM began to lead, or last tried to hand over.
	leadingSince time.Time
	// lastAnswer is when each entry VM last answered a heartbeat, and reachesStore
	// whether it then reached the store directly.
	lastAnswer   map[string]time.Time
	reachesStore map[string]bool
	// outdated tracks the entry VMs with an older configuration.
	outdated *outdatedVMs
}

func newLeader(ctx context.Context, n *Node, epoch int64) *leader {
	ctx, stop := context.WithCancel(ctx)
	return &leader{
		node: n, epoch: epoch, ctx: ctx, stop: stop,
		commitSignal: make(chan struct{}, 1), planSignal: make(chan struct{}, 1), renewSignal: make(chan struct{}, 1),
		scheduler: scheduler.New(n.settings.Timing, epoch, now(), time.Now(), n.log),
		sessions:  map[backend.Life]*session{}, committed: make(chan struct{}),
		lastJobsRead: make([]time.Time, n.settings.Partitions), jobPartitions: map[string]uint64{},
		registrations: map[string]backend.Registration{}, lastAnswer: map[string]time.Time{}, reachesStore: map[string]bool{}, outdated: newOutdatedVMs(), leadingSince: now(),
	}
}

// run restores the stored state and leads until the claim is lost.
func (l *leader) run() {
	defer l.retire()
	go l.sendHeartbeats()
	restoreTimer := time.AfterFunc(restoreTimeout, l.abortRestore)
	offsets, err := l.restore()
	restoreTimer.Stop()
	if err != nil {
		l.node.log.Info("take_over_failed", "epoch", l.epoch, "error", err.Error())
		return
	}
	if t := l.node.configuration.current(); t != nil {
		l.setTable(t)
	}
	for part, from := range offsets {
		go l.tailJobs(part, from)
	}
	l.assignKeepers()
	go l.tailRegistrations()
	go l.planLoop()
	go l.tickLoop()
	l.commitLoop()
}

// retire stops the leader and closes its connections to workers.
func (l *leader) retire() {
	l.stop()
	l.node.swapLeader(l, nil)
	l.mutex.Lock()
	for _, s := range l.sessions {
		s.close()
	}
	l.mutex.Unlock()
	l.node.log.Info("leader_retired", "epoch", l.epoch)
}

// update changes the state of the scheduler and applies the effects. It does nothing
// once the leader is stopped.
func (l *leader) update(change func(s *scheduler.Scheduler, at time.Time)) {
	l.mutex.Lock()
	if l.ctx.Err() != nil {
		l.mutex.Unlock()
		return
	}
	change(l.scheduler, now())
	e := l.scheduler.TakeEffects()
	needsPlan := l.scheduler.NeedsPlan()
	l.applyEffects(&e)
	l.mutex.Unlock()
	signal(l.commitSignal)
	if needsPlan {
		signal(l.planSignal)
	}
}

// signal sends a value to a channel of capacity 1, unless it already contains one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyEffects opens and closes sessions and starts the calls that the scheduler has
// requested. It does not wait for them. The caller must hold the mutex.
func (l *leader) applyEffects(e *scheduler.Effects) {
	for i := range e.Opened {
		r := e.Opened[i]
		s := newSession(l, r)
		l.sessions[r.Life] = s
		go s.run()
	}
	for _, life := range e.Closed {
		if s := l.sessions[life]; s != nil {
			s.close()
			delete(l.sessions, life)
		}
	}
	for i := range e.Starts {
		if s := l.sessions[e.Starts[i].Worker]; s != nil {
			go s.sendStart(e.Starts[i].Order)
		}
	}
	for i := range e.Stops {
		if s := l.sessions[e.Stops[i].Worker]; s != nil {
			go s.sendStop(e.Stops[i].Order)
		}
	}
	for i := range e.Paces {
		if s := l.sessions[e.Paces[i].Worker]; s != nil {
			go s.sendPace(e.Paces[i].Order)
		}
	}
	for _, life := range e.Wake {
		if s := l.sessions[life]; s != nil {
			s.wake()
		}
	}
	for i := range e.AdviceRequests {
		go l.requestAdvice(e.AdviceRequests[i])
	}
	for _, o := range e.Observations {
		l.node.measures.Observe(measure.Key{Name: o.Name, Label: o.Queue}, o.Took)
	}
	if len(e.Dropped) > 0 {
		go l.deleteSubmissions(e.Dropped)
	}
}

// setTable passes the configuration to the scheduler.
func (l *leader) setTable(t *queue.Table) {
	l.update(func(s *scheduler.Scheduler, _ time.Time) { s.SetTable(t) })
}

// planLoop plans the placement of waiting tasks after each planSignal.
func (l *leader) planLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.planSignal:
		}
		begun := now()
		l.update(func(s *scheduler.Scheduler, at time.Time) { s.Plan(at) })
		sleep(l.ctx, max(minPlanPause, planPauseFactor*now().Sub(begun)))
	}
}

// tickLoop advances the scheduler's clock every tickInterval, refreshes the keepers
// and hands the leadership over if another VM should lead.
func (l *leader) tickLoop() {
	for sleep(l.ctx, tickInterval) {
		l.assignKeepers()
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			s.Tick(at)
			s.SetAdviceVMs(l.reachableVMs(at))
		})
		if successors := l.successors(now()); len(successors) > 0 {
			l.leadingSince = now() // Delays the next attempt to hand over.
			l.node.election.handOver(l.ctx, successors)
		}
	}
}

// requestAdvice has an entry VM call the adviser and passes the answer to the
// scheduler. The VM applies the timeout itself and the leader waits adviceMargin
// longer: if the leader's call timed out, it would lose the connection to the VM,
// which other calls share.
func (l *leader) requestAdvice(a scheduler.AdviceRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, a.Timeout+adviceMargin)
	defer cancel()
	var answer backend.Advice
	var err error
	if a.VM == l.node.settings.Name {
		answer, err = l.node.dependencies.Adviser.Advise(ctx, a.Step, a.Workers)
	} else if m, ok := l.node.members.find(a.VM); ok {
		answer, err = link.Call[AdviceArgs, backend.Advice](ctx, l.node.client, m.Address, "Advise", AdviceArgs{Step: a.Step, Workers: a.Workers, Timeout: a.Timeout})
	} else {
		err = fault.Newf("ask", KindNoLeader, "entry VM %s is not known", a.VM)
	}
	if err != nil && l.ctx.Err() == nil {
		l.node.log.Info("advice_not_received", "vm", a.VM, "job", a.Step.Job, "error", err.Error())
	}
	l.update(func(s *scheduler.Scheduler, at time.Time) { s.AdviceAnswered(a.Number, answer, err != nil, at) })
}

// status returns the reply to a question about the state of a job.
func (l *leader) status(id string) StateReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.serving || l.ctx.Err() != nil {
		return StateReply{}
	}
	state, known := l.scheduler.Status(id, l.hasQuorum(now()))
	return StateReply{Leading: true, Known: known, State: state, Fresh: l.jobsUpToDate()}
}

// pending returns the reply to a question about the number of jobs of a queue that
// have not started.
func (l *leader) pending(queue string) PendingReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return PendingReply{Leading: l.serving && l.ctx.Err() == nil, Pending: l.scheduler.Pending(queue)}
}
