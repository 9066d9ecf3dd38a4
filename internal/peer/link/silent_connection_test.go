package link

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Text is a large argument.
type Text struct{ Text string }

// Take is a method with a large argument.
func (h *testHandler) Take(_ Text, _ *Nothing) error { return nil }

// silentFirst is a listener whose first connections are never read.
type silentFirst struct {
	net.Listener
	silent int
	// kept holds the silent connections, which would be closed as garbage.
	kept []net.Conn
}

// Accept implements net.Listener.
func (l *silentFirst) Accept() (net.Conn, error) {
	for ; l.silent > 0; l.silent-- {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.kept = append(l.kept, c)
	}
	return l.Listener.Accept()
}

// serveSilentFirst serves a testHandler after a number of silent connections.
func serveSilentFirst(t *testing.T, silent int) netip.AddrPort {
	l := &silentFirst{Listener: listen(t), silent: silent}
	go func() { _ = Serve(l, testService, &testHandler{}) }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// A write to a connection that had gone silent blocked while it held the mutex of the client: no
// call to the peer ended at its time-out any more.
func TestCallsEndInTimeWhileAWriteBlocks(t *testing.T) {
	is := is.New(t)
	a := serveSilentFirst(t, 1)
	c := NewClient(testService, TCP{})
	defer c.Close()
	_, err := c.connect(t.Context(), a)
	is.NoErr(err)
	text := Text{string(make([]byte, 32<<20))}
	callLarge := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
		defer cancel()
		_, err := Call[Text, Nothing](ctx, c, a, "Take", text)
		return err
	}
	large := make(chan error, 1)
	begun := time.Now()
	go func() { large <- callLarge() }()
	time.Sleep(shortTimeout / 4) // The write is blocked.
	is.Equal(fault.KindOf[Kind](callTest(c, a, "Fast", shortTimeout)), KindUnknown)
	is.Equal(fault.KindOf[Kind](<-large), KindUnknown)
	is.True(time.Since(begun) < 2*shortTimeout)
	is.NoErr(callTest(c, a, "Fast", longTimeout)) // Over a new connection.
	connections, _ := c.Sizes()
	is.Equal(connections, 1)
}

// A write must end although no call has a time-out that closes the connection.
func TestWriteToASilentPeerEnds(t *testing.T) {
	is := is.New(t)
	a := serveSilentFirst(t, 1)
	conn, err := TCP{}.Dial(t.Context(), a)
	is.NoErr(err)
	begun := time.Now()
	_, err = boundedConn{conn}.Write(make([]byte, 32<<20))
	is.True(err != nil)
	is.True(time.Since(begun) < 3*time.Second) // Machines must be in touch again after this time.
}
