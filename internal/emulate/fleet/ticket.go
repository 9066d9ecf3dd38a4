package fleet

import (
	"fmt"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/peer/backend"
)

// Tickets holds the tickets that an adviser has issued. Each permits one process of a worker
// to start the tasks of one step for a limited time.
type Tickets struct{ issued map[string]issuedTicket }

type issuedTicket struct {
	step       work.StepID
	life       backend.Life
	validUntil time.Time
}

// Issue returns a new ticket.
func (t *Tickets) Issue(step work.StepID, life backend.Life, validUntil time.Time) string {
	if t.issued == nil {
		t.issued = map[string]issuedTicket{}
	}
	text := fmt.Sprintf("ticket-%d", len(t.issued)+1)
	t.issued[text] = issuedTicket{step, life, validUntil}
	return text
}

// isValid reports whether a start on a process of a worker carries a valid ticket.
func (t *Tickets) isValid(s *backend.Start, life backend.Life, now time.Time) bool {
	i, ok := t.issued[s.Ticket]
	return ok && i.step == s.Task.StepID && i.life == life && !now.After(i.validUntil)
}
