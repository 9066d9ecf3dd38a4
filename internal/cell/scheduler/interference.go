package scheduler

import (
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/cell/interference"
	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// interferenceRefreshInterval is the shortest interval between two searches for known pairs
// whose observations have become too old.
const interferenceRefreshInterval = 2 * time.Second

// largeStepPause is how long known pairs are ignored after a large step of the service has
// waited. Tasks that are spread out between two such steps delay the next one.
const largeStepPause = 10 * time.Second

// interferenceState holds what is known of tasks that slow each other down. It is lost on
// failover and then learned again.
type interferenceState struct {
	// model is nil if nothing is to be learned.
	model       *interference.Model
	refreshedAt time.Time
	// movedPlacements counts the tasks that were placed on another worker because of known
	// pairs.
	movedPlacements int64
	// largeStepWaitedAt is, by service, when a large step waited last.
	largeStepWaitedAt map[string]time.Time
	// reported holds the tasks of the runs in the report that is being handled, nil for runs
	// that belong to no task on the worker. partners is reused for each task that is placed.
	reported []*task
	partners []interference.Partner
}

// imageCount is the number of tasks on a worker with the same image.
type imageCount struct {
	image string
	tasks int
}

func (w *worker) countImage(image string, change int) {
	if image == "" {
		return
	}
	i := slices.IndexFunc(w.images, func(c imageCount) bool { return c.image == image })
	if i < 0 {
		w.images = append(w.images, imageCount{image, change})
		return
	}
	w.images[i].tasks += change
	if w.images[i].tasks == 0 {
		w.images = slices.Delete(w.images, i, i+1)
	}
}

// observeInterference learns from the runs in a report.
func (s *Scheduler) observeInterference(w *worker, r *backend.Report, now time.Time) {
	if s.interference.model == nil {
		return
	}
	images := imagesInReport(s.interference.reported)
	if images.names[0] == "" {
		return
	}
	sample := interference.Sample{Clock: r.Clock}
	for i, t := range s.interference.reported {
		if t == nil || !showsInterference(t, w) {
			continue
		}
		spec, run := t.step.spec, &r.Running[i]
		sample.Image, sample.Run, sample.Target, sample.Estimate = spec.Image, run.Run, spec.Target, spec.Estimate
		sample.Beside, sample.Unusable = images.beside(spec.Image)
		sample.Latency, sample.Percent = time.Duration(run.Figure)*time.Millisecond, run.Percent
		s.interference.model.Observe(&t.interference, &sample, now)
	}
	s.logInterferenceChanges()
}

// showsInterference reports whether the figures of a task depend on what runs on its worker
// and on little else. Filling tasks use what others leave idle, members of a gang wait for
// members elsewhere, and tasks are slow outside of the rack with their input data.
func showsInterference(t *task, w *worker) bool {
	spec := t.step.spec
	return spec.Image != "" && t.phase == phaseRunning && !spec.Fills && !spec.Gang &&
		(!spec.Lasting || spec.Target > 0) && (spec.Rack == "" || spec.Rack == w.rack())
}

// reportedImages holds the first two images in a report. mixed is true if there are more, or
// if the effect of a run can't be told.
type reportedImages struct {
	names [2]string
	mixed bool
}

func imagesInReport(tasks []*task) (images reportedImages) {
	for _, t := range tasks {
		if t == nil || t.step.spec.Image == "" || t.pacePercent == 0 || t.paceUnconfirmed {
			images.mixed = true
			continue
		}
		name := t.step.spec.Image
		switch {
		case images.names[0] == "":
			images.names[0] = name
		case images.names[0] == name:
		case images.names[1] == "":
			images.names[1] = name
		case images.names[1] != name:
			images.mixed = true
		}
	}
	return images
}

// beside returns the only other image in the report, or "" if there is none. mixed is true if
// there are several.
func (r *reportedImages) beside(image string) (name string, mixed bool) {
	switch {
	case r.mixed:
		return "", true
	case r.names[0] == image:
		return r.names[1], false
	}
	return r.names[0], false
}

func (s *Scheduler) refreshInterference(now time.Time) {
	if s.interference.model == nil || now.Sub(s.interference.refreshedAt) < interferenceRefreshInterval {
		return
	}
	s.interference.refreshedAt = now
	s.interference.model.Refresh(now)
	s.logInterferenceChanges()
}

func (s *Scheduler) logInterferenceChanges() {
	for _, c := range s.interference.model.TakeChanges() {
		event := "interference_ended"
		if c.Known {
			event = "interference_known"
		}
		s.log.Info(event, "image", c.Pair.Slowed, "beside", c.Pair.Beside, "slowdown_percent", int(100*(c.Slowdown-1)),
			"lower_bound_percent", int(100*(c.LowerBound-1)), "observations", int(c.Observations))
	}
}

// KnownInterferingPairs returns the number of ordered pairs of images that are known to slow
// each other down.
func (s *Scheduler) KnownInterferingPairs() int {
	if s.interference.model == nil {
		return 0
	}
	return s.interference.model.KnownPairs()
}

// MovedPlacements returns how many tasks were placed on another worker because of known pairs.
func (s *Scheduler) MovedPlacements() int64 { return s.interference.movedPlacements }

// interferencePartners returns the images in a known pair with the image of a step. The result
// is valid until the next call. It is empty for largeStepPause after a large step has waited:
// entire workers must become free for such steps, so small tasks are not spread out.
func (s *Scheduler) interferencePartners(st *step, q *queue.Queue, now time.Time) []interference.Partner {
	if s.KnownInterferingPairs() == 0 || st.spec.Image == "" || now.Sub(s.interference.largeStepWaitedAt[q.Service]) < largeStepPause {
		return nil
	}
	s.interference.partners = s.interference.model.Partners(s.interference.partners[:0], st.spec.Image)
	return s.interference.partners
}

// learnedPenalty returns the penalty for a worker with tasks that are in a known pair with a
// step, beyond the one that scoreWorker has subtracted.
func learnedPenalty(w *worker, st *step, partners []interference.Partner) float64 {
	excess := 0.0
	for i := range w.images {
		for _, p := range partners {
			if p.Image == w.images[i].image {
				excess += max(p.Slowdown-1, 0)
			}
		}
	}
	if excess == 0 {
		return 0
	}
	limit := maxInterferencePenalty
	if wouldInterfere(w, st) {
		limit -= interferencePenalty
	}
	return min(learnedPenaltyPerExcess*excess, limit)
}
