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

// Service is the entry VM that executes the calls of a Gateway. Requests and jobs
// are found by ID no matter which entry VM they were submitted to.
type Service interface {
	// Submit submits a request and returns its ID. When admission refuses it, it
	// also returns the final outcome.
	Submit(spec request.Spec) (id string, refused *request.Outcome)
	// Fetch waits up to wait for a request to end and returns its outcome so far.
	// It returns false for an unknown request.
	Fetch(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool)
	// CancelRequest cancels a request. It returns false for an unknown request.
	CancelRequest(ctx context.Context, id string) bool
	// SubmitJob stores a job in the log. It returns once the job is stored or
	// refused, or once it is unknown whether the job was stored.
	SubmitJob(ctx context.Context, spec job.Spec) job.Status
	// FetchJob waits up to wait for a job to end and returns its status. It returns
	// false for an unknown job.
	FetchJob(ctx context.Context, id string, wait time.Duration) (job.Status, bool)
	// CancelJob stores the cancellation of a job in the log. The job ends later.
	CancelJob(ctx context.Context, id string) error
	// Report returns the report on resource sharing between plans.
	Report(ctx context.Context) report.Report
	// Ready reports whether a load balancer should send callers to this entry VM.
	Ready() bool
}

// Problem is the body of an error reply that has no outcome or status to report.
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
	// DefaultWait is how long the reply to a submission waits for the request to
	// end, unless the caller sets wait_milliseconds. It is also the maximum of
	// wait_milliseconds.
	DefaultWait = 10 * time.Minute
	// maxFetchWait is the maximum wait of one call to Service.Fetch or FetchJob.
	// Longer waits take several calls.
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
		Handler:           g.handler(addRoutes),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (g *Gateway) handler(addRoutes func(r chi.Router)) http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/requests", g.submit)
	r.Get("/v1/requests/{id}", g.fetch)
	r.Delete("/v1/requests/{id}", g.cancel)
	r.Post("/v1/jobs", g.submitJob)
	r.Get("/v1/jobs/{id}", g.fetchJob)
	r.Delete("/v1/jobs/{id}", g.cancelJob)
	r.Get("/v1/report", func(w http.ResponseWriter, q *http.Request) {
		jsonhttp.Write(w, http.StatusOK, g.service.Report(q.Context()))
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", g.ready)
	r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	if addRoutes != nil {
		addRoutes(r)
	}
	return r
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.service.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeProblem(w http.ResponseWriter, status int, reason, detail string) {
	jsonhttp.Write(w, status, Problem{Reason: reason, Detail: detail})
}

// validator is a decoded body. Validate describes its first invalid field, or returns
// an empty string.
type validator interface{ Validate() string }

// decode decodes and validates a body. If that fails, it replies with a Problem and
// returns false.
func decode[T validator](w http.ResponseWriter, r *http.Request, limit int64) (body T, ok bool) {
	if !decodeBody(w, r, limit, &body) {
		return body, false
	}
	if reason := body.Validate(); reason != "" {
		writeProblem(w, http.StatusBadRequest, ReasonInvalid, reason)
		return body, false
	}
	return body, true
}

// decodeBody decodes a JSON body of at most limit bytes into target. It rejects
// unknown fields and trailing data. If that fails, it replies with a Problem and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, target any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
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
		writeProblem(w, http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, fmt.Sprintf("the body is above %d bytes", limit))
		return false
	}
	writeProblem(w, http.StatusBadRequest, ReasonMalformed, err.Error())
	return false
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request) {
	spec, ok := decode[request.Spec](w, r, g.maxBodyBytes)
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

// waitForOutcome waits up to wait for a request to end and replies with its outcome.
// A caller that disconnects does not cancel the request; it can fetch the outcome
// from any entry VM later.
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

func (g *Gateway) fetch(w http.ResponseWriter, r *http.Request) {
	if wait, ok := parseWait(w, r, 0); ok {
		g.waitForOutcome(w, r, chi.URLParam(r, "id"), wait)
	}
}

func (g *Gateway) cancel(w http.ResponseWriter, r *http.Request) {
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
	jsonhttp.Write(w, outcomeStatusCode(o), o)
}

func outcomeStatusCode(o request.Outcome) int {
	return stateStatusCode(o.State, o.RetryAfterMilliseconds)
}

func stateStatusCode(s request.State, retryAfterMilliseconds int64) int {
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
