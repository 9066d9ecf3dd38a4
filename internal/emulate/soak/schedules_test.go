package soak

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/peer/backend"
)

// TestMain runs the test program as an entry VM if a soak has started it as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == entryArgument {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestCompletedTasksDoNotRunAgainAfterAllVMsAreKilled does not check the promises on times,
// which a machine that is busy with other tests may break.
func TestCompletedTasksDoNotRunAgainAfterAllVMsAreKilled(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l, err := run(options{seed: 1, duration: scheduleDuration, vms: scheduleVMs, workers: scheduleWorkers, schedule: "workers_lost", folder: t.ArtifactDir()}, &out)
	is.NoErr(err)
	t.Log(out.String())
	for _, v := range l.violations {
		if slices.Contains([]string{runsOnce, "states are true", "steps run in order", "only submitted jobs run", "refused jobs never run", "answers are whole"}, v.promise) {
			t.Error(v.text)
		}
	}
	lost := 0
	for _, s := range l.starts {
		// Workers that are lost start again under another ID long after the outage.
		away, loss := l.begun.Add(storeAway.at), l.begun.Add(workersLost.at)
		if slices.Contains([]string{"worker-0-1", "worker-7-1", "worker-14-1"}, s.life.ID) && s.outcome == backend.Done && s.endedAt.After(away) && s.endedAt.Before(loss) {
			lost++
		}
	}
	is.True(lost > 0) // tasks have ended at lost workers while the store was away
}

func TestSchedulesAreInOrder(t *testing.T) {
	for _, s := range schedules {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			is.True(slices.IsSortedFunc(s.plan, func(a, b fault) int { return int(a.at - b.at) }))
			for _, f := range s.plan {
				is.True(slices.ContainsFunc(slices.Concat(faultKinds, scheduleKinds), func(k faultKind) bool { return k.name == f.kind }))
				is.True(f.at+f.lasts <= scheduleDuration)
			}
		})
	}
}

func TestWrongOptionsOfSchedulesAreExplained(t *testing.T) {
	scenarios := []struct {
		testName  string
		arguments []string
		expected  string
	}{
		{"unknown schedule", []string{"-schedule", "lunch"}, "flag -schedule, value lunch: there is no such schedule; there are workers_lost, "},
		{"a flag that the schedule determines", []string{"-schedule", "workers_lost", "-vms", "5"}, "flag -vms: the schedule determines it"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			is.Equal(Main(s.arguments, &bytes.Buffer{}, &stderr), 2)
			is.True(strings.Contains(stderr.String(), s.expected))
		})
	}
}

func TestSilentWorkersAnswerNothing(t *testing.T) {
	scenarios := []struct {
		testName         string
		frozen, executed bool
	}{
		{"cut off", false, false},
		{"frozen", true, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			executed := make(chan error, 1)
			fault := &silence{make(chan struct{}), s.frozen}
			w := &worker{}
			w.silence.Store(fault)
			server := httptest.NewServer((&cell{}).throughCuts(w, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { executed <- r.Context().Err() })))
			defer server.Close()
			_, err := (&http.Client{Timeout: 200 * time.Millisecond}).Get(server.URL)
			is.True(err != nil) // no answer
			is.Equal(len(executed), 0)
			w.silence.Store(nil)
			close(fault.over)
			if s.executed {
				is.NoErr(<-executed) // the call is executed although its caller has given up
				return
			}
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(executed), 0)
		})
	}
}
