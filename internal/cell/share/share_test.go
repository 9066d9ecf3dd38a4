package share_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/share"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/state/resource"
)

func TestMain(m *testing.M) { seeded.Main(m, 200) }

// A team with many waiting jobs must not come first because of their number, nor one whose
// tasks need mostly another resource.
func TestArrange(t *testing.T) {
	cpu := func(n int64) resource.Vector { return resource.Vector{Milliprocessors: n} }
	memory := func(n int64) resource.Vector { return resource.Vector{MemoryMebibytes: n} }
	for _, c := range []struct {
		testName string
		weights  map[string]float64
		used     map[string]resource.Vector
		items    []share.Item
		want     []int
	}{
		{"equal weights take turns", map[string]float64{"a": 1, "b": 1}, nil,
			[]share.Item{{"a", cpu(10)}, {"a", cpu(10)}, {"a", cpu(10)}, {"b", cpu(10)}, {"b", cpu(10)}}, []int{0, 3, 1, 4, 2}},
		{"twice the weight gets twice as much", map[string]float64{"a": 2, "b": 1}, nil,
			[]share.Item{{"b", cpu(10)}, {"b", cpu(10)}, {"a", cpu(10)}, {"a", cpu(10)}, {"a", cpu(10)}, {"a", cpu(10)}}, []int{0, 2, 3, 1, 4, 5}},
		{"what is in use counts", map[string]float64{"a": 1, "b": 1}, map[string]resource.Vector{"a": cpu(20)},
			[]share.Item{{"a", cpu(10)}, {"b", cpu(10)}, {"b", cpu(10)}, {"b", cpu(10)}}, []int{1, 2, 0, 3}},
		{"the dominant resource counts", map[string]float64{"a": 1, "b": 1}, map[string]resource.Vector{"a": memory(300), "b": cpu(20)},
			[]share.Item{{"a", memory(10)}, {"b", cpu(5)}, {"b", cpu(20)}}, []int{1, 2, 0}},
		{"a team without weight comes last", map[string]float64{"a": 0, "b": 1}, map[string]resource.Vector{"b": cpu(90)},
			[]share.Item{{"a", cpu(1)}, {"b", cpu(5)}, {"b", cpu(5)}}, []int{1, 2, 0}},
	} {
		t.Run(c.testName, func(t *testing.T) {
			o := share.NewOrder(resource.Vector{Milliprocessors: 100, MemoryMebibytes: 1000})
			for name, w := range c.weights {
				o.SetTeam(name, w, c.used[name])
			}
			is.New(t).Equal(o.Arrange(c.items), c.want)
		})
	}
}

// A pass that lost a job or handled one twice would leave it waiting or claim for it twice.
// A team that is ahead of another one by more than a job would starve it.
func TestArrangeIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		weights := map[string]float64{}
		o := share.NewOrder(resource.Vector{Milliprocessors: 1000})
		for _, n := range names {
			weights[n] = float64(rapid.IntRange(1, 9).Draw(t, "weight"))
			o.SetTeam(n, weights[n], resource.Vector{})
		}
		items := make([]share.Item, rapid.IntRange(0, 40).Draw(t, "items"))
		left := map[string]int{}
		for i := range items {
			items[i] = share.Item{Team: rapid.SampledFrom(names).Draw(t, "team"), Demand: resource.Vector{Milliprocessors: 10}}
			left[items[i].Team]++
		}
		got, seen, taken := o.Arrange(items), map[int]bool{}, map[string]float64{}
		for _, i := range got {
			seen[i] = true
			name := items[i].Team
			for _, other := range names {
				if left[other] > 0 && taken[name]/weights[name] > taken[other]/weights[other]+1e-9 {
					t.Fatalf("team %s comes before %s, which has less", name, other)
				}
			}
			taken[name]++
			left[name]--
		}
		if len(got) != len(items) || len(seen) != len(items) {
			t.Fatalf("%d of %d items are arranged", len(seen), len(items))
		}
	})
}

// A team that sends too much must keep its guaranteed rate, and one within it must not be
// marked, also if a new leader observes the jobs in another order.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0, 12).Draw(t, "weight")
		perSecond := rapid.IntRange(1, 50).Draw(t, "rate")
		start := time.Unix(1_700_000_000, 0)
		r, within := share.NewRate(time.Minute), 0
		const seconds = 5
		for i := range seconds * perSecond {
			if !r.Exceeds("a", weight, start.Add(time.Duration(i)*time.Second/time.Duration(perSecond))) {
				within++
			}
		}
		if want := seconds * min(perSecond, int(math.Floor(weight))); within != want {
			t.Fatalf("%d jobs are within the rate, not %d", within, want)
		}
	})
	is := is.New(t)
	r, start := share.NewRate(time.Minute), time.Unix(1_700_000_000, 0)
	for i := range 20 { // The latest first.
		is.True(!r.Exceeds("a", 2, start.Add(time.Duration(20-i)*500*time.Millisecond)))
	}
}
