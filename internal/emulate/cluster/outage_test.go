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

// An entry VM is killed while the log service and the VM list are unavailable. The
// other entry VMs adopt its workers and continue to run repeatable requests.
// Requests with a key are refused as not run until the log is available again. An
// entry VM that starts during the outage gets the configuration from a peer.
func TestPlatformAway(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t)
	is.NoErr(c.SetLogFault(ctx, standin.LogFault{Outage: true}))
	is.NoErr(c.SetVMListFault(ctx, standin.VMListFault{Outage: true}))
	c.EntryVMs[0].Kill()
	is.NoErr(c.WaitAdopted(ctx))
	o, _, err := submitRequest(c.EntryVMs[2], requestSpec("urgent", 50*time.Millisecond), "")
	is.NoErr(err)
	is.Equal(o.State, request.Done)
	is.Equal(nonce(o), "urgent")

	s := requestSpec("letter", 50*time.Millisecond)
	s.Repeatable, s.Key = false, ulid.Make().String()
	o, status, err := submitRequest(c.EntryVMs[2], s, "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(o.State, request.NotRun)
	is.True(o.RetryAfterMilliseconds > 0)

	newEntry, err := c.StartEntryVM(ctx, "entry-9", c.EntryVMs[0].Domain)
	is.NoErr(err)
	for !c.IsReady(ctx, newEntry) {
		time.Sleep(20 * time.Millisecond)
	}
	o, _, err = submitRequest(newEntry, requestSpec("born", 50*time.Millisecond), "")
	is.NoErr(err)
	is.Equal(nonce(o), "born")

	is.NoErr(c.SetLogFault(ctx, standin.LogFault{}))
	is.NoErr(c.SetVMListFault(ctx, standin.VMListFault{}))
	for o.State = request.NotRun; o.State == request.NotRun; {
		o, _, err = submitRequest(newEntry, s, "")
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(nonce(o), "letter")
}

// Every entry VM is replaced by a planned stop. Requests that it received before it
// became not ready are still answered.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t)
	old := append([]*cluster.EntryVM(nil), c.EntryVMs...)
	results := make(chan string, 1000)
	for i, e := range old {
		replacement, err := c.StartEntryVM(ctx, fmt.Sprintf("fresh-%d", i), e.Domain)
		is.NoErr(err)
		for !c.IsReady(ctx, replacement) {
			time.Sleep(20 * time.Millisecond)
		}
		// These requests are in flight when the old entry VM starts to drain.
		for n := range 20 {
			go func() {
				name := fmt.Sprintf("r%d-%d", i, n)
				o, _, err := submitRequest(e, requestSpec(name, 300*time.Millisecond), "")
				if err != nil || o.State != request.Done || nonce(o) != name {
					results <- fmt.Sprintf("%s: %+v %v", name, o, err)
					return
				}
				results <- ""
			}()
		}
		time.Sleep(50 * time.Millisecond)
		e.Terminate()
		for range 20 {
			is.Equal(<-results, "")
		}
		<-e.Done()
	}
	is.NoErr(c.WaitAdopted(ctx))
}
