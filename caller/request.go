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

	"github.com/jacinthrack/jacinthrack/lookup"
	"github.com/jacinthrack/jacinthrack/problem"
)

// Headers between callers and entry instances.
const (
	HeaderKey            = "Jacinthrack-Key"
	HeaderTimeout        = "Jacinthrack-Timeout"
	HeaderRequestID      = "Jacinthrack-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// routePrefix starts the path of every routed request.
const routePrefix = "/r/"

// Request is a request to a route.
type Request struct {
	Method string // GET if empty
	Route  string
	// Path follows the route, with its query, for example "/parts/7?detail=1".
	Path   string
	Header http.Header
	// Body is the whole request body. It is not changed.
	Body []byte
	// OpenBody returns the body anew for each attempt, instead of Body, for bodies
	// that are too large to hold or arrive slowly.
	OpenBody func() (io.ReadCloser, error)
	// OpenBodySize is the length of the body of Open, -1 if it is unknown.
	OpenBodySize int64
	// Idempotent says that the request may run more than once. GET, HEAD and
	// OPTIONS requests always may.
	Idempotent bool
	// IdempotencyKey is sent with every attempt. A non-idempotent request
	// without one gets a random one.
	IdempotencyKey string
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Instance is the entry instance that answered.
	Instance  string
	RequestID string
	// IdempotencyKey is the key that was sent, if there was one.
	IdempotencyKey string
	// Attempts holds the failed attempts before this answer.
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

// idempotencyKey returns the key of all attempts of the request.
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

// RequestBuildError reports a request body that could not be opened.
type RequestBuildError struct{ Err error }

func (e *RequestBuildError) Error() string { return fmt.Sprintf("open the request body: %v", e.Err) }

// Unwrap returns the cause.
func (e *RequestBuildError) Unwrap() error { return e.Err }

// build returns the HTTP request of one attempt.
func (c *Client) build(ctx context.Context, r *Request, key string, to lookup.Instance) (*http.Request, error) {
	body, size, err := r.open()
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
		// Lets the transport send the request on a new connection if an idle
		// one was closed before any byte of it was written.
		out.GetBody = func() (io.ReadCloser, error) {
			again, _, err := r.open()
			return again, err
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
		left := max(time.Until(deadline).Milliseconds(), 1)
		out.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	return out, nil
}

func (r *Request) open() (io.ReadCloser, int64, error) {
	if r.OpenBody != nil {
		body, err := r.OpenBody()
		return body, r.OpenBodySize, err
	}
	if len(r.Body) == 0 {
		return http.NoBody, 0, nil
	}
	return io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body)), nil
}

// attempt sends the request to one instance. It returns a complete answer or an
// outcome. The transport is used directly, so redirects are answers like others
// and the key goes to no other address.
func (c *Client) attempt(ctx context.Context, r *http.Request, to lookup.Instance) (*Response, *outcome) {
	resp, err := c.options.Transport.RoundTrip(r)
	if err != nil {
		return nil, transportOutcome(to.Name, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, &outcome{ran: problem.RanUnknown, err: &TransportError{Instance: to.Name, MaybeSent: true, Err: err}}
	}
	if p, ok := parseProblem(resp, body); ok {
		return nil, &outcome{err: p, ran: p.Ran, problem: p}
	}
	if int64(len(body)) > c.options.MaxAnswerBytes {
		return nil, &outcome{ran: problem.RanUnknown, err: &ResponseTooLargeError{Instance: to.Name, MaxBytes: c.options.MaxAnswerBytes}}
	}
	return &Response{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Body:      body,
		Instance:  to.Name,
		RequestID: resp.Header.Get(HeaderRequestID),
	}, nil
}

func transportOutcome(instance string, err error) *outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &outcome{ran: problem.RanNo, err: &TransportError{Instance: instance, Err: err}}
	}
	return &outcome{ran: problem.RanUnknown, err: &TransportError{Instance: instance, MaybeSent: true, Err: err}}
}

// parseProblem returns the problem document of an entry instance. Documents of
// backend servers are not marked as refusals.
func parseProblem(resp *http.Response, body []byte) (*problem.Document, bool) {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || media != problem.ContentType || resp.Header.Get(problem.HeaderRefused) == "" {
		return nil, false
	}
	var p problem.Document
	if json.Unmarshal(body, &p) != nil {
		return nil, false
	}
	if p.Ran != problem.RanNo {
		p.Ran = problem.RanUnknown
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && seconds > 0 {
		p.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &p, true
}
