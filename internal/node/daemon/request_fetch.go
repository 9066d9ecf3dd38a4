package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/peer/entry"
)

// HandleFetch answers a Fetch call of another entry VM. It returns the outcome
// of a request or the status of a job, or cancels a request.
func (r *Requests) HandleFetch(a entry.FetchArgs) entry.FetchReply {
	if a.Job {
		status, ok := r.node.jobs.awaitJobEnd(context.Background(), a.ID, a.Wait)
		data, err := json.Marshal(status)
		return entry.FetchReply{Known: ok && err == nil, Outcome: data}
	}
	if a.Cancel {
		return entry.FetchReply{Known: r.Cancel(a.ID)}
	}
	outcome, ok := r.Wait(context.Background(), a.ID, min(a.Wait, maxFetchWait))
	if !ok {
		return entry.FetchReply{}
	}
	data, err := json.Marshal(outcome)
	return entry.FetchReply{Known: err == nil, Outcome: data}
}

// splitRequestID returns the failure domain and the entry VM in an ID that NewID
// built. It returns false if the ID is malformed.
func splitRequestID(id string) (domain, vm string, ok bool) {
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// Fetch waits for the end of a request, whichever entry VM it was submitted to,
// and returns its outcome. It waits for at most the shorter of wait and
// maxFetchWait; if the request has not ended by then, the state is pending. It
// returns false if the request is unknown.
func (r *Requests) Fetch(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool) {
	domain, vm, ok := splitRequestID(id)
	if !ok {
		return request.Outcome{}, false
	}
	wait = min(wait, maxFetchWait)
	if vm == r.node.Settings.Name {
		if outcome, known := r.Wait(ctx, id, wait); known {
			return outcome, true
		}
		return r.findOrphanedOutcome(ctx, domain, id)
	}
	callContext, cancel := context.WithTimeout(ctx, wait+entry.CallTimeout)
	defer cancel()
	reply, err := callPeer[entry.FetchReply](callContext, r.node, vm, "Fetch", entry.FetchArgs{ID: id, Wait: wait})
	var outcome request.Outcome
	if err == nil && reply.Known && json.Unmarshal(reply.Outcome, &outcome) == nil {
		return outcome, true
	}
	return r.findOrphanedOutcome(ctx, domain, id)
}

// findOrphanedOutcome returns the outcome of a request whose entry VM is gone.
// It asks the owners in the failure domain of that VM for the attempts of the
// request, but does not stop them from starting one. If an attempt is still open,
// the state is pending. It returns false if it finds no attempt that has finished
// or is still open.
func (r *Requests) findOrphanedOutcome(ctx context.Context, domain, id string) (request.Outcome, bool) {
	attempts := make([]string, 0, maxOrphanAttempts)
	for i := range maxOrphanAttempts {
		attempts = append(attempts, request.AttemptID(id, i+1))
	}
	for _, t := range r.node.Targets() {
		if t.Domain != domain || !t.Reachable {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, entry.CallTimeout)
		reply, err := r.node.Resolve(callContext, t, entry.ResolveArgs{Attempts: attempts, Peek: true})
		cancel()
		if err != nil {
			continue
		}
		for _, s := range reply.Found {
			if s.State == entry.Finished {
				outcome := request.Outcome{ID: id, State: request.Done}
				outcome.SetAnswer(s.Answer)
				return outcome, true
			}
			if !s.State.Ended() {
				return request.Outcome{ID: id, State: request.Pending}, true
			}
		}
	}
	return request.Outcome{}, false
}

// Fetch implements caller.Service.
func (n *Node) Fetch(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool) {
	return n.requests.Fetch(ctx, id, wait)
}

// CancelRequest implements caller.Service.
func (n *Node) CancelRequest(ctx context.Context, id string) bool {
	_, vm, ok := splitRequestID(id)
	if !ok {
		return false
	}
	if vm == n.Settings.Name {
		return n.requests.Cancel(id)
	}
	reply, err := callPeer[entry.FetchReply](ctx, n, vm, "Fetch", entry.FetchArgs{ID: id, Cancel: true})
	return err == nil && reply.Known
}
