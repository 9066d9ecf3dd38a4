// Package share tracks how much of a pool of workers each plan uses. It
// implements weighted dominant resource fairness: the dominant share of a plan
// is the largest fraction that it uses of any resource, and its weighted share
// is the dominant share divided by its promised share. The allocator serves the
// plan with the smallest weighted share first, other things being equal.
package share

import (
	"github.com/almondpost/almondpost/internal/operate/invariant"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Account holds what one plan uses of the pool, its promised share and its
// limit.
type Account struct {
	Plan     string
	Customer string
	// PromisedShare is the fraction of the pool that the plan is promised. It
	// is above 0.
	PromisedShare float64
	// LimitShare is the largest fraction of the pool that the plan may use.
	LimitShare float64
	// Used is the sum of the sizes of all tasks of the plan that have a
	// reservation. It is never negative.
	Used resource.Vector
	// poolCapacity is the total capacity of the workers in the pool.
	poolCapacity   *resource.Vector
	customerTotals *customerTotals
	// weightedShare is cached because it is read far more often than it
	// changes.
	weightedShare float64
}

// customerTotals holds sums over all plans of one customer, and their weighted
// share.
type customerTotals struct {
	promisedShare float64
	used          resource.Vector
	weightedShare float64
}

// updateWeightedShares recomputes the weighted shares of the plan and its customer.
func (a *Account) updateWeightedShares() {
	a.weightedShare = a.Used.DominantFraction(*a.poolCapacity) / a.PromisedShare
	a.customerTotals.weightedShare = a.customerTotals.used.DominantFraction(*a.poolCapacity) / a.customerTotals.promisedShare
}

// WeightedShare returns the weighted share of the plan. If it is below 1, the
// plan uses less than it was promised; if it is above 1, the plan borrows
// capacity.
func (a *Account) WeightedShare() float64 { return a.weightedShare }

// CustomerWeightedShare returns the weighted share of the customer: the
// dominant share of all its plans together, divided by the sum of their
// promised shares.
func (a *Account) CustomerWeightedShare() float64 { return a.customerTotals.weightedShare }

// StaysWithinLimitWith reports whether the plan stays within its limit when it starts one
// more task of this size. A plan that uses nothing may always start one.
func (a *Account) StaysWithinLimitWith(size resource.Vector) bool {
	return a.Used.IsZero() || a.Used.Add(size).DominantFraction(*a.poolCapacity) <= a.LimitShare+limitTolerance
}

// limitTolerance absorbs rounding errors when a share is compared to the limit.
const limitTolerance = 1e-9

// Accounts holds the accounts of all plans that use one pool.
type Accounts struct {
	poolCapacity     resource.Vector
	accountByPlan    map[string]*Account
	totalsByCustomer map[string]*customerTotals
}

// New returns an empty set of accounts for a pool without capacity.
func New() *Accounts {
	return &Accounts{accountByPlan: map[string]*Account{}, totalsByCustomer: map[string]*customerTotals{}}
}

// unlistedPlanShare is the promised share and limit of plans that are not in
// the configuration, such as a removed plan with running tasks. It is so small
// that any use is above it: the tasks keep running, but any plan below its
// promised share may preempt them.
const unlistedPlanShare = 1e-6

// SetPlans replaces the promised shares and limits of all plans. It does not
// change what the plans use.
func (s *Accounts) SetPlans(plans *plan.Index) {
	s.totalsByCustomer = map[string]*customerTotals{}
	for _, a := range s.accountByPlan {
		a.PromisedShare, a.LimitShare = unlistedPlanShare, unlistedPlanShare
	}
	plans.EachEntitlement(func(customerName string, e plan.Entitlement) {
		a := s.accountByPlan[e.Plan]
		if a == nil {
			a = &Account{Plan: e.Plan, poolCapacity: &s.poolCapacity}
			s.accountByPlan[e.Plan] = a
		}
		a.Customer, a.PromisedShare, a.LimitShare = customerName, e.PromisedShare, e.LimitShare
	})
	for _, a := range s.accountByPlan {
		s.addToCustomerTotals(a)
	}
	s.updateAllShares()
}

func (s *Accounts) updateAllShares() {
	for _, a := range s.accountByPlan {
		a.updateWeightedShares()
	}
}

// addToCustomerTotals adds a plan to the totals of its customer.
func (s *Accounts) addToCustomerTotals(a *Account) {
	totals := s.totalsByCustomer[a.Customer]
	if totals == nil {
		totals = &customerTotals{}
		s.totalsByCustomer[a.Customer] = totals
	}
	totals.promisedShare += a.PromisedShare
	totals.used = totals.used.Add(a.Used)
	a.customerTotals = totals
}

// SetPoolCapacity sets the total capacity of the workers in the pool.
func (s *Accounts) SetPoolCapacity(total resource.Vector) {
	s.poolCapacity = total
	s.updateAllShares()
}

// Account returns the account of a plan. It creates one with unlistedPlanShare
// when the plan is not in the configuration.
func (s *Accounts) Account(name string) *Account {
	a := s.accountByPlan[name]
	if a == nil {
		a = &Account{Plan: name, PromisedShare: unlistedPlanShare, LimitShare: unlistedPlanShare, poolCapacity: &s.poolCapacity}
		s.accountByPlan[name] = a
		s.addToCustomerTotals(a)
	}
	return a
}

// Charge adds the size of a task to the use of its plan.
func (s *Accounts) Charge(name string, size resource.Vector) {
	a := s.Account(name)
	a.Used = a.Used.Add(size)
	a.customerTotals.used = a.customerTotals.used.Add(size)
	a.updateWeightedShares()
}

// Refund subtracts the size of a task, which Charge added before, from the use
// of its plan.
func (s *Accounts) Refund(name string, size resource.Vector) {
	a := s.Account(name)
	a.Used = a.Used.Sub(size)
	a.customerTotals.used = a.customerTotals.used.Sub(size)
	a.updateWeightedShares()
	invariant.Check(!a.Used.IsNegative(), "negative_share", "plan %s: used %v", name, a.Used)
}

// Each calls f for every account in no fixed order.
func (s *Accounts) Each(f func(a *Account)) {
	for _, a := range s.accountByPlan {
		f(a)
	}
}
