// Package backend plays backend servers of upstream owners on loopback
// addresses, for tests, the benchmark and the demo.
//
// All servers of a configuration run in one process, each with its own listener,
// slots, connections and behavior. Nothing here is used by an entry instance.
package backend

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// Options says which servers to play and how fast they are.
type Options struct {
	// Servers are the servers to play. A port of 0 picks a free one, see
	// Server.Address.
	Servers []config.BackendServer
	// ServiceTime is the duration of a request on a warm server.
	ServiceTime time.Duration
	// Jitter spreads the service time evenly by this share, 0 to 1.
	Jitter float64
	// ColdStart is the time in which the service time falls from ColdFactor
	// times its value to its value after a start.
	ColdStart  time.Duration
	ColdFactor float64
	// ConnectTime passes before the first request of a connection is read, and
	// ProbeTime before the health endpoint answers.
	ConnectTime time.Duration
	ProbeTime   time.Duration
	// LoadLag is the age that a load report reaches before it is renewed.
	LoadLag time.Duration
	// CrashDowntime is the time a server is down after a marked request crashed
	// it. Zero means 500 ms.
	CrashDowntime time.Duration
	// Seed makes the jitter repeatable.
	Seed uint64
	// Log receives state changes. Nil discards them.
	Log *slog.Logger
}

// Fleet is a set of running servers.
type Fleet struct {
	options Options
	journal *Journal
	servers []*Server
	byName  map[string]*Server
}

// UnknownServerError reports a name that is not in the fleet.
type UnknownServerError struct{ Name string }

func (e *UnknownServerError) Error() string { return fmt.Sprintf("unknown backend server %q", e.Name) }

// AddressError reports a server whose address is not on loopback or cannot be
// listened on.
type AddressError struct {
	Server  string
	Address string
	Err     error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("backend server %q: address %q: %v", e.Server, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// ListenLoopback listens on a loopback IP:port. It returns *NotLoopbackError for
// other addresses.
func ListenLoopback(address string) (net.Listener, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse address: %w", err)
	}
	if !addr.Addr().IsLoopback() {
		return nil, &NotLoopbackError{Address: addr.Addr()}
	}
	return net.Listen("tcp", address)
}

// NotLoopbackError reports an address outside 127.0.0.0/8 and ::1.
type NotLoopbackError struct{ Address netip.Addr }

func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("%s is not a loopback address", e.Address)
}

// Start starts all servers. It returns *AddressError; no server is left running
// then.
func Start(options Options) (*Fleet, error) {
	if options.Log == nil {
		options.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	f := &Fleet{options: options, journal: newJournal(), byName: make(map[string]*Server)}
	for i, spec := range options.Servers {
		s := newServer(f, spec, uint64(i))
		if err := s.start(); err != nil {
			f.Close()
			return nil, err
		}
		f.servers = append(f.servers, s)
		f.byName[spec.Name] = s
	}
	return f, nil
}

// Close stops all servers and ends their connections.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		s.stop()
	}
}

// Journal returns the execution log that all servers share.
func (f *Fleet) Journal() *Journal { return f.journal }

// Servers returns the servers in the order of Options.Servers.
func (f *Fleet) Servers() []*Server { return append([]*Server(nil), f.servers...) }

// Server returns the server with the name or *UnknownServerError.
func (f *Fleet) Server(name string) (*Server, error) {
	s, ok := f.byName[name]
	if !ok {
		return nil, &UnknownServerError{Name: name}
	}
	return s, nil
}

// BackendServers returns the configuration entries of the fleet with the
// addresses that the servers listen on.
func (f *Fleet) BackendServers() []config.BackendServer {
	specs := make([]config.BackendServer, len(f.servers))
	for i, s := range f.servers {
		specs[i] = s.spec
		specs[i].Address = s.Address()
	}
	return specs
}
