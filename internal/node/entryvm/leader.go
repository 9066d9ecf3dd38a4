package entryvm

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
)

const (
	// producerName is the producer name under which a leader appends progress records.
	// The producer epoch is the epoch of its claim.
	producerName = "leader"
	// minSchedulingPause is the shortest pause between two scheduling passes. A
	// scheduling pass places waiting tasks on workers.
	minSchedulingPause = 4 * time.Millisecond
	// schedulingPauseFactor is the lowest ratio between the pause after a scheduling
	// pass and the duration of that pass. The pause leaves processor time for orders
	// and reports.
	schedulingPauseFactor = 2
	// tickInterval is the pause between two ticks of the scheduler's clock.
	tickInterval = 100 * time.Millisecond
	// jobsReadInterval is the time between two reads of a job partition. It need not
	// be shorter, because a VM that stores a job also sends it to the leader directly.
	// It is well below maxJobsReadAge, because only a read shows that the leader knows
	// all stored jobs.
	jobsReadInterval = 1200 * time.Millisecond
	// maxJobsReadAge is the maximum age of the last read of each job partition, counted
	// from the beginning of the read. While one is older, the leader does not report an
	// unknown job as non-existent and gives no number of pending jobs.
	maxJobsReadAge = 2 * time.Second
	// registrationsReadInterval is the pause between two reads of worker registrations.
	registrationsReadInterval = 350 * time.Millisecond
	// registrationsApplyInterval is the time after which the registrations are applied again
	// although none has changed. The scheduler ignores some while it still has an earlier
	// process of the worker.
	registrationsApplyInterval = 3 * time.Second
	// commitPause is the pause between two commits. It lets more changes accumulate for
	// each commit.
	commitPause = 6 * time.Millisecond
	// claimRenewInterval is the longest pause between two appends of the commit loop,
	// each of which proves the claim.
	claimRenewInterval = time.Second
	// claimRenewalKey is the key of records that contain no progress and only renew the
	// claim.
	claimRenewalKey = "renewal"
	// restoreTimeout limits how long a new leader may take to read the stored state. If
	// it takes longer, it steps down so that another VM can lead.
	restoreTimeout = 12 * time.Second
	// handOverToFitterVMDelay is how long a leader leads before it hands over to a much
	// fitter VM. handOverWithoutStoreDelay is how long a leader must have led without a
	// direct connection to the store before it hands over: if it relays every record
	// through another VM, jobs of several steps are delayed.
	handOverToFitterVMDelay   = 3 * time.Second
	handOverWithoutStoreDelay = 700 * time.Millisecond
	// maxCheckedCandidates is the number of VMs that read from the store at a time to show that
	// they can lead. Each read is a call to the store, which may be away for all.
	maxCheckedCandidates = 4
	// storeReturnSpread is the longest time between the first and the last VM that notice the
	// end of an outage of the store, if they probe it every storeProbeInterval.
	storeReturnSpread = 2 * storeProbeInterval
	// handOverPause is how long a leader places no tasks when it hands over, unless the next
	// leader is there sooner. It covers an invitation that is not answered and a claim.
	handOverPause = time.Second
	// finishStartsTimeout limits the wait for the starts that are under way before that, and
	// finishStartsInterval is the pause between two looks at them. A start takes milliseconds,
	// but one that is not answered may be under way for orderTimeout.
	finishStartsTimeout  = 300 * time.Millisecond
	finishStartsInterval = 5 * time.Millisecond
	// adviceReplyMargin is added to the adviser's timeout to get the time for which the
	// leader waits until another VM returns the advice. It covers the round trip and
	// delays on a busy VM.
	adviceReplyMargin = 250 * time.Millisecond
	// cancelKeySuffix follows the job ID in the key of a cancellation record.
	cancelKeySuffix = "/cancel"
)

// leader schedules the jobs of the cell while this VM holds the claim with the highest
// epoch.
type leader struct {
	node  *Node
	epoch int64
	// leasesClosedSince is that of the claim.
	leasesClosedSince int64
	// claimedAt is when the claim was stored.
	claimedAt time.Time
	ctx       context.Context
	stop      context.CancelFunc
	// commitSignal wakes the commit loop, and schedulingSignal the scheduling loop.
	commitSignal     chan struct{}
	schedulingSignal chan struct{}
	// renewClaimSignal makes the commit loop renew the claim at once.
	renewClaimSignal chan struct{}

	mutex     sync.Mutex
	scheduler *scheduler.Scheduler
	// updateTimes sums the times of updateScheduler since they were last logged.
	updateTimes updateTimes
	// stateWaiters holds, for each job whose end a call of awaitJobStatus waits for, a
	// channel that is closed when the job may have ended.
	stateWaiters map[string]chan struct{}
	sessions     map[backend.Life]*workerSession
	// nextCommitDone is closed and replaced by a new channel after each commit.
	nextCommitDone chan struct{}
	// jobsReadStartTimes holds when the last read of each job partition that reached its end
	// began.
	jobsReadStartTimes []time.Time
	// jobPartitions maps a job ID to a bit mask of the job partitions that contain
	// records of the job.
	jobPartitions map[string]uint64
	// restored is true once the scheduler has the stored state. Until then the leader
	// does not answer questions about jobs.
	restored bool
	// nextProducerSequence is the sequence number for the next append of progress
	// records.
	nextProducerSequence int64
	progressEncoder      *progressEncoder

	// registrations maps a worker ID to the registration of the worker.
	registrations map[string]backend.Registration
	// handOverTimerStart is when this VM began to lead or, if later, last tried to hand
	// over the leadership. The next attempt is made some time after that.
	handOverTimerStart time.Time
	// handingOver is true while handOver runs.
	handingOver atomic.Bool
	// placingPausedUntil is the time until which no task is placed on a worker.
	placingPausedUntil time.Time
	// lastHeartbeatAnswer maps the name of an entry VM to the time at which it last
	// answered a heartbeat. vmReachesStore tells whether the VM then reached the store
	// directly.
	lastHeartbeatAnswer map[string]time.Time
	vmReachesStore      map[string]bool
	// historySentAt maps the name of an entry VM to the time of the last heartbeat to it that
	// carried the history of the progress topic.
	historySentAt map[string]time.Time
	// outdatedVMs tracks the entry VMs whose configuration is older than the leader's.
	// newerVersion tracks whether other VMs have a newer one.
	outdatedVMs  *outdatedVMTracker
	newerVersion newerVersionTracker
	// keptSizesSetAt is when setKeptSizes last set the gauges.
	keptSizesSetAt time.Time
}

func newLeader(ctx context.Context, n *Node, epoch int64) *leader {
	ctx, stop := context.WithCancel(ctx)
	return &leader{
		node: n, epoch: epoch, claimedAt: now(), ctx: ctx, stop: stop,
		commitSignal: make(chan struct{}, 1), schedulingSignal: make(chan struct{}, 1), renewClaimSignal: make(chan struct{}, 1),
		scheduler: scheduler.New(n.settings.Timing, epoch, now(), time.Now(), n.log), progressEncoder: newProgressEncoder(epoch, n.settings.MaxRecordBytes),
		sessions: map[backend.Life]*workerSession{}, nextCommitDone: make(chan struct{}), stateWaiters: map[string]chan struct{}{},
		jobsReadStartTimes: make([]time.Time, n.settings.Partitions), jobPartitions: map[string]uint64{},
		registrations: map[string]backend.Registration{}, lastHeartbeatAnswer: map[string]time.Time{}, vmReachesStore: map[string]bool{}, historySentAt: map[string]time.Time{}, outdatedVMs: newOutdatedVMTracker(), handOverTimerStart: now(),
	}
}

// run restores the stored state and then leads until the claim is lost or the leader is
// stopped.
func (l *leader) run() {
	defer l.shutDown()
	go l.sendHeartbeats()
	restoreTimer := time.AfterFunc(restoreTimeout, l.stopIfNotRestored)
	offsets, err := l.restore()
	restoreTimer.Stop()
	if err != nil {
		l.node.log.Info("take_over_failed", "epoch", l.epoch, "error", err.Error())
		return
	}
	if t := l.node.configuration.currentTable(); t != nil {
		l.setTable(t)
	}
	for part, from := range offsets {
		go l.tailJobs(part, from)
	}
	l.assignKeepers()
	go l.tailRegistrations()
	go l.schedulingLoop()
	go l.tickLoop()
	l.commitLoop()
}

// shutDown stops the leader and closes its connections to workers.
func (l *leader) shutDown() {
	l.stop()
	l.node.swapLeader(l, nil)
	l.mutex.Lock()
	for _, s := range l.sessions {
		s.close()
	}
	l.removeGauges()
	l.removeKeptSizes()
	l.mutex.Unlock()
	l.node.log.Info("leader_retired", "epoch", l.epoch)
}

// updateScheduler calls change with the scheduler and the current time, and then
// carries out the effects that the scheduler requests, such as sending orders. It does
// nothing once the leader is stopped.
func (l *leader) updateScheduler(change func(s *scheduler.Scheduler, at time.Time)) {
	needsScheduling, ok := l.changeScheduler(change)
	if !ok {
		return
	}
	trySignal(l.commitSignal)
	if needsScheduling {
		trySignal(l.schedulingSignal)
	}
}

// changeScheduler does the part of updateScheduler that needs the mutex. It returns false if
// the leader is stopped. The mutex is released if change panics, so that shutDown does not
// wait for it and the process ends.
func (l *leader) changeScheduler(change func(s *scheduler.Scheduler, at time.Time)) (needsScheduling, ok bool) {
	waiting := now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ctx.Err() != nil {
		return false, false
	}
	begun := now()
	change(l.scheduler, begun)
	e := l.scheduler.TakeEffects()
	needsScheduling = l.scheduler.NeedsScheduling()
	l.applyEffects(&e)
	l.updateTimes.add(begun.Sub(waiting), now().Sub(begun))
	return needsScheduling, true
}

// trySignal sends a value to a channel of capacity 1, unless it already contains one.
func trySignal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyEffects opens and closes sessions and starts the calls that the scheduler has
// requested. It does not wait until the calls are answered. The caller must hold the
// mutex.
func (l *leader) applyEffects(e *scheduler.Effects) {
	for i := range e.SessionsToOpen {
		r := e.SessionsToOpen[i]
		s := newWorkerSession(l, r)
		l.sessions[r.Life] = s
		go s.run()
	}
	for _, life := range e.SessionsToClose {
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
	for _, life := range e.HoldAtOnce {
		if s := l.sessions[life]; s != nil {
			s.interruptHold()
		}
	}
	for i := range e.AdviceRequests {
		go l.requestAdvice(e.AdviceRequests[i])
	}
	for _, o := range e.Observations {
		l.node.measures.Observe(measure.Key{Name: o.Name, Label: o.Queue}, o.Duration)
	}
	for _, id := range e.EndedJobs {
		if waiter := l.stateWaiters[id]; waiter != nil {
			close(waiter)
			delete(l.stateWaiters, id)
		}
	}
	if len(e.SubmissionsToDelete) > 0 {
		go l.deleteSubmissions(e.SubmissionsToDelete)
	}
	if len(e.CancellationsToDelete) > 0 {
		go l.deleteCancellations(e.CancellationsToDelete)
	}
}

// setTable passes the configuration to the scheduler.
func (l *leader) setTable(t *queue.Table) {
	l.updateScheduler(func(s *scheduler.Scheduler, _ time.Time) { s.SetTable(t) })
}

// schedulingLoop runs a scheduling pass, which places waiting tasks on workers, after
// each schedulingSignal.
func (l *leader) schedulingLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.schedulingSignal:
		}
		begun := now()
		var pause time.Duration
		l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) {
			if pause = l.placingPausedUntil.Sub(at); pause <= 0 {
				s.Schedule(at)
			}
		})
		if pause > 0 {
			sleep(l.ctx, pause)
			trySignal(l.schedulingSignal)
			continue
		}
		sleep(l.ctx, max(minSchedulingPause, schedulingPauseFactor*now().Sub(begun)))
	}
}

// tickLoop advances the scheduler's clock every tickInterval. It also updates the
// assignment of workers to keepers, and hands the leadership over if another VM should
// lead.
func (l *leader) tickLoop() {
	for sleep(l.ctx, tickInterval) {
		l.assignKeepers()
		l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) {
			s.SetJobsReadUntil(l.oldestJobsRead())
			s.Tick(at)
			l.setGauges(s)
			l.setKeptSizes(s, at)
			s.SetAdviceVMs(l.reachableVMs(at))
		})
		if successors := l.handOverCandidates(now()); len(successors) > 0 {
			l.handOverTimerStart = now() // The next attempt to hand over follows only after a delay.
			if l.handingOver.CompareAndSwap(false, true) {
				go l.handOver(successors)
			}
		}
	}
}

// handOver hands the leadership over to one of the given VMs, if it reaches the store. Whether
// it does is found out by a read: a VM that makes no calls does not notice an outage, and a claim
// that is not answered may be carried out seconds later. If this VM does not reach the store, but
// does so again soon after another VM, the outage was one of the store, and this VM goes on to
// lead.
func (l *leader) handOver(candidates []member) {
	defer l.handingOver.Store(false)
	without := l.node.store.unreachable.Load()
	candidates = l.node.store.membersThatRead(l.ctx, someCandidates(candidates))
	if len(candidates) == 0 {
		return
	}
	if without && (!sleep(l.ctx, storeReturnSpread) || !l.node.store.unreachable.Load()) {
		return
	}
	if !without {
		l.finishStarts(l.ctx)
	}
	l.node.election.handOverLeadership(l.ctx, candidates)
}

// finishStarts must be called before a planned hand-over. It places no tasks for handOverPause, and
// waits until the starts that are under way are answered. A start that has not reached its worker
// when the next leader does is refused there, and that leader waits for seconds until no process
// can execute it.
func (l *leader) finishStarts(ctx context.Context) {
	begun := now()
	l.mutex.Lock()
	l.placingPausedUntil = begun.Add(handOverPause)
	l.mutex.Unlock()
	for now().Sub(begun) < finishStartsTimeout {
		l.mutex.Lock()
		n := l.scheduler.StartsUnderWay()
		l.mutex.Unlock()
		if n == 0 || !sleep(ctx, finishStartsInterval) {
			return
		}
	}
}

// someCandidates returns the fittest candidate and up to maxCheckedCandidates-1 random others. It
// changes the order of the list.
func someCandidates(candidates []member) []member {
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for i := range candidates {
		if candidates[i].Fitness > candidates[0].Fitness {
			candidates[0], candidates[i] = candidates[i], candidates[0]
		}
	}
	return candidates[:min(len(candidates), maxCheckedCandidates)]
}

// requestAdvice has an entry VM call the adviser and passes the answer to the
// scheduler. The VM applies the timeout itself, and the leader waits adviceReplyMargin
// longer. If the leader's call timed out first, a VM that answers nothing else meanwhile
// would count as silent and lose its connection, which other calls use as well.
func (l *leader) requestAdvice(a scheduler.AdviceRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, a.Timeout+adviceReplyMargin)
	defer cancel()
	var answer backend.Advice
	var err error
	if a.VM == l.node.settings.Name {
		answer, err = l.node.dependencies.Adviser.Advise(ctx, a.Step, a.Workers)
	} else if m, ok := l.node.members.findByName(a.VM); ok {
		answer, err = link.Call[AdviceArgs, backend.Advice](ctx, l.node.peerClient, m.Address, "Advise", AdviceArgs{Step: a.Step, Workers: a.Workers, Timeout: a.Timeout})
	} else {
		err = fault.Newf("ask", KindNoLeader, "entry VM %s is not known", a.VM)
	}
	if err != nil && l.ctx.Err() == nil {
		l.node.log.Info("advice_not_received", "vm", a.VM, "job", a.Step.Job, "error", err.Error())
	}
	l.updateScheduler(func(s *scheduler.Scheduler, at time.Time) { s.AdviceAnswered(a.Number, answer, err != nil, at) })
}

// awaitJobStatus returns the reply to a question about the state of a job. While the job
// is active, it waits for the end of the job for up to the given time.
func (l *leader) awaitJobStatus(id string, wait time.Duration) StateReply {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		reply, ended := l.jobStatus(id)
		if ended == nil || wait <= 0 {
			return reply
		}
		select {
		case <-ended:
		case <-timeout.C:
			return reply
		case <-l.ctx.Done():
			return StateReply{}
		}
	}
}

// jobStatus returns the current reply to a question about the state of a job. If the
// job is active, it also returns a channel that is closed when the job may have ended.
func (l *leader) jobStatus(id string) (reply StateReply, ended chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.restored || l.ctx.Err() != nil {
		return StateReply{}, nil
	}
	state, known := l.scheduler.Status(id)
	reply = StateReply{Leading: true, Known: known, State: state, Fresh: l.jobsUpToDate()}
	if !known || state.Ended() {
		return reply, nil
	}
	if l.stateWaiters[id] == nil {
		l.stateWaiters[id] = make(chan struct{})
	}
	return reply, l.stateWaiters[id]
}

// pendingJobs returns the reply to a question about the number of jobs of a queue that
// have not started. If this leader may not know of accepted jobs, it answers like a VM
// that does not lead, so that the caller gets no number that is too low.
func (l *leader) pendingJobs(queue string) PendingJobsReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.restored || l.ctx.Err() != nil || !l.jobsUpToDate() {
		return PendingJobsReply{}
	}
	return PendingJobsReply{Leading: true, Pending: l.scheduler.Pending(queue)}
}
