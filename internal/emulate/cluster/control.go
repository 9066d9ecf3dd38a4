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

// SetVMListFault sets the simulated faults of the VM list; the zero value means none.
func (c *Cluster) SetVMListFault(ctx context.Context, f standin.VMListFault) error {
	return c.postControl(ctx, c.vmListAddress, "fault", f)
}

// MarkLeaving marks a VM as leaving in the VM list.
func (c *Cluster) MarkLeaving(ctx context.Context, name string) error {
	return c.postControl(ctx, c.vmListAddress, "leaving", standin.LeavingRequest{Name: name, Leaving: true})
}

// SetWorkerFault sets the simulated faults of a worker; the zero value means
// none. It sends them to every stand-in worker process until one accepts the
// worker's name.
func (c *Cluster) SetWorkerFault(ctx context.Context, name string, f standin.WorkerFault) error {
	var lastError error
	for _, a := range c.workerControls {
		if lastError = c.postControl(ctx, a, "fault", standin.WorkerFaultRequest{Worker: name, Fault: f}); lastError == nil {
			return nil
		}
	}
	return lastError
}

// WorkerHistories returns the history of every stand-in worker, which lists the
// attempts that the worker has started.
func (c *Cluster) WorkerHistories(ctx context.Context) ([]standin.History, error) {
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

// LogAppendCount returns the number of append calls that the log service has executed.
func (c *Cluster) LogAppendCount(ctx context.Context) (uint64, error) {
	var s standin.LogStatus
	err := jsonhttp.Get(ctx, c.client, "http://"+c.logAddress.String()+"/control/status", &s)
	return s.AppendCount, err
}

// debugVariables is the part of an entry VM's expvar variables that this package
// reads.
type debugVariables struct {
	Owner struct {
		Workers             int    `json:"workers"`
		ConfigurationOffset uint64 `json:"configuration_offset"`
	} `json:"owner"`
	InvariantViolations map[string]int64 `json:"invariant_violations"`
	TrafficBytes        traffic.Sums     `json:"traffic_bytes"`
}

// readVariables fetches the expvar variables of an entry VM.
func (c *Cluster) readVariables(ctx context.Context, e *EntryVM) (v debugVariables, err error) {
	err = jsonhttp.Get(ctx, c.client, "http://"+e.CallerAddress.String()+"/debug/vars", &v)
	return v, err
}

// InvariantViolations returns the number of invariant violations that an entry VM has
// counted.
func (c *Cluster) InvariantViolations(ctx context.Context, e *EntryVM) (int64, error) {
	v, err := c.readVariables(ctx, e)
	total := int64(0)
	for _, n := range v.InvariantViolations {
		total += n
	}
	return total, err
}

// TrafficBytes returns the number of bytes that an entry VM has exchanged with its
// peers, the workers and the platform.
func (c *Cluster) TrafficBytes(ctx context.Context, e *EntryVM) (int64, error) {
	v, err := c.readVariables(ctx, e)
	return v.TrafficBytes.Heartbeats + v.TrafficBytes.Peers + v.TrafficBytes.Workers + v.TrafficBytes.Platform, err
}

// ConfigurationOffset returns the log offset of the configuration that an entry VM
// uses.
func (c *Cluster) ConfigurationOffset(ctx context.Context, e *EntryVM) (uint64, error) {
	v, err := c.readVariables(ctx, e)
	return v.Owner.ConfigurationOffset, err
}

// SetCut simulates a network partition of an entry VM. The entry VM cannot reach
// the failure domains in names any more; the name isolation.Platform stands for
// the platform. If names is nil, the partition ends. SetCut fails unless the
// entry VM's settings allow fault injection.
func (c *Cluster) SetCut(ctx context.Context, e *EntryVM, names []string) error {
	var ignored json.RawMessage
	request := map[string][]string{"names": names}
	return jsonhttp.Post(ctx, c.client, "http://"+e.CallerAddress.String()+"/debug/cut", request, &ignored)
}
