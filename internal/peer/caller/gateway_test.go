package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/operate/report"
	"github.com/almondpost/almondpost/internal/peer/caller"
	"github.com/almondpost/almondpost/internal/state/job"
)

// fakeService completes every request at once, except that it refuses those of the
// plan "busy".
type fakeService struct{ submitted []request.Spec }

func (f *fakeService) Submit(s request.Spec) (string, *request.Outcome) {
	f.submitted = append(f.submitted, s)
	if s.Plan == "busy" {
		return "id", &request.Outcome{ID: "id", State: request.NotRun, Reason: "queue_full", RetryAfterMilliseconds: 1500}
	}
	return "id", nil
}

func (f *fakeService) Fetch(_ context.Context, id string, _ time.Duration) (request.Outcome, bool) {
	o := request.Outcome{ID: id, State: request.Done}
	o.SetAnswer([]byte("answer"))
	return o, id == "id"
}

func (f *fakeService) CancelRequest(_ context.Context, id string) bool { return id == "id" }

func (f *fakeService) SubmitJob(context.Context, job.Spec) job.Status {
	return job.Status{ID: "job", State: request.Pending}
}

func (f *fakeService) FetchJob(context.Context, string, time.Duration) (job.Status, bool) {
	return job.Status{}, false
}

func (f *fakeService) CancelJob(context.Context, string) error { return nil }

func (f *fakeService) Report(context.Context) report.Report { return report.Report{} }

func (f *fakeService) Ready() bool { return true }

const validRequest = `{"plan":"p","class":"urgent","size":{"milliprocessors":1,"memory_mebibytes":1,"slots":1,"connections":1},"run_time_milliseconds":5,"repeatable":true,"payload":""}`

func TestBadInputIsRefusedWithAReason(t *testing.T) {
	scenarios := []struct {
		testName string
		path     string
		body     string
		status   int
		reason   string
		detail   string
	}{
		{"malformed", "/v1/requests", `{`, 400, caller.ReasonMalformed, "unexpected EOF"},
		{"unknown field", "/v1/requests", `{"colour":"red"}`, 400, caller.ReasonMalformed, "colour"},
		{"trailing data", "/v1/requests", validRequest + validRequest, 400, caller.ReasonMalformed, "data after"},
		{"missing plan", "/v1/requests", `{}`, 400, caller.ReasonInvalid, "plan"},
		{"unknown class", "/v1/requests", strings.Replace(validRequest, "urgent", "soon", 1), 400, caller.ReasonInvalid, "class"},
		{"negative size", "/v1/requests", strings.Replace(validRequest, `"milliprocessors":1`, `"milliprocessors":-1`, 1), 400, caller.ReasonInvalid, "milliprocessors"},
		{"absurd size", "/v1/requests", strings.Replace(validRequest, `"milliprocessors":1`, `"milliprocessors":9223372036854775807`, 1), 400, caller.ReasonInvalid, "milliprocessors"},
		{"negative run time", "/v1/requests", strings.Replace(validRequest, `milliseconds":5`, `milliseconds":-5`, 1), 400, caller.ReasonInvalid, "run_time"},
		{"no key", "/v1/requests", strings.Replace(validRequest, `true`, `false`, 1), 400, caller.ReasonInvalid, "key"},
		{"oversized body", "/v1/requests", strings.Replace(validRequest, `"payload":""`, `"payload":"`+strings.Repeat("A", 4096)+`"`, 1), 413, caller.ReasonBodyTooLarge, "2048"},
		{"bad wait", "/v1/requests?wait_milliseconds=-1", validRequest, 400, caller.ReasonInvalid, "wait_milliseconds"},
		{"job without tasks", "/v1/jobs", `{"tasks":[],"gang":false}`, 400, caller.ReasonInvalid, "tasks"},
		{"job with a bad task", "/v1/jobs", `{"tasks":[{}],"gang":false}`, 400, caller.ReasonInvalid, "tasks[0]"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			f := &fakeService{}
			server := httptest.NewServer(caller.New(f, 2048, logr.Discard()).Server(nil).Handler)
			defer server.Close()
			r, err := http.Post(server.URL+s.path, "application/json", strings.NewReader(s.body))
			is.NoErr(err)
			defer func() { _ = r.Body.Close() }()
			var p caller.Problem
			is.NoErr(json.NewDecoder(r.Body).Decode(&p))
			is.Equal(r.StatusCode, s.status)
			is.Equal(p.Reason, s.reason)
			is.True(strings.Contains(p.Detail, s.detail))
			is.Equal(len(f.submitted), 0)
		})
	}
}

func TestOutcomesHaveStatusAndRetryAfter(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(caller.New(&fakeService{}, 2048, logr.Discard()).Server(nil).Handler)
	defer server.Close()
	r, err := http.Post(server.URL+"/v1/requests", "application/json", strings.NewReader(strings.Replace(validRequest, `"p"`, `"busy"`, 1)))
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.Equal(r.Header.Get("Retry-After"), "2")
	r, err = http.Get(server.URL + "/v1/requests/other")
	is.NoErr(err)
	_ = r.Body.Close()
	is.Equal(r.StatusCode, http.StatusNotFound)
}

// truncatedBody is a request body that fails after 40 bytes, like that of a caller
// that disconnects.
type truncatedBody struct{ sent bool }

func (c *truncatedBody) Read(b []byte) (int, error) {
	if c.sent {
		return 0, io.ErrUnexpectedEOF
	}
	c.sent = true
	return copy(b, validRequest[:40]), nil
}

func TestTruncatedBodySubmitsNothing(t *testing.T) {
	is := is.New(t)
	f := &fakeService{}
	server := httptest.NewServer(caller.New(f, 2048, logr.Discard()).Server(nil).Handler)
	defer server.Close()
	q, err := http.NewRequest(http.MethodPost, server.URL+"/v1/requests", &truncatedBody{})
	is.NoErr(err)
	q.ContentLength = int64(len(validRequest))
	r, err := http.DefaultClient.Do(q)
	if err == nil {
		_ = r.Body.Close()
	}
	is.Equal(len(f.submitted), 0)
}

// FuzzSubmit checks that every body is either rejected with a reason or submitted as
// a valid request.
func FuzzSubmit(f *testing.F) {
	f.Add(validRequest)
	f.Add(`{"plan":1}`)
	f.Fuzz(func(t *testing.T, body string) {
		service := &fakeService{}
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
		caller.New(service, 2048, logr.Discard()).Server(nil).Handler.ServeHTTP(w, r)
		for _, s := range service.submitted {
			if reason := s.Validate(); reason != "" {
				t.Fatal(reason)
			}
		}
		if len(service.submitted) == 0 {
			var p caller.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Reason == "" {
				t.Fatal(fmt.Sprint(w.Code, w.Body.String()))
			}
		}
	})
}
