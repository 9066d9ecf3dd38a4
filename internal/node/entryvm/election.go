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

	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// heartbeatInterval is the pause between a leader's heartbeats.
	heartbeatInterval = 250 * time.Millisecond
	// leaderSilence is how long a leader must be silent before another VM tries
	// to lead: three heartbeats and some delay.
	leaderSilence = 900 * time.Millisecond
	// rankPause is added for each VM that tries first, so that two seldom try
	// at once.
	rankPause = 200 * time.Millisecond
	// mostRank bounds the wait for others to try first.
	mostRank = 8
	// firstWait is how long the least fit VM waits before the very first claim, so
	// that others go first.
	firstWait = 500 * time.Millisecond
	// storeSettled is how long the store must answer this VM before it tries to
	// lead: a VM that was cut off hears the leader again within two heartbeats.
	storeSettled = 2*heartbeatInterval + 100*time.Millisecond
	// electionPoll is the pause between checks of the leader.
	electionPoll = 100 * time.Millisecond
	// askTimeout bounds the question to other VMs whether they hear the leader.
	askTimeout = 300 * time.Millisecond
	// claimKey is the key of the claim in its topic.
	claimKey = "leader"
)

// claim tells who leads. A higher epoch replaces a lower one.
type claim struct {
	Epoch   int64          `json:"epoch"`
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// Process tells lives of a VM apart: its start in Unix nanoseconds.
	Process int64 `json:"process"`
}

// election finds out who leads, and tries to lead when nobody does.
type election struct {
	node    *Node
	process int64
	mutex   sync.Mutex
	claim   claim
	// end is where the topic of claims ends; -1 while it is not known.
	end int64
	// beatAt is when the leader's last heartbeat arrived.
	beatAt time.Time
	// waitFrom is when the wait for a sign of the leader began.
	waitFrom time.Time
	invited  chan struct{}
}

func newElection(n *Node) *election {
	return &election{node: n, process: now().UnixNano(), end: -1, waitFrom: now(), invited: make(chan struct{}, 1)}
}

func (e *election) run(ctx context.Context) {
	go follow(ctx, e.node, store.Claims, always(followWait), e.apply)
	for pause(ctx, electionPoll) {
		select {
		case <-e.invited:
			if !e.node.isLeaving() {
				e.lead(ctx, e.epoch(), "invited")
			}
			continue
		default:
		}
		if epoch := e.epoch(); e.shouldTry(ctx) {
			e.lead(ctx, epoch, "no leader is heard")
		}
	}
}

// apply notes the claims that were recorded.
func (e *election) apply(records []store.Record) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.end = max(e.end, 0)
	for i := range records {
		r := &records[i]
		e.end = max(e.end, r.Offset+1)
		var c claim
		if err := json.Unmarshal(r.Value, &c); err != nil {
			e.node.log.Info("claim_unreadable", "key", r.Key)
			continue
		}
		if c.Epoch > e.claim.Epoch {
			e.claim, e.waitFrom = c, now()
			e.node.log.Info("leader_learned", "leader", c.Name, "epoch", c.Epoch)
			e.node.deposed(c.Epoch)
		}
	}
}

// heard notes a heartbeat and returns the highest epoch known.
func (e *election) heard(a HeartbeatArgs) int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a.Epoch >= e.claim.Epoch {
		if a.Epoch > e.claim.Epoch {
			e.claim = claim{Epoch: a.Epoch, Name: a.Leader, Address: a.Address}
			e.node.log.Info("leader_heard", "leader", a.Leader, "epoch", a.Epoch)
			e.node.deposed(a.Epoch)
		}
		if m, known := e.node.members.find(a.Leader); known && m.Domain != e.node.settings.Domain {
			e.node.isolation.heard()
		}
		e.beatAt = now()
		e.waitFrom = e.beatAt
	}
	return e.claim.Epoch
}

func (e *election) lastHeard() HeardReply {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return HeardReply{Epoch: e.claim.Epoch, Ago: now().Sub(e.beatAt)}
}

// leader returns who leads, as far as is known.
func (e *election) leader() (claim, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.claim, e.claim.Name != ""
}

func (e *election) invite() {
	select {
	case e.invited <- struct{}{}:
	default:
	}
}

// rank is the place of this VM among those that may follow the leader, the fittest
// first.
func (e *election) rank(epoch int64, leader string) int {
	self, _ := e.node.members.find(e.node.settings.Name)
	candidates := append(e.node.members.others(), self)
	candidates = slices.DeleteFunc(candidates, func(m member) bool { return m.Name == leader && m.Name != self.Name })
	order := func(m member) uint64 { return xxhash.Sum64String(m.Name) ^ uint64(epoch) }
	slices.SortFunc(candidates, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.Fitness, a.Fitness), cmp.Compare(order(a), order(b)))
	})
	place := slices.IndexFunc(candidates, func(m member) bool { return m.Name == self.Name })
	return min(place, mostRank)
}

// shouldTry reports whether this VM should try to lead: it has heard no leader
// for a while, and no VM that it reaches has.
func (e *election) shouldTry(ctx context.Context) bool {
	e.mutex.Lock()
	c, end, silence := e.claim, e.end, now().Sub(e.waitFrom)
	e.mutex.Unlock()
	if end < 0 || e.node.isLeaving() || e.node.leading() != nil {
		return false
	}
	if c.Name == e.node.settings.Name && c.Process != 0 && c.Process != e.process && !e.node.members.anyFitter() {
		return true // An earlier life of this VM held the claim and is over.
	}
	v := candidacy{
		epoch: c.Epoch, silence: silence, reached: e.node.store.reached(now()),
		rank: e.rank(c.Epoch, c.Name), fitness: e.node.settings.Fitness, mostSilent: e.mostSilent(),
	}
	if !v.due() {
		return false
	}
	if c.Epoch > 0 && e.othersHear(ctx, c) {
		e.waitAgain()
		return false
	}
	return true
}

// candidacy is what a VM goes by when it considers to lead.
type candidacy struct {
	// epoch is the highest known; 0 before the first claim.
	epoch int64
	// silence is the time since the last sign of the leader.
	silence time.Duration
	// reached is for how long the store has answered this VM; negative while it
	// does not.
	reached time.Duration
	// mostSilent tells that most other VMs left calls without an answer lately.
	mostSilent bool
	// rank is the number of VMs that are to try first.
	rank    int
	fitness float64
}

// due reports whether the VM should try to lead now.
//
// It answers the end of a cut: VMs that were cut off have heard no leader for
// seconds, and one that claims before it hears the leader again stops all starts
// for the time of a take-over.
func (c candidacy) due() bool {
	wait := leaderSilence
	switch {
	case c.epoch == 0:
		wait = time.Duration(float64(firstWait) * (1 - min(c.fitness, 1)))
	case c.reached < 0, c.mostSilent && c.reached < storeSettled:
		return false
	}
	return c.silence >= wait+time.Duration(c.rank)*rankPause
}

// mostSilent reports whether most other VMs left calls without an answer lately.
func (e *election) mostSilent() bool {
	others := e.node.members.others()
	silent := 0
	for _, m := range others {
		if e.node.client.Silent(m.Address) {
			silent++
		}
	}
	return 2*silent > len(others)
}

// othersHear reports whether another VM than the leader has heard it lately. It asks
// those that answer; when these are a majority of all, the others are not waited
// for.
func (e *election) othersHear(ctx context.Context, c claim) bool {
	others := slices.DeleteFunc(e.node.members.others(), func(m member) bool { return m.Name == c.Name })
	heard := make(chan bool, len(others))
	silent := 0
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, m := range others {
		if e.node.client.Silent(m.Address) {
			silent++
		}
		go func() {
			r, err := link.Call[Nothing, HeardReply](call, e.node.client, m.Address, "Heard", Nothing{})
			heard <- err == nil && r.Epoch >= c.Epoch && r.Ago < leaderSilence
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

// epoch returns the highest epoch known.
func (e *election) epoch() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.claim.Epoch
}

// lead claims the cell and begins to lead it, unless another claim was learned
// since the decision for it.
func (e *election) lead(ctx context.Context, decided int64, why string) {
	if e.node.leading() != nil {
		return
	}
	e.mutex.Lock()
	if e.claim.Epoch != decided {
		e.mutex.Unlock()
		return
	}
	c := claim{Epoch: e.claim.Epoch + 1, Name: e.node.settings.Name, Address: e.node.settings.Peers, Process: e.process}
	end := e.end
	e.mutex.Unlock()
	value, _ := json.Marshal(c)
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := e.node.store.Append(call, store.Append{
		Topic: store.Claims, Records: []store.Record{{Key: claimKey, Value: value}}, Condition: store.Condition{Set: true, End: end},
	})
	if err != nil {
		e.node.log.Info("claim_failed", "epoch", c.Epoch, "reason", why, "error", err.Error())
		// The claim may be stored all the same; the topic tells.
		if batch, err := e.node.store.Read(call, store.Read{Topic: store.Claims, From: end}); err == nil {
			e.apply(batch.Records)
		}
		e.waitAgain()
		if known, _ := e.leader(); known.Process != e.process || known.Epoch != c.Epoch {
			return
		}
	}
	e.mutex.Lock()
	if c.Epoch >= e.claim.Epoch {
		e.claim, e.end = c, max(e.end, end+1)
	}
	e.waitFrom = now()
	e.mutex.Unlock()
	e.node.log.Info("claim_gained", "epoch", c.Epoch, "reason", why)
	l := newLeader(ctx, e.node, c.Epoch)
	e.node.setLead(nil, l)
	go l.run()
}

// waitAgain puts the next try to lead off.
func (e *election) waitAgain() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.waitFrom = now().Add(-leaderSilence / 2)
}

// handOver asks one of the other VMs to lead: of the fittest, first the one that was
// started last, since VMs are often replaced in turn and that one has had its turn.
func (e *election) handOver(ctx context.Context, others []member) {
	slices.SortStableFunc(others, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.Fitness, a.Fitness), cmp.Compare(b.Started, a.Started))
	})
	for _, m := range others {
		call, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := link.Call[Nothing, Nothing](call, e.node.client, m.Address, "TakeOver", Nothing{})
		cancel()
		if err == nil {
			e.node.log.Info("cell_handed_over", "vm", m.Name)
			return
		}
	}
	e.node.log.Info("cell_not_handed_over", "asked", len(others))
}
