// Package share orders plans by weighted dominant-resource fairness over their
// promised shares of a pool.
package share

import (
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Account is what one plan uses of the pool.
type Account struct {
	Plan     string
	Customer string
	// Promised is the promised fraction of the pool, above 0.
	Promised float64
	// Limit is the fraction that the plan never exceeds.
	Limit float64
	// Used is never negative.
	Used  resource.Vector
	total *resource.Vector
	group *customer
	// fill is Used over the promise; it is kept up to date since it is read far
	// more often than it changes.
	fill float64
}

type customer struct {
	promised float64
	used     resource.Vector
	fill     float64
}

func (a *Account) update() {
	a.fill = a.Used.DominantFraction(*a.total) / a.Promised
	a.group.fill = a.group.used.DominantFraction(*a.total) / a.group.promised
}

// Fill returns the plan's dominant share over its promise: below 1 the plan
// has not got what it was promised, above 1 it uses lent capacity.
func (a *Account) Fill() float64 { return a.fill }

// CustomerFill is Fill of the plan's customer over the sum of its promises.
func (a *Account) CustomerFill() float64 { return a.group.fill }

// Permits reports whether the plan stays within its limit with one more task.
// A plan without any use may always run one task.
func (a *Account) Permits(size resource.Vector) bool {
	return a.Used.IsZero() || a.Used.Add(size).DominantFraction(*a.total) <= a.Limit+limitSlack
}

// limitSlack absorbs rounding.
const limitSlack = 1e-9

// Accounts holds the accounts of all plans over one pool.
type Accounts struct {
	total     resource.Vector
	plans     map[string]*Account
	customers map[string]*customer
}

// New returns accounts over an empty pool.
func New() *Accounts {
	return &Accounts{plans: map[string]*Account{}, customers: map[string]*customer{}}
}

// unknownPromise is the share of work whose plan the lists do not name any
// more: it keeps running but is the first to be lent against.
const unknownPromise = 1e-6

// SetPlans takes over the promises of a configuration. Use is kept.
func (s *Accounts) SetPlans(x *plan.Index) {
	s.customers = map[string]*customer{}
	for _, a := range s.plans {
		a.Promised, a.Limit = unknownPromise, unknownPromise
	}
	x.Entitlements(func(c string, e plan.Entitlement) {
		a := s.plans[e.Plan]
		if a == nil {
			a = &Account{Plan: e.Plan, total: &s.total}
			s.plans[e.Plan] = a
		}
		a.Customer, a.Promised, a.Limit = c, e.PromisedShare, e.LimitShare
	})
	for _, a := range s.plans {
		s.join(a)
	}
	s.updateAll()
}

func (s *Accounts) updateAll() {
	for _, a := range s.plans {
		a.update()
	}
}

func (s *Accounts) join(a *Account) {
	g := s.customers[a.Customer]
	if g == nil {
		g = &customer{}
		s.customers[a.Customer] = g
	}
	g.promised += a.Promised
	g.used = g.used.Add(a.Used)
	a.group = g
}

// SetTotal sets the capacity of the pool.
func (s *Accounts) SetTotal(total resource.Vector) {
	s.total = total
	s.updateAll()
}

// Account returns the account of a plan; a plan that no list names gets one
// with a vanishing promise.
func (s *Accounts) Account(name string) *Account {
	a := s.plans[name]
	if a == nil {
		a = &Account{Plan: name, Promised: unknownPromise, Limit: unknownPromise, total: &s.total}
		s.plans[name] = a
		s.join(a)
	}
	return a
}

// Charge adds the size of a task that takes room.
func (s *Accounts) Charge(name string, size resource.Vector) {
	a := s.Account(name)
	a.Used = a.Used.Add(size)
	a.group.used = a.group.used.Add(size)
	a.update()
}

// Refund takes back a Charge.
func (s *Accounts) Refund(name string, size resource.Vector) {
	a := s.Account(name)
	a.Used = a.Used.Sub(size)
	a.group.used = a.group.used.Sub(size)
	a.update()
	invariant.Check(!a.Used.IsNegative(), "negative_share", "plan %s: %v", name, a.Used)
}

// Each calls f for every account in no fixed order.
func (s *Accounts) Each(f func(a *Account)) {
	for _, a := range s.plans {
		f(a)
	}
}
