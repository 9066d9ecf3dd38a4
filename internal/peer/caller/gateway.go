// Package caller speaks HTTP with callers: requests, their outcomes and
// cancellation. See docs/caller_interface.md.
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

// Service is what the gateway needs of the entry VM.
type Service interface {
	// Submit admits a request; a refused one has an outcome at once.
	Submit(spec request.Spec) (id string, refused *request.Outcome)
	// Fetch returns the outcome of a request wherever it was submitted, and
	// waits for its end. It reports false for an unknown request.
	Fetch(ctx context.Context, id string, wait time.Duration) (request.Outcome, bool)
	// CancelRequest cancels a request wherever it was submitted.
	CancelRequest(ctx context.Context, id string) bool
	// SubmitJob accepts a job once it is in the log.
	SubmitJob(ctx context.Context, spec job.Spec) job.Status
	// FetchJob returns the state of a job and waits for its end. It reports
	// false for an unknown job.
	FetchJob(ctx context.Context, id string, wait time.Duration) (job.Status, bool)
	// CancelJob asks for the end of a job.
	CancelJob(ctx context.Context, id string) error
	// Report gathers the evidence that sharing pays.
	Report(ctx context.Context) report.Report
	// Ready reports whether callers should be sent here.
	Ready() bool
}

// Problem is the body of every reply that carries no outcome.
type Problem struct {
	// Reason is machine-readable.
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// Reasons of a Problem.
const (
	ReasonMalformed = "malformed"
	ReasonInvalid   = "invalid"
	ReasonTooLarge  = "body_too_large"
	ReasonUnknown   = "unknown_request"
	// ReasonUnavailable means that the log gave no answer.
	ReasonUnavailable = "log_unavailable"
)

const (
	// DefaultWait is how long a submission waits for its answer.
	DefaultWait = 10 * time.Minute
	// fetchWait bounds one fetch.
	fetchWait = 30 * time.Second
	// The timeouts guard against callers that read or write slowly.
	readTimeout       = 15 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Gateway serves callers.
type Gateway struct {
	service   Service
	bodyLimit int64
	log       logr.Logger
}

// New returns a gateway that refuses bodies above a limit in bytes.
func New(s Service, bodyLimit int64, log logr.Logger) *Gateway {
	return &Gateway{service: s, bodyLimit: bodyLimit, log: log}
}

// Server returns an HTTP server with the timeouts of the gateway.
func (g *Gateway) Server(extra func(r chi.Router)) *http.Server {
	return &http.Server{
		Handler:           g.handler(extra),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (g *Gateway) handler(extra func(r chi.Router)) http.Handler {
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
	if extra != nil {
		extra(r)
	}
	return r
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.service.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func problem(w http.ResponseWriter, status int, reason, detail string) {
	jsonhttp.Write(w, status, Problem{Reason: reason, Detail: detail})
}

// validator is a body that can name its first bad field.
type validator interface{ Validate() string }

// decode reads and validates a body; it reports false after it has answered
// with a Problem.
func decode[T validator](w http.ResponseWriter, r *http.Request, limit int64) (body T, ok bool) {
	if !decodeBody(w, r, limit, &body) {
		return body, false
	}
	if reason := body.Validate(); reason != "" {
		problem(w, http.StatusBadRequest, ReasonInvalid, reason)
		return body, false
	}
	return body, true
}

// decodeBody reads a strict JSON body of bounded size.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		_, err = d.Token()
		if errors.Is(err, io.EOF) {
			return true
		}
		err = fmt.Errorf("data after the JSON value: %w", err)
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		problem(w, http.StatusRequestEntityTooLarge, ReasonTooLarge, fmt.Sprintf("the body is above %d bytes", limit))
		return false
	}
	problem(w, http.StatusBadRequest, ReasonMalformed, err.Error())
	return false
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request) {
	spec, ok := decode[request.Spec](w, r, g.bodyLimit)
	if !ok {
		return
	}
	wait, ok := waitOf(w, r, DefaultWait)
	if !ok {
		return
	}
	id, refused := g.service.Submit(spec)
	if refused != nil {
		g.write(w, *refused)
		return
	}
	g.answer(w, r, id, wait)
}

// answer waits for the outcome. A caller that leaves does not cancel the work:
// it may fetch the answer later from any entry VM.
func (g *Gateway) answer(w http.ResponseWriter, r *http.Request, id string, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for {
		left := max(0, time.Until(deadline))
		out, ok := g.service.Fetch(r.Context(), id, min(left, fetchWait))
		switch {
		case r.Context().Err() != nil:
			return
		case !ok:
			problem(w, http.StatusNotFound, ReasonUnknown, "no request "+id+" is known")
			return
		case out.State.Ended() || left == 0:
			g.write(w, out)
			return
		}
	}
}

func (g *Gateway) fetch(w http.ResponseWriter, r *http.Request) {
	if wait, ok := waitOf(w, r, 0); ok {
		g.answer(w, r, chi.URLParam(r, "id"), wait)
	}
}

func (g *Gateway) cancel(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !g.service.CancelRequest(r.Context(), id) {
		problem(w, http.StatusNotFound, ReasonUnknown, "no request "+id+" is known")
		return
	}
	g.answer(w, r, id, 0)
}

// waitOf reads the query parameter wait_milliseconds.
func waitOf(w http.ResponseWriter, r *http.Request, standard time.Duration) (time.Duration, bool) {
	text := r.URL.Query().Get("wait_milliseconds")
	if text == "" {
		return standard, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > DefaultWait.Milliseconds() {
		problem(w, http.StatusBadRequest, ReasonInvalid, fmt.Sprintf("wait_milliseconds must be between 0 and %d", DefaultWait.Milliseconds()))
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// write sends an outcome. The status says in short what the body says whole.
func (g *Gateway) write(w http.ResponseWriter, o request.Outcome) {
	if o.RetryAfterMilliseconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(o.RetryAfterMilliseconds)/1000))))
	}
	jsonhttp.Write(w, statusOf(o), o)
}

func statusOf(o request.Outcome) int { return statusOfState(o.State, o.RetryAfterMilliseconds) }

func statusOfState(s request.State, retryAfterMilliseconds int64) int {
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
