package request

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/almondpost/almondpost/internal/peer/entry"
)

const (
	// gangLease is how long room is held without a renewal.
	gangLease = 3 * time.Second
	// gangPatience is how long a gang tries to find room at once before it
	// collects room over time.
	gangPatience = 3 * time.Second
	// collectTime bounds one try to collect, so that a gang that does not fit
	// gives way to others.
	collectTime  = 10 * time.Second
	collectPause = 100 * time.Millisecond
	// The pause between tries is drawn between these bounds.
	gangPauseLow  = 100 * time.Millisecond
	gangPauseHigh = 600 * time.Millisecond
)

// Placed is a task of a gang whose room is held.
type Placed struct {
	Task  entry.Task
	Owner Target
}

// Gang holds room for all tasks of a job at once, in the owners of one failure
// domain, in the order of their names. It returns when the gang is whole or ctx
// ends; nothing is held in the latter case. The caller commits each task with
// Run.
func (r *Runner) Gang(ctx context.Context, domain string, works []Work) ([]Placed, error) {
	began := time.Now()
	for try := 1; ctx.Err() == nil && !works[0].isAbandoned(); try++ {
		if works[0].isPermitted() {
			aged := time.Since(began) > gangPatience
			if placed := r.gather(ctx, domain, works, try, aged); placed != nil {
				return placed, nil
			}
		}
		pause := gangPauseLow + rand.N(gangPauseHigh-gangPauseLow)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil, errNoGang
}

// errNoGang means that the job was cancelled or has another holder.
var errNoGang = errors.New("gang given up")

// gather makes one try. An aged gang keeps what it has and collects for a
// bounded time; the slot of the first owner in name order lets one gang collect
// at a time, so that two never wait for each other.
func (r *Runner) gather(ctx context.Context, domain string, works []Work, try int, aged bool) []Placed {
	owners := r.owners(domain)
	deadline := time.Now()
	if aged {
		deadline = deadline.Add(collectTime)
	}
	held := map[string]Placed{}
	for {
		whole, busy := r.reserveAll(ctx, owners, works, try, aged, held)
		if whole != nil {
			r.releaseOthers(held, whole)
			return whole
		}
		if busy || !time.Now().Before(deadline) || ctx.Err() != nil || works[0].isAbandoned() {
			r.releaseOthers(held, nil)
			return nil
		}
		time.Sleep(collectPause)
	}
}

func (r *Runner) owners(domain string) []Target {
	var out []Target
	for _, t := range r.peers.Targets() {
		if t.Domain == domain && t.Usable {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// reserveAll asks the owners in turn for the tasks that have no room yet. It
// notes in held what is held anywhere, and returns the gang when it is whole.
func (r *Runner) reserveAll(ctx context.Context, owners []Target, works []Work, try int, collect bool, held map[string]Placed) (whole []Placed, busy bool) {
	placed := make([]Placed, len(works))
	missing := len(works)
	for _, o := range owners {
		offers := gangOffers(works, placed, try, o, collect)
		if len(offers) == 0 {
			break
		}
		reply, err := r.reserve(ctx, o, works[0], offers, collect)
		if err != nil {
			continue
		}
		if reply.Busy {
			return nil, true
		}
		for _, attempt := range reply.Held {
			offer := offers[attempt]
			held[attempt] = offer.placed
			if placed[offer.index].Task.Attempt == "" {
				placed[offer.index] = offer.placed
				missing--
			}
		}
	}
	if missing > 0 {
		return nil, false
	}
	return placed, false
}

// gangOffer is a task of a gang that one owner is asked for.
type gangOffer struct {
	// index is that of the task in the gang.
	index  int
	placed Placed
}

// gangOffers returns the tasks to ask an owner for, by attempt: those without
// room, or all of them for a gang that collects.
func gangOffers(works []Work, placed []Placed, try int, o Target, collect bool) map[string]gangOffer {
	out := map[string]gangOffer{}
	for i, w := range works {
		if placed[i].Task.Attempt != "" && !collect {
			continue
		}
		t := w.task(fmt.Sprintf("%s/%d.g%d-%s", w.ID, w.Generation, try, o.Name), 0)
		out[t.Attempt] = gangOffer{i, Placed{t, o}}
	}
	return out
}

func (r *Runner) reserve(ctx context.Context, o Target, w Work, offers map[string]gangOffer, collect bool) (entry.ReserveReply, error) {
	tasks := make([]entry.Task, len(offers))
	position := 0
	for _, offer := range offers {
		tasks[position] = offer.placed.Task
		position++
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].Attempt < tasks[j].Attempt })
	ctx, cancel := context.WithTimeout(ctx, entry.CallTimeout)
	defer cancel()
	return r.peers.Reserve(ctx, o, entry.ReserveArgs{
		Epoch: o.Epoch, Gang: w.ID, Tasks: tasks, Lease: gangLease, Collect: collect,
	})
}

// releaseOthers gives back what is held beside the chosen tasks.
func (r *Runner) releaseOthers(held map[string]Placed, chosen []Placed) {
	keep := map[string]bool{}
	for _, p := range chosen {
		keep[p.Task.Attempt] = true
	}
	for attempt, p := range held {
		if !keep[attempt] {
			r.cancel(p.Owner, attempt)
		}
	}
}

// Commit starts a task whose room is held, and returns it as an attempt that
// Run can follow.
func (r *Runner) Commit(p Placed) (entry.FoundAttempt, Target) {
	ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
	defer cancel()
	status, err := r.peers.Run(ctx, p.Owner, entry.RunArgs{Epoch: p.Owner.Epoch, Task: p.Task})
	if err != nil {
		status = entry.Status{State: entry.Moved}
	}
	return entry.FoundAttempt{Attempt: p.Task.Attempt, Status: status}, p.Owner
}
