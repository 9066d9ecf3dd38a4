package request

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
)

// resolveAttempt finds out what became of an attempt whose owner did not answer
// or has lost its worker. It ends in one of three ways: an owner knows the
// attempt; the original owner fences it; or every worker of the failure domain
// is proved to be held by another owner since a time at which the original
// owner could no longer start the attempt, and no owner knows the attempt. If
// ctx has ended, it gives up after maxResolveAfterCancel.
func (r *Runner) resolveAttempt(ctx context.Context, t Target, attempt string, lastCall time.Time) (Target, entry.Status) {
	// After the barrier the original owner does not start the attempt if it still
	// waits there, since its holder lease has ended.
	barrier := lastCall.Add(entry.HolderLease + r.timing.ClockMargin)
	reported := time.Now()
	for {
		// A call to the original owner renews the holder lease of the attempt
		// even if the reply is lost, and so moves the barrier.
		sent := time.Now()
		reply := r.askOriginalOwner(t, attempt)
		if reply.found {
			return reply.target, reply.status
		}
		if reply.unanswered {
			barrier = sent.Add(entry.HolderLease + entry.CallTimeout + r.timing.ClockMargin)
		}
		answers := r.askAllOwners(t.Domain, entry.ResolveArgs{Attempts: []string{attempt}})
		if target, status, ok := findAttempt(answers, attempt); ok {
			return target, status
		}
		excluded := t
		if reply.workerLost {
			// The original owner will no longer start the attempt, so a worker that
			// it holds proves as much as one that another owner holds.
			excluded = Target{Domain: t.Domain}
		}
		unproved := r.unprovedWorkers(excluded, answers, barrier)
		if len(unproved) == 0 {
			return t, entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced, RetryAfter: time.Second}
		}
		if ctx.Err() != nil && time.Since(lastCall) > maxResolveAfterCancel {
			return t, entry.Status{State: entry.Stopped, Reason: reasonUnresolved}
		}
		if time.Since(reported) > reportInterval {
			reported = time.Now()
			r.log.Info("outcome_unresolved", "attempt", attempt, "owner", t.Name, "uncovered", strings.Join(unproved[:min(len(unproved), maxReportedWorkers)], ","))
		}
		time.Sleep(r.timing.RetryPause)
	}
}

const (
	// reportInterval is the interval at which an unresolved outcome is logged.
	reportInterval = 5 * time.Second
	// maxReportedWorkers is how many workers such a log line names.
	maxReportedWorkers = 5
)

// maxResolveAfterCancel is how long the outcome of a cancelled attempt is
// searched for.
const maxResolveAfterCancel = time.Minute

// reasonUnresolved is the reason of attempts whose outcome could not be found
// out.
const reasonUnresolved = "unresolved"

// ownerReply is the result of a call to the original owner of an attempt.
type ownerReply struct {
	target Target
	status entry.Status
	// found is true when the owner knows the attempt; target and status are
	// set.
	found bool
	// workerLost is true when the owner has lost the worker of the attempt.
	workerLost bool
	// unanswered is true when the call was sent and no reply was received.
	unanswered bool
}

// askOriginalOwner asks the owner that was given the attempt for its status.
// The result is empty when that owner is gone, is not reachable or has another
// epoch.
func (r *Runner) askOriginalOwner(t Target, attempt string) ownerReply {
	for _, o := range r.peers.Targets() {
		if o.Name != t.Name || o.Epoch != t.Epoch || !o.Reachable {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
		defer cancel()
		s, err := r.peers.Await(ctx, o, entry.AwaitArgs{Epoch: o.Epoch, Attempt: attempt})
		switch {
		case err != nil:
			return ownerReply{unanswered: true}
		case s.State == entry.Moved:
			return ownerReply{workerLost: true}
		}
		return ownerReply{target: o, status: s, found: true}
	}
	return ownerReply{}
}

// resolveAnswer is the reply of one owner to a Resolve call.
type resolveAnswer struct {
	target Target
	reply  entry.ResolveReply
	sent   time.Time
}

// askAllOwners sends a Resolve call to every reachable owner of a failure
// domain at the same time. It returns the replies; owners that do not answer
// are left out.
func (r *Runner) askAllOwners(domain string, args entry.ResolveArgs) []resolveAnswer {
	var (
		group   sync.WaitGroup
		mutex   sync.Mutex
		answers []resolveAnswer
	)
	for _, o := range r.peers.Targets() {
		if o.Domain != domain || !o.Reachable {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
			defer cancel()
			sent := time.Now()
			reply, err := r.peers.Resolve(ctx, o, args)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, resolveAnswer{target: o, reply: reply, sent: sent})
		})
	}
	group.Wait()
	return answers
}

// findAttempt returns the owner that knows the attempt and the status there. An
// owner that knows the end of the attempt is preferred.
func findAttempt(answers []resolveAnswer, attempt string) (target Target, status entry.Status, ok bool) {
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

// unprovedWorkers returns the workers of the failure domain of t that may still
// be held by the owner t with its epoch: those that no other owner has proved
// to hold at a time after the barrier. It returns the word "unknown" when the
// platform lists no workers for the domain.
func (r *Runner) unprovedWorkers(t Target, answers []resolveAnswer, barrier time.Time) []string {
	held := map[string]bool{}
	for _, a := range answers {
		if a.target.Name == t.Name && a.reply.Epoch == t.Epoch {
			continue
		}
		for w, age := range a.reply.Verified {
			if a.sent.Add(-age).After(barrier) {
				held[w] = true
			}
		}
	}
	var unproved []string
	workers := r.peers.Workers(t.Domain)
	for _, w := range workers {
		if !held[w] {
			unproved = append(unproved, w)
		}
	}
	if len(workers) == 0 {
		return []string{"unknown"}
	}
	return unproved
}

// LocatedAttempt is an attempt of a task that a former holder left behind, and its
// owner.
type LocatedAttempt struct {
	Attempt entry.FoundAttempt
	Owner   Target
}

// TakeOver finds the attempts that former holders left for the given tasks in a
// failure domain. tasks maps each task to the generation of its new holder;
// lower generations are fenced. It returns once each task has an attempt or is
// proved never to start under a former generation, which needs every worker of
// the domain to be proved held after the barrier. The error is that of ctx,
// when ctx ends first.
func (r *Runner) TakeOver(ctx context.Context, domain string, tasks map[string]int, barrier time.Time) (map[string]LocatedAttempt, error) {
	for {
		found := map[string]LocatedAttempt{}
		answers := r.askAllOwners(domain, entry.ResolveArgs{Tasks: tasks})
		for _, a := range answers {
			for name, f := range a.reply.FoundTasks {
				best, ok := found[name]
				if ok && (best.Attempt.Status.State.Ended() || !f.Status.State.Ended()) {
					continue
				}
				a.target.Epoch = a.reply.Epoch
				found[name] = LocatedAttempt{f, a.target}
			}
		}
		if len(found) == len(tasks) || len(r.unprovedWorkers(Target{Domain: domain}, answers, barrier)) == 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(r.timing.RetryPause):
		}
	}
}
