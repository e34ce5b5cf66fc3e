package forward

import (
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/jacinthrack/jacinthrack/problem"
)

// writeResponse writes the response of a backend server to the caller. If it cannot be
// completed after its header was sent, the caller's connection is aborted, so that the
// response does not look complete.
func (h *Handler) writeResponse(w http.ResponseWriter, state *requestState, r *backendResponse) *problem.Document {
	header := w.Header()
	maps.Copy(header, headerForCaller(r.resp.Header))
	header.Set(HeaderRequestID, state.requestID)
	if r.complete && r.resp.Request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(r.buffered)))
	}
	w.WriteHeader(r.resp.StatusCode)
	err := r.copyTo(w)
	if err != nil {
		h.Log.Warn("copy response to caller failed; aborting the connection", "request_id", state.requestID, "server", r.serverName, "error", err)
		panic(http.ErrAbortHandler)
	}
	h.recordServed(state, r.resp.StatusCode, "backend server "+r.serverName)
	return nil
}

// copyTo writes the response body to w in pieces of up to StreamBufferBytes. It finishes the
// attempt with the error of reading the body, if any; an error of writing to the caller
// does not count against the server.
func (r *backendResponse) copyTo(w io.Writer) error {
	_, writeErr := w.Write(r.buffered)
	if r.complete {
		return writeErr
	}
	if writeErr != nil {
		r.finish(nil)
		return writeErr
	}
	src := &errorRecordingReader{src: r.body}
	buf := make([]byte, StreamBufferBytes)
	// The wrapper hides w's io.ReaderFrom, which would bypass buf.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, src, buf)
	r.finish(src.err)
	return err
}

// errorRecordingReader records the read error of src, which distinguishes it from an error
// of writing to the caller.
type errorRecordingReader struct {
	src io.Reader
	err error
}

// Read implements io.Reader.
func (s *errorRecordingReader) Read(p []byte) (int, error) {
	n, err := s.src.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// writeStoredResponse writes the stored response of a non-idempotent request.
func writeStoredResponse(w http.ResponseWriter, state *requestState, stored *StoredResponse) {
	header := w.Header()
	maps.Copy(header, stored.Header)
	header.Set(HeaderRequestID, state.requestID)
	header.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	w.WriteHeader(stored.Status)
	// A write error means that the caller has disconnected. It can send the request
	// again and gets the stored response.
	_, _ = w.Write(stored.Body)
}
