// Package deployment loads the descriptions of example deployments: their failure
// domains, entry VMs and pools of workers in racks.
package deployment

import (
	"fmt"
	"io/fs"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that a file is malformed or contains an invalid value.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Deployment describes the VMs, customers and plans of an example.
type Deployment struct {
	Name string `json:"name"`
	// Domains names the failure domains. Entry VMs and racks are distributed over
	// them round-robin.
	Domains []string `json:"domains"`
	// EntryVMs is the number of entry VMs.
	EntryVMs int    `json:"entry_vms"`
	Pools    []Pool `json:"pools"`
	// Lists holds the customers and plans, which have files of their own.
	Lists plan.Lists `json:"-"`
}

// Pool is a set of identical workers.
type Pool struct {
	Name           string          `json:"name"`
	Workers        int             `json:"workers"`
	WorkersPerRack int             `json:"workers_per_rack"`
	Capacity       resource.Vector `json:"capacity"`
}

// Worker describes one worker VM of a pool.
type Worker struct {
	Name, Domain, Rack string
	Capacity           resource.Vector
}

// Entry describes one entry VM.
type Entry struct {
	Name, Domain string
}

// Load reads the deployment in the folder with the given name and validates its
// customers and plans. Errors are of type *Error.
func Load(files fs.FS, name string) (Deployment, error) {
	var d Deployment
	for _, f := range []struct {
		file   string
		target any
	}{
		{"deployment.json", &d}, {"customers.json", &d.Lists.Customers}, {"entitlements.json", &d.Lists.Entitlements},
	} {
		data, err := fs.ReadFile(files, name+"/"+f.file)
		if err != nil {
			return d, fault.New("load", KindUnreadable, err)
		}
		if err := plan.DecodeStrict(data, f.target); err != nil {
			return d, fault.New("load", KindInvalid, err)
		}
	}
	if err := d.Lists.Validate(); err != nil {
		return d, fault.New("load", KindInvalid, err)
	}
	return d, nil
}

// Entries returns the entry VMs, distributed over the failure domains.
func (d Deployment) Entries() []Entry {
	out := make([]Entry, 0, d.EntryVMs)
	for i := range d.EntryVMs {
		out = append(out, Entry{Name: fmt.Sprintf("entry-%d", i+1), Domain: d.Domains[i%len(d.Domains)]})
	}
	return out
}

// Workers returns the workers of all pools. The racks are distributed over the
// failure domains round-robin; all workers of a rack are in the same one.
func (d Deployment) Workers() []Worker {
	var out []Worker
	racks := 0
	for _, p := range d.Pools {
		for i := range p.Workers {
			if i%p.WorkersPerRack == 0 {
				racks++
			}
			out = append(out, Worker{
				Name:     fmt.Sprintf("%s-%d", p.Name, i+1),
				Rack:     fmt.Sprintf("rack-%d", racks),
				Domain:   d.Domains[racks%len(d.Domains)],
				Capacity: p.Capacity,
			})
		}
	}
	return out
}
