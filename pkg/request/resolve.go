package request

import (
	"context"
	"sync"
	"time"

	"github.com/almondpost/almondpost/pkg/entry"
)

// resolve finds out what became of an attempt whose owner gave no answer or
// has lost its worker. It ends in one of three ways: an owner knows the
// attempt; the original owner fences it; or every worker of the failure domain
// is proved to be held by another owner since the moment from which the
// original owner can not start it any more, and none lists it.
func (r *Runner) resolve(ctx context.Context, t Target, attempt string, asked time.Time) (Target, entry.Status) {
	// Past barrier the original owner drops the attempt if it still waits.
	barrier := asked.Add(entry.HolderLease + r.timing.Margin)
	for {
		// A call to the original owner may renew its interest in the attempt
		// even when the answer is lost.
		sent := time.Now()
		target, status, called, ok := r.askOriginal(t, attempt)
		if ok {
			return target, status
		}
		if called {
			barrier = sent.Add(entry.HolderLease + entry.CallTimeout + r.timing.Margin)
		}
		answers := r.askAll(t.Domain, entry.ResolveArgs{Attempts: []string{attempt}})
		if target, status, ok := known(answers, attempt); ok {
			return target, status
		}
		if r.covered(t, answers, barrier) {
			return t, entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced, RetryAfter: time.Second}
		}
		if ctx.Err() != nil && time.Since(asked) > maxResolveAfterCancel {
			return t, entry.Status{State: entry.Stopped, Reason: reasonUnresolved}
		}
		time.Sleep(r.timing.Retry)
	}
}

// maxResolveAfterCancel bounds how long a cancelled attempt is looked for.
const maxResolveAfterCancel = time.Minute

// reasonUnresolved is given when the outcome could not be found out.
const reasonUnresolved = "unresolved"

// askOriginal asks the owner that was given the attempt, if it still lives. It
// reports whether a call was made, and whether it was answered.
func (r *Runner) askOriginal(t Target, attempt string) (target Target, status entry.Status, called, ok bool) {
	for _, o := range r.peers.Targets() {
		if o.Name != t.Name || o.Epoch != t.Epoch || !o.Reachable {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
		defer cancel()
		s, err := r.peers.Await(ctx, o, entry.AwaitArgs{Epoch: o.Epoch, Attempt: attempt})
		if err == nil && s.State != entry.Moved {
			return o, s, true, true
		}
		called = called || err != nil
	}
	return t, entry.Status{}, called, false
}

// answer is the reply of one owner and when it was asked.
type answer struct {
	target Target
	reply  entry.ResolveReply
	asked  time.Time
}

func (r *Runner) askAll(domain string, args entry.ResolveArgs) []answer {
	var (
		group   sync.WaitGroup
		mutex   sync.Mutex
		answers []answer
	)
	for _, o := range r.peers.Targets() {
		if o.Domain != domain || !o.Reachable {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
			defer cancel()
			asked := time.Now()
			reply, err := r.peers.Resolve(ctx, o, args)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, answer{target: o, reply: reply, asked: asked})
		})
	}
	group.Wait()
	return answers
}

// known returns the owner that knows the attempt, one that saw its end first.
func known(answers []answer, attempt string) (target Target, status entry.Status, ok bool) {
	for _, a := range answers {
		s, found := a.reply.Found[attempt]
		if !found {
			continue
		}
		if !ok || s.State.Ended() && !status.State.Ended() {
			target, status, ok = a.target, s, true
			target.Epoch = a.reply.Epoch
		}
	}
	return target, status, ok
}

// covered reports whether every listed worker of the domain was proved, after
// the barrier, to be held by an owner other than the original one.
func (r *Runner) covered(t Target, answers []answer, barrier time.Time) bool {
	if time.Now().Before(barrier) {
		return false
	}
	held := map[string]bool{}
	for _, a := range answers {
		if a.target.Name == t.Name && a.reply.Epoch == t.Epoch {
			continue
		}
		for w, age := range a.reply.Verified {
			if a.asked.Add(-age).After(barrier) {
				held[w] = true
			}
		}
	}
	workers := r.peers.Workers(t.Domain)
	for _, w := range workers {
		if !held[w] {
			return false
		}
	}
	return len(workers) > 0
}

// Found is what became of a task under its former holder.
type Found struct {
	Attempt entry.FoundAttempt
	Owner   Target
}

// TakeOver fences the former generations of tasks in a failure domain and
// finds their attempts. It returns once every task was found or is proved never
// to run again under a former generation, or when ctx ends.
func (r *Runner) TakeOver(ctx context.Context, domain string, tasks map[string]int, barrier time.Time) (map[string]Found, error) {
	for {
		found := map[string]Found{}
		answers := r.askAll(domain, entry.ResolveArgs{Tasks: tasks})
		for _, a := range answers {
			for name, f := range a.reply.FoundTasks {
				before, ok := found[name]
				if ok && (before.Attempt.Status.State.Ended() || !f.Status.State.Ended()) {
					continue
				}
				a.target.Epoch = a.reply.Epoch
				found[name] = Found{f, a.target}
			}
		}
		if len(found) == len(tasks) || r.covered(Target{Domain: domain}, answers, barrier) {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(r.timing.Retry):
		}
	}
}
