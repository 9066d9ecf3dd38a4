package entryvm

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// heartbeatInterval is the pause between two heartbeats of the leader.
	heartbeatInterval = 250 * time.Millisecond
	// leaderTimeout is how long the leader must be silent before another VM claims
	// leadership: three heartbeat intervals and some delay.
	leaderTimeout = 900 * time.Millisecond
	// claimDelayPerRank is added to the wait before a claim once for each VM that should claim
	// before this one, so that two VMs rarely claim at the same time.
	claimDelayPerRank = 200 * time.Millisecond
	// maxClaimRank limits the rank that claimRank returns, and thereby how long a VM
	// waits for others to claim first.
	maxClaimRank = 8
	// maxFirstClaimDelay is how long a VM of fitness 0 waits before it claims
	// leadership if there has never been a leader. Fitter VMs wait less, so that they
	// claim first.
	maxFirstClaimDelay = 500 * time.Millisecond
	// minStoreReachableTime is how long a VM that was cut off from the network must
	// have reached the store again before it claims leadership. If there is a leader,
	// its heartbeat arrives within two heartbeat intervals. See candidacy.mayClaim.
	minStoreReachableTime = 2*heartbeatInterval + 100*time.Millisecond
	// fitterVMHeadStart is how long a VM must have reached the store again, after an
	// outage, before it claims leadership although a much fitter VM exists. In this
	// time, the fitter one notices the end of the outage and claims.
	fitterVMHeadStart = 2*storeProbeInterval + electionPollInterval
	// electionPollInterval is the pause between two checks for a silent leader.
	electionPollInterval = 100 * time.Millisecond
	// peerCallTimeout limits a call to another VM during an election or a hand-over.
	peerCallTimeout = 300 * time.Millisecond
	// leaderClaimKey is the key of the claim record.
	leaderClaimKey = "leader"
)

// claim is the record that a VM stores to become leader. It supersedes claims with a
// lower epoch.
type claim struct {
	Epoch int64 `json:"epoch"`
	// Name and Address belong to the claiming VM.
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// ProcessStart is the start time of the claiming process in Unix nanoseconds. It
	// distinguishes the process from earlier ones on the same VM, but not from those of
	// other VMs. It is 0 if the claim
	// is known only from a heartbeat.
	ProcessStart int64 `json:"process"`
	// LeasesClosedSince is the first epoch from which on all leaders have kept closed leases
	// closed; see scheduler.SetLeasesClosedSince. It is 0 if the claiming VM is of an earlier
	// build, which does not.
	LeasesClosedSince int64 `json:"leases_closed_since,omitempty"`
}

// maxEpoch is the highest valid epoch. Fencing tokens are multiples of the epoch, so it
// must be well below the largest int64. No sequence of elections reaches it.
const maxEpoch = int64(1) << 40

// decodeClaim decodes a record of store.Claims. It rejects a claim that no entry VM makes.
func decodeClaim(data []byte) (claim, error) {
	var c claim
	if err := json.Unmarshal(data, &c); err != nil {
		return claim{}, fault.New("decode_claim", KindUnreadable, err)
	}
	if c.Epoch < 1 || c.Epoch > maxEpoch {
		return claim{}, fault.Newf("decode_claim", KindUnreadable, "epoch is %d", c.Epoch)
	}
	if c.LeasesClosedSince < 0 || c.LeasesClosedSince > c.Epoch {
		return claim{}, fault.Newf("decode_claim", KindUnreadable, "leases are closed since epoch %d", c.LeasesClosedSince)
	}
	if c.Name == "" || !c.Address.IsValid() || c.Address.Port() == 0 {
		return claim{}, fault.Newf("decode_claim", KindUnreadable, "the name or the address of the VM is missing")
	}
	return c, nil
}

// election tracks the current leader and claims leadership when none is heard.
type election struct {
	node *Node
	// processStart is the start time of this process in Unix nanoseconds.
	processStart int64
	mutex        sync.Mutex
	// highestClaim is the known claim with the highest epoch.
	highestClaim claim
	// claimsEndOffset is the end offset of the topic store.Claims, or -1 until it is
	// known.
	claimsEndOffset int64
	// lastHeartbeatAt is when the last heartbeat of the leader arrived.
	lastHeartbeatAt time.Time
	// leaderWaitStart is the time from which the silence of the leader is counted. It
	// is reset when a heartbeat arrives or a new claim is read, and by postponeClaim.
	leaderWaitStart time.Time
	// takeOverRequests receives a value when another VM asks this one to lead: the
	// highest epoch that is known then. If another VM has claimed leadership since, the
	// request is obsolete.
	takeOverRequests chan int64
}

func newElection(n *Node) *election {
	return &election{node: n, processStart: now().UnixNano(), claimsEndOffset: -1, leaderWaitStart: now(), takeOverRequests: make(chan int64, 1)}
}

// run follows the claims in the store and claims leadership when another VM asks for
// it or no leader is heard.
func (e *election) run(ctx context.Context) {
	go followTopic(ctx, e.node, topicFollower{topic: store.Claims, wait: e.node.longPollWait, apply: e.applyClaims})
	for sleep(ctx, electionPollInterval) {
		select {
		case epoch := <-e.takeOverRequests:
			if !e.node.isStopping() {
				e.claimLeadership(ctx, epoch, "invited")
			}
			continue
		default:
		}
		if epoch := e.epoch(); e.shouldClaim(ctx) {
			e.claimLeadership(ctx, epoch, "no leader is heard")
		}
	}
}

// applyClaims processes claims that were read from the store. A claim with a higher
// epoch than the highest known one replaces it and stops the leader on this VM, if
// there is one.
func (e *election) applyClaims(records []store.Record) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.claimsEndOffset = max(e.claimsEndOffset, 0)
	for i := range records {
		r := &records[i]
		e.claimsEndOffset = max(e.claimsEndOffset, r.Offset+1)
		c, err := decodeClaim(r.Value)
		if err != nil {
			e.node.reportInvalidRecord("claim_unreadable", "key", store.Claims, r, err)
			continue
		}
		if c.Epoch > e.highestClaim.Epoch {
			e.highestClaim, e.leaderWaitStart = c, now()
			e.node.log.Info("leader_learned", "leader", c.Name, "epoch", c.Epoch, "process", c.ProcessStart)
			e.node.stepDownIfSuperseded(c.Epoch)
		}
	}
}

// recordHeartbeat records a heartbeat, unless it comes from a superseded leader, and
// returns the highest known epoch.
func (e *election) recordHeartbeat(a HeartbeatArgs) int64 {
	e.node.progressHistory.Merge(a.Stored, now())
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a.Epoch >= e.highestClaim.Epoch {
		if a.Epoch > e.highestClaim.Epoch {
			e.highestClaim = claim{Epoch: a.Epoch, Name: a.Leader, Address: a.Address, LeasesClosedSince: a.LeasesClosedSince}
			e.node.log.Info("leader_heard", "leader", a.Leader, "epoch", a.Epoch)
			e.node.stepDownIfSuperseded(a.Epoch)
		}
		if m, known := e.node.members.findByName(a.Leader); known && m.Domain != e.node.settings.Domain {
			e.node.isolation.recordContact()
		}
		e.lastHeartbeatAt = now()
		e.leaderWaitStart = e.lastHeartbeatAt
	}
	return e.highestClaim.Epoch
}

// heartbeatStatus returns the highest known epoch and the time since the last
// heartbeat.
func (e *election) heartbeatStatus() LastHeartbeatReply {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return LastHeartbeatReply{Epoch: e.highestClaim.Epoch, Ago: now().Sub(e.lastHeartbeatAt)}
}

// knownLeader returns the claim of the current leader, and false if no leader is
// known.
func (e *election) knownLeader() (claim, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.highestClaim, e.highestClaim.Name != ""
}

// requestTakeOver makes this VM claim leadership soon. It does not block.
func (e *election) requestTakeOver() {
	select {
	case e.takeOverRequests <- e.epoch():
	default:
	}
}

// claimRank returns how many VMs should claim leadership before this one, but at most
// maxClaimRank. Fitter VMs claim first; VMs of equal fitness are ordered by a hash that
// depends on the epoch. The previous leader does not count, unless it is this VM.
func (e *election) claimRank(epoch int64, leader string) int {
	self, _ := e.node.members.findByName(e.node.settings.Name)
	candidates := append(e.node.members.otherMembersWhere(func(m member) bool { return m.Name != leader }), self)
	order := func(m member) uint64 { return xxhash.Sum64String(m.Name) ^ uint64(epoch) }
	slices.SortFunc(candidates, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.Fitness, a.Fitness), cmp.Compare(order(a), order(b)))
	})
	position := slices.IndexFunc(candidates, func(m member) bool { return m.Name == self.Name })
	return min(position, maxClaimRank)
}

// shouldClaim reports whether this VM should claim leadership: it has heard no leader
// for long enough, and no VM that it reaches has heard one lately.
func (e *election) shouldClaim(ctx context.Context) bool {
	e.mutex.Lock()
	c, end, silence := e.highestClaim, e.claimsEndOffset, now().Sub(e.leaderWaitStart)
	e.mutex.Unlock()
	if end < 0 || e.node.isStopping() || e.node.activeLeader() != nil {
		return false
	}
	if c.Name == e.node.settings.Name && c.ProcessStart != 0 && c.ProcessStart != e.processStart && !e.node.members.hasMuchFitterVM() {
		return true // The claim belongs to an earlier process on this VM, which no longer runs.
	}
	if c.Epoch > 0 && silence < leaderTimeout {
		return false // The usual case; the rank among all VMs need not be determined.
	}
	own := candidacy{
		epoch: c.Epoch, leaderSilence: silence, storeReachableFor: e.node.store.reachableFor(now()),
		rank: e.claimRank(c.Epoch, c.Name), fitness: e.node.settings.Fitness, majoritySilent: e.majoritySilent(),
		muchFitterVM: e.node.members.hasMuchFitterVM(),
	}
	if !own.mayClaim() {
		return false
	}
	if c.Epoch > 0 && e.othersHearLeader(ctx, c) {
		e.postponeClaim()
		return false
	}
	return true
}

// candidacy holds the local information by which a VM decides whether to claim
// leadership.
type candidacy struct {
	// epoch is the highest known epoch, or 0 before the first claim.
	epoch int64
	// leaderSilence is the time since election.leaderWaitStart.
	leaderSilence time.Duration
	// storeReachableFor is how long the store has been directly reachable. It is
	// negative while the store is unreachable.
	storeReachableFor time.Duration
	// majoritySilent is true if most other VMs have recently not answered calls.
	majoritySilent bool
	// muchFitterVM is true if there is a VM that is much fitter than this one.
	muchFitterVM bool
	// rank is the number of VMs that should claim before this one.
	rank    int
	fitness float64
}

// mayClaim reports whether the VM may claim leadership now.
//
// A VM that was cut off has heard no leader for seconds. If it claimed as soon as the
// connection is back, before it hears the leader again, no task could be started during
// the needless take-over. It therefore does not claim while the store is unreachable.
// If most other VMs still count as silent, it also waits until the store has been
// reachable for minStoreReachableTime. Neither applies to the very first claim.
//
// After an outage of the store, the leader has been silent for so long that the rank
// delays no VM any more. A VM with a narrow link that claims then needs seconds to read
// the stored state, so it leaves a much fitter VM a head start.
func (c candidacy) mayClaim() bool {
	wait := leaderTimeout
	switch {
	case c.epoch == 0:
		wait = time.Duration(float64(maxFirstClaimDelay) * (1 - min(c.fitness, 1)))
	case c.storeReachableFor < 0, c.majoritySilent && c.storeReachableFor < minStoreReachableTime:
		return false
	case c.muchFitterVM && c.storeReachableFor < fitterVMHeadStart:
		return false
	}
	return c.leaderSilence >= wait+time.Duration(c.rank)*claimDelayPerRank
}

// majoritySilent reports whether most other VMs have recently not answered calls.
func (e *election) majoritySilent() bool {
	others := e.node.members.otherMembers()
	silent := 0
	for _, m := range others {
		if e.node.peerClient.IsPeerSilent(m.Address) {
			silent++
		}
	}
	return 2*silent > len(others)
}

// othersHearLeader asks the VMs other than the leader whether they have heard it within
// leaderTimeout, and reports whether one has. It does not wait for VMs that have
// recently not answered calls, unless these are at least half of the VMs asked.
func (e *election) othersHearLeader(ctx context.Context, c claim) bool {
	others := e.node.members.otherMembersWhere(func(m member) bool { return m.Name != c.Name })
	heard := make(chan bool, len(others))
	silent := 0
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	for _, m := range others {
		if e.node.peerClient.IsPeerSilent(m.Address) {
			silent++
		}
		go func() {
			r, err := link.Call[Nothing, LastHeartbeatReply](callCtx, e.node.peerClient, m.Address, "Heard", Nothing{})
			heard <- err == nil && r.Epoch >= c.Epoch && r.Ago < leaderTimeout
		}()
	}
	wait := len(others)
	if 2*silent < wait {
		wait -= silent
	}
	for range wait {
		if <-heard {
			return true
		}
	}
	return false
}

// epoch returns the highest known epoch.
func (e *election) epoch() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.highestClaim.Epoch
}

// claimLeadership stores a claim with the next epoch and starts to lead if that
// succeeds. It does nothing if this VM already leads, or if an epoch higher than
// epochAtDecision has become known since the decision to claim.
func (e *election) claimLeadership(ctx context.Context, epochAtDecision int64, reason string) {
	if e.node.activeLeader() != nil {
		return
	}
	e.mutex.Lock()
	if e.highestClaim.Epoch != epochAtDecision {
		e.mutex.Unlock()
		return
	}
	c := claim{Epoch: e.highestClaim.Epoch + 1, Name: e.node.settings.Name, Address: e.node.settings.ListenAddress, ProcessStart: e.processStart}
	if c.LeasesClosedSince = e.highestClaim.LeasesClosedSince; c.LeasesClosedSince == 0 {
		c.LeasesClosedSince = c.Epoch // The last leader was of an earlier build, or there was none.
	}
	end := e.claimsEndOffset
	e.mutex.Unlock()
	value, _ := json.Marshal(c)
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := e.node.store.Append(callCtx, store.Append{
		Topic: store.Claims, Records: []store.Record{{Key: leaderClaimKey, Value: value}}, Condition: store.Condition{Set: true, End: end},
	})
	if err != nil {
		e.node.log.Info("claim_failed", "epoch", c.Epoch, "reason", reason, "error", err.Error())
		// The claim may be stored although the append failed; reading the topic shows it.
		if batch, err := e.node.store.Read(callCtx, store.Read{Topic: store.Claims, From: end}); err == nil {
			e.applyClaims(batch.Records)
		}
		e.postponeClaim()
		if known, _ := e.knownLeader(); known != c {
			return
		}
	}
	e.mutex.Lock()
	if c.Epoch >= e.highestClaim.Epoch {
		e.highestClaim, e.claimsEndOffset = c, max(e.claimsEndOffset, end+1)
	}
	e.leaderWaitStart = now()
	e.mutex.Unlock()
	e.node.log.Info("claim_gained", "epoch", c.Epoch, "process", c.ProcessStart, "reason", reason)
	l := newLeader(ctx, e.node, c.Epoch)
	l.leasesClosedSince = c.LeasesClosedSince
	e.node.swapLeader(nil, l)
	go l.run()
}

// postponeClaim restarts the wait for the leader, but counts half of leaderTimeout as
// already passed.
func (e *election) postponeClaim() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaderWaitStart = now().Add(-leaderTimeout / 2)
}

// handOverLeadership asks the other VMs, one after the other, to take over the leadership,
// until one accepts. It sorts the list: fitter VMs come first. Among VMs of equal fitness,
// the one that started last comes first: in a rolling replacement it has already been
// replaced and does not stop again soon.
func (e *election) handOverLeadership(ctx context.Context, others []member) {
	slices.SortStableFunc(others, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.Fitness, a.Fitness), cmp.Compare(b.Started, a.Started))
	})
	for _, m := range others {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_, err := link.Call[Nothing, Nothing](callCtx, e.node.peerClient, m.Address, "TakeOver", Nothing{})
		cancel()
		if err == nil {
			e.node.log.Info("cell_handed_over", "vm", m.Name)
			return
		}
	}
	e.node.log.Info("cell_not_handed_over", "asked", len(others))
}
