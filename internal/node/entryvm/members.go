package entryvm

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/store"
)

// member is an entry VM as it is recorded in the store.
type member struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
	// Fitness tells how well the VM can lead; see Settings.
	Fitness float64 `json:"fitness"`
	// Started is the start of the process in Unix milliseconds.
	Started int64 `json:"started"`
}

// members follows the list of entry VMs.
type members struct {
	node  *Node
	mutex sync.Mutex
	known map[string]member
}

func newMembers(n *Node) *members {
	self := member{Name: n.settings.Name, Domain: n.settings.Domain, Address: n.settings.Peers, Fitness: n.settings.Fitness, Started: time.Now().UnixMilli()}
	return &members{node: n, known: map[string]member{self.Name: self}}
}

const (
	// followWait is how long the store may hold a read of a topic that rarely
	// changes.
	followWait = 20 * time.Second
	// retryPause is the wait after a failed call to the store.
	retryPause = 200 * time.Millisecond
	// storeTimeout bounds a call to the store, without the time that it may
	// hold a read.
	storeTimeout = 1500 * time.Millisecond
	// snapshotTimeout bounds the reading of all newest records: several megabytes
	// over the narrowest link of an entry VM.
	snapshotTimeout = 8 * time.Second
)

func (m *members) run(ctx context.Context) {
	go m.register(ctx)
	follow(ctx, m.node, store.VMs, always(followWait), m.apply)
}

// register records this VM, so that the others find it.
func (m *members) register(ctx context.Context) {
	self, _ := m.find(m.node.settings.Name)
	value, _ := json.Marshal(self)
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := m.node.store.Append(call, store.Append{Topic: store.VMs, Records: []store.Record{{Key: m.node.settings.Name, Value: value}}})
		cancel()
		if err == nil || !pause(ctx, retryPause+rand.N(retryPause)) {
			return
		}
	}
}

func (m *members) apply(records []store.Record) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for i := range records {
		var v member
		r := &records[i]
		if len(r.Value) == 0 {
			delete(m.known, r.Key)
		} else if err := json.Unmarshal(r.Value, &v); err != nil || v.Name != r.Key {
			m.node.log.Info("member_record_unreadable", "key", r.Key)
		} else {
			m.known[v.Name] = v
		}
	}
}

// others lists the other entry VMs by name.
func (m *members) others() []member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	list := make([]member, 0, len(m.known))
	for _, v := range m.known {
		if v.Name != m.node.settings.Name {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (m *members) find(name string) (member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	v, ok := m.known[name]
	return v, ok
}

// fitterFactor is how much fitter a VM must be for the leader to change.
const fitterFactor = 1.5

// anyFitter reports whether another VM is much fitter to lead than this one.
func (m *members) anyFitter() bool {
	return slices.ContainsFunc(m.others(), func(v member) bool { return v.Fitness > fitterFactor*m.node.settings.Fitness })
}

// always returns a function that returns a time.
func always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// follow hands every change of a topic to apply: first the newest record of each
// key, then what is appended. It starts again when the store has dropped what
// comes next.
func follow(ctx context.Context, n *Node, topic store.Topic, wait func() time.Duration, apply func([]store.Record)) {
	from := int64(-1)
	for ctx.Err() == nil {
		records, next, err := readOn(ctx, n.store, store.Read{Topic: topic, From: from, Wait: wait()})
		if err != nil {
			if kindOf(err) == store.KindDropped {
				from = -1
				continue
			}
			if ctx.Err() == nil {
				n.log.Info("follow_failed", "topic", string(topic), "error", err.Error())
			}
			pause(ctx, retryPause+rand.N(retryPause))
			continue
		}
		if len(records) > 0 || from < 0 {
			apply(records)
		}
		from = next
	}
}

// readOn reads the records from an offset on, or a snapshot for -1.
func readOn(ctx context.Context, s store.Store, r store.Read) ([]store.Record, int64, error) {
	if r.From < 0 {
		call, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		snapshot, err := s.Newest(call, r.Topic, r.Part)
		return snapshot.Records, snapshot.End, err
	}
	call, cancel := context.WithTimeout(ctx, r.Wait+storeTimeout)
	defer cancel()
	batch, err := s.Read(call, r)
	return batch.Records, batch.Next, err
}
