package entry

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/almondpost/almondpost/internal/operate/traffic"
)

// Handler executes the calls of other entry VMs.
type Handler interface {
	Run(a RunArgs) (Status, error)
	Await(a AwaitArgs) (Status, error)
	Cancel(a CancelArgs) error
	Resolve(a ResolveArgs) (ResolveReply, error)
	Fetch(a FetchArgs) (FetchReply, error)
	Configuration() (ConfigurationReply, error)
	Usage() (UsageReply, error)
	Reserve(a ReserveArgs) (ReserveReply, error)
}

// ErrEpochMismatch is the error of a call that carries another epoch than this
// owner has. net/rpc transmits only the text of an error, so the text is the
// error kind, by which the Client recognizes it.
var ErrEpochMismatch = errors.New(string(KindEpochMismatch))

// service adapts a Handler to the method signatures of net/rpc.
type service struct{ handler Handler }

// Ping lets a client check that the connection works.
func (s *service) Ping(_ Empty, _ *Empty) error { return nil }

// Run calls Handler.Run.
func (s *service) Run(a RunArgs, r *Status) (err error) {
	*r, err = s.handler.Run(a)
	return err
}

// Await calls Handler.Await.
func (s *service) Await(a AwaitArgs, r *Status) (err error) {
	*r, err = s.handler.Await(a)
	return err
}

// Cancel calls Handler.Cancel.
func (s *service) Cancel(a CancelArgs, _ *Empty) error { return s.handler.Cancel(a) }

// Resolve calls Handler.Resolve.
func (s *service) Resolve(a ResolveArgs, r *ResolveReply) (err error) {
	*r, err = s.handler.Resolve(a)
	return err
}

// Fetch calls Handler.Fetch.
func (s *service) Fetch(a FetchArgs, r *FetchReply) (err error) {
	*r, err = s.handler.Fetch(a)
	return err
}

// Configuration calls Handler.Configuration.
func (s *service) Configuration(_ Empty, r *ConfigurationReply) (err error) {
	*r, err = s.handler.Configuration()
	return err
}

// Usage calls Handler.Usage.
func (s *service) Usage(_ Empty, r *UsageReply) (err error) {
	*r, err = s.handler.Usage()
	return err
}

// Reserve calls Handler.Reserve.
func (s *service) Reserve(a ReserveArgs, r *ReserveReply) (err error) {
	*r, err = s.handler.Reserve(a)
	return err
}

// Server serves the calls of other entry VMs.
type Server struct {
	counter     *traffic.Counter
	listener    net.Listener
	rpcServer   *rpc.Server
	mutex       sync.Mutex
	connections map[net.Conn]bool
}

// NewServer passes the calls that arrive on a listener to a handler until Close
// is called. It adds the traffic of its connections to counter.
func NewServer(l net.Listener, h Handler, counter *traffic.Counter) (*Server, error) {
	s := &Server{counter: counter, listener: l, rpcServer: rpc.NewServer(), connections: map[net.Conn]bool{}}
	if err := s.rpcServer.RegisterName(ServiceName, &service{h}); err != nil {
		return nil, err
	}
	go s.acceptConnections()
	return s, nil
}

func (s *Server) acceptConnections() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[c] = true
		s.mutex.Unlock()
		go func() {
			s.rpcServer.ServeConn(traffic.WrapConn(c, s.counter))
			s.mutex.Lock()
			delete(s.connections, c)
			s.mutex.Unlock()
		}()
	}
}

// Close closes the listener and every connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.connections {
		_ = c.Close()
	}
}
