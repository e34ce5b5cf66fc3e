package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// Headers between callers and entry instances.
const (
	HeaderKey            = "Jacinthrack-Key"
	HeaderTimeout        = "Jacinthrack-Timeout" // milliseconds until the deadline
	HeaderRequestID      = "Jacinthrack-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// routePrefix precedes the route name in the path of a request.
const routePrefix = "/r/"

// Request is a request to a route.
type Request struct {
	Method string // GET if empty
	Route  string // route name
	// Path is the path and query after the route, for example "/parts/7?detail=1".
	Path   string
	Header http.Header
	// Body is the whole request body. It is not modified.
	Body []byte
	// OpenBody is called for each attempt and returns the body from its start. If it is
	// set, Body is ignored. It is meant for bodies that are too large to keep in
	// memory or arrive slowly.
	OpenBody func() (io.ReadCloser, error)
	// OpenBodySize is the size in bytes of the body that OpenBody returns, -1 if unknown.
	OpenBodySize int64
	// Idempotent says that the request may run more than once. GET, HEAD and
	// OPTIONS requests always count as idempotent.
	Idempotent bool
	// IdempotencyKey is sent with every attempt. If it is empty, the
	// Idempotency-Key in Header is used; a non-idempotent request with neither gets
	// a random key.
	IdempotencyKey string
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Instance is the name of the entry instance that sent the response.
	Instance  string
	RequestID string
	// IdempotencyKey is the idempotency key that was sent. Empty if none was.
	IdempotencyKey string
	// Attempts describes the failed attempts before this response.
	Attempts []Attempt
}

func (r *Request) idempotent() bool {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return r.Idempotent
	}
}

// idempotencyKey returns the idempotency key for all attempts of the request.
func (r *Request) idempotencyKey() string {
	if key := r.IdempotencyKey; key != "" {
		return key
	}
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" {
		return key
	}
	if r.idempotent() {
		return ""
	}
	return rand.Text()
}

// RequestBuildError reports that the HTTP request of an attempt could not be built: its body
// could not be opened, or its method or URL is invalid.
type RequestBuildError struct{ Err error }

func (e *RequestBuildError) Error() string { return fmt.Sprintf("build the request: %v", e.Err) }

// Unwrap returns the cause.
func (e *RequestBuildError) Unwrap() error { return e.Err }

// buildHTTPRequest returns the HTTP request of one attempt to an instance. key is the
// idempotency key, if any.
func (c *Client) buildHTTPRequest(ctx context.Context, r *Request, key string, to lookup.Instance) (*http.Request, error) {
	body, size, err := r.bodyReader()
	if err != nil {
		return nil, &RequestBuildError{Err: err}
	}
	target := "http://" + to.Address + routePrefix + r.Route + r.Path
	out, err := http.NewRequestWithContext(ctx, r.Method, target, body)
	if err != nil {
		return nil, &RequestBuildError{Err: err}
	}
	out.ContentLength = size
	if r.OpenBody == nil && size > 0 {
		// Lets the transport send the request on a new connection if a reused one
		// was closed before any byte of the request was written.
		out.GetBody = func() (io.ReadCloser, error) {
			body, _, err := r.bodyReader()
			return body, err
		}
	}
	if r.Header != nil {
		out.Header = r.Header.Clone()
	}
	if c.options.Key != "" {
		out.Header.Set(HeaderKey, c.options.Key)
	}
	if key != "" {
		out.Header.Set(HeaderIdempotencyKey, key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeoutMS := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(HeaderTimeout, strconv.FormatInt(timeoutMS, 10))
	}
	return out, nil
}

// bodyReader returns the request body from its start, and its size in bytes, -1 if
// unknown.
func (r *Request) bodyReader() (io.ReadCloser, int64, error) {
	if r.OpenBody != nil {
		body, err := r.OpenBody()
		return body, r.OpenBodySize, err
	}
	if len(r.Body) == 0 {
		return http.NoBody, 0, nil
	}
	return io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body)), nil
}

// roundTrip sends the request to one instance. It returns either the complete response
// or the failure. It uses the transport directly, so a redirect is returned like any
// other response and the API key is never sent to the address that it names.
func (c *Client) roundTrip(ctx context.Context, r *http.Request, to lookup.Instance) (*Response, *attemptFailure) {
	resp, err := c.options.Transport.RoundTrip(r)
	if err != nil {
		return nil, transportFailure(to.Name, err)
	}
	defer resp.Body.Close()
	if err := responsecheck.CheckDelimited(resp); err != nil {
		return nil, &attemptFailure{ran: problem.MayHaveRun, err: &TransportError{Instance: to.Name, MaybeSent: true, Err: err}}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, &attemptFailure{ran: problem.MayHaveRun, err: &TransportError{Instance: to.Name, MaybeSent: true, Err: err}}
	}
	if p, ok := parseProblem(resp, body); ok {
		return nil, &attemptFailure{err: p, ran: p.Ran, problem: p}
	}
	if int64(len(body)) > c.options.MaxAnswerBytes {
		return nil, &attemptFailure{ran: problem.MayHaveRun, err: &ResponseTooLargeError{Instance: to.Name, MaxBytes: c.options.MaxAnswerBytes}}
	}
	return &Response{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Body:      body,
		Instance:  to.Name,
		RequestID: resp.Header.Get(HeaderRequestID),
	}, nil
}

// transportFailure returns the failure of a round trip that ended with err. Only if
// no connection was established is it certain that the request did not run.
func transportFailure(instance string, err error) *attemptFailure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &attemptFailure{ran: problem.DidNotRun, err: &TransportError{Instance: instance, Err: err}}
	}
	return &attemptFailure{ran: problem.MayHaveRun, err: &TransportError{Instance: instance, MaybeSent: true, Err: err}}
}

// parseProblem returns the problem document in a response, if an entry instance wrote
// it. The header problem.HeaderRefused marks these; entry instances remove it from the
// responses of backend servers.
func parseProblem(resp *http.Response, body []byte) (*problem.Document, bool) {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || media != problem.ContentType || resp.Header.Get(problem.HeaderRefused) == "" {
		return nil, false
	}
	var p problem.Document
	if json.Unmarshal(body, &p) != nil {
		return nil, false
	}
	if p.Ran != problem.DidNotRun {
		p.Ran = problem.MayHaveRun
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && seconds > 0 {
		p.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &p, true
}
