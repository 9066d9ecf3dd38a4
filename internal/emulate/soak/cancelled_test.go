package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// cancellationScenarios are rows of TestLedgerNoticesBrokenPromises. The task slow lasts.
func cancellationScenarios(id string, first, slow work.TaskID) []ledgerScenario {
	const limit = cancelLimit + stopGrace
	const (
		runsOn   = "cancelled runs end"
		started  = "cancelled jobs don't start"
		lapsed   = "runs on reachable workers are held"
		moment   = time.Millisecond
		cutShort = 2 * time.Second
	)
	// cut makes a worker unreachable for a while.
	cut := func(l *ledger, c *course, w *fleet.Worker, d time.Duration) {
		link := &disturbance{}
		l.connected(w.Registration.Life, link)
		link.begin()
		c.passHeld(w, d)
		link.end(c.now)
	}
	return []ledgerScenario{
		{"a cancelled run ends in time", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			c.passHeld(c.a, cancelLimit)
			c.a.Stop(backend.Stop{Task: slow, Run: 1}, c.now)
			c.passHeld(c.a, limit)
		}, ""},
		{"a cancelled run goes on", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			c.passHeld(c.a, limit+moment)
		}, runsOn},
		{"a cancelled run goes on for the whole time", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			c.passHeld(c.a, limit)
		}, ""},
		{"a cancelled run goes on at a worker that was cut off", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			cut(l, c, c.a, cutShort)
			c.passHeld(c.a, limit)
		}, ""},
		{"a cancelled run goes on after the cut for longer", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			cut(l, c, c.a, cutShort)
			c.passHeld(c.a, limit+moment)
		}, runsOn},
		{"a run cancelled after a cut goes on", func(l *ledger, c *course) {
			c.start(c.a, slow)
			cut(l, c, c.a, cutShort)
			c.passHeld(c.a, contact)
			l.cancelled(slow.Job, c.now)
			c.passHeld(c.a, limit+moment)
		}, runsOn},
		{"a cancelled run goes on while another worker is cut off", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			link := &disturbance{}
			l.connected(c.b.Registration.Life, link)
			link.begin()
			c.passHeld(c.a, limit+moment)
		}, runsOn},
		{"a cancelled run goes on after the leader was killed", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			c.passHeld(c.a, time.Second)
			l.leader.extend(c.now)
			c.passHeld(c.a, contact+limit)
		}, ""},
		{"a cancelled run goes on under a new leader for longer", func(l *ledger, c *course) {
			c.start(c.a, slow)
			l.cancelled(slow.Job, c.now)
			c.passHeld(c.a, time.Second)
			l.leader.extend(c.now)
			c.passHeld(c.a, contact+limit+moment)
		}, runsOn},
		{"a run of a cancelled job starts in time", func(l *ledger, c *course) {
			l.cancelled(id, c.now)
			c.pass(cancelLimit)
			c.start(c.a, first)
		}, ""},
		{"a run of a cancelled job starts late", func(l *ledger, c *course) {
			l.cancelled(id, c.now)
			c.pass(cancelLimit + moment)
			c.start(c.a, first)
		}, started},
		{"a run of a cancelled job starts late by a call that was held up", func(l *ledger, c *course) {
			l.cancelled(id, c.now)
			c.pass(cancelLimit + moment)
			link := &disturbance{}
			l.connected(c.a.Registration.Life, link)
			link.extend(c.now)
			c.start(c.a, first)
		}, ""},
		{"a run of a cancelled job starts late by a VM that was frozen", func(l *ledger, c *course) {
			l.cancelled(id, c.now)
			c.pass(cancelLimit + moment)
			vm := &entryVM{}
			vm.disturbed.extend(c.now)
			opened := &connection{}
			opened.vm.Store(vm)
			l.startArrived(c.a.Registration.Life, backend.Start{Task: first, Run: 1}, arrival{c.now, opened})
			c.start(c.a, first)
		}, ""},
		{"nobody holds a run", func(_ *ledger, c *course) {
			c.start(c.a, slow)
			c.passHeld(c.a, longestLease)
			c.pass(testLease + moment)
		}, lapsed},
		{"nobody extends the lease of a run in time", func(l *ledger, c *course) {
			c.start(c.a, slow)
			c.passHeld(c.a, time.Second)
			c.hold(c.a)
			c.pass(contact + holdLimit + moment)
			l.checkRuns(c.now)
		}, lapsed},
		{"the lease of a run is extended just in time", func(l *ledger, c *course) {
			c.start(c.a, slow)
			c.passHeld(c.a, time.Second)
			c.hold(c.a)
			c.pass(contact + holdLimit)
			l.checkRuns(c.now)
		}, ""},
		{"nobody extends the lease of a run for a while after nobody led", func(l *ledger, c *course) {
			c.start(c.a, slow)
			c.passHeld(c.a, time.Second)
			c.hold(c.a)
			c.pass(moment)
			l.leader.extend(c.now)
			c.pass(contact + holdLimit)
			l.checkRuns(c.now)
		}, ""},
		{"nobody holds a run at a worker that is cut off", func(l *ledger, c *course) {
			c.start(c.a, slow)
			cut(l, c, c.a, longestLease)
			c.pass(testLease + moment)
		}, ""},
		{"nobody holds a run while nobody leads", func(l *ledger, c *course) {
			c.start(c.a, slow)
			c.passHeld(c.a, longestLease)
			l.leader.extend(c.now)
			c.pass(testLease + moment)
		}, ""},
	}
}

func TestDisturbancesOverlap(t *testing.T) {
	is := is.New(t)
	var d disturbance
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	d.begin()
	d.begin()
	d.begin()
	d.end(at(3))
	is.Equal(d.calmSince(at(4)), at(4)) // one fault lasts
	d.end(at(5))
	d.end(at(5))
	is.Equal(d.calmSince(at(8)), at(5))
	d.extend(at(9)) // a call is executed late
	d.begin()
	d.end(at(7))
	is.Equal(d.calmSince(at(12)), at(9))
}
