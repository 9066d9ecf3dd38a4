package entryvm

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/emulate/fleet"
	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/emulate/seeded"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// sizesPlan holds the limits of a store and the sizes of what callers and workers have stored there.
type sizesPlan struct {
	recordBytes, appendBytes int
	jobs                     []jobSizes
}

// jobSizes are the sizes of one job. All its tasks report a checkpoint of checkpointBytes.
type jobSizes struct{ payloadBytes, tasks, checkpointBytes int }

func drawSizesPlan(rt *rapid.T) sizesPlan {
	p := sizesPlan{recordBytes: rapid.IntRange(smallAppendBytes, 8*smallAppendBytes).Draw(rt, "record bytes")}
	p.appendBytes = rapid.IntRange(p.recordBytes, 4*p.recordBytes).Draw(rt, "append bytes")
	for range rapid.IntRange(1, 6).Draw(rt, "jobs") {
		p.jobs = append(p.jobs, jobSizes{
			rapid.IntRange(0, 2*p.recordBytes).Draw(rt, "payload bytes"),
			rapid.IntRange(1, trialWorkers*trialWorkerSlots/6).Draw(rt, "tasks"),
			rapid.IntRange(0, 1024).Draw(rt, "checkpoint bytes"),
		})
	}
	return p
}

// play submits the jobs at once, replaces the leader while they run, and returns what went wrong.
func (p sizesPlan) play() (violations []string) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	c := newLeaderTrial(nil)
	c.limitAppends(p.recordBytes, p.appendBytes)
	random := rand.New(rand.NewPCG(1, 1))
	checkpoints, jobs := map[work.TaskID]string{}, make([]*work.Job, len(p.jobs))
	size := resource.Vector{Milliprocessors: trialTaskMilliprocessors}
	for i, j := range p.jobs {
		jobs[i] = &work.Job{ID: fmt.Sprintf("job-%d", i), Queue: "mail", Accepted: time.Now(), Payload: strings.Repeat("x", j.payloadBytes), Steps: []work.Step{{Count: j.tasks, Size: size, Checkpoints: true}}}
		for index := range j.tasks {
			checkpoints[work.TaskID{StepID: work.StepID{Job: jobs[i].ID}, Index: index}] = randomText(random, j.checkpointBytes)
		}
	}
	c.fleet = memory.NewObservedFleet(func(id work.TaskID) fleet.TaskProfile {
		return fleet.TaskProfile{RunTime: time.Duration(1+id.Index%4) * time.Second, Size: size, Checkpoint: checkpoints[id]}
	}, c.ledger)
	c.addWorkers()
	first := c.lead(memory.NewLink(c.store))
	begun := time.Now()
	errs := submitAll(first.node, jobs...)
	if took := time.Since(begun); took > 500*time.Millisecond {
		report("the answers took %s", took)
	}
	for _, j := range jobs {
		r, _ := first.node.EncodeJob(j)
		switch err := errs[j.ID]; {
		case err == nil:
		case fault.KindOf[Kind](err) != KindTooLarge:
			report("%s: %s", j.ID, err)
		case r.Key != "":
			report("%s of %d bytes is refused", j.ID, r.EncodedSize())
		}
	}
	time.Sleep(2500 * time.Millisecond)
	c.end(first)
	second := c.lead(memory.NewLink(c.store))
	defer c.end(second)
	time.Sleep(25 * time.Second)
	for i, j := range jobs {
		if errs[j.ID] != nil {
			continue
		}
		if reply, _ := second.jobStatus(j.ID); reply.State != work.Completed {
			report("%s is %s", j.ID, reply.State)
		}
		for index := range p.jobs[i].tasks {
			id := work.TaskID{StepID: work.StepID{Job: j.ID}, Index: index}
			if n := c.ledger.startCount(id); n != 1 {
				report("%s was started %d times", id, n)
			}
		}
	}
	for _, broken := range c.ledger.broken() {
		report("%v", broken)
	}
	return violations
}

// Jobs and checkpoints of any size, beside limits of the store that a few of them reach, must be
// stored and known to the next leader, or be refused at once to the caller who hands them in.
func TestWhatIsAcceptedIsStoredWhateverItsSize(t *testing.T) {
	seeded.SetChecks(t, 60)
	rapid.Check(t, func(rt *rapid.T) {
		p := drawSizesPlan(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = p.play() })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}
