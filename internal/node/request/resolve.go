package request

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
)

// resolve finds out what became of an attempt whose owner gave no answer or
// has lost its worker. It ends in one of three ways: an owner knows the
// attempt; the original owner fences it; or every worker of the failure domain
// is proved to be held by another owner since the moment from which the
// original owner can not start it any more, and none lists it.
func (r *Runner) resolve(ctx context.Context, t Target, attempt string, asked time.Time) (Target, entry.Status) {
	// Past barrier the original owner drops the attempt if it still waits.
	barrier := asked.Add(entry.HolderLease + r.timing.Margin)
	reported := time.Now()
	for {
		// A call to the original owner may renew its interest in the attempt
		// even when the answer is lost.
		sent := time.Now()
		word := r.askOriginal(t, attempt)
		if word.known {
			return word.target, word.status
		}
		if word.lost {
			barrier = sent.Add(entry.HolderLease + entry.CallTimeout + r.timing.Margin)
		}
		answers := r.askAll(t.Domain, entry.ResolveArgs{Attempts: []string{attempt}})
		if target, status, ok := known(answers, attempt); ok {
			return target, status
		}
		former := t
		if word.gaveUp {
			// The original owner will not start the attempt any more, so what it
			// holds by now proves as much as what others hold.
			former = Target{Domain: t.Domain}
		}
		missing := r.uncovered(former, answers, barrier)
		if len(missing) == 0 {
			return t, entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced, RetryAfter: time.Second}
		}
		if ctx.Err() != nil && time.Since(asked) > maxResolveAfterCancel {
			return t, entry.Status{State: entry.Stopped, Reason: reasonUnresolved}
		}
		if time.Since(reported) > reportUnresolved {
			reported = time.Now()
			r.log.Info("outcome_unresolved", "attempt", attempt, "owner", t.Name, "uncovered", strings.Join(missing[:min(len(missing), maxReported)], ","))
		}
		time.Sleep(r.timing.Retry)
	}
}

const (
	// reportUnresolved is how often an outcome that is not found out is logged.
	reportUnresolved = 5 * time.Second
	// maxReported bounds the workers that are named then.
	maxReported = 5
)

// maxResolveAfterCancel bounds how long a cancelled attempt is looked for.
const maxResolveAfterCancel = time.Minute

// reasonUnresolved is given when the outcome could not be found out.
const reasonUnresolved = "unresolved"

// word is what the original owner of an attempt says.
type word struct {
	target Target
	status entry.Status
	// known is true when status is to be followed.
	known bool
	// gaveUp is true when the owner has lost the attempt's worker.
	gaveUp bool
	// lost is true when a call was made and not answered.
	lost bool
}

// askOriginal asks the owner that was given the attempt, if it still lives.
func (r *Runner) askOriginal(t Target, attempt string) word {
	for _, o := range r.peers.Targets() {
		if o.Name != t.Name || o.Epoch != t.Epoch || !o.Reachable {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
		defer cancel()
		s, err := r.peers.Await(ctx, o, entry.AwaitArgs{Epoch: o.Epoch, Attempt: attempt})
		switch {
		case err != nil:
			return word{lost: true}
		case s.State == entry.Moved:
			return word{gaveUp: true}
		}
		return word{target: o, status: s, known: true}
	}
	return word{}
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

// uncovered returns the listed workers of the domain that were not proved, after
// the barrier, to be held by an owner other than the original one.
func (r *Runner) uncovered(t Target, answers []answer, barrier time.Time) []string {
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
	var missing []string
	workers := r.peers.Workers(t.Domain)
	for _, w := range workers {
		if !held[w] {
			missing = append(missing, w)
		}
	}
	if len(workers) == 0 {
		return []string{"unknown"}
	}
	return missing
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
		if len(found) == len(tasks) || len(r.uncovered(Target{Domain: domain}, answers, barrier)) == 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(r.timing.Retry):
		}
	}
}
