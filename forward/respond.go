package forward

import (
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/jacinthrack/jacinthrack/problem"
)

// respond passes a response on. A response that breaks off after its header was
// sent ends with a broken connection, never with a clean end.
func (h *Handler) respond(w http.ResponseWriter, x *exchange, r *reply) *problem.Document {
	header := w.Header()
	maps.Copy(header, callerHeader(r.resp.Header))
	header.Set(HeaderRequestID, x.id)
	if r.whole && r.resp.Request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(r.held)))
	}
	w.WriteHeader(r.resp.StatusCode)
	err := r.copyTo(w)
	if err != nil {
		h.Log.Warn("response cut off", "request_id", x.id, "server", r.server, "error", err)
		panic(http.ErrAbortHandler)
	}
	h.logDone(x, r.resp.StatusCode, "served by "+r.server)
	return nil
}

// copyTo writes the response in bounded memory.
func (r *reply) copyTo(w io.Writer) error {
	_, writeErr := w.Write(r.held)
	if r.whole {
		return writeErr
	}
	if writeErr != nil {
		r.finish(nil)
		return writeErr
	}
	src := &sourceReader{src: r.body}
	buf := make([]byte, StreamBufferBytes)
	// The wrapper hides io.ReaderFrom, which would bypass the buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, src, buf)
	r.finish(src.err)
	return err
}

// sourceReader remembers a read error, so that it is told apart from the
// caller's departure.
type sourceReader struct {
	src io.Reader
	err error
}

// Read implements io.Reader.
func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.src.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

func writeStored(w http.ResponseWriter, x *exchange, stored *StoredResponse) {
	header := w.Header()
	maps.Copy(header, stored.Header)
	header.Set(HeaderRequestID, x.id)
	header.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	w.WriteHeader(stored.Status)
	// A write error means that the caller has gone; it can ask again.
	_, _ = w.Write(stored.Body)
}
