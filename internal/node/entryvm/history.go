package entryvm

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/link"
)

const (
	// maxHistorySources is the number of VMs that a new leader asks by when the progress records
	// were stored. It goes on once half of them have answered, and after historyTimeout.
	maxHistorySources = 8
	historyTimeout    = 150 * time.Millisecond
)

// learnHistory asks other VMs by when the progress records were stored: a VM that has just
// started has heard little of the earlier leaders. Those that started first are asked. The
// result is closed once this VM need not wait for further answers.
func (l *leader) learnHistory() <-chan struct{} {
	sources := l.node.members.otherMembersWhere(func(m member) bool { return !l.node.peerClient.IsPeerSilent(m.Address) })
	slices.SortFunc(sources, func(a, b member) int { return cmp.Compare(a.Started, b.Started) })
	sources = sources[:min(len(sources), maxHistorySources)]
	answers := make(chan struct{}, len(sources))
	for _, m := range sources {
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, peerCallTimeout)
			defer cancel()
			if r, err := link.Call[Nothing, LastHeartbeatReply](ctx, l.node.peerClient, m.Address, "Heard", Nothing{}); err == nil {
				l.node.progressHistory.Merge(r.Stored, now())
			}
			answers <- struct{}{}
		}()
	}
	enough := make(chan struct{})
	go func() {
		defer close(enough)
		timeout := time.NewTimer(historyTimeout)
		defer timeout.Stop()
		for range (len(sources) + 1) / 2 {
			select {
			case <-answers:
			case <-timeout.C:
				return
			case <-l.ctx.Done():
				return
			}
		}
	}()
	return enough
}

// lastHistoryTimeout limits how long the stop of a VM takes for tellHistory.
const lastHistoryTimeout = 200 * time.Millisecond

// tellHistory tells the other VMs by when the progress records were stored. It is called once this
// leader stores nothing more: the next one then knows when it stored the last record, and for how
// long it may have extended leases.
func (l *leader) tellHistory() {
	ctx, cancel := context.WithTimeout(context.Background(), lastHistoryTimeout)
	defer cancel()
	args := StoredArgs{Stored: l.node.progressHistory.Points(now())}
	var g sync.WaitGroup
	for _, m := range l.node.members.otherMembersWhere(func(m member) bool { return !l.node.peerClient.IsPeerSilent(m.Address) }) {
		g.Go(func() {
			_, _ = link.Call[StoredArgs, Nothing](ctx, l.node.peerClient, m.Address, "Stored", args)
		})
	}
	g.Wait()
}
