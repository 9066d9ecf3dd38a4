package cluster

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/operate/traffic"
	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
)

func (c *Cluster) control(ctx context.Context, a netip.AddrPort, operation string, request any) error {
	var ignored json.RawMessage
	return jsonhttp.Post(ctx, c.client, "http://"+a.String()+"/control/"+operation, request, &ignored)
}

// SetLogFault switches faults of the log on and off.
func (c *Cluster) SetLogFault(ctx context.Context, f standin.LogFault) error {
	return c.control(ctx, c.logAt, "fault", f)
}

// SetListFault switches an outage of the VM list on and off.
func (c *Cluster) SetListFault(ctx context.Context, f standin.VMsFault) error {
	return c.control(ctx, c.listAt, "fault", f)
}

// MarkLeaving lets the VM list show a VM as leaving.
func (c *Cluster) MarkLeaving(ctx context.Context, name string) error {
	return c.control(ctx, c.listAt, "leaving", standin.LeavingRequest{Name: name, Leaving: true})
}

// SetWorkerFault switches faults of a worker on and off.
func (c *Cluster) SetWorkerFault(ctx context.Context, name string, f standin.WorkerFault) error {
	var last error
	for _, a := range c.fleets {
		if last = c.control(ctx, a, "fault", standin.FleetFault{Worker: name, Fault: f}); last == nil {
			return nil
		}
	}
	return last
}

// Histories returns the workers' own accounts.
func (c *Cluster) Histories(ctx context.Context) ([]standin.History, error) {
	var all []standin.History
	for _, a := range c.fleets {
		var h []standin.History
		if err := jsonhttp.Get(ctx, c.client, "http://"+a.String()+"/control/history", &h); err != nil {
			return nil, err
		}
		all = append(all, h...)
	}
	return all, nil
}

// Appends returns the number of appends that the log took.
func (c *Cluster) Appends(ctx context.Context) (uint64, error) {
	var s standin.LogStatus
	err := jsonhttp.Get(ctx, c.client, "http://"+c.logAt.String()+"/control/status", &s)
	return s.Appends, err
}

// variables is the part of expvar that readiness and checks look at.
type variables struct {
	Owner struct {
		Workers             int    `json:"workers"`
		ConfigurationOffset uint64 `json:"configuration_offset"`
	} `json:"owner"`
	Violations map[string]int64 `json:"invariant_violations"`
	Traffic    traffic.Sums     `json:"traffic_bytes"`
}

func (c *Cluster) variables(ctx context.Context, e *Entry) (v variables, err error) {
	err = jsonhttp.Get(ctx, c.client, "http://"+e.Caller.String()+"/debug/vars", &v)
	return v, err
}

// Violations returns the invariant violations that a live entry VM counted.
func (c *Cluster) Violations(ctx context.Context, e *Entry) (int64, error) {
	v, err := c.variables(ctx, e)
	total := int64(0)
	for _, n := range v.Violations {
		total += n
	}
	return total, err
}

// Traffic returns the bytes that an entry VM has exchanged with its peers, the
// workers and the platform.
func (c *Cluster) Traffic(ctx context.Context, e *Entry) (int64, error) {
	v, err := c.variables(ctx, e)
	return v.Traffic.Heartbeats + v.Traffic.Peers + v.Traffic.Workers + v.Traffic.Platform, err
}

// ConfigurationOffset returns the offset of the lists in force on an entry VM.
func (c *Cluster) ConfigurationOffset(ctx context.Context, e *Entry) (uint64, error) {
	v, err := c.variables(ctx, e)
	return v.Owner.ConfigurationOffset, err
}

// SetCut cuts failure domains or the platform off from an entry VM.
func (c *Cluster) SetCut(ctx context.Context, e *Entry, names []string) error {
	var ignored json.RawMessage
	request := map[string][]string{"names": names}
	return jsonhttp.Post(ctx, c.client, "http://"+e.Caller.String()+"/debug/cut", request, &ignored)
}
