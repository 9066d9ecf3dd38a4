package scheduler_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/history"
	"github.com/almondpost/almondpost/internal/cell/queue"
	"github.com/almondpost/almondpost/internal/cell/scheduler"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// lateOrdersTest holds leaders that follow one another, and a worker that answers until it restarts.
type lateOrdersTest struct {
	now       time.Time
	scheduler *scheduler.Scheduler
	epoch     int64
	// records are the newest stored records, and history tells when they were stored.
	records    map[string]store.Record
	offset     int64
	lastAppend time.Time
	history    history.History
	job        *work.Job
	table      *queue.Table
	worker     backend.Registration
	workers    []backend.Registration
	starts     []backend.Start
	// ticketValidity is how long tickets are valid. It is 0 if the queue needs none.
	ticketValidity time.Duration
	// ticketIssuedAt is when the adviser last issued tickets.
	ticketIssuedAt time.Time
	// lateHolds are the holds that were not answered, with the times at which they are executed.
	lateHolds []lateHold
}

type lateHold struct {
	hold backend.Hold
	at   time.Time
}

// lead elects a leader, which restores what is stored.
func (c *lateOrdersTest) lead() {
	c.epoch++
	s := scheduler.New(scheduler.Timing{
		Lease: 6 * time.Second, LeadershipLease: 8 * time.Second, HoldWait: time.Second, MaxOrderDelay: maxLateness, EndedJobRetention: time.Hour,
	}, c.epoch, c.now, c.now, logr.Discard())
	s.SetHistory(&c.history)
	s.SetLastFormerAppend(c.lastAppend)
	s.SetLeasesClosedSince(1)
	s.AppendConfirmed(c.now)
	s.SetTable(c.table)
	s.SetWorkers(c.workers, c.now)
	s.SetAdviceVMs([]string{"vm-1"})
	var workers []store.Record
	var progress *work.Progress
	for _, r := range c.records {
		if scheduler.IsWorkerRecord(&r) {
			workers = append(workers, r)
		} else if p, err := work.Decode[work.Progress](r.Value); err == nil {
			p.Offset = r.Offset
			progress = p
		}
	}
	s.RestoreWorkers(workers, c.now)
	s.Restore(c.job, progress, c.now)
	c.scheduler = s
	c.update()
}

// update lets time-based checks run, and stores what has changed.
func (c *lateOrdersTest) update() {
	s := c.scheduler
	s.AppendConfirmed(c.now)
	c.lastAppend = c.now
	s.Tick(c.now)
	s.Schedule(c.now)
	for commit := s.NextCommit(c.now); commit != nil; commit = s.NextCommit(c.now) {
		for _, r := range commit.Records {
			r.Offset = c.offset
			c.offset++
			if c.records[r.Key] = r; len(r.Value) == 0 {
				delete(c.records, r.Key)
			}
		}
		c.history.Add(c.offset, c.now)
		s.Committed(commit, c.now)
	}
	effects := s.TakeEffects()
	for _, o := range effects.Starts {
		c.starts = append(c.starts, o.Order)
	}
	for _, a := range effects.AdviceRequests {
		tickets := map[string]string{}
		for _, id := range a.Workers {
			tickets[id] = "ticket"
		}
		c.ticketIssuedAt = c.now
		s.AdviceAnswered(a.Number, backend.Advice{Tickets: tickets, Validity: c.ticketValidity}, false, c.now)
	}
}

// hold sends a hold to the worker, which answers it, or else executes it after late, which is
// negative for a hold that is lost.
func (c *lateOrdersTest) hold(answered bool, begin time.Time, late time.Duration) {
	life := c.worker.Life
	hold, sent, ok := c.scheduler.NextHold(life, c.now)
	switch {
	case !ok:
	case answered:
		c.scheduler.HoldAnswered(life, sent, &backend.Report{Life: life, Clock: time.Minute + c.now.Sub(begin)}, c.now)
	default:
		if late >= 0 {
			c.lateHolds = append(c.lateHolds, lateHold{hold, c.now.Add(late)})
		}
		c.scheduler.HoldFailed(life, backend.KindUnknown, c.now)
	}
}

// A start, with or without a ticket, and holds that were sent to the process before, are executed up
// to 12 s late by the next process under the ID of the worker, while leaders follow one another. The
// task must not start on another worker before the run there has ended.
func TestOrdersForAnEarlierProcessLetNoTaskRunTwice(t *testing.T) {
	seeded.SetChecks(t, 400)
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		begin := time.Unix(1_700_000_000, 0)
		address := netip.MustParseAddrPort("10.0.0.1:8400")
		c := &lateOrdersTest{now: begin, records: map[string]store.Record{}, lastAppend: begin}
		c.worker = backend.Registration{Life: backend.Life{ID: "worker-0", Born: 1}, Address: address, Service: "desk", Capacity: workerCapacity}
		c.workers = []backend.Registration{c.worker}
		c.table = &queue.Table{Version: 1, Queues: []queue.Queue{{Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 2, Objective: time.Second}}}
		if rapid.Bool().Draw(rt, "needs tickets") {
			c.ticketValidity = drawDuration(rt, "tickets valid for", time.Second, 8*time.Second)
			c.table.Queues[0].Advice = &queue.AdviceCost{Fixed: 50 * time.Millisecond, PerWorker: time.Millisecond, Validity: c.ticketValidity}
		}
		c.job = &work.Job{ID: "job", Queue: "urgent", Accepted: begin, Steps: []work.Step{{Count: 1, Size: taskSize, Estimate: time.Second}}}
		c.lead()
		c.hold(true, begin, 0)
		c.now = c.now.Add(time.Millisecond)
		c.update() // The adviser is asked, if the queue needs tickets.
		c.update()
		is.Equal(len(c.starts), 1)
		start, sentAt := c.starts[0], c.now
		// A ticket holds for the process that ran when it was issued. The next process refuses a
		// start with it, unless it ran by then, although the leader didn't know it.
		restartedBeforeTicket := c.ticketValidity > 0 && rapid.Bool().Draw(rt, "restarted before the ticket")
		latestStart := sentAt.Add(maxLateness)
		if c.ticketValidity > 0 {
			latestStart = c.ticketIssuedAt.Add(c.ticketValidity)
		}
		answerLostAt := sentAt.Add(550 * time.Millisecond)
		failStart := func() {
			if c.epoch == 1 && !c.now.Before(answerLostAt) {
				c.scheduler.StartAnswered(c.worker.Life, &start, backend.KindUnknown, 0, c.now)
			}
		}
		// The worker answers holds without the run, until it restarts.
		for alive := c.now.Add(drawDuration(rt, "answers for", 0, maxLateness-time.Second)); !restartedBeforeTicket && c.now.Before(alive); {
			c.now = c.now.Add(drawDuration(rt, "pause", 50*time.Millisecond, time.Second))
			failStart()
			if rapid.IntRange(0, 9).Draw(rt, "take-over") == 0 {
				c.lead()
			}
			c.hold(true, begin, 0)
			c.update()
		}
		c.now = c.now.Add(drawDuration(rt, "last pause", 0, 200*time.Millisecond))
		c.hold(false, begin, drawDuration(rt, "hold late by", 0, maxLateness))
		restartedAt := c.now
		registration := c.worker
		registration.Life.Born += 1000
		next := fleet.New(registration, slowestClockRate, restartedAt, func(work.TaskID) fleet.TaskProfile {
			return fleet.TaskProfile{Size: taskSize, RunTime: time.Hour}
		}, ignoreRuns{})
		startedLate := restartedAt.Add(drawDuration(rt, "start late", 0, max(latestStart.Sub(restartedAt), time.Millisecond)))
		if startedLate.After(latestStart) || c.ticketValidity > 0 && !restartedBeforeTicket {
			startedLate = time.Time{} // Refused.
		}
		other := c.worker
		other.Life = backend.Life{ID: "worker-1", Born: 1}
		c.workers = []backend.Registration{other} // The entry of the worker has lapsed.
		c.scheduler.SetWorkers(c.workers, c.now)
		listedAt := restartedAt.Add(drawDuration(rt, "next process is listed after", 0, 30*time.Second))
		for len(c.starts) == 1 {
			c.now = c.now.Add(50 * time.Millisecond)
			if !listedAt.IsZero() && !c.now.Before(listedAt) { // It answers no hold.
				listedAt, c.workers = time.Time{}, append(c.workers, registration)
				c.scheduler.SetWorkers(c.workers, c.now)
			}
			is.True(c.now.Sub(begin) < 90*time.Second) // The task is not started again.
			if !startedLate.IsZero() && !c.now.Before(startedLate) {
				next.Start(start, startedLate)
				startedLate = time.Time{}
			}
			for i := range c.lateHolds {
				if h := &c.lateHolds[i]; startedLate.IsZero() && !h.at.IsZero() && !c.now.Before(h.at) {
					_, _ = next.Hold(h.hold, c.now)
					h.at = time.Time{}
				}
			}
			c.lateHolds = slices.DeleteFunc(c.lateHolds, func(h lateHold) bool { return h.at.IsZero() })
			failStart()
			if rapid.IntRange(0, 59).Draw(rt, "take-over") == 0 && c.epoch < 6 {
				c.lead()
			}
			c.hold(false, begin, -1)
			if _, _, ok := c.scheduler.NextHold(registration.Life, c.now); ok {
				c.scheduler.HoldFailed(registration.Life, backend.KindUnknown, c.now)
			}
			if _, sent, ok := c.scheduler.NextHold(other.Life, c.now); ok {
				c.scheduler.HoldAnswered(other.Life, sent, &backend.Report{Life: other.Life, Clock: time.Minute + c.now.Sub(begin)}, c.now)
			}
			c.update()
		}
		next.Advance(c.now)
		is.Equal(len(next.Running()), 0)
	})
}
