package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

const (
	// maxWorkersPerRequest limits the workers named in one request.
	maxWorkersPerRequest = 30
	// minTicketValidity is the remaining validity that a ticket needs to be used. It
	// covers storing the placement and sending the order.
	minTicketValidity = 120 * time.Millisecond
	// requestOverlap is how long before the expected answer a VM gets its next
	// request. It covers the network round trip.
	requestOverlap = 15 * time.Millisecond
	// requestTimeoutMargin is added to the expected time of a request to get its
	// timeout.
	requestTimeoutMargin = 400 * time.Millisecond
	// failedRequestPause is how long a VM gets no request after one that failed:
	// about as long as the adviser still works on the requests that the VM has sent
	// to it.
	failedRequestPause = 600 * time.Millisecond
	// maxServiceShare is the largest share of the VMs that may be busy with requests
	// for one service, so that its slow requests do not delay those of other
	// services.
	maxServiceShare = 0.7
	// slowRequestTime is the time from which on a request keeps a VM busy for longer
	// than urgent jobs can wait. At most maxSlowShare of the VMs are busy with such
	// requests.
	slowRequestTime = 300 * time.Millisecond
	maxSlowShare    = 0.5
	// shortRequestTime is the time up to which a request delays no others, so that
	// it is not limited.
	shortRequestTime = 60 * time.Millisecond
	// maxStepsAhead limits the steps of a service that request advice while there is
	// no room for them.
	maxStepsAhead = 6
	// requestLead is how long before its expected opening a step requests advice.
	requestLead = 500 * time.Millisecond
)

// advice holds the answers of the adviser for a step.
type advice struct {
	// tickets maps the approved workers to their tickets, which may have expired.
	tickets map[*worker]ticket
	// answered holds every worker that the adviser has approved or rejected.
	answered map[*worker]bool
	// awaited holds the workers named in requests in flight.
	awaited map[*worker]bool
	// reserved lists the workers that the last plan reserved for the step.
	// reservedFreeIn is the expected time from that plan until they have room.
	reserved       []*worker
	reservedFreeIn time.Duration
}

// ticket allows a start on one worker; text is the ticket as the adviser issued it.
type ticket struct {
	text    string
	expires time.Time
}

func (a *advice) ticketText(w *worker) string { return a.tickets[w].text }

// expireTicket marks the ticket for a worker as expired.
func (a *advice) expireTicket(w *worker) {
	if t, ok := a.tickets[w]; ok {
		t.expires = time.Time{}
		a.tickets[w] = t
	}
}

// hasValidTicket reports whether a ticket for a worker can be used now.
func (a *advice) hasValidTicket(w *worker, now time.Time) bool {
	t, ok := a.tickets[w]
	return ok && t.expires.Sub(now) > minTicketValidity
}

// AdviceRequest is a request for advice that an entry VM has to send to the adviser service.
type AdviceRequest struct {
	Number  int64
	VM      string
	Step    work.StepID
	Workers []string
	Timeout time.Duration
}

// adviceDispatcher distributes requests for advice over the entry VMs. A VM sends
// its requests to the adviser one at a time.
type adviceDispatcher struct {
	vms map[string]*adviceVM
	// pending maps the steps that need tickets, as of the last plan, to their
	// queues.
	pending    map[*step]*queue.Queue
	inFlight   map[int64]inFlightRequest
	lastNumber int64
	// approvedShares maps a queue to the moving average of the share of workers that
	// the adviser approved in each answer.
	approvedShares map[string]float64
}

// defaultApprovedShare is assumed for queues without an answer yet.
const defaultApprovedShare = 0.4

// approvedShare returns the expected share of approved workers in a request.
func (a *adviceDispatcher) approvedShare(queueName string) float64 {
	if share, ok := a.approvedShares[queueName]; ok {
		return share
	}
	return defaultApprovedShare
}

// recordApprovedShare updates the average of a queue with the share of one answer.
func (a *adviceDispatcher) recordApprovedShare(queueName string, share float64) {
	a.approvedShares[queueName] = a.approvedShare(queueName) + averageWeight*(share-a.approvedShare(queueName))
}

// adviceVM is an entry VM that can request advice.
type adviceVM struct {
	// requestsInFlight counts the requests sent to the VM, which handles them one
	// after the other. busyUntil is when it is expected to have answered the last.
	requestsInFlight int
	busyUntil        time.Time
	pauseUntil       time.Time
}

// requestSpec is a request to send: the workers to ask about, and how long the
// adviser needs for them.
type requestSpec struct {
	workers []*worker
	cost    *queue.AdviceCost
}

type inFlightRequest struct {
	step    *step
	vm      string
	workers []*worker
	// expectedTime is how long the adviser needs for the request.
	expectedTime time.Duration
	sent         time.Time
	expires      time.Time
}

func newAdviceDispatcher() adviceDispatcher {
	return adviceDispatcher{vms: map[string]*adviceVM{}, pending: map[*step]*queue.Queue{}, inFlight: map[int64]inFlightRequest{}, approvedShares: map[string]float64{}}
}

// SetAdviceVMs replaces the list of entry VMs that can request advice.
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
	s.planNeeded = true
}

func (a *adviceDispatcher) dequeue(st *step) { delete(a.pending, st) }

// enqueue adds a step that needs tickets. Steps of queues that need no advice are
// ignored.
func (a *adviceDispatcher) enqueue(st *step, q *queue.Queue) {
	if q.Advice != nil {
		a.pending[st] = q
	}
}

// idleVM returns the VM that can take a request and has been idle for longest; ok
// is false if there is none.
func (a *adviceDispatcher) idleVM(now time.Time) (name string, ok bool) {
	var longestIdle *adviceVM
	for n, v := range a.vms {
		if !now.After(v.pauseUntil) || (v.requestsInFlight > 0 && v.busyUntil.Sub(now) >= requestOverlap) {
			continue
		}
		if longestIdle == nil || cmp.Or(v.busyUntil.Compare(longestIdle.busyUntil), cmp.Compare(n, name)) < 0 {
			name, longestIdle = n, v
		}
	}
	return name, longestIdle != nil
}

// sendRequest sends a request for a step through an entry VM.
func (s *Scheduler) sendRequest(st *step, q requestSpec, vm string, now time.Time) {
	a := &s.dispatcher
	delete(a.pending, st)
	a.lastNumber++
	v, cost := a.vms[vm], q.cost.RequestDuration(len(q.workers))
	if v.requestsInFlight == 0 {
		v.busyUntil = now
	}
	timeout := max(v.busyUntil.Sub(now), 0) + cost + requestTimeoutMargin
	v.requestsInFlight++
	v.busyUntil = v.busyUntil.Add(cost)
	if st.advice.awaited == nil {
		st.advice.awaited = map[*worker]bool{}
	}
	a.inFlight[a.lastNumber] = inFlightRequest{step: st, vm: vm, workers: q.workers, expectedTime: cost, sent: now, expires: now.Add(timeout + requestTimeoutMargin)}
	ids := make([]string, len(q.workers))
	for i, w := range q.workers {
		w.requestsInFlight++
		st.advice.awaited[w] = true
		ids[i] = w.registration.Life.ID
	}
	s.effects.AdviceRequests = append(s.effects.AdviceRequests, AdviceRequest{Number: a.lastNumber, VM: vm, Step: st.id, Workers: ids, Timeout: timeout})
}

// AdviceAnswered handles the answer to a request. failed means that there was no
// answer.
func (s *Scheduler) AdviceAnswered(number int64, answer backend.Advice, failed bool, now time.Time) {
	o, ok := s.dispatcher.inFlight[number]
	if !ok {
		return
	}
	delete(s.dispatcher.inFlight, number)
	for _, w := range o.workers {
		w.requestsInFlight--
		delete(o.step.advice.awaited, w)
	}
	s.dispatcher.finishRequest(o.vm, failed, now)
	s.planNeeded = true
	if failed {
		s.log.Info("advice_failed", "job", o.step.id.Job, "step", o.step.id.Step, "vm", o.vm)
		return
	}
	s.addObservation("advice", o.step.job, now.Sub(o.sent))
	a := &o.step.advice
	if a.answered == nil {
		a.answered, a.tickets = map[*worker]bool{}, map[*worker]ticket{}
	}
	for _, w := range o.workers {
		a.answered[w] = true
		if text, approved := answer.Tickets[w.registration.Life.ID]; approved {
			a.tickets[w] = ticket{text: text, expires: now.Add(answer.Validity)}
		}
	}
	s.dispatcher.recordApprovedShare(o.step.job.spec.Queue, float64(len(answer.Tickets))/float64(len(o.workers)))
	s.log.Info("advice_received", "job", o.step.id.Job, "step", o.step.id.Step, "vm", o.vm, "asked", len(o.workers), "good", len(answer.Tickets), "took_ms", now.Sub(o.sent).Milliseconds())
	s.planUrgentJob(o.step.job, now)
}

// finishRequest updates a VM after one of its requests was answered or has failed. The
// expected times of its other requests are counted from now.
func (a *adviceDispatcher) finishRequest(name string, failed bool, now time.Time) {
	v := a.vms[name]
	if v == nil {
		return
	}
	v.requestsInFlight, v.busyUntil = 0, now
	for _, o := range a.inFlight {
		if o.vm == name {
			v.requestsInFlight++
			v.busyUntil = v.busyUntil.Add(o.expectedTime)
		}
	}
	if failed {
		v.pauseUntil = now.Add(failedRequestPause)
	}
}

// expireRequests treats requests that have timed out as failed.
func (s *Scheduler) expireRequests(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.dispatcher.inFlight)) {
		if o := s.dispatcher.inFlight[number]; now.After(o.expires) {
			s.AdviceAnswered(number, backend.Advice{}, true, now)
		}
	}
}

func compareLives(a, b backend.Life) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}
