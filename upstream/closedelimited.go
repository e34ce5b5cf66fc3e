package upstream

import (
	"io"

	"github.com/jacinthrack/jacinthrack/internal/connwrite"
)

// closeDelimitedBody is a response body whose end is the end of the connection. It is incomplete if
// a write of the request failed, see package connwrite.
type closeDelimitedBody struct {
	io.ReadCloser
	writer *connwrite.Writer
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if failure := b.writer.Failure(); failure != nil {
			err = failure
		}
	}
	return n, err
}
