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

// serviceName is the name of the service between entry VMs.
const serviceName = "EntryVM"

// Nothing is an empty message.
type Nothing struct{}

// HeartbeatArgs tell that a leader lives.
type HeartbeatArgs struct {
	Epoch  int64
	Leader string
	// Address is the leader's: a VM that has just started may know no other VM.
	Address netip.AddrPort
	// Version is the leader's version of the configuration.
	Version int64
}

// HeartbeatReply is the answer of a follower.
type HeartbeatReply struct {
	// Epoch is the highest that the follower knows.
	Epoch int64
	// Version is the follower's version of the configuration.
	Version int64
	// ReachesStore tells that the follower reaches the store by itself.
	ReachesStore bool
}

// HeardReply tells when a VM last heard of a leader.
type HeardReply struct {
	Epoch int64
	// Ago is the time since the last heartbeat, or since the claim was read.
	Ago time.Duration
}

// JobArgs name a job.
type JobArgs struct{ ID string }

// StateReply is the state of a job.
type StateReply struct {
	// Leading is false when the VM does not lead; the rest is then empty.
	Leading bool
	// Fresh tells that every job accepted before the question is known.
	Fresh bool
	Known bool
	State work.State
}

// PendingArgs name a queue.
type PendingArgs struct{ Queue string }

// PendingReply counts the jobs of a queue that have not started.
type PendingReply struct {
	Leading bool
	Pending int
}

// JobsArgs carry job records that are stored.
type JobsArgs struct{ Records []store.Record }

// JobsReply tells whether the records are known; they are not where the VM does not
// lead, or does not yet.
type JobsReply struct{ Taken bool }

// AdviceArgs ask a VM to get advice.
type AdviceArgs struct {
	Step    work.StepID
	Workers []string
	Timeout time.Duration
}

// TableArgs carry a configuration as published.
type TableArgs struct {
	Version int64
	// Text is compressed by gzip.
	Text []byte
}

// AppendArgs ask a VM to append to the store.
type AppendArgs struct {
	Append  store.Append
	Timeout time.Duration
}

// ReadArgs ask a VM to read from the store; From is -1 for a snapshot.
type ReadArgs struct {
	Read     store.Read
	Snapshot bool
	Timeout  time.Duration
}

// StoreReply is the answer of the store, or its error.
type StoreReply struct {
	End     int64
	Records []store.Record
	// Kind is empty on success.
	Kind    store.Kind
	Message string
}

// errStoreDown refuses to relay.
var errStoreDown = fault.Newf("relay", store.KindRefused, "this VM does not reach the store either")

// handler answers the calls of other entry VMs.
type handler struct{ node *Node }

// Heartbeat notes that a leader lives.
func (h *handler) Heartbeat(a HeartbeatArgs, r *HeartbeatReply) error {
	*r = HeartbeatReply{Epoch: h.node.election.heard(a), Version: h.node.tables.version(), ReachesStore: h.node.store.reached(now()) > 0}
	return nil
}

// Heard tells when this VM last heard of a leader.
func (h *handler) Heard(_ Nothing, r *HeardReply) error {
	*r = h.node.election.lastHeard()
	return nil
}

// TakeOver asks this VM to lead.
func (h *handler) TakeOver(_ Nothing, _ *Nothing) error {
	if h.node.isLeaving() {
		return fault.Newf("take_over", KindNoLeader, "this VM is leaving")
	}
	h.node.election.invite()
	return nil
}

// State tells the state of a job.
func (h *handler) State(a JobArgs, r *StateReply) error {
	if l := h.node.leading(); l != nil {
		*r = l.status(a.ID)
	}
	return nil
}

// Pending counts the jobs of a queue that have not started.
func (h *handler) Pending(a PendingArgs, r *PendingReply) error {
	if l := h.node.leading(); l != nil {
		*r = l.pending(a.Queue)
	}
	return nil
}

// Jobs takes job records that are stored, ahead of reading them there.
func (h *handler) Jobs(a JobsArgs, r *JobsReply) error {
	if l := h.node.leading(); l != nil {
		r.Taken = l.takeJobs(a.Records)
	}
	return nil
}

// Advise gets advice.
func (h *handler) Advise(a AdviceArgs, r *backend.Advice) error {
	ctx, cancel := context.WithTimeout(h.node.run, a.Timeout)
	defer cancel()
	advice, err := h.node.peers.Adviser.Advise(ctx, a.Step, a.Workers)
	*r = advice
	return err
}

// Table takes a configuration from another VM.
func (h *handler) Table(a TableArgs, _ *Nothing) error {
	if a.Version <= h.node.tables.version() {
		return nil
	}
	text, err := decompress(a.Text)
	if err != nil {
		h.node.log.Error(err, "configuration_unreadable", "source", "peer")
		return err
	}
	h.node.tables.accept(text, "peer")
	return nil
}

// Append makes an append for a VM that can not reach the store.
func (h *handler) Append(a AppendArgs, r *StoreReply) error {
	if h.node.store.down.Load() {
		r.setError(errStoreDown)
		return nil
	}
	ctx, cancel := context.WithTimeout(h.node.run, a.Timeout)
	defer cancel()
	end, err := h.node.store.direct.Append(ctx, a.Append)
	r.End = end
	r.setError(err)
	return nil
}

// Read reads for a VM that can not reach the store.
func (h *handler) Read(a ReadArgs, r *StoreReply) error {
	if h.node.store.down.Load() {
		r.setError(errStoreDown)
		return nil
	}
	ctx, cancel := context.WithTimeout(h.node.run, a.Timeout)
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

func (r *StoreReply) setError(err error) {
	if err != nil {
		r.Kind, r.Message = kindOf(err), err.Error()
	}
}
