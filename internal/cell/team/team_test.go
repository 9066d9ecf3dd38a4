package team_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/team"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Teams that contradict each other must not come into force, and the error is logged, so it
// must not contain a key.
func TestNew(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(a, b *team.Team)
		// problem is a part of the error, or empty if the teams are valid.
		problem string
	}{
		{"two teams", func(_, _ *team.Team) {}, ""},
		{"a team without keys", func(a, _ *team.Team) { a.Keys = nil }, ""},
		{"a weight of 0 and no cap", func(a, _ *team.Team) { a.Weight, a.Cap = 0, resource.Vector{} }, ""},
		{"a key twice in one team", func(a, _ *team.Team) { a.Keys = []string{"secret-a", "secret-a"} }, ""},
		{"no name", func(_, b *team.Team) { b.Name = "" }, "name: team 1 has none"},
		{"a name twice", func(_, b *team.Team) { b.Name = "a" }, `name: team "a" is listed twice`},
		{"an empty key", func(_, b *team.Team) { b.Keys = []string{"x", ""} }, `key 1 of team "b" is empty`},
		{"a key of two teams", func(_, b *team.Team) { b.Keys = []string{"x", "secret-a"} }, `key 1 of team "b" also belongs to team "a"`},
		{"a negative weight", func(_, b *team.Team) { b.Weight = -1 }, `weight of team "b" is -1`},
		{"an infinite weight", func(_, b *team.Team) { b.Weight = math.Inf(1) }, `weight of team "b" is +Inf`},
		{"a weight that is no number", func(_, b *team.Team) { b.Weight = math.NaN() }, `weight of team "b" is NaN`},
		{"a negative cap", func(_, b *team.Team) { b.Cap.MemoryMebibytes = -1 }, `cap of team "b": memory_mebibytes is negative`},
		{"a cap that could overflow sums", func(_, b *team.Team) { b.Cap.Accelerators = math.MaxInt64 }, `cap of team "b": accelerators is above`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			teams := []team.Team{{Name: "a", Keys: []string{"secret-a", "secret-b"}, Weight: 2, Cap: resource.Vector{Milliprocessors: 100}}, {Name: "b", Keys: []string{"secret-c"}}}
			s.change(&teams[0], &teams[1])
			d, err := team.New(teams)
			if s.problem == "" {
				is.NoErr(err)
				is.Equal(d.Len(), 2)
				return
			}
			is.Equal(fault.KindOf[team.Kind](err), team.KindInvalid)
			is.True(strings.Contains(err.Error(), s.problem))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

// A nil directory stands for a configuration without teams.
func TestLookUp(t *testing.T) {
	is := is.New(t)
	d, err := team.New([]team.Team{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}})
	is.NoErr(err)
	for key, name := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		found, ok := d.ByKey(key)
		is.True(ok)
		is.Equal(found, d.Named(name))
	}
	for _, directory := range []*team.Directory{d, nil} {
		for _, key := range []string{"", "K1", "k", "a"} {
			_, ok := directory.ByKey(key)
			is.True(!ok)
		}
		is.Equal(directory.Named("c"), (*team.Team)(nil))
	}
	is.Equal((*team.Directory)(nil).Len(), 0)
}
