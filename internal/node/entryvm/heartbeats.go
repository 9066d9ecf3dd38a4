package entryvm

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/almondpost/almondpost/internal/peer/link"
)

// successors returns the VMs that should lead instead of this one, if any. Candidates
// are the VMs that answer heartbeats and reach the store directly. All of them are
// successors if this VM has not reached the store directly for yieldWithoutStoreAfter;
// after yieldToFitterAfter, those that are much fitter are.
func (l *leader) successors(at time.Time) []member {
	l.mutex.Lock()
	names := l.reachableVMs(at)
	reachesStore := maps.Clone(l.reachesStore)
	l.mutex.Unlock()
	others := slices.DeleteFunc(l.node.members.others(), func(m member) bool { return !slices.Contains(names, m.Name) || !reachesStore[m.Name] })
	switch leadingFor := at.Sub(l.leadingSince); {
	case l.node.store.reachableFor(at) < -yieldWithoutStoreAfter && leadingFor > yieldWithoutStoreAfter:
		return others
	case leadingFor > yieldToFitterAfter:
		return slices.DeleteFunc(others, func(m member) bool { return m.Fitness <= fitterFactor*l.node.settings.Fitness })
	}
	return nil
}

// reachableVMs returns the names of this VM and of the entry VMs that answered a
// heartbeat within leaderTimeout. The caller must hold the mutex.
func (l *leader) reachableVMs(at time.Time) []string {
	names := []string{l.node.settings.Name}
	for name, answered := range l.lastAnswer {
		if at.Sub(answered) < leaderTimeout {
			names = append(names, name)
		}
	}
	return names
}

// hasQuorum reports whether most other entry VMs answered a heartbeat within
// leaderTimeout, so that no other VM can have become leader. The caller must hold the
// mutex.
//
// With a quorum, the leader reports jobs as completed before that is stored, so that
// an outage of the store does not make callers miss their deadlines. Without one it
// may be cut off, and reports only stored states.
func (l *leader) hasQuorum(at time.Time) bool {
	others := len(l.node.members.others())
	return 2*(len(l.reachableVMs(at))-1) > others || others == 0
}

// sendHeartbeats sends heartbeats to the other entry VMs until the leader is stopped.
func (l *leader) sendHeartbeats() {
	for {
		for _, m := range l.node.members.others() {
			go l.sendHeartbeat(m)
		}
		l.node.election.recordHeartbeat(HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Address: l.node.settings.ListenAddress})
		if !sleep(l.ctx, heartbeatInterval) {
			return
		}
	}
}

// sendHeartbeat sends one heartbeat to a VM and records the answer. It starts sending
// the configuration if the VM needs it.
func (l *leader) sendHeartbeat(m member) {
	ctx, cancel := context.WithTimeout(l.ctx, leaderTimeout)
	defer cancel()
	args := HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Address: l.node.settings.ListenAddress, Version: l.node.configuration.version()}
	r, err := link.Call[HeartbeatArgs, HeartbeatReply](ctx, l.node.client, m.Address, "Heartbeat", args)
	if err != nil {
		return
	}
	l.mutex.Lock()
	l.lastAnswer[m.Name], l.reachesStore[m.Name] = now(), r.ReachesStore
	send := l.outdated.shouldSend(m.Name, r.Version < args.Version, now())
	l.mutex.Unlock()
	if send {
		go l.sendConfiguration(m)
	}
}

const (
	// sendConfigurationAfter is how long a VM must have an outdated configuration before
	// the leader sends it the current one. A VM that reaches the store reads the
	// configuration by itself in that time.
	sendConfigurationAfter = 600 * time.Millisecond
	// sendConfigurationTimeout limits sending a configuration, possibly over a slow link.
	sendConfigurationTimeout = 3 * time.Second
	// maxConfigurationSends limits the configurations that are sent at the same time, to
	// keep the leader's link usable.
	maxConfigurationSends = 6
)

// outdatedVMs tracks the entry VMs whose configuration is older than the leader's.
type outdatedVMs struct {
	// outdatedSince is when each outdated VM was first seen to be outdated.
	outdatedSince map[string]time.Time
	// sending holds the VMs that the configuration is being sent to.
	sending map[string]bool
}

func newOutdatedVMs() *outdatedVMs { return &outdatedVMs{map[string]time.Time{}, map[string]bool{}} }

// shouldSend records whether a VM is outdated and reports whether the configuration
// must be sent to it now. If so, it adds the VM to sending.
//
// A large configuration takes a long time over a slow link. A VM is therefore not sent
// one that it may still be reading from the store or receiving already.
func (o *outdatedVMs) shouldSend(name string, outdated bool, at time.Time) bool {
	if !outdated {
		delete(o.outdatedSince, name)
		return false
	}
	since, known := o.outdatedSince[name]
	if !known {
		o.outdatedSince[name] = at
		return false
	}
	if at.Sub(since) < sendConfigurationAfter || o.sending[name] || len(o.sending) >= maxConfigurationSends {
		return false
	}
	o.sending[name] = true
	return true
}

// sendConfiguration sends the current configuration to an outdated VM.
func (l *leader) sendConfiguration(m member) {
	ctx, cancel := context.WithTimeout(l.ctx, sendConfigurationTimeout)
	defer cancel()
	table := l.node.configuration.current()
	_, err := link.Call[TableArgs, Nothing](ctx, l.node.client, m.Address, "Table", TableArgs{Version: table.Version, Text: compress(table.Text)})
	l.node.log.Info("configuration_told", "vm", m.Name, "version", table.Version, "told", err == nil)
	l.mutex.Lock()
	delete(l.outdated.sending, m.Name)
	l.mutex.Unlock()
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

// decompress is the inverse of compress. It cuts the text off at maxConfigurationSize.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxConfigurationSize))
}
