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
)

// Connection bounds.
const (
	dialTimeout         = time.Second // an owner's server opens a connection in about 1 ms
	idleTimeout         = 20 * time.Second
	idleConnsPerServer  = 32
	returnPathAllowance = 5 * time.Millisecond // left for the way back to the caller
)

// Transport sends requests to backend servers. It never sends one twice.
type Transport struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// NewTransport returns a transport without open connections.
func NewTransport() *Transport {
	pooled := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:   idleConnsPerServer,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true,
		ReadBufferSize:        16 << 10,
		WriteBufferSize:       16 << 10,
		ExpectContinueTimeout: time.Second,
		// Backend servers speak HTTP/1.1: one request in progress for each
		// connection, so that responses cannot cross.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
	fresh := pooled.Clone()
	// net/http repeats a request with an Idempotency-Key header by itself when a
	// reused connection fails before the response. A fresh connection is never
	// retried, so non-idempotent work cannot run twice.
	fresh.DisableKeepAlives = true
	fresh.DialContext = useConnection
	return &Transport{pooled: pooled, fresh: fresh}
}

// Close closes idle connections.
func (t *Transport) Close() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// attempt is one request to one backend server.
type attempt struct {
	server     *config.BackendServer
	method     string
	path       string
	header     http.Header
	body       io.Reader
	length     int64
	idempotent bool
	requestID  string
	// beforeSend is called when a connection stands and before the first byte.
	// On an error nothing is sent. Only non-idempotent attempts have it.
	beforeSend func() error
}

// connectionKey is the context key of a connection for useConnection.
type connectionKey struct{}

// useConnection is a dial function that returns the connection in ctx.
func useConnection(ctx context.Context, _, _ string) (net.Conn, error) {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return nil, &RequestBuildError{Err: net.ErrClosed}
	}
	return conn, nil
}

// connect opens the connection of a non-idempotent attempt and asks whether it
// may be sent.
func connect(ctx context.Context, a attempt) (context.Context, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.server.Address)
	if err != nil {
		return ctx, err
	}
	if err := a.beforeSend(); err != nil {
		conn.Close()
		return ctx, err
	}
	return context.WithValue(ctx, connectionKey{}, conn), nil
}

// ResponseMismatchError reports a response that names another request.
type ResponseMismatchError struct{ Want, Got string }

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("the response names request %s, want %s", e.Got, e.Want)
}

// UndelimitedResponseError reports a response whose end cannot be told from a
// broken connection.
type UndelimitedResponseError struct{}

func (e *UndelimitedResponseError) Error() string {
	return "the response has neither a length nor chunked encoding"
}

// send sends the attempt. sent reports whether bytes may have reached the server.
func (t *Transport) send(ctx context.Context, a attempt) (resp *http.Response, sent bool, err error) {
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
		ctx, err := connect(req.Context(), a)
		if err != nil {
			return nil, false, err
		}
		connected.Store(true)
		req = req.WithContext(ctx)
		transport = t.fresh
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

// RequestBuildError reports a request that cannot be formed.
type RequestBuildError struct{ Err error }

func (e *RequestBuildError) Error() string { return fmt.Sprintf("form the request: %v", e.Err) }

// Unwrap returns the cause.
func (e *RequestBuildError) Unwrap() error { return e.Err }

// setBody leaves GetBody unset, so that net/http cannot send a body twice.
func setBody(req *http.Request, a attempt) {
	if a.length == 0 {
		req.Body = http.NoBody
		return
	}
	req.Body = io.NopCloser(a.body)
	req.ContentLength = a.length
}

func setTimeoutHeader(ctx context.Context, header http.Header) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	left := max(time.Until(deadline)-returnPathAllowance, time.Millisecond)
	header.Set(HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
}

func checkResponse(resp *http.Response, requestID string) error {
	named := resp.Header.Get(HeaderRequestID)
	if named != "" && named != requestID {
		return &ResponseMismatchError{Want: requestID, Got: named}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &UndelimitedResponseError{}
	}
	return nil
}
