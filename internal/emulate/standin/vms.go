package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
)

// VMList is an in-memory VM list. It is safe for concurrent use.
type VMList struct {
	mutex sync.Mutex
	rows  map[string]vmlist.VM
	// names holds the keys of rows in the order in which they were added.
	names  []string
	outage bool
	// version increases with each change of an entry.
	version uint64
}

// NewVMList returns a VM list with the given entries.
func NewVMList(rows []vmlist.VM) *VMList {
	v := &VMList{rows: map[string]vmlist.VM{}}
	for _, r := range rows {
		v.Set(r)
	}
	return v
}

// Set adds a VM or replaces the VM of the same name.
func (v *VMList) Set(r vmlist.VM) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if _, ok := v.rows[r.Name]; !ok {
		v.names = append(v.names, r.Name)
	}
	v.rows[r.Name] = r
	v.version++
}

// Version returns a number that increases with each change of an entry.
func (v *VMList) Version() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.version
}

// List implements vmlist.Lister. It returns the VMs of a failure domain, or all
// VMs when domain is empty, in the order in which they were added.
func (v *VMList) List(_ context.Context, domain string) (vmlist.List, error) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.outage {
		return vmlist.List{}, errOutage
	}
	var l vmlist.List
	for _, name := range v.names {
		if r := v.rows[name]; domain == "" || r.Domain == domain {
			l.VMs = append(l.VMs, r)
		}
	}
	return l, nil
}

// VMListFault is the set of faults to simulate; the zero value means none.
type VMListFault struct {
	// Outage makes every read of the list fail.
	Outage bool `json:"outage"`
}

// LeavingRequest sets or clears whether the VM list shows a VM as leaving.
type LeavingRequest struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// MarkLeaving applies a LeavingRequest. It returns a StatusError with status 404
// when the VM is not on the list.
func (v *VMList) MarkLeaving(q LeavingRequest) error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	r, ok := v.rows[q.Name]
	if !ok {
		return &jsonhttp.StatusError{Code: http.StatusNotFound, Message: "no such VM"}
	}
	r.Leaving = q.Leaving
	v.rows[q.Name] = r
	v.version++
	return nil
}

// LeavingReply is the response to a LeavingRequest.
type LeavingReply struct {
	// ShownAt is when the VM list was changed.
	ShownAt time.Time `json:"shown"`
}

// Handler returns the HTTP handler of the VM list and its control interface.
func (v *VMList) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/vms", func(w http.ResponseWriter, q *http.Request) {
		l, err := v.List(q.Context(), q.URL.Query().Get("domain"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		tag := fmt.Sprintf("%q", fmt.Sprint(v.Version()))
		if q.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", tag)
		jsonhttp.Write(w, http.StatusOK, l)
	})
	r.Post("/control/fault", jsonhttp.Handler(func(_ context.Context, f VMListFault) (VMListFault, error) {
		v.mutex.Lock()
		defer v.mutex.Unlock()
		v.outage = f.Outage
		return f, nil
	}))
	r.Post("/control/set", jsonhttp.Handler(func(_ context.Context, q vmlist.VM) (vmlist.VM, error) {
		v.Set(q)
		return q, nil
	}))
	r.Post("/control/leaving", jsonhttp.Handler(func(_ context.Context, q LeavingRequest) (LeavingReply, error) {
		err := v.MarkLeaving(q)
		return LeavingReply{ShownAt: time.Now()}, err
	}))
	return r
}
