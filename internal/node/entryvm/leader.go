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
	// producerName is the producer of progress records; its epoch is that of
	// the claim.
	producerName = "leader"
	// planInterval is the least pause between two plans.
	planInterval = 4 * time.Millisecond
	// planRest times the length of a plan is the pause after it, so that plans
	// leave processor time for orders and reports.
	planRest = 2
	// tickInterval is the pause between looks at the clock.
	tickInterval = 100 * time.Millisecond
	// tailInterval is the pause between reads of a partition of new jobs, of which
	// the VMs that store them tell the leader too. A read proves that every job
	// accepted before is known, so it is well below freshness.
	tailInterval = 1200 * time.Millisecond
	// freshness is the age of that proof up to which a job that is not known is
	// said not to exist.
	freshness = 2 * time.Second
	// workersInterval is the pause between reads of what workers register.
	workersInterval = 350 * time.Millisecond
	// commitPause is the pause between two commits, in which more changes gather.
	commitPause = 6 * time.Millisecond
	// renewInterval is the longest pause between appends that prove the right
	// to lead.
	renewInterval = time.Second
	// renewalKey is the key of records that only prove the claim.
	renewalKey = "renewal"
	// restoreTimeout is how long a leader may take to read the stored state before
	// another VM may try.
	restoreTimeout = 12 * time.Second
	// yieldAfter is how long a leader leads before it yields to a fitter VM, and
	// lostAfter how long it leads without reaching the store by itself: each record
	// takes a detour then, and jobs of several steps are late.
	yieldAfter = 3 * time.Second
	lostAfter  = 700 * time.Millisecond
	// askMargin is how long another VM may take beyond the time of a question: the
	// way there and back, and some load.
	askMargin = 250 * time.Millisecond
	// cancelSuffix marks the record that cancels a job.
	cancelSuffix = "/cancel"
)

// leader runs the cell while this VM holds the claim.
type leader struct {
	node   *Node
	epoch  int64
	ctx    context.Context
	stop   context.CancelFunc
	dirty  chan struct{}
	replan chan struct{}
	// doubt asks for a renewal of the claim at once.
	doubt chan struct{}

	mutex    sync.Mutex
	state    *scheduler.Scheduler
	sessions map[backend.Life]*session
	// stored is closed and replaced with each commit.
	stored chan struct{}
	// tailed is when each partition of jobs was last read to its end.
	tailed []time.Time
	// partitions holds in which partitions the records of a job are, as bits.
	partitions map[string]uint64
	// serving is false until the stored state is restored.
	serving bool
	// sequence is that of the last append as producer.
	sequence int64

	registrations map[string]backend.Registration
	// began is when this VM began to lead, or last tried to yield.
	began time.Time
	// answered is when each entry VM last answered a heartbeat, and reaching tells
	// which of them reach the store by themselves.
	answered map[string]time.Time
	reaching map[string]bool
	// behind are the entry VMs with an older configuration.
	behind *laggards
}

func newLeader(ctx context.Context, n *Node, epoch int64) *leader {
	ctx, stop := context.WithCancel(ctx)
	return &leader{
		node: n, epoch: epoch, ctx: ctx, stop: stop,
		dirty: make(chan struct{}, 1), replan: make(chan struct{}, 1), doubt: make(chan struct{}, 1),
		state:    scheduler.New(n.settings.Timing, epoch, now(), time.Now(), n.log),
		sessions: map[backend.Life]*session{}, stored: make(chan struct{}),
		tailed: make([]time.Time, n.settings.Partitions), partitions: map[string]uint64{},
		registrations: map[string]backend.Registration{}, answered: map[string]time.Time{}, reaching: map[string]bool{}, behind: newLaggards(), began: now(),
	}
}

// run leads until the claim is lost.
func (l *leader) run() {
	defer l.retire()
	go l.beat()
	giveUp := time.AfterFunc(restoreTimeout, l.giveUpRestore)
	jobsFrom, err := l.restore()
	giveUp.Stop()
	if err != nil {
		l.node.log.Info("take_over_failed", "epoch", l.epoch, "error", err.Error())
		return
	}
	if t := l.node.tables.current(); t != nil {
		l.setTable(t)
	}
	for part, from := range jobsFrom {
		go l.tailJobs(part, from)
	}
	l.dealWorkers()
	go l.tailWorkers()
	go l.planLoop()
	go l.tickLoop()
	l.commitLoop()
}

// retire gives everything up that the claim allowed.
func (l *leader) retire() {
	l.stop()
	l.node.setLead(l, nil)
	l.mutex.Lock()
	for _, s := range l.sessions {
		s.close()
	}
	l.mutex.Unlock()
	l.node.log.Info("leader_retired", "epoch", l.epoch)
}

// update changes the state and carries out what follows from it.
func (l *leader) update(change func(s *scheduler.Scheduler, at time.Time)) {
	l.mutex.Lock()
	if l.ctx.Err() != nil {
		l.mutex.Unlock()
		return
	}
	change(l.state, now())
	e := l.state.Take()
	needsPlan := l.state.NeedsPlan()
	l.carryOut(&e)
	l.mutex.Unlock()
	signal(l.dirty)
	if needsPlan {
		signal(l.replan)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// carryOut starts what the scheduler wants done. The caller holds the lock.
func (l *leader) carryOut(e *scheduler.Effects) {
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
			go s.start(e.Starts[i].Order)
		}
	}
	for i := range e.Stops {
		if s := l.sessions[e.Stops[i].Worker]; s != nil {
			go s.stopRun(e.Stops[i].Order)
		}
	}
	for i := range e.Paces {
		if s := l.sessions[e.Paces[i].Worker]; s != nil {
			go s.pace(e.Paces[i].Order)
		}
	}
	for _, life := range e.Wake {
		if s := l.sessions[life]; s != nil {
			s.wake()
		}
	}
	for i := range e.Asks {
		go l.ask(e.Asks[i])
	}
	for _, o := range e.Observations {
		l.node.measures.Observe(measure.Key{Name: o.Name, Of: o.Queue}, o.Took)
	}
	if len(e.Dropped) > 0 {
		go l.drop(e.Dropped)
	}
}

func (l *leader) setTable(t *queue.Table) {
	l.update(func(s *scheduler.Scheduler, _ time.Time) { s.SetTable(t) })
}

// planLoop places waiting tasks when something has changed.
func (l *leader) planLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.replan:
		}
		begun := now()
		l.update(func(s *scheduler.Scheduler, at time.Time) { s.Plan(at) })
		pause(l.ctx, max(planInterval, planRest*now().Sub(begun)))
	}
}

func (l *leader) tickLoop() {
	for pause(l.ctx, tickInterval) {
		l.dealWorkers()
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			s.Tick(at)
			s.SetAdvisers(l.reachable(at))
		})
		if successors := l.successors(now()); len(successors) > 0 {
			l.began = now() // The next try comes after another while.
			l.node.election.handOver(l.ctx, successors)
		}
	}
}

// ask has an entry VM put a question to the adviser. The VM gives it up by itself in
// time, so that the connection to it, which carries other questions, stays.
func (l *leader) ask(a scheduler.Ask) {
	ctx, cancel := context.WithTimeout(l.ctx, a.Timeout+askMargin)
	defer cancel()
	var answer backend.Advice
	var err error
	if a.VM == l.node.settings.Name {
		answer, err = l.node.peers.Adviser.Advise(ctx, a.Step, a.Workers)
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

// status answers a question about a job.
func (l *leader) status(id string) StateReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.serving || l.ctx.Err() != nil {
		return StateReply{}
	}
	state, known := l.state.Status(id, l.leadsAlone(now()))
	return StateReply{Leading: true, Known: known, State: state, Fresh: l.fresh()}
}

// pending counts the jobs of a queue that have not started.
func (l *leader) pending(queue string) PendingReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return PendingReply{Leading: l.serving && l.ctx.Err() == nil, Pending: l.state.Pending(queue)}
}
