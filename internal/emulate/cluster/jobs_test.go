package cluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/state/job"
	"github.com/almondpost/almondpost/internal/state/plan"
)

func jobSpec(tasks int, run time.Duration) job.Spec {
	var s job.Spec
	for i := range tasks {
		k := spec(fmt.Sprintf("task-%d", i), run)
		k.Class = plan.Overnight
		s.Tasks = append(s.Tasks, k)
	}
	return s
}

func doJob(method, url string, body []byte) (s job.Status, status int, err error) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return s, 0, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return s, 0, err
	}
	defer func() { _ = r.Body.Close() }()
	return s, r.StatusCode, json.NewDecoder(r.Body).Decode(&s)
}

func submitJob(is *is.I, e *cluster.Entry, s job.Spec) job.Status {
	is.Helper()
	body, err := json.Marshal(s)
	is.NoErr(err)
	out, status, err := doJob(http.MethodPost, fmt.Sprintf("http://%s/v1/jobs", e.Caller), body)
	is.NoErr(err)
	is.Equal(status, http.StatusAccepted)
	return out
}

func awaitJob(is *is.I, e *cluster.Entry, id string) job.Status {
	is.Helper()
	out, _, err := doJob(http.MethodGet, fmt.Sprintf("http://%s/v1/jobs/%s?wait_milliseconds=30000", e.Caller, id), nil)
	is.NoErr(err)
	return out
}

// overlaps counts the tasks that ran in two places at once, by the workers' own
// records.
func overlaps(histories []standin.History) int {
	byTask := map[string][]standin.Run{}
	n := 0
	for _, h := range histories {
		for _, r := range h.Runs {
			name, _, _ := strings.Cut(r.Attempt, "/")
			for _, o := range byTask[name] {
				if (o.Ended.IsZero() || o.Ended.After(r.Started)) && (r.Ended.IsZero() || r.Ended.After(o.Started)) {
					n++
				}
			}
			byTask[name] = append(byTask[name], r)
		}
	}
	return n
}

func checkJob(is *is.I, c *cluster.Cluster, s job.Status, tasks int) {
	is.Helper()
	is.Equal(s.State, request.Done)
	is.Equal(s.Ended, tasks)
	for i, o := range s.Outcomes {
		is.True(o.Whole())
		is.Equal(nonce(o), fmt.Sprintf("task-%d", i))
	}
	histories, err := c.Histories(context.Background())
	is.NoErr(err)
	is.Equal(overlaps(histories), 0)
}

func TestJobIsAnsweredWholeThroughAnyEntryVM(t *testing.T) {
	is := is.New(t)
	c := start(t)
	s := submitJob(is, c.Entries[0], jobSpec(20, 100*time.Millisecond))
	for _, e := range c.Entries {
		checkJob(is, c, awaitJob(is, e, s.ID), 20)
	}
}

// runsOf counts how often a task started, by the workers' own records.
func runsOf(histories []standin.History, task string) int {
	n := 0
	for _, h := range histories {
		for _, r := range h.Runs {
			if strings.HasPrefix(r.Attempt, task+"/") {
				n++
			}
		}
	}
	return n
}

func TestJobOutlivesItsEntryVM(t *testing.T) {
	// onlyOnce is how many tasks of the job may not repeat.
	const onlyOnce = 4
	scenarios := []struct {
		testName string
		act      func(c *cluster.Cluster, e *cluster.Entry)
	}{
		{"killed", func(_ *cluster.Cluster, e *cluster.Entry) { e.Kill() }},
		{"frozen and thawed", func(_ *cluster.Cluster, e *cluster.Entry) {
			e.Freeze()
			time.AfterFunc(6*time.Second, e.Thaw)
		}},
		{"planned stop", func(_ *cluster.Cluster, e *cluster.Entry) { e.Terminate() }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := start(t)
			spec := jobSpec(40, 2*time.Second)
			for i := range onlyOnce {
				spec.Tasks[i].Repeatable = false
			}
			accepted := submitJob(is, c.Entries[0], spec)
			time.Sleep(500 * time.Millisecond)
			s.act(c, c.Entries[0])
			checkJob(is, c, awaitJob(is, c.Entries[2], accepted.ID), 40)
			histories, err := c.Histories(context.Background())
			is.NoErr(err)
			for i := range onlyOnce {
				is.Equal(runsOf(histories, job.TaskID(accepted.ID, i)), 1)
			}
		})
	}
}

// TestGangsRunWhole lets several gangs compete, each too large to run beside
// another, and checks by the workers' own records that the tasks of each gang
// ran at the same time.
func TestGangsRunWhole(t *testing.T) {
	is := is.New(t)
	c := start(t)
	const gangs, tasks = 3, 10
	ids := make([]string, gangs)
	for i := range gangs {
		s := jobSpec(tasks, time.Second)
		s.Gang = true
		ids[i] = submitJob(is, c.Entries[0], s).ID
	}
	for _, id := range ids {
		checkJob(is, c, awaitJob(is, c.Entries[2], id), tasks)
	}
	histories, err := c.Histories(context.Background())
	is.NoErr(err)
	for _, id := range ids {
		var lastStart, firstEnd time.Time
		n := 0
		for _, h := range histories {
			for _, r := range h.Runs {
				if !strings.HasPrefix(r.Attempt, id+":") {
					continue
				}
				n++
				if r.Started.After(lastStart) {
					lastStart = r.Started
				}
				if firstEnd.IsZero() || r.Ended.Before(firstEnd) {
					firstEnd = r.Ended
				}
			}
		}
		is.Equal(n, tasks)
		is.True(lastStart.Before(firstEnd))
	}
}
