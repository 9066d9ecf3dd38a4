package entryvm

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/peer/store"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// smallAppendBytes is the limit of appends in a leaderTrial. A few records of progress or
// jobs exceed it.
const smallAppendBytes = 1000

// The progress of many jobs changes at once, so that the store refuses to take all records
// in one append. The leader must store them nevertheless.
func TestCommitThatExceedsTheSizeOfAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs = 40
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		for i := range jobs {
			c.storeJob(fmt.Sprintf("job-%d", i), 0)
		}
		l := c.lead(memory.NewLink(c.store))
		defer c.end(l)
		time.Sleep(5 * time.Second)
		for i := range jobs {
			reply, _ := l.jobStatus(fmt.Sprintf("job-%d", i))
			is.Equal(reply.State, work.Completed)
		}
		is.Equal(c.ledger.broken(), nil)
	})
}

// submitAll submits jobs at the same time and returns the errors by their ID.
func submitAll(n *Node, jobs ...*work.Job) map[string]error {
	ctx, cancel := context.WithTimeout(n.ctx, 3*time.Second)
	defer cancel()
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	errs := map[string]error{}
	for _, j := range jobs {
		waiting.Go(func() {
			err := n.Submit(ctx, j)
			mutex.Lock()
			defer mutex.Unlock()
			errs[j.ID] = err
		})
	}
	waiting.Wait()
	return errs
}

// jobOfSize returns a job whose record has at least the given number of bytes.
func jobOfSize(id string, bytes int) *work.Job {
	return &work.Job{ID: id, Queue: "mail", Accepted: time.Now(), Payload: strings.Repeat("x", bytes), Steps: []work.Step{{Count: 1, Size: resource.Vector{Milliprocessors: 500}}}}
}

// Many callers submit jobs to one VM at the same time, so that the store refuses to take
// all of them in one append. All must be stored.
func TestJobsThatExceedTheSizeOfAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		l := c.lead(memory.NewLink(c.store))
		defer c.end(l)
		var jobs []*work.Job
		for i := range 20 {
			jobs = append(jobs, jobOfSize(fmt.Sprintf("job-%d", i), 200))
		}
		for id, err := range submitAll(l.node, jobs...) {
			if err != nil {
				t.Errorf("%s: %s", id, err)
			}
		}
		time.Sleep(5 * time.Second)
		for _, j := range jobs {
			reply, _ := l.jobStatus(j.ID)
			is.Equal(reply.State, work.Completed)
		}
	})
}

// Many jobs end within a short time, so that the store refuses to take the deletion of
// their submissions in one append. A successor must not have to read them all.
func TestDeletionThatExceedsTheSizeOfAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs = 60
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		for i := range jobs {
			c.storeJob(fmt.Sprintf("job-%d", i), 0)
		}
		stored := memory.NewLink(c.store)
		l := c.lead(stored)
		defer c.end(l)
		time.Sleep(20 * time.Second)
		snapshot, err := stored.Newest(t.Context(), store.Jobs, 0)
		is.NoErr(err)
		is.Equal(len(snapshot.Records), 0)
	})
}

// The store refuses a job that exceeds the size of a record. Its caller must be told so at
// once, and the jobs that others submit to the VM at the same time must be stored.
func TestJobThatExceedsTheSizeOfARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Second })
		l := c.lead(memory.NewLink(c.store))
		defer c.end(l)
		begun := time.Now()
		errs := submitAll(l.node, jobOfSize("large", smallAppendBytes), jobOfSize("small", 1))
		is.Equal(fault.KindOf[Kind](errs["large"]), KindTooLarge)
		is.NoErr(errs["small"])
		is.True(time.Since(begun) < 100*time.Millisecond)
	})
}

// The progress of one job exceeds the size of a record. The leader must store it
// nevertheless, and its successor must know where the tasks run.
func TestProgressThatExceedsTheSizeOfARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const tasks = 30
		c := newLeaderTrial(func(work.TaskID) time.Duration { return time.Minute })
		job := &work.Job{ID: "job", Queue: "mail", Accepted: time.Now(), Steps: []work.Step{{Count: tasks, Size: resource.Vector{Milliprocessors: 500}}}}
		_, err := c.store.Append(store.Append{Topic: store.Jobs, Records: []store.Record{{Key: job.ID, Value: work.Encode(job)}}})
		is.NoErr(err)
		first := c.lead(memory.NewLink(c.store))
		time.Sleep(2 * time.Second)
		c.end(first)
		for i := range tasks {
			is.Equal(c.ledger.startCount(work.TaskID{StepID: work.StepID{Job: "job"}, Index: i}), 1)
		}
		second := c.lead(memory.NewLink(c.store))
		defer c.end(second)
		time.Sleep(20 * time.Second)
		is.Equal(c.ledger.broken(), nil)
	})
}

// The progress of the largest job must fit into a record.
func TestLargestProgressFitsIntoARecord(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	p := &work.Progress{State: work.Running, Started: true, Steps: []work.StepProgress{{}}}
	for i := range work.MaxTasks {
		p.Steps[0].Tasks = append(p.Steps[0].Tasks, work.TaskProgress{
			Index: i, Run: 4, Failed: []int64{1, 2, 3}, Worker: fmt.Sprintf("%016x", random.Uint64()), Born: 1_700_000_000_000 + random.Int64N(1<<30),
			Checkpoint: fmt.Sprintf("%016x", random.Uint64()),
		})
	}
	records := []store.Record{{Key: "5c0e7a21d94b36f8", Value: work.Encode(p)}}
	is.True(records[0].EncodedSize() > defaultMaxRecordBytes)
	compressed := newProgressEncoder(1, defaultMaxRecordBytes).encode(records)
	is.Equal(len(compressed), 1)
	is.True(compressed[0].EncodedSize() < defaultMaxRecordBytes)
	decoded, err := decodeProgress(compressed[0].Value)
	is.NoErr(err)
	is.Equal(decoded, p)
}
