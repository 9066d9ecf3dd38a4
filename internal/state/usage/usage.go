// Package usage integrates what each plan was promised, used, borrowed and
// lent, and what the same demand would need alone. It does no I/O; its owner
// serialises access.
package usage

import (
	"time"

	"github.com/almondpost/almondpost/internal/decide/share"
	"github.com/almondpost/almondpost/internal/operate/invariant"
)

// WaitingBounds are the upper bounds of the waiting-time buckets; the last
// bucket has none.
var WaitingBounds = [...]time.Duration{
	100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2100 * time.Millisecond,
	10 * time.Second, time.Minute, time.Hour,
}

// Buckets counts tasks by the time that they waited for their start.
type Buckets [len(WaitingBounds) + 1]int64

// Add counts one task.
func (b *Buckets) Add(d time.Duration) {
	for i, bound := range WaitingBounds {
		if d <= bound {
			b[i]++
			return
		}
	}
	b[len(WaitingBounds)]++
}

// Sums are the sums of one plan over a time. VM-seconds are the plan's dominant
// share of a pool times the number of its workers.
type Sums struct {
	Customer string `json:"customer"`
	Plan     string `json:"plan"`
	// Promised, Used, Borrowed and Lent are in VM-seconds. Used is at most
	// Promised plus Borrowed; Borrowed and Lent are never both above zero at
	// one moment.
	Promised float64 `json:"promised_vm_seconds"`
	Used     float64 `json:"used_vm_seconds"`
	Borrowed float64 `json:"borrowed_vm_seconds"`
	Lent     float64 `json:"lent_vm_seconds"`
	// Alone is what a pool of its own would need: the plan's peak demand, kept
	// for the whole time.
	Alone float64 `json:"alone_vm_seconds"`
	// Idle is the plan's part of what nobody used, by its promise.
	Idle    float64 `json:"idle_vm_seconds"`
	Started int64   `json:"started"`
	// Waiting counts starts by waiting time, for each class.
	Waiting map[string]Buckets `json:"waiting"`
}

// Merge adds the sums of another time or pool.
func (s *Sums) Merge(o Sums) {
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
			s.Waiting = map[string]Buckets{}
		}
		s.Waiting[class] = sum
	}
}

// Period holds the sums of one pool over a time.
type Period struct {
	// From is an entry VM's name.
	From  string    `json:"from"`
	Begin time.Time `json:"begin"`
	End   time.Time `json:"end"`
	// PoolSeconds is the number of workers times the time.
	PoolSeconds float64         `json:"pool_vm_seconds"`
	Plans       map[string]Sums `json:"plans"`
}

// Meter integrates the accounts of one pool.
type Meter struct {
	period Period
	last   time.Time
	peak   map[string]float64
}

// New returns a meter that begins at a time.
func New(from string, now time.Time) *Meter {
	m := &Meter{last: now}
	m.reset(from, now)
	return m
}

func (m *Meter) reset(from string, now time.Time) {
	m.period = Period{From: from, Begin: now, End: now, Plans: map[string]Sums{}}
	m.peak = map[string]float64{}
}

// Advance integrates up to now, during which the accounts did not change.
func (m *Meter) Advance(now time.Time, accounts *share.Accounts, workers int) {
	elapsed := now.Sub(m.last).Seconds()
	m.last = now
	if elapsed <= 0 || workers == 0 {
		return
	}
	size := elapsed * float64(workers)
	m.period.End = now
	m.period.PoolSeconds += size
	used, promised := 0.0, 0.0
	accounts.Each(func(a *share.Account) {
		used += a.Fill() * a.Promised
		promised += a.Promised
	})
	idle := max(0, 1-used)
	accounts.Each(func(a *share.Account) {
		fraction := a.Fill() * a.Promised
		s := m.period.Plans[a.Plan]
		s.Customer, s.Plan = a.Customer, a.Plan
		s.Promised += a.Promised * size
		s.Used += fraction * size
		s.Borrowed += max(0, fraction-a.Promised) * size
		s.Lent += max(0, a.Promised-fraction) * size
		s.Idle += idle * size * a.Promised / promised
		m.peak[a.Plan] = max(m.peak[a.Plan], fraction*float64(workers))
		s.Alone = m.peak[a.Plan] * now.Sub(m.period.Begin).Seconds()
		m.period.Plans[a.Plan] = s
		invariant.Check(s.Used <= s.Promised+s.Borrowed+useSlack*m.period.PoolSeconds, "usage_sums", "plan %s: %+v", a.Plan, s)
	})
}

// useSlack absorbs rounding.
const useSlack = 1e-6

// Started counts a start.
func (m *Meter) Started(customer, plan, class string, waited time.Duration) {
	s := m.period.Plans[plan]
	s.Customer, s.Plan = customer, plan
	s.Started++
	if s.Waiting == nil {
		s.Waiting = map[string]Buckets{}
	}
	b := s.Waiting[class]
	b.Add(waited)
	s.Waiting[class] = b
	m.period.Plans[plan] = s
}

// Current returns a copy of the sums since the last Cut.
func (m *Meter) Current() Period {
	p := m.period
	p.Plans = make(map[string]Sums, len(m.period.Plans))
	for name, s := range m.period.Plans {
		waiting := make(map[string]Buckets, len(s.Waiting))
		for class, b := range s.Waiting {
			waiting[class] = b
		}
		s.Waiting = waiting
		p.Plans[name] = s
	}
	return p
}

// Cut returns the sums since the last Cut and begins anew.
func (m *Meter) Cut(now time.Time) Period {
	p := m.period
	m.reset(p.From, now)
	return p
}
