package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// maxWorkersPerRequest is the largest number of workers that one request for
	// advice may name if fewer are expected to bring enough places.
	maxWorkersPerRequest = 30
	// maxWorkersPerLargeRequest is the largest number of workers that any request may
	// name, which is the limit of the adviser. A wide gang needs so many workers that
	// the fixed duration of several small requests would keep many VMs busy.
	maxWorkersPerLargeRequest = 100
	// minTicketValidity is how long a ticket must still be valid for a task to be
	// placed with it. In this time the placement is stored and the start order is
	// sent.
	minTicketValidity = 120 * time.Millisecond
	// requestOverlap is how long before the expected answer to its current request a
	// VM is sent the next one. It covers the network round trip.
	requestOverlap = 15 * time.Millisecond
	// requestTimeoutMargin is the time by which the timeout of a request exceeds the
	// time that the request is expected to take.
	requestTimeoutMargin = 400 * time.Millisecond
	// failedRequestPause is how long a VM is sent no request after one of its
	// requests failed. The adviser works for about that long on the requests that the
	// VM has already sent to it.
	failedRequestPause = 600 * time.Millisecond
	// maxVMSharePerService is the largest share of the VMs that may be busy with
	// requests for one service while requests for other services wait. It keeps the
	// slow requests of one service from delaying those of other services.
	maxVMSharePerService = 0.7
	// shortRequestHeadroom is how many times the VMs that short requests have lately
	// kept busy are kept free for them. It covers a burst of urgent jobs.
	shortRequestHeadroom = 3.0
	// A request is slow if its fixed duration (AdviceCost.Fixed) is at least
	// minSlowRequestTime: it keeps a VM busy for longer than urgent jobs can wait. At
	// most the share maxVMShareForSlowRequests of the VMs may be busy with slow
	// requests while others wait.
	minSlowRequestTime        = 300 * time.Millisecond
	maxVMShareForSlowRequests = 0.5
	// A request is short if its fixed duration (AdviceCost.Fixed) is at most
	// maxShortRequestTime. Short requests delay no others, so their number is not
	// limited.
	maxShortRequestTime = 60 * time.Millisecond
	// maxStepsWithoutCapacity is the largest number of steps of one service that may
	// request advice while no worker has enough free capacity for their tasks.
	maxStepsWithoutCapacity = 6
	// A step that is not open yet requests advice early enough for the answer to
	// arrive adviceLeadTime before the step is expected to open.
	adviceLeadTime = 500 * time.Millisecond
)

// advice holds the answers of the adviser about one step, and the workers reserved
// for the step.
type advice struct {
	// tickets maps the workers that the adviser has approved to their tickets. A
	// ticket in it may have expired.
	tickets map[*worker]ticket
	// answered contains every worker that the adviser has either approved or
	// rejected.
	answered map[*worker]bool
	// withdrawn contains the workers that the adviser has approved, but not when it was asked
	// last. The step asks about them again once there is no other worker to ask about.
	withdrawn map[*worker]bool
	// answeredFor is the last pool of which answered contains all workers that could run the
	// step, or nil.
	answeredFor *pool
	// workersAwaitingAnswer contains the workers named in requests that the adviser
	// has not answered yet.
	workersAwaitingAnswer map[*worker]bool
	// requestedAt is when the last request was sent.
	requestedAt time.Time
	// outranked is true if, in the last scheduling pass, the steps before this one
	// needed all free capacity of the pool.
	outranked bool
	// reservedWorkers lists the workers that the last scheduling pass reserved for
	// the step. timeUntilReservedFree is the time, from that pass on, after which all
	// of them (for a gang) or the first of them (for other steps) should have enough
	// free capacity.
	reservedWorkers       []*worker
	timeUntilReservedFree time.Duration
}

// ticket permits a task of the step to start on one worker. text is the ticket as the
// adviser issued it.
type ticket struct {
	text      string
	expiresAt time.Time
	// refusedAfter is the time after which a worker certainly refuses the ticket. It is
	// later than expiresAt, since the time of issue is only estimated.
	refusedAfter time.Time
	// receivedAt is when the answer with the ticket arrived.
	receivedAt time.Time
}

// isValid reports whether the ticket can be used now.
func (t ticket) isValid(now time.Time) bool { return t.expiresAt.After(now.Add(minTicketValidity)) }

func (a *advice) ticketText(w *worker) string { return a.tickets[w].text }

// expireTicket makes the ticket for a worker unusable, if there is one.
func (a *advice) expireTicket(w *worker) {
	if t, ok := a.tickets[w]; ok {
		t.expiresAt = time.Time{}
		a.tickets[w] = t
	}
}

// hasValidTicket reports whether a ticket for a worker can be used now.
func (a *advice) hasValidTicket(w *worker, now time.Time) bool {
	t, ok := a.tickets[w]
	return ok && t.isValid(now)
}

// isTicketExpired reports whether the ticket for a worker has expired, so that the worker
// would refuse a start. Without a ticket it is false: not every queue needs one.
func (a *advice) isTicketExpired(w *worker, now time.Time) bool {
	t, ok := a.tickets[w]
	return ok && !now.Before(t.expiresAt)
}

// latestTicketUse returns the time after which a worker certainly refuses a ticket that was
// issued at a given time or before.
func latestTicketUse(issued time.Time, validity time.Duration) time.Time {
	return issued.Add(longestDuration(validity))
}

// AdviceRequest is a request for advice about Step. The caller of the scheduler must
// have an entry VM, the one with the name VM, send it to the adviser.
type AdviceRequest struct {
	Number  int64
	VM      string
	Step    work.StepID
	Workers []string
	Timeout time.Duration
}

// adviceDispatcher distributes requests for advice over the entry VMs. Each VM sends
// its requests to the adviser one at a time.
type adviceDispatcher struct {
	vms map[string]*adviceVM
	// pendingSteps maps each step to its queue. It contains the steps that needed
	// tickets in the last scheduling pass and have not requested them since.
	pendingSteps      map[*step]*queue.Queue
	inFlightRequests  map[int64]inFlightRequest
	lastRequestNumber int64
	// approvalRates maps the name of a queue to a moving average: the share of the
	// workers named in a request that the adviser approves.
	approvalRates map[string]float64
	// shortRequestUsage is the mean number of VMs that are busy with short requests.
	shortRequestUsage usageMeter
}

// usageMeter measures how much of a resource is used on average. Older use counts less,
// by a factor of e for each usageMeterPeriod.
type usageMeter struct {
	lastRate float64
	lastAt   time.Time
}

// usageMeterPeriod is the time constant of a usageMeter.
const usageMeterPeriod = 5 * time.Second

// add records that one unit is used for the given time.
func (m *usageMeter) add(used time.Duration, now time.Time) {
	m.lastRate, m.lastAt = m.rate(now)+used.Seconds()/usageMeterPeriod.Seconds(), now
}

// rate returns the mean number of units in use.
func (m *usageMeter) rate(now time.Time) float64 {
	return m.lastRate * math.Exp(-now.Sub(m.lastAt).Seconds()/usageMeterPeriod.Seconds())
}

// defaultApprovalRate is the approval rate assumed for a queue until the adviser has
// answered its first request.
const defaultApprovalRate = 0.4

// approvalRate returns the share of the workers in a request that the adviser is
// expected to approve.
func (a *adviceDispatcher) approvalRate(queueName string) float64 {
	if share, ok := a.approvalRates[queueName]; ok {
		return share
	}
	return defaultApprovalRate
}

// recordApprovalRate updates the moving average of a queue with the share of workers
// that one answer approved.
func (a *adviceDispatcher) recordApprovalRate(queueName string, share float64) {
	a.approvalRates[queueName] = a.approvalRate(queueName) + movingAverageWeight*(share-a.approvalRate(queueName))
}

// adviceVM is the state of an entry VM that can request advice.
type adviceVM struct {
	// requestsInFlight counts the unanswered requests sent to the VM, which handles
	// them one after the other. busyUntil is the time at which the last of them is
	// expected to be answered.
	requestsInFlight int
	busyUntil        time.Time
	pausedUntil      time.Time
}

// requestSpec describes a request to send: the workers to ask about, and how long the
// adviser needs for them.
type requestSpec struct {
	workers    []*worker
	adviceCost *queue.AdviceCost
}

type inFlightRequest struct {
	step    *step
	vm      string
	workers []*worker
	// expectedTime is how long the adviser is expected to take for the request.
	expectedTime time.Duration
	sentAt       time.Time
	expiresAt    time.Time
}

func newAdviceDispatcher() adviceDispatcher {
	return adviceDispatcher{vms: map[string]*adviceVM{}, pendingSteps: map[*step]*queue.Queue{}, inFlightRequests: map[int64]inFlightRequest{}, approvalRates: map[string]float64{}}
}

// SetAdviceVMs sets the entry VMs that can request advice. VMs that are not in names
// are removed.
func (s *Scheduler) SetAdviceVMs(names []string) {
	for _, n := range names {
		if s.dispatcher.vms[n] == nil {
			s.dispatcher.vms[n] = &adviceVM{}
		}
	}
	for n := range s.dispatcher.vms {
		if !slices.Contains(names, n) {
			delete(s.dispatcher.vms, n)
		}
	}
	s.schedulingNeeded = true
}

func (a *adviceDispatcher) removePendingStep(st *step) { delete(a.pendingSteps, st) }

// addPendingStep adds a step that needs tickets. It does nothing if the queue needs
// no advice.
func (a *adviceDispatcher) addPendingStep(st *step, q *queue.Queue) {
	if q.Advice != nil {
		a.pendingSteps[st] = q
	}
}

// idleVM returns the VM that can take a request and has been idle the longest. ok is
// false if every VM is busy or paused.
func (a *adviceDispatcher) idleVM(now time.Time) (name string, ok bool) {
	var longestIdle *adviceVM
	for n, v := range a.vms {
		if !now.After(v.pausedUntil) || (v.requestsInFlight > 0 && v.busyUntil.Sub(now) >= requestOverlap) {
			continue
		}
		if longestIdle == nil || cmp.Or(v.busyUntil.Compare(longestIdle.busyUntil), cmp.Compare(n, name)) < 0 {
			name, longestIdle = n, v
		}
	}
	return name, longestIdle != nil
}

// sendAdviceRequest has an entry VM send a request for advice about a step.
func (s *Scheduler) sendAdviceRequest(st *step, q requestSpec, vm string, now time.Time) {
	a := &s.dispatcher
	delete(a.pendingSteps, st)
	a.lastRequestNumber++
	v, cost := a.vms[vm], q.adviceCost.RequestDuration(len(q.workers))
	if v.requestsInFlight == 0 {
		v.busyUntil = now
	}
	timeout := max(v.busyUntil.Sub(now), 0) + cost + requestTimeoutMargin
	v.requestsInFlight++
	v.busyUntil = v.busyUntil.Add(cost)
	st.advice.requestedAt = now
	if st.advice.workersAwaitingAnswer == nil {
		st.advice.workersAwaitingAnswer = map[*worker]bool{}
	}
	a.inFlightRequests[a.lastRequestNumber] = inFlightRequest{step: st, vm: vm, workers: q.workers, expectedTime: cost, sentAt: now, expiresAt: now.Add(timeout + requestTimeoutMargin)}
	ids := make([]string, len(q.workers))
	for i, w := range q.workers {
		w.requestsInFlight++
		st.advice.workersAwaitingAnswer[w] = true
		ids[i] = w.registration.Life.ID
	}
	s.effects.AdviceRequests = append(s.effects.AdviceRequests, AdviceRequest{Number: a.lastRequestNumber, VM: vm, Step: st.id, Workers: ids, Timeout: timeout})
}

// AdviceAnswered handles the answer to the request that has this number. If failed is
// true, there was no answer.
func (s *Scheduler) AdviceAnswered(number int64, answer backend.Advice, failed bool, now time.Time) {
	o, ok := s.dispatcher.inFlightRequests[number]
	if !ok {
		return
	}
	delete(s.dispatcher.inFlightRequests, number)
	for _, w := range o.workers {
		w.requestsInFlight--
		delete(o.step.advice.workersAwaitingAnswer, w)
	}
	s.dispatcher.finishAdviceRequest(o.vm, failed, now)
	s.schedulingNeeded = true
	if failed {
		s.log.Info("advice_failed", "job", o.step.id.Job, "step", o.step.id.Step, "vm", o.vm)
		return
	}
	s.addObservation("advice", o.step.job, now.Sub(o.sentAt))
	if o.step.tasksLeft > 0 && !o.step.job.state.Ended() {
		o.step.advice.recordAnswer(&o, &answer, now)
	}
	s.dispatcher.recordApprovalRate(o.step.job.spec.Queue, float64(len(answer.Tickets))/float64(len(o.workers)))
	s.log.Info("advice_received", "job", o.step.id.Job, "step", o.step.id.Step, "vm", o.vm, "asked", len(o.workers), "good", len(answer.Tickets), "took_ms", now.Sub(o.sentAt).Milliseconds())
	s.scheduleUrgentJob(o.step.job, now)
}

// recordAnswer records which workers the adviser has approved or rejected, except for those that
// were removed meanwhile.
func (a *advice) recordAnswer(o *inFlightRequest, answer *backend.Advice, now time.Time) {
	if a.answered == nil {
		a.answered, a.tickets, a.withdrawn = map[*worker]bool{}, map[*worker]ticket{}, map[*worker]bool{}
	}
	// The answer may have waited for a busy leader since the adviser issued the tickets.
	issuedAt := o.sentAt.Add(o.expectedTime)
	if issuedAt.After(now) {
		issuedAt = now
	}
	for _, w := range o.workers {
		text, approved := answer.Tickets[w.registration.Life.ID]
		if _, wasApproved := a.tickets[w]; wasApproved && !approved {
			delete(a.tickets, w)
			a.withdrawn[w] = true
		}
		if w.removed {
			continue
		}
		a.answered[w] = true
		if approved {
			delete(a.withdrawn, w)
			a.tickets[w] = ticket{text: text, expiresAt: issuedAt.Add(answer.Validity), refusedAfter: latestTicketUse(now, answer.Validity), receivedAt: now}
		}
	}
}

// forgetRemovedWorkers removes the answers about workers that were removed. A step that waits
// for long would otherwise keep those about all workers of the day.
func (a *advice) forgetRemovedWorkers() {
	maps.DeleteFunc(a.answered, func(w *worker, _ bool) bool { return w.removed })
	maps.DeleteFunc(a.tickets, func(w *worker, _ ticket) bool { return w.removed })
	maps.DeleteFunc(a.withdrawn, func(w *worker, _ bool) bool { return w.removed })
	a.answeredFor = nil // An earlier pool holds its workers.
}

// forgetRemovedWorkers removes what is kept of the workers that were removed since a given time
// in the steps of all jobs.
func (s *Scheduler) forgetRemovedWorkers(since time.Time) {
	removed := false
	for _, t := range s.formerTokens {
		removed = removed || !t.removedAt.Before(since)
	}
	if !removed {
		return
	}
	for _, j := range s.activeJobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				st.advice.forgetRemovedWorkers()
			}
		}
	}
}

// finishAdviceRequest updates the state of a VM after one of its requests was
// answered or failed. The VM is then expected to start on its next request now.
func (a *adviceDispatcher) finishAdviceRequest(name string, failed bool, now time.Time) {
	v := a.vms[name]
	if v == nil {
		return
	}
	v.requestsInFlight, v.busyUntil = 0, now
	for _, o := range a.inFlightRequests {
		if o.vm == name {
			v.requestsInFlight++
			v.busyUntil = v.busyUntil.Add(o.expectedTime)
		}
	}
	if failed {
		v.pausedUntil = now.Add(failedRequestPause)
	}
}

// expireAdviceRequests handles requests that have timed out in the same way as failed
// ones.
func (s *Scheduler) expireAdviceRequests(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.dispatcher.inFlightRequests)) {
		if o := s.dispatcher.inFlightRequests[number]; now.After(o.expiresAt) {
			s.AdviceAnswered(number, backend.Advice{}, true, now)
		}
	}
}

func compareLives(a, b backend.Life) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}
