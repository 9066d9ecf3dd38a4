// Package team holds the teams that share the workers of a cell, with their keys, weights
// and caps, as operators publish them.
package team

import (
	"iter"
	"maps"
	"math"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that the published teams contradict each other or contain an invalid
// value.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Team is a customer's group of callers that shares the workers with other teams.
type Team struct {
	// Name is unique in a Directory and not empty.
	Name string
	// Keys holds the keys with which callers of the team identify themselves. No two teams
	// of a Directory have a key in common.
	Keys []string
	// Weight is the team's share when all workers are full, and the rate in jobs a second
	// that it is guaranteed. It is finite and not negative.
	Weight float64
	// Cap limits what the team may have running on all workers together. An amount of 0
	// means no limit.
	Cap resource.Vector
}

// Directory holds the teams of one configuration. It does not change after New.
type Directory struct {
	byName map[string]*Team
	byKey  map[string]*Team
}

// New returns the directory of the given teams, which the caller must not change afterwards.
// It returns an error with KindInvalid that names the team and the field if a name is empty
// or taken, a key is empty or belongs to two teams, or a weight or cap is out of range. The
// error contains no key.
func New(teams []Team) (*Directory, error) {
	invalid := func(format string, args ...any) (*Directory, error) {
		return nil, fault.Newf("new_directory", KindInvalid, format, args...)
	}
	d := &Directory{byName: make(map[string]*Team, len(teams)), byKey: map[string]*Team{}}
	for i := range teams {
		t := &teams[i]
		switch {
		case t.Name == "":
			return invalid("name: team %d has none", i)
		case d.byName[t.Name] != nil:
			return invalid("name: team %q is listed twice", t.Name)
		case !(t.Weight >= 0) || math.IsInf(t.Weight, 0): // The first condition also excludes NaN.
			return invalid("weight of team %q is %g", t.Name, t.Weight)
		}
		if problem := t.Cap.Validate(); problem != "" {
			return invalid("cap of team %q: %s", t.Name, problem)
		}
		d.byName[t.Name] = t
		for k, key := range t.Keys {
			switch holder := d.byKey[key]; {
			case key == "":
				return invalid("key %d of team %q is empty", k, t.Name)
			case holder != nil && holder != t:
				return invalid("key %d of team %q also belongs to team %q", k, t.Name, holder.Name)
			}
			d.byKey[key] = t
		}
	}
	return d, nil
}

// ByKey returns the team that holds a key. A nil directory holds no teams.
func (d *Directory) ByKey(key string) (*Team, bool) {
	if d == nil {
		return nil, false
	}
	t, ok := d.byKey[key]
	return t, ok
}

// Named returns the team with a name, or nil if there is none.
func (d *Directory) Named(name string) *Team {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All returns the teams in no particular order.
func (d *Directory) All() iter.Seq[*Team] {
	if d == nil {
		return func(func(*Team) bool) {}
	}
	return maps.Values(d.byName)
}

// Len returns the number of teams. It is 0 if the configuration asks for no keys.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
