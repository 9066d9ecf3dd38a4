package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// tokenCounterBits is the number of low bits of a fencing token that do not belong to the
// epoch of the leader.
const tokenCounterBits = 20

// startRecord is what is known about one run that a worker has started.
type startRecord struct {
	order backend.Start
	life  backend.Life
	// at is when the worker started the run, and arrival when the order reached it.
	at      time.Time
	arrival arrival
	// outcome and endedAt describe the end of the run. They are zero while it runs and if
	// its worker process has ended before it.
	outcome backend.Outcome
	endedAt time.Time
	// acknowledgedAt is when a leader acknowledged the end, or zero.
	acknowledgedAt time.Time
	// overran is true once the run has gone on for too long after its job was cancelled.
	overran bool
	// unheld is true once nobody has extended the lease of its worker for too long.
	unheld bool
	// ledgerBegun is the time from which String counts.
	ledgerBegun time.Time
}

// epoch returns the epoch of the leader that ordered the run.
func (s *startRecord) epoch() int64 { return s.order.Token >> tokenCounterBits }

// misdirected reports whether the order was sent to an earlier life of the worker.
func (s *startRecord) misdirected() bool {
	return !s.arrival.at.IsZero() && s.arrival.at.UnixMilli() < s.life.Born
}

// String describes the start for somebody who follows it in the logs.
func (s *startRecord) String() string {
	after := func(t time.Time) string { return fmt.Sprintf("after %.2f s", t.Sub(s.ledgerBegun).Seconds()) }
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s run %d on %s (born %d, %s), token %d (epoch %d)", s.order.Task, s.order.Run, s.life.ID, s.life.Born,
		after(time.UnixMilli(s.life.Born)), s.order.Token, s.epoch())
	if vm := s.arrival.connection.caller(); vm != nil {
		_, _ = fmt.Fprintf(&b, " from %s", vm.name)
	}
	_, _ = fmt.Fprintf(&b, ", started %s", after(s.at))
	if late := s.at.Sub(s.arrival.at); !s.arrival.at.IsZero() && late > time.Millisecond {
		_, _ = fmt.Fprintf(&b, ", %.2f s after its arrival", late.Seconds())
	}
	if s.misdirected() {
		b.WriteString(" at an earlier life")
	}
	if s.outcome != "" {
		_, _ = fmt.Fprintf(&b, ", ended %s %s", s.outcome, after(s.endedAt))
	}
	if !s.acknowledgedAt.IsZero() {
		_, _ = fmt.Fprintf(&b, ", acknowledged %s", after(s.acknowledgedAt))
	}
	return b.String()
}
