package quota_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/quota"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/state/resource"
)

func TestMain(m *testing.M) { seeded.Main(m, 200) }

func vector(milliprocessors, memory, accelerators int64) resource.Vector {
	return resource.Vector{Milliprocessors: milliprocessors, MemoryMebibytes: memory, Accelerators: accelerators}
}

// A cap of 0 must be no limit, and a team above a lowered cap must start nothing, also no
// run that needs none of the resource it has too much of.
func TestFits(t *testing.T) {
	for _, c := range []struct {
		testName        string
		cap, used, size resource.Vector
		fits, couldFit  bool
	}{
		{"no cap is no limit", vector(0, 0, 0), vector(1e9, 1e9, 9), vector(1e9, 1, 1), true, true},
		{"exactly at the cap", vector(100, 0, 0), vector(60, 5, 0), vector(40, 5, 0), true, true},
		{"above the cap", vector(100, 0, 0), vector(60, 5, 0), vector(41, 5, 0), false, true},
		{"above the cap by itself", vector(100, 0, 0), vector(0, 0, 0), vector(101, 0, 0), false, false},
		{"one resource at its cap", vector(100, 100, 2), vector(10, 10, 2), vector(10, 10, 1), false, true},
		{"above a lowered cap of another resource", vector(100, 100, 1), vector(10, 10, 2), vector(10, 10, 0), false, true},
	} {
		t.Run(c.testName, func(t *testing.T) {
			is := is.New(t)
			l := quota.New()
			l.SetCaps(map[string]resource.Vector{"team": c.cap})
			l.Charge("team", c.used)
			is.Equal(l.Fits("team", c.size), c.fits)
			is.Equal(l.CouldFit("team", c.size), c.couldFit)
			is.Equal(l.Places("team", c.size, resource.Vector{}, 1) == 1, c.fits)
			is.True(l.Fits("other", c.size)) // A team without a known cap has no limit.
			is.True(l.Fits("", c.size))
		})
	}
}

// A team that is not configured any more would run without a limit if its cap were dropped.
func TestCapOfARemovedTeamStays(t *testing.T) {
	is := is.New(t)
	l := quota.New()
	l.SetCaps(map[string]resource.Vector{"a": vector(10, 0, 0), "b": vector(10, 0, 0)})
	l.SetCaps(map[string]resource.Vector{"b": vector(0, 0, 0)})
	is.True(!l.Fits("a", vector(11, 0, 0)))
	is.True(l.Fits("b", vector(11, 0, 0)))
}

// The size of a wide gang must not overflow, since it would then fit under any cap.
func TestTimesDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	l := quota.New()
	l.SetCaps(map[string]resource.Vector{"a": vector(100, 0, 0)})
	is.True(!l.CouldFit("a", quota.Times(vector(resource.MaxAmount, resource.MaxAmount, 0), 1<<24)))
	is.Equal(quota.Times(vector(3, 4, 0), 5), vector(15, 20, 0))
}

// Charges that are not released as they were made would leave a team with a wrong use
// forever, and places beyond the cap would be handed out.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) resource.Vector {
			return vector(rapid.Int64Range(0, 50).Draw(t, label), rapid.Int64Range(0, 50).Draw(t, label), rapid.Int64Range(0, 4).Draw(t, label))
		}
		l := quota.New()
		l.SetCaps(map[string]resource.Vector{"a": draw("cap")})
		var open []resource.Vector
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "release") {
				l.Release("a", open[0])
				open = open[1:]
			} else {
				v := draw("size")
				l.Charge("a", v)
				open = append(open, v)
			}
			var sum resource.Vector
			for _, v := range open {
				sum = sum.Add(v)
			}
			if l.Used("a") != sum || len(l.Charged()) == 1 != (len(open) > 0) {
				t.Fatalf("used %s by %v, not %s by %d charges", l.Used("a"), l.Charged(), sum, len(open))
			}
			size, claimed := draw("task"), draw("claimed")
			places := l.Places("a", size, claimed, 30)
			if places > 0 && !l.Fits("a", quota.Times(size, places).Add(claimed)) {
				t.Fatalf("%d places of %s do not fit", places, size)
			}
			if places < 30 && l.Fits("a", quota.Times(size, places+1).Add(claimed)) {
				t.Fatalf("%d places of %s are too few", places, size)
			}
		}
	})
}
