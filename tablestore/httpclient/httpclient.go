// Package httpclient implements the interfaces of package tablestore with a client of the
// platform's HTTP/JSON API. It is the kernel service "platform.http".
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

	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
	"github.com/jacinthrack/jacinthrack/kernel"
	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/jacinthrack/jacinthrack/tablestore/httpapi"
)

// ServiceName is the name of the client in the kernel's service registry.
const ServiceName = "platform.http"

// DefaultTimeout bounds a call whose context has no deadline, and every connection attempt.
const DefaultTimeout = 2 * time.Second

// Client is a client of the platform's HTTP/JSON API.
type Client struct {
	kernel.Base
	baseURL string
	http    *http.Client
}

// New returns a client of the platform at baseURL, for example
// "http://127.0.0.1:7000".
func New(baseURL string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &http.Client{Transport: transport}}
}

// Name implements kernel.Service.
func (c *Client) Name() string { return ServiceName }

// Validate implements kernel.Service. It returns a *BaseURLError.
func (c *Client) Validate() error {
	u, err := url.Parse(c.baseURL)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return &BaseURLError{URL: c.baseURL}
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

// StatusError reports an error response whose body is not an httpapi.ErrorResponse.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// Read implements tablestore.Table.
func (c *Client) Read(ctx context.Context, key string) (tablestore.Row, error) {
	var row tablestore.Row
	err := c.post(ctx, callInfo{operation: "read"}, httpapi.PathRead, httpapi.ReadRequest{Key: key}, &row)
	return row, err
}

// Scan implements tablestore.Table.
func (c *Client) Scan(ctx context.Context, prefix string, limit int, after string) ([]tablestore.Row, error) {
	var resp httpapi.ScanResponse
	req := httpapi.ScanRequest{Prefix: prefix, Limit: limit, After: after}
	err := c.post(ctx, callInfo{operation: "scan"}, httpapi.PathScan, req, &resp)
	return resp.Rows, err
}

// Transact implements tablestore.Table.
func (c *Client) Transact(ctx context.Context, changeID string, writes []tablestore.Write) (tablestore.TransactResult, error) {
	var result tablestore.TransactResult
	req := httpapi.TransactRequest{ChangeID: changeID, Writes: writes}
	err := c.post(ctx, callInfo{operation: "transact", isWrite: true, changeID: changeID}, httpapi.PathTransact, req, &result)
	return result, err
}

// Put implements tablestore.ObjectStore.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, callInfo{operation: "put", isWrite: true}, http.MethodPut, objectPath(name), data)
	return err
}

// Get implements tablestore.ObjectStore.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, callInfo{operation: "get", objectName: name}, http.MethodGet, objectPath(name), nil)
}

// List implements tablestore.InstanceLister.
func (c *Client) List(ctx context.Context) (tablestore.Listing, error) {
	var listing tablestore.Listing
	data, err := c.do(ctx, callInfo{operation: "list"}, http.MethodGet, httpapi.PathInstances, nil)
	if err != nil {
		return listing, err
	}
	if err := json.Unmarshal(data, &listing); err != nil {
		return listing, &tablestore.UnavailableError{Op: "list", Err: err}
	}
	return listing, nil
}

// objectPath returns the path and query of an object's URL. The name is a query parameter,
// since empty path elements and elements such as ".." would be normalized in transit.
func objectPath(name string) string {
	return httpapi.PathObjects + "?" + url.Values{httpapi.QueryName: {name}}.Encode()
}

// callInfo describes a call for the errors that it returns.
type callInfo struct {
	operation  string
	objectName string
	isWrite    bool
	changeID   string
}

// callError returns the error of a call that failed with err. maybeSent says whether the
// server may have received the request.
func (c callInfo) callError(err error, maybeSent bool) error {
	if c.isWrite && maybeSent {
		return &tablestore.OutcomeUnknownError{Op: c.operation, ChangeID: c.changeID, Err: err}
	}
	return &tablestore.UnavailableError{Op: c.operation, Err: err}
}

func (c *Client) post(ctx context.Context, info callInfo, path string, req, resp any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return info.callError(err, false)
	}
	data, err := c.do(ctx, info, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, resp); err != nil {
		return info.callError(err, true)
	}
	return nil
}

func (c *Client) do(ctx context.Context, info callInfo, method, path string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, info.callError(err, false)
	}
	// The transport may resend a request that has GetBody on a new connection. A
	// conditional write that was applied would then conflict with itself, so GetBody is
	// removed from writes.
	if info.isWrite {
		req.GetBody = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, info.callError(err, !isDialError(err))
	}
	defer resp.Body.Close()
	if err := responsecheck.CheckDelimited(resp); err != nil {
		return nil, info.callError(err, true)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, httpapi.MaxBodyBytes+1))
	if err != nil {
		return nil, info.callError(err, true)
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

func (c callInfo) responseError(status int, data []byte) error {
	var body httpapi.ErrorResponse
	if err := json.Unmarshal(data, &body); err != nil {
		return c.callError(&StatusError{Status: status}, true)
	}
	switch body.Kind {
	case httpapi.KindConflict:
		return &tablestore.ConflictError{Conflicts: body.Conflicts}
	case httpapi.KindNotFound:
		return &tablestore.NotFoundError{Name: c.objectName}
	case httpapi.KindLimit:
		return &tablestore.LimitError{Limit: body.Limit, Max: body.Max, Got: body.Got}
	case httpapi.KindUnavailable, httpapi.KindBadRequest:
		return &tablestore.UnavailableError{Op: c.operation, Err: &RemoteError{Detail: body.Detail}}
	default:
		return c.callError(&RemoteError{Detail: body.Detail}, true)
	}
}

// RemoteError holds the description of an error that the platform returned.
type RemoteError struct{ Detail string }

func (e *RemoteError) Error() string { return e.Detail }
