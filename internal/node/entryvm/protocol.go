package entryvm

import (
	"context"
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/cell/history"
	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// rpcServiceName is the name of the net/rpc service that entry VMs offer each other.
const rpcServiceName = "EntryVM"

// Nothing is the empty argument or reply of a call.
type Nothing struct{}

// HeartbeatArgs is the heartbeat that the leader sends to every other entry VM.
type HeartbeatArgs struct {
	// Epoch is the epoch of the leader's claim.
	Epoch int64
	// Leader is the name of the leader.
	Leader string
	// Address is the address of the leader. A VM that has just started may not know it
	// yet.
	Address netip.AddrPort
	// Version is the version of the leader's configuration.
	Version int64
	// Stored tells by when the records of the progress topic were stored. Most heartbeats only
	// carry the last point, and those of earlier builds none.
	Stored []history.Point
	// LeasesClosedSince is that of the leader's claim.
	LeasesClosedSince int64
}

// HeartbeatReply is the answer of an entry VM to a heartbeat.
type HeartbeatReply struct {
	// Epoch is the highest epoch that the answering VM knows.
	Epoch int64
	// Version is the version of the answering VM's configuration.
	Version int64
	// ReachesStore is true if the answering VM reaches the store without another VM.
	ReachesStore bool
}

// LastHeartbeatReply is the answer to the question when a VM last received a heartbeat, and
// which configuration it has.
type LastHeartbeatReply struct {
	// Epoch is the highest epoch that the VM knows.
	Epoch int64
	// Ago is the time since the last heartbeat. Heartbeats from superseded leaders do
	// not count.
	Ago time.Duration
	// Version is the version of the VM's configuration. It is 0 if it has none or is of an
	// earlier build.
	Version int64
	// Stored tells by when the records of the progress topic were stored. It is empty if the VM
	// is of an earlier build.
	Stored []history.Point
}

// StoredArgs tells by when the records of the progress topic were stored.
type StoredArgs struct{ Stored []history.Point }

// StateArgs identifies the job whose state is asked for.
type StateArgs struct {
	ID string
	// Wait is how long the leader may wait for the end of the job before it answers. A
	// leader of an earlier build ignores it.
	Wait time.Duration
}

// StateReply is the answer to a question about the state of a job.
type StateReply struct {
	// Leading is false if the VM does not lead; the other fields are then unset.
	Leading bool
	// Fresh is true if the leader has read every job partition within the last
	// maxJobsReadAge. If it is false, a job that the leader does not know may still
	// exist.
	Fresh bool
	// Known is true if the leader knows the job. Otherwise State is empty.
	Known bool
	State work.State
}

// PendingJobsArgs identifies the queue whose jobs are counted.
type PendingJobsArgs struct{ Queue string }

// PendingJobsReply is the answer to a question about the number of jobs of a queue that
// have not started.
type PendingJobsReply struct {
	// Leading is false if the VM does not lead, or may not know all accepted jobs.
	// Pending is then unset.
	Leading bool
	Pending int
}

// StoredJobsArgs holds job records that the calling VM has stored, for the leader's
// scheduler.
type StoredJobsArgs struct{ Records []store.Record }

// StoredJobsReply is the answer to StoredJobsArgs. Taken is true if the scheduler has
// received the records. It is false if the VM does not lead or has not restored the
// stored state yet.
type StoredJobsReply struct{ Taken bool }

// AdviceArgs asks an entry VM to call the adviser, which decides which workers a step
// may use.
type AdviceArgs struct {
	Step work.StepID
	// Workers holds the IDs of the workers to ask about.
	Workers []string
	// Timeout limits the call to the adviser.
	Timeout time.Duration
}

// ConfigurationArgs is a published configuration that one VM passes on to another.
type ConfigurationArgs struct {
	Version int64
	// Text is the text of the configuration, compressed with gzip.
	Text []byte
}

// AppendArgs asks an entry VM to append to the store on behalf of the caller.
type AppendArgs struct {
	Append store.Append
	// Timeout limits the call to the store.
	Timeout time.Duration
}

// ReadArgs asks an entry VM to read from the store on behalf of the caller.
type ReadArgs struct {
	Read store.Read
	// Snapshot requests the newest record of each key instead of the records from
	// Read.From on.
	Snapshot bool
	// Timeout limits the call to the store.
	Timeout time.Duration
}

// StoreReply is the result of a call that an entry VM made to the store on behalf of
// another VM.
type StoreReply struct {
	// End is the end offset after an append, the end offset of a snapshot, or the
	// offset at which the next read continues.
	End     int64
	Records []store.Record
	// Kind is the error kind. It is empty on success.
	Kind store.Kind
	// Message is the error text.
	Message string
}

// errStoreUnreachable is the answer to a VM that asks this one to call the store, while
// this VM does not reach the store directly either.
var errStoreUnreachable = fault.Newf("relay", store.KindRefused, "this VM does not reach the store directly either")

// rpcHandler implements the net/rpc service that other entry VMs call.
type rpcHandler struct{ node *Node }

// Heartbeat records a heartbeat of the leader.
func (h *rpcHandler) Heartbeat(a HeartbeatArgs, r *HeartbeatReply) error {
	*r = HeartbeatReply{Epoch: h.node.election.recordHeartbeat(a), Version: h.node.configuration.currentVersion(), ReachesStore: h.node.store.reachableFor(now()) > 0}
	return nil
}

// Stored receives the history of the progress topic from a leader that stops.
func (h *rpcHandler) Stored(a StoredArgs, _ *Nothing) error {
	h.node.progressHistory.Merge(a.Stored, now())
	return nil
}

// Heard reports when this VM last received a heartbeat, and the version of its configuration.
func (h *rpcHandler) Heard(_ Nothing, r *LastHeartbeatReply) error {
	*r = h.node.election.heartbeatStatus()
	r.Version = h.node.configuration.currentVersion()
	r.Stored = h.node.progressHistory.Points(now())
	return nil
}

// TakeOver asks this VM to claim leadership. It fails if the VM is about to stop.
func (h *rpcHandler) TakeOver(_ Nothing, _ *Nothing) error {
	if h.node.isStopping() {
		return fault.Newf("take_over", KindNoLeader, "this VM is about to stop")
	}
	h.node.election.requestTakeOver()
	return nil
}

// State returns the state of a job, if this VM leads.
func (h *rpcHandler) State(a StateArgs, r *StateReply) error {
	if l := h.node.activeLeader(); l != nil {
		*r = l.awaitJobStatus(a.ID, a.Wait)
	}
	return nil
}

// Pending returns the number of jobs of a queue that have not started, if this VM
// leads.
func (h *rpcHandler) Pending(a PendingJobsArgs, r *PendingJobsReply) error {
	if l := h.node.activeLeader(); l != nil {
		*r = l.pendingJobs(a.Queue)
	}
	return nil
}

// Jobs tells the scheduler about job records that the caller has stored, if this VM
// leads. The scheduler then knows them before the leader reads them from the store.
func (h *rpcHandler) Jobs(a StoredJobsArgs, r *StoredJobsReply) error {
	if l := h.node.activeLeader(); l != nil {
		r.Taken = l.addStoredJobs(a.Records)
	}
	return nil
}

// Advise calls the adviser on behalf of the leader.
func (h *rpcHandler) Advise(a AdviceArgs, r *backend.Advice) error {
	ctx, cancel := context.WithTimeout(h.node.ctx, a.Timeout)
	defer cancel()
	advice, err := h.node.dependencies.Adviser.Advise(ctx, a.Step, a.Workers)
	*r = advice
	return err
}

// Table applies a configuration that the leader sends.
func (h *rpcHandler) Table(a ConfigurationArgs, _ *Nothing) error {
	return h.node.configuration.applyCompressed(a)
}

// Configuration returns the current configuration of this VM.
func (h *rpcHandler) Configuration(_ Nothing, r *ConfigurationArgs) error {
	table := h.node.configuration.currentTable()
	if table == nil {
		return fault.Newf("configuration", KindNoLeader, "this VM has no configuration yet")
	}
	*r = ConfigurationArgs{Version: table.Version, Text: compress(table.Text)}
	return nil
}

// Append appends to the store on behalf of a VM that cannot call the store directly.
func (h *rpcHandler) Append(a AppendArgs, r *StoreReply) error {
	if h.node.store.unreachable.Load() {
		r.setError(errStoreUnreachable)
		return nil
	}
	ctx, cancel := context.WithTimeout(h.node.ctx, a.Timeout)
	defer cancel()
	end, err := h.node.store.directStore.Append(ctx, a.Append)
	r.End = end
	r.setError(err)
	return nil
}

// Read reads from the store on behalf of a VM that cannot call the store directly.
func (h *rpcHandler) Read(a ReadArgs, r *StoreReply) error {
	if h.node.store.unreachable.Load() {
		r.setError(errStoreUnreachable)
		return nil
	}
	ctx, cancel := context.WithTimeout(h.node.ctx, a.Timeout)
	defer cancel()
	if a.Snapshot {
		snapshot, err := h.node.store.directStore.Newest(ctx, a.Read.Topic, a.Read.Part)
		r.Records, r.End = snapshot.Records, snapshot.End
		r.setError(err)
		return nil
	}
	batch, err := h.node.store.directStore.Read(ctx, a.Read)
	r.Records, r.End = batch.Records, batch.Next
	r.setError(err)
	return nil
}

// setError sets the error fields of the reply, unless err is nil.
func (r *StoreReply) setError(err error) {
	if err != nil {
		r.Kind, r.Message = storeErrorKind(err), err.Error()
	}
}
