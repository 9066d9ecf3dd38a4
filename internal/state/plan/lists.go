// Package plan holds the two lists that operators edit: each customer's plans,
// and what each plan may use. Validation is a pure function of the lists, so
// every entry VM accepts or rejects the same record.
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
	KindMalformed Kind = "malformed"
	KindInvalid   Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Class is the urgency of a piece of work.
type Class string

// The classes, from most to least urgent.
const (
	Urgent    Class = "urgent"
	Normal    Class = "normal"
	Overnight Class = "overnight"
)

// Classes lists the classes from most to least urgent.
var Classes = [...]Class{Urgent, Normal, Overnight}

// Rank returns the position of c in Classes, or -1 for an unknown class. Lower
// ranks are more urgent.
func (c Class) Rank() int {
	for i, k := range Classes {
		if k == c {
			return i
		}
	}
	return -1
}

// Customers is the first list: each customer's plans.
type Customers struct {
	Customers []Customer `json:"customers"`
}

// Customer is an organisation that shares the pool.
type Customer struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Plans are the names of the customer's plans, unique in the whole list.
	Plans []string `json:"plans"`
}

// Entitlements is the second list: what each plan may use.
type Entitlements struct {
	Plans []Entitlement `json:"plans"`
}

// Entitlement states what one plan may use.
type Entitlement struct {
	// Plan names a plan of the first list. Every plan has exactly one
	// entitlement.
	Plan string `json:"plan"`
	// PromisedShare is the fraction of the pool, above 0 and at most 1, that
	// the plan gets whenever it asks. The shares of all plans sum to at most 1.
	PromisedShare float64 `json:"promised_share"`
	// LimitShare is the fraction of the pool that the plan never exceeds, also
	// on lent capacity. It is at least PromisedShare and at most 1.
	LimitShare float64 `json:"limit_share"`
	// MaxTask is the largest size of one task; zero amounts mean no limit.
	MaxTask resource.Vector `json:"max_task"`
	// Classes are the classes that the plan may use.
	Classes []Class `json:"classes"`
	// QueueLimit bounds the waiting tasks of the plan per class and entry VM.
	QueueLimit int `json:"queue_limit"`
	// Price is the price of one VM-hour in the customer's currency, at least 0.
	Price float64 `json:"price"`
}

// Lists is one whole configuration.
type Lists struct {
	Customers    Customers    `json:"customers"`
	Entitlements Entitlements `json:"entitlements"`
}

// Bounds of the lists.
const (
	MaxPlans      = 4096
	MaxQueueLimit = 1_000_000
	// shareSlack absorbs rounding when promised shares are added up.
	shareSlack = 1e-9
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// DecodeStrict decodes one JSON value and refuses unknown fields and trailing
// data.
func DecodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fault.New("decode", KindMalformed, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.Newf("decode", KindMalformed, "data after the JSON value")
	}
	return nil
}

// Validate checks both lists against each other. The error names the field,
// the value and the reason.
func (l Lists) Validate() error {
	customerOf, err := l.Customers.index()
	if err != nil {
		return err
	}
	return l.Entitlements.validate(customerOf)
}

func (c Customers) index() (map[string]string, error) {
	customerOf := map[string]string{}
	names := map[string]bool{}
	for i, u := range c.Customers {
		field := fmt.Sprintf("customers[%d].name", i)
		if !namePattern.MatchString(u.Name) {
			return nil, invalid(field, u.Name, "must match "+namePattern.String())
		}
		if names[u.Name] {
			return nil, invalid(field, u.Name, "is a duplicate")
		}
		names[u.Name] = true
		for j, p := range u.Plans {
			field := fmt.Sprintf("customers[%d].plans[%d]", i, j)
			if !namePattern.MatchString(p) {
				return nil, invalid(field, p, "must match "+namePattern.String())
			}
			if other, ok := customerOf[p]; ok {
				return nil, invalid(field, p, "already belongs to customer "+other)
			}
			customerOf[p] = u.Name
		}
	}
	if len(customerOf) > MaxPlans {
		return nil, invalid("customers", len(customerOf), fmt.Sprintf("has more than %d plans", MaxPlans))
	}
	return customerOf, nil
}

func (e Entitlements) validate(customerOf map[string]string) error {
	seen := map[string]bool{}
	sum := 0.0
	for i, p := range e.Plans {
		field := func(name string) string { return fmt.Sprintf("plans[%d].%s", i, name) }
		if _, ok := customerOf[p.Plan]; !ok {
			return invalid(field("plan"), p.Plan, "belongs to no customer")
		}
		if seen[p.Plan] {
			return invalid(field("plan"), p.Plan, "is a duplicate")
		}
		seen[p.Plan] = true
		if err := p.validate(field); err != nil {
			return err
		}
		sum += p.PromisedShare
		if sum > 1+shareSlack {
			return invalid(field("promised_share"), p.PromisedShare, "brings the sum of promises above 1")
		}
	}
	for name := range customerOf {
		if !seen[name] {
			return invalid("plans", name, "has no entitlement")
		}
	}
	return nil
}

func (p Entitlement) validate(field func(string) string) error {
	if !(p.PromisedShare > 0 && p.PromisedShare <= 1) {
		return invalid(field("promised_share"), p.PromisedShare, "must be above 0 and at most 1")
	}
	if !(p.LimitShare >= p.PromisedShare && p.LimitShare <= 1) {
		return invalid(field("limit_share"), p.LimitShare, "must be between promised_share and 1")
	}
	if p.QueueLimit < 1 || p.QueueLimit > MaxQueueLimit {
		return invalid(field("queue_limit"), p.QueueLimit, fmt.Sprintf("must be between 1 and %d", MaxQueueLimit))
	}
	if !(p.Price >= 0 && p.Price < 1e9) {
		return invalid(field("price"), p.Price, "must be at least 0 and below 1e9")
	}
	if reason := p.MaxTask.Validate(); reason != "" {
		return invalid(field("max_task"), p.MaxTask, reason)
	}
	if len(p.Classes) == 0 {
		return invalid(field("classes"), "[]", "must name at least one class")
	}
	for _, c := range p.Classes {
		if c.Rank() < 0 {
			return invalid(field("classes"), c, "must be urgent, normal or overnight")
		}
	}
	return nil
}

func invalid(field string, value any, reason string) error {
	return fault.Newf("validate", KindInvalid, "field %s, value %v: %s", field, value, reason)
}

// Index gives fast access to one accepted configuration. It is immutable.
type Index struct {
	entitlements map[string]Entitlement
	customers    map[string]string
}

// NewIndex validates the lists and builds their index.
func NewIndex(l Lists) (*Index, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	customers, _ := l.Customers.index()
	x := &Index{entitlements: map[string]Entitlement{}, customers: customers}
	for _, p := range l.Entitlements.Plans {
		x.entitlements[p.Plan] = p
	}
	return x, nil
}

// Entitlement returns what a plan may use and whether the plan exists.
func (x *Index) Entitlement(name string) (Entitlement, bool) {
	e, ok := x.entitlements[name]
	return e, ok
}

// Customer returns the customer that a plan belongs to.
func (x *Index) Customer(name string) string { return x.customers[name] }

// Entitlements calls f for every plan, in no fixed order.
func (x *Index) Entitlements(f func(customer string, e Entitlement)) {
	for name, e := range x.entitlements {
		f(x.customers[name], e)
	}
}

// Allows reports whether the plan may use the class.
func (p Entitlement) Allows(c Class) bool {
	for _, k := range p.Classes {
		if k == c {
			return true
		}
	}
	return false
}
