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

// successors lists the VMs that should lead instead of this one: those that reach the
// store while this one does not, or much fitter ones.
func (l *leader) successors(at time.Time) []member {
	l.mutex.Lock()
	names := l.reachable(at)
	reaching := maps.Clone(l.reaching)
	l.mutex.Unlock()
	others := slices.DeleteFunc(l.node.members.others(), func(m member) bool { return !slices.Contains(names, m.Name) || !reaching[m.Name] })
	switch led := at.Sub(l.began); {
	case l.node.store.reached(at) < -lostAfter && led > lostAfter:
		return others
	case led > yieldAfter:
		return slices.DeleteFunc(others, func(m member) bool { return m.Fitness <= fitterFactor*l.node.settings.Fitness })
	}
	return nil
}

// reachable lists the entry VMs that answer. The caller holds the lock.
func (l *leader) reachable(at time.Time) []string {
	names := []string{l.node.settings.Name}
	for name, answered := range l.answered {
		if at.Sub(answered) < leaderSilence {
			names = append(names, name)
		}
	}
	return names
}

// leadsAlone reports whether most other entry VMs have just answered a heartbeat, so
// that none of them can have begun to lead. The caller holds the lock.
//
// It answers an outage of the store: what ends meanwhile is shown to callers at once,
// and not when it is too late for them. A leader that is cut off shows only what is
// stored.
func (l *leader) leadsAlone(at time.Time) bool {
	others := len(l.node.members.others())
	return 2*(len(l.reachable(at))-1) > others || others == 0
}

// beat tells the other entry VMs that this one leads.
func (l *leader) beat() {
	for {
		for _, m := range l.node.members.others() {
			go l.beatTo(m)
		}
		l.node.election.heard(HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Address: l.node.settings.Peers})
		if !pause(l.ctx, heartbeatInterval) {
			return
		}
	}
}

func (l *leader) beatTo(m member) {
	ctx, cancel := context.WithTimeout(l.ctx, leaderSilence)
	defer cancel()
	args := HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Address: l.node.settings.Peers, Version: l.node.tables.version()}
	r, err := link.Call[HeartbeatArgs, HeartbeatReply](ctx, l.node.client, m.Address, "Heartbeat", args)
	if err != nil {
		return
	}
	l.mutex.Lock()
	l.answered[m.Name], l.reaching[m.Name] = now(), r.ReachesStore
	tell := l.behind.tell(m.Name, r.Version < args.Version, now())
	l.mutex.Unlock()
	if tell {
		go l.tellTable(m)
	}
}

const (
	// behindFor is how long a VM must be behind before it is told the configuration: it
	// reads it by itself unless it does not reach the store.
	behindFor = 600 * time.Millisecond
	// tellTimeout bounds a call that hands a configuration on, over a narrow link.
	tellTimeout = 3 * time.Second
	// mostTold bounds the VMs that are told at a time, for the leader's link.
	mostTold = 6
)

// laggards are the entry VMs with an older configuration than the leader.
type laggards struct {
	// since is when a VM was first seen behind.
	since map[string]time.Time
	// told holds the VMs that are being told.
	told map[string]bool
}

func newLaggards() *laggards { return &laggards{map[string]time.Time{}, map[string]bool{}} }

// tell notes whether a VM is behind; it reports whether it is to be told now.
//
// It answers large configurations: a VM that is told while it reads, or by several VMs,
// gets the same text over its narrow link again and again.
func (l *laggards) tell(name string, behind bool, at time.Time) bool {
	if !behind {
		delete(l.since, name)
		return false
	}
	since, known := l.since[name]
	if !known {
		l.since[name] = at
		return false
	}
	if at.Sub(since) < behindFor || l.told[name] || len(l.told) >= mostTold {
		return false
	}
	l.told[name] = true
	return true
}

// tellTable hands the configuration to a VM that is behind.
func (l *leader) tellTable(m member) {
	ctx, cancel := context.WithTimeout(l.ctx, tellTimeout)
	defer cancel()
	table := l.node.tables.current()
	_, err := link.Call[TableArgs, Nothing](ctx, l.node.client, m.Address, "Table", TableArgs{Version: table.Version, Text: compress(table.Text)})
	l.node.log.Info("configuration_told", "vm", m.Name, "version", table.Version, "told", err == nil)
	l.mutex.Lock()
	delete(l.behind.told, m.Name)
	l.mutex.Unlock()
}

// compress packs the text of a configuration for the way to another VM.
func compress(text []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(text) // A buffer takes everything.
	_ = w.Close()
	return b.Bytes()
}

// mostText bounds the text of a configuration.
const mostText = 16 << 20

// decompress is the reverse of compress.
func decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, mostText))
}
