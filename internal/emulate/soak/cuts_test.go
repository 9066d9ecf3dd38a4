package soak

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/emulate/memory"
	"github.com/almondpost/almondpost/internal/peer/backend"
	"github.com/almondpost/almondpost/internal/peer/store"
)

func TestCallsThroughCutsGetNoAnswer(t *testing.T) {
	scenarios := []struct {
		testName           string
		fault              func(c *cell, vm *entryVM)
		duringCall         bool
		executed, answered bool
	}{
		{"no fault", func(*cell, *entryVM) {}, false, true, true},
		{"the domain of the worker is cut off", func(c *cell, _ *entryVM) { c.cuts[1].Add(1) }, false, false, false},
		{"the domain of the VM is cut off", func(c *cell, _ *entryVM) { c.cuts[0].Add(1) }, false, false, false},
		{"another domain is cut off", func(c *cell, _ *entryVM) { c.cuts[2].Add(1) }, false, true, true},
		{"the domain is cut off before the answer", func(c *cell, _ *entryVM) { c.cuts[1].Add(1) }, true, true, false},
		{"answers are lost", func(_ *cell, vm *entryVM) { vm.lostAnswers[1].Add(1) }, false, true, false},
		{"answers of another domain are lost", func(_ *cell, vm *entryVM) { vm.lostAnswers[0].Add(1) }, false, true, true},
		{"VM and worker are of the same domain, which is cut off", func(c *cell, vm *entryVM) { vm.domain = 1; c.cuts[1].Add(1) }, false, true, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			c, vm, w := &cell{}, &entryVM{}, &worker{domain: 1}
			c.nearCuts.Add(1)
			if !s.duringCall {
				s.fault(c, vm)
			}
			var executed atomic.Bool
			server := httptest.NewUnstartedServer(c.throughCuts(w, http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
				executed.Store(true)
				if s.duringCall {
					s.fault(c, vm)
				}
				response.WriteHeader(http.StatusOK)
			})))
			server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
				n := &connection{}
				n.vm.Store(vm)
				return context.WithValue(ctx, connectionKey{}, n)
			}
			server.Start()
			defer server.Close()
			client := &http.Client{Timeout: 200 * time.Millisecond}
			if s.answered {
				client.Timeout = time.Minute
			}
			response, err := client.Get(server.URL)
			if err == nil {
				_ = response.Body.Close()
			}
			is.Equal(err == nil, s.answered)
			is.Equal(executed.Load(), s.executed)
		})
	}
}

// On a busy machine, calls waited for so long for the soak to find their callers that these
// gave up and called again on a new connection. The worker counted as not held.
func TestCallsHeldUpByTheSoakCountAsDisturbed(t *testing.T) {
	known := &connection{}
	known.vm.Store(&entryVM{})
	scenarios := []struct {
		testName   string
		connection *connection
		disturbed  bool
	}{
		{"the caller is known", known, false},
		{"the caller is not found", &connection{opened: time.Now()}, true},
		{"it was not found before", &connection{opened: time.Now().Add(-maxUnknownAge)}, false},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			w, begun := &worker{}, time.Now()
			w.awaitCaller(sc.connection)
			is.New(t).Equal(w.disturbed.calmSince(time.Now()).After(begun), sc.disturbed)
		})
	}
}

func TestEntriesLapseAndComeBack(t *testing.T) {
	is := is.New(t)
	c := &cell{store: memory.New(), ledger: newLedger()}
	w := &worker{registration: &backend.Registration{Life: backend.Life{ID: "a"}}}
	listed := func() (ids []string) {
		for _, r := range c.store.Records(store.Workers, 0) {
			if len(r.Value) > 0 {
				ids = append(ids, r.Key)
			}
		}
		return ids
	}
	workers := []*worker{w}
	is.NoErr(c.changeEntries(workers, 1))
	is.NoErr(c.changeEntries(workers, -1))
	is.Equal(listed(), []string{"a"})
	is.NoErr(c.changeEntries(workers, 1))
	is.NoErr(c.changeEntries(workers, 1))
	is.NoErr(c.changeEntries(workers, -1))
	is.Equal(w.listed, "") // one of two faults lasts
	is.NoErr(c.changeEntries(workers, -1))
	is.Equal(w.listed, "a")
	w.registration = &backend.Registration{Life: backend.Life{ID: "b"}}
	is.NoErr(c.updateEntry(w))
	is.Equal(w.listed, "b")
}
