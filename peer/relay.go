package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jacinthrack/jacinthrack/internal/connwrite"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
)

// relayBufferBytes is the size of the largest piece in which a relay copies bytes.
const relayBufferBytes = 16 << 10

// ServerDialer opens connections to backend servers for peers that cannot reach them.
type ServerDialer interface {
	// DialForPeer opens a connection to a server. Its error is a *CannotRelayError if it did not try
	// to, for example since the address is not the one of this server.
	DialForPeer(ctx context.Context, serverID, address string) (net.Conn, error)
}

// CannotRelayError reports that an instance does not relay connections to a server, or to any.
type CannotRelayError struct {
	Reason   string
	Isolated bool // the instance has lost its links to all servers
}

func (e *CannotRelayError) Error() string { return e.Reason }

// relayStatus returns the status of a relay that could not be opened.
func relayStatus(err error) error {
	code := codes.FailedPrecondition // see ServerUnreachable
	var refused *CannotRelayError
	switch {
	case errors.As(err, &refused) && refused.Isolated:
		code = codes.Unavailable // see PeerUnusable
	case errors.As(err, &refused):
		code = codes.NotFound
	}
	return status.Error(code, err.Error())
}

// Relay opens a connection to a backend server and copies bytes in both directions until the server
// closes the connection or the peer leaves.
func (s *server) Relay(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]) error {
	if s.service.serverDialer == nil {
		return status.Error(codes.Unimplemented, "this instance relays no connections")
	}
	target, err := stream.Recv()
	if err != nil {
		return err
	}
	conn, err := s.service.serverDialer.DialForPeer(stream.Context(), target.GetServerId(), target.GetAddress())
	if err != nil {
		return relayStatus(err)
	}
	defer conn.Close()
	defer context.AfterFunc(stream.Context(), func() { conn.Close() })()
	if err := stream.Send(&peerpb.RelayReply{}); err != nil {
		return err
	}
	writer := connwrite.New(conn)
	go copyToServer(writer, stream)
	err = copyFromServer(stream, conn)
	if err == nil {
		err = writer.Failure()
	}
	if err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return nil
}

// copyToServer copies bytes of a peer until its stream ends or a write fails.
func copyToServer(writer *connwrite.Writer, stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]) {
	for {
		request, err := stream.Recv()
		if err != nil {
			return // the end of the stream closes the connection
		}
		if _, err := writer.Write(request.GetData()); err != nil {
			return // the writer keeps the error
		}
	}
}

// copyFromServer copies bytes of a server until it closes the connection.
func copyFromServer(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply], conn net.Conn) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.Send(&peerpb.RelayReply{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// OpenRelay opens a connection to a backend server through the peer at an address. ctx bounds the
// opening only.
func (s *Service) OpenRelay(ctx context.Context, peerAddress, serverID, serverAddress string) (net.Conn, error) {
	streamCtx, cancel := context.WithCancel(context.Background())
	opened := context.AfterFunc(ctx, cancel)
	stream, release, err := s.openRelayStream(streamCtx, peerAddress, serverID, serverAddress)
	if err == nil && !opened() {
		release()
		err = context.Cause(ctx)
	}
	if err != nil {
		cancel()
		return nil, &RelayError{Peer: peerAddress, Err: err}
	}
	return &relayConn{stream: stream, cancel: cancel, release: release, local: relayAddr(s.name), remote: relayAddr(serverAddress)}, nil
}

// openRelayStream names the server to a peer and waits until the connection is open. release must be
// called after its end.
func (s *Service) openRelayStream(ctx context.Context, peerAddress, serverID, serverAddress string) (stream grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayReply], release func(), err error) {
	client, release, err := s.relayClient(peerAddress)
	if err != nil {
		return nil, nil, err
	}
	if stream, err = startRelay(ctx, client, serverID, serverAddress); err != nil {
		release()
		return nil, nil, err
	}
	return stream, release, nil
}

// startRelay names the server in a new stream and waits for the first reply.
func startRelay(ctx context.Context, client peerpb.PeerClient, serverID, serverAddress string) (grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayReply], error) {
	stream, err := client.Relay(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&peerpb.RelayRequest{ServerId: serverID, Address: serverAddress}); err != nil && err != io.EOF {
		return nil, err
	}
	// After io.EOF, Recv returns the error of the stream.
	_, err = stream.Recv()
	return stream, err
}

// relayClient is client for a relay. The connection stays open until release is called.
func (s *Service) relayClient(address string) (client peerpb.PeerClient, release func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, err := s.connTo(address)
	if err != nil {
		return nil, nil, err
	}
	conn.relays++
	return peerpb.NewPeerClient(conn), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		conn.relays--
		conn.lastUsed = time.Now()
	}, nil
}

// RelayError reports a connection to a backend server that could not be opened through a peer.
type RelayError struct {
	Peer string // address
	Err  error
}

// ServerUnreachable reports whether the peer was reached and could not open the connection.
func (e *RelayError) ServerUnreachable() bool {
	return status.Code(e.Err) == codes.FailedPrecondition
}

func (e *RelayError) Error() string { return "relay through peer " + e.Peer + ": " + e.Err.Error() }

// PeerUnusable reports whether the peer was not reached, or is isolated.
func (e *RelayError) PeerUnusable() bool { return status.Code(e.Err) == codes.Unavailable }

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Err }

// relayConn is a connection to a backend server through a peer. It ignores deadlines.
type relayConn struct {
	stream  grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayReply]
	cancel  context.CancelFunc
	once    sync.Once
	release func()
	unread  []byte // received bytes that Read has not returned
	local   net.Addr
	remote  net.Addr
}

// relayAddr is the name of an end of a relayed connection. It implements net.Addr.
type relayAddr string

func (relayAddr) Network() string  { return "relay" }
func (a relayAddr) String() string { return string(a) }

// Read implements net.Conn. It returns io.EOF only if the server has closed the connection.
func (c *relayConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		reply, err := c.stream.Recv()
		if err != nil {
			return 0, err
		}
		c.unread = reply.GetData()
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *relayConn) Write(p []byte) (int, error) {
	for written := 0; written < len(p); {
		piece := p[written:min(len(p), written+relayBufferBytes)]
		if err := c.stream.Send(&peerpb.RelayRequest{Data: piece}); err != nil {
			if err == io.EOF {
				err = syscall.EPIPE // the stream has ended; Read returns how
			}
			return written, err
		}
		written += len(piece)
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *relayConn) Close() error {
	c.once.Do(func() {
		c.cancel()
		c.release()
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *relayConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *relayConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *relayConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *relayConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *relayConn) SetWriteDeadline(time.Time) error { return nil }
