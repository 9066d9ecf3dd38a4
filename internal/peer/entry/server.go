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

// ErrEpochMismatch refuses a call whose epoch is not that of this owner. Its text is the error
// kind, by which the Client recognizes it.
var ErrEpochMismatch = errors.New(string(KindEpochMismatch))

// service adapts a Handler to the method signatures of net/rpc.
type service struct{ h Handler }

// Ping lets a client check that the connection works.
func (s *service) Ping(_ Empty, _ *Empty) error { return nil }

// Run calls Handler.Run.
func (s *service) Run(a RunArgs, r *Status) (err error) {
	*r, err = s.h.Run(a)
	return err
}

// Await calls Handler.Await.
func (s *service) Await(a AwaitArgs, r *Status) (err error) {
	*r, err = s.h.Await(a)
	return err
}

// Cancel calls Handler.Cancel.
func (s *service) Cancel(a CancelArgs, _ *Empty) error { return s.h.Cancel(a) }

// Resolve calls Handler.Resolve.
func (s *service) Resolve(a ResolveArgs, r *ResolveReply) (err error) {
	*r, err = s.h.Resolve(a)
	return err
}

// Fetch calls Handler.Fetch.
func (s *service) Fetch(a FetchArgs, r *FetchReply) (err error) {
	*r, err = s.h.Fetch(a)
	return err
}

// Configuration calls Handler.Configuration.
func (s *service) Configuration(_ Empty, r *ConfigurationReply) (err error) {
	*r, err = s.h.Configuration()
	return err
}

// Usage calls Handler.Usage.
func (s *service) Usage(_ Empty, r *UsageReply) (err error) {
	*r, err = s.h.Usage()
	return err
}

// Reserve calls Handler.Reserve.
func (s *service) Reserve(a ReserveArgs, r *ReserveReply) (err error) {
	*r, err = s.h.Reserve(a)
	return err
}

// Server serves the calls of other entry VMs.
type Server struct {
	counter     *traffic.Counter
	listener    net.Listener
	rpc         *rpc.Server
	mutex       sync.Mutex
	connections map[net.Conn]bool
}

// NewServer starts to serve a handler on a listener and does so until Close. It
// counts the traffic of its connections.
func NewServer(l net.Listener, h Handler, counter *traffic.Counter) (*Server, error) {
	s := &Server{counter: counter, listener: l, rpc: rpc.NewServer(), connections: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(ServiceName, &service{h}); err != nil {
		return nil, err
	}
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections[c] = true
		s.mutex.Unlock()
		go func() {
			s.rpc.ServeConn(traffic.WrapConn(c, s.counter))
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
