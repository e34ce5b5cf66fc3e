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

// requestBody is the body of a request: wholly held, or held in part and then
// streamed.
type requestBody struct {
	held   []byte    // the first bytes
	rest   io.Reader // what follows held; nil when held is everything
	length int64     // -1 when unknown

	// The transport reads rest on a goroutine of its own.
	used    atomic.Bool           // rest was read
	failure atomic.Pointer[error] // why reading rest failed
}

// err returns why the caller's body could not be read, or nil.
func (b *requestBody) err() error {
	if failure := b.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// UploadStalledError reports an upload without progress.
type UploadStalledError struct{ Timeout time.Duration }

func (e *UploadStalledError) Error() string {
	return fmt.Sprintf("the upload made no progress for %v", e.Timeout)
}

// BodyTooLargeError reports a body over the limit of its route.
type BodyTooLargeError struct{ MaxBytes int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the request body is larger than %d bytes", e.MaxBytes)
}

// BodyReadError reports that the caller's body could not be read.
type BodyReadError struct{ Err error }

func (e *BodyReadError) Error() string { return fmt.Sprintf("read the request body: %v", e.Err) }

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error { return e.Err }

// callerReader reads a caller's body, fails when it makes no progress for
// UploadStallTimeout and types its errors, so that they are told apart from failures
// of the backend server.
type callerReader struct {
	src       io.Reader
	control   *http.ResponseController
	remaining int64
	max       int64
}

func newCallerReader(w http.ResponseWriter, r *http.Request, max int64) *callerReader {
	return &callerReader{src: r.Body, control: http.NewResponseController(w), remaining: max, max: max}
}

// Read implements io.Reader.
func (c *callerReader) Read(p []byte) (int, error) {
	// A response writer without deadlines, as in tests, reads without a bound.
	_ = c.control.SetReadDeadline(time.Now().Add(UploadStallTimeout))
	n, err := c.src.Read(p)
	c.remaining -= int64(n)
	if c.remaining < 0 {
		return 0, &BodyTooLargeError{MaxBytes: c.max}
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

// readBody holds up to hold bytes of the body in memory.
func readBody(w http.ResponseWriter, r *http.Request, hold, max int64) (*requestBody, error) {
	if r.ContentLength > max {
		return nil, &BodyTooLargeError{MaxBytes: max}
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	src := newCallerReader(w, r, max)
	held, err := io.ReadAll(io.LimitReader(src, hold))
	if err != nil {
		return nil, err
	}
	if int64(len(held)) < hold {
		return &requestBody{held: held, length: int64(len(held))}, nil
	}
	return &requestBody{held: held, rest: src, length: r.ContentLength}, nil
}

// replayable reports whether the body can be sent now.
func (b *requestBody) replayable() bool { return b.rest == nil || !b.used.Load() }

// reader returns the body for one attempt. replayable must hold.
func (b *requestBody) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.held)
	}
	return io.MultiReader(bytes.NewReader(b.held), &firstUse{body: b})
}

// firstUse marks a streamed body as used when its first byte is read, so that an
// attempt that failed before then can be repeated.
type firstUse struct{ body *requestBody }

// Read implements io.Reader.
func (f *firstUse) Read(p []byte) (int, error) {
	f.body.used.Store(true)
	n, err := f.body.rest.Read(p)
	if err != nil && err != io.EOF {
		f.body.failure.Store(&err)
	}
	return n, err
}

// callerProblem returns the refusal for an error of the caller's body, or nil if
// err has another cause.
func callerProblem(err error, ran problem.Ran) *problem.Document {
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
