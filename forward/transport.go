package forward

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
)

// Connection limits.
const (
	dialTimeout           = time.Second // backend servers accept a connection in about 1 ms
	idleConnTimeout       = 20 * time.Second
	maxIdleConnsPerServer = 32
	returnTripAllowance   = 5 * time.Millisecond // for sending the response back to the caller
	// maxResponseHeadBytes is the largest head of a response. net/http by itself accepts 10 MiB,
	// which a server in trouble could send to many requests at a time.
	maxResponseHeadBytes = 256 << 10
)

// Transport sends requests to backend servers. It never sends a non-idempotent one twice.
type Transport struct {
	pooled    *http.Transport // idempotent attempts; reuses connections
	singleUse *http.Transport // non-idempotent attempts; uses each connection once
}

// NewTransport returns a transport. It opens no connection.
func NewTransport() *Transport {
	pooled := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		ReadBufferSize:         16 << 10,
		WriteBufferSize:        16 << 10,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		ExpectContinueTimeout:  time.Second,
		// Disables HTTP/2. With HTTP/1.1 a connection carries one request at a time,
		// so that the responses of different requests cannot be mixed up.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
	singleUse := pooled.Clone()
	// net/http retries a request with an Idempotency-Key header by itself when a
	// reused connection fails before the response. It does not retry on a new
	// connection, so non-idempotent requests, which use one each, cannot run twice.
	singleUse.DisableKeepAlives = true
	singleUse.DialContext = connFromContext
	return &Transport{pooled: pooled, singleUse: singleUse}
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.singleUse.CloseIdleConnections()
}

// attempt is one try at sending a request to one backend server.
type attempt struct {
	server        *config.BackendServer
	method        string
	path          string
	header        http.Header
	body          io.Reader
	contentLength int64
	idempotent    bool
	requestID     string
	// beforeSend is called after the connection is established and before the first
	// byte is sent. If it returns an error, nothing is sent. It is called only for
	// non-idempotent attempts.
	beforeSend func() error
}

// connContextKey is the context key of the connection that connFromContext returns.
type connContextKey struct{}

// connFromContext is a DialContext function that returns the open connection in ctx.
func connFromContext(ctx context.Context, _, _ string) (net.Conn, error) {
	conn, ok := ctx.Value(connContextKey{}).(net.Conn)
	if !ok {
		return nil, &RequestBuildError{Err: net.ErrClosed}
	}
	return conn, nil
}

// openConnection opens the connection of a non-idempotent attempt, calls beforeSend and
// returns a context with the connection.
func openConnection(ctx context.Context, a attempt) (context.Context, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.server.Address)
	if err != nil {
		return ctx, err
	}
	if err := a.beforeSend(); err != nil {
		conn.Close()
		return ctx, err
	}
	return context.WithValue(ctx, connContextKey{}, conn), nil
}

// ResponseMismatchError reports a response whose request ID is that of another request.
type ResponseMismatchError struct{ Want, Got string }

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("response has request ID %s instead of %s", e.Got, e.Want)
}

// send sends the attempt and returns its response after the header has arrived. maybeSent
// reports whether bytes may have reached the server.
func (t *Transport) send(ctx context.Context, a attempt) (resp *http.Response, maybeSent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), a.method, "http://"+a.server.Address+a.path, nil)
	if err != nil {
		return nil, false, &RequestBuildError{Err: err}
	}
	req.Header = a.header
	setTimeoutHeader(ctx, req.Header)
	setBody(req, a)
	transport := t.pooled
	if !a.idempotent {
		ctx, err := openConnection(req.Context(), a)
		if err != nil {
			return nil, false, err
		}
		connected.Store(true)
		req = req.WithContext(ctx)
		transport = t.singleUse
	}
	resp, err = transport.RoundTrip(req)
	if err != nil {
		return nil, connected.Load(), err
	}
	if err := checkResponse(resp, a.requestID); err != nil {
		resp.Body.Close()
		return nil, true, err
	}
	return resp, true, nil
}

// RequestBuildError reports a request that could not be built.
type RequestBuildError struct{ Err error }

func (e *RequestBuildError) Error() string { return fmt.Sprintf("build backend request: %v", e.Err) }

// Unwrap returns the cause.
func (e *RequestBuildError) Unwrap() error { return e.Err }

// setBody sets the request body. It leaves GetBody unset, so that net/http cannot send
// the body a second time.
func setBody(req *http.Request, a attempt) {
	if a.contentLength == 0 {
		req.Body = http.NoBody
		return
	}
	req.Body = io.NopCloser(a.body)
	req.ContentLength = a.contentLength
}

// setTimeoutHeader sets the time until the deadline of ctx, less returnTripAllowance.
func setTimeoutHeader(ctx context.Context, header http.Header) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	timeout := max(time.Until(deadline)-returnTripAllowance, time.Millisecond)
	header.Set(HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
}

// checkResponse checks that the head of the response is valid, that its end can be detected and that
// it belongs to the request.
func checkResponse(resp *http.Response, requestID string) error {
	if err := responsecheck.CheckDelimited(resp); err != nil {
		return err
	}
	responseID := resp.Header.Get(HeaderRequestID)
	if responseID != "" && responseID != requestID {
		return &ResponseMismatchError{Want: requestID, Got: responseID}
	}
	return nil
}
