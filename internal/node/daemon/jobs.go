package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/state/job"
)

const (
	// jobReadWait bounds how long a read of the job stream waits for records. It
	// is well below jobLease, so that reads renew the lease in time.
	jobReadWait          = time.Second
	maxJobRecordsPerRead = 500
	// jobRetryInterval is the pause before a read or append is retried, and the
	// interval of takeoverLoop.
	jobRetryInterval = 300 * time.Millisecond
	// jobLease is how long after a read of the log this process may assume that it
	// still holds its jobs.
	jobLease = entry.HolderLease
	// takeoverGracePeriod is how long a former holder may still cause starts after
	// its jobs were taken over. It consists of the holder's lease, the time for
	// which an owner keeps a queued attempt that its holder does not poll, and a
	// margin.
	takeoverGracePeriod = jobLease + entry.HolderLease + time.Second
	// maxTickGap is the longest normal gap between two rounds of takeoverLoop.
	// After a longer one, this process must have been frozen.
	maxTickGap    = 2500 * time.Millisecond
	appendTimeout = 5 * time.Second
	// taskRetryPause is the pause before a task that was not run is offered to
	// owners again.
	taskRetryPause = time.Second
	// maxTasksInFlight bounds the tasks of one job that are offered or run at the
	// same time.
	maxTasksInFlight = 256
)

// Jobs follows the jobs of this failure domain and runs those that this process
// holds. The holder of a job is the process that runs it; when a holder is
// gone, another entry VM of the domain takes its jobs over. The job stream in
// the log decides who holds a job.
type Jobs struct {
	node *Node
	// self identifies this process in the records of the job stream.
	self job.Holder

	// mutex guards the fields below.
	mutex sync.Mutex
	table *job.Table
	// runsByJobID maps the ID of each job that this process holds to its run.
	runsByJobID map[string]*jobRun
	// leaseConfirmedAt is when the last read that reached the end of the job
	// stream was sent. The lease on the jobs of this process begins at that time.
	leaseConfirmedAt time.Time
	// lastTickAt is when takeoverLoop last ran.
	lastTickAt time.Time
	// lastFreezeNoticedAt is when this process last noticed that it had been frozen. Only
	// reads that were sent later confirm that it still holds its jobs.
	lastFreezeNoticedAt time.Time
	// tableChanged is closed and replaced whenever table changes.
	tableChanged chan struct{}
	// holdersBeingTakenOver is the set of former holders whose takeover is under way.
	holdersBeingTakenOver map[job.Holder]bool
}

// jobRun is the execution of one job by this process.
type jobRun struct {
	// generation counts the holders that the job has had. Owners refuse to start
	// tasks of an older generation.
	generation int
	// cancel cancels the tasks of the job.
	cancel context.CancelFunc
	// abandoned is closed when the job has ended or has another holder.
	abandoned chan struct{}
}

// NewJobs starts to follow the job stream of the failure domain and to take
// over jobs.
func NewJobs(n *Node) *Jobs {
	j := &Jobs{
		node: n, self: job.Holder{Name: n.Settings.Name, Incarnation: n.incarnation}, table: job.New(),
		runsByJobID: map[string]*jobRun{}, tableChanged: make(chan struct{}), holdersBeingTakenOver: map[job.Holder]bool{},
	}
	go j.followJobStream()
	go j.takeoverLoop()
	return j
}

func (j *Jobs) streamName() string { return job.Stream(j.node.Settings.Domain) }

// followJobStream reads the job stream and applies its records to the table.
func (j *Jobs) followJobStream() {
	// The first reads return at once, so that jobs are accepted soon after
	// the start.
	wait := time.Duration(0)
	for j.node.context.Err() == nil {
		sentAt := time.Now()
		reply, err := j.node.logService.Read(j.node.context, j.streamName(), j.table.AppliedOffset(), maxJobRecordsPerRead, wait)
		if err != nil {
			time.Sleep(jobRetryInterval)
			continue
		}
		j.mutex.Lock()
		for _, r := range reply.Records {
			if err := j.table.Apply(r); err != nil {
				j.node.Log.Error(err, "job_record_skipped", "offset", r.Offset)
			}
		}
		if len(reply.Records) < maxJobRecordsPerRead {
			wait = jobReadWait
			if sentAt.After(j.lastFreezeNoticedAt) {
				j.leaseConfirmedAt = sentAt
			}
		}
		j.reconcileJobRuns()
		if len(reply.Records) > 0 {
			close(j.tableChanged)
			j.tableChanged = make(chan struct{})
		}
		j.mutex.Unlock()
	}
}

// jobSnapshots returns records with the current state of the unfinished jobs
// that this process holds. They are appended again so that these jobs stay in
// the log when it drops the older records.
func (j *Jobs) jobSnapshots() []job.Record {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.table.Snapshots(j.self)
}

// reconcileJobRuns starts a run for each job that this process holds and abandons the
// runs of jobs that ended or have another holder. The caller holds the mutex.
func (j *Jobs) reconcileJobRuns() {
	for id, r := range j.runsByJobID {
		if k := j.table.Job(id); k == nil || k.Holder != j.self || k.PendingTasks == 0 {
			close(r.abandoned)
			delete(j.runsByJobID, id)
		}
	}
	for _, k := range j.table.HeldBy(j.self) {
		r := j.runsByJobID[k.ID]
		if r == nil {
			// The context ends only when the job is cancelled. A process that
			// stops does not cancel its jobs, because the next holder continues
			// them.
			ctx, cancel := context.WithCancel(context.Background())
			r = &jobRun{generation: k.Generation, cancel: cancel, abandoned: make(chan struct{})}
			j.runsByJobID[k.ID] = r
			go j.runJob(ctx, r, k.ID)
		}
		if k.Cancelled {
			r.cancel()
		}
	}
}

// takeoverLoop takes over the jobs of holders that are gone. It also detects
// that this process was frozen.
func (j *Jobs) takeoverLoop() {
	ticker := time.NewTicker(jobRetryInterval)
	defer ticker.Stop()
	j.mutex.Lock()
	j.lastTickAt = time.Now()
	j.mutex.Unlock()
	for {
		select {
		case <-j.node.context.Done():
			return
		case <-ticker.C:
		}
		j.mutex.Lock()
		if gap := time.Since(j.lastTickAt); gap > maxTickGap {
			j.lastFreezeNoticedAt = time.Now()
			j.node.Log.Info("frozen", "gap", gap.String())
		}
		j.lastTickAt = time.Now()
		departed := j.holdersToTakeOver()
		j.mutex.Unlock()
		for _, h := range departed {
			go j.takeOverJobs(h)
		}
	}
}

// awaitOffset waits until the record at an offset was applied to the table. It
// returns false if ctx ends first.
func (j *Jobs) awaitOffset(ctx context.Context, offset uint64) bool {
	for {
		j.mutex.Lock()
		read, changed := j.table.AppliedOffset(), j.tableChanged
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

// reasonAnswerNotKept is the reason in an outcome whose answer was too large
// for the log.
const reasonAnswerNotKept = "answer_not_kept"
