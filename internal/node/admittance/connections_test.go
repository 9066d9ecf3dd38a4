package admittance_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/admittance"
)

// pipe adds one end of a pipe to connections and returns both ends.
func pipe(t *testing.T, s *admittance.Connections, now time.Time) (*admittance.Conn, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return s.Add(near, now), far
}

// isOpen reports whether the far end of a pipe is open.
func isOpen(far net.Conn) bool {
	_ = far.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := far.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

var timeouts = admittance.Timeouts{Idle: time.Minute, Head: time.Minute, Write: time.Minute}

// startHead makes a connection wait for the rest of a head.
func startHead(c *admittance.Conn, far net.Conn) {
	go func() { _, _ = far.Write([]byte("P")) }()
	_, _ = c.Read(make([]byte, 1))
}

// Callers that stall must not lock others out, and a request that is being served must not be
// cut off.
func TestConnectionsGiveWay(t *testing.T) {
	idle := func(*admittance.Conn, net.Conn) {}
	body := func(c *admittance.Conn, _ net.Conn) { c.AwaitBody(time.Now().Add(time.Minute)) }
	serving := func(c *admittance.Conn, _ net.Conn) { c.Serve() }
	served := func(c *admittance.Conn, _ net.Conn) {
		c.Serve()
		c.AwaitRequest()
	}
	type enter func(*admittance.Conn, net.Conn)
	scenarios := []struct {
		testName string
		phases   []enter
		// after is how long after the phases have begun another connection comes.
		after time.Duration
		// victim is the index of the one that is closed, or -1 for the new one.
		victim int
		limit  admittance.Limit
	}{
		{"a stalled head before an idle connection", []enter{serving, idle, startHead, body}, 2 * time.Second, 2, admittance.LimitHead},
		{"an idle connection before a new head", []enter{serving, startHead, idle, body}, 0, 2, admittance.LimitIdle},
		{"a new head before a body", []enter{serving, body, startHead}, 0, 2, admittance.LimitHead},
		{"a body before none", []enter{serving, body}, 0, 1, admittance.LimitBody},
		{"the oldest of the idle connections", []enter{serving, served, idle}, 0, 1, admittance.LimitIdle},
		{"all are being served", []enter{serving, serving}, time.Hour, -1, admittance.LimitConnections},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			var limits []admittance.Limit
			set := admittance.NewConnections(len(s.phases), timeouts, func(l admittance.Limit) { limits = append(limits, l) })
			var ends []net.Conn
			for _, enter := range s.phases {
				c, far := pipe(t, set, time.Now())
				enter(c, far)
				ends = append(ends, far)
			}
			c, far := pipe(t, set, time.Now().Add(s.after))
			is.Equal(c == nil, s.victim < 0)
			is.Equal(isOpen(far), s.victim >= 0)
			for i, end := range ends {
				is.Equal(isOpen(end), i != s.victim)
			}
			is.Equal(limits, []admittance.Limit{s.limit})
			is.Equal(set.Len(), len(s.phases))
		})
	}
}

func TestClosedConnectionsDoNotCount(t *testing.T) {
	is := is.New(t)
	s := admittance.NewConnections(1, timeouts, func(admittance.Limit) { t.Error("no limit is reached") })
	for range 3 {
		c, _ := pipe(t, s, time.Now())
		is.NoErr(c.Close())
		_ = c.Close()
		is.Equal(s.Len(), 0)
	}
}

// Callers may open a connection long before their first request. Once its head has begun, the
// rest must arrive in time.
func TestFirstRequestMayComeLate(t *testing.T) {
	is := is.New(t)
	var limits []admittance.Limit
	s := admittance.NewConnections(1, admittance.Timeouts{Idle: time.Minute, Head: 20 * time.Millisecond, Write: time.Minute}, func(l admittance.Limit) { limits = append(limits, l) })
	c, far := pipe(t, s, time.Now())
	is.NoErr(c.SetReadDeadline(time.Now())) // As the server sets the time for a head at the start.
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = far.Write([]byte("P"))
	}()
	buffer := make([]byte, 1)
	n, err := c.Read(buffer)
	is.NoErr(err)
	is.Equal(n, 1)
	_, err = c.Read(buffer)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.Equal(limits, []admittance.Limit{admittance.LimitHeadTime})
}

// The server reads on while it serves a request, to notice that the caller hangs up. The time
// for the body must not end that.
func TestTimeForTheBodyEndsWithIt(t *testing.T) {
	is := is.New(t)
	s := admittance.NewConnections(1, timeouts, func(admittance.Limit) {})
	c, far := pipe(t, s, time.Now())
	startHead(c, far)
	c.AwaitBody(time.Now().Add(20 * time.Millisecond))
	c.Serve()
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = far.Write([]byte("x"))
	}()
	_, err := c.Read(make([]byte, 1))
	is.NoErr(err)
}

func TestRejectedHeadsAreCounted(t *testing.T) {
	is := is.New(t)
	var limits []admittance.Limit
	s := admittance.NewConnections(1, timeouts, func(l admittance.Limit) { limits = append(limits, l) })
	c, far := pipe(t, s, time.Now())
	go func() { _, _ = io.Copy(io.Discard, far) }()
	startHead(c, far)
	_, err := c.Write([]byte("HTTP/1.1 431 "))
	is.NoErr(err)
	is.Equal(limits, []admittance.Limit{admittance.LimitHeadRejected})
	c.Serve()
	_, err = c.Write([]byte("HTTP/1.1 200 "))
	is.NoErr(err)
	is.Equal(len(limits), 1)
}
