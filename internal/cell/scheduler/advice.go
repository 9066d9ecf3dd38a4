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
	// mostAsked bounds the workers named in one question.
	mostAsked = 30
	// ticketMargin is the validity that a ticket must have left to be used: it
	// covers the record of the start and the order's way.
	ticketMargin = 120 * time.Millisecond
	// questionOverlap is how long before a VM is done it gets the next question,
	// which covers the way there and back.
	questionOverlap = 15 * time.Millisecond
	// askTimeout is added to the time that a question should take.
	askTimeout = 400 * time.Millisecond
	// adviserPause is how long a VM that failed to get advice is not asked: about
	// the time that the questions take which it has left with the adviser.
	adviserPause = 600 * time.Millisecond
	// adviserShare is the largest share of the VMs that ask for one service, so
	// that its slow questions do not hold up those of another.
	adviserShare = 0.7
	// slowQuestion is the length from which on a question holds a VM up for longer
	// than urgent jobs can wait; at most slowShare of the VMs are busy with such.
	slowQuestion = 300 * time.Millisecond
	slowShare    = 0.5
	// shortQuestion is the length up to which questions hold nobody up.
	shortQuestion = 60 * time.Millisecond
	// askedAhead bounds the steps without room that are asked about, for each
	// service.
	askedAhead = 6
	// askAhead is how long before a step opens its workers are asked for.
	askAhead = 500 * time.Millisecond
)

// advice is what is known of the workers that a step may use.
type advice struct {
	// tickets holds the good workers; a ticket may have expired.
	tickets map[*worker]ticket
	// asked holds every worker with a known verdict.
	asked map[*worker]bool
	// asking holds the workers in questions that are on their way.
	asking map[*worker]bool
	// kept are the workers that the last plan keeps for the step, and keptIn is when
	// they should have room, from that plan on.
	kept   []*worker
	keptIn time.Duration
}

type ticket struct {
	text    string
	expires time.Time
}

func (a *advice) ticket(w *worker) string { return a.tickets[w].text }

func (a *advice) drop(w *worker) {
	if t, ok := a.tickets[w]; ok {
		t.expires = time.Time{}
		a.tickets[w] = t
	}
}

func (a *advice) valid(w *worker, now time.Time) bool {
	t, ok := a.tickets[w]
	return ok && t.expires.Sub(now) > ticketMargin
}

// Ask is a question that an entry VM has to put to the adviser.
type Ask struct {
	Number  int64
	VM      string
	Step    work.StepID
	Workers []string
	Timeout time.Duration
}

// advisers spreads questions over the entry VMs, each of which can ask one at a
// time.
type advisers struct {
	vms map[string]*adviserVM
	// waiting holds the steps that lack tickets, as of the last plan.
	waiting map[*step]*queue.Queue
	open    map[int64]openAsk
	number  int64
	// good is the share of workers that may run the steps of a queue, as learned.
	good map[string]float64
}

// defaultGood is the share of good workers that is assumed before the first answer.
const defaultGood = 0.4

// goodShare returns the share of workers that should be good for steps of a queue.
func (a *advisers) goodShare(queueName string) float64 {
	if share, ok := a.good[queueName]; ok {
		return share
	}
	return defaultGood
}

// learn notes which share of the workers in a question was good.
func (a *advisers) learn(queueName string, share float64) {
	a.good[queueName] = a.goodShare(queueName) + learnWeight*(share-a.goodShare(queueName))
}

type adviserVM struct {
	// open counts the questions on their way through the VM, which are answered
	// one after the other, the last of them about busyUntil.
	open       int
	busyUntil  time.Time
	pauseUntil time.Time
}

type question struct {
	workers []*worker
	cost    *queue.AdviceCost
}

type openAsk struct {
	step    *step
	vm      string
	workers []*worker
	// cost is the time that the adviser takes for the question.
	cost    time.Duration
	sent    time.Time
	expires time.Time
}

func newAdvisers() advisers {
	return advisers{vms: map[string]*adviserVM{}, waiting: map[*step]*queue.Queue{}, open: map[int64]openAsk{}, good: map[string]float64{}}
}

// SetAdvisers names the entry VMs that can ask for advice.
func (s *Scheduler) SetAdvisers(names []string) {
	for _, n := range names {
		if s.advisers.vms[n] == nil {
			s.advisers.vms[n] = &adviserVM{}
		}
	}
	for n := range s.advisers.vms {
		if !slices.Contains(names, n) {
			delete(s.advisers.vms, n)
		}
	}
	s.planNeeded = true
}

func (a *advisers) forget(st *step) { delete(a.waiting, st) }

// want notes that a step lacks tickets.
func (a *advisers) want(st *step, q *queue.Queue) {
	if q.Advice != nil {
		a.waiting[st] = q
	}
}

// idle returns the VM that can take a question and has been idle longest; ok is false
// where there is none.
func (a *advisers) idle(now time.Time) (name string, ok bool) {
	var first *adviserVM
	for n, v := range a.vms {
		if !now.After(v.pauseUntil) || (v.open > 0 && v.busyUntil.Sub(now) >= questionOverlap) {
			continue
		}
		if first == nil || cmp.Or(v.busyUntil.Compare(first.busyUntil), cmp.Compare(n, name)) < 0 {
			name, first = n, v
		}
	}
	return name, first != nil
}

func (s *Scheduler) ask(st *step, q question, vm string, now time.Time) {
	a := &s.advisers
	delete(a.waiting, st)
	a.number++
	v, cost := a.vms[vm], q.cost.Of(len(q.workers))
	if v.open == 0 {
		v.busyUntil = now
	}
	timeout := max(v.busyUntil.Sub(now), 0) + cost + askTimeout
	v.open++
	v.busyUntil = v.busyUntil.Add(cost)
	if st.advice.asking == nil {
		st.advice.asking = map[*worker]bool{}
	}
	a.open[a.number] = openAsk{step: st, vm: vm, workers: q.workers, cost: cost, sent: now, expires: now.Add(timeout + askTimeout)}
	ids := make([]string, len(q.workers))
	for i, w := range q.workers {
		w.questions++
		st.advice.asking[w] = true
		ids[i] = w.registration.Life.ID
	}
	s.effects.Asks = append(s.effects.Asks, Ask{Number: a.number, VM: vm, Step: st.id, Workers: ids, Timeout: timeout})
}

// AdviceAnswered handles the answer to a question; failed tells that there was
// none.
func (s *Scheduler) AdviceAnswered(number int64, answer backend.Advice, failed bool, now time.Time) {
	o, ok := s.advisers.open[number]
	if !ok {
		return
	}
	delete(s.advisers.open, number)
	for _, w := range o.workers {
		w.questions--
		delete(o.step.advice.asking, w)
	}
	s.advisers.settle(o.vm, failed, now)
	s.planNeeded = true
	if failed {
		s.log.Info("advice_failed", "job", o.step.id.Job, "step", o.step.id.Step, "vm", o.vm)
		return
	}
	s.observe("advice", o.step.job, now.Sub(o.sent))
	a := &o.step.advice
	if a.asked == nil {
		a.asked, a.tickets = map[*worker]bool{}, map[*worker]ticket{}
	}
	for _, w := range o.workers {
		a.asked[w] = true
		if text, good := answer.Tickets[w.registration.Life.ID]; good {
			a.tickets[w] = ticket{text: text, expires: now.Add(answer.Validity)}
		}
	}
	s.advisers.learn(o.step.job.spec.Queue, float64(len(answer.Tickets))/float64(len(o.workers)))
	s.log.Info("advice_received", "job", o.step.id.Job, "step", o.step.id.Step, "vm", o.vm, "asked", len(o.workers), "good", len(answer.Tickets), "took_ms", now.Sub(o.sent).Milliseconds())
	s.hasten(o.step.job, now)
}

// settle notes that a question has left a VM. The questions that are still there are
// answered one after the other from now on.
func (a *advisers) settle(name string, failed bool, now time.Time) {
	v := a.vms[name]
	if v == nil {
		return
	}
	v.open, v.busyUntil = 0, now
	for _, o := range a.open {
		if o.vm == name {
			v.open++
			v.busyUntil = v.busyUntil.Add(o.cost)
		}
	}
	if failed {
		v.pauseUntil = now.Add(adviserPause)
	}
}

func (s *Scheduler) expireAsks(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.advisers.open)) {
		if o := s.advisers.open[number]; now.After(o.expires) {
			s.AdviceAnswered(number, backend.Advice{}, true, now)
		}
	}
}

func compareLives(a, b backend.Life) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}
