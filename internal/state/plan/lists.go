// Package plan defines the two lists that operators edit: the plans of each
// customer, and the entitlement of each plan, which states what the plan may use.
// Validation is a pure function of the lists, so all entry VMs accept or reject
// the same configuration record.
package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	// KindMalformed means that the data is not a JSON value of the expected type.
	KindMalformed Kind = "malformed"
	// KindInvalid means that a field of the lists has an invalid value.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Class is the urgency of a task.
type Class string

// The classes, from most to least urgent.
const (
	Urgent    Class = "urgent"
	Normal    Class = "normal"
	Overnight Class = "overnight"
)

// Classes lists the classes from most to least urgent.
var Classes = [...]Class{Urgent, Normal, Overnight}

// Rank returns the index of c in Classes, or -1 for an unknown class. A lower rank
// is more urgent.
func (c Class) Rank() int {
	for i, k := range Classes {
		if k == c {
			return i
		}
	}
	return -1
}

// Customers is the first list: the plans of each customer.
type Customers struct {
	Customers []Customer `json:"customers"`
}

// Customer is an organisation that shares the pool.
type Customer struct {
	// Name is unique among the customers.
	Name string `json:"name"`
	// Plans are the names of the customer's plans. A plan belongs to one customer.
	Plans []string `json:"plans"`
}

// Entitlements is the second list: the entitlement of each plan.
type Entitlements struct {
	Plans []Entitlement `json:"plans"`
}

// Entitlement states how much of the pool one plan may use, and for which tasks.
type Entitlement struct {
	// Plan names a plan of the first list. Every plan has exactly one
	// entitlement.
	Plan string `json:"plan"`
	// PromisedShare is the fraction of the pool that the plan is guaranteed at
	// any time. It is above 0 and at most 1. The promised shares of all plans sum
	// to at most 1.
	PromisedShare float64 `json:"promised_share"`
	// LimitShare is the largest fraction of the pool that the plan may use,
	// including capacity that other plans lend. It is at least PromisedShare and
	// at most 1.
	LimitShare float64 `json:"limit_share"`
	// MaxTask is the largest allowed size of one task. If all amounts are zero,
	// the size is not limited.
	MaxTask resource.Vector `json:"max_task"`
	// Classes are the classes of tasks that the plan may submit.
	Classes []Class `json:"classes"`
	// QueueLimit is the maximum number of tasks of the plan that may wait in each
	// class on each entry VM. It is between 1 and MaxQueueLimit.
	QueueLimit int `json:"queue_limit"`
	// Price is the price of one VM-hour in the customer's currency. It is at least
	// 0 and below 1e9.
	Price float64 `json:"price"`
}

// Lists is a complete configuration, which consists of both lists.
type Lists struct {
	Customers    Customers    `json:"customers"`
	Entitlements Entitlements `json:"entitlements"`
}

// Limits on the contents of the lists.
const (
	// MaxPlans is the maximum number of plans of all customers together.
	MaxPlans = 4096
	// MaxQueueLimit is the largest allowed Entitlement.QueueLimit.
	MaxQueueLimit = 1_000_000
	// promisedSumTolerance allows for rounding errors when the sum of the promised
	// shares is compared to 1.
	promisedSumTolerance = 1e-9
)

// namePattern matches valid names of customers and plans.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// DecodeStrict decodes one JSON value into target. It returns an error of
// KindMalformed for invalid JSON, unknown fields and data after the value.
func DecodeStrict(data []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return fault.New("decode", KindMalformed, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.Newf("decode", KindMalformed, "data after the JSON value")
	}
	return nil
}

// Validate checks both lists and that they name the same plans. It returns an
// error of KindInvalid that names the first invalid field, its value and the
// reason.
func (l Lists) Validate() error {
	customerOf, err := l.Customers.customersByPlan()
	if err != nil {
		return err
	}
	return l.Entitlements.validate(customerOf)
}

// customersByPlan validates the names in the list and returns the customer of
// each plan.
func (c Customers) customersByPlan() (map[string]string, error) {
	customerOf := map[string]string{}
	seen := map[string]bool{}
	for i, u := range c.Customers {
		field := fmt.Sprintf("customers[%d].name", i)
		if !namePattern.MatchString(u.Name) {
			return nil, invalidFieldError(field, u.Name, "must match "+namePattern.String())
		}
		if seen[u.Name] {
			return nil, invalidFieldError(field, u.Name, "is a duplicate")
		}
		seen[u.Name] = true
		for j, p := range u.Plans {
			field := fmt.Sprintf("customers[%d].plans[%d]", i, j)
			if !namePattern.MatchString(p) {
				return nil, invalidFieldError(field, p, "must match "+namePattern.String())
			}
			if other, ok := customerOf[p]; ok {
				return nil, invalidFieldError(field, p, "already belongs to customer "+other)
			}
			customerOf[p] = u.Name
		}
	}
	if len(customerOf) > MaxPlans {
		return nil, invalidFieldError("customers", len(customerOf), fmt.Sprintf("has more than %d plans", MaxPlans))
	}
	return customerOf, nil
}

// validate checks every entitlement, the sum of the promised shares, and that each
// plan in customerOf has exactly one entitlement.
func (e Entitlements) validate(customerOf map[string]string) error {
	seen := map[string]bool{}
	promisedSum := 0.0
	for i, p := range e.Plans {
		field := func(name string) string { return fmt.Sprintf("plans[%d].%s", i, name) }
		if _, ok := customerOf[p.Plan]; !ok {
			return invalidFieldError(field("plan"), p.Plan, "belongs to no customer")
		}
		if seen[p.Plan] {
			return invalidFieldError(field("plan"), p.Plan, "is a duplicate")
		}
		seen[p.Plan] = true
		if err := p.validate(field); err != nil {
			return err
		}
		promisedSum += p.PromisedShare
		if promisedSum > 1+promisedSumTolerance {
			return invalidFieldError(field("promised_share"), p.PromisedShare, "brings the sum of promises above 1")
		}
	}
	for name := range customerOf {
		if !seen[name] {
			return invalidFieldError("plans", name, "has no entitlement")
		}
	}
	return nil
}

// validate checks the values of one entitlement. It calls fieldPath with the name
// of a field to get the path that the error shows.
func (p Entitlement) validate(fieldPath func(string) string) error {
	if !(p.PromisedShare > 0 && p.PromisedShare <= 1) {
		return invalidFieldError(fieldPath("promised_share"), p.PromisedShare, "must be above 0 and at most 1")
	}
	if !(p.LimitShare >= p.PromisedShare && p.LimitShare <= 1) {
		return invalidFieldError(fieldPath("limit_share"), p.LimitShare, "must be between promised_share and 1")
	}
	if p.QueueLimit < 1 || p.QueueLimit > MaxQueueLimit {
		return invalidFieldError(fieldPath("queue_limit"), p.QueueLimit, fmt.Sprintf("must be between 1 and %d", MaxQueueLimit))
	}
	if !(p.Price >= 0 && p.Price < 1e9) {
		return invalidFieldError(fieldPath("price"), p.Price, "must be at least 0 and below 1e9")
	}
	if reason := p.MaxTask.Validate(); reason != "" {
		return invalidFieldError(fieldPath("max_task"), p.MaxTask, reason)
	}
	if len(p.Classes) == 0 {
		return invalidFieldError(fieldPath("classes"), "[]", "must name at least one class")
	}
	for _, c := range p.Classes {
		if c.Rank() < 0 {
			return invalidFieldError(fieldPath("classes"), c, "must be urgent, normal or overnight")
		}
	}
	return nil
}

// invalidFieldError returns an error of KindInvalid for a field with its value.
func invalidFieldError(field string, value any, reason string) error {
	return fault.Newf("validate", KindInvalid, "field %s, value %v: %s", field, value, reason)
}

// Index looks up the plans of one valid configuration by name. It is immutable.
type Index struct {
	// Both maps are keyed by the name of the plan.
	entitlementByPlan map[string]Entitlement
	customerByPlan    map[string]string
}

// NewIndex builds an index of valid lists. For invalid lists, it returns the error
// of Lists.Validate.
func NewIndex(l Lists) (*Index, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	customerOf, _ := l.Customers.customersByPlan()
	x := &Index{entitlementByPlan: map[string]Entitlement{}, customerByPlan: customerOf}
	for _, p := range l.Entitlements.Plans {
		x.entitlementByPlan[p.Plan] = p
	}
	return x, nil
}

// Entitlement returns the entitlement of a plan and whether the plan exists.
func (x *Index) Entitlement(plan string) (Entitlement, bool) {
	e, ok := x.entitlementByPlan[plan]
	return e, ok
}

// Customer returns the name of the customer that a plan belongs to, or the empty
// string for an unknown plan.
func (x *Index) Customer(plan string) string { return x.customerByPlan[plan] }

// EachEntitlement calls f with the customer and the entitlement of each plan, in no
// fixed order.
func (x *Index) EachEntitlement(f func(customer string, e Entitlement)) {
	for name, e := range x.entitlementByPlan {
		f(x.customerByPlan[name], e)
	}
}

// AllowsClass reports whether the plan may submit work of a class.
func (p Entitlement) AllowsClass(c Class) bool {
	for _, k := range p.Classes {
		if k == c {
			return true
		}
	}
	return false
}
