// Package caller implements the HTTP interface for callers, the clients that submit
// requests and jobs, fetch their outcomes and cancel them. See
// docs/caller_interface.md.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/operate/report"
	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
	"github.com/almondpost/almondpost/internal/state/job"
)

// Service executes the calls of a Gateway; the entry VM implements it. It finds
// requests and jobs by ID, no matter which entry VM they were submitted to.
type Service interface {
	// Submit submits a request and returns its ID. When admission refuses the
	// request, Submit also returns its final outcome.
	Submit(spec request.Spec) (id string, refused *request.Outcome)
	// Fetch waits for a request to end, for at most the given time, and returns
	// its current outcome. It returns false for an unknown request.
	Fetch(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool)
	// CancelRequest cancels a request. It returns false for an unknown request.
	CancelRequest(ctx context.Context, id string) bool
	// SubmitJob stores a job in the log. The returned status is pending when the
	// job is stored, not_run when it is refused, and may_have_run when the log
	// did not confirm whether the job is stored.
	SubmitJob(ctx context.Context, spec job.Spec) job.Status
	// FetchJob waits for a job to end, for at most the given time, and returns
	// its current status. It returns false for an unknown job.
	FetchJob(ctx context.Context, id string, wait time.Duration) (job.Status, bool)
	// CancelJob stores the cancellation of a job in the log. The job ends later.
	CancelJob(ctx context.Context, id string) error
	// Report returns the report on resource sharing between plans.
	Report(ctx context.Context) report.Report
	// Ready reports whether a load balancer should send callers to this entry VM.
	Ready() bool
}

// Problem is the body of an error reply that contains neither the outcome of a
// request nor the status of a job.
type Problem struct {
	// Reason is a machine-readable code.
	Reason string `json:"reason"`
	// Detail is a description for people.
	Detail string `json:"detail"`
}

// Reasons of a Problem.
const (
	ReasonMalformed      = "malformed"
	ReasonInvalid        = "invalid"
	ReasonBodyTooLarge   = "body_too_large"
	ReasonUnknownRequest = "unknown_request"
	// ReasonLogUnavailable means that the log service did not answer.
	ReasonLogUnavailable = "log_unavailable"
)

const (
	// DefaultWait is how long the gateway waits for a submitted request to end
	// before it replies, unless the caller sets wait_milliseconds. It is also the
	// maximum of wait_milliseconds.
	DefaultWait = 10 * time.Minute
	// maxFetchWait is the maximum wait of one call to Service.Fetch or
	// Service.FetchJob. The gateway splits a longer wait into several calls.
	maxFetchWait = 30 * time.Second
	// These timeouts limit how long slow callers can occupy a connection.
	readTimeout       = 15 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Gateway translates the HTTP calls of callers into calls of a Service.
type Gateway struct {
	service      Service
	maxBodyBytes int64
	log          logr.Logger
}

// New returns a gateway that rejects request bodies of more than maxBodyBytes.
func New(s Service, maxBodyBytes int64, log logr.Logger) *Gateway {
	return &Gateway{service: s, maxBodyBytes: maxBodyBytes, log: log}
}

// Server returns an HTTP server for the gateway. addRoutes registers further routes;
// it may be nil.
func (g *Gateway) Server(addRoutes func(r chi.Router)) *http.Server {
	return &http.Server{
		Handler:           g.newHandler(addRoutes),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (g *Gateway) newHandler(addRoutes func(r chi.Router)) http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/requests", g.submitRequest)
	r.Get("/v1/requests/{id}", g.fetchRequest)
	r.Delete("/v1/requests/{id}", g.cancelRequest)
	r.Post("/v1/jobs", g.submitJob)
	r.Get("/v1/jobs/{id}", g.fetchJob)
	r.Delete("/v1/jobs/{id}", g.cancelJob)
	r.Get("/v1/report", func(w http.ResponseWriter, q *http.Request) {
		jsonhttp.Write(w, http.StatusOK, g.service.Report(q.Context()))
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", g.reportReadiness)
	r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	if addRoutes != nil {
		addRoutes(r)
	}
	return r
}

func (g *Gateway) reportReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.service.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeProblem(w http.ResponseWriter, status int, reason, detail string) {
	jsonhttp.Write(w, status, Problem{Reason: reason, Detail: detail})
}

// validator is a request body that can check its own fields. Validate returns a
// description of the first invalid field, or an empty string when all fields are
// valid.
type validator interface{ Validate() string }

// decodeAndValidate decodes a request body of at most maxBytes bytes and
// validates it. If either fails, it replies with a Problem and returns false.
func decodeAndValidate[T validator](w http.ResponseWriter, r *http.Request, maxBytes int64) (body T, ok bool) {
	if !decodeBody(w, r, maxBytes, &body) {
		return body, false
	}
	if reason := body.Validate(); reason != "" {
		writeProblem(w, http.StatusBadRequest, ReasonInvalid, reason)
		return body, false
	}
	return body, true
}

// decodeBody decodes a JSON body of at most maxBytes bytes into target. It
// rejects unknown fields and trailing data. If decoding fails, it replies with a
// Problem and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	d.DisallowUnknownFields()
	err := d.Decode(target)
	if err == nil {
		_, err = d.Token()
		if errors.Is(err, io.EOF) {
			return true
		}
		err = fmt.Errorf("data after the JSON value: %w", err)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(w, http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, fmt.Sprintf("the body is above %d bytes", maxBytes))
		return false
	}
	writeProblem(w, http.StatusBadRequest, ReasonMalformed, err.Error())
	return false
}

func (g *Gateway) submitRequest(w http.ResponseWriter, r *http.Request) {
	spec, ok := decodeAndValidate[request.Spec](w, r, g.maxBodyBytes)
	if !ok {
		return
	}
	wait, ok := parseWait(w, r, DefaultWait)
	if !ok {
		return
	}
	id, refused := g.service.Submit(spec)
	if refused != nil {
		g.writeOutcome(w, *refused)
		return
	}
	g.waitForOutcome(w, r, id, wait)
}

// waitForOutcome waits for a request to end, for at most the given time, and
// replies with its current outcome. If the caller disconnects, the request is not
// cancelled; the caller can fetch the outcome from any entry VM later.
func (g *Gateway) waitForOutcome(w http.ResponseWriter, r *http.Request, id string, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for {
		remaining := max(0, time.Until(deadline))
		outcome, ok := g.service.Fetch(r.Context(), id, min(remaining, maxFetchWait))
		switch {
		case r.Context().Err() != nil:
			return
		case !ok:
			writeProblem(w, http.StatusNotFound, ReasonUnknownRequest, "no request "+id+" is known")
			return
		case outcome.State.Ended() || remaining == 0:
			g.writeOutcome(w, outcome)
			return
		}
	}
}

func (g *Gateway) fetchRequest(w http.ResponseWriter, r *http.Request) {
	if wait, ok := parseWait(w, r, 0); ok {
		g.waitForOutcome(w, r, chi.URLParam(r, "id"), wait)
	}
}

func (g *Gateway) cancelRequest(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !g.service.CancelRequest(r.Context(), id) {
		writeProblem(w, http.StatusNotFound, ReasonUnknownRequest, "no request "+id+" is known")
		return
	}
	g.waitForOutcome(w, r, id, 0)
}

// parseWait returns the query parameter wait_milliseconds, or fallback when it is
// absent. If it is invalid, parseWait replies with a Problem and returns false.
func parseWait(w http.ResponseWriter, r *http.Request, fallback time.Duration) (time.Duration, bool) {
	text := r.URL.Query().Get("wait_milliseconds")
	if text == "" {
		return fallback, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > DefaultWait.Milliseconds() {
		writeProblem(w, http.StatusBadRequest, ReasonInvalid, fmt.Sprintf("wait_milliseconds must be between 0 and %d", DefaultWait.Milliseconds()))
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// writeOutcome replies with an outcome and the matching HTTP status.
func (g *Gateway) writeOutcome(w http.ResponseWriter, o request.Outcome) {
	if o.RetryAfterMilliseconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(o.RetryAfterMilliseconds)/1000))))
	}
	jsonhttp.Write(w, httpStatusOfOutcome(o), o)
}

func httpStatusOfOutcome(o request.Outcome) int {
	return httpStatusOfState(o.State, o.RetryAfterMilliseconds)
}

func httpStatusOfState(s request.State, retryAfterMilliseconds int64) int {
	switch s {
	case request.Done:
		return http.StatusOK
	case request.Pending:
		return http.StatusAccepted
	case request.NotRun:
		if retryAfterMilliseconds > 0 {
			return http.StatusServiceUnavailable
		}
		return http.StatusUnprocessableEntity
	case request.Cancelled:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}
