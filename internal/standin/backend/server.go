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

// State is the life cycle state of a server.
type State string

// States.
const (
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateDown     State = "down"
)

// Server plays one backend server.
type Server struct {
	fleet *Fleet
	spec  config.BackendServer

	requests atomic.Uint64
	shed     atomic.Uint64
	inUse    atomic.Int64
	peak     atomic.Int64

	mu        sync.Mutex
	rng       *rand.Rand
	address   string
	state     State
	behavior  Behavior
	startedAt time.Time
	listener  net.Listener
	conns     map[net.Conn]http.ConnState
	report    Load
	refused   uint64 // connections
	restart   *time.Timer
	stopped   bool
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

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// State returns the life cycle state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// SetBehavior switches the behavior of requests that arrive from now on.
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

// startLocked listens on the address of the previous start, so that a restarted
// server keeps a port that was picked for it.
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
	s.report = Load{}
	// The stand-in ends connections itself, so it needs no handle of the server.
	go s.serve(&http.Server{Handler: s, ConnState: s.connState}, slowListener{listener, s.fleet.options.ConnectTime})
	return nil
}

// serve returns when the listener is closed; that error is the expected end.
func (s *Server) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	s.fleet.options.Log.Debug("listener closed", "server", s.spec.Name, "cause", err)
}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	if state == http.StateNew && s.fullLocked() {
		s.refused++
		conn.Close()
		return
	}
	s.conns[conn] = state
	if state == http.StateIdle && s.state == StateDraining {
		conn.Close()
	}
}

// fullLocked reports whether the server has all connections that it takes.
func (s *Server) fullLocked() bool {
	return s.spec.Connections > 0 && len(s.conns) >= s.spec.Connections
}

// Drain stops taking new connections. Requests in progress finish, and idle
// connections are closed. With announce, the answers in progress carry
// "Connection: close"; without, the server leaves silently.
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
	s.fleet.options.Log.Info("draining", "server", s.spec.Name, "announce", announce)
}

// AnnounceDrain sends "Connection: close" with every answer for the given time,
// and accepts work meanwhile. Then it drains.
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

// Crash ends all connections with a reset and stops listening.
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
		reset(conn)
	}
	s.fleet.options.Log.Info("down", "server", s.spec.Name)
}

// reset closes a connection so that the peer sees a reset, not an orderly end.
func reset(conn net.Conn) {
	if slow, ok := conn.(*slowConn); ok {
		conn = slow.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// Restart crashes the server and starts it cold, healthy and on the same address
// after the downtime.
func (s *Server) Restart(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
	s.scheduleStartLocked(downtime)
}

func (s *Server) scheduleStartLocked(downtime time.Duration) {
	if s.restart != nil {
		s.restart.Stop()
	}
	s.restart = time.AfterFunc(downtime, s.startAgain)
}

func (s *Server) startAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = Behavior{}
	if err := s.startLocked(); err != nil {
		s.fleet.options.Log.Error("restart failed", "server", s.spec.Name, "error", err)
	}
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.restart != nil {
		s.restart.Stop()
	}
	s.crashLocked()
}
