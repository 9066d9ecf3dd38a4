package cluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/examples"
	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/operate/deployment"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// programs are built once by TestMain.
var programs cluster.Programs

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "almondpost")
	if err == nil {
		programs, err = cluster.Build(context.Background(), "../../..", folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// startCluster starts the deployment "small" and closes it at the end of the test.
func startCluster(t *testing.T) *cluster.Cluster {
	t.Helper()
	is := is.New(t)
	d, err := deployment.Load(examples.Files, "small")
	is.NoErr(err)
	c, err := cluster.Start(context.Background(), programs, d, cluster.Options{Folder: t.TempDir()})
	is.NoErr(err)
	t.Cleanup(c.Close)
	return c
}

// requestSpec returns an urgent, repeatable request whose answer contains name.
func requestSpec(name string, run time.Duration) request.Spec {
	payload, _ := json.Marshal(standin.WorkPayload{RunMilliseconds: run.Milliseconds(), Nonce: name, AnswerBytes: 1000})
	return request.Spec{
		Plan: "snag-sorting", Class: plan.Urgent, Kind: "sort", Repeatable: true,
		Size:                resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 4096, Slots: 1, Connections: 1},
		RunTimeMilliseconds: run.Milliseconds(), Payload: payload,
	}
}

// submitRequest submits a request to an entry VM. query is empty or starts with a
// question mark.
func submitRequest(e *cluster.EntryVM, s request.Spec, query string) (request.Outcome, int, error) {
	body, _ := json.Marshal(s)
	return doRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/requests%s", e.CallerAddress, query), body)
}

// doRequest sends an HTTP request and returns the decoded outcome and the HTTP
// status.
func doRequest(method, url string, body []byte) (o request.Outcome, status int, err error) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return o, 0, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return o, 0, err
	}
	defer func() { _ = r.Body.Close() }()
	return o, r.StatusCode, json.NewDecoder(r.Body).Decode(&o)
}

// nonce returns the nonce in the answer, or "" if the answer is not valid.
func nonce(o request.Outcome) string {
	var a standin.WorkAnswer
	_ = json.Unmarshal(o.Answer, &a)
	return a.Nonce
}

// Concurrent callers of different entry VMs each receive the complete answer to
// their own request, each request runs once, and no worker exceeds its capacity.
func TestEveryCallerGetsItsOwnWholeAnswer(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			name := fmt.Sprintf("n%d", i)
			o, status, err := submitRequest(c.EntryVMs[i%len(c.EntryVMs)], requestSpec(name, time.Duration(10+i)*time.Millisecond), "")
			if err != nil || status != http.StatusOK || o.State != request.Done || !o.IsAnswerIntact() || nonce(o) != name {
				t.Errorf("%s: status %d, outcome %+v, error %v", name, status, o, err)
			}
		})
	}
	group.Wait()
	histories, err := c.WorkerHistories(context.Background())
	is.NoErr(err)
	runs := 0
	for _, h := range histories {
		runs += len(h.Runs)
		is.Equal(h.OverfilledStarts, 0)
	}
	is.Equal(runs, 60)
}

// A caller that did not wait for the answer can fetch it from every entry VM.
func TestOutcomeIsFetchedThroughAnyEntryVM(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	o, status, err := submitRequest(c.EntryVMs[0], requestSpec("late", 300*time.Millisecond), "?wait_milliseconds=0")
	is.NoErr(err)
	is.Equal(status, http.StatusAccepted)
	is.Equal(o.State, request.Pending)
	for _, e := range c.EntryVMs {
		got, status, err := doRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/requests/%s?wait_milliseconds=10000", e.CallerAddress, o.ID), nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(got.IsAnswerIntact())
		is.Equal(nonce(got), "late")
	}
}

// Concurrent submissions with one key through different entry VMs run once, and
// every caller receives the answer.
func TestKeyRunsOnceThroughAnyEntryVM(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	s := requestSpec("letter", 200*time.Millisecond)
	s.Repeatable, s.Key = false, ulid.Make().String()
	var group sync.WaitGroup
	for i := range 9 {
		group.Go(func() {
			o, _, err := submitRequest(c.EntryVMs[i%len(c.EntryVMs)], s, "")
			if err != nil || o.State != request.Done || nonce(o) != "letter" {
				t.Errorf("outcome %+v, error %v", o, err)
			}
		})
	}
	group.Wait()
	histories, err := c.WorkerHistories(context.Background())
	is.NoErr(err)
	runs := 0
	for _, h := range histories {
		runs += len(h.Runs)
	}
	is.Equal(runs, 1)
}
