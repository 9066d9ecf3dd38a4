package entryvm

import (
	"context"
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
	table := l.node.tables.current()
	args := HeartbeatArgs{Epoch: l.epoch, Leader: l.node.settings.Name, Address: l.node.settings.Peers, Version: l.node.tables.version()}
	r, err := link.Call[HeartbeatArgs, HeartbeatReply](ctx, l.node.client, m.Address, "Heartbeat", args)
	if err != nil {
		return
	}
	l.mutex.Lock()
	l.answered[m.Name], l.reaching[m.Name] = now(), r.ReachesStore
	l.mutex.Unlock()
	if table == nil || r.Version >= args.Version {
		return
	}
	if _, err := link.Call[TableArgs, Nothing](ctx, l.node.client, m.Address, "Table", TableArgs{Version: table.Version, Text: table.Text}); err != nil {
		l.node.log.V(1).Info("configuration_not_told", "vm", m.Name, "version", table.Version, "error", err.Error())
	}
}
