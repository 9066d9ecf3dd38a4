package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/samber/oops"

	"github.com/almondpost/almondpost/internal/node/common"
	"github.com/almondpost/almondpost/internal/node/daemon"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/settings"
	"github.com/almondpost/almondpost/internal/operate/metrics"
	"github.com/almondpost/almondpost/internal/peer/caller"
	"github.com/almondpost/almondpost/internal/peer/jsonhttp"
)

const (
	// gcPercent makes the garbage collector run less often than the default of
	// 100. An entry VM uses little memory, so this saves processor time.
	gcPercent = 400
	// memoryLimitBytes is the soft memory limit of the Go runtime. It is lower
	// than the memory that an entry VM may use, so that the garbage collector runs
	// more often before an entry VM uses that much.
	memoryLimitBytes = 200 << 20
)

// StartedMessage is the JSON line that the entry command prints when the entry
// VM accepts connections. It names the listen addresses for callers and for
// other entry VMs.
type StartedMessage struct {
	Name          string         `json:"name"`
	CallerAddress netip.AddrPort `json:"caller"`
	PeerAddress   netip.AddrPort `json:"peer"`
}

// addSettingsFlags adds the flag that names the settings file and the flags that
// override single settings. The returned function reads and validates the
// settings; it must be called after the flags were parsed.
func addSettingsFlags(c *invocation) func() (settings.Settings, error) {
	file := c.flags.String("settings", "", "JSON file with the settings")
	name := c.flags.String("name", "", "overrides the setting name")
	domain := c.flags.String("domain", "", "overrides the setting domain")
	callerListen := c.flags.String("caller-listen", "", "overrides the setting caller_listen")
	peerListen := c.flags.String("peer-listen", "", "overrides the setting peer_listen")
	return func() (settings.Settings, error) {
		s := settings.Default()
		if *file != "" {
			var err error
			if s, err = settings.Load(*file); err != nil {
				return s, fault.New("settings", KindUsage, err)
			}
		}
		if *name != "" {
			s.Name = *name
		}
		if *domain != "" {
			s.Domain = *domain
		}
		for _, o := range []struct {
			flag, text string
			target     *netip.AddrPort
		}{{"caller-listen", *callerListen, &s.CallerListen}, {"peer-listen", *peerListen, &s.PeerListen}} {
			if o.text == "" {
				continue
			}
			a, err := netip.ParseAddrPort(o.text)
			if err != nil {
				return s, fault.Newf("settings", KindUsage, "flag %s, value %q: %w", o.flag, o.text, err)
			}
			*o.target = a
		}
		if err := s.Validate(); err != nil {
			return s, fault.New("settings", KindUsage, err)
		}
		return s, nil
	}
}

func printSettings(c *invocation) error {
	load := addSettingsFlags(c)
	if err := c.parse(); err != nil {
		return err
	}
	s, err := load()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.stdout, s.Text())
	return err
}

func runEntryVM(c *invocation) error {
	load := addSettingsFlags(c)
	if err := c.parse(); err != nil {
		return err
	}
	s, err := load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	e, err := startEntryVM(common.New(s, c.stderr))
	if err != nil {
		return fault.New("entry", KindFailed, err)
	}
	line, _ := json.Marshal(StartedMessage{Name: s.Name, CallerAddress: e.callerAddress, PeerAddress: e.node.PeerAddress()})
	_, _ = fmt.Fprintln(c.stdout, string(line))
	<-ctx.Done()
	e.shutdown()
	return nil
}

// entryVM is a running entry VM: its node and the HTTP server for callers and
// operators.
type entryVM struct {
	common        *common.Common
	node          *daemon.Node
	server        *http.Server
	callerAddress netip.AddrPort
}

func startEntryVM(c *common.Common) (*entryVM, error) {
	registry := metrics.New()
	registry.Publish("groups")
	node, err := daemon.New(c, registry)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", c.Settings.CallerListen.String())
	if err != nil {
		node.Close()
		return nil, oops.In("app").With("address", c.Settings.CallerListen).Wrapf(err, "listen for callers")
	}
	gateway := caller.New(node, c.Settings.BodyLimitBytes, c.Log)
	e := &entryVM{common: c, node: node}
	e.server, e.callerAddress = gateway.Server(e.addDebugRoutes), l.Addr().(*net.TCPAddr).AddrPort()
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// cutRequest is the body of POST /debug/cut. It names the failure domains that
// this entry VM can no longer reach; "platform" stands for the platform.
type cutRequest struct {
	Names []string `json:"names"`
}

// addDebugRoutes adds the routes for profiles and for fault injection.
func (e *entryVM) addDebugRoutes(r chi.Router) {
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.Handle("/debug/pprof/goroutine", pprof.Handler("goroutine"))
	r.Post("/debug/cut", jsonhttp.Handler(func(_ context.Context, q cutRequest) (cutRequest, error) {
		if err := e.node.SetCut(q.Names); err != nil {
			return q, &jsonhttp.StatusError{Code: http.StatusForbidden, Message: err.Error()}
		}
		return q, nil
	}))
}

// loadBalancerGracePeriod is how long the load balancer may still send requests after
// the readiness check begins to fail.
const loadBalancerGracePeriod = time.Second

// shutdown stops the entry VM gracefully: the readiness check fails, other
// entry VMs take over its workers and jobs, and open requests run to their end.
// All of this is bounded by the setting drain_timeout.
func (e *entryVM) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.common.Settings.DrainTimeout))
	defer cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		e.node.Drain(ctx)
	}()
	time.Sleep(loadBalancerGracePeriod)
	if err := e.server.Shutdown(ctx); err != nil {
		e.common.Log.Error(err, "shutdown_cut_callers")
	}
	<-drained
	e.node.Close()
}
