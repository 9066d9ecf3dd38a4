package entryvm

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// randomText returns a text that can hardly be compressed.
func randomText(random *rand.Rand, bytes int) string {
	var b strings.Builder
	for b.Len() < bytes {
		fmt.Fprintf(&b, "%016x", random.Uint64())
	}
	return b.String()[:bytes]
}

// longCheckpointTrial returns a trial whose jobs are stored: "wide", of which each task reports a
// checkpoint of the given size and runs 1 s longer than the one before, and ordinary ones.
func longCheckpointTrial(is *is.I, tasks, ordinaryJobs, checkpointBytes int) *leaderTrial {
	c := newLeaderTrial(nil)
	random := rand.New(rand.NewPCG(1, 1))
	checkpoints := make([]string, tasks)
	for i := range checkpoints {
		checkpoints[i] = randomText(random, checkpointBytes)
	}
	c.fleet = memory.NewObservedFleet(func(id work.TaskID) fleet.TaskProfile {
		p := fleet.TaskProfile{RunTime: time.Second, Size: resource.Vector{Milliprocessors: trialTaskMilliprocessors}}
		if id.Job == "wide" {
			p.RunTime, p.Checkpoint = time.Duration(1+id.Index)*time.Second, checkpoints[id.Index]
		}
		return p
	}, c.ledger)
	c.addWorkers()
	job := &work.Job{ID: "wide", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: tasks, Size: resource.Vector{Milliprocessors: trialTaskMilliprocessors}, Checkpoints: true}}}
	_, err := c.store.Append(store.Append{Topic: store.Jobs, Records: []store.Record{{Key: job.ID, Value: work.Encode(job)}}})
	is.NoErr(err)
	for i := range ordinaryJobs {
		c.storeJob(fmt.Sprintf("job-%d", i), 0)
	}
	return c
}

// The store refused a progress record with long checkpoints, and the leader repeated the append
// for ever: no progress of any job was stored any more.
func TestLongCheckpointsHoldUpNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const tasks, ordinaryJobs = 20, 5
		c := longCheckpointTrial(is, tasks, ordinaryJobs, 2*smallAppendBytes)
		first := c.lead(memory.NewLink(c.store))
		time.Sleep(5 * time.Second)
		for i := range ordinaryJobs {
			reply, _ := first.jobStatus(fmt.Sprintf("job-%d", i))
			is.Equal(reply.State, work.Completed)
		}
		c.end(first)
		second := c.lead(memory.NewLink(c.store))
		defer c.end(second)
		time.Sleep(30 * time.Second)
		reply, _ := second.jobStatus("wide")
		is.Equal(reply.State, work.Completed)
		for i := range 4 { // These had ended when the leader was replaced.
			is.Equal(c.ledger.startCount(work.TaskID{StepID: work.StepID{Job: "wide"}, Index: i}), 1)
		}
		is.Equal(c.ledger.broken(), nil)
		snapshot, err := memory.NewLink(c.store).Newest(t.Context(), store.Progress, 0)
		is.NoErr(err)
		for _, r := range snapshot.Records {
			is.True(!strings.HasPrefix(r.Key, partKeyPrefix)) // A part that nothing needs any more.
		}
	})
}

// refusingStore refuses the appends with a progress record of one job for their content.
type refusingStore struct {
	store.Store
	job string
	// appends counts the refused appends that contained only that record.
	appends *int
}

func (s refusingStore) Append(ctx context.Context, a store.Append) (int64, error) {
	for i := range a.Records {
		if a.Topic == store.Progress && a.Records[i].Key == s.job {
			if len(a.Records) == 1 {
				*s.appends++
			}
			return 0, fault.Newf("append", store.KindInvalid, "refused")
		}
	}
	return s.Store.Append(ctx, a)
}

// A record that the store never accepts must not hold up the others that are stored with it.
func TestRefusedProgressCostsOnlyItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		for i := range 4 {
			c.storeJob(fmt.Sprintf("job-%d", i), 0)
		}
		appends := 0
		l := c.lead(refusingStore{memory.NewLink(c.store), "job-1", &appends})
		defer c.end(l)
		time.Sleep(5 * time.Second)
		for i := range 4 {
			reply, _ := l.jobStatus(fmt.Sprintf("job-%d", i))
			is.Equal(reply.State == work.Completed, i != 1)
		}
		is.Equal(c.ledger.startCount(work.TaskID{StepID: work.StepID{Job: "job-1"}}), 0)
		is.Equal(appends, 2) // Its placement, and that it has failed.
	})
}

// The store takes smaller records than the settings say. Only the caller of the large one may be
// affected, and is told at once.
func TestSubmissionThatTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		l := c.lead(memory.NewLink(c.store))
		defer c.end(l)
		l.node.settings.MaxRecordBytes, l.node.settings.MaxAppendBytes = 10*smallAppendBytes, 20*smallAppendBytes
		c.store.LimitAppends(smallAppendBytes, 20*smallAppendBytes)
		begun := time.Now()
		errs := submitAll(l.node, jobOfSize("small-1", 1), jobOfSize("large", smallAppendBytes), jobOfSize("small-2", 1))
		is.Equal(fault.KindOf[Kind](errs["large"]), KindTooLarge)
		is.NoErr(errs["small-1"])
		is.NoErr(errs["small-2"])
		is.True(time.Since(begun) < 100*time.Millisecond)
	})
}

// drawProgress draws a progress record of up to the largest step and the longest checkpoints.
func drawProgress(rt *rapid.T, label string) *work.Progress {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, label), 1))
	tasks, checkpointBytes := rapid.IntRange(0, work.MaxTasks).Draw(rt, label+" tasks"), rapid.IntRange(0, 1024).Draw(rt, label+" checkpoint bytes")
	p := &work.Progress{State: work.Running, Started: true, Steps: []work.StepProgress{{}}}
	for i := range tasks {
		p.Steps[0].Tasks = append(p.Steps[0].Tasks, work.TaskProgress{
			Index: i, Run: 1 + random.Int64N(5), Worker: randomText(random, 16), Born: random.Int64N(1 << 40), Checkpoint: randomText(random, checkpointBytes),
		})
	}
	return p
}

// A leader may be replaced after any append of a commit. The next one must read each job as it
// was before or after the commit, never a mixture, and other jobs as they are.
func TestPartsOfAnUnfinishedCommit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		maxRecordBytes := rapid.IntRange(500, defaultMaxRecordBytes).Draw(rt, "record bytes")
		stored := map[string]store.Record{}
		put := func(records []store.Record) {
			for _, r := range records {
				is.True(r.EncodedSize() <= maxRecordBytes)
				if stored[r.Key] = r; len(r.Value) == 0 {
					delete(stored, r.Key)
				}
			}
		}
		read := func(epoch int64) (*progressEncoder, map[string]*work.Progress) {
			var records []store.Record
			for _, r := range stored {
				records = append(records, r)
			}
			e := newProgressEncoder(epoch, maxRecordBytes)
			return e, e.decode(records, func(key string, err error) { rt.Fatalf("%s: %s", key, err) })
		}
		other := &work.Progress{State: work.Queued}
		put([]store.Record{{Key: "other", Value: work.Encode(other)}})
		var current *work.Progress
		for epoch := int64(1); epoch <= 4; epoch++ {
			e, progress := read(epoch)
			is.Equal(progress["other"], other)
			is.Equal(progress["job"], current)
			next := drawProgress(rt, "progress")
			records := e.encode([]store.Record{{Key: "job", Value: work.Encode(next)}})
			put(records[:rapid.IntRange(0, len(records)).Draw(rt, "appended")])
			if _, progress = read(0); progress["job"] == nil || len(progress["job"].Steps) == 0 {
				is.Equal(progress["job"], current)
				continue
			}
			got := work.Encode(progress["job"])
			is.True(string(got) == string(work.Encode(next)) || current != nil && string(got) == string(work.Encode(current)))
			current = progress["job"]
		}
		e, _ := read(9)
		put(e.encode([]store.Record{{Key: "job"}}))
		is.Equal(len(stored), 1) // No part is left when the record of the job is deleted.
	})
}
