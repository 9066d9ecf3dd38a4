package entry

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/almondpost/almondpost/internal/operate/traffic"
)

// Handler is what an entry VM offers to the others.
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

// ErrEpoch refuses a call that was meant for another process.
var ErrEpoch = errors.New(string(KindEpoch))

// service adapts a Handler to the form of net/rpc.
type service struct{ h Handler }

// Ping answers at once.
func (s *service) Ping(_ Nothing, _ *Nothing) error { return nil }

// Run serves Handler.Run.
func (s *service) Run(a RunArgs, r *Status) (err error) {
	*r, err = s.h.Run(a)
	return err
}

// Await serves Handler.Await.
func (s *service) Await(a AwaitArgs, r *Status) (err error) {
	*r, err = s.h.Await(a)
	return err
}

// Cancel serves Handler.Cancel.
func (s *service) Cancel(a CancelArgs, _ *Nothing) error { return s.h.Cancel(a) }

// Resolve serves Handler.Resolve.
func (s *service) Resolve(a ResolveArgs, r *ResolveReply) (err error) {
	*r, err = s.h.Resolve(a)
	return err
}

// Fetch serves Handler.Fetch.
func (s *service) Fetch(a FetchArgs, r *FetchReply) (err error) {
	*r, err = s.h.Fetch(a)
	return err
}

// Configuration serves Handler.Configuration.
func (s *service) Configuration(_ Nothing, r *ConfigurationReply) (err error) {
	*r, err = s.h.Configuration()
	return err
}

// Usage serves Handler.Usage.
func (s *service) Usage(_ Nothing, r *UsageReply) (err error) {
	*r, err = s.h.Usage()
	return err
}

// Reserve serves Handler.Reserve.
func (s *service) Reserve(a ReserveArgs, r *ReserveReply) (err error) {
	*r, err = s.h.Reserve(a)
	return err
}

// Server accepts calls of other entry VMs.
type Server struct {
	counter  *traffic.Counter
	listener net.Listener
	rpc      *rpc.Server
	mutex    sync.Mutex
	open     map[net.Conn]bool
}

// NewServer serves a handler on a listener until Close.
func NewServer(l net.Listener, h Handler, counter *traffic.Counter) (*Server, error) {
	s := &Server{counter: counter, listener: l, rpc: rpc.NewServer(), open: map[net.Conn]bool{}}
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
		s.open[c] = true
		s.mutex.Unlock()
		go func() {
			s.rpc.ServeConn(traffic.Wrap(c, s.counter))
			s.mutex.Lock()
			delete(s.open, c)
			s.mutex.Unlock()
		}()
	}
}

// Close ends the listener and every connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}
