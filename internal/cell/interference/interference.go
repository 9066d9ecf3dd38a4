// Package interference learns from the reports of workers how much tasks are slowed down by
// tasks of another image on the same worker. It does no I/O and reads no clock.
//
// The cost of a serving task is its tail latency divided by its target. The cost of any other
// task is the time that it takes per share of its work, divided by its declared run time. Costs
// are compared by their logarithms, because run times and latencies vary by factors.
//
// An observation counts for a pair only if exactly one other image runs beside the task. With
// several, the effect can't be told apart: a shared observation would make every image that
// often runs beside a disturbing one look disturbing as well. Such observations are dropped.
package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which an observation counts half. Interference changes
	// within seconds, but a pair that is avoided once it is known has to stay known for a
	// while without new observations.
	halfLife = 30 * time.Second
	// maxPairs and maxImages bound the memory. The entry without an observation for the
	// longest time is evicted.
	maxPairs  = 256
	maxImages = 128
	// figureWindow is the period that a reported tail latency covers.
	figureWindow = 500 * time.Millisecond
	// An observation of progress ends once the run has progressed by minProgressPercent in
	// at least minProgressInterval, or after maxProgressInterval. Progress is reported in
	// whole percent, so shorter observations would mostly measure the rounding.
	minProgressPercent  = 5
	minProgressInterval = 200 * time.Millisecond
	maxProgressInterval = 4 * time.Second
	// A stretch is a period in which a run is beside the same image, apart from short
	// interruptions. stretchDuration is the time after which another one begins. It is so long that one run alone never
	// reaches minStretches: its costs also depend on its input and its worker.
	stretchDuration = 10 * time.Second
	// A pair becomes known when the lower bound of its slowdown exceeds knownAbove, with at
	// least minObservations in minStretches. It ceases to be known when the bound falls
	// below forgottenBelow.
	knownAbove      = 1.15
	forgottenBelow  = 1.0
	minObservations = 12
	minStretches    = 6
	// boundDeviations is the distance of the lower bound from the mean in standard errors.
	// It is large because each new observation of each pair is one more test.
	boundDeviations = 3.0
	// The variance of a few stretches is uncertain, so priorVariance counts like that of
	// priorStretches further ones. It is that of costs which differ by a third.
	priorVariance  = 0.1
	priorStretches = 4
)

// Pair is an ordered pair of images: tasks of Slowed run beside tasks of Beside.
type Pair struct{ Slowed, Beside string }

// Sample describes one run in the report of a worker.
type Sample struct {
	// Image is the image of the run; it is never empty. Run is the number of the run.
	Image string
	Run   int64
	// Beside is the only other image on the worker, or empty if there is none.
	Beside string
	// Unusable is true if the report shows no effect of a single image: several images or
	// tasks without an image run on the worker, or one of the tasks is paused. A task that is
	// only slowed down counts like any other, since a serving task that it disturbs is hardly
	// ever seen beside it at full speed. The slowdown is then underestimated.
	Unusable bool
	// Target is the latency target of a serving task and Latency its tail latency. Target is
	// 0 for any other task.
	Target, Latency time.Duration
	// Percent is the progress of a task that is not a serving task, and Estimate its
	// declared run time, or 0.
	Percent  int
	Estimate time.Duration
	// Clock is the time on the worker's clock, or 0 if it is not known.
	Clock time.Duration
}

// Track holds what is kept of a task between two reports. The zero value is ready for use.
type Track struct {
	run    int64
	beside string
	usable bool
	// The observation in progress began at startedAt, on the worker's clock at startClock,
	// with the progress startPercent.
	startedAt    time.Time
	startClock   time.Duration
	startPercent int
	// stretchAt is when the last stretch was counted, and stretchBeside the image beside the
	// run then. stretchAt is zero before the first one.
	stretchAt     time.Time
	stretchBeside string
}

// Change tells that a pair has become known or has ceased to be.
type Change struct {
	Pair  Pair
	Known bool
	// Slowdown is the mean slowdown and LowerBound its lower confidence bound, as factors.
	Slowdown, LowerBound float64
	// Observations is the number of observations, with old ones counting less.
	Observations float64
}

// Partner is an image that is in a known pair with a given one.
type Partner struct {
	Image string
	// Slowdown is the factor by which tasks of one image slow down those of the other.
	Slowdown float64
}

// Model holds what was learned. Its methods must not be called concurrently.
type Model struct {
	// images and pairs hold at most maxImages and maxPairs entries.
	images  map[string]*image
	pairs   map[Pair]*pair
	known   []*pair
	changes []Change
}

// image holds the costs of the tasks of one image: all of them, and those beside no other image.
type image struct{ all, alone sums }

// pair holds the costs of the tasks of one image beside another one.
type pair struct {
	Pair
	sums     sums
	known    bool
	slowdown float64
}

// New returns a model that knows nothing.
func New() *Model {
	return &Model{images: make(map[string]*image, maxImages), pairs: make(map[Pair]*pair, maxPairs)}
}

// KnownPairs returns the number of known pairs.
func (m *Model) KnownPairs() int { return len(m.known) }

// Sizes returns the number of images and of pairs with observations.
func (m *Model) Sizes() (images, pairs int) { return len(m.images), len(m.pairs) }

// TakeChanges returns the changes since it was last called.
func (m *Model) TakeChanges() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// Partners appends to list the images of which tasks slow down tasks of a given image, or are
// slowed down by them. An image is listed twice if both is known.
func (m *Model) Partners(list []Partner, name string) []Partner {
	for _, p := range m.known {
		switch name {
		case p.Slowed:
			list = append(list, Partner{p.Beside, p.slowdown})
		case p.Beside:
			list = append(list, Partner{p.Slowed, p.slowdown})
		}
	}
	return list
}

// Refresh ends the knowledge of pairs whose observations have become too old. It must be
// called at intervals well below the half-life.
func (m *Model) Refresh(now time.Time) {
	for i := len(m.known) - 1; i >= 0; i-- {
		m.judge(m.known[i], m.images[m.known[i].Slowed], now)
	}
}

// Observe handles one run in a report. t must belong to the task of the run.
func (m *Model) Observe(t *Track, s *Sample, now time.Time) {
	if !t.usable || s.Unusable || t.run != s.Run || t.beside != s.Beside || s.Percent < t.startPercent || s.Clock < t.startClock {
		if t.run != s.Run {
			t.stretchAt = time.Time{}
		}
		t.run, t.beside, t.usable = s.Run, s.Beside, !s.Unusable
		t.startedAt, t.startClock, t.startPercent = now, s.Clock, s.Percent
		return
	}
	elapsed := now.Sub(t.startedAt)
	if s.Clock > 0 && t.startClock > 0 {
		elapsed = s.Clock - t.startClock
	}
	cost, ok := s.cost(elapsed, s.Percent-t.startPercent)
	if !ok {
		return
	}
	t.startedAt, t.startClock, t.startPercent = now, s.Clock, s.Percent
	newStretches := 0.0
	if t.stretchAt.IsZero() || t.stretchBeside != s.Beside || now.Sub(t.stretchAt) >= stretchDuration {
		t.stretchAt, t.stretchBeside, newStretches = now, s.Beside, 1
	}
	m.add(Pair{s.Image, s.Beside}, cost, newStretches, now)
}

// cost returns the logarithm of the cost of a run that has progressed by some percent in a
// period. ok is false if the period is too short for an observation.
func (s *Sample) cost(elapsed time.Duration, progress int) (cost float64, ok bool) {
	if s.Target > 0 {
		if elapsed < figureWindow || s.Latency <= 0 {
			return 0, false
		}
		return math.Log(float64(s.Latency) / float64(s.Target)), true
	}
	if s.Percent >= 100 || elapsed < minProgressInterval || (progress < minProgressPercent && elapsed < maxProgressInterval) {
		return 0, false
	}
	estimate := s.Estimate
	if estimate <= 0 {
		estimate = time.Second
	}
	// A run without progress counts as one with half a percent, which may have been rounded off.
	return math.Log(float64(elapsed) / float64(estimate) * 100 / max(float64(progress), 0.5)), true
}

// add adds an observation of tasks of p.Slowed beside p.Beside, or beside no other image if
// that is empty.
func (m *Model) add(p Pair, cost, newStretches float64, now time.Time) {
	im := m.images[p.Slowed]
	if im == nil {
		im = m.addImage(p.Slowed)
	}
	im.all.add(cost, newStretches, now)
	if p.Beside == "" {
		im.alone.add(cost, newStretches, now)
		return
	}
	pr := m.pairs[p]
	if pr == nil {
		pr = m.addPair(p, now)
	}
	pr.sums.add(cost, newStretches, now)
	m.judge(pr, im, now)
}

// addImage adds an image. If there are maxImages, the least recently observed one is evicted.
func (m *Model) addImage(name string) *image {
	im := &image{}
	if len(m.images) >= maxImages {
		oldest := ""
		for n, candidate := range m.images {
			if oldest == "" || candidate.all.at.Before(m.images[oldest].all.at) || (candidate.all.at.Equal(m.images[oldest].all.at) && n < oldest) {
				oldest = n
			}
		}
		im = m.images[oldest]
		delete(m.images, oldest)
		*im = image{}
	}
	m.images[name] = im
	return im
}

// addPair adds a pair. If there are maxPairs, the least recently observed one is evicted.
func (m *Model) addPair(p Pair, now time.Time) *pair {
	pr := &pair{}
	if len(m.pairs) >= maxPairs {
		pr = nil
		for _, c := range m.pairs {
			if pr == nil || c.sums.at.Before(pr.sums.at) || (c.sums.at.Equal(pr.sums.at) && (c.Slowed < pr.Slowed || (c.Slowed == pr.Slowed && c.Beside < pr.Beside))) {
				pr = c
			}
		}
		delete(m.pairs, pr.Pair)
		pr.sums = sums{}
		m.judge(pr, m.images[pr.Slowed], now)
	}
	*pr = pair{Pair: p}
	m.pairs[p] = pr
	return pr
}

// judge decides whether a pair is known. im holds the costs of its slowed image, or is nil if
// they were evicted.
func (m *Model) judge(p *pair, im *image, now time.Time) {
	p.sums.decay(now)
	difference, lower := 0.0, math.Inf(-1)
	if im != nil {
		im.all.decay(now)
		im.alone.decay(now)
		// Costs beside no other image are the best reference. An image that hardly ever runs
		// so is compared with all its runs that are not beside the other image.
		reference := im.alone
		if !reference.suffices() {
			reference = im.all.minus(&p.sums)
		}
		if reference.suffices() && p.sums.weight > 0 {
			difference = p.sums.mean() - reference.mean()
			lower = difference - boundDeviations*math.Sqrt(p.sums.squaredError()+reference.squaredError())
		}
	}
	p.slowdown = math.Exp(difference)
	switch {
	case !p.known && lower > math.Log(knownAbove) && p.sums.suffices():
		p.known = true
		m.known = append(m.known, p)
	case p.known && lower < math.Log(forgottenBelow):
		p.known = false
		m.known = slices.DeleteFunc(m.known, func(k *pair) bool { return k == p })
	default:
		return
	}
	m.changes = append(m.changes, Change{p.Pair, p.known, p.slowdown, math.Exp(lower), p.sums.weight})
}

// sums holds sums over observations that count half after each halfLife. They are as of the
// time at.
type sums struct {
	at time.Time
	// weight is the number of observations, cost and squares are the sums of their costs and
	// of the squares of these.
	weight, cost, squares float64
	// stretches is the number of stretches to which the observations belong. Those of one
	// stretch are not independent, so stretches, not observations, determine the error.
	stretches float64
}

func (s *sums) decay(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 && !s.at.IsZero() {
		f := math.Exp2(-float64(elapsed) / float64(halfLife))
		s.weight, s.cost, s.squares, s.stretches = f*s.weight, f*s.cost, f*s.squares, f*s.stretches
		s.at = now
	}
}

func (s *sums) add(cost, newStretches float64, now time.Time) {
	s.decay(now)
	s.at = now
	s.weight, s.cost, s.squares, s.stretches = s.weight+1, s.cost+cost, s.squares+cost*cost, s.stretches+newStretches
}

// minus returns the sums without the observations in o, which must be as of the same time.
func (s *sums) minus(o *sums) sums {
	return sums{s.at, s.weight - o.weight, s.cost - o.cost, s.squares - o.squares, s.stretches - o.stretches}
}

func (s *sums) suffices() bool { return s.weight >= minObservations && s.stretches >= minStretches }

func (s *sums) mean() float64 { return s.cost / s.weight }

// squaredError returns the squared standard error of the mean.
func (s *sums) squaredError() float64 {
	variance := max(s.squares/s.weight-s.mean()*s.mean(), 0)
	variance = (variance*s.stretches + priorVariance*priorStretches) / (s.stretches + priorStretches)
	return variance / s.stretches
}
