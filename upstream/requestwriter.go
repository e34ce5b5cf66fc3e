package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// requestWriter writes requests to a socket and keeps the error of the write that failed.
type requestWriter struct {
	socket net.Conn

	mu  sync.Mutex // held during a write
	err error      // of the first write that failed
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.socket.Write(p)
	if err != nil && w.err == nil {
		w.err = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, which makes net/http copy a body in pieces larger than its
// write buffer.
func (w *requestWriter) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}

// connectionFailure ends a write in progress and returns the error if one has failed because the
// connection did. EPIPE is no such error: the server had ended its side of the connection before.
func (w *requestWriter) connectionFailure() error {
	// An error means that the socket is closed, which ends the write as well.
	_ = w.socket.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(w.err, syscall.EPIPE) || errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}

// closeDelimitedBody is a response body whose end is the end of the connection. The kernel reports
// the failure of a connection to one system call only. If that was a write, reads return io.EOF
// as if the server had ended the body.
type closeDelimitedBody struct {
	io.ReadCloser
	writer *requestWriter
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if failure := b.writer.connectionFailure(); failure != nil {
			err = failure
		}
	}
	return n, err
}
