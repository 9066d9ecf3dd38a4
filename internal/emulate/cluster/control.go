package cluster

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/operate/traffic"
	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
)

// postControl posts a request to the control interface of a stand-in.
func (c *Cluster) postControl(ctx context.Context, address netip.AddrPort, operation string, request any) error {
	var ignored json.RawMessage
	return jsonhttp.Post(ctx, c.client, "http://"+address.String()+"/control/"+operation, request, &ignored)
}

// SetLogFault sets the simulated faults of the log service; the zero value means
// none.
func (c *Cluster) SetLogFault(ctx context.Context, f standin.LogFault) error {
	return c.postControl(ctx, c.logAddress, "fault", f)
}

// SetListFault sets the simulated faults of the VM list; the zero value means none.
func (c *Cluster) SetListFault(ctx context.Context, f standin.VMsFault) error {
	return c.postControl(ctx, c.listAddress, "fault", f)
}

// MarkLeaving marks a VM as leaving in the VM list.
func (c *Cluster) MarkLeaving(ctx context.Context, name string) error {
	return c.postControl(ctx, c.listAddress, "leaving", standin.LeavingRequest{Name: name, Leaving: true})
}

// SetWorkerFault sets the simulated faults of a worker; the zero value means none.
// It tries every stand-in process until one accepts the worker's name.
func (c *Cluster) SetWorkerFault(ctx context.Context, name string, f standin.WorkerFault) error {
	var lastError error
	for _, a := range c.workerControls {
		if lastError = c.postControl(ctx, a, "fault", standin.FleetFault{Worker: name, Fault: f}); lastError == nil {
			return nil
		}
	}
	return lastError
}

// Histories returns the histories of all workers.
func (c *Cluster) Histories(ctx context.Context) ([]standin.History, error) {
	var all []standin.History
	for _, a := range c.workerControls {
		var h []standin.History
		if err := jsonhttp.Get(ctx, c.client, "http://"+a.String()+"/control/history", &h); err != nil {
			return nil, err
		}
		all = append(all, h...)
	}
	return all, nil
}

// Appends returns the number of append calls that the log service has executed.
func (c *Cluster) Appends(ctx context.Context) (uint64, error) {
	var s standin.LogStatus
	err := jsonhttp.Get(ctx, c.client, "http://"+c.logAddress.String()+"/control/status", &s)
	return s.Appends, err
}

// debugVariables is the part of an entry VM's expvar variables that this package
// reads.
type debugVariables struct {
	Owner struct {
		Workers             int    `json:"workers"`
		ConfigurationOffset uint64 `json:"configuration_offset"`
	} `json:"owner"`
	Violations map[string]int64 `json:"invariant_violations"`
	Traffic    traffic.Sums     `json:"traffic_bytes"`
}

// readVariables fetches the expvar variables of an entry VM.
func (c *Cluster) readVariables(ctx context.Context, e *Entry) (v debugVariables, err error) {
	err = jsonhttp.Get(ctx, c.client, "http://"+e.CallerAddress.String()+"/debug/vars", &v)
	return v, err
}

// Violations returns the number of invariant violations that an entry VM has
// counted.
func (c *Cluster) Violations(ctx context.Context, e *Entry) (int64, error) {
	v, err := c.readVariables(ctx, e)
	total := int64(0)
	for _, n := range v.Violations {
		total += n
	}
	return total, err
}

// Traffic returns the number of bytes that an entry VM has exchanged with its
// peers, the workers and the platform.
func (c *Cluster) Traffic(ctx context.Context, e *Entry) (int64, error) {
	v, err := c.readVariables(ctx, e)
	return v.Traffic.Heartbeats + v.Traffic.Peers + v.Traffic.Workers + v.Traffic.Platform, err
}

// ConfigurationOffset returns the log offset of the configuration that an entry VM
// uses.
func (c *Cluster) ConfigurationOffset(ctx context.Context, e *Entry) (uint64, error) {
	v, err := c.readVariables(ctx, e)
	return v.Owner.ConfigurationOffset, err
}

// SetCut replaces the failure domains that an entry VM cannot reach; the name
// isolation.Platform stands for the platform, and nil ends the partition. It fails
// unless the entry VM's settings allow fault injection.
func (c *Cluster) SetCut(ctx context.Context, e *Entry, names []string) error {
	var ignored json.RawMessage
	request := map[string][]string{"names": names}
	return jsonhttp.Post(ctx, c.client, "http://"+e.CallerAddress.String()+"/debug/cut", request, &ignored)
}
