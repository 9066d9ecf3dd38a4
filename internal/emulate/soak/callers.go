package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/almondpost/almondpost/internal/cell/work"
	"github.com/almondpost/almondpost/internal/state/resource"
	"github.com/almondpost/almondpost/platform"
)

const (
	// callerPatience is how long callers wait for an answer. An entry VM must answer
	// before it is over; answerSlack allows for a busy machine.
	callerPatience = 3 * time.Second
	answerSlack    = time.Second
	// maxSubmitAttempts limits the attempts to submit one job.
	maxSubmitAttempts = 6
)

// answer is a complete response to a caller.
type answer struct {
	status  int
	state   work.State
	pending int
}

// caller submits jobs and asks for their states over connections that it keeps open.
type caller struct {
	cell   *cell
	client *http.Client
	random *rand.Rand
}

func newCaller(c *cell, seed uint64, number int) *caller {
	return &caller{c, &http.Client{Transport: &http.Transport{}}, rand.New(rand.NewPCG(seed, uint64(number)))}
}

func (c *caller) randomVM() *entryVM { return c.cell.vms[c.random.IntN(len(c.cell.vms))] }

// call sends a request to an entry VM. ok is false if there is no complete answer.
func (c *caller) call(vm *entryVM, method, path string, body []byte) (a answer, ok bool) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience+answerSlack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+vm.front.String()+path, bytes.NewReader(body))
	if err != nil {
		return a, false
	}
	r.Host = queueHost
	r.Header.Set("Deadline-Ms", strconv.FormatInt(callerPatience.Milliseconds(), 10))
	response, err := c.client.Do(r)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		if vm.owesAnswer(begun) {
			c.cell.ledger.report("requests are answered", "%s %s to %s after %s: %s", method, path, vm.name, time.Since(begun), err)
		}
		return a, false
	}
	vm.answered(begun)
	a.status = response.StatusCode
	a.state, a.pending, err = platform.DecodeReply(data)
	if err != nil {
		c.cell.ledger.report("answers are whole", "%s %s to %s: %s", method, path, vm.name, err)
		return a, false
	}
	return a, true
}

// pause waits for a random time between d/2 and d, or until ctx is done.
func (c *caller) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d/2 + rand.N(d/2)):
		return true
	}
}

// submitJobs submits jobs one after the other and follows each until its end.
func (c *caller) submitJobs(ctx context.Context) {
	for c.pause(ctx, 100*time.Millisecond) {
		j := c.newJob()
		if c.submit(ctx, j) {
			c.follow(ctx, j)
		}
	}
}

// newJob draws a job of one or two steps, one whose tasks outlive leases or, while a schedule is
// played, one whose end is at no particular time.
func (c *caller) newJob() *work.Job {
	j := &work.Job{ID: fmt.Sprintf("%016x", c.random.Uint64()), Payload: "payload"}
	if c.cell.spreadEnds && c.random.Float64() < spreadProbability {
		return c.newSpreadJob(j.ID)
	}
	if !c.cell.spreadEnds && c.random.Float64() < longProbability {
		s := work.Step{Count: 1 + c.random.IntN(3), Size: resource.Vector{Milliprocessors: 200, MemoryMebibytes: 64}, Estimate: longRunTime}
		s.Lasting = c.random.IntN(2) == 0
		j.Steps = []work.Step{s}
		return j
	}
	for i := range 1 + c.random.IntN(2) {
		s := work.Step{
			Count: 1 + c.random.IntN(4), Size: resource.Vector{Milliprocessors: 500 + c.random.Int64N(1500), MemoryMebibytes: 64},
			Estimate: 100*time.Millisecond + time.Duration(c.random.Int64N(int64(1500*time.Millisecond))),
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// submit submits a job, in several attempts if necessary, and reports whether it was
// accepted.
func (c *caller) submit(ctx context.Context, j *work.Job) bool {
	c.cell.ledger.submitting(j)
	body, certain := platform.EncodeSubmission(j), true
	for range maxSubmitAttempts {
		a, ok := c.call(c.randomVM(), http.MethodPost, queuePrefix+j.ID, body)
		switch {
		case ok && a.status == http.StatusOK:
			c.cell.ledger.accepted(j.ID, time.Now())
			return true
		case !ok || (a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests):
			certain = false
		}
		if !c.pause(ctx, 500*time.Millisecond) {
			certain = false
			break
		}
	}
	if certain {
		c.cell.ledger.rejected(j.ID)
	}
	return false
}

const (
	// cancelProbability is how likely a caller cancels its job before it asks for its state,
	// and cutCancelProbability the same near a cut.
	cancelProbability    = 0.025
	cutCancelProbability = 0.15
	// longProbability is the share of jobs with long tasks, longRunTime how long these run,
	// unless they last, and maxLastingAge when callers cancel those that last.
	longProbability = 0.3
	longRunTime     = 2*workerLease + time.Second
	maxLastingAge   = 12 * time.Second
)

// follow asks for the state of a job until it is final. A cancellation is repeated until it
// is acknowledged.
func (c *caller) follow(ctx context.Context, j *work.Job) {
	cancelling := false
	for begun := time.Now(); c.pause(ctx, 400*time.Millisecond); {
		probability := cancelProbability
		if c.cell.nearCuts.Load() > 0 {
			probability = cutCancelProbability
		}
		overdue := j.Steps[0].Lasting && time.Since(begun) > maxLastingAge
		if cancelling = cancelling || overdue || c.random.Float64() < probability; cancelling {
			cancelling = !c.cancel(j.ID)
		}
		if c.askState(j.ID).Ended() {
			return
		}
	}
}

// cancel asks an entry VM to cancel a job and reports whether it did or the job is unknown.
func (c *caller) cancel(id string) bool {
	c.cell.ledger.cancelling(id)
	a, ok := c.call(c.randomVM(), http.MethodDelete, queuePrefix+id, nil)
	if ok && a.status == http.StatusOK {
		c.cell.ledger.cancelled(id, time.Now())
	}
	return ok && (a.status == http.StatusOK || a.status == http.StatusGone)
}

// askState asks an entry VM for the state of a job and checks the answer.
func (c *caller) askState(id string) work.State {
	vm, asked := c.randomVM(), time.Now()
	a, ok := c.call(vm, http.MethodGet, queuePrefix+id, nil)
	switch {
	case !ok:
	case a.status == http.StatusOK:
		c.cell.ledger.shown(vm.name, id, a.state, time.Now())
	case a.status == http.StatusGone:
		c.cell.ledger.unknown(vm.name, id, asked)
	}
	return a.state
}

// watchPending asks the entry VMs how many jobs are pending and checks the answers.
func (c *caller) watchPending(ctx context.Context) {
	for c.pause(ctx, 100*time.Millisecond) {
		vm, asked := c.randomVM(), time.Now()
		if a, ok := c.call(vm, http.MethodGet, queuePrefix, nil); ok && a.status == http.StatusOK {
			c.cell.ledger.pendingShown(vm.name, a.pending, asked)
		}
	}
}

// watchConfiguration checks that the configuration of an entry VM never becomes older
// within the lifetime of its process.
func (c *caller) watchConfiguration(ctx context.Context, vm *entryVM) {
	var process chan struct{}
	seen := int64(0)
	for c.pause(ctx, 300*time.Millisecond) {
		current := vm.currentProcess()
		if process != current {
			process, seen = current, 0
		}
		version, ok := c.newestRoute(vm)
		if !ok || vm.currentProcess() != current {
			continue
		}
		if version < seen {
			c.cell.ledger.report("configurations never revert", "%s fell back from version %d to %d", vm.name, seen, version)
		}
		seen = version
	}
}

// newestRoute returns the newest version of the configuration whose route an entry VM
// knows. ok is false if the VM does not answer or has no configuration yet.
func (c *caller) newestRoute(vm *entryVM) (version int64, ok bool) {
	for v := c.cell.configurationVersion.Load(); v > 0; v-- {
		// The VM refuses the malformed job ID without asking the leader.
		a, ok := c.call(vm, http.MethodGet, addedPrefix(v)+"malformed", nil)
		if !ok || a.status == http.StatusServiceUnavailable {
			return 0, false
		}
		if a.status != http.StatusNotFound {
			return v, true
		}
	}
	return 0, true
}
