// Package connwrite keeps the failures of writes to a connection. The kernel reports the failure of a
// connection to one system call only. If that was a write, reads return io.EOF as if the other side had
// ended the stream.
package connwrite

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Writer writes to a connection and keeps the error of the write that failed.
type Writer struct {
	conn net.Conn

	mu  sync.Mutex // held during a write
	err error      // of the first write that failed
}

// New returns a writer to a connection.
func New(conn net.Conn) *Writer { return &Writer{conn: conn} }

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(p)
	if err != nil && w.err == nil {
		w.err = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, which makes net/http copy a body in pieces larger than its
// write buffer.
func (w *Writer) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{w}, r)
}

// Failure ends a write in progress and returns the error if one has failed because the connection did.
// EPIPE is no such error: the other side had ended its side of the connection before. Failure is for
// use after a read has returned io.EOF.
func (w *Writer) Failure() error {
	// An error means that the connection is closed, which ends the write as well.
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(w.err, syscall.EPIPE) || errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return w.err
}
