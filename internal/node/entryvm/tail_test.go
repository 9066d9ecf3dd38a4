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

// A leader that has not read all partitions lately must give no number of pending jobs.
func TestLeaderKnowsWhetherItMayMissJobs(t *testing.T) {
	scenarios := []struct {
		testName string
		// readAges are the ages of the last reads of the partitions.
		readAges []time.Duration
		expected bool
	}{
		{"all partitions were just read", []time.Duration{0, 0}, true},
		{"all partitions were read lately", []time.Duration{1900 * time.Millisecond, 0}, true},
		{"a partition was not read lately", []time.Duration{0, maxJobsReadAge}, false},
		{"no partition was read lately", []time.Duration{time.Minute, time.Minute}, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			n := &Node{settings: Settings{Name: "vm", Partitions: len(s.readAges)}, measures: measure.New(), log: logr.Discard()}
			n.members = newMemberList(n)
			l := newLeader(t.Context(), n, 1)
			l.restored = true
			for part, age := range s.readAges {
				l.jobsReadStartTimes[part] = now().Add(-age)
			}
			is.Equal(l.pendingJobs("mail").Leading, s.expected)
		})
	}
}

// answeringVM is an entry VM that answers heartbeats, but tells the leader of no job.
type answeringVM struct{ epoch int64 }

// Heartbeat answers a heartbeat of the current leader.
func (v *answeringVM) Heartbeat(_ HeartbeatArgs, r *HeartbeatReply) error {
	r.Epoch, r.ReachesStore = v.epoch, true
	return nil
}

// A VM that answers heartbeats stores a job in a partition that the leader cannot read, and
// ends before it tells the leader.
func TestVMThatAnswersMayNotHaveToldTheLeader(t *testing.T) {
	is := is.New(t)
	stored := memory.New()
	link := memory.NewLink(stored)
	n, l := newLeaderTestNode(t, link)
	addTestMember(t, stored, &answeringVM{l.epoch})
	time.Sleep(2 * jobsReadInterval)
	link.RefusePartition(3, true)
	job := &work.Job{ID: "job", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: 1, Size: resource.Vector{Milliprocessors: 64000}}}}
	_, err := stored.Append(store.Append{Topic: store.Jobs, Part: 3, Records: []store.Record{{Key: job.ID, Value: work.Encode(job)}}})
	is.NoErr(err)
	time.Sleep(maxJobsReadAge + heartbeatInterval)
	is.True(!l.pendingJobs("mail").Leading)
	_, known, err := n.State(t.Context(), "job")
	is.True(known || err != nil) // The job must not be said not to exist.
}
