// Package ingress accepts HTTP/1.1 requests from callers.
//
// Requests are parsed by net/http. The package adds two features that the net/http server
// lacks: pipelined requests are handled concurrently, with responses in request order, and
// a closed connection cancels its requests at once, even if further pipelined requests
// are still unread.
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

// Limits of a connection.
const (
	// BodyBufferBytes is the maximum size in bytes of a request body that is read completely
	// before the request is handled; a longer body is streamed. It covers the uploads of
	// both example deployments.
	BodyBufferBytes = 1 << 20
	// pipelineDepth is the capacity of a connection's queue of in-flight requests, and so
	// bounds the requests that are handled concurrently. While the queue is full, one
	// further request waits for space in it and the following ones stay in the socket.
	pipelineDepth = 16
	// Most messages fit into the read and write buffers.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// writeTimeout bounds the time for writing a response, or each part of a streamed
	// one. It limits how slowly a caller may read.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the time for which bytes from the caller are discarded after
	// an early response or the last response. Closing the connection with unread bytes
	// would reset it.
	lingerTimeout = time.Second
)

// Request is an HTTP request from a caller.
type Request struct {
	*http.Request
	// ArrivalTime is the time at which the first byte was read from the socket.
	ArrivalTime time.Time
	// BufferedBody is the whole body unless Streamed is set. If Streamed is set,
	// it is the start of the body, and RemainingBody reads the bytes after it.
	BufferedBody  []byte
	Streamed      bool
	RemainingBody io.Reader
}

// Response is the HTTP response to a Request. Body is the whole body unless RemainingBody is
// set. If RemainingBody is set, it reads the bytes after Body.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	RemainingBody io.ReadCloser
	// BodyLength is the size of the whole body in bytes, -1 if unknown. It is used if
	// RemainingBody is set and in responses to HEAD requests.
	BodyLength int64
	// ReleaseBody, if not nil, is called when Body has been written or is not needed.
	ReleaseBody func()
	// Replacement, if not nil, is called before a response with RemainingBody is written. It
	// returns the response to write instead if RemainingBody can no longer be read, otherwise
	// nil.
	Replacement func() *Response
	// Abort closes the connection without a response.
	Abort bool
}

// Limits bounds what callers may send. A zero value means no limit. The limits may change
// between requests.
type Limits struct {
	MaxHeaderBytes int // includes the request line
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // for reading the request head
	IdleTimeout    time.Duration // for waiting for the next request
}

// Handler returns the response to a request. ctx is cancelled when the caller closes its
// connection.
type Handler func(ctx context.Context, r *Request) *Response

// Server accepts connections from callers and serves their requests.
type Server struct {
	Handler Handler
	Limits  func() Limits
	Log     *slog.Logger

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining atomic.Bool
	inFlight atomic.Int64 // requests whose response is not written yet
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
				s.Log.Warn("accepting a connection failed; retrying", "error", err)
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		c := newConn(s, socket)
		s.addConn(c)
		go c.serve()
	}
}

// acceptRetryDelay is the delay after a temporary accept error. It keeps a process that is
// out of file descriptors from retrying in a busy loop.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) addConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes each connection close after its last pending response. New connections and
// requests are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests whose response is not written yet.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// CloseIdle closes the connections without in-flight requests.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.inFlight.Load() == 0 {
			c.closing = true
			c.socket.Close()
		}
		c.mu.Unlock()
	}
}

// conn is a connection from a caller.
type conn struct {
	server       *Server
	socket       net.Conn
	socketReader *socketReader
	reader       *bufio.Reader
	ctx          context.Context
	cancel       context.CancelFunc
	inFlight     atomic.Int64
	lastResponse atomic.Int64 // nanoseconds from openedAt to the end of the last response; 0 before it
	openedAt     time.Time
	// responseQueue holds the in-flight requests in the order in which they were read,
	// which is the order of their responses.
	responseQueue chan *pendingRequest
	mu            sync.Mutex
	closing       bool // no further request is accepted; guarded by mu
}

// pendingRequest is a request whose response is not written yet.
type pendingRequest struct {
	request    *Request
	response   chan *Response
	closeAfter bool // close the connection after this response
}

func newConn(s *Server, socket net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, socket: socket, ctx: ctx, cancel: cancel, openedAt: time.Now(), responseQueue: make(chan *pendingRequest, pipelineDepth)}
	c.socketReader = &socketReader{conn: c}
	c.reader = bufio.NewReaderSize(c.socketReader, readBufferBytes)
	return c
}

// socketReader reads from the connection's socket, limits the size of request heads and
// records the time of the last read.
type socketReader struct {
	conn          *conn
	headBytesLeft int  // bytes of the head that may still be read
	limitHead     bool // set while a head is read
	lastRead      time.Time
}

// headTooLargeError reports a request head larger than Limits.MaxHeaderBytes.
type headTooLargeError struct{}

func (*headTooLargeError) Error() string { return "the request head is larger than the limit" }

// Read implements io.Reader.
func (s *socketReader) Read(p []byte) (int, error) {
	if s.limitHead {
		if s.headBytesLeft <= 0 {
			return 0, &headTooLargeError{}
		}
		p = p[:min(len(p), s.headBytesLeft)]
	}
	n, err := s.conn.socket.Read(p)
	if n > 0 {
		s.lastRead = time.Now()
	}
	if s.limitHead {
		s.headBytesLeft -= n
	}
	return n, err
}

// serve reads requests until the connection ends. It keeps reading while requests are in
// flight, in order to detect that the caller closes the connection.
func (c *conn) serve() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeResponses()
	}()
	for c.readRequest() {
	}
	close(c.responseQueue)
	c.discardUntilClosed()
	<-done
	c.socket.Close()
	c.server.removeConn(c)
}

// discardUntilClosed discards what the caller sends after the last accepted request, until the
// caller closes the connection or the socket is closed after the last response.
func (c *conn) discardUntilClosed() {
	c.setReadDeadline(0)
	// Whatever the error, the connection has ended.
	_, _ = io.Copy(io.Discard, c.socket)
	c.cancel()
}

// readRequest reads a request and starts handling it. It reports whether another request
// may be read from the connection.
func (c *conn) readRequest() bool {
	limits := c.server.Limits()
	c.socketReader.limitHead = false
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		if !isTimeout(err) {
			c.cancel() // the connection has ended
		}
		return false
	}
	arrived := c.socketReader.lastRead
	c.setReadDeadline(limits.HeaderTimeout)
	c.socketReader.limitHead, c.socketReader.headBytesLeft = limits.MaxHeaderBytes > 0, limits.MaxHeaderBytes
	parsed, err := http.ReadRequest(c.reader)
	c.socketReader.limitHead = false
	if err != nil {
		return c.rejectHead(err)
	}
	request := &Request{Request: parsed, ArrivalTime: arrived}
	p := &pendingRequest{request: request, response: make(chan *Response, 1), closeAfter: parsed.Close || !parsed.ProtoAtLeast(1, 1)}
	if limits.MaxBodyBytes > 0 && parsed.ContentLength > limits.MaxBodyBytes {
		return c.reject(p, http.StatusRequestEntityTooLarge)
	}
	c.setReadDeadline(bodyTimeout)
	if parsed.Header.Get("Expect") != "" && parsed.ContentLength != 0 {
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	if err := c.readBody(request, limits.MaxBodyBytes); err != nil {
		var tooLarge *bodyTooLargeError
		if errors.As(err, &tooLarge) {
			return c.reject(p, http.StatusRequestEntityTooLarge)
		}
		c.cancel()
		return false
	}
	if !c.enqueue(p) {
		return false
	}
	go func() { p.response <- c.server.Handler(c.ctx, p.request) }()
	if request.Streamed {
		// The next request starts after the body, which the handler is reading.
		return c.finishStreamedRequest(p)
	}
	return !p.closeAfter
}

// bodyTimeout bounds the time for reading the buffered part of a body, and the time for each
// read of the part after it.
const bodyTimeout = 10 * time.Second

func (c *conn) setReadDeadline(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// An error means that the connection is closed, which the next read will report.
	_ = c.socket.SetReadDeadline(deadline)
}

// arrivedBytesTimeout bounds the last read before an idle connection is closed, which takes
// what has already arrived. A read whose deadline has passed fails even if bytes are there.
const arrivedBytesTimeout = time.Millisecond

// awaitRequest waits until the first byte of a request has arrived. It returns a timeout error if
// the connection has been idle for idleTimeout, which starts with the end of the last
// response and not while a request is in flight.
func (c *conn) awaitRequest(idleTimeout time.Duration) error {
	c.setReadDeadline(idleTimeout)
	for {
		_, err := c.reader.Peek(1)
		if err == nil || !isTimeout(err) {
			return err
		}
		remaining := idleTimeout - time.Since(c.openedAt) + time.Duration(c.lastResponse.Load())
		switch {
		case c.inFlight.Load() > 0:
			c.setReadDeadline(idleTimeout)
		case remaining > 0:
			c.setReadDeadline(remaining)
		default:
			c.setReadDeadline(arrivedBytesTimeout)
			_, err := c.reader.Peek(1)
			return err
		}
	}
}

// isTimeout reports whether a read failed because its deadline passed.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// rejectHead sends an error response to a request whose head cannot be read or parsed. If the
// connection has failed, it cancels the connection's requests instead.
func (c *conn) rejectHead(err error) bool {
	var tooLarge *headTooLargeError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel()
		return false
	default:
		var netErr net.Error
		if isTimeout(err) {
			status = http.StatusRequestTimeout
		} else if errors.As(err, &netErr) {
			c.cancel()
			return false
		}
	}
	p := &pendingRequest{request: &Request{Request: &http.Request{Method: http.MethodGet}}, response: make(chan *Response, 1), closeAfter: true}
	return c.reject(p, status)
}

// reject sends a response with an error status and makes the connection close after it. It
// returns false: no further request may be read.
func (c *conn) reject(p *pendingRequest, status int) bool {
	p.closeAfter = true
	p.response <- &Response{Status: status, Header: http.Header{}}
	c.enqueue(p)
	return false
}

// enqueue adds the request to the queue from which writeResponses writes the responses in
// order. It returns false if the connection is closing; a caller then repeats the request on
// another connection.
func (c *conn) enqueue(p *pendingRequest) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.inFlight.Add(1)
	c.mu.Unlock()
	c.server.inFlight.Add(1)
	c.responseQueue <- p
	return true
}

// markClosingIfLast marks the connection as closing if the request whose response is being
// written is the only one in flight. It reports whether the connection is closing.
func (c *conn) markClosingIfLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight.Load() == 1 {
		c.closing = true
	}
	return c.closing
}

// bodyTooLargeError reports a request body larger than Limits.MaxBodyBytes.
type bodyTooLargeError struct{}

func (*bodyTooLargeError) Error() string { return "the request body is larger than the limit" }

// readBody reads a body of up to BodyBufferBytes into r.BufferedBody. Of a longer body it reads
// the first BodyBufferBytes+1 bytes and sets r.RemainingBody to a reader of the others.
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
		r.RemainingBody = &remainingBodyReader{conn: c, body: io.LimitReader(r.Body, limit-n)}
	}
	return nil
}

// remainingBodyReader reads the part of a long body after the buffered part. Each read may
// take up to bodyTimeout.
type remainingBodyReader struct {
	conn *conn
	body io.Reader
}

// Read implements io.Reader.
func (s *remainingBodyReader) Read(p []byte) (int, error) {
	s.conn.setReadDeadline(bodyTimeout)
	return s.body.Read(p)
}

// finishStreamedRequest waits for the response to a request with a streamed body and discards
// the unread part of the body. It reports whether another request may be read.
func (c *conn) finishStreamedRequest(p *pendingRequest) bool {
	response := <-p.response
	p.response <- response
	c.setReadDeadline(lingerTimeout)
	if _, err := io.Copy(io.Discard, p.request.Body); err != nil {
		return false
	}
	return !p.closeAfter
}
