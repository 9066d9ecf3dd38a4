package caller

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
	"github.com/almondpost/almondpost/internal/state/job"
)

func (g *Gateway) submitJob(w http.ResponseWriter, r *http.Request) {
	spec, ok := decodeAndValidate[job.Spec](w, r, g.maxBodyBytes)
	if !ok {
		return
	}
	s := g.service.SubmitJob(r.Context(), spec)
	jsonhttp.Write(w, httpStatusOfState(s.State, s.RetryAfterMilliseconds), s)
}

func (g *Gateway) fetchJob(w http.ResponseWriter, r *http.Request) {
	wait, ok := parseWait(w, r, 0)
	if !ok {
		return
	}
	id := chi.URLParam(r, "id")
	deadline := time.Now().Add(wait)
	for {
		remaining := max(0, time.Until(deadline))
		s, ok := g.service.FetchJob(r.Context(), id, min(remaining, maxFetchWait))
		switch {
		case r.Context().Err() != nil:
			return
		case !ok && remaining == 0:
			writeProblem(w, http.StatusNotFound, ReasonUnknownRequest, "no job "+id+" is known")
			return
		case ok && (s.State.Ended() || remaining == 0):
			jsonhttp.Write(w, httpStatusOfState(s.State, s.RetryAfterMilliseconds), s)
			return
		}
	}
}

func (g *Gateway) cancelJob(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if err := g.service.CancelJob(r.Context(), id); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, ReasonLogUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
