package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/problem"
)

// requestBody is the body of a request. A short body is buffered entirely. Of a longer
// one the start is buffered and the rest is streamed from the caller.
type requestBody struct {
	buffered      []byte    // start of the body
	stream        io.Reader // rest of the body; nil if buffered is all of it
	contentLength int64     // in bytes; -1 if unknown

	// Atomic, since the transport reads stream on a goroutine of its own.
	streamRead atomic.Bool           // whether reading stream was started
	streamErr  atomic.Pointer[error] // error of reading stream; nil if none
}

// readErr returns the error of reading stream, nil if there was none.
func (b *requestBody) readErr() error {
	if err := b.streamErr.Load(); err != nil {
		return *err
	}
	return nil
}

// UploadStalledError reports an upload without progress for Timeout.
type UploadStalledError struct{ Timeout time.Duration }

func (e *UploadStalledError) Error() string {
	return fmt.Sprintf("the upload made no progress for %v", e.Timeout)
}

// BodyTooLargeError reports a request body of more than MaxBytes.
type BodyTooLargeError struct{ MaxBytes int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the request body is larger than %d bytes", e.MaxBytes)
}

// BodyReadError reports that the request body could not be read from the caller.
type BodyReadError struct{ Err error }

func (e *BodyReadError) Error() string { return fmt.Sprintf("read the request body: %v", e.Err) }

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error { return e.Err }

// callerBodyReader reads a request body from the caller, up to a maximum size, and fails
// if there is no progress for UploadStallTimeout. Its errors have types of their own, which
// distinguishes them from failures of the backend server.
type callerBodyReader struct {
	src            io.Reader
	controller     *http.ResponseController
	remainingBytes int64
	maxBytes       int64
}

func newCallerBodyReader(w http.ResponseWriter, r *http.Request, maxBytes int64) *callerBodyReader {
	return &callerBodyReader{src: r.Body, controller: http.NewResponseController(w), remainingBytes: maxBytes, maxBytes: maxBytes}
}

// Read implements io.Reader.
func (c *callerBodyReader) Read(p []byte) (int, error) {
	// Without effect if the response writer has no read deadline, as in tests.
	_ = c.controller.SetReadDeadline(time.Now().Add(UploadStallTimeout))
	n, err := c.src.Read(p)
	c.remainingBytes -= int64(n)
	if c.remainingBytes < 0 {
		return 0, &BodyTooLargeError{MaxBytes: c.maxBytes}
	}
	if err == nil || err == io.EOF {
		return n, err
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return n, &UploadStalledError{Timeout: UploadStallTimeout}
	}
	return n, &BodyReadError{Err: err}
}

// readBody reads the start of the body, up to bufferBytes, into memory. A body of more
// than maxBytes is an error.
func readBody(w http.ResponseWriter, r *http.Request, bufferBytes, maxBytes int64) (*requestBody, error) {
	if r.ContentLength > maxBytes {
		return nil, &BodyTooLargeError{MaxBytes: maxBytes}
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	src := newCallerBodyReader(w, r, maxBytes)
	buffered, err := io.ReadAll(io.LimitReader(src, bufferBytes))
	if err != nil {
		return nil, err
	}
	if int64(len(buffered)) < bufferBytes {
		return &requestBody{buffered: buffered, contentLength: int64(len(buffered))}, nil
	}
	return &requestBody{buffered: buffered, stream: src, contentLength: r.ContentLength}, nil
}

// replayable reports whether the whole body can still be sent. A streamed body cannot
// once reading stream was started.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.streamRead.Load() }

// reader returns the body for one attempt. The body must be replayable.
func (b *requestBody) reader() io.Reader {
	if b.stream == nil {
		return bytes.NewReader(b.buffered)
	}
	return io.MultiReader(bytes.NewReader(b.buffered), &streamReadMarker{body: b})
}

// streamReadMarker reads the stream of a request body and sets streamRead with the first
// read. An attempt that failed before can be retried.
type streamReadMarker struct{ body *requestBody }

// Read implements io.Reader.
func (m *streamReadMarker) Read(p []byte) (int, error) {
	m.body.streamRead.Store(true)
	n, err := m.body.stream.Read(p)
	if err != nil && err != io.EOF {
		m.body.streamErr.Store(&err)
	}
	return n, err
}

// callerBodyProblem returns the rejection for an error of reading the request body from
// the caller, nil if err has another cause.
func callerBodyProblem(err error, ran problem.RunStatus) *problem.Document {
	var (
		tooLarge *BodyTooLargeError
		stalled  *UploadStalledError
		body     *BodyReadError
	)
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(problem.TypeBodyTooLarge, http.StatusRequestEntityTooLarge, ran, "%v", tooLarge)
	case errors.As(err, &stalled):
		return problem.New(problem.TypeUploadStalled, http.StatusRequestTimeout, ran, "%v", stalled)
	case errors.As(err, &body):
		return problem.New(problem.TypeBadRequest, http.StatusBadRequest, ran, "%v", body)
	}
	return nil
}
