// Package deployment describes the VMs of an example: failure domains, entry
// VMs, and pools of workers in racks.
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
	KindInvalid    Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Deployment is one example with its lists.
type Deployment struct {
	Name string `json:"name"`
	// Domains are the failure domains; VMs are dealt out over them in turn.
	Domains  []string `json:"domains"`
	EntryVMs int      `json:"entry_vms"`
	Pools    []Pool   `json:"pools"`
	// Lists are read from files of their own.
	Lists plan.Lists `json:"-"`
}

// Pool is a set of equal workers.
type Pool struct {
	Name           string          `json:"name"`
	Workers        int             `json:"workers"`
	WorkersPerRack int             `json:"workers_per_rack"`
	Capacity       resource.Vector `json:"capacity"`
}

// Worker is one worker of a pool.
type Worker struct {
	Name, Domain, Rack string
	Capacity           resource.Vector
}

// Entry is one entry VM.
type Entry struct {
	Name, Domain string
}

// Load reads the deployment of a folder.
func Load(files fs.FS, name string) (Deployment, error) {
	var d Deployment
	for _, f := range []struct {
		file string
		into any
	}{
		{"deployment.json", &d}, {"customers.json", &d.Lists.Customers}, {"entitlements.json", &d.Lists.Entitlements},
	} {
		data, err := fs.ReadFile(files, name+"/"+f.file)
		if err != nil {
			return d, fault.New("load", KindUnreadable, err)
		}
		if err := plan.DecodeStrict(data, f.into); err != nil {
			return d, fault.New("load", KindInvalid, err)
		}
	}
	if err := d.Lists.Validate(); err != nil {
		return d, fault.New("load", KindInvalid, err)
	}
	return d, nil
}

// Entries deals the entry VMs out over the failure domains.
func (d Deployment) Entries() []Entry {
	out := make([]Entry, 0, d.EntryVMs)
	for i := range d.EntryVMs {
		out = append(out, Entry{Name: fmt.Sprintf("entry-%d", i+1), Domain: d.Domains[i%len(d.Domains)]})
	}
	return out
}

// Workers deals the racks of every pool out over the failure domains.
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
