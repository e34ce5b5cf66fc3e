package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// writerPool shares write buffers among the connections, most of which are idle.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// writeResponses writes the responses in request order. Responses after the last one that the
// connection can carry are dropped.
func (c *conn) writeResponses() {
	open := true
	for p := range c.responseQueue {
		response := <-p.response
		written := open && c.writeResponse(p, replaceIfUnreadable(response))
		c.lastResponse.Store(int64(time.Since(c.openedAt)))
		if open && !written {
			open = false
			c.closeGracefully()
		}
		response.releaseBody()
		if response.RemainingBody != nil {
			response.RemainingBody.Close()
		}
		c.inFlight.Add(-1)
		c.server.inFlight.Add(-1)
	}
	if open {
		c.closeGracefully()
	}
}

// releaseBody drops Body, so that a long response does not occupy it to its end.
func (r *Response) releaseBody() {
	r.Body = nil
	if r.ReleaseBody != nil {
		r.ReleaseBody()
		r.ReleaseBody = nil
	}
}

// replaceIfUnreadable returns the replacement of a response if it needs one, otherwise the response.
func replaceIfUnreadable(r *Response) *Response {
	if r.Replacement != nil {
		if replacement := r.Replacement(); replacement != nil {
			return replacement
		}
	}
	return r
}

// closeGracefully closes the connection after its last response. It closes the sending side
// at once and the socket after lingerTimeout. In between, discardUntilClosed reads what the
// caller still sends: closing with unread bytes would reset the connection, and the caller
// could lose the response.
func (c *conn) closeGracefully() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	halfCloser, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil || halfCloser.CloseWrite() != nil {
		c.cancel()
		c.socket.Close()
		return
	}
	time.AfterFunc(lingerTimeout, func() { c.socket.Close() })
}

// writeResponse writes a response. It reports whether the connection can carry further ones.
func (c *conn) writeResponse(p *pendingRequest, r *Response) bool {
	if r.Abort || c.ctx.Err() != nil {
		c.cancel()
		return false
	}
	last := p.closeAfter || (c.server.draining.Load() && c.markClosingIfLast())
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(c.socket)
	defer func() {
		w.Reset(nil)
		writerPool.Put(w)
	}()
	writeHead(w, p.request, r, last)
	err := c.writeBody(w, p.request, r)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		if endsWithConnection(p.request, r) {
			c.resetOnClose()
		}
		c.cancel()
		return false
	}
	return !last
}

// endsWithConnection reports whether only the end of the connection marks the end of the
// response's body.
func endsWithConnection(request *Request, r *Response) bool {
	return mayHaveBody(request.Method, r.Status) && r.RemainingBody != nil && r.BodyLength < 0 && !request.ProtoAtLeast(1, 1)
}

// resetOnClose makes the socket reset the connection when it is closed. Otherwise a response that
// ends with the connection would look complete although a part of it is missing.
func (c *conn) resetOnClose() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		// The only error to expect is that the socket is closed already.
		_ = tcp.SetLinger(0)
	}
}

// mayHaveBody reports whether a response with this status to a request with this method may
// have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeHead(w *bufio.Writer, request *Request, r *Response, last bool) {
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(r.Status))
	w.WriteByte(' ')
	w.WriteString(http.StatusText(r.Status))
	w.WriteString("\r\n")
	// A bufio.Writer remembers its first write error, and Flush returns it.
	_ = r.Header.Write(w)
	switch {
	case !mayHaveBody(request.Method, r.Status):
		if request.Method == http.MethodHead && r.RemainingBody == nil && r.BodyLength > 0 {
			w.WriteString("Content-Length: " + strconv.FormatInt(r.BodyLength, 10) + "\r\n")
		}
	case r.RemainingBody == nil:
		w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	case r.BodyLength >= 0:
		w.WriteString("Content-Length: " + strconv.FormatInt(r.BodyLength, 10) + "\r\n")
	case request.ProtoAtLeast(1, 1):
		w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if last {
		w.WriteString("Connection: close\r\n")
	}
	w.WriteString("\r\n")
}

func (c *conn) writeBody(w *bufio.Writer, request *Request, r *Response) error {
	if !mayHaveBody(request.Method, r.Status) {
		return nil
	}
	if r.RemainingBody == nil || r.BodyLength >= 0 {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
		if r.RemainingBody == nil {
			return nil
		}
		remaining := r.BodyLength - int64(len(r.Body))
		r.releaseBody()
		return c.copyRemainingBody(w, r.RemainingBody, remaining)
	}
	return c.writeChunks(w, r)
}

// copyRemainingBody copies exactly n bytes. Each write may take up to writeTimeout.
func (c *conn) copyRemainingBody(w io.Writer, src io.Reader, n int64) error {
	_, err := io.CopyN(&deadlineWriter{conn: c, w: w}, src, n)
	return err
}

// writeChunks writes a body of unknown length in chunked encoding. If reading the body fails,
// the last chunk is not written, so that the truncated response does not look complete.
func (c *conn) writeChunks(w *bufio.Writer, r *Response) error {
	chunk := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
		w.Write(p)
		_, err := w.WriteString("\r\n")
		return err
	}
	if err := chunk(r.Body); err != nil {
		return err
	}
	r.releaseBody()
	buf := make([]byte, 16<<10)
	for {
		n, err := r.RemainingBody.Read(buf)
		if writeErr := chunk(buf[:n]); writeErr != nil {
			return writeErr
		}
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == io.EOF {
			_, err = w.WriteString("0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// deadlineWriter applies writeTimeout to each write instead of to the whole body.
type deadlineWriter struct {
	conn *conn
	w    io.Writer
}

// Write implements io.Writer.
func (p *deadlineWriter) Write(b []byte) (int, error) {
	_ = p.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	return p.w.Write(b)
}
