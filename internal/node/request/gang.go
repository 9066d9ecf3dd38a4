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
	// gangReservationLease is how long the capacity of a gang stays reserved unless the
	// reservation is renewed.
	gangReservationLease = 3 * time.Second
	// delayBeforeCollecting is how long a gang tries to reserve all its capacity at once
	// before it starts to collect capacity that becomes free.
	delayBeforeCollecting = 3 * time.Second
	// maxCollectTime is how long one try collects capacity. After that the gang
	// releases it, so that a gang that does not fit does not keep others from
	// collecting.
	maxCollectTime    = 10 * time.Second
	collectRetryPause = 100 * time.Millisecond
	// The pause between two tries to reserve a gang is random within these
	// limits.
	minGangRetryPause = 100 * time.Millisecond
	maxGangRetryPause = 600 * time.Millisecond
)

// ReservedTask is a task of a gang with the owner that has reserved capacity
// for it.
type ReservedTask struct {
	Task  entry.Task
	Owner Target
}

// ReserveGang reserves capacity for all tasks of a job at the owners of one
// failure domain, which it asks in the order of their names. It tries again until
// all tasks have capacity; the caller then starts each one with StartReservedTask. When
// ctx ends or the job is abandoned, it releases all reserved capacity and returns an
// error.
func (r *Runner) ReserveGang(ctx context.Context, domain string, members []Work) ([]ReservedTask, error) {
	began := time.Now()
	for try := 1; ctx.Err() == nil && !members[0].isAbandoned(); try++ {
		if members[0].isStartPermitted() {
			collect := time.Since(began) > delayBeforeCollecting
			if reserved := r.tryReserveGang(ctx, domain, members, try, collect); reserved != nil {
				return reserved, nil
			}
		}
		pause := minGangRetryPause + rand.N(maxGangRetryPause-minGangRetryPause)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil, errGangNotReserved
}

// errGangNotReserved means that the job was cancelled or that another holder
// has taken it over.
var errGangNotReserved = errors.New("gang not reserved: the job was cancelled or has another holder")

// tryReserveGang makes one try to reserve capacity for all tasks, and returns nil
// if it fails. If collect is set, the try lasts up to maxCollectTime and keeps
// its reservations for that time. Each owner lets one gang at a time collect, and
// owners are asked in the order of their names. The first owner therefore decides
// which gang collects, and two gangs never wait for each other.
func (r *Runner) tryReserveGang(ctx context.Context, domain string, members []Work, try int, collect bool) []ReservedTask {
	owners := r.usableOwners(domain)
	deadline := time.Now()
	if collect {
		deadline = deadline.Add(maxCollectTime)
	}
	held := map[string]ReservedTask{}
	for {
		gang, busy := r.reserveAllMembers(ctx, owners, members, try, collect, held)
		if gang != nil {
			r.releaseUnusedReservations(held, gang)
			return gang
		}
		if busy || !time.Now().Before(deadline) || ctx.Err() != nil || members[0].isAbandoned() {
			r.releaseUnusedReservations(held, nil)
			return nil
		}
		time.Sleep(collectRetryPause)
	}
}

// usableOwners returns the usable owners of a failure domain in the order of
// their names.
func (r *Runner) usableOwners(domain string) []Target {
	var out []Target
	for _, t := range r.peers.Targets() {
		if t.Domain == domain && t.Usable {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// reserveAllMembers asks the owners in turn to reserve capacity for the tasks that have
// none yet. It adds every reservation to held, which maps attempt IDs to reserved
// tasks. If every task has a reservation, it returns one per task as gang. busy
// is true when another gang is collecting.
func (r *Runner) reserveAllMembers(ctx context.Context, owners []Target, members []Work, try int, collect bool, held map[string]ReservedTask) (gang []ReservedTask, busy bool) {
	reserved := make([]ReservedTask, len(members))
	missing := len(members)
	for _, o := range owners {
		offers := newGangOffers(members, reserved, try, o, collect)
		if len(offers) == 0 {
			break
		}
		reply, err := r.reserveAtOwner(ctx, o, members[0], offers, collect)
		if err != nil {
			continue
		}
		if reply.Busy {
			return nil, true
		}
		for _, attempt := range reply.Held {
			offer := offers[attempt]
			held[attempt] = offer.reserved
			if reserved[offer.index].Task.Attempt == "" {
				reserved[offer.index] = offer.reserved
				missing--
			}
		}
	}
	if missing > 0 {
		return nil, false
	}
	return reserved, false
}

// gangOffer is a task of a gang for which one owner is asked to reserve capacity.
type gangOffer struct {
	// index is the position of the task in the gang.
	index    int
	reserved ReservedTask
}

// newGangOffers returns the tasks to offer to an owner, keyed by attempt ID:
// those without reserved capacity, or all of them if the gang collects.
func newGangOffers(members []Work, reserved []ReservedTask, try int, o Target, collect bool) map[string]gangOffer {
	out := map[string]gangOffer{}
	for i, w := range members {
		if reserved[i].Task.Attempt != "" && !collect {
			continue
		}
		t := w.newTask(fmt.Sprintf("%s/%d.g%d-%s", w.ID, w.Generation, try, o.Name), 0)
		out[t.Attempt] = gangOffer{i, ReservedTask{t, o}}
	}
	return out
}

// reserveAtOwner makes one Reserve call to an owner.
func (r *Runner) reserveAtOwner(ctx context.Context, o Target, w Work, offers map[string]gangOffer, collect bool) (entry.ReserveReply, error) {
	tasks := make([]entry.Task, len(offers))
	position := 0
	for _, offer := range offers {
		tasks[position] = offer.reserved.Task
		position++
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].Attempt < tasks[j].Attempt })
	ctx, cancel := context.WithTimeout(ctx, entry.CallTimeout)
	defer cancel()
	return r.peers.Reserve(ctx, o, entry.ReserveArgs{
		Epoch: o.Epoch, Gang: w.ID, Tasks: tasks, Lease: gangReservationLease, Collect: collect,
	})
}

// releaseUnusedReservations cancels the reservations in held that are not among the chosen
// tasks.
func (r *Runner) releaseUnusedReservations(held map[string]ReservedTask, chosen []ReservedTask) {
	isChosen := map[string]bool{}
	for _, t := range chosen {
		isChosen[t.Task.Attempt] = true
	}
	for attempt, t := range held {
		if !isChosen[attempt] {
			r.cancelAttempt(t.Owner, attempt)
		}
	}
}

// StartReservedTask starts a task whose capacity is reserved. It returns the attempt and its
// owner, which the caller sets as ExistingAttempt and ExistingAttemptOwner of the
// Work that it passes to Run. If the call fails, the state of the attempt is
// Moved, so that Run finds out whether it was started.
func (r *Runner) StartReservedTask(t ReservedTask) (entry.FoundAttempt, Target) {
	ctx, cancel := context.WithTimeout(context.Background(), entry.CallTimeout)
	defer cancel()
	status, err := r.peers.Run(ctx, t.Owner, entry.RunArgs{Epoch: t.Owner.Epoch, Task: t.Task})
	if err != nil {
		status = entry.Status{State: entry.Moved}
	}
	return entry.FoundAttempt{Attempt: t.Task.Attempt, Status: status}, t.Owner
}
