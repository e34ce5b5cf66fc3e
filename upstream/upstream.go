// Package upstream sends requests to backend servers over persistent connections.
//
// A request is sent at most once: unlike the transport of net/http, this package never
// retries a request by itself, whatever its method. A connection carries one request at a
// time and is closed as soon as bytes arrive while no request is in flight.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jacinthrack/jacinthrack/internal/connwrite"
)

// Limits of connections.
const (
	// BodyBufferBytes is the size in bytes up to which a response body is read completely
	// before the response is passed on, so that a truncated short response is detected
	// before any of it is sent to the caller. A longer body is streamed, and so is a shorter
	// one for which no buffer is free.
	BodyBufferBytes = 1 << 20
	// dialTimeout bounds opening a connection. Servers accept one in about 1 ms, and
	// the latency between regions is 20 ms.
	dialTimeout = 600 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of servers that send no Keep-Alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutFraction is the fraction of the server's idle timeout after which an
	// idle connection is no longer used: later, the server could close it while a
	// request is being sent.
	idleTimeoutFraction = 0.7
	// tcpUserTimeout is the time for which sent data may stay unacknowledged before the
	// kernel closes the connection. A broken network link has no other symptom.
	tcpUserTimeout = 2 * time.Second
	// keepAliveProbeInterval is the idle time before the first TCP keep-alive probe and the
	// time between probes.
	keepAliveProbeInterval = 2 * time.Second
	readBufferBytes        = 4 << 10
)

// Response is the HTTP response of a backend server. Body is the whole body unless RemainingBody
// is set. If RemainingBody is set, it reads the bytes after Body, until the context of the request
// ends, and must be closed.
type Response struct {
	Status         int
	Header         http.Header
	Body           []byte
	RemainingBody  io.ReadCloser
	BodyLength     int64 // size of the whole body in bytes, -1 if unknown
	CloseAnnounced bool  // the server announced that it closes the connection after the response
}

// DialError reports that no connection to the backend server could be opened. No bytes were
// sent.
type DialError struct{ Err error }

func (e *DialError) Error() string { return fmt.Sprintf("connect to the backend server: %v", e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// UnexpectedBytesError reports that a server sent bytes while no request was in flight.
type UnexpectedBytesError struct{}

func (*UnexpectedBytesError) Error() string { return "the server sent bytes that answer no request" }

// MalformedResponseError reports bytes that are not a valid response head, or a connection that ended
// before the head was complete.
type MalformedResponseError struct{ Err error }

func (e *MalformedResponseError) Error() string { return fmt.Sprintf("read the response: %v", e.Err) }

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Err }

// TruncatedResponseError reports a response whose body ended early.
type TruncatedResponseError struct {
	Status int
	Err    error
}

func (e *TruncatedResponseError) Error() string {
	return fmt.Sprintf("the response ended early: %v", e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedResponseError) Unwrap() error { return e.Err }

// ResponseMismatchError reports a response that belongs or may belong to another request: its
// body is longer than BodyBufferBytes, it has no request ID although the server sends them, or
// maxSkippedResponses shorter ones were skipped before it.
type ResponseMismatchError struct{}

func (*ResponseMismatchError) Error() string { return "the response belongs to another request" }

// Path is the way of a connection to a backend server.
type Path uint8

// Paths. A relayed connection goes through another instance.
const (
	PathDirect          Path = iota
	PathRelayed              // through an instance of any region
	PathRelayedInRegion      // through an instance of the server's region
)

// Target is a backend server and the way to it. ServerID identifies one run of the server process;
// connections are not shared between two runs at the same address.
type Target struct {
	ServerID string
	Address  string
	Path     Path
}

// KeptConn is a connection that may become unusable for further requests without being closed.
type KeptConn interface {
	net.Conn
	// Usable reports whether another request may be sent.
	Usable() bool
}

// DialFunc opens a connection to a backend server. The connection may be a KeptConn.
type DialFunc func(ctx context.Context, t Target) (net.Conn, error)

// Client sends requests to backend servers.
type Client struct {
	idHeader string
	dialFunc DialFunc
	buffers  bufferBudget

	mu    sync.Mutex
	pools map[Target]*pool
}

// New returns a client. idHeader is the name of the response header that holds the request
// ID. dial opens connections; nil means Dial. bufferBytes bounds the memory of buffered responses.
func New(idHeader string, dial DialFunc, bufferBytes int64) *Client {
	if dial == nil {
		dial = func(ctx context.Context, t Target) (net.Conn, error) { return Dial(ctx, t.Address) }
	}
	return &Client{idHeader: idHeader, dialFunc: dial, buffers: bufferBudget{limit: bufferBytes}, pools: make(map[Target]*pool)}
}

// pool holds the idle connections to one target.
type pool struct {
	idHeader string
	target   Target

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool    // connections are closed instead of added
}

// Send sends a request to a server and returns its response. A kept direct connection is used also
// if the path is another one. The response occupies buffers until they are released. maybeSent is set
// if bytes of the request may have reached the server.
func (c *Client) Send(ctx context.Context, t Target, r *http.Request, requestID string, buffers *Buffers) (response *Response, maybeSent bool, err error) {
	x := &exchange{request: r, requestID: requestID, buffers: buffers, result: make(chan result, 1)}
	connection := c.acquire(t, x)
	if connection == nil {
		if connection, err = c.dial(ctx, c.poolFor(t), x); err != nil {
			return nil, false, err
		}
	}
	response, err = connection.roundTrip(ctx, x)
	if err == nil && response.RemainingBody == nil {
		connection.pool.release(connection)
	}
	return response, true, err
}

// acquire takes an idle connection to a server and assigns x to it. It returns nil if there is no
// usable one.
func (c *Client) acquire(t Target, x *exchange) *conn {
	direct := t
	direct.Path = PathDirect
	if connection := c.poolFor(direct).acquire(x); connection != nil || t.Path == PathDirect {
		return connection
	}
	return c.poolFor(t).acquire(x)
}

func (c *Client) poolFor(t Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[t]
	if p == nil {
		p = &pool{idHeader: c.idHeader, target: t}
		c.pools[t] = p
	}
	return p
}

// ClosePoolsExcept removes the pools of servers for which keep returns false and closes their idle
// connections. In the other pools, it closes the connections that have been idle for too
// long.
func (c *Client) ClosePoolsExcept(keep func(serverID, address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, p := range c.pools {
		if keep(t.ServerID, t.Address) {
			p.closeExpired(time.Now())
			continue
		}
		p.close()
		delete(c.pools, t)
	}
}

// CloseIdle closes the idle connections on the paths given.
func (c *Client) CloseIdle(paths ...Path) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, p := range c.pools {
		if slices.Contains(paths, t.Path) {
			p.close()
			delete(c.pools, t)
		}
	}
}

// Dial opens a TCP connection to a backend server. Broken network links end it soon.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbeInterval, Interval: keepAliveProbeInterval, Count: 2,
		},
		Control: SetUserTimeout,
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// dial opens a connection with x assigned to it and starts its readLoop.
func (c *Client) dial(ctx context.Context, p *pool, x *exchange) (*conn, error) {
	socket, err := c.dialFunc(ctx, p.target)
	if err != nil {
		return nil, &DialError{Err: err}
	}
	head := &headReader{source: socket}
	connection := &conn{pool: p, socket: socket, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, writer: connwrite.New(socket), current: x, serverIdleTimeout: defaultIdleTimeout}
	go connection.readLoop()
	return connection, nil
}

// SetUserTimeout sets the socket option TCP_USER_TIMEOUT to tcpUserTimeout: the kernel closes
// the connection if the other side acknowledges nothing for this time. It has the signature
// of net.Dialer.Control.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// acquire takes an idle connection from the pool and assigns x to it. It returns nil if there
// is no usable one.
func (p *pool) acquire(x *exchange) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.idleExpired(now) && c.usable() && c.assign(x) {
			return c
		}
		c.close()
	}
	return nil
}

// release returns a connection to the pool unless it is unusable.
func (p *pool) release(c *conn) {
	c.mu.Lock()
	unusable := c.unusable
	c.idleSince = time.Now()
	c.mu.Unlock()
	if unusable {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// remove removes a connection that has ended from the pool.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// closeExpired closes the connections that have been idle for too long, see idleExpired.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleExpired(now) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
