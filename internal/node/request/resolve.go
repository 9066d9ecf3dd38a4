package request

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
)

// resolveAttempt finds out what became of an attempt whose owner did not answer
// or has lost its worker. It returns in one of three cases: an owner knows the
// attempt; the original owner has fenced it; or no owner knows the attempt, and
// other owners verify that they hold every worker of the failure domain at a time
// when the original owner can no longer start the attempt. If ctx has ended, it
// gives up after resolveTimeoutAfterCancel.
func (r *Runner) resolveAttempt(ctx context.Context, t Target, attempt string, lastCall time.Time) (Target, entry.Status) {
	// After startCutoff the original owner no longer starts the attempt: if the
	// attempt still waits there, its holder lease has expired.
	startCutoff := lastCall.Add(entry.HolderLease + r.timing.ClockMargin)
	lastLogged := time.Now()
	for {
		// A call to the original owner may renew the holder lease of the attempt
		// even if the reply is lost, so an unanswered call moves startCutoff.
		sent := time.Now()
		reply := r.askOriginalOwner(t, attempt)
		if reply.found {
			return reply.target, reply.status
		}
		if reply.unanswered {
			startCutoff = sent.Add(entry.HolderLease + entry.CallTimeout + r.timing.ClockMargin)
		}
		answers := r.askAllOwners(t.Domain, entry.ResolveArgs{Attempts: []string{attempt}})
		if target, status, ok := findAttempt(answers, attempt); ok {
			return target, status
		}
		excluded := t
		if reply.workerLost {
			// The original owner will no longer start the attempt, so the workers
			// that it holds itself count as verified, too.
			excluded = Target{Domain: t.Domain}
		}
		unverified := r.unverifiedWorkers(excluded, answers, startCutoff)
		if len(unverified) == 0 {
			return t, entry.Status{State: entry.NotRun, Reason: entry.ReasonFenced, RetryAfter: time.Second}
		}
		if ctx.Err() != nil && time.Since(lastCall) > resolveTimeoutAfterCancel {
			return t, entry.Status{State: entry.Stopped, Reason: reasonUnresolved}
		}
		if time.Since(lastLogged) > unresolvedLogInterval {
			lastLogged = time.Now()
			r.log.Info("outcome_unresolved", "attempt", attempt, "owner", t.Name, "uncovered", strings.Join(unverified[:min(len(unverified), maxLoggedWorkers)], ","))
		}
		time.Sleep(r.timing.RetryPause)
	}
}

const (
	// unresolvedLogInterval is the interval at which an unresolved outcome is
	// logged.
	unresolvedLogInterval = 5 * time.Second
	// maxLoggedWorkers is the maximum number of workers that such a log line
	// names.
	maxLoggedWorkers = 5
)

// resolveTimeoutAfterCancel is how long after the last call to its owner
// resolveAttempt gives up on a cancelled attempt.
const resolveTimeoutAfterCancel = time.Minute

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
	// unanswered is true when the call returned an error. The owner may have
	// received it nevertheless.
	unanswered bool
}

// askOriginalOwner asks the owner to which the attempt was sent for its status.
// It returns the zero value when that owner is gone, is not reachable or has
// another epoch.
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
	sentAt time.Time
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
			answers = append(answers, resolveAnswer{target: o, reply: reply, sentAt: sent})
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

// unverifiedWorkers returns the workers in the failure domain of t that the owner
// t may still hold under its epoch: those for which no other owner or epoch
// reports an answered call that was sent after startCutoff. When the platform
// lists no workers for the domain, it returns the single element "unknown".
func (r *Runner) unverifiedWorkers(t Target, answers []resolveAnswer, startCutoff time.Time) []string {
	held := map[string]bool{}
	for _, a := range answers {
		if a.target.Name == t.Name && a.reply.Epoch == t.Epoch {
			continue
		}
		for w, age := range a.reply.Verified {
			if a.sentAt.Add(-age).After(startCutoff) {
				held[w] = true
			}
		}
	}
	var unverified []string
	workers := r.peers.Workers(t.Domain)
	for _, w := range workers {
		if !held[w] {
			unverified = append(unverified, w)
		}
	}
	if len(workers) == 0 {
		return []string{"unknown"}
	}
	return unverified
}

// LocatedAttempt is an attempt of a task that a former holder left behind, and its
// owner.
type LocatedAttempt struct {
	Attempt entry.FoundAttempt
	Owner   Target
}

// TakeOver finds the attempts that former holders left for the given tasks in a
// failure domain. tasks maps each task to the generation of its new holder; lower
// generations are fenced. TakeOver returns when it has found an attempt of every
// task, or when the owners verify that they have held every worker of the domain
// after startCutoff; a task without an attempt then never starts under a lower
// generation. If ctx ends first, TakeOver returns the error of ctx.
func (r *Runner) TakeOver(ctx context.Context, domain string, tasks map[string]int, startCutoff time.Time) (map[string]LocatedAttempt, error) {
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
		if len(found) == len(tasks) || len(r.unverifiedWorkers(Target{Domain: domain}, answers, startCutoff)) == 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(r.timing.RetryPause):
		}
	}
}
