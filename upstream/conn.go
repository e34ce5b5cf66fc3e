package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/connwrite"
	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
)

// conn is a connection to a backend server. It carries one request at a time. Its readLoop
// runs until the connection ends, so that unexpected bytes and a close by the server are
// also detected while the connection is idle.
type conn struct {
	pool   *pool
	socket net.Conn
	reader *bufio.Reader
	head   *headReader // source of reader
	writer *connwrite.Writer
	echoes bool // the server has sent a request ID on this connection; used by readLoop only

	mu                sync.Mutex
	current           *exchange // request in flight, nil while idle
	unusable          bool      // must not carry another request
	idleSince         time.Time
	serverIdleTimeout time.Duration // time after which the server closes the idle connection
}

// exchange is a request in flight on a connection.
type exchange struct {
	request   *http.Request
	requestID string
	buffers   *Buffers
	result    chan result // receives exactly one result
}

// result is the response or the failure of an exchange.
type result struct {
	response *Response
	err      error
}

// readLoop reads responses until the connection ends or must not carry another request.
func (c *conn) readLoop() {
	skipped := 0 // responses to other requests since the last delivered one
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		x := c.current
		c.mu.Unlock()
		if x == nil {
			c.fail(&UnexpectedBytesError{})
			return
		}
		response, mismatched, err := c.readResponse(x)
		switch {
		case err != nil:
			c.fail(err)
			return
		case mismatched && skipped >= maxSkippedResponses:
			c.fail(&ResponseMismatchError{})
			return
		case mismatched:
			skipped++
			continue
		}
		skipped = 0
		if !c.deliver(x, response) {
			return
		}
	}
}

// readResponse reads a response. mismatched is set if the response belongs to another
// request; the response to x may still follow.
func (c *conn) readResponse(x *exchange) (response *Response, mismatched bool, err error) {
	resp, err := c.readHead(x)
	if err != nil {
		return nil, false, &MalformedResponseError{Err: err}
	}
	if responsecheck.EndsWithConnection(resp) {
		resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, writer: c.writer}
	}
	responseID := resp.Header.Get(c.pool.idHeader)
	body, complete, err := readBody(resp, x.buffers)
	if err != nil {
		return nil, false, &TruncatedResponseError{Status: resp.StatusCode, Err: err}
	}
	// A response without an ID may be a late copy of an earlier one if this server sends IDs.
	if responseID == "" && c.echoes {
		return nil, false, &ResponseMismatchError{}
	}
	c.echoes = c.echoes || responseID != ""
	if responseID != "" && responseID != x.requestID {
		if !complete {
			return nil, false, &ResponseMismatchError{}
		}
		c.markUnusable()
		return nil, true, nil
	}
	response = &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, BodyLength: resp.ContentLength, CloseAnnounced: resp.Close}
	if !complete {
		response.RemainingBody = resp.Body
	}
	return response, false, nil
}

// readHead reads the head of a response and skips those of informational ones. A server in
// trouble may send either without end, so that both are limited.
func (c *conn) readHead(x *exchange) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		resp, err := c.readOneHead(x)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 || resp.StatusCode >= 200 {
			return resp, responsecheck.Check(resp)
		}
		if err := responsecheck.CheckFieldNames(resp.Header); err != nil {
			return nil, err
		}
	}
	return nil, &TooManyInformationalResponsesError{}
}

// readOneHead reads the head of a response, which may be informational.
func (c *conn) readOneHead(x *exchange) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.head.begin(buffered, x.buffers)
	resp, err := http.ReadResponse(c.reader, x.request)
	folded := c.head.end()
	if err != nil {
		return nil, err
	}
	return resp, folded
}

// readBody reads a body of up to BodyBufferBytes bytes. Of a longer body, and of one for which no
// buffer is free, it reads only the start; complete is then false.
func readBody(resp *http.Response, buffers *Buffers) (body []byte, complete bool, err error) {
	if resp.ContentLength == 0 {
		return nil, true, nil
	}
	size := 512
	if resp.ContentLength > 0 {
		size = int(min(resp.ContentLength, BodyBufferBytes)) + 1
	}
	if size > unreservedBodyBytes && !buffers.reserve(int64(size)) {
		size = unreservedBodyBytes
	}
	buf := make([]byte, 0, size)
	for len(buf) <= BodyBufferBytes {
		if len(buf) == cap(buf) {
			larger := min(2*cap(buf), BodyBufferBytes+1)
			if larger > unreservedBodyBytes && !buffers.reserve(int64(larger-cap(buf))) {
				break
			}
			buf = append(make([]byte, 0, larger), buf...)
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return buf, false, nil
}

// deliver passes the response to roundTrip. It reports whether the connection can carry another
// request.
func (c *conn) deliver(x *exchange, response *Response) bool {
	unframed := response.BodyLength < 0 && response.CloseAnnounced
	c.mu.Lock()
	// After a response without a request ID, a repeated copy of it could not be told from the
	// response to the next request.
	reuse := c.echoes && !c.unusable && !response.CloseAnnounced && !unframed && response.RemainingBody == nil && c.reader.Buffered() == 0
	c.current = nil
	c.unusable = c.unusable || !reuse
	c.serverIdleTimeout = parseIdleTimeout(response.Header)
	c.mu.Unlock()
	if response.RemainingBody == nil && !reuse {
		c.close()
	}
	x.result <- result{response: response}
	return reuse
}

// remainingBody is the streamed part of a long body. The end of ctx or Close closes the
// connection.
type remainingBody struct {
	io.ReadCloser
	conn *conn
	ctx  context.Context
	stop func() bool // stops watching ctx
}

// Read implements io.Reader. If ctx has ended, its error is that of ctx.
func (b *remainingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && b.ctx.Err() != nil {
		err = b.ctx.Err()
	}
	return n, err
}

// Close implements io.Closer.
func (b *remainingBody) Close() error {
	b.stop()
	b.conn.close()
	return nil
}

// parseIdleTimeout returns the idle timeout in the Keep-Alive header, or defaultIdleTimeout.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
}

func (c *conn) markUnusable() {
	c.mu.Lock()
	c.unusable = true
	c.mu.Unlock()
}

// fail closes the connection, removes it from the pool and fails the request in flight on it.
func (c *conn) fail(err error) {
	c.mu.Lock()
	x := c.current
	c.current = nil
	c.unusable = true
	c.mu.Unlock()
	c.close()
	c.pool.remove(c)
	if x != nil {
		x.result <- result{err: err}
	}
}

func (c *conn) close() {
	c.markUnusable()
	// The only error to expect is that the socket is closed already.
	_ = c.socket.Close()
}

// usable reports whether the socket may carry another request.
func (c *conn) usable() bool {
	kept, ok := c.socket.(KeptConn)
	return !ok || kept.Usable()
}

// assign starts an exchange on the connection. It returns false if the connection is unusable
// or carries another request.
func (c *conn) assign(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusable || c.current != nil {
		return false
	}
	c.current = x
	return true
}

// idleExpired reports whether the connection has been idle for so long that the server may
// close it at any moment.
func (c *conn) idleExpired(now time.Time) bool {
	return now.Sub(c.idleSince) >= time.Duration(float64(c.serverIdleTimeout)*idleTimeoutFraction)
}

// roundTrip sends the request and waits for its response. Whatever it returns, bytes of the
// request may have reached the server.
func (c *conn) roundTrip(ctx context.Context, x *exchange) (*Response, error) {
	if err := ctx.Err(); err != nil {
		c.close()
		return nil, err
	}
	written := make(chan error, 1)
	stop := context.AfterFunc(ctx, c.close)
	if x.request.ContentLength == 0 {
		written <- c.writeRequest(x.request)
	} else {
		// The server may send its response before it has read the whole body.
		go func() { written <- c.writeRequest(x.request) }()
	}
	r := <-x.result
	if r.err == nil && r.response.RemainingBody != nil {
		// The rest of the body has no other bound than ctx.
		r.response.RemainingBody = &remainingBody{ReadCloser: r.response.RemainingBody, conn: c, ctx: ctx, stop: stop}
	} else {
		stop()
	}
	if r.err != nil {
		c.close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, r.err
	}
	select {
	case err := <-written:
		if err != nil {
			c.close()
		}
	default:
		// The server responded before the whole body was sent and does not need the
		// rest. The connection cannot be reused, since the server would read the next
		// request as part of the body.
		c.close()
	}
	return r.response, nil
}

// writeRequest sends the request. On failure it closes the socket, which makes readLoop fail
// the exchange.
func (c *conn) writeRequest(r *http.Request) error {
	_ = c.socket.SetWriteDeadline(time.Time{})
	err := r.Write(c.writer)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.close()
	}
	return err
}
