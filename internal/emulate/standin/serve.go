package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
	"github.com/almondpost/almondpost/internal/state/resource"
)

// WorkerSettings describes one stand-in worker.
type WorkerSettings struct {
	Name     string          `json:"name"`
	Domain   string          `json:"domain"`
	Rack     string          `json:"rack"`
	Capacity resource.Vector `json:"capacity"`
	// Listen is the address to listen on; port 0 means any free port.
	Listen netip.AddrPort `json:"listen"`
}

// ServerGroup runs one HTTP server for each handler until it is closed.
type ServerGroup struct {
	servers []*http.Server
}

const readHeaderTimeout = 5 * time.Second

// Serve starts to serve a handler in the background and returns the listen
// address. It returns an error when it cannot listen.
func (s *ServerGroup) Serve(listen netip.AddrPort, handler http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, h)
	go func() { _ = h.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close stops every server without waiting for open requests.
func (s *ServerGroup) Close() {
	for _, h := range s.servers {
		_ = h.Close()
	}
}

// Fleet is the set of stand-in workers in one process.
type Fleet struct {
	// Workers holds the workers by name.
	Workers map[string]*Worker
}

// NewFleet starts a worker for each of the given settings. It returns the fleet
// and a map from the names of the workers to their listen addresses.
func NewFleet(s *ServerGroup, rows []WorkerSettings) (*Fleet, map[string]netip.AddrPort, error) {
	f := &Fleet{Workers: map[string]*Worker{}}
	addresses := map[string]netip.AddrPort{}
	for _, r := range rows {
		w := NewWorker(r.Name, r.Rack, r.Capacity)
		a, err := s.Serve(r.Listen, w.Handler())
		if err != nil {
			return nil, nil, err
		}
		f.Workers[r.Name], addresses[r.Name] = w, a
	}
	return f, addresses, nil
}

// WorkerFaultRequest is the body of a control request that sets the faults of
// one worker.
type WorkerFaultRequest struct {
	Worker string      `json:"worker"`
	Fault  WorkerFault `json:"fault"`
}

// Histories returns the histories of all workers in no particular order.
func (f *Fleet) Histories() []History {
	var all []History
	for _, w := range f.Workers {
		all = append(all, w.History())
	}
	return all
}

// Handler returns the HTTP handler of the fleet's control interface.
func (f *Fleet) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/control/history", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, f.Histories())
	})
	r.Post("/control/fault", jsonhttp.Handler(func(_ context.Context, q WorkerFaultRequest) (WorkerFaultRequest, error) {
		w, ok := f.Workers[q.Worker]
		if !ok {
			return q, &jsonhttp.StatusError{Code: http.StatusNotFound, Message: "no such worker"}
		}
		w.SetFault(q.Fault)
		return q, nil
	}))
	return r
}
