package caller

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
	"github.com/almondpost/almondpost/internal/state/job"
)

func (g *Gateway) submitJob(w http.ResponseWriter, r *http.Request) {
	spec, ok := decode[job.Spec](w, r, g.bodyLimit)
	if !ok {
		return
	}
	s := g.service.SubmitJob(r.Context(), spec)
	jsonhttp.Write(w, statusOfState(s.State, s.RetryAfterMilliseconds), s)
}

func (g *Gateway) fetchJob(w http.ResponseWriter, r *http.Request) {
	wait, ok := waitOf(w, r, 0)
	if !ok {
		return
	}
	id := chi.URLParam(r, "id")
	deadline := time.Now().Add(wait)
	for {
		left := max(0, time.Until(deadline))
		s, ok := g.service.FetchJob(r.Context(), id, min(left, fetchWait))
		switch {
		case r.Context().Err() != nil:
			return
		case !ok && left == 0:
			problem(w, http.StatusNotFound, ReasonUnknown, "no job "+id+" is known")
			return
		case ok && (s.State.Ended() || left == 0):
			jsonhttp.Write(w, statusOfState(s.State, s.RetryAfterMilliseconds), s)
			return
		}
	}
}

func (g *Gateway) cancelJob(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if err := g.service.CancelJob(r.Context(), id); err != nil {
		problem(w, http.StatusServiceUnavailable, ReasonUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
