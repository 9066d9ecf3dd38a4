package entryvm

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/link"
)

// handOverCandidates returns the VMs that should lead instead of this one, if any. It considers
// only VMs that answer heartbeats and reach the store directly. If this VM has not
// reached the store directly for handOverWithoutStoreDelay, it returns all of them.
// Otherwise it returns those that are much fitter than this VM, but only after
// handOverToFitterVMDelay. Both delays are also counted from handOverTimerStart.
func (l *leader) handOverCandidates(at time.Time) []member {
	l.mutex.Lock()
	names := l.reachableVMs(at)
	vmReachesStore := maps.Clone(l.vmReachesStore)
	l.mutex.Unlock()
	others := l.node.members.otherMembersWhere(func(m member) bool { return slices.Contains(names, m.Name) && vmReachesStore[m.Name] })
	switch sinceTimerStart := at.Sub(l.handOverTimerStart); {
	case l.node.store.reachableFor(at) < -handOverWithoutStoreDelay && sinceTimerStart > handOverWithoutStoreDelay:
		return others
	case sinceTimerStart > handOverToFitterVMDelay:
		return slices.DeleteFunc(others, func(m member) bool { return m.Fitness <= muchFitterRatio*l.node.settings.Fitness })
	}
	return nil
}

// reachableVMs returns the names of this VM and of the entry VMs that answered a
// heartbeat within leaderTimeout. The caller must hold the mutex.
func (l *leader) reachableVMs(at time.Time) []string {
	names := []string{l.node.settings.Name}
	for name, answered := range l.lastHeartbeatAnswer {
		if at.Sub(answered) < leaderTimeout {
			names = append(names, name)
		}
	}
	return names
}

// sendHeartbeats sends heartbeats to the other entry VMs until the leader is stopped.
func (l *leader) sendHeartbeats() {
	for {
		for _, m := range l.node.members.otherMembers() {
			go l.sendHeartbeat(m)
		}
		l.node.election.recordHeartbeat(HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Address: l.node.settings.ListenAddress})
		if !sleep(l.ctx, heartbeatInterval) {
			return
		}
	}
}

// historyInterval is the shortest time between two heartbeats to a VM that carry the whole history.
// In the first newLeaderPeriod of a leader all of them do, since it may not lead for long.
const (
	historyInterval = time.Second
	newLeaderPeriod = 2 * time.Second
)

// isHistoryDue reports whether the next heartbeat to a VM carries the whole history.
func (l *leader) isHistoryDue(vm string, at time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at.Sub(l.claimedAt) >= newLeaderPeriod && at.Sub(l.historySentAt[vm]) < historyInterval {
		return false
	}
	l.historySentAt[vm] = at
	return true
}

// sendHeartbeat sends one heartbeat to a VM and records the answer. The leader stops if
// the VM knows a higher epoch. Otherwise it starts to send the configuration if the VM
// has an older one and shouldSend allows it.
func (l *leader) sendHeartbeat(m member) {
	ctx, cancel := context.WithTimeout(l.ctx, leaderTimeout)
	defer cancel()
	args := HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Address: l.node.settings.ListenAddress, Version: l.node.configuration.currentVersion(), LeasesClosedSince: l.leasesClosedSince}
	args.Stored = l.node.progressHistory.Latest(now())
	if l.isHistoryDue(m.Name, now()) {
		args.Stored = l.node.progressHistory.Points(now())
	}
	r, err := link.Call[HeartbeatArgs, HeartbeatReply](ctx, l.node.peerClient, m.Address, "Heartbeat", args)
	if err != nil {
		return
	}
	if r.Epoch > l.epoch {
		l.node.stepDownIfSuperseded(r.Epoch)
		return
	}
	l.mutex.Lock()
	l.lastHeartbeatAnswer[m.Name], l.vmReachesStore[m.Name] = now(), r.ReachesStore
	send := l.outdatedVMs.shouldSend(m.Name, r.Version < args.Version, now())
	fetch := l.newerVersion.shouldFetch(r.Version, args.Version, now())
	l.mutex.Unlock()
	if fetch {
		l.node.log.Info("configuration_behind", "vm", m.Name, "version", args.Version, "newer", r.Version)
		go l.fetchConfiguration(m)
	}
	if send {
		go l.sendConfiguration(m)
	}
}

// configurationFetchDelay is how long another VM must have had a newer configuration before
// the leader fetches it from there. A leader whose reads do not hang has it by then.
const configurationFetchDelay = 200 * time.Millisecond

// newerVersionTracker tracks whether other VMs have a newer configuration than the leader.
type newerVersionTracker struct {
	// own is the leader's version at which a newer one was noticed, and since is when.
	own   int64
	since time.Time
	// fetching is true while the configuration is fetched from a VM.
	fetching bool
}

// shouldFetch records the version of another VM beside the leader's own and reports whether
// the configuration must be fetched from that VM now. If so, it sets fetching.
func (t *newerVersionTracker) shouldFetch(version, own int64, at time.Time) bool {
	if version <= own || t.fetching {
		return false
	}
	if t.since.IsZero() || t.own != own {
		t.own, t.since = own, at
		return false
	}
	t.fetching = at.Sub(t.since) >= configurationFetchDelay
	return t.fetching
}

// fetchConfiguration fetches the configuration of another VM and applies it if it is newer.
func (l *leader) fetchConfiguration(m member) {
	l.node.configuration.fetch(l.ctx, m.Name, m.Address)
	l.mutex.Lock()
	l.newerVersion = newerVersionTracker{}
	l.mutex.Unlock()
}

const (
	// configurationSendDelay is how long a VM must have an outdated configuration before
	// the leader sends it the current one. A VM that reaches the store reads the
	// configuration by itself in that time.
	configurationSendDelay = 600 * time.Millisecond
	// configurationSendTimeout limits sending a configuration, possibly over a slow link.
	configurationSendTimeout = 3 * time.Second
	// maxConcurrentConfigurationSends limits the number of VMs that the configuration
	// is sent to at the same time, to keep the leader's network link usable.
	maxConcurrentConfigurationSends = 6
)

// outdatedVMTracker tracks the entry VMs whose configuration is older than the leader's.
type outdatedVMTracker struct {
	// outdatedSince maps the name of each outdated VM to the time at which the leader
	// first noticed that its configuration is outdated.
	outdatedSince map[string]time.Time
	// sendingTo holds the names of the VMs that the configuration is being sent to.
	sendingTo map[string]bool
}

func newOutdatedVMTracker() *outdatedVMTracker {
	return &outdatedVMTracker{map[string]time.Time{}, map[string]bool{}}
}

// shouldSend records whether a VM is outdated and reports whether the configuration
// must be sent to it now. If so, it adds the VM to sendingTo.
//
// Sending a large configuration over a slow network link takes a long time. If a VM
// were sent it while it reads it from the store, or were sent it several times, the same
// text would cross its link again and again. The leader therefore does not send it to a
// VM that may still be reading it or is already receiving it, and sends it to at most
// maxConcurrentConfigurationSends VMs at a time.
func (o *outdatedVMTracker) shouldSend(name string, outdated bool, at time.Time) bool {
	if !outdated {
		delete(o.outdatedSince, name)
		return false
	}
	since, known := o.outdatedSince[name]
	if !known {
		o.outdatedSince[name] = at
		return false
	}
	if at.Sub(since) < configurationSendDelay || o.sendingTo[name] || len(o.sendingTo) >= maxConcurrentConfigurationSends {
		return false
	}
	o.sendingTo[name] = true
	return true
}

// sent records that sending to a VM has ended, and returns the VM that must be sent the
// configuration next, the one that has been outdated the longest. ok is false if there is
// none. Whether or not the configuration has arrived, the VM counts as up to date until it
// answers a heartbeat: it may have ended.
func (o *outdatedVMTracker) sent(name string, at time.Time) (next string, ok bool) {
	delete(o.sendingTo, name)
	delete(o.outdatedSince, name)
	for n, since := range o.outdatedSince {
		if o.sendingTo[n] || at.Sub(since) < configurationSendDelay {
			continue
		}
		if !ok || cmp.Or(since.Compare(o.outdatedSince[next]), strings.Compare(n, next)) < 0 {
			next, ok = n, true
		}
	}
	if ok {
		o.sendingTo[next] = true
	}
	return next, ok
}

// sendConfiguration sends the current configuration to an outdated VM, and then to further
// ones, one after the other.
func (l *leader) sendConfiguration(m member) {
	ctx, cancel := context.WithTimeout(l.ctx, configurationSendTimeout)
	defer cancel()
	table := l.node.configuration.currentTable()
	_, err := link.Call[ConfigurationArgs, Nothing](ctx, l.node.peerClient, m.Address, "Table", ConfigurationArgs{Version: table.Version, Text: compress(table.Text)})
	l.node.log.Info("configuration_told", "vm", m.Name, "version", table.Version, "told", err == nil)
	l.mutex.Lock()
	name, ok := l.outdatedVMs.sent(m.Name, now())
	l.mutex.Unlock()
	for ok && l.ctx.Err() == nil {
		if next, known := l.node.members.findByName(name); known {
			go l.sendConfiguration(next)
			return
		}
		l.mutex.Lock()
		name, ok = l.outdatedVMs.sent(name, now())
		l.mutex.Unlock()
	}
}

// compress compresses the text of a configuration with gzip.
func compress(text []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(text) // A bytes.Buffer never returns an error.
	_ = w.Close()
	return b.Bytes()
}

// maxConfigurationSize limits the uncompressed size of a configuration in bytes.
const maxConfigurationSize = 16 << 20

// noSizeLimit is for data that this system has compressed itself.
const noSizeLimit = math.MaxInt64 - 1

// decompress is the inverse of compress. A text of more than maxBytes is an error; it is not
// cut off.
func decompress(data []byte, maxBytes int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		return nil, fault.Newf("decompress", KindTooLarge, "the text has more than %d bytes", maxBytes)
	}
	return text, err
}
