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

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/store"
)

// member is the stored record of an entry VM.
type member struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Address netip.AddrPort `json:"address"`
	// Fitness rates how suitable the VM is as leader; see Settings.
	Fitness float64 `json:"fitness"`
	// Started is the start time of the process in Unix milliseconds.
	Started int64 `json:"started"`
}

// maxFitness is the highest valid fitness. It is far above that of any machine.
const maxFitness = 1e6

// decodeMember decodes the record of store.VMs with the given key. It rejects a record
// that no entry VM writes.
func decodeMember(key string, data []byte) (member, error) {
	var vm member
	if err := json.Unmarshal(data, &vm); err != nil {
		return member{}, fault.New("decode_member", KindUnreadable, err)
	}
	if vm.Name == "" || vm.Name != key {
		return member{}, fault.Newf("decode_member", KindUnreadable, "the name is %.64q", vm.Name)
	}
	if !vm.Address.IsValid() || vm.Address.Port() == 0 {
		return member{}, fault.Newf("decode_member", KindUnreadable, "the address is missing")
	}
	if vm.Fitness < 0 || vm.Fitness > maxFitness {
		return member{}, fault.Newf("decode_member", KindUnreadable, "the fitness is %g", vm.Fitness)
	}
	return vm, nil
}

// memberList tracks the entry VMs that are recorded in the store.
type memberList struct {
	node  *Node
	mutex sync.Mutex
	// byName maps the names of all known entry VMs, including this one, to their
	// records.
	byName map[string]member
	// others caches the result of otherMembers. It is nil if it must be rebuilt.
	others []member
}

func newMemberList(n *Node) *memberList {
	self := member{Name: n.settings.Name, Domain: n.settings.Domain, Address: n.settings.ListenAddress, Fitness: n.settings.Fitness, Started: time.Now().UnixMilli()}
	return &memberList{node: n, byName: map[string]member{self.Name: self}}
}

const (
	// storeRetryPause is the shortest pause after a failed call to the store.
	storeRetryPause = 200 * time.Millisecond
	// storeCallTimeout limits a call to the store. For a long poll, the time that the
	// store may wait is added to it.
	storeCallTimeout = 1500 * time.Millisecond
	// snapshotTimeout limits the read of a snapshot. It allows for several megabytes
	// over the slowest network link of an entry VM.
	snapshotTimeout = 8 * time.Second
)

// run registers this VM and applies the records of the others as they are stored, until
// ctx is done.
func (m *memberList) run(ctx context.Context) {
	go m.registerThisVM(ctx)
	followTopic(ctx, m.node, topicFollower{topic: store.VMs, wait: m.node.longPollWait, apply: m.applyRecords})
}

// registerThisVM stores the record of this VM, so that the other VMs can call it. It retries
// until that succeeds.
func (m *memberList) registerThisVM(ctx context.Context) {
	self, _ := m.findByName(m.node.settings.Name)
	value, _ := json.Marshal(self)
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_, err := m.node.store.Append(callCtx, store.Append{Topic: store.VMs, Records: []store.Record{{Key: m.node.settings.Name, Value: value}}})
		cancel()
		if err == nil || !sleep(ctx, storeRetryPause+rand.N(storeRetryPause)) {
			return
		}
	}
}

// applyRecords updates the known entry VMs from records in the store. A record without
// a value removes a VM.
func (m *memberList) applyRecords(records []store.Record) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.others = nil
	for i := range records {
		r := &records[i]
		if len(r.Value) == 0 {
			delete(m.byName, r.Key)
			continue
		}
		vm, err := decodeMember(r.Key, r.Value)
		if err != nil {
			m.node.reportInvalidRecord("member_record_unreadable", "key", store.VMs, r, err)
			continue
		}
		m.byName[vm.Name] = vm
	}
}

// otherMembers returns the other entry VMs, sorted by name. Callers share the list and
// must not change it.
func (m *memberList) otherMembers() []member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.others != nil {
		return m.others
	}
	list := make([]member, 0, len(m.byName))
	for _, vm := range m.byName {
		if vm.Name != m.node.settings.Name {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b member) int { return strings.Compare(a.Name, b.Name) })
	m.others = slices.Clip(list) // So that an append copies it.
	return m.others
}

// otherMembersWhere returns a new list of the other entry VMs for which keep returns
// true, sorted by name.
func (m *memberList) otherMembersWhere(keep func(member) bool) []member {
	var list []member
	for _, vm := range m.otherMembers() {
		if keep(vm) {
			list = append(list, vm)
		}
	}
	return list
}

// findByName returns the entry VM with the given name, and false if it is not known.
func (m *memberList) findByName(name string) (member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	vm, ok := m.byName[name]
	return vm, ok
}

// muchFitterRatio is the ratio between the fitness values of two VMs above which the
// fitter one counts as much fitter and should lead instead of the other.
const muchFitterRatio = 1.5

// hasMuchFitterVM reports whether the fitness of another VM is more than
// muchFitterRatio times that of this one.
func (m *memberList) hasMuchFitterVM() bool {
	return slices.ContainsFunc(m.otherMembers(), func(vm member) bool { return vm.Fitness > muchFitterRatio*m.node.settings.Fitness })
}

// topicFollower tells followTopic what to read and what to do with it.
type topicFollower struct {
	topic store.Topic
	// wait returns how long the store may wait for a new record before it answers a read
	// that is sent now, and by how much its answer may exceed that. timeouts is the number of
	// failed reads in a row before this one.
	wait func(timeouts int) (wait, margin time.Duration)
	// apply receives the records that were read.
	apply func([]store.Record)
	// completed, unless it is nil, is called after each completed read and the call of
	// apply for it. begun is when the read began.
	completed func(batch store.Batch, begun time.Time)
}

// followTopic passes the records of a topic to f.apply until ctx is done: first a
// snapshot with the newest record of each key, then the appended records. If the
// store has already dropped the records that are to be read next, followTopic starts
// again with a snapshot.
func followTopic(ctx context.Context, n *Node, f topicFollower) {
	from, timeouts := int64(-1), 0
	for ctx.Err() == nil {
		begun := now()
		batch, interrupted, err := n.pollTopic(ctx, f, from, timeouts)
		if interrupted {
			continue
		}
		timeouts++
		if err != nil {
			if storeErrorKind(err) == store.KindDropped {
				from = -1
				continue
			}
			if ctx.Err() == nil {
				n.log.Info("follow_failed", "topic", string(f.topic), "error", err.Error())
			}
			if now().Sub(begun) < storeRetryPause { // A read that hung was long enough.
				sleep(ctx, storeRetryPause+rand.N(storeRetryPause))
			}
			continue
		}
		if len(batch.Records) > 0 || from < 0 {
			f.apply(batch.Records)
		}
		from, timeouts = batch.Next, 0
		if f.completed != nil {
			f.completed(batch, begun)
		}
	}
}

// pollTopic reads a snapshot of a topic if from is -1, and otherwise waits for records from
// the offset from on. interrupted is true if the wait has failed because of an interruption
// of the long polls. timeouts is the number of failed polls in a row before this one.
func (n *Node) pollTopic(ctx context.Context, f topicFollower, from int64, timeouts int) (batch store.Batch, interrupted bool, err error) {
	// The round comes before the wait: a wait that is outdated when it is used belongs to
	// a round that has ended.
	round := n.longPolls.currentRound()
	wait, margin := f.wait(timeouts)
	read, begun, leading := store.Read{Topic: f.topic, From: from, Wait: wait}, now(), n.activeLeader() != nil
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if from >= 0 {
		defer context.AfterFunc(round, cancel)()
	}
	batch, err = readWithin(pollCtx, n.store, read, margin)
	n.logLongPoll(read, begun, leading, len(batch.Records))
	return batch, err != nil && pollCtx.Err() != nil && ctx.Err() == nil, err
}

// longPollLogMargin is by how much a long poll must exceed its wait to be logged.
const longPollLogMargin = 500 * time.Millisecond

// logLongPoll logs a long poll that took much longer than the store may wait, or during
// which this VM began or ceased to lead: it was sent with the wait of the other role.
func (n *Node) logLongPoll(r store.Read, begun time.Time, ledAtBegin bool, records int) {
	took, leads := now().Sub(begun), n.activeLeader() != nil
	if r.From >= 0 && (leads != ledAtBegin || took > r.Wait+longPollLogMargin) {
		n.log.Info("long_poll_ended", "topic", string(r.Topic), "wait_ms", r.Wait.Milliseconds(), "took_ms", took.Milliseconds(), "led_at_begin", ledAtBegin, "leads", leads, "records", records)
	}
}

// readFrom reads the records from the offset r.From on, or a snapshot if r.From is -1.
func readFrom(ctx context.Context, s store.Store, r store.Read) (store.Batch, error) {
	return readWithin(ctx, s, r, storeCallTimeout)
}

// readWithin is readFrom with a limit for the time that a read takes beyond r.Wait. It does
// not apply to snapshots.
func readWithin(ctx context.Context, s store.Store, r store.Read, margin time.Duration) (store.Batch, error) {
	if r.From < 0 {
		callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		snapshot, err := s.Newest(callCtx, r.Topic, r.Part)
		return store.Batch{Records: snapshot.Records, Next: snapshot.End, End: snapshot.End}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, r.Wait+margin)
	defer cancel()
	return s.Read(callCtx, r)
}
