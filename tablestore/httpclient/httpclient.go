// Package httpclient implements the platform interfaces over HTTP/JSON. It is
// registered with the kernel as the service "platform.http".
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpapi"
)

// ServiceName is the name in the kernel registry.
const ServiceName = "platform.http"

// DefaultTimeout bounds a call whose context has no deadline.
const DefaultTimeout = 2 * time.Second

// Client calls a platform server.
type Client struct {
	kernel.Base
	base string
	http *http.Client
}

// New returns a client of the platform at base, for example
// "http://127.0.0.1:7000".
func New(base string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Name implements kernel.Service.
func (c *Client) Name() string { return ServiceName }

// Validate implements kernel.Service. It returns a *BaseURLError.
func (c *Client) Validate() error {
	u, err := url.Parse(c.base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return &BaseURLError{URL: c.base}
	}
	return nil
}

// Stop implements kernel.Service.
func (c *Client) Stop(context.Context) error {
	c.http.CloseIdleConnections()
	return nil
}

// BaseURLError reports a platform address that is not an absolute URL.
type BaseURLError struct{ URL string }

func (e *BaseURLError) Error() string {
	return fmt.Sprintf("platform address %q is not an absolute URL such as \"http://127.0.0.1:7000\"", e.URL)
}

// StatusError reports a response that is not a documented error.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// Read implements tablestore.Table.
func (c *Client) Read(ctx context.Context, key string) (tablestore.Row, error) {
	var row tablestore.Row
	err := c.post(ctx, call{op: "read"}, httpapi.PathRead, httpapi.ReadRequest{Key: key}, &row)
	return row, err
}

// Scan implements tablestore.Table.
func (c *Client) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	var resp httpapi.ScanResponse
	req := httpapi.ScanRequest{Prefix: prefix, Limit: limit, After: after}
	err := c.post(ctx, call{op: "scan"}, httpapi.PathScan, req, &resp)
	return resp.Rows, err
}

// Transact implements tablestore.Table.
func (c *Client) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	var result tablestore.TransactResult
	req := httpapi.TransactRequest{ChangeID: changeID, Writes: writes}
	err := c.post(ctx, call{op: "transact", writes: true, changeID: changeID}, httpapi.PathTransact, req, &result)
	return result, err
}

// Put implements tablestore.ObjectStore.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, call{op: "put", writes: true}, http.MethodPut, objectPath(name), data)
	return err
}

// Get implements tablestore.ObjectStore.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, call{op: "get", name: name}, http.MethodGet, objectPath(name), nil)
}

// List implements tablestore.InstanceLister.
func (c *Client) List(ctx context.Context) (tablestore.Listing, error) {
	var listing tablestore.Listing
	data, err := c.do(ctx, call{op: "list"}, http.MethodGet, httpapi.PathInstances, nil)
	if err != nil {
		return listing, err
	}
	if err := json.Unmarshal(data, &listing); err != nil {
		return listing, &tablestore.UnavailableError{Op: "list", Err: err}
	}
	return listing, nil
}

// objectPath carries the name as a query parameter, because path elements such as
// ".." and empty ones are cleaned on the way.
func objectPath(name string) string {
	return httpapi.PathObjects + "?" + url.Values{httpapi.QueryName: {name}}.Encode()
}

// call describes a call for error mapping.
type call struct {
	op       string
	name     string // object name
	writes   bool
	changeID string
}

// failed returns the error of a call that ended with err. sent says whether the
// server may have received the request.
func (c call) failed(err error, sent bool) error {
	if c.writes && sent {
		return &tablestore.OutcomeUnknownError{Op: c.op, ChangeID: c.changeID, Err: err}
	}
	return &tablestore.UnavailableError{Op: c.op, Err: err}
}

func (c *Client) post(ctx context.Context, info call, path string, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return info.failed(err, false)
	}
	data, err := c.do(ctx, info, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, resp); err != nil {
		return info.failed(err, true)
	}
	return nil
}

func (c *Client) do(ctx context.Context, info call, method, path string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, info.failed(err, false)
	}
	// A request with GetBody may be re-sent by the transport on a fresh
	// connection. A conditional write that was applied would then conflict with
	// itself, so writes opt out.
	if info.writes {
		req.GetBody = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, info.failed(err, !isDialError(err))
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, httpapi.MaxBodyBytes+1))
	if err != nil {
		return nil, info.failed(err, true)
	}
	if resp.StatusCode >= 300 {
		return nil, info.responseError(resp.StatusCode, data)
	}
	return data, nil
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c call) responseError(status int, data []byte) error {
	var body httpapi.ErrorResponse
	if err := json.Unmarshal(data, &body); err != nil {
		return c.failed(&StatusError{Status: status}, true)
	}
	switch body.Kind {
	case httpapi.KindConflict:
		return &tablestore.ConflictError{Conflicts: body.Conflicts}
	case httpapi.KindNotFound:
		return &tablestore.NotFoundError{Name: c.name}
	case httpapi.KindLimit:
		return &tablestore.LimitError{Limit: body.Limit, Max: body.Max, Got: body.Got}
	case httpapi.KindUnavailable, httpapi.KindBadRequest:
		return &tablestore.UnavailableError{Op: c.op, Err: &RemoteError{Detail: body.Detail}}
	default:
		return c.failed(&RemoteError{Detail: body.Detail}, true)
	}
}

// RemoteError carries the platform's own description of a failure.
type RemoteError struct{ Detail string }

func (e *RemoteError) Error() string { return e.Detail }
