package backend

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
)

// State is the lifecycle state of a server.
type State string

// States of a server.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateDown     State = "down"
)

// Server simulates one backend server.
type Server struct {
	fleet *Fleet
	spec  config.BackendServer

	requestCount atomic.Uint64
	shedCount    atomic.Uint64
	inFlight     atomic.Int64
	peakInFlight atomic.Int64

	mu                 sync.Mutex
	rng                *rand.Rand
	address            string
	state              State
	behavior           Behavior
	startedAt          time.Time
	listener           net.Listener
	conns              map[net.Conn]http.ConnState
	lastReport         Load
	refusedConnections uint64
	restartTimer       *time.Timer
	stopped            bool
}

func newServer(f *Fleet, spec config.BackendServer, index uint64) *Server {
	return &Server{
		fleet:   f,
		spec:    spec,
		rng:     rand.New(rand.NewPCG(f.options.Seed, index)),
		address: spec.Address,
		state:   StateDown,
	}
}

// Name returns the server's name.
func (s *Server) Name() string { return s.spec.Name }

// Address returns the IP:port on which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// State returns the lifecycle state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// SetBehavior sets the behavior for requests that arrive from now on.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

// Behavior returns the current behavior.
func (s *Server) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

func (s *Server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startLocked()
}

// startLocked starts the server if it is down. It listens on the address of the previous
// start, so that a restarted server keeps a port that the operating system chose.
func (s *Server) startLocked() error {
	if s.stopped || s.state != StateDown {
		return nil
	}
	listener, err := ListenLoopback(s.address)
	if err != nil {
		return &AddressError{Server: s.spec.Name, Address: s.address, Err: err}
	}
	s.address = listener.Addr().String()
	s.listener = listener
	s.conns = make(map[net.Conn]http.ConnState)
	s.state = StateServing
	s.startedAt = time.Now()
	s.lastReport = Load{}
	// The stand-in closes connections itself, so it need not keep the http.Server.
	go s.serve(&http.Server{Handler: s, ConnState: s.trackConnState}, slowListener{listener, s.fleet.options.ConnectTime})
	return nil
}

// serve serves until the listener is closed. The error that reports this is expected.
func (s *Server) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	s.fleet.options.Log.Debug("serving the backend stand-in ended", "server", s.spec.Name, "cause", err)
}

func (s *Server) trackConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	if state == http.StateNew && s.connectionLimitReachedLocked() {
		s.refusedConnections++
		conn.Close()
		return
	}
	s.conns[conn] = state
	if state == http.StateIdle && s.state == StateDraining {
		conn.Close()
	}
}

// connectionLimitReachedLocked reports whether the maximum number of connections is open.
func (s *Server) connectionLimitReachedLocked() bool {
	return s.spec.Connections > 0 && len(s.conns) >= s.spec.Connections
}

// Drain stops accepting connections and closes idle ones; in-flight requests finish. With
// announce, their responses carry "Connection: close". Without, nothing announces the
// drain.
func (s *Server) Drain(announce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != StateServing {
		return
	}
	s.state = StateDraining
	s.behavior.CloseConnections = announce
	s.listener.Close()
	s.closeIdleLocked()
	s.fleet.options.Log.Info("backend stand-in draining", "server", s.spec.Name, "announce", announce)
}

// AnnounceDrain sends "Connection: close" with every response for the duration of notice,
// while the server goes on accepting requests. Then it calls Drain.
func (s *Server) AnnounceDrain(notice time.Duration) {
	s.mu.Lock()
	s.behavior.CloseConnections = true
	s.mu.Unlock()
	time.AfterFunc(notice, func() { s.Drain(true) })
}

func (s *Server) closeIdleLocked() {
	for conn, state := range s.conns {
		if state == http.StateIdle {
			conn.Close()
		}
	}
}

// Crash closes all connections with a TCP reset and stops listening.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
}

func (s *Server) crashLocked() {
	if s.state == StateDown {
		return
	}
	s.state = StateDown
	s.listener.Close()
	for conn := range s.conns {
		resetConn(conn)
	}
	s.fleet.options.Log.Info("backend stand-in down", "server", s.spec.Name)
}

// resetConn closes a connection so that the peer sees a TCP reset instead of an orderly
// end.
func resetConn(conn net.Conn) {
	if slow, ok := conn.(*slowConn); ok {
		conn = slow.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// SetLinger fails only if the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// Restart crashes the server and starts it again after the downtime: cold, with the zero
// Behavior and on the same address.
func (s *Server) Restart(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
	s.scheduleStartLocked(downtime)
}

func (s *Server) scheduleStartLocked(downtime time.Duration) {
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.restartTimer = time.AfterFunc(downtime, s.startAfterDowntime)
}

func (s *Server) startAfterDowntime() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = Behavior{}
	if err := s.startLocked(); err != nil {
		s.fleet.options.Log.Error("starting the backend stand-in after its downtime failed", "server", s.spec.Name, "error", err)
	}
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.crashLocked()
}
