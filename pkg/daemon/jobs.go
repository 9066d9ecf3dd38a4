package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/almondpost/almondpost/pkg/entry"
	"github.com/almondpost/almondpost/pkg/job"
	"github.com/almondpost/almondpost/pkg/membership"
	"github.com/almondpost/almondpost/pkg/request"
)

const (
	// jobReadWait bounds one read of the job stream, so that a holder hears
	// within jobLease that it still holds its jobs.
	jobReadWait  = time.Second
	jobReadLimit = 500
	jobRetry     = 300 * time.Millisecond
	// jobLease is how long a read of the log confirms that this process holds
	// its jobs.
	jobLease = entry.HolderLease
	// takeoverBarrier is when a former holder's last start is surely over: its
	// lease, the wait of an attempt that nobody asks for, and a margin.
	takeoverBarrier = jobLease + entry.HolderLease + time.Second
	// maxTickGap is the pause of the own loops past which this process must
	// have been frozen.
	maxTickGap = 2500 * time.Millisecond
	appendWait = 5 * time.Second
	// taskRetryPause is the pause before a task that was not run is offered
	// again.
	taskRetryPause = time.Second
	// maxTasksInFlight bounds the tasks of one job that are offered at once.
	maxTasksInFlight = 256
)

// Jobs holds the jobs of this failure domain and runs those that this process
// holds.
type Jobs struct {
	node *Node
	self job.Holder

	mutex sync.Mutex
	table *job.Table
	// running holds the runs of this process by job.
	running map[string]*jobRun
	// confirmed is when the last read of the log was sent that found this
	// process up to date.
	confirmed time.Time
	// ticked is when the loop of this process last ran.
	ticked time.Time
	// frozenUntil is the end of the last pause of this process. Only reads that
	// were sent later confirm that it still holds its jobs.
	frozenUntil time.Time
	changed     chan struct{}
	// takingOver holds the former holders whose takeover is under way.
	takingOver map[job.Holder]bool
}

type jobRun struct {
	generation int
	cancel     context.CancelFunc
	abandon    chan struct{}
}

// NewJobs starts to follow the job stream of the failure domain.
func NewJobs(n *Node) *Jobs {
	j := &Jobs{
		node: n, self: job.Holder{Name: n.Settings.Name, Incarnation: n.incarnation}, table: job.New(),
		running: map[string]*jobRun{}, changed: make(chan struct{}), takingOver: map[job.Holder]bool{},
	}
	go j.follow()
	go j.tick()
	return j
}

func (j *Jobs) stream() string { return job.Stream(j.node.Settings.Domain) }

func (j *Jobs) follow() {
	// The first reads return at once, so that jobs are accepted early.
	wait := time.Duration(0)
	for j.node.run.Err() == nil {
		sent := time.Now()
		reply, err := j.node.log.Read(j.node.run, j.stream(), j.table.Read(), jobReadLimit, wait)
		if err != nil {
			time.Sleep(jobRetry)
			continue
		}
		j.mutex.Lock()
		for _, r := range reply.Records {
			if err := j.table.Apply(r); err != nil {
				j.node.Log.Error(err, "job_record_skipped", "offset", r.Offset)
			}
		}
		if len(reply.Records) < jobReadLimit {
			wait = jobReadWait
			if sent.After(j.frozenUntil) {
				j.confirmed = sent
			}
		}
		j.reconcile()
		if len(reply.Records) > 0 {
			close(j.changed)
			j.changed = make(chan struct{})
		}
		j.mutex.Unlock()
	}
}

// reconcile starts the jobs that this process holds and abandons the others.
func (j *Jobs) reconcile() {
	for id, r := range j.running {
		if k := j.table.Job(id); k == nil || k.Holder != j.self || k.Left == 0 {
			close(r.abandon)
			delete(j.running, id)
		}
	}
	for _, k := range j.table.HeldBy(j.self) {
		r := j.running[k.ID]
		if r == nil {
			// The context ends only when the job is cancelled: a process that
			// stops leaves its jobs to the next holder.
			ctx, cancel := context.WithCancel(context.Background())
			r = &jobRun{generation: k.Generation, cancel: cancel, abandon: make(chan struct{})}
			j.running[k.ID] = r
			go j.run(ctx, r, k.ID)
		}
		if k.Cancelled {
			r.cancel()
		}
	}
}

// permitted reports whether this process may start work of its jobs. It may
// while the log confirms that no other process took them over. While the log is
// away nobody can take over; then it may go on as long as it was not frozen
// and is not alone, since it might then be the one that is cut off.
func (j *Jobs) permitted() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if time.Since(j.confirmed) < jobLease {
		return true
	}
	wasFrozen := time.Since(j.ticked) > maxTickGap || j.confirmed.Before(j.frozenUntil)
	return !wasFrozen && !j.node.isIsolated()
}

// isIsolated reports whether the view has other members of the own failure
// domain, but none that is alive.
func (n *Node) isIsolated() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, alive := 0, 0
	for _, m := range n.view.Members() {
		if m.Domain != n.Settings.Domain {
			continue
		}
		known++
		if m.State == membership.Alive {
			alive++
		}
	}
	return known > 0 && alive == 0
}

// tick takes over the jobs of holders that are gone, and notices freezes.
func (j *Jobs) tick() {
	tick := time.NewTicker(jobRetry)
	defer tick.Stop()
	j.mutex.Lock()
	j.ticked = time.Now()
	j.mutex.Unlock()
	for {
		select {
		case <-j.node.run.Done():
			return
		case <-tick.C:
		}
		j.mutex.Lock()
		if gap := time.Since(j.ticked); gap > maxTickGap {
			j.frozenUntil = time.Now()
			j.node.Log.Info("frozen", "gap", gap.String())
		}
		j.ticked = time.Now()
		orphans := j.orphans()
		j.mutex.Unlock()
		for _, h := range orphans {
			go j.takeOver(h)
		}
	}
}

// orphans returns the holders that this process should take over from.
func (j *Jobs) orphans() []job.Holder {
	if time.Since(j.confirmed) > jobLease {
		return nil
	}
	var out []job.Holder
	for h := range j.table.Holders() {
		if h != j.self && !j.takingOver[h] && j.node.isGone(h) && j.node.isSuccessor(h) {
			j.takingOver[h] = true
			out = append(out, h)
		}
	}
	return out
}

// isGone reports whether a process has been silent for long enough, or was
// replaced. A process that was never heard counts from this one's start.
func (n *Node) isGone(h job.Holder) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m, ok := n.view.Member(h.Name)
	if h.Name == n.Settings.Name {
		return true
	}
	if !ok {
		return time.Since(time.UnixMilli(int64(n.incarnation))) > time.Duration(n.Settings.RemoveAfter)
	}
	return m.State == membership.Removed || m.Incarnation > h.Incarnation
}

func (n *Node) isSuccessor(h job.Holder) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return membership.Rendezvous(h.Name, n.view.Owners()) == n.Settings.Name
}

// takeOver claims the jobs of a holder that is gone; log order decides between
// two that try.
func (j *Jobs) takeOver(h job.Holder) {
	defer func() {
		j.mutex.Lock()
		delete(j.takingOver, h)
		j.mutex.Unlock()
	}()
	ctx, cancel := context.WithTimeout(j.node.run, appendWait)
	defer cancel()
	record := job.Record{Action: job.TakenOver, By: j.self, From: &h}
	offset, err := j.node.recorder.Append(ctx, j.stream(), record.Encode())
	j.node.Log.Info("jobs_taken_over", "from", h.Name, "offset", offset, "ok", err == nil)
	if err == nil {
		j.awaitOffset(ctx, offset)
	}
}

// handOver gives the jobs of this process to a successor before a planned stop
// and reports whether none are left.
func (j *Jobs) handOver(ctx context.Context) bool {
	j.mutex.Lock()
	left := len(j.table.HeldBy(j.self))
	j.mutex.Unlock()
	if left == 0 {
		return true
	}
	successor, ok := j.node.successor(j.self)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	record := job.Record{Action: job.TakenOver, By: successor, From: &j.self}
	offset, err := j.node.recorder.Append(ctx, j.stream(), record.Encode())
	return err == nil && j.awaitOffset(ctx, offset)
}

// successor returns the member of the failure domain that takes over from a
// holder.
func (n *Node) successor(h job.Holder) (job.Holder, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	m, ok := n.view.Member(membership.Rendezvous(h.Name, n.view.Owners()))
	return job.Holder{Name: m.Name, Incarnation: m.Incarnation}, ok
}

// awaitOffset waits until the table has taken in an offset.
func (j *Jobs) awaitOffset(ctx context.Context, offset uint64) bool {
	for {
		j.mutex.Lock()
		read, changed := j.table.Read(), j.changed
		j.mutex.Unlock()
		if read >= offset {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// run runs the tasks of a job that have not ended.
func (j *Jobs) run(ctx context.Context, r *jobRun, id string) {
	j.mutex.Lock()
	k := j.table.Job(id)
	if k == nil {
		j.mutex.Unlock()
		return
	}
	tasks := map[string]int{}
	var left []int
	for i, o := range k.Outcomes {
		if o == nil {
			left = append(left, i)
			tasks[k.TaskID(i)] = k.Generation
		}
	}
	spec := job.Spec{Gang: k.Spec.Gang, Tasks: append([]request.Spec(nil), k.Spec.Tasks...)}
	j.mutex.Unlock()
	found := map[string]request.Found{}
	if r.generation > 1 {
		var err error
		if found, err = j.node.runner.TakeOver(ctx, j.node.Settings.Domain, tasks, time.Now().Add(takeoverBarrier)); err != nil {
			j.node.Log.Error(err, "takeover_unresolved", "job", id)
		}
	}
	if spec.Gang && len(found) == 0 {
		found = j.placeGang(ctx, r, id, left, spec)
	}
	slots := make(chan struct{}, maxTasksInFlight)
	for _, i := range left {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			j.runTask(ctx, r, id, i, spec.Tasks[i], found[job.TaskID(id, i)])
		}()
	}
}

// placeGang holds room for all tasks at once and starts them. After a takeover
// that found some of them running, the others are run one by one instead.
func (j *Jobs) placeGang(ctx context.Context, r *jobRun, id string, left []int, spec job.Spec) map[string]request.Found {
	works := make([]request.Work, 0, len(left))
	for _, i := range left {
		works = append(works, j.workOf(r, id, i, spec.Tasks[i]))
	}
	placed, err := j.node.runner.Gang(ctx, j.node.Settings.Domain, works)
	if err != nil {
		return nil
	}
	found := map[string]request.Found{}
	for i, p := range placed {
		attempt, target := j.node.runner.Commit(p)
		found[job.TaskID(id, left[i])] = request.Found{Attempt: attempt, Owner: target}
	}
	j.node.Log.Info("gang_started", "job", id, "tasks", len(placed))
	return found
}

func (j *Jobs) workOf(r *jobRun, id string, i int, spec request.Spec) request.Work {
	return request.Work{
		ID: job.TaskID(id, i), Customer: j.node.store.Current().Index.Customer(spec.Plan), Spec: spec, Submitted: time.Now(),
		Generation: r.generation, Permit: j.permitted, Abandoned: r.abandon,
	}
}

// runTask runs one task until it has an outcome that is final, and records it.
func (j *Jobs) runTask(ctx context.Context, r *jobRun, id string, i int, spec request.Spec, found request.Found) {
	w := j.workOf(r, id, i, spec)
	w.Known, w.KnownAt = found.Attempt, found.Owner
	for {
		out := j.node.runner.Run(ctx, w)
		select {
		case <-r.abandon:
			return
		default:
		}
		// A task that may pass later is offered again; the job was accepted.
		again := out.State == request.NotRun && out.RetryAfterMilliseconds > 0 || out.Reason == entry.ReasonInterrupted
		if again && ctx.Err() == nil {
			w.Known = entry.FoundAttempt{}
			w.FirstAttempt = out.NextAttempt
			time.Sleep(taskRetryPause)
			continue
		}
		j.recordEnd(r, id, i, out)
		return
	}
}

// recordEnd writes the outcome of a task to the log, with retries until it is
// there or the job is abandoned.
func (j *Jobs) recordEnd(r *jobRun, id string, i int, out request.Outcome) {
	if len(out.Answer) > maxSettledAnswer {
		out.Reason = reasonAnswerTooLarge
		out.Answer = nil
	}
	record := job.Record{Action: job.TaskEnded, By: j.self, Job: id, Task: i, Outcome: &out}
	data := record.Encode()
	for j.node.run.Err() == nil {
		ctx, cancel := context.WithTimeout(j.node.run, appendWait)
		_, err := j.node.recorder.Append(ctx, j.stream(), data)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-r.abandon:
			return
		case <-time.After(jobRetry):
		}
	}
}

// reasonAnswerTooLarge marks an answer that is not kept in the log.
const reasonAnswerTooLarge = "answer_not_kept"

// SubmitJob accepts a job once it is in the log.
func (n *Node) SubmitJob(ctx context.Context, spec job.Spec) job.Status {
	return n.jobs.submit(ctx, spec)
}

func (j *Jobs) submit(ctx context.Context, spec job.Spec) job.Status {
	id := j.node.NewID()
	if reason, after := j.node.requests.admission(spec.Tasks[0]); reason != "" {
		return job.Status{ID: id, State: request.NotRun, Reason: reason, RetryAfterMilliseconds: after.Milliseconds()}
	}
	if !j.logAnswers() {
		return job.Status{ID: id, State: request.NotRun, Reason: reasonLogAway, RetryAfterMilliseconds: retryAfterLog.Milliseconds()}
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	record := job.Record{Action: job.Accepted, By: j.self, Job: id, Spec: &spec}
	_, err := j.node.recorder.Append(ctx, j.stream(), record.Encode())
	if err != nil {
		// The append may have taken effect, so the caller can not be told
		// that the job did not run.
		return job.Status{ID: id, State: request.MayHaveRun, Reason: reasonLogAway, Tasks: len(spec.Tasks)}
	}
	return job.Status{ID: id, State: request.Pending, Tasks: len(spec.Tasks)}
}

// reasonLogAway is given while the log gives no answer.
const reasonLogAway = "log_unavailable"

// logAnswers reports whether the log was read a short time ago, so that a job
// can be refused without an append whose outcome would be unknown.
func (j *Jobs) logAnswers() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return time.Since(j.confirmed) < jobLease
}

// FetchJob returns the state of a job of any failure domain.
func (n *Node) FetchJob(ctx context.Context, id string, wait time.Duration) (job.Status, bool) {
	domain, _, ok := splitID(id)
	if !ok {
		return job.Status{}, false
	}
	if domain == n.Settings.Domain {
		return n.jobs.wait(ctx, id, wait)
	}
	for _, t := range n.Targets() {
		if t.Domain != domain || !t.Reachable {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, wait+entry.CallTimeout)
		reply, err := callPeer[entry.FetchReply](callContext, n, t.Name, "Fetch", entry.FetchArgs{ID: id, Wait: wait, Job: true})
		cancel()
		var s job.Status
		if err == nil && reply.Known && json.Unmarshal(reply.Outcome, &s) == nil {
			return s, true
		}
	}
	return job.Status{}, false
}

func (j *Jobs) wait(ctx context.Context, id string, wait time.Duration) (job.Status, bool) {
	timer := time.NewTimer(min(wait, maxFetchWait))
	defer timer.Stop()
	for {
		j.mutex.Lock()
		k, changed := j.table.Job(id), j.changed
		var s job.Status
		if k != nil {
			s = k.Status()
		}
		j.mutex.Unlock()
		if k != nil && s.State.Ended() {
			return s, true
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return s, k != nil
	}
}

// CancelJob asks the holder of a job to stop it, through the log.
func (n *Node) CancelJob(ctx context.Context, id string) error {
	domain, _, _ := splitID(id)
	record := job.Record{Action: job.Cancelled, By: n.jobs.self, Job: id}
	_, err := n.recorder.Append(ctx, job.Stream(domain), record.Encode())
	return err
}
