package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// Options configure a Service.
type Options struct {
	Name           string        // of this instance
	Zone           string        // availability zone of this instance
	Listener       net.Listener  // for connections from peers
	TLS            *Certificates // nil for no TLS
	Handler        Handler
	Directory      Directory
	ShareAllocator ShareAllocator // nil: share requests are rejected
	ServerDialer   ServerDialer   // nil: relays are rejected
	Log            *slog.Logger
	// Dial opens connections to peers. Nil means TCP connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Requires lists the names of the kernel services on which Handler and Directory
	// depend.
	Requires []string
}

// Service exchanges messages with the other entry instances, as gRPC server and client. It is a
// kernel service.
type Service struct {
	kernel.Base
	name           string
	zone           string
	listener       net.Listener
	certs          *Certificates
	handler        Handler
	directory      Directory
	shareAllocator ShareAllocator
	serverDialer   ServerDialer
	log            *slog.Logger
	dial           func(ctx context.Context, address string) (net.Conn, error)
	requires       []string

	grpc       *grpc.Server
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu         sync.Mutex
	conns      map[string]*peerConn // by address
	roundCount int                  // selects the peers of each round in rotation
	// failingPeers holds the peers whose last exchange failed.
	failingPeers map[string]bool
}

// peerConn is a connection to a peer.
type peerConn struct {
	*grpc.ClientConn
	lastUsed time.Time
	relays   int // open connections to servers through the peer
}

// connIdleTimeout is the time without use after which a connection to a peer is closed. In a
// fleet of hundreds of instances, each instance of another zone is contacted only once in
// several minutes.
const connIdleTimeout = 30 * time.Second

// NewService returns a service that has not been started.
func NewService(o Options) *Service {
	return &Service{
		name:           o.Name,
		zone:           o.Zone,
		listener:       o.Listener,
		certs:          o.TLS,
		handler:        o.Handler,
		directory:      o.Directory,
		shareAllocator: o.ShareAllocator,
		serverDialer:   o.ServerDialer,
		log:            o.Log,
		dial:           o.Dial,
		requires:       o.Requires,
		conns:          make(map[string]*peerConn),
		failingPeers:   make(map[string]bool),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return s.requires }

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		// Small buffers: an instance has tens of mostly idle connections.
		grpc.ReadBufferSize(4 << 10),
		grpc.WriteBufferSize(4 << 10),
	}
	if s.certs != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(s.certs.ServerConfig())))
	}
	s.grpc = grpc.NewServer(options...)
	peerpb.RegisterPeerServer(s.grpc, &server{service: s})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.goroutines.Go(func() {
		// Serve returns nil when the server is stopped.
		if err := s.grpc.Serve(s.listener); err != nil {
			s.log.Error("serving peer connections failed", "error", err)
		}
	})
	s.goroutines.Go(func() { s.runRounds(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.grpc.Stop()
	s.goroutines.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, conn := range s.conns {
		conn.Close()
		delete(s.conns, address)
	}
	return nil
}

// client returns a client for the peer at address. All clients for an address share a
// connection.
func (s *Service) client(address string) (peerpb.PeerClient, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, err := s.connTo(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// connTo returns the connection to the peer at address. The lock must be held.
func (s *Service) connTo(address string) (*peerConn, error) {
	existing, ok := s.conns[address]
	if ok {
		existing.lastUsed = time.Now()
		return existing, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(s.credentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithReadBufferSize(4 << 10),
		grpc.WithWriteBufferSize(4 << 10),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: ExchangeTimeout}),
	}
	if s.dial != nil {
		options = append(options, grpc.WithContextDialer(s.dial))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	s.conns[address] = &peerConn{ClientConn: conn, lastUsed: time.Now()}
	return s.conns[address], nil
}

func (s *Service) credentials() credentials.TransportCredentials {
	if s.certs == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.certs.ClientConfig())
}

// closeUnusedConns closes connections that have been idle for connIdleTimeout or whose address
// does not belong to one of the instances, unless relays use them.
func (s *Service) closeUnusedConns(instances []Instance) {
	listed := make(map[string]bool, len(instances))
	for _, in := range instances {
		listed[in.Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, conn := range s.conns {
		if conn.relays > 0 || listed[address] && time.Since(conn.lastUsed) < connIdleTimeout {
			continue
		}
		conn.Close()
		delete(s.conns, address)
	}
}

// DialError reports that no gRPC client for a peer address could be created.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// minTLSVersion is the minimum TLS version of connections between instances.
const minTLSVersion = tls.VersionTLS13
