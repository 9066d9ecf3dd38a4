package entryvm

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/almondpost/almondpost/internal/peer/link"
	"github.com/almondpost/almondpost/internal/peer/store"
)

const (
	// configurationCheckInterval is the pause between two checks whether the configuration
	// was lately compared with the store.
	configurationCheckInterval = 250 * time.Millisecond
	// maxStoreCheckAge is the age of the last comparison with the store from which other
	// VMs are asked for their versions and the store is asked over another connection. It
	// is above the age that a read with configurationPollWait reaches on a slow VM.
	maxStoreCheckAge = 1300 * time.Millisecond
	// configurationReadTimeout limits a read of the configuration over another connection,
	// and versionCallTimeout a question for the version of another VM. After a read without
	// an answer, the next one uses a new connection.
	configurationReadTimeout = 800 * time.Millisecond
	versionCallTimeout       = 600 * time.Millisecond
	// fastConfigurationReads is the number of failed reads over another connection after
	// which there is a pause of slowConfigurationReadPause before each further one. A large
	// configuration may just be arriving over a slow network link, and each read would
	// transfer it once more.
	fastConfigurationReads     = 2
	slowConfigurationReadPause = 3 * time.Second
	// versionPeers is the number of VMs, besides the leader, that are asked for their
	// versions at a time. With two, a version that a single VM has read reaches nine VMs
	// in about three rounds although no VM leads.
	versionPeers = 2
	// maxConfigurationAge is the age of the last comparison with the store or another
	// failure domain above which callers are refused, since the configuration may have been
	// replaced. Operators expect every VM to apply a configuration within 3 s; the rest is
	// for a request that is just being answered.
	maxConfigurationAge = 2800 * time.Millisecond
)

// ConfigurationConfirmed reports whether this VM knows that its configuration is the newest
// or was replaced only lately. If it returns false, callers must not be answered by the
// configuration: a key in it may have been withdrawn, and a key that it lacks may have been
// added. It is always true without Settings.TeamKeys, and for a VM that knows of no other.
func (n *Node) ConfigurationConfirmed() bool {
	if !n.settings.TeamKeys {
		return true
	}
	if n.isolation.isolated.Load() {
		return false
	}
	c := n.configuration
	c.mutex.Lock()
	age := min(now().Sub(c.storeCheckedAt), now().Sub(c.peersCheckedAt))
	c.mutex.Unlock()
	return age <= maxConfigurationAge || len(c.versionSources()) == 0
}

// checkPeriodically compares the configuration with the store and with other VMs, until ctx
// is done, while the reads that wait for a new one get no answers. The store may fail this
// VM, or only the connection of these reads.
func (c *configurationWatcher) checkPeriodically(ctx context.Context) {
	started := now()
	confirmed := true
	for sleep(ctx, configurationCheckInterval) {
		if table := c.currentTable(); table != nil && c.node.ConfigurationConfirmed() != confirmed {
			confirmed = !confirmed
			c.node.log.Info("configuration_confirmation_changed", "confirmed", confirmed, "version", table.Version)
		}
		c.mutex.Lock()
		age := min(now().Sub(c.storeCheckedAt), now().Sub(started))
		c.mutex.Unlock()
		if age <= maxStoreCheckAge {
			continue
		}
		if c.checkingStore.CompareAndSwap(false, true) {
			go c.checkStore(ctx)
		}
		if c.checkingPeers.CompareAndSwap(false, true) {
			go c.checkPeers(ctx)
		}
	}
}

// checkStore reads what was stored since the last read, if there was one.
func (c *configurationWatcher) checkStore(ctx context.Context) {
	defer c.checkingStore.Store(false)
	c.mutex.Lock()
	from, failures := c.nextOffset, c.failedStoreChecks
	c.mutex.Unlock()
	if from < 0 || failures >= fastConfigurationReads && !sleep(ctx, slowConfigurationReadPause) {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, configurationReadTimeout)
	defer cancel()
	begun := now()
	batch, err := readFrom(readCtx, c.node.store, store.Read{Topic: store.Configuration, From: from})
	if err != nil { // followTopic logs failures, and reads a snapshot if records were dropped.
		c.mutex.Lock()
		c.failedStoreChecks++
		c.mutex.Unlock()
		return
	}
	c.applyRecords(batch.Records)
	c.recordStoreRead(batch, begun)
}

// versionSource is a VM that is asked for the version of its configuration.
type versionSource struct {
	name    string
	address netip.AddrPort
	// confirms is true if an equal version of this VM confirms the own one: a VM of the
	// same failure domain may be cut off together with this one.
	confirms bool
}

// versionSources returns the leader and up to versionPeers other VMs, preferably of other
// failure domains. It is empty if this VM knows of no other.
func (c *configurationWatcher) versionSources() []versionSource {
	n := c.node
	others := n.members.otherMembersWhere(func(m member) bool { return m.Domain != n.settings.Domain })
	otherDomains := len(others) > 0
	if !otherDomains {
		others = append(others, n.members.otherMembers()...)
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var sources []versionSource
	if leader, known := n.election.knownLeader(); known && leader.Name != n.settings.Name {
		m, listed := n.members.findByName(leader.Name)
		// A VM that has just started may know the leader by its heartbeats alone.
		sources = append(sources, versionSource{leader.Name, leader.Address, !otherDomains || listed && m.Domain != n.settings.Domain})
	}
	for _, m := range others {
		if len(sources) > versionPeers {
			break
		}
		sources = append(sources, versionSource{m.Name, m.Address, true})
	}
	return sources
}

// checkPeers compares the configuration with those of other VMs, and fetches one that is
// newer. It returns when all VMs have answered or their time is over.
func (c *configurationWatcher) checkPeers(ctx context.Context) {
	defer c.checkingPeers.Store(false)
	callCtx, cancel := context.WithTimeout(ctx, versionCallTimeout)
	defer cancel()
	sources := c.versionSources()
	done := make(chan struct{}, len(sources))
	for _, s := range sources {
		go func() {
			defer func() { done <- struct{}{} }()
			c.checkPeer(ctx, callCtx, s)
		}()
	}
	for range sources {
		<-done
	}
}

// checkPeer compares the configuration with that of another VM. callCtx limits the question,
// and ctx is done when the node is closed.
func (c *configurationWatcher) checkPeer(ctx, callCtx context.Context, s versionSource) {
	begun := now()
	r, err := link.Call[Nothing, LastHeartbeatReply](callCtx, c.node.peerClient, s.address, "Heard", Nothing{})
	if err != nil {
		return
	}
	if r.Version > c.currentVersion() && c.fetching.CompareAndSwap(false, true) {
		c.fetch(ctx, s.name, s.address)
		c.fetching.Store(false)
	}
	if !s.confirms || r.Version > c.currentVersion() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if begun.After(c.peersCheckedAt) {
		c.peersCheckedAt = begun
	}
}

// fetch fetches the configuration of another VM and applies it if it is newer. A VM of an
// earlier build does not return it.
func (c *configurationWatcher) fetch(ctx context.Context, name string, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, configurationSendTimeout)
	defer cancel()
	r, err := link.Call[Nothing, ConfigurationArgs](ctx, c.node.peerClient, address, "Configuration", Nothing{})
	if err == nil {
		err = c.applyCompressed(r)
	}
	if err != nil {
		c.node.log.Info("configuration_not_fetched", "vm", name, "error", err.Error())
	}
}
