package request_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/decide/allocator"
	"github.com/almondpost/almondpost/internal/decide/retry"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/owner"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/peer/worker"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

// capacity is the capacity of each worker; taskSize is the size of each task.
var (
	capacity = resource.Vector{Milliprocessors: 2000, MemoryMebibytes: 2048, Slots: 2, Connections: 64}
	taskSize = resource.Vector{Milliprocessors: 1000, MemoryMebibytes: 1024, Slots: 1, Connections: 1}
)

var errLost = errors.New("lost")

// fakeWorker is a worker that follows the numbered assumptions of
// docs/design/worker_protocol.md. Owners call it through a network that loses
// and delays calls, so that repeated and late calls arrive as well.
type fakeWorker struct {
	network *fakeNetwork
	name    string
	// muted is true while the worker receives every call but its replies are
	// lost.
	muted bool

	mutex    sync.Mutex
	token    worker.Token
	leaseEnd time.Time
	records  map[string]*worker.Record
	sequence uint64
	used     resource.Vector
	changed  chan struct{}
}

// runHistory records what the workers ran, so that a test can check it without
// relying on the owners.
type runHistory struct {
	mutex sync.Mutex
	// runningWorkers maps each task to the number of workers that run it now.
	runningWorkers map[string]int
	// startCounts maps each task to the number of its starts.
	startCounts map[string]int
	// violations describes the broken rules, each with the events of its task.
	violations []string
	// events maps each task to its events, which are printed with its violations.
	events    map[string][]string
	startedAt time.Time
}

// recordEvent adds an event of an attempt to the events of its task.
func (h *runHistory) recordEvent(attempt, format string, args ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.recordEventLocked(attempt, format, args...)
}

// recordEventLocked is recordEvent for a caller that holds the lock.
func (h *runHistory) recordEventLocked(attempt, format string, args ...any) {
	name := taskIDOf(attempt)
	h.events[name] = append(h.events[name], fmt.Sprintf("%s %s: ", time.Since(h.startedAt), attempt)+fmt.Sprintf(format, args...))
}

// addViolation records a broken rule together with the events of the task.
func (h *runHistory) addViolation(name, format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...)+"\n\t"+strings.Join(h.events[name], "\n\t"))
}

// fakeNetwork chooses at random, from a seed, which calls and replies are lost
// and how long calls are delayed.
type fakeNetwork struct {
	mutex  sync.Mutex
	random *rand.Rand
	// lossProbability is the probability that a call or a reply is lost.
	lossProbability float64
	history         *runHistory
	// reliable is true for a network that loses nothing and delays calls only
	// briefly.
	reliable bool
}

// drawFaults chooses at random whether one call or its reply is lost and how long
// the call is delayed.
func (n *fakeNetwork) drawFaults() (requestLost, replyLost bool, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delay = time.Duration(n.random.IntN(20)) * time.Millisecond
	if n.reliable {
		return false, false, delay
	}
	if n.random.IntN(20) == 0 {
		delay += time.Duration(n.random.IntN(6000)) * time.Millisecond
	}
	return n.random.Float64() < n.lossProbability, n.random.Float64() < n.lossProbability, delay
}

// workerLink is the connection of one owner to one worker. It implements
// worker.Peer.
type workerLink struct {
	worker *fakeWorker
	owner  string
}

// callWorkerWithFaults makes one call to a worker over the faulty network. A lost call or
// reply is an error of the kind worker.KindUnreachable.
func callWorkerWithFaults[Q, A any](ctx context.Context, l workerLink, q Q, f func(context.Context, Q) (A, error)) (A, error) {
	var none A
	requestLost, replyLost, delay := l.worker.network.drawFaults()
	timeout := 3 * time.Second
	done := make(chan struct{})
	var reply A
	var err error
	go func() {
		defer close(done)
		time.Sleep(delay)
		if requestLost {
			err = fault.New("call", worker.KindUnreachable, errLost)
			return
		}
		// A call that its sender has given up may still arrive.
		reply, err = f(context.WithoutCancel(ctx), q)
	}()
	if s, ok := any(q).(worker.SyncRequest); ok {
		timeout += s.Wait
	}
	select {
	case <-done:
	case <-ctx.Done():
		return none, fault.New("call", worker.KindUnreachable, ctx.Err())
	case <-time.After(timeout):
		return none, fault.New("call", worker.KindUnreachable, errLost)
	}
	l.worker.mutex.Lock()
	muted := l.worker.muted
	l.worker.mutex.Unlock()
	if (replyLost || muted) && err == nil {
		return none, fault.New("call", worker.KindUnreachable, errLost)
	}
	return reply, err
}

func (l workerLink) Adopt(ctx context.Context, q worker.AdoptRequest) (worker.AdoptReply, error) {
	return callWorkerWithFaults(ctx, l, q, l.worker.adopt)
}

func (l workerLink) Start(ctx context.Context, q worker.StartRequest) (worker.Record, error) {
	return callWorkerWithFaults(ctx, l, q, l.worker.start)
}

func (l workerLink) Sync(ctx context.Context, q worker.SyncRequest) (worker.SyncReply, error) {
	return callWorkerWithFaults(ctx, l, q, l.worker.sync)
}

func (l workerLink) Stop(ctx context.Context, q worker.StopRequest) (worker.StopReply, error) {
	return callWorkerWithFaults(ctx, l, q, l.worker.stop)
}

// setPhase changes the phase of an attempt, counts it in the history and wakes
// the syncs. The caller holds the lock of the worker.
func (w *fakeWorker) setPhase(r *worker.Record, p worker.Phase, reason string) {
	task := taskIDOf(r.Attempt.ID)
	h := w.network.history
	h.mutex.Lock()
	h.recordEventLocked(r.Attempt.ID, "%s on %s (token %v) %s", p, w.name, w.token, reason)
	if p == worker.Running {
		h.runningWorkers[task]++
		h.startCounts[task]++
		if h.runningWorkers[task] > 1 {
			h.addViolation(task, "task %s runs in two places", task)
		}
		if !r.Attempt.Repeatable && h.startCounts[task] > 1 {
			h.addViolation(task, "task %s is not repeatable, but ran twice", task)
		}
	} else if r.Phase == worker.Running {
		h.runningWorkers[task]--
		w.used = w.used.Sub(r.Attempt.Size)
	}
	h.mutex.Unlock()
	w.sequence++
	r.Phase, r.Reason, r.Sequence = p, reason, w.sequence
	close(w.changed)
	w.changed = make(chan struct{})
}

// taskIDOf returns the ID of the task of an attempt.
func taskIDOf(attempt string) string {
	for i := range attempt {
		if attempt[i] == '/' {
			return attempt[:i]
		}
	}
	return attempt
}

// stopIfLeaseExpired stops all running attempts if the lease has ended.
func (w *fakeWorker) stopIfLeaseExpired() {
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, r := range w.records {
		if r.Phase == worker.Running {
			w.setPhase(r, worker.Stopped, "lease_lapsed")
		}
	}
}

// renewLease makes the lease end after the given time and then stops the running
// attempts, unless it was renewed. A lease of zero changes nothing.
func (w *fakeWorker) renewLease(lease time.Duration) {
	if lease <= 0 {
		return
	}
	until := time.Now().Add(lease)
	w.leaseEnd = until
	time.AfterFunc(lease, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.stopIfLeaseExpired()
	})
}

// checkToken returns an error of the kind worker.KindFenced unless t is the
// token of the last adoption.
func (w *fakeWorker) checkToken(t worker.Token) error {
	w.stopIfLeaseExpired()
	if t != w.token {
		return fault.Newf("call", worker.KindFenced, "adopted by %v", w.token)
	}
	return nil
}

func (w *fakeWorker) adopt(_ context.Context, q worker.AdoptRequest) (worker.AdoptReply, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopIfLeaseExpired()
	if !w.token.Less(q.Token) {
		return worker.AdoptReply{Current: w.token}, nil
	}
	w.token = q.Token
	w.renewLease(q.Lease)
	reply := worker.AdoptReply{Accepted: true, Current: w.token, Capacity: capacity, Rack: "r", Sequence: w.sequence}
	for _, r := range w.records {
		reply.Records = append(reply.Records, *r)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	return reply, nil
}

func (w *fakeWorker) start(_ context.Context, q worker.StartRequest) (worker.Record, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.checkToken(q.Token); err != nil {
		return worker.Record{}, err
	}
	if r := w.records[q.Attempt.ID]; r != nil {
		return *r, nil
	}
	if !time.Now().Before(w.leaseEnd) {
		return worker.Record{}, fault.Newf("start", worker.KindRefused, "lease lapsed")
	}
	r := &worker.Record{Attempt: q.Attempt}
	w.records[q.Attempt.ID] = r
	w.used = w.used.Add(q.Attempt.Size)
	if !w.used.Fits(capacity) {
		w.network.history.mutex.Lock()
		w.network.history.addViolation("", "worker %s exceeds its capacity: %v used", w.name, w.used)
		w.network.history.mutex.Unlock()
	}
	w.setPhase(r, worker.Running, "")
	time.AfterFunc(q.Attempt.RunTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.stopIfLeaseExpired()
		if r.Phase == worker.Running {
			r.Answer = []byte(taskIDOf(r.Attempt.ID))
			w.setPhase(r, worker.Finished, "")
		}
	})
	return *r, nil
}

func (w *fakeWorker) sync(ctx context.Context, q worker.SyncRequest) (worker.SyncReply, error) {
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	for first := true; ; first = false {
		w.mutex.Lock()
		if err := w.checkToken(q.Token); err != nil {
			w.mutex.Unlock()
			return worker.SyncReply{}, err
		}
		if first {
			w.renewLease(q.Lease)
		}
		reply := worker.SyncReply{Sequence: w.sequence}
		for _, r := range w.records {
			if r.Sequence > q.After && r.Phase.Ended() {
				reply.Records = append(reply.Records, *r)
			}
		}
		changed := w.changed
		w.mutex.Unlock()
		if len(reply.Records) > 0 {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

func (w *fakeWorker) stop(_ context.Context, q worker.StopRequest) (worker.StopReply, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.checkToken(q.Token); err != nil {
		return worker.StopReply{}, err
	}
	r := w.records[q.Attempt]
	switch {
	case r == nil:
		r = &worker.Record{Attempt: worker.Attempt{ID: q.Attempt}}
		w.records[q.Attempt] = r
		w.setPhase(r, worker.Fenced, "")
	case r.Phase == worker.Running:
		w.setPhase(r, worker.Stopped, string(q.Mode))
	}
	return worker.StopReply{Record: *r}, nil
}

// fakeDomain is one failure domain with owners and fake workers. It implements
// request.Peers.
type fakeDomain struct {
	network      *fakeNetwork
	workers      []*fakeWorker
	mutex        sync.Mutex
	owners       map[string]*owner.Owner
	incarnations map[string]uint64
	stopFuncs    map[string]context.CancelFunc
	// unreachable contains the owners that run but do not receive the calls of
	// holders.
	unreachable     map[string]bool
	lastIncarnation uint64
}

type noopObserver struct{}

func (noopObserver) Started(entry.Task, time.Duration) {}

// vms returns the workers as a VM list.
func (d *fakeDomain) vms() []vmlist.VM {
	var out []vmlist.VM
	for _, w := range d.workers {
		out = append(out, vmlist.VM{Name: w.name, Role: vmlist.RoleWorker, Domain: "d"})
	}
	return out
}

// startOwner starts an owner with a new incarnation and the given plans.
func (d *fakeDomain) startOwner(ctx context.Context, name string, x *plan.Index) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastIncarnation++
	ctx, cancel := context.WithCancel(ctx)
	dial := func(v vmlist.VM) worker.Peer {
		for _, w := range d.workers {
			if w.name == v.Name {
				return workerLink{w, name}
			}
		}
		return nil
	}
	o := owner.New(ctx, name, d.lastIncarnation, owner.DefaultTiming, owner.Limits{MaxWaiting: 1000, PayloadBytes: 1 << 20}, dial, noopObserver{}, logr.Discard())
	o.SetPlans(x)
	d.owners[name], d.incarnations[name], d.stopFuncs[name] = o, d.lastIncarnation, cancel
}

// killOwner stops an owner and removes it from the domain.
func (d *fakeDomain) killOwner(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopFuncs[name]()
	delete(d.owners, name)
	delete(d.incarnations, name)
}

// assignWorkers assigns every worker to one random reachable owner. If contested
// is set, it assigns some workers to two owners at once, as happens when the entry
// VMs disagree on the membership.
func (d *fakeDomain) assignWorkers(random *rand.Rand, contested bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	names := make([]string, 0, len(d.owners))
	for name := range d.owners {
		if !d.unreachable[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	assigned := map[string][]vmlist.VM{}
	for _, v := range d.vms() {
		i := random.IntN(len(names))
		assigned[names[i]] = append(assigned[names[i]], v)
		if other := random.IntN(len(names)); contested && other != i {
			assigned[names[other]] = append(assigned[names[other]], v)
		}
	}
	for name, o := range d.owners {
		if !d.unreachable[name] {
			o.Assign(assigned[name])
		}
	}
}

// setUnreachable cuts an owner off from the holders or connects it again. A
// cut-off owner keeps its workers until other owners adopt them.
func (d *fakeDomain) setUnreachable(name string, unreachable bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unreachable[name] = unreachable
}

func (w *fakeWorker) setMuted(muted bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.muted = muted
}

func (d *fakeDomain) Targets() []request.Target {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var out []request.Target
	for name, o := range d.owners {
		load := o.Advertise()
		out = append(out, request.Target{
			Name: name, Epoch: o.Epoch(), Domain: "d", FreeFraction: load.FreeFraction, Usable: load.Workers > 0 && !d.unreachable[name], Reachable: !d.unreachable[name],
		})
	}
	slices.SortFunc(out, func(a, b request.Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func (d *fakeDomain) Workers(string) []string {
	var out []string
	for _, v := range d.vms() {
		out = append(out, v.Name)
	}
	return out
}

// callOwnerWithFaults makes one call to an owner over the faulty network. If the owner is
// gone when the reply is due, the reply is lost.
func callOwnerWithFaults[A any](ctx context.Context, d *fakeDomain, t request.Target, method string, f func(o *owner.Owner) (A, error)) (A, error) {
	var none A
	requestLost, replyLost, delay := d.network.drawFaults()
	time.Sleep(min(delay, time.Second))
	d.mutex.Lock()
	o := d.owners[t.Name]
	unreachable := d.unreachable[t.Name]
	d.mutex.Unlock()
	if o == nil || requestLost || unreachable {
		return none, fault.New(method, entry.KindNotSent, errLost)
	}
	reply, err := f(o)
	d.mutex.Lock()
	gone := d.owners[t.Name] != o || d.unreachable[t.Name]
	d.mutex.Unlock()
	if replyLost || gone || ctx.Err() != nil {
		return none, fault.New(method, entry.KindUnknown, errLost)
	}
	if errors.Is(err, entry.ErrEpochMismatch) {
		return none, fault.New(method, entry.KindEpochMismatch, err)
	}
	return reply, err
}

func (d *fakeDomain) Run(ctx context.Context, t request.Target, a entry.RunArgs) (entry.Status, error) {
	s, err := callOwnerWithFaults(ctx, d, t, "Run", func(o *owner.Owner) (entry.Status, error) { return o.Run(a) })
	d.network.history.recordEvent(a.Task.Attempt, "Run at %s epoch %d: %s %s %v", t.Name, a.Epoch, s.State, s.Reason, err)
	return s, err
}

func (d *fakeDomain) Await(ctx context.Context, t request.Target, a entry.AwaitArgs) (entry.Status, error) {
	s, err := callOwnerWithFaults(ctx, d, t, "Await", func(o *owner.Owner) (entry.Status, error) { return o.Await(a) })
	d.network.history.recordEvent(a.Attempt, "Await at %s epoch %d: %s %s %v", t.Name, a.Epoch, s.State, s.Reason, err)
	return s, err
}

func (d *fakeDomain) Resolve(ctx context.Context, t request.Target, a entry.ResolveArgs) (entry.ResolveReply, error) {
	r, err := callOwnerWithFaults(ctx, d, t, "Resolve", func(o *owner.Owner) (entry.ResolveReply, error) { return o.Resolve(a) })
	for _, id := range a.Attempts {
		d.network.history.recordEvent(id, "Resolve at %s: %+v %v", t.Name, r, err)
	}
	return r, err
}

func (d *fakeDomain) Reserve(ctx context.Context, t request.Target, a entry.ReserveArgs) (entry.ReserveReply, error) {
	return callOwnerWithFaults(ctx, d, t, "Reserve", func(o *owner.Owner) (entry.ReserveReply, error) { return o.Reserve(a) })
}

func (d *fakeDomain) Cancel(ctx context.Context, t request.Target, a entry.CancelArgs) error {
	_, err := callOwnerWithFaults(ctx, d, t, "Cancel", func(o *owner.Owner) (struct{}, error) { return struct{}{}, o.Cancel(a) })
	return err
}

// faultSchedule holds the parameters of one random test run. They are drawn
// before the synctest bubble starts.
type faultSchedule struct {
	seed uint64
	// lossProbability is the probability that a call or a reply is lost.
	lossProbability float64
	tasks           int
	// ownerKills is how often an owner is killed.
	ownerKills int
	// ownerDisconnections is how often an owner is cut off from the holders.
	ownerDisconnections int
	// workerMutes is how often a worker is muted.
	workerMutes int
	// contestWorkers makes two owners claim some workers at the same time.
	contestWorkers bool
}

// TestAttemptsUnderFaults runs tasks over a network that loses and delays
// calls, while owners are killed or cut off, workers are muted, and two owners
// claim the same worker. The records of the workers must show that no task runs
// in two places, no task that is not repeatable runs twice, and no worker
// exceeds its capacity. A task reported as not run must not have run.
func TestAttemptsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := faultSchedule{
			seed:                rapid.Uint64().Draw(rt, "seed"),
			lossProbability:     rapid.Float64Range(0, 0.2).Draw(rt, "loss"),
			tasks:               rapid.IntRange(1, 30).Draw(rt, "tasks"),
			ownerKills:          rapid.IntRange(0, 3).Draw(rt, "kills"),
			ownerDisconnections: rapid.IntRange(0, 2).Draw(rt, "cuts"),
			workerMutes:         rapid.IntRange(0, 1).Draw(rt, "mutes"),
			contestWorkers:      rapid.Bool().Draw(rt, "contest"),
		}
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = s.run(t) })
		if len(faults) > 0 {
			rt.Fatalf("%+v: %v", s, faults)
		}
	})
}

// TestSchedulesThatFailed repeats schedules that have found a fault before.
// Each runs several times, since the schedule does not determine the order of
// the goroutines.
func TestSchedulesThatFailed(t *testing.T) {
	scenarios := []struct {
		testName string
		schedule faultSchedule
	}{
		{"late refusal of a start hides a running attempt", faultSchedule{seed: 1, lossProbability: 0.2, tasks: 23, ownerKills: 2, contestWorkers: true}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for range 50 {
				var faults []string
				synctest.Test(t, func(t *testing.T) { faults = s.schedule.run(t) })
				if len(faults) > 0 {
					t.Fatalf("%+v: %v", s.schedule, faults)
				}
			}
		})
	}
}

// run runs the tasks of a schedule with its faults and returns the violations.
func (s faultSchedule) run(t *testing.T) []string {
	random := rand.New(rand.NewPCG(s.seed, 1))
	h := &runHistory{runningWorkers: map[string]int{}, startCounts: map[string]int{}, events: map[string][]string{}, startedAt: time.Now()}
	net := &fakeNetwork{random: rand.New(rand.NewPCG(s.seed, 2)), lossProbability: s.lossProbability, history: h}
	d := &fakeDomain{network: net, owners: map[string]*owner.Owner{}, incarnations: map[string]uint64{}, stopFuncs: map[string]context.CancelFunc{}, unreachable: map[string]bool{}}
	for i := range 4 {
		d.workers = append(d.workers, &fakeWorker{network: net, name: fmt.Sprintf("w%d", i), records: map[string]*worker.Record{}, changed: make(chan struct{})})
	}
	x, err := plan.NewIndex(plan.Lists{
		Customers:    plan.Customers{Customers: []plan.Customer{{Name: "c", Plans: []string{"p"}}}},
		Entitlements: plan.Entitlements{Plans: []plan.Entitlement{{Plan: "p", PromisedShare: 1, LimitShare: 1, QueueLimit: 1000, Classes: plan.Classes[:]}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 3 {
		d.startOwner(ctx, fmt.Sprintf("o%d", i), x)
	}
	d.assignWorkers(random, false)
	time.Sleep(time.Second)
	runner := request.New(d, request.NewTwoChoiceRouter("o0", "d", rand.New(rand.NewPCG(s.seed, 3))), retry.New(0.5, 100), request.DefaultTiming, logr.Discard())
	outcomes := make([]request.Outcome, s.tasks)
	repeatable := make([]bool, s.tasks)
	var group sync.WaitGroup
	for i := range s.tasks {
		repeatable[i] = random.IntN(2) == 0
		work := request.Work{ID: fmt.Sprintf("t%d", i), Submitted: time.Now(), Spec: request.Spec{
			Plan: "p", Class: plan.Normal, Size: taskSize, Repeatable: repeatable[i], RunTimeMilliseconds: s.drawRunTime(random),
		}}
		group.Go(func() { outcomes[i] = runner.Run(ctx, work) })
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	for i := range s.ownerKills {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		name := fmt.Sprintf("o%d", random.IntN(3))
		if len(d.owners) > 1 && d.owners[name] != nil {
			d.killOwner(name)
		}
		d.assignWorkers(random, s.contestWorkers)
		if i%2 == 1 && d.owners[name] == nil {
			d.startOwner(ctx, name, x)
			d.assignWorkers(random, s.contestWorkers)
		}
	}
	for range s.ownerDisconnections {
		name := fmt.Sprintf("o%d", random.IntN(3))
		if d.owners[name] == nil || len(d.owners) < 2 {
			continue
		}
		d.setUnreachable(name, true)
		d.assignWorkers(random, s.contestWorkers)
		time.Sleep(time.Duration(random.IntN(12_000)) * time.Millisecond)
		d.setUnreachable(name, false)
		d.assignWorkers(random, s.contestWorkers)
	}
	for range s.workerMutes {
		w := d.workers[random.IntN(len(d.workers))]
		w.setMuted(true)
		time.Sleep(time.Duration(20_000+random.IntN(40_000)) * time.Millisecond)
		w.setMuted(false)
	}
	net.mutex.Lock()
	net.reliable = true
	net.mutex.Unlock()
	d.assignWorkers(random, false)
	group.Wait()
	cancel()
	time.Sleep(time.Minute)
	return s.checkOutcomes(h, outcomes)
}

// drawRunTime draws a run time in milliseconds. With muted workers some tasks
// run longer than a lease.
func (s faultSchedule) drawRunTime(random *rand.Rand) int64 {
	if s.workerMutes > 0 && random.IntN(3) == 0 {
		return int64(30_000 + random.IntN(60_000))
	}
	return int64(random.IntN(8000))
}

// checkOutcomes compares the outcomes with the history and returns all
// violations.
func (s faultSchedule) checkOutcomes(h *runHistory, outcomes []request.Outcome) []string {
	for i, o := range outcomes {
		name := fmt.Sprintf("t%d", i)
		switch {
		case !o.State.Ended():
			h.addViolation(name, "task %s has no outcome", name)
		case o.State == request.Done && (!o.IsAnswerIntact() || string(o.Answer) != name):
			h.addViolation(name, "task %s got the answer %q", name, o.Answer)
		case o.State == request.NotRun && h.startCounts[name] > 0:
			h.addViolation(name, "task %s was reported as not run (%s), but ran", name, o.Reason)
		}
	}
	return h.violations
}

// TestInterruptedWorkIsNotCalledNotRun checks that a task that was preempted
// and whose next attempt did not run ends as MayHaveRun. NotRun would be wrong,
// since the first attempt ran.
func TestInterruptedWorkIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	p := &scriptedPeers{statuses: []entry.Status{
		{State: entry.Stopped, Reason: entry.ReasonPreempted},
		{State: entry.NotRun, Reason: string(allocator.KindDeadlineOver)},
	}}
	r := request.New(p, request.NewTwoChoiceRouter("o", "d", rand.New(rand.NewPCG(1, 1))), retry.New(1, 1), request.DefaultTiming, logr.Discard())
	o := r.Run(context.Background(), request.Work{ID: "t", Spec: request.Spec{Repeatable: true, Class: plan.Urgent}})
	is.Equal(o.State, request.MayHaveRun)
	is.Equal(o.Reason, entry.ReasonInterrupted)
	is.True(p.lastTask.Resumed)
}

// scriptedPeers has one owner, which returns the given statuses in turn. If repeatLast
// is true, it returns the last one for all further calls.
type scriptedPeers struct {
	fakeDomain
	statuses   []entry.Status
	repeatLast bool
	lastTask   entry.Task
}

func (p *scriptedPeers) Targets() []request.Target {
	return []request.Target{{Name: "o", Domain: "d", FreeFraction: 1, Usable: true, Reachable: true}}
}

func (p *scriptedPeers) Run(_ context.Context, _ request.Target, a entry.RunArgs) (entry.Status, error) {
	s := p.statuses[0]
	p.lastTask = a.Task
	if len(p.statuses) > 1 || !p.repeatLast {
		p.statuses = p.statuses[1:]
	}
	return s, nil
}

// TestRefusedDuringHandOver checks that a task is offered again while workers move
// from a stopping entry VM to its successor: the former refuses it because it drains,
// the latter because it has not adopted the workers yet.
func TestRefusedDuringHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &scriptedPeers{statuses: []entry.Status{
			{State: entry.NotRun, Reason: string(allocator.KindDraining)},
			{State: entry.NotRun, Reason: string(allocator.KindNoWorkers)},
			{State: entry.Finished},
		}}
		r := request.New(p, request.NewTwoChoiceRouter("o", "d", rand.New(rand.NewPCG(1, 1))), retry.New(1, 1), request.DefaultTiming, logr.Discard())
		o := r.Run(t.Context(), request.Work{ID: "t", Spec: request.Spec{Class: plan.Urgent}})
		is.Equal(o.State, request.Done)
		is.Equal(o.Attempts, 1)
	})
}

// TestRefusedWithoutWorkers checks that a task is refused soon if no owner gets
// workers.
func TestRefusedWithoutWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &scriptedPeers{repeatLast: true, statuses: []entry.Status{{State: entry.NotRun, Reason: string(allocator.KindNoWorkers)}}}
		r := request.New(p, request.NewTwoChoiceRouter("o", "d", rand.New(rand.NewPCG(1, 1))), retry.New(1, 1), request.DefaultTiming, logr.Discard())
		begun := time.Now()
		o := r.Run(t.Context(), request.Work{ID: "t", Spec: request.Spec{Class: plan.Urgent}})
		is.Equal(o.State, request.NotRun)
		is.Equal(o.Reason, string(allocator.KindNoWorkers))
		is.True(time.Since(begun) <= time.Second)
	})
}
