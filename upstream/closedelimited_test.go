package upstream

import (
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/internal/connwrite"
)

// failedSocket is a connection whose writes fail.
type failedSocket struct {
	net.Conn
	writeErr error
}

func (s *failedSocket) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", s.writeErr)}
}

func (s *failedSocket) SetWriteDeadline(time.Time) error { return nil }

// Guards against taking the end of the stream for the end of a body when a write got the report that
// the connection has failed, and against dropping a body that the server ended before.
func TestFailedWriteMakesACloseDelimitedBodyIncomplete(t *testing.T) {
	for _, c := range []struct {
		writeErr error
		want     error // of reading the body
	}{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EPIPE, nil}, // the server closed its side first
	} {
		t.Run(c.writeErr.Error(), func(t *testing.T) {
			writer := connwrite.New(&failedSocket{writeErr: c.writeErr})
			_, err := writer.Write([]byte("request"))
			must.ErrorIs(t, err, c.writeErr)
			body := &closeDelimitedBody{ReadCloser: io.NopCloser(strings.NewReader("body")), writer: writer}
			_, err = io.ReadAll(body)
			must.ErrorIs(t, err, c.want)
		})
	}
}
