package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fakeDialer dials one address for peers.
type fakeDialer struct{ address string }

func (d *fakeDialer) DialForPeer(ctx context.Context, _, address string) (net.Conn, error) {
	if address != d.address {
		return nil, &CannotRelayError{Reason: "unknown address"}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// newRelay returns a service whose peer at an address relays connections to a server, and a function
// that returns the next connection at that server.
func newRelay(t *testing.T) (from *Service, peerAddress, serverAddress string, accept func() *net.TCPConn) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			accepted <- conn.(*net.TCPConn)
		}
	}()
	services := make([]*Service, 0, 2)
	for _, name := range []string{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		s := NewService(Options{
			Name: name, Listener: listener, Handler: &fakeHandler{name: name}, Directory: fakeDirectory{owner: name, all: &[]Instance{}},
			ServerDialer: &fakeDialer{address: server.Addr().String()}, Log: slog.New(slog.DiscardHandler),
		})
		must.NoError(t, s.Start(t.Context()))
		t.Cleanup(func() { must.NoError(t, s.Stop(context.Background())) })
		services = append(services, s)
	}
	return services[0], services[1].listener.Addr().String(), server.Addr().String(), func() *net.TCPConn { return <-accepted }
}

// Guards against relayed bytes that are lost, changed or reordered, in either direction.
func TestRelayCopiesBothWays(t *testing.T) {
	s, peer, address, accept := newRelay(t)
	conn, err := s.OpenRelay(t.Context(), peer, "s1", address)
	must.NoError(t, err)
	defer conn.Close()
	server := accept()
	sent := make([]byte, 5*relayBufferBytes+7)
	for i := range sent {
		sent[i] = byte(i * i / 251)
	}
	received := make([]byte, len(sent))
	for _, ends := range [][2]net.Conn{{conn, server}, {server, conn}} {
		go func() { _, _ = ends[0].Write(sent) }()
		_, err := io.ReadFull(ends[1], received)
		must.NoError(t, err)
		must.Eq(t, sent, received)
		clear(received)
	}
}

// Guards against a response without a length that is taken as complete although the server has reset
// the connection, or the peer has ended.
func TestOnlyAClosedConnectionEndsARelayWithoutAnError(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(server *net.TCPConn, s *Service)
		complete bool
	}{
		"closed": {func(server *net.TCPConn, _ *Service) { server.Close() }, true},
		"reset": {func(server *net.TCPConn, _ *Service) {
			_ = server.SetLinger(0)
			server.Close()
		}, false},
		"connection to the peer lost": {func(_ *net.TCPConn, s *Service) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, conn := range s.conns {
				conn.Close()
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, peer, address, accept := newRelay(t)
			conn, err := s.OpenRelay(t.Context(), peer, "s1", address)
			must.NoError(t, err)
			defer conn.Close()
			server := accept()
			_, err = server.Write([]byte("part"))
			must.NoError(t, err)
			part := make([]byte, 4)
			_, err = io.ReadFull(conn, part)
			must.NoError(t, err)
			c.end(server, s)
			_, err = conn.Read(part)
			must.Eq(t, c.complete, err == io.EOF, must.Sprint(err))
		})
	}
}

// Guards against requests that go on at a server after the relayed connection was closed.
func TestClosedRelayClosesTheConnectionToTheServer(t *testing.T) {
	s, peer, address, accept := newRelay(t)
	conn, err := s.OpenRelay(t.Context(), peer, "s1", address)
	must.NoError(t, err)
	server := accept()
	must.NoError(t, conn.Close())
	_, err = server.Read(make([]byte, 1))
	must.Error(t, err)
}

// Guards against relays to addresses that are not servers, and against a server that counts as
// unreachable because a peer does not relay to it.
func TestRelayErrorsTellTheServerFromThePeer(t *testing.T) {
	s, peer, address, accept := newRelay(t)
	unreachable := func(peerAddress, address string) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := s.OpenRelay(ctx, peerAddress, "s1", address)
		var relayErr *RelayError
		must.True(t, errors.As(err, &relayErr), must.Sprint(err))
		return relayErr.ServerUnreachable()
	}
	must.False(t, unreachable(peer, "127.0.0.1:1"), must.Sprint("not the address of a server"))
	must.False(t, unreachable("127.0.0.1:1", address), must.Sprint("no peer"))
	conn, err := s.OpenRelay(t.Context(), peer, "s1", address)
	must.NoError(t, err)
	defer conn.Close()
	accept()
}
