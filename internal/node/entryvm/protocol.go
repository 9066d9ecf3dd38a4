package entryvm

import (
	"context"
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// serviceName is the name of the net/rpc service that entry VMs offer each other.
const serviceName = "EntryVM"

// Nothing is the empty argument or reply of a call.
type Nothing struct{}

// HeartbeatArgs is a heartbeat of the leader.
type HeartbeatArgs struct {
	Epoch  int64
	Leader string
	// Address is the address of the leader. A VM that has just started may not know it
	// yet.
	Address netip.AddrPort
	// Version is the version of the leader's configuration.
	Version int64
}

// HeartbeatReply is a follower's answer to a heartbeat.
type HeartbeatReply struct {
	// Epoch is the highest epoch that the follower knows.
	Epoch int64
	// Version is the version of the follower's configuration.
	Version int64
	// ReachesStore is true if the follower reaches the store directly.
	ReachesStore bool
}

// HeardReply reports when a VM last received a heartbeat.
type HeardReply struct {
	// Epoch is the highest epoch that the VM knows.
	Epoch int64
	// Ago is the time since the last heartbeat from any leader.
	Ago time.Duration
}

// JobArgs identifies a job.
type JobArgs struct{ ID string }

// StateReply is the state of a job.
type StateReply struct {
	// Leading is false if the VM does not lead; the other fields are then unset.
	Leading bool
	// Fresh is true if the leader has read every partition of jobs within the last
	// maxJobsReadAge. Only then is a job that it does not know reported as non-existent.
	Fresh bool
	// Known is true if the leader knows the job.
	Known bool
	State work.State
}

// PendingArgs identifies a queue.
type PendingArgs struct{ Queue string }

// PendingReply is the number of jobs of a queue that have not started.
type PendingReply struct {
	// Leading is false if the VM does not lead; Pending is then unset.
	Leading bool
	Pending int
}

// JobsArgs holds job records that another VM has stored.
type JobsArgs struct{ Records []store.Record }

// JobsReply reports whether the leader has accepted the records. Taken is false if the
// VM does not lead or has not restored the stored state yet.
type JobsReply struct{ Taken bool }

// AdviceArgs asks an entry VM to call the adviser about the workers for a step.
type AdviceArgs struct {
	Step work.StepID
	// Workers holds worker IDs.
	Workers []string
	// Timeout limits the call to the adviser.
	Timeout time.Duration
}

// TableArgs is a published configuration.
type TableArgs struct {
	Version int64
	// Text is the text of the configuration, compressed with gzip.
	Text []byte
}

// AppendArgs asks an entry VM to append to the store for the caller.
type AppendArgs struct {
	Append store.Append
	// Timeout limits the call to the store.
	Timeout time.Duration
}

// ReadArgs asks an entry VM to read from the store for the caller.
type ReadArgs struct {
	Read store.Read
	// Snapshot requests the newest record of each key instead of the records from
	// Read.From on.
	Snapshot bool
	// Timeout limits the call to the store.
	Timeout time.Duration
}

// StoreReply is the answer of the store to a relayed call, or its error.
type StoreReply struct {
	// End is the end offset of an append or snapshot, or the next offset of a read.
	End     int64
	Records []store.Record
	// Kind is the error kind. It is empty on success.
	Kind store.Kind
	// Message is the error text.
	Message string
}

// errStoreDown is the error of a relayed call if this VM does not reach the store
// directly.
var errStoreDown = fault.Newf("relay", store.KindRefused, "this VM does not reach the store directly either")

// handler implements the net/rpc service that other entry VMs call.
type handler struct{ node *Node }

// Heartbeat records a heartbeat of the leader.
func (h *handler) Heartbeat(a HeartbeatArgs, r *HeartbeatReply) error {
	*r = HeartbeatReply{Epoch: h.node.election.recordHeartbeat(a), Version: h.node.configuration.version(), ReachesStore: h.node.store.reachableFor(now()) > 0}
	return nil
}

// Heard reports when this VM last received a heartbeat.
func (h *handler) Heard(_ Nothing, r *HeardReply) error {
	*r = h.node.election.lastHeard()
	return nil
}

// TakeOver asks this VM to claim leadership. It fails if the VM is about to stop.
func (h *handler) TakeOver(_ Nothing, _ *Nothing) error {
	if h.node.isLeaving() {
		return fault.Newf("take_over", KindNoLeader, "this VM is about to stop")
	}
	h.node.election.requestTakeOver()
	return nil
}

// State returns the state of a job, if this VM leads.
func (h *handler) State(a JobArgs, r *StateReply) error {
	if l := h.node.activeLeader(); l != nil {
		*r = l.status(a.ID)
	}
	return nil
}

// Pending returns the number of jobs of a queue that have not started, if this VM
// leads.
func (h *handler) Pending(a PendingArgs, r *PendingReply) error {
	if l := h.node.activeLeader(); l != nil {
		*r = l.pending(a.Queue)
	}
	return nil
}

// Jobs passes stored job records to the scheduler before the leader reads them from
// the store.
func (h *handler) Jobs(a JobsArgs, r *JobsReply) error {
	if l := h.node.activeLeader(); l != nil {
		r.Taken = l.addStoredJobs(a.Records)
	}
	return nil
}

// Advise calls the adviser for the leader.
func (h *handler) Advise(a AdviceArgs, r *backend.Advice) error {
	ctx, cancel := context.WithTimeout(h.node.ctx, a.Timeout)
	defer cancel()
	advice, err := h.node.dependencies.Adviser.Advise(ctx, a.Step, a.Workers)
	*r = advice
	return err
}

// Table applies a configuration that the leader sends.
func (h *handler) Table(a TableArgs, _ *Nothing) error {
	if a.Version <= h.node.configuration.version() {
		return nil
	}
	text, err := decompress(a.Text)
	if err != nil {
		h.node.log.Error(err, "configuration_unreadable", "source", "peer")
		return err
	}
	h.node.configuration.accept(text, "peer")
	return nil
}

// Append appends to the store for a VM that does not reach it.
func (h *handler) Append(a AppendArgs, r *StoreReply) error {
	if h.node.store.down.Load() {
		r.setError(errStoreDown)
		return nil
	}
	ctx, cancel := context.WithTimeout(h.node.ctx, a.Timeout)
	defer cancel()
	end, err := h.node.store.direct.Append(ctx, a.Append)
	r.End = end
	r.setError(err)
	return nil
}

// Read reads from the store for a VM that does not reach it.
func (h *handler) Read(a ReadArgs, r *StoreReply) error {
	if h.node.store.down.Load() {
		r.setError(errStoreDown)
		return nil
	}
	ctx, cancel := context.WithTimeout(h.node.ctx, a.Timeout)
	defer cancel()
	if a.Snapshot {
		snapshot, err := h.node.store.direct.Newest(ctx, a.Read.Topic, a.Read.Part)
		r.Records, r.End = snapshot.Records, snapshot.End
		r.setError(err)
		return nil
	}
	batch, err := h.node.store.direct.Read(ctx, a.Read)
	r.Records, r.End = batch.Records, batch.Next
	r.setError(err)
	return nil
}

// setError sets the error fields of the reply, unless err is nil.
func (r *StoreReply) setError(err error) {
	if err != nil {
		r.Kind, r.Message = storeKind(err), err.Error()
	}
}
