// Package upstream sends requests to backend servers over kept connections.
//
// A request is sent at most once: unlike the transport of net/http, this package
// never repeats one by itself, whatever its method. A connection carries one request
// at a time and is closed as soon as bytes arrive that belong to none.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of connections.
const (
	// BodyBufferBytes is the part of a response that is read before it is passed on,
	// so that short broken responses are found in time.
	BodyBufferBytes = 1 << 20
	// dialTimeout bounds a new connection; servers open one in about 1 ms, and
	// regions are 20 ms apart.
	dialTimeout = 600 * time.Millisecond
	// defaultIdle is the idle time of servers that state none.
	defaultIdle = 5 * time.Second
	// idleShare is the part of the idle time after which a connection is no
	// longer used, since the server's close could cross the request.
	idleShare = 0.7
	// userTimeout is the time without acknowledgement after which the kernel
	// ends a connection; a cut link shows no other sign.
	userTimeout = 2 * time.Second
	// probeInterval is the time between keep-alive probes of an idle connection.
	probeInterval = 2 * time.Second
	readBuffer    = 4 << 10 // bytes
)

// Response is the response of a server. Body is complete unless Stream is set.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	RemainingBody io.ReadCloser
	BodyLength int64
	CloseAnnounced  bool // the server closes the connection
}

// DialError reports that no connection could be opened. Nothing was sent.
type DialError struct{ Err error }

func (e *DialError) Error() string { return fmt.Sprintf("connect to the server: %v", e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// UnexpectedBytesError reports bytes on a connection without a request.
type UnexpectedBytesError struct{}

func (*UnexpectedBytesError) Error() string { return "the server sent bytes that answer no request" }

// MalformedResponseError reports bytes that are no response, or a connection that ended
// before one began.
type MalformedResponseError struct{ Err error }

func (e *MalformedResponseError) Error() string { return fmt.Sprintf("read the response: %v", e.Err) }

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Err }

// TruncatedResponseError reports a response that ended early.
type TruncatedResponseError struct {
	Status int
	Err    error
}

func (e *TruncatedResponseError) Error() string { return fmt.Sprintf("the response ended early: %v", e.Err) }

// Unwrap returns the cause.
func (e *TruncatedResponseError) Unwrap() error { return e.Err }

// ResponseMismatchError reports a long response to another request.
type ResponseMismatchError struct{}

func (*ResponseMismatchError) Error() string { return "the response belongs to another request" }

// Client sends requests to backend servers.
type Client struct {
	idHeader string
	onDial   func()

	mu    sync.Mutex
	pools map[string]*pool // by server id and address
}

// New returns a client. idHeader names the header that identifies a request in its
// response. onDial is called for each new connection.
func New(idHeader string, onDial func()) *Client {
	return &Client{idHeader: idHeader, onDial: onDial, pools: make(map[string]*pool)}
}

// pool holds the idle connections to one server.
type pool struct {
	idHeader string
	address  string

	mu     sync.Mutex
	idle   []*conn // newest last
	closed bool
}

// Send sends a request to the server at address and returns its response. server
// identifies the incarnation: connections are not shared between two of them. sent
// reports whether bytes may have reached the server.
func (c *Client) Send(ctx context.Context, server, address string, r *http.Request, id string) (reply *Response, sent bool, err error) {
	p := c.pool(server, address)
	x := &exchange{request: r, id: id, result: make(chan result, 1)}
	connection := p.take(x)
	if connection == nil {
		if connection, err = c.dial(ctx, p, x); err != nil {
			return nil, false, err
		}
	}
	reply, err = connection.roundTrip(ctx, x)
	if err == nil && reply.RemainingBody == nil {
		p.put(connection)
	}
	return reply, true, err
}

func (c *Client) pool(server, address string) *pool {
	key := server + "@" + address
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[key]
	if p == nil {
		p = &pool{idHeader: c.idHeader, address: address}
		c.pools[key] = p
	}
	return p
}

// ClosePoolsExcept closes the idle connections to servers that keep does not name.
func (c *Client) ClosePoolsExcept(keep func(server, address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		server := key[:len(key)-len(p.address)-1]
		if keep(server, p.address) {
			p.closeExpired(time.Now())
			continue
		}
		p.shut()
		delete(c.pools, key)
	}
}

// dial opens a connection and starts its reader.
func (c *Client) dial(ctx context.Context, p *pool, x *exchange) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2,
		},
		Control: SetUserTimeout,
	}
	socket, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, &DialError{Err: err}
	}
	if c.onDial != nil {
		c.onDial()
	}
	connection := &conn{pool: p, socket: socket, reader: bufio.NewReaderSize(socket, readBuffer), waiting: x, idleFor: defaultIdle}
	go connection.readLoop()
	return connection, nil
}

// SetUserTimeout sets the time after which the kernel ends a connection whose peer
// acknowledges nothing. It has the signature of net.Dialer.Control.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// take returns an idle connection with x begun on it, or nil.
func (p *pool) take(x *exchange) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.expired(now) && c.begin(x) {
			return c
		}
		c.close()
	}
	return nil
}

// put makes a connection available again.
func (p *pool) put(c *conn) {
	c.mu.Lock()
	broken := c.broken
	c.idleFrom = time.Now()
	c.mu.Unlock()
	if broken {
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

// drop forgets a connection that has ended.
func (p *pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// closeExpired closes connections that were idle for too long.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.expired(now) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

func (p *pool) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
