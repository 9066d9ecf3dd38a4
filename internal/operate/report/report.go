// Package report shows whether sharing a pool of workers between plans saves money.
// For each plan it lists the promised, used, borrowed and lent VM-hours, and compares
// the VM-hours and cost of the shared pool with those of a separate pool.
package report

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// Report is the sharing report for the time from Begin to End.
type Report struct {
	Begin time.Time `json:"begin"`
	End   time.Time `json:"end"`
	// PoolVMHours is the capacity of the pool: the number of its workers,
	// integrated over the time of the report.
	PoolVMHours float64 `json:"pool_vm_hours"`
	Rows        []Row   `json:"rows"`
	// MissingEntryVMs names the entry VMs that did not answer. Unless it is empty, the
	// figures are incomplete.
	MissingEntryVMs []string `json:"missing,omitempty"`
	// Complete is false when an entry VM or the log service did not answer.
	Complete bool `json:"complete"`
	// Note explains to people why the report is incomplete.
	Note string `json:"note,omitempty"`
}

// Row contains the figures of one plan.
type Row struct {
	Customer        string  `json:"customer"`
	Plan            string  `json:"plan"`
	PromisedVMHours float64 `json:"promised_vm_hours"`
	UsedVMHours     float64 `json:"used_vm_hours"`
	BorrowedVMHours float64 `json:"borrowed_vm_hours"`
	LentVMHours     float64 `json:"lent_vm_hours"`
	// SharedPoolVMHours is what the plan is charged for in the shared pool: its own
	// usage and its share of the idle time.
	SharedPoolVMHours float64 `json:"shared_vm_hours"`
	// SeparatePoolVMHours is what a separate pool for the plan would need for the same
	// waiting times.
	SeparatePoolVMHours float64 `json:"alone_vm_hours"`
	// SharedPoolCost and SeparatePoolCost are the costs of SharedPoolVMHours and
	// SeparatePoolVMHours at the plan's price per VM-hour.
	SharedPoolCost   float64 `json:"shared_cost"`
	SeparatePoolCost float64 `json:"alone_cost"`
	// Started counts the started tasks.
	Started int64 `json:"started"`
	// Waiting maps each class to the counts of its started tasks by waiting time.
	Waiting map[string]usage.WaitingHistogram `json:"waiting"`
}

const secondsPerHour = 3600

// New merges the usage periods of all pools into a report. prices contains the
// price of each plan. missing names the entry VMs that did not answer;
// logAnswered is false when the log service did not answer.
func New(periods []usage.Period, prices *plan.Index, missing []string, logAnswered bool) Report {
	r := Report{MissingEntryVMs: missing, Complete: len(missing) == 0 && logAnswered}
	if !logAnswered {
		r.Note = "the log gave no answer: earlier periods are missing"
	}
	sums := map[string]usage.PlanUsage{}
	for _, p := range periods {
		if r.Begin.IsZero() || p.Begin.Before(r.Begin) {
			r.Begin = p.Begin
		}
		if p.End.After(r.End) {
			r.End = p.End
		}
		r.PoolVMHours += p.PoolSeconds / secondsPerHour
		for name, s := range p.Plans {
			sum := sums[name]
			sum.Customer, sum.Plan = s.Customer, s.Plan
			sum.Merge(s)
			sums[name] = sum
		}
	}
	for name, s := range sums {
		e, _ := prices.Entitlement(name)
		r.Rows = append(r.Rows, newRow(s, e.Price))
	}
	sort.Slice(r.Rows, func(i, j int) bool {
		if r.Rows[i].Customer != r.Rows[j].Customer {
			return r.Rows[i].Customer < r.Rows[j].Customer
		}
		return r.Rows[i].Plan < r.Rows[j].Plan
	})
	return r
}

// newRow converts the usage sums of a plan to a row; price is the price of a
// VM-hour.
func newRow(s usage.PlanUsage, price float64) Row {
	row := Row{
		Customer: s.Customer, Plan: s.Plan,
		PromisedVMHours: s.Promised / secondsPerHour, UsedVMHours: s.Used / secondsPerHour,
		BorrowedVMHours: s.Borrowed / secondsPerHour, LentVMHours: s.Lent / secondsPerHour,
		SharedPoolVMHours: (s.Used + s.Idle) / secondsPerHour, SeparatePoolVMHours: s.Alone / secondsPerHour,
		Started: s.Started, Waiting: s.Waiting,
	}
	row.SharedPoolCost, row.SeparatePoolCost = row.SharedPoolVMHours*price, row.SeparatePoolVMHours*price
	return row
}

// WriteTable prints the report as a text table.
func (r Report) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "sharing report, %s to %s, pool of %.3f VM-hours\n", r.Begin.UTC().Format(time.RFC3339), r.End.UTC().Format(time.RFC3339), r.PoolVMHours)
	if !r.Complete {
		_, _ = fmt.Fprintf(w, "INCOMPLETE: no answer from %v %s\n", r.MissingEntryVMs, r.Note)
	}
	_, _ = fmt.Fprintf(w, "%-12s %-16s %9s %9s %9s %9s %9s %9s %9s %9s %8s\n", "customer", "plan", "promised", "used", "borrowed", "lent", "shared", "alone", "cost", "cost_own", "started")
	for _, x := range r.Rows {
		_, _ = fmt.Fprintf(w, "%-12s %-16s %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %8d\n", x.Customer, x.Plan,
			x.PromisedVMHours, x.UsedVMHours, x.BorrowedVMHours, x.LentVMHours, x.SharedPoolVMHours, x.SeparatePoolVMHours, x.SharedPoolCost, x.SeparatePoolCost, x.Started)
	}
}
