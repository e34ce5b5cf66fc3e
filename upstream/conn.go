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
)

// conn is one connection to a backend server. It carries one request at a time. Its
// reader runs for the life of the connection, so that bytes without a request and a
// close are seen while the connection is idle.
type conn struct {
	pool   *pool
	socket net.Conn
	reader *bufio.Reader

	mu       sync.Mutex
	waiting  *exchange // request in progress, nil when idle
	broken   bool
	idleFrom time.Time
	idleFor  time.Duration // how long the server keeps the idle connection
}

// exchange is a request in progress on a connection.
type exchange struct {
	request *http.Request
	id      string
	result  chan result
}

// result is the response or the failure of an exchange.
type result struct {
	reply *Response
	err   error
}

// readLoop reads responses until the connection ends.
func (c *conn) readLoop() {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		x := c.waiting
		c.mu.Unlock()
		if x == nil {
			c.fail(&UnexpectedBytesError{})
			return
		}
		reply, again, err := c.readReply(x)
		if err != nil {
			c.fail(err)
			return
		}
		if again {
			continue
		}
		if !c.deliver(x, reply) {
			return
		}
	}
}

// readReply reads one response. again is set when it belongs to another request, so
// that the awaited one may follow.
func (c *conn) readReply(x *exchange) (reply *Response, again bool, err error) {
	resp, err := http.ReadResponse(c.reader, x.request)
	if err != nil {
		return nil, false, &MalformedResponseError{Err: err}
	}
	for resp.StatusCode >= 100 && resp.StatusCode < 200 {
		if resp, err = http.ReadResponse(c.reader, x.request); err != nil {
			return nil, false, &MalformedResponseError{Err: err}
		}
	}
	named := resp.Header.Get(c.pool.idHeader)
	body, whole, err := readBody(resp)
	if err != nil {
		return nil, false, &TruncatedResponseError{Status: resp.StatusCode, Err: err}
	}
	if named != "" && named != x.id {
		if !whole {
			return nil, false, &ResponseMismatchError{}
		}
		c.markBroken()
		return nil, true, nil
	}
	reply = &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, BodyLength: resp.ContentLength, CloseAnnounced: resp.Close}
	if !whole {
		reply.RemainingBody = resp.Body
	}
	return reply, false, nil
}

// readBody reads up to BodyBufferBytes bytes of a response.
func readBody(resp *http.Response) (body []byte, whole bool, err error) {
	if resp.ContentLength == 0 {
		return nil, true, nil
	}
	size := int64(512)
	if resp.ContentLength > 0 {
		size = min(resp.ContentLength, BodyBufferBytes)
	}
	buf := make([]byte, 0, size+1)
	for int64(len(buf)) <= BodyBufferBytes {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
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

// deliver passes a response on and reports whether the connection can be used again.
func (c *conn) deliver(x *exchange, reply *Response) bool {
	unframed := reply.BodyLength < 0 && reply.CloseAnnounced
	c.mu.Lock()
	reuse := !c.broken && !reply.CloseAnnounced && !unframed && reply.RemainingBody == nil && c.reader.Buffered() == 0
	c.waiting = nil
	c.broken = c.broken || !reuse
	c.idleFor = keepAlive(reply.Header)
	c.mu.Unlock()
	if reply.RemainingBody != nil {
		reply.RemainingBody = &streamEnd{ReadCloser: reply.RemainingBody, conn: c}
	} else if !reuse {
		c.close()
	}
	x.result <- result{reply: reply}
	return reuse
}

// streamEnd closes the connection after a long response.
type streamEnd struct {
	io.ReadCloser
	conn *conn
}

// Close implements io.Closer.
func (s *streamEnd) Close() error {
	s.conn.close()
	return nil
}

// keepAlive returns the idle timeout that a server states, or the default.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdle
}

func (c *conn) markBroken() {
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
}

// fail ends the connection and the request on it.
func (c *conn) fail(err error) {
	c.mu.Lock()
	x := c.waiting
	c.waiting = nil
	c.broken = true
	c.mu.Unlock()
	c.close()
	c.pool.drop(c)
	if x != nil {
		x.result <- result{err: err}
	}
}

func (c *conn) close() {
	c.markBroken()
	// A second close reports an error of no interest.
	_ = c.socket.Close()
}

// begin takes the connection for a request. It fails when the connection has ended.
func (c *conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.waiting != nil {
		return false
	}
	c.waiting = x
	return true
}

// expired reports whether the server may close the idle connection at any moment.
func (c *conn) expired(now time.Time) bool {
	return now.Sub(c.idleFrom) >= time.Duration(float64(c.idleFor)*idleShare)
}

// roundTrip sends the request and waits for its response. Bytes may have reached the
// server whatever it returns.
func (c *conn) roundTrip(ctx context.Context, x *exchange) (*Response, error) {
	if err := ctx.Err(); err != nil {
		c.close()
		return nil, err
	}
	written := make(chan error, 1)
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	if x.request.ContentLength == 0 {
		written <- c.write(x.request)
	} else {
		// The server may answer before it has read the whole body.
		go func() { written <- c.write(x.request) }()
	}
	r := <-x.result
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
		// The rest of the body is no longer wanted; the connection cannot be
		// used again, since its next bytes would be taken for the body.
		c.close()
	}
	return r.reply, nil
}

// write sends the request. On a failure the reader ends with the socket.
func (c *conn) write(r *http.Request) error {
	_ = c.socket.SetWriteDeadline(time.Time{})
	err := r.Write(c.socket)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.close()
	}
	return err
}
