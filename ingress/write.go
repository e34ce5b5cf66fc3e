package ingress

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// writers are reused between connections, since most are idle.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// writeAnswers writes the responses in the order of the requests.
func (c *conn) writeAnswers() {
	open := true
	for p := range c.answers {
		response := <-p.response
		if open && !c.writeAnswer(p, response) {
			open = false
			c.finish()
		}
		if response.RemainingBody != nil {
			response.RemainingBody.Close()
		}
		c.pending.Add(-1)
		c.server.active.Add(-1)
	}
	if open {
		c.finish()
	}
}

// finish closes the connection after its last response. What the caller still sends
// is read until it closes too: closing with unread bytes would reset the connection
// and could destroy the response.
func (c *conn) finish() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	half, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil || half.CloseWrite() != nil {
		c.cancel()
		c.socket.Close()
		return
	}
	time.AfterFunc(lingerTimeout, func() { c.socket.Close() })
}

// writeAnswer writes one response and reports whether the connection goes on.
func (c *conn) writeAnswer(p *pending, r *Response) bool {
	if r.Abort || c.ctx.Err() != nil {
		c.cancel()
		return false
	}
	last := p.last || (c.server.draining.Load() && c.tryClose())
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.socket)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	writeHead(w, p.request, r, last)
	err := c.writeBody(w, p.request, r)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		c.cancel()
		return false
	}
	return !last
}

// hasBody reports whether a response to the method may carry a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func writeHead(w *bufio.Writer, request *Request, r *Response, last bool) {
	w.WriteString("HTTP/1.1 ")
	w.WriteString(strconv.Itoa(r.Status))
	w.WriteByte(' ')
	w.WriteString(http.StatusText(r.Status))
	w.WriteString("\r\n")
	// Writes to a bufio.Writer keep their first error, which Flush returns.
	_ = r.Header.Write(w)
	switch {
	case !hasBody(request.Method, r.Status):
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
	if !hasBody(request.Method, r.Status) {
		return nil
	}
	if r.RemainingBody == nil || r.BodyLength >= 0 {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
		if r.RemainingBody == nil {
			return nil
		}
		return c.copyStream(w, r.RemainingBody, r.BodyLength-int64(len(r.Body)))
	}
	return c.writeChunks(w, r)
}

// copyStream copies exactly n bytes.
func (c *conn) copyStream(w io.Writer, src io.Reader, n int64) error {
	_, err := io.CopyN(&pacedWriter{conn: c, w: w}, src, n)
	return err
}

// writeChunks writes a response of unknown length. A response that breaks off gets
// no last chunk, so that it does not look complete.
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

// pacedWriter bounds the time of each write instead of that of the whole body.
type pacedWriter struct {
	conn *conn
	w    io.Writer
}

// Write implements io.Writer.
func (p *pacedWriter) Write(b []byte) (int, error) {
	_ = p.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	return p.w.Write(b)
}
