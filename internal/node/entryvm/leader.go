package entryvm

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// producerName is the producer of progress records; its epoch is that of
	// the claim.
	producerName = "leader"
	// planInterval is the least pause between two plans.
	planInterval = 4 * time.Millisecond
	// planRest times the length of a plan is the pause after it, so that plans
	// leave processor time for orders and reports.
	planRest = 3
	// tickInterval is the pause between looks at the clock.
	tickInterval = 100 * time.Millisecond
	// tailInterval is the pause between reads of new jobs, of which the VMs that
	// store them tell the leader too. A read proves that every job accepted
	// before is known.
	tailInterval = 500 * time.Millisecond
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
	// yieldAfter is how long a leader leads before it yields to a fitter VM.
	yieldAfter = 3 * time.Second
	// cancelSuffix marks the record that cancels a job.
	cancelSuffix = "/cancel"
	// jobPartitions spreads the jobs that entry VMs store: a partition takes one
	// append at a time, and each VM writes to one.
	jobPartitions = 4
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
	tailed [jobPartitions]time.Time
	// serving is false until the stored state is restored.
	serving bool
	// sequence is that of the last append as producer.
	sequence int64

	registrations map[string]backend.Registration
	// began is when this VM began to lead, or last tried to yield.
	began time.Time
	// answered is when each entry VM last answered a heartbeat.
	answered map[string]time.Time
}

func newLeader(n *Node, epoch int64) *leader {
	return &leader{
		node: n, epoch: epoch,
		dirty: make(chan struct{}, 1), replan: make(chan struct{}, 1), doubt: make(chan struct{}, 1),
		state:    scheduler.New(n.settings.Timing, epoch, now(), time.Now(), n.log),
		sessions: map[backend.Life]*session{}, stored: make(chan struct{}),
		registrations: map[string]backend.Registration{}, answered: map[string]time.Time{}, began: now(),
	}
}

// run leads until the claim is lost.
func (l *leader) run(ctx context.Context) {
	l.ctx, l.stop = context.WithCancel(ctx)
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
	go l.tailWorkers()
	go l.planLoop()
	go l.tickLoop()
	l.commitLoop()
}

// giveUpRestore lets another VM lead when the stored state could not be read.
func (l *leader) giveUpRestore() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.serving {
		l.stop()
	}
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

// stored is what the store holds of the cell.
type stored struct {
	progress []store.Record
	jobs     []store.Record
	// jobsEnd is where to go on reading each partition of jobs.
	jobsEnd [jobPartitions]int64
	workers []store.Record
}

// restore fences the last leader and reads what it has stored. It returns where
// to go on reading jobs.
func (l *leader) restore() ([jobPartitions]int64, error) {
	begun := now()
	v, err := l.readStored()
	if err != nil {
		return v.jobsEnd, err
	}
	done := make(map[string]*work.Progress, len(v.progress))
	for i := range v.progress {
		r := &v.progress[i]
		p, err := work.Decode[work.Progress](r.Value)
		if err != nil {
			l.node.log.Error(err, "progress_unreadable", "job", r.Key)
			continue
		}
		done[r.Key] = p
	}
	l.update(func(s *scheduler.Scheduler, at time.Time) {
		s.Confirmed(begun)
		l.applyWorkers(v.workers)
		s.SetWorkers(l.listed(), at)
		l.applyJobs(s, v.jobs, done, at)
		for id, p := range done {
			s.RestoreEnded(id, p, at)
		}
		for part := range l.tailed {
			l.tailed[part] = begun
		}
		l.serving = true
	})
	l.node.measures.Observe(measure.Key{Name: "take_over"}, now().Sub(begun))
	l.node.log.Info("take_over_done", "epoch", l.epoch, "jobs", len(v.jobs), "progress", len(v.progress), "workers", len(l.registrations), "took_ms", now().Sub(begun).Milliseconds())
	return v.jobsEnd, nil
}

// readStored reads everything at once; progress only after the last leader is
// fenced, since it could write until then.
func (l *leader) readStored() (stored, error) {
	var v stored
	var jobs [jobPartitions][]store.Record
	var g errgroup.Group
	g.Go(func() error {
		if err := l.appendProgress(l.renewal()); err != nil {
			return err
		}
		s, err := l.snapshot(store.Progress, 0)
		v.progress = s.Records
		return err
	})
	for part := range jobs {
		g.Go(func() error {
			s, err := l.snapshot(store.Jobs, part)
			jobs[part], v.jobsEnd[part] = s.Records, s.End
			return err
		})
	}
	g.Go(func() error {
		s, err := l.snapshot(store.Workers, 0)
		v.workers = s.Records
		return err
	})
	err := g.Wait()
	v.jobs = slices.Concat(jobs[:]...)
	return v, err
}

func (l *leader) snapshot(t store.Topic, part int) (store.Snapshot, error) {
	for {
		call, cancel := context.WithTimeout(l.ctx, snapshotTimeout)
		s, err := l.node.store.Newest(call, t, part)
		cancel()
		if err == nil || l.ctx.Err() != nil {
			return s, err
		}
		pause(l.ctx, retryPause)
	}
}

// applyJobs hands job records to the scheduler.
func (l *leader) applyJobs(s *scheduler.Scheduler, records []store.Record, done map[string]*work.Progress, at time.Time) {
	var cancelled []string
	for i := range records {
		r := &records[i]
		if id, ok := strings.CutSuffix(r.Key, cancelSuffix); ok {
			cancelled = append(cancelled, id)
			continue
		}
		if len(r.Value) == 0 {
			continue
		}
		spec, err := work.Decode[work.Job](r.Value)
		if err != nil {
			l.node.log.Error(err, "job_unreadable", "job", r.Key)
			continue
		}
		if done != nil {
			s.Restore(spec, done[spec.ID], at)
		} else {
			s.Submit(spec, at)
		}
	}
	for _, id := range cancelled {
		s.Cancel(id, at)
	}
}

// tailJobs reads the jobs that entry VMs store.
func (l *leader) tailJobs(part int, from int64) {
	for pause(l.ctx, tailInterval) {
		asked := now()
		records, next, err := readOn(l.ctx, l.node.store, store.Read{Topic: store.Jobs, Part: part, From: from})
		if err != nil {
			if kindOf(err) == store.KindDropped {
				from = -1
			}
			continue
		}
		from = next
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			l.applyJobs(s, records, nil, at)
			l.tailed[part] = asked
		})
	}
}

// takeJobs hands job records to the scheduler that another VM has stored.
func (l *leader) takeJobs(records []store.Record) {
	l.mutex.Lock()
	serving := l.serving
	l.mutex.Unlock()
	if serving {
		l.update(func(s *scheduler.Scheduler, at time.Time) { l.applyJobs(s, records, nil, at) })
	}
}

// tailWorkers reads what workers register.
func (l *leader) tailWorkers() {
	from := int64(-1)
	for pause(l.ctx, workersInterval) {
		records, next, err := readOn(l.ctx, l.node.store, store.Read{Topic: store.Workers, From: from})
		if err != nil {
			if kindOf(err) == store.KindDropped {
				from = -1
			}
			continue
		}
		whole := from < 0
		from = next
		if len(records) == 0 && !whole {
			continue
		}
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			if whole {
				clear(l.registrations)
			}
			if l.applyWorkers(records) || whole {
				s.SetWorkers(l.listed(), at)
			}
		})
	}
}

// applyWorkers notes registrations; it reports whether one has changed in a way
// that matters.
func (l *leader) applyWorkers(records []store.Record) bool {
	newest := map[string]*store.Record{}
	for i := range records {
		newest[records[i].Key] = &records[i]
	}
	changed := false
	for id, r := range newest {
		old, known := l.registrations[id]
		if len(r.Value) == 0 {
			delete(l.registrations, id)
			changed = changed || known
			continue
		}
		v, err := l.node.peers.DecodeRegistration(id, r.Value)
		if err != nil {
			l.node.log.V(1).Info("registration_unreadable", "worker", id, "error", err.Error())
			delete(l.registrations, id)
			changed = changed || known
			continue
		}
		l.registrations[id] = v
		changed = changed || !known || old.Life != v.Life || old.Draining != v.Draining || old.Service != v.Service || old.Address != v.Address
	}
	return changed
}

func (l *leader) listed() []backend.Registration {
	list := make([]backend.Registration, 0, len(l.registrations))
	for _, r := range l.registrations {
		list = append(list, r)
	}
	return list
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
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			s.Tick(at)
			s.SetAdvisers(l.reachable(at))
		})
		if now().Sub(l.began) > yieldAfter && l.yields() {
			l.began = now() // The next try comes after another while.
			l.node.election.handOver(l.ctx)
		}
	}
}

// yields reports whether a much fitter VM answers.
func (l *leader) yields() bool {
	l.mutex.Lock()
	names := l.reachable(now())
	l.mutex.Unlock()
	for _, name := range names {
		if m, ok := l.node.members.find(name); ok && m.Fitness > fitterFactor*l.node.settings.Fitness {
			return true
		}
	}
	return false
}

// endsStored reports whether the ends of a worker are stored, and otherwise which
// channel the next commit closes.
func (l *leader) endsStored(life backend.Life) (bool, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.EndsStored(life), l.stored
}

// reachable lists the entry VMs that answer. The caller holds the lock.
func (l *leader) reachable(at time.Time) []string {
	names := []string{l.node.settings.Name}
	for name, answered := range l.answered {
		if at.Sub(answered) < leaderSilence {
			names = append(names, name)
		}
	}
	return names
}

// verify renews the claim at once: a worker has seen a higher token.
func (l *leader) verify() { signal(l.doubt) }

// commitLoop stores the progress of jobs, one append at a time.
func (l *leader) commitLoop() {
	renewal := time.NewTimer(renewInterval)
	for {
		renew := false
		select {
		case <-l.ctx.Done():
			return
		case <-l.dirty:
		case <-renewal.C:
			renew = true
		case <-l.doubt:
			renew = true
		}
		renewal.Reset(renewInterval)
		l.mutex.Lock()
		commit := l.state.NextCommit(now())
		l.mutex.Unlock()
		if commit == nil && !renew {
			continue
		}
		begun := now()
		var records []store.Record
		if commit != nil {
			records = commit.Records
		}
		if len(records) == 0 && renew {
			records = l.renewal()
		}
		if len(records) > 0 {
			if err := l.appendProgress(records); err != nil {
				l.node.log.Info("claim_lost", "epoch", l.epoch, "error", err.Error())
				return
			}
		}
		l.update(func(s *scheduler.Scheduler, at time.Time) {
			if commit != nil {
				s.Committed(commit, at)
			} else {
				s.Confirmed(begun)
			}
			close(l.stored)
			l.stored = make(chan struct{})
		})
		pause(l.ctx, commitPause)
	}
}

// renewal is a record that changes nothing; storing it proves the claim.
func (l *leader) renewal() []store.Record {
	return []store.Record{{Key: renewalKey, Value: work.Encode(&work.Progress{})}}
}

// appendProgress appends as the producer of this epoch. An append without an
// answer is repeated as it is: the store repeats its first answer. It returns an
// error only when the claim is lost.
func (l *leader) appendProgress(records []store.Record) error {
	a := store.Append{Topic: store.Progress, Records: records, Producer: &store.Producer{Name: producerName, Epoch: l.epoch, Sequence: l.sequence}}
	l.sequence++
	for {
		call, cancel := context.WithTimeout(l.ctx, mostPatience+relayTries*relayTimeout)
		_, err := l.node.store.Append(call, a)
		cancel()
		if err == nil {
			return nil
		}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
		switch kindOf(err) {
		case store.KindRefused, store.KindUnknown:
			l.node.log.Info("progress_not_stored", "epoch", l.epoch, "records", len(records), "error", err.Error())
			pause(l.ctx, appendPause)
		default:
			return err
		}
	}
}

// appendPause is the wait before an append is repeated.
const appendPause = 50 * time.Millisecond

// ask has an entry VM put a question to the adviser.
func (l *leader) ask(a scheduler.Ask) {
	ctx, cancel := context.WithTimeout(l.ctx, a.Timeout)
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

// drop deletes the submissions of jobs that have ended, so that a take-over reads
// little; their state stays in the progress records.
func (l *leader) drop(ids []string) {
	var jobs []store.Record
	for _, id := range ids {
		jobs = append(jobs, store.Record{Key: id}, store.Record{Key: id + cancelSuffix})
	}
	for part := range jobPartitions {
		call, cancel := context.WithTimeout(l.ctx, storeTimeout)
		_, err := l.node.store.Append(call, store.Append{Topic: store.Jobs, Part: part, Records: jobs})
		cancel()
		if err != nil {
			l.node.log.Info("jobs_not_dropped", "jobs", len(ids), "partition", part, "error", err.Error())
		}
	}
}

// beat tells the other entry VMs that this one leads.
func (l *leader) beat() {
	for {
		for _, m := range l.node.members.others() {
			go l.beatTo(m)
		}
		l.node.election.heard(HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name})
		if !pause(l.ctx, heartbeatInterval) {
			return
		}
	}
}

func (l *leader) beatTo(m member) {
	ctx, cancel := context.WithTimeout(l.ctx, leaderSilence)
	defer cancel()
	table := l.node.tables.current()
	args := HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Version: l.node.tables.version()}
	r, err := link.Call[HeartbeatArgs, HeartbeatReply](ctx, l.node.client, m.Address, "Heartbeat", args)
	if err != nil {
		return
	}
	l.mutex.Lock()
	l.answered[m.Name] = now()
	l.mutex.Unlock()
	if table == nil || r.Version >= args.Version {
		return
	}
	if _, err := link.Call[TableArgs, Nothing](ctx, l.node.client, m.Address, "Table", TableArgs{Version: table.Version, Text: table.Text}); err != nil {
		l.node.log.V(1).Info("configuration_not_told", "vm", m.Name, "version", table.Version, "error", err.Error())
	}
}

// status answers a question about a job.
func (l *leader) status(id string) StateReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.serving || l.ctx.Err() != nil {
		return StateReply{}
	}
	state, known := l.state.Status(id)
	return StateReply{Leading: true, Known: known, State: state, Fresh: l.fresh()}
}

// fresh reports whether every job accepted a while ago is known. The caller holds
// the lock.
func (l *leader) fresh() bool {
	for _, t := range l.tailed {
		if now().Sub(t) >= freshness {
			return false
		}
	}
	return true
}

// pending counts the jobs of a queue that have not started.
func (l *leader) pending(queue string) (int, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.Pending(queue), l.serving && l.ctx.Err() == nil
}
