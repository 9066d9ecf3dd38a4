package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/job"
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

// repetitions returns the records that repeat the jobs of this process.
func (j *Jobs) repetitions() []job.Record {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.table.Repetitions(j.self)
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

// reasonAnswerTooLarge marks an answer that is not kept in the log.
const reasonAnswerTooLarge = "answer_not_kept"
