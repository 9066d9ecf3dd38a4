// Package usage meters the plans of a pool: it integrates over time how much
// capacity each plan was promised, used, borrowed from other plans and lent to
// them, and how much it would need in a pool of its own. It does no I/O and is not
// safe for concurrent use.
package usage

import (
	"time"

	"github.com/almondpost/almondpost/internal/decide/share"
	"github.com/almondpost/almondpost/internal/operate/invariant"
)

// WaitingBucketBounds are the inclusive upper bounds of the waiting-time buckets.
// One more bucket counts the longer times.
var WaitingBucketBounds = [...]time.Duration{
	100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2100 * time.Millisecond,
	10 * time.Second, time.Minute, time.Hour,
}

// WaitingHistogram is a histogram of the times that tasks waited for their start. Its
// bounds are WaitingBucketBounds.
type WaitingHistogram [len(WaitingBucketBounds) + 1]int64

// Add counts one task by its waiting time.
func (b *WaitingHistogram) Add(waited time.Duration) {
	for i, bound := range WaitingBucketBounds {
		if waited <= bound {
			b[i]++
			return
		}
	}
	b[len(WaitingBucketBounds)]++
}

// PlanUsage is the usage of one plan over a period. Amounts are in VM-seconds: the
// plan's dominant share of the pool times the number of workers in the pool,
// integrated over time.
type PlanUsage struct {
	Customer string `json:"customer"`
	Plan     string `json:"plan"`
	// Promised is the plan's guaranteed capacity. Borrowed is the use above it,
	// and Lent is the part of the guaranteed capacity that the plan did not use.
	// Used is at most Promised plus Borrowed. At no moment does a plan both borrow
	// and lend.
	Promised float64 `json:"promised_vm_seconds"`
	Used     float64 `json:"used_vm_seconds"`
	Borrowed float64 `json:"borrowed_vm_seconds"`
	Lent     float64 `json:"lent_vm_seconds"`
	// Alone is the capacity that the plan would need in a pool of its own: its
	// peak use, provided for the whole period.
	Alone float64 `json:"alone_vm_seconds"`
	// Idle is the part of the pool's unused capacity that is attributed to the
	// plan, in proportion to its promised share.
	Idle float64 `json:"idle_vm_seconds"`
	// Started is the number of tasks that started.
	Started int64 `json:"started"`
	// Waiting holds, for each class, the waiting times of the started tasks.
	Waiting map[string]WaitingHistogram `json:"waiting"`
}

// Merge adds the sums of another period or pool.
func (s *PlanUsage) Merge(o PlanUsage) {
	s.Promised += o.Promised
	s.Used += o.Used
	s.Borrowed += o.Borrowed
	s.Lent += o.Lent
	s.Alone += o.Alone
	s.Idle += o.Idle
	s.Started += o.Started
	for class, b := range o.Waiting {
		sum := s.Waiting[class]
		for i := range sum {
			sum[i] += b[i]
		}
		if s.Waiting == nil {
			s.Waiting = map[string]WaitingHistogram{}
		}
		s.Waiting[class] = sum
	}
}

// Period holds the usage of all plans of one pool between two times.
type Period struct {
	// From is the name of the entry VM whose workers form the pool.
	From  string    `json:"from"`
	Begin time.Time `json:"begin"`
	End   time.Time `json:"end"`
	// PoolSeconds is the number of workers in the pool integrated over the period,
	// in VM-seconds.
	PoolSeconds float64              `json:"pool_vm_seconds"`
	Plans       map[string]PlanUsage `json:"plans"`
}

// Meter integrates the usage of one pool over time.
type Meter struct {
	currentPeriod Period
	// integratedUntil is the time up to which usage has been added to the sums.
	integratedUntil time.Time
	// peakUseByPlan is the highest use of each plan in the current period, in VMs,
	// keyed by plan name.
	peakUseByPlan map[string]float64
}

// New returns a meter for the pool of the entry VM named from. Its first period
// begins at now.
func New(from string, now time.Time) *Meter {
	m := &Meter{integratedUntil: now}
	m.beginPeriod(from, now)
	return m
}

// beginPeriod begins a new period without usage.
func (m *Meter) beginPeriod(from string, now time.Time) {
	m.currentPeriod = Period{From: from, Begin: now, End: now, Plans: map[string]PlanUsage{}}
	m.peakUseByPlan = map[string]float64{}
}

// Advance adds the usage from the last call until now to the sums. It assumes that
// the accounts and the number of workers were constant since then, so callers must
// call Advance before they change either.
func (m *Meter) Advance(now time.Time, accounts *share.Accounts, workers int) {
	elapsed := now.Sub(m.integratedUntil).Seconds()
	m.integratedUntil = now
	if elapsed <= 0 || workers == 0 {
		return
	}
	vmSeconds := elapsed * float64(workers)
	m.currentPeriod.End = now
	m.currentPeriod.PoolSeconds += vmSeconds
	usedShare, promisedShare := 0.0, 0.0
	accounts.Each(func(a *share.Account) {
		usedShare += a.WeightedShare() * a.PromisedShare
		promisedShare += a.PromisedShare
	})
	idleShare := max(0, 1-usedShare)
	accounts.Each(func(a *share.Account) {
		planShare := a.WeightedShare() * a.PromisedShare
		s := m.currentPeriod.Plans[a.Plan]
		s.Customer, s.Plan = a.Customer, a.Plan
		s.Promised += a.PromisedShare * vmSeconds
		s.Used += planShare * vmSeconds
		s.Borrowed += max(0, planShare-a.PromisedShare) * vmSeconds
		s.Lent += max(0, a.PromisedShare-planShare) * vmSeconds
		s.Idle += idleShare * vmSeconds * a.PromisedShare / promisedShare
		m.peakUseByPlan[a.Plan] = max(m.peakUseByPlan[a.Plan], planShare*float64(workers))
		s.Alone = m.peakUseByPlan[a.Plan] * now.Sub(m.currentPeriod.Begin).Seconds()
		m.currentPeriod.Plans[a.Plan] = s
		invariant.Check(s.Used <= s.Promised+s.Borrowed+roundingTolerance*m.currentPeriod.PoolSeconds, "usage_sums", "plan %s: %+v", a.Plan, s)
	})
}

// roundingTolerance allows for rounding errors in the sums, as a fraction of
// Period.PoolSeconds.
const roundingTolerance = 1e-6

// CountStart counts a task of a plan that started, by its class and waiting time.
func (m *Meter) CountStart(customer, plan, class string, waited time.Duration) {
	s := m.currentPeriod.Plans[plan]
	s.Customer, s.Plan = customer, plan
	s.Started++
	if s.Waiting == nil {
		s.Waiting = map[string]WaitingHistogram{}
	}
	b := s.Waiting[class]
	b.Add(waited)
	s.Waiting[class] = b
	m.currentPeriod.Plans[plan] = s
}

// Current returns a copy of the current period.
func (m *Meter) Current() Period {
	p := m.currentPeriod
	p.Plans = make(map[string]PlanUsage, len(m.currentPeriod.Plans))
	for name, s := range m.currentPeriod.Plans {
		waiting := make(map[string]WaitingHistogram, len(s.Waiting))
		for class, b := range s.Waiting {
			waiting[class] = b
		}
		s.Waiting = waiting
		p.Plans[name] = s
	}
	return p
}

// EndPeriod ends the current period, returns its sums and begins a new period at now.
func (m *Meter) EndPeriod(now time.Time) Period {
	p := m.currentPeriod
	m.beginPeriod(p.From, now)
	return p
}
