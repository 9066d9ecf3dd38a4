// Package report shows whether sharing pays: for each plan what it was
// promised, used, borrowed and lent, and the VM-hours and cost of the shared
// pool against a pool of its own.
package report

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/usage"
)

// Report is the evidence over a time.
type Report struct {
	Begin time.Time `json:"begin"`
	End   time.Time `json:"end"`
	// PoolVMHours is the size of the pool times the time.
	PoolVMHours float64 `json:"pool_vm_hours"`
	Rows        []Row   `json:"rows"`
	// Missing names the entry VMs that gave no answer; while it is not empty
	// the figures are incomplete.
	Missing []string `json:"missing,omitempty"`
	// Complete is false when an entry VM or the log gave no answer.
	Complete bool   `json:"complete"`
	Note     string `json:"note,omitempty"`
}

// Row is one plan.
type Row struct {
	Customer        string  `json:"customer"`
	Plan            string  `json:"plan"`
	PromisedVMHours float64 `json:"promised_vm_hours"`
	UsedVMHours     float64 `json:"used_vm_hours"`
	BorrowedVMHours float64 `json:"borrowed_vm_hours"`
	LentVMHours     float64 `json:"lent_vm_hours"`
	// SharedVMHours is what the plan pays for in the shared pool: its use and
	// its part of what was idle.
	SharedVMHours float64 `json:"shared_vm_hours"`
	// AloneVMHours is what a pool of its own would take at the same waiting
	// time.
	AloneVMHours float64                  `json:"alone_vm_hours"`
	SharedCost   float64                  `json:"shared_cost"`
	AloneCost    float64                  `json:"alone_cost"`
	Started      int64                    `json:"started"`
	Waiting      map[string]usage.Buckets `json:"waiting"`
}

const secondsPerHour = 3600

// New merges the periods of all pools.
func New(periods []usage.Period, prices *plan.Index, missing []string, logRead bool) Report {
	r := Report{Missing: missing, Complete: len(missing) == 0 && logRead}
	if !logRead {
		r.Note = "the log gave no answer: earlier periods are missing"
	}
	sums := map[string]usage.Sums{}
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
		r.Rows = append(r.Rows, rowOf(s, e.Price))
	}
	sort.Slice(r.Rows, func(i, j int) bool {
		if r.Rows[i].Customer != r.Rows[j].Customer {
			return r.Rows[i].Customer < r.Rows[j].Customer
		}
		return r.Rows[i].Plan < r.Rows[j].Plan
	})
	return r
}

func rowOf(s usage.Sums, price float64) Row {
	row := Row{
		Customer: s.Customer, Plan: s.Plan,
		PromisedVMHours: s.Promised / secondsPerHour, UsedVMHours: s.Used / secondsPerHour,
		BorrowedVMHours: s.Borrowed / secondsPerHour, LentVMHours: s.Lent / secondsPerHour,
		SharedVMHours: (s.Used + s.Idle) / secondsPerHour, AloneVMHours: s.Alone / secondsPerHour,
		Started: s.Started, Waiting: s.Waiting,
	}
	row.SharedCost, row.AloneCost = row.SharedVMHours*price, row.AloneVMHours*price
	return row
}

// WriteTable prints the report for people.
func (r Report) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "sharing report, %s to %s, pool of %.3f VM-hours\n", r.Begin.UTC().Format(time.RFC3339), r.End.UTC().Format(time.RFC3339), r.PoolVMHours)
	if !r.Complete {
		_, _ = fmt.Fprintf(w, "INCOMPLETE: no answer from %v %s\n", r.Missing, r.Note)
	}
	_, _ = fmt.Fprintf(w, "%-12s %-16s %9s %9s %9s %9s %9s %9s %9s %9s %8s\n", "customer", "plan", "promised", "used", "borrowed", "lent", "shared", "alone", "cost", "cost_own", "started")
	for _, x := range r.Rows {
		_, _ = fmt.Fprintf(w, "%-12s %-16s %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %9.4f %8d\n", x.Customer, x.Plan,
			x.PromisedVMHours, x.UsedVMHours, x.BorrowedVMHours, x.LentVMHours, x.SharedVMHours, x.AloneVMHours, x.SharedCost, x.AloneCost, x.Started)
	}
}
