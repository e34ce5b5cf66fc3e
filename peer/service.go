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
	Name      string // of this instance
	Zone      string
	Listener  net.Listener
	TLS       *Certificates // nil for no TLS
	Handler Handler
	Directory Directory
	ShareAllocator    ShareAllocator // nil refuses to grant shares
	Log       *slog.Logger
	// Dial opens connections to peers. Nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Requires names the kernel services behind Knowledge and Directory.
	Requires []string
}

// Service is the gRPC service between entry instances.
type Service struct {
	kernel.Base
	name      string
	zone      string
	listener  net.Listener
	certs     *Certificates
	knowledge Handler
	directory Directory
	shares    ShareAllocator
	log       *slog.Logger
	dial      func(ctx context.Context, address string) (net.Conn, error)
	requires  []string

	grpc   *grpc.Server
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	conns map[string]*connection // by address
	turn  int                    // counts rounds, to rotate over peers
	// failing holds the peers whose last exchange failed.
	failing map[string]bool
}

// connection is a connection to a peer and the time of its last use.
type connection struct {
	*grpc.ClientConn
	used time.Time
}

// idleAfter is the time without use after which a connection is closed. In a fleet
// of hundreds, each instance of another zone is contacted once in several minutes.
const idleAfter = 30 * time.Second

// NewService returns a service that is not started.
func NewService(o Options) *Service {
	return &Service{
		name:      o.Name,
		zone:      o.Zone,
		listener:  o.Listener,
		certs:     o.TLS,
		knowledge: o.Handler,
		directory: o.Directory,
		shares:    o.ShareAllocator,
		log:       o.Log,
		dial:      o.Dial,
		requires:  o.Requires,
		conns:     make(map[string]*connection),
		failing:   make(map[string]bool),
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
		// Small buffers: an instance holds tens of mostly idle connections.
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
	s.done.Go(func() {
		// Serve returns when the server is stopped.
		if err := s.grpc.Serve(s.listener); err != nil {
			s.log.Error("peer listener failed", "error", err)
		}
	})
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.grpc.Stop()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, conn := range s.conns {
		conn.Close()
		delete(s.conns, address)
	}
	return nil
}

// client returns a client for the peer at address, over a shared connection.
func (s *Service) client(address string) (peerpb.PeerClient, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.conns[address]
	if ok {
		known.used = time.Now()
		return peerpb.NewPeerClient(known), nil
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
	s.conns[address] = &connection{ClientConn: conn, used: time.Now()}
	return peerpb.NewPeerClient(conn), nil
}

func (s *Service) credentials() credentials.TransportCredentials {
	if s.certs == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.certs.ClientConfig())
}

// prune closes connections that are idle or to addresses that are no longer known.
func (s *Service) prune(instances []Instance) {
	keep := make(map[string]bool, len(instances))
	for _, in := range instances {
		keep[in.Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, conn := range s.conns {
		if keep[address] && time.Since(conn.used) < idleAfter {
			continue
		}
		conn.Close()
		delete(s.conns, address)
	}
}

// DialError reports a peer address that cannot be used.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// tlsVersion is the lowest TLS version between instances.
const tlsVersion = tls.VersionTLS13
