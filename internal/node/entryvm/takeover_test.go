package entryvm

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// runLedger checks the runs of all workers. It implements fleet.Observer.
type runLedger struct {
	store *memory.Store
	// workers holds the workers on which a run has started. Only the methods of
	// fleet.Observer use it, which the fleet calls one at a time.
	workers map[backend.Life]*fleet.Worker
	// mutex guards the other fields.
	mutex sync.Mutex
	// startCounts counts the started runs of each task.
	startCounts map[work.TaskID]int
	// completed holds the tasks of which a run has completed, and restarted those that
	// were started after that.
	completed, restarted map[work.TaskID]bool
	violations           []string
}

func newRunLedger(s *memory.Store) *runLedger {
	return &runLedger{store: s, workers: map[backend.Life]*fleet.Worker{}, startCounts: map[work.TaskID]int{}, completed: map[work.TaskID]bool{}, restarted: map[work.TaskID]bool{}}
}

// violate records that something went wrong. The caller holds the mutex.
func (r *runLedger) violate(format string, args ...any) {
	r.violations = append(r.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// broken returns the violations.
func (r *runLedger) broken() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.violations)
}

// startCount returns how often a task was started.
func (r *runLedger) startCount(t work.TaskID) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.startCounts[t]
}

// hasCompleted reports whether a run of a task has completed.
func (r *runLedger) hasCompleted(t work.TaskID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.completed[t]
}

// Started implements fleet.Observer.
func (r *runLedger) Started(on *fleet.Worker, s backend.Start, at time.Time) {
	for _, other := range r.workers {
		if other != on {
			other.Advance(at) // Its runs that have ended are reported to Ended.
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	life := on.Registration.Life
	for _, other := range r.workers {
		if other != on && slices.Contains(other.Running(), s.Task) {
			r.violate("task %s starts on %s with run %d, token %d.%d, while it runs on %s", s.Task, life.ID, s.Run, s.Token>>20, s.Token&(1<<20-1), other.Registration.Life.ID)
		}
	}
	r.workers[life] = on
	r.startCounts[s.Task]++
	r.restarted[s.Task] = r.restarted[s.Task] || r.completed[s.Task]
	if !r.isStored(s, life) {
		r.violate("run %d of task %s on %s was not stored", s.Run, s.Task, life.ID)
	}
}

// isStored reports whether a progress record names the run.
func (r *runLedger) isStored(s backend.Start, life backend.Life) bool {
	parts := map[string][]byte{}
	for _, record := range r.store.Records(store.Progress, 0) {
		if jobOfRecord(record.Key) != s.Task.Job || len(record.Value) == 0 {
			continue
		}
		if record.Key != s.Task.Job {
			parts[record.Key] = record.Value
			continue
		}
		value, err := joinParts(&record, parts)
		if err != nil {
			r.violate("progress of job %s: %s", record.Key, err)
			continue
		}
		p, err := decodeProgress(value)
		if err != nil {
			continue
		}
		for i := range p.Steps {
			for _, task := range p.Steps[i].Tasks {
				if p.Steps[i].Step == s.Task.Step && task.Index == s.Task.Index && task.Run == s.Run && task.Worker == life.ID {
					return true
				}
			}
		}
	}
	return false
}

// Ended implements fleet.Observer.
func (r *runLedger) Ended(_ *fleet.Worker, e backend.EndedRun, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e.Outcome == backend.Done {
		r.completed[e.Task] = true
	}
}

// Acknowledged implements fleet.Observer.
func (r *runLedger) Acknowledged(_ *fleet.Worker, e backend.EndedRun, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e.Outcome == backend.Done && r.restarted[e.Task] {
		r.violate("task %s was started after an acknowledged end", e.Task)
	}
}

// leaderTrial runs leaders without their elections and connections to other entry VMs, so
// that they can run in a bubble of testing/synctest.
type leaderTrial struct {
	store  *memory.Store
	fleet  *memory.Fleet
	ledger *runLedger
	table  *queue.Table
	epoch  int64
	// maxRecordBytes and maxAppendBytes are the limits of the store.
	maxRecordBytes, maxAppendBytes int
}

// trialWorkers is the number of workers of a leaderTrial, and trialPartitions the number
// of its job partitions. Each worker has room for trialWorkerSlots tasks of the size
// trialTaskMilliprocessors.
const (
	trialWorkers             = 4
	trialPartitions          = 2
	trialWorkerSlots         = 16
	trialTaskMilliprocessors = 500
)

// newLeaderTrial starts the workers, on which each task runs as long as it says.
func newLeaderTrial(runTime func(work.TaskID) time.Duration) *leaderTrial {
	s := memory.New()
	l := newRunLedger(s)
	trial := &leaderTrial{store: s, ledger: l, fleet: memory.NewObservedFleet(func(id work.TaskID) fleet.TaskProfile {
		return fleet.TaskProfile{RunTime: runTime(id), Size: resource.Vector{Milliprocessors: trialTaskMilliprocessors}}
	}, l), table: &queue.Table{Version: 1, Queues: []queue.Queue{{Name: "mail", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}}}
	trial.limitAppends(smallAppendBytes, smallAppendBytes)
	trial.addWorkers()
	return trial
}

// limitAppends sets the limits of the store, which the entry VMs know.
func (c *leaderTrial) limitAppends(recordBytes, appendBytes int) {
	c.store.LimitAppends(recordBytes, appendBytes)
	c.maxRecordBytes, c.maxAppendBytes = recordBytes, appendBytes
}

// addWorkers adds the workers to the fleet.
func (c *leaderTrial) addWorkers() {
	for i := range trialWorkers {
		_ = c.fleet.Add(c.store, backend.Registration{
			Life: backend.Life{ID: fmt.Sprintf("worker-%d", i), Born: 1}, Service: "desk", Capacity: resource.Vector{Milliprocessors: trialWorkerSlots * trialTaskMilliprocessors, MemoryMebibytes: 8000},
		})
	}
}

// lead starts an entry VM that leads with the next epoch.
func (c *leaderTrial) lead(s store.Store) *leader { return c.leadWithRetention(s, time.Hour) }

// leadWithRetention is like lead, and sets how long the states of ended jobs are kept.
func (c *leaderTrial) leadWithRetention(s store.Store, retention time.Duration) *leader {
	c.epoch++
	n := c.startNode("vm-0", s)
	n.settings.Timing.EndedJobRetention = retention
	l := newLeader(n.ctx, n, c.epoch)
	n.swapLeader(nil, l)
	go l.run()
	return l
}

// startNode starts an entry VM without an election.
func (c *leaderTrial) startNode(name string, s store.Store) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		log: logr.Discard(), measures: measure.New(), ctx: ctx, cancel: cancel, peerClient: link.NewClient(rpcServiceName, link.TCP{}),
		settings: Settings{
			Name: name, Domain: "domain-0", Fitness: 1, ListenAddress: netip.MustParseAddrPort("127.0.0.1:1"), Partitions: trialPartitions, MaxRecordBytes: c.maxRecordBytes, MaxAppendBytes: c.maxAppendBytes,
			Timing: scheduler.Timing{Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: 200 * time.Millisecond, EndedJobRetention: time.Hour},
		},
		dependencies: Dependencies{Store: s, Adviser: c.fleet, Dial: c.fleet.Dial, DecodeRegistration: memory.DecodeRegistration},
	}
	n.members, n.store, n.configuration, n.writer, n.election = newMemberList(n), newRelayedStore(s, n), newConfigurationWatcher(n), newJobWriter(n), newElection(n)
	n.isolation, n.forwarder, n.dispatcher = &isolationDetector{node: n}, newForwarder(n), newDispatcher(n)
	n.configuration.table = c.table
	go n.writer.run(ctx)
	return n
}

// end stops an entry VM and waits until its goroutines have ended.
func (c *leaderTrial) end(l *leader) {
	l.node.cancel()
	time.Sleep(time.Minute)
}

// storeJob stores a job of one task in a partition.
func (c *leaderTrial) storeJob(id string, part int) store.Record {
	r := store.Record{Key: id, Value: work.Encode(&work.Job{ID: id, Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1, Size: resource.Vector{Milliprocessors: trialTaskMilliprocessors}}}})}
	_, _ = c.store.Append(store.Append{Topic: store.Jobs, Part: part, Records: []store.Record{r}})
	return r
}

// A leader is killed, and a caller whose connection broke submits its job again through
// another entry VM. The successor just reads the pages of the partition, and the later
// pages do not show the new record. It must nevertheless know that the job runs.
func TestJobRewrittenBetweenPagesIsNotStartedAgain(t *testing.T) {
	scenarios := []struct {
		testName string
		// told is true if the other VM tells the successor of the record, which the
		// successor reads later otherwise.
		told bool
	}{
		{"the successor is told of the record", true},
		{"the successor reads the record", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Minute })
				ids := []string{"job-1", "job-2", "job-3"}
				for _, id := range ids {
					c.storeJob(id, 0)
				}
				first := c.lead(memory.NewLink(c.store))
				time.Sleep(time.Second)
				for _, id := range ids {
					is.Equal(c.ledger.startCount(firstTaskOf(id)), 1)
				}
				first.node.cancel()
				stored := memory.NewLink(c.store)
				stored.LimitPages(1)
				stored.HideChangesBetweenPages(true)
				var rewritten []store.Record
				stored.BetweenPages(func(t store.Topic, _ int) {
					if t == store.Jobs && rewritten == nil {
						rewritten = []store.Record{c.storeJob("job-3", 0)}
					}
				})
				second := c.lead(stored)
				for !second.addStoredJobs(nil) {
					time.Sleep(time.Millisecond)
				}
				is.Equal(len(rewritten), 1)
				if s.told {
					second.addStoredJobs(rewritten)
				}
				defer c.end(second)
				time.Sleep(5 * time.Second)
				is.Equal(c.ledger.broken(), nil)
				for _, id := range ids {
					is.Equal(c.ledger.startCount(firstTaskOf(id)), 1)
				}
			})
		})
	}
}

// The next process of a worker had an earlier start time, because the clock of the worker was set
// back. Its entry was ignored, and never read again once the earlier process was removed.
func TestNextProcessWithAnEarlierStartTimeIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		l := c.lead(memory.NewLink(c.store))
		defer c.end(l)
		for _, born := range []int64{9, 5} {
			time.Sleep(time.Second)
			for i := range trialWorkers {
				for _, earlier := range []int64{1, 9} {
					c.fleet.Remove(backend.Life{ID: workerID(i), Born: earlier}, func() {})
				}
				is.NoErr(c.fleet.Add(c.store, backend.Registration{Life: backend.Life{ID: workerID(i), Born: born}, Service: "desk", Capacity: resource.Vector{Milliprocessors: 8000, MemoryMebibytes: 8000}}))
			}
		}
		time.Sleep(time.Second) // A job stored before the list is read starts on the earlier process.
		l.addStoredJobs([]store.Record{c.storeJob("job", 0)})
		time.Sleep(6 * time.Second)
		is.Equal(c.ledger.startCount(firstTaskOf("job")), 1)
	})
}

// earlierProcess answers holds as a process that started earlier than the one that is called.
type earlierProcess struct {
	backend.Worker
	life  backend.Life
	holds *atomic.Int64
}

// Hold implements backend.Worker.
func (p earlierProcess) Hold(context.Context, backend.Hold) (backend.Report, error) {
	p.holds.Add(1)
	time.Sleep(time.Millisecond)
	return backend.Report{Life: backend.Life{ID: p.life.ID, Born: p.life.Born - 1}, Clock: time.Second}, nil
}

// The clock of a worker was set back, and its next process answered the holds to the earlier one,
// which followed each other without a pause.
func TestHoldsToAnEarlierProcessArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(nil)
		for i := range trialWorkers {
			is.NoErr(c.fleet.Add(c.store, backend.Registration{Life: backend.Life{ID: workerID(i), Born: 9}, Service: "desk", Capacity: resource.Vector{Milliprocessors: 8000}}))
		}
		var holds atomic.Int64
		n := c.startNode("vm-0", memory.NewLink(c.store))
		n.dependencies.Dial = func(r backend.Registration) backend.Worker {
			return earlierProcess{c.fleet.Dial(r), r.Life, &holds}
		}
		l := newLeader(n.ctx, n, 1)
		n.swapLeader(nil, l)
		go l.run()
		defer c.end(l)
		time.Sleep(10 * time.Second)
		is.True(holds.Load() < 20*trialWorkers)
	})
}

// firstTaskOf returns the ID of the first task of a job.
func firstTaskOf(id string) work.TaskID { return work.TaskID{StepID: work.StepID{Job: id}} }

// storeFaults makes faults of the store act on the link of a leader, until end.
type storeFaults struct {
	trial  *leaderTrial
	random *rand.Rand
	end    time.Time
	// mutex guards the fields below and random, which the callbacks of a link use as well.
	mutex sync.Mutex
	// jobs lists the submitted jobs.
	jobs []string
	// runTimes holds the drawn run times of tasks.
	runTimes map[work.TaskID]time.Duration
}

// between returns a random duration.
func (f *storeFaults) between(shortest, longest time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.drawDuration(shortest, longest)
}

// drawDuration is like between. The caller holds the mutex.
func (f *storeFaults) drawDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.random.Int64N(int64(longest-shortest)+1))
}

// draw returns a random number below n.
func (f *storeFaults) draw(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(n)
}

// submit stores a job, and again one that was stored before, and tells the leader of
// some of them.
func (f *storeFaults) submit(l *leader) {
	f.mutex.Lock()
	id := fmt.Sprintf("job-%03d", len(f.jobs))
	f.jobs = append(f.jobs, id)
	again := f.jobs[f.random.IntN(len(f.jobs))]
	part, tell := f.random.IntN(trialPartitions), f.random.IntN(2) == 0
	f.mutex.Unlock()
	r := f.trial.storeJob(id, part)
	if l != nil && tell {
		l.addStoredJobs([]store.Record{r})
	}
	if f.draw(3) == 0 {
		f.trial.storeJob(again, f.draw(trialPartitions))
	}
}

// checkIn stores the entry of a worker again.
func (f *storeFaults) checkIn() {
	records := f.trial.store.Records(store.Workers, 0)
	r := records[f.draw(trialWorkers)]
	_, _ = f.trial.store.Append(store.Append{Topic: store.Workers, Records: []store.Record{r}})
}

// newLink returns a link whose pages are short and not a snapshot. The first append of the
// leader, which fences its predecessor, may be slow or late.
func (f *storeFaults) newLink() *memory.Link {
	l := memory.NewLink(f.trial.store)
	l.LimitPages(1 + f.draw(8))
	l.HideChangesBetweenPages(f.draw(2) == 0)
	switch f.draw(3) {
	case 0:
		l.DelayAppends(store.Progress, f.between(0, 400*time.Millisecond))
	case 1:
		l.LateAppends(1, f.executeLate)
	}
	l.BetweenPages(func(t store.Topic, _ int) {
		if f.draw(4) == 0 && time.Now().Before(f.end) {
			f.submit(nil)
		}
		if t == store.Workers && f.draw(4) == 0 {
			f.checkIn()
		}
	})
	return l
}

// executeLate makes the store execute an append seconds later.
func (f *storeFaults) executeLate(execute func()) {
	time.AfterFunc(f.between(time.Second, 6*time.Second), execute)
}

// act injects random faults until ctx is done.
func (f *storeFaults) act(ctx context.Context, s *memory.Link) {
	for sleep(ctx, f.between(50*time.Millisecond, 600*time.Millisecond)) && time.Now().Before(f.end) {
		switch f.draw(6) {
		case 0:
			s.LoseAnswers(1 + f.draw(3))
		case 1:
			s.LateAppends(1+f.draw(3), f.executeLate)
		case 2:
			s.RefuseCalls(true)
			sleep(ctx, f.between(50*time.Millisecond, 2*time.Second))
			s.RefuseCalls(false)
		case 3:
			part := f.draw(trialPartitions)
			s.RefusePartition(part, true)
			sleep(ctx, f.between(50*time.Millisecond, 2*time.Second))
			s.RefusePartition(part, false)
		case 4:
			s.DelayAppends(store.Progress, f.between(0, 300*time.Millisecond))
		case 5:
			s.DelayAppends(store.Progress, 0)
		}
	}
	s.LoseAnswers(0)
	s.LateAppends(0, nil)
	s.DelayAppends(store.Progress, 0)
}

// faultDuration is how long the faults of a random trial act.
const faultDuration = 25 * time.Second

// newStoreFaults starts a trial whose jobs run for random times.
func newStoreFaults(seed uint64) *storeFaults {
	f := &storeFaults{random: rand.New(rand.NewPCG(seed, 1)), end: time.Now().Add(faultDuration), runTimes: map[work.TaskID]time.Duration{}}
	f.trial = newLeaderTrial(f.runTime)
	return f
}

// runTime returns how long a task runs, which is drawn at the first call for the task.
func (f *storeFaults) runTime(id work.TaskID) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.runTimes[id] == 0 {
		f.runTimes[id] = f.drawDuration(50*time.Millisecond, 8*time.Second)
	}
	return f.runTimes[id]
}

const (
	// finishTimeout is how long the last leader may take to run all jobs, unless their
	// run times fill the workers for longer than that.
	finishTimeout = 45 * time.Second
	// finishDelay is how much longer than the run times on full workers the last leader
	// may take to run all jobs. It covers its election, which waits for the claims and
	// leases of its predecessors, and the last runs, which do not fill the workers.
	finishDelay = 20 * time.Second
)

// finishWait returns how long the last leader may take to run the jobs that have not
// completed. Each page that a new leader reads may add a job, so that the number of jobs
// grows with every leader: a play with 949 jobs was seen, which fill the workers for a minute.
func (f *storeFaults) finishWait() time.Duration {
	f.mutex.Lock()
	jobs := slices.Clone(f.jobs)
	f.mutex.Unlock()
	var open time.Duration
	for _, id := range jobs {
		if task := firstTaskOf(id); !f.trial.ledger.hasCompleted(task) {
			open += f.runTime(task)
		}
	}
	return max(finishTimeout, open/(trialWorkers*trialWorkerSlots)+finishDelay)
}

// finish waits until the last leader has run all jobs, ends it and returns what went wrong.
func (f *storeFaults) finish(n *Node) []string {
	time.Sleep(f.finishWait())
	var broken []string
	if l := n.activeLeader(); l == nil {
		broken = append(broken, "the last VM does not lead")
	} else {
		for _, id := range f.jobs {
			if reply, _ := l.jobStatus(id); reply.State != work.Completed {
				broken = append(broken, fmt.Sprintf("job %s is %q", id, reply.State))
			}
		}
	}
	n.cancel()
	time.Sleep(time.Minute)
	return append(broken, f.trial.ledger.broken()...)
}

// playTakeOvers lets faults of the store act on a series of leaders on one VM. Some are
// killed before their successor starts, and some are deposed by it. It returns what went
// wrong.
func playTakeOvers(seed uint64) []string {
	f := newStoreFaults(seed)
	s := f.newLink()
	l := f.trial.lead(s)
	go f.act(l.node.ctx, s)
	replaceAt := time.Now().Add(f.between(time.Second, 6*time.Second))
	for time.Now().Before(f.end) {
		time.Sleep(f.between(20*time.Millisecond, 400*time.Millisecond))
		f.submit(l)
		f.checkIn()
		if time.Now().Before(replaceAt) {
			continue
		}
		replaceAt = time.Now().Add(f.between(time.Second, 6*time.Second))
		if old := l.node; f.draw(2) == 0 {
			old.cancel()
			time.Sleep(f.between(0, 300*time.Millisecond))
		} else {
			time.AfterFunc(f.between(0, 3*time.Second), old.cancel)
		}
		s = f.newLink()
		l = f.trial.lead(s)
		go f.act(l.node.ctx, s)
	}
	return f.finish(l.node)
}

// playElections lets faults of the store act on two VMs that do not hear each other, so
// that each takes the leadership from the other whenever it hears no leader. They are
// killed and start again at once. It returns what went wrong.
func playElections(seed uint64) []string {
	f := newStoreFaults(seed)
	var nodes [2]*Node
	start := func(i int) {
		s := f.newLink()
		nodes[i] = f.trial.startNode(fmt.Sprintf("vm-%d", i), s)
		go nodes[i].election.run(nodes[i].ctx)
		go f.act(nodes[i].ctx, s)
	}
	start(0)
	secondFrom, killAt := time.Now().Add(f.between(time.Second, faultDuration)), time.Now().Add(f.between(time.Second, 6*time.Second))
	for time.Now().Before(f.end) {
		time.Sleep(f.between(20*time.Millisecond, 400*time.Millisecond))
		f.submit(nodes[0].activeLeader())
		f.checkIn()
		if nodes[1] == nil && time.Now().After(secondFrom) {
			start(1)
		}
		if time.Now().Before(killAt) {
			continue
		}
		killAt = time.Now().Add(f.between(300*time.Millisecond, 6*time.Second))
		i := f.draw(2)
		if nodes[i] == nil {
			i = 0
		}
		nodes[i].cancel()
		time.Sleep(f.between(0, 300*time.Millisecond))
		start(i)
	}
	if nodes[1] != nil {
		nodes[1].cancel()
	}
	return f.finish(nodes[0])
}

// Leaders follow each other on one VM, or are elected, while the store is read in pages
// that are no snapshot, loses answers, executes appends late and refuses calls. No task may
// run twice at the same time or after an acknowledged end, and none may be forgotten.
func TestSuccessorKnowsStoredPlacements(t *testing.T) {
	scenarios := []struct {
		testName string
		play     func(seed uint64) []string
	}{
		{"leaders are killed or deposed", playTakeOvers},
		{"leaders are elected", playElections},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				var violations []string
				synctest.Test(t, func(*testing.T) { violations = s.play(seed) })
				if len(violations) > 0 {
					rt.Fatalf("%d violations, first: %v", len(violations), violations[:min(len(violations), 8)])
				}
			})
		})
	}
}
