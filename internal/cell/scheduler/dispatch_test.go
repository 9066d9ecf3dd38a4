package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/state/resource"
)

func drawVector(t *rapid.T, label string, least, most int64) resource.Vector {
	amount := rapid.Int64Range(least, most)
	return resource.Vector{Milliprocessors: amount.Draw(t, label), MemoryMebibytes: amount.Draw(t, label), Accelerators: amount.Draw(t, label), Slots: amount.Draw(t, label), Connections: amount.Draw(t, label)}
}

// The search for workers to ask about must agree with the count of places, also for a
// worker that is over its capacity and for a task that needs nothing of a kind.
func TestRoomAgreesWithTheCountOfPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		most := rapid.SampledFrom([]int64{4, 100, resource.MaxAmount}).Draw(t, "most")
		size, free := drawVector(t, "size", 0, most), drawVector(t, "free", -most, most)
		n := rapid.IntRange(1, work.MaxTasks).Draw(t, "n")
		is.Equal(hasRoomFor(n, size, free), countPlaces(size, free) >= n)
	})
}

// drawStepWithPool draws a pool of workers in any state, and a step that may ask about
// them.
func drawStepWithPool(t *rapid.T) (*Scheduler, *step, *queue.Queue) {
	at := time.Unix(1_700_000_000, 0)
	s := New(Timing{}, 1, at, at, logr.Discard())
	s.reservations = newReservations()
	q := &queue.Queue{Name: "batch", Service: "desk", Advice: &queue.AdviceCost{
		Fixed:     rapid.SampledFrom([]time.Duration{0, 28 * time.Millisecond, 500 * time.Millisecond}).Draw(t, "fixed"),
		PerWorker: rapid.SampledFrom([]time.Duration{0, 400 * time.Microsecond, 2 * time.Millisecond}).Draw(t, "per worker"),
	}}
	st := &step{job: &job{spec: &work.Job{ID: "job", Queue: q.Name}}, id: work.StepID{Job: "job"}}
	largestSize, mostUsed := rapid.SampledFrom([]int64{1, 4}).Draw(t, "largest size"), rapid.SampledFrom([]int64{1, 8}).Draw(t, "most used")
	st.spec = &work.Step{
		Count: rapid.IntRange(1, 60).Draw(t, "count"), Size: drawVector(t, "size", 0, largestSize), Gang: rapid.Bool().Draw(t, "gang"),
		Rack: rapid.SampledFrom([]string{"", "rack-0"}).Draw(t, "rack"), MostPerWorker: rapid.IntRange(0, 2).Draw(t, "most"),
	}
	for range st.spec.Count {
		st.tasks = append(st.tasks, &task{phase: rapid.SampledFrom([]taskPhase{phaseWaiting, phaseDone}).Draw(t, "phase")})
	}
	st.advice = advice{tickets: map[*worker]ticket{}, answered: map[*worker]bool{}, workersAwaitingAnswer: map[*worker]bool{}}
	p := &pool{maxCapacity: drawVector(t, "largest", 1, 8), largeStepWaiting: rapid.Bool().Draw(t, "waiting")}
	s.pools = map[string]*pool{"desk": p}
	for i := range rapid.SampledFrom([]int{1, 20, 250}).Draw(t, "workers") {
		w := &worker{
			registration: backend.Registration{Life: backend.Life{ID: fmt.Sprintf("worker-%d", i)}, Capacity: drawVector(t, "capacity", 2, 8), Labels: []string{"a", fmt.Sprintf("rack-%d", i%6)}},
			usedCapacity: drawVector(t, "used", 0, mostUsed), requestsInFlight: rapid.IntRange(0, 1).Draw(t, "requests"),
			tasks: map[work.TaskID]*task{},
		}
		p.workers = append(p.workers, w)
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			st.advice.answered[w] = true
		case 1:
			st.advice.workersAwaitingAnswer[w] = true
		case 2:
			s.reservations.byWorker[w] = reservation{job: &job{}}
		}
	}
	return s, st, q
}

// workersByPasses is the definition of workersWithoutRequest: it goes through the
// workers once for each group.
func workersByPasses(s *Scheduler, st *step, q *queue.Queue, missingPlaces float64) []*worker {
	p := s.poolOfService(q.Service)
	if len(st.advice.answered) >= len(p.workers) {
		return nil
	}
	candidates, minPlaces := p.workersLeastUsedFirst(), 1
	if p.largeStepWaiting && !s.isLargeStep(st, q) {
		candidates, minPlaces = p.workersMostUsedFirst(), 1+st.countWaitingTasks()/expectedApprovalsPerRequest
	}
	hasPlaces := func(w *worker) bool {
		return countPlaces(st.spec.ReservedCapacity(), w.freeCapacity()) >= minPlaces && !s.reservations.isReservedForOtherJob(w, st.job)
	}
	var list []*worker
	limit := maxWorkersForMissingPlaces(st, q)
	isFull := func() bool {
		return len(list) >= limit || (missingPlaces <= 0 && len(list) >= maxWorkersPerRequest)
	}
	for _, matches := range []func(w *worker) bool{
		func(w *worker) bool { return st.spec.Rack != "" && w.rack() == st.spec.Rack },
		func(w *worker) bool { return w.requestsInFlight == 0 && hasPlaces(w) },
		hasPlaces,
		func(*worker) bool { return true },
	} {
		for i := 0; i < len(candidates) && !isFull(); i++ {
			if w := candidates[i]; matches(w) && !st.advice.answered[w] && !st.advice.workersAwaitingAnswer[w] && isCapable(w, st) && !slices.Contains(list, w) {
				list = append(list, w)
				missingPlaces -= s.expectedPlacesAfterAnswer(st, w)
			}
		}
	}
	return list
}

// A request must name the workers of the first groups, whatever the state of the pool.
func TestWorkersOfARequestComeByGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, st, q := drawStepWithPool(t)
		missing := rapid.Float64Range(0.5, 60).Draw(t, "missing")
		is.New(t).Equal(s.workersWithoutRequest(st, q, missing), workersByPasses(s, st, q, missing))
	})
}
