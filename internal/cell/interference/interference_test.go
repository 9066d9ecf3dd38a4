package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/interference"
)

const reportInterval = 500 * time.Millisecond

// reports feeds a model with runs of image "a". Their costs differ from run to run and from
// report to report.
type reports struct {
	model        *interference.Model
	now          time.Time
	randomSource *rand.Rand
	// serving is true if the runs report latencies, and false if they report progress.
	serving bool
	// runNoise and reportNoise are the standard deviations of the logarithms of the costs.
	runNoise, reportNoise float64
	changes               []interference.Change
}

func newReports(seed uint64, serving bool) *reports {
	return &reports{model: interference.New(), now: time.Unix(1_700_000_000, 0), randomSource: rand.New(rand.NewPCG(seed, 1)), serving: serving, runNoise: 0.3, reportNoise: 0.3}
}

// workers is the number of runs that report at the same times.
const workers = 16

// run reports a run on each worker six times, with one image beside it that slows it down by
// a factor.
func (r *reports) run(beside string, factor float64) {
	var tracks [workers]interference.Track
	var percent, ownFactors [workers]float64
	for i := range workers {
		ownFactors[i] = factor * math.Exp(r.runNoise*r.randomSource.NormFloat64())
	}
	for range 6 {
		for i := range workers {
			s := interference.Sample{Image: "a", Run: 1, Beside: beside, Estimate: 8 * time.Second}
			f := ownFactors[i] * math.Exp(r.reportNoise*r.randomSource.NormFloat64())
			percent[i] += 100 * float64(reportInterval) / float64(s.Estimate) / f
			if r.serving {
				s.Target, s.Latency = 100*time.Millisecond, time.Duration(40*f)*time.Millisecond
			} else {
				s.Percent = min(int(percent[i]), 100)
			}
			r.model.Observe(&tracks[i], &s, r.now)
		}
		r.now = r.now.Add(reportInterval)
		r.model.Refresh(r.now)
		r.changes = append(r.changes, r.model.TakeChanges()...)
	}
}

// Guards against disturbing images that are never recognized, or only after many runs.
func TestDisturbingPairIsLearned(t *testing.T) {
	scenarios := []struct {
		testName string
		serving  bool
		factor   float64
		// rounds is the largest number of rounds, each with 80 observations of the pair.
		rounds int
	}{
		{"latency doubles", true, 2, 3},
		{"latency is half as high again", true, 1.6, 20},
		{"progress is halved", false, 2, 3},
		{"progress is a third lower", false, 1.6, 20},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				r := newReports(rapid.Uint64().Draw(rt, "seed"), sc.serving)
				for n := 0; r.model.KnownPairs() == 0; n++ {
					if n == sc.rounds {
						rt.Fatalf("not known after %d rounds", n)
					}
					r.run("", 1)
					r.run("b", sc.factor)
					r.run("c", 1)
				}
				c := r.changes[0]
				if c.Pair != (interference.Pair{Slowed: "a", Beside: "b"}) || c.Slowdown < 1.15 {
					rt.Fatalf("unexpected change %+v", c)
				}
			})
		})
	}
}

// Guards against penalties for images that disturb nothing, because of chance or because of
// single runs and workers that are slow.
func TestHarmlessPairIsNeverKnown(t *testing.T) {
	for _, serving := range []bool{true, false} {
		t.Run(fmt.Sprintf("serving=%t", serving), func(t *testing.T) {
			for seed := range uint64(300) {
				r := newReports(seed, serving)
				for range 60 {
					r.run("", 1)
					r.run("b", 1)
				}
				if len(r.changes) > 0 {
					t.Errorf("seed %d: %+v", seed, r.changes)
				}
			}
		})
	}
	t.Run("a single slow run", func(t *testing.T) {
		r := newReports(1, true)
		var track interference.Track
		for range 100 {
			r.run("", 1)
			r.model.Observe(&track, &interference.Sample{Image: "a", Run: 1, Beside: "b", Target: 100 * time.Millisecond, Latency: 200 * time.Millisecond}, r.now)
		}
		is.New(t).Equal(r.model.KnownPairs(), 0)
	})
}

// Guards against penalties that outlast the disturbance.
func TestKnownPairIsForgotten(t *testing.T) {
	for _, observed := range []bool{true, false} {
		t.Run(fmt.Sprintf("observed=%t", observed), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				r := newReports(rapid.Uint64().Draw(rt, "seed"), true)
				for range 30 {
					r.run("", 1)
					r.run("b", 2.5)
				}
				if r.model.KnownPairs() != 1 {
					rt.Fatalf("%d pairs are known", r.model.KnownPairs())
				}
				ended := r.now
				for r.model.KnownPairs() > 0 && r.now.Sub(ended) < 5*time.Minute {
					r.run("", 1)
					if observed {
						r.run("b", 1)
					}
				}
				if took := r.now.Sub(ended); took > 4*time.Minute || (observed && took > 2*time.Minute) {
					rt.Fatalf("forgotten after %s", took)
				}
			})
		})
	}
}

// Guards against attributing a slowdown to one of several images, or to a pause.
func TestUnusableReportsAreDropped(t *testing.T) {
	is := is.New(t)
	r := newReports(1, true)
	for i := range 200 {
		r.run("", 1)
		var track interference.Track
		for range 6 {
			r.model.Observe(&track, &interference.Sample{Image: "a", Run: int64(1000 + i), Unusable: true, Target: time.Millisecond, Latency: time.Second}, r.now)
			r.now = r.now.Add(reportInterval)
		}
	}
	is.Equal(r.model.KnownPairs(), 0)
	is.Equal(len(r.changes), 0)
}

// Guards against memory that grows with the number of images, and against allocations for
// each report.
func TestModelIsBounded(t *testing.T) {
	is := is.New(t)
	m, now := interference.New(), time.Unix(1_700_000_000, 0)
	var tracks [40]interference.Track
	names := make([]string, len(tracks))
	for i := range names {
		names[i] = fmt.Sprintf("image-%d", i)
	}
	round := func(images int) {
		for i := range images {
			for beside := range images {
				s := interference.Sample{Image: names[i], Run: 1, Beside: names[beside], Target: time.Second, Latency: time.Second}
				for range 2 {
					m.Observe(&tracks[i], &s, now)
					now = now.Add(reportInterval)
				}
			}
		}
	}
	round(len(tracks)) // 1,600 pairs, more than are kept.
	round(10)
	is.Equal(testing.AllocsPerRun(5, func() { round(10) }), 0.0)
}
