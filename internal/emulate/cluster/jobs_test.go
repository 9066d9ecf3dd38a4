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

// jobSpec returns a job whose tasks are repeatable. The answer of each task
// contains the name of the task.
func jobSpec(tasks int, run time.Duration) job.Spec {
	var s job.Spec
	for i := range tasks {
		task := requestSpec(fmt.Sprintf("task-%d", i), run)
		task.Class = plan.Overnight
		s.Tasks = append(s.Tasks, task)
	}
	return s
}

// doJobRequest sends an HTTP request and returns the decoded job status and the
// HTTP status.
func doJobRequest(method, url string, body []byte) (s job.Status, status int, err error) {
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

func submitJob(is *is.I, e *cluster.EntryVM, s job.Spec) job.Status {
	is.Helper()
	body, err := json.Marshal(s)
	is.NoErr(err)
	out, status, err := doJobRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/jobs", e.CallerAddress), body)
	is.NoErr(err)
	is.Equal(status, http.StatusAccepted)
	return out
}

func awaitJob(is *is.I, e *cluster.EntryVM, id string) job.Status {
	is.Helper()
	out, _, err := doJobRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/jobs/%s?wait_milliseconds=30000", e.CallerAddress, id), nil)
	is.NoErr(err)
	return out
}

// countOverlaps counts the pairs of runs of the same task that overlapped in
// time, according to the workers' histories.
func countOverlaps(histories []standin.History) int {
	byTask := map[string][]standin.AttemptRun{}
	n := 0
	for _, h := range histories {
		for _, r := range h.Runs {
			name, _, _ := strings.Cut(r.Attempt, "/")
			for _, other := range byTask[name] {
				if (other.EndedAt.IsZero() || other.EndedAt.After(r.StartedAt)) && (r.EndedAt.IsZero() || r.EndedAt.After(other.StartedAt)) {
					n++
				}
			}
			byTask[name] = append(byTask[name], r)
		}
	}
	return n
}

// checkJobCompleted checks that every task of a job returned its own, complete
// answer and that no task ran on two workers at once.
func checkJobCompleted(is *is.I, c *cluster.Cluster, s job.Status, tasks int) {
	is.Helper()
	is.Equal(s.State, request.Done)
	is.Equal(s.Ended, tasks)
	for i, o := range s.Outcomes {
		is.True(o.IsAnswerIntact())
		is.Equal(nonce(o), fmt.Sprintf("task-%d", i))
	}
	histories, err := c.WorkerHistories(context.Background())
	is.NoErr(err)
	is.Equal(countOverlaps(histories), 0)
}

// The outcomes of a job can be fetched from every entry VM, not only from the one
// that accepted it.
func TestJobOutcomesAreCompleteThroughAnyEntryVM(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	s := submitJob(is, c.EntryVMs[0], jobSpec(20, 100*time.Millisecond))
	for _, e := range c.EntryVMs {
		checkJobCompleted(is, c, awaitJob(is, e, s.ID), 20)
	}
}

// countRuns returns how often a task was started, according to the workers'
// histories.
func countRuns(histories []standin.History, task string) int {
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

// A job survives the loss of the entry VM that accepted it: every task is answered,
// and tasks that are not repeatable run exactly once.
func TestJobOutlivesItsEntryVM(t *testing.T) {
	// notRepeatableTasks is the number of tasks that must not run twice.
	const notRepeatableTasks = 4
	scenarios := []struct {
		testName string
		act      func(c *cluster.Cluster, e *cluster.EntryVM)
	}{
		{"killed", func(_ *cluster.Cluster, e *cluster.EntryVM) { e.Kill() }},
		{"frozen and thawed", func(_ *cluster.Cluster, e *cluster.EntryVM) {
			e.Freeze()
			time.AfterFunc(6*time.Second, e.Thaw)
		}},
		{"planned stop", func(_ *cluster.Cluster, e *cluster.EntryVM) { e.Terminate() }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startCluster(t)
			spec := jobSpec(40, 2*time.Second)
			for i := range notRepeatableTasks {
				spec.Tasks[i].Repeatable = false
			}
			accepted := submitJob(is, c.EntryVMs[0], spec)
			time.Sleep(500 * time.Millisecond)
			s.act(c, c.EntryVMs[0])
			checkJobCompleted(is, c, awaitJob(is, c.EntryVMs[2], accepted.ID), 40)
			histories, err := c.WorkerHistories(context.Background())
			is.NoErr(err)
			for i := range notRepeatableTasks {
				is.Equal(countRuns(histories, job.TaskID(accepted.ID, i)), 1)
			}
		})
	}
}

// The tasks of a gang run at the same time, according to the workers' histories,
// also when several gangs compete. The workers have no room for two gangs at once.
func TestGangTasksRunAtTheSameTime(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	const gangs, tasksPerGang = 3, 10
	ids := make([]string, gangs)
	for i := range gangs {
		s := jobSpec(tasksPerGang, time.Second)
		s.Gang = true
		ids[i] = submitJob(is, c.EntryVMs[0], s).ID
	}
	for _, id := range ids {
		checkJobCompleted(is, c, awaitJob(is, c.EntryVMs[2], id), tasksPerGang)
	}
	histories, err := c.WorkerHistories(context.Background())
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
				if r.StartedAt.After(lastStart) {
					lastStart = r.StartedAt
				}
				if firstEnd.IsZero() || r.EndedAt.Before(firstEnd) {
					firstEnd = r.EndedAt
				}
			}
		}
		is.Equal(n, tasksPerGang)
		is.True(lastStart.Before(firstEnd))
	}
}
