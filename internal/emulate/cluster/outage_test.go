package cluster_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/request"
)

// TestPlatformAway kills an entry VM while log and VM list are away. The others
// take its workers over and go on with repeatable work; work with a key is
// refused as not run; an entry VM that is born then learns the lists from a
// peer.
func TestPlatformAway(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := start(t)
	is.NoErr(c.SetLogFault(ctx, standin.LogFault{Outage: true}))
	is.NoErr(c.SetListFault(ctx, standin.VMsFault{Outage: true}))
	c.Entries[0].Kill()
	is.NoErr(c.AwaitAdopted(ctx))
	o, _, err := post(c.Entries[2], spec("urgent", 50*time.Millisecond), "")
	is.NoErr(err)
	is.Equal(o.State, request.Done)
	is.Equal(nonce(o), "urgent")

	s := spec("letter", 50*time.Millisecond)
	s.Repeatable, s.Key = false, ulid.Make().String()
	o, status, err := post(c.Entries[2], s, "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(o.State, request.NotRun)
	is.True(o.RetryAfterMilliseconds > 0)

	born, err := c.StartEntry(ctx, "entry-9", c.Entries[0].Domain)
	is.NoErr(err)
	for !c.IsReady(ctx, born) {
		time.Sleep(20 * time.Millisecond)
	}
	o, _, err = post(born, spec("born", 50*time.Millisecond), "")
	is.NoErr(err)
	is.Equal(nonce(o), "born")

	is.NoErr(c.SetLogFault(ctx, standin.LogFault{}))
	is.NoErr(c.SetListFault(ctx, standin.VMsFault{}))
	for o.State = request.NotRun; o.State == request.NotRun; {
		o, _, err = post(born, s, "")
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(nonce(o), "letter")
}

// TestRollingReplacement replaces every entry VM by a planned stop while callers
// go on through a balancer. No request is cut.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := start(t)
	old := append([]*cluster.Entry(nil), c.Entries...)
	failures := make(chan string, 1000)
	for i, e := range old {
		fresh, err := c.StartEntry(ctx, fmt.Sprintf("fresh-%d", i), e.Domain)
		is.NoErr(err)
		for !c.IsReady(ctx, fresh) {
			time.Sleep(20 * time.Millisecond)
		}
		// Callers that were sent to the old VM before it became not ready.
		for n := range 20 {
			go func() {
				name := fmt.Sprintf("r%d-%d", i, n)
				o, _, err := post(e, spec(name, 300*time.Millisecond), "")
				if err != nil || o.State != request.Done || nonce(o) != name {
					failures <- fmt.Sprintf("%s: %+v %v", name, o, err)
					return
				}
				failures <- ""
			}()
		}
		time.Sleep(50 * time.Millisecond)
		e.Terminate()
		for range 20 {
			is.Equal(<-failures, "")
		}
		<-e.Done()
	}
	is.NoErr(c.AwaitAdopted(ctx))
}
