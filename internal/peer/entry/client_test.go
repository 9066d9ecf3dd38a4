package entry_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/traffic"
	"github.com/almondpost/almondpost/internal/peer/entry"
)

// slowHandler blocks every Run call until release is closed.
type slowHandler struct{ release chan struct{} }

func (h slowHandler) Run(entry.RunArgs) (entry.Status, error) {
	<-h.release
	return entry.Status{State: entry.Finished}, nil
}

func (h slowHandler) Await(entry.AwaitArgs) (entry.Status, error) {
	return entry.Status{State: entry.Running}, nil
}

func (h slowHandler) Cancel(entry.CancelArgs) error { return nil }

func (h slowHandler) Resolve(entry.ResolveArgs) (entry.ResolveReply, error) {
	return entry.ResolveReply{}, entry.ErrEpochMismatch
}

func (h slowHandler) Fetch(entry.FetchArgs) (entry.FetchReply, error) {
	return entry.FetchReply{}, nil
}

func (h slowHandler) Configuration() (entry.ConfigurationReply, error) {
	return entry.ConfigurationReply{}, nil
}

func (h slowHandler) Usage() (entry.UsageReply, error) { return entry.UsageReply{}, nil }

func (h slowHandler) Reserve(entry.ReserveArgs) (entry.ReserveReply, error) {
	return entry.ReserveReply{}, nil
}

func neverBlocked(netip.AddrPort) bool { return false }

func listenOnLoopback(is *is.I) (net.Listener, netip.AddrPort) {
	is.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// TestSilentConnectionIsReplaced guards against calls that hang on a dead
// connection. The peer accepts connections but never answers: a call without a
// deadline must end with an unknown outcome, and calls must succeed again once the
// peer answers.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	l, address := listenOnLoopback(is)
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	c := entry.NewClient(&traffic.Counter{}, neverBlocked)
	defer c.Close()
	err := c.Call(context.Background(), address, "Await", entry.AwaitArgs{}, &entry.Status{})
	is.Equal(fault.KindOf[entry.Kind](err), entry.KindUnknown)
	is.NoErr(l.Close())
	_ = (<-accepted).Close()

	listener, err := net.Listen("tcp", address.String())
	is.NoErr(err)
	server, err := entry.NewServer(listener, slowHandler{}, &traffic.Counter{})
	is.NoErr(err)
	defer server.Close()
	var s entry.Status
	is.NoErr(c.Call(context.Background(), address, "Await", entry.AwaitArgs{}, &s))
	is.Equal(s.State, entry.Running)
}

// TestProbeKeepsConnectionOfSlowCall checks that a call in flight for a long time
// is not ended while its connection still answers other calls.
func TestProbeKeepsConnectionOfSlowCall(t *testing.T) {
	is := is.New(t)
	l, address := listenOnLoopback(is)
	h := slowHandler{release: make(chan struct{})}
	server, err := entry.NewServer(l, h, &traffic.Counter{})
	is.NoErr(err)
	defer server.Close()
	c := entry.NewClient(&traffic.Counter{}, neverBlocked)
	defer c.Close()
	done := make(chan error, 1)
	go func() {
		done <- c.Call(context.Background(), address, "Run", entry.RunArgs{}, &entry.Status{})
	}()
	// The peer answers each of these calls while the slow call is in flight.
	for range 100 {
		is.NoErr(c.Call(context.Background(), address, "Await", entry.AwaitArgs{}, &entry.Status{}))
	}
	close(h.release)
	is.NoErr(<-done)
}

func TestCallErrorKinds(t *testing.T) {
	is := is.New(t)
	l, address := listenOnLoopback(is)
	c := entry.NewClient(&traffic.Counter{}, neverBlocked)
	defer c.Close()
	server, err := entry.NewServer(l, slowHandler{}, &traffic.Counter{})
	is.NoErr(err)
	err = c.Call(context.Background(), address, "Resolve", entry.ResolveArgs{}, &entry.ResolveReply{})
	is.Equal(fault.KindOf[entry.Kind](err), entry.KindEpochMismatch)
	server.Close()
	_ = c.Call(context.Background(), address, "Await", entry.AwaitArgs{}, &entry.Status{})
	err = c.Call(context.Background(), address, "Await", entry.AwaitArgs{}, &entry.Status{})
	is.Equal(fault.KindOf[entry.Kind](err), entry.KindNotSent)
}
