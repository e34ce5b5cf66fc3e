// Package ingress accepts HTTP/1.1 requests from callers.
//
// Requests are parsed by net/http. The package adds two things that the server of
// net/http does not offer: pipelined requests are handled concurrently and answered
// in order, and a closed connection cancels its requests at once, whether or not
// further requests are waiting on it.
package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a connection.
const (
	// BodyBufferBytes is the largest body that is read before the request is handled.
	// It covers the uploads of both example deployments.
	BodyBufferBytes = 1 << 20
	// pipelineDepth bounds the requests of a connection that are handled at the
	// same time. Further ones stay in the socket.
	pipelineDepth = 16
	// readBuffer and writeBuffer are sizes in bytes; most messages fit.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// writeTimeout bounds the time in which a caller reads a response.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the wait for the rest of a body after an early
	// response, since closing with unread bytes would reset the connection.
	lingerTimeout = time.Second
)

// Request is a request of a caller.
type Request struct {
	*http.Request
	// ArrivalTime is when its first byte was read from the socket.
	ArrivalTime time.Time
	// BufferedBody holds the whole body, unless Streamed is set: then the body
	// starts with Buffered and goes on in Rest.
	BufferedBody []byte
	Streamed bool
	RemainingBody     io.Reader
}

// Response is the answer to a request. Body is complete unless Stream is set,
// which then follows Body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// RemainingBody is the rest of a long response; Length is the total, -1 if unknown.
	RemainingBody io.ReadCloser
	BodyLength int64
	// Abort closes the connection without an answer.
	Abort bool
}

// Limits bound what callers may send. They may change between requests.
type Limits struct {
	MaxHeaderBytes   int
	MaxBodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Handler answers a request. ctx ends when the caller closes its connection.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections.
type Server struct {
	Handler Handler
	Limits  func() Limits
	Log     *slog.Logger

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining atomic.Bool
	active   atomic.Int64 // requests in progress
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		socket, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				s.Log.Warn("connection was not accepted", "error", err)
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		c := newConn(s, socket)
		s.add(c)
		go c.serve()
	}
}

// acceptPause keeps a process without free descriptors from spinning.
const acceptPause = 20 * time.Millisecond

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes each further response close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return int(s.active.Load()) }

// CloseIdle closes the connections without a request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.pending.Load() == 0 {
			c.closing = true
			c.socket.Close()
		}
		c.mu.Unlock()
	}
}

// conn is one connection of a caller.
type conn struct {
	server  *Server
	socket  net.Conn
	source  *source
	reader  *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	pending atomic.Int64
	// answers carries the responses in the order of the requests.
	answers chan *pending
	mu      sync.Mutex
	closing bool // no further request is taken; guarded by mu
}

// pending is a request whose response is awaited.
type pending struct {
	request  *Request
	response chan *Response
	last     bool // the connection ends after this response
}

func newConn(s *Server, socket net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, socket: socket, ctx: ctx, cancel: cancel, answers: make(chan *pending, pipelineDepth)}
	c.source = &source{conn: c}
	c.reader = bufio.NewReaderSize(c.source, readBuffer)
	return c
}

// source counts the bytes of the request head and notes when its first byte came.
type source struct {
	conn  *conn
	head  int // bytes left for the head; negative while bodies are read
	limit bool
	last  time.Time
}

// headTooLargeError reports a request head over the limit.
type headTooLargeError struct{}

func (*headTooLargeError) Error() string { return "the request head is larger than the limit" }

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.limit {
		if s.head <= 0 {
			return 0, &headTooLargeError{}
		}
		p = p[:min(len(p), s.head)]
	}
	n, err := s.conn.socket.Read(p)
	if n > 0 {
		s.last = time.Now()
	}
	if s.limit {
		s.head -= n
	}
	return n, err
}

// serve reads requests until the connection ends. Reading goes on while requests
// are in progress, which is how a close is noticed.
func (c *conn) serve() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeAnswers()
	}()
	for c.readOne() {
	}
	close(c.answers)
	c.watch()
	<-done
	c.socket.Close()
	c.server.remove(c)
}

// watch discards what the caller sends after its last request until it closes the
// connection or the responses are written.
func (c *conn) watch() {
	c.setReadDeadline(0)
	// Any error is the end of the connection.
	_, _ = io.Copy(io.Discard, c.socket)
	c.cancel()
}

// readOne reads a request and starts to handle it. It reports whether another one
// may follow.
func (c *conn) readOne() bool {
	limits := c.server.Limits()
	c.setReadDeadline(limits.IdleTimeout)
	c.source.limit = false
	if _, err := c.reader.Peek(1); err != nil {
		return c.idle(err)
	}
	arrived := c.source.last
	c.setReadDeadline(limits.HeaderTimeout)
	c.source.limit, c.source.head = limits.MaxHeaderBytes > 0, limits.MaxHeaderBytes
	parsed, err := http.ReadRequest(c.reader)
	c.source.limit = false
	if err != nil {
		return c.refuseHead(err)
	}
	request := &Request{Request: parsed, ArrivalTime: arrived}
	p := &pending{request: request, response: make(chan *Response, 1), last: parsed.Close || !parsed.ProtoAtLeast(1, 1)}
	if limits.MaxBodyBytes > 0 && parsed.ContentLength > limits.MaxBodyBytes {
		return c.refuse(p, http.StatusRequestEntityTooLarge)
	}
	c.setReadDeadline(bodyTimeout)
	if parsed.Header.Get("Expect") != "" && parsed.ContentLength != 0 {
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	if err := c.readBody(request, limits.MaxBodyBytes); err != nil {
		var large *bodyTooLargeError
		if errors.As(err, &large) {
			return c.refuse(p, http.StatusRequestEntityTooLarge)
		}
		c.cancel()
		return false
	}
	if !c.enqueue(p) {
		return false
	}
	go func() { p.response <- c.server.Handler(c.ctx, p.request) }()
	if request.Streamed {
		// The next request begins after the body, which the handler reads.
		return c.finishStream(p)
	}
	return !p.last
}

// bodyTimeout bounds the time between the head and the end of a buffered body.
const bodyTimeout = 10 * time.Second

func (c *conn) setReadDeadline(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// An error means that the connection is closed, which the next read reports.
	_ = c.socket.SetReadDeadline(deadline)
}

// idle reports whether a failed read was only a pause of a caller that still waits
// for responses. Any other end of the connection cancels its requests.
func (c *conn) idle(err error) bool {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return c.pending.Load() > 0
	}
	c.cancel()
	return false
}

// refuseHead answers a request that cannot be parsed.
func (c *conn) refuseHead(err error) bool {
	var large *headTooLargeError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &large):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel()
		return false
	default:
		var timeout interface{ Timeout() bool }
		var network net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			status = http.StatusRequestTimeout
		} else if errors.As(err, &network) {
			c.cancel()
			return false
		}
	}
	p := &pending{request: &Request{Request: &http.Request{Method: http.MethodGet}}, response: make(chan *Response, 1), last: true}
	return c.refuse(p, status)
}

// refuse answers with a failure and ends the connection.
func (c *conn) refuse(p *pending, status int) bool {
	p.last = true
	p.response <- &Response{Status: status, Header: http.Header{}}
	c.enqueue(p)
	return false
}

// enqueue hands the request to the writer, which answers in order. It reports false
// when the connection is closing; the caller then sends the request again elsewhere.
func (c *conn) enqueue(p *pending) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.pending.Add(1)
	c.mu.Unlock()
	c.server.active.Add(1)
	c.answers <- p
	return true
}

// tryClose marks the connection as closing if no request follows the one that is
// being answered.
func (c *conn) tryClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending.Load() == 1 {
		c.closing = true
	}
	return c.closing
}

// bodyTooLargeError reports a body over the limit.
type bodyTooLargeError struct{}

func (*bodyTooLargeError) Error() string { return "the request body is larger than the limit" }

// readBody reads up to BodyBufferBytes bytes of the body.
func (c *conn) readBody(r *Request, limit int64) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = 1 << 62
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(max(r.ContentLength, 512), BodyBufferBytes)+bytes.MinRead))
	n, err := buf.ReadFrom(io.LimitReader(r.Body, min(limit, BodyBufferBytes)+1))
	if err != nil {
		return err
	}
	if n > limit {
		return &bodyTooLargeError{}
	}
	r.BufferedBody = buf.Bytes()
	if n > BodyBufferBytes {
		r.Streamed = true
		r.RemainingBody = &streamed{conn: c, src: io.LimitReader(r.Body, limit-n)}
	}
	return nil
}

// streamed reads the rest of a long body with a bound on each pause.
type streamed struct {
	conn *conn
	src  io.Reader
}

// Read implements io.Reader.
func (s *streamed) Read(p []byte) (int, error) {
	s.conn.setReadDeadline(bodyTimeout)
	return s.src.Read(p)
}

// finishStream waits for the answer to a streamed request and discards what is left
// of its body.
func (c *conn) finishStream(p *pending) bool {
	response := <-p.response
	p.response <- response
	c.setReadDeadline(lingerTimeout)
	if _, err := io.Copy(io.Discard, p.request.Body); err != nil {
		return false
	}
	return !p.last
}
