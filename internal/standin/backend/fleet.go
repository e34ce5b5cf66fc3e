// Package backend simulates backend servers on loopback addresses for tests, the
// benchmark and the demo. Real backend servers belong to the owners of the upstream
// services.
//
// All servers of a configuration run in one process, each with its own listener, slots,
// connections and behavior. Entry instances do not use this package.
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

// Options configures the simulated servers and their speed.
type Options struct {
	// Servers are the servers to simulate. With port 0 the operating system chooses a
	// free port, see Server.Address.
	Servers []config.BackendServer
	// ServiceTime is the time that a server takes for a request when it is warm.
	ServiceTime time.Duration
	// Jitter is the maximum relative deviation of the service time, 0 to 1. Deviations
	// are uniformly distributed.
	Jitter float64
	// ColdStart is the duration of the warm-up after a start. The service time begins at
	// ColdFactor times ServiceTime and falls linearly to ServiceTime.
	ColdStart  time.Duration
	ColdFactor float64
	// ConnectTime is the delay before the first request of a connection is read, and
	// ProbeTime the delay before the health endpoint responds.
	ConnectTime time.Duration
	ProbeTime   time.Duration
	// LoadLag is the time for which the load endpoint repeats a load report before it
	// makes a new one.
	LoadLag time.Duration
	// CrashDowntime is the time that a server stays down after a request with
	// HeaderCrash. Zero means 500 ms.
	CrashDowntime time.Duration
	// Seed seeds the random generator of the jitter, to make runs reproducible.
	Seed uint64
	// Log receives the state changes of servers. Nil discards them.
	Log *slog.Logger
}

// Fleet is a set of running simulated servers.
type Fleet struct {
	options Options
	journal *Journal
	servers []*Server
	byName  map[string]*Server
}

// UnknownServerError reports a server name that is not in the fleet.
type UnknownServerError struct{ Name string }

func (e *UnknownServerError) Error() string { return fmt.Sprintf("unknown backend server %q", e.Name) }

// AddressError reports a server whose address is not a loopback address or on which a
// listener could not be opened.
type AddressError struct {
	Server  string
	Address string
	Err     error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("backend server %q: address %q: %v", e.Server, e.Address, e.Err)
}

// Unwrap returns the underlying error.
func (e *AddressError) Unwrap() error { return e.Err }

// ListenLoopback opens a TCP listener on a loopback IP:port. It returns *NotLoopbackError
// for other IP addresses.
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

// Start starts all servers. If one fails to start, it stops the others and returns
// *AddressError.
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

// Close stops all servers and resets their connections.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		s.stop()
	}
}

// Journal returns the record of executions that all servers share.
func (f *Fleet) Journal() *Journal { return f.journal }

// Servers returns the servers in the order of Options.Servers.
func (f *Fleet) Servers() []*Server { return append([]*Server(nil), f.servers...) }

// Server returns the server with the given name or *UnknownServerError.
func (f *Fleet) Server(name string) (*Server, error) {
	s, ok := f.byName[name]
	if !ok {
		return nil, &UnknownServerError{Name: name}
	}
	return s, nil
}

// BackendServers returns the configuration of the servers with the addresses that they
// actually listen on.
func (f *Fleet) BackendServers() []config.BackendServer {
	specs := make([]config.BackendServer, len(f.servers))
	for i, s := range f.servers {
		specs[i] = s.spec
		specs[i].Address = s.Address()
	}
	return specs
}
