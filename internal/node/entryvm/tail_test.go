package entryvm

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/operate/measure"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// pagedStore returns at most one record of store.Jobs in each read.
type pagedStore struct{ *memory.Link }

func (p pagedStore) Read(ctx context.Context, r store.Read) (store.Batch, error) {
	b, err := p.Link.Read(ctx, r)
	if r.Topic == store.Jobs && len(b.Records) > 1 {
		b.Records, b.Next = b.Records[:1], b.Records[0].Offset+1
	}
	return b, err
}

// A read returns only a part of a backlog of jobs of which the leader was not told. It
// must read the rest before it answers as if it knew all jobs.
func TestReadThatDoesNotReachTheEndLeavesJobsUnknown(t *testing.T) {
	is := is.New(t)
	const jobs = 8
	stored := memory.New()
	n, l := newLeaderTestNode(t, pagedStore{memory.NewLink(stored)})
	for i := range jobs {
		j := &work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1, Size: resource.Vector{Milliprocessors: 64000}}}}
		_, err := stored.Append(store.Append{Topic: store.Jobs, Part: 3, Records: []store.Record{{Key: j.ID, Value: work.Encode(j)}}})
		is.NoErr(err)
	}
	time.Sleep(2 * jobsReadInterval)
	r := l.pendingJobs("mail")
	is.True(r.Leading)
	is.Equal(r.Pending, jobs)
	_, known, err := n.State(t.Context(), "job-7")
	is.NoErr(err)
	is.True(known)
}

// A leader that has not read all partitions lately must not claim to know all jobs if a
// VM may have accepted some without telling it.
func TestLeaderKnowsWhetherItMayMissJobs(t *testing.T) {
	scenarios := []struct {
		testName string
		// readAges are the ages of the last reads of the partitions.
		readAges []time.Duration
		// answerAges are the ages of the answers to heartbeats of each other VM.
		answerAges [][]time.Duration
		expected   bool
	}{
		{"all partitions were just read", []time.Duration{time.Second, 0}, [][]time.Duration{{}}, true},
		{"a VM is silent while a partition is not read", []time.Duration{3 * time.Second, 0}, [][]time.Duration{{}}, false},
		{"a VM fell silent", []time.Duration{3 * time.Second}, [][]time.Duration{{4 * time.Second, 3200 * time.Millisecond}}, false},
		{"all VMs answer since before the last read", []time.Duration{1500 * time.Millisecond, 2100 * time.Millisecond}, [][]time.Duration{
			{2400 * time.Millisecond, 1600 * time.Millisecond, 800 * time.Millisecond, 0}, {2200 * time.Millisecond, 1400 * time.Millisecond, 600 * time.Millisecond},
		}, true},
		{"one of two VMs answers", []time.Duration{2100 * time.Millisecond}, [][]time.Duration{
			{2400 * time.Millisecond, 1600 * time.Millisecond, 800 * time.Millisecond, 0}, {},
		}, false},
		{"a VM was silent for a while since the last read", []time.Duration{3 * time.Second}, [][]time.Duration{
			{3200 * time.Millisecond, 2 * time.Second, 1200 * time.Millisecond, 400 * time.Millisecond},
		}, false},
		{"a VM answers only since after the last read", []time.Duration{3 * time.Second}, [][]time.Duration{
			{2800 * time.Millisecond, 2 * time.Second, 1200 * time.Millisecond, 400 * time.Millisecond},
		}, false},
		{"there is no other VM", []time.Duration{time.Minute}, nil, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			n := &Node{settings: Settings{Name: "vm", Partitions: len(s.readAges)}, measures: measure.New(), log: logr.Discard()}
			n.members = newMemberList(n)
			l := newLeader(t.Context(), n, 1)
			at := now()
			for part, age := range s.readAges {
				l.jobsReadStartTimes[part] = at.Add(-age)
			}
			for i, ages := range s.answerAges {
				name := string(rune('a' + i))
				n.members.byName[name] = member{Name: name}
				for _, age := range ages {
					l.recordHeartbeatAnswer(name, at.Add(-age))
				}
			}
			is.Equal(l.knowsAcceptedJobs(at), s.expected)
		})
	}
}
